#include "controller/capacity_check.hpp"

#include <algorithm>
#include <limits>

#include "controller/resource_ratios.hpp"
#include "storage/checkpoint.hpp"

namespace sailreel {
namespace {

/// The key-value store and the cloud get one in this many sockets.
constexpr std::size_t kServicesSocketDivisor = 4;
/// Calls to workers get one in this many sockets.
constexpr std::size_t kWorkerCallsSocketDivisor = 4;
/// Connections from users and workers get one in this many sockets, less a part for peer links.
constexpr std::size_t kServerSocketDivisor = 2;
/// Sockets for the links with each peer: one link each way, as many again that a network partition
/// has left half-open, and a margin, since a few spare sockets cost nothing.
constexpr std::size_t kSocketsPerPeer = 8;
/// Minimum number of sockets for links with peers.
constexpr std::size_t kMinPeerSockets = 32;
/// Fraction of the sockets for users and workers that workers may use. Users' connections are short
/// and need few sockets.
constexpr double kWorkerConnectionsRatio = 0.9;
/// Memory in MB that a leader uses without machines, and for each machine. Measured with 3.5 tasks
/// per machine (docs/CAPACITY.md).
constexpr double kLeaderBaseMb = 8.1;
constexpr double kLeaderMbPerMachine = 0.0022;

/// Returns whether machines of that size can hold the total if there are enough of them.
bool can_hold(const Resources& total, const Resources& size) {
  return (total.gpus <= 0 || size.gpus > 0) && (total.cpus <= 0 || size.cpus > 0);
}

}  // namespace

SocketShares distribute_sockets(const Settings& settings, std::size_t region_links) {
  const std::size_t sockets = settings.process_limits.sockets;
  SocketShares shares;
  shares.services = sockets / kServicesSocketDivisor;
  shares.worker_calls = sockets / kWorkerCallsSocketDivisor;
  const std::size_t peer_links = std::max(kMinPeerSockets, kSocketsPerPeer * settings.peers.size());
  shares.links = peer_links + region_links;
  // Half of the sockets for peer links are taken from the server's part; the rest relies on the
  // other uses not taking all of theirs. The server keeps at least half of its part, even if there
  // are few sockets.
  const std::size_t server_part = sockets / kServerSocketDivisor;
  shares.server = server_part - std::min(server_part / 2, peer_links / 2);
  return shares;
}

CapacityLimit tightest_limit(const Settings& settings, const Options& options, double boot_s) {
  const std::size_t controllers_up = std::max<std::size_t>(1, settings.peers.size());
  const double connections =
      static_cast<double>(controllers_up * distribute_sockets(settings, 0).server);
  const double writes_per_s = settings.store_limits.write_rps * options.write_share;
  const CapacityLimit limits[] = {
      {"sockets", connections * kWorkerConnectionsRatio},
      {"memory",
       std::max(0.0, settings.process_limits.memory_mb - kLeaderBaseMb) / kLeaderMbPerMachine},
      {"state_writes", writes_per_s * boot_s * kMachinesPerShard},
  };
  return *std::min_element(
      std::begin(limits), std::end(limits),
      [](const CapacityLimit& a, const CapacityLimit& b) { return a.machines < b.machines; });
}

double machines_for_guaranteed_quotas(const Settings& settings,
                                      const std::vector<MachineType>& types) {
  Resources guaranteed;
  for (const Team& team : settings.teams) guaranteed += Resources{team.cpus, team.gpus, 0};
  double fewest_machines = std::numeric_limits<double>::infinity();
  for (const MachineType& type : types)
    if (can_hold(guaranteed, type.size))
      fewest_machines = std::min(fewest_machines, machines_for(guaranteed, type.size));
  return types.empty() ? 0 : fewest_machines;
}

}  // namespace sailreel
