#include "controller/leader_election.hpp"

#include <algorithm>

#include "storage/checkpoint.hpp"

namespace sailreel {
namespace {
/// The leader's lease is renewed this often within its length, so that one lost or slow response
/// doesn't end it.
constexpr Time kRenewalsPerLease = 4;
/// How long one watch request waits for a change of the leader's key.
constexpr Time kWatchTimeoutMs = 10'000;
/// Write operations of one claim: the leader's key and the epoch's.
constexpr double kWritesPerClaim = 2;
/// A leader's lease is at most a worker's lease divided by this. The lease has to be short because
/// after a leader's failure no controller leads until it has expired.
constexpr Time kWorkerLeaseDivisor = 2;
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
    if (now >= next_renewal_at_) renew();
    return;
  }
  if (role_ == Role::Follower && now >= campaign_at_) {
    campaign();
    return;
  }
  if (!watch_in_flight_ && now >= next_watch_at_) watch_leader();
}

// Reads the leader's key, then watches it for a change.
void LeaderElection::watch_leader() {
  watch_in_flight_ = true;
  KvRequest list_request;
  list_request.kind = KvRequest::Kind::List;
  list_request.key = kLeaderKey;
  list_request.limit = 1;
  const std::uint64_t term = term_;
  outbox_.call_kv_store(
      list_request,
      [this, term](const KvResponse& list_response) {
        if (term != term_) return;
        watch_in_flight_ = false;
        // A controller whose requests the key-value store rejects gets 503 at once. Without a pause
        // it would send a request at every tick.
        next_watch_at_ = clock_.now + worker_lease() / 40;
        if (list_response.status != 200) return;
        update_leader(list_response.items.empty() ? nullptr : &list_response.items.front());
        if (campaign_at_ != kNever) return;
        KvRequest watch_request;
        watch_request.kind = KvRequest::Kind::Watch;
        watch_request.key = kLeaderKey;
        watch_request.revision = list_response.revision;
        watch_request.wait_ms = kWatchTimeoutMs;
        watch_in_flight_ = true;
        outbox_.call_kv_store(
            watch_request,
            [this, term](const KvResponse& watch_response) {
              if (term != term_) return;
              watch_in_flight_ = false;
              next_watch_at_ =
                  clock_.now + (watch_response.status == 200 ? 0 : worker_lease() / 40);
              if (watch_response.status == 200 && !watch_response.items.empty()) {
                update_leader(watch_response.items.back().deleted ? nullptr
                                                                  : &watch_response.items.back());
                if (campaign_at_ == clock_.now) campaign();
              }
            },
            KvUrgency::Urgent);
      },
      KvUrgency::Urgent);
}

void LeaderElection::update_leader(const KvItem* item) {
  if (item == nullptr) {
    leader_name_.clear();
    if (campaign_at_ == kNever) {
      // Followers campaign one after the other, in the order of their names and with jitter, so
      // that their claims rarely collide.
      Time rank = 0;
      for (const PeerSettings& peer : settings_.peers)
        if (peer.name < settings_.name) ++rank;
      campaign_at_ = std::max(clock_.now + rank * 40 + static_cast<Time>(random_(30)),
                              election_backoff_until_);
    }
    return;
  }
  campaign_at_ = kNever;
  if (const auto leader = decode_leader(item->value)) {
    leader_name_ = leader->node;
    set_epoch(std::max(epoch_, leader->epoch));
    election_history_.record_epoch(epoch_, clock_.now);
  }
}

void LeaderElection::campaign() {
  campaign_at_ = kNever;
  role_ = Role::Candidate;
  const std::uint64_t term = ++term_;
  watch_in_flight_ = false;
  nonce_ += 1 + random_();
  listener_.campaign_started();
  KvRequest grant_request;
  grant_request.kind = KvRequest::Kind::Grant;
  const Time requested_at = clock_.now;
  election_history_.record_epoch(epoch_, requested_at);
  lease_length_ = election_history_.lease_length(
      min_lease_length(), worker_lease() / kWorkerLeaseDivisor, requested_at);
  grant_request.ttl_ms = lease_length_;
  outbox_.call_kv_store(
      grant_request,
      [this, term, requested_at](const KvResponse& grant_response) {
        if (term != term_) return;
        if (grant_response.status != 200) return step_down(StepDownCause::NoLeaseGranted);
        const std::uint64_t lease_id = grant_response.lease;
        KvRequest epoch_request;
        epoch_request.kind = KvRequest::Kind::List;
        epoch_request.key = kEpochKey;
        epoch_request.limit = 1;
        outbox_.call_kv_store(
            epoch_request,
            [this, term, lease_id, requested_at](const KvResponse& epoch_response) {
              if (term != term_) return;
              if (epoch_response.status != 200) return step_down(StepDownCause::EpochUnreadable);
              Snapshot snapshot;
              for (const KvItem& item : epoch_response.items) snapshot.apply(item);
              set_epoch(std::max(epoch_, snapshot.epoch));
              epoch_version_ = snapshot.epoch_version;
              claim(lease_id, requested_at);
            },
            KvUrgency::Urgent);
      },
      KvUrgency::Urgent);
}

// Takes the leader's key and increments the epoch in one compare-and-swap.
void LeaderElection::claim(std::uint64_t lease_id, Time requested_at) {
  const std::uint64_t term = term_;
  const std::uint64_t epoch = epoch_ + 1;
  const std::string value = encode_leader({settings_.name, epoch, nonce_});
  KvRequest claim_request;
  claim_request.kind = KvRequest::Kind::Txn;
  claim_request.conditions = {{kLeaderKey, 0}, {kEpochKey, epoch_version_}};
  claim_request.puts = {{kLeaderKey, value, lease_id}, {kEpochKey, value, 0}};
  outbox_.write_budget().spend(kWritesPerClaim, clock_.now);
  outbox_.call_kv_store(
      claim_request,
      [this, term, lease_id, requested_at, epoch](const KvResponse& response) {
        if (term != term_) return;
        if (response.status != 200) {
          // Without a response, the store may still carry the claim out, even late. Revoking the
          // lease makes the claim fail whenever it arrives.
          revoke(lease_id);
          return step_down(response.status == 409 ? StepDownCause::LostElection
                                                  : StepDownCause::ClaimNotAnswered);
        }
        set_epoch(epoch);
        epoch_version_ = response.revision;
        // The other candidates' claims fail, but they count against the store's write limit too.
        outbox_.write_budget().spend(kWritesPerClaim * static_cast<double>(peers_.size()),
                                     clock_.now);
        lease_id_ = lease_id;
        lease_expiry_ = requested_at + lease_length_ - lease_length_ / 500 - 20;
        next_renewal_at_ = requested_at + lease_length_ / kRenewalsPerLease;
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
  const Time sent_at = clock_.now;
  const Time ttl = lease_length_;
  next_renewal_at_ = sent_at + ttl / kRenewalsPerLease;
  KvRequest request;
  request.kind = KvRequest::Kind::Renew;
  request.lease = lease_id_;
  outbox_.call_kv_store(
      request,
      [this, term, sent_at, ttl](const KvResponse& response) {
        if (term != term_) return;
        if (response.status == 404) return step_down(StepDownCause::LeaseEnded);
        if (response.status != 200) {
          next_renewal_at_ = std::max(next_renewal_at_, clock_.now + ttl / (kRenewalsPerLease * 4));
          return;
        }
        // The lease is counted from before the request was sent, the earliest time at which the
        // store can have restarted it.
        const bool lapsed = clock_.now >= lease_expiry_;
        lease_expiry_ = std::max(lease_expiry_, sent_at + ttl - ttl / 500 - 20);
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
  watch_in_flight_ = false;
  campaign_at_ = kNever;
  next_watch_at_ = clock_.now + 20 + static_cast<Time>(random_(60));
  leader_name_.clear();
  listener_.stepped_down(cause, led);
}

void LeaderElection::set_epoch(std::uint64_t epoch) {
  epoch_ = epoch;
  outbox_.set_log_epoch(epoch);
}

void LeaderElection::revoke(std::uint64_t lease_id) {
  KvRequest request;
  request.kind = KvRequest::Kind::Revoke;
  request.lease = lease_id;
  outbox_.call_kv_store(
      request, [](const KvResponse&) {}, KvUrgency::Urgent);
}

void LeaderElection::resign(StepDownCause cause, Resignation options) {
  revoke(lease_id_);
  if (options.back_off) election_backoff_until_ = clock_.now + worker_lease();
  // Another controller may lead from now on. The time for which this one keeps tasks alive without
  // a leader is counted from `lease_expiry_`.
  if (options.expire_now) lease_expiry_ = std::min(lease_expiry_, clock_.now);
  step_down(cause);
}

void LeaderElection::observe_peer_epoch(std::uint64_t epoch, bool leading) {
  if (role_ == Role::Leader && leading && epoch > epoch_)
    step_down(StepDownCause::HigherEpochAtPeer);
  else if (role_ == Role::Follower)
    set_epoch(std::max(epoch_, epoch));
  election_history_.record_epoch(epoch_, clock_.now);
}

}  // namespace sailreel
