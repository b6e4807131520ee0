// Limits that bind as fleets grow must follow the settings: list pages, sockets, and the warning
// that is logged if the settings' limits can't carry the deployment that they describe.
#include <gtest/gtest.h>

#include "controller/capacity_check.hpp"
#include "protocol/fake_server_codec.hpp"
#include "support/controller_driver.hpp"
#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

// The cloud's list of 1,200 machines has three pages, and the cloud accepts two requests a second.
// Guards against restarting the list after each page that the rate limit delays, so that its end is
// never read.
TEST(FixedLimits, AListOfManyPagesIsReadToItsEnd) {
  constexpr std::size_t kUnknownMachines = 1'200;
  SimulationPlan plan = plan_without_faults(31);
  Deployment deployment = sample_deployment(plan);
  for (Settings& settings : deployment.controllers) settings.cloud_limits.rps = 2;
  plan.deployment = deployment;
  SimulatedRegion region(plan);
  // A scale-out request that the cloud carries out late leaves such machines, which no controller
  // knows. None of them ever comes up.
  for (std::size_t n = 0; n < kUnknownMachines; ++n) {
    CloudMachine machine;
    machine.name = "m-" + std::to_string(500'000 + n);
    machine.type = "box";
    machine.zone = n % 2 == 0 ? "za" : "zb";
    machine.never_boots = true;
    region.cloud().machines[machine.name] = machine;
  }
  region.run_until(30'000);
  const Tables& tables = region.controller(leader_index(region))->tables();
  EXPECT_EQ(tables.machines.size(), kUnknownMachines);
  region.run();
  EXPECT_TRUE(region.cloud().machines.empty())
      << region.cloud().machines.size() << " machines still cost money";
}

// More machines are unreachable than there are sockets for probes. A machine that dies in another
// zone must still be probed in its turn, and be terminated well before its lease expires.
TEST(FixedLimits, ADeadMachineIsDetectedAmongManyUnreachableOnes) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SimulationPlan plan = plan_without_faults(seed + 40);
    plan.scale = 4;
    plan.lease_s = 20;
    plan.cancel_s = 50;
    Deployment deployment = sample_deployment(plan);
    deployment.one_in_never_up = 0;
    for (Settings& settings : deployment.controllers) settings.process_limits.sockets = 30;
    plan.deployment = deployment;
    SimulatedRegion region(plan);
    region.run_until(1'000);
    for (std::size_t n = 0; n < 40; ++n) region.submit(service_job(job_id(n), 3));
    region.run_until(45'000);
    region.cut_zone("za", 60'000, false);
    region.run_until(56'000);
    std::size_t unreachable_machines = 0;
    std::string machine_to_kill;
    for (const std::string& name : region.machines_up()) {
      const bool unreachable = region.cloud().machines.at(name).zone == "za";
      unreachable_machines += unreachable ? 1 : 0;
      if (!unreachable) machine_to_kill = name;
    }
    ASSERT_GT(unreachable_machines, 6U) << "probes may use a fifth of the 30 sockets";
    ASSERT_FALSE(machine_to_kill.empty());
    region.kill_machine(machine_to_kill);
    // This is enough time for two failed probes, each after two rounds of probes to the other
    // machines, and a call to the cloud.
    region.run_until(region.now() + 14'000);
    const Controller* leader = region.controller(leader_index(region));
    ASSERT_NE(leader, nullptr);
    EXPECT_EQ(leader->tables().machines.count(machine_to_kill), 0U)
        << "seed " << seed << " " << machine_to_kill;
    region.run();
    EXPECT_TRUE(region.checker().violations().empty()) << region.checker().summary();
  }
}

// The number of submissions that may wait for a checkpoint commit follows the number of sockets in
// the settings instead of being fixed.
TEST(FixedLimits, AsManySubmissionsWaitAsThereAreSockets) {
  Settings settings = settings_without_peers();
  settings.process_limits.sockets = 3'000;
  ControllerDriver driver(settings);
  driver.set_types({sample_type()});
  driver.run_for(2'000);
  ASSERT_TRUE(driver.controller().leading());
  // All submissions arrive at one moment: once the burst of the write rate limit is spent, they
  // wait for the next commit.
  const auto body = [](std::size_t n) { return encode_submission(array_job(job_id(n), 1, 5)); };
  std::size_t rejected = 0;
  for (std::size_t n = 0; n < 2'500; ++n) rejected += driver.submit(body(n)) == 503 ? 1 : 0;
  EXPECT_EQ(rejected, 0U);
  for (std::size_t n = 2'500; n < 4'000; ++n) rejected += driver.submit(body(n)) == 503 ? 1 : 0;
  EXPECT_GT(rejected, 0U) << "submissions beyond the number of sockets must be rejected at once";
}

// Attempt numbers of one epoch must not overlap those of the next. The leader resigns before its
// numbers are used up, and the work continues under the next epoch.
TEST(FixedLimits, ExhaustedAttemptNumbersChangeTheLeader) {
  SimulationPlan plan = plan_without_faults(51);
  plan.options.attempts_per_epoch = 60;
  SimulatedRegion region(plan);
  region.run_until(1'000);
  for (std::size_t n = 0; n < 30; ++n) {
    region.submit(array_job(job_id(n), 6, 5));
    region.run_until(region.now() + 2'000);
  }
  region.run();
  EXPECT_GE(region.controller(leader_index(region))->epoch(), 3U)
      << "180 tasks at 60 attempts per epoch";
  EXPECT_TRUE(region.checker().violations().empty()) << region.checker().summary();
  EXPECT_TRUE(region.checker().unfinished_arrays().empty());
}

TEST(FixedLimits, SocketsAreDistributedWithinTheLimit) {
  for (const std::size_t peers : {0U, 2U, 4U, 20U})
    for (const std::uint64_t sockets : {8U, 30U, 100U, 500U, 700U, 20'000U}) {
      Settings settings = sample_settings(0);
      settings.process_limits.sockets = sockets;
      settings.peers.assign(peers, PeerSettings{});
      const SocketShares shares = distribute_sockets(settings, 0);
      EXPECT_GE(shares.server, sockets / 4) << sockets;
      EXPECT_LE(shares.server + shares.services + shares.worker_calls, sockets);
      EXPECT_GE(shares.links, 2 * peers) << "one link in each direction for each peer";
    }
}

TEST(FixedLimits, TheTightestLimitIsNamed) {
  Settings settings = sample_settings(0);
  settings.process_limits.sockets = 100'000;
  settings.process_limits.memory_mb = 1'000;
  settings.store_limits.write_rps = 1'000;
  EXPECT_STREQ(tightest_limit(settings, {}, 40).name, "sockets");
  settings.process_limits.memory_mb = 16;
  EXPECT_STREQ(tightest_limit(settings, {}, 40).name, "memory");
  EXPECT_NEAR(tightest_limit(settings, {}, 40).machines, 3'600, 100);
  settings.store_limits.write_rps = 5;
  EXPECT_STREQ(tightest_limit(settings, {}, 40).name, "state_writes");
  // The limit is eight machines per write, at nine tenths of five writes a second, within a boot
  // time of 40 s.
  EXPECT_NEAR(tightest_limit(settings, {}, 40).machines, 1'440, 1);
  settings.process_limits.memory_mb = 1;
  EXPECT_EQ(tightest_limit(settings, {}, 40).machines, 0);
}

TEST(FixedLimits, DescribedMachinesHoldTheGuaranteedQuotas) {
  Settings settings = sample_settings(0);
  settings.teams = {{"red", 0, 0, 8'000, 30'000}, {"blue", 100, 200, 24'000, 0}};
  MachineType small = sample_type();
  small.size.gpus = 4;
  EXPECT_EQ(machines_for_guaranteed_quotas(settings, {sample_type(), small}), 4'000);
  EXPECT_EQ(machines_for_guaranteed_quotas(settings, {}), 0);
  MachineType without_gpus = sample_type();
  without_gpus.size.gpus = 0;
  EXPECT_EQ(machines_for_guaranteed_quotas(settings, {sample_type(), without_gpus}), 4'000);
  EXPECT_GT(machines_for_guaranteed_quotas(settings, {without_gpus}), 1e9)
      << "no number of machines without GPUs is enough";
}

// A controller starts even if the settings' limits can't carry the deployment that they describe,
// and logs one warning per leader.
TEST(FixedLimits, ALimitThatIsTooLowLogsOneWarning) {
  Settings settings = settings_without_peers();
  settings.teams = {{"red", 0, 0, 32'000, 40'000}};
  ControllerDriver driver(settings);
  driver.set_types({sample_type()});
  driver.run_for(120'000);
  EXPECT_TRUE(driver.controller().leading());
  ASSERT_EQ(driver.warnings().size(), 1U);
  EXPECT_NE(driver.warnings().front().find("event=capacity_limit limit=sockets machines="),
            std::string::npos)
      << driver.warnings().front();
  EXPECT_NE(driver.warnings().front().find("described=4000"), std::string::npos);

  ControllerDriver driver_within_limits(settings_without_peers());
  driver_within_limits.set_types({sample_type()});
  driver_within_limits.run_for(120'000);
  EXPECT_TRUE(driver_within_limits.warnings().empty());
}

}  // namespace
}  // namespace sailreel::sim
