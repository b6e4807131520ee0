// What scenes of a quiet day are made of: jobs, and a day without planned troubles.
#pragma once

#include <gtest/gtest.h>

#include "sim/simulated_region.hpp"

namespace sailreel::sim {

inline SimulationPlan quiet(std::uint64_t seed) {
  SimulationPlan p;
  p.seed = seed;
  p.jobs = 0;
  p.faults = false;
  p.length = 120'000;
  return p;
}

inline JobSpec array(const std::string& id, std::uint32_t tasks, double run_s) {
  JobSpec s;
  s.id = id;
  s.job_class = "batch";
  s.team = "red";
  s.tasks = tasks;
  s.need = {2, 1, 10};
  s.image = "img-0";
  s.image_gb = 10;
  s.estimate_s = run_s;
  s.spot = true;
  return s;
}

inline JobSpec service(const std::string& id, std::uint32_t tasks) {
  JobSpec s = array(id, tasks, 0);
  s.kind = JobKind::Service;
  s.priority = Priority::Production;
  s.spot = false;
  return s;
}

/// A gang whose tasks need so many CPUs each. A machine of the simulated world has 16.
inline JobSpec gang(const std::string& id, std::uint32_t tasks, double cpus, double run_s) {
  JobSpec s = array(id, tasks, run_s);
  s.kind = JobKind::Gang;
  s.job_class = "gang";
  s.priority = Priority::Normal;
  s.need = {cpus, 0, 4};
  s.image_gb = 1;
  s.spot = false;
  s.checkpoint_s = 4;
  s.save_s = 1;
  return s;
}

/// What happens in the middle of such a day; a case of a test by its name.
struct Scenario {
  const char* name;
  std::function<void(SimulatedRegion&, std::uint64_t seed)> play;
  Time boots_ms = 0;
};
// NOLINTNEXTLINE(readability-identifier-naming): GoogleTest looks for this name
inline void PrintTo(const Scenario& scene, std::ostream* out) { *out << scene.name; }
inline std::string scenario_name(const ::testing::TestParamInfo<Scenario>& p) {
  return p.param.name;
}

inline std::string job_id(std::size_t n) { return "job-" + std::to_string(n); }

/// Jobs of both kinds and teams from `first` on, within half a minute: replicas that stay, arrays
/// of one to three tasks that end far apart, some bound to a zone or spread over them.
inline void submit_mixed_jobs(SimulatedRegion& region, std::size_t first, std::size_t count,
                              std::uint64_t seed) {
  pcg32 random(seed * 77 + first);
  for (std::size_t n = first; n < first + count; ++n) {
    JobSpec s = n % 2 == 0 ? service(job_id(n), 1 + random(2))
                           : array(job_id(n), 1 + random(3), 6 + random(50));
    s.team = n % 3 == 0 ? "blue" : "red";
    s.image = "img-" + std::to_string(random(3));
    s.priority = s.kind == JobKind::Array ? Priority::Low : static_cast<Priority>(random(2));
    s.spread = s.kind == JobKind::Service && random(2) == 0;
    s.one_zone = !s.spread && random(4) == 0;
    if (!s.spread && random(6) == 0) s.zone = random(2) == 0 ? "za" : "zb";
    region.submit(s);
    region.run_until(region.now() + random(static_cast<std::uint32_t>(30'000 / count)));
  }
}

inline std::size_t leader_of(const SimulatedRegion& region) {
  return static_cast<std::size_t>(std::max(0, region.leader()));
}

/// The end of a day: no rule was broken, and nothing is left waiting or unanswered.
inline void expect_nothing_left(SimulatedRegion& region, std::uint64_t seed) {
  region.checker().end_served();
  EXPECT_TRUE(region.checker().violations().empty())
      << "seed " << seed << " " << region.checker().summary();
  EXPECT_TRUE(region.checker().unfinished_arrays().empty())
      << "seed " << seed << " " << region.checker().unfinished_arrays().front();
  EXPECT_EQ(region.malformed_answers(), 0U);
  EXPECT_EQ(region.state().malformed, 0U);
}

/// The end of a day of `submit_mixed_jobs`: some are called off, and nothing is left waiting or
/// unanswered.
inline void expect_all_served(SimulatedRegion& region, std::size_t jobs, std::uint64_t seed) {
  region.calm();
  for (std::size_t n = 0; n < jobs; n += 4) region.cancel(job_id(n));
  region.run_until(region.now() + 160'000);
  expect_nothing_left(region, seed);
}

/// The machines that the present leader knows to hold tasks.
inline std::vector<std::string> busy_machines(const SimulatedRegion& region) {
  std::vector<std::string> out;
  if (region.leader() < 0) return out;
  for (const auto& [name, m] : region.controller(leader_of(region))->tables().machines)
    if (m->heard_in_epoch && !m->empty()) out.push_back(name);
  return out;
}

/// Cuts a machine off from every controller.
inline void cut_off(SimulatedRegion& region, const std::string& machine, Time for_ms, bool hold) {
  for (std::size_t i = 0; i < 3; ++i) region.cut(node_name(i), machine, for_ms, hold);
}

}  // namespace sailreel::sim
