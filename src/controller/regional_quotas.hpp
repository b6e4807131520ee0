// What teams may use in this region: their limits as the settings give them and, where limits span
// regions, the region's shares of them. Keeps the caps in the tables; the share manager moves the
// shares.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "federation/share_manager.hpp"
#include "protocol/settings.hpp"
#include "storage/checkpoint.hpp"
#include "storage/tables.hpp"

namespace sailreel {

/// The teams' limits in one region. Writes the caps to `tables`, which it doesn't own and which
/// must outlive it; owns the share manager.
class RegionalQuotas {
 public:
  /// Without federation in the options, limits are the settings' and nothing is ever written.
  RegionalQuotas(const Settings& settings, const FederationOptions& options, Tables& tables);

  /// True if limits span regions.
  [[nodiscard]] bool shared() const { return shares_ != nullptr; }
  /// To be called when this controller becomes leader, with the checkpoint's contents. False if
  /// these say that limits span regions and the options don't, or if they can't be read: then the
  /// caps stay at what was written, or at nothing.
  bool load(const Snapshot& checkpoint, std::uint64_t epoch, Time now);
  /// This controller no longer leads.
  void stop();

  /// To be called periodically while this controller leads; `now` in ms. `complete`: everything
  /// that may run is counted. `all_share`: every controller of the region is known to share limits.
  std::vector<federation::ShareAction> observe(Time now, bool complete, bool all_share);
  /// Processes a message of another region; returns what has to be sent or logged for it. `now` in
  /// ms.
  std::vector<federation::ShareAction> take(Time now, const RegionMessage& message);
  /// The checkpoint commit that contains the last writes has succeeded.
  std::vector<federation::ShareAction> committed(Time now);

  /// Whether share records have to be written, and the writes for the next checkpoint commit, at
  /// most `most`.
  [[nodiscard]] bool wants_commit() const { return shares_ && shares_->wants_commit(); }
  std::vector<federation::ShareWrite> writes(std::size_t most) { return shares_->writes(most); }

  /// True if a cap was raised since the last call.
  bool take_raised() { return std::exchange(raised_, false); }
  /// Null where limits don't span regions. Owned by this object.
  [[nodiscard]] const federation::ShareManager* shares() const { return shares_.get(); }

 private:
  [[nodiscard]] std::vector<federation::TeamLoad> loads() const;
  void apply_caps();
  void set_caps(TeamQuota& team, std::optional<double> cpus, std::optional<double> gpus);

  Tables& tables_;
  std::unique_ptr<federation::ShareManager> shares_;
  bool raised_ = false;
};

}  // namespace sailreel
