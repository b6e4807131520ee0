// Reports that the network holds back for longer than a lease: they arrive after their machine's
// tasks have ended and were placed anew, and say nothing of the present.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

JobSpec one_zone_array(const std::string& id, std::uint32_t tasks, double run_s) {
  JobSpec s = array(id, tasks, run_s);
  s.one_zone = true;
  s.priority = Priority::Low;
  return s;
}

/// The zones in which the leader knows tasks of the job.
std::size_t zones_known(const World& world, const std::string& job) {
  const auto& jobs = world.core(leader_of(world))->tables().jobs;
  const auto found = jobs.find(job);
  return found == jobs.end() ? 0 : found->second->per_zone.size();
}

// Incident: an array that is bound to one zone lost all its machines to a cut of the network. Some
// of its tasks were placed in another zone, the others waited. At the end of the cut the machines'
// reports of before arrived, and the array was taken to be in both zones.
TEST(HeldReports, AnArrayBoundToAZoneIsNotTakenToBeInTwo) {
  DayPlan plan = quiet(3);
  plan.scale = 2;
  World world(plan);
  world.run_until(1'000);
  // All of one zone but a few places is taken; the array goes to the other.
  for (std::size_t n = 0; n < 43; ++n) {
    JobSpec s = service(job_id(n), 2);
    s.zone = "zb";
    s.spot = true;
    s.team = n % 5 < 3 ? "red" : "blue";
    world.submit(s);
  }
  world.submit(one_zone_array("job-900", 40, 150));
  world.run_until(50'000);
  const int leader = world.leader();
  ASSERT_GE(leader, 0);
  const Core* core = world.core(static_cast<std::size_t>(leader));
  const Job& job = *core->tables().jobs.at("job-900");
  ASSERT_GT(job.running, 20U);
  ASSERT_TRUE(job.per_zone.contains("za"));
  const Time span = 22'000;
  for (const auto& [name, m] : core->tables().machines)
    if (m->zone == "za") cut_off(world, name, span, true);
  world.run_until(world.now() + span);
  ASSERT_EQ(world.leader(), leader);
  ASSERT_TRUE(job.per_zone.contains("zb")) << "none of it was placed anew";
  ASSERT_GT(job.queued, 0U) << "none of it waits";
  for (const Time until = world.now() + 8'000; world.now() < until;) {
    world.run_until(world.now() + 1);
    ASSERT_LE(zones_known(world, "job-900"), 1U) << "at " << world.now();
  }
  world.run();
  EXPECT_TRUE(world.checker().violations().empty()) << world.checker().summary();
}

// Machines lose the network again and again, each time for longer than a lease, and what they sent
// arrives when they are back; meanwhile leaders end. Arrays that are bound to one zone are placed
// anew all the time.
void play_machine_cuts(std::uint64_t seed) {
  DayPlan plan = quiet(seed * 31);
  plan.length = 420'000;
  plan.scale = 2;
  World world(plan);
  world.run_until(1'000);
  pcg32 random(seed);
  std::size_t next = 0;
  const auto submit_arrays = [&](std::size_t count) {
    for (std::size_t n = 0; n < count; ++n) {
      JobSpec s = one_zone_array(job_id(next++), 8 + random(22), 10 + random(25));
      s.team = random(3) == 0 ? "blue" : "red";
      world.submit(s);
    }
  };
  submit_arrays(12);
  world.run_until(40'000);
  for (int round = 0; round < 5; ++round) {
    submit_arrays(3);
    const Time span = ms(plan.lease_s) * (13 + random(9)) / 10;
    world.cut_machines(0.3 + 0.1 * random(5), span, true);
    if (random(2) == 0)
      world.at(world.now() + random(static_cast<std::uint32_t>(span)),
               [&world] { world.kill(leader_of(world), 4'000); });
    world.run_until(world.now() + span + 4'000 + random(12'000));
  }
  world.calm();
  world.run();
  expect_nothing_left(world, seed);
}

TEST(HeldReports, DaysOfMachineCuts) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) play_machine_cuts(seed);
}

}  // namespace
}  // namespace sailreel::sim
