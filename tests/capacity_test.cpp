// Tests with more work than capacity, bursts of small jobs, and machines or zones that are lost or
// partly unreachable: the rules hold, and no job is left waiting once the faults have ended.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

// Fault combination: one-task jobs arrive at four a second for minutes, a quarter of them are
// cancelled, and the leader is killed twice meanwhile.
TEST(Capacity, OneTaskJobsFourASecondForMinutes) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SimulationPlan plan = plan_without_faults(seed + 200);
    plan.length = 340'000;
    SimulatedRegion region(plan);
    region.run_until(1'000);
    region.poll_intensively(200'000);
    region.cancel_on_completion(0.05, 200'000);
    pcg32 random(seed);
    for (std::size_t n = 0; n < 640; ++n) {
      JobSpec spec = array_job(job_id(n), 1, 2 + random(12));
      spec.team = n % 3 == 0 ? "blue" : "red";
      spec.image = "img-" + std::to_string(random(3));
      region.submit(spec, random(4) == 0 ? region.now() + 500 + random(9'000) : 0);
      region.run_until(region.now() + 250);
      if (n == 200 || n == 420) region.kill(leader_index(region), n == 200 ? 400 : 6'000);
      if (n == 300) region.lose_write_responses(0.4, 8'000, seed % 2 == 0);
    }
    region.run_until(200'000);
    region.faults_ended();
    region.run();
    expect_rules_kept_and_nothing_left(region, seed);
  }
}

// Fault combination: more work than capacity, both urgent and not, over slow links. The largest
// arrays must start nevertheless.
TEST(Capacity, MoreWorkThanCapacityOverSlowLinks) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SimulationPlan plan = plan_without_faults(seed + 300);
    plan.length = 620'000;
    plan.loss = 0.03;
    plan.late_heartbeat_copies = 0.05;
    SimulatedRegion region(plan);
    region.run_until(1'000);
    region.submit(array_job("job-9000", 60, 8));  // red's quota limit lets 30 tasks run at once
    for (std::size_t n = 0; n < 90; ++n) {
      JobSpec spec = n % 3 == 0 ? service_job(job_id(n), 2)
                                : array_job(job_id(n), 1 + static_cast<std::uint32_t>(n % 8), 12);
      spec.team = n % 4 == 0 ? "blue" : "red";
      spec.priority = n % 3 == 0 ? static_cast<Priority>(n % 2) : Priority::Low;
      spec.image = "img-" + std::to_string(n % 4);
      region.submit(spec, spec.kind == JobKind::Service ? region.now() + 60'000 : 0);
      region.run_until(region.now() + 1'200);
      if (n % 30 == 20) region.slow_commands(10'000);
      if (n == 50) region.kill(leader_index(region), 1'000);
    }
    region.run_until(200'000);
    region.run();
    expect_rules_kept_and_nothing_left(region, seed);
  }
}

// Guards against launching expensive on-demand machines for an array that exceeds the guaranteed
// quota and may use spot instances: an array of a guest team once filled those machines in all
// zones. Such work must wait for spot instances. Where there are none, it must still progress, a
// few tasks at a time.
TEST(Capacity, WorkBeyondAGuaranteedQuotaWaitsForSpotInstances) {
  for (const bool spot_available : {true, false}) {
    SimulationPlan plan = plan_without_faults(800);
    plan.length = 300'000;
    SimulatedRegion region(plan);
    if (!spot_available)
      for (const char* zone : {"za", "zb"}) region.cloud().capacity[{zone, true}] = 0;
    region.run_until(1'000);
    std::size_t done = 0;
    region.on_completed = [&](const TaskKey&, const std::string&) { ++done; };
    region.submit(array_job("job-1", 80, 4));
    std::size_t most_on_demand = 0;
    for (Time time = 2'000; time < 200'000; time += 1'000) {
      region.run_until(time);
      // Stops counting before the remaining tasks fit into the guaranteed quota, because those may
      // use machines of any kind.
      if (done >= 60) continue;
      std::size_t on_demand = 0;
      for (const auto& [name, machine] : region.cloud().machines)
        on_demand += machine.up && !machine.spot ? 1 : 0;
      most_on_demand = std::max(most_on_demand, on_demand);
    }
    // The array may get one on-demand machine, and another one in place of a machine that boots
    // late. The 30 tasks within the quota limit would take four.
    EXPECT_LE(most_on_demand, 2U) << "spot instances available: " << spot_available;
    EXPECT_TRUE(region.checker().unfinished_arrays().empty())
        << "spot instances available: " << spot_available;
    region.run();
    EXPECT_TRUE(region.checker().violations().empty()) << region.checker().summary();
  }
}

// A guest team without a guaranteed quota submits one huge array and many one-task jobs. Work
// within another team's guaranteed quota must start as if the guest's jobs did not exist, and the
// guest's jobs must be served too.
TEST(Capacity, AGuestDoesNotDelayWorkWithinAGuaranteedQuota) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SimulationPlan plan = plan_without_faults(seed + 1'000);
    plan.length = 420'000;
    SimulatedRegion region(plan);
    region.run_until(1'000);
    JobSpec huge = array_job("job-9000", 300, 4);
    huge.team = "guest";
    huge.job_class = "huge";
    huge.priority = Priority::Low;
    region.submit(huge);
    for (std::size_t n = 300; n < 380; ++n) {
      JobSpec spec = array_job(job_id(n), 1, 5);
      spec.team = "guest";
      spec.job_class = "swarm";
      spec.priority = Priority::Low;
      region.submit(spec);
      region.run_until(region.now() + 400);
    }
    // Machines with cached images are up by now, and these requests fit into red's guaranteed
    // quota.
    std::map<std::string, Time> submitted_at, started_at;
    region.on_command = [&](const std::string&, const Command& command) {
      if (command.op == Command::Op::Start) started_at.try_emplace(command.key.job, region.now());
    };
    for (std::size_t n = 0; n < 6; ++n) {
      submitted_at[job_id(n)] = region.now();
      JobSpec spec = service_job(job_id(n), 2);
      spec.job_class = "serve";
      region.submit(spec);
      region.run_until(region.now() + 5'000);
    }
    region.run_until(region.now() + 30'000);
    // A start may have to wait for one machine to boot (12 s, sometimes 1.5 times as long), but
    // not for a second one.
    for (const auto& [id, submitted] : submitted_at) {
      ASSERT_TRUE(started_at.contains(id)) << seed << " " << id;
      EXPECT_LE(started_at[id] - submitted, 25'000) << seed << " " << id;
    }
    region.run();
    expect_rules_kept_and_nothing_left(region, seed);
  }
}

// Machines that never come up are terminated after three boot times and replaced by others
// meanwhile, so that the cost of unused machines stays bounded.
TEST(Capacity, MachinesThatNeverComeUpAreReplaced) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SimulationPlan plan = plan_without_faults(seed + 1'100);
    plan.length = 200'000;
    SimulatedRegion region(plan);
    region.cloud().one_in_never_up = 2;
    region.run_until(1'000);
    for (std::size_t n = 0; n < 10; ++n) region.submit(service_job(job_id(n), 2));
    Time longest_boot = 0;
    for (Time time = 2'000; time < 160'000; time += 1'000) {
      region.run_until(time);
      for (const auto& [name, machine] : region.cloud().machines)
        if (machine.never_boots) longest_boot = std::max(longest_boot, time - machine.launched_at);
    }
    // The bound is three boot times of 12 s, plus a lease and a call to the cloud.
    EXPECT_GT(longest_boot, 30'000) << seed << ": no machine failed to come up";
    EXPECT_LE(longest_boot, 60'000) << seed;
    const Tables& tables = region.controller(leader_index(region))->tables();
    for (const auto& [id, job] : tables.jobs) EXPECT_EQ(job->queued, 0U) << seed << " " << id;
    region.run();
    expect_rules_kept_and_nothing_left(region, seed);
  }
}

// Jobs that fail on every machine until their users cancel them must neither cause the termination
// of healthy machines as faulty, nor take capacity from others by restarting at once. A machine on
// which every task fails must still be terminated.
TEST(Capacity, FailingJobsAreDistinguishedFromFaultyMachines) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SimulationPlan plan = plan_without_faults(seed + 700);
    plan.length = 260'000;
    SimulatedRegion region(plan);
    region.run_until(1'000);
    submit_mixed_jobs(region, 0, 12, seed);
    region.run_until(45'000);
    const auto busy_before = busy_machines(region);
    const std::set<std::string> healthy(busy_before.begin(), busy_before.end());
    std::size_t failing_starts = 0;
    region.on_command = [&](const std::string&, const Command& command) {
      const bool failing = command.key.job.starts_with("job-3") && command.key.job.size() == 6;
      failing_starts += command.op == Command::Op::Start && failing ? 1 : 0;
    };
    for (std::size_t n = 30; n < 34; ++n)
      region.submit_failing(n % 2 == 0 ? service_job(job_id(n), 2) : array_job(job_id(n), 8, 20),
                            125'000);
    region.run_until(125'000);
    const Tables& tables = region.controller(leader_index(region))->tables();
    for (const auto& name : healthy)
      if (const auto it = tables.machines.find(name); it != tables.machines.end()) {
        EXPECT_FALSE(it->second->cordoned && it->second->cordon_cause == CordonCause::Faulty)
            << seed << " " << name;
      }
    // 20 tasks in 80 s: each task fails once at first, and after that each job tries one task at a
    // time with increasing delays.
    EXPECT_LE(failing_starts, 70U) << seed;
    EXPECT_GT(failing_starts, 20U) << seed;
    region.run_until(140'000);
    for (std::size_t n = 30; n < 34; ++n)
      EXPECT_TRUE(tables.finished.contains(job_id(n))) << seed << " " << n;
    const auto busy = busy_machines(region);
    ASSERT_FALSE(busy.empty());
    const std::string& faulty_machine = busy.front();
    region.make_faulty(faulty_machine);
    for (std::size_t n = 40; n < 56; ++n) {
      region.submit(array_job(job_id(n), 2, 6));
      region.run_until(region.now() + 2'000);
    }
    region.run_until(215'000);
    EXPECT_FALSE(
        region.controller(leader_index(region))->tables().machines.contains(faulty_machine))
        << seed;
    EXPECT_TRUE(region.checker().unfinished_arrays().empty()) << seed;
    EXPECT_TRUE(region.checker().violations().empty()) << seed << " " << region.checker().summary();
  }
}

// Guards against changing the attempts of a machine while its heartbeat is processed: errors in a
// heartbeat that showed the machine to be faulty had it drained at once, which moved the attempts
// that the rest of the heartbeat is compared with. The fault was found by code review, and no seed
// has reproduced a failure.
TEST(Capacity, AMachineFoundFaultyWhileItsHeartbeatIsProcessed) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    SimulationPlan plan = plan_without_faults(seed + 900);
    plan.length = 300'000;
    SimulatedRegion region(plan);
    region.run_until(1'000);
    for (std::size_t n = 0; n < 14; ++n) region.submit(service_job(job_id(n), 2));
    region.run_until(45'000);
    for (int round = 0; round < 2; ++round) {
      const auto busy = busy_machines(region);
      ASSERT_FALSE(busy.empty());
      region.make_faulty(busy[seed % busy.size()]);
      for (std::size_t n = 0; n < 8; ++n) {
        region.submit(array_job(job_id(100 + static_cast<std::size_t>(round) * 10 + n), 2, 6));
        region.run_until(region.now() + 130);
      }
      region.run_until(region.now() + 12'000);
    }
    region.run();
    EXPECT_TRUE(region.checker().violations().empty()) << seed << " " << region.checker().summary();
    EXPECT_TRUE(region.checker().unfinished_arrays().empty()) << seed;
  }
}

// Fault combination: services and arrays that are bound to one zone lose machines in that zone.
TEST(Capacity, JobsBoundToAZoneLoseMachines) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    SimulationPlan plan = plan_without_faults(seed + 400);
    plan.length = 300'000;
    SimulatedRegion region(plan);
    region.run_until(1'000);
    region.poll_intensively(plan.length);
    for (std::size_t n = 0; n < 14; ++n) {
      JobSpec spec = n % 2 == 0 ? service_job(job_id(n), 3) : array_job(job_id(n), 5, 25);
      spec.team = n % 3 == 0 ? "blue" : "red";
      if (n % 4 < 2)
        spec.one_zone = true;
      else
        spec.zone = n % 8 < 4 ? "za" : "zb";
      if (n == 0) spec.spread = !(spec.one_zone = false);
      region.submit(spec);
    }
    region.run_until(40'000);
    const auto busy = busy_machines(region);
    for (std::size_t index = 0; index < busy.size(); index += 2) {
      if (index % 4 == 0)
        region.kill_machine(busy[index]);
      else
        region.preempt_machine(busy[index], 5'000);
      region.run_until(region.now() + 1'000);
    }
    if (seed % 2 == 0) region.kill(leader_index(region), 3'000);
    region.run_until(120'000);
    region.faults_ended();
    for (std::size_t n = 0; n < 14; n += 2) region.cancel(job_id(n));
    region.run();
    expect_rules_kept_and_nothing_left(region, seed);
  }
}

// Fault combination: a zone with workers and a controller is partitioned for longer than a lease,
// and jobs on both sides are cancelled.
TEST(Capacity, AZonePartitionedForLongerThanALease) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    SimulationPlan plan = plan_without_faults(seed + 500);
    plan.length = 340'000;
    plan.cancel_s = seed % 2 == 0 ? 12 : 30;
    SimulatedRegion region(plan);
    region.run_until(1'000);
    region.poll_intensively(plan.length);
    submit_mixed_jobs(region, 0, 16, seed);
    region.run_until(50'000);
    region.cut_zone(seed % 2 == 0 ? "za" : "zb", 13'000 + static_cast<Time>(seed) * 4'000,
                    seed % 3 == 0);
    for (int round = 0; round < 4; ++round) {
      region.cancel_running_jobs(2, 0);
      region.run_until(region.now() + 4'000);
      if (round == 1 && seed > 3) region.kill(leader_index(region), 4'000);
    }
    region.run_until(150'000);
    region.faults_ended();
    region.run();
    expect_rules_kept_and_nothing_left(region, seed);
  }
}

// Fault combination: workers can't open connections to any controller, while direct commands still
// reach them. Since such a machine responds to probes, it was repeatedly considered usable, and
// waiting tasks were placed on it. A start command may only be sent with the response to a
// machine's own heartbeat.
TEST(Capacity, AMachineThatReachesNoControllerGetsNoWork) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SimulationPlan plan = plan_without_faults(seed + 600);
    plan.length = 260'000;
    SimulatedRegion region(plan);
    region.run_until(1'000);
    submit_mixed_jobs(region, 0, 8, seed);
    region.run_until(50'000);
    std::set<std::string> blocked_machines;
    for (const auto& machine : busy_machines(region))
      if (blocked_machines.size() < 2) blocked_machines.insert(machine);
    for (const auto& machine : blocked_machines) region.block_outbound(machine, 70'000);
    if (seed % 2 == 0) region.kill(leader_index(region), 3'000);
    region.run_until(58'000);  // these machines have missed heartbeats by now
    for (std::size_t n = 20; n < 28; ++n) region.submit(service_job(job_id(n), 1), 140'000);
    std::size_t reserved = 0;
    for (Time time = 59'000; time < 100'000; time += 500) {
      region.run_until(time);
      if (region.leader() < 0) continue;
      for (const auto& [name, machine] : region.controller(leader_index(region))->tables().machines)
        if (blocked_machines.contains(name))
          for (const TaskAttempt& attempt : machine->attempts)
            reserved += attempt.state == AttemptState::Reserved && attempt.key.job >= "job-20" &&
                                attempt.key.job <= "job-27" && attempt.key.job.size() == 6
                            ? 1
                            : 0;
    }
    EXPECT_EQ(reserved, 0U) << "seed " << seed;
    region.run_until(160'000);
    region.faults_ended();
    region.run();
    expect_rules_kept_and_nothing_left(region, seed);
  }
}

}  // namespace
}  // namespace sailreel::sim
