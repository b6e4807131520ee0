// Numbers in requests are read by their value, however JSON allows them to be spelled.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <cstdlib>
#include <string>

#include "protocol/json.hpp"
#include "protocol/user_codec.hpp"
#include "protocol/worker_codec.hpp"
#include "support/properties.hpp"

namespace sailreel {
namespace {

std::string zeros(std::size_t count) { return std::string(count, '0'); }

/// A submission of 612 bytes as in the incident, with 41 decimals in each amount.
std::string submission_with_41_decimals() {
  const std::string decimals = "." + zeros(41);
  return R"({"berth":"cosecha-nocturna","cards":1)" + decimals + R"(,"cargo":"img-100","cores":5)" +
         decimals +
         R"(,"crew":"mesa-soporte-01","driftwood":true,"hands":40,"harbor":null,"hulls":null,)"
         R"("id":"job-590691","landfall_s":null,"logbook_s":0)" +
         decimals + R"(,"precedence":"best_effort","pull_gb":8)" + decimals + R"(,"ram_gb":35)" +
         decimals + R"(,"rig":"sweep","spread":false,"stow_s":0)" + decimals +
         R"(,"together":false,"voyage_s":44)" + decimals + "}";
}

TEST(NumberSpellings, ASoundSubmissionIsNotRefusedForItsSpellingOfZero) {
  const std::string body = submission_with_41_decimals();
  ASSERT_EQ(body.size(), 612U);
  const auto spec = decode_submission(body);
  ASSERT_TRUE(spec) << spec.error().field;
  EXPECT_EQ(spec->checkpoint_s, 0);
  EXPECT_EQ(spec->save_s, 0);
}

TEST(NumberSpellings, ANumberWithManyDecimalsDoesNotEndTheProcess) {
  for (const char* last_digits : {"", "1", "123456789012345678901234567890"})
    for (const std::size_t count : {340U, 345U, 360U, 400U, 500U, 5'000U, 60'000U}) {
      const std::string number = "0." + zeros(count) + last_digits;
      EXPECT_FALSE(decode_heartbeat("{\"recall_s\":" + number + "}"));
    }
}

/// Generates a sequence of decimal digits, some of them long, some of them all alike.
rc::Gen<std::string> digits(std::size_t min_length, std::size_t max_length) {
  return rc::gen::exec([=] {
    const std::size_t cap = *rc::gen::element<std::size_t>(3, 25, 420, 800, max_length);
    const std::size_t length =
        *rc::gen::inRange<std::size_t>(min_length, std::min(cap, max_length) + 1);
    std::string text(length, *rc::gen::element('0', '0', '9', '1'));
    const std::size_t random_digits = std::min<std::size_t>(length, *rc::gen::inRange(0, 40));
    const bool at_end = *rc::gen::arbitrary<bool>();
    for (std::size_t i = 0; i < random_digits; ++i)
      text[at_end ? length - 1 - i : i] = *rc::gen::inRange<char>('0', '9' + 1);
    return text;
  });
}

/// Generates a number in any spelling that JSON allows, up to about the size of a request body.
rc::Gen<std::string> arbitrary_number() {
  return rc::gen::exec([] {
    constexpr std::size_t kMaxPartDigits = 30'000, kMaxExponentDigits = 12;
    std::string number = *rc::gen::element("", "-");
    std::string integer = *digits(1, kMaxPartDigits);
    integer.erase(0, std::min(integer.find_first_not_of('0'), integer.size() - 1));
    number += integer;
    if (*rc::gen::arbitrary<bool>()) number += "." + *digits(1, kMaxPartDigits);
    if (*rc::gen::arbitrary<bool>()) {
      number += *rc::gen::element("e", "E");
      number += *rc::gen::element("", "+", "-");
      number += *rc::gen::weightedOneOf<std::string>(
          {{3, rc::gen::map(rc::gen::inRange(0, 400), [](int e) { return std::to_string(e); })},
           {1, digits(1, kMaxExponentDigits)}});
    }
    return number;
  });
}

/// The number's nearest double, by the C library.
double nearest_double(const std::string& number) { return std::strtod(number.c_str(), nullptr); }

TEST(NumberSpellings, NoNumberIsReadAsAnotherValueThanTheNearestDouble) {
  set_property_cases(5'000);
  EXPECT_TRUE(rc::check([] {
    const std::string number = *arbitrary_number();
    json::Document document;
    RC_ASSERT(json::parse_object("{\"a\":" + number + ",\"b\":1}", document));
    const double expected = nearest_double(number);
    double amount = -1;
    const bool in_range = std::isfinite(expected) && expected >= 0;
    RC_ASSERT(json::get(document, "a", amount) == in_range);
    if (in_range) RC_ASSERT(amount == expected);
    RC_ASSERT(document["a"].GetDouble() == expected);
  }));
}

}  // namespace
}  // namespace sailreel
