// Strict access to the fields of JSON objects, over RapidJSON.
#pragma once

// Strings are scanned sixteen bytes at a time on processors that are known to support it.
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
#include <string>
#include <string_view>

namespace sailreel::json {

using Value = rapidjson::Value;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

/// Memory of a document's values.
struct DocumentMemory {
  /// Enough for the values of most heartbeats and queries.
  static constexpr std::size_t kSmall = 4096;

  std::string text;
  alignas(std::max_align_t) char small[kSmall];
  rapidjson::MemoryPoolAllocator<> allocator{small, sizeof small};
};

/// A parsed text. Owns a copy of the text, in which its strings stay, and its values are allocated
/// on the heap only when they are many.
class Document : private DocumentMemory, public rapidjson::Document {
 public:
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-member-init): memory for the allocator
  Document() : rapidjson::Document(&allocator) {}

 private:
  friend bool parse_object(std::string_view text, Document& out);
};

/// Parses the text of an object; false if it is anything else. `out` must be new.
bool parse_object(std::string_view text, Document& out);
/// The member, or nullptr when it is missing or null.
const Value* member(const Value& object, const char* name);

// These return false, with `out` unchanged, if the field is missing or of another type or range.

bool get(const Value& object, const char* name, std::string& out);
/// A view into the document, valid for as long as that is.
bool get(const Value& object, const char* name, std::string_view& out);
bool get(const Value& object, const char* name, bool& out);
/// Finite and not negative.
bool get(const Value& object, const char* name, double& out);
/// A whole number below 2^64, written without fraction or exponent.
bool get(const Value& object, const char* name, std::uint64_t& out);

inline void put(Writer& writer, const std::string& value) {
  writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}
inline std::string text(const rapidjson::StringBuffer& buffer) {
  return {buffer.GetString(), buffer.GetSize()};
}
std::string text(const Value& value);

}  // namespace sailreel::json
