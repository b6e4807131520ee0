#include "scale/limits.hpp"

#include <sys/resource.h>

#include <algorithm>

#include "scale/process_stats.hpp"

namespace sailreel::scale {
namespace {

/// Lower bounds for the memory of a simulated worker, a controller and a region's process, in MB.
/// They are below what small runs have used, so that no plan that fits is refused.
constexpr double kWorkerMb = 0.02;
constexpr double kControllerMb = 8;
constexpr double kRegionMb = 10;
/// Sockets of a worker: it listens on one, sends heartbeats on one and receives commands on one.
constexpr std::uint32_t kSocketsPerWorker = 3;
constexpr std::uint32_t kOtherSockets = 1'500;

[[noreturn]] void too_small(const std::string& what) {
  throw PlanError("this machine is too small: " + what);
}

std::string whole(double value) { return std::to_string(static_cast<std::int64_t>(value)); }

}  // namespace

double memory_limit_mb() { return total_memory_mb() / 2; }

void check_machine(const Plan& plan) {
  const auto regions = static_cast<std::uint32_t>(plan.region_size());
  const std::uint32_t processes = 1 + regions + total_controllers(plan);
  if (processes > kMostProcesses)
    too_small("the plan needs " + std::to_string(processes) +
              " processes, and a run may have at most " + std::to_string(kMostProcesses));
  const double needed = total_workers(plan) * kWorkerMb + regions * kRegionMb +
                        total_controllers(plan) * kControllerMb;
  const double there = std::min(memory_limit_mb(), available_memory_mb());
  if (needed > there)
    too_small("the plan needs at least " + whole(needed) + " MB, and a run may use " +
              whole(there) + " MB");
  std::uint32_t largest = 0;
  for (const Region& region : plan.region()) largest = std::max(largest, region.workers());
  const std::uint32_t sockets = kSocketsPerWorker * largest + kOtherSockets;
  rlimit descriptors{};
  getrlimit(RLIMIT_NOFILE, &descriptors);
  if (sockets > descriptors.rlim_cur)
    too_small("a region needs " + std::to_string(sockets) + " open files, and a process may have " +
              std::to_string(descriptors.rlim_cur));
}

}  // namespace sailreel::scale
