// What each team may use in this region: its limits from the settings and, if limits span regions,
// this region's share of them. Keeps the caps in the tables up to date; the share manager moves the
// shares between regions.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "federation/share_manager.hpp"
#include "protocol/settings.hpp"
#include "storage/checkpoint.hpp"
#include "storage/tables.hpp"

namespace sailreel {

/// The teams' limits in one region. Writes the caps to `tables`, which must outlive this object,
/// and owns the share manager.
class RegionalQuotas {
 public:
  /// Without federation in the options, only the settings' limits apply, and no share records are
  /// written.
  RegionalQuotas(const Settings& settings, const FederationOptions& options, Tables& tables);

  /// Whether limits span regions.
  [[nodiscard]] bool limits_span_regions() const { return shares_ != nullptr; }
  /// To be called with the checkpoint's contents when this controller becomes leader. Returns false
  /// if the checkpoint has share records but the options have no federation. Each team's cap is
  /// then the share in its record, or 0 if the record is missing or can't be decoded.
  bool load(const Snapshot& checkpoint, std::uint64_t epoch, Time now);
  /// To be called when this controller no longer leads.
  void stop();

  /// To be called periodically while this controller leads. Passes the teams' load to the share
  /// manager; returns what has to be sent, stopped or logged. `now` is in ms. `complete` tells that
  /// all tasks that may run are counted, `all_support_shares` that every controller of the region
  /// is known to support quota shares.
  std::vector<federation::ShareAction> observe(Time now, bool complete, bool all_support_shares);
  /// Processes a message from another region; returns what has to be sent or logged for it. `now`
  /// is in ms.
  std::vector<federation::ShareAction> handle_message(Time now, const RegionMessage& message);
  /// To be called when the checkpoint commit with the last result of `writes` has succeeded. `now`
  /// is in ms.
  std::vector<federation::ShareAction> handle_commit(Time now);

  /// Whether share records have to be written.
  [[nodiscard]] bool wants_commit() const { return shares_ && shares_->wants_commit(); }
  /// Returns at most `max_writes` writes of share records for the next checkpoint commit. Only
  /// valid if limits span regions.
  std::vector<federation::ShareWrite> writes(std::size_t max_writes) {
    return shares_->writes(max_writes);
  }

  /// Returns whether a cap was raised since the last call.
  bool take_cap_raised() { return std::exchange(cap_raised_, false); }
  /// The share manager, which this object owns; null if limits don't span regions.
  [[nodiscard]] const federation::ShareManager* shares() const { return shares_.get(); }

 private:
  [[nodiscard]] std::vector<federation::TeamLoad> loads() const;
  void apply_caps();
  void set_caps(TeamQuota& team, std::optional<double> cpus, std::optional<double> gpus);

  Tables& tables_;
  std::unique_ptr<federation::ShareManager> shares_;
  bool cap_raised_ = false;
};

}  // namespace sailreel
