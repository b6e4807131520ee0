// Gangs on the simulated workers, which follow the protocol's table of gang phases.
#include "sim/simulated_region.hpp"

namespace sailreel::sim {

std::vector<std::string> SimulatedRegion::machines_of(const std::string& job) const {
  std::vector<std::string> out;
  for (const auto& [name, worker] : workers_)
    for (const auto& [key, attempts] : worker.tasks)
      for (const WorkTask& task : attempts)
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
      for (const WorkTask& task : attempts)
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
  run.done_at = now_ + progress.total_ms - progress.saved_ms;
}

// Ends an attempt of which a running task is gone. Of the progress, only that up to the last
// periodic checkpoint is kept.
void SimulatedRegion::break_gang(const User& user, GangRun& run) {
  if (run.broken_at > 0) return;
  run.broken_at = now_;
  GangProgress& progress = gang_progress_[user.spec.id];
  const Time until = run.stopped_at > 0 ? run.stopped_at : now_;
  const Time reached = progress.saved_ms + until - run.started_at;
  const Time interval = ms(user.spec.checkpoint_s);
  if (interval > 0) progress.saved_ms = std::max(progress.saved_ms, reached / interval * interval);
}

void SimulatedRegion::advance_gang(Worker& worker, WorkTask& task, const User& user) {
  TaskStatus& status = task.status;
  const Time wait = ms(plan_.gang_wait_s), peer = ms(plan_.gang_peer_s);
  GangRun& run = gang_runs_[{user.spec.id, status.attempt}];
  GangProgress& progress = gang_progress_[user.spec.id];
  if (status.state == RunState::Fetching && now_ >= task.image_at) {
    status.state = RunState::Waiting;
    task.present = worker.changed = true;
    task.waiting_since = now_;
    worker.images.insert(user.spec.image);
    checker_.started(
        status.key,
        {worker.machine.name, worker.machine.type, worker.machine.zone, worker.machine.spot}, now_);
    if (progress.done) return end_task(worker, task, ExitCause::Done);
    start_gang_if_complete(user, status.attempt);
  }
  if (status.state == RunState::Waiting) {
    if (run.started && run.broken_at == 0) {
      status.state = RunState::Running;
      worker.changed = true;
    } else if (now_ - task.waiting_since > wait) {
      return end_task(worker, task, ExitCause::Incomplete);
    }
  }
  if (status.state != RunState::Running && status.state != RunState::Saving) return;
  if (!run.done && run.stopped_at == 0 && run.broken_at == 0 && now_ >= run.done_at) {
    run.done = progress.done = true;
    checker_.gang_completed(user.spec.id);
    for (std::uint32_t i = 0; i < user.spec.tasks; ++i) completed({user.spec.id, i});
  }
  if (run.done) {
    end_task(worker, task, ExitCause::Done);
    if (on_completed) on_completed(status.key, worker.machine.name);
    return;
  }
  const bool all_here = gang_tasks_present(user, status.attempt, false) == user.spec.tasks;
  const bool all_saved = gang_tasks_present(user, status.attempt, true) == user.spec.tasks;
  if (run.stopped_at > 0 && all_saved && run.broken_at == 0) {
    // All tasks have saved, so the first one may exit, and from then on the checkpoint is valid.
    progress.saved_ms += run.stopped_at - run.started_at;
    run.broken_at = now_;
    run.stop_failed = false;
  } else if (!all_here && run.broken_at == 0) {
    run.stop_failed = true;
    break_gang(user, run);
  }
  if (status.state == RunState::Saving) {
    if (now_ >= task.exits_at) task.saved = true;
    const bool kept = run.broken_at > 0 && !run.stop_failed;
    if (task.saved && (kept || now_ >= run.stopped_at + peer)) {
      if (!kept) break_gang(user, run);
      status.saved = kept;
      end_task(worker, task, ExitCause::Stopped);
    }
    return;
  }
  // A running task notices within `gang_peer_s` that its peers are gone. The checkpoint fails if
  // the task isn't told to stop within that time of the first one.
  const bool told_too_late = run.stopped_at > 0 && now_ >= run.stopped_at + peer;
  if (told_too_late) run.stop_failed = true;
  if (told_too_late ||
      (run.broken_at > 0 && now_ >= run.broken_at + random_(plan_.gang_peer_s < 1 ? 500 : 1000))) {
    break_gang(user, run);
    end_task(worker, task, ExitCause::PeersGone);
  }
}

void SimulatedRegion::stop_gang_task(WorkTask& task, const User& user, double grace_s,
                                     Worker& worker) {
  TaskStatus& status = task.status;
  GangRun& run = gang_runs_[{user.spec.id, status.attempt}];
  const bool saves = status.state == RunState::Running && user.spec.checkpoint_s > 0 &&
                     grace_s >= user.spec.save_s;
  if (status.state == RunState::Saving && grace_s > 0) return;
  worker.changed = true;
  if (saves) {
    status.state = RunState::Saving;
    task.exits_at = now_ + ms(user.spec.save_s);
    if (run.stopped_at == 0) run.stopped_at = now_;
    return;
  }
  const bool ran = status.state == RunState::Running || status.state == RunState::Saving;
  end_task(worker, task, ExitCause::Stopped);
  if (!ran) return;
  run.stop_failed = true;
  break_gang(user, run);
}

}  // namespace sailreel::sim
