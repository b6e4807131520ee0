// For each rule, the checker reports a violation in a simulation, and nothing if there is none.
#include "sim/checker.hpp"

#include <gtest/gtest.h>

namespace sailreel::sim {
namespace {

class CheckerTest : public ::testing::Test {
 protected:
  CheckerTest() : checker_({{"red", 0, 0, 4, 2}}, 30'000) {
    spec_.id = "job-1";
    spec_.team = "red";
    spec_.tasks = 2;
    spec_.need = {1, 1, 1};
    checker_.submitted(spec_);
  }
  void resubmit_with(void (*change)(JobSpec&)) {
    change(spec_);
    checker_.submitted(spec_);
  }
  [[nodiscard]] bool is_only_violation(const std::string& rule) const {
    return checker_.violations().size() == 1 && checker_.violations().contains(rule);
  }
  Checker checker_;
  JobSpec spec_;
  TaskLocation in_zone_a_{"m-1", "box", "za", false}, in_zone_b_{"m-2", "box", "zb", false},
      on_spot_{"m-3", "box", "za", true};
};

TEST_F(CheckerTest, ReportsNothingForACorrectJob) {
  checker_.state_reported("job-1", "pending", 0);
  checker_.task_started({"job-1", 0}, in_zone_a_, 10);
  checker_.task_started({"job-1", 1}, in_zone_b_, 10);
  checker_.task_ended({"job-1", 0}, "m-1", true);
  checker_.task_ended({"job-1", 1}, "m-2", true);
  checker_.state_reported("job-1", "done", 20);
  checker_.state_reported("job-1", "done", 9'000'000);
  checker_.check_end();
  EXPECT_TRUE(checker_.violations().empty()) << checker_.summary();
}

TEST_F(CheckerTest, RanTwice) {
  checker_.task_started({"job-1", 0}, in_zone_a_, 10);
  checker_.task_started({"job-1", 0}, in_zone_b_, 20);
  EXPECT_TRUE(is_only_violation("ran_twice"));
}

TEST_F(CheckerTest, Quota) {
  resubmit_with([](JobSpec& spec) { spec.tasks = 3; });
  for (std::uint32_t i = 0; i < 3; ++i) checker_.task_started({"job-1", i}, in_zone_a_, 10);
  EXPECT_TRUE(is_only_violation("quota"));
}

TEST_F(CheckerTest, WrongPlace) {
  checker_.task_started({"job-1", 0}, on_spot_, 10);
  EXPECT_TRUE(is_only_violation("wrong_place"));
}

TEST_F(CheckerTest, NotInOneZone) {
  resubmit_with([](JobSpec& spec) { spec.one_zone = true; });
  checker_.task_started({"job-1", 0}, in_zone_a_, 10);
  checker_.task_started({"job-1", 1}, in_zone_b_, 10);
  EXPECT_TRUE(is_only_violation("wrong_place"));
}

TEST_F(CheckerTest, NotSpreadOverZones) {
  resubmit_with([](JobSpec& spec) { spec.spread = true; });
  checker_.task_started({"job-1", 0}, in_zone_a_, 10);
  checker_.task_started({"job-1", 1}, in_zone_a_, 10);
  EXPECT_TRUE(is_only_violation("wrong_place"));
}

TEST_F(CheckerTest, RanCancelled) {
  checker_.state_reported("job-1", "pending", 0);
  checker_.cancel_requested("job-1");
  checker_.task_started({"job-1", 0}, in_zone_a_, 10);
  checker_.state_reported("job-1", "cancelled", 100);
  checker_.step(30'000);
  EXPECT_TRUE(checker_.violations().empty());
  checker_.step(30'400);
  EXPECT_TRUE(is_only_violation("ran_cancelled"));
}

TEST_F(CheckerTest, ForgottenByAPoll) {
  checker_.state_reported("job-1", "pending", 0);
  checker_.rejected("job-1", 404, true);
  EXPECT_TRUE(is_only_violation("forgotten"));
}

TEST_F(CheckerTest, ForgottenByARepeatedSubmission) {
  checker_.state_reported("job-1", "pending", 0);
  checker_.rejected("job-1", 422, false);
  EXPECT_TRUE(is_only_violation("forgotten"));
}

TEST_F(CheckerTest, ForgottenWhenAllPollsFail) {
  JobSpec other = spec_;
  other.id = "job-2";
  checker_.submitted(other);
  checker_.state_reported("job-1", "pending", 0);
  checker_.state_reported("job-2", "pending", 88'000);
  checker_.poll_failed("job-1", 89'000);
  EXPECT_TRUE(checker_.violations().empty());
  checker_.poll_failed("job-1", 91'000);
  EXPECT_TRUE(is_only_violation("forgotten"));
}

TEST_F(CheckerTest, Invented) {
  checker_.state_reported("job-2", "pending", 0);
  EXPECT_TRUE(is_only_violation("invented"));
}

TEST_F(CheckerTest, NotDone) {
  checker_.task_ended({"job-1", 0}, "m-1", true);
  checker_.state_reported("job-1", "done", 0);
  EXPECT_TRUE(is_only_violation("not_done"));
}

TEST_F(CheckerTest, WentBack) {
  checker_.cancel_requested("job-1");
  checker_.state_reported("job-1", "cancelled", 0);
  checker_.state_reported("job-1", "pending", 1);
  EXPECT_TRUE(is_only_violation("went_back"));
}

TEST_F(CheckerTest, CancelledWithoutRequest) {
  checker_.state_reported("job-1", "cancelled", 0);
  EXPECT_TRUE(is_only_violation("went_back"));
}

// A response of any controller binds the responses to later requests, but not those to requests
// that were already in flight.
TEST_F(CheckerTest, WentBackAtAnotherNode) {
  checker_.cancel_requested("job-1");
  checker_.state_reported("job-1", "cancelled", 100, 90);
  checker_.state_reported("job-1", "running", 120, 95);
  EXPECT_TRUE(checker_.violations().empty());
  checker_.state_reported("job-1", "running", 130, 100);
  EXPECT_TRUE(is_only_violation("went_back"));
}

TEST_F(CheckerTest, WentFromDoneToCancelled) {
  checker_.cancel_requested("job-1");
  checker_.task_ended({"job-1", 0}, "m-1", true);
  checker_.task_ended({"job-1", 1}, "m-1", true);
  checker_.state_reported("job-1", "done", 100, 90);
  checker_.state_reported("job-1", "cancelled", 120, 80);
  EXPECT_TRUE(is_only_violation("went_back"));
}

TEST_F(CheckerTest, ForgottenAtAnotherNode) {
  checker_.state_reported("job-1", "pending", 100, 90);
  checker_.rejected("job-1", 404, true, 95);
  EXPECT_TRUE(checker_.violations().empty());
  checker_.rejected("job-1", 404, true, 101);
  EXPECT_TRUE(is_only_violation("forgotten"));
}

TEST_F(CheckerTest, ForgottenWhenPollsFailAfterTheFaults) {
  checker_.state_reported("job-1", "pending", 0);
  checker_.faults_ended(100'000);
  checker_.poll_failed("job-1", 170'000);
  EXPECT_TRUE(checker_.violations().empty());
  checker_.poll_failed("job-1", 176'000);
  EXPECT_TRUE(is_only_violation("forgotten"));
}

TEST_F(CheckerTest, StartedCancelled) {
  checker_.cancel_requested("job-1");
  checker_.start_accepted("job-1");
  checker_.state_reported("job-1", "cancelled", 100);
  EXPECT_TRUE(checker_.violations().empty());
  checker_.start_accepted("job-1");
  EXPECT_TRUE(is_only_violation("started_cancelled"));
}

TEST_F(CheckerTest, LeftWaiting) {
  checker_.waiting_observed("job-1", true, 0);
  checker_.waiting_observed("job-1", true, 200'000);
  EXPECT_TRUE(checker_.violations().empty()) << "the faults haven't ended";
  checker_.faults_ended(200'000);
  checker_.waiting_observed("job-1", true, 201'000);
  checker_.waiting_observed("job-1", false, 280'000);
  checker_.waiting_observed("job-1", true, 281'000);
  checker_.waiting_observed("job-1", true, 371'000);
  EXPECT_TRUE(checker_.violations().empty());
  checker_.waiting_observed("job-1", true, 372'000);
  EXPECT_TRUE(is_only_violation("left_waiting"));
}

TEST_F(CheckerTest, AcceptedUnfit) {
  checker_.accepted_unfit("job-9");
  EXPECT_TRUE(is_only_violation("accepted_unfit"));
}

TEST_F(CheckerTest, UnexpectedResponseToACancellation) {
  checker_.cancel_state_reported("job-1", "cancelled");
  checker_.cancel_state_reported("job-1", "done");
  EXPECT_TRUE(checker_.violations().empty());
  checker_.cancel_state_reported("job-1", "running");
  EXPECT_TRUE(is_only_violation("odd_answer"));
}

TEST_F(CheckerTest, NotServed) {
  checker_.state_reported("job-1", "pending", 0);
  checker_.task_started({"job-1", 0}, in_zone_a_, 10);
  checker_.check_end_and_service();
  // The array started and never ended, which is reported once each for its class, its team and the
  // largest jobs.
  EXPECT_TRUE(is_only_violation("not_served"));
  EXPECT_EQ(checker_.violations().at("not_served").size(), 3U);
}

TEST_F(CheckerTest, LateLargest) {
  resubmit_with([](JobSpec& spec) { spec.kind = JobKind::Service; });
  checker_.state_reported("job-1", "pending", 0);
  checker_.task_started({"job-1", 0}, in_zone_a_, 240'001);
  checker_.check_end_and_service();
  EXPECT_TRUE(is_only_violation("late_largest"));
}

TEST_F(CheckerTest, NothingRan) {
  checker_.check_end();
  EXPECT_TRUE(is_only_violation("nothing_ran"));
}

}  // namespace
}  // namespace sailreel::sim
