// Cancellations when several faults coincide: the tasks of a job that was reported as cancelled are
// gone, and a cancellation that can't be confirmed yet still gets a response.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

/// Connectivity of the old leader and its successor with each other and with the machines.
enum class Apart {
  /// The key-value store rejects the requests of the leader alone.
  Refused,
  /// As `Refused`; the leader has also lost the other controllers.
  RefusedNoPeers,
  /// As `RefusedNoPeers`; only the leader and one peer reach the machines.
  RefusedUnreached,
  /// The leader is partitioned from the key-value store and the other controllers; messages between
  /// them are delayed.
  Isolated,
};

/// An outage of the key-value store some time after the leader lost access to it.
struct Gap {
  Apart apart;
  Time outage_after;  // ms since the leader lost access
  double lease_s, cancel_s;
};

constexpr std::size_t kJobs = 8;

// The key-value store rejects the leader alone, another controller confirms cancellations, and then
// the store is down for all controllers for longer than cancel_s. Meanwhile workers go on sending
// heartbeats to the old leader, or to a peer that keeps their tasks alive. This combination of
// faults has caused the most failures.
void play_gap(const Gap& gap, std::uint64_t seed) {
  SimulationPlan plan = quiet(seed);
  plan.lease_s = gap.lease_s;
  plan.cancel_s = gap.cancel_s;
  plan.loss = 0;
  plan.length = 200'000;
  SimulatedRegion region(plan);
  region.run_until(1'000);
  for (std::size_t n = 0; n < kJobs; ++n) {
    JobSpec spec = service(job_id(n), 2);
    spec.spread = n % 2 == 0;
    spec.team = n % 3 == 0 ? "blue" : "red";
    spec.priority = static_cast<Priority>(n % 2);
    region.submit(spec);
  }
  region.run_until(45'000);
  const int old_leader = region.leader();
  ASSERT_GE(old_leader, 0);
  const auto lead = static_cast<std::size_t>(old_leader);
  const std::size_t friendly = (lead + 1) % 3, far = (lead + 2) % 3;
  const Time lease = ms(gap.lease_s);
  const Time outage = ms(gap.cancel_s) + 2 * lease;
  const Time apart = gap.outage_after + outage / 2;
  if (gap.apart == Apart::Isolated)
    region.isolate(lead, apart, true);
  else
    region.reject_kv_requests(lead, apart);
  if (gap.apart == Apart::RefusedNoPeers || gap.apart == Apart::RefusedUnreached)
    for (const std::size_t other : {friendly, far})
      region.cut(node_name(lead), node_name(other), apart, false);
  if (gap.apart == Apart::RefusedUnreached) {
    // One peer hears the machines and the old leader, and keeps tasks alive by itself when the old
    // leader ends. The other peer hears neither, and is the successor.
    region.cut(node_name(lead), node_name(friendly), 0, false);
    region.reject_kv_requests(friendly, apart);
    if (seed % 3 == 0) region.kill(lead, apart);
    region.cut(node_name(friendly), node_name(far), apart, false);
    for (const auto& m : region.machines_up()) region.cut(node_name(far), m, apart, false);
  }
  // Users cancel their jobs one after another: the first before the old leader's lease expires, the
  // last well into the outage.
  const Time from = region.now();
  for (std::size_t n = 0; n < kJobs; ++n) {
    const Time when = from + gap.outage_after * static_cast<Time>(n) / static_cast<Time>(kJobs - 2);
    region.run_until(when);
    region.cancel(job_id(n));
    if (when >= from + gap.outage_after && !region.kv_store().outage)
      region.kv_store_outage(outage);
  }
  region.run_until(from + gap.outage_after + outage + 4 * lease);
  region.run();
  EXPECT_TRUE(region.checker().violations().empty()) << seed << " " << region.checker().summary();
  EXPECT_EQ(region.checker().jobs_over(), kJobs) << seed;
  EXPECT_EQ(region.unanswered_cancellations(), 0U) << seed;
}

class GapTest : public ::testing::TestWithParam<std::tuple<Apart, Time, int>> {};

TEST_P(GapTest, WhatWasCalledCancelledIsGone) {
  const auto [apart, outage_after, ratio] = GetParam();
  constexpr std::pair<double, double> kRatios[] = {{10, 30}, {10, 12}, {6, 9}};
  const auto [lease_s, cancel_s] = kRatios[ratio];
  for (std::uint64_t seed = 1; seed <= 3; ++seed)
    play_gap({apart, outage_after, lease_s, cancel_s}, seed);
}

std::string gap_name(const ::testing::TestParamInfo<GapTest::ParamType>& p) {
  static const char* const kApart[] = {"Refused", "RefusedNoPeers", "RefusedUnreached", "Isolated"};
  return std::string(kApart[static_cast<int>(std::get<0>(p.param))]) + "_" +
         std::to_string(std::get<1>(p.param)) + "ms_ratio" + std::to_string(std::get<2>(p.param));
}

INSTANTIATE_TEST_SUITE_P(Offsets, GapTest,
                         ::testing::Combine(::testing::Values(Apart::Refused, Apart::RefusedNoPeers,
                                                              Apart::RefusedUnreached,
                                                              Apart::Isolated),
                                            ::testing::Values(800, 3'500, 6'000, 9'000),
                                            ::testing::Values(0, 1, 2)),
                         gap_name);

// A requested cancellation survives a change of leader, also if the user doesn't ask again: the
// next leader goes on stopping the job, starts none of its tasks, and reports it as cancelled once
// its tasks are gone.
TEST(Cancellation, OutlivesTheLeaderThatWasAsked) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    SimulatedRegion region(quiet(seed + 40));
    region.run_until(1'000);
    for (std::size_t n = 0; n < kJobs; ++n) region.submit(service(job_id(n), 2));
    region.run_until(40'000);
    const std::size_t lead = leader_of(region);
    // The machines are out of reach, so that the tasks can't be stopped at once.
    for (const auto& m : region.machines_up()) cut_off(region, m, 5'000, false);
    for (std::size_t n = 0; n < kJobs; n += 2) region.ask(job_id(n), n % 3, UserOp::Cancel);
    region.run_until(40'400);
    region.kill(lead, 20'000);
    std::set<std::string> started;
    region.on_command = [&](const std::string&, const Command& c) {
      if (c.op == Command::Op::Start) started.insert(c.key.job);
    };
    region.run_until(75'000);
    const Tables& tables = region.controller(leader_of(region))->tables();
    for (std::size_t n = 0; n < kJobs; n += 2) {
      EXPECT_FALSE(started.contains(job_id(n))) << seed << " " << n;
      const auto it = tables.finished.find(job_id(n));
      ASSERT_NE(it, tables.finished.end()) << seed << " " << n;
      EXPECT_EQ(it->second.phase, Phase::Cancelled);
    }
    EXPECT_TRUE(region.checker().violations().empty()) << seed << " " << region.checker().summary();
  }
}

// If a machine of the job is out of reach, the user is soon told to retry; if its machines respond,
// the user is soon told that the job is cancelled. In neither case does the user wait until the
// timeout.
TEST(Cancellation, IsAnsweredAtOnceEitherWay) {
  SimulationPlan plan = quiet(51);
  plan.loss = 0;
  SimulatedRegion region(plan);
  region.run_until(1'000);
  for (std::size_t n = 0; n < 4; ++n) {
    JobSpec spec = service(job_id(n), 2);
    spec.spread = n < 2;
    if (n >= 2) spec.zone = "za";
    region.submit(spec);
  }
  region.run_until(40'000);
  std::string away;
  for (const auto& [name, m] : region.controller(leader_of(region))->tables().machines)
    if (m->zone == "zb" && !m->empty()) away = name;
  ASSERT_FALSE(away.empty());
  cut_off(region, away, 8'000, true);
  region.run_until(40'500);
  const auto answered = [&](std::size_t n) {
    const Time asked = region.now();
    int status = 0;
    Time took = 0;
    region.ask_for(job_id(n), leader_of(region), UserOp::Cancel, [&](int s) {
      status = s;
      took = region.now() - asked;
    });
    region.run_until(asked + 2'000);
    return std::pair(status, took);
  };
  const auto [away_status, away_took] = answered(0);
  EXPECT_EQ(away_status, 503);
  EXPECT_LE(away_took, 600);
  const auto [near_status, near_took] = answered(2);
  EXPECT_EQ(near_status, 200);
  EXPECT_LE(near_took, 700);
  region.run();
  EXPECT_TRUE(region.checker().violations().empty()) << region.checker().summary();
}

// Jobs are cancelled on machines that can't be reached, while every team is at its limit and the
// leader changes. Tasks that may still be on a machine have to count against their team.
class AtTheLimit : public ::testing::TestWithParam<Scenario> {};

TEST_P(AtTheLimit, KeepsTheRules) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    SimulationPlan plan = quiet(seed * 5 + 2);
    plan.length = 400'000;
    SimulatedRegion region(plan);
    region.run_until(1'000);
    region.poll_closely(plan.length);
    for (std::size_t n = 0; n < 44; ++n) {
      JobSpec s = n % 2 == 0 ? service(job_id(n), 2) : array(job_id(n), 3, 40);
      s.team = n % 3 == 0 ? "blue" : "red";
      s.priority = s.kind == JobKind::Array ? Priority::Low : Priority::High;
      s.image = "img-" + std::to_string(n % 3);
      region.submit(s, s.kind == JobKind::Service ? 130'000 + static_cast<Time>(n) * 900 : 0);
    }
    region.run_until(50'000);
    GetParam().play(region, seed);
    region.run_until(region.now() + 60'000);
    region.faults_ended();
    region.run();
    region.checker().end_served();
    EXPECT_TRUE(region.checker().violations().empty()) << seed << " " << region.checker().summary();
  }
}

const Scenario kLimitScenarios[] = {
    {"TheLeaderChangesAndSomeMachinesCantBeAsked",
     [](SimulatedRegion& w, std::uint64_t seed) {
       for (int round = 0; round < 3; ++round) {
         const auto busy = busy_machines(w);
         for (std::size_t k = seed % 2; k < busy.size(); k += 2)
           cut_off(w, busy[k], 9'000, round == 1);
         w.run_until(w.now() + 300);
         w.kill(leader_of(w), 3'000);
         w.run_until(w.now() + 2'500);
         w.cancel_now(5, 0);
         w.run_until(w.now() + 14'000);
       }
     }},
    {"CancelledJobsMachinesAreCutOffOrHang",
     [](SimulatedRegion& w, std::uint64_t seed) {
       for (int round = 0; round < 3; ++round) {
         w.cancel_now(6, 4'000 + static_cast<Time>(seed) * 1'200);
         const auto busy = busy_machines(w);
         for (std::size_t k = 0; k < busy.size(); k += 3) cut_off(w, busy[k], 7'000, true);
         w.run_until(w.now() + 400);
         w.kill(leader_of(w), round == 0 ? 400 : 5'000);
         w.run_until(w.now() + 16'000);
       }
     }},
    {"TwoChangesOfLeaderAreNotToldByTheMachines",
     [](SimulatedRegion& w, std::uint64_t) {
       const auto busy = busy_machines(w);
       for (std::size_t k = 0; k < busy.size(); k += 2) cut_off(w, busy[k], 20'000, true);
       w.kill(leader_of(w), 2'000);
       w.run_until(w.now() + 4'500);
       w.cancel_now(5, 0);
       w.kill(leader_of(w), 2'000);
       w.run_until(w.now() + 30'000);
     }},
    {"OneControllersWorkChangesHands",
     [](SimulatedRegion& w, std::uint64_t seed) {
       for (int round = 0; round < 4; ++round) {
         const std::size_t lead = leader_of(w);
         if (round % 2 == 0)
           w.reject_kv_requests(lead, 6'000);
         else
           w.isolate(lead, 9'000, seed % 2 == 0);
         for (int n = 0; n < 8; ++n) {
           w.cancel_now(1, 0);
           w.run_until(w.now() + 500);
         }
         w.run_until(w.now() + 8'000);
       }
     }},
    {"CommandsAndTheirAnswersAreHeldUp",
     [](SimulatedRegion& w, std::uint64_t seed) {
       w.slow_commands(40'000);
       for (int round = 0; round < 4; ++round) {
         w.cancel_now(4, 0);
         if (round == 2) w.kill(leader_of(w), 1'000);
         // Work of higher priority preempts the rest.
         for (std::size_t n = 0; n < 3; ++n) {
           JobSpec s = service(job_id(500 + static_cast<std::size_t>(round) * 10 + n), 2);
           s.priority = Priority::Production;
           w.submit(s, w.now() + 30'000 + static_cast<Time>(seed) * 500);
         }
         w.run_until(w.now() + 9'000);
       }
     }},
};

INSTANTIATE_TEST_SUITE_P(Scenarios, AtTheLimit, ::testing::ValuesIn(kLimitScenarios),
                         scenario_name);

}  // namespace
}  // namespace sailreel::sim
