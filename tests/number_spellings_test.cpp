// Numbers in requests are read by their value, however JSON allows them to be spelled.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <cstdlib>
#include <limits>
#include <string>

#include "protocol/json.hpp"
#include "protocol/user_codec.hpp"
#include "protocol/worker_codec.hpp"
#include "storage/checkpoint_records.hpp"
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

/// The same submission with another spelling of one field.
std::string with_field(const std::string& field, const std::string& number) {
  std::string body = submission_with_41_decimals();
  const std::size_t begin = body.find("\"" + field + "\":") + field.size() + 3;
  return body.replace(begin, body.find_first_of(",}", begin) - begin, number);
}

/// Adds a field that the protocol doesn't know.
std::string with_unknown_field(const std::string& value) {
  return "{\"unknown\":" + value + "," + submission_with_41_decimals().substr(1);
}

TEST(NumberSpellings, AZeroWithAnyExponentIsNotRefused) {
  for (const char* zero :
       {"0e400", "0E+9999999999", "0e-400", "0.000e400", "-0.0", "-0", "1e-400"}) {
    const auto spec = decode_submission(with_field("logbook_s", zero));
    ASSERT_TRUE(spec) << zero << ": " << spec.error().field;
    EXPECT_EQ(spec->checkpoint_s, 0) << zero;
  }
}

TEST(NumberSpellings, AnAmountOutOfRangeIsRefusedByItsNameAndNotAsMalformedJson) {
  for (const std::string& number :
       {std::string("1e999"), "1" + zeros(400), "9" + zeros(309) + ".5"})
    for (const char* field : {"cores", "voyage_s", "stow_s", "hands", "landfall_s"}) {
      const auto spec = decode_submission(with_field(field, number));
      ASSERT_FALSE(spec) << field << number;
      EXPECT_EQ(spec.error(), (DecodeError{DecodeErrorKind::InvalidField, field}));
    }
}

TEST(NumberSpellings, AnUnknownFieldWithANumberOutOfRangeDoesNotRefuseTheRequest) {
  std::string many = "[";
  for (int i = 0; i < 5'000; ++i) many += "1e999,";
  many += "-1e999]";
  for (const std::string& value : {std::string("1e999"), "1" + zeros(400), "-9" + zeros(400) + ".5",
                                   std::string(R"({"a":[1e400,"1e400"]})"), many})
    EXPECT_TRUE(decode_submission(with_unknown_field(value))) << value.substr(0, 40);
}

TEST(NumberSpellings, NumbersBesideOneOutOfRangeKeepTheirValues) {
  json::Document document;
  ASSERT_TRUE(json::parse_object(
      R"({"a":1e999,"1e999":"1e999 \" 2e999","b":2.5e-1,"c":[3e999,4],"d":-5e999,"e":6})",
      document));
  EXPECT_EQ(document["b"].GetDouble(), 0.25);
  EXPECT_STREQ(document["1e999"].GetString(), "1e999 \" 2e999");
  EXPECT_EQ(document["c"][1].GetUint64(), 4U);
  EXPECT_TRUE(std::isinf(document["c"][0].GetDouble()));
  EXPECT_LT(document["d"].GetDouble(), 0);
  EXPECT_EQ(document["e"].GetUint64(), 6U);
}

TEST(NumberSpellings, MalformedNumbersAreNotAcceptedBesideOneOutOfRange) {
  for (const char* number : {"01e999", "+1e999", ".5e999", "1.e999", "1e", "1e+", "--1", "1e9e9",
                             "1e999 1", "0x1e999", "1e999.5", "Infinity", "NaN", "-", "1e999\"a\""})
    for (const char* other : {"1", "1e999"}) {
      json::Document document;
      const std::string text = std::string("{\"a\":") + number + ",\"b\":" + other + "}";
      EXPECT_FALSE(json::parse_object(text, document)) << text;
    }
}

TEST(NumberSpellings, ACountIsNotRefusedForAFractionOrAnExponent) {
  for (const char* count :
       {"40", "40.0", "4e1", "4.0E+1", "400e-1", "0.04e3", "40.000000000000000000"}) {
    const auto spec = decode_submission(with_field("hands", count));
    ASSERT_TRUE(spec) << count;
    EXPECT_EQ(spec->tasks, 40U) << count;
  }
  for (const char* other : {"40.5", "4e-1", "-40.0", "1e6", "0", "\"40\""})
    EXPECT_FALSE(decode_submission(with_field("hands", other))) << other;
}

TEST(NumberSpellings, IntegersKeepAll64Bits) {
  json::Document document;
  ASSERT_TRUE(json::parse_object(
      R"({"a":18446744073709551615,"b":18446744073709551616,"c":9007199254740991.0,"d":9007199254740992.0,)"
      R"("e":1234567890,"f":-1})",
      document));
  std::uint64_t number = 0;
  EXPECT_TRUE(json::get(document, "a", number));
  EXPECT_EQ(number, 18'446'744'073'709'551'615U);
  EXPECT_FALSE(json::get(document, "b", number));
  EXPECT_TRUE(json::get(document, "c", number));
  EXPECT_EQ(number, 9'007'199'254'740'991U);
  EXPECT_FALSE(json::get(document, "d", number)) << "another integer may be meant";
  EXPECT_TRUE(json::get(document, "e", number));
  EXPECT_EQ(number, 1'234'567'890U);
  EXPECT_FALSE(json::get(document, "f", number));
}

/// A record whose times for saving were read wrongly by an earlier version.
std::string stored_record(const std::string& checkpoint_s, const std::string& save_s) {
  return R"({"t":["job-000007",0,3,40,"cosecha","crew",0,3,5.0,1.0,35.0,"img",8.0,null,"",4,44.0,)" +
         checkpoint_s + "," + save_s + R"(,null,1700000000000,"",0]})";
}

TEST(NumberSpellings, AStoredJobIsNotTakenForOneThatSavesBecauseItsZeroWasMisread) {
  for (const char* misread : {"3.1e-61", "6.237e290", "-4.6e-274", "9.6e-240", "0.0"}) {
    json::Document document;
    ASSERT_TRUE(json::parse_object(stored_record(misread, misread), document));
    const auto record = decode_record(document["t"]);
    ASSERT_TRUE(record) << record.error().field;
    EXPECT_EQ(record->spec.checkpoint_s, 0) << misread;
    EXPECT_LT(record->spec.save_s, 1);
  }
  json::Document document;
  ASSERT_TRUE(json::parse_object(stored_record("30.0", "4.0"), document));
  const auto record = decode_record(document["t"]);
  EXPECT_EQ(record->spec.checkpoint_s, 30);
  EXPECT_EQ(record->spec.save_s, 4);
}

TEST(NumberSpellings, ATimeBeyondTheClocksRangeDoesNotWrapAround) {
  for (const double seconds : {1e300, 1e16, std::numeric_limits<double>::infinity()})
    EXPECT_EQ(ms(seconds), kNever);
  EXPECT_EQ(ms(-1e300), -kNever);
  EXPECT_EQ(ms(1.25), 1'250);
  EXPECT_EQ(ms(-1.25), -1'250);
}

TEST(NumberSpellings, ASavingTimeOutOfRangeDoesNotMakeAStopCommandMalformed) {
  const auto spec = decode_submission(with_field("stow_s", "1.7e308"));
  ASSERT_TRUE(spec);
  EXPECT_LT(spec->save_s, 1e11);
}

}  // namespace
}  // namespace sailreel
