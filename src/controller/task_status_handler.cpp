// Handles the task statuses in heartbeats, builds the commands that answer them, and decides when a
// task has certainly ended.
#include "controller/controller.hpp"

namespace sailreel {
namespace {
/// The maximum number of commands in a response to a worker, which has to stay below 64 KiB.
constexpr std::size_t kMaxCommands = 300;
/// How often a start is sent before its machine is quarantined. A start that the worker's next
/// heartbeat doesn't show was dropped; if that repeats, the machine or the connection to it is
/// faulty.
constexpr std::uint32_t kMaxSends = 3;
/// A machine is faulty if this many jobs failed on it that run elsewhere.
constexpr std::size_t kFaultyJobs = 2;
}  // namespace

// Handles an attempt that is bound to the machine but missing from the machine's heartbeat.
void Controller::handle_missing_task(Machine& m, std::size_t index, std::uint64_t heartbeat_seq,
                                     bool direct) {
  TaskAttempt& p = m.attempts[index];
  if (p.state == AttemptState::Reserved) return;
  if (p.state == AttemptState::Sent) {
    // A worker has one heartbeat in flight at a time. Its next heartbeat after the one whose
    // response carried the start shows whether the start was carried out or dropped. The response
    // to a direct command doesn't show that.
    if (direct || heartbeat_seq <= p.sent_seq) return;
    p.state = AttemptState::Reserved;
    if (p.sends < kMaxSends) return;
    outbox_.log(Log::Level::Info, LogEvent::StartNotAcknowledged,
                {{"machine", m.name}, {"task", p.key}});
    quarantine(m, QuarantineCause::StartsNotAcknowledged);
  } else if (p.state != AttemptState::Exited) {
    outbox_.log(Log::Level::Info, LogEvent::TaskMissing,
                {{"machine", m.name}, {"task", p.key}, {"attempt", p.attempt}});
  }
  drop(m, index);
  scheduling_needed_ = true;
}

// Removes an attempt from the machine's list; this may complete the job.
void Controller::drop(Machine& m, std::size_t index) {
  const TaskAttempt& p = m.attempts[index];
  Job* job = p.job != nullptr ? p.job : p.orphan_of;
  tables_.erase(m, index);
  if (job == nullptr) return;
  review_gang(*job);
  finalize_if_over(*job);
}

// Drops the attempts whose start hasn't been sent; their tasks can be placed elsewhere at once.
void Controller::drop_unsent(Machine& m) {
  for (std::size_t i = m.attempts.size(); i-- > 0;)
    if (m.attempts[i].state == AttemptState::Reserved) drop(m, i);
  scheduling_needed_ = true;
}

void Controller::quarantine(Machine& m, QuarantineCause cause) {
  m.quarantined_until = clock_.now + 2 * worker_lease();
  outbox_.log(Log::Level::Info, LogEvent::MachineQuarantined,
              {{"machine", m.name}, {"cause", cause}});
}

// Drops all attempts of a machine whose incarnation has certainly ended.
void Controller::incarnation_lost(Machine& m, IncarnationLossCause cause) {
  if (m.attempts.empty()) return;
  outbox_.log(Log::Level::Info, LogEvent::IncarnationLost,
              {{"machine", m.name},
               {"count", m.attempts.size()},
               {"zone", m.zone},
               {"incarnation", m.incarnation},
               {"heard_ms", clock_.now - m.last_heartbeat},
               {"answered_ms", clock_.now - m.answered},
               {"cause", cause}});
  while (!m.attempts.empty()) drop(m, m.attempts.size() - 1);
  m.idle_since = clock_.now;
  m.fetching_now.clear();
  scheduling_needed_ = true;
}

void Controller::take_task(Machine& m, const TaskStatus& t, std::vector<bool>& seen) {
  TaskAttempt* p = m.find(t.key, t.attempt);
  if (p != nullptr) {
    const auto i = static_cast<std::size_t>(p - m.attempts.data());
    if (i < seen.size()) seen[i] = true;
  } else {
    p = &adopt_attempt(m, t);
  }
  if (p->state == AttemptState::Exited) return;
  switch (t.state) {
    case RunState::Fetching:
      return task_state(m, *p, AttemptState::Fetching);
    case RunState::Waiting:
      return task_state(m, *p, AttemptState::Waiting);
    case RunState::Running:
      return task_state(m, *p, AttemptState::Running);
    case RunState::Saving:
      return task_state(m, *p, AttemptState::Saving);
    case RunState::Exited:
      p->cause = t.cause;
      return task_exited(m, *p);
  }
}

// Adds an attempt that this controller doesn't know to the machine: a former leader started it, or
// it is reported again after it was considered gone.
TaskAttempt& Controller::adopt_attempt(Machine& m, const TaskStatus& t) {
  Job* job = tables_.job(t.key.job);
  if (job != nullptr && t.key.index >= job->tasks.size()) job = nullptr;
  const bool on_machine = t.state != RunState::Exited;
  const TaskState known = job != nullptr ? job->tasks[t.key.index].state : TaskState::Done;
  const bool missing = known == TaskState::Unknown || known == TaskState::Queued;
  TaskAttempt& p = job != nullptr && on_machine && missing
                       ? tables_.place(*job, t.key.index, m, t.attempt, clock_.now)
                       : add_orphan(m, t, job);
  // The task status itself proves that the start was carried out.
  p.state = AttemptState::Sent;
  if (job != nullptr && on_machine && !job->active()) stop_task(p, 0);
  // Once its image is fetched, the task would start in a zone that the job's other tasks rule out.
  if (job != nullptr && t.state == RunState::Fetching && !Tables::zone_allowed(*job, m.zone))
    stop_task(p, 0);
  if (job != nullptr) review_gang(*job);
  return p;
}

// Adds an attempt that is not the task's current one. While it is on the machine, it counts against
// the team and the machine; it is stopped.
TaskAttempt& Controller::add_orphan(Machine& m, const TaskStatus& t, Job* job) {
  TaskAttempt orphan;
  orphan.key = t.key;
  orphan.attempt = t.attempt;
  orphan.since = clock_.now;
  const bool on_machine = t.state != RunState::Exited;
  if (on_machine) {
    orphan.held = true;
    if (job != nullptr) Tables::hold_orphan(*job, m, orphan);
    outbox_.log(Log::Level::Info, LogEvent::OrphanedAttempt,
                {{"machine", m.name}, {"task", t.key}, {"attempt", t.attempt}});
  } else {
    orphan.job = job;
    if (job != nullptr) job->machines_used.insert(m.name);
  }
  orphan.stop = on_machine;
  m.attempts.push_back(std::move(orphan));
  return m.attempts.back();
}

void Controller::task_state(Machine& m, TaskAttempt& p, AttemptState state) {
  if (state == p.state) return;
  const auto runs = [](AttemptState s) {
    return s == AttemptState::Running || s == AttemptState::Saving;
  };
  const bool ran = runs(p.state);
  p.state = state;
  p.since = clock_.now;
  if (state == AttemptState::Waiting && p.job != nullptr) note_image(m, p.job->spec());
  if (runs(state) == ran) return;
  if (p.job != nullptr) review_gang(*p.job);
  if (p.job != nullptr && p.held) p.job->running += ran ? -1 : 1;
  if (ran) return;
  p.running_since = clock_.now;
  if (p.job != nullptr) note_image(m, p.job->spec());
  outbox_.log(Log::Level::Debug, LogEvent::TaskRunning,
              {{"machine", m.name}, {"task", p.key}, {"attempt", p.attempt}});
}

void Controller::note_finished(Job& job, std::uint32_t index, const Machine& m) {
  tables_.mark_done(job, index);
  // The tasks of a gang complete together, so one completed task completes all.
  for (std::uint32_t i = 0; is_gang(job) && i < job.spec().tasks; ++i) tables_.mark_done(job, i);
  if (job.active() && job.record.done.count() == job.spec().tasks) job.record.phase = Phase::Done;
  checkpoint_.mark_changed(job);
  checkpoint_.finished_on(m.name, job, index);
}

void Controller::task_exited(Machine& m, TaskAttempt& p) {
  const Time now = clock_.now;
  Job* job = p.job;
  Job* orphan_of = p.orphan_of;
  const bool was_held = p.held;
  const auto finish_hold = [&] {
    if (was_held) tables_.unhold(m, p);
    p.state = AttemptState::Exited;
    p.since = now;
  };
  outbox_.log(Log::Level::Debug, LogEvent::TaskExited,
              {{"machine", m.name}, {"task", p.key}, {"attempt", p.attempt}, {"cause", p.cause}});
  scheduling_needed_ = true;
  if (job == nullptr) {
    finish_hold();
    p.exit_committed = true;
    if (orphan_of == nullptr) return;
    review_gang(*orphan_of);
    return finalize_if_over(*orphan_of);
  }
  review_gang(*job);
  Task& task = job->tasks[p.key.index];
  // In a completed gang, tasks that exited for another reason count as completed as well.
  const bool gang_done = is_gang(*job) && task.state == TaskState::Done;
  if (is_gang(*job) && was_held && p.cause != ExitCause::Done) gang_of(*job).attempt_over();
  if (p.cause == ExitCause::Done && job->spec().kind != JobKind::Service) {
    job->proven = true;
    if (task.state == TaskState::Done && (!was_held || gang_done)) {
      // The completion is known already: it is either committed or part of a pending checkpoint
      // commit.
      p.exit_committed = job->record.done.test(p.key.index) && !job->dirty && !job->in_flight_phase;
      if (!p.exit_committed) checkpoint_.finished_on(m.name, *job, p.key.index);
    } else {
      note_finished(*job, p.key.index, m);
      if (task.machine != nullptr && task.machine != &m)
        for (TaskAttempt& other : task.machine->attempts)
          if (other.job == job && other.key.index == p.key.index && other.held) stop_task(other, 0);
    }
    finish_hold();
    finalize_if_over(*job);
    return;
  }
  p.exit_committed = true;
  switch (p.cause) {
    case ExitCause::Error:
      task_failed(*job, m);
      task.not_before = now + std::min<Time>(heartbeat_interval() * job->errors, worker_lease());
      outbox_.log(Log::Level::Info, LogEvent::TaskError,
                  {{"machine", m.name}, {"task", p.key}, {"errors", job->errors}});
      break;
    case ExitCause::NoRoom:
    case ExitCause::Busy:
    case ExitCause::Unknown:
      task.not_before = now + heartbeat_interval();
      outbox_.log(Log::Level::Info, LogEvent::StartRejected,
                  {{"machine", m.name}, {"task", p.key}, {"cause", p.cause}});
      break;
    default:
      break;
  }
  finish_hold();
  finalize_if_over(*job);
}

// Counts a failed task against its machine, or against its job if the job is suspect. A job
// submitted with a mistake fails on every machine, while a faulty machine fails several jobs that
// run elsewhere. Without this distinction, two jobs with a mistake caused every machine that they
// ran on to be terminated.
void Controller::task_failed(Job& job, Machine& m) {
  ++job.errors;
  job.error_machines.insert(m.name);
  if (!job.suspect()) {
    m.error_jobs.insert(job.spec().id);
  } else {
    for (const std::string& name : job.error_machines)
      if (Machine* other = tables_.machine(name)) other->error_jobs.erase(job.spec().id);
    // Tasks of a suspect job retry one at a time, with increasing backoff. Tasks that fail and
    // restart at once would take room, image fetches and starts from work that runs.
    job.not_before =
        clock_.now + std::min<Time>(heartbeat_interval() * job.errors, 2 * worker_lease());
  }
}

// Cordons the machine as faulty if several jobs failed on it that run elsewhere. While it isn't
// known whether they do, the machine is quarantined and gets no work.
void Controller::check_for_fault(Machine& m) {
  if (m.cordoned || m.error_jobs.size() < kFaultyJobs) return;
  const auto runs_elsewhere = [&](const std::string& id) {
    Job* job = tables_.job(id);
    if (job == nullptr)
      return tables_.finished.contains(id) && tables_.finished.at(id).phase == Phase::Done;
    if (job->proven) return true;
    for (const Task& t : job->tasks)
      if (t.machine != nullptr && t.machine != &m)
        for (const TaskAttempt& p : t.machine->attempts)
          job->proven = job->proven || (p.job == job && p.state == AttemptState::Running &&
                                        clock_.now - p.running_since > 5 * heartbeat_interval());
    return job->proven;
  };
  const auto proven = static_cast<std::size_t>(
      std::count_if(m.error_jobs.begin(), m.error_jobs.end(), runs_elsewhere));
  if (proven >= kFaultyJobs)
    cordon(m, CordonCause::Faulty);
  else if (clock_.now >= m.quarantined_until)
    quarantine(m, QuarantineCause::TaskErrors);
}

std::vector<Command> Controller::commands_for(Machine& m, std::uint64_t heartbeat_seq) {
  std::vector<Command> out;
  // Stop and forget commands come before starts: they free the room that the starts need.
  for (std::size_t i = m.attempts.size(); i-- > 0;) {
    TaskAttempt& p = m.attempts[i];
    if (out.size() >= kMaxCommands) return out;
    if (p.state == AttemptState::Exited) {
      if (p.exit_committed) out.push_back({Command::Op::Forget, p.key, p.attempt, 0});
    } else if (p.stop) {
      if (p.state == AttemptState::Reserved) {
        drop(m, i);
      } else if (p.state != AttemptState::Saving || p.grace_s <= 0) {
        out.push_back({Command::Op::Stop, p.key, p.attempt, p.grace_s});
      }
    } else if (p.state == AttemptState::Reserved && p.job != nullptr &&
               !Tables::zone_allowed(*p.job, m.zone)) {
      // After this attempt was placed, tasks of the job were found in other zones.
      drop(m, i);
      scheduling_needed_ = true;
    }
  }
  if (!m.recorded || !usable(m)) return out;
  for (TaskAttempt& p : m.attempts) {
    if (out.size() >= kMaxCommands) break;
    if (p.state != AttemptState::Reserved || p.job == nullptr || !p.job->active() ||
        !p.job->committed || p.key.index >= p.job->started)
      continue;
    p.state = AttemptState::Sent;
    p.sent_seq = heartbeat_seq;
    note_fetch_begun(m, p.job->spec());
    ++p.sends;
    p.since = clock_.now;
    out.push_back({Command::Op::Start, p.key, p.attempt, 0});
    outbox_.log(Log::Level::Debug, LogEvent::TaskStart,
                {{"machine", m.name},
                 {"task", p.key},
                 {"attempt", p.attempt},
                 {"waited_ms", clock_.now - p.job->accepted},
                 {"zones", zones_known(*p.job)}});
  }
  return out;
}

// Describes, for log lines, the zones and numbers of the placed tasks that restrict where the job's
// other tasks may start.
std::string Controller::zones_known(const Job& job) {
  if (!job.spec().one_zone && !job.spec().spread) return "any";
  std::string zones;
  for (const auto& [zone, tasks] : job.per_zone)
    zones += (zones.empty() ? "" : ",") + zone + ":" + std::to_string(tasks);
  return zones;
}

// Removes a machine whose termination the cloud has confirmed.
void Controller::machine_gone(Machine& m, IncarnationLossCause cause) {
  outbox_.log(Log::Level::Info, LogEvent::MachineGone, {{"machine", m.name}, {"cause", cause}});
  incarnation_lost(m, cause);
  if (m.recorded || m.record_dirty) checkpoint_.mark_machine_changed(m.name);
  reservations_.erase(&m);
  scheduling_needed_ = true;
  tables_.remove_machine(std::string(m.name));
}

}  // namespace sailreel
