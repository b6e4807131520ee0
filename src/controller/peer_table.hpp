// What this controller knows of its peers from their heartbeats, and its permit to keep tasks alive
// without a leader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "protocol/messages.hpp"
#include "protocol/peer_frames.hpp"

namespace sailreel {

/// The longest time (ms) that a span on another machine's clock may last on ours, with a margin.
constexpr Time with_drift(Time span) { return span + span / 500 + 50; }

/// One of the other controllers, as of its latest heartbeat. Times in ms, on our clock unless
/// stated otherwise.
struct PeerView {
  Time last_heartbeat = -kNever;
  bool leading = false, hears_leader = false, holding = false, hears_workers = false;
  bool understands_gangs = false, shares_limits = false;
  std::uint64_t epoch = 0;
  std::uint64_t incarnation = 0;  // 0: never heard
  Time clock = 0;                 // its own, at its latest heartbeat
  Time echo_at = -kNever;  // send time of the latest of our heartbeats that it had received by then
  Time kept_alive_at = -kNever;  // when it last kept tasks alive by itself, at the latest
  Time tried_at = -kNever;       // when a worker was last redirected there although it hears none
};

/// All other controllers, in the order of the settings. Owned by the controller.
class PeerTable {
 public:
  /// `keep_alive_span`: how long (ms) a controller that has lost the leader keeps tasks alive by
  /// itself.
  PeerTable(std::size_t count, std::uint64_t own_incarnation, Time worker_lease,
            Time keep_alive_span)
      : views_(count),
        own_incarnation_(own_incarnation),
        worker_lease_(worker_lease),
        keep_alive_span_(keep_alive_span) {}

  /// Processes a heartbeat; false if it is older than one received before.
  bool take(std::size_t peer, const ControllerHeartbeat& heartbeat, Time now);
  /// The link to the peer broke: as far as we know it doesn't lead.
  void lost(std::size_t peer) { views_[peer].leading = false; }
  /// A worker was redirected to the peer although it hears none yet.
  void tried(std::size_t peer, Time now) { views_[peer].tried_at = now; }

  [[nodiscard]] std::size_t size() const { return views_.size(); }
  [[nodiscard]] const PeerView& operator[](std::size_t peer) const { return views_[peer]; }
  [[nodiscard]] auto begin() const { return views_.begin(); }
  [[nodiscard]] auto end() const { return views_.end(); }

  /// In ms. Heartbeats come a thirtieth of a lease apart; a peer whose echo of ours is older than
  /// this may have lost us.
  [[nodiscard]] Time contact_span() const { return worker_lease_ / 10; }
  [[nodiscard]] bool in_contact(std::size_t peer, Time now) const;
  /// The peer leads or hears the leader, and we hear it.
  [[nodiscard]] bool reaches_leader(std::size_t peer, Time now) const;
  /// The peer that leads under the highest epoch; empty: unknown, or ourselves.
  [[nodiscard]] std::optional<std::size_t> leader(Time now) const;
  /// A leader whose lease may have expired, and that still answers heartbeats.
  [[nodiscard]] std::optional<std::size_t> holding(Time now) const;
  /// Peers that can forward a request to the leader for us.
  [[nodiscard]] std::vector<std::size_t> relays(Time now) const;
  /// Every controller that the settings name has said so. One that ended since comes back with the
  /// same version or a later one.
  [[nodiscard]] bool all_understand_gangs() const;
  [[nodiscard]] bool all_share_limits() const;
  /// The latest time at which a peer may have answered a worker's heartbeat by itself.
  [[nodiscard]] Time latest_answer(Time now) const;

 private:
  std::vector<PeerView> views_;
  std::uint64_t own_incarnation_;
  Time worker_lease_, keep_alive_span_;
};

/// Under which fencing token, and until when, this controller may keep workers' tasks alive by
/// itself.
class KeepAlivePermit {
 public:
  /// Extends the permit until that time (ms); a permit of an older epoch is ignored.
  void allow(std::uint64_t epoch, Time until);
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
