// Stops tasks: to preempt them for more important tasks, to migrate replicas, or because their job
// is cancelled.
#include <limits>

#include "controller/controller.hpp"
#include "protocol/worker_codec.hpp"

namespace sailreel {
namespace {
/// In ms. The start of a replica that is stopped sooner doesn't count as a start (protocol, "How
/// aims are counted"), so replicas are not migrated sooner.
constexpr Time kMinRunBeforeMigrationMs = 30'000;
/// At most this many replicas are migrated to let one task start on a machine that holds its image.
constexpr std::size_t kMaxMigrationsPerStart = 2;
}  // namespace

// The grace period in seconds for the job's tasks; 0 if they don't save their progress.
double Controller::grace_period_s(const Job& job) const {
  const JobSpec& spec = job.spec();
  // Slightly longer than a task needs to save its progress: with less, the progress is lost.
  return spec.checkpoint_s > 0 ? spec.save_s * 1.1 + 0.1 : 0;
}

// Marks an attempt to be stopped, with a grace period in seconds.
void Controller::stop_task(TaskAttempt& attempt, double grace_s) {
  // A repeated stop can only shorten the grace period, for example to end a task that is saving.
  attempt.grace_s = attempt.stop ? std::min(attempt.grace_s, grace_s) : grace_s;
  attempt.stop = true;
  if (!attempt.held || attempt.job == nullptr) return;
  if (Machine* machine = attempt.job->tasks[attempt.key.index].machine) {
    stops_due_.insert(machine->name);
    machine_changed(*machine);
  }
}

// Sends stops directly to the machines. Without this, a cancelled task would keep running, and
// tasks that need its room would keep waiting, until the machine's next heartbeat, which may be
// more than an interval away. Stops are also sent in the responses to heartbeats, so nothing
// depends on the direct ones. A direct stop that arrives after its attempt has ended has no effect.
void Controller::stop_tick() {
  while (!stops_due_.empty() && !outbox_.worker_call_limit_reached()) {
    Machine* machine = tables_.machine(*stops_due_.begin());
    stops_due_.erase(stops_due_.begin());
    if (machine == nullptr || !machine->heard_in_epoch || machine->silent || machine->terminating ||
        machine->address.empty())
      continue;
    std::vector<Command> stops;
    for (const TaskAttempt& attempt : machine->attempts)
      if (attempt.stop && attempt.state >= AttemptState::Sent &&
          attempt.state <= AttemptState::Running)
        stops.push_back({Command::Op::Stop, attempt.key, attempt.attempt, attempt.grace_s});
    if (stops.empty()) continue;
    outbox_.call_worker(
        machine->address, encode_command_request(election_.epoch(), machine->incarnation, stops),
        commands_valid_until(),
        [this, name = machine->name, sent = clock_.now](int status,
                                                        const std::optional<Heartbeat>& heartbeat) {
          if (status == 200 && heartbeat && heartbeat->machine == name &&
              heartbeat->fencing_token == election_.epoch() && tables_.machine(name) != nullptr)
            apply_heartbeat(*heartbeat, sent);
        });
  }
}

// Stops all tasks of a job. Attempts whose start hasn't been sent are removed. Other attempts are
// stopped at the latest by the next response to their worker's heartbeat, by which time the worker
// has carried out or dropped the start.
void Controller::stop_job(Job& job) {
  for (const Task& task : job.tasks) {
    if (task.machine == nullptr) continue;
    Machine& machine = *task.machine;
    for (std::size_t i = machine.attempts.size(); i-- > 0;) {
      TaskAttempt& attempt = machine.attempts[i];
      if (attempt.job != &job || !attempt.held) continue;
      if (attempt.state == AttemptState::Reserved)
        tables_.remove_attempt(machine, i);
      else
        stop_task(attempt, 0);
    }
  }
}

// True if the job may preempt the attempt. Tasks of lower priority may be preempted. A task of the
// same priority may be preempted only if it belongs to another team and exceeds that team's
// guaranteed quota, and the preempting job is within its own team's guaranteed quota.
bool Controller::may_preempt(const Job& job, const TaskAttempt& attempt) const {
  if (!attempt.held || attempt.job == nullptr || attempt.stop || attempt.migrating ||
      attempt.job == &job)
    return false;
  const JobSpec& victim = attempt.job->spec();
  if (victim.priority > job.spec().priority) return true;
  if (attempt.job->team == job.team || victim.priority < job.spec().priority) return false;
  if (!job.guaranteed || attempt.job->guaranteed) return false;
  // Nothing more is preempted once the other team's usage is within its guaranteed quota.
  return attempt.team != nullptr && !attempt.team->within_guarantee(attempt.team->used);
}

// Reserves room for one more task of the job on some machine, preempting other tasks there if
// needed. Returns false if no machine can provide the room.
bool Controller::preempt_for(Job& job, bool warm_only, const std::string& zone) {
  const JobSpec& spec = job.spec();
  const ResourceRequest want = resource_request_of(spec);
  // If preemption has failed in this pass for a job of the same team and priority that needs no
  // more than this one, it fails for this one too.
  for (const FailedPreemption& failed : no_preemption_for_)
    if (failed.priority == spec.priority && failed.team == job.team &&
        failed.guaranteed == job.guaranteed &&
        (failed.image.empty() || (warm_only && failed.image == spec.image)) &&
        want.needs_at_least(failed.want))
      return false;
  if (preempt_on_best_machine(job, warm_only, zone)) return true;
  // If the zones of a job's own tasks, or the machines on which it has failed, restrict it, its
  // failure doesn't imply that other jobs fail.
  if (!spec.spread && !spec.one_zone && job.error_machines.empty())
    no_preemption_for_.push_back(
        {want, spec.priority, job.team, job.guaranteed, warm_only ? spec.image : std::string()});
  return false;
}

MachineRanking<double>& Controller::preemption_ranking(const Job& job, bool warm_only,
                                                       const std::string& zone) {
  const auto rate = [this, &job, warm_only](const Machine& machine) -> MachineRating<double> {
    ++examined_;
    if (!accepts_new_tasks(machine) || !tables_.meets_constraints(job.spec(), machine)) return {};
    if (warm_only && !machine.has_image(job.spec().image)) return {};
    const std::optional<PreemptionPlan> plan =
        preemption_plan_on(*preemption_rankings_.machines()[*machine.preemption_index], job);
    if (!plan) return {};
    return {plan->cost, true};
  };
  const JobSpec& spec = job.spec();
  return preemption_rankings_.get({spec.image, spec.priority, job.team, job.guaranteed, warm_only,
                                   zone, resource_request_of(spec)},
                                  max_rankings(), machines_changed_, rate);
}

bool Controller::preempt_on_best_machine(Job& job, bool warm_only, const std::string& zone) {
  MachineRanking<double>& ranking = preemption_ranking(job, warm_only, zone);
  const auto zone_open = [&](const std::string& other) {
    return (zone.empty() || other == zone) && tables_.zone_accepts_task(job, other);
  };
  // Where the job has failed, tasks are stopped for it only if no other machine can provide room,
  // and not at all if the task could fetch its image elsewhere.
  const auto has_failed_on = [&](std::size_t index) {
    return job.error_machines.contains(preemption_rankings_.machines()[index]->name);
  };
  const auto own_score = [&](std::size_t index, double kind_score) {
    return has_failed_on(index) ? std::numeric_limits<double>::infinity() : kind_score;
  };
  Machine* best = nullptr;
  std::optional<PreemptionPlan> plan;
  while (!plan) {
    const std::optional<std::size_t> index = ranking.best(zone_open, own_score);
    if (!index || (warm_only && has_failed_on(*index))) return false;
    best = preemption_rankings_.machines()[*index];
    plan = preemption_plan_on(*best, job);
    // The machine's rating may be outdated although the machine hasn't changed: which tasks may be
    // preempted also depends on the teams' usage.
    if (!plan) ranking.update(*index);
  }
  reserve_for(job, *best, job.spec().need,
              warm_only ? ReservationCause::ImageHolderPreempted : ReservationCause::Preempted);
  for (TaskAttempt* attempt : plan->victims) {
    outbox_.log(Log::Level::Info, LogEvent::TaskPreempted,
                {{"machine", best->name}, {"task", attempt->key}, {"for", job.spec().id}});
    stop_with_gang(*attempt, grace_period_s(*attempt->job));
  }
  return true;
}

// Returns the tasks to preempt on a machine to make room for one more task of the job; empty if
// preemption can't make enough room there.
std::optional<Controller::PreemptionPlan> Controller::preemption_plan_on(Machine& machine,
                                                                         const Job& job) const {
  const JobSpec& spec = job.spec();
  PreemptionPlan plan;
  plan.cost = machine.has_image(spec.image) ? 0 : 1;
  Resources room = room_after_stops(machine);
  if (spec.need.fits_in(room)) return plan;
  Resources max_room = room;
  std::vector<TaskAttempt*> candidates;
  for (TaskAttempt& attempt : machine.attempts)
    if (may_preempt(job, attempt)) {
      candidates.push_back(&attempt);
      max_room += attempt.need;
    }
  if (!spec.need.fits_in(max_room)) return {};
  std::sort(candidates.begin(), candidates.end(), preempted_before);
  std::set<const Job*> gangs;
  for (TaskAttempt* attempt : candidates) {
    const bool stopped_already = gangs.contains(attempt->job);
    if (spec.need.fits_in(room) && !stopped_already) break;
    room += attempt->need;
    if (stopped_already) continue;
    plan.victims.push_back(attempt);
    plan.cost += preemption_cost(*attempt);
    if (is_gang(*attempt->job)) gangs.insert(attempt->job);
  }
  if (!spec.need.fits_in(room)) return {};
  return plan;
}

// Orders the candidates for preemption. The lowest priority comes first, and within a priority
// array and gang tasks come before replicas. Of array and gang tasks, the one that has run for the
// shortest time comes first, because its work is lost. Of replicas, the one that has run for the
// longest time comes first, because the start of a replica that is stopped soon afterwards doesn't
// count.
bool Controller::preempted_before(const TaskAttempt* first, const TaskAttempt* second) {
  const JobSpec& first_spec = first->job->spec();
  const JobSpec& second_spec = second->job->spec();
  if (first_spec.priority != second_spec.priority)
    return first_spec.priority > second_spec.priority;
  const bool loses_work = first_spec.kind != JobKind::Service;
  if (loses_work != (second_spec.kind != JobKind::Service)) return loses_work;
  return loses_work ? first->running_since > second->running_since
                    : first->running_since < second->running_since;
}

// The relative cost of preempting a task. The loss of a replica affects its service only briefly;
// an array or gang task loses the progress that it hasn't saved. A gang is stopped as a whole, so
// all of its placed tasks count.
double Controller::preemption_cost(const TaskAttempt& attempt) const {
  constexpr double kReplicaCost = 2, kCheckpointedCost = 2, kUncheckpointedCost = 1,
                   kAllWorkLostCost = 3;
  const JobSpec& spec = attempt.job->spec();
  const double tasks = is_gang(*attempt.job) ? static_cast<double>(attempt.job->placed) : 1;
  if (spec.kind == JobKind::Service || attempt.state != AttemptState::Running)
    return kReplicaCost * tasks;
  if (spec.checkpoint_s > 0) return kCheckpointedCost * tasks;
  const double ran_s = static_cast<double>(clock_.now - attempt.running_since) / 1000.0;
  return tasks * (kUncheckpointedCost +
                  kAllWorkLostCost * std::min(1.0, ran_s / std::max(1.0, spec.estimate_s)));
}

// True if the attempt is a replica that may be stopped to run on another machine.
bool Controller::migratable(const TaskAttempt& attempt) const {
  return attempt.held && attempt.job != nullptr && attempt.job->active() &&
         attempt.job->spec().kind == JobKind::Service && attempt.state == AttemptState::Running &&
         !attempt.stop && !attempt.migrating &&
         clock_.now - attempt.running_since > kMinRunBeforeMigrationMs;
}

// Begins the migration of a replica; migration_tick stops it later.
void Controller::migrate_replica(TaskAttempt& attempt, Machine& from, const Machine& to) {
  attempt.migrating = true;
  machine_changed(from);
  // The room on the target machine is reserved until the replica starts or the migration times out.
  // A replica that loses it to another task may have to fetch its image elsewhere, which takes
  // about half a minute.
  migrations_[task_name(attempt.key)] = {
      from.name, to.name, attempt.need, clock_.now + worker_lease(), attempt.key, attempt.attempt};
}

// Stops migrating replicas shortly before the next heartbeat of their target machine is due. The
// start is sent in the response to that heartbeat, so a replica is down for a fraction of a
// heartbeat interval instead of more than one. Only the stop is sent directly: the outcome of a
// direct start would have to be awaited, possibly for minutes.
void Controller::migration_tick() {
  const Time min_heartbeat_age = heartbeat_interval() * 3 / 4;
  for (auto it = migrations_.begin(); it != migrations_.end();) {
    Migration& move = it->second;
    Machine* from = tables_.machine(move.from);
    const Machine* to = tables_.machine(move.to);
    TaskAttempt* attempt = from != nullptr ? from->find(move.key, move.attempt) : nullptr;
    const bool obsolete = !move.begun && (attempt == nullptr || attempt->stop || !attempt->held ||
                                          to == nullptr || !can_start_tasks(*to));
    if (obsolete || clock_.now >= move.until) {
      if (attempt != nullptr) attempt->migrating = false;
      it = migrations_.erase(it);
      continue;
    }
    ++it;
    if (move.begun || clock_.now - to->last_own_heartbeat < min_heartbeat_age) continue;
    move.begun = true;
    stop_task(*attempt, grace_period_s(*attempt->job));
  }
}

// Makes room for a task on a machine that holds its image but is full of tasks that are as
// important, by migrating replicas from there to other machines that hold the replicas' images. A
// migration takes a second or two, while fetching an image takes half a minute. Returns false if no
// machine can provide the room.
bool Controller::migrate_for(Job& job) {
  const JobSpec& spec = job.spec();
  const ResourceRequest want = resource_request_of(spec);
  for (const FailedMigration& failed : no_migration_for_)
    if (failed.image == spec.image && want.needs_at_least(failed.want)) return false;
  Machine* best = nullptr;
  std::vector<PlannedMigration> best_plan;
  const auto holders = image_holders().find(spec.image);
  if (holders == image_holders().end()) return false;
  for (Machine* machine : holders->second) {
    ++examined_;
    if (!may_run_beside_image(job, *machine)) continue;
    std::optional<std::vector<PlannedMigration>> plan = plan_migrations(*machine, job);
    if (!plan || (best != nullptr && plan->size() >= best_plan.size())) continue;
    best = machine;
    best_plan = std::move(*plan);
  }
  if (best == nullptr) {
    if (!spec.spread && !spec.one_zone && job.error_machines.empty())
      no_migration_for_.push_back({want, spec.image});
    return false;
  }
  reserve_for(job, *best, spec.need, ReservationCause::ImageHolderMigrated);
  for (const auto& [attempt, to] : best_plan) {
    outbox_.log(
        Log::Level::Info, LogEvent::ReplicaMigration,
        {{"machine", best->name}, {"task", attempt->key}, {"to", to->name}, {"for", spec.id}});
    reserve(*to, attempt->need);
    migrate_replica(*attempt, *best, *to);
  }
  return true;
}

// Returns the migrations that make room for one more task of the job on a machine; empty if
// kMaxMigrationsPerStart migrations are not enough or there are no target machines for them.
std::optional<std::vector<Controller::PlannedMigration>> Controller::plan_migrations(
    Machine& machine, const Job& job) {
  const Resources& need = job.spec().need;
  Resources room = room_after_stops(machine);
  std::vector<PlannedMigration> plan;
  for (TaskAttempt& attempt : machine.attempts) {
    if (need.fits_in(room) || plan.size() >= kMaxMigrationsPerStart) break;
    if (!migratable(attempt) || attempt.job == &job) continue;
    Machine* to = find_migration_target(attempt, machine, reservations_, plan);
    if (to == nullptr) continue;
    room += attempt.need;
    plan.push_back({&attempt, to});
  }
  if (!need.fits_in(room)) return {};
  return plan;
}

// Builds the index of image holders at the first use in a scheduling pass or autoscaler run, within
// which the cached images don't change.
const Controller::ImageHolders& Controller::image_holders() {
  if (!image_holders_.empty()) return image_holders_;
  for (auto& [name, machine] : tables_.machines) {
    ++examined_;
    for (const CachedImage& image : machine->images)
      image_holders_[image.name].push_back(machine.get());
  }
  return image_holders_;
}

// Returns a machine to which a running replica can migrate, or null: one that holds its image and
// has room for it in addition to the room in `reservations` and the migrations of the plan so far.
Machine* Controller::find_migration_target(const TaskAttempt& attempt, const Machine& from,
                                           const Reservations& reservations,
                                           const std::vector<PlannedMigration>& plan) {
  const JobSpec& spec = attempt.job->spec();
  const auto holders = image_holders().find(spec.image);
  if (holders == image_holders().end()) return nullptr;
  for (Machine* machine : holders->second) {
    ++examined_;
    if (machine == &from || machine->spot != from.spot || !accepts_new_tasks(*machine)) continue;
    // A migration within a zone can't violate the job's zone constraints.
    if (machine->zone == from.zone ? !tables_.type_allowed(spec, machine->type)
                                   : !tables_.allowed(*attempt.job, *machine))
      continue;
    Resources room = unreserved_room(reservations, *machine);
    for (const PlannedMigration& step : plan)
      if (step.to == machine) room -= step.attempt_record->need;
    if (spec.need.fits_in(room)) return machine;
  }
  return nullptr;
}

}  // namespace sailreel
