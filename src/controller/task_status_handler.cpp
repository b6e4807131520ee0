// Handles the task statuses in heartbeats, builds the commands that answer them, and decides when a
// task has certainly ended.
#include "controller/controller.hpp"

namespace sailreel {
namespace {
/// The maximum number of commands in a response to a worker, which has to stay below 64 KiB.
constexpr std::size_t kMaxCommandsPerResponse = 300;
/// How often a start is sent before its machine is quarantined. A start that the worker's next
/// heartbeat doesn't show was dropped; if that repeats, the machine or the connection to it is
/// faulty.
constexpr std::uint32_t kMaxStartSends = 3;
/// A machine is faulty if this many jobs failed on it that run elsewhere.
constexpr std::size_t kMinJobsFailedByFaultyMachine = 2;
}  // namespace

// Handles an attempt that is bound to the machine but missing from the machine's heartbeat.
void Controller::handle_missing_task(Machine& machine, std::size_t index,
                                     std::uint64_t heartbeat_seq, bool direct) {
  TaskAttempt& attempt = machine.attempts[index];
  if (attempt.state == AttemptState::Reserved) return;
  if (attempt.state == AttemptState::Sent) {
    // A worker has one heartbeat in flight at a time. Its next heartbeat after the one whose
    // response carried the start shows whether the start was carried out or dropped. The response
    // to a direct command doesn't show that.
    if (direct || heartbeat_seq <= attempt.sent_seq) return;
    attempt.state = AttemptState::Reserved;
    if (attempt.sends < kMaxStartSends) return;
    outbox_.log(Log::Level::Info, LogEvent::StartNotAcknowledged,
                {{"machine", machine.name}, {"task", attempt.key}});
    quarantine(machine, QuarantineCause::StartsNotAcknowledged);
  } else if (attempt.state != AttemptState::Exited) {
    outbox_.log(Log::Level::Info, LogEvent::TaskMissing,
                {{"machine", machine.name}, {"task", attempt.key}, {"attempt", attempt.attempt}});
  }
  drop_attempt(machine, index);
  scheduling_needed_ = true;
}

// Removes an attempt from the machine's list; this may complete the job.
void Controller::drop_attempt(Machine& machine, std::size_t index) {
  const TaskAttempt& attempt = machine.attempts[index];
  Job* job = attempt.job != nullptr ? attempt.job : attempt.orphan_of;
  tables_.remove_attempt(machine, index);
  if (job == nullptr) return;
  review_gang(*job);
  finalize_if_over(*job);
}

// Drops the attempts whose start hasn't been sent; their tasks can be placed elsewhere at once.
void Controller::drop_unsent_on_machine(Machine& machine) {
  for (std::size_t i = machine.attempts.size(); i-- > 0;)
    if (machine.attempts[i].state == AttemptState::Reserved) drop_attempt(machine, i);
  scheduling_needed_ = true;
}

void Controller::quarantine(Machine& machine, QuarantineCause cause) {
  machine.quarantined_until = clock_.now + 2 * worker_lease();
  outbox_.log(Log::Level::Info, LogEvent::MachineQuarantined,
              {{"machine", machine.name}, {"cause", cause}});
}

// Drops all attempts of a machine whose incarnation has certainly ended.
void Controller::handle_incarnation_loss(Machine& machine, IncarnationLossCause cause) {
  if (machine.attempts.empty()) return;
  outbox_.log(Log::Level::Info, LogEvent::IncarnationLost,
              {{"machine", machine.name},
               {"count", machine.attempts.size()},
               {"zone", machine.zone},
               {"incarnation", machine.incarnation},
               {"heard_ms", clock_.now - machine.last_heartbeat},
               {"answered_ms", clock_.now - machine.last_response},
               {"cause", cause}});
  while (!machine.attempts.empty()) drop_attempt(machine, machine.attempts.size() - 1);
  machine.idle_since = clock_.now;
  machine.fetching_now.clear();
  scheduling_needed_ = true;
}

void Controller::apply_task_status(Machine& machine, const TaskStatus& status,
                                   std::vector<bool>& reported) {
  TaskAttempt* attempt = machine.find(status.key, status.attempt);
  if (attempt != nullptr) {
    const auto index = static_cast<std::size_t>(attempt - machine.attempts.data());
    if (index < reported.size()) reported[index] = true;
  } else {
    attempt = &adopt_attempt(machine, status);
  }
  if (attempt->state == AttemptState::Exited) return;
  switch (status.state) {
    case RunState::Fetching:
      return update_attempt_state(machine, *attempt, AttemptState::Fetching);
    case RunState::Waiting:
      return update_attempt_state(machine, *attempt, AttemptState::Waiting);
    case RunState::Running:
      return update_attempt_state(machine, *attempt, AttemptState::Running);
    case RunState::Saving:
      return update_attempt_state(machine, *attempt, AttemptState::Saving);
    case RunState::Exited:
      attempt->cause = status.cause;
      return handle_task_exit(machine, *attempt);
  }
}

// Adds an attempt that a heartbeat shows and this controller doesn't know: a former leader started
// it, or it is reported again after it was considered gone.
TaskAttempt& Controller::adopt_attempt(Machine& machine, const TaskStatus& status) {
  Job* job = tables_.job(status.key.job);
  if (job != nullptr && status.key.index >= job->tasks.size()) job = nullptr;
  const bool on_machine = status.state != RunState::Exited;
  const TaskState known_state =
      job != nullptr ? job->tasks[status.key.index].state : TaskState::Done;
  const bool unplaced = known_state == TaskState::Unknown || known_state == TaskState::Queued;
  TaskAttempt& attempt =
      job != nullptr && on_machine && unplaced
          ? tables_.place(*job, status.key.index, machine, status.attempt, clock_.now)
          : add_orphan(machine, status, job);
  // The task status itself proves that the start was carried out.
  attempt.state = AttemptState::Sent;
  if (job != nullptr && on_machine && !job->active()) stop_task(attempt, 0);
  // Once its image is fetched, the task would start in a zone that the job's other tasks rule out.
  if (job != nullptr && status.state == RunState::Fetching &&
      !Tables::zone_allowed(*job, machine.zone))
    stop_task(attempt, 0);
  if (job != nullptr) review_gang(*job);
  return attempt;
}

// Adds an attempt that is not the task's current one. While it is on the machine, it counts against
// the team and the machine; it is stopped.
TaskAttempt& Controller::add_orphan(Machine& machine, const TaskStatus& status, Job* job) {
  TaskAttempt orphan;
  orphan.key = status.key;
  orphan.attempt = status.attempt;
  orphan.since = clock_.now;
  const bool on_machine = status.state != RunState::Exited;
  if (on_machine) {
    orphan.held = true;
    if (job != nullptr) Tables::hold_orphan(*job, machine, orphan);
    outbox_.log(Log::Level::Info, LogEvent::OrphanedAttempt,
                {{"machine", machine.name}, {"task", status.key}, {"attempt", status.attempt}});
  } else {
    orphan.job = job;
    if (job != nullptr) job->machines_used.insert(machine.name);
  }
  orphan.stop = on_machine;
  machine.attempts.push_back(std::move(orphan));
  return machine.attempts.back();
}

void Controller::update_attempt_state(Machine& machine, TaskAttempt& attempt, AttemptState state) {
  if (state == attempt.state) return;
  const auto is_running = [](AttemptState attempt_state) {
    return attempt_state == AttemptState::Running || attempt_state == AttemptState::Saving;
  };
  const bool was_running = is_running(attempt.state);
  attempt.state = state;
  attempt.since = clock_.now;
  if (state == AttemptState::Waiting && attempt.job != nullptr)
    record_image_held(machine, attempt.job->spec());
  if (is_running(state) == was_running) return;
  if (attempt.job != nullptr) review_gang(*attempt.job);
  if (attempt.job != nullptr && attempt.held) attempt.job->running += was_running ? -1 : 1;
  if (was_running) return;
  attempt.running_since = clock_.now;
  if (attempt.job != nullptr) record_image_held(machine, attempt.job->spec());
  outbox_.log(Log::Level::Debug, LogEvent::TaskRunning,
              {{"machine", machine.name}, {"task", attempt.key}, {"attempt", attempt.attempt}});
}

void Controller::record_completed_task(Job& job, std::uint32_t index, const Machine& machine) {
  tables_.mark_done(job, index);
  // The tasks of a gang complete together, so one completed task completes all.
  for (std::uint32_t i = 0; is_gang(job) && i < job.spec().tasks; ++i) tables_.mark_done(job, i);
  if (job.active() && job.record.done.count() == job.spec().tasks) job.record.phase = Phase::Done;
  checkpoint_.mark_changed(job);
  checkpoint_.mark_task_finished(machine.name, job, index);
}

void Controller::handle_task_exit(Machine& machine, TaskAttempt& attempt) {
  const Time now = clock_.now;
  Job* job = attempt.job;
  Job* orphan_of = attempt.orphan_of;
  const bool was_held = attempt.held;
  const auto mark_exited = [&] {
    if (was_held) tables_.release_attempt(machine, attempt);
    attempt.state = AttemptState::Exited;
    attempt.since = now;
  };
  outbox_.log(Log::Level::Debug, LogEvent::TaskExited,
              {{"machine", machine.name},
               {"task", attempt.key},
               {"attempt", attempt.attempt},
               {"cause", attempt.cause}});
  scheduling_needed_ = true;
  if (job == nullptr) {
    mark_exited();
    attempt.exit_committed = true;
    if (orphan_of == nullptr) return;
    review_gang(*orphan_of);
    return finalize_if_over(*orphan_of);
  }
  review_gang(*job);
  Task& task = job->tasks[attempt.key.index];
  // In a completed gang, tasks that exited for another reason count as completed as well.
  const bool gang_done = is_gang(*job) && task.state == TaskState::Done;
  if (is_gang(*job) && was_held && attempt.cause != ExitCause::Done) gang_state(*job).end_attempt();
  if (attempt.cause == ExitCause::Done && job->spec().kind != JobKind::Service) {
    job->known_to_run = true;
    if (task.state == TaskState::Done && (!was_held || gang_done)) {
      // The completion is known already: it is either committed or part of a pending checkpoint
      // commit.
      attempt.exit_committed =
          job->record.done.test(attempt.key.index) && !job->dirty && !job->in_flight_phase;
      if (!attempt.exit_committed)
        checkpoint_.mark_task_finished(machine.name, *job, attempt.key.index);
    } else {
      record_completed_task(*job, attempt.key.index, machine);
      if (task.machine != nullptr && task.machine != &machine)
        for (TaskAttempt& other : task.machine->attempts)
          if (other.job == job && other.key.index == attempt.key.index && other.held)
            stop_task(other, 0);
    }
    mark_exited();
    finalize_if_over(*job);
    return;
  }
  attempt.exit_committed = true;
  switch (attempt.cause) {
    case ExitCause::Error:
      handle_task_error(*job, machine);
      task.not_before = now + std::min<Time>(heartbeat_interval() * job->errors, worker_lease());
      outbox_.log(Log::Level::Info, LogEvent::TaskError,
                  {{"machine", machine.name}, {"task", attempt.key}, {"errors", job->errors}});
      break;
    case ExitCause::NoRoom:
    case ExitCause::Busy:
    case ExitCause::Unknown:
      task.not_before = now + heartbeat_interval();
      outbox_.log(Log::Level::Info, LogEvent::StartRejected,
                  {{"machine", machine.name}, {"task", attempt.key}, {"cause", attempt.cause}});
      break;
    default:
      break;
  }
  mark_exited();
  finalize_if_over(*job);
}

// Counts a failed task against its machine, or against its job if the job is suspect. A job
// submitted with a mistake fails on every machine, while a faulty machine fails several jobs that
// run elsewhere. Without this distinction, two jobs with a mistake would cause every machine that
// they run on to be terminated.
void Controller::handle_task_error(Job& job, Machine& machine) {
  ++job.errors;
  job.error_machines.insert(machine.name);
  if (!job.likely_invalid()) {
    machine.error_jobs.insert(job.spec().id);
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
void Controller::check_for_fault(Machine& machine) {
  if (machine.cordoned || machine.error_jobs.size() < kMinJobsFailedByFaultyMachine) return;
  const auto runs_elsewhere = [&](const std::string& id) {
    Job* job = tables_.job(id);
    if (job == nullptr)
      return tables_.finished.contains(id) && tables_.finished.at(id).phase == Phase::Done;
    if (job->known_to_run) return true;
    for (const Task& task : job->tasks)
      if (task.machine != nullptr && task.machine != &machine)
        for (const TaskAttempt& attempt : task.machine->attempts)
          job->known_to_run =
              job->known_to_run || (attempt.job == job && attempt.state == AttemptState::Running &&
                                    clock_.now - attempt.running_since > 5 * heartbeat_interval());
    return job->known_to_run;
  };
  const auto jobs_running_elsewhere = static_cast<std::size_t>(
      std::count_if(machine.error_jobs.begin(), machine.error_jobs.end(), runs_elsewhere));
  if (jobs_running_elsewhere >= kMinJobsFailedByFaultyMachine)
    cordon(machine, CordonCause::Faulty);
  else if (clock_.now >= machine.quarantined_until)
    quarantine(machine, QuarantineCause::TaskErrors);
}

std::vector<Command> Controller::commands_for(Machine& machine, std::uint64_t heartbeat_seq) {
  std::vector<Command> commands;
  // Stop and forget commands come before starts: they free the room that the starts need.
  for (std::size_t i = machine.attempts.size(); i-- > 0;) {
    TaskAttempt& attempt = machine.attempts[i];
    if (commands.size() >= kMaxCommandsPerResponse) return commands;
    if (attempt.state == AttemptState::Exited) {
      if (attempt.exit_committed)
        commands.push_back({Command::Op::Forget, attempt.key, attempt.attempt, 0});
    } else if (attempt.stop) {
      if (attempt.state == AttemptState::Reserved) {
        drop_attempt(machine, i);
      } else if (attempt.state != AttemptState::Saving || attempt.grace_s <= 0) {
        commands.push_back({Command::Op::Stop, attempt.key, attempt.attempt, attempt.grace_s});
      }
    } else if (attempt.state == AttemptState::Reserved && attempt.job != nullptr &&
               !Tables::zone_allowed(*attempt.job, machine.zone)) {
      // After this attempt was placed, tasks of the job were found in other zones.
      drop_attempt(machine, i);
      scheduling_needed_ = true;
    }
  }
  if (!machine.recorded || !can_start_tasks(machine)) return commands;
  for (TaskAttempt& attempt : machine.attempts) {
    if (commands.size() >= kMaxCommandsPerResponse) break;
    if (attempt.state != AttemptState::Reserved || attempt.job == nullptr ||
        !attempt.job->active() || !attempt.job->committed ||
        attempt.key.index >= attempt.job->committed_started)
      continue;
    attempt.state = AttemptState::Sent;
    attempt.sent_seq = heartbeat_seq;
    record_fetch_started(machine, attempt.job->spec());
    ++attempt.sends;
    attempt.since = clock_.now;
    commands.push_back({Command::Op::Start, attempt.key, attempt.attempt, 0});
    outbox_.log(Log::Level::Debug, LogEvent::TaskStart,
                {{"machine", machine.name},
                 {"task", attempt.key},
                 {"attempt", attempt.attempt},
                 {"waited_ms", clock_.now - attempt.job->accepted},
                 {"zones", zones_known(*attempt.job)}});
  }
  return commands;
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
void Controller::handle_machine_gone(Machine& machine, IncarnationLossCause cause) {
  outbox_.log(Log::Level::Info, LogEvent::MachineGone,
              {{"machine", machine.name}, {"cause", cause}});
  handle_incarnation_loss(machine, cause);
  if (machine.recorded || machine.record_dirty) checkpoint_.mark_machine_changed(machine.name);
  reservations_.erase(&machine);
  scheduling_needed_ = true;
  tables_.remove_machine(std::string(machine.name));
}

}  // namespace sailreel
