// What is known of the other controllers, by itself.
#include "coordination/siblings.hpp"

#include <gtest/gtest.h>

namespace sailreel {
namespace {

constexpr Time kLease = 10'000, kKeepAlive = 20'000;
constexpr std::uint64_t kOwn = 7;

ControllerHeartbeat heartbeat(std::uint64_t incarnation, Time clock) {
  ControllerHeartbeat out;
  out.incarnation = incarnation;
  out.clock = clock;
  return out;
}

SiblingTable table(std::size_t count = 2) { return {count, kOwn, kLease, kKeepAlive}; }

TEST(Siblings, AnOlderHeartbeatOfTheSameProcessIsDropped) {
  SiblingTable siblings = table();
  ControllerHeartbeat newer = heartbeat(1, 500);
  newer.leading = true;
  EXPECT_TRUE(siblings.take(0, newer, 1'000));
  EXPECT_FALSE(siblings.take(0, heartbeat(1, 400), 1'010));
  EXPECT_EQ(siblings.leader(1'020), 0U);
  // Its successor's clock may well be behind.
  EXPECT_TRUE(siblings.take(0, heartbeat(2, 5), 1'030));
  EXPECT_FALSE(siblings.leader(1'040).has_value());
}

TEST(Siblings, TheLeaderIsTheOneInContactWithTheHighestEpoch) {
  SiblingTable siblings = table();
  ControllerHeartbeat first = heartbeat(1, 1), second = heartbeat(2, 1);
  first.leading = second.leading = true;
  first.epoch = 4;
  second.epoch = 5;
  siblings.take(0, first, 1'000);
  siblings.take(1, second, 1'000);
  EXPECT_EQ(siblings.leader(1'001), 1U);
  siblings.lost(1);
  EXPECT_EQ(siblings.leader(1'001), 0U);
  EXPECT_FALSE(siblings.leader(1'000 + kLease / 8).has_value());
}

TEST(Siblings, AllUnderstandGangsOnlyWhenEachPresentProcessSaysSo) {
  SiblingTable siblings = table();
  ControllerHeartbeat said = heartbeat(1, 1);
  said.understands_gangs = true;
  siblings.take(0, said, 10);
  EXPECT_FALSE(siblings.all_understand_gangs());
  siblings.take(1, said, 10);
  EXPECT_TRUE(siblings.all_understand_gangs());
  siblings.take(1, heartbeat(9, 1), 20);  // it came back as it was before
  EXPECT_FALSE(siblings.all_understand_gangs());
}

TEST(Siblings, RelaysAreThoseThatHearTheLeaderAndAreOfThisVersion) {
  SiblingTable siblings = table(3);
  ControllerHeartbeat hears = heartbeat(1, 1);
  hears.hears_leader = true;
  siblings.take(0, hears, 10);
  hears.understands_gangs = true;
  siblings.take(2, hears, 10);
  EXPECT_EQ(siblings.relays(20), std::vector<std::size_t>{2});
}

// A process that ended may have kept tasks alive until then, and for as long as it was allowed to.
TEST(Siblings, WhatAFormerProcessMayHaveKeptAliveIsReckonedWith) {
  SiblingTable siblings = table(1);
  ControllerHeartbeat first = heartbeat(1, 100);
  first.acknowledged_incarnation = kOwn;
  first.acknowledged_clock = 990;
  siblings.take(0, first, 1'000);
  EXPECT_EQ(siblings.latest_answer(1'010), -kNever);
  ControllerHeartbeat second = heartbeat(2, 5);
  second.acknowledged_incarnation = kOwn;
  second.acknowledged_clock = 3'990;
  siblings.take(0, second, 4'000);
  EXPECT_EQ(siblings.latest_answer(4'010), 4'000);
  // Lost since: it may go on for as long as its latest heartbeat allows.
  EXPECT_EQ(siblings.latest_answer(4'000 + kLease), 4'000 + with_drift(kKeepAlive));
}

TEST(KeepAlive, APermitOfAHigherEpochReplacesAnOlderOne) {
  KeepAlivePermit permit;
  EXPECT_FALSE(permit.valid(0, 0));
  permit.allow(3, 1'000);
  permit.allow(3, 500);  // never shortened
  EXPECT_TRUE(permit.valid(3, 999));
  EXPECT_FALSE(permit.valid(3, 1'000));
  permit.allow(4, 800);
  EXPECT_FALSE(permit.valid(3, 700));
  permit.allow(3, 9'000);
  EXPECT_EQ(permit.until(), 800);
}

}  // namespace
}  // namespace sailreel
