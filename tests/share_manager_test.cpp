// Tests the share manager without a controller: its actions for each input.
#include "federation/share_manager.hpp"

#include <gtest/gtest.h>

namespace sailreel::federation {
namespace {

constexpr Time kHeartbeatMs = 1'000;
const std::string kTeam = "red";

FederationOptions federation_options(const std::string& region) {
  FederationOptions out;
  out.region = region;
  out.regions = {{"north", {"10.0.0.1:1"}}, {"south", {"10.0.0.2:1"}}};
  out.shares = {{kTeam, "south", 0, 4}};
  out.reserve_ratio = 0;
  return out;
}

/// The share manager of one region. A team has a limit of 10 GPUs, of which south starts with 4.
class Region {
 public:
  explicit Region(const std::string& name)
      : manager_(federation_options(name), {{kTeam, 0, 0, 0, 10}}, kHeartbeatMs) {
    manager_.load({}, 1, now_);
    manager_.activate();
    commit();
  }

  std::vector<ShareAction> observe_load(std::int64_t used_gpus, std::int64_t urgent_waiting = 0,
                                        std::int64_t low_running = 0) {
    now_ += kHeartbeatMs / 10;
    TeamLoad load;
    load.team = kTeam;
    load.used = {0, used_gpus * 1000};
    load.waiting[static_cast<std::size_t>(Priority::High)] = {0, urgent_waiting * 1000};
    load.running[static_cast<std::size_t>(Priority::Low)] = {0, low_running * 1000};
    return manager_.step(now_, LoadObserved{{load}, true});
  }
  std::vector<ShareAction> deliver(const RegionMessage& message) {
    return manager_.step(now_, MessageArrived{message});
  }
  std::vector<ShareAction> commit() {
    for (const ShareWrite& write : manager_.writes(4)) stored_[write.key] = write.value;
    return manager_.step(now_, CheckpointCommitted{});
  }
  /// Simulates a failover within the region: the next leader starts from what was committed.
  void fail_over() { manager_.load(stored_, ++epoch_, now_); }
  void advance_time(Time span) { now_ += span; }

  ShareManager& manager() { return manager_; }
  [[nodiscard]] double cap() const { return manager_.cap(kTeam).gpus.value(); }

 private:
  Time now_ = 10'000;
  std::uint64_t epoch_ = 1;
  std::map<std::string, std::string> stored_;
  ShareManager manager_;
};

RegionMessage message_from(const std::string& region, RegionMessage::Kind kind,
                           std::uint64_t sequence) {
  RegionMessage message;
  message.kind = kind;
  message.from = region;
  message.epoch = 1;
  message.sequence = sequence;
  return message;
}

RegionMessage demand(std::int64_t gpus, std::int64_t urgent, std::uint64_t credited,
                     std::uint64_t sequence) {
  RegionMessage message = message_from("south", RegionMessage::Kind::Demand, sequence);
  message.demand = {credited, {{kTeam, {0, gpus * 1000}, {0, urgent * 1000}}}};
  return message;
}

RegionMessage transfer(std::uint64_t number, std::int64_t gpus) {
  RegionMessage message = message_from("north", RegionMessage::Kind::Transfer, number);
  message.transfer = {number, {{kTeam, {0, gpus * 1000}}}};
  return message;
}

std::vector<RegionMessage> sent(const std::vector<ShareAction>& actions, RegionMessage::Kind kind) {
  std::vector<RegionMessage> out;
  for (const ShareAction& action : actions)
    if (const auto* send = std::get_if<SendToRegion>(&action))
      if (send->message.kind == kind) out.push_back(send->message);
  return out;
}

TEST(ShareManager, ARegionStartsWithItsShareFromTheOptions) {
  EXPECT_EQ(Region("north").cap(), 6);
  EXPECT_EQ(Region("south").cap(), 4);
}

// Guards against giving away share that is in use: demands were served according to the last
// observed load, which is up to a tenth of a heartbeat interval old, while more may be in use by
// now.
TEST(ShareManager, ADemandIsServedOnlyAtTheNextLoadObservation) {
  Region north("north");
  north.observe_load(0);
  north.deliver(demand(4, 0, 0, 1));
  EXPECT_FALSE(north.manager().wants_commit());
  north.observe_load(6);
  EXPECT_FALSE(north.manager().wants_commit());
  north.observe_load(3);
  EXPECT_TRUE(north.manager().wants_commit());
  EXPECT_EQ(north.cap(), 3);
}

TEST(ShareManager, TheCapFallsBeforeADebitIsCommittedAndTheTransferIsSentAfter) {
  Region north("north");
  north.deliver(demand(2, 0, 0, 1));
  const auto before = north.observe_load(0);
  EXPECT_EQ(north.cap(), 4);
  EXPECT_TRUE(sent(before, RegionMessage::Kind::Transfer).empty());
  const auto after = sent(north.commit(), RegionMessage::Kind::Transfer);
  ASSERT_EQ(after.size(), 1U);
  EXPECT_EQ(after[0].transfer.number, 1U);
  EXPECT_EQ(north.cap(), 4);
}

TEST(ShareManager, ATransferIsSentAgainAlsoByTheNextLeaderUntilItIsAcknowledged) {
  Region north("north");
  north.deliver(demand(2, 0, 0, 1));
  north.observe_load(0);
  north.commit();
  north.advance_time(kHeartbeatMs);
  EXPECT_EQ(sent(north.observe_load(0), RegionMessage::Kind::Transfer).size(), 1U);
  north.fail_over();
  EXPECT_EQ(north.cap(), 4);
  EXPECT_EQ(sent(north.observe_load(0), RegionMessage::Kind::Transfer).size(), 1U);
  RegionMessage acknowledgement = message_from("south", RegionMessage::Kind::Acknowledgement, 9);
  acknowledgement.acknowledgement.number = 7;
  north.deliver(acknowledgement);
  north.advance_time(kHeartbeatMs);
  EXPECT_EQ(sent(north.observe_load(0), RegionMessage::Kind::Transfer).size(), 1U);
  acknowledgement.acknowledgement.number = 1;
  north.deliver(acknowledgement);
  north.advance_time(kHeartbeatMs);
  EXPECT_TRUE(sent(north.observe_load(0), RegionMessage::Kind::Transfer).empty());
}

TEST(ShareManager, ACreditCountsOnceItIsCommittedAndOnlyOnce) {
  Region south("south");
  EXPECT_TRUE(south.deliver(transfer(1, 3)).empty());
  EXPECT_TRUE(south.deliver(transfer(1, 3)).empty());
  EXPECT_EQ(south.cap(), 4);
  EXPECT_EQ(sent(south.commit(), RegionMessage::Kind::Acknowledgement).size(), 1U);
  EXPECT_EQ(south.cap(), 7);
  EXPECT_EQ(sent(south.deliver(transfer(1, 3)), RegionMessage::Kind::Acknowledgement).size(), 1U);
  EXPECT_FALSE(south.manager().wants_commit());
  south.fail_over();
  EXPECT_EQ(sent(south.deliver(transfer(1, 3)), RegionMessage::Kind::Acknowledgement).size(), 1U);
  EXPECT_EQ(south.cap(), 7);
}

TEST(ShareManager, AGapInTheTransferNumbersIsAnErrorAndCreditsNothing) {
  Region south("south");
  const auto actions = south.deliver(transfer(2, 3));
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_TRUE(std::get<ShareEvent>(actions[0]).is_error);
  EXPECT_FALSE(south.manager().wants_commit());
}

TEST(ShareManager, ADemandThatCrossedATransferOrIsOldIsNotServed) {
  Region north("north");
  north.deliver(demand(2, 0, 0, 5));
  north.observe_load(0);
  north.commit();
  RegionMessage acknowledgement = message_from("south", RegionMessage::Kind::Acknowledgement, 6);
  acknowledgement.acknowledgement.number = 1;
  north.deliver(acknowledgement);
  north.deliver(demand(2, 0, 0, 7));  // sent before the transfer was credited
  north.observe_load(0);
  EXPECT_FALSE(north.manager().wants_commit());
  north.deliver(demand(2, 0, 1, 4));  // older than one that was served
  north.observe_load(0);
  EXPECT_FALSE(north.manager().wants_commit());
  north.deliver(demand(2, 0, 1, 8));
  north.observe_load(0);
  EXPECT_TRUE(north.manager().wants_commit());
}

TEST(ShareManager, ShareOfPreemptedTasksIsGivenOnceTheyHaveExited) {
  Region north("north");
  north.deliver(demand(2, 2, 0, 1));
  const auto actions = north.observe_load(6, 0, 6);
  const auto preemptions = std::count_if(
      actions.begin(), actions.end(),
      [](const ShareAction& action) { return std::holds_alternative<PreemptBeyondCap>(action); });
  EXPECT_EQ(preemptions, 1);
  EXPECT_EQ(north.cap(), 4);
  north.observe_load(5, 0, 5);
  EXPECT_FALSE(north.manager().wants_commit());
  north.observe_load(4, 0, 4);
  EXPECT_TRUE(north.manager().wants_commit());
}

TEST(ShareManager, ShareIsKeptIfPreemptedTasksDoNotExitInTime) {
  Region north("north");
  north.deliver(demand(2, 2, 0, 1));
  north.observe_load(6, 0, 6);
  EXPECT_EQ(north.cap(), 4);
  north.advance_time(10 * kHeartbeatMs);
  north.observe_load(6, 0, 6);
  EXPECT_EQ(north.cap(), 6);
  EXPECT_FALSE(north.manager().wants_commit());
}

TEST(ShareManager, MessagesOfRegionsThatAreNotInTheOptionsAreIgnored) {
  Region south("south");
  RegionMessage foreign = transfer(1, 3);
  foreign.from = "west";
  EXPECT_TRUE(south.deliver(foreign).empty());
  EXPECT_FALSE(south.manager().wants_commit());
}

}  // namespace
}  // namespace sailreel::federation
