// Helpers for scenario tests: sample jobs, plans without faults, and checks at the end.
#pragma once

#include <gtest/gtest.h>

#include <cstdlib>

#include "sim/simulated_region.hpp"

namespace sailreel::sim {

/// A plan of two minutes without planned jobs or faults.
inline SimulationPlan plan_without_faults(std::uint64_t seed) {
  SimulationPlan plan;
  plan.seed = seed;
  plan.jobs = 0;
  plan.faults = false;
  plan.length = 120'000;
  return plan;
}

/// The same, with machines that boot within `boot_ms` and without lost messages.
inline SimulationPlan plan_with_short_boots(std::uint64_t seed, Time boot_ms) {
  SimulationPlan plan = plan_without_faults(seed);
  plan.boot_ms = boot_ms;
  plan.loss = 0;
  return plan;
}

/// Returns the number of seeds to simulate: `default_count` in CI, or the value of
/// SAILREEL_SOAK_DAYS in a long run that is started manually.
inline std::uint64_t seed_count(std::uint64_t default_count) {
  const char* soak_days = std::getenv("SAILREEL_SOAK_DAYS");
  return soak_days == nullptr ? default_count : std::strtoull(soak_days, nullptr, 10);
}

/// An array whose tasks need one GPU each, run for half to one and a half times `run_s`, and may
/// run on spot machines.
inline JobSpec array_job(const std::string& id, std::uint32_t tasks, double run_s) {
  JobSpec spec;
  spec.id = id;
  spec.job_class = "batch";
  spec.team = "red";
  spec.tasks = tasks;
  spec.need = {2, 1, 10};
  spec.image = "img-0";
  spec.image_gb = 10;
  spec.estimate_s = run_s;
  spec.spot = true;
  return spec;
}

/// A production service whose replicas need one GPU each and don't run on spot machines.
inline JobSpec service_job(const std::string& id, std::uint32_t tasks) {
  JobSpec spec = array_job(id, tasks, 0);
  spec.kind = JobKind::Service;
  spec.priority = Priority::Production;
  spec.spot = false;
  return spec;
}

/// A gang whose tasks need `cpus` CPUs each. A machine of the sample deployment has 16.
inline JobSpec gang_job(const std::string& id, std::uint32_t tasks, double cpus, double run_s) {
  JobSpec spec = array_job(id, tasks, run_s);
  spec.kind = JobKind::Gang;
  spec.job_class = "gang";
  spec.priority = Priority::Normal;
  spec.need = {cpus, 0, 4};
  spec.image_gb = 1;
  spec.spot = false;
  spec.checkpoint_s = 4;
  spec.save_s = 1;
  return spec;
}

/// A named case of a parameterized test: `run` runs the middle part of a simulation.
struct Scenario {
  const char* name;
  std::function<void(SimulatedRegion&, std::uint64_t seed)> run;
  /// `SimulationPlan::boot_ms` of the simulation.
  Time boots_ms = 0;
};
// NOLINTNEXTLINE(readability-identifier-naming): GoogleTest looks for this name
inline void PrintTo(const Scenario& scenario, std::ostream* out) { *out << scenario.name; }
inline std::string scenario_name(const ::testing::TestParamInfo<Scenario>& info) {
  return info.param.name;
}

inline std::string job_id(std::size_t number) { return "job-" + std::to_string(number); }

/// Submits `count` jobs, numbered from `first`, within half a minute: services that keep running,
/// and arrays of one to three tasks with run times that differ widely. The jobs belong to two
/// teams; some are bound to a zone or spread over zones.
inline void submit_mixed_jobs(SimulatedRegion& region, std::size_t first, std::size_t count,
                              std::uint64_t seed) {
  pcg32 random(seed * 77 + first);
  for (std::size_t number = first; number < first + count; ++number) {
    JobSpec spec = number % 2 == 0 ? service_job(job_id(number), 1 + random(2))
                                   : array_job(job_id(number), 1 + random(3), 6 + random(50));
    spec.team = number % 3 == 0 ? "blue" : "red";
    spec.image = "img-" + std::to_string(random(3));
    spec.priority = spec.kind == JobKind::Array ? Priority::Low : static_cast<Priority>(random(2));
    spec.spread = spec.kind == JobKind::Service && random(2) == 0;
    spec.one_zone = !spec.spread && random(4) == 0;
    if (!spec.spread && random(6) == 0) spec.zone = random(2) == 0 ? "za" : "zb";
    region.submit(spec);
    region.run_until(region.now() + random(static_cast<std::uint32_t>(30'000 / count)));
  }
}

/// The node that leads; the first node if none does.
inline std::size_t leader_index(const SimulatedRegion& region) {
  return static_cast<std::size_t>(std::max(0, region.leader()));
}

/// Checks, at the end of a simulation, that no rule was broken and that all jobs that end by
/// themselves are over.
inline void expect_rules_kept_and_nothing_left(SimulatedRegion& region, std::uint64_t seed) {
  region.checker().check_end_and_service();
  EXPECT_TRUE(region.checker().violations().empty())
      << "seed " << seed << " " << region.checker().summary();
  EXPECT_TRUE(region.checker().unfinished_arrays().empty())
      << "seed " << seed << " " << region.checker().unfinished_arrays().front();
  EXPECT_EQ(region.malformed_responses(), 0U);
  EXPECT_EQ(region.kv_store().over_limit_requests, 0U);
}

/// Ends a simulation with `submit_mixed_jobs`: no fault is injected any more, every fourth job is
/// cancelled, and after 160 s all jobs must have been served.
inline void expect_all_served(SimulatedRegion& region, std::size_t jobs, std::uint64_t seed) {
  region.faults_ended();
  for (std::size_t n = 0; n < jobs; n += 4) region.cancel(job_id(n));
  region.run_until(region.now() + 160'000);
  expect_rules_kept_and_nothing_left(region, seed);
}

/// The machines that hold tasks according to the present leader, if it has accepted a heartbeat
/// from them in its epoch.
inline std::vector<std::string> busy_machines(const SimulatedRegion& region) {
  std::vector<std::string> out;
  if (region.leader() < 0) return out;
  for (const auto& [name, machine] : region.controller(leader_index(region))->tables().machines)
    if (machine->heard_in_epoch && !machine->empty()) out.push_back(name);
  return out;
}

/// Cuts a machine off from every controller.
inline void cut_off(SimulatedRegion& region, const std::string& machine, Time for_ms, bool hold) {
  region.cut_machine(machine, for_ms, hold);
}

}  // namespace sailreel::sim
