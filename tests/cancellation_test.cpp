// Cancellations when several faults coincide: the tasks of a job that was reported as cancelled are
// gone, and a cancellation that can't be confirmed yet still gets a response.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

/// How the old leader loses access to the key-value store, and which hosts it and its successor can
/// still reach.
enum class LostAccess {
  /// The key-value store rejects the requests of the leader alone.
  Refused,
  /// The key-value store rejects the leader alone, and the leader can't reach the other
  /// controllers.
  RefusedNoPeers,
  /// The key-value store rejects the leader and one peer, which reach each other and the machines.
  /// The third controller, which is the successor, reaches neither of them and no machine.
  RefusedUnreached,
  /// The leader is partitioned from the key-value store and the other controllers; messages between
  /// them are delayed.
  Isolated,
};

/// An outage of the key-value store some time after the leader lost access to it.
struct OutageAfterLostAccess {
  LostAccess lost_access;
  Time outage_after;  // ms since the leader lost access
  double lease_s, cancel_s;
};

constexpr std::size_t kJobs = 8;

// The key-value store rejects the leader alone, another controller confirms cancellations, and then
// the store is down for all controllers for longer than cancel_s. Meanwhile workers go on sending
// heartbeats to the old leader, or to a peer that keeps their tasks alive. This combination of
// faults has caused the most failures.
void simulate_outage_after_lost_access(const OutageAfterLostAccess& fault, std::uint64_t seed) {
  SimulationPlan plan = plan_without_faults(seed);
  plan.lease_s = fault.lease_s;
  plan.cancel_s = fault.cancel_s;
  plan.loss = 0;
  plan.length = 200'000;
  SimulatedRegion region(plan);
  region.run_until(1'000);
  for (std::size_t n = 0; n < kJobs; ++n) {
    JobSpec spec = service_job(job_id(n), 2);
    spec.spread = n % 2 == 0;
    spec.team = n % 3 == 0 ? "blue" : "red";
    spec.priority = static_cast<Priority>(n % 2);
    region.submit(spec);
  }
  region.run_until(45'000);
  const int old_leader = region.leader();
  ASSERT_GE(old_leader, 0);
  const auto leader = static_cast<std::size_t>(old_leader);
  const std::size_t connected_peer = (leader + 1) % 3, successor = (leader + 2) % 3;
  const Time lease_ms = ms(fault.lease_s);
  const Time outage_ms = ms(fault.cancel_s) + 2 * lease_ms;
  const Time lost_access_duration_ms = fault.outage_after + outage_ms / 2;
  if (fault.lost_access == LostAccess::Isolated)
    region.isolate(leader, lost_access_duration_ms, true);
  else
    region.reject_kv_requests(leader, lost_access_duration_ms);
  if (fault.lost_access == LostAccess::RefusedNoPeers ||
      fault.lost_access == LostAccess::RefusedUnreached)
    for (const std::size_t other : {connected_peer, successor})
      region.cut(node_name(leader), node_name(other), lost_access_duration_ms, false);
  if (fault.lost_access == LostAccess::RefusedUnreached) {
    // One peer hears the machines and the old leader, and keeps tasks alive by itself when the old
    // leader ends. The other peer hears neither, and is the successor.
    region.cut(node_name(leader), node_name(connected_peer), 0, false);
    region.reject_kv_requests(connected_peer, lost_access_duration_ms);
    if (seed % 3 == 0) region.kill(leader, lost_access_duration_ms);
    region.cut(node_name(connected_peer), node_name(successor), lost_access_duration_ms, false);
    for (const auto& machine : region.machines_up())
      region.cut(node_name(successor), machine, lost_access_duration_ms, false);
  }
  // Users cancel their jobs one after another: the first before the old leader's lease expires, the
  // last well into the outage.
  const Time lost_access_at = region.now();
  for (std::size_t n = 0; n < kJobs; ++n) {
    const Time cancel_at =
        lost_access_at + fault.outage_after * static_cast<Time>(n) / static_cast<Time>(kJobs - 2);
    region.run_until(cancel_at);
    region.cancel(job_id(n));
    if (cancel_at >= lost_access_at + fault.outage_after && !region.kv_store().outage)
      region.kv_store_outage(outage_ms);
  }
  region.run_until(lost_access_at + fault.outage_after + outage_ms + 4 * lease_ms);
  region.run();
  EXPECT_TRUE(region.checker().violations().empty()) << seed << " " << region.checker().summary();
  EXPECT_EQ(region.checker().jobs_over(), kJobs) << seed;
  EXPECT_EQ(region.unanswered_cancellations(), 0U) << seed;
}

class OutageAfterLostAccessTest
    : public ::testing::TestWithParam<std::tuple<LostAccess, Time, int>> {};

TEST_P(OutageAfterLostAccessTest, TasksOfCancelledJobsAreGone) {
  const auto [lost_access, outage_after, ratio] = GetParam();
  constexpr std::pair<double, double> kLeaseAndCancelSeconds[] = {{10, 30}, {10, 12}, {6, 9}};
  const auto [lease_s, cancel_s] = kLeaseAndCancelSeconds[ratio];
  for (std::uint64_t seed = 1; seed <= 3; ++seed)
    simulate_outage_after_lost_access({lost_access, outage_after, lease_s, cancel_s}, seed);
}

std::string outage_name(
    const ::testing::TestParamInfo<OutageAfterLostAccessTest::ParamType>& info) {
  static const char* const kLostAccessNames[] = {"Refused", "RefusedNoPeers", "RefusedUnreached",
                                                 "Isolated"};
  return std::string(kLostAccessNames[static_cast<int>(std::get<0>(info.param))]) + "_" +
         std::to_string(std::get<1>(info.param)) + "ms_ratio" +
         std::to_string(std::get<2>(info.param));
}

INSTANTIATE_TEST_SUITE_P(
    Offsets, OutageAfterLostAccessTest,
    ::testing::Combine(::testing::Values(LostAccess::Refused, LostAccess::RefusedNoPeers,
                                         LostAccess::RefusedUnreached, LostAccess::Isolated),
                       ::testing::Values(800, 3'500, 6'000, 9'000), ::testing::Values(0, 1, 2)),
    outage_name);

// A requested cancellation survives a change of leader, also if the user doesn't ask again: the
// next leader goes on stopping the job, starts none of its tasks, and reports it as cancelled once
// its tasks are gone.
TEST(Cancellation, SurvivesAChangeOfLeader) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    SimulatedRegion region(plan_without_faults(seed + 40));
    region.run_until(1'000);
    for (std::size_t n = 0; n < kJobs; ++n) region.submit(service_job(job_id(n), 2));
    region.run_until(40'000);
    const std::size_t leader = leader_index(region);
    // The machines are out of reach, so that the tasks can't be stopped at once.
    for (const auto& machine : region.machines_up()) cut_off(region, machine, 5'000, false);
    for (std::size_t n = 0; n < kJobs; n += 2)
      region.send_request(job_id(n), n % 3, RequestOp::Cancel);
    region.run_until(40'400);
    region.kill(leader, 20'000);
    std::set<std::string> started;
    region.on_command = [&](const std::string&, const Command& command) {
      if (command.op == Command::Op::Start) started.insert(command.key.job);
    };
    region.run_until(75'000);
    const Tables& tables = region.controller(leader_index(region))->tables();
    for (std::size_t n = 0; n < kJobs; n += 2) {
      EXPECT_FALSE(started.contains(job_id(n))) << seed << " " << n;
      const auto finished = tables.finished.find(job_id(n));
      ASSERT_NE(finished, tables.finished.end()) << seed << " " << n;
      EXPECT_EQ(finished->second.phase, Phase::Cancelled);
    }
    EXPECT_TRUE(region.checker().violations().empty()) << seed << " " << region.checker().summary();
  }
}

// If a machine of the job is out of reach, the user is soon told to retry; if its machines respond,
// the user is soon told that the job is cancelled. In neither case does the user wait until the
// timeout.
TEST(Cancellation, GetsAPromptResponseEitherWay) {
  SimulationPlan plan = plan_without_faults(51);
  plan.loss = 0;
  SimulatedRegion region(plan);
  region.run_until(1'000);
  for (std::size_t n = 0; n < 4; ++n) {
    JobSpec spec = service_job(job_id(n), 2);
    spec.spread = n < 2;
    if (n >= 2) spec.zone = "za";
    region.submit(spec);
  }
  region.run_until(40'000);
  std::string unreachable;
  for (const auto& [name, machine] : region.controller(leader_index(region))->tables().machines)
    if (machine->zone == "zb" && !machine->empty()) unreachable = name;
  ASSERT_FALSE(unreachable.empty());
  cut_off(region, unreachable, 8'000, true);
  region.run_until(40'500);
  const auto cancel = [&](std::size_t job_number) {
    const Time requested_at = region.now();
    int status = 0;
    Time response_time = 0;
    region.send_request_then(job_id(job_number), leader_index(region), RequestOp::Cancel,
                             [&](int response_status) {
                               status = response_status;
                               response_time = region.now() - requested_at;
                             });
    region.run_until(requested_at + 2'000);
    return std::pair(status, response_time);
  };
  const auto [unreachable_status, unreachable_response_time] = cancel(0);
  EXPECT_EQ(unreachable_status, 503);
  EXPECT_LE(unreachable_response_time, 600);
  const auto [reachable_status, reachable_response_time] = cancel(2);
  EXPECT_EQ(reachable_status, 200);
  EXPECT_LE(reachable_response_time, 700);
  region.run();
  EXPECT_TRUE(region.checker().violations().empty()) << region.checker().summary();
}

// Jobs are cancelled on machines that can't be reached, while every team is at its limit and the
// leader changes. Tasks that may still be on a machine have to count against their team.
class CancellationAtTeamLimits : public ::testing::TestWithParam<Scenario> {};

TEST_P(CancellationAtTeamLimits, KeepsTheRules) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    SimulationPlan plan = plan_without_faults(seed * 5 + 2);
    plan.length = 400'000;
    SimulatedRegion region(plan);
    region.run_until(1'000);
    region.poll_intensively(plan.length);
    for (std::size_t n = 0; n < 44; ++n) {
      JobSpec spec = n % 2 == 0 ? service_job(job_id(n), 2) : array_job(job_id(n), 3, 40);
      spec.team = n % 3 == 0 ? "blue" : "red";
      spec.priority = spec.kind == JobKind::Array ? Priority::Low : Priority::High;
      spec.image = "img-" + std::to_string(n % 3);
      region.submit(spec, spec.kind == JobKind::Service ? 130'000 + static_cast<Time>(n) * 900 : 0);
    }
    region.run_until(50'000);
    GetParam().run(region, seed);
    region.run_until(region.now() + 60'000);
    region.faults_ended();
    region.run();
    region.checker().check_end_and_service();
    EXPECT_TRUE(region.checker().violations().empty()) << seed << " " << region.checker().summary();
  }
}

const Scenario kLimitScenarios[] = {
    {"TheLeaderChangesAndSomeMachinesAreUnreachable",
     [](SimulatedRegion& region, std::uint64_t seed) {
       for (int round = 0; round < 3; ++round) {
         const auto busy = busy_machines(region);
         for (std::size_t k = seed % 2; k < busy.size(); k += 2)
           cut_off(region, busy[k], 9'000, round == 1);
         region.run_until(region.now() + 300);
         region.kill(leader_index(region), 3'000);
         region.run_until(region.now() + 2'500);
         region.cancel_running_jobs(5, 0);
         region.run_until(region.now() + 14'000);
       }
     }},
    {"CancelledJobsMachinesAreCutOffOrHang",
     [](SimulatedRegion& region, std::uint64_t seed) {
       for (int round = 0; round < 3; ++round) {
         region.cancel_running_jobs(6, 4'000 + static_cast<Time>(seed) * 1'200);
         const auto busy = busy_machines(region);
         for (std::size_t k = 0; k < busy.size(); k += 3) cut_off(region, busy[k], 7'000, true);
         region.run_until(region.now() + 400);
         region.kill(leader_index(region), round == 0 ? 400 : 5'000);
         region.run_until(region.now() + 16'000);
       }
     }},
    {"MachinesAreUnreachableDuringTwoChangesOfLeader",
     [](SimulatedRegion& region, std::uint64_t) {
       const auto busy = busy_machines(region);
       for (std::size_t k = 0; k < busy.size(); k += 2) cut_off(region, busy[k], 20'000, true);
       region.kill(leader_index(region), 2'000);
       region.run_until(region.now() + 4'500);
       region.cancel_running_jobs(5, 0);
       region.kill(leader_index(region), 2'000);
       region.run_until(region.now() + 30'000);
     }},
    {"TheLeaderIsRejectedOrIsolated",
     [](SimulatedRegion& region, std::uint64_t seed) {
       for (int round = 0; round < 4; ++round) {
         const std::size_t leader = leader_index(region);
         if (round % 2 == 0)
           region.reject_kv_requests(leader, 6'000);
         else
           region.isolate(leader, 9'000, seed % 2 == 0);
         for (int n = 0; n < 8; ++n) {
           region.cancel_running_jobs(1, 0);
           region.run_until(region.now() + 500);
         }
         region.run_until(region.now() + 8'000);
       }
     }},
    {"CommandsAndTheirResponsesAreDelayed",
     [](SimulatedRegion& region, std::uint64_t seed) {
       region.slow_commands(40'000);
       for (int round = 0; round < 4; ++round) {
         region.cancel_running_jobs(4, 0);
         if (round == 2) region.kill(leader_index(region), 1'000);
         // These services preempt running tasks of lower priority.
         for (std::size_t n = 0; n < 3; ++n) {
           JobSpec spec = service_job(job_id(500 + static_cast<std::size_t>(round) * 10 + n), 2);
           spec.priority = Priority::Production;
           region.submit(spec, region.now() + 30'000 + static_cast<Time>(seed) * 500);
         }
         region.run_until(region.now() + 9'000);
       }
     }},
};

INSTANTIATE_TEST_SUITE_P(Scenarios, CancellationAtTeamLimits, ::testing::ValuesIn(kLimitScenarios),
                         scenario_name);

}  // namespace
}  // namespace sailreel::sim
