// Writes JSON objects with one call per member, so that each name stands next to its value.
#pragma once

#include <cstdint>
#include <string>

#include "protocol/json.hpp"

namespace sailreel::json {

/// Writes one JSON object. The constructor opens it and `end` closes it. The writer must outlive
/// this object.
class ObjectWriter {
 public:
  explicit ObjectWriter(Writer& writer) : writer_(writer) { writer_.StartObject(); }
  /// Opens the object as the member `name` of the enclosing object.
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
  void integer(const char* name, std::uint64_t value) {
    writer_.Key(name);
    writer_.Uint64(value);
  }
  void boolean(const char* name, bool value) {
    writer_.Key(name);
    writer_.Bool(value);
  }
  /// Writes JSON text as it is, without checking it.
  void raw_json(const char* name, const std::string& value) {
    writer_.Key(name);
    writer_.RawValue(value.data(), value.size(), rapidjson::kObjectType);
  }
  /// Writes an array, calling `write_item` for each item.
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
