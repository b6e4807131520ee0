// Submissions that mean the same however they are spelled: a sound one isn't refused, and a
// repeated one gets its job's state and makes no second job, also after a change of leader.
#include <gtest/gtest.h>

#include "protocol/fake_server_codec.hpp"
#include "storage/checkpoint.hpp"
#include "support/controller_driver.hpp"
#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

constexpr int kKnown = 200, kAccepted = 201;
constexpr const char* kId = "job-000007";

std::string submission() { return encode_submission(array_job(kId, 3, 20)); }

/// The submission with further fields in front.
std::string with_fields(const std::string& fields) {
  return "{" + fields + "," + submission().substr(1);
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size()))
    text.replace(at, from.size(), to);
  return text;
}

/// The submission with its fields in the reverse order.
std::string in_reverse_order() {
  json::Document document;
  if (!json::parse_object(submission(), document)) return {};
  std::string fields = "{";
  for (int i = static_cast<int>(document.MemberCount()) - 1; i >= 0; --i) {
    const auto member = document.MemberBegin() + i;
    if (fields.size() > 1) fields += ',';
    fields.append("\"").append(member->name.GetString()).append("\":");
    fields += json::text(member->value);
  }
  return fields + "}";
}

struct Spelling {
  const char* name;
  std::string body;
};

std::vector<Spelling> spellings() {
  return {
      {"AsItIs", submission()},
      {"InReverseOrder", in_reverse_order()},
      {"WithEscapesInTheId", replaced(submission(), "\"job-", "\"\\u006A\\u006fb\\u002D")},
      {"WithEscapesInKeys", replaced(replaced(submission(), "\"id\"", "\"\\u0069\\u0064\""),
                                     "\"hands\"", "\"h\\u0061nds\"")},
      {"WithWhiteSpace",
       " \r\n\t" + replaced(replaced(submission(), ":", " \n: \t"), ",", "\r,\n ") + "\n \n"},
      {"WithAnUnknownObject", with_fields(R"("x":{"id":"job-1","y":[[],{},null,true,-0.0e-9]})")},
      {"WithAnUnknownNumberOutOfRange", with_fields(R"("x":1e999,"y":[-1e-999,1E+400])")},
      {"WithAnUnknownLongInteger", with_fields("\"x\":" + std::string(400, '7'))},
      {"WithUnknownStrings",
       with_fields(R"("x":"\u0000\ud83d\ude00\"\\\/\b\f\n\r\t","":"ä€","y":"\ufffe")")},
      {"WithACountAsDecimal", replaced(submission(), "\"hands\":3", "\"hands\":3.0")},
      {"WithACountAsExponent", replaced(submission(), "\"hands\":3", "\"hands\":0.03e2")},
      {"WithAFieldAgain", replaced(submission(), "}", ",\"id\":\"job-000008\"}")},
  };
}

/// A leader, and later another one that has only the checkpoint.
class SubmissionSpellingsTest : public ::testing::Test {
 protected:
  SubmissionSpellingsTest() : leader_(settings_without_peers()) { start(leader_); }

  static void start(ControllerDriver& driver) {
    driver.set_types({sample_type()});
    driver.open_cloud();
    driver.run_for(2'000);
  }
  static std::size_t jobs_of(const ControllerDriver& driver) {
    return driver.controller().tables().jobs.size();
  }

  ControllerDriver leader_;
};

TEST_F(SubmissionSpellingsTest, ASoundSubmissionIsNotRefusedForItsSpelling) {
  for (const Spelling& spelling : spellings()) {
    SCOPED_TRACE(spelling.name);
    ControllerDriver driver(settings_without_peers());
    start(driver);
    EXPECT_EQ(driver.submit(spelling.body), kAccepted);
    const auto& jobs = driver.controller().tables().jobs;
    ASSERT_TRUE(jobs.contains(kId));
    EXPECT_EQ(jobs.at(kId)->spec().tasks, 3U);
  }
}

TEST_F(SubmissionSpellingsTest, ARepeatInAnotherSpellingIsNoSecondJobAndIsNotRefused) {
  ASSERT_EQ(leader_.submit(submission()), kAccepted);
  for (const Spelling& spelling : spellings())
    EXPECT_EQ(leader_.submit(spelling.body), kKnown) << spelling.name;
  EXPECT_EQ(jobs_of(leader_), 1U);
}

TEST_F(SubmissionSpellingsTest, ARepeatToTheNextLeaderIsNoSecondJobAndIsNotRefused) {
  JobRecord record;
  record.spec = array_job(kId, 3, 20);
  record.seq = 1;
  ControllerDriver next(settings_without_peers());
  next.write(kManifestKey, encode_manifest({1, 0, {}}, {encode_record(record)}));
  start(next);
  for (const Spelling& spelling : spellings())
    EXPECT_EQ(next.submit(spelling.body), kKnown) << spelling.name;
  EXPECT_EQ(jobs_of(next), 1U);
}

// Of a key that stands twice the first counts, in each way in which a submission is read.
TEST_F(SubmissionSpellingsTest, AKeyThatStandsTwiceIsNotReadInTwoWays) {
  const std::string body = replaced(replaced(submission(), "}", ",\"id\":\"job-000008\"}"), "}",
                                    ",\"rig\":\"gang\",\"hands\":4}");
  EXPECT_EQ(submission_id(body), kId);
  EXPECT_FALSE(is_gang_submission(body));
  const auto spec = decode_submission(body);
  ASSERT_TRUE(spec);
  EXPECT_EQ(spec->id, kId);
  EXPECT_EQ(spec->tasks, 3U);
}

TEST_F(SubmissionSpellingsTest, ALoneSurrogateInAnUnknownFieldDoesNotRefuseASubmission) {
  EXPECT_EQ(leader_.submit(with_fields(R"("x":"\ud800")")), kAccepted);
}

}  // namespace
}  // namespace sailreel::sim
