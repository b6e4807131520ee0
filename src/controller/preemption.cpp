// Stops tasks: to preempt them for more important tasks, to migrate replicas, or because their job
// is cancelled.
#include "controller/controller.hpp"
#include "protocol/worker_codec.hpp"

namespace sailreel {
namespace {
/// In ms. The start of a replica that is stopped sooner doesn't count as a start (protocol, "How
/// aims are counted"), so replicas are not migrated sooner.
constexpr Time kCountedStart = 30'000;
/// At most this many replicas are migrated to let one task start on a machine that holds its image.
constexpr std::size_t kMovesForAStart = 2;
}  // namespace

// The grace period in seconds for the job's tasks; 0 if they don't save their progress.
double Controller::grace_for(const Job& job) const {
  const JobSpec& s = job.spec();
  // Slightly longer than a task needs to save its progress: with less, the progress is lost.
  return s.checkpoint_s > 0 ? s.save_s * 1.1 + 0.1 : 0;
}

// Marks an attempt to be stopped, with a grace period in seconds.
void Controller::stop_task(TaskAttempt& p, double grace_s) {
  // A repeated stop can only shorten the grace period, for example to end a task that is saving.
  p.grace_s = p.stop ? std::min(p.grace_s, grace_s) : grace_s;
  p.stop = true;
  if (!p.held || p.job == nullptr) return;
  if (Machine* m = p.job->tasks[p.key.index].machine) {
    stops_due_.insert(m->name);
    machine_changed(*m);
  }
}

// Sends stops directly to the machines. Without this, a cancelled task would keep running, and
// tasks that need its room would keep waiting, until the machine's next heartbeat, which may be
// more than an interval away. Stops are also sent in the responses to heartbeats, so nothing
// depends on the direct ones. A direct stop that arrives after its attempt has ended has no effect.
void Controller::stop_tick() {
  while (!stops_due_.empty() && !outbox_.worker_calls_full()) {
    Machine* m = tables_.machine(*stops_due_.begin());
    stops_due_.erase(stops_due_.begin());
    if (m == nullptr || !m->heard_in_epoch || m->silent || m->terminating || m->address.empty())
      continue;
    std::vector<Command> stops;
    for (const TaskAttempt& p : m->attempts)
      if (p.stop && p.state >= AttemptState::Sent && p.state <= AttemptState::Running)
        stops.push_back({Command::Op::Stop, p.key, p.attempt, p.grace_s});
    if (stops.empty()) continue;
    outbox_.call_worker(
        m->address, encode_direct(election_.epoch(), m->incarnation, stops), command_until(),
        [this, name = m->name, sent = clock_.now](int status,
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
    Machine& m = *task.machine;
    for (std::size_t i = m.attempts.size(); i-- > 0;) {
      TaskAttempt& p = m.attempts[i];
      if (p.job != &job || !p.held) continue;
      if (p.state == AttemptState::Reserved)
        tables_.erase(m, i);
      else
        stop_task(p, 0);
    }
  }
}

// True if the job may preempt the attempt. Tasks of lower priority may be preempted. A task of the
// same priority may be preempted only if it belongs to another team and exceeds that team's
// guaranteed quota, and the preempting job is within its own team's guaranteed quota.
bool Controller::may_preempt(const Job& job, const TaskAttempt& p) const {
  if (!p.held || p.job == nullptr || p.stop || p.migrating || p.job == &job) return false;
  const JobSpec& victim = p.job->spec();
  if (victim.priority > job.spec().priority) return true;
  if (p.job->team == job.team || victim.priority < job.spec().priority) return false;
  if (!job.guaranteed || p.job->guaranteed) return false;
  // Nothing more is preempted once the other team's usage is within its guaranteed quota.
  return p.team != nullptr && !p.team->within_guarantee(p.team->used);
}

// Reserves room for one more task of the job on some machine, preempting other tasks there if
// needed. Returns false if no machine can provide the room.
bool Controller::preempt_for(const Job& job, bool warm_only, const std::string& zone) {
  const JobSpec& s = job.spec();
  const ResourceRequest want = resource_request_of(s);
  // If preemption has failed in this pass for a job of the same team and priority that needs no
  // more than this one, it fails for this one too.
  for (const FailedPreemption& i : no_preemption_for_)
    if (i.priority == s.priority && i.team == job.team && i.guaranteed == job.guaranteed &&
        (i.image.empty() || (warm_only && i.image == s.image)) && want.as_much_as(i.want))
      return false;
  if (preempt_on_best_machine(job, warm_only, zone)) return true;
  // If the zones of a job's own tasks restrict it, its failure doesn't imply that other jobs fail.
  if (!s.spread && !s.one_zone)
    no_preemption_for_.push_back(
        {want, s.priority, job.team, job.guaranteed, warm_only ? s.image : std::string()});
  return false;
}

MachineRanking<double>& Controller::preemption_ranking(const Job& job, bool warm_only,
                                                       const std::string& zone) {
  const auto rate = [this, &job, warm_only](const Machine& m) -> MachineRating<double> {
    ++examined_;
    if (!open(m) || !tables_.suits(job.spec(), m)) return {};
    if (warm_only && !m.has_image(job.spec().image)) return {};
    const std::optional<PreemptionPlan> eviction =
        preemption_plan_on(*preemption_rankings_.machines()[*m.open_index], job);
    if (!eviction) return {};
    return {eviction->cost, true};
  };
  const JobSpec& s = job.spec();
  return preemption_rankings_.get(
      {s.image, s.priority, job.team, job.guaranteed, warm_only, zone, resource_request_of(s)},
      most_rankings(), machines_changed_, rate);
}

bool Controller::preempt_on_best_machine(const Job& job, bool warm_only, const std::string& zone) {
  MachineRanking<double>& ranking = preemption_ranking(job, warm_only, zone);
  const auto zone_open = [&](const std::string& other) {
    return (zone.empty() || other == zone) && tables_.zone_open(job, other);
  };
  const auto same = [](std::size_t, double of_kind) { return of_kind; };
  Machine* best = nullptr;
  std::optional<PreemptionPlan> eviction;
  while (!eviction) {
    const std::optional<std::size_t> index = ranking.best(zone_open, same);
    if (!index) return false;
    best = preemption_rankings_.machines()[*index];
    eviction = preemption_plan_on(*best, job);
    // The machine's rating may be outdated although the machine hasn't changed: which tasks may be
    // preempted also depends on the teams' usage.
    if (!eviction) ranking.update(*index);
  }
  reserve(*best, job.spec().need);
  for (TaskAttempt* p : eviction->victims) {
    outbox_.log(Log::Level::Info, LogEvent::TaskPreempted,
                {{"machine", best->name}, {"task", p->key}, {"for", job.spec().id}});
    stop_with_gang(*p, grace_for(*p->job));
  }
  return true;
}

// Returns the tasks to preempt on a machine to make room for one more task of the job; empty if
// preemption can't make enough room there.
std::optional<Controller::PreemptionPlan> Controller::preemption_plan_on(Machine& m,
                                                                         const Job& job) const {
  const JobSpec& spec = job.spec();
  PreemptionPlan eviction;
  eviction.cost = m.has_image(spec.image) ? 0 : 1;
  Resources room = room_to_come(m);
  if (spec.need.fits_in(room)) return eviction;
  Resources most = room;
  std::vector<TaskAttempt*> candidates;
  for (TaskAttempt& p : m.attempts)
    if (may_preempt(job, p)) {
      candidates.push_back(&p);
      most += p.need;
    }
  if (!spec.need.fits_in(most)) return {};
  std::sort(candidates.begin(), candidates.end(), preempted_before);
  std::set<const Job*> gangs;
  for (TaskAttempt* p : candidates) {
    const bool stopped_already = gangs.contains(p->job);
    if (spec.need.fits_in(room) && !stopped_already) break;
    room += p->need;
    if (stopped_already) continue;
    eviction.victims.push_back(p);
    eviction.cost += preemption_cost(*p);
    if (is_gang(*p->job)) gangs.insert(p->job);
  }
  if (!spec.need.fits_in(room)) return {};
  return eviction;
}

// Orders the candidates for preemption. The lowest priority comes first, and within a priority
// array and gang tasks come before replicas. Of array and gang tasks, the one that has run for the
// shortest time comes first, because its work is lost. Of replicas, the one that has run for the
// longest time comes first, because the start of a replica that is stopped soon afterwards doesn't
// count.
bool Controller::preempted_before(const TaskAttempt* a, const TaskAttempt* b) {
  const JobSpec& first = a->job->spec();
  const JobSpec& second = b->job->spec();
  if (first.priority != second.priority) return first.priority > second.priority;
  const bool array = first.kind != JobKind::Service;
  if (array != (second.kind != JobKind::Service)) return array;
  return array ? a->running_since > b->running_since : a->running_since < b->running_since;
}

// The relative cost of preempting a task. The loss of a replica affects its service only briefly;
// an array or gang task loses the progress that it hasn't saved. A gang is stopped as a whole, so
// all of its placed tasks count.
double Controller::preemption_cost(const TaskAttempt& p) const {
  constexpr double kReplica = 2, kSaved = 2, kUnsaved = 1, kAllWorkLost = 3;
  const JobSpec& spec = p.job->spec();
  const double tasks = is_gang(*p.job) ? static_cast<double>(p.job->placed) : 1;
  if (spec.kind == JobKind::Service || p.state != AttemptState::Running) return kReplica * tasks;
  if (spec.checkpoint_s > 0) return kSaved * tasks;
  const double ran_s = static_cast<double>(clock_.now - p.running_since) / 1000.0;
  return tasks * (kUnsaved + kAllWorkLost * std::min(1.0, ran_s / std::max(1.0, spec.estimate_s)));
}

// True if the attempt is a replica that may be stopped to run on another machine.
bool Controller::migratable(const TaskAttempt& p) const {
  return p.held && p.job != nullptr && p.job->active() && p.job->spec().kind == JobKind::Service &&
         p.state == AttemptState::Running && !p.stop && !p.migrating &&
         clock_.now - p.running_since > kCountedStart;
}

// Begins the migration of a replica; migration_tick stops it later.
void Controller::migrate_replica(TaskAttempt& p, Machine& from, const Machine& to) {
  p.migrating = true;
  machine_changed(from);
  // The room on the target machine is reserved until the replica starts or the migration times out.
  // A replica that loses it to another task may have to fetch its image elsewhere, which takes
  // about half a minute.
  migrations_[task_name(p.key)] = {from.name, to.name,  p.need, clock_.now + worker_lease(),
                                   p.key,     p.attempt};
}

// Stops migrating replicas shortly before the next heartbeat of their target machine is due. The
// start is sent in the response to that heartbeat, so a replica is down for a fraction of a
// heartbeat interval instead of more than one. Only the stop is sent directly: the outcome of a
// direct start would have to be awaited, possibly for minutes.
void Controller::migration_tick() {
  const Time soonest = heartbeat_interval() * 3 / 4;
  for (auto it = migrations_.begin(); it != migrations_.end();) {
    Migration& move = it->second;
    Machine* from = tables_.machine(move.from);
    const Machine* to = tables_.machine(move.to);
    TaskAttempt* p = from != nullptr ? from->find(move.key, move.attempt) : nullptr;
    const bool overtaken =
        !move.begun && (p == nullptr || p->stop || !p->held || to == nullptr || !usable(*to));
    if (overtaken || clock_.now >= move.until) {
      if (p != nullptr) p->migrating = false;
      it = migrations_.erase(it);
      continue;
    }
    ++it;
    if (move.begun || clock_.now - to->last_own_heartbeat < soonest) continue;
    move.begun = true;
    stop_task(*p, grace_for(*p->job));
  }
}

// Makes room for a task on a machine that holds its image but is full of tasks that are as
// important, by migrating replicas from there to other machines that hold the replicas' images. A
// migration takes a second or two, while fetching an image takes half a minute. Returns false if no
// machine can provide the room.
bool Controller::migrate_for(const Job& job) {
  const JobSpec& s = job.spec();
  const ResourceRequest want = resource_request_of(s);
  for (const FailedMigration& failed : no_migration_for_)
    if (failed.image == s.image && want.as_much_as(failed.want)) return false;
  Machine* best = nullptr;
  std::vector<PlannedMigration> best_plan;
  const auto holders = image_holders().find(s.image);
  if (holders == image_holders().end()) return false;
  for (Machine* m : holders->second) {
    ++examined_;
    if (!open(*m) || !tables_.allowed(job, *m)) continue;
    std::optional<std::vector<PlannedMigration>> plan = plan_migrations(*m, job);
    if (!plan || (best != nullptr && plan->size() >= best_plan.size())) continue;
    best = m;
    best_plan = std::move(*plan);
  }
  if (best == nullptr) {
    if (!s.spread && !s.one_zone) no_migration_for_.push_back({want, s.image});
    return false;
  }
  reserve(*best, s.need);
  for (const auto& [p, to] : best_plan) {
    outbox_.log(Log::Level::Info, LogEvent::ReplicaMigration,
                {{"machine", best->name}, {"task", p->key}, {"to", to->name}, {"for", s.id}});
    reserve(*to, p->need);
    migrate_replica(*p, *best, *to);
  }
  return true;
}

// Returns the migrations that make room for one more task of the job on a machine; empty if
// kMovesForAStart migrations are not enough or there are no target machines for them.
std::optional<std::vector<Controller::PlannedMigration>> Controller::plan_migrations(
    Machine& m, const Job& job) {
  const Resources& need = job.spec().need;
  Resources room = room_to_come(m);
  std::vector<PlannedMigration> plan;
  for (TaskAttempt& p : m.attempts) {
    if (need.fits_in(room) || plan.size() >= kMovesForAStart) break;
    if (!migratable(p) || p.job == &job) continue;
    Machine* to = warm_room(p, m, reservations_, plan);
    if (to == nullptr) continue;
    room += p.need;
    plan.push_back({&p, to});
  }
  if (!need.fits_in(room)) return {};
  return plan;
}

// Builds the index of image holders at the first use in a scheduling pass or autoscaler run, within
// which the cached images don't change.
const Controller::ImageHolders& Controller::image_holders() {
  if (!image_holders_.empty()) return image_holders_;
  for (auto& [name, m] : tables_.machines) {
    ++examined_;
    for (const CachedImage& image : m->images) image_holders_[image.name].push_back(m.get());
  }
  return image_holders_;
}

// Returns a machine to which a running replica can migrate, or null: one that holds its image and
// has room for it in addition to the room in `promised` and the migrations of the plan so far.
Machine* Controller::warm_room(const TaskAttempt& p, const Machine& from,
                               const Reservations& promised,
                               const std::vector<PlannedMigration>& plan) {
  const JobSpec& s = p.job->spec();
  const auto holders = image_holders().find(s.image);
  if (holders == image_holders().end()) return nullptr;
  for (Machine* m : holders->second) {
    ++examined_;
    if (m == &from || m->spot != from.spot || !open(*m)) continue;
    // A migration within a zone can't violate the job's zone constraints.
    if (m->zone == from.zone ? !tables_.type_allowed(s, m->type) : !tables_.allowed(*p.job, *m))
      continue;
    Resources room = room_beside(promised, *m);
    for (const PlannedMigration& step : plan)
      if (step.to == m) room -= step.attempt_record->need;
    if (s.need.fits_in(room)) return m;
  }
  return nullptr;
}

}  // namespace sailreel
