// Responses to users when several faults coincide: no controller may report an older state of a job
// than another controller has reported before.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

void query_all_controllers(SimulatedRegion& region, std::size_t jobs, Time from, Time until,
                           Time interval) {
  for (Time when = from; when < until; when += interval) {
    region.run_until(when);
    for (std::size_t job = 0; job < jobs; ++job)
      for (std::size_t node = 0; node < 3; ++node)
        region.send_request(job_id(job), node, RequestOp::Query);
  }
}

// A compare-and-swap is carried out at once and only its response is lost, while other controllers
// read what it wrote and users ask at all controllers. Guards against a leader that goes on
// reporting a job as running after a controller without a path to the leader has read from the
// checkpoint, and reported, that the job is over.
TEST(Answers, AJobIsNotReportedInItsOldStateWhileACommitIsInDoubt) {
  constexpr std::size_t kJobs = 12;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    SimulationPlan plan = plan_without_faults(seed);
    plan.length = 70'000;
    SimulatedRegion region(plan);
    region.run_until(1'000);
    for (std::size_t n = 0; n < kJobs; ++n)
      region.submit(n % 2 == 0 ? service_job(job_id(n), 1) : array_job(job_id(n), 1, 28));
    region.run_until(40'000);
    ASSERT_GE(region.leader(), 0);
    region.cut_peers(leader_index(region), 12'000, false);
    query_all_controllers(region, kJobs, 40'000, 42'000, 200);
    region.lose_write_responses(0.9, 9'000, true);
    for (std::size_t n = 0; n < kJobs; n += 2) region.cancel(job_id(n));
    query_all_controllers(region, kJobs, 42'000, 51'000, 60);
    region.run();
    EXPECT_TRUE(region.checker().violations().empty()) << seed << " " << region.checker().summary();
    EXPECT_EQ(region.checker().jobs_over(), kJobs) << seed;
  }
}

// A burst of cancellations is larger than one checkpoint commit. A job's change that has to wait
// for the next commit must be neither written nor reported by other controllers before that commit,
// even if the job's shard is written because of other jobs.
TEST(Answers, AShardIsWrittenAsCommittedNotAsInMemory) {
  constexpr std::size_t kJobs = 90;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SimulationPlan plan = plan_without_faults(seed + 20);
    plan.length = 90'000;
    SimulatedRegion region(plan);
    region.run_until(1'000);
    for (std::size_t n = 0; n < kJobs; ++n) {
      JobSpec spec = service_job(job_id(n), 1);
      spec.need = {0.1, 0.05, 1};
      region.submit(spec);
    }
    region.run_until(40'000);
    region.cut_peers(leader_index(region), 20'000, false);
    query_all_controllers(region, 1, 40'000, 42'000, 500);
    // All jobs are cancelled at once while most responses of the key-value store are lost, so that
    // a commit takes a second or two.
    region.lose_write_responses(0.7, 15'000, true);
    for (std::size_t n = 0; n < kJobs; ++n) region.cancel(job_id(n));
    query_all_controllers(region, kJobs, 42'000, 56'000, 350);
    region.run();
    EXPECT_TRUE(region.checker().violations().empty()) << seed << " " << region.checker().summary();
    EXPECT_EQ(region.checker().jobs_over(), kJobs) << seed;
  }
}

class ConsistentAnswers : public ::testing::TestWithParam<Scenario> {};

// Users query all controllers within milliseconds, and repeat the submission, right after a job was
// accepted, has ended or was reported as cancelled. They cancel jobs immediately, as the last task
// ends, and after the job is over; some of their submissions can't run. No controller may report an
// older state than another has reported.
TEST_P(ConsistentAnswers, NoControllerReportsAnOlderStateThanAnother) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    SimulationPlan plan = plan_without_faults(seed * 3 + 100);
    plan.length = 260'000;
    SimulatedRegion region(plan);
    region.run_until(1'000);
    region.poll_intensively(plan.length);
    region.send_unusual_requests(120'000);
    region.cancel_on_completion(0.4, 120'000);
    submit_mixed_jobs(region, 0, 10, seed);
    std::size_t next_job = 10;
    for (int round = 0; round < 5; ++round) {
      for (int k = 0; k < 10; ++k, ++next_job)
        region.submit(
            array_job(job_id(next_job), 1 + static_cast<std::uint32_t>(k % 2), 2 + k % 4));
      region.run_until(region.now() + 3'000);
      GetParam().run(region, seed);
      // Queries and repeated submissions arrive while tasks end.
      for (int k = 0; k < 60; ++k) {
        region.run_until(region.now() + 100);
        for (std::size_t n = next_job - 10; n < next_job; ++n)
          region.send_request(job_id(n), (n + static_cast<std::size_t>(k)) % 3,
                              k % 9 == 0 ? RequestOp::Submit : RequestOp::Query);
      }
      region.run_until(region.now() + 9'000);
    }
    region.run_until(150'000);
    region.faults_ended();
    region.run();
    expect_rules_kept_and_nothing_left(region, seed);
  }
}

const Scenario kScenarios[] = {
    {"WithoutOtherFaults", [](SimulatedRegion&, std::uint64_t) {}},
    {"WhileResponsesOfTheKeyValueStoreAreLost",
     [](SimulatedRegion& region, std::uint64_t) { region.lose_write_responses(0.5, 6'000, true); }},
    {"WhileTheLeaderHasLostItsPeersAndItsWritesAreDelayed",
     [](SimulatedRegion& region, std::uint64_t seed) {
       region.cut_peers(leader_index(region), 6'000, seed % 2 == 0);
       region.lose_write_responses(0.5, 6'000, seed % 3 == 0);
     }},
    {"WhileTheLeaderIsIsolatedWithItsWorkersAndUsers",
     [](SimulatedRegion& region, std::uint64_t seed) {
       region.isolate(leader_index(region), 8'000, seed % 2 == 0);
       region.cancel_running_jobs(3, 0);
     }},
    {"WhileTheKeyValueStoreRejectsTheLeader",
     [](SimulatedRegion& region, std::uint64_t) {
       region.reject_kv_requests(leader_index(region), 5'000);
       region.cancel_running_jobs(3, 0);
     }},
    {"WhileTheLeaderIsPaused",
     [](SimulatedRegion& region, std::uint64_t seed) {
       region.freeze(leader_index(region), 1'000 + static_cast<Time>(seed) * 500);
     }},
    {"WhileAPeerIsPausedAndTheLeaderIsRejected",
     [](SimulatedRegion& region, std::uint64_t seed) {
       region.freeze((leader_index(region) + 1) % 3, 1'000 + static_cast<Time>(seed) * 500);
       region.reject_kv_requests(leader_index(region), 4'000);
     }},
    {"WhileTheLeaderIsKilled",
     [](SimulatedRegion& region, std::uint64_t seed) {
       region.kill(leader_index(region), seed % 2 == 0 ? 300 : 5'000);
     }},
};

INSTANTIATE_TEST_SUITE_P(Scenarios, ConsistentAnswers, ::testing::ValuesIn(kScenarios),
                         scenario_name);

// A controller passes on a response of the leader only while the response is valid: neither after
// the time that the response carries, counted from when the request was sent, nor after the
// controller's own timeout. This holds however long the response took, and also if the controller
// was paused with the response in its buffer.
TEST(Answers, AnExpiredForwardedResponseIsNotPassedOn) {
  const auto is_passed_on = [](Time after, std::optional<std::uint32_t> valid_ms) {
    Controller controller(sample_settings(0), Options{}, 1);
    Time now = 1'000'000;
    const auto step = [&](Input input) { return controller.step({now, 0}, std::move(input)); };
    step(Tick{});
    PeerMessageReceived heartbeat;
    heartbeat.message.kind = PeerMessage::Kind::Heartbeat;
    heartbeat.message.heartbeat.node = "node-1";
    heartbeat.message.heartbeat.epoch = 3;
    heartbeat.message.heartbeat.leading = true;
    heartbeat.message.heartbeat.incarnation = 9;
    step(heartbeat);
    std::uint64_t call = 0;
    for (const Action& action :
         step(UserRequest{{RequestSource::Kind::Local, 5, 0}, RequestOp::Query, "job-1", ""}))
      if (const auto* peer = std::get_if<SendToPeer>(&action)) call = peer->message.request.call_id;
    EXPECT_NE(call, 0U);
    now += after;
    PeerMessageReceived response;
    response.message.kind = PeerMessage::Kind::Response;
    response.message.response = {call, 200, 0, valid_ms, "{}"};
    bool passed_on = false;
    for (const Action& action : step(response))
      if (const auto* answer = std::get_if<Response>(&action)) passed_on = answer->status == 200;
    return passed_on;
  };
  EXPECT_TRUE(is_passed_on(5, 2'000));
  EXPECT_TRUE(is_passed_on(5, {}));
  EXPECT_FALSE(is_passed_on(150, 100));
  EXPECT_FALSE(is_passed_on(5, 0));
  EXPECT_FALSE(is_passed_on(4'000, 60'000));
}

// The contents of an unreadable checkpoint value are unknown, not missing. Queries about jobs that
// it may hold get 503, and submissions aren't accepted, since they may repeat such a job. Jobs that
// could be read are still served.
TEST(Answers, AnUnreadableValueIsUnknownNotMissing) {
  SimulationPlan plan = plan_without_faults(31);
  SimulatedRegion region(plan);
  region.run_until(1'000);
  constexpr std::size_t kJobs = 60;
  for (std::size_t n = 0; n < kJobs; ++n) {
    JobSpec spec = service_job(job_id(n), 1);
    spec.need = {0.1, 0.05, 1};
    region.submit(spec);
  }
  region.run_until(40'000);
  ASSERT_TRUE(region.kv_store().corrupt("sr/s/000000"));
  region.kill(leader_index(region), 6'000);
  region.run_until(50'000);
  std::map<int, int> polls, submissions;
  for (std::size_t n = 0; n < kJobs; ++n)
    for (std::size_t node = 0; node < 3; ++node) {
      region.send_request_then(job_id(n), node, RequestOp::Query,
                               [&](int status) { ++polls[status]; });
      region.send_request_then(job_id(n), node, RequestOp::Submit,
                               [&](int status) { ++submissions[status]; });
    }
  region.run_until(54'000);
  EXPECT_EQ(polls[404], 0);
  EXPECT_GT(polls[503], 0);
  EXPECT_GT(polls[200], 0);
  EXPECT_EQ(submissions[201], 0);
  EXPECT_EQ(region.kv_store().value_of("sr/s/000000"), "gibberish")
      << "the unreadable value was overwritten";
  region.run();
  EXPECT_TRUE(region.checker().violations().empty()) << region.checker().summary();
}

// When two zones are partitioned from each other, a controller that can't reach the leader forwards
// submissions and cancellations to one that can, and users get their responses as usual.
TEST(Answers, AControllerWithoutAPathToTheLeaderUsesAPeer) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    SimulatedRegion region(plan_without_faults(seed));
    region.run_until(20'000);
    const std::size_t leader = leader_index(region);
    const std::size_t partitioned = (leader + 1 + seed % 2) % 3;
    region.cut(node_name(leader), node_name(partitioned), 20'000, seed % 3 == 0);
    region.run_until(23'000);
    int submitted = 0, cancelled = 0;
    region.submit_at(service_job("job-1", 1), partitioned,
                     [&submitted](int status) { submitted = status; });
    region.run_until(24'000);
    EXPECT_EQ(submitted, 201) << seed;
    region.send_request_then("job-1", partitioned, RequestOp::Cancel,
                             [&cancelled](int status) { cancelled = status; });
    region.run_until(25'000);
    EXPECT_EQ(cancelled, 200) << seed;
    EXPECT_EQ(leader_index(region), leader);
    EXPECT_TRUE(region.checker().violations().empty()) << region.checker().summary();
  }
}

}  // namespace
}  // namespace sailreel::sim
