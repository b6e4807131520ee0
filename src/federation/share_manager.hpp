// Quota shares: how regions divide the quota limits of teams among themselves. The share manager is
// a state machine in the leader of each region. It does no input or output and reads no clock. It
// determines how much of each limit the region may use now, asks other regions for more, gives them
// shares that they need more, and determines which values of its ledger the next checkpoint commit
// has to write.
//
// The code is in four files: share_manager.cpp (start, caps, changes of limits), share_demands.cpp
// (demands, surpluses and grants), share_messages.cpp (messages from and to other regions),
// share_commits.cpp (commits of changes to the checkpoint).
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "federation/ledger.hpp"
#include "federation/team_load.hpp"
#include "protocol/messages.hpp"
#include "protocol/settings.hpp"

namespace sailreel::federation {

// ---- inputs ----

/// The teams' load according to the leader's tables. Passed in several times per heartbeat
/// interval.
struct LoadObserved {
  std::vector<TeamLoad> teams;
  /// Whether all tasks that may run are counted; false during reconciliation after a failover.
  bool complete = false;
};
/// A message from another region has arrived.
struct MessageArrived {
  RegionMessage message;
};
/// The checkpoint commit that carried the last `writes` has succeeded.
struct CheckpointCommitted {};
using ShareInput = std::variant<LoadObserved, MessageArrived, CheckpointCommitted>;

// ---- actions ----

/// A message has to be sent to another region.
struct SendToRegion {
  std::size_t region = 0;  // index among the other regions, in the order of the options
  RegionMessage message;
};
/// The team's tasks that have a lower priority than `below` have to be preempted until the team's
/// use is within its cap.
struct PreemptBeyondCap {
  std::string team;
  Priority below = Priority::High;
};
/// A line has to be logged.
struct ShareEvent {
  bool is_error = false;
  std::string text;
};
using ShareAction = std::variant<SendToRegion, PreemptBeyondCap, ShareEvent>;

/// A value of the ledger that the checkpoint commit has to write.
struct ShareWrite {
  std::string key, value;
};

/// Manages the quota shares of one region while its controller leads, from `load` to `stop`. Times
/// are in ms.
class ShareManager {
 public:
  /// `heartbeat_ms` is the interval of workers' heartbeats. All periods of the share manager are
  /// multiples or fractions of it.
  ShareManager(const FederationOptions& options, const std::vector<Team>& teams, Time heartbeat_ms);

  /// Starts from the checkpoint's values, as the leader of that epoch. `values` is empty before the
  /// first commit with quota shares; then the region holds the share that the options give it.
  void load(const std::map<std::string, std::string>& values, std::uint64_t epoch, Time now);
  /// To be called when this controller no longer leads. Drops changes that were not committed.
  void stop();

  /// Processes an input at the time `now`; returns the actions to perform.
  std::vector<ShareAction> step(Time now, ShareInput input);

  /// Whether there are changes to commit; never while a commit is in flight.
  [[nodiscard]] bool wants_commit() const;
  /// Allows transfers. To be called once every controller of the region supports quota shares. The
  /// first commit stores this, and it is permanent from then on.
  void activate();
  [[nodiscard]] bool active() const { return active_; }
  /// Returns at most `max_writes` writes for the next commit, none if there is nothing to commit.
  /// The changes that they store take effect with `CheckpointCommitted`.
  std::vector<ShareWrite> writes(std::size_t max_writes);

  /// What the team's tasks may use in this region now; empty in a dimension without a quota limit.
  struct Cap {
    std::optional<double> cpus, gpus;
  };
  [[nodiscard]] Cap cap(const std::string& team) const;

  /// The ledger as stored in the checkpoint.
  [[nodiscard]] const ShareLedger& ledger() const { return committed_; }

 private:
  /// A team with a quota limit.
  struct ManagedTeam {
    bool cpus = false, gpus = false;  // which dimensions have a limit
    Amounts limit;
  };
  /// Starts a transfer to another region.
  struct StartTransfer {
    std::size_t region = 0;
    std::vector<TeamAmounts> amounts;
  };
  /// Credits a transfer from another region.
  struct CreditTransfer {
    std::size_t region = 0;
    ShareTransfer transfer;
  };
  struct ChangeLimit {
    std::string team;
    Amounts limit;
  };
  struct PayExcess {
    std::string team;
    Amounts amounts;
  };
  /// Stores the share that the region starts with. From then on, the options no longer determine
  /// it.
  struct WriteInitialShare {
    std::string team;
  };
  using Change =
      std::variant<StartTransfer, CreditTransfer, ChangeLimit, PayExcess, WriteInitialShare>;
  /// Orders the messages of a region. A later leader has a higher epoch, so its messages are newer
  /// than all messages of its predecessors.
  struct MessageNumber {
    std::uint64_t epoch = 0, sequence = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 mistakes the generated comparison
    auto operator<=>(const MessageNumber&) const = default;
  };
  /// What is known of another region, and what was sent to it.
  struct RegionView {
    std::string name;
    bool acknowledged = true;  // it has acknowledged the last transfer to it
    Time resend_at = 0;
    bool transfer_pending = false;  // a transfer to it is being written
    MessageNumber last_demand, last_surplus;
    std::map<std::string, DemandEntry> demands;  // its last demand by team, until it expires
    Time demands_until = 0;
    std::map<std::string, SurplusEntry> surplus;       // what it last offered, by team
    std::map<std::string, SurplusEntry> surplus_sent;  // what was last offered to it, by team
    Time surplus_resend_at = 0;
    std::map<std::string, DemandEntry> demand_sent;  // the last demand sent to it, by team
    Time demand_resend_at = 0;
  };
  /// Share that another region needs for urgent work. It is given once enough tasks of lower
  /// priority have been preempted here, or kept if that takes longer than `until`.
  struct Reclaim {
    std::size_t region = 0;
    Amounts amounts;
    Time until = 0;
  };
  /// The state of a team in this region, beside its ledger record.
  struct TeamView {
    TeamLoad load;
    Amounts promised;  // to be given or paid off by changes that are not committed yet
    std::optional<Reclaim> reclaim;
  };

  void observe(const LoadObserved& input);
  void handle_message(const MessageArrived& input);
  void handle_transfer(std::size_t region, const RegionMessage& message);
  void handle_acknowledgement(std::size_t region, const RegionMessage& message);
  void handle_demand(std::size_t region, const RegionMessage& message);
  void handle_surplus(std::size_t region, const RegionMessage& message);
  void handle_commit();
  void adjust_limits();
  void serve_demands();
  void serve_region(std::size_t region);
  Amounts grant(TeamView& view, std::size_t region, const DemandEntry& demand);
  void finish_reclaims(std::size_t region, std::map<std::string, Amounts>& given);
  void send_demands();
  [[nodiscard]] std::vector<std::map<std::string, DemandEntry>> plan_demands() const;
  void send_surplus();
  void resend_transfers();
  void send(std::size_t region, RegionMessage message);
  void log_event(std::string text, bool is_error = false);
  bool apply(ShareLedger& ledger, const Change& change) const;
  [[nodiscard]] std::set<std::string> keys_of(const Change& change) const;
  void handle_committed_change(const Change& change);
  void write_initial_shares();
  [[nodiscard]] bool administers_limits() const;
  [[nodiscard]] ShareRecord initial_record(const std::string& team) const;
  [[nodiscard]] Amounts held(const std::string& team) const;
  [[nodiscard]] Amounts available(const std::string& team, const TeamView& view) const;
  [[nodiscard]] Amounts unused(const std::string& team, const TeamView& view) const;
  [[nodiscard]] Amounts reserve(const TeamView& view) const;
  [[nodiscard]] std::optional<std::size_t> region_index(const std::string& name) const;
  void send_transfer(std::size_t region);
  /// Returns the amounts, with 0 in the dimensions in which the team has no limit.
  [[nodiscard]] Amounts limited_dimensions_only(const std::string& team, Amounts amounts) const;

  const FederationOptions options_;
  const Time heartbeat_interval_;
  std::map<std::string, ManagedTeam> managed_teams_;
  std::set<std::string> teams_without_record_;  // teams whose first share is not in the checkpoint
  std::vector<RegionView> regions_;
  std::map<std::string, TeamView> teams_;
  bool leading_ = false, active_ = false, unreadable_ = false, load_complete_ = false;
  std::uint64_t epoch_ = 0, sequence_ = 0;
  Time now_ = 0;
  /// The ledger as stored in the checkpoint, and as the commit in flight will store it.
  ShareLedger committed_, staged_;
  /// Changes that wait for a commit, and those in the commit that is in flight.
  std::vector<Change> pending_changes_, in_flight_changes_;
  std::vector<ShareAction> actions_;
};

}  // namespace sailreel::federation
