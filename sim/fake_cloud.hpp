// The cloud provider as controllers see it, by its published protocol: scale-out requests that may
// be repeated, instances that boot slowly or never, and lists that are some seconds old.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <tuple>
#include <vector>

#include "protocol/messages.hpp"

namespace sailreel::sim {

/// Instances of one zone and kind: the cloud's capacity is counted for each pool by itself.
struct InstancePool {
  std::string zone;
  bool spot = false;

  bool operator<(const InstancePool& other) const {
    return std::tie(zone, spot) < std::tie(other.zone, other.spot);
  }
};

struct CloudMachine {
  std::string name, address, type, zone;
  bool spot = false, up = false, broken = false;
  Time launched = 0, boots = 0;
};

/// What the cloud calls the `number`th machine that it launches.
std::string machine_name(std::size_t number);

class FakeCloud {
 public:
  explicit FakeCloud(std::uint64_t seed) : random_(seed) {}

  std::vector<MachineType> types;
  std::map<InstancePool, std::uint32_t> capacity;
  std::map<std::string, CloudMachine> machines;
  bool outage = false;
  /// One in so many launched machines stays booting for ever; 0: none.
  std::uint32_t one_in_never_up = 25;
  /// Each machine gets an address of its own below this; empty: a made-up one.
  std::string address_prefix;
  std::function<void(const CloudMachine&)> on_launched;
  std::function<void(const std::string&)> on_terminated;

  CloudResponse handle(const CloudRequest& request, Time now);

  /// Keeps what lists show: some seconds old, at times older than the one before.
  void tick(Time now, Time lag);

 private:
  struct ListSnapshot {
    Time taken_at = 0;
    CloudResponse list;
  };

  void scale_out(const CloudRequest& request, Time now, CloudResponse& response);
  [[nodiscard]] CloudResponse list_page(const CloudRequest& request) const;
  [[nodiscard]] std::string address_of(std::size_t number) const;
  void launch(const CloudRequest& request, Time now, CloudResponse& response);

  pcg32 random_;
  std::size_t next_ = 1;
  /// Names by request: a repeated request gets the machines that it got before.
  std::map<std::string, std::vector<std::string>> requests_;
  std::list<ListSnapshot> lists_;
};

}  // namespace sailreel::sim
