// Writes JSON objects, so that each member's name is beside its value in the code.
#pragma once

#include <cstdint>
#include <string>

#include "protocol/json.hpp"

namespace sailreel::json {

/// Writes one object, which is open from construction until `end` is called. The writer must
/// outlive it.
class ObjectWriter {
 public:
  explicit ObjectWriter(Writer& writer) : writer_(writer) { writer_.StartObject(); }
  /// The object as a member of the one around it.
  ObjectWriter(Writer& writer, const char* name) : writer_(writer) {
    writer_.Key(name);
    writer_.StartObject();
  }
  void end() { writer_.EndObject(); }

  void text(const char* name, const std::string& value) {
    writer_.Key(name);
    put(writer_, value);
  }
  void number(const char* name, double value) {
    writer_.Key(name);
    writer_.Double(value);
  }
  void whole(const char* name, std::uint64_t value) {
    writer_.Key(name);
    writer_.Uint64(value);
  }
  void flag(const char* name, bool value) {
    writer_.Key(name);
    writer_.Bool(value);
  }
  /// A value that is JSON text, which is not checked.
  void raw(const char* name, const std::string& value) {
    writer_.Key(name);
    writer_.RawValue(value.data(), value.size(), rapidjson::kObjectType);
  }
  /// An array, of which `write_item` writes each item.
  template <typename Items, typename WriteItem>
  void list(const char* name, const Items& items, WriteItem write_item) {
    writer_.Key(name);
    writer_.StartArray();
    for (const auto& item : items) write_item(item);
    writer_.EndArray();
  }

 private:
  Writer& writer_;
};

}  // namespace sailreel::json
