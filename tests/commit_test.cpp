// Tests that checkpoint commits serve users first and stay within the limits of the key-value
// store.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

Time quantile(std::vector<Time> delays, double fraction) {
  std::sort(delays.begin(), delays.end());
  return delays[static_cast<std::size_t>(fraction * static_cast<double>(delays.size() - 1))];
}

// Guards against background commits that use up the write budget. On a recorded day
// (xela-labels-ops), the commits that recorded new machines and the images fetched by them overdrew
// the budget, and submissions waited up to 0.95 s until it had recovered.
TEST(Commit, SubmissionsDoNotWaitForBackgroundWrites) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SimulationPlan plan = plan_without_faults(seed + 1'200);
    plan.scale = 16;
    plan.loss = 0;  // a lost response is noticed only after a second
    SimulatedRegion region(plan);
    region.run_until(1'000);
    pcg32 random(seed);
    for (std::size_t job_number = 0; job_number < 520; ++job_number) {
      JobSpec spec = job_number % 2 == 0 ? service_job(job_id(job_number), 2)
                                         : array_job(job_id(job_number), 6, 8);
      spec.team = job_number % 3 == 0 ? "blue" : "red";
      spec.image = "img-" + std::to_string(random(12));
      spec.image_gb = 5;
      region.submit(spec, spec.kind == JobKind::Service ? region.now() + 20'000 : 0);
      region.run_until(region.now() + random(200));
    }
    const std::vector<Time>& delays = region.submission_delays();
    ASSERT_GT(delays.size(), 500U);
    // The response takes some 10 ms; one message in 200 takes up to 400 ms.
    EXPECT_LE(quantile(delays, 0.9), 100) << "seed " << seed;
    region.run();
    EXPECT_TRUE(region.checker().violations().empty()) << seed << " " << region.checker().summary();
    EXPECT_EQ(region.kv_store().over_limit_requests, 0U);
    EXPECT_EQ(region.kv_store().refused_writes, 0U) << "seed " << seed;
  }
}

}  // namespace
}  // namespace sailreel::sim
