#include "sim/network_cuts.hpp"

#include <algorithm>

namespace sailreel::sim {

void NetworkCuts::cut(const std::string& host_a, const std::string& host_b, NetworkCut cut) {
  cuts_by_hosts_[sorted_pair(host_a, host_b)] = cut;
}

NetworkCut NetworkCuts::between(const std::string& host_a, const std::string& host_b) const {
  NetworkCut longest;
  if (const auto found = cuts_by_hosts_.find(sorted_pair(host_a, host_b));
      found != cuts_by_hosts_.end())
    longest = found->second;
  if (cuts_by_zone_.empty()) return longest;
  const std::string zone_a = zone_of_(host_a), zone_b = zone_of_(host_b);
  if (zone_a == zone_b) return longest;
  for (const auto& [zone, cut] : cuts_by_zone_)
    if (zone == zone_a || zone == zone_b) longest = std::max(longest, cut);
  return longest;
}

Time NetworkCuts::arrival_of_held(const std::string& from, const std::string& to, Time earliest) {
  Time& last = last_held_arrival_[{from, to}];
  last = std::max(last, earliest);
  return last;
}

}  // namespace sailreel::sim
