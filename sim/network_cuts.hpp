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

/// Hosts that are neither a controller nor a machine.
inline constexpr const char* kKvStoreHost = "kv-store";
inline constexpr const char* kCloudHost = "cloud";
inline constexpr const char* kUsersHost = "users";

struct NetworkCut {
  Time until = 0;
  /// Whether what is sent meanwhile arrives afterwards, or is lost.
  bool hold = false;

  /// By its end; of two that end together, the one that holds is the larger.
  bool operator<(const NetworkCut& other) const {
    return std::tie(until, hold) < std::tie(other.until, other.hold);
  }
};

class NetworkCuts {
 public:
  /// The empty zone for hosts that are in none.
  using ZoneOf = std::function<std::string(const std::string& host)>;

  explicit NetworkCuts(ZoneOf zone_of) : zone_of_(std::move(zone_of)) {}

  /// Replaces an earlier cut between the two.
  void cut(const std::string& a, const std::string& b, NetworkCut cut);
  /// The zone loses everything outside of it.
  void cut_zone(const std::string& zone, NetworkCut cut) { zones_[zone] = cut; }

  /// The cut between two hosts that lasts longest; it may be over.
  [[nodiscard]] NetworkCut between(const std::string& a, const std::string& b) const;
  /// When a held message arrives that is ready at `earliest`: not before those sent before it.
  Time arrival_of_held(const std::string& from, const std::string& to, Time earliest);

 private:
  using HostPair = std::pair<std::string, std::string>;
  /// Cuts work in both directions, so that the order of the hosts doesn't matter.
  static HostPair unordered(const std::string& a, const std::string& b) {
    return std::minmax(a, b);
  }

  ZoneOf zone_of_;
  std::map<HostPair, NetworkCut> hosts_;
  std::map<std::string, NetworkCut> zones_;
  /// When the last message that a cut holds arrives, by sender and receiver.
  std::map<HostPair, Time> last_held_;
};

}  // namespace sailreel::sim
