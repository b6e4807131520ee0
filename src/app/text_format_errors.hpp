// Collects errors in files in protobuf text format.
#pragma once

#include <google/protobuf/io/tokenizer.h>

#include <string>

namespace sailreel {

/// Keeps the first error of the parser, with its line number. `message` is empty without an error.
class FirstErrorCollector : public google::protobuf::io::ErrorCollector {
 public:
  void AddError(int line, int, const std::string& text) override {
    if (message.empty()) message = "line " + std::to_string(line + 1) + ": " + text;
  }
  std::string message;
};

}  // namespace sailreel
