// Leader election among the controllers of a region. The leader holds a lease in the key-value
// store, and each new leader increments the epoch.
#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <string>

#include "controller/actions.hpp"
#include "controller/causes.hpp"
#include "controller/election_history.hpp"
#include "controller/outbox.hpp"
#include "controller/peer_table.hpp"
#include "protocol/settings.hpp"

namespace sailreel {

/// One controller's side of the election: it watches the leader's key, campaigns when the key is
/// gone, and renews the lease while it leads. Owns the role, the epoch and the lease; the listener
/// implements what a leader does. All times are milliseconds on the controller's clock.
class LeaderElection {
 public:
  /// Receives changes of the role, within the step in which they happen. The election's state is
  /// updated before each call, so the accessors may be used.
  class Listener {
   public:
    Listener() = default;
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    /// A campaign has begun under a new term. Continuations of the previous term do nothing from
    /// now on.
    virtual void campaign_started() = 0;
    /// The election is won. The role is `Loading` until `checkpoint_loaded` is called.
    virtual void elected() = 0;
    /// `led`: the role was `Leader` before. Otherwise a campaign failed, or the checkpoint was not
    /// read.
    virtual void stepped_down(StepDownCause cause, bool led) = 0;
    /// The lease had expired on the controller's clock, but the store has renewed it.
    virtual void lease_regained() = 0;

   protected:
    ~Listener() = default;
  };

  /// Options of `resign`.
  struct Resignation {
    /// Whether this controller doesn't campaign for the length of a worker's lease, so that a peer
    /// is elected.
    bool back_off = true;
    /// Whether `lease_expiry` moves to the present moment. Otherwise it stays as it is.
    bool expire_now = true;
  };

  /// Keeps references to all arguments, which must outlive the election. `clock` holds the time of
  /// the current step. `random` is shared with the controller, because the replay of a simulated
  /// day depends on the order of all draws.
  LeaderElection(const Settings& settings, const Options& options, const Clock& clock,
                 Outbox& outbox, const PeerTable& peers, pcg32& random, Listener& listener);

  [[nodiscard]] Role role() const { return role_; }
  [[nodiscard]] bool is_leader() const { return role_ == Role::Leader; }
  /// Whether this controller may issue commands at `now`.
  [[nodiscard]] bool holds_valid_lease(Time now) const {
    return is_leader() && now < lease_expiry_;
  }
  /// The controller's own epoch while it leads, otherwise the highest epoch that it has observed.
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
  /// The version of the epoch's key. Every write of a leader is conditional on it.
  [[nodiscard]] std::uint64_t epoch_version() const { return epoch_version_; }
  /// Incremented by each campaign and each step-down. A continuation must do nothing if the term
  /// differs from the one in which it was created.
  [[nodiscard]] std::uint64_t term() const { return term_; }
  [[nodiscard]] Time elected_at() const { return elected_at_; }
  /// From this time on, another controller may hold the lease. The lease is counted from before its
  /// request was sent, with a margin for clocks that run at different rates.
  [[nodiscard]] Time lease_expiry() const { return lease_expiry_; }

  /// Renews the lease, campaigns, or reads the leader's key, whichever is due.
  void tick();
  /// Changes the role from `Loading` to `Leader`. Called when the checkpoint has been read.
  void checkpoint_loaded() { role_ = Role::Leader; }
  /// Becomes a follower. The lease is not revoked and expires in the store.
  void step_down(StepDownCause cause);
  /// Revokes the lease, so that another controller can be elected at once, and steps down.
  void resign(StepDownCause cause, Resignation options);
  void resign(StepDownCause cause) { resign(cause, Resignation{}); }
  /// Processes an epoch that a peer has reported. `leading`: the peer reports that it leads under
  /// this epoch. If it does and the epoch is higher than this leader's, this leader steps down.
  void observe_peer_epoch(std::uint64_t epoch, bool leading);

 private:
  [[nodiscard]] Time worker_lease() const { return ms(settings_.workers.lease_s); }
  [[nodiscard]] Time min_lease_length() const {
    return ms(settings_.workers.lease_s * options_.leader_lease_ratio);
  }
  void watch_leader();
  void update_leader(const KvItem* item);
  void campaign();
  void claim(std::uint64_t lease_id, Time requested_at);
  void renew();
  void revoke(std::uint64_t lease_id);
  void set_epoch(std::uint64_t epoch);

  const Settings& settings_;
  const Options& options_;
  const Clock& clock_;
  Outbox& outbox_;
  const PeerTable& peers_;
  pcg32& random_;
  Listener& listener_;

  Role role_ = Role::Follower;
  std::uint64_t term_ = 0;
  std::uint64_t epoch_ = 0;
  std::uint64_t epoch_version_ = 0;
  std::uint64_t nonce_;  // distinguishes this controller's claims of the same epoch
  std::uint64_t lease_id_ = 0;
  Time lease_length_ = 0;  // of the lease that is held or requested
  ElectionHistory election_history_;
  Time lease_expiry_ = 0, elected_at_ = 0;
  Time next_renewal_at_ = 0;
  bool watch_in_flight_ = false;
  Time next_watch_at_ = 0;
  Time campaign_at_ = kNever;        // kNever: a leader is known, or the key hasn't been read yet
  Time election_backoff_until_ = 0;  // after a resignation
  std::string leader_name_;
};

}  // namespace sailreel
