// Late heartbeats must not bring back what has ended: an incarnation whose lease has expired by the
// leader's clock, a machine that was terminated, or attempts that placement no longer allows.
#include <gtest/gtest.h>

#include "support/controller_driver.hpp"
#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

TEST(IncarnationFence, AdmitsLaterIncarnationsOnly) {
  IncarnationFence fence;
  EXPECT_TRUE(fence.admits(1));
  fence.close(3, 1'000);
  EXPECT_FALSE(fence.admits(2));
  EXPECT_FALSE(fence.admits(3));
  EXPECT_TRUE(fence.admits(4));
  fence.close(2, 2'000);
  EXPECT_FALSE(fence.admits(3));
  EXPECT_EQ(fence.closed_at(), 1'000);
}

TEST(IncarnationFence, AResponseToALaterProbeReopensAnIncarnation) {
  IncarnationFence fence;
  fence.close(3, 1'000);
  fence.response_received(3, 999);
  EXPECT_FALSE(fence.admits(3)) << "the probe was sent before the incarnation was closed";
  fence.response_received(3, 1'000);
  EXPECT_TRUE(fence.admits(3));
  EXPECT_FALSE(fence.admits(2));
  fence.close(3, 5'000);
  EXPECT_FALSE(fence.admits(3));
}

TEST(IncarnationFence, TheFirstIncarnationOfAnUnheardWorkerCountsAsEnded) {
  IncarnationFence fence;
  fence.close_unknown_number(1'000);
  EXPECT_FALSE(fence.admits(7));
  EXPECT_FALSE(fence.admits(7));
  EXPECT_TRUE(fence.admits(8));
  IncarnationFence probed;
  probed.close_unknown_number(1'000);
  probed.response_received(7, 1'500);
  EXPECT_TRUE(probed.admits(7));
}

TaskStatus running_task(const std::string& job, std::uint32_t index, std::uint64_t attempt = 1) {
  return {{job, index}, attempt, RunState::Running, ExitCause::None, false};
}

Heartbeat incarnation_heartbeat(const std::string& machine, std::uint64_t incarnation,
                                std::uint64_t seq, std::vector<TaskStatus> tasks) {
  Heartbeat heartbeat = heartbeat_of(machine, seq, std::move(tasks));
  heartbeat.spot = true;
  heartbeat.incarnation = incarnation;
  heartbeat.address = "10.1.0.1:" + machine.substr(2);
  return heartbeat;
}

/// A leader after a failover, with four machines, m-1 to m-4. Only m-4 keeps sending heartbeats,
/// and it responds to no probe. Too many machines are silent at once for them to be terminated.
class IncarnationFenceAfterFailover : public ::testing::Test {
 protected:
  IncarnationFenceAfterFailover() : driver_(settings_without_peers()) {
    driver_.set_types({sample_type()});
  }

  void add_job(const std::string& id, std::uint32_t tasks,
               const std::function<void(JobSpec&)>& adjust) {
    JobRecord record;
    record.spec = array_job(id, tasks, 30);
    if (adjust) adjust(record.spec);
    record.started = tasks;
    record.done = Bitmap(tasks);
    records_.push_back(encode_record(record));
  }
  void failover() {
    driver_.write(kManifestKey, encode_manifest({1, 0, {}}, records_));
    std::map<std::size_t, std::vector<MachineRecord>> shards;
    for (const char* name : {"m-1", "m-2", "m-3", "m-4"})
      shards[machine_shard(name)].push_back({name, std::string("10.1.0.1:") + (name + 2), {}});
    for (const auto& [shard, machines] : shards)
      driver_.write(machines_key(shard), encode_machines(machines));
    driver_.run_for(2'000);
    ASSERT_TRUE(driver_.controller().leading());
  }
  /// Runs for `span` ms, while the last machine, m-4, sends a heartbeat every second.
  void run_with_heartbeats_of_m4(Time span, const std::vector<TaskStatus>& tasks = {}) {
    for (Time passed = 0; passed < span; passed += 1'000) {
      m4_commands_ += driver_.heartbeat(incarnation_heartbeat("m-4", 1, ++m4_seq_, tasks));
      driver_.run_for(1'000);
    }
  }
  [[nodiscard]] const Machine& machine(const std::string& name) const {
    return *driver_.controller().tables().machines.at(name);
  }
  [[nodiscard]] const Job& job(const std::string& id) const {
    return *driver_.controller().tables().jobs.at(id);
  }

  ControllerDriver driver_;
  std::vector<std::string> records_;
  std::uint64_t m4_seq_ = 0;
  std::string m4_commands_;
};

/// Longer (ms) than it takes the lease of a silent machine to expire.
constexpr Time kBeyondLeaseMs = 13'000;

// m-1 is silent until after its lease has expired. One of its tasks, of job-1, is started elsewhere
// meanwhile; the other, of job-2, fits on no other machine.
class SilentBeyondItsLease : public IncarnationFenceAfterFailover {
 protected:
  SilentBeyondItsLease() {
    add_job("job-1", 1, {});
    add_job("job-2", 1, [](JobSpec& spec) { spec.need = {14, 7, 100}; });
    add_job("job-3", 1, [](JobSpec& spec) { spec.need = {10, 5, 60}; });
    failover();
    driver_.heartbeat(incarnation_heartbeat("m-1", 1, 1, former_tasks()));
    for (const char* name : {"m-2", "m-3"})
      driver_.heartbeat(incarnation_heartbeat(name, 1, 1, {}));
    run_with_heartbeats_of_m4(kBeyondLeaseMs, {running_task("job-3", 0)});
    EXPECT_TRUE(machine("m-1").empty());
    EXPECT_EQ(job("job-1").tasks[0].machine, &machine("m-4")) << "job-1 was not rescheduled";
    EXPECT_EQ(job("job-2").tasks[0].state, TaskState::Queued);
  }
  static std::vector<TaskStatus> former_tasks() {
    return {running_task("job-1", 0), running_task("job-2", 0)};
  }
};

TEST_F(SilentBeyondItsLease, AnOldHeartbeatIsRejectedAndRenewsNothing) {
  const Time heard_at = machine("m-1").last_heartbeat, answered_at = machine("m-1").last_response;
  EXPECT_EQ(driver_.response_to(incarnation_heartbeat("m-1", 1, 9, former_tasks())).status, 503);
  const Machine& silent_machine = machine("m-1");
  EXPECT_TRUE(silent_machine.empty());
  EXPECT_TRUE(silent_machine.silent);
  EXPECT_EQ(silent_machine.last_heartbeat, heard_at);
  EXPECT_EQ(silent_machine.last_response, answered_at);
  EXPECT_EQ(job("job-2").tasks[0].state, TaskState::Queued);
  // An old heartbeat is also rejected while the leader's own lease may have expired.
  driver_.kv_store().outage = true;
  driver_.run_for(3'000);
  ASSERT_TRUE(driver_.controller().leading());
  EXPECT_EQ(driver_.response_to(incarnation_heartbeat("m-1", 1, 10, former_tasks())).status, 503);
  EXPECT_EQ(machine("m-1").last_heartbeat, heard_at);
  EXPECT_EQ(machine("m-1").last_response, answered_at);
}

TEST_F(SilentBeyondItsLease, ItsNextIncarnationIsAcceptedAtOnce) {
  EXPECT_EQ(driver_.response_to(incarnation_heartbeat("m-1", 1, 9, former_tasks())).status, 503);
  EXPECT_EQ(driver_.response_to(incarnation_heartbeat("m-1", 2, 10, {})).status, 200);
  EXPECT_FALSE(machine("m-1").silent);
  driver_.run_for(1'000);
  EXPECT_NE(driver_.heartbeat(incarnation_heartbeat("m-1", 2, 11, {})).find("job-2/0"),
            std::string::npos)
      << "m-1 was sent no start command";
}

// If the incarnation has not ended after all, the worker's response to a probe shows that. One
// probe is enough to admit the incarnation; the machine keeps the task that was not started
// elsewhere, and is told to stop the other.
TEST_F(SilentBeyondItsLease, ALiveIncarnationIsAdmittedAgainAfterAProbe) {
  driver_.on_direct = [](const std::string& address) -> std::optional<Heartbeat> {
    if (address != "10.1.0.1:1") return {};
    return incarnation_heartbeat("m-1", 1, 10, former_tasks());
  };
  EXPECT_EQ(driver_.response_to(incarnation_heartbeat("m-1", 1, 9, former_tasks())).status, 503);
  EXPECT_FALSE(machine("m-1").silent);
  EXPECT_EQ(job("job-2").tasks[0].machine, &machine("m-1"));
  EXPECT_EQ(job("job-1").orphans.size(), 1U);
  const Response& response =
      driver_.response_to(incarnation_heartbeat("m-1", 1, 11, former_tasks()));
  EXPECT_EQ(response.status, 200);
  EXPECT_NE(response.body.find("kill"), std::string::npos);
  EXPECT_NE(response.body.find("job-1/0"), std::string::npos);
  EXPECT_EQ(response.body.find("job-2/0"), std::string::npos);
}

// The leader never heard the machine, so it doesn't know the number of the incarnation that has
// ended: the first incarnation that it sees counts as ended.
TEST_F(IncarnationFenceAfterFailover, AHeartbeatOfAMachineThatTheLeaderNeverHeardIsRejected) {
  add_job("job-1", 1, {});
  failover();
  run_with_heartbeats_of_m4(33'000);
  ASSERT_FALSE(driver_.controller().reconciling());
  ASSERT_FALSE(machine("m-1").heard_in_epoch);
  EXPECT_EQ(
      driver_.response_to(incarnation_heartbeat("m-1", 5, 9, {running_task("job-1", 0)})).status,
      503);
  EXPECT_TRUE(machine("m-1").empty());
  EXPECT_EQ(job("job-1").orphans.size(), 0U);
  EXPECT_EQ(driver_.response_to(incarnation_heartbeat("m-1", 6, 10, {})).status, 200);
}

// Terminated machines are remembered only for a limited time. After that, a heartbeat that shows
// tasks on such a machine is one of an unknown machine, and its tasks are not adopted.
TEST_F(IncarnationFenceAfterFailover, TasksOfAnUnknownMachineAreNotAdopted) {
  add_job("job-1", 2, {});
  failover();
  for (const char* name : {"m-1", "m-2", "m-3"})
    driver_.heartbeat(incarnation_heartbeat(name, 1, 1, {}));
  run_with_heartbeats_of_m4(2'000);
  ASSERT_FALSE(driver_.controller().reconciling());
  EXPECT_EQ(
      driver_.response_to(incarnation_heartbeat("m-9", 1, 9, {running_task("job-1", 0)})).status,
      503);
  EXPECT_FALSE(driver_.controller().tables().machines.contains("m-9"));
  EXPECT_EQ(driver_.response_to(incarnation_heartbeat("m-9", 1, 10, {})).status, 200)
      << "a machine without tasks was not accepted as new";
}

// Guards against starts in two zones if the incarnation fence fails to reject a heartbeat: a job
// that is bound to one zone and found in two gets no further attempt until it is in one only, and
// attempts that were placed before are not started.
TEST_F(IncarnationFenceAfterFailover, AJobFoundInTwoZonesIsNotPlacedUntilItIsInOne) {
  add_job("job-1", 3, [](JobSpec& spec) { spec.one_zone = true; });
  failover();
  const auto heartbeat_from_zb = [](std::uint64_t seq, std::vector<TaskStatus> tasks) {
    Heartbeat heartbeat = incarnation_heartbeat("m-2", 1, seq, std::move(tasks));
    heartbeat.zone = "zb";
    return heartbeat;
  };
  std::string commands =
      driver_.heartbeat(incarnation_heartbeat("m-1", 1, 1, {running_task("job-1", 0)}));
  commands += driver_.heartbeat(heartbeat_from_zb(1, {running_task("job-1", 1)}));
  for (const char* name : {"m-3", "m-4"}) driver_.heartbeat(incarnation_heartbeat(name, 1, 1, {}));
  m4_seq_ = 1;
  for (std::uint64_t seq = 2; seq < 6; ++seq) {
    commands += driver_.heartbeat(incarnation_heartbeat("m-1", 1, seq, {running_task("job-1", 0)}));
    commands += driver_.heartbeat(heartbeat_from_zb(seq, {running_task("job-1", 1)}));
    run_with_heartbeats_of_m4(1'000);
  }
  EXPECT_EQ(job("job-1").queued, 1U);
  EXPECT_EQ((commands + m4_commands_).find("start"), std::string::npos);
  const TaskStatus exited{{"job-1", 1}, 1, RunState::Exited, ExitCause::Done, false};
  driver_.heartbeat(heartbeat_from_zb(6, {exited}));
  driver_.heartbeat(incarnation_heartbeat("m-1", 1, 6, {running_task("job-1", 0)}));
  driver_.run_for(1'000);
  commands = driver_.heartbeat(heartbeat_from_zb(7, {exited}));
  EXPECT_EQ(commands.find("start"), std::string::npos)
      << "a task was started outside of the job's zone";
  commands = driver_.heartbeat(incarnation_heartbeat("m-1", 1, 7, {running_task("job-1", 0)}));
  run_with_heartbeats_of_m4(1'000);
  EXPECT_NE((commands + m4_commands_).find("job-1/2"), std::string::npos);
}

// An orphaned attempt counts until it is gone: its task isn't started again before that.
TEST_F(IncarnationFenceAfterFailover, ATaskIsNotStartedWhileAnotherAttemptOfItMayRun) {
  add_job("job-1", 1, {});
  failover();
  driver_.heartbeat(incarnation_heartbeat("m-1", 1, 1, {running_task("job-1", 0, 5)}));
  const auto heartbeat_with_orphan = [this](std::uint64_t seq, RunState state) {
    return driver_.heartbeat(
        incarnation_heartbeat("m-2", 1, seq,
                              {{{"job-1", 0},
                                4,
                                state,
                                state == RunState::Exited ? ExitCause::Stopped : ExitCause::None,
                                false}}));
  };
  std::string commands = heartbeat_with_orphan(1, RunState::Running);
  EXPECT_NE(commands.find("kill"), std::string::npos);
  driver_.heartbeat(incarnation_heartbeat("m-3", 1, 1, {}));
  run_with_heartbeats_of_m4(1'000);
  ASSERT_FALSE(driver_.controller().reconciling());
  EXPECT_EQ(job("job-1").orphans.size(), 1U);
  driver_.heartbeat(incarnation_heartbeat("m-1", 2, 2, {}));  // its attempt is lost
  EXPECT_EQ(job("job-1").tasks[0].state, TaskState::Queued);
  for (std::uint64_t seq = 2; seq < 5; ++seq) {
    heartbeat_with_orphan(seq, RunState::Running);
    driver_.heartbeat(incarnation_heartbeat("m-1", 2, seq + 1, {}));
    run_with_heartbeats_of_m4(1'000);
  }
  EXPECT_EQ(m4_commands_.find("start"), std::string::npos);
  EXPECT_EQ(job("job-1").tasks[0].state, TaskState::Queued);
  heartbeat_with_orphan(5, RunState::Exited);
  EXPECT_TRUE(job("job-1").orphans.empty());
  driver_.run_for(500);
  EXPECT_EQ(job("job-1").tasks[0].state, TaskState::Placed);
}

}  // namespace
}  // namespace sailreel::sim
