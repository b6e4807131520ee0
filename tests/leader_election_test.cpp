// Tests the election without a controller; the tests provide each response of the key-value store.
#include "controller/leader_election.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <utility>
#include <variant>
#include <vector>

#include "sim/simulated_region.hpp"
#include "storage/checkpoint.hpp"

namespace sailreel {
namespace {

constexpr std::uint64_t kLeaseId = 77, kEpochVersion = 40, kClaimRevision = 41;

Settings settings_without_peers() {
  Settings settings = sim::sample_settings(0);
  settings.peers.clear();
  return settings;
}

class Election : public testing::Test, protected LeaderElection::Listener {
 protected:
  void campaign_started() override { ++campaigns_; }
  void elected() override { ++elections_; }
  void stepped_down(StepDownCause cause, bool led) override {
    step_downs_.emplace_back(cause, led);
  }
  void lease_regained() override { ++regained_; }

  /// Advances the clock by `elapsed` milliseconds and ticks.
  void tick_after(Time elapsed) {
    clock_.now += elapsed;
    election_.tick();
    collect();
  }

  /// Advances the clock by `after` milliseconds, then answers the oldest open call. Returns the
  /// request of this call.
  KvRequest answer(KvResponse response, Time after = 0) {
    if (calls_.empty()) {
      ADD_FAILURE() << "no call is open";
      return {};
    }
    const CallKvStore call = std::move(calls_.front());
    calls_.pop_front();
    clock_.now += after;
    outbox_.handle(KvResponseReceived{call.call, std::move(response)});
    collect();
    return call.request;
  }

  static KvResponse ok() {
    KvResponse response;
    response.status = 200;
    response.revision = kClaimRevision;
    return response;
  }
  static KvResponse failed(int status) {
    KvResponse response;
    response.status = status;
    return response;
  }
  static KvResponse granted() {
    KvResponse response = ok();
    response.lease = kLeaseId;
    return response;
  }
  static KvResponse former_leader_epoch(std::uint64_t epoch) {
    KvResponse response = ok();
    response.items = {{kEpochKey, encode_leader({"other", epoch, 1}), kEpochVersion, false}};
    return response;
  }

  /// Campaigns up to the claim, which is then the only open call. Sets `requested_at_` to the time
  /// at which the lease was requested.
  void campaign() {
    tick_after(1'000);
    EXPECT_EQ(answer(ok()).key, kLeaderKey);  // there is no leader
    tick_after(30);                           // the maximum jitter
    ASSERT_EQ(election_.role(), Role::Candidate);
    requested_at_ = clock_.now;
    const KvRequest grant = answer(granted(), 15);
    EXPECT_EQ(grant.kind, KvRequest::Kind::Grant);
    lease_length_ = grant.ttl_ms;
    EXPECT_EQ(answer(former_leader_epoch(6), 15).key, kEpochKey);
    ASSERT_EQ(calls_.size(), 1U);
  }

  /// Wins the election and loads the checkpoint.
  void become_leader() {
    campaign();
    answer(ok(), 15);
    ASSERT_EQ(election_.role(), Role::Loading);
    election_.checkpoint_loaded();
    ASSERT_TRUE(election_.is_leader());
  }

  /// When a lease that was requested at `requested_at` expires, with the margin for clocks that run
  /// at different rates.
  [[nodiscard]] Time expiry_of(Time requested_at) const {
    return requested_at + lease_length_ - lease_length_ / 500 - 20;
  }

  const Settings settings_ = settings_without_peers();
  const Options options_{};
  Clock clock_{10'000, 0};
  Outbox outbox_{settings_, options_, clock_};
  PeerTable peers_{0, 1, ms(settings_.workers.lease_s), 2 * ms(settings_.workers.lease_s)};
  pcg32 random_{1};
  LeaderElection election_{settings_, options_, clock_, outbox_, peers_, random_, *this};

  std::deque<CallKvStore> calls_;
  std::vector<std::pair<StepDownCause, bool>>
      step_downs_;  // the cause, and whether the role was Leader
  int campaigns_ = 0, elections_ = 0, regained_ = 0;
  Time requested_at_ = 0, lease_length_ = 0;

 private:
  void collect() {
    for (Action& action : outbox_.take_actions())
      if (auto* call = std::get_if<CallKvStore>(&action)) calls_.push_back(std::move(*call));
  }
};

using StepDowns = std::vector<std::pair<StepDownCause, bool>>;

TEST_F(Election, ClaimsTheLeadershipByCompareAndSwap) {
  campaign();
  EXPECT_EQ(campaigns_, 1);
  EXPECT_EQ(elections_, 0);
  const KvRequest claim = answer(ok());
  EXPECT_EQ(claim.kind, KvRequest::Kind::Txn);
  // The conditions: the leader's key doesn't exist, and the epoch hasn't changed since it was read.
  ASSERT_EQ(claim.conditions.size(), 2U);
  EXPECT_EQ(claim.conditions[0].key, kLeaderKey);
  EXPECT_EQ(claim.conditions[0].version, 0U);
  EXPECT_EQ(claim.conditions[1].key, kEpochKey);
  EXPECT_EQ(claim.conditions[1].version, kEpochVersion);
  // The leader's key is bound to the lease; the epoch's key isn't.
  ASSERT_EQ(claim.puts.size(), 2U);
  EXPECT_EQ(claim.puts[0].key, kLeaderKey);
  EXPECT_EQ(claim.puts[0].lease, kLeaseId);
  EXPECT_EQ(claim.puts[1].key, kEpochKey);
  EXPECT_EQ(claim.puts[1].lease, 0U);
  const auto record = decode_leader(claim.puts[1].value);
  ASSERT_TRUE(record.has_value());
  EXPECT_EQ(record->epoch, 7U);
  EXPECT_EQ(record->node, settings_.name);

  EXPECT_EQ(elections_, 1);
  EXPECT_EQ(election_.epoch(), 7U);
  EXPECT_EQ(election_.epoch_version(), kClaimRevision);
  EXPECT_EQ(election_.elected_at(), clock_.now);
  // The leader may not give commands before the checkpoint has been read.
  EXPECT_EQ(election_.role(), Role::Loading);
  EXPECT_FALSE(election_.holds_valid_lease(clock_.now));
  election_.checkpoint_loaded();
  EXPECT_TRUE(election_.holds_valid_lease(clock_.now));
}

TEST_F(Election, ALostClaimStepsDownAndRevokesTheLease) {
  campaign();
  const std::uint64_t term = election_.term();
  answer(failed(409));
  EXPECT_EQ(step_downs_, (StepDowns{{StepDownCause::LostElection, false}}));
  EXPECT_EQ(election_.role(), Role::Follower);
  EXPECT_GT(election_.term(), term);
  EXPECT_EQ(election_.epoch(), 6U);
  EXPECT_EQ(elections_, 0);
  const KvRequest revoke = answer(ok());
  EXPECT_EQ(revoke.kind, KvRequest::Kind::Revoke);
  EXPECT_EQ(revoke.lease, kLeaseId);
}

TEST_F(Election, AClaimWithoutAResponseStepsDownWithItsOwnCause) {
  campaign();
  answer(failed(0));
  EXPECT_EQ(step_downs_, (StepDowns{{StepDownCause::ClaimNotAnswered, false}}));
  EXPECT_EQ(answer(ok()).kind, KvRequest::Kind::Revoke);
}

TEST_F(Election, ALeaseIsCountedFromBeforeTheRequestLeft) {
  become_leader();
  ASSERT_EQ(clock_.now, requested_at_ + 45);
  EXPECT_EQ(election_.lease_expiry(), expiry_of(requested_at_));
  EXPECT_TRUE(election_.holds_valid_lease(election_.lease_expiry() - 1));
  EXPECT_FALSE(election_.holds_valid_lease(election_.lease_expiry()));

  tick_after(lease_length_ / 4);
  const Time sent_at = clock_.now;
  const KvRequest renewal = answer(ok(), 60);
  EXPECT_EQ(renewal.kind, KvRequest::Kind::Renew);
  EXPECT_EQ(renewal.lease, kLeaseId);
  EXPECT_EQ(election_.lease_expiry(), expiry_of(sent_at));
  EXPECT_EQ(regained_, 0);
}

// The response to a renewal arrives after the lease has expired on the controller's clock, but
// before the renewed lease has.
TEST_F(Election, ALateRenewalRegainsTheLease) {
  become_leader();
  clock_.now = election_.lease_expiry() - 1;
  tick_after(0);
  const Time sent_at = clock_.now;
  ASSERT_EQ(calls_.size(), 1U);
  clock_.now += 1;
  EXPECT_FALSE(election_.holds_valid_lease(clock_.now));
  answer(ok());
  EXPECT_EQ(regained_, 1);
  EXPECT_TRUE(election_.holds_valid_lease(clock_.now));
  EXPECT_EQ(election_.lease_expiry(), expiry_of(sent_at));
}

TEST_F(Election, ALeaseThatTheStoreHasEndedEndsTheLeadership) {
  become_leader();
  tick_after(lease_length_ / 4);
  answer(failed(404));
  EXPECT_EQ(step_downs_, (StepDowns{{StepDownCause::LeaseEnded, true}}));
}

TEST_F(Election, AResignationRevokesTheLeaseAndBacksOff) {
  become_leader();
  const Time resigned = clock_.now, worker_lease = ms(settings_.workers.lease_s);
  election_.resign(StepDownCause::NoWorkerReachable);
  EXPECT_EQ(step_downs_, (StepDowns{{StepDownCause::NoWorkerReachable, true}}));
  EXPECT_EQ(election_.lease_expiry(), resigned);
  tick_after(0);
  EXPECT_EQ(answer(ok()).kind, KvRequest::Kind::Revoke);
  // Although there is no leader, the controller doesn't campaign for the length of a worker's
  // lease.
  tick_after(100);
  EXPECT_EQ(answer(ok()).key, kLeaderKey);
  clock_.now = resigned + worker_lease - 1;
  tick_after(0);
  EXPECT_EQ(election_.role(), Role::Follower);
  tick_after(1);
  EXPECT_EQ(election_.role(), Role::Candidate);
}

TEST_F(Election, AResignationMayDoWithoutBackingOff) {
  become_leader();
  election_.resign(StepDownCause::CommitRejected, {.back_off = false});
  EXPECT_EQ(election_.lease_expiry(), clock_.now);
  tick_after(100);
  EXPECT_EQ(answer(ok()).kind, KvRequest::Kind::Revoke);
  EXPECT_EQ(answer(ok()).key, kLeaderKey);
  tick_after(30);
  EXPECT_EQ(election_.role(), Role::Candidate);
}

TEST_F(Election, AResignationMayKeepTheExpiry) {
  become_leader();
  const Time expiry = election_.lease_expiry();
  ASSERT_GT(expiry, clock_.now);
  election_.resign(StepDownCause::ManifestUnreadable, {.expire_now = false});
  EXPECT_EQ(election_.lease_expiry(), expiry);
  EXPECT_FALSE(election_.holds_valid_lease(clock_.now));
}

TEST_F(Election, AHigherEpochOfALeaderEndsTheLeadership) {
  become_leader();
  // The peer isn't the leader of epoch 9, so the lease remains valid.
  election_.observe_peer_epoch(9, false);
  election_.observe_peer_epoch(7, true);
  EXPECT_TRUE(election_.is_leader());
  EXPECT_EQ(election_.epoch(), 7U);
  election_.observe_peer_epoch(8, true);
  EXPECT_EQ(step_downs_, (StepDowns{{StepDownCause::HigherEpochAtPeer, true}}));
  election_.observe_peer_epoch(8, true);
  EXPECT_EQ(election_.epoch(), 8U);
}

// The responses to two renewals arrive after the controller has stepped down, and belong to a
// former term.
TEST_F(Election, AResponseOfAFormerTermChangesNothing) {
  become_leader();
  tick_after(lease_length_ / 4);
  tick_after(lease_length_ / 4);
  ASSERT_EQ(calls_.size(), 2U);
  const Time expiry = election_.lease_expiry();
  election_.step_down(StepDownCause::CheckpointOverwritten);
  answer(ok());
  EXPECT_EQ(election_.lease_expiry(), expiry);
  answer(failed(404));
  EXPECT_EQ(step_downs_, (StepDowns{{StepDownCause::CheckpointOverwritten, true}}));
}

}  // namespace
}  // namespace sailreel
