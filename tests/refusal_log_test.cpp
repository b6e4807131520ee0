// The log lines of refused requests: what they name, and that senders can neither flood the log nor
// forge lines.
#include <gtest/gtest.h>

#include "protocol/fake_server_codec.hpp"
#include "support/controller_driver.hpp"
#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

constexpr int kAccepted = 201, kMalformed = 400;

class RefusalLogTest : public ::testing::Test {
 protected:
  RefusalLogTest() : driver_(settings_without_peers()) {
    driver_.set_types({sample_type()});
    driver_.open_cloud();
    driver_.run_for(2'000);
  }

  std::vector<std::string> refusals() { return driver_.log_lines(LogEvent::RequestRefused); }

  ControllerDriver driver_;
};

TEST_F(RefusalLogTest, ARefusedSubmissionIsNotLeftWithoutItsFieldInTheLog) {
  ASSERT_EQ(driver_.submit(R"({"id":"job-000007","berth":""})"), kMalformed);
  ASSERT_EQ(refusals().size(), 1U);
  EXPECT_NE(refusals()[0].find("op=submit status=400 job=job-000007 bytes=30 "
                               "cause=\"invalid field\" field=berth forwarded=0 total=1"),
            std::string::npos)
      << refusals()[0];
}

TEST_F(RefusalLogTest, ARefusedHeartbeatIsNotLeftWithoutItsFieldInTheLog) {
  driver_.step(MalformedRequest{{RequestSource::Kind::Local, 1'000, 0},
                                RequestOp::Heartbeat,
                                {DecodeErrorKind::InvalidField, "vessel"},
                                17});
  ASSERT_EQ(refusals().size(), 1U);
  EXPECT_NE(refusals()[0].find("op=heartbeat status=400 job= bytes=17 "
                               "cause=\"invalid field\" field=vessel"),
            std::string::npos)
      << refusals()[0];
}

TEST_F(RefusalLogTest, SendersOfMalformedRequestsCannotFloodTheLog) {
  constexpr int kRequests = 1'000;
  for (int i = 0; i < kRequests; ++i) ASSERT_EQ(driver_.submit("{"), kMalformed);
  EXPECT_LE(refusals().size(), 10U);
  driver_.run_for(2'000);
  driver_.submit("{");
  EXPECT_NE(refusals().back().find("total=1001 left_out=990"), std::string::npos)
      << refusals().back();
}

TEST_F(RefusalLogTest, NamesThatUsersChooseCannotForgeLogLines) {
  JobSpec spec = array_job("job-000008", 1, 1);
  spec.job_class = "a\n2026 error \"event=elected\\";
  ASSERT_EQ(driver_.submit(encode_submission(spec)), kAccepted);
  const std::vector<std::string> lines = driver_.log_lines(LogEvent::JobSubmitted);
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_NE(lines[0].find(R"(class="a\x0a2026 error \x22event=elected\x5c" team=)"),
            std::string::npos)
      << lines[0];
}

TEST_F(RefusalLogTest, LongTextsOfSendersAreCutInTheLog) {
  const std::string long_text(5'000, 'x');
  const std::string line = format_log_line(1, LogEvent::HeartbeatRejected, {{"zone", long_text}});
  EXPECT_LT(line.size(), 300U);
}

}  // namespace
}  // namespace sailreel::sim
