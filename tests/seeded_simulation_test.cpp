// Complete simulations with seeded faults. The checker verifies the protocol's rules after each
// step.
#include <gtest/gtest.h>

#include <cstdio>

#include "sim/simulated_region.hpp"

namespace sailreel::sim {
namespace {

// Runs the rest of the simulation and expects that no rule is broken. Faults stop well before the
// end, so every accepted array must be over by then.
void expect_rules_kept(SimulatedRegion& region, const SimulationPlan& plan) {
  region.run();
  region.checker().check_end();
  EXPECT_TRUE(region.checker().violations().empty()) << region.checker().summary();
  EXPECT_EQ(region.kv_store().over_limit_requests, 0U);
  EXPECT_EQ(region.malformed_responses(), 0U);
  EXPECT_TRUE(region.checker().unfinished_arrays().empty())
      << region.checker().unfinished_arrays().front();
  EXPECT_GT(region.checker().jobs_over(), plan.jobs / 2);
}

class SeededDay : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(SeededDay, KeepsTheRules) {
  SimulationPlan plan;
  plan.seed = GetParam();
  SimulatedRegion region(plan);
  expect_rules_kept(region, plan);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SeededDay, ::testing::Range<std::uint64_t>(1, 81),
                         ::testing::PrintToStringParamName());

// Simulations in which a third of the jobs are gangs, whose tasks wait, start and stop together.
class GangDay : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(GangDay, KeepsTheRules) {
  SimulationPlan plan;
  plan.seed = GetParam() * 7 + 1;
  plan.gangs = true;
  plan.fault_pairs = GetParam() % 2 == 0;
  plan.length = 300'000;
  SimulatedRegion region(plan);
  expect_rules_kept(region, plan);
}

INSTANTIATE_TEST_SUITE_P(Seeds, GangDay, ::testing::Range<std::uint64_t>(1, 61),
                         ::testing::PrintToStringParamName());

// About 200 machines and hundreds of jobs, with crashes, partitions and preemptions of several
// machines at once.
class LargeDay : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(LargeDay, KeepsTheRules) {
  SimulationPlan plan;
  plan.seed = GetParam();
  plan.scale = 17;
  plan.jobs = 700;
  plan.length = 200'000;
  plan.faults_from = 40'000;
  plan.faults_until = 130'000;
  SimulatedRegion region(plan);
  region.run_until(plan.faults_from);
  EXPECT_GT(region.machines_up().size(), 120U);
  expect_rules_kept(region, plan);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LargeDay, ::testing::Range<std::uint64_t>(1, 4),
                         ::testing::PrintToStringParamName());

// About 800 machines with the same faults: the rules hold, and the number of jobs and machines
// examined per heartbeat stays below a fixed bound.
TEST(FleetDay, KeepsTheRules) {
  SimulationPlan plan;
  plan.seed = 6;
  plan.scale = 90;
  plan.jobs = 1'600;
  plan.length = 150'000;
  plan.faults_from = 45'000;
  plan.faults_until = 75'000;
  SimulatedRegion region(plan);
  region.run_until(plan.faults_from);
  EXPECT_GT(region.machines_up().size(), 600U);
  const int leader = region.leader();
  ASSERT_GE(leader, 0);
  const std::uint64_t examined = region.controller(static_cast<std::size_t>(leader))->examined();
  std::printf("machines %zu, examined per heartbeat %.1f\n", region.machines_up().size(),
              static_cast<double>(examined) / static_cast<double>(region.heartbeats()));
  EXPECT_LT(examined, 200 * region.heartbeats());
  expect_rules_kept(region, plan);
}

}  // namespace
}  // namespace sailreel::sim
