#include "sim/checker.hpp"

#include <algorithm>

namespace sailreel::sim {

void Checker::state_reported(const std::string& id, const std::string& state, Time now) {
  state_reported(id, state, now, now);
}

void Checker::state_reported(const std::string& id, const std::string& state, Time now,
                             Time requested_at) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || !it->second.spec) return add_violation("invented", id);
  JobHistory& job = it->second;
  if (!job.accepted) job.accepted_at = now;
  job.accepted = true;
  job.last_response_at = last_response_at_ = now;
  job.poll_failure_reported = false;
  const bool is_final = state == "done" || state == "cancelled";
  if (!job.final_state.empty() && !is_final && requested_at < job.final_at) return;
  if (job.final_state.empty()) {
    if (state == "done" && job.completed.size() < job.spec->tasks) add_violation("not_done", id);
    if (state == "cancelled" && !job.cancel_requested)
      add_violation("went_back", id + " cancelled unasked");
    if (is_final) {
      job.final_state = state;
      job.final_at = now;
    }
  } else if (state != job.final_state) {
    add_violation("went_back", id + " from " + job.final_state + " to " + state);
  }
}

void Checker::rejected(const std::string& id, int status, bool poll, Time requested_at) {
  const auto it = jobs_.find(id);
  if (it != jobs_.end() && it->second.accepted && requested_at >= it->second.accepted_at &&
      (poll ? status == 404 : status != 404))
    add_violation("forgotten", id + " got status " + std::to_string(status));
}

void Checker::cancel_state_reported(const std::string& id, const std::string& state) {
  if (state != "cancelled" && state != "done") add_violation("odd_answer", id + " is " + state);
}

void Checker::start_accepted(const std::string& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || !it->second.spec) return add_violation("invented", id + " started");
  if (it->second.final_state == "cancelled") add_violation("started_cancelled", id);
}

void Checker::waiting_observed(const std::string& id, bool possible, Time now) {
  constexpr Time kMaxWaitMs = 90'000;
  JobHistory& job = jobs_[id];
  if (!possible || !faults_are_over()) {
    job.waiting_since = kNever;
  } else if (job.waiting_since == kNever) {
    job.waiting_since = now;
  } else if (now - job.waiting_since > kMaxWaitMs && !job.waiting_reported) {
    job.waiting_reported = true;
    add_violation("left_waiting", id);
  }
}

void Checker::poll_failed(const std::string& id, Time now) {
  constexpr Time kMaxSilenceMs = 90'000, kOtherJobsRecentMs = 10'000,
                 kMaxSilenceAfterFaultsMs = 75'000;
  JobHistory& job = jobs_[id];
  if (!job.accepted || job.poll_failure_reported) return;
  if (faults_are_over() &&
      now - std::max(job.last_response_at, faults_ended_at_) > kMaxSilenceAfterFaultsMs) {
    job.poll_failure_reported = true;
    return add_violation("forgotten", id + " without response after the faults");
  }
  if (now - job.last_response_at > kMaxSilenceMs && now - last_response_at_ < kOtherJobsRecentMs) {
    job.poll_failure_reported = true;
    add_violation("forgotten", id + " without response");
  }
}

void Checker::task_started(const TaskKey& key, const TaskLocation& location, Time now) {
  JobHistory& job = jobs_[key.job];
  if (!job.spec) return add_violation("invented", key.job + " started");
  const std::string task = task_name(key);
  auto& locations = running_on_[task];
  if (!locations.empty())
    add_violation("ran_twice",
                  task + " on " + locations.begin()->first + " and " + location.machine);
  if (!job.started_at) job.started_at = now;
  const JobSpec& spec = *job.spec;
  if ((location.spot && !spec.spot) || (!spec.zone.empty() && spec.zone != location.zone) ||
      (!spec.any_type &&
       std::find(spec.types.begin(), spec.types.end(), location.type) == spec.types.end()))
    add_violation("wrong_place", task);
  std::map<std::string, std::uint32_t> zones;
  zones[location.zone] = 1;
  const std::string job_prefix = key.job + "/";
  for (auto it = running_on_.lower_bound(job_prefix);
       it != running_on_.end() && it->first.starts_with(job_prefix); ++it)
    if (it->first != task)
      for (const auto& [machine, other] : it->second) ++zones[other.zone];
  if (spec.one_zone && zones.size() > 1)
    add_violation("wrong_place", task + " not in its job's zone");
  if (spec.spread && zones[location.zone] > (spec.tasks + 1) / 2)
    add_violation("wrong_place", task + " not spread over zones");
  locations[location.machine] = location;
  ++tasks_running_;
  Resources& used = used_[spec.team];
  used += spec.need;
  for (const Team& team : teams_)
    if (team.name == spec.team && ((team.gpus_max > 0 && used.gpus > team.gpus_max + 1e-6) ||
                                   (team.cpus_max > 0 && used.cpus > team.cpus_max + 1e-6)))
      add_violation("quota", spec.team);
  if (job.final_state == "cancelled" && now > job.final_at + cancel_limit_)
    add_violation("ran_cancelled", task);
  ++starts_;
}

void Checker::task_ended(const TaskKey& key, const std::string& machine, bool completed) {
  JobHistory& job = jobs_[key.job];
  const std::string task = task_name(key);
  const auto it = running_on_.find(task);
  if (it != running_on_.end() && it->second.erase(machine) > 0) {
    --tasks_running_;
    if (job.spec) used_[job.spec->team] -= job.spec->need;
    if (it->second.empty()) running_on_.erase(it);
  }
  if (completed) job.completed.insert(key.index);
}

void Checker::gang_completed(const std::string& id) {
  JobHistory& job = jobs_[id];
  for (std::uint32_t i = 0; job.spec && i < job.spec->tasks; ++i) job.completed.insert(i);
}

void Checker::step(Time now) {
  if (now < next_step_) return;
  next_step_ = now + 200;
  for (const auto& [task, locations] : running_on_) {
    if (locations.empty()) continue;
    const JobHistory& job = jobs_[task.substr(0, task.rfind('/'))];
    if (job.final_state == "cancelled" && now > job.final_at + cancel_limit_)
      add_violation("ran_cancelled", task);
  }
}

void Checker::check_end() {
  if (starts_ == 0) add_violation("nothing_ran", "");
}

void Checker::check_end_and_service() {
  check_end();
  constexpr Time kMaxStartDelayMs = 240'000;
  struct ServedCount {
    std::size_t served = 0, total = 0;
  };
  std::map<std::string, ServedCount> served;  // by group
  std::map<std::string, std::uint32_t> largest;
  for (const auto& [id, job] : jobs_)
    if (job.spec) {
      auto& max_tasks = largest[job.spec->job_class];
      max_tasks = std::max(max_tasks, job.spec->tasks);
    }
  for (const auto& [id, job] : jobs_) {
    if (!job.accepted || !job.spec || (job.cancel_requested && !job.started_at)) continue;
    const bool is_served =
        job.spec->kind != JobKind::Service ? !job.final_state.empty() : job.started_at.has_value();
    const auto count = [&](const std::string& group) {
      ServedCount& counted = served[group];
      counted.served += is_served ? 1 : 0;
      ++counted.total;
    };
    count("class " + job.spec->job_class);
    count("team " + job.spec->team);
    if (job.spec->tasks < largest[job.spec->job_class]) continue;
    count("largest of class " + job.spec->job_class);
    if (!job.started_at || *job.started_at - job.accepted_at > kMaxStartDelayMs)
      add_violation("late_largest", id);
  }
  for (const auto& [group, counted] : served)
    if (2 * counted.served < counted.total) add_violation("not_served", group);
}

const std::map<std::string, std::vector<std::string>>& Checker::violations() const {
  return violations_;
}

std::string Checker::summary() const {
  std::string out;
  for (const auto& [rule, cases] : violations_)
    out += rule + " x" + std::to_string(cases.size()) + " (" + cases.front() + ") ";
  return out;
}

Resources Checker::used_by(const std::string& team) const {
  const auto it = used_.find(team);
  return it == used_.end() ? Resources{} : it->second;
}

std::size_t Checker::jobs_over() const {
  std::size_t count = 0;
  for (const auto& [id, job] : jobs_) count += job.final_state.empty() ? 0 : 1;
  return count;
}

std::vector<std::string> Checker::unfinished_arrays() const {
  std::vector<std::string> out;
  for (const auto& [id, job] : jobs_)
    if (job.accepted && job.spec->kind != JobKind::Service && job.final_state.empty())
      out.push_back(id);
  return out;
}

void Checker::add_violation(const std::string& rule, const std::string& what) {
  violations_[rule].push_back(what);
}

}  // namespace sailreel::sim
