// Limits that bind as fleets grow follow the settings: pages of lists, sockets, and the warning
// where the settings' limits can't carry the deployment that they describe.
#include <gtest/gtest.h>

#include "controller/capacity_check.hpp"
#include "protocol/fake_server_codec.hpp"
#include "support/controller_driver.hpp"
#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

// The list of 1,200 machines has three pages, the cloud takes two requests a second. The list was
// restarted after each page that the rate limit didn't allow, and its end was never read.
TEST(FixedLimits, AListOfManyPagesIsReadToItsEnd) {
  constexpr std::size_t kUnexpected = 1'200;
  SimulationPlan plan = quiet(31);
  Deployment deployment = sample_deployment(plan);
  for (Settings& settings : deployment.controllers) settings.cloud_limits.rps = 2;
  plan.deployment = deployment;
  SimulatedRegion region(plan);
  // As a scale-out request that is carried out late leaves them; none of them ever comes up.
  for (std::size_t n = 0; n < kUnexpected; ++n) {
    CloudMachine m;
    m.name = "m-" + std::to_string(500'000 + n);
    m.type = "box";
    m.zone = n % 2 == 0 ? "za" : "zb";
    m.broken = true;
    region.cloud().machines[m.name] = m;
  }
  region.run_until(30'000);
  const Tables& tables = region.controller(leader_of(region))->tables();
  EXPECT_EQ(tables.machines.size(), kUnexpected);
  region.run();
  EXPECT_TRUE(region.cloud().machines.empty()) << region.cloud().machines.size() << " are paid for";
}

// More machines are out of reach than inquiries have sockets. One that dies elsewhere is still
// asked in its turn, and terminated well before its lease has expired.
TEST(FixedLimits, ADeadMachineIsFoundBesideManyOutOfReach) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SimulationPlan plan = quiet(seed + 40);
    plan.scale = 4;
    plan.lease_s = 20;
    plan.cancel_s = 50;
    Deployment deployment = sample_deployment(plan);
    deployment.one_in_never_up = 0;
    for (Settings& settings : deployment.controllers) settings.limits.sockets = 30;
    plan.deployment = deployment;
    SimulatedRegion region(plan);
    region.run_until(1'000);
    for (std::size_t n = 0; n < 40; ++n) region.submit(service(job_id(n), 3));
    region.run_until(45'000);
    region.cut_zone("za", 60'000, false);
    region.run_until(56'000);
    std::size_t out_of_reach = 0;
    std::string last;
    for (const std::string& name : region.machines_up()) {
      const bool cut = region.cloud().machines.at(name).zone == "za";
      out_of_reach += cut ? 1 : 0;
      if (!cut) last = name;
    }
    ASSERT_GT(out_of_reach, 6U) << "a fifth of the sockets";
    ASSERT_FALSE(last.empty());
    region.kill_machine(last);
    // Two inquiries that fail, each after two rounds of the others, and a call to the cloud.
    region.run_until(region.now() + 14'000);
    const Controller* leader = region.controller(leader_of(region));
    ASSERT_NE(leader, nullptr);
    EXPECT_EQ(leader->tables().machines.count(last), 0U) << "seed " << seed << " " << last;
    region.run();
    EXPECT_TRUE(region.checker().violations().empty()) << region.checker().summary();
  }
}

// As many users wait for a checkpoint commit as have sockets at the controllers, not a fixed
// number.
TEST(FixedLimits, AsManySubmissionsWaitAsThereAreSockets) {
  Settings settings = settings_without_peers();
  settings.limits.sockets = 3'000;
  ControllerDriver driver(settings);
  driver.set_types({sample_type()});
  driver.run_for(2'000);
  ASSERT_TRUE(driver.controller().leading());
  // All at one moment: once the burst of writes is spent, they wait for the next commit.
  const auto body = [](std::size_t n) { return encode_submission(array(job_id(n), 1, 5)); };
  std::size_t refused = 0;
  for (std::size_t n = 0; n < 2'500; ++n) refused += driver.submit(body(n)) == 503 ? 1 : 0;
  EXPECT_EQ(refused, 0U);
  for (std::size_t n = 2'500; n < 4'000; ++n) refused += driver.submit(body(n)) == 503 ? 1 : 0;
  EXPECT_GT(refused, 0U) << "those beyond the sockets are refused at once";
}

// Attempt numbers of an epoch would run into those of the next. The leader resigns before that, and
// the work continues under the next epoch.
TEST(FixedLimits, UsedUpAttemptNumbersChangeTheLeader) {
  SimulationPlan plan = quiet(51);
  plan.options.attempts_per_epoch = 60;
  SimulatedRegion region(plan);
  region.run_until(1'000);
  for (std::size_t n = 0; n < 30; ++n) {
    region.submit(array(job_id(n), 6, 5));
    region.run_until(region.now() + 2'000);
  }
  region.run();
  EXPECT_GE(region.controller(leader_of(region))->epoch(), 3U) << "180 tasks";
  EXPECT_TRUE(region.checker().violations().empty()) << region.checker().summary();
  EXPECT_TRUE(region.checker().unfinished_arrays().empty());
}

TEST(FixedLimits, SocketsAreSharedOutWithinTheLimit) {
  for (const std::size_t peers : {0U, 2U, 4U, 20U})
    for (const std::uint64_t sockets : {8U, 30U, 100U, 500U, 700U, 20'000U}) {
      Settings settings = sample_settings(0);
      settings.limits.sockets = sockets;
      settings.peers.assign(peers, PeerSettings{});
      const SocketShares shares = share_sockets(settings, 0);
      EXPECT_GE(shares.server, sockets / 4) << sockets;
      EXPECT_LE(shares.server + shares.services + shares.worker_calls, sockets);
      EXPECT_GE(shares.links, 2 * peers) << "one each way for each sibling";
    }
}

TEST(FixedLimits, TheTightestLimitIsNamed) {
  Settings settings = sample_settings(0);
  settings.limits.sockets = 100'000;
  settings.limits.memory_mb = 1'000;
  settings.store.write_rps = 1'000;
  EXPECT_STREQ(tightest_limit(settings, {}, 40).name, "sockets");
  settings.limits.memory_mb = 16;
  EXPECT_STREQ(tightest_limit(settings, {}, 40).name, "memory");
  EXPECT_NEAR(tightest_limit(settings, {}, 40).machines, 3'600, 100);
  settings.store.write_rps = 5;
  EXPECT_STREQ(tightest_limit(settings, {}, 40).name, "state_writes");
  // Eight machines a write, nine tenths of the writes, within one boot.
  EXPECT_NEAR(tightest_limit(settings, {}, 40).machines, 1'440, 1);
  settings.limits.memory_mb = 1;
  EXPECT_EQ(tightest_limit(settings, {}, 40).machines, 0);
}

TEST(FixedLimits, TheDeploymentDescribedIsWhatTeamsAreGuaranteed) {
  Settings settings = sample_settings(0);
  settings.teams = {{"red", 0, 0, 8'000, 30'000}, {"blue", 100, 200, 24'000, 0}};
  MachineType small = sample_type();
  small.size.gpus = 4;
  EXPECT_EQ(described_machines(settings, {sample_type(), small}), 4'000);
  EXPECT_EQ(described_machines(settings, {}), 0);
  MachineType without_gpus = sample_type();
  without_gpus.size.gpus = 0;
  EXPECT_EQ(described_machines(settings, {sample_type(), without_gpus}), 4'000);
  EXPECT_GT(described_machines(settings, {without_gpus}), 1e9) << "no number of them is enough";
}

// A deployment that its limits can't carry starts all the same, and a warning is logged once per
// leader.
TEST(FixedLimits, TooLowALimitIsOneWarningLine) {
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

  ControllerDriver carried(settings_without_peers());
  carried.set_types({sample_type()});
  carried.run_for(120'000);
  EXPECT_TRUE(carried.warnings().empty());
}

}  // namespace
}  // namespace sailreel::sim
