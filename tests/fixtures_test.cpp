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

PeerMessage read(const std::string& bytes) {
  PeerReader reader;
  reader.feed(bytes);
  const auto message = reader.next();
  EXPECT_TRUE(message.has_value());
  EXPECT_FALSE(reader.broken());
  return message.value_or(PeerMessage{});
}

TEST(ProductionFrames, AreReadAndWrittenAlike) {
  for (const char* name : {"heartbeat.bin", "request.bin", "answer.bin"}) {
    const std::string bytes = fixture(name);
    EXPECT_EQ(encode_peer(read(bytes)), bytes) << name;
  }
  const ControllerHeartbeat heartbeat = read(fixture("heartbeat.bin")).heartbeat;
  EXPECT_EQ(heartbeat.node, "node-1");
  EXPECT_EQ(heartbeat.epoch, 9U);
  EXPECT_TRUE(heartbeat.leading && heartbeat.hears_workers && !heartbeat.hears_leader);
  EXPECT_FALSE(heartbeat.understands_gangs);
  EXPECT_EQ(heartbeat.kept_alive_ms, 500U);
  EXPECT_EQ(read(fixture("request.bin")).request.id, "job-000412");
  EXPECT_EQ(read(fixture("answer.bin")).response.valid_ms, 2'500U);
}

// A present heartbeat differs from one of the version in production by one bit, which that version
// ignores.
TEST(ProductionFrames, DifferFromThePresentOnesByOneIgnoredBit) {
  const std::string before = fixture("heartbeat.bin");
  PeerMessage message = read(before);
  message.heartbeat.understands_gangs = true;
  const std::string after = encode_peer(message);
  ASSERT_EQ(after.size(), before.size());
  constexpr std::size_t kFlags = 12 + 48;  // 12 bytes of header, then 48 bytes of the body
  constexpr char kNewBit = 32;
  for (std::size_t i = 0; i < after.size(); ++i)
    EXPECT_EQ(after[i], i == kFlags ? before[i] | kNewBit : before[i]) << i;
}

TEST(ProductionCheckpoint, IsReadAndWrittenAlike) {
  Snapshot image;
  const std::string head = fixture("head.json"), shard = fixture("shard.json"),
                    machines = fixture("machines.json");
  image.apply({kManifestKey, head, 5, false});
  image.apply({shard_key(3), shard, 5, false});
  image.apply({machines_key(28), machines, 5, false});
  image.apply({bitmap_key("job-000413", 0), fixture("piece.json"), 5, false});
  EXPECT_TRUE(image.unreadable.empty());
  EXPECT_EQ(encode_manifest(image.manifest, {encode_record(image.jobs.at("job-000412"))}), head);
  EXPECT_EQ(encode_shard({encode_record(image.jobs.at("job-000413")),
                          encode_record(image.jobs.at("job-000007"))}),
            shard);
  EXPECT_EQ(encode_machines(image.machines.at(28)), machines);
  EXPECT_EQ(image.pieces.at({"job-000413", 0}).substr(0, 2), "20");
  EXPECT_TRUE(image.jobs.at("job-000007").final);
  EXPECT_EQ(image.jobs.at("job-000412").started, 3U);
  EXPECT_EQ(encode_leader(*decode_leader(fixture("leader.json"))), fixture("leader.json"));
  EXPECT_FALSE(image.features.gangs);
}

}  // namespace
}  // namespace sailreel
