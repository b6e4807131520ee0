// What a controller knows about its peers from their heartbeats, and its permission to keep
// workers' tasks alive without a leader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "protocol/messages.hpp"
#include "protocol/peer_frames.hpp"

namespace sailreel {

/// Returns the longest time (ms) that may pass on this machine's clock while `span` (ms) passes on
/// another machine's: clocks may differ in rate by 1 in 500, and 50 ms are added as a margin.
constexpr Time with_clock_drift(Time span) { return span + span / 500 + 50; }

/// The state of one of the other controllers, as of its latest heartbeat. Times are in ms, on this
/// controller's clock unless stated otherwise.
struct PeerView {
  Time last_heartbeat = -kNever;  // when it was received
  // The flags have the same meaning as in ControllerHeartbeat.
  bool leading = false, hears_leader = false, holding = false, hears_workers = false;
  bool understands_gangs = false, shares_limits = false;
  std::uint64_t epoch = 0;
  std::uint64_t incarnation = 0;  // 0: no heartbeat received yet
  Time clock = 0;                 // the peer's own clock when it sent its latest heartbeat
  /// When this controller sent the latest of its own heartbeats that the peer has acknowledged.
  Time acknowledged_sent_at = -kNever;
  /// The latest time at which the peer kept tasks alive by itself, as it reported or, for a former
  /// process of the peer, as it may have done.
  Time kept_alive_at = -kNever;
  Time tried_at = -kNever;  // when a worker was last redirected to the peer although it heard none
};

/// The other controllers, indexed by their position in the settings. Owned by the controller.
class PeerTable {
 public:
  /// `worker_lease`: the length (ms) of a worker's lease. `keep_alive_span`: how long (ms) a
  /// controller that has lost the leader keeps tasks alive by itself.
  PeerTable(std::size_t count, std::uint64_t own_incarnation, Time worker_lease,
            Time keep_alive_span)
      : views_(count),
        own_incarnation_(own_incarnation),
        worker_lease_(worker_lease),
        keep_alive_span_(keep_alive_span) {}

  /// Processes a heartbeat. Returns false, and ignores it, if it is older than one received before.
  bool process_heartbeat(std::size_t peer, const ControllerHeartbeat& heartbeat, Time now);
  /// Records that the link to the peer is lost: the peer is no longer assumed to lead.
  void mark_disconnected(std::size_t peer) { views_[peer].leading = false; }
  /// Records that a worker was redirected to the peer although the peer hears no worker.
  void mark_tried(std::size_t peer, Time now) { views_[peer].tried_at = now; }

  [[nodiscard]] std::size_t size() const { return views_.size(); }
  [[nodiscard]] const PeerView& operator[](std::size_t peer) const { return views_[peer]; }
  [[nodiscard]] auto begin() const { return views_.begin(); }
  [[nodiscard]] auto end() const { return views_.end(); }

  /// In ms. Controllers send heartbeats a thirtieth of a worker's lease apart. A peer whose latest
  /// acknowledged heartbeat is older than this span may have lost contact with this controller.
  [[nodiscard]] Time acknowledgement_timeout() const { return worker_lease_ / 10; }
  /// Whether a heartbeat of the peer was received within the last eighth of a worker's lease.
  [[nodiscard]] bool in_contact(std::size_t peer, Time now) const;
  /// Whether the peer is in contact, and leads or hears the leader.
  [[nodiscard]] bool reaches_leader(std::size_t peer, Time now) const;
  /// Returns the peer in contact that leads under the highest epoch; empty if none is known to
  /// lead, as when this controller leads itself.
  [[nodiscard]] std::optional<std::size_t> leader(Time now) const;
  /// Returns a peer in contact that is the leader, although its lease may have expired, and that
  /// still answers workers' heartbeats; empty if there is none.
  [[nodiscard]] std::optional<std::size_t> leader_answering_heartbeats(Time now) const;
  /// Returns the peers in contact that can forward a request to the leader: they hear the leader,
  /// and their version supports such requests.
  [[nodiscard]] std::vector<std::size_t> relays(Time now) const;
  /// Whether the latest heartbeat of every peer says that it supports gangs. A peer that has ended
  /// since is assumed to come back with the same version or a later one.
  [[nodiscard]] bool all_understand_gangs() const;
  /// Whether the latest heartbeat of every peer says that it supports quota shares between regions.
  [[nodiscard]] bool all_support_quota_shares() const;
  /// Returns the latest time (ms) at which any peer may have answered a worker's heartbeat by
  /// itself.
  [[nodiscard]] Time latest_possible_keep_alive(Time now) const;

 private:
  std::vector<PeerView> views_;
  std::uint64_t own_incarnation_;
  Time worker_lease_, keep_alive_span_;
};

/// Permission to keep workers' tasks alive without a leader: under which fencing token, which is a
/// leader's epoch, and until when.
class KeepAlivePermit {
 public:
  /// Extends the permit until `until` (ms), never shortening it. A later epoch replaces the permit
  /// of an earlier one; an earlier epoch than the present one is ignored.
  void extend(std::uint64_t epoch, Time until);
  [[nodiscard]] bool valid(std::uint64_t fencing_token, Time now) const {
    return now < until_ && fencing_token == epoch_;
  }
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
  [[nodiscard]] Time until() const { return until_; }

 private:
  std::uint64_t epoch_ = 0;
  Time until_ = 0;
};

}  // namespace sailreel
