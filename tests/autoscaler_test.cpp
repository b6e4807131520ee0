// Tests the autoscaler of a single controller: how many machines it requests for waiting work.
#include <gtest/gtest.h>

#include "protocol/fake_server_codec.hpp"
#include "support/controller_driver.hpp"
#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

constexpr int kAccepted = 201;

/// A leader that knows the sample machine type and has no machine, before an open cloud.
class AutoscalerTest : public ::testing::Test {
 protected:
  AutoscalerTest() : driver_(settings_without_peers()) {
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

// The log tells what became of waiting work, so that it shows why no machine is requested.
TEST_F(AutoscalerTest, UnmetDemandIsLoggedOncePerWorkerLease) {
  JobSpec spec = array_job("job-1", 3, 40);
  spec.spot = false;
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
