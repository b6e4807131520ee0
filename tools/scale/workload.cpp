#include "scale/workload.hpp"

#include <cmath>

#include "scale/deployment.hpp"

namespace sailreel::scale {
namespace {

/// Each region has its own range of job numbers, so that ids are unique over all regions.
constexpr std::uint64_t kJobNumbersPerRegion = 10'000'000;
constexpr std::uint32_t kImageCount = 8;
constexpr double kImageGb = 2;
/// Time from the submission of an urgent job until its user cancels it.
constexpr Time kUrgentCancelAfterMs = 8'000;
/// Share of the run, at its end, in which no arrays or urgent jobs are submitted, so that earlier
/// submissions can still be answered.
constexpr double kNoSubmissionShare = 0.1;

/// Share of all work that is submitted in a region.
double region_share(const Plan& plan, int region) {
  const double even_share =
      static_cast<double>(plan.region(region).workers()) / total_workers(plan);
  const double skew = plan.load().skew();
  return even_share * (1 - skew) + (region == 0 ? skew : 0);
}

}  // namespace

Workload::Workload(const Plan& plan, int region_index, sim::SimulatedRegion& region, Time begin)
    : plan_(plan),
      first_job_number_((static_cast<std::uint64_t>(region_index) + 1) * kJobNumbersPerRegion),
      region_(region) {
  const double share = region_share(plan, region_index);
  const Time end = static_cast<Time>(plan.seconds() * 1000.0 * (1 - kNoSubmissionShare));
  submit_services(static_cast<std::uint32_t>(std::lround(plan.load().service_tasks() * share)),
                  begin);
  submit_arrays(plan.load().array_tasks() * share, begin, end);
  submit_urgent(plan.load().urgent_per_s() * share, begin + ms(plan.load().ramp_s()), end);
}

JobSpec Workload::next_job(JobKind kind, Priority priority, std::uint32_t tasks) {
  JobSpec spec;
  spec.id = "job-" + std::to_string(first_job_number_ + next_job_number_);
  spec.job_class = kind == JobKind::Array       ? "array"
                   : priority == Priority::High ? "urgent"
                                                : "service";
  spec.team = team_name(next_job_number_ % plan_.fleet().teams());
  spec.kind = kind;
  spec.priority = priority;
  spec.tasks = tasks;
  spec.need = {plan_.load().task_cpus(), plan_.load().task_gpus(), plan_.load().task_memory_gb()};
  spec.image = "image-" + std::to_string(next_job_number_ % kImageCount);
  spec.image_gb = kImageGb;
  ++next_job_number_;
  return spec;
}

void Workload::submit_services(std::uint32_t tasks, Time begin) {
  const std::uint32_t size = plan_.load().tasks_per_service();
  const std::uint32_t jobs = (tasks + size - 1) / size;
  for (std::uint32_t index = 0; index < jobs; ++index) {
    const JobSpec spec = next_job(JobKind::Service, Priority::Normal, size);
    const Time submit_at =
        begin + ms(plan_.load().ramp_s()) * index / std::max<std::uint32_t>(1, jobs);
    region_.schedule(submit_at, [this, spec] { region_.submit(spec); });
  }
}

void Workload::submit_arrays(double tasks, Time begin, Time end) {
  const std::uint32_t size = plan_.load().tasks_per_array();
  if (tasks <= 0) return;
  const double interval_ms = 1000 * plan_.load().array_task_s() * size / tasks;
  const double ramp_ms = 1000 * plan_.load().ramp_s();
  for (double submit_at = static_cast<double>(begin) + ramp_ms / 2;
       submit_at < static_cast<double>(end); submit_at += interval_ms) {
    JobSpec spec = next_job(JobKind::Array, Priority::Low, size);
    spec.estimate_s = plan_.load().array_task_s();
    region_.schedule(static_cast<Time>(submit_at), [this, spec] { region_.submit(spec); });
  }
}

void Workload::submit_urgent(double jobs_per_s, Time begin, Time end) {
  if (jobs_per_s <= 0) return;
  for (double submit_at = static_cast<double>(begin); submit_at < static_cast<double>(end);
       submit_at += 1000 / jobs_per_s) {
    const JobSpec spec = next_job(JobKind::Service, Priority::High, 1);
    region_.schedule(static_cast<Time>(submit_at), [this, spec] {
      urgent_submitted_at_[spec.id] = region_.now();
      region_.submit(spec, region_.now() + kUrgentCancelAfterMs);
    });
  }
}

void Workload::task_started(const TaskKey& key, Time now) {
  const auto it = urgent_submitted_at_.find(key.job);
  if (it == urgent_submitted_at_.end()) return;
  urgent_waits_ms_.push_back(static_cast<std::uint32_t>(now - it->second));
  urgent_submitted_at_.erase(it);
}

std::uint32_t Workload::urgent_waiting(Time now, Time max_wait) const {
  std::uint32_t waiting = 0;
  for (const auto& [job, submitted_at] : urgent_submitted_at_)
    waiting += now - submitted_at > max_wait ? 1 : 0;
  return waiting;
}

}  // namespace sailreel::scale
