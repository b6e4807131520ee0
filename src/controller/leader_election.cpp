#include "controller/leader_election.hpp"

#include <algorithm>

#include "storage/checkpoint.hpp"

namespace sailreel {
namespace {
/// The leader's lease is renewed this often within its length, so that one lost or slow response
/// doesn't end it.
constexpr Time kRenewalsPerLease = 4;
/// How long one watch request waits for a change of the leader's key.
constexpr Time kWatchMs = 10'000;
/// Write operations of one claim: the leader's key and the epoch's.
constexpr double kClaimWrites = 2;
/// A leader's lease is at most a worker's lease divided by this. The lease has to be short because
/// after a leader's failure no controller leads until it has expired.
constexpr Time kLongestLeaseShare = 2;
}  // namespace

LeaderElection::LeaderElection(const Settings& settings, const Options& options, const Clock& clock,
                               Outbox& outbox, const PeerTable& peers, pcg32& random,
                               Listener& listener)
    : settings_(settings),
      options_(options),
      clock_(clock),
      outbox_(outbox),
      peers_(peers),
      random_(random),
      listener_(listener),
      nonce_((std::uint64_t{random()} << 20) ^ random()),
      election_history_(worker_lease()) {}

void LeaderElection::tick() {
  const Time now = clock_.now;
  if (role_ == Role::Leader || role_ == Role::Loading) {
    if (now >= next_renewal_) renew();
    return;
  }
  if (role_ == Role::Follower && now >= campaign_at_) {
    campaign();
    return;
  }
  if (!watching_ && now >= watch_retry_) watch_leader();
}

// Reads the leader's key, then watches it for a change.
void LeaderElection::watch_leader() {
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
        // A controller whose requests the key-value store rejects gets 503 at once. Without a pause
        // it would send a request at every tick.
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

void LeaderElection::learn_leader(const KvItem* item) {
  if (item == nullptr) {
    leader_name_.clear();
    if (campaign_at_ == kNever) {
      // Followers campaign one after the other, in the order of their names and with jitter, so
      // that their claims rarely collide.
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

void LeaderElection::campaign() {
  campaign_at_ = kNever;
  role_ = Role::Candidate;
  const std::uint64_t term = ++term_;
  watching_ = false;
  nonce_ += 1 + random_();
  listener_.campaign_begun();
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

// Takes the leader's key and increments the epoch in one compare-and-swap.
void LeaderElection::claim(std::uint64_t lease, Time granted) {
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
          // Without a response, the store may still carry the claim out, even late. Revoking the
          // lease makes the claim fail whenever it arrives.
          revoke(lease);
          return step_down(r.status == 409 ? StepDownCause::LostElection
                                           : StepDownCause::ClaimNotAnswered);
        }
        set_epoch(epoch);
        epoch_version_ = r.revision;
        // The other candidates' claims fail, but they count against the store's write limit too.
        outbox_.write_budget().spend(kClaimWrites * static_cast<double>(peers_.size()), clock_.now);
        lease_id_ = lease;
        lease_expiry_ = granted + lease_length_ - lease_length_ / 500 - 20;
        next_renewal_ = granted + lease_length_ / kRenewalsPerLease;
        role_ = Role::Loading;
        elected_at_ = clock_.now;
        leader_name_ = settings_.name;
        outbox_.log(Log::Level::Info, LogEvent::Elected, {{"lease_ms", lease_length_}});
        listener_.elected();
      },
      KvUrgency::Urgent);
}

// A renewal doesn't wait for the response to the previous one, which may be lost and times out only
// after a tenth of a worker's lease.
void LeaderElection::renew() {
  const std::uint64_t term = term_;
  const Time sent = clock_.now;
  const Time ttl = lease_length_;
  next_renewal_ = sent + ttl / kRenewalsPerLease;
  KvRequest call;
  call.kind = KvRequest::Kind::Renew;
  call.lease = lease_id_;
  outbox_.call_kv_store(
      call,
      [this, term, sent, ttl](const KvResponse& r) {
        if (term != term_) return;
        if (r.status == 404) return step_down(StepDownCause::LeaseEnded);
        if (r.status != 200) {
          next_renewal_ = std::max(next_renewal_, clock_.now + ttl / (kRenewalsPerLease * 4));
          return;
        }
        // The lease is counted from before the request was sent, the earliest time at which the
        // store can have restarted it.
        const bool lapsed = clock_.now >= lease_expiry_;
        lease_expiry_ = std::max(lease_expiry_, sent + ttl - ttl / 500 - 20);
        if (lapsed && holds_valid_lease(clock_.now)) {
          // The renewal shows that the store had not ended the lease, so no other controller can
          // have held it.
          outbox_.log(Log::Level::Info, LogEvent::LeaseRegained);
          listener_.lease_regained();
        }
      },
      KvUrgency::Urgent);
}

void LeaderElection::step_down(StepDownCause cause) {
  outbox_.log(Log::Level::Info, LogEvent::SteppedDown, {{"role", role_}, {"cause", cause}});
  ++term_;
  const bool led = role_ == Role::Leader;
  role_ = Role::Follower;
  watching_ = false;
  campaign_at_ = kNever;
  watch_retry_ = clock_.now + 20 + static_cast<Time>(random_(60));
  leader_name_.clear();
  listener_.stepped_down(cause, led);
}

void LeaderElection::set_epoch(std::uint64_t epoch) {
  epoch_ = epoch;
  outbox_.set_log_epoch(epoch);
}

void LeaderElection::revoke(std::uint64_t lease) {
  KvRequest call;
  call.kind = KvRequest::Kind::Revoke;
  call.lease = lease;
  outbox_.call_kv_store(
      call, [](const KvResponse&) {}, KvUrgency::Urgent);
}

void LeaderElection::resign(StepDownCause cause, Resignation how) {
  revoke(lease_id_);
  if (how.back_off) election_backoff_until_ = clock_.now + worker_lease();
  // Another controller may lead from now on. The time for which this one keeps tasks alive without
  // a leader is counted from `lease_expiry_`.
  if (how.expire_now) lease_expiry_ = std::min(lease_expiry_, clock_.now);
  step_down(cause);
}

void LeaderElection::note_epoch(std::uint64_t epoch, bool leading) {
  if (role_ == Role::Leader && leading && epoch > epoch_)
    step_down(StepDownCause::HigherEpochAtPeer);
  else if (role_ == Role::Follower)
    set_epoch(std::max(epoch_, epoch));
  election_history_.note(epoch_, clock_.now);
}

}  // namespace sailreel
