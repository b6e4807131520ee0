#include "sim/network_cuts.hpp"

#include <algorithm>

namespace sailreel::sim {

void NetworkCuts::cut(const std::string& a, const std::string& b, NetworkCut cut) {
  hosts_[unordered(a, b)] = cut;
}

NetworkCut NetworkCuts::between(const std::string& a, const std::string& b) const {
  NetworkCut longest;
  if (const auto found = hosts_.find(unordered(a, b)); found != hosts_.end())
    longest = found->second;
  if (zones_.empty()) return longest;
  const std::string zone_a = zone_of_(a), zone_b = zone_of_(b);
  if (zone_a == zone_b) return longest;
  for (const auto& [zone, cut] : zones_)
    if (zone == zone_a || zone == zone_b) longest = std::max(longest, cut);
  return longest;
}

Time NetworkCuts::arrival_of_held(const std::string& from, const std::string& to, Time earliest) {
  Time& last = last_held_[{from, to}];
  last = std::max(last, earliest);
  return last;
}

}  // namespace sailreel::sim
