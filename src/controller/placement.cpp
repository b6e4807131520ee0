// Places queued tasks on machines in the zones that the job allows: preferably on a machine that
// holds the image, otherwise on one with few image fetches in progress and much free room.
#include "controller/controller.hpp"

namespace sailreel {
namespace {
/// Scheduling passes are at least 1/kMaxPassesPerHeartbeatInterval of a heartbeat interval apart,
/// so that one pass serves all heartbeats of a burst.
constexpr Time kMaxPassesPerHeartbeatInterval = 40;
/// Scheduling passes are also spaced, by up to a heartbeat interval, so that they examine on
/// average at most this many jobs and machines per heartbeat. The cost of a heartbeat then doesn't
/// grow with the number of waiting jobs.
constexpr Time kMaxExaminedPerHeartbeat = 150;
/// The fraction of a controller's memory limit that the rankings of a pass may use.
constexpr double kRankingMemoryShare = 0.1;
/// The estimated size of a ranking, in bytes per ranked machine.
constexpr double kRankingBytesPerMachine = 128;
/// The kinds of service-level objectives that the fetch of an image may violate.
constexpr const char* kWaitSlo = "wait";
constexpr const char* kGuaranteeSlo = "guarantee";
/// This many rankings are kept even if they exceed the share of the memory.
constexpr double kMinRankings = 4;
}  // namespace

// True if tasks can be started on the machine.
bool Controller::can_start_tasks(const Machine& machine) const {
  // Starts are sent only in the responses to a machine's own heartbeats. If a machine that answers
  // probes but reaches no controller itself were usable, waiting tasks would be placed on it
  // again and again without being started.
  return machine.heard_in_epoch && machine.size_known && !machine.cordoned &&
         !machine.terminating && !machine.silent && clock_.now >= machine.quarantined_until &&
         clock_.now - machine.last_own_heartbeat <= silent_after();
}

Resources Controller::unreserved_room(const Reservations& reservations, const Machine& machine) {
  Resources room = machine.room();
  if (const auto it = reservations.find(&machine); it != reservations.end()) room -= it->second;
  return room;
}

Resources Controller::room_after_stops(const Machine& machine) const {
  Resources room = unreserved_room(reservations_, machine);
  for (const TaskAttempt& attempt : machine.attempts)
    if (attempt.held && (attempt.stop || attempt.migrating)) room += attempt.need;
  return room;
}

void Controller::clear_failed_requests() {
  no_room_for_.clear();
  no_preemption_for_.clear();
  no_migration_for_.clear();
}

// Reserves room on a machine for the rest of the pass.
void Controller::reserve(Machine& machine, const Resources& room) {
  reservations_[&machine] += room;
  machine_changed(machine);
}

// Reserves room for tasks of the job that this pass doesn't place, and logs it, at most once in a
// worker's lease for each job: room that stays reserved and unused looks like free room otherwise.
void Controller::reserve_for(Job& job, Machine& machine, const Resources& room,
                             ReservationCause cause, std::uint32_t tasks) {
  reserved_for_job_ = true;
  ReservationHistory& history = job.reservations;
  if (history.since == 0) history.since = clock_.now;
  if (history.logged == 0 || clock_.now - history.logged >= worker_lease()) {
    history.logged = clock_.now;
    const bool lasts = clock_.now - history.since >= worker_lease();
    const bool is_free = room.fits_in(unreserved_room(reservations_, machine));
    outbox_.log(lasts ? Log::Level::Info : Log::Level::Debug, LogEvent::RoomReserved,
                {{"machine", machine.name},
                 {"job", job.spec().id},
                 {"cause", cause},
                 {"for_ms", clock_.now - history.since},
                 {"free", is_free ? 1 : 0}});
  }
  reserve(machine, room);
  job.reserved_per_zone[machine.zone] += tasks;
}

void Controller::unreserve(Machine& machine, const Resources& room) {
  reservations_[&machine] -= room;
  machine_changed(machine);
}

// True if the job is a gang whose tasks can never all run at the same time: a spread gang may have
// at most half of its tasks in one zone, so it needs at least two zones.
bool Controller::never_all_at_once(const JobSpec& spec) const {
  if (spec.kind != JobKind::Gang || !spec.spread || spec.tasks < 2) return false;
  return spec.one_zone || !spec.zone.empty() || settings_.zones.size() < 2;
}

std::optional<Infeasibility> Controller::infeasibility(const JobSpec& spec) const {
  const TeamQuota* team = nullptr;
  for (const TeamQuota& quota : tables_.teams)
    if (quota.limits.name == spec.team) team = &quota;
  if (team == nullptr) return Infeasibility::UnknownTeam;
  const double concurrent_tasks = spec.kind == JobKind::Array ? 1 : spec.tasks;
  constexpr double kSlack = 1e-6;
  if ((team->limits.gpus_max > 0 &&
       spec.need.gpus * concurrent_tasks > team->limits.gpus_max + kSlack) ||
      (team->limits.cpus_max > 0 &&
       spec.need.cpus * concurrent_tasks > team->limits.cpus_max + kSlack))
    return Infeasibility::AboveQuotaLimit;
  if (never_all_at_once(spec)) return Infeasibility::GangDoesNotFit;
  for (const MachineType& type : tables_.types) {
    if (!tables_.type_allowed(spec, type.name) || !spec.need.fits_in(type.size)) continue;
    if (spec.zone.empty() || type.zones.empty() ||
        std::find(type.zones.begin(), type.zones.end(), spec.zone) != type.zones.end())
      return {};
  }
  return Infeasibility::NoMachineType;
}

bool Controller::ResourceRequest::needs_at_least(const ResourceRequest& other) const {
  return each.cpus >= other.each.cpus && each.gpus >= other.each.gpus &&
         each.memory_gb >= other.each.memory_gb && spot == other.spot && zone == other.zone &&
         any_type == other.any_type && types == other.types;
}

// Marks each job as guaranteed if it fits into its team's guaranteed quota together with the team's
// earlier unfinished jobs. Returns the jobs that have tasks to place, by priority.
Controller::Queues Controller::mark_guaranteed_jobs() {
  Queues waiting;
  std::vector<Resources> totals(tables_.teams.size());
  for (auto& [order, job] : tables_.jobs_by_acceptance) {
    ++examined_;
    if (!job->active()) continue;
    const JobSpec& spec = job->spec();
    job->guaranteed = false;
    if (job->team != nullptr) {
      Resources& total = totals[static_cast<std::size_t>(job->team - tables_.teams.data())];
      const double unfinished_tasks = static_cast<double>(spec.tasks - job->record.done.count());
      total += {spec.need.cpus * unfinished_tasks, spec.need.gpus * unfinished_tasks, 0};
      job->guaranteed = job->team->within_guarantee(total);
    }
    // A job is not queued if its team is no longer in the settings.
    if (job->queued == 0) job->reservations = {};
    if (job->team == nullptr || job->queued == 0) continue;
    if (job->not_before > clock_.now)
      scheduling_needed_ = true;  // a later pass examines the job again
    else
      waiting[static_cast<std::size_t>(spec.priority)].push_back(job);
  }
  return waiting;
}

// Sorts jobs in the order in which they are served: guaranteed jobs first, then by deadline, then
// by order of acceptance.
void Controller::sort_queue(std::vector<Job*>& jobs) const {
  const auto deadline = [](const Job* j) {
    return j->spec().deadline_s ? j->accepted + ms(*j->spec().deadline_s) : kNever;
  };
  std::sort(jobs.begin(), jobs.end(), [&](const Job* a, const Job* b) {
    if (a->guaranteed != b->guaranteed) return a->guaranteed;
    if (deadline(a) != deadline(b)) return deadline(a) < deadline(b);
    return a->acceptance_order < b->acceptance_order;
  });
}

// Runs one scheduling pass over all waiting jobs and sets the time of the next pass.
void Controller::schedule_all() {
  scheduling_needed_ = false;
  const Time now = clock_.now;
  const std::uint64_t examined_before = examined_;
  reservations_.clear();
  for (const auto& [task, move] : migrations_)
    if (const Machine* machine = tables_.machine(move.to)) reservations_[machine] += move.need;
  unmet_demand_.clear();
  unmet_of_team_.clear();
  clear_failed_requests();
  Queues waiting_jobs = mark_guaranteed_jobs();
  // For each resource, the smallest amount that a waiting job requests per task. This pass places
  // nothing on a machine with less room.
  std::optional<Resources> least_need;
  for (const std::vector<Job*>& waiting : waiting_jobs)
    for (const Job* job : waiting) {
      const Resources& need = job->spec().need;
      if (!least_need) least_need = need;
      least_need =
          Resources{std::min(least_need->cpus, need.cpus), std::min(least_need->gpus, need.gpus),
                    std::min(least_need->memory_gb, need.memory_gb)};
    }
  begin_rankings(least_need);
  for (std::vector<Job*>& waiting : waiting_jobs) {
    sort_queue(waiting);
    // One queue per team, reversed because jobs are taken from the back.
    std::map<TeamQuota*, std::vector<Job*>> queues;
    for (Job* job : waiting) queues[job->team].push_back(job);
    for (auto& [team, queue] : queues) std::reverse(queue.begin(), queue.end());
    // Fair sharing: the team that uses the smallest fraction of its guaranteed quota is served
    // next.
    while (!queues.empty()) {
      auto next = std::min_element(queues.begin(), queues.end(), [](const auto& a, const auto& b) {
        return a.first->used_guarantee_fraction() < b.first->used_guarantee_fraction();
      });
      Job* job = next->second.back();
      next->second.pop_back();
      if (next->second.empty()) queues.erase(next);
      reserved_for_job_ = false;
      place_job(*job);
      if (!reserved_for_job_) job->reservations = {};
      job->reserved_per_zone.clear();
    }
  }
  end_rankings();
  const Time examined_in_pass = static_cast<Time>(examined_ - examined_before);
  const Time heartbeats = std::max<Time>(1, static_cast<Time>(tables_.machines.size()));
  const Time min_interval =
      std::max<Time>(10, heartbeat_interval() / kMaxPassesPerHeartbeatInterval);
  const Time interval_for_work =
      examined_in_pass * heartbeat_interval() / (kMaxExaminedPerHeartbeat * heartbeats);
  next_scheduling_ =
      now + std::max(min_interval, std::min(interval_for_work, heartbeat_interval()));
}

// Examines all machines once and collects those that the pass ranks: for preemption all that accept
// work, for placement those that also have room for the smallest waiting request.
void Controller::begin_rankings(const std::optional<Resources>& least_need) {
  end_rankings();
  if (!least_need) return;
  for (auto& [name, machine] : tables_.machines) {
    ++examined_;
    machine->preemption_index = machine->placement_index = {};
    if (!accepts_new_tasks(*machine)) continue;
    preemption_rankings_.add(*machine);
    if (!least_need->fits_in(unreserved_room(reservations_, *machine))) continue;
    rankings_.add(*machine);
    machine->higher_priority_images.fill(0);
    for (const CachedImage& image : machine->images)
      if (const auto found = tables_.image_priority.find(image.name);
          found != tables_.image_priority.end())
        for (auto priority = static_cast<std::size_t>(found->second) + 1; priority < kPriorityCount;
             ++priority)
          ++machine->higher_priority_images[priority];
  }
}

void Controller::end_rankings() {
  rankings_.clear();
  preemption_rankings_.clear();
  machines_changed_.clear();
  image_holders_.clear();
}

// The number of rankings that fit into the rankings' share of the memory.
std::size_t Controller::max_rankings() const {
  const double bytes = settings_.process_limits.memory_mb * 1024 * 1024 * kRankingMemoryShare;
  const auto machines = static_cast<double>(tables_.machines.size() + 1);
  return static_cast<std::size_t>(
      std::max(kMinRankings, bytes / (kRankingBytesPerMachine * machines)));
}

bool Controller::place_job(Job& job) {
  if (is_gang(job)) return place_gang(job);
  // A suspect job has failed on several machines and never run, so it was probably submitted with a
  // mistake. Only one of its tasks runs at a time, to find out whether it still fails.
  const bool one_by_one = job.likely_invalid();
  if (one_by_one && job.placed > 0) return true;
  const std::optional<std::uint32_t> unplaced = place_tasks(job, one_by_one);
  if (!unplaced) return false;
  if (*unplaced == 0) return true;
  record_unmet_demand(job, *job.team, *unplaced, job.spec().zone);
  for (std::uint32_t i = 0; i < *unplaced && preempt_for(job); ++i) {
  }
  return false;
}

// True if this pass has to place the task. Advances `next_queued` past tasks that aren't queued.
bool Controller::task_due(Job& job, std::uint32_t index) {
  const Task& task = job.tasks[index];
  if (task.state != TaskState::Queued) {
    if (index == job.next_queued) ++job.next_queued;
    return false;
  }
  // A later pass examines a task again that is not due yet or may still run elsewhere.
  const bool is_due = task.not_before <= clock_.now && !job.has_orphan(index);
  if (!is_due) scheduling_needed_ = true;
  return is_due;
}

// Places as many of the job's tasks as possible, at most one if `one_by_one` is set. Returns the
// number of tasks that found no room, or an empty value if the team is at its quota limit.
std::optional<std::uint32_t> Controller::place_tasks(Job& job, bool one_by_one) {
  std::uint32_t waiting = 0;
  for (std::uint32_t i = job.next_queued; i < job.tasks.size() && job.queued > 0; ++i) {
    if (!task_due(job, i)) continue;
    if (job.team == nullptr || !job.team->allows(job.spec().need)) return {};
    switch (place_task(job, i)) {
      case PlacementOutcome::Placed:
        break;
      case PlacementOutcome::RoomReserved:
        ++waiting;
        break;
      case PlacementOutcome::NoRoom:
        return one_by_one ? 1 : job.queued - waiting;
    }
    if (one_by_one) return 0;
  }
  return 0;
}

// Places a task, or reserves room that it is to use soon.
Controller::PlacementOutcome Controller::place_task(Job& job, std::uint32_t index) {
  Machine* machine = take_migration_target(job, index);
  if (machine == nullptr) machine = best_machine(job, false);
  if (machine == nullptr) {
    // A machine with room may already be fetching as many images as allowed. Its room is reserved
    // for the task, and the task isn't counted as unmet demand, so no instance is added for it.
    Machine* fetching_machine = best_machine(job, true);
    if (fetching_machine == nullptr) return PlacementOutcome::NoRoom;
    reserve_for(job, *fetching_machine, job.spec().need, ReservationCause::FetchLimit);
    return PlacementOutcome::RoomReserved;
  }
  if (fetch_violates_any_slo(job, *machine)) {
    Machine* holder = image_holder_with_room(job, *machine);
    if (holder == nullptr && make_room_at_image_holder(job, *machine))
      return PlacementOutcome::RoomReserved;
    if (holder != nullptr) machine = holder;
  }
  bind(job, index, *machine, new_attempt_number());
  return PlacementOutcome::Placed;
}

// Returns a machine that holds the job's image and has room for a task, although the ranking
// prefers `machine`, which doesn't hold it; null if there is none. Such a machine is an on-demand
// instance beside a spot instance, or one on which the job has failed. The latter is left out.
Machine* Controller::image_holder_with_room(const Job& job, const Machine& machine) {
  const JobSpec& spec = job.spec();
  if (!spec.spot || !machine.spot) return nullptr;
  const auto holders = image_holders().find(spec.image);
  if (holders == image_holders().end()) return nullptr;
  Machine* best = nullptr;
  BinPackingScore best_score{};
  for (Machine* holder : holders->second) {
    ++examined_;
    if (!holder->placement_index || !may_run_beside_image(job, *holder)) continue;
    const MachineRating<BinPackingScore> rating = bin_packing_score(spec, *holder, false);
    if (!rating.score) continue;
    const BinPackingScore score = score_for_job(job, *holder, *rating.score);
    if (best != nullptr && !(score < best_score)) continue;
    best = holder;
    best_score = score;
  }
  return best;
}

// True if a task of the job should rather run on the machine, which holds its image, than fetch the
// image elsewhere. Where the job has failed it would only fail again, if the machine is faulty.
bool Controller::may_run_beside_image(const Job& job, const Machine& holder) const {
  return accepts_new_tasks(holder) && tables_.allowed(job, holder) &&
         !job.error_machines.contains(holder.name);
}

// Tries to make room for a task on a machine that holds the job's image, because fetching it on
// `machine` would violate an SLO: by preemption for the `wait` SLO, otherwise by migrating
// replicas. Returns true if room is reserved there. Returns false once the job has waited for such
// room for as long as the fetch takes: the tasks that make room may stop late or not at all.
bool Controller::make_room_at_image_holder(Job& job, const Machine& machine) {
  const Time waited = job.reservations.since == 0 ? 0 : clock_.now - job.reservations.since;
  if (waited >= ms(fetch_s(job, machine))) return false;
  const bool violates_wait = fetch_violates_slo(job, machine, kWaitSlo);
  const bool made_room = (violates_wait && preempt_for(job, true)) || migrate_for(job);
  // Only a later pass sees that the wait has become too long.
  scheduling_needed_ = scheduling_needed_ || made_room;
  return made_room;
}

// Places a task on a machine. The start is sent in the response to the machine's next heartbeat.
void Controller::bind(Job& job, std::uint32_t index, Machine& machine, std::uint64_t attempt) {
  tables_.place(job, index, machine, attempt, clock_.now);
  machine_changed(machine);
  machine.idle_since = 0;
  job.unmet_since = 0;
  if (job.record.started > index) return;
  job.record.started = index + 1;
  checkpoint_.mark_changed(job);
}

// Adds the tasks to the unmet demand that additional machines could serve, up to what the team's
// limit allows beyond its usage and its demand counted so far. Demand is summed over all jobs with
// the same request: a list limited to a number of jobs would hide most of the demand of a cold
// start from the autoscaler.
void Controller::record_unmet_demand(Job& job, const TeamQuota& team, std::uint32_t tasks,
                                     const std::string& zone) {
  const JobSpec& spec = job.spec();
  Resources& counted = unmet_of_team_[&team];
  const std::uint32_t wanted = team.tasks_allowed(spec.need, counted, tasks);
  if (wanted == 0) return;
  const Resources total{spec.need.cpus * wanted, spec.need.gpus * wanted,
                        spec.need.memory_gb * wanted};
  counted += total;
  if (job.unmet_since == 0) job.unmet_since = clock_.now;
  const bool starved = clock_.now - job.unmet_since > starvation_timeout();
  ResourceRequest want = resource_request_of(spec);
  want.zone = zone;
  auto it = std::find_if(unmet_demand_.begin(), unmet_demand_.end(), [&](const UnmetDemand& u) {
    return u.guaranteed == job.guaranteed && u.starved == starved && u.want == want;
  });
  if (it == unmet_demand_.end())
    it = unmet_demand_.insert(unmet_demand_.end(),
                              UnmetDemand{std::move(want), {}, 0, job.guaranteed, starved});
  it->total += total;
  it->tasks += wanted;
}

// True if a task that fetches its image on this machine would start later than an objective of kind
// `slo` allows.
bool Controller::fetch_violates_slo(const Job& job, const Machine& machine, const char* slo) const {
  const JobSpec& spec = job.spec();
  if (machine.has_image(spec.image) || machine.fetching(spec.image)) return false;
  const MachineType* type = tables_.type(machine.type);
  if (type == nullptr || type->fetch_gb_per_s <= 0) return false;
  for (const ServiceLevelObjective& objective : settings_.objectives)
    if (objective.kind == slo &&
        (objective.job_class.empty() || objective.job_class == spec.job_class))
      return spec.image_gb / type->fetch_gb_per_s + settings_.workers.heartbeat_interval_s >
             objective.within_s;
  return false;
}

// The same for all kinds of objectives that apply to the job.
bool Controller::fetch_violates_any_slo(const Job& job, const Machine& machine) const {
  return fetch_violates_slo(job, machine, kWaitSlo) ||
         (job.guaranteed && fetch_violates_slo(job, machine, kGuaranteeSlo));
}

// Removes the job's attempts whose start has not been sent yet; their tasks are queued again.
void Controller::drop_unsent_of_job(Job& job) {
  for (const Task& task : job.tasks) {
    if (task.machine == nullptr) continue;
    ++examined_;
    Machine& machine = *task.machine;
    for (std::size_t i = machine.attempts.size(); i-- > 0;) {
      const TaskAttempt& attempt = machine.attempts[i];
      if (attempt.job == &job && attempt.state == AttemptState::Reserved)
        tables_.remove_attempt(machine, i);
    }
    machine_changed(machine);
  }
  clear_failed_requests();
}

// Returns a new attempt number. The high bits hold the epoch, so the numbers increase across epochs
// without any stored state.
std::uint64_t Controller::new_attempt_number() {
  return (election_.epoch() << kAttemptBits) + next_attempt_++;
}

// Returns the target machine of a replica that was stopped for migration, or null if the task is
// not migrating or can no longer start there. Ends the migration and releases the room reserved for
// it.
Machine* Controller::take_migration_target(const Job& job, std::uint32_t index) {
  if (migrations_.empty()) return nullptr;
  const auto node = migrations_.extract(task_name({job.spec().id, index}));
  if (!node) return nullptr;
  Machine* machine = tables_.machine(node.mapped().to);
  if (machine == nullptr) return nullptr;
  unreserve(*machine, node.mapped().need);
  clear_failed_requests();
  const bool possible = accepts_new_tasks(*machine) && machine->has_image(job.spec().image) &&
                        job.spec().need.fits_in(machine->room()) && tables_.allowed(job, *machine);
  return possible ? machine : nullptr;
}

// Rates a machine for one more task of a job with this spec, regardless of where the job has tasks
// or has failed.
MachineRating<Controller::BinPackingScore> Controller::bin_packing_score(
    const JobSpec& spec, const Machine& machine, bool may_queue_fetch) const {
  if (!accepts_new_tasks(machine)) return {};
  const Resources room = unreserved_room(reservations_, machine);
  if (!spec.need.fits_in(room) || !tables_.meets_constraints(spec, machine)) return {};
  const double image_state = machine.has_image(spec.image)  ? 0
                             : machine.fetching(spec.image) ? 1
                                                            : 2;
  const std::size_t fetches = image_state == 2 ? machine.fetches() : 0;
  if (image_state == 2 && !may_queue_fetch && fetches >= fetch_limit()) return {{}, true};
  // Jobs that may use spot instances leave on-demand instances to jobs that may not.
  const double uses_on_demand = spec.spot && !machine.spot ? 1 : 0;
  // Machines that hold images of higher-priority jobs are left to those jobs as long as there is
  // room elsewhere.
  const double higher_priority_images =
      machine.higher_priority_images[static_cast<std::size_t>(spec.priority)];
  // Among machines that hold or are fetching the image, the fullest is best, so that others become
  // empty. Among the other machines, the one with the fewest fetches is best, as they share its
  // rate, and of these the one with the most free GPUs.
  const double room_score = image_state < 2 ? room.gpus + room.cpus / 1000
                                            : static_cast<double>(fetches) * 100 - room.gpus;
  return {BinPackingScore{0, uses_on_demand, image_state, higher_priority_images, 0, room_score},
          true};
}

// Returns the score for a particular job: the score of its kind, worsened if the job has failed on
// the machine or, for a service, has replicas there.
Controller::BinPackingScore Controller::score_for_job(const Job& job, const Machine& machine,
                                                      BinPackingScore kind_score) {
  if (job.error_machines.contains(machine.name)) kind_score[kScoreFailed] = 1;
  // The replicas of a service are spread over machines, so that the loss of one affects few of
  // them.
  if (job.spec().kind == JobKind::Service && job.placed > 0)
    kind_score[kScoreSameJobReplicas] = static_cast<double>(std::count_if(
        machine.attempts.begin(), machine.attempts.end(),
        [&](const TaskAttempt& attempt) { return attempt.job == &job && attempt.held; }));
  return kind_score;
}

Machine* Controller::best_machine(const Job& job, bool may_queue_fetch) {
  const JobSpec& spec = job.spec();
  const ResourceRequest want = resource_request_of(spec);
  for (const ResourceRequest& failed : no_room_for_)
    if (want.needs_at_least(failed)) return nullptr;
  const auto rate = [this, spec, may_queue_fetch](const Machine& machine) {
    ++examined_;
    return bin_packing_score(spec, machine, may_queue_fetch);
  };
  MachineRanking<BinPackingScore>& ranking = rankings_.get(
      {spec.image, spec.priority, may_queue_fetch, want}, max_rankings(), machines_changed_, rate);
  if (!ranking.any_room()) {
    no_room_for_.push_back(want);
    return nullptr;
  }
  const auto zone_open = [&](const std::string& zone) {
    return tables_.zone_accepts_task(job, zone);
  };
  const auto own_score = [&](std::size_t index, const BinPackingScore& kind_score) {
    ++examined_;
    return score_for_job(job, *rankings_.machines()[index], kind_score);
  };
  const std::optional<std::size_t> best = ranking.best(zone_open, own_score);
  return best ? rankings_.machines()[*best] : nullptr;
}

}  // namespace sailreel
