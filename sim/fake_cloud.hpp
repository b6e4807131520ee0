// A fake of the cloud provider that implements its published protocol: scale-out requests that may
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

/// The instances of one zone that are either all spot or all on-demand. The cloud's capacity is
/// counted separately for each pool.
struct InstancePool {
  std::string zone;
  bool spot = false;

  bool operator<(const InstancePool& other) const {
    return std::tie(zone, spot) < std::tie(other.zone, other.spot);
  }
};

/// A launched machine. `up` is set once it has booted; one with `never_boots` never does.
/// Times are in simulated milliseconds: `boots_at` is when the machine comes up.
struct CloudMachine {
  std::string name, address, type, zone;
  bool spot = false, up = false, never_boots = false;
  Time launched_at = 0, boots_at = 0;
};

/// The name that the cloud gives to the `number`th machine that it launches.
std::string machine_name(std::size_t number);

/// Launches, lists and terminates machines at the request of controllers.
class FakeCloud {
 public:
  explicit FakeCloud(std::uint64_t seed) : random_(seed) {}

  /// The machine types that the cloud offers.
  std::vector<MachineType> types;
  /// The largest number of machines in each pool.
  std::map<InstancePool, std::uint32_t> capacity;
  /// The machines that are launched and not terminated, by name.
  std::map<std::string, CloudMachine> machines;
  /// While this is set, all requests get 503.
  bool outage = false;
  /// On average, one in this many launched machines never finishes booting; 0 means none.
  std::uint32_t one_in_never_up = 25;
  /// Start of the address that each machine gets for itself; empty: addresses are made up.
  std::string address_prefix;
  /// Called for each machine that is launched, also for one that never boots.
  std::function<void(const CloudMachine&)> on_launched;
  /// Called with the name of each machine that a request terminates.
  std::function<void(const std::string&)> on_terminated;

  /// Executes a request and returns its response.
  CloudResponse handle(const CloudRequest& request, Time now);

  /// Records a snapshot of the machines. Lists show a snapshot whose age varies between about `lag`
  /// and twice as much, in milliseconds.
  void tick(Time now, Time lag);

 private:
  /// The list of all machines at one time.
  struct ListSnapshot {
    Time taken_at = 0;
    CloudResponse list;
  };

  void scale_out(const CloudRequest& request, Time now, CloudResponse& response);
  [[nodiscard]] CloudResponse list_page(const CloudRequest& request) const;
  [[nodiscard]] std::string address_of(std::size_t number) const;
  void launch(const CloudRequest& request, Time now, CloudResponse& response);

  pcg32 random_;
  std::size_t next_machine_number_ = 1;
  /// The machines launched for each scale-out request; a repeated request gets the same ones.
  std::map<std::string, std::vector<std::string>> names_by_request_;
  std::list<ListSnapshot> snapshots_;
};

}  // namespace sailreel::sim
