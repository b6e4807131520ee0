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
  void again(void (*change)(JobSpec&)) {
    change(spec_);
    checker_.submitted(spec_);
  }
  [[nodiscard]] bool only(const std::string& rule) const {
    return checker_.violations().size() == 1 && checker_.violations().contains(rule);
  }
  Checker checker_;
  JobSpec spec_;
  TaskLocation a_{"m-1", "box", "za", false}, b_{"m-2", "box", "zb", false},
      spot_{"m-3", "box", "za", true};
};

TEST_F(CheckerTest, IsSilentOnAGoodJob) {
  checker_.told("job-1", "pending", 0);
  checker_.started({"job-1", 0}, a_, 10);
  checker_.started({"job-1", 1}, b_, 10);
  checker_.ended({"job-1", 0}, "m-1", true);
  checker_.ended({"job-1", 1}, "m-2", true);
  checker_.told("job-1", "done", 20);
  checker_.told("job-1", "done", 9'000'000);
  checker_.end();
  EXPECT_TRUE(checker_.violations().empty()) << checker_.summary();
}

TEST_F(CheckerTest, RanTwice) {
  checker_.started({"job-1", 0}, a_, 10);
  checker_.started({"job-1", 0}, b_, 20);
  EXPECT_TRUE(only("ran_twice"));
}

TEST_F(CheckerTest, Quota) {
  again([](JobSpec& s) { s.tasks = 3; });
  for (std::uint32_t i = 0; i < 3; ++i) checker_.started({"job-1", i}, a_, 10);
  EXPECT_TRUE(only("quota"));
}

TEST_F(CheckerTest, WrongPlace) {
  checker_.started({"job-1", 0}, spot_, 10);
  EXPECT_TRUE(only("wrong_place"));
}

TEST_F(CheckerTest, NotTogether) {
  again([](JobSpec& s) { s.one_zone = true; });
  checker_.started({"job-1", 0}, a_, 10);
  checker_.started({"job-1", 1}, b_, 10);
  EXPECT_TRUE(only("wrong_place"));
}

TEST_F(CheckerTest, NotSpread) {
  again([](JobSpec& s) { s.spread = true; });
  checker_.started({"job-1", 0}, a_, 10);
  checker_.started({"job-1", 1}, a_, 10);
  EXPECT_TRUE(only("wrong_place"));
}

TEST_F(CheckerTest, RanCancelled) {
  checker_.told("job-1", "pending", 0);
  checker_.cancel_asked("job-1");
  checker_.started({"job-1", 0}, a_, 10);
  checker_.told("job-1", "cancelled", 100);
  checker_.step(30'000);
  EXPECT_TRUE(checker_.violations().empty());
  checker_.step(30'400);
  EXPECT_TRUE(only("ran_cancelled"));
}

TEST_F(CheckerTest, Forgotten) {
  checker_.told("job-1", "pending", 0);
  checker_.refused("job-1", 404, true);
  EXPECT_TRUE(only("forgotten"));
}

TEST_F(CheckerTest, ForgottenRepeat) {
  checker_.told("job-1", "pending", 0);
  checker_.refused("job-1", 422, false);
  EXPECT_TRUE(only("forgotten"));
}

TEST_F(CheckerTest, ForgottenByAllPolls) {
  JobSpec other = spec_;
  other.id = "job-2";
  checker_.submitted(other);
  checker_.told("job-1", "pending", 0);
  checker_.told("job-2", "pending", 88'000);
  checker_.unanswered("job-1", 89'000);
  EXPECT_TRUE(checker_.violations().empty());
  checker_.unanswered("job-1", 91'000);
  EXPECT_TRUE(only("forgotten"));
}

TEST_F(CheckerTest, Invented) {
  checker_.told("job-2", "pending", 0);
  EXPECT_TRUE(only("invented"));
}

TEST_F(CheckerTest, NotDone) {
  checker_.ended({"job-1", 0}, "m-1", true);
  checker_.told("job-1", "done", 0);
  EXPECT_TRUE(only("not_done"));
}

TEST_F(CheckerTest, WentBack) {
  checker_.cancel_asked("job-1");
  checker_.told("job-1", "cancelled", 0);
  checker_.told("job-1", "pending", 1);
  EXPECT_TRUE(only("went_back"));
}

TEST_F(CheckerTest, CancelledByNobody) {
  checker_.told("job-1", "cancelled", 0);
  EXPECT_TRUE(only("went_back"));
}

// A response of any controller binds the responses to later requests, but not those to requests
// that were already in flight.
TEST_F(CheckerTest, WentBackAtAnotherNode) {
  checker_.cancel_asked("job-1");
  checker_.told("job-1", "cancelled", 100, 90);
  checker_.told("job-1", "running", 120, 95);
  EXPECT_TRUE(checker_.violations().empty());
  checker_.told("job-1", "running", 130, 100);
  EXPECT_TRUE(only("went_back"));
}

TEST_F(CheckerTest, WentFromOneEndToTheOther) {
  checker_.cancel_asked("job-1");
  checker_.ended({"job-1", 0}, "m-1", true);
  checker_.ended({"job-1", 1}, "m-1", true);
  checker_.told("job-1", "done", 100, 90);
  checker_.told("job-1", "cancelled", 120, 80);
  EXPECT_TRUE(only("went_back"));
}

TEST_F(CheckerTest, ForgottenAtAnotherNode) {
  checker_.told("job-1", "pending", 100, 90);
  checker_.refused("job-1", 404, true, 95);
  EXPECT_TRUE(checker_.violations().empty());
  checker_.refused("job-1", 404, true, 101);
  EXPECT_TRUE(only("forgotten"));
}

TEST_F(CheckerTest, ForgottenOnceFaultsAreOver) {
  checker_.told("job-1", "pending", 0);
  checker_.faults_ended(100'000);
  checker_.unanswered("job-1", 170'000);
  EXPECT_TRUE(checker_.violations().empty());
  checker_.unanswered("job-1", 176'000);
  EXPECT_TRUE(only("forgotten"));
}

TEST_F(CheckerTest, StartedCancelled) {
  checker_.cancel_asked("job-1");
  checker_.start_taken("job-1");
  checker_.told("job-1", "cancelled", 100);
  EXPECT_TRUE(checker_.violations().empty());
  checker_.start_taken("job-1");
  EXPECT_TRUE(only("started_cancelled"));
}

TEST_F(CheckerTest, LeftWaiting) {
  checker_.waiting("job-1", true, 0);
  checker_.waiting("job-1", true, 200'000);
  EXPECT_TRUE(checker_.violations().empty()) << "the faults haven't ended";
  checker_.faults_ended(200'000);
  checker_.waiting("job-1", true, 201'000);
  checker_.waiting("job-1", false, 280'000);
  checker_.waiting("job-1", true, 281'000);
  checker_.waiting("job-1", true, 371'000);
  EXPECT_TRUE(checker_.violations().empty());
  checker_.waiting("job-1", true, 372'000);
  EXPECT_TRUE(only("left_waiting"));
}

TEST_F(CheckerTest, AcceptedUnfit) {
  checker_.accepted_unfit("job-9");
  EXPECT_TRUE(only("accepted_unfit"));
}

TEST_F(CheckerTest, OddAnswerToACancellation) {
  checker_.cancel_answered("job-1", "cancelled");
  checker_.cancel_answered("job-1", "done");
  EXPECT_TRUE(checker_.violations().empty());
  checker_.cancel_answered("job-1", "running");
  EXPECT_TRUE(only("odd_answer"));
}

TEST_F(CheckerTest, NotServed) {
  checker_.told("job-1", "pending", 0);
  checker_.started({"job-1", 0}, a_, 10);
  checker_.end_served();
  // The array began and never ended. It counts for its class, its team and the largest jobs.
  EXPECT_TRUE(only("not_served"));
  EXPECT_EQ(checker_.violations().at("not_served").size(), 3U);
}

TEST_F(CheckerTest, LateLargest) {
  again([](JobSpec& s) { s.kind = JobKind::Service; });
  checker_.told("job-1", "pending", 0);
  checker_.started({"job-1", 0}, a_, 240'001);
  checker_.end_served();
  EXPECT_TRUE(only("late_largest"));
}

TEST_F(CheckerTest, NothingRan) {
  checker_.end();
  EXPECT_TRUE(only("nothing_ran"));
}

}  // namespace
}  // namespace sailreel::sim
