// Failovers that coincide with a second fault. Each scenario has the name by which
// docs/fault-combinations.md lists it, and runs with several seeds and a mix of jobs whose users
// poll closely all the time. Afterwards no rule may be broken, and nothing may be left waiting or
// unanswered.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

constexpr std::uint64_t kSeeds = 6;
constexpr Time kBegin = 55'000;
constexpr std::size_t kJobs = 16;

class Failover : public ::testing::TestWithParam<Scenario> {};

TEST_P(Failover, KeepsTheRules) {
  const Scenario& scene = GetParam();
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SimulationPlan plan = quiet(seed * 13);
    plan.length = 500'000;
    plan.boots_ms = scene.boots_ms;
    SimulatedRegion region(plan);
    region.run_until(1'000);
    region.poll_closely(plan.length);
    submit_mixed_jobs(region, 0, kJobs, seed);
    region.run_until(kBegin);
    scene.play(region, seed % 8);
    region.run_until(region.now() + 60'000);
    expect_all_served(region, kJobs, seed);
  }
}

void end_leader(SimulatedRegion& region, Time for_ms) { region.kill(leader_of(region), for_ms); }

const Scenario kScenarios[] = {
    {"OldReportsReachEveryControllerAsALeaderBegins",
     [](SimulatedRegion& w, std::uint64_t seed) {
       for (int round = 0; round < 4; ++round) {
         w.keep_heartbeats_for_next_leader(0.5, 9'000);
         w.run_until(w.now() + 8'000);
         w.cancel_now(3, 0);
         if (seed % 2 == 0) w.cancel_at_end(0.5, 10'000);
         w.run_until(w.now() + 500);
         end_leader(w, 4'000);
         w.run_until(w.now() + 9'000);
       }
     }},
    {"AReportIsHeldUntilANewLeaderHasActed",
     [](SimulatedRegion& w, std::uint64_t) {
       for (int round = 0; round < 3; ++round) {
         // The machines' messages are held and reach the leader long after its successor is
         // elected.
         const std::size_t old_leader = leader_of(w);
         for (const auto& m : busy_machines(w)) w.cut(node_name(old_leader), m, 15'000, true);
         w.cut(node_name(old_leader), kKvStoreHost, 15'000, true);
         w.run_until(w.now() + 4'000);
         w.cancel_now(3, 0);
         w.run_until(w.now() + 21'000);
       }
     }},
    {"HandOversAndBackAndAllEnd",
     [](SimulatedRegion& w, std::uint64_t seed) {
       for (int round = 0; round < 4; ++round) {
         end_leader(w, 400);
         w.run_until(w.now() + 3'000 + static_cast<Time>(seed) * 300);
       }
       for (std::size_t i = 0; i < 3; ++i) w.kill(i, i == seed % 3 ? 500 : 9'000);
       w.run_until(w.now() + 4'000);
       w.cancel_now(3, 0);
       w.run_until(w.now() + 12'000);
     }},
    {"LongTasksOutOfReachAsTheLeaderEnds",
     [](SimulatedRegion& w, std::uint64_t seed) {
       const auto busy = busy_machines(w);
       for (std::size_t k = 0; k < busy.size(); ++k) {
         if (k % 3 == 0) cut_off(w, busy[k], 14'000, seed % 2 == 0);
         if (k % 3 == 1) w.block_inbound(busy[k], 25'000);
       }
       end_leader(w, 6'000);
       w.run_until(w.now() + 5'000);
       w.cancel_now(4, 0);
       w.run_until(w.now() + 40'000);
     }},
    {"TasksEndFarApartAcrossLeaders",
     [](SimulatedRegion& w, std::uint64_t seed) {
       for (std::size_t n = 100; n < 112; ++n)
         w.submit(array(job_id(n), 2 + static_cast<std::uint32_t>(n % 2), 25));
       for (int round = 0; round < 4; ++round) {
         w.run_until(w.now() + 7'000 + static_cast<Time>(seed) * 200);
         end_leader(w, round % 2 == 0 ? 300 : 6'000);
       }
       w.run_until(w.now() + 10'000);
     }},
    {"LateWritesAfterNewerOnes",
     [](SimulatedRegion& w, std::uint64_t seed) {
       w.late_writes(0.4, 40'000, false);
       for (int round = 0; round < 3; ++round) {
         submit_mixed_jobs(w, 100 + static_cast<std::size_t>(round) * 8, 8, seed);
         if (round == 1) end_leader(w, 500);
         w.cancel_now(3, 0);
         w.run_until(w.now() + 6'000);
       }
     }},
    {"OldReportsAfterNewerOnes",
     [](SimulatedRegion& w, std::uint64_t) {
       w.delay_heartbeats(0.4, 60'000);
       for (int round = 0; round < 3; ++round) {
         // Incarnations change as leases expire, and attempts change as tasks are rescheduled.
         for (const auto& m : busy_machines(w))
           if (m.back() % 2 == 0) cut_off(w, m, 13'000, true);
         w.run_until(w.now() + 10'000);
         end_leader(w, 3'000);
         w.cancel_now(2, 0);
         w.run_until(w.now() + 12'000);
       }
     }},
    {"NewMachinesGetWorkWhileWritesLagAndTheLeaderEnds",
     [](SimulatedRegion& w, std::uint64_t seed) {
       for (int round = 0; round < 4; ++round) {
         for (std::size_t n = 0; n < 8; ++n) {
           JobSpec s = service(job_id(100 + static_cast<std::size_t>(round) * 10 + n), 1);
           s.image = "img-" + std::to_string(n % 3);
           w.submit(s, w.now() + 25'000);
         }
         w.late_writes(0.5, 3'000, seed % 2 == 0);
         w.run_until(w.now() + 2'200 + static_cast<Time>(seed) * 150);
         end_leader(w, 2'000);
         w.run_until(w.now() + 14'000);
       }
     },
     1'300},
    {"AllControllersAwayForLongerThanALease",
     [](SimulatedRegion& w, std::uint64_t seed) {
       for (std::size_t i = 0; i < 3; ++i) w.kill(i, 11'000 + static_cast<Time>(seed * i) * 400);
       w.cancel_now(4, seed % 2 == 0 ? 9'000 : 0);
       w.run_until(w.now() + 30'000);
     }},
    {"TenLeadersInTwoMinutesAlsoInAnOutage",
     [](SimulatedRegion& w, std::uint64_t seed) {
       for (int round = 0; round < 10; ++round) {
         if (round == 4) w.kv_store_outage(9'000);
         if (w.leader() >= 0) end_leader(w, round % 3 == 0 ? 6'000 : 600);
         w.cancel_now(1, 0);
         w.run_until(w.now() + 9'000 + static_cast<Time>(seed) * 400);
       }
     }},
    {"AFrozenLeaderWakesUnderItsSuccessor",
     [](SimulatedRegion& w, std::uint64_t seed) {
       for (int round = 0; round < 3; ++round) {
         const std::size_t old_leader = leader_of(w);
         w.freeze(old_leader, 5'000 + static_cast<Time>(seed) * 900);
         w.cancel_now(4, 0);
         w.cancel_at_end(0.5, 10'000);
         w.run_until(w.now() + 14'000);
       }
     }},
};

INSTANTIATE_TEST_SUITE_P(Scenarios, Failover, ::testing::ValuesIn(kScenarios), scenario_name);

}  // namespace
}  // namespace sailreel::sim
