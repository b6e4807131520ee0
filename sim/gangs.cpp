// Gangs on the workers of the simulated world, by the phases that the protocol's table gives.
#include "sim/simulated_region.hpp"

namespace sailreel::sim {

std::vector<std::string> SimulatedRegion::machines_of(const std::string& job) const {
  std::vector<std::string> out;
  for (const auto& [name, w] : workers_)
    for (const auto& [key, list] : w.tasks)
      for (const WorkTask& t : list)
        if (w.alive && key.first == job && t.on) out.push_back(name);
  return out;
}

// Tasks of the attempt that are on a machine which executes them.
std::uint32_t SimulatedRegion::gang_tasks_present(const User& user, std::uint64_t attempt,
                                                  bool saved_only) const {
  std::uint32_t present = 0;
  for (const auto& [name, w] : workers_) {
    if (!w.alive || now_ < w.hang_until) continue;
    for (const auto& [key, list] : w.tasks)
      for (const WorkTask& t : list)
        if (key.first == user.spec.id && t.heartbeat.attempt == attempt && t.on &&
            (!saved_only || t.saved))
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

// A task of a running gang is gone: what was not saved is lost, but for the gang's own checkpoints.
void SimulatedRegion::break_gang(const User& user, GangRun& run) {
  if (run.broken_at > 0) return;
  run.broken_at = now_;
  GangProgress& progress = gang_progress_[user.spec.id];
  const Time until = run.stopped_at > 0 ? run.stopped_at : now_;
  const Time reached = progress.saved_ms + until - run.started_at;
  const Time interval = ms(user.spec.checkpoint_s);
  if (interval > 0) progress.saved_ms = std::max(progress.saved_ms, reached / interval * interval);
}

void SimulatedRegion::advance_gang(Worker& w, WorkTask& t, const User& user) {
  TaskStatus& r = t.heartbeat;
  const Time wait = ms(plan_.gang_wait_s), peer = ms(plan_.gang_peer_s);
  GangRun& run = gang_runs_[{user.spec.id, r.attempt}];
  GangProgress& progress = gang_progress_[user.spec.id];
  if (r.state == RunState::Fetching && now_ >= t.image_at) {
    r.state = RunState::Waiting;
    t.on = w.changed = true;
    t.waiting_since = now_;
    w.images.insert(user.spec.image);
    checker_.started(r.key, {w.machine.name, w.machine.type, w.machine.zone, w.machine.spot}, now_);
    if (progress.done) return end_task(w, t, ExitCause::Done);
    start_gang_if_complete(user, r.attempt);
  }
  if (r.state == RunState::Waiting) {
    if (run.started && run.broken_at == 0) {
      r.state = RunState::Running;
      w.changed = true;
    } else if (now_ - t.waiting_since > wait) {
      return end_task(w, t, ExitCause::Incomplete);
    }
  }
  if (r.state != RunState::Running && r.state != RunState::Saving) return;
  if (!run.done && run.stopped_at == 0 && run.broken_at == 0 && now_ >= run.done_at) {
    run.done = progress.done = true;
    checker_.gang_completed(user.spec.id);
    for (std::uint32_t i = 0; i < user.spec.tasks; ++i) completed({user.spec.id, i});
  }
  if (run.done) {
    end_task(w, t, ExitCause::Done);
    if (on_completed) on_completed(r.key, w.machine.name);
    return;
  }
  const bool all_here = gang_tasks_present(user, r.attempt, false) == user.spec.tasks;
  const bool all_saved = gang_tasks_present(user, r.attempt, true) == user.spec.tasks;
  if (run.stopped_at > 0 && all_saved && run.broken_at == 0) {
    // Safe with the first exit.
    progress.saved_ms += run.stopped_at - run.started_at;
    run.broken_at = now_;
    run.stop_failed = false;
  } else if (!all_here && run.broken_at == 0) {
    run.stop_failed = true;
    break_gang(user, run);
  }
  if (r.state == RunState::Saving) {
    if (now_ >= t.exits_at) t.saved = true;
    const bool kept = run.broken_at > 0 && !run.stop_failed;
    if (t.saved && (kept || now_ >= run.stopped_at + peer)) {
      if (!kept) break_gang(user, run);
      r.saved = kept;
      end_task(w, t, ExitCause::Stopped);
    }
    return;
  }
  // Notices within the time that the settings give; not told to stop in time, it fails the save.
  const bool told_too_late = run.stopped_at > 0 && now_ >= run.stopped_at + peer;
  if (told_too_late) run.stop_failed = true;
  if (told_too_late ||
      (run.broken_at > 0 && now_ >= run.broken_at + random_(plan_.gang_peer_s < 1 ? 500 : 1000))) {
    break_gang(user, run);
    end_task(w, t, ExitCause::PeersGone);
  }
}

void SimulatedRegion::stop_gang_task(WorkTask& t, const User& user, double grace_s, Worker& w) {
  TaskStatus& r = t.heartbeat;
  GangRun& run = gang_runs_[{user.spec.id, r.attempt}];
  const bool saves =
      r.state == RunState::Running && user.spec.checkpoint_s > 0 && grace_s >= user.spec.save_s;
  if (r.state == RunState::Saving && grace_s > 0) return;
  w.changed = true;
  if (saves) {
    r.state = RunState::Saving;
    t.exits_at = now_ + ms(user.spec.save_s);
    if (run.stopped_at == 0) run.stopped_at = now_;
    return;
  }
  const bool ran = r.state == RunState::Running || r.state == RunState::Saving;
  end_task(w, t, ExitCause::Stopped);
  if (!ran) return;
  run.stop_failed = true;
  break_gang(user, run);
}

}  // namespace sailreel::sim
