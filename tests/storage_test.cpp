// Tests the checkpoint's stored form, its shards, the compare-and-swap that writes it, and the
// tables of jobs and machines.
#include <gtest/gtest.h>

#include <pcg_random.hpp>

#include "storage/checkpoint.hpp"
#include "storage/compare_and_swap_builder.hpp"
#include "storage/job_shards.hpp"
#include "storage/tables.hpp"

namespace sailreel {
namespace {

JobRecord sample_record(std::uint32_t tasks) {
  JobRecord record;
  record.spec.id = "job-000007";
  record.spec.job_class = "batch";
  record.spec.team = "red";
  record.spec.tasks = tasks;
  record.spec.need = {5.5, 1, 35};
  record.spec.image = "img";
  record.spec.image_gb = 42.7;
  record.spec.any_type = false;
  record.spec.types = {"box"};
  record.spec.spread = record.spec.spot = true;
  record.spec.deadline_s = 99.5;
  record.submitted_wall_ms = 1'700'000'000'123;
  record.seq = 12;
  record.done = Bitmap(tasks);
  return record;
}

KvItem item(const std::string& key, const std::string& value) { return {key, value, 3, false}; }

TEST(Bitmap, EncodesAndDecodesPieces) {
  pcg32 random(5);
  for (const std::size_t size : {1U, 3U, 64U, 65U, 511U, 8192U, 20'000U, 100'000U}) {
    Bitmap original(size), decoded(size);
    for (std::size_t index = 0; index < size / 2 + 1; ++index)
      original.set(random(static_cast<std::uint32_t>(size)));
    for (std::size_t first = 0; first < size; first += kPieceBits)
      decoded.merge_hex(first, original.hex(first, kPieceBits));
    EXPECT_EQ(original.count(), decoded.count());
    for (std::size_t index = 0; index < size; ++index)
      ASSERT_EQ(original.test(index), decoded.test(index)) << size << " " << index;
  }
}

TEST(Checkpoint, JobRecordRoundTrip) {
  JobRecord record = sample_record(40);
  record.started = 17;
  record.done.set(3);
  record.done.set(39);
  Snapshot snapshot;
  snapshot.apply(item(shard_key(4), encode_shard({encode_record(record)})));
  ASSERT_TRUE(snapshot.unreadable.empty());
  const JobRecord& decoded = snapshot.jobs.at(record.spec.id);
  EXPECT_EQ(encode_record(decoded), encode_record(record));
  EXPECT_TRUE(decoded.done.test(3) && decoded.done.test(39));
  EXPECT_EQ(decoded.done.count(), 2U);
  EXPECT_EQ(decoded.started, 17U);
  EXPECT_EQ(snapshot.shard_of.at(record.spec.id), 4U);
}

TEST(Checkpoint, SnapshotKeepsTheLatestRecordOfAJob) {
  JobRecord before = sample_record(4), after = sample_record(4);
  after.seq = 13;
  after.phase = Phase::Cancelled;
  for (const bool manifest_first : {true, false}) {
    Snapshot snapshot;
    const auto manifest = item(kManifestKey, encode_manifest({13, 2, {}}, {encode_record(after)}));
    const auto shard = item(shard_key(0), encode_shard({encode_record(before)}));
    snapshot.apply(manifest_first ? manifest : shard);
    snapshot.apply(manifest_first ? shard : manifest);
    EXPECT_EQ(snapshot.jobs.at(before.spec.id).phase, Phase::Cancelled);
  }
}

TEST(Checkpoint, ManifestContainsScaleOutRequestsAndEpoch) {
  Snapshot snapshot;
  snapshot.apply(
      item(kManifestKey, encode_manifest({9, 4, {{"r-4-1", "box", "za", true, 3}}}, {})));
  EXPECT_EQ(snapshot.manifest.seq, 9U);
  EXPECT_EQ(snapshot.manifest.epoch, 4U);
  ASSERT_EQ(snapshot.manifest.scale_outs.size(), 1U);
  EXPECT_EQ(snapshot.manifest.scale_outs[0].request_id, "r-4-1");
  EXPECT_EQ(snapshot.manifest.scale_outs[0].count, 3U);
  snapshot.apply(item(kManifestKey, "[]"));
  EXPECT_EQ(snapshot.unreadable.size(), 1U);
}

TEST(Checkpoint, DecodeErrorNamesTheInvalidField) {
  const auto error_of = [](std::string_view record) {
    json::Document doc;
    EXPECT_TRUE(json::parse_object("{\"r\":" + std::string(record) + "}", doc));
    return decode_record(doc["r"]).error();
  };
  const auto invalid = [](std::string_view field) {
    return DecodeError{DecodeErrorKind::InvalidField, field};
  };
  EXPECT_EQ(error_of("[\"job-1\",1,7]"), invalid("record"));
  EXPECT_EQ(error_of("[\"\",1,7,1]"), invalid("id"));
  EXPECT_EQ(error_of("[\"job-1\",1,7,0]"), invalid("tasks"));
  EXPECT_EQ(error_of("[\"job-1\",0,7,1]"), invalid("phase"));
  EXPECT_EQ(decode_leader("[]").error(), (DecodeError{DecodeErrorKind::NotAnObject, ""}));
  EXPECT_EQ(decode_leader(R"({"node":"n"})").error(), invalid("epoch"));
}

TEST(Checkpoint, MachineRecordRoundTrip) {
  Snapshot snapshot;
  snapshot.apply(
      item(machines_key(3), encode_machines({{"m-000025", "10.0.0.1:1", {{"img-1", 42.5}}},
                                             {"m-000026", "10.0.0.2:1", {}}})));
  const auto& list = snapshot.machines.at(3);
  ASSERT_EQ(list.size(), 2U);
  ASSERT_EQ(list[0].images.size(), 1U);
  EXPECT_EQ(list[0].images[0].name, "img-1");
  EXPECT_EQ(list[0].images[0].gb, 42.5);
  EXPECT_EQ(list[1].address, "10.0.0.2:1");
  EXPECT_EQ(machine_shard("m-000025"), 3U);
}

TEST(Checkpoint, FinalRecordIsShort) {
  JobRecord record = sample_record(100'000);
  record.phase = Phase::Done;
  record.final = true;
  const std::string text = encode_record(record);
  EXPECT_LT(text.size(), 48U);
  Snapshot snapshot;
  snapshot.apply(item(shard_key(0), encode_shard({text})));
  EXPECT_TRUE(snapshot.jobs.at(record.spec.id).final);
  EXPECT_EQ(snapshot.jobs.at(record.spec.id).spec.tasks, 100'000U);
}

TEST(Tables, QuotaAndRoomAreHeldUntilTheAttemptIsRemoved) {
  Settings settings;
  settings.teams = {{"red", 0, 0, 2, 3}};
  Tables tables(settings);
  JobRecord record = sample_record(4);
  record.spec.need = {1, 1, 1};
  record.spec.spread = false;
  Job& job = tables.add_job(record);
  Machine& machine = tables.add_machine("m-000001", 0);
  machine.size = {8, 8, 8};
  machine.zone = "za";
  machine.type = "box";
  for (std::uint32_t i = 0; i < 3; ++i) tables.place(job, i, machine, i + 1, 0);
  EXPECT_FALSE(tables.team("red")->allows(record.spec.need));
  EXPECT_EQ(machine.room().gpus, 5);
  // The task is done, but its attempt is still held and counts against the quota.
  tables.mark_done(job, 0);
  EXPECT_FALSE(tables.team("red")->allows(record.spec.need));
  tables.remove_attempt(machine, 0);
  EXPECT_TRUE(tables.team("red")->allows(record.spec.need));
  EXPECT_EQ(job.tasks[0].state, TaskState::Done);
  tables.remove_attempt(machine, 0);
  EXPECT_EQ(job.tasks[1].state, TaskState::Queued);
  EXPECT_EQ(job.queued, 2U);
}

TEST(Tables, SpreadLimitCountsPlacedAndUnknownTasks) {
  Settings settings;
  settings.teams = {{"red", 0, 0, 20, 30}};
  Tables tables(settings);
  JobRecord record = sample_record(5);
  Job& job = tables.add_job(record);
  Machine& machine_a = tables.add_machine("m-000001", 0);
  Machine& machine_b = tables.add_machine("m-000002", 0);
  for (Machine* machine : {&machine_a, &machine_b}) {
    machine->size = {64, 8, 512};
    machine->type = "box";
  }
  machine_a.zone = "za";
  machine_b.zone = "zb";
  for (std::uint32_t i = 0; i < 3; ++i) {
    EXPECT_TRUE(tables.allowed(job, machine_a));
    tables.place(job, i, machine_a, i + 1, 0);
  }
  EXPECT_FALSE(tables.allowed(job, machine_a));  // at most 3 of the 5 tasks may be in one zone
  EXPECT_TRUE(tables.allowed(job, machine_b));
  job.unknown = 1;
  EXPECT_FALSE(tables.allowed(job, machine_b));  // the unknown task could be in any zone
}

TEST(JobShards, JobsKeepTheirShardAndFullShardsAcceptNoMore) {
  JobShards shards(100);
  EXPECT_EQ(shards.place("job-1", 60), 0U);
  EXPECT_EQ(shards.place("job-2", 60), 1U);
  EXPECT_EQ(shards.place("job-3", 40), 0U);
  EXPECT_EQ(shards.place("job-1", 500), 0U) << "a job keeps its shard whatever its size";
  // A finished job's record is smaller, which leaves room for others.
  shards.set_reserve("job-1", 10);
  EXPECT_EQ(shards.place("job-4", 50), 0U);
  EXPECT_EQ(shards.place("job-5", 1), 1U);
  EXPECT_EQ(shards.jobs_in(0), (std::set<std::string>{"job-1", "job-3", "job-4"}));
}

TEST(JobShards, AClosedShardAcceptsNoJob) {
  JobShards shards(100);
  shards.close(0);
  shards.add("job-1", 0, 10);
  EXPECT_TRUE(shards.jobs_in(0).empty());
  EXPECT_EQ(shards.place("job-1", 10), 1U);
}

TEST(CompareAndSwapBuilder, EnforcesTheLimitOnOperations) {
  CompareAndSwapBuilder builder(3, 0);
  EXPECT_TRUE(builder.put("a", "1"));
  EXPECT_TRUE(builder.erase("b"));
  EXPECT_FALSE(builder.put("c", "1"));
  builder.limit_operations(4);
  EXPECT_TRUE(builder.put("c", "1"));
  EXPECT_FALSE(builder.erase("d"));
  const KvRequest request = std::move(builder).finish({{"epoch", 7}}, {"head", "{}", 0});
  ASSERT_EQ(request.puts.size(), 3U);
  EXPECT_EQ(request.puts.front().key, "head");
  EXPECT_EQ(request.deletes, std::vector<std::string>{"b"});
  ASSERT_EQ(request.conditions.size(), 1U);
  EXPECT_EQ(request.conditions.front().version, 7U);
}

TEST(CompareAndSwapBuilder, EnforcesTheLimitOnBytes) {
  constexpr std::size_t kValueBytes = 8'000;
  CompareAndSwapBuilder builder(100, 0);
  std::size_t bytes = 0;
  while (builder.put("key", std::string(kValueBytes, 'x'))) bytes += kValueBytes;
  EXPECT_LE(bytes, std::size_t{64} * 1024);
  EXPECT_GE(bytes, std::size_t{56} * 1024);
}

}  // namespace
}  // namespace sailreel
