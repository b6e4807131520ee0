// Tests quota shares: messages between regions, checkpoint values, and changes of the ledger.
#include <gtest/gtest.h>

#include "federation/ledger.hpp"
#include "protocol/peer_frames.hpp"
#include "storage/checkpoint.hpp"

namespace sailreel {
namespace {

/// A message of that kind with a value in each of its fields.
RegionMessage sample_message(RegionMessage::Kind kind) {
  RegionMessage message;
  message.kind = kind;
  message.from = "north";
  message.epoch = 7;
  message.sequence = 42;
  if (kind == RegionMessage::Kind::Transfer)
    message.transfer = {3, {{"red", {0, 1500}}, {"blue", {250, 8000}}}};
  if (kind == RegionMessage::Kind::Acknowledgement) message.acknowledgement = {3};
  if (kind == RegionMessage::Kind::Demand) message.demand = {2, {{"red", {0, 4000}, {0, 1000}}}};
  if (kind == RegionMessage::Kind::Surplus)
    message.surplus = {{{"red", {1, 2}, {3, 4}}, {"blue", {}, {}}}};
  return message;
}

constexpr std::array kMessageKinds{RegionMessage::Kind::Transfer,
                                   RegionMessage::Kind::Acknowledgement,
                                   RegionMessage::Kind::Demand, RegionMessage::Kind::Surplus};

TEST(RegionFrames, MessagesRoundTrip) {
  for (const auto kind : kMessageKinds) {
    const RegionMessage message = sample_message(kind);
    const auto read = decode_region_message(encode_region_message(message));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->kind, kind);
    EXPECT_EQ(read->from, "north");
    EXPECT_EQ(read->epoch, 7U);
    EXPECT_EQ(read->sequence, 42U);
    EXPECT_EQ(read->transfer.number, message.transfer.number);
    EXPECT_EQ(read->transfer.amounts, message.transfer.amounts);
    EXPECT_EQ(read->acknowledgement.number, message.acknowledgement.number);
    EXPECT_EQ(read->demand.credited, message.demand.credited);
    ASSERT_EQ(read->demand.entries.size(), message.demand.entries.size());
    if (kind == RegionMessage::Kind::Demand) {
      EXPECT_EQ(read->demand.entries[0].wanted, (Amounts{0, 4000}));
      EXPECT_EQ(read->demand.entries[0].urgent, (Amounts{0, 1000}));
    }
    ASSERT_EQ(read->surplus.entries.size(), message.surplus.entries.size());
    if (kind == RegionMessage::Kind::Surplus) {
      EXPECT_EQ(read->surplus.entries[0].unused, (Amounts{1, 2}));
      EXPECT_EQ(read->surplus.entries[0].preemptible, (Amounts{3, 4}));
    }
  }
}

TEST(RegionFrames, TruncatedAndOverlongMessagesAreRejected) {
  for (const auto kind : kMessageKinds) {
    const std::string bytes = encode_region_message(sample_message(kind));
    for (std::size_t length = 0; length < bytes.size(); ++length)
      EXPECT_FALSE(decode_region_message(std::string_view(bytes).substr(0, length))) << length;
    EXPECT_FALSE(decode_region_message(bytes + '\0'));
  }
}

TEST(RegionFrames, OtherVersionsUnknownKindsAndInvalidAmountsAreRejected) {
  std::string bytes = encode_region_message(sample_message(RegionMessage::Kind::Transfer));
  std::string other = bytes;
  other[0] = 2;
  EXPECT_EQ(decode_region_message(other).error(),
            (DecodeError{DecodeErrorKind::Unsupported, "version"}));
  other = bytes;
  other[1] = 9;
  EXPECT_EQ(decode_region_message(other).error(),
            (DecodeError{DecodeErrorKind::Unsupported, "kind"}));
  RegionMessage negative = sample_message(RegionMessage::Kind::Transfer);
  negative.transfer.amounts[0].amounts.gpus = -1;
  EXPECT_EQ(decode_region_message(encode_region_message(negative)).error(),
            (DecodeError{DecodeErrorKind::InvalidField, "amounts"}));
  RegionMessage empty = sample_message(RegionMessage::Kind::Transfer);
  empty.transfer.amounts.clear();
  EXPECT_EQ(decode_region_message(encode_region_message(empty)).error(),
            (DecodeError{DecodeErrorKind::InvalidField, "entries"}));
}

// A message of a later version must be ignored and must not break the stream, because that would
// close the link between the controllers.
TEST(RegionFrames, UnsupportedMessageDoesNotBreakTheStream) {
  PeerMessage message;
  message.kind = PeerMessage::Kind::Region;
  message.region = sample_message(RegionMessage::Kind::Acknowledgement);
  std::string unknown = encode_peer(message);
  unknown[12] = 99;  // the version of the region message, which follows the frame header
  PeerReader reader;
  reader.feed(unknown + encode_peer(message));
  const auto first = reader.next();
  ASSERT_TRUE(first);
  EXPECT_EQ(first->region.from, "");
  const auto second = reader.next();
  ASSERT_TRUE(second);
  EXPECT_EQ(second->region.from, "north");
  EXPECT_FALSE(reader.broken());
}

TEST(RegionFrames, SharesFlagDoesNotChangeTheHeartbeatSize) {
  PeerMessage message;
  message.heartbeat.node = "n";
  message.heartbeat.supports_gangs = true;
  const std::string without = encode_peer(message);
  message.heartbeat.supports_quota_shares = true;
  std::string with = encode_peer(message);
  ASSERT_EQ(with.size(), without.size());
  EXPECT_NE(with, without);
  PeerReader reader;
  reader.feed(with);
  EXPECT_TRUE(reader.next()->heartbeat.supports_quota_shares);
}

TEST(ShareRecords, ValuesRoundTrip) {
  const std::string team = "mesa soporte/00";
  ShareRecord share{{1, 2}, {3, 4}, {5, 6}};
  TransferRecord transfers{7, 5, {{team, {0, 1500}}}};
  EXPECT_EQ(share_key(team), "sr/q/mesa%20soporte%2f00");
  ShareLedger ledger;
  auto held = decode_quota_share_value(share_key(team), encode_share(team, share));
  auto moved =
      decode_quota_share_value(transfer_key("south"), encode_transfers("south", transfers));
  ASSERT_TRUE(held);
  ASSERT_TRUE(moved);
  ledger.add(std::move(*held));
  ledger.add(std::move(*moved));
  EXPECT_EQ(ledger.teams.at(team), share);
  EXPECT_EQ(ledger.regions.at("south"), transfers);
}

TEST(ShareRecords, InvalidValuesAreReported) {
  const auto error_of = [](std::string_view key, std::string_view value) {
    return decode_quota_share_value(key, value).error();
  };
  const auto invalid = [](std::string_view field) {
    return DecodeError{DecodeErrorKind::InvalidField, field};
  };
  EXPECT_EQ(error_of("sr/q/red", "gibberish"), (DecodeError{DecodeErrorKind::NotAnObject, ""}));
  EXPECT_EQ(error_of("sr/q/red", R"({"team":"red","share":[0,-1]})"), invalid("share"));
  EXPECT_EQ(error_of("sr/t/south", R"({"region":"south","sent":1})"), invalid("credited"));
  EXPECT_EQ(error_of("sr/other", "{}"), (DecodeError{DecodeErrorKind::Unsupported, "key"}));
}

// Even with long names and large amounts, values must stay below 2 KiB.
TEST(ShareRecords, ValuesStayBelowTwoKib) {
  const std::string name(60, 'x');
  const Amounts large{1'000'000'000, 1'000'000'000};
  EXPECT_LT(encode_share(name, {large, large, large}).size(), 2048U);
  TransferRecord transfers{UINT64_MAX, UINT64_MAX, {}};
  for (std::size_t n = 0; n < kTeamsPerTransfer; ++n) transfers.in_transit.push_back({name, large});
  EXPECT_LT(encode_transfers(name, transfers).size(), 2048U);
}

// A value that can't be decoded must be kept in the snapshot, so that the code that handles damaged
// shares receives it.
TEST(ShareRecords, SnapshotKeepsInvalidValues) {
  Snapshot snapshot;
  snapshot.apply({"sr/q/red", "gibberish", 4, false});
  EXPECT_EQ(snapshot.share_values.at("sr/q/red"), "gibberish");
}

TEST(Ledger, ShareIsNeverGivenTwiceOrBeyondItsAmount) {
  ShareLedger ledger;
  ledger.teams["red"].share = {0, 3000};
  EXPECT_FALSE(federation::start_transfer(ledger, "south", {{"red", {0, 3001}}}));
  EXPECT_FALSE(federation::start_transfer(ledger, "south", {{"blue", {0, 1}}}));
  EXPECT_EQ(ledger.regions.count("south"), 0U);
  EXPECT_TRUE(federation::start_transfer(ledger, "south", {{"red", {0, 3000}}}));
  EXPECT_EQ(ledger.teams["red"].share, Amounts{});
  EXPECT_EQ(ledger.regions["south"].sent, 1U);
}

TEST(Ledger, LoweredLimitBecomesExcessThatARaisedLimitReducesFirst) {
  ShareLedger ledger;
  federation::set_limit(ledger, "red", {0, 10'000});
  EXPECT_EQ(ledger.teams["red"].share.gpus, 10'000);
  federation::set_limit(ledger, "red", {0, 6'000});
  EXPECT_EQ(ledger.teams["red"].share.gpus, 10'000);
  EXPECT_EQ(ledger.teams["red"].excess.gpus, 4'000);
  federation::set_limit(ledger, "red", {0, 7'000});
  EXPECT_EQ(ledger.teams["red"].share.gpus, 10'000);
  EXPECT_EQ(ledger.teams["red"].excess.gpus, 3'000);
  federation::pay_excess(ledger, "red", {0, 5'000});
  EXPECT_EQ(ledger.teams["red"].share.gpus, 7'000);
  EXPECT_EQ(ledger.teams["red"].excess.gpus, 0);
  federation::set_limit(ledger, "red", {0, 9'000});
  EXPECT_EQ(ledger.teams["red"].share.gpus, 9'000);
}

}  // namespace
}  // namespace sailreel
