// Checks that the present codecs read and write, byte for byte, what the version in production
// sends and stores. The fixtures were written by tests/production/write_fixtures.cpp, which is
// built with the sources of the commit in production: `build/tests/production/write_fixtures
// tests/fixtures/production`.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "protocol/peer_frames.hpp"
#include "storage/checkpoint.hpp"

namespace sailreel {
namespace {

std::string fixture(const std::string& name) {
  std::ifstream file(std::string(SAILREEL_FIXTURES) + "/" + name, std::ios::binary);
  EXPECT_TRUE(file.good()) << name;
  std::stringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

PeerMessage decode_frame(const std::string& bytes) {
  PeerReader reader;
  reader.feed(bytes);
  const auto message = reader.next();
  EXPECT_TRUE(message.has_value());
  EXPECT_FALSE(reader.broken());
  return message.value_or(PeerMessage{});
}

TEST(ProductionFrames, RoundTripUnchanged) {
  for (const char* name : {"heartbeat.bin", "request.bin", "answer.bin"}) {
    const std::string bytes = fixture(name);
    EXPECT_EQ(encode_peer(decode_frame(bytes)), bytes) << name;
  }
  const ControllerHeartbeat heartbeat = decode_frame(fixture("heartbeat.bin")).heartbeat;
  EXPECT_EQ(heartbeat.node, "node-1");
  EXPECT_EQ(heartbeat.epoch, 9U);
  EXPECT_TRUE(heartbeat.leading && heartbeat.receives_worker_heartbeats && !heartbeat.hears_leader);
  EXPECT_FALSE(heartbeat.supports_gangs);
  EXPECT_EQ(heartbeat.last_kept_alive_ms_ago, 500U);
  EXPECT_EQ(decode_frame(fixture("request.bin")).request.id, "job-000412");
  EXPECT_EQ(decode_frame(fixture("answer.bin")).response.valid_ms, 2'500U);
}

// A present heartbeat differs from one of the version in production by one bit, which that version
// ignores.
TEST(ProductionFrames, DifferFromPresentFramesByOneIgnoredBit) {
  const std::string production_bytes = fixture("heartbeat.bin");
  PeerMessage message = decode_frame(production_bytes);
  message.heartbeat.supports_gangs = true;
  const std::string present_bytes = encode_peer(message);
  ASSERT_EQ(present_bytes.size(), production_bytes.size());
  constexpr std::size_t kFlagsOffset = 12 + 48;  // 12 bytes of header, then 48 bytes of the body
  constexpr char kUnderstandsGangsBit = 32;
  for (std::size_t offset = 0; offset < present_bytes.size(); ++offset)
    EXPECT_EQ(present_bytes[offset], offset == kFlagsOffset
                                         ? production_bytes[offset] | kUnderstandsGangsBit
                                         : production_bytes[offset])
        << offset;
}

TEST(ProductionCheckpoint, RoundTripsUnchanged) {
  Snapshot snapshot;
  const std::string manifest = fixture("head.json"), shard = fixture("shard.json"),
                    machines = fixture("machines.json");
  snapshot.apply({kManifestKey, manifest, 5, false});
  snapshot.apply({shard_key(3), shard, 5, false});
  snapshot.apply({machines_key(28), machines, 5, false});
  snapshot.apply({bitmap_key("job-000413", 0), fixture("piece.json"), 5, false});
  EXPECT_TRUE(snapshot.unreadable.empty());
  EXPECT_EQ(encode_manifest(snapshot.manifest, {encode_record(snapshot.jobs.at("job-000412"))}),
            manifest);
  EXPECT_EQ(encode_shard({encode_record(snapshot.jobs.at("job-000413")),
                          encode_record(snapshot.jobs.at("job-000007"))}),
            shard);
  EXPECT_EQ(encode_machines(snapshot.machines.at(28)), machines);
  EXPECT_EQ(snapshot.bitmap_pieces.at({"job-000413", 0}).substr(0, 2), "20");
  EXPECT_TRUE(snapshot.jobs.at("job-000007").final);
  EXPECT_EQ(snapshot.jobs.at("job-000412").started, 3U);
  EXPECT_EQ(encode_leader(*decode_leader(fixture("leader.json"))), fixture("leader.json"));
  EXPECT_FALSE(snapshot.features.gangs);
}

}  // namespace
}  // namespace sailreel
