// Network partitions between the hosts of a simulated region.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "protocol/messages.hpp"

namespace sailreel::sim {

/// Names of the hosts that are neither a controller nor a machine.
inline constexpr const char* kKvStoreHost = "kv-store";
inline constexpr const char* kCloudHost = "cloud";
inline constexpr const char* kUsersHost = "users";

/// An interruption of the network that ends at `until`.
struct NetworkCut {
  Time until = 0;
  /// Whether messages sent during the cut arrive after it; otherwise they are lost.
  bool hold = false;

  /// Orders cuts by their end; of two that end together, one that holds messages is the larger.
  bool operator<(const NetworkCut& other) const {
    return std::tie(until, hold) < std::tie(other.until, other.hold);
  }
};

/// The cuts between hosts and around zones.
class NetworkCuts {
 public:
  /// Returns the zone of a host; empty for hosts that are in none.
  using ZoneOf = std::function<std::string(const std::string& host)>;

  explicit NetworkCuts(ZoneOf zone_of) : zone_of_(std::move(zone_of)) {}

  /// Cuts two hosts off from each other. Replaces an earlier cut between them.
  void cut(const std::string& host_a, const std::string& host_b, NetworkCut cut);
  /// Cuts a zone off from everything outside of it. Replaces an earlier cut of the zone.
  void cut_zone(const std::string& zone, NetworkCut cut) { cuts_by_zone_[zone] = cut; }

  /// The cut between two hosts that ends last; it may already be over.
  [[nodiscard]] NetworkCut between(const std::string& host_a, const std::string& host_b) const;
  /// Returns the time at which a held message arrives: `earliest`, or later if a message that was
  /// held before between the same sender and receiver arrives later.
  Time arrival_of_held(const std::string& from, const std::string& to, Time earliest);

 private:
  using HostPair = std::pair<std::string, std::string>;
  /// Sorts the hosts, because a cut works in both directions and their order doesn't matter.
  static HostPair sorted_pair(const std::string& host_a, const std::string& host_b) {
    return std::minmax(host_a, host_b);
  }

  ZoneOf zone_of_;
  std::map<HostPair, NetworkCut> cuts_by_hosts_;
  std::map<std::string, NetworkCut> cuts_by_zone_;
  /// When the last held message arrives, by sender and receiver.
  std::map<HostPair, Time> last_held_arrival_;
};

}  // namespace sailreel::sim
