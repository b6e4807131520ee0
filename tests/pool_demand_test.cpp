// Tests how many machines a pool needs for tasks that wait and for headroom.
#include "controller/pool_demand.hpp"

#include <gtest/gtest.h>

namespace sailreel {
namespace {

constexpr Resources kMachine{16, 8, 128};

PoolDemand waiting(std::uint32_t tasks, const Resources& total) {
  PoolDemand demand;
  demand.add(tasks, total);
  return demand;
}

TEST(PoolDemand, ATaskThatWaitsNeedsAMachineHoweverLittleItNeeds) {
  EXPECT_EQ(machines_needed(waiting(1, {0.001, 0, 0}), kMachine), 1);
  EXPECT_EQ(machines_needed(waiting(1, {0, 0, 0.001}), kMachine), 1);
  EXPECT_EQ(machines_needed(waiting(1, {1e-9, 0, 0}), kMachine), 1);
  EXPECT_EQ(machines_needed(waiting(1, {}), kMachine), 1);
}

TEST(PoolDemand, NothingIsNeededIfNoTaskWaits) { EXPECT_EQ(machines_needed({}, kMachine), 0); }

TEST(PoolDemand, TasksThatExceedAMachineByLittleNeedTwo) {
  EXPECT_EQ(machines_needed(waiting(2, {16.01, 0, 0}), kMachine), 2);
  EXPECT_EQ(machines_needed(waiting(2, {1, 0, 128.1}), kMachine), 2);
}

TEST(PoolDemand, TasksThatFillAMachineNeedOneDespiteRoundingErrors) {
  Resources total;
  for (int n = 0; n < 160; ++n) total += Resources{0.1, 0.05, 0.8};
  ASSERT_NE(total.cpus, kMachine.cpus) << "the sum has no rounding error";
  EXPECT_EQ(machines_needed(waiting(160, total), kMachine), 1);
}

TEST(PoolDemand, HeadroomGetsAMachineOnlyIfItNeedsMoreThanAVerySmallPart) {
  PoolDemand demand = waiting(1, {16, 0, 0});
  demand.with_headroom.cpus = 16.1;
  EXPECT_EQ(machines_needed(demand, kMachine), 1);
  demand.with_headroom.cpus = 16.5;
  EXPECT_EQ(machines_needed(demand, kMachine), 2);
  PoolDemand headroom_alone;
  headroom_alone.with_headroom.cpus = 0.1;
  EXPECT_EQ(machines_needed(headroom_alone, kMachine), 0);
}

}  // namespace
}  // namespace sailreel
