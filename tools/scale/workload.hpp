// The work that the users of one region submit during a scale run.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "scale/plan.hpp"
#include "sim/simulated_region.hpp"

namespace sailreel::scale {

/// Submits services, arrays and urgent jobs, and measures how long urgent jobs wait.
class Workload {
 public:
  /// Schedules all submissions in the region's simulation, from `begin` on.
  Workload(const Plan& plan, int region_index, sim::SimulatedRegion& region, Time begin);

  /// Must be called for each task that starts to run.
  void task_started(const TaskKey& key, Time now);

  /// Time from the submission to the start of each urgent job that has started, in milliseconds.
  [[nodiscard]] const std::vector<std::uint32_t>& urgent_waits_ms() const {
    return urgent_waits_ms_;
  }
  /// Number of urgent jobs that haven't started and have waited for longer than `max_wait`.
  [[nodiscard]] std::uint32_t urgent_waiting(Time now, Time max_wait) const;

 private:
  void submit_services(std::uint32_t tasks, Time begin);
  void submit_arrays(double tasks, Time begin, Time end);
  void submit_urgent(double jobs_per_s, Time begin, Time end);
  [[nodiscard]] JobSpec next_job(JobKind kind, Priority priority, std::uint32_t tasks);

  const Plan& plan_;
  const std::uint64_t first_job_number_;
  sim::SimulatedRegion& region_;
  std::uint32_t next_job_number_ = 0;
  std::map<std::string, Time> urgent_submitted_at_;
  std::vector<std::uint32_t> urgent_waits_ms_;
};

}  // namespace sailreel::scale
