// What is wrong with a file in protobuf text format.
#pragma once

#include <google/protobuf/io/tokenizer.h>

#include <string>

namespace sailreel {

/// Keeps the first complaint of the parser.
class FirstError : public google::protobuf::io::ErrorCollector {
 public:
  void AddError(int line, int, const std::string& text) override {
    if (message.empty()) message = "line " + std::to_string(line + 1) + ": " + text;
  }
  std::string message;
};

}  // namespace sailreel
