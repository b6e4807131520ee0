// Unit tests of PeerTable and KeepAlivePermit.
#include "controller/peer_table.hpp"

#include <gtest/gtest.h>

namespace sailreel {
namespace {

constexpr Time kWorkerLeaseMs = 10'000, kKeepAliveSpanMs = 20'000;
constexpr std::uint64_t kOwnIncarnation = 7;

ControllerHeartbeat make_heartbeat(std::uint64_t incarnation, Time clock) {
  ControllerHeartbeat heartbeat;
  heartbeat.incarnation = incarnation;
  heartbeat.clock = clock;
  return heartbeat;
}

PeerTable make_table(std::size_t count = 2) {
  return {count, kOwnIncarnation, kWorkerLeaseMs, kKeepAliveSpanMs};
}

TEST(PeerTable, AnOlderHeartbeatOfTheSameProcessIsDropped) {
  PeerTable peers = make_table();
  ControllerHeartbeat newer = make_heartbeat(1, 500);
  newer.leading = true;
  EXPECT_TRUE(peers.process_heartbeat(0, newer, 1'000));
  EXPECT_FALSE(peers.process_heartbeat(0, make_heartbeat(1, 400), 1'010));
  EXPECT_EQ(peers.leader(1'020), 0U);
  // A new process may have a lower clock; its heartbeats are accepted nevertheless.
  EXPECT_TRUE(peers.process_heartbeat(0, make_heartbeat(2, 5), 1'030));
  EXPECT_FALSE(peers.leader(1'040).has_value());
}

TEST(PeerTable, TheLeaderIsTheOneInContactWithTheHighestEpoch) {
  PeerTable peers = make_table();
  ControllerHeartbeat first = make_heartbeat(1, 1), second = make_heartbeat(2, 1);
  first.leading = second.leading = true;
  first.epoch = 4;
  second.epoch = 5;
  peers.process_heartbeat(0, first, 1'000);
  peers.process_heartbeat(1, second, 1'000);
  EXPECT_EQ(peers.leader(1'001), 1U);
  peers.mark_disconnected(1);
  EXPECT_EQ(peers.leader(1'001), 0U);
  EXPECT_FALSE(peers.leader(1'000 + kWorkerLeaseMs / 8).has_value());
}

TEST(PeerTable, AllUnderstandGangsOnlyIfEachCurrentProcessReportsIt) {
  PeerTable peers = make_table();
  ControllerHeartbeat supporting_gangs = make_heartbeat(1, 1);
  supporting_gangs.supports_gangs = true;
  peers.process_heartbeat(0, supporting_gangs, 10);
  EXPECT_FALSE(peers.all_understand_gangs());
  peers.process_heartbeat(1, supporting_gangs, 10);
  EXPECT_TRUE(peers.all_understand_gangs());
  // The peer restarts with a version that doesn't support gangs.
  peers.process_heartbeat(1, make_heartbeat(9, 1), 20);
  EXPECT_FALSE(peers.all_understand_gangs());
}

TEST(PeerTable, RelaysHearTheLeaderAndSupportRelaying) {
  PeerTable peers = make_table(3);
  ControllerHeartbeat hearing_leader = make_heartbeat(1, 1);
  hearing_leader.hears_leader = true;
  peers.process_heartbeat(0, hearing_leader, 10);
  hearing_leader.supports_gangs = true;
  peers.process_heartbeat(2, hearing_leader, 10);
  EXPECT_EQ(peers.relays(20), std::vector<std::size_t>{2});
}

// After a peer's restart, its former process may have kept tasks alive until the restart without
// having reported it. Guards against assuming too early that the workers' leases have expired.
TEST(PeerTable, AFormerProcessMayHaveKeptTasksAlive) {
  PeerTable peers = make_table(1);
  ControllerHeartbeat first = make_heartbeat(1, 100);
  first.acknowledged_incarnation = kOwnIncarnation;
  first.acknowledged_clock = 990;
  peers.process_heartbeat(0, first, 1'000);
  EXPECT_EQ(peers.latest_possible_keep_alive(1'010), -kNever);
  ControllerHeartbeat second = make_heartbeat(2, 5);
  second.acknowledged_incarnation = kOwnIncarnation;
  second.acknowledged_clock = 3'990;
  peers.process_heartbeat(0, second, 4'000);
  EXPECT_EQ(peers.latest_possible_keep_alive(4'010), 4'000);
  // The peer has not been heard since: it may keep tasks alive for as long as its latest heartbeat
  // allows.
  EXPECT_EQ(peers.latest_possible_keep_alive(4'000 + kWorkerLeaseMs),
            4'000 + with_clock_drift(kKeepAliveSpanMs));
}

TEST(KeepAlivePermit, AHigherEpochReplacesAnOlderPermit) {
  KeepAlivePermit permit;
  EXPECT_FALSE(permit.valid(0, 0));
  permit.extend(3, 1'000);
  permit.extend(3, 500);  // doesn't shorten the permit
  EXPECT_TRUE(permit.valid(3, 999));
  EXPECT_FALSE(permit.valid(3, 1'000));
  permit.extend(4, 800);
  EXPECT_FALSE(permit.valid(3, 700));
  permit.extend(3, 9'000);
  EXPECT_EQ(permit.until(), 800);
}

}  // namespace
}  // namespace sailreel
