#include "controller/capacity_check.hpp"

#include <algorithm>
#include <limits>

#include "controller/resource_ratios.hpp"
#include "storage/checkpoint.hpp"

namespace sailreel {
namespace {

constexpr std::size_t kServicesPart = 4;
constexpr std::size_t kWorkerCallsPart = 4;
constexpr std::size_t kServerPart = 2;
/// One link each way for each peer, and as many again that a partition has left half open. A few
/// more than that cost nothing.
constexpr std::size_t kLinksPerPeer = 8;
constexpr std::size_t kLeastLinks = 32;
/// Workers' share of the sockets for users and workers; users' connections are short.
constexpr double kWorkersShare = 0.9;
/// In MB. Measured with 3.5 tasks a machine (docs/CAPACITY.md).
constexpr double kLeaderMb = 8.1;
constexpr double kMachineMb = 0.0022;

/// True if any number of machines of that size can hold so much.
bool can_hold(const Resources& total, const Resources& size) {
  return (total.gpus <= 0 || size.gpus > 0) && (total.cpus <= 0 || size.cpus > 0);
}

}  // namespace

SocketShares share_sockets(const Settings& settings, std::size_t region_links) {
  const std::size_t sockets = settings.limits.sockets;
  SocketShares shares;
  shares.services = sockets / kServicesPart;
  shares.worker_calls = sockets / kWorkerCallsPart;
  const std::size_t peer_links = std::max(kLeastLinks, kLinksPerPeer * settings.peers.size());
  shares.links = peer_links + region_links;
  // The links get half of their sockets from the server's part, the rest from what the others
  // leave; where there are few sockets, the server keeps half of its part.
  const std::size_t part = sockets / kServerPart;
  shares.server = part - std::min(part / 2, peer_links / 2);
  return shares;
}

CapacityLimit tightest_limit(const Settings& settings, const Options& options, double boot_s) {
  const std::size_t up = std::max<std::size_t>(1, settings.peers.size());
  const double connections = static_cast<double>(up * share_sockets(settings, 0).server);
  const double writes_per_s = settings.store.write_rps * options.write_share;
  const CapacityLimit limits[] = {
      {"sockets", connections * kWorkersShare},
      {"memory", std::max(0.0, settings.limits.memory_mb - kLeaderMb) / kMachineMb},
      {"state_writes", writes_per_s * boot_s * kMachinesPerShard},
  };
  return *std::min_element(
      std::begin(limits), std::end(limits),
      [](const CapacityLimit& a, const CapacityLimit& b) { return a.machines < b.machines; });
}

double described_machines(const Settings& settings, const std::vector<MachineType>& types) {
  Resources guaranteed;
  for (const Team& team : settings.teams) guaranteed += Resources{team.cpus, team.gpus, 0};
  double least = std::numeric_limits<double>::infinity();
  for (const MachineType& type : types)
    if (can_hold(guaranteed, type.size))
      least = std::min(least, machines_for(guaranteed, type.size));
  return types.empty() ? 0 : least;
}

}  // namespace sailreel
