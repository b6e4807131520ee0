#include "protocol/json.hpp"

#include <charconv>
#include <cmath>
#include <optional>
#include <system_error>

namespace sailreel::json {
namespace {
/// The number of bytes that the parser may read beyond the end of a text, because it scans sixteen
/// bytes at a time.
constexpr std::size_t kReadAheadBytes = 16;
/// Selects the iterative parser, so that deeply nested brackets from a hostile sender can't exhaust
/// the stack.
constexpr unsigned kParseFlags =
    rapidjson::kParseIterativeFlag | rapidjson::kParseInsituFlag |
    // RapidJSON's own conversion has undefined behaviour on some spellings.
    rapidjson::kParseNumbersAsStringsFlag;
/// From here on, not every integer has a double of its own.
constexpr double kFirstInexactInteger = 9'007'199'254'740'992;  // 2^53

// Has no branch for each byte: branching would cost more time than an early return saves.
bool is_ascii(std::string_view text) {
  constexpr unsigned kHighBit = 0x80;
  unsigned bits = 0;
  for (const char character : text) bits |= static_cast<unsigned char>(character);
  return (bits & kHighBit) == 0;
}

/// The value of a number that consists of a few digits only, as most numbers of heartbeats do. Much
/// faster than std::from_chars.
std::optional<std::uint32_t> short_integer(std::string_view number) {
  constexpr std::size_t kMaxDigits = 9;  // those always fit into 32 bits
  if (number.size() > kMaxDigits) return {};
  std::uint32_t integer = 0;
  for (const char character : number) {
    const auto digit = static_cast<unsigned char>(character - '0');
    if (digit > 9) return {};
    integer = integer * 10 + digit;
  }
  return integer;
}

/// The value of a number without a fraction or an exponent, if it fits into the type.
template <typename Integer>
std::optional<Integer> parse_integer(std::string_view number) {
  Integer integer = 0;
  const char* end = number.data() + number.size();
  const auto [parsed_to, error] = std::from_chars(number.data(), end, integer);
  if (error != std::errc() || parsed_to != end) return {};
  return integer;
}

/// Reads a whole number that is spelled with a fraction or an exponent.
bool get_whole_double(const Value& value, std::uint64_t& out) {
  if (!value.IsDouble()) return false;
  const double number = value.GetDouble();
  const bool exact = number >= 0 && number < kFirstInexactInteger;
  if (!exact || number != std::floor(number)) return false;
  out = static_cast<std::uint64_t>(number);
  return true;
}

}  // namespace

bool Document::RawNumber(const char* characters, rapidjson::SizeType length, bool /*copy*/) {
  if (next_extracted_ < extracted_.size() &&
      characters == text.data() + extracted_[next_extracted_].offset)
    return Double(extracted_[next_extracted_++].value);
  const std::string_view number(characters, length);
  if (const auto integer = short_integer(number)) return Uint(*integer);
  if (const auto integer = parse_integer<std::uint64_t>(number)) return Uint64(*integer);
  if (const auto integer = parse_integer<std::int64_t>(number)) return Int64(*integer);
  return Double(nearest_double(number));
}

template <unsigned kFlags>
rapidjson::ParseErrorCode Document::parse_with() {
  rapidjson::Reader reader;
  rapidjson::InsituStringStream stream(text.data());
  const auto generate = [&](rapidjson::Document& /*this document*/) {
    return static_cast<bool>(reader.Parse<kFlags>(stream, *this));
  };
  Populate(generate);
  return reader.GetParseErrorCode();
}

rapidjson::ParseErrorCode Document::parse() {
  // Validating the encoding takes a quarter of the parsing time, and most texts are plain ASCII,
  // which needs no validation.
  return is_ascii(text) ? parse_with<kParseFlags>()
                        : parse_with<kParseFlags | rapidjson::kParseValidateEncodingFlag>();
}

bool parse_object(std::string_view text, Document& out) {
  // The parser treats a zero byte as the end of the text. No valid JSON contains one.
  if (text.find('\0') != std::string_view::npos) return false;
  out.text.reserve(text.size() + kReadAheadBytes);
  out.text.assign(text);
  if (out.parse() == rapidjson::kParseErrorNumberTooBig) {
    out.text.assign(text);
    out.extracted_ = extract_large_numbers(out.text);
    out.parse();
  }
  return out.IsObject();
}

const Value* member(const Value& object, const char* name) {
  auto found = object.FindMember(name);
  return found == object.MemberEnd() || found->value.IsNull() ? nullptr : &found->value;
}

std::optional<double> amount(const Value& value) {
  if (!value.IsNumber()) return {};
  const double number = value.GetDouble();
  if (!std::isfinite(number) || number < 0) return {};
  return number;
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
  const auto number = value == nullptr ? std::nullopt : amount(*value);
  if (number) out = *number;
  return number.has_value();
}

bool get(const Value& object, const char* name, std::uint64_t& out) {
  const Value* value = member(object, name);
  if (value == nullptr) return false;
  if (!value->IsUint64()) return get_whole_double(*value, out);
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
