// Which controller leads: a lease in the key-value store, and an epoch that rises with each leader.
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

/// One controller's part in the election: follows the leader's key, campaigns when that is gone,
/// renews the lease while leading. Owns the role, the epoch and the lease; what a leader does with
/// the leadership belongs to the listener. All times are milliseconds on the controller's clock.
class LeaderElection {
 public:
  /// Is told of changes of the role, within the step that brings them. The election's own state is
  /// up to date by then, so that the accessors may be used.
  class Listener {
   public:
    Listener() = default;
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    /// A campaign begins under a new term: continuations of the former term will not run.
    virtual void campaign_begun() = 0;
    /// The election is won. The role is `Loading` until `checkpoint_loaded` is called.
    virtual void elected() = 0;
    /// `led`: the role was `Leader` before; else a campaign failed or the checkpoint was not read.
    virtual void stepped_down(StepDownCause cause, bool led) = 0;
    /// A lease that had expired on our clock was renewed after all.
    virtual void lease_regained() = 0;

   protected:
    ~Listener() = default;
  };

  /// What a leader that gives its lease back does besides.
  struct Resignation {
    /// Doesn't campaign for the length of a worker's lease, so that a peer is elected.
    bool back_off = true;
    /// Counts the lease as over at once, and no longer as valid up to its expiry.
    bool expire_now = true;
  };

  /// Keeps references, which have to outlive it; the clock is the present step's. The generator is
  /// shared with the controller, as a day's replay depends on the order of all draws.
  LeaderElection(const Settings& settings, const Options& options, const Clock& clock,
                 Outbox& outbox, const PeerTable& peers, pcg32& random, Listener& listener);

  [[nodiscard]] Role role() const { return role_; }
  [[nodiscard]] bool is_leader() const { return role_ == Role::Leader; }
  /// Whether we may give commands at this moment.
  [[nodiscard]] bool holds_valid_lease(Time now) const {
    return is_leader() && now < lease_expiry_;
  }
  /// Ours while leading, else the highest that was heard of.
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
  /// The version of the epoch's key: a condition of everything that a leader writes.
  [[nodiscard]] std::uint64_t epoch_version() const { return epoch_version_; }
  /// Raised by each campaign and each step down. A continuation that finds another term than the
  /// one it was made under must do nothing.
  [[nodiscard]] std::uint64_t term() const { return term_; }
  [[nodiscard]] Time elected_at() const { return elected_at_; }
  /// From this moment on another controller may hold the lease. Counted from before the request for
  /// it left, with a margin for clocks that run at different rates.
  [[nodiscard]] Time lease_expiry() const { return lease_expiry_; }

  /// Renews, campaigns or asks who leads, whichever is due.
  void tick();
  /// The checkpoint has been read: from now on we lead.
  void checkpoint_loaded() { role_ = Role::Leader; }
  /// Becomes a follower. The lease is left to expire.
  void step_down(StepDownCause cause);
  /// Gives the lease back, so that it can be taken at once, and steps down.
  void resign(StepDownCause cause, Resignation how);
  void resign(StepDownCause cause) { resign(cause, Resignation{}); }
  /// A peer has named an epoch; `leading`: it says that it leads under it. A higher one than ours
  /// ends our leadership then.
  void note_epoch(std::uint64_t epoch, bool leading);

 private:
  [[nodiscard]] Time worker_lease() const { return ms(settings_.workers.lease_s); }
  [[nodiscard]] Time shortest_lease() const {
    return ms(settings_.workers.lease_s * options_.leader_lease_ratio);
  }
  void watch_leader();
  void learn_leader(const KvItem* item);
  void campaign();
  void claim(std::uint64_t lease, Time granted);
  void renew();
  void revoke(std::uint64_t lease);
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
  std::uint64_t nonce_;  // tells our claims of the same epoch apart
  std::uint64_t lease_id_ = 0;
  Time lease_length_ = 0;  // of the lease that we have, or ask for
  ElectionHistory election_history_;
  Time lease_expiry_ = 0, elected_at_ = 0;
  Time next_renewal_ = 0;
  bool watching_ = false;
  Time watch_retry_ = 0;
  Time campaign_at_ = kNever;        // never: a leader is known, or nothing is yet
  Time election_backoff_until_ = 0;  // after a resignation
  std::string leader_name_;
};

}  // namespace sailreel
