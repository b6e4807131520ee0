// Gangs on the simulated workers, which follow the protocol's table of gang phases.
#include "sim/simulated_region.hpp"

namespace sailreel::sim {

std::vector<std::string> SimulatedRegion::machines_of(const std::string& job) const {
  std::vector<std::string> out;
  for (const auto& [name, worker] : workers_)
    for (const auto& [key, attempts] : worker.tasks)
      for (const TaskAttempt& task : attempts)
        if (worker.alive && key.job == job && task.present) out.push_back(name);
  return out;
}

// Counts the attempt's tasks that occupy a machine which is up and doesn't hang; with `saved_only`,
// those that have saved their checkpoints.
std::uint32_t SimulatedRegion::gang_tasks_present(const User& user, std::uint64_t attempt,
                                                  bool saved_only) const {
  std::uint32_t present = 0;
  for (const auto& [name, worker] : workers_) {
    if (!worker.alive || now_ < worker.hang_until) continue;
    for (const auto& [key, attempts] : worker.tasks)
      for (const TaskAttempt& task : attempts)
        if (key.job == user.spec.id && task.status.attempt == attempt && task.present &&
            (!saved_only || task.saved))
          ++present;
  }
  return present;
}

void SimulatedRegion::start_gang_if_complete(const User& user, std::uint64_t attempt) {
  GangRun& run = gang_runs_[{user.spec.id, attempt}];
  if (run.started || gang_tasks_present(user, attempt, false) < user.spec.tasks) return;
  GangProgress& progress = gang_progress_[user.spec.id];
  if (progress.total_ms == 0)
    progress.total_ms = static_cast<Time>(user.spec.estimate_s * (500 + random_(1000)));
  ++progress.starts;
  run.started = true;
  run.started_at = now_;
  run.completes_at = now_ + progress.total_ms - progress.saved_ms;
}

// Ends an attempt that has lost a running task. The gang keeps only the progress up to its last
// periodic checkpoint.
void SimulatedRegion::end_gang_attempt(const User& user, GangRun& run) {
  if (run.ended_at > 0) return;
  run.ended_at = now_;
  GangProgress& progress = gang_progress_[user.spec.id];
  const Time ran_until = run.stopped_at > 0 ? run.stopped_at : now_;
  const Time reached = progress.saved_ms + ran_until - run.started_at;
  const Time interval = ms(user.spec.checkpoint_s);
  if (interval > 0) progress.saved_ms = std::max(progress.saved_ms, reached / interval * interval);
}

void SimulatedRegion::advance_gang(Worker& worker, TaskAttempt& task, const User& user) {
  TaskStatus& status = task.status;
  const Time wait_ms = ms(plan_.gang_wait_s), peer_timeout_ms = ms(plan_.gang_peer_s);
  GangRun& run = gang_runs_[{user.spec.id, status.attempt}];
  GangProgress& progress = gang_progress_[user.spec.id];
  if (status.state == RunState::Fetching && now_ >= task.image_ready_at) {
    status.state = RunState::Waiting;
    task.present = worker.status_changed = true;
    task.waiting_since = now_;
    worker.images.insert(user.spec.image);
    checker_.task_started(
        status.key,
        {worker.machine.name, worker.machine.type, worker.machine.zone, worker.machine.spot}, now_);
    if (progress.done) return end_task(worker, task, ExitCause::Done);
    start_gang_if_complete(user, status.attempt);
  }
  if (status.state == RunState::Waiting) {
    if (run.started && run.ended_at == 0) {
      status.state = RunState::Running;
      worker.status_changed = true;
    } else if (now_ - task.waiting_since > wait_ms) {
      return end_task(worker, task, ExitCause::Incomplete);
    }
  }
  if (status.state != RunState::Running && status.state != RunState::Saving) return;
  if (!run.done && run.stopped_at == 0 && run.ended_at == 0 && now_ >= run.completes_at) {
    run.done = progress.done = true;
    checker_.gang_completed(user.spec.id);
    for (std::uint32_t i = 0; i < user.spec.tasks; ++i) record_completion({user.spec.id, i});
  }
  if (run.done) {
    end_task(worker, task, ExitCause::Done);
    if (on_completed) on_completed(status.key, worker.machine.name);
    return;
  }
  const bool all_present = gang_tasks_present(user, status.attempt, false) == user.spec.tasks;
  const bool all_saved = gang_tasks_present(user, status.attempt, true) == user.spec.tasks;
  if (run.stopped_at > 0 && all_saved && run.ended_at == 0) {
    // All tasks have saved, so the first one may exit, and from then on the checkpoint is valid.
    progress.saved_ms += run.stopped_at - run.started_at;
    run.ended_at = now_;
    run.stop_failed = false;
  } else if (!all_present && run.ended_at == 0) {
    run.stop_failed = true;
    end_gang_attempt(user, run);
  }
  if (status.state == RunState::Saving) {
    if (now_ >= task.save_done_at) task.saved = true;
    const bool checkpoint_kept = run.ended_at > 0 && !run.stop_failed;
    if (task.saved && (checkpoint_kept || now_ >= run.stopped_at + peer_timeout_ms)) {
      if (!checkpoint_kept) end_gang_attempt(user, run);
      status.saved = checkpoint_kept;
      end_task(worker, task, ExitCause::Stopped);
    }
    return;
  }
  // A running task notices within `gang_peer_s` that its peers are gone. The checkpoint fails if
  // the task isn't told to stop within that time of the first one.
  const bool stopped_too_late = run.stopped_at > 0 && now_ >= run.stopped_at + peer_timeout_ms;
  if (stopped_too_late) run.stop_failed = true;
  if (stopped_too_late ||
      (run.ended_at > 0 && now_ >= run.ended_at + random_(plan_.gang_peer_s < 1 ? 500 : 1000))) {
    end_gang_attempt(user, run);
    end_task(worker, task, ExitCause::PeersGone);
  }
}

void SimulatedRegion::stop_gang_task(TaskAttempt& task, const User& user, double grace_s,
                                     Worker& worker) {
  TaskStatus& status = task.status;
  GangRun& run = gang_runs_[{user.spec.id, status.attempt}];
  const bool saves = status.state == RunState::Running && user.spec.checkpoint_s > 0 &&
                     grace_s >= user.spec.save_s;
  if (status.state == RunState::Saving && grace_s > 0) return;
  worker.status_changed = true;
  if (saves) {
    status.state = RunState::Saving;
    task.save_done_at = now_ + ms(user.spec.save_s);
    if (run.stopped_at == 0) run.stopped_at = now_;
    return;
  }
  const bool ran = status.state == RunState::Running || status.state == RunState::Saving;
  end_task(worker, task, ExitCause::Stopped);
  if (!ran) return;
  run.stop_failed = true;
  end_gang_attempt(user, run);
}

}  // namespace sailreel::sim
