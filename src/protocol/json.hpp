// Type-checked access to the fields of JSON objects, based on RapidJSON.
#pragma once

// Lets RapidJSON scan strings sixteen bytes at a time where the target has SSE2 or NEON.
#if defined(__SSE2__)
#define RAPIDJSON_SSE2
#elif defined(__ARM_NEON)
#define RAPIDJSON_NEON
#endif
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/json_numbers.hpp"

namespace sailreel::json {

using Value = rapidjson::Value;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

/// The memory that a document's text and values are stored in.
struct DocumentMemory {
  /// Enough for the values of most heartbeats and queries.
  static constexpr std::size_t kInlineBytes = 4096;

  std::string text;
  alignas(std::max_align_t) char inline_buffer[kInlineBytes];
  rapidjson::MemoryPoolAllocator<> allocator{inline_buffer, sizeof inline_buffer};
};

/// A parsed JSON text. Owns a copy of the text, which its strings point into. Its values are
/// allocated on the heap only if they don't fit into `DocumentMemory::inline_buffer`.
class Document : private DocumentMemory, public rapidjson::Document {
 public:
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-member-init): the allocator needs no zeroed memory
  Document() : rapidjson::Document(&allocator) {}

  /// Called by the parser with the characters of a number, which it doesn't convert.
  // NOLINTNEXTLINE(readability-identifier-naming): RapidJSON's handlers have this name
  bool RawNumber(const char* characters, rapidjson::SizeType length, bool copy);

 private:
  friend bool parse_object(std::string_view text, Document& out);

  /// Parses `text` in place.
  rapidjson::ParseErrorCode parse();
  template <unsigned kFlags>
  rapidjson::ParseErrorCode parse_with();

  /// Numbers that were taken out of `text` and haven't been parsed yet begin at `next_extracted_`.
  std::vector<ExtractedNumber> extracted_;
  std::size_t next_extracted_ = 0;
};

/// Parses a JSON object. Returns false if `text` is anything else. `out` must be newly constructed.
bool parse_object(std::string_view text, Document& out);
/// The member, or nullptr if it is missing or null.
const Value* member(const Value& object, const char* name);

/// The value if it is a non-negative number within the range of a double.
std::optional<double> amount(const Value& value);

// The `get` functions return false and leave `out` unchanged if the field is missing, of another
// type, or out of range.

bool get(const Value& object, const char* name, std::string& out);
/// Sets `out` to a view into the document, which is valid as long as the document exists.
bool get(const Value& object, const char* name, std::string_view& out);
bool get(const Value& object, const char* name, bool& out);
/// Accepts only amounts, see `amount`.
bool get(const Value& object, const char* name, double& out);
/// Accepts integers below 2^64; those that are spelled with a fraction or an exponent, like 40.0,
/// only below 2^53, up to which they are exact.
bool get(const Value& object, const char* name, std::uint64_t& out);

inline void put(Writer& writer, const std::string& value) {
  writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}
inline std::string text(const rapidjson::StringBuffer& buffer) {
  return {buffer.GetString(), buffer.GetSize()};
}
/// Serializes the value as compact JSON.
std::string text(const Value& value);

}  // namespace sailreel::json
