// Seeded simulations in which faults coincide: two or three begin within seconds of each other,
// while users poll closely and cancel jobs.
#include <gtest/gtest.h>

#include "sim/simulated_region.hpp"

namespace sailreel::sim {
namespace {

class FaultPairDay : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(FaultPairDay, KeepsTheRules) {
  SimulationPlan plan;
  plan.seed = GetParam();
  plan.fault_pairs = true;
  plan.length = 330'000;
  plan.faults_until = 190'000;
  // Some seeds use other ratios of lease, cancellation time and heartbeat interval.
  if (plan.seed % 3 == 1) plan.cancel_s = 14;
  if (plan.seed % 3 == 2) {
    plan.lease_s = 6;
    plan.heartbeat_interval_s = 0.8;
    plan.cancel_s = 20;
  }
  if (plan.seed % 4 == 0) plan.boot_ms = 1'500;
  SimulatedRegion region(plan);
  region.run();
  region.checker().check_end_and_service();
  EXPECT_TRUE(region.checker().violations().empty()) << region.checker().summary();
  EXPECT_EQ(region.kv_store().over_limit_requests, 0U);
  EXPECT_EQ(region.malformed_responses(), 0U);
  EXPECT_GT(region.checker().jobs_over(), plan.jobs / 2);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FaultPairDay, ::testing::Range<std::uint64_t>(1, 61),
                         ::testing::PrintToStringParamName());

}  // namespace
}  // namespace sailreel::sim
