// Quota shares: how regions divide the quota limits of teams among themselves. A state machine in
// the leader of each region, which does no input or output and reads no clock. It tells how much of
// each limit the region may use now, asks other regions for more, gives them what they need more,
// and tells which values of its ledger the next checkpoint commit has to write.
//
// The code is in four files: share_manager.cpp (start, caps, changes of limits), share_demands.cpp
// (what is asked for and given), share_messages.cpp (messages of other regions), share_commits.cpp
// (changes on their way into the checkpoint).
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

/// What the leader's tables show, several times per heartbeat interval.
struct LoadObserved {
  std::vector<TeamLoad> teams;
  /// Whether all tasks that may run are counted; false during reconciliation after a failover.
  bool complete = false;
};
struct MessageArrived {
  RegionMessage message;
};
/// The checkpoint commit that carried the last `writes` has succeeded.
struct CheckpointCommitted {};
using ShareInput = std::variant<LoadObserved, MessageArrived, CheckpointCommitted>;

// ---- actions ----

struct SendToRegion {
  std::size_t region = 0;  // among the other regions, in the order of the options
  RegionMessage message;
};
/// Tasks of the team of lower priority than `below` are to be preempted until the team's use is
/// within its cap.
struct StopBeyondCap {
  std::string team;
  Priority below = Priority::High;
};
struct ShareEvent {
  bool is_error = false;
  std::string text;
};
using ShareAction = std::variant<SendToRegion, StopBeyondCap, ShareEvent>;

/// A value of the ledger that the checkpoint commit has to write.
struct ShareWrite {
  std::string key, value;
};

class ShareManager {
 public:
  /// `heartbeat_ms` is the interval of workers' heartbeats, which all times here are ratios to.
  ShareManager(const FederationOptions& options, const std::vector<Team>& teams, Time heartbeat_ms);

  /// Starts from the checkpoint's values, as the leader of that epoch. Before the first commit with
  /// quota shares there are none, and the region holds the share that the options give it.
  void load(const std::map<std::string, std::string>& values, std::uint64_t epoch, Time now);
  /// This node is no longer the leader: changes that were not committed are dropped.
  void stop();

  std::vector<ShareAction> step(Time now, ShareInput input);

  /// Whether there are changes to commit; never while a commit is in flight.
  [[nodiscard]] bool wants_commit() const;
  /// Transfers may begin, as every controller of the region understands quota shares. Stored by the
  /// first commit, and permanent from then on.
  void activate();
  [[nodiscard]] bool active() const { return active_; }
  /// The writes for the next commit, at most so many; none if there is nothing to commit. They take
  /// effect with `CheckpointCommitted`.
  std::vector<ShareWrite> writes(std::size_t most);

  /// What the team's tasks may use in this region now; empty in a dimension without a quota limit.
  struct Cap {
    std::optional<double> cpus, gpus;
  };
  [[nodiscard]] Cap cap(const std::string& team) const;

  /// The ledger as the checkpoint has it.
  [[nodiscard]] const ShareLedger& ledger() const { return committed_; }

 private:
  struct ManagedTeam {
    bool cpus = false, gpus = false;  // which dimensions have a limit
    Amounts limit;
  };
  struct Give {
    std::size_t region = 0;
    std::vector<TeamAmounts> amounts;
  };
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
  /// Stores the share that the region starts with; the options don't count from then on.
  struct WriteFirstShare {
    std::string team;
  };
  using Change = std::variant<Give, CreditTransfer, ChangeLimit, PayExcess, WriteFirstShare>;
  /// Orders the messages of a region: one of a later leader, which has a higher epoch, is newer
  /// than all of its predecessors.
  struct MessageNumber {
    std::uint64_t epoch = 0, sequence = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 mistakes the generated comparison
    auto operator<=>(const MessageNumber&) const = default;
  };
  struct RegionView {
    std::string name;
    bool acknowledged = true;  // the last transfer to it
    Time resend_at = 0;
    bool giving = false;  // a transfer to it is being written
    MessageNumber last_demand, last_surplus;
    std::map<std::string, DemandEntry> demands;
    Time demands_until = 0;
    std::map<std::string, SurplusEntry> surplus;
    std::map<std::string, SurplusEntry> surplus_sent;
    Time surplus_resend_at = 0;
    std::map<std::string, DemandEntry> asked;
    Time demand_resend_at = 0;
  };
  /// Share that a region needs for urgent work, while tasks of lower priority are being preempted.
  struct Reclaim {
    std::size_t region = 0;
    Amounts amounts;
    Time until = 0;
  };
  struct TeamView {
    TeamLoad load;
    Amounts promised;  // in changes that are not committed
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
  Amounts grant(TeamView& team, std::size_t region, const DemandEntry& demand);
  void finish_reclaims(std::size_t region, std::map<std::string, Amounts>& given);
  void send_demands();
  [[nodiscard]] std::vector<std::map<std::string, DemandEntry>> plan_demands() const;
  void send_surplus();
  void resend_transfers();
  void send(std::size_t region, RegionMessage message);
  void event(std::string text, bool is_error = false);
  bool apply(ShareLedger& ledger, const Change& change) const;
  [[nodiscard]] std::set<std::string> keys_of(const Change& change) const;
  void complete(const Change& change);
  void write_first_shares();
  [[nodiscard]] bool administers_limits() const;
  [[nodiscard]] ShareRecord first_record(const std::string& team) const;
  [[nodiscard]] Amounts held(const std::string& team) const;
  [[nodiscard]] Amounts available(const std::string& team, const TeamView& view) const;
  [[nodiscard]] Amounts unused(const std::string& team, const TeamView& view) const;
  [[nodiscard]] Amounts reserve(const TeamView& view) const;
  [[nodiscard]] std::optional<std::size_t> region_index(const std::string& name) const;
  void send_transfer(std::size_t region);
  /// Leaves out the dimensions that have no limit.
  [[nodiscard]] Amounts limited(const std::string& team, Amounts amounts) const;

  const FederationOptions options_;
  const Time interval_;
  std::map<std::string, ManagedTeam> managed_;
  std::set<std::string> unwritten_;  // teams whose first share is not in the checkpoint
  std::vector<RegionView> regions_;
  std::map<std::string, TeamView> teams_;
  bool leading_ = false, active_ = false, unreadable_ = false, complete_ = false;
  std::uint64_t epoch_ = 0, sequence_ = 0;
  Time now_ = 0;
  /// The ledger as the checkpoint has it, and as the commit in flight will leave it.
  ShareLedger committed_, staged_;
  /// Changes that wait for a commit, and those in the commit that is in flight.
  std::vector<Change> pending_, in_flight_;
  std::vector<ShareAction> actions_;
};

}  // namespace sailreel::federation
