// Checkpoint values when the key-value store's limits are lower than the size of what is stored, or
// lower than the settings say.
#include <gtest/gtest.h>

#include "protocol/fake_server_codec.hpp"
#include "support/controller_driver.hpp"
#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

constexpr double kLowValueKb = 2;
constexpr std::uint64_t kLowTxnOperations = 5;

Settings settings_with_low_limits() {
  Settings settings = settings_without_peers();
  settings.store_limits.value_kb = kLowValueKb;
  settings.store_limits.txn_ops = kLowTxnOperations;
  return settings;
}

void lower_store_limits(ControllerDriver& driver) {
  driver.kv_store().value_limit = static_cast<std::size_t>(kLowValueKb * 1024);
  driver.kv_store().ops_limit = kLowTxnOperations;
}

JobRecord array_record(std::size_t n, std::uint32_t tasks) {
  JobRecord record;
  record.spec = array_job(job_id(n), tasks, 30);
  record.seq = 1;
  record.done = Bitmap(tasks);
  return record;
}

// The manifest that the former leader wrote is three times as large as the current limit on values.
TEST(LowerLimits, ALargeManifestIsSplitWithoutLoss) {
  constexpr std::uint64_t kMinTxnOperations = 3;
  Settings settings = settings_with_low_limits();
  settings.store_limits.txn_ops = kMinTxnOperations;
  ControllerDriver driver(settings);
  std::vector<std::string> records;
  for (std::size_t n = 0; n < 60; ++n) records.push_back(encode_record(array_record(n, 8)));
  const std::string manifest = encode_manifest({1, 0, {}}, records);
  ASSERT_GT(manifest.size(), std::size_t{5} * 1024);
  driver.write(kManifestKey, manifest);
  lower_store_limits(driver);
  driver.kv_store().ops_limit = kMinTxnOperations;
  driver.run_for(4'000);
  EXPECT_TRUE(driver.controller().leading());
  EXPECT_EQ(driver.kv_store().over_limit_requests, 0U);
  EXPECT_LT(driver.kv_store().value_of(kManifestKey).size(), std::size_t{2} * 1024);
  const Snapshot checkpoint = driver.checkpoint();
  EXPECT_EQ(checkpoint.jobs.size(), records.size());
  EXPECT_TRUE(checkpoint.unreadable.empty());
}

// A stored shard that exceeds the limit on values is not rewritten. When one of its jobs changes,
// the job moves to a shard with a higher number, where older versions look for the latest record
// too.
TEST(LowerLimits, AJobOfALargeShardMovesToAHigherOneWhenItChanges) {
  ControllerDriver driver(settings_with_low_limits());
  std::vector<std::string> records;
  for (std::size_t n = 0; n < 40; ++n) {
    // The job's tasks may be on machine m-1 below, which doesn't respond, so a cancellation takes
    // long.
    JobRecord record = array_record(n, 8);
    record.started = 8;
    records.push_back(encode_record(record));
  }
  const std::string shard = encode_shard(records);
  driver.write(shard_key(2), shard);
  driver.write(machines_key(0), encode_machines({{"m-1", "10.1.0.1:9000", {}}}));
  driver.write(shard_key(1), encode_shard({encode_record(array_record(90, 1))}));
  driver.write(kManifestKey, encode_manifest({1, 0, {}}, {}));
  lower_store_limits(driver);
  driver.run_for(2'000);
  for (std::size_t n = 0; n < 30; ++n) driver.cancel(job_id(n));
  driver.run_for(4'000);
  EXPECT_EQ(driver.kv_store().over_limit_requests, 0U);
  EXPECT_EQ(driver.kv_store().value_of(shard_key(2)), shard);
  const Snapshot checkpoint = driver.checkpoint();
  std::size_t moved = 0;
  for (std::size_t n = 0; n < 30; ++n) {
    EXPECT_TRUE(checkpoint.jobs.at(job_id(n)).cancel_requested) << n;
    EXPECT_GE(checkpoint.shard_of.at(job_id(n)), 2U) << n;
    moved += checkpoint.shard_of.at(job_id(n)) > 2 ? 1 : 0;
  }
  EXPECT_GT(moved, 4U);  // the changes of the other jobs are still in the manifest
  EXPECT_FALSE(checkpoint.jobs.at(job_id(35)).cancel_requested);
}

// A bitmap piece of the older, regular size exceeds the limit on values, so changes must be written
// in small pieces.
TEST(LowerLimits, LargeBitmapsAreWrittenInSmallPieces) {
  ControllerDriver driver(settings_with_low_limits());
  constexpr std::uint32_t kTasks = 9'000;
  JobRecord record = array_record(1, kTasks);
  record.started = kTasks;
  record.done.set(7);
  driver.write(kManifestKey, encode_manifest({1, 0, {}}, {encode_record(record)}));
  driver.write(bitmap_key("job-1", 0), encode_piece(record.done.hex(0, kPieceBits)));
  driver.write(machines_key(0), encode_machines({{"m-1", "10.1.0.1:9000", {}}}));
  lower_store_limits(driver);
  driver.run_for(2'000);
  std::vector<TaskStatus> finished;
  for (const std::uint32_t index : {3U, 8'500U})
    finished.push_back({{"job-1", index}, 1, RunState::Exited, ExitCause::Done, false});
  driver.heartbeat(heartbeat_of("m-1", 1, finished));
  driver.run_for(2'000);
  EXPECT_EQ(driver.kv_store().over_limit_requests, 0U);
  const Snapshot checkpoint = driver.checkpoint();
  EXPECT_EQ(checkpoint.bitmap_pieces.size(), 1U);
  Bitmap merged(kTasks);
  for (const auto& [key, digits] : checkpoint.bitmap_pieces)
    merged.merge_hex(key.second * kPieceBits, digits);
  for (const auto& [key, digits] : checkpoint.small_bitmap_pieces)
    merged.merge_hex(key.second * kSmallPieceBits, digits);
  EXPECT_EQ(merged.count(), 3U);
  EXPECT_TRUE(merged.test(3) && merged.test(7) && merged.test(8'500));
}

// The store's limits are lower than the settings say. After a checkpoint commit is rejected, the
// controller must write smaller ones.
TEST(LowerLimits, ARejectedCommitIsFollowedBySmallerOnes) {
  ControllerDriver driver(settings_without_peers());
  lower_store_limits(driver);
  driver.run_for(500);
  driver.set_types({sample_type()});
  driver.run_for(3'000);
  for (std::size_t n = 0; n < 60; ++n) {
    driver.submit(encode_submission(array_job(job_id(n), 8, 30)));
    driver.run_for(100);
  }
  driver.run_for(30'000);
  EXPECT_GT(driver.kv_store().over_limit_requests, 0U);
  const std::uint64_t rejected_before = driver.kv_store().over_limit_requests;
  for (std::size_t n = 0; n < 60; ++n) {
    driver.submit(encode_submission(array_job(job_id(n), 8, 30)));
    driver.run_for(100);
  }
  driver.run_for(10'000);
  EXPECT_EQ(driver.kv_store().over_limit_requests, rejected_before);
  EXPECT_EQ(driver.checkpoint().jobs.size(), 60U);
}

TEST(LowerLimits, ADescriptionThatFitsNoValueIsRejectedAtOnce) {
  ControllerDriver driver(settings_with_low_limits());
  driver.set_types({sample_type()});
  driver.run_for(3'000);
  JobSpec spec = array_job("job-1", 1, 30);
  spec.any_type = false;
  for (int n = 0; n < 40; ++n)
    spec.types.push_back("box" + std::string(50, 'x') + std::to_string(n));
  spec.types.emplace_back("box");
  EXPECT_EQ(driver.submit(encode_submission(spec)), 422);
  spec.types = {"box"};
  EXPECT_EQ(driver.submit(encode_submission(spec)), 201);
}

// Names of the greatest permitted length make the description larger than the room that the
// manifest has beside its other contents.
TEST(LowerLimits, ALargeDescriptionThatFitsAValueIsAccepted) {
  ControllerDriver driver(settings_with_low_limits());
  driver.set_types({sample_type()});
  driver.run_for(500);
  lower_store_limits(driver);
  driver.run_for(2'500);
  JobSpec spec = array_job("job-1", 512, 30);
  spec.job_class = std::string(200, 'c');
  spec.image = std::string(200, 'i');
  spec.any_type = false;
  spec.types = {"box"};
  for (int n = 0; n < 8; ++n) spec.types.push_back(std::string(100, 't') + std::to_string(n));
  for (std::size_t n = 1; n < 6; ++n) {
    spec.id = job_id(n);
    driver.submit(encode_submission(spec));
    driver.run_for(1'000);
  }
  EXPECT_EQ(driver.kv_store().over_limit_requests, 0U);
  EXPECT_EQ(driver.checkpoint().jobs.size(), 5U);
}

// While the cloud doesn't respond, scale-out requests accumulate in the manifest, which must stay
// within the limit on values.
TEST(LowerLimits, PendingScaleOutsNeverOutgrowTheManifest) {
  SimulationPlan plan = plan_without_faults(8);
  plan.lowered_value_kb = 1;
  plan.lowered_txn_ops = 3;
  plan.lowered_write_rps = 20;
  plan.scale = 4;
  SimulatedRegion region(plan);
  region.run_until(2'000);
  region.lower_store_limits();
  region.cloud().outage = true;
  for (std::size_t n = 0; n < 60; ++n) {
    region.submit(array_job(job_id(n), 4, 10));
    region.run_until(region.now() + 600);
  }
  region.cloud().outage = false;
  // Submissions are accepted throughout, although no instance can be launched.
  EXPECT_GE(region.submission_delays().size(), 58U);
  region.run_until(110'000);
  EXPECT_EQ(region.kv_store().over_limit_requests, 0U);
  EXPECT_TRUE(region.checker().violations().empty()) << region.checker().summary();
}

TEST(JobShards, NoJobIsPlacedBelowAClosedShard) {
  JobShards shards(100);
  shards.add("job-1", 0, 10);
  shards.add("job-2", 4, 10);
  shards.close(4);
  EXPECT_EQ(shards.place("job-1", 10), 0U);  // the shard that holds its record
  EXPECT_GT(shards.place("job-2", 10), 4U);
  EXPECT_GT(shards.place("job-3", 10), 4U);
}

}  // namespace
}  // namespace sailreel::sim
