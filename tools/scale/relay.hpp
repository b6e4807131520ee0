// The links between regions: TCP connections that pass through a relay. It delays the bytes, and
// holds them or closes the connections while a region is cut off.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "scale/plan.hpp"
#include "transport/listener.hpp"
#include "transport/loop.hpp"
#include "transport/traffic.hpp"

namespace sailreel::scale {

class Relay {
 public:
  /// If the plan's division is SHARES, listens for each region on one address per controller of
  /// every other region; otherwise on none.
  Relay(EventLoop& loop, const Plan& plan);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// Cuts the region off from all others for a time. If `hold` is set, bytes sent meanwhile are
  /// forwarded afterwards; otherwise connections are closed, and new ones are closed at once.
  void cut_off(int region, std::int64_t for_ms, bool hold);

  /// Bytes received from all connections, each counted once. Each read counts as one message.
  [[nodiscard]] const Traffic& traffic() const { return traffic_; }

 private:
  class Link;
  class Connection;
  struct Cut {
    std::int64_t until_ms = 0;
    bool hold = false;
  };
  struct Route {
    int from = 0, to = 0;
    std::string target;
    std::unique_ptr<Listener> listener;
  };

  void accept(const Route& route, uv_stream_t* server);
  /// The cut that is in force now for one of the two regions; null if there is none.
  [[nodiscard]] const Cut* cut_between(int first_region, int second_region) const;
  void forward_due();

  EventLoop& loop_;
  const std::int64_t delay_ms_;
  std::vector<std::unique_ptr<Route>> routes_;
  std::vector<Cut> cuts_;  // indexed by region
  std::unordered_set<Link*> links_;
  Traffic traffic_;
  Timer timer_;
};

}  // namespace sailreel::scale
