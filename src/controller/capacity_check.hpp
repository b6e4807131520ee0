// How many machines the settings' limits carry, and how a controller's sockets are distributed.
#pragma once

#include <cstddef>
#include <vector>

#include "protocol/messages.hpp"
#include "protocol/settings.hpp"

namespace sailreel {

/// A controller's sockets by use; counts of sockets.
struct SocketShares {
  std::size_t services = 0;      // to the key-value store and the cloud
  std::size_t worker_calls = 0;  // to workers, for direct commands and inquiries
  std::size_t links = 0;         // with other controllers, in both directions
  std::size_t server = 0;        // from users and workers
};
/// Distributes the sockets that the settings allow. `region_links`: links with controllers of other
/// regions.
SocketShares share_sockets(const Settings& settings, std::size_t region_links);

/// A limit of the settings, and the approximate number of machines at which it binds.
struct CapacityLimit {
  const char* name = "";
  double machines = 0;
};
/// The limit that binds first: sockets for workers' heartbeats with one controller down, a leader's
/// memory, or the writes that record a whole fleet within a boot time (`boot_s`, seconds).
CapacityLimit tightest_limit(const Settings& settings, const Options& options, double boot_s);

/// The least number of machines that holds what the settings guarantee to teams.
double described_machines(const Settings& settings, const std::vector<MachineType>& types);

}  // namespace sailreel
