// Applies the outcomes of commits to users' requests, jobs, scale-outs and the leadership.
#include <algorithm>

#include "controller/controller.hpp"

namespace sailreel {

LeaderTerm Controller::leader_term() const {
  return {election_.term(), election_.epoch(), election_.epoch_version(), election_.is_leader(),
          holds_valid_lease(clock_.now)};
}

void Controller::shares_committed() { perform_share_actions(quotas_.handle_commit(clock_.now)); }

void Controller::scheduling_possible() { scheduling_needed_ = true; }

void Controller::scale_outs_committed(const std::vector<std::string>& names) {
  for (const std::string& name : names)
    if (const auto it = pending_scale_outs_.find(name); it != pending_scale_outs_.end())
      it->second.committed = true;
}

void Controller::respond_with_committed_job(const RequestSource& source, int status,
                                            const std::string& id) {
  if (const Job* job = tables_.job(id))
    respond_with_job(source, status, view(*job));
  else if (const auto finished = tables_.finished.find(id); finished != tables_.finished.end())
    respond_with_job(source, status, view(id, finished->second));
  else
    outbox_.reject(source, RejectReason::JobMissingAfterCommit);
}

void Controller::commit_rejected() {
  election_.resign(StepDownCause::CommitRejected, {.back_off = false});
}

void Controller::checkpoint_overwritten() {
  election_.step_down(StepDownCause::CheckpointOverwritten);
}

// While a commit is in flight or its response was lost, another controller may have read the commit
// from the store and reported its changes to a user. The old state may then be out of date, so
// responses about a job that the commit changes wait until the outcome is known.
void Controller::respond_committed(const RequestSource& source, int status, const Job& job) {
  if (!job.committed || job.in_doubt())
    return checkpoint_.respond_after_commit(job, source, status);
  respond_with_job(source, status, view(job));
}

// Marks the record of a job that is over as final, once none of its tasks can be on a machine.
void Controller::finalize_if_over(Job& job) {
  if (job.active() || job.record.final || job.placed > 0 || job.unknown > 0) return;
  if (!job.orphans.empty()) return;
  job.record.final = true;
  checkpoint_.mark_changed(job);
  if (job.record.phase == Phase::Active) finish_cancellation(job);
  if (job.spec().tasks > kInlineBits)
    for (std::size_t i = 0; i * kSmallPieceBits < job.spec().tasks; ++i) job.dirty_pieces.insert(i);
}

// Called once the job's last record is committed. Keeps only a summary of the finished job.
void Controller::job_finished(Job& job) {
  const std::string id = job.spec().id;
  const bool done = job.record.phase == Phase::Done;
  outbox_.log(Log::Level::Info, done ? LogEvent::JobDone : LogEvent::JobCancelled, {{"job", id}});
  for (const std::string& name : job.machines_used) {
    ++examined_;
    Machine* machine = tables_.machine(name);
    if (machine == nullptr) continue;
    for (TaskAttempt& attempt : machine->attempts) {
      if (attempt.job == &job) attempt.job = nullptr;
      if (attempt.orphan_of == &job) attempt.orphan_of = nullptr;
    }
  }
  gangs_.erase(id);
  tables_.finished[id] = {job.record.phase, job.spec().tasks, job.record.seq};
  checkpoint_.forget(job);
  tables_.remove_job(id);
  scheduling_needed_ = true;
}

}  // namespace sailreel
