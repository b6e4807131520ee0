// Controllers with a small share of a processor: each step takes simulated time according to its
// counted work, so inputs queue up and timers fire late. Users poll all controllers closely
// throughout. The rules must hold, and no job may be left waiting or unanswered afterwards.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

constexpr std::uint64_t kSeeds = 4;
constexpr std::size_t kJobs = 16;
/// A lower bound (ms) on the longest wait of an input while the fleet comes up, and again in each
/// scenario with a fault. Below it, the simulated processor is not slow enough for the test.
constexpr Time kMinInputWaitMs = 100;
/// The simulated time (ms) by which the fleet is up and full.
constexpr Time kFleetFullMs = 55'000;
/// With steps slowed down by this factor, leases of the usual length expire before controllers
/// renew them.
constexpr double kSlowFactor = 6;

SimulationPlan slow_processor_plan(std::uint64_t seed) {
  SimulationPlan plan = plan_without_faults(seed * 17);
  plan.length = 500'000;
  plan.processor = {12, 0.1};
  return plan;
}

/// Submits all jobs of a simulation at once.
void submit_burst(SimulatedRegion& region, std::uint64_t seed) {
  pcg32 random(seed * 31);
  for (std::size_t n = 0; n < kJobs; ++n) {
    JobSpec spec = n % 2 == 0 ? service_job(job_id(n), 1 + random(2))
                              : array_job(job_id(n), 1 + random(3), 20);
    spec.team = n % 3 == 0 ? "blue" : "red";
    spec.image = "img-" + std::to_string(random(3));
    region.submit(spec);
  }
}

/// Slows down all controllers by a factor, for a limited time.
void slow_down_all(SimulatedRegion& region, double factor, Time for_ms) {
  for (std::size_t node = 0; node < 3; ++node) region.slow_down(node, factor, for_ms);
}

std::uint64_t current_epoch(const SimulatedRegion& region) {
  return region.leader() < 0 ? 0 : region.controller(leader_index(region))->epoch();
}

class SlowProcessor : public ::testing::TestWithParam<Scenario> {};

TEST_P(SlowProcessor, KeepsTheRules) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SimulatedRegion region(slow_processor_plan(seed));
    // All controllers start at this moment, and all users submit their jobs at the same time.
    region.poll_intensively(500'000);
    submit_burst(region, seed);
    region.run_until(kFleetFullMs);
    const Time wait_during_start = region.longest_input_wait();
    region.reset_input_waits();
    if (GetParam().run) GetParam().run(region, seed);
    region.run_until(region.now() + 60'000);
    std::printf("longest wait of an input: %lld ms while the fleet came up, %lld ms afterwards\n",
                static_cast<long long>(wait_during_start),
                static_cast<long long>(region.longest_input_wait()));
    EXPECT_GT(wait_during_start, kMinInputWaitMs);
    if (GetParam().run) {
      EXPECT_GT(region.longest_input_wait(), kMinInputWaitMs);
    }
    expect_all_served(region, kJobs, seed);
  }
}

const Scenario kScenarios[] = {
    {"ColdStartAndFirstBurst", {}},
    {"RestartsDuringElections",
     [](SimulatedRegion& region, std::uint64_t seed) {
       slow_down_all(region, kSlowFactor, 30'000);
       for (int round = 0; round < 6; ++round) {
         region.kill(leader_index(region), 100 + 50 * static_cast<Time>(seed));
         region.run_until(region.now() + 900 + 100 * static_cast<Time>(round));
         region.kill(static_cast<std::size_t>(round) % 3, 300);
         region.run_until(region.now() + 700);
       }
     }},
    {"AllControllersStartAtOnce",
     [](SimulatedRegion& region, std::uint64_t) {
       slow_down_all(region, kSlowFactor, 30'000);
       for (std::size_t node = 0; node < 3; ++node) region.kill(node, 400);
     }},
    {"AllWorkersReconnectAfterAZonePartition",
     [](SimulatedRegion& region, std::uint64_t seed) {
       slow_down_all(region, kSlowFactor, 30'000);
       region.cut_zone("za", 16'000, seed % 2 == 0);
     }},
    {"UsersRetryDuringAKeyValueStoreOutage",
     [](SimulatedRegion& region, std::uint64_t) {
       region.kv_store_outage(25'000);
       submit_mixed_jobs(region, kJobs, 8, 3);
     }},
    {"TheLeaderIsSeveralTimesSlower",
     [](SimulatedRegion& region, std::uint64_t seed) {
       region.slow_down(leader_index(region), 3.0 + static_cast<double>(seed), 20'000);
     }},
    // A step takes longer than the leader's lease, so the lease has expired when the step ends.
    {"StepsOutlastTheLeadersLease",
     [](SimulatedRegion& region, std::uint64_t seed) {
       region.slow_down(leader_index(region), 60.0 + 20.0 * static_cast<double>(seed), 15'000);
       region.cancel_running_jobs(4, 0);
     }},
    {"StepsOutlastTheWorkersLease",
     [](SimulatedRegion& region, std::uint64_t) {
       region.slow_down(leader_index(region), 1'800, 30'000);
       region.cancel_running_jobs(4, 0);
     }},
    {"CancellationsAtFullLoad",
     [](SimulatedRegion& region, std::uint64_t) {
       region.slow_down(leader_index(region), 2.0, 40'000);
       region.cancel_running_jobs(6, 0);
     }},
};

INSTANTIATE_TEST_SUITE_P(Scenarios, SlowProcessor, ::testing::ValuesIn(kScenarios), scenario_name);

// A leader whose steps take five times as long must remain the leader: it still renews its lease in
// time, and no other controller is elected.
TEST(SlowLeader, IsNotDeposed) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SimulatedRegion region(slow_processor_plan(seed));
    submit_burst(region, seed);
    region.run_until(kFleetFullMs);
    const std::uint64_t epoch_before = current_epoch(region);
    ASSERT_GT(epoch_before, 0U);
    region.slow_down(leader_index(region), 5.0, 20'000);
    region.run_until(region.now() + 30'000);
    std::printf("epoch %llu before, %llu after\n", static_cast<unsigned long long>(epoch_before),
                static_cast<unsigned long long>(current_epoch(region)));
    EXPECT_EQ(current_epoch(region), epoch_before) << "seed " << seed;
    EXPECT_TRUE(region.checker().violations().empty()) << region.checker().summary();
  }
}

// Controllers are so slow that leases of the usual length expire before they are renewed. Guards
// against an endless series of elections: after the leader had ended, each successor was deposed in
// turn for as long as the processors were slow, and users got no responses.
TEST(SlowControllers, ElectAStableLeader) {
  constexpr Time kSlowMs = 130'000;
  constexpr std::uint64_t kMaxEpoch = 8;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SimulatedRegion region(slow_processor_plan(seed));
    submit_burst(region, seed);
    region.run_until(kFleetFullMs);
    slow_down_all(region, kSlowFactor, kSlowMs);
    region.kill(leader_index(region), 1'000);
    region.run_until(region.now() + 60'000);
    const std::uint64_t epoch_before = current_epoch(region);
    region.run_until(region.now() + 60'000);
    std::printf("epoch %llu after one minute, %llu after two\n",
                static_cast<unsigned long long>(epoch_before),
                static_cast<unsigned long long>(current_epoch(region)));
    EXPECT_GT(epoch_before, 0U);
    EXPECT_LE(epoch_before, kMaxEpoch);
    EXPECT_EQ(current_epoch(region), epoch_before) << "seed " << seed;
    expect_all_served(region, kJobs, seed);
  }
}

/// A controller that appends the warnings it logs to a list.
class WarningController : public CurrentController {
 public:
  WarningController(const Settings& settings, std::uint64_t seed,
                    std::vector<std::string>& warnings)
      : CurrentController(settings, Options{}, seed), warnings_(warnings) {}

  std::vector<Action> step(Clock clock, Input input) override {
    std::vector<Action> actions = CurrentController::step(clock, std::move(input));
    for (const Action& action : actions)
      if (const auto* log = std::get_if<Log>(&action); log && log->level == Log::Level::Warning)
        warnings_.push_back(log->text);
    return actions;
  }

 private:
  std::vector<std::string>& warnings_;
};

/// How many warnings of a slow processor the controllers log until `kFleetFullMs`.
std::size_t count_processor_warnings(double slowness) {
  std::vector<std::string> warnings;
  SimulationPlan plan = slow_processor_plan(1);
  plan.make_controller = [&](std::size_t, const Settings& settings, std::uint64_t seed) {
    return std::make_unique<WarningController>(settings, seed, warnings);
  };
  SimulatedRegion region(plan);
  slow_down_all(region, slowness, kFleetFullMs);
  submit_burst(region, 1);
  region.run_until(kFleetFullMs);
  return static_cast<std::size_t>(
      std::count_if(warnings.begin(), warnings.end(), [](const std::string& text) {
        return text.find("event=processor_limit limit=cpu late_ms=") != std::string::npos;
      }));
}

// A processor that can't carry the deployment causes a warning from each of the three controllers,
// at most once per worker lease. A processor that can carry it causes none.
TEST(ProcessorLimit, LogsAWarning) {
  const std::size_t slow = count_processor_warnings(15);
  EXPECT_GT(slow, 2U);
  EXPECT_LE(slow, 3U * 5U);
  EXPECT_EQ(count_processor_warnings(0.1), 0U);
}

constexpr Time kLateLimitMs = 100, kLagWindowMs = 10'000;

std::vector<EventLoopLag::LagSummary> lag_summaries(const std::vector<Time>& delays) {
  EventLoopLag lag(kLateLimitMs, kLagWindowMs);
  std::vector<EventLoopLag::LagSummary> summaries;
  Time now = 1'000;
  for (const Time delay : delays) {
    lag.armed(now + 50);
    now += 50 + delay;
    if (const auto summary = lag.fired(now)) summaries.push_back(*summary);
  }
  return summaries;
}

TEST(EventLoopLag, IsReportedOncePerWindowIfMostFiringsAreLate) {
  std::vector<Time> delays(300, 0);
  EXPECT_TRUE(lag_summaries(delays).empty());
  delays[50] = 30'000;
  EXPECT_TRUE(lag_summaries(delays).empty()) << "a single pause is not reported";
  for (std::size_t i = 0; i < delays.size(); ++i) delays[i] = i % 3 == 0 ? 400 : 99;
  EXPECT_TRUE(lag_summaries(delays).empty()) << "two of three firings are in time";
  for (std::size_t i = 0; i < delays.size(); ++i)
    delays[i] = i % 3 == 0 ? 0 : i % 3 == 1 ? 250 : 350;
  const auto summaries = lag_summaries(delays);
  ASSERT_GT(summaries.size(), 2U);
  for (const EventLoopLag::LagSummary& summary : summaries) {
    EXPECT_NEAR(static_cast<double>(summary.mean), 300, 2);
    EXPECT_EQ(summary.max, 350);
  }
}

TEST(EventLoopLag, ATimerThatWasNotArmedIsNotLate) {
  EventLoopLag lag(kLateLimitMs, kLagWindowMs);
  for (Time now = 0; now < 100'000; now += 1'000) EXPECT_FALSE(lag.fired(now));
}

}  // namespace
}  // namespace sailreel::sim
