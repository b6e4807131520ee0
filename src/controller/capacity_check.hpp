// How many machines the settings' limits carry, and how a controller's sockets are shared out.
#pragma once

#include <cstddef>
#include <vector>

#include "protocol/messages.hpp"
#include "protocol/settings.hpp"

namespace sailreel {

/// A controller's sockets, by use.
struct SocketShares {
  std::size_t services = 0;      // to the state service and the cloud
  std::size_t worker_calls = 0;  // to workers, for direct commands and inquiries
  std::size_t links = 0;         // with other controllers, in both directions
  std::size_t server = 0;        // from users and workers
};
/// `region_links`: links with controllers of other regions.
SocketShares share_sockets(const Settings& settings, std::size_t region_links);

/// A limit of the settings, and from about how many machines it binds.
struct CapacityLimit {
  const char* name = "";
  double machines = 0;
};
/// The limit that binds first: sockets for the workers' reports with one controller down, a
/// leader's memory, or the writes that record a whole fleet within a boot time.
CapacityLimit tightest_limit(const Settings& settings, const Options& options, double boot_s);

/// The least number of machines that holds what the settings guarantee to teams.
double described_machines(const Settings& settings, const std::vector<MachineType>& types);

}  // namespace sailreel
