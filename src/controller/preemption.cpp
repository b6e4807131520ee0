// Stops tasks: to preempt for more important ones, to migrate replicas, or because their job is
// cancelled.
#include "controller/controller.hpp"
#include "protocol/worker_codec.hpp"

namespace sailreel {
namespace {
/// In ms. A start that is stopped sooner doesn't count as one (protocol, "How aims are counted").
constexpr Time kCountedStart = 30'000;
/// At most this many replicas migrate to let one task start where its image is held.
constexpr std::size_t kMovesForAStart = 2;
}  // namespace

double Controller::grace_for(const Job& job) const {
  const JobSpec& s = job.spec();
  // Slightly more than the task needs: a shorter grace period saves nothing.
  return s.checkpoint_s > 0 ? s.save_s * 1.1 + 0.1 : 0;
}

void Controller::stop_task(TaskAttempt& p, double grace_s) {
  // A second stop may only shorten the grace period: that ends a task that is saving.
  p.grace_s = p.stop ? std::min(p.grace_s, grace_s) : grace_s;
  p.stop = true;
  if (!p.held || p.job == nullptr) return;
  if (Machine* m = p.job->tasks[p.key.index].machine) {
    stops_due_.insert(m->name);
    machine_changed(*m);
  }
}

// Stops are also sent directly to the machine: until its next heartbeat, which may be more than an
// interval away, a cancelled task would run for nothing and work that waits for its room would wait
// on. They are sent with the responses to heartbeats all the same, so nothing depends on the direct
// ones; one that arrives late finds its attempt gone, and is harmless.
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

// Stops all of a job's tasks. Starts that haven't been sent are dropped; those that have are
// stopped in the next response to their worker, which comes after the start was carried out or
// dropped.
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

// Work of lower priority may be preempted; so may what another team runs beyond its guaranteed
// quota, by a team that is within its own. Otherwise work never preempts work of the same priority.
bool Controller::may_preempt(const Job& job, const TaskAttempt& p) const {
  if (!p.held || p.job == nullptr || p.stop || p.migrating || p.job == &job) return false;
  const JobSpec& victim = p.job->spec();
  if (victim.priority > job.spec().priority) return true;
  if (p.job->team == job.team || victim.priority < job.spec().priority) return false;
  if (!job.guaranteed || p.job->guaranteed) return false;
  // Only as much as the other team uses beyond its guaranteed quota.
  return p.team != nullptr && !p.team->within_guarantee(p.team->used);
}

// Reserves room for one more task of the job on some machine, preempting others there if needed.
bool Controller::preempt_for(const Job& job, bool warm_only, const std::string& zone) {
  const JobSpec& s = job.spec();
  const ResourceRequest want = resource_request_of(s);
  // If preemption failed for work of the same team and priority that needs no more, it fails again.
  for (const FailedPreemption& i : no_preemption_for_)
    if (i.priority == s.priority && i.team == job.team && i.guaranteed == job.guaranteed &&
        (i.image.empty() || (warm_only && i.image == s.image)) && want.as_much_as(i.want))
      return false;
  if (preempt_on_best_machine(job, warm_only, zone)) return true;
  // A failure of a job that is restricted by the zones of its own tasks says nothing about other
  // jobs.
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
    // What may be preempted also depends on what teams use.
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

// The tasks to preempt on a machine to make room for one more task of the job; empty if that can't
// be done there.
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

// The least important first; of arrays the task that ran shortest, as that work is lost; of
// replicas the one that ran longest, as a start that is undone at once didn't count.
bool Controller::preempted_before(const TaskAttempt* a, const TaskAttempt* b) {
  const JobSpec& first = a->job->spec();
  const JobSpec& second = b->job->spec();
  if (first.priority != second.priority) return first.priority > second.priority;
  const bool array = first.kind != JobKind::Service;
  if (array != (second.kind != JobKind::Service)) return array;
  return array ? a->running_since > b->running_since : a->running_since < b->running_since;
}

// A replica costs its service a moment; an array task loses what it hasn't saved. A gang is stopped
// as a whole.
double Controller::preemption_cost(const TaskAttempt& p) const {
  constexpr double kReplica = 2, kSaved = 2, kUnsaved = 1, kAllWorkLost = 3;
  const JobSpec& spec = p.job->spec();
  const double tasks = is_gang(*p.job) ? static_cast<double>(p.job->placed) : 1;
  if (spec.kind == JobKind::Service || p.state != AttemptState::Running) return kReplica * tasks;
  if (spec.checkpoint_s > 0) return kSaved * tasks;
  const double ran_s = static_cast<double>(clock_.now - p.running_since) / 1000.0;
  return tasks * (kUnsaved + kAllWorkLost * std::min(1.0, ran_s / std::max(1.0, spec.estimate_s)));
}

// A replica that can be stopped here to run elsewhere.
bool Controller::migratable(const TaskAttempt& p) const {
  return p.held && p.job != nullptr && p.job->active() && p.job->spec().kind == JobKind::Service &&
         p.state == AttemptState::Running && !p.stop && !p.migrating &&
         clock_.now - p.running_since > kCountedStart;
}

void Controller::migrate_replica(TaskAttempt& p, Machine& from, const Machine& to) {
  p.migrating = true;
  machine_changed(from);
  // Its room is reserved: a replica that lost it to another once fetched its image for half a
  // minute.
  migrations_[task_name(p.key)] = {from.name, to.name,  p.need, clock_.now + worker_lease(),
                                   p.key,     p.attempt};
}

// Migrating replicas are stopped just before the target machine's next heartbeat is due, as the
// start is sent with its response: they are down for a fraction of a heartbeat interval, not for
// more than one. Only the stop is sent directly; a direct start would have to be waited for,
// perhaps for minutes.
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

// Lets a task start on a machine that holds its image but is full of equally important work, if
// some of that work can continue at once on another machine that holds its own image: a migration
// takes a second or two, a fetch half a minute.
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

// The replicas that would have to migrate for one more task of the job to fit on a machine; empty
// if that can't be done with few.
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

// Images don't change within a scheduling pass, nor within an autoscaler run.
const Controller::ImageHolders& Controller::image_holders() {
  if (!image_holders_.empty()) return image_holders_;
  for (auto& [name, m] : tables_.machines) {
    ++examined_;
    for (const CachedImage& image : m->images) image_holders_[image.name].push_back(m.get());
  }
  return image_holders_;
}

// A machine that holds the image of a running replica and has room for it, beside what is reserved
// and what the plan so far sends there.
Machine* Controller::warm_room(const TaskAttempt& p, const Machine& from,
                               const Reservations& promised,
                               const std::vector<PlannedMigration>& plan) {
  const JobSpec& s = p.job->spec();
  const auto holders = image_holders().find(s.image);
  if (holders == image_holders().end()) return nullptr;
  for (Machine* m : holders->second) {
    ++examined_;
    if (m == &from || m->spot != from.spot || !open(*m)) continue;
    // A migration within the zone leaves the job's zone constraints as they are.
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
