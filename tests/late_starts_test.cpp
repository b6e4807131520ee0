// Starts and changes of the fleet that are carried out late: answers to heartbeats that arrive just
// before the worker gives up, and launches and terminations that the cloud carries out after they
// were given up. No task may start after its job's cancellation was confirmed, run twice, or run on
// a machine that no controller knows.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

constexpr Time kBootMs = 2'000;
constexpr Time kFaultsUntil = 130'000;

/// Submits short jobs and has each cancelled while its starts may be on their way; `trouble` is
/// called in between.
void cancel_while_starting(SimulatedRegion& region, std::uint64_t seed,
                           const std::function<void(const std::string& job)>& trouble) {
  region.submit(service_job(job_id(1), 2));
  region.run_until(region.now() + 12'000);
  for (std::size_t n = 10; n < 30; ++n) {
    region.submit(array_job(job_id(n), 3, 30));
    region.run_until(region.now() + 200 + static_cast<Time>(seed * n % 13) * 150);
    trouble(job_id(n));
    region.cancel(job_id(n));
    region.run_until(region.now() + 4'000);
  }
}

void nothing_else(SimulatedRegion& region, std::uint64_t seed) {
  cancel_while_starting(region, seed, [](const std::string&) {});
}

// The leader, or the follower that forwards its answers, stands still for almost the 4 s that a
// worker waits.
void controllers_stand_still(SimulatedRegion& region, std::uint64_t seed) {
  std::size_t round = 0;
  cancel_while_starting(region, seed, [&](const std::string&) {
    region.freeze((leader_index(region) + round++) % 3, 3'900);
  });
}

void machines_hang(SimulatedRegion& region, std::uint64_t seed) {
  cancel_while_starting(region, seed, [&](const std::string& job) {
    const std::vector<std::string> machines = region.machines_of(job);
    const std::vector<std::string> up = region.machines_up();
    for (const std::string& machine : machines.empty() ? up : machines)
      region.hang_machine(machine, 1'000 + static_cast<Time>(seed % 5) * 700);
  });
}

void direct_commands_are_slow(SimulatedRegion& region, std::uint64_t seed) {
  region.slow_commands(kFaultsUntil);
  nothing_else(region, seed);
}

void leaders_end(SimulatedRegion& region, std::uint64_t seed) {
  std::size_t round = 0;
  cancel_while_starting(region, seed, [&](const std::string&) {
    if (round++ % 3 == 0) region.kill(leader_index(region), 500);
  });
}

const std::vector<Scenario> kStartScenarios = {
    {"NothingElse", nothing_else},   {"ControllersStandStill", controllers_stand_still},
    {"MachinesHang", machines_hang}, {"DirectCommandsAreSlow", direct_commands_are_slow},
    {"LeadersEnd", leaders_end},
};

class LateStartsTest : public ::testing::TestWithParam<Scenario> {};

TEST_P(LateStartsTest, NoTaskStartsAfterItsCancellationWasConfirmed) {
  constexpr std::uint64_t kMinLateResponsesPerSeed = 30;
  std::uint64_t late_responses = 0;
  for (std::uint64_t seed = 1; seed <= seed_count(8); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SimulatedRegion region(plan_with_short_boots(seed, kBootMs));
    region.run_until(1'000);
    region.delay_heartbeat_responses(0.5, kFaultsUntil);
    GetParam().run(region, seed);
    region.faults_ended();
    region.run_until(region.now() + 100'000);
    late_responses += region.late_responses();
    expect_rules_kept_and_nothing_left(region, seed);
  }
  EXPECT_GE(late_responses, kMinLateResponsesPerSeed * seed_count(8));
}

INSTANTIATE_TEST_SUITE_P(Meetings, LateStartsTest, ::testing::ValuesIn(kStartScenarios),
                         scenario_name);

/// Has jobs come and go, so that machines are launched and terminated all the time.
void submit_waves(SimulatedRegion& region, const std::function<void(std::size_t round)>& trouble) {
  for (std::size_t round = 0; round < 8; ++round) {
    region.submit(array_job(job_id(10 + round), 12, 8));
    region.submit(service_job(job_id(30 + round), 2),
                  region.now() + 9'000 + static_cast<Time>(round) * 1'000);
    region.run_until(region.now() + 7'000);
    trouble(round);
    region.run_until(region.now() + 8'000);
  }
}

void no_other_trouble(SimulatedRegion& region, std::uint64_t) {
  submit_waves(region, [](std::size_t) {});
}

void leaders_change(SimulatedRegion& region, std::uint64_t) {
  submit_waves(region, [&](std::size_t) { region.kill(leader_index(region), 300); });
}

// Machines are back within a second, in their first incarnation and without a fencing token.
void machines_come_back(SimulatedRegion& region, std::uint64_t seed) {
  submit_waves(region, [&](std::size_t round) {
    const std::vector<std::string> up = region.machines_up();
    for (std::size_t i = 0; i < up.size(); i += 2)
      region.restart_machine(up[(i + seed + round) % up.size()], 300);
  });
}

void machines_come_back_under_a_new_leader(SimulatedRegion& region, std::uint64_t seed) {
  submit_waves(region, [&](std::size_t round) {
    region.kill(leader_index(region), 300);
    const std::vector<std::string> up = region.machines_up();
    if (!up.empty()) region.restart_machine(up[(seed + round) % up.size()], 300);
  });
}

// Machines are silent for almost a lease, so that the leader terminates some of them, and then go
// on.
void machines_are_silent(SimulatedRegion& region, std::uint64_t seed) {
  constexpr Time kSilentMs = 9'500;
  submit_waves(region, [&](std::size_t round) {
    const std::vector<std::string> up = region.machines_up();
    for (std::size_t i = 0; i < up.size(); i += 2)
      if ((seed + round) % 2 == 0)
        region.hang_machine(up[i], kSilentMs);
      else
        region.cut_machine(up[i], kSilentMs, false);
  });
}

const std::vector<Scenario> kCloudScenarios = {
    {"NothingElse", no_other_trouble},
    {"LeadersChange", leaders_change},
    {"MachinesComeBack", machines_come_back},
    {"MachinesAreSilent", machines_are_silent},
    {"MachinesComeBackUnderANewLeader", machines_come_back_under_a_new_leader},
};

class LateCloudRequestsTest : public ::testing::TestWithParam<Scenario> {};

TEST_P(LateCloudRequestsTest, NoTaskRunsOnAMachineThatNoControllerKnows) {
  constexpr std::uint64_t kMinLateRequestsPerSeed = 2;
  std::uint64_t late_requests = 0;
  for (std::uint64_t seed = 1; seed <= seed_count(8); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SimulatedRegion region(plan_with_short_boots(seed, kBootMs));
    region.run_until(1'000);
    region.delay_cloud_requests(0.5, kFaultsUntil);
    GetParam().run(region, seed);
    region.faults_ended();
    region.run_until(region.now() + 160'000);
    late_requests += region.late_cloud_requests();
    expect_rules_kept_and_nothing_left(region, seed);
    ASSERT_GE(region.leader(), 0);
    const Tables& tables = region.controller(leader_index(region))->tables();
    for (const std::string& machine : region.machines_up())
      EXPECT_TRUE(tables.machines.contains(machine)) << machine;
  }
  EXPECT_GE(late_requests, kMinLateRequestsPerSeed * seed_count(8));
}

INSTANTIATE_TEST_SUITE_P(Meetings, LateCloudRequestsTest, ::testing::ValuesIn(kCloudScenarios),
                         scenario_name);

}  // namespace
}  // namespace sailreel::sim
