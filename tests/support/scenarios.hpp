// What scenes of a quiet day are made of: jobs, and a day without planned troubles.
#pragma once

#include <gtest/gtest.h>

#include "sim/world.hpp"

namespace sailreel::sim {

inline DayPlan quiet(std::uint64_t seed) {
  DayPlan p;
  p.seed = seed;
  p.jobs = 0;
  p.troubles = false;
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
  std::function<void(World&, std::uint64_t seed)> play;
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
inline void submit_mixed_jobs(World& world, std::size_t first, std::size_t count,
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
    world.submit(s);
    world.run_until(world.now() + random(static_cast<std::uint32_t>(30'000 / count)));
  }
}

inline std::size_t leader_of(const World& world) {
  return static_cast<std::size_t>(std::max(0, world.leader()));
}

/// The end of a day: no rule was broken, and nothing is left waiting or unanswered.
inline void expect_nothing_left(World& world, std::uint64_t seed) {
  world.checker().end_served();
  EXPECT_TRUE(world.checker().violations().empty())
      << "seed " << seed << " " << world.checker().summary();
  EXPECT_TRUE(world.checker().unfinished_arrays().empty())
      << "seed " << seed << " " << world.checker().unfinished_arrays().front();
  EXPECT_EQ(world.malformed_answers(), 0U);
  EXPECT_EQ(world.state().malformed, 0U);
}

/// The end of a day of `submit_mixed_jobs`: some are called off, and nothing is left waiting or
/// unanswered.
inline void expect_all_served(World& world, std::size_t jobs, std::uint64_t seed) {
  world.calm();
  for (std::size_t n = 0; n < jobs; n += 4) world.cancel(job_id(n));
  world.run_until(world.now() + 160'000);
  expect_nothing_left(world, seed);
}

/// The machines that the present leader knows to hold tasks.
inline std::vector<std::string> busy_machines(const World& world) {
  std::vector<std::string> out;
  if (world.leader() < 0) return out;
  for (const auto& [name, m] : world.core(leader_of(world))->tables().machines)
    if (m->heard_in_epoch && !m->empty()) out.push_back(name);
  return out;
}

/// Cuts a machine off from every controller.
inline void cut_off(World& world, const std::string& machine, Time for_ms, bool hold) {
  for (std::size_t i = 0; i < 3; ++i) world.cut(node_name(i), machine, for_ms, hold);
}

}  // namespace sailreel::sim
