// How many machines the settings' limits support, and how a controller's sockets are distributed.
#pragma once

#include <cstddef>
#include <vector>

#include "protocol/messages.hpp"
#include "protocol/settings.hpp"

namespace sailreel {

/// The number of a controller's sockets that each use may take.
struct SocketShares {
  std::size_t services = 0;      // to the key-value store and the cloud
  std::size_t worker_calls = 0;  // to workers, for direct commands and probes
  std::size_t links = 0;         // with other controllers, in both directions
  std::size_t server = 0;        // from users and workers
};
/// Distributes the sockets that the settings allow among their uses. `region_links` is the number
/// of links with controllers of other regions.
SocketShares distribute_sockets(const Settings& settings, std::size_t region_links);

/// A limit of the settings, and the approximate number of machines at which it binds.
struct CapacityLimit {
  const char* name = "";
  double machines = 0;
};
/// Returns the limit that binds at the smallest number of machines: the sockets for workers'
/// heartbeats while one controller is down, the leader's memory, or the rate of state writes, which
/// has to record the whole fleet within a boot time (`boot_s`, in seconds).
CapacityLimit tightest_limit(const Settings& settings, const Options& options, double boot_s);

/// Returns the smallest number of machines of one type, as a fraction, that holds all quotas that
/// the settings guarantee to teams: 0 if `types` is empty, infinity if no type can hold them.
double machines_for_guaranteed_quotas(const Settings& settings,
                                      const std::vector<MachineType>& types);

}  // namespace sailreel
