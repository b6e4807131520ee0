// Tests the JSON parser. It parses texts in place, and must accept the same texts with the same
// values as RapidJSON's ordinary parser.
#include "protocol/json.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <optional>
#include <string>
#include <vector>

#include "support/properties.hpp"

namespace sailreel {
namespace {

/// Parses the text with the ordinary parser and serializes it again. Empty if it isn't an object.
std::optional<std::string> round_trip_with_ordinary_parser(const std::string& text) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseFullPrecisionFlag |
                 rapidjson::kParseValidateEncodingFlag>(text.data(), text.size());
  if (document.HasParseError() || !document.IsObject()) return {};
  return json::text(document);
}

/// Parses the text with the parser under test and serializes it again. Empty if it isn't an object.
std::optional<std::string> round_trip_in_place(const std::string& text) {
  json::Document document;
  if (!json::parse_object(text, document)) return {};
  return json::text(document);
}

TEST(Json, InvalidTextsAreRejected) {
  using namespace std::string_literals;
  for (const std::string& text :
       {""s, "{"s, "[]"s, "{} {}"s, "{\"a\":\"b\0\"}"s, "{\"a\":\"\xff\"}"s, "{\"a\":\"\xc3\"}"s,
        "{\"a\":\"\x01\"}"s, "{\"a\":\"\\ud800\"}"s, "{\"a\":01}"s}) {
    EXPECT_EQ(round_trip_in_place(text), std::nullopt) << text;
    EXPECT_EQ(round_trip_with_ordinary_parser(text), std::nullopt) << text;
  }
}

// RapidJSON treats a zero byte as the end of the text, so whatever followed it would be accepted.
TEST(Json, TextWithZeroByteIsRejected) {
  using namespace std::string_literals;
  EXPECT_EQ(round_trip_in_place("{}"s), "{}");
  EXPECT_EQ(round_trip_in_place("{}\0"s), std::nullopt);
  EXPECT_EQ(round_trip_in_place("{}\0 rest"s), std::nullopt);
}

TEST(Json, NestedBracketsDoNotExhaustTheStack) {
  const std::string open = "{\"a\":" + std::string(1'000'000, '[');
  EXPECT_EQ(round_trip_in_place(open), std::nullopt);
}

/// Generates words of ASCII and other characters, some of which must be escaped in JSON.
rc::Gen<std::string> arbitrary_string() {
  return rc::gen::map(rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
                          "a", "z", "0", " ", "\"", "\\", "/", "\n", "\x7f", "ä", "€")),
                      [](const std::vector<std::string>& characters) {
                        std::string word;
                        for (const std::string& character : characters) word += character;
                        return word;
                      });
}

/// Generates JSON objects with random strings and numbers, some of them damaged.
rc::Gen<std::string> arbitrary_text() {
  return rc::gen::exec([] {
    json::Value object(rapidjson::kObjectType);
    rapidjson::MemoryPoolAllocator<> memory;
    const int members = *rc::gen::inRange(0, 12);
    for (int i = 0; i < members; ++i) {
      const std::string key = *arbitrary_string();
      const std::string word = *arbitrary_string();
      json::Value name(key.data(), static_cast<unsigned>(key.size()), memory);
      json::Value value;
      if (*rc::gen::arbitrary<bool>())
        value.SetString(word.data(), static_cast<unsigned>(word.size()), memory);
      else if (*rc::gen::arbitrary<bool>())
        value.SetDouble(*rc::gen::arbitrary<double>());
      else
        value.SetUint64(*rc::gen::arbitrary<std::uint64_t>());
      object.AddMember(name, value, memory);
    }
    std::string text = json::text(object);
    // Changes a byte in some texts and truncates some. A zero byte is not used, because the
    // ordinary parser treats it as the end of the text.
    if (*rc::gen::inRange(0, 3) == 0)
      text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::nonZero<char>();
    if (*rc::gen::inRange(0, 6) == 0) text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
    return text;
  });
}

TEST(Json, AgreesWithTheOrdinaryParser) {
  set_property_cases(2'000);
  int objects = 0;
  const bool passed = rc::check([&] {
    const std::string text = *arbitrary_text();
    const std::optional<std::string> plain = round_trip_with_ordinary_parser(text);
    objects += plain ? 1 : 0;
    RC_ASSERT(round_trip_in_place(text) == plain);
  });
  EXPECT_TRUE(passed);
  EXPECT_GT(objects, 200);
}

}  // namespace
}  // namespace sailreel
