// Tests the autoscaler of a single controller: how many machines it requests for waiting work.
#include <gtest/gtest.h>

#include "protocol/fake_server_codec.hpp"
#include "support/controller_driver.hpp"
#include "support/small_jobs.hpp"

namespace sailreel::sim {
namespace {

constexpr int kAccepted = 201;

/// A leader that knows the sample machine type and has no machine, before an open cloud.
class AutoscalerTest : public ::testing::Test {
 protected:
  explicit AutoscalerTest(Settings settings = settings_without_peers())
      : driver_(std::move(settings)) {
    driver_.set_types({sample_type()});
    driver_.open_cloud();
    driver_.run_for(2'000);
  }

  void submit(const JobSpec& spec) {
    ASSERT_EQ(driver_.submit(encode_submission(spec)), kAccepted) << spec.id;
  }
  /// Lets the autoscaler run while no machine comes up, for less than the time after which the
  /// machines that it has requested count as failed.
  void run_while_machines_boot() { driver_.run_for(5'000); }
  void submit_and_wait(const JobSpec& spec) {
    submit(spec);
    run_while_machines_boot();
  }

  ControllerDriver driver_;
};

class AutoscalerSmallJobTest : public AutoscalerTest,
                               public ::testing::WithParamInterface<SmallJob> {};

// Guards against work that waits for ever on an empty fleet because it needs less than a hundredth
// of a machine.
TEST_P(AutoscalerSmallJobTest, GetsOneMachine) {
  submit_and_wait(GetParam().spec);
  EXPECT_EQ(driver_.machines_launched(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Kinds, AutoscalerSmallJobTest,
                         ::testing::ValuesIn(small_jobs_of_all_kinds("job-1")), small_job_name);

// Guards against leaving out the small job when it waits beside work that fills machines exactly.
TEST_F(AutoscalerTest, ASmallJobBesideALargeOneGetsAMachineOfItsOwn) {
  JobSpec large = small_array("job-1");
  large.need.cpus = sample_type().size.cpus;
  large.spot = true;  // so that no headroom is added
  submit_and_wait(large);
  ASSERT_EQ(driver_.machines_launched(), 1U);
  JobSpec small = small_array("job-2");
  small.spot = true;
  submit_and_wait(small);
  EXPECT_EQ(driver_.machines_launched(), 2U);
}

TEST_F(AutoscalerTest, SmallJobsShareOneMachine) {
  for (std::size_t n = 1; n <= 20; ++n) submit(small_array(job_id(n)));
  run_while_machines_boot();
  EXPECT_EQ(driver_.machines_launched(), 1U);
}

// Ten jobs that each need a tenth of a machine fit into one, whatever the rounding error of the
// sum.
TEST_F(AutoscalerTest, JobsThatFillAMachineExactlyGetOne) {
  for (std::size_t n = 1; n <= 10; ++n) {
    JobSpec spec = small_array(job_id(n));
    spec.need = {sample_type().size.cpus / 10, 0, sample_type().size.memory_gb / 10};
    spec.spot = true;
    submit(spec);
  }
  run_while_machines_boot();
  EXPECT_EQ(driver_.machines_launched(), 1U);
}

// Headroom is capacity that no task waits for, so a very small part of a machine doesn't justify a
// further one.
TEST_F(AutoscalerTest, AnotherMachineIsNotRequestedForVeryLittleHeadroom) {
  constexpr double kExcess = 0.005;  // in machines
  JobSpec spec = small_array("job-1");
  spec.need.cpus = sample_type().size.cpus * (1 + kExcess) / (1 + Options{}.headroom_ratio);
  submit_and_wait(spec);
  EXPECT_EQ(driver_.machines_launched(), 1U);
}

// Guards against counting all tasks that need memory only, or nothing, as served by the room that
// arrays will free, although there is no array: such work never got a machine.
TEST_F(AutoscalerTest, SpotWorkThatNeedsMemoryOnlyGetsMachines) {
  JobSpec spec = small_array("job-1");
  spec.spot = true;
  spec.tasks = 2;
  spec.need = {0, 0, sample_type().size.memory_gb};
  submit_and_wait(spec);
  EXPECT_EQ(driver_.machines_launched(), 2U);
}

TEST_F(AutoscalerTest, SpotWorkThatNeedsNothingGetsAMachine) {
  JobSpec spec = small_array("job-1");
  spec.spot = true;
  spec.need = {};
  submit_and_wait(spec);
  EXPECT_EQ(driver_.machines_launched(), 1U);
}

/// The settings of a region with one team, which has these limits.
Settings settings_with_limits(double cpus_max, double gpus_max) {
  Settings settings = settings_without_peers();
  settings.teams = {Team{"red", 0, cpus_max, 0, gpus_max}};
  return settings;
}

class AutoscalerGpuLimitTest : public AutoscalerTest {
 protected:
  AutoscalerGpuLimitTest() : AutoscalerTest(settings_with_limits(0, 0.3)) {}
};

// Guards against a rounding error that left out the task with which a team reaches its limit: the
// limit less two tenths is a little less than a tenth, so no machine was requested for that task.
TEST_F(AutoscalerGpuLimitTest, TheTaskThatReachesTheLimitGetsAMachine) {
  for (std::size_t n = 1; n <= 3; ++n) {
    JobSpec spec = small_array(job_id(n));
    spec.need = {sample_type().size.cpus, 0.1, 1};
    spec.spot = true;
    submit(spec);
  }
  run_while_machines_boot();
  EXPECT_EQ(driver_.machines_launched(), 3U);
}

class AutoscalerCpuLimitTest : public AutoscalerTest {
 protected:
  AutoscalerCpuLimitTest() : AutoscalerTest(settings_with_limits(2 * sample_type().size.cpus, 0)) {}
};

// Guards against machines for tasks that the team's CPU limit doesn't allow yet: the limit on GPUs
// alone was considered, so an array that needs none got a machine for each of its tasks.
TEST_F(AutoscalerCpuLimitTest, NoMachineIsRequestedBeyondTheTeamsLimit) {
  JobSpec spec = small_array("job-1");
  spec.need.cpus = sample_type().size.cpus;
  spec.tasks = 40;
  spec.spot = true;
  submit_and_wait(spec);
  EXPECT_EQ(driver_.machines_launched(), 2U);
}

// The log tells what became of waiting work, so that it shows why no machine is requested.
TEST_F(AutoscalerTest, UnmetDemandIsLoggedOncePerWorkerLease) {
  JobSpec spec = small_array("job-1");
  spec.tasks = 3;
  spec.need = {0.5, 0.25, 4};
  submit_and_wait(spec);
  std::vector<std::string> lines = driver_.log_lines(LogEvent::UnmetDemand);
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_NE(lines[0].find("tasks=3 cpus=1.5 gpus=0.75 memory_gb=12 in_freed_room=0 without_type=0 "
                          "over_allowance=0"),
            std::string::npos)
      << lines[0];
  driver_.run_for(20'000);
  lines = driver_.log_lines(LogEvent::UnmetDemand);
  EXPECT_GE(lines.size(), 2U);
  EXPECT_LE(lines.size(), 3U);
  EXPECT_NE(lines.back().find("pending=1 requested=0"), std::string::npos) << lines.back();
}

}  // namespace
}  // namespace sailreel::sim
