// Upgrade from the version in production, which doesn't support quota shares: a region writes no
// share and transfers none before all of its controllers support them.
#include <gtest/gtest.h>

#include "production/production_controller.hpp"
#include "sim/simulated_federation.hpp"
#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

TEST(FederationUpgrade, SharesTakeEffectOnceAllControllersSupportThem) {
  FederationPlan plan;
  plan.initial_gpus = {{"red", 15}, {"blue", 6}};
  plan.adjust = [](std::size_t n, SimulationPlan& region_plan) {
    if (n == 1)
      region_plan.make_production_controller = [](const Settings& settings, std::uint64_t seed) {
        return make_production_controller(settings, seed);
      };
  };
  SimulatedFederation federation(plan);
  SimulatedRegion& upgraded = federation.region(1);
  federation.run_until(15'000);
  EXPECT_TRUE(federation.ledger(0).teams.contains("red"));
  EXPECT_FALSE(federation.ledger(1).teams.contains("red"));
  upgraded.submit(service_job("job-1", 4));
  for (std::size_t node = 0; node < 2; ++node) {
    upgraded.upgrade(node, 1'000);
    federation.run_until(federation.now() + 15'000);
    EXPECT_FALSE(federation.ledger(1).teams.contains("red")) << node;
  }
  upgraded.upgrade(2, 1'000);
  federation.run_until(federation.now() + 20'000);
  EXPECT_TRUE(federation.ledger(1).teams.contains("red"));
  EXPECT_EQ(federation.held("red").gpus, 30'000);
  EXPECT_EQ(upgraded.checker().used_by("red").gpus, 4);
  EXPECT_EQ(federation.violations(), "");
}

}  // namespace
}  // namespace sailreel::sim
