// Late copies of messages that carry commands to workers. A copy of a start that was carried out
// before may reach its machine again after the attempt has exited and was forgotten, after the task
// was moved or cancelled, or after the machine or a controller has restarted within a second. No
// task may run twice, or run after its job's cancellation was confirmed.
#include <gtest/gtest.h>

#include "support/controller_driver.hpp"
#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

constexpr Time kBootMs = 2'000;
constexpr Time kFaultsUntil = 130'000;

/// Restarts a machine that runs or fetches a task of the job, within a second.
void restart_machine_of(SimulatedRegion& region, const std::string& job) {
  constexpr Time kDownMs = 300;
  const std::vector<std::string> machines = region.machines_of(job);
  if (!machines.empty()) region.restart_machine(machines.front(), kDownMs);
}

/// Submits two arrays of short tasks and a service whose replica can run on several machines.
void submit_jobs(SimulatedRegion& region) {
  region.submit(array_job(job_id(1), 6, 4));
  region.submit(array_job(job_id(2), 3, 40));
  region.submit(service_job(job_id(3), 2));
  region.run_until(region.now() + 15'000);
}

void nothing_else(SimulatedRegion& region, std::uint64_t) { submit_jobs(region); }

// Tasks fail once, are forgotten and run on another machine while copies of their first starts are
// on their way.
void attempts_forgotten(SimulatedRegion& region, std::uint64_t) {
  submit_jobs(region);
  for (std::size_t n = 10; n < 18; ++n) {
    constexpr std::uint32_t kTasks = 3;
    region.submit(array_job(job_id(n), kTasks, 40));
    for (std::uint32_t index = 0; index < kTasks; ++index) region.fail_once({job_id(n), index});
    region.run_until(region.now() + 8'000);
    region.cancel(job_id(n));
  }
}

// Tasks move because their machine ends, or hangs until its lease has expired and then goes on.
void machines_lost(SimulatedRegion& region, std::uint64_t seed) {
  submit_jobs(region);
  for (int round = 0; round < 4; ++round) {
    const std::vector<std::string> machines = region.machines_of(job_id(round % 2 == 0 ? 3 : 2));
    if (!machines.empty() && (seed + static_cast<std::uint64_t>(round)) % 3 == 0)
      region.kill_machine(machines.front());
    else if (!machines.empty())
      region.hang_machine(machines.front(), 14'000);
    region.run_until(region.now() + 18'000);
  }
}

// Tasks save their progress and move because the cloud is about to take their machine, which stays
// up for some time.
void tasks_moved(SimulatedRegion& region, std::uint64_t) {
  constexpr Time kNoticeMs = 25'000;
  submit_jobs(region);
  for (std::size_t n = 10; n < 13; ++n) {
    JobSpec spec = array_job(job_id(n), 4, 60);
    spec.checkpoint_s = 5;
    spec.save_s = 0.5;
    region.submit(spec);
    region.run_until(region.now() + 7'000);
    const std::vector<std::string> machines = region.machines_of(spec.id);
    if (!machines.empty()) region.preempt_machine(machines.front(), kNoticeMs);
    region.run_until(region.now() + kNoticeMs);
  }
}

// Jobs are cancelled soon after their tasks were started, and the machine may restart then.
void jobs_cancelled(SimulatedRegion& region, std::uint64_t seed) {
  submit_jobs(region);
  for (std::size_t n = 10; n < 18; ++n) {
    region.submit(array_job(job_id(n), 3, 30));
    region.run_until(region.now() + 2'000 + static_cast<Time>(seed * n % 7) * 500);
    if (n % 2 == 0) restart_machine_of(region, job_id(n));
    region.cancel(job_id(n));
    region.run_until(region.now() + 3'000);
  }
}

// Machines are back within a second, in their first incarnation and without a fencing token.
void machines_restarted(SimulatedRegion& region, std::uint64_t) {
  submit_jobs(region);
  for (std::size_t round = 0; round < 8; ++round) {
    restart_machine_of(region, job_id(2 + round % 2));
    region.run_until(region.now() + 7'000);
  }
}

// Controllers are back within a second: the leader, followers, and all at once.
void controllers_restarted(SimulatedRegion& region, std::uint64_t seed) {
  submit_jobs(region);
  for (std::size_t round = 0; round < 10; ++round) {
    const Time down_ms = 100 + static_cast<Time>((seed * 37 + round * 11) % 9) * 100;
    region.submit(array_job(job_id(20 + round), 3, 10));
    for (std::size_t node = 0; node < 3; ++node)
      if (round % 4 == 3 || node == (round + seed) % 3) region.kill(node, down_ms);
    region.run_until(region.now() + 6'000);
  }
}

const std::vector<Scenario> kScenarios = {
    {"NothingElse", nothing_else},
    {"AttemptsForgotten", attempts_forgotten},
    {"MachinesLost", machines_lost},
    {"TasksMoved", tasks_moved},
    {"JobsCancelled", jobs_cancelled},
    {"MachinesRestarted", machines_restarted},
    {"ControllersRestarted", controllers_restarted},
};

/// Runs the scenario while every message with commands arrives a second time, after 1 ms to 2.5
/// leases, and checks the rules at the end.
void expect_rules_kept_despite_copies(
    const std::function<void(SimulatedRegion&, std::uint64_t seed)>& scenario, std::uint64_t seed) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  SimulatedRegion region(plan_with_short_boots(seed, kBootMs));
  region.run_until(1'000);
  region.copy_commands(1, kFaultsUntil);
  region.delay_heartbeats(0.1, kFaultsUntil);
  scenario(region, seed);
  region.faults_ended();
  region.run_until(region.now() + 100'000);
  EXPECT_GT(region.command_copies(), 100U);
  expect_rules_kept_and_nothing_left(region, seed);
}

class LateCommandCopiesTest : public ::testing::TestWithParam<Scenario> {};

TEST_P(LateCommandCopiesTest, NoTaskRunsTwiceOrAfterItsCancellation) {
  for (std::uint64_t seed = 1; seed <= seed_count(8); ++seed)
    expect_rules_kept_despite_copies(GetParam().run, seed);
}

INSTANTIATE_TEST_SUITE_P(Meetings, LateCommandCopiesTest, ::testing::ValuesIn(kScenarios),
                         scenario_name);

/// A follower that has forwarded the heartbeat of a worker to the leader.
class ForwardingFollower {
 public:
  explicit ForwardingFollower(std::uint64_t seed)
      : controller_(sample_settings(1), Options{}, seed) {
    PeerMessage message;
    message.heartbeat.node = node_name(0);
    message.heartbeat.epoch = 1;
    message.heartbeat.leading = true;
    message.heartbeat.incarnation = 1;
    step(PeerMessageReceived{kLeader, message});
    Heartbeat heartbeat = heartbeat_of("m-1", 1, {});
    heartbeat.zone = sample_settings(1).zone;
    for (const Action& action :
         step(HeartbeatReceived{{RequestSource::Kind::Local, 1, 0}, heartbeat, {}}))
      if (const auto* sent = std::get_if<SendToPeer>(&action))
        if (sent->message.kind == PeerMessage::Kind::Request)
          call_id_ = sent->message.request.call_id;
  }

  [[nodiscard]] std::optional<std::uint64_t> call_id() const { return call_id_; }
  /// Delivers a response of the leader; returns whether the worker got it.
  bool pass_on(std::uint64_t call_id) {
    PeerMessage message;
    message.kind = PeerMessage::Kind::Response;
    message.response = {call_id, 200, 0, {}, "{}"};
    const std::vector<Action> actions = step(PeerMessageReceived{kLeader, message});
    return std::any_of(actions.begin(), actions.end(), [](const Action& action) {
      return std::holds_alternative<Response>(action);
    });
  }

 private:
  static constexpr std::size_t kLeader = 0;  // index among the peers of node 1

  std::vector<Action> step(Input input) {
    constexpr Time kNowMs = 1'000;
    return controller_.step(Clock{kNowMs, kNowMs}, std::move(input));
  }

  Controller controller_;
  std::optional<std::uint64_t> call_id_;
};

// Guards against a late copy of the leader's response that is taken for the response to another
// request: a follower that had restarted used the call ids of its predecessor again, and so passed
// the commands for one worker on to another.
TEST(LateCommandCopies, ARestartedFollowerDropsAResponseToItsPredecessor) {
  const ForwardingFollower predecessor(1);
  ForwardingFollower restarted(2);
  ASSERT_TRUE(predecessor.call_id() && restarted.call_id());
  EXPECT_FALSE(restarted.pass_on(*predecessor.call_id()));
  EXPECT_TRUE(restarted.pass_on(*restarted.call_id()));
}

// The same in mixed simulations with seeded faults of machines, controllers and the network.
TEST(LateCommandCopies, RulesHoldInSeededSimulations) {
  for (std::uint64_t seed = 1; seed <= seed_count(8); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SimulationPlan plan;
    plan.seed = seed;
    plan.boot_ms = kBootMs;
    SimulatedRegion region(plan);
    region.copy_commands(0.5, plan.length);
    for (Time at = 40'000; at < plan.faults_until; at += 9'000)
      region.schedule(at, [&region, at] {
        const std::vector<std::string> machines = region.machines_up();
        if (machines.empty()) return;
        region.restart_machine(machines[static_cast<std::size_t>(at / 1'000) % machines.size()],
                               300);
      });
    region.run();
    EXPECT_GT(region.command_copies(), 100U);
    EXPECT_TRUE(region.checker().violations().empty()) << region.checker().summary();
  }
}

}  // namespace
}  // namespace sailreel::sim
