#include "scale/limits.hpp"

#include <sys/resource.h>

#include <algorithm>

#include "scale/process_stats.hpp"

namespace sailreel::scale {
namespace {

/// Lower bounds for the memory of a simulated worker, a controller and a region's process, in MB.
/// They are below what small runs have used, so that no plan that fits is refused.
constexpr double kMinWorkerMb = 0.02;
constexpr double kMinControllerMb = 8;
constexpr double kMinRegionMb = 10;
/// Sockets of a worker: it listens on one, sends heartbeats on one and receives commands on one.
constexpr std::uint32_t kSocketsPerWorker = 3;
constexpr std::uint32_t kOtherSocketsPerRegion = 1'500;

[[noreturn]] void throw_machine_too_small(const std::string& reason) {
  throw PlanError("this machine is too small: " + reason);
}

std::string format_integer(double value) {
  return std::to_string(static_cast<std::int64_t>(value));
}

}  // namespace

double memory_limit_mb() { return total_memory_mb() / 2; }

void check_machine(const Plan& plan) {
  const auto regions = static_cast<std::uint32_t>(plan.region_size());
  const std::uint32_t processes = 1 + regions + total_controllers(plan);
  if (processes > kMaxProcesses)
    throw_machine_too_small("the plan needs " + std::to_string(processes) +
                            " processes, and a run may have at most " +
                            std::to_string(kMaxProcesses));
  const double needed_mb = total_workers(plan) * kMinWorkerMb + regions * kMinRegionMb +
                           total_controllers(plan) * kMinControllerMb;
  const double allowed_mb = std::min(memory_limit_mb(), available_memory_mb());
  if (needed_mb > allowed_mb)
    throw_machine_too_small("the plan needs at least " + format_integer(needed_mb) +
                            " MB, and a run may use " + format_integer(allowed_mb) + " MB");
  std::uint32_t max_workers = 0;
  for (const Region& region : plan.region()) max_workers = std::max(max_workers, region.workers());
  const std::uint32_t sockets = kSocketsPerWorker * max_workers + kOtherSocketsPerRegion;
  rlimit descriptors{};
  getrlimit(RLIMIT_NOFILE, &descriptors);
  if (sockets > descriptors.rlim_cur)
    throw_machine_too_small("a region needs " + std::to_string(sockets) +
                            " open files, and a process may have " +
                            std::to_string(descriptors.rlim_cur));
}

}  // namespace sailreel::scale
