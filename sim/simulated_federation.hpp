// Several simulated regions on one clock, with messages between them that are delayed, lost,
// duplicated and held by network cuts. Checks what no single region can observe: that a team's use
// over all regions stays within its limit, and that quota shares are neither created nor lost.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sim/simulated_region.hpp"
#include "storage/share_records.hpp"

namespace sailreel::sim {

/// Configuration of a simulated federation.
struct FederationPlan {
  std::uint64_t seed = 1;
  std::size_t regions = 2;
  Time length = 120'000;
  /// Delay of a message between regions; up to a quarter of it is added at random.
  Time delay_ms = 100;
  /// Share of messages that are lost.
  double loss = 0.02;
  /// Share of messages of which a second copy arrives up to a minute later.
  double duplicated = 0.02;
  /// The share of each team's limit, in GPUs, with which every region but the first starts. The
  /// first region has the rest.
  std::map<std::string, double> initial_gpus;
  double reserve_ratio = 0.05;
  /// Runs without federation options: each region keeps a fixed part of each limit, and no share
  /// moves.
  bool fixed_division = false;
  /// Whether seeded faults are injected.
  bool faults = false;
  /// Changes the plan of one region before it starts.
  std::function<void(std::size_t region, SimulationPlan&)> adjust;
};

/// Runs the regions of a plan and carries the messages between them.
class SimulatedFederation {
 public:
  explicit SimulatedFederation(const FederationPlan& plan);

  /// Advances all regions to the given time.
  void run_until(Time time);
  [[nodiscard]] Time now() const { return now_; }
  SimulatedRegion& region(std::size_t region) { return *regions_[region]; }
  [[nodiscard]] std::size_t regions() const { return regions_.size(); }

  /// Cuts two regions off from each other. Messages sent meanwhile are held until the cut ends if
  /// `hold` is set, and otherwise lost.
  void cut(std::size_t region_a, std::size_t region_b, Time for_ms, bool hold);
  /// Cuts a region off from all others.
  void cut_off(std::size_t region, Time for_ms, bool hold);
  /// Sets the limit of a team over all regions, in GPUs, that is checked from now on.
  void expect_limit(const std::string& team, double gpus) { limits_[team] = gpus; }

  /// The share ledger in a region's checkpoint.
  [[nodiscard]] ShareLedger ledger(std::size_t region) const;
  /// The sum of a team's shares in all regions.
  [[nodiscard]] Amounts held(const std::string& team) const;
  /// The amounts of a team that were sent to another region and not yet credited there.
  [[nodiscard]] Amounts in_transit(const std::string& team) const;
  /// The GPUs that the team's tasks use over all regions.
  [[nodiscard]] double used_gpus(const std::string& team) const;
  [[nodiscard]] std::uint64_t messages() const { return messages_; }
  [[nodiscard]] std::uint64_t message_bytes() const { return message_bytes_; }
  /// All rules that were broken in any region or over all regions; empty if none was.
  [[nodiscard]] std::string violations() const;

 private:
  struct MessageInTransit {
    std::size_t to = 0;
    std::string bytes;
  };
  void send(std::size_t from, std::size_t to, const RegionMessage& message);
  void deliver_due_messages();
  void check();
  void check_shares(const std::string& team, double limit);
  void plan_faults();
  void inject_fault();

  FederationPlan plan_;
  pcg32 random_;
  std::vector<std::unique_ptr<SimulatedRegion>> regions_;
  std::vector<std::string> region_names_;
  std::map<std::string, double> limits_;
  std::multimap<Time, MessageInTransit> messages_due_;
  std::map<std::pair<std::size_t, std::size_t>, NetworkCut> cuts_;
  std::vector<Time> fault_times_;
  std::map<std::string, std::string> violations_;
  Time now_ = 0, next_check_ = 0;
  std::uint64_t messages_ = 0, message_bytes_ = 0;
};

}  // namespace sailreel::sim
