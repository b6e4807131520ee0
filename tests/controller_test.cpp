// Tests a single controller with a hand-written checkpoint of a former leader and hand-written
// heartbeats, for situations that simulations rarely reach.
#include <gtest/gtest.h>

#include "support/controller_driver.hpp"
#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

JobRecord started_job(const std::string& id, std::uint32_t tasks) {
  JobRecord record;
  record.spec = array_job(id, tasks, 30);
  record.started = tasks;
  record.done = Bitmap(tasks);
  return record;
}

TaskStatus running(const std::string& job, std::uint32_t index) {
  return {{job, index}, 1, RunState::Running, ExitCause::None, false};
}

TaskStatus completed(const std::string& job, std::uint32_t index) {
  return {{job, index}, 1, RunState::Exited, ExitCause::Done, false};
}

// After a failover, two machines report the same task, and the settings no longer name the task's
// team. The second machine is told to stop its attempt. Guards against a crash when that attempt is
// counted against the missing team.
TEST(Controller, AnOrphanedAttemptOfATeamThatIsNoLongerNamedIsStopped) {
  ControllerDriver driver(settings_without_peers());
  JobRecord record = started_job("job-1", 2);
  record.spec.team = "gone";
  driver.write(kManifestKey, encode_manifest({1, 0, {}}, {encode_record(record)}));
  driver.write(machines_key(0),
               encode_machines({{"m-1", "10.1.0.1:9000", {}}, {"m-2", "10.1.0.2:9000", {}}}));
  driver.run_for(2'000);
  ASSERT_TRUE(driver.controller().leading());
  EXPECT_EQ(driver.heartbeat(heartbeat_of("m-1", 1, {running("job-1", 0)})).find("kill"),
            std::string::npos);
  const std::string commands = driver.heartbeat(heartbeat_of("m-2", 1, {running("job-1", 0)}));
  EXPECT_NE(commands.find("\"kill\""), std::string::npos) << commands;
  EXPECT_NE(commands.find("job-1/0"), std::string::npos) << commands;
  // The attempt on m-1 continues and completes.
  driver.heartbeat(heartbeat_of("m-1", 2, {completed("job-1", 0), running("job-1", 1)}));
  driver.heartbeat(heartbeat_of("m-1", 3, {completed("job-1", 0), completed("job-1", 1)}));
  driver.run_for(1'000);
  EXPECT_EQ(driver.checkpoint().jobs.at("job-1").phase, Phase::Done);
}

// A job whose bitmap doesn't fit into a checkpoint commit is postponed to the next one, while the
// commit rewrites its shard with other jobs. Guards against writing the postponed job's state from
// memory: other controllers would then read that the job is done before that is committed.
TEST(Controller, AShardHoldsAPostponedJobAsCommitted) {
  constexpr std::uint32_t kLargeJobTasks = 100'000;
  constexpr std::uint32_t kBitmapPieces = (kLargeJobTasks + kPieceBits - 1) / kPieceBits;
  constexpr std::size_t kOtherJobs = 80;
  ControllerDriver driver(settings_without_peers());
  // All tasks of the large job are done, except for one in each piece of its bitmap.
  JobRecord large_job = started_job("job-1", kLargeJobTasks);
  std::vector<TaskStatus> first_statuses, last_statuses;
  for (std::uint32_t i = 0; i < kLargeJobTasks; ++i) {
    if (i % kPieceBits != 0) {
      large_job.done.set(i);
      continue;
    }
    first_statuses.push_back(running("job-1", i));
    last_statuses.push_back(completed("job-1", i));
  }
  ASSERT_EQ(first_statuses.size(), kBitmapPieces);
  for (std::size_t piece = 0; piece < kBitmapPieces; ++piece)
    driver.write(bitmap_key("job-1", piece),
                 "{\"h\":\"" + large_job.done.hex(piece * kPieceBits, kPieceBits) + "\"}");
  std::map<std::size_t, std::vector<std::string>> shards;
  shards[0].push_back(encode_record(large_job));
  for (std::size_t n = 0; n < kOtherJobs; ++n) {
    const std::string id = job_id(100 + n);
    shards[n / 20].push_back(encode_record(started_job(id, 2)));
    first_statuses.push_back(running(id, 0));
    last_statuses.push_back(completed(id, 0));
  }
  for (const auto& [shard, records] : shards) driver.write(shard_key(shard), encode_shard(records));
  driver.write(kManifestKey, encode_manifest({1, 0, {}}, {}));
  driver.write(machines_key(0), encode_machines({{"m-1", "10.1.0.1:9000", {}}}));
  driver.run_for(2'000);
  ASSERT_TRUE(driver.controller().leading());
  driver.heartbeat(heartbeat_of("m-1", 1, first_statuses));
  driver.run_for(2'000);

  driver.heartbeat(heartbeat_of("m-1", 2, last_statuses));
  const auto& job = *driver.controller().tables().jobs.at("job-1");
  ASSERT_EQ(job.record.phase, Phase::Done) << "the job is not done in memory";
  ASSERT_TRUE(job.dirty) << "one commit included the whole bitmap of job-1";
  Snapshot shard;
  shard.apply({shard_key(0), driver.kv_store().value_of(shard_key(0)), 1, false});
  ASSERT_TRUE(shard.jobs.at("job-100").done.test(0)) << "the commit did not write shard 0";
  EXPECT_EQ(shard.jobs.at("job-1").phase, Phase::Active);
  driver.run_for(3'000);
  EXPECT_EQ(driver.checkpoint().jobs.at("job-1").phase, Phase::Done);
}

}  // namespace
}  // namespace sailreel::sim
