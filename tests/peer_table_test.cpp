// Unit tests of PeerTable and KeepAlivePermit.
#include "controller/peer_table.hpp"

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

PeerTable table(std::size_t count = 2) { return {count, kOwn, kLease, kKeepAlive}; }

TEST(Peers, AnOlderHeartbeatOfTheSameProcessIsDropped) {
  PeerTable peers = table();
  ControllerHeartbeat newer = heartbeat(1, 500);
  newer.leading = true;
  EXPECT_TRUE(peers.take(0, newer, 1'000));
  EXPECT_FALSE(peers.take(0, heartbeat(1, 400), 1'010));
  EXPECT_EQ(peers.leader(1'020), 0U);
  // A new process may have a lower clock; its heartbeats are accepted nevertheless.
  EXPECT_TRUE(peers.take(0, heartbeat(2, 5), 1'030));
  EXPECT_FALSE(peers.leader(1'040).has_value());
}

TEST(Peers, TheLeaderIsTheOneInContactWithTheHighestEpoch) {
  PeerTable peers = table();
  ControllerHeartbeat first = heartbeat(1, 1), second = heartbeat(2, 1);
  first.leading = second.leading = true;
  first.epoch = 4;
  second.epoch = 5;
  peers.take(0, first, 1'000);
  peers.take(1, second, 1'000);
  EXPECT_EQ(peers.leader(1'001), 1U);
  peers.lost(1);
  EXPECT_EQ(peers.leader(1'001), 0U);
  EXPECT_FALSE(peers.leader(1'000 + kLease / 8).has_value());
}

TEST(Peers, AllUnderstandGangsOnlyWhenEachPresentProcessSaysSo) {
  PeerTable peers = table();
  ControllerHeartbeat said = heartbeat(1, 1);
  said.understands_gangs = true;
  peers.take(0, said, 10);
  EXPECT_FALSE(peers.all_understand_gangs());
  peers.take(1, said, 10);
  EXPECT_TRUE(peers.all_understand_gangs());
  peers.take(1, heartbeat(9, 1), 20);  // restarted with a version that doesn't support gangs
  EXPECT_FALSE(peers.all_understand_gangs());
}

TEST(Peers, RelaysAreThoseThatHearTheLeaderAndAreOfThisVersion) {
  PeerTable peers = table(3);
  ControllerHeartbeat hears = heartbeat(1, 1);
  hears.hears_leader = true;
  peers.take(0, hears, 10);
  hears.understands_gangs = true;
  peers.take(2, hears, 10);
  EXPECT_EQ(peers.relays(20), std::vector<std::size_t>{2});
}

// After a peer's restart, its former process may have kept tasks alive until the restart without
// having reported it. Guards against assuming too early that the workers' leases have expired.
TEST(Peers, WhatAFormerProcessMayHaveKeptAliveIsReckonedWith) {
  PeerTable peers = table(1);
  ControllerHeartbeat first = heartbeat(1, 100);
  first.acknowledged_incarnation = kOwn;
  first.acknowledged_clock = 990;
  peers.take(0, first, 1'000);
  EXPECT_EQ(peers.latest_answer(1'010), -kNever);
  ControllerHeartbeat second = heartbeat(2, 5);
  second.acknowledged_incarnation = kOwn;
  second.acknowledged_clock = 3'990;
  peers.take(0, second, 4'000);
  EXPECT_EQ(peers.latest_answer(4'010), 4'000);
  // The peer is lost since then: it may keep tasks alive for as long as its latest heartbeat
  // allows.
  EXPECT_EQ(peers.latest_answer(4'000 + kLease), 4'000 + with_drift(kKeepAlive));
}

TEST(KeepAlive, APermitOfAHigherEpochReplacesAnOlderOne) {
  KeepAlivePermit permit;
  EXPECT_FALSE(permit.valid(0, 0));
  permit.allow(3, 1'000);
  permit.allow(3, 500);  // doesn't shorten the permit
  EXPECT_TRUE(permit.valid(3, 999));
  EXPECT_FALSE(permit.valid(3, 1'000));
  permit.allow(4, 800);
  EXPECT_FALSE(permit.valid(3, 700));
  permit.allow(3, 9'000);
  EXPECT_EQ(permit.until(), 800);
}

}  // namespace
}  // namespace sailreel
