// Shares of teams' limits between regions: a state machine beside the core's, in the leader of each
// region. It does no input or output and reads no clock. It says how much of each limit the region
// may use now, asks other regions for more, gives up what they need more, and says what of its
// ledger is to be written with the leader's next round.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "federation/ledger.hpp"
#include "protocol/messages.hpp"
#include "protocol/settings.hpp"

namespace sailreel::federation {

/// What the region's tasks use and wait for, by a team. All that may be on a machine counts as
/// used: starts in flight, tasks whose place isn't known, what is kept for gangs.
struct TeamLoad {
  std::string team;
  Amounts used;
  /// By priority: what runs, and what waits for a start.
  std::array<Amounts, kPriorities> running, waiting;
};

// ---- inputs ----

/// The leader's view, at least a few times a report's interval.
struct LoadObserved {
  std::vector<TeamLoad> teams;
  /// Whether all that may run is counted; false while a new leader finds out.
  bool complete = false;
};
struct MessageArrived {
  RegionMessage message;
};
/// The round that carried the last `writes` is in the checkpoint.
struct CheckpointCommitted {};
using ShareInput = std::variant<LoadObserved, MessageArrived, CheckpointCommitted>;

// ---- actions ----

struct SendToRegion {
  std::size_t region = 0;  // among the other regions, in the order of the options
  RegionMessage message;
};
/// Tasks of the team of lower priority than this are to be stopped until its use is within its cap.
struct StopBeyondCap {
  std::string team;
  Priority below = Priority::High;
};
struct ShareEvent {
  bool is_error = false;
  std::string text;
};
using ShareAction = std::variant<SendToRegion, StopBeyondCap, ShareEvent>;

/// What a leader's round has to write of the ledger.
struct ShareWrite {
  std::string key, value;
};

class ShareManager {
 public:
  ShareManager(const FederationOptions& options, const std::vector<Team>& teams, Time heartbeat_ms);

  /// Begins with what the checkpoint holds, as the leader of that epoch. Before the first round
  /// with shares there is nothing, and the region holds its part of the division in the options.
  void load(const std::map<std::string, std::string>& values, std::uint64_t epoch, Time now);
  /// Leads no more: what was not committed is forgotten.
  void stop();

  std::vector<ShareAction> step(Time now, ShareInput input);

  /// Whether there is something to be written; nothing is while a round is in flight.
  [[nodiscard]] bool wants_commit() const;
  /// Moves may begin: every controller of the region knows of shares. Written down with the first
  /// round, and true for ever from then on.
  void activate();
  [[nodiscard]] bool active() const { return active_; }
  /// The writes for the next round, at most so many; none if nothing is to be written. What they
  /// bring is in force once the round is committed.
  std::vector<ShareWrite> writes(std::size_t most);

  /// What the team's tasks may use in this region now, in each dimension that has a limit.
  struct Cap {
    std::optional<double> cpus, gpus;
  };
  [[nodiscard]] Cap cap(const std::string& team) const;

  /// The ledger as committed.
  [[nodiscard]] const ShareLedger& ledger() const { return committed_; }

 private:
  struct Managed {
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
  /// Writes down what the region begins with: from then on the options have no say in it.
  struct WriteFirstShare {
    std::string team;
  };
  using Change = std::variant<Give, CreditTransfer, ChangeLimit, PayExcess, WriteFirstShare>;
  struct RegionView {
    std::string name;
    bool acknowledged = true;  // the last transfer to it
    Time resend_at = 0;
    bool giving = false;  // a transfer to it is being written
    std::pair<std::uint64_t, std::uint64_t> last_demand, last_surplus;  // epoch and sequence
    std::map<std::string, DemandEntry> demands;
    Time demands_until = 0;
    std::map<std::string, SurplusEntry> surplus;
    std::map<std::string, SurplusEntry> surplus_told;
    Time surplus_resend_at = 0;
    std::map<std::string, DemandEntry> asked;
    Time ask_again_at = 0;
  };
  /// Share that a region has asked for urgent work, while less important tasks are being stopped.
  struct Reclaim {
    std::size_t region = 0;
    Amounts amounts;
    Time until = 0;
  };
  struct TeamView {
    TeamLoad load;
    Amounts promised;  // in gives that aren't committed
    std::optional<Reclaim> reclaim;
  };

  void observe(const LoadObserved& input);
  void take(const MessageArrived& input);
  void take_transfer(std::size_t region, const RegionMessage& message);
  void take_acknowledgement(std::size_t region, const RegionMessage& message);
  void take_demand(std::size_t region, const RegionMessage& message);
  void take_surplus(std::size_t region, const RegionMessage& message);
  void committed();
  void adjust_limits();
  void serve_demands();
  void serve_region(std::size_t region);
  Amounts grant(TeamView& team, std::size_t region, const DemandEntry& demand);
  void finish_reclaims(std::size_t region, std::map<std::string, Amounts>& given);
  void ask();
  [[nodiscard]] std::vector<std::map<std::string, DemandEntry>> plan_demands() const;
  void tell_surplus();
  void resend_transfers();
  void send(std::size_t region, RegionMessage message);
  void event(std::string text, bool is_error = false);
  bool apply(ShareLedger& ledger, const Change& change) const;
  [[nodiscard]] std::set<std::string> keys_of(const Change& change) const;
  void settle(const Change& change);
  void write_first_shares();
  [[nodiscard]] bool in_charge_of_limits() const;
  [[nodiscard]] ShareRecord first_record(const std::string& team) const;
  [[nodiscard]] Amounts held(const std::string& team) const;
  [[nodiscard]] Amounts available(const std::string& team, const TeamView& view) const;
  [[nodiscard]] Amounts unused(const std::string& team, const TeamView& view) const;
  [[nodiscard]] Amounts reserve(const TeamView& view) const;
  [[nodiscard]] std::optional<std::size_t> region_index(const std::string& name) const;
  void transfer_message(std::size_t region);
  /// Leaves out the dimensions that have no limit.
  [[nodiscard]] Amounts limited(const std::string& team, Amounts amounts) const;

  const FederationOptions options_;
  const Time interval_;
  std::map<std::string, Managed> managed_;
  std::set<std::string> unwritten_;  // teams whose first share isn't in the checkpoint
  std::vector<RegionView> regions_;
  std::map<std::string, TeamView> teams_;
  bool leading_ = false, active_ = false, unreadable_ = false, complete_ = false;
  std::uint64_t epoch_ = 0, sequence_ = 0;
  Time now_ = 0;
  ShareLedger committed_, staged_;
  std::vector<Change> waiting_, in_flight_;
  std::vector<ShareAction> out_;
};

}  // namespace sailreel::federation
