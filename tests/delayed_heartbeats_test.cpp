// Heartbeats that the network delays for longer than a lease. They arrive after their machine's
// tasks have ended and were rescheduled, and must not be taken for the present state.
#include <gtest/gtest.h>

#include <cstdlib>

#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

JobSpec one_zone_array(const std::string& id, std::uint32_t tasks, double run_s) {
  JobSpec spec = array_job(id, tasks, run_s);
  spec.one_zone = true;
  spec.priority = Priority::Low;
  return spec;
}

/// The number of zones in which the leader knows tasks of the job.
std::size_t known_zone_count(const SimulatedRegion& region, const std::string& job) {
  const auto& jobs = region.controller(leader_index(region))->tables().jobs;
  const auto found = jobs.find(job);
  return found == jobs.end() ? 0 : found->second->per_zone.size();
}

// Guards against an array that is bound to one zone being considered to be in two, as in an
// incident (docs/incidents/held-reports.md). A network partition cuts off all machines of the
// array; some of its tasks are placed in another zone, the others wait. When the partition ends,
// earlier heartbeats of the machines arrive.
TEST(DelayedHeartbeats, AnArrayBoundToOneZoneIsNeverFoundInTwo) {
  SimulationPlan plan = plan_without_faults(3);
  plan.scale = 2;
  SimulatedRegion region(plan);
  region.run_until(1'000);
  // Services take all but a few places of zone zb, so the array is placed in zone za.
  for (std::size_t n = 0; n < 43; ++n) {
    JobSpec spec = service_job(job_id(n), 2);
    spec.zone = "zb";
    spec.spot = true;
    spec.team = n % 5 < 3 ? "red" : "blue";
    region.submit(spec);
  }
  region.submit(one_zone_array("job-900", 40, 150));
  region.run_until(50'000);
  const int leader = region.leader();
  ASSERT_GE(leader, 0);
  const Controller* controller = region.controller(static_cast<std::size_t>(leader));
  const Job& job = *controller->tables().jobs.at("job-900");
  ASSERT_GT(job.running, 20U);
  ASSERT_TRUE(job.per_zone.contains("za"));
  const Time span = 22'000;
  for (const auto& [name, machine] : controller->tables().machines)
    if (machine->zone == "za") cut_off(region, name, span, true);
  region.run_until(region.now() + span);
  ASSERT_EQ(region.leader(), leader);
  ASSERT_TRUE(job.per_zone.contains("zb")) << "no task of job-900 was rescheduled in zb";
  ASSERT_GT(job.queued, 0U) << "no task of job-900 is queued";
  for (const Time until = region.now() + 8'000; region.now() < until;) {
    region.run_until(region.now() + 1);
    ASSERT_LE(known_zone_count(region, "job-900"), 1U) << "at " << region.now();
  }
  region.run();
  EXPECT_TRUE(region.checker().violations().empty()) << region.checker().summary();
}

/// Options of a simulated day on which machines are cut off at seeded times.
struct MachineCutOptions {
  /// Jobs of all kinds: arrays bound to a zone, spread services, gangs.
  bool mixed_jobs = false;
  /// A second fault in each round: of heartbeats, machines, zones, controllers or the key-value
  /// store.
  bool more_faults = false;
};

JobSpec random_job(const std::string& id, bool mixed, pcg32& random) {
  JobSpec spec = one_zone_array(id, 8 + random(22), 10 + random(25));
  if (mixed && random(3) == 0) {
    spec = service_job(id, 2 + random(5));
    spec.spread = random(2) == 0;
    spec.one_zone = !spec.spread;
  } else if (mixed && random(3) == 0) {
    spec = gang_job(id, 2 + random(4), 2, 10 + random(10));
    spec.one_zone = random(2) == 0;
  }
  spec.team = random(3) == 0 ? "blue" : "red";
  return spec;
}

void inject_second_fault(SimulatedRegion& region, pcg32& random, Time span) {
  const std::size_t leader = leader_index(region);
  const auto for_some_machines = [&](const std::function<void(const std::string&)>& inject) {
    for (const std::string& machine : region.machines_up())
      if (random(4) == 0) inject(machine);
  };
  switch (random(9)) {
    case 0:
      return region.delay_heartbeats(0.4, span);
    case 1:
      return region.keep_heartbeats_for_next_leader(0.4, span);
    case 2:
      return for_some_machines([&](const auto& machine) { region.block_inbound(machine, span); });
    case 3:
      return for_some_machines([&](const auto& machine) { region.block_outbound(machine, span); });
    case 4:
      return for_some_machines([&](const auto& machine) { region.hang_machine(machine, span); });
    case 5:
      return region.cut_zone(random(2) == 0 ? "za" : "zb", span, true);
    case 6:
      return region.isolate(leader, span, true);
    case 7:
      return region.slow_commands(span);
    default:
      return region.reject_kv_requests(leader, span);
  }
}

// Machines are cut off from the network again and again, each time for longer than a lease, and
// what they sent arrives when the cut ends; meanwhile leaders are killed. Arrays that are bound to
// one zone are rescheduled all the time.
void simulate_machine_cuts(std::uint64_t seed, const MachineCutOptions& options) {
  SimulationPlan plan = plan_without_faults(seed * 31);
  plan.length = 480'000;
  plan.scale = 2;
  SimulatedRegion region(plan);
  region.run_until(1'000);
  pcg32 random(seed);
  std::size_t next_job = 0;
  std::vector<std::string> services;
  const auto submit_jobs = [&](std::size_t count) {
    for (std::size_t n = 0; n < count; ++n) {
      const JobSpec spec = random_job(job_id(next_job++), options.mixed_jobs, random);
      if (spec.kind == JobKind::Service) services.push_back(spec.id);
      region.submit(spec);
    }
  };
  submit_jobs(12);
  region.run_until(40'000);
  for (int round = 0; round < 5; ++round) {
    submit_jobs(3);
    const Time span = ms(plan.lease_s) * (13 + random(9)) / 10;
    const auto random_time = [&] {
      return region.now() + random(static_cast<std::uint32_t>(span));
    };
    region.cut_machines(0.3 + 0.1 * random(5), span, true);
    if (random(2) == 0)
      region.schedule(random_time(), [&region] { region.kill(leader_index(region), 4'000); });
    if (options.more_faults)
      region.schedule(random_time(),
                      [&region, &random, span] { inject_second_fault(region, random, span); });
    region.run_until(region.now() + span + 4'000 + random(12'000));
  }
  region.run_until(region.now() + 3 * ms(plan.lease_s));
  region.faults_ended();
  for (const std::string& id : services) region.cancel(id);
  region.run();
  expect_rules_kept_and_nothing_left(region, seed);
}

TEST(DelayedHeartbeats, DaysOfMachineCuts) {
  for (std::uint64_t seed = 1; seed <= seed_count(12); ++seed) simulate_machine_cuts(seed, {});
}

TEST(DelayedHeartbeats, DaysOfMachineCutsAndOtherFaults) {
  for (std::uint64_t seed = 1; seed <= seed_count(24); ++seed)
    simulate_machine_cuts(seed, {.mixed_jobs = true, .more_faults = true});
}

}  // namespace
}  // namespace sailreel::sim
