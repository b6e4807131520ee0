// Controllers on a small share of a processor: each step takes time by its counted work, inputs
// queue up and timers fire late. Users look closely all the time, at all nodes. The rules hold, and
// nothing is left waiting or unanswered afterwards.
#include <gtest/gtest.h>

#include <cstdio>

#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

constexpr std::uint64_t kSeeds = 4;
constexpr std::size_t kJobs = 16;
/// Inputs wait for at least so long at some moment: the processor is slow indeed.
constexpr Time kLeastWait = 100;
/// When the fleet is up and full.
constexpr Time kBegin = 55'000;

DayPlan slow_day(std::uint64_t seed) {
  DayPlan plan = quiet(seed * 17);
  plan.length = 500'000;
  plan.processor = {12, 0.1};
  return plan;
}

/// The jobs of a day, all at once.
void submit_burst(World& world, std::uint64_t seed) {
  pcg32 random(seed * 31);
  for (std::size_t n = 0; n < kJobs; ++n) {
    JobSpec spec =
        n % 2 == 0 ? service(job_id(n), 1 + random(2)) : array(job_id(n), 1 + random(3), 20);
    spec.team = n % 3 == 0 ? "blue" : "red";
    spec.image = "img-" + std::to_string(random(3));
    world.submit(spec);
  }
}

std::uint64_t elections(const World& world) {
  return world.leader() < 0 ? 0 : world.core(leader_of(world))->epoch();
}

class SlowProcessor : public ::testing::TestWithParam<Scenario> {};

TEST_P(SlowProcessor, KeepsTheRules) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    World world(slow_day(seed));
    // All controllers start at this moment, and all users come with them.
    world.poll_closely(500'000);
    submit_burst(world, seed);
    world.run_until(kBegin);
    GetParam().play(world, seed);
    world.run_until(world.now() + 60'000);
    std::printf("an input waited for %lld ms at most\n",
                static_cast<long long>(world.longest_input_wait()));
    EXPECT_GT(world.longest_input_wait(), kLeastWait);
    expect_all_served(world, kJobs, seed);
  }
}

const Scenario kScenarios[] = {
    {"ColdStartAndFirstBurst", [](World&, std::uint64_t) {}},
    {"RestartsInTheMiddleOfElections",
     [](World& w, std::uint64_t seed) {
       for (int round = 0; round < 6; ++round) {
         w.kill(leader_of(w), 100 + 50 * static_cast<Time>(seed));
         w.run_until(w.now() + 900 + 100 * static_cast<Time>(round));
         w.kill(static_cast<std::size_t>(round) % 3, 300);
         w.run_until(w.now() + 700);
       }
     }},
    {"AllControllersStartAtOnce",
     [](World& w, std::uint64_t) {
       for (std::size_t node = 0; node < 3; ++node) w.kill(node, 400);
     }},
    {"AllWorkersComeBackAfterAZoneCut",
     [](World& w, std::uint64_t seed) { w.cut_zone("za", 16'000, seed % 2 == 0); }},
    {"UsersRepeatThemselvesWhileTheStateServiceIsOut",
     [](World& w, std::uint64_t) {
       w.state_outage(25'000);
       submit_mixed_jobs(w, kJobs, 8, 3);
     }},
    {"TheLeaderIsSeveralTimesSlower",
     [](World& w, std::uint64_t seed) {
       w.slow_down(leader_of(w), 3.0 + static_cast<double>(seed), 20'000);
     }},
    // A step takes longer than the leader's lease, and ends after that is over.
    {"StepsOutlastTheLeadersLease",
     [](World& w, std::uint64_t seed) {
       w.slow_down(leader_of(w), 60.0 + 20.0 * static_cast<double>(seed), 15'000);
       w.cancel_now(4, 0);
     }},
    {"StepsOutlastTheWorkersLease",
     [](World& w, std::uint64_t) {
       w.slow_down(leader_of(w), 1'800, 30'000);
       w.cancel_now(4, 0);
     }},
    {"CancellationsAtFullLoad",
     [](World& w, std::uint64_t) {
       w.slow_down(leader_of(w), 2.0, 40'000);
       w.cancel_now(6, 0);
     }},
};

INSTANTIATE_TEST_SUITE_P(Scenes, SlowProcessor, ::testing::ValuesIn(kScenarios), scenario_name);

// A leader that is merely late goes on leading: with steps five times as long, none of its renewals
// comes too late, and no other is elected.
TEST(SlowLeader, IsNotDeposed) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    World world(slow_day(seed));
    submit_burst(world, seed);
    world.run_until(kBegin);
    const std::uint64_t before = elections(world);
    ASSERT_GT(before, 0U);
    world.slow_down(leader_of(world), 5.0, 20'000);
    world.run_until(world.now() + 30'000);
    std::printf("epoch %llu before, %llu after\n", static_cast<unsigned long long>(before),
                static_cast<unsigned long long>(elections(world)));
    EXPECT_EQ(elections(world), before) << "seed " << seed;
    EXPECT_TRUE(world.checker().violations().empty()) << world.checker().summary();
  }
}

}  // namespace
}  // namespace sailreel::sim
