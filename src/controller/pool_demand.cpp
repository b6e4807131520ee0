#include "controller/pool_demand.hpp"

#include <algorithm>
#include <cmath>

#include "controller/resource_ratios.hpp"

namespace sailreel {
namespace {

/// Part of a machine by which the sum of tasks that fill machines exactly may exceed them.
constexpr double kRoundingTolerance = 1e-6;

}  // namespace

void PoolDemand::add(std::uint32_t more_tasks, const Resources& total) {
  tasks += more_tasks;
  waiting += total;
  with_headroom += total;
}

double machines_needed(const PoolDemand& demand, const Resources& size) {
  const double for_headroom =
      std::ceil(machines_for(demand.with_headroom, size) - kMinMachineFraction);
  const double for_tasks = std::ceil(machines_for(demand.waiting, size) - kRoundingTolerance);
  const double at_least = demand.tasks > 0 ? 1 : 0;
  return std::max({for_headroom, for_tasks, at_least});
}

}  // namespace sailreel
