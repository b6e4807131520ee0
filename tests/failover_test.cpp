// Failovers that coincide with a second fault. Each scenario has the name by which
// docs/fault-combinations.md lists it, and runs with several seeds and a mix of jobs whose users
// poll closely all the time. Afterwards no rule may be broken, and nothing may be left waiting or
// unanswered.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

constexpr std::uint64_t kSeedCount = 6;
constexpr Time kScenarioStartMs = 55'000;
constexpr std::size_t kJobCount = 16;

class Failover : public ::testing::TestWithParam<Scenario> {};

TEST_P(Failover, KeepsTheRules) {
  const Scenario& scenario = GetParam();
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    SimulationPlan plan = plan_without_faults(seed * 13);
    plan.length = 500'000;
    plan.boot_ms = scenario.boots_ms;
    SimulatedRegion region(plan);
    region.run_until(1'000);
    region.poll_intensively(plan.length);
    submit_mixed_jobs(region, 0, kJobCount, seed);
    region.run_until(kScenarioStartMs);
    scenario.run(region, seed % 8);
    region.run_until(region.now() + 60'000);
    expect_all_served(region, kJobCount, seed);
  }
}

void kill_leader(SimulatedRegion& region, Time for_ms) {
  region.kill(leader_index(region), for_ms);
}

const Scenario kScenarios[] = {
    {"OldReportsReachEveryControllerAsALeaderBegins",
     [](SimulatedRegion& region, std::uint64_t seed) {
       for (int round = 0; round < 4; ++round) {
         region.keep_heartbeats_for_next_leader(0.5, 9'000);
         region.run_until(region.now() + 8'000);
         region.cancel_running_jobs(3, 0);
         if (seed % 2 == 0) region.cancel_on_completion(0.5, 10'000);
         region.run_until(region.now() + 500);
         kill_leader(region, 4'000);
         region.run_until(region.now() + 9'000);
       }
     }},
    {"AReportIsHeldUntilANewLeaderHasActed",
     [](SimulatedRegion& region, std::uint64_t) {
       for (int round = 0; round < 3; ++round) {
         // The machines' messages are held and reach the leader long after its successor is
         // elected.
         const std::size_t old_leader = leader_index(region);
         for (const auto& machine : busy_machines(region))
           region.cut(node_name(old_leader), machine, 15'000, true);
         region.cut(node_name(old_leader), kKvStoreHost, 15'000, true);
         region.run_until(region.now() + 4'000);
         region.cancel_running_jobs(3, 0);
         region.run_until(region.now() + 21'000);
       }
     }},
    {"HandOversAndBackAndAllEnd",
     [](SimulatedRegion& region, std::uint64_t seed) {
       for (int round = 0; round < 4; ++round) {
         kill_leader(region, 400);
         region.run_until(region.now() + 3'000 + static_cast<Time>(seed) * 300);
       }
       for (std::size_t i = 0; i < 3; ++i) region.kill(i, i == seed % 3 ? 500 : 9'000);
       region.run_until(region.now() + 4'000);
       region.cancel_running_jobs(3, 0);
       region.run_until(region.now() + 12'000);
     }},
    {"LongTasksOutOfReachAsTheLeaderEnds",
     [](SimulatedRegion& region, std::uint64_t seed) {
       const auto busy = busy_machines(region);
       for (std::size_t k = 0; k < busy.size(); ++k) {
         if (k % 3 == 0) cut_off(region, busy[k], 14'000, seed % 2 == 0);
         if (k % 3 == 1) region.block_inbound(busy[k], 25'000);
       }
       kill_leader(region, 6'000);
       region.run_until(region.now() + 5'000);
       region.cancel_running_jobs(4, 0);
       region.run_until(region.now() + 40'000);
     }},
    {"TasksEndFarApartAcrossLeaders",
     [](SimulatedRegion& region, std::uint64_t seed) {
       for (std::size_t n = 100; n < 112; ++n)
         region.submit(array_job(job_id(n), 2 + static_cast<std::uint32_t>(n % 2), 25));
       for (int round = 0; round < 4; ++round) {
         region.run_until(region.now() + 7'000 + static_cast<Time>(seed) * 200);
         kill_leader(region, round % 2 == 0 ? 300 : 6'000);
       }
       region.run_until(region.now() + 10'000);
     }},
    {"LateWritesAfterNewerOnes",
     [](SimulatedRegion& region, std::uint64_t seed) {
       region.lose_write_responses(0.4, 40'000, false);
       for (int round = 0; round < 3; ++round) {
         submit_mixed_jobs(region, 100 + static_cast<std::size_t>(round) * 8, 8, seed);
         if (round == 1) kill_leader(region, 500);
         region.cancel_running_jobs(3, 0);
         region.run_until(region.now() + 6'000);
       }
     }},
    {"OldReportsAfterNewerOnes",
     [](SimulatedRegion& region, std::uint64_t) {
       region.delay_heartbeats(0.4, 60'000);
       for (int round = 0; round < 3; ++round) {
         // Incarnations change as leases expire, and attempts change as tasks are rescheduled.
         for (const auto& machine : busy_machines(region))
           if (machine.back() % 2 == 0) cut_off(region, machine, 13'000, true);
         region.run_until(region.now() + 10'000);
         kill_leader(region, 3'000);
         region.cancel_running_jobs(2, 0);
         region.run_until(region.now() + 12'000);
       }
     }},
    {"NewMachinesGetWorkWhileWritesLagAndTheLeaderEnds",
     [](SimulatedRegion& region, std::uint64_t seed) {
       for (int round = 0; round < 4; ++round) {
         for (std::size_t n = 0; n < 8; ++n) {
           JobSpec spec = service_job(job_id(100 + static_cast<std::size_t>(round) * 10 + n), 1);
           spec.image = "img-" + std::to_string(n % 3);
           region.submit(spec, region.now() + 25'000);
         }
         region.lose_write_responses(0.5, 3'000, seed % 2 == 0);
         region.run_until(region.now() + 2'200 + static_cast<Time>(seed) * 150);
         kill_leader(region, 2'000);
         region.run_until(region.now() + 14'000);
       }
     },
     1'300},
    {"AllControllersAwayForLongerThanALease",
     [](SimulatedRegion& region, std::uint64_t seed) {
       for (std::size_t i = 0; i < 3; ++i)
         region.kill(i, 11'000 + static_cast<Time>(seed * i) * 400);
       region.cancel_running_jobs(4, seed % 2 == 0 ? 9'000 : 0);
       region.run_until(region.now() + 30'000);
     }},
    {"TenLeadersInTwoMinutesAlsoInAnOutage",
     [](SimulatedRegion& region, std::uint64_t seed) {
       for (int round = 0; round < 10; ++round) {
         if (round == 4) region.kv_store_outage(9'000);
         if (region.leader() >= 0) kill_leader(region, round % 3 == 0 ? 6'000 : 600);
         region.cancel_running_jobs(1, 0);
         region.run_until(region.now() + 9'000 + static_cast<Time>(seed) * 400);
       }
     }},
    {"AFrozenLeaderWakesUnderItsSuccessor",
     [](SimulatedRegion& region, std::uint64_t seed) {
       for (int round = 0; round < 3; ++round) {
         const std::size_t old_leader = leader_index(region);
         region.freeze(old_leader, 5'000 + static_cast<Time>(seed) * 900);
         region.cancel_running_jobs(4, 0);
         region.cancel_on_completion(0.5, 10'000);
         region.run_until(region.now() + 14'000);
       }
     }},
};

INSTANTIATE_TEST_SUITE_P(Scenarios, Failover, ::testing::ValuesIn(kScenarios), scenario_name);

}  // namespace
}  // namespace sailreel::sim
