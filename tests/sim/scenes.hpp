// What scenes of a quiet day are made of: jobs, and a day without planned troubles.
#pragma once

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

inline std::string job_id(std::size_t n) { return "job-" + std::to_string(n); }

}  // namespace sailreel::sim
