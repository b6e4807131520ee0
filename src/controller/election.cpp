// Who leads: a lease in the state service, numbered by epoch.
#include "controller/controller.hpp"

namespace sailreel {
namespace {
/// The leader's lease is renewed this often within its length, so that one lost answer or one slow
/// one doesn't end it.
constexpr Time kRenewalsPerLease = 4;
constexpr Time kWatchMs = 10'000;
constexpr double kClaimWrites = 2;
/// A leader's lease is at most this share of a worker's: so long may nobody lead after its end.
constexpr Time kLongestLeaseShare = 2;
}  // namespace

void Controller::election_tick() {
  const Time now = clock_.now;
  if (now >= next_heartbeat_) send_heartbeats();
  if (role_ == Role::Leader || role_ == Role::Loading) {
    if (holds_valid_lease(now)) last_path_ = now;
    if (role_ == Role::Leader && next_attempt_ > options_.attempts_per_epoch)
      return resign(StepDownCause::AttemptNumbersUsedUp);
    if (now >= next_renew_) renew();
    return;
  }
  if (peers_.leader(now)) last_path_ = now;
  if (role_ == Role::Follower && now >= campaign_at_) {
    campaign();
    return;
  }
  if (!watching_ && now >= watch_retry_) watch_leader();
}

// Reads who leads, then waits for a change of that.
void Controller::watch_leader() {
  watching_ = true;
  KvRequest get;
  get.kind = KvRequest::Kind::List;
  get.key = kLeaderKey;
  get.limit = 1;
  const std::uint64_t term = term_;
  outbox_.call_kv_store(
      get,
      [this, term](const KvResponse& r) {
        if (term != term_) return;
        watching_ = false;
        // A node that the state service refuses gets 503 at once: don't ask in a storm.
        watch_retry_ = clock_.now + worker_lease() / 40;
        if (r.status != 200) return;
        learn_leader(r.items.empty() ? nullptr : &r.items.front());
        if (campaign_at_ != kNever) return;
        KvRequest watch;
        watch.kind = KvRequest::Kind::Watch;
        watch.key = kLeaderKey;
        watch.revision = r.revision;
        watch.wait_ms = kWatchMs;
        watching_ = true;
        outbox_.call_kv_store(
            watch,
            [this, term](const KvResponse& w) {
              if (term != term_) return;
              watching_ = false;
              watch_retry_ = clock_.now + (w.status == 200 ? 0 : worker_lease() / 40);
              if (w.status == 200 && !w.items.empty()) {
                learn_leader(w.items.back().deleted ? nullptr : &w.items.back());
                if (campaign_at_ == clock_.now) campaign();
              }
            },
            KvUrgency::Urgent);
      },
      KvUrgency::Urgent);
}

void Controller::learn_leader(const KvItem* item) {
  if (item == nullptr) {
    leader_name_.clear();
    if (campaign_at_ == kNever) {
      // Standbys try one after the other: by the order of their names, and a little chance.
      Time rank = 0;
      for (const PeerSettings& s : settings_.peers)
        if (s.name < settings_.name) ++rank;
      campaign_at_ = std::max(clock_.now + rank * 40 + static_cast<Time>(random_(30)),
                              election_backoff_until_);
    }
    return;
  }
  campaign_at_ = kNever;
  if (const auto l = decode_leader(item->value)) {
    leader_name_ = l->node;
    set_epoch(std::max(epoch_, l->epoch));
    election_history_.note(epoch_, clock_.now);
  }
}

void Controller::campaign() {
  campaign_at_ = kNever;
  role_ = Role::Candidate;
  const std::uint64_t term = ++term_;
  watching_ = false;
  nonce_ += 1 + random_();
  // Answers to what was asked under the former term are dropped, so its look-ups start again.
  refreshing_ = false;
  lookups_.insert(lookups_.end(), lookups_served_.begin(), lookups_served_.end());
  lookups_served_.clear();
  KvRequest grant;
  grant.kind = KvRequest::Kind::Grant;
  const Time granted = clock_.now;
  election_history_.note(epoch_, granted);
  lease_length_ = election_history_.lease_length(shortest_lease(),
                                                 worker_lease() / kLongestLeaseShare, granted);
  grant.ttl_ms = lease_length_;
  outbox_.call_kv_store(
      grant,
      [this, term, granted](const KvResponse& r) {
        if (term != term_) return;
        if (r.status != 200) return step_down(StepDownCause::NoLeaseGranted);
        const std::uint64_t lease = r.lease;
        KvRequest get;
        get.kind = KvRequest::Kind::List;
        get.key = kEpochKey;
        get.limit = 1;
        outbox_.call_kv_store(
            get,
            [this, term, lease, granted](const KvResponse& e) {
              if (term != term_) return;
              if (e.status != 200) return step_down(StepDownCause::EpochUnreadable);
              Snapshot image;
              for (const KvItem& item : e.items) image.apply(item);
              set_epoch(std::max(epoch_, image.epoch));
              epoch_version_ = image.epoch_version;
              claim(lease, granted);
            },
            KvUrgency::Urgent);
      },
      KvUrgency::Urgent);
}

// One transaction takes the lease's key and raises the epoch.
void Controller::claim(std::uint64_t lease, Time granted) {
  const std::uint64_t term = term_;
  const std::uint64_t epoch = epoch_ + 1;
  const std::string value = encode_leader({settings_.name, epoch, nonce_});
  KvRequest txn;
  txn.kind = KvRequest::Kind::Txn;
  txn.conditions = {{kLeaderKey, 0}, {kEpochKey, epoch_version_}};
  txn.puts = {{kLeaderKey, value, lease}, {kEpochKey, value, 0}};
  outbox_.write_budget().spend(kClaimWrites, clock_.now);
  outbox_.call_kv_store(
      txn,
      [this, term, lease, granted, epoch](const KvResponse& r) {
        if (term != term_) return;
        if (r.status != 200) {
          // Without an answer it may still be carried out, even late. Giving the lease back first
          // makes it fail whenever it arrives.
          revoke(lease);
          return step_down(r.status == 409 ? StepDownCause::LostElection
                                           : StepDownCause::ClaimNotAnswered);
        }
        set_epoch(epoch);
        epoch_version_ = r.revision;
        // The others' claims fail, but count against the limit all the same.
        outbox_.write_budget().spend(kClaimWrites * static_cast<double>(peers_.size()), clock_.now);
        lease_ = lease;
        lease_expiry_ = granted + lease_length_ - lease_length_ / 500 - 20;
        next_renew_ = granted + lease_length_ / kRenewalsPerLease;
        role_ = Role::Loading;
        elected_at_ = clock_.now;
        leader_name_ = settings_.name;
        outbox_.log(Log::Level::Info, LogEvent::Elected, {{"lease_ms", lease_length_}});
        snapshot_ = Snapshot{};
        snapshot_loaded_ = false;
        loading_ = Snapshot{};
        load("", 0);
      },
      KvUrgency::Urgent);
}

// Reads the whole checkpoint. Nobody else can change it any more: the epoch is ours.
void Controller::load(const std::string& from, std::uint64_t revision) {
  const std::uint64_t term = term_;
  KvRequest list;
  list.kind = KvRequest::Kind::List;
  list.key = kPrefix;
  list.from = from;
  outbox_.call_kv_store(
      list,
      [this, term, from, revision](const KvResponse& r) {
        if (term != term_) return;
        if (r.status != 200) {
          if (clock_.now >= lease_expiry_) return step_down(StepDownCause::CheckpointTimeout);
          return load(from, revision);
        }
        for (const KvItem& item : r.items) loading_.apply(item);
        if (r.more && !r.items.empty()) return load(r.items.back().key, r.revision);
        begin_reconciliation();
      },
      KvUrgency::Urgent);
}

// A renewal doesn't wait for the answer to the one before: that may be lost, and is given up only
// after a tenth of a worker's lease.
void Controller::renew() {
  const std::uint64_t term = term_;
  const Time sent = clock_.now;
  const Time ttl = lease_length_;
  next_renew_ = sent + ttl / kRenewalsPerLease;
  KvRequest call;
  call.kind = KvRequest::Kind::Renew;
  call.lease = lease_;
  outbox_.call_kv_store(
      call,
      [this, term, sent, ttl](const KvResponse& r) {
        if (term != term_) return;
        if (r.status == 404) return step_down(StepDownCause::LeaseEnded);
        if (r.status != 200) {
          next_renew_ = std::max(next_renew_, clock_.now + ttl / (kRenewalsPerLease * 4));
          return;
        }
        // Reckoned from before the request left: that is when the service can have begun to count.
        const bool lapsed = clock_.now >= lease_expiry_;
        lease_expiry_ = std::max(lease_expiry_, sent + ttl - ttl / 500 - 20);
        if (lapsed && holds_valid_lease(clock_.now)) {
          // Renewed after all: the service hadn't ended it, so nobody else can have had it.
          outbox_.log(Log::Level::Info, LogEvent::LeaseRegained);
          scheduling_needed_ = true;
        }
      },
      KvUrgency::Urgent);
}

void Controller::step_down(StepDownCause cause) {
  outbox_.log(Log::Level::Info, LogEvent::SteppedDown, {{"role", role_}, {"cause", cause}});
  ++term_;
  const bool led = role_ == Role::Leader;
  role_ = Role::Follower;
  watching_ = false;
  campaign_at_ = kNever;
  watch_retry_ = clock_.now + 20 + static_cast<Time>(random_(60));
  leader_name_.clear();
  snapshot_ = Snapshot{};
  snapshot_loaded_ = refreshing_ = false;
  lookups_.insert(lookups_.end(), lookups_served_.begin(), lookups_served_.end());
  lookups_served_.clear();
  if (!led) return;
  // Workers that know of no other leader are kept alive for as long as if we still led.
  keep_alive_permit_.allow(epoch_, lease_expiry_ + keep_alive_span());
  checkpoint_.reset();
  for (const auto& [id, waits] : cancel_waits_)
    for (const CancelWait& w : waits) outbox_.reject(w.source, RejectReason::LeadershipLost);
  cancel_waits_.clear();
  scale_outs_.clear();
  termination_queue_.clear();
  no_capacity_until_.clear();
  unmet_demand_.clear();
  reservations_.clear();
  end_rankings();
  migrations_.clear();
  gangs_.clear();
  gangs_to_review_.clear();
  stops_due_.clear();
  zone_reached_.clear();
  zone_unreachable_at_.clear();
  outbox_.forget_leader_calls();
  terminating_ = listing_ = false;
  listed_up_to_.clear();
  reconciling_ = false;
  quotas_.stop();
  tables_.clear();
  send_heartbeats();
}

void Controller::set_epoch(std::uint64_t epoch) {
  epoch_ = epoch;
  outbox_.set_log_epoch(epoch);
}

void Controller::revoke(std::uint64_t lease) {
  KvRequest call;
  call.kind = KvRequest::Kind::Revoke;
  call.lease = lease;
  outbox_.call_kv_store(
      call, [](const KvResponse&) {}, KvUrgency::Urgent);
}

// Gives the lease back, so that another can take it at once, and leaves it to the others for a
// while.
void Controller::resign(StepDownCause cause) {
  revoke(lease_);
  election_backoff_until_ = clock_.now + worker_lease();
  // Another may lead from now on, and reckons from then with whom we keep alive.
  lease_expiry_ = std::min(lease_expiry_, clock_.now);
  step_down(cause);
}

void Controller::peer_heartbeat(std::size_t peer, const ControllerHeartbeat& heartbeat) {
  if (!peers_.take(peer, heartbeat, clock_.now)) return;
  if (heartbeat.leading && heartbeat.acknowledged_incarnation == incarnation_)
    keep_alive_permit_.allow(heartbeat.epoch,
                             heartbeat.acknowledged_clock + Time{heartbeat.keep_ms});
  if (role_ == Role::Leader && heartbeat.leading && heartbeat.epoch > epoch_)
    step_down(StepDownCause::HigherEpochAtPeer);
  else if (role_ == Role::Follower)
    set_epoch(std::max(epoch_, heartbeat.epoch));
  election_history_.note(epoch_, clock_.now);
}

void Controller::send_heartbeats() {
  const Time now = clock_.now;
  next_heartbeat_ = now + worker_lease() / 30;
  PeerMessage m;
  m.kind = PeerMessage::Kind::Heartbeat;
  ControllerHeartbeat& b = m.heartbeat;
  b.node = settings_.name;
  b.epoch = epoch_;
  b.leading = holds_valid_lease(now);
  b.hears_leader = peers_.leader(now).has_value();
  b.holding = role_ == Role::Leader && now < lease_expiry_ + keep_alive_span();
  b.hears_workers = now - last_worker_heartbeat_ < silent_after();
  b.understands_gangs = true;
  b.shares_limits = quotas_.shared();
  b.incarnation = incarnation_;
  b.clock = now;
  if (kept_alive_at_ >= 0)
    b.kept_alive_ms = static_cast<std::uint32_t>(std::min<Time>(now - kept_alive_at_, UINT32_MAX));
  for (std::size_t i = 0; i < settings_.peers.size(); ++i) {
    const PeerView& v = peers_[i];
    b.acknowledged_incarnation = v.incarnation;
    b.acknowledged_clock = v.clock;
    b.keep_ms = b.leading && v.incarnation != 0 ? static_cast<std::uint32_t>(keep_alive_span()) : 0;
    outbox_.send_to_peer(i, m);
  }
}

}  // namespace sailreel
