// Strict readers for JSON fields, over RapidJSON.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace sailreel::json {

using Value = rapidjson::Value;
using Document = rapidjson::Document;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

/// Parses text into an object; false when it is anything else.
bool parse_object(std::string_view text, Document& out);
/// The member, or nullptr when it is missing or null.
const Value* member(const Value& object, const char* name);

bool get(const Value& object, const char* name, std::string& out);
bool get(const Value& object, const char* name, bool& out);
/// Finite and not negative.
bool get(const Value& object, const char* name, double& out);
/// A whole number below 2^64, written without fraction or exponent.
bool get(const Value& object, const char* name, std::uint64_t& out);

inline void put(Writer& w, const std::string& s) {
  w.String(s.data(), static_cast<rapidjson::SizeType>(s.size()));
}
inline std::string text(const rapidjson::StringBuffer& b) { return {b.GetString(), b.GetSize()}; }
std::string text(const Value& value);

}  // namespace sailreel::json
