// Ceilings on the work of a heartbeat, a poll, a start and a second. The work is counted, so it is
// the same on every run. Each measured value stands in a comment beside its ceiling, and the tests
// print all of them.
#include <gtest/gtest.h>

#include <cstdio>

#include "protocol/worker_codec.hpp"
#include "support/scenarios.hpp"
#include "support/work_meter.hpp"

namespace sailreel::sim {
namespace {

constexpr std::size_t kJobs = 60;
constexpr std::uint32_t kTasksPerJob = 4;
constexpr Time kSubmitMs = 1'000, kSettledMs = 80'000, kMeasuredMs = 30'000;

/// A simulation in which services that never end fill a fleet. No message is lost or late, so only
/// the first burst of starts and then regular operation are counted.
class MeteredSimulation {
 public:
  MeteredSimulation() : region_(plan()) {
    region_.on_command = [this](const std::string&, const Command& command) {
      starts_ += command.op == Command::Op::Start ? 1 : 0;
    };
    region_.run_until(kSubmitMs);
    meter_->reset();
    for (std::size_t n = 0; n < kJobs; ++n) {
      JobSpec spec = service_job(job_id(n), kTasksPerJob);
      spec.team = n % 2 == 0 ? "blue" : "red";
      spec.image = "img-" + std::to_string(n % 5);
      region_.submit(spec);
    }
    region_.run_until(kSettledMs);
  }
  /// Resets the counts and runs for `kMeasuredMs`, in which nothing is submitted, starts or ends.
  void run_idle() {
    run_with_event([](SimulatedRegion&) {});
  }
  /// Resets the counts, calls `event`, and runs for `kMeasuredMs`.
  void run_with_event(const std::function<void(SimulatedRegion&)>& event) {
    meter_->reset();
    event(region_);
    region_.run_until(region_.now() + kMeasuredMs);
  }
  [[nodiscard]] const WorkMeter& meter() const { return *meter_; }
  [[nodiscard]] std::uint64_t starts() const { return starts_; }

 private:
  SimulationPlan plan() {
    SimulationPlan plan = plan_without_faults(11);
    plan.scale = 8;
    plan.boot_ms = 4'000;
    plan.loss = plan.late_heartbeat_copies = 0;
    plan.deployment = sample_deployment(plan);
    plan.deployment->one_in_never_up = 0;
    plan.make_controller = [meter = meter_](std::size_t, const Settings& settings,
                                            std::uint64_t seed) {
      return std::make_unique<MeteredController>(settings, Options{}, seed, meter);
    };
    return plan;
  }

  std::shared_ptr<WorkMeter> meter_ = std::make_shared<WorkMeter>();
  std::uint64_t starts_ = 0;
  SimulatedRegion region_;
};

/// Upper bounds on the mean counts per unit of work, such as one heartbeat.
struct WorkCeiling {
  double allocations = 0, examined = 0;
};

void expect_at_most(const char* unit_name, const StepWork& work, std::uint64_t units,
                    WorkCeiling ceiling) {
  ASSERT_GT(units, 20U) << unit_name;
  const auto per_unit = [units](std::uint64_t total) {
    return static_cast<double>(total) / static_cast<double>(units);
  };
  std::printf("%-22s %6llu, on average %.2f allocations of %.0f bytes in all, %.2f examined\n",
              unit_name, static_cast<unsigned long long>(units), per_unit(work.allocations),
              per_unit(work.bytes), per_unit(work.examined));
  EXPECT_LE(per_unit(work.allocations), ceiling.allocations) << unit_name;
  EXPECT_LE(per_unit(work.examined), ceiling.examined) << unit_name;
}

// The heartbeat of a worker without changes examines only its machine, and a poll only its job.
TEST(WorkCost, OfHeartbeatsAndPolls) {
  MeteredSimulation simulation;
  simulation.run_idle();
  const StepWork& heartbeat = simulation.meter().leader(InputKind::Heartbeat);
  const StepWork& poll = simulation.meter().leader(InputKind::Poll);
  const StepWork& forwarded_heartbeat = simulation.meter().follower(InputKind::Heartbeat);
  const StepWork& forwarded_poll = simulation.meter().follower(InputKind::Poll);
  expect_at_most("heartbeat", heartbeat, heartbeat.steps, {8.5, 0.05});  // 6.83, 0
  expect_at_most("poll", poll, poll.steps, {7.5, 0.05});                 // 6.00, 0
  expect_at_most("forwarded heartbeat", forwarded_heartbeat, forwarded_heartbeat.steps,
                 {4, 0});                                                          // 3.00, 0
  expect_at_most("forwarded poll", forwarded_poll, forwarded_poll.steps, {3, 0});  // 2.00, 0
}

// The work that a leader does by itself, beside that for the heartbeats and polls that arrive.
TEST(WorkCost, OfAnIdleSecond) {
  MeteredSimulation simulation;
  simulation.run_idle();
  StepWork idle;
  for (const InputKind kind :
       {InputKind::Tick, InputKind::KvResponseReceived, InputKind::Peer, InputKind::Other})
    idle.add(simulation.meter().leader(kind));
  expect_at_most("idle second", idle, static_cast<std::uint64_t>(kMeasuredMs / 1'000),
                 {75, 1});  // 57.9, 0
}

// All work of a leader until a fleet that starts cold is up and full, including heartbeats and
// polls, per started task.
TEST(WorkCost, OfAStart) {
  const MeteredSimulation simulation;
  expect_at_most("start", simulation.meter().leader_total(), simulation.starts(),
                 {190, 13});  // 151.6, 10.1
}

// The work of all controllers together per second, including heartbeats and polls. Three spans are
// measured: one without events, one in which a leader ends, and one in which the key-value store is
// down while users submit jobs.
TEST(WorkCost, OfASecondWithFaults) {
  constexpr auto kSeconds = static_cast<std::uint64_t>(kMeasuredMs / 1'000);
  MeteredSimulation undisturbed;
  undisturbed.run_idle();
  expect_at_most("quiet second", undisturbed.meter().total(), kSeconds, {710, 0.05});  // 568, 0
  MeteredSimulation failover;
  failover.run_with_event(
      [](SimulatedRegion& region) { region.kill(leader_index(region), 2'000); });
  expect_at_most("second with a failover", failover.meter().total(), kSeconds,
                 {800, 6});  // 640, 4.0
  MeteredSimulation outage;
  outage.run_with_event([](SimulatedRegion& region) {
    region.kv_store_outage(kMeasuredMs);
    for (std::size_t n = kJobs; n < 2 * kJobs; ++n) region.submit(service_job(job_id(n), 1));
  });
  expect_at_most("second with an outage", outage.meter().total(), kSeconds,
                 {1'300, 0.05});  // 1,009, 0
}

TEST(WorkCost, OfDecodingAHeartbeat) {
  constexpr int kTasks = 4;
  std::string text =
      R"({"vessel":"m-000123","endpoint":"127.10.0.23:7000","hull":"box-large","harbor":"za",)"
      R"("driftwood":false,"watch":3,"bell":1234,"helm":17,"recall_s":null,"hands":[)";
  for (int i = 0; i < kTasks; ++i) {
    if (i > 0) text += ',';
    text += R"({"hand":"job-0123456789/)" + std::to_string(i) +
            R"(","launch":1234567890,"heading":"running"})";
  }
  text += "]}";
  const Allocations before = allocations;
  const Decoded<Heartbeat> heartbeat = decode_heartbeat(text);
  const Allocations after = allocations;
  ASSERT_TRUE(heartbeat);
  EXPECT_EQ(heartbeat->tasks.size(), kTasks);
  std::printf("decoding a heartbeat: %llu allocations, %llu bytes\n",
              static_cast<unsigned long long>(after.count - before.count),
              static_cast<unsigned long long>(after.bytes - before.bytes));
  EXPECT_LE(after.count - before.count, 8U);      // 7; 13 if strings are not read in place
  EXPECT_LE(after.bytes - before.bytes, 3'000U);  // 1,986; 67,262 if strings are not read in place
}

}  // namespace
}  // namespace sailreel::sim
