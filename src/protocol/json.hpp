// Strict readers for JSON fields, over RapidJSON.
#pragma once

// Strings are scanned sixteen bytes at a time where the processor is sure to be able to.
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

/// What a document's values lie in.
struct DocumentMemory {
  /// Enough for the values of most reports and questions.
  static constexpr std::size_t kSmall = 4096;

  std::string text;
  alignas(std::max_align_t) char small[kSmall];
  rapidjson::MemoryPoolAllocator<> allocator{small, sizeof small};
};

/// A parsed text. Its strings stay where they stand in a copy of the text, and its values take no
/// memory from the heap as long as they are few.
class Document : private DocumentMemory, public rapidjson::Document {
 public:
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-member-init): memory for the allocator
  Document() : rapidjson::Document(&allocator) {}

 private:
  friend bool parse_object(std::string_view text, Document& out);
};

/// Parses text into an object; false when it is anything else.
bool parse_object(std::string_view text, Document& out);
/// The member, or nullptr when it is missing or null.
const Value* member(const Value& object, const char* name);

bool get(const Value& object, const char* name, std::string& out);
/// As it stands in the document, and as long as that lives.
bool get(const Value& object, const char* name, std::string_view& out);
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
