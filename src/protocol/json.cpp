#include "protocol/json.hpp"

#include <cmath>

namespace sailreel::json {
namespace {
/// The number of bytes that the parser may read beyond the end of a text, because it scans sixteen
/// bytes at a time.
constexpr std::size_t kReadAheadBytes = 16;
/// Selects the iterative parser, so that deeply nested brackets from a hostile sender can't exhaust
/// the stack.
constexpr unsigned kParseFlags =
    rapidjson::kParseIterativeFlag | rapidjson::kParseFullPrecisionFlag;

// Has no branch for each byte: branching would cost more time than an early return saves.
bool is_ascii(std::string_view text) {
  constexpr unsigned kHighBit = 0x80;
  unsigned bits = 0;
  for (const char character : text) bits |= static_cast<unsigned char>(character);
  return (bits & kHighBit) == 0;
}

}  // namespace

bool parse_object(std::string_view text, Document& out) {
  // The parser treats a zero byte as the end of the text. No valid JSON contains one.
  if (text.find('\0') != std::string_view::npos) return false;
  out.text.reserve(text.size() + kReadAheadBytes);
  out.text.assign(text);
  // Validating the encoding takes a quarter of the parsing time, and most texts are plain ASCII,
  // which needs no validation.
  if (is_ascii(text))
    out.ParseInsitu<kParseFlags>(out.text.data());
  else
    out.ParseInsitu<kParseFlags | rapidjson::kParseValidateEncodingFlag>(out.text.data());
  return !out.HasParseError() && out.IsObject();
}

const Value* member(const Value& object, const char* name) {
  auto found = object.FindMember(name);
  return found == object.MemberEnd() || found->value.IsNull() ? nullptr : &found->value;
}

bool get(const Value& object, const char* name, std::string_view& out) {
  const Value* value = member(object, name);
  if (value == nullptr || !value->IsString()) return false;
  out = {value->GetString(), value->GetStringLength()};
  return true;
}

bool get(const Value& object, const char* name, std::string& out) {
  std::string_view in_place;
  if (!get(object, name, in_place)) return false;
  out = in_place;
  return true;
}

bool get(const Value& object, const char* name, bool& out) {
  const Value* value = member(object, name);
  if (value == nullptr || !value->IsBool()) return false;
  out = value->GetBool();
  return true;
}

bool get(const Value& object, const char* name, double& out) {
  const Value* value = member(object, name);
  if (value == nullptr || !value->IsNumber()) return false;
  const double number = value->GetDouble();
  if (!std::isfinite(number) || number < 0) return false;
  out = number;
  return true;
}

bool get(const Value& object, const char* name, std::uint64_t& out) {
  const Value* value = member(object, name);
  if (value == nullptr || !value->IsUint64()) return false;
  out = value->GetUint64();
  return true;
}

std::string text(const Value& value) {
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  value.Accept(writer);
  return text(buffer);
}

}  // namespace sailreel::json
