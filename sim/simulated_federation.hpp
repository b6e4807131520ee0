// Several simulated regions on one clock, with messages between them that are delayed, lost,
// duplicated and held by network cuts. Checks what no region can see by itself: what a team uses
// over all regions, and that quota shares are neither created nor lost.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sim/simulated_region.hpp"
#include "storage/share_records.hpp"

namespace sailreel::sim {

struct FederationPlan {
  std::uint64_t seed = 1;
  std::size_t regions = 2;
  Time length = 120'000;
  Time delay_ms = 100;
  double loss = 0.02;
  /// Share of messages of which a copy comes late, up to a minute.
  double repeated = 0.02;
  /// What each region begins with of a team, in GPUs; the first region has the rest.
  std::map<std::string, double> first_gpus;
  double reserve_ratio = 0.05;
  /// Each region keeps a fixed part of each limit, and nothing moves.
  bool fixed_division = false;
  bool faults = false;
  /// Changes the plan of a region's own simulation.
  std::function<void(std::size_t region, SimulationPlan&)> adjust;
};

class SimulatedFederation {
 public:
  explicit SimulatedFederation(const FederationPlan& plan);

  void run_until(Time time);
  [[nodiscard]] Time now() const { return now_; }
  SimulatedRegion& region(std::size_t region) { return *regions_[region]; }
  [[nodiscard]] std::size_t regions() const { return regions_.size(); }

  /// The two regions lose each other; what is sent meanwhile is held, or lost.
  void cut(std::size_t a, std::size_t b, Time for_ms, bool hold);
  /// A region loses all others.
  void cut_off(std::size_t region, Time for_ms, bool hold);
  /// The limit over all regions, from now on.
  void expect_limit(const std::string& team, double gpus) { limits_[team] = gpus; }

  /// What the checkpoint of a region says.
  [[nodiscard]] ShareLedger ledger(std::size_t region) const;
  [[nodiscard]] Amounts held(const std::string& team) const;
  [[nodiscard]] Amounts in_transit(const std::string& team) const;
  /// What the team's tasks use over all regions.
  [[nodiscard]] double used_gpus(const std::string& team) const;
  [[nodiscard]] std::uint64_t messages() const { return messages_; }
  [[nodiscard]] std::uint64_t message_bytes() const { return message_bytes_; }
  /// All that was broken, in any region or over all of them; empty if nothing was.
  [[nodiscard]] std::string broken() const;

 private:
  struct MessageInTransit {
    std::size_t to = 0;
    std::string bytes;
  };
  void send(std::size_t from, std::size_t to, const RegionMessage& message);
  void deliver_due();
  void check();
  void check_shares(const std::string& team, double limit);
  void plan_faults();
  void fault();

  FederationPlan plan_;
  pcg32 random_;
  std::vector<std::unique_ptr<SimulatedRegion>> regions_;
  std::vector<std::string> names_;
  std::map<std::string, double> limits_;
  std::multimap<Time, MessageInTransit> messages_due_;
  std::map<std::pair<std::size_t, std::size_t>, NetworkCut> cuts_;
  std::vector<Time> faults_at_;
  std::map<std::string, std::string> broken_;
  Time now_ = 0, next_check_ = 0;
  std::uint64_t messages_ = 0, message_bytes_ = 0;
};

}  // namespace sailreel::sim
