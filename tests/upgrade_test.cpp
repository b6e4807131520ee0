// Rolling upgrades in the middle of a simulation: controllers of the version in production are
// replaced one by one, in every order, under faults. Afterwards the limits of the key-value store
// fall, and gangs are submitted. The version in production runs its real controller code, which is
// built from the git history.
#include <gtest/gtest.h>

#include <algorithm>

#include "production/production_controller.hpp"
#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

constexpr Time kFirstUpgradeMs = 55'000, kUpgradeIntervalMs = 12'000, kDowntimeMs = 3'000;

SimulationPlan upgrade_plan(std::uint64_t seed) {
  SimulationPlan plan = plan_without_faults(seed);
  plan.length = 600'000;
  plan.lowered_value_kb = 2;
  plan.lowered_txn_ops = 5;
  plan.lowered_write_rps = 20;
  plan.make_production_controller = make_production_controller;
  return plan;
}

/// A fault that is injected before each step of a rolling upgrade. A test parameter, which is
/// printed by its name.
struct UpgradeFault {
  const char* name;
  std::function<void(SimulatedRegion&, int step)> inject;
};
// NOLINTNEXTLINE(readability-identifier-naming): GoogleTest looks for this name
void PrintTo(const UpgradeFault& fault, std::ostream* out) { *out << fault.name; }

class Upgrade : public ::testing::TestWithParam<UpgradeFault> {};

TEST_P(Upgrade, KeepsTheRulesInEveryOrder) {
  std::vector<std::size_t> order{0, 1, 2};
  std::uint64_t seed = 1;
  do {
    SimulatedRegion region(upgrade_plan(seed * 11));
    region.run_until(1'000);
    submit_mixed_jobs(region, 0, 40, seed);
    region.run_until(kFirstUpgradeMs);
    region.poll_intensively(300'000);
    int step = 0;
    for (const std::size_t node : order) {
      GetParam().inject(region, step++);
      region.upgrade(node, kDowntimeMs);
      region.run_until(region.now() + kUpgradeIntervalMs);
    }
    region.run_until(region.now() + 10'000);
    region.lower_store_limits();
    submit_mixed_jobs(region, 100, 12, seed);
    for (std::size_t n = 200; n < 206; ++n) {
      JobSpec spec = gang_job(job_id(n), 2 + n % 5, 3, 10);
      spec.one_zone = n % 2 == 0;
      region.submit(spec);
    }
    region.run_until(region.now() + 5'000);
    region.kill(leader_index(region), 4'000);
    region.run_until(region.now() + 60'000);
    region.faults_ended();
    for (std::size_t n = 0; n < 40; n += 3) region.cancel(job_id(n));
    region.run_until(region.now() + 150'000);
    expect_rules_kept_and_nothing_left(region, seed);
    ++seed;
  } while (std::next_permutation(order.begin(), order.end()));
}

const UpgradeFault kFaults[] = {{"NoFault", [](SimulatedRegion&, int) {}},
                                {"TheLeaderRestartsWithoutAnUpgrade",
                                 [](SimulatedRegion& region, int) {
                                   region.kill(leader_index(region), 500);
                                   region.run_until(region.now() + 4'000);
                                   region.kill(leader_index(region), 300);
                                   region.run_until(region.now() + 3'000);
                                 }},
                                {"TheLeaderIsFrozen",
                                 [](SimulatedRegion& region, int) {
                                   region.freeze(leader_index(region), 6'000);
                                   region.run_until(region.now() + 3'000);
                                 }},
                                {"TheKeyValueStoreRejectsOneController",
                                 [](SimulatedRegion& region, int step) {
                                   region.reject_kv_requests(static_cast<std::size_t>(step),
                                                             14'000);
                                   region.run_until(region.now() + 1'000);
                                 }},
                                {"KeyValueStoreOutage",
                                 [](SimulatedRegion& region, int) {
                                   region.kv_store_outage(8'000);
                                   region.run_until(region.now() + 1'000);
                                 }},
                                {"AZoneIsPartitioned",
                                 [](SimulatedRegion& region, int step) {
                                   region.cut_zone(step % 2 == 0 ? "za" : "zb", 11'000, step == 1);
                                   region.run_until(region.now() + 2'000);
                                 }},
                                {"OneControllerIsIsolated",
                                 [](SimulatedRegion& region, int step) {
                                   region.isolate(static_cast<std::size_t>(step), 9'000, step == 0);
                                   region.run_until(region.now() + 2'000);
                                 }},
                                {"CommitOutcomesAreUnknownAtEachStep",
                                 [](SimulatedRegion& region, int step) {
                                   region.lose_write_responses(0.5, 6'000, step % 2 == 0);
                                   region.delay_heartbeats(0.3, 6'000);
                                   region.cancel_running_jobs(3, 0);
                                   region.run_until(region.now() + 500);
                                   region.kill(leader_index(region), 2'000);
                                   region.run_until(region.now() + 500);
                                 }},
                                {"CancelledByOneVersionAndEnforcedByTheOther",
                                 [](SimulatedRegion& region, int step) {
                                   region.cancel_running_jobs(4, step == 1 ? 6'000 : 0);
                                   region.run_until(region.now() + 60);
                                 }},
                                {"AllControllersRestartAtOnce", [](SimulatedRegion& region, int) {
                                   for (std::size_t i = 0; i < 3; ++i)
                                     region.kill(i, 1'000 + 300 * static_cast<Time>(i));
                                   region.run_until(region.now() + 2'500);
                                 }}};

INSTANTIATE_TEST_SUITE_P(Faults, Upgrade, ::testing::ValuesIn(kFaults),
                         [](const auto& info) { return std::string(info.param.name); });

// The limits of the key-value store may fall as soon as all controllers are upgraded, while it
// still holds larger values that the version in production wrote: many jobs, a full manifest, long
// lists of machines.
TEST(Upgrade, LimitsFallAtAnyStepAfterwardsWithLargeValuesStored) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    SimulationPlan plan = upgrade_plan(seed * 5);
    plan.lowered_value_kb = seed % 2 == 0 ? 2 : 1;
    plan.lowered_txn_ops = seed % 4 < 2 ? 5 : 3;
    SimulatedRegion region(plan);
    region.run_until(1'000);
    submit_mixed_jobs(region, 0, 90, seed);
    JobSpec large = array_job("job-900", 9'000, 1);
    large.need = {0.03, 0, 0.01};
    if (seed % 4 == 0) region.submit(large);
    region.run_until(kFirstUpgradeMs);
    for (std::size_t node = 0; node < 3; ++node) {
      region.upgrade((node + seed) % 3, kDowntimeMs);
      // No pause follows the last upgrade, so the former leader's manifest isn't flushed before the
      // limits fall.
      if (node < 2) region.run_until(region.now() + kUpgradeIntervalMs);
    }
    region.run_until(region.now() + kDowntimeMs + 50 * static_cast<Time>(seed));
    region.lower_store_limits();
    region.run_until(region.now() + 200 * static_cast<Time>(seed));
    region.kill(leader_index(region), 2'000);
    region.run_until(region.now() + 20'000);
    submit_mixed_jobs(region, 200, 20, seed);
    for (std::size_t n = 0; n < 90; n += 2) region.cancel(job_id(n));
    for (std::size_t n = 200; n < 220; n += 2) region.cancel(job_id(n));
    region.run_until(region.now() + 380'000);
    EXPECT_TRUE(region.checker().violations().empty())
        << "seed " << seed << " " << region.checker().summary();
    EXPECT_EQ(region.kv_store().over_limit_requests, 0U) << seed;
    EXPECT_TRUE(region.checker().unfinished_arrays().empty())
        << "seed " << seed << " " << region.checker().unfinished_arrays().front();
  }
}

// A new controller rejects a gang that it would have to forward to a leader of the version in
// production.
TEST(Upgrade, GangsAreNotForwardedToAnOlderLeader) {
  SimulatedRegion region(upgrade_plan(4));
  region.run_until(2'000);
  const std::size_t leader = leader_index(region);
  const std::size_t other = (leader + 1) % 3;
  region.upgrade(other, kDowntimeMs);
  region.run_until(15'000);
  ASSERT_EQ(leader_index(region), leader);
  int status = 0;
  JobSpec spec = gang_job("job-1", 3, 2, 10);
  region.submit_at(spec, other, [&status](int s) { status = s; });
  region.run_until(16'000);
  EXPECT_EQ(status, 503);
}

// Gangs are rejected while any controller runs the version in production.
TEST(Upgrade, GangsAreRejectedUntilAllControllersAreNew) {
  SimulatedRegion region(upgrade_plan(3));
  region.run_until(2'000);
  region.upgrade(1, kDowntimeMs);
  region.upgrade(2, kDowntimeMs);
  region.run_until(20'000);
  region.kill(0, 8'000);
  region.run_until(25'000);
  int status = 0;
  region.submit(gang_job("job-1", 3, 2, 10));
  region.run_until(25'500);
  region.send_request_then("job-1", leader_index(region), RequestOp::Submit,
                           [&status](int s) { status = s; });
  region.run_until(26'000);
  EXPECT_EQ(status, 503);
  region.upgrade(0, kDowntimeMs);
  region.run_until(65'000);
  EXPECT_TRUE(region.checker().unfinished_arrays().empty());
  EXPECT_GT(region.gang_starts("job-1"), 0U);
  // A feature stays enabled once all controllers are known to support it, even if one of them can't
  // be heard after a restart.
  for (std::size_t i = 0; i < 3; ++i) region.kill(i, i == 2 ? 60'000 : 1'000);
  region.run_until(75'000);
  region.submit(gang_job("job-2", 3, 2, 10));
  region.run_until(100'000);
  EXPECT_GT(region.gang_starts("job-2"), 0U);
  EXPECT_TRUE(region.checker().violations().empty()) << region.checker().summary();
}

}  // namespace
}  // namespace sailreel::sim
