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

JobRecord sample(std::uint32_t tasks) {
  JobRecord r;
  r.spec.id = "job-000007";
  r.spec.job_class = "batch";
  r.spec.team = "red";
  r.spec.tasks = tasks;
  r.spec.need = {5.5, 1, 35};
  r.spec.image = "img";
  r.spec.image_gb = 42.7;
  r.spec.any_type = false;
  r.spec.types = {"box"};
  r.spec.spread = r.spec.spot = true;
  r.spec.deadline_s = 99.5;
  r.submitted_wall_ms = 1'700'000'000'123;
  r.seq = 12;
  r.done = Bitmap(tasks);
  return r;
}

KvItem item(const std::string& key, const std::string& value) { return {key, value, 3, false}; }

TEST(Bitmap, SurvivesHexInPieces) {
  pcg32 random(5);
  for (const std::size_t size : {1U, 3U, 64U, 65U, 511U, 8192U, 20'000U, 100'000U}) {
    Bitmap a(size), b(size);
    for (std::size_t i = 0; i < size / 2 + 1; ++i) a.set(random(static_cast<std::uint32_t>(size)));
    for (std::size_t at = 0; at < size; at += kPieceBits) b.merge_hex(at, a.hex(at, kPieceBits));
    EXPECT_EQ(a.count(), b.count());
    for (std::size_t i = 0; i < size; ++i) ASSERT_EQ(a.test(i), b.test(i)) << size << " " << i;
  }
}

TEST(Checkpoint, RecordsComeBackAsWritten) {
  JobRecord r = sample(40);
  r.started = 17;
  r.done.set(3);
  r.done.set(39);
  Snapshot image;
  image.apply(item(shard_key(4), encode_shard({encode_record(r)})));
  ASSERT_TRUE(image.unreadable.empty());
  const JobRecord& back = image.jobs.at(r.spec.id);
  EXPECT_EQ(encode_record(back), encode_record(r));
  EXPECT_TRUE(back.done.test(3) && back.done.test(39));
  EXPECT_EQ(back.done.count(), 2U);
  EXPECT_EQ(back.started, 17U);
  EXPECT_EQ(image.shard_of.at(r.spec.id), 4U);
}

TEST(Checkpoint, TheLaterChangeCountsWhateverKeyItIsIn) {
  JobRecord before = sample(4), after = sample(4);
  after.seq = 13;
  after.phase = Phase::Cancelled;
  for (const bool head_first : {true, false}) {
    Snapshot image;
    const auto manifest = item(kManifestKey, encode_manifest({13, 2, {}}, {encode_record(after)}));
    const auto shard = item(shard_key(0), encode_shard({encode_record(before)}));
    image.apply(head_first ? manifest : shard);
    image.apply(head_first ? shard : manifest);
    EXPECT_EQ(image.jobs.at(before.spec.id).phase, Phase::Cancelled);
  }
}

TEST(Checkpoint, ManifestCarriesScaleOutRequestsAndEpoch) {
  Snapshot image;
  image.apply(item(kManifestKey, encode_manifest({9, 4, {{"r-4-1", "box", "za", true, 3}}}, {})));
  EXPECT_EQ(image.manifest.seq, 9U);
  EXPECT_EQ(image.manifest.epoch, 4U);
  ASSERT_EQ(image.manifest.scale_outs.size(), 1U);
  EXPECT_EQ(image.manifest.scale_outs[0].request, "r-4-1");
  EXPECT_EQ(image.manifest.scale_outs[0].count, 3U);
  image.apply(item(kManifestKey, "[]"));
  EXPECT_EQ(image.unreadable.size(), 1U);
}

TEST(Checkpoint, ARecordThatCannotBeDecodedNamesItsField) {
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

TEST(Checkpoint, MachinesKeepTheirImages) {
  Snapshot image;
  image.apply(item(machines_key(3), encode_machines({{"m-000025", "10.0.0.1:1", {{"img-1", 42.5}}},
                                                     {"m-000026", "10.0.0.2:1", {}}})));
  const auto& list = image.machines.at(3);
  ASSERT_EQ(list.size(), 2U);
  ASSERT_EQ(list[0].images.size(), 1U);
  EXPECT_EQ(list[0].images[0].name, "img-1");
  EXPECT_EQ(list[0].images[0].gb, 42.5);
  EXPECT_EQ(list[1].address, "10.0.0.2:1");
  EXPECT_EQ(machine_shard("m-000025"), 3U);
}

TEST(Checkpoint, AFinishedJobIsShort) {
  JobRecord r = sample(100'000);
  r.phase = Phase::Done;
  r.final = true;
  const std::string text = encode_record(r);
  EXPECT_LT(text.size(), 48U);
  Snapshot image;
  image.apply(item(shard_key(0), encode_shard({text})));
  EXPECT_TRUE(image.jobs.at(r.spec.id).final);
  EXPECT_EQ(image.jobs.at(r.spec.id).spec.tasks, 100'000U);
}

TEST(Tables, QuotaAndRoomAreHeldUntilSurelyGone) {
  Settings settings;
  settings.teams = {{"red", 0, 0, 2, 3}};
  Tables t(settings);
  JobRecord r = sample(4);
  r.spec.need = {1, 1, 1};
  r.spec.spread = false;
  Job& job = t.add_job(r);
  Machine& m = t.add_machine("m-000001", 0);
  m.size = {8, 8, 8};
  m.zone = "za";
  m.type = "box";
  for (std::uint32_t i = 0; i < 3; ++i) t.place(job, i, m, i + 1, 0);
  EXPECT_FALSE(t.team("red")->allows(r.spec.need));
  EXPECT_EQ(m.room().gpus, 5);
  // The task is done, but its attempt is still held and counts against the quota.
  t.mark_done(job, 0);
  EXPECT_FALSE(t.team("red")->allows(r.spec.need));
  t.erase(m, 0);
  EXPECT_TRUE(t.team("red")->allows(r.spec.need));
  EXPECT_EQ(job.tasks[0].state, TaskState::Done);
  t.erase(m, 0);
  EXPECT_EQ(job.tasks[1].state, TaskState::Queued);
  EXPECT_EQ(job.queued, 2U);
}

TEST(Tables, SpreadAndTogetherCountWhatMayBeThere) {
  Settings settings;
  settings.teams = {{"red", 0, 0, 20, 30}};
  Tables t(settings);
  JobRecord r = sample(5);
  Job& job = t.add_job(r);
  Machine& a = t.add_machine("m-000001", 0);
  Machine& b = t.add_machine("m-000002", 0);
  for (Machine* m : {&a, &b}) {
    m->size = {64, 8, 512};
    m->type = "box";
  }
  a.zone = "za";
  b.zone = "zb";
  for (std::uint32_t i = 0; i < 3; ++i) {
    EXPECT_TRUE(t.allowed(job, a));
    t.place(job, i, a, i + 1, 0);
  }
  EXPECT_FALSE(t.allowed(job, a));  // at most 3 of the 5 tasks may be in one zone
  EXPECT_TRUE(t.allowed(job, b));
  job.unknown = 1;
  EXPECT_FALSE(t.allowed(job, b));  // the unknown task could be in any zone
}

TEST(JobShards, AJobStaysInItsShardAndFullOnesTakeNoMore) {
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

TEST(JobShards, AClosedShardTakesNoJob) {
  JobShards shards(100);
  shards.close(0);
  shards.add("job-1", 0, 10);
  EXPECT_TRUE(shards.jobs_in(0).empty());
  EXPECT_EQ(shards.place("job-1", 10), 1U);
}

TEST(CompareAndSwapBuilder, KeepsToTheLimitOfOperations) {
  CompareAndSwapBuilder builder(3, 0);
  EXPECT_TRUE(builder.put("a", "1"));
  EXPECT_TRUE(builder.erase("b"));
  EXPECT_FALSE(builder.put("c", "1"));
  builder.limit_operations(4);
  EXPECT_TRUE(builder.put("c", "1"));
  EXPECT_FALSE(builder.erase("d"));
  const KvRequest call = std::move(builder).finish({{"epoch", 7}}, {"head", "{}", 0});
  ASSERT_EQ(call.puts.size(), 3U);
  EXPECT_EQ(call.puts.front().key, "head");
  EXPECT_EQ(call.deletes, std::vector<std::string>{"b"});
  ASSERT_EQ(call.conditions.size(), 1U);
  EXPECT_EQ(call.conditions.front().version, 7U);
}

TEST(CompareAndSwapBuilder, KeepsToTheLimitOfBytes) {
  constexpr std::size_t kValue = 8'000;
  CompareAndSwapBuilder builder(100, 0);
  std::size_t bytes = 0;
  while (builder.put("key", std::string(kValue, 'x'))) bytes += kValue;
  EXPECT_LE(bytes, std::size_t{64} * 1024);
  EXPECT_GE(bytes, std::size_t{56} * 1024);
}

}  // namespace
}  // namespace sailreel
