// Gang scheduling: gives each gang's state machine a summary of its tasks and carries out its
// decisions on machines.
#include <cmath>

#include "controller/controller.hpp"
#include "controller/resource_ratios.hpp"

namespace sailreel {
namespace {

/// Heartbeats are sent one interval apart, plus or minus this fraction of it (protocol, "Workers").
constexpr double kHeartbeatJitter = 0.25;
/// A machine's heartbeat is overdue if the last one is older than this many intervals.
constexpr double kOverdueHeartbeatIntervals = 1.5;
/// Penalties in seconds that are added to a candidate's delay: if the job failed on the machine, if
/// the job may use spot instances and the machine is on-demand, and for each GPU that is left
/// without CPUs.
constexpr double kFailedMachinePenaltyS = 60, kOnDemandPenaltyS = 2, kStrandedGpuPenaltyS = 0.1;

/// The number of tasks, at most `max_slots`, that fit into the room.
std::uint32_t capped_task_slots(const Resources& room, const Resources& each,
                                std::uint32_t max_slots) {
  return static_cast<std::uint32_t>(
      std::floor(std::min<double>(max_slots, task_slots(room, each))));
}

}  // namespace

void Controller::review_gang(const Job& job) {
  if (is_gang(job)) gangs_to_review_.insert(job.spec().id);
}

Gang& Controller::gang_state(const Job& job) {
  return gangs_.try_emplace(job.spec().id, ms(settings_.workers.gang_wait_s)).first->second;
}

GangView Controller::gang_view(const Job& job) const {
  GangView view;
  view.tasks = job.spec().tasks;
  view.unknown = job.unknown;
  std::optional<std::uint64_t> gang_attempt;
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
    const Machine* machine = job.tasks[i].machine;
    if (machine == nullptr) continue;
    for (const TaskAttempt& attempt : machine->attempts) {
      if (attempt.job != &job || attempt.key.index != i || !attempt.held) continue;
      ++view.placed;
      view.unsent += attempt.state == AttemptState::Reserved ? 1 : 0;
      view.running +=
          attempt.state == AttemptState::Running || attempt.state == AttemptState::Saving ? 1 : 0;
      view.stopping += attempt.stop ? 1 : 0;
      view.one_attempt =
          view.one_attempt && gang_attempt.value_or(attempt.attempt) == attempt.attempt;
      view.start_overdue = view.start_overdue ||
                           (attempt.state == AttemptState::Reserved && start_overdue(*machine));
      gang_attempt = attempt.attempt;
    }
  }
  return view;
}

// True if the machine's heartbeat, whose response would carry a start, is overdue.
bool Controller::start_overdue(const Machine& machine) const {
  const auto max_age =
      static_cast<Time>(static_cast<double>(heartbeat_interval()) * kOverdueHeartbeatIntervals);
  return clock_.now - machine.last_own_heartbeat > max_age;
}

// Reviews the gangs whose tasks have changed and those with starts that haven't been sent yet.
void Controller::review_gangs() {
  std::set<std::string> with_unsent_starts;
  for (const std::string& id : std::exchange(gangs_to_review_, {})) {
    Job* job = tables_.job(id);
    if (job == nullptr || !job->active()) continue;
    const GangView view = gang_view(*job);
    switch (gang_state(*job).decide(view, clock_.now)) {
      case GangDecision::Wait:
        break;
      case GangDecision::StopRest:
        stop_gang(*job, 0);
        break;
      case GangDecision::Unplace:
      case GangDecision::PlaceAll:
      case GangDecision::PlaceMissing:
        scheduling_needed_ = true;
        break;
    }
    if (view.unsent > 0) with_unsent_starts.insert(id);
  }
  gangs_to_review_.merge(with_unsent_starts);
}

// Carries out the decision for a gang within a scheduling pass. Returns false if tasks still have
// to be placed because they are not due yet or found no room.
bool Controller::place_gang(Job& job) {
  GangDecision decision = gang_state(job).decide(gang_view(job), clock_.now);
  if (decision == GangDecision::Unplace) {
    drop_unsent_of_job(job);
    decision = GangDecision::PlaceAll;
  }
  switch (decision) {
    case GangDecision::StopRest:
      stop_gang(job, 0);
      return true;
    case GangDecision::PlaceAll:
      return gang_due(job) && place_gang_tasks(job, new_attempt_number());
    case GangDecision::PlaceMissing: {
      const auto placed_task = std::find_if(job.tasks.begin(), job.tasks.end(),
                                            [](const Task& t) { return t.machine != nullptr; });
      const auto index = static_cast<std::uint32_t>(placed_task - job.tasks.begin());
      for (const TaskAttempt& attempt : placed_task->machine->attempts)
        if (attempt.job == &job && attempt.key.index == index && attempt.held)
          return gang_due(job) && place_gang_tasks(job, attempt.attempt);
      return true;
    }
    default:
      return true;
  }
}

// True if all queued tasks may be placed now: none has to wait before its retry, and no orphaned
// attempt of the job is left.
bool Controller::gang_due(const Job& job) {
  const bool retry_pending =
      std::any_of(job.tasks.begin(), job.tasks.end(), [this](const Task& task) {
        return task.state == TaskState::Queued && task.not_before > clock_.now;
      });
  const bool is_due = !retry_pending && job.orphans.empty();
  scheduling_needed_ = scheduling_needed_ || !is_due;
  return is_due;
}

// Places all missing tasks under the given attempt number, or none. Returns false if they found no
// room.
bool Controller::place_gang_tasks(Job& job, std::uint64_t attempt) {
  const std::uint32_t wanted = job.queued;
  if (job.team == nullptr || !job.team->allows(job.spec().need.times(wanted))) return true;
  const std::vector<Machine*> machines = gang_machines(job);
  std::vector<GangCandidate> candidates;
  candidates.reserve(machines.size());
  for (const Machine* machine : machines) candidates.push_back(gang_candidate(job, *machine));
  const GangPlan plan = plan_gang(candidates, wanted, gang_zones(job));
  if (plan.missing > 0) {
    make_room_for_gang(job, plan, machines);
    return false;
  }
  std::uint32_t index = 0;
  for (std::size_t i = 0; i < machines.size(); ++i)
    for (std::uint32_t n = 0; n < plan.tasks_per_candidate[i]; ++n) {
      while (job.tasks[index].state != TaskState::Queued) ++index;
      bind(job, index, *machines[i], attempt);
    }
  review_gang(job);
  return true;
}

// The machines with room for at least one task of the gang.
std::vector<Machine*> Controller::gang_machines(const Job& job) const {
  std::vector<Machine*> machines;
  for (Machine* machine : rankings_.machines())
    if (accepts_new_tasks(*machine) && tables_.allowed(job, *machine) &&
        job.spec().need.fits_in(unreserved_room(reservations_, *machine)))
      machines.push_back(machine);
  return machines;
}

// Describes a machine as a candidate for the gang's missing tasks. For a gang that needs no GPUs,
// the machine is penalized for GPUs that would be left without the CPUs to use them.
GangCandidate Controller::gang_candidate(const Job& job, const Machine& machine) const {
  const JobSpec& spec = job.spec();
  const Resources room = unreserved_room(reservations_, machine);
  GangCandidate candidate{machine.zone, capped_task_slots(room, spec.need, job.queued), 0};
  candidate.delay_s = heartbeat_due_s(machine) + fetch_s(job, machine);
  if (job.error_machines.contains(machine.name)) candidate.delay_s += kFailedMachinePenaltyS;
  if (spec.spot && !machine.spot) candidate.delay_s += kOnDemandPenaltyS;
  if (machine.size.cpus > 0 && spec.need.gpus <= 0) {
    const double cpus_left = room.cpus - spec.need.cpus * candidate.slots;
    const double usable_gpus = cpus_left * machine.size.gpus / machine.size.cpus;
    candidate.delay_s += kStrandedGpuPenaltyS * std::max(0.0, room.gpus - usable_gpus);
  }
  return candidate;
}

// The expected time in seconds until the machine's next heartbeat, whose response can carry a
// start.
double Controller::heartbeat_due_s(const Machine& machine) const {
  if (&machine == heartbeat_sender_) return 0;
  const double interval = settings_.workers.heartbeat_interval_s;
  const double age = static_cast<double>(clock_.now - machine.last_own_heartbeat) / 1000.0;
  if (age < interval * (1 - kHeartbeatJitter)) return interval - age;
  if (age < interval * (1 + kHeartbeatJitter)) return (interval * (1 + kHeartbeatJitter) - age) / 2;
  return 2 * interval;
}

// The estimated time in seconds until the machine holds the job's image.
double Controller::fetch_s(const Job& job, const Machine& machine) const {
  const JobSpec& spec = job.spec();
  const MachineType* type = tables_.type(machine.type);
  if (machine.has_image(spec.image) || type == nullptr || type->fetch_gb_per_s <= 0) return 0;
  const double fetch_alone_s = spec.image_gb / type->fetch_gb_per_s;
  if (machine.fetching(spec.image)) return fetch_alone_s / 2;
  return fetch_alone_s * static_cast<double>(1 + machine.fetches());
}

// The zone constraints for the gang's missing tasks.
GangZones Controller::gang_zones(const Job& job) const {
  GangZones zones;
  zones.one_zone = job.spec().one_zone;
  if (!job.spec().spread) return zones;
  for (const std::string& zone : settings_.zones) {
    const auto it = job.per_zone.find(zone);
    const std::uint32_t tasks_there = it == job.per_zone.end() ? 0 : it->second;
    zones.remaining_tasks[zone] = job.zone_cap() - std::min(job.zone_cap(), tasks_there);
  }
  return zones;
}

// Requests instances and preempts tasks for a gang that doesn't fit. Both are done only for the
// missing tasks; if all tasks have to be in one zone, in the zone where the fewest are missing. If
// other tasks of the gang are already placed, nothing is preempted or reserved.
//
// Nothing is preempted unless that makes room for all missing tasks: the gang couldn't use the room
// of some, which would go to other tasks, and in the next pass more would be preempted.
//
// The room that the plan has found stays reserved against later jobs of this pass if tasks were
// preempted for the gang, or if the gang has waited for so long that instances launched for it
// would be up. In the latter case, machines are held for the missing tasks as well. This keeps
// single tasks from starving the gang. A gang holds no room between passes until it has room for
// all its tasks, so two gangs never wait for each other.
void Controller::make_room_for_gang(Job& job, const GangPlan& plan,
                                    const std::vector<Machine*>& machines) {
  const std::string zone = plan.zone.empty() ? job.spec().zone : plan.zone;
  record_unmet_demand(job, *job.team, plan.missing, zone_to_scale_out_in(job, zone));
  if (job.placed > 0) return;
  // The room found is reserved first, so that preemption makes room for the missing tasks.
  std::vector<std::pair<Machine*, Resources>> reserved;
  for (std::size_t i = 0; i < machines.size(); ++i)
    if (plan.tasks_per_candidate[i] > 0) {
      reserved.emplace_back(machines[i], job.spec().need.times(plan.tasks_per_candidate[i]));
      reserve(*machines[i], reserved.back().second);
      job.reserved_per_zone[machines[i]->zone] += plan.tasks_per_candidate[i];
    }
  if (preempt_for_gang(job, plan.missing, zone)) return;
  const bool starved = clock_.now - job.accepted > starvation_timeout();
  if (starved && reserve_machines_for_gang(job, plan.missing, zone)) return;
  for (const auto& [machine, room] : reserved) unreserve(*machine, room);
}

// Reserves room for all missing tasks of a gang, preempting others. Returns false and preempts
// nothing if that can't make room for all of them. An empty `zone` means any zone.
bool Controller::preempt_for_gang(Job& job, std::uint32_t missing, const std::string& zone) {
  const auto is_stopping_or_preemptible = [&](const TaskAttempt& attempt) {
    return attempt.held && (attempt.stop || attempt.migrating || may_preempt(job, attempt));
  };
  const std::vector<FutureRoom> rooms =
      future_rooms(job, missing, zone, is_stopping_or_preemptible);
  const std::optional<std::string> chosen = zone_with_room(job, missing, zone, rooms);
  if (!chosen) return false;
  std::uint32_t made = 0;
  while (made < missing && preempt_for(job, false, *chosen)) ++made;
  return made > 0;
}

// The machines that will have room for missing tasks of the job once the attempts that
// `will_end` selects have ended. An empty `zone` means any zone.
std::vector<Controller::FutureRoom> Controller::future_rooms(
    const Job& job, std::uint32_t missing, const std::string& zone,
    const std::function<bool(const TaskAttempt&)>& will_end) const {
  std::vector<FutureRoom> rooms;
  for (const auto& [name, machine] : tables_.machines) {
    ++examined_;
    if (!accepts_new_tasks(*machine) || !tables_.allowed(job, *machine) ||
        (!zone.empty() && machine->zone != zone))
      continue;
    const Resources room = unreserved_room(reservations_, *machine);
    Resources future_room = room;
    for (const TaskAttempt& attempt : machine->attempts)
      if (will_end(attempt)) future_room += attempt.need;
    const std::uint32_t slots = capped_task_slots(future_room, job.spec().need, missing);
    if (slots > 0) rooms.push_back({machine.get(), room, slots});
  }
  return rooms;
}

// Returns the zone in which the missing tasks will fit: empty if they may be in several zones or
// `zone` is empty, and nothing if the rooms don't hold all of them.
std::optional<std::string> Controller::zone_with_room(const Job& job, std::uint32_t missing,
                                                      const std::string& zone,
                                                      const std::vector<FutureRoom>& rooms) {
  std::map<std::string, std::uint32_t> slots;
  for (const FutureRoom& room : rooms) slots[room.machine->zone] += room.slots;
  std::uint32_t usable = 0;
  for (const auto& [other, count] : slots) {
    const std::uint32_t usable_there = std::min(count, job.remaining_in(other));
    if (job.spec().one_zone && usable_there >= missing) return other;
    usable += usable_there;
  }
  if (job.spec().one_zone || usable < missing) return std::nullopt;
  return zone;
}

// The time (ms) after which a waiting gang counts as starved. By then, an instance launched for it
// is up, or none could be launched.
Time Controller::starvation_timeout() const {
  double boot_s = 0;
  for (const MachineType& type : tables_.types) boot_s = std::max(boot_s, type.boot_s);
  return worker_lease() + ms(kLateBootFactor * boot_s);
}

// Reserves the free room of the emptiest machines that will have room for the missing tasks once
// the arrays and gangs there have ended, so that nothing new starts there. Without this, single
// tasks take each part of a machine as it becomes free, and a gang that needs whole machines never
// starts. Returns false and reserves nothing if the machines that are up can't hold all missing
// tasks; other jobs then use the room.
bool Controller::reserve_machines_for_gang(Job& job, std::uint32_t missing,
                                           const std::string& zone) {
  const auto ends_by_itself = [](const TaskAttempt& attempt) {
    return attempt.held && attempt.job != nullptr && attempt.job->spec().kind != JobKind::Service;
  };
  std::vector<FutureRoom> rooms = future_rooms(job, missing, zone, ends_by_itself);
  const std::optional<std::string> chosen = zone_with_room(job, missing, zone, rooms);
  if (!chosen) return false;
  std::stable_sort(rooms.begin(), rooms.end(), [](const auto& a, const auto& b) {
    return std::pair(a.room.gpus, a.room.cpus) > std::pair(b.room.gpus, b.room.cpus);
  });
  for (const FutureRoom& candidate : rooms) {
    const std::string& candidate_zone = candidate.machine->zone;
    const std::uint32_t tasks =
        std::min({missing, candidate.slots, job.remaining_in(candidate_zone)});
    if (tasks == 0 || (!chosen->empty() && candidate_zone != *chosen)) continue;
    reserve_for(job, *candidate.machine, candidate.room, ReservationCause::GangStarved, tasks);
    missing -= tasks;
  }
  return true;
}

// Returns the zone in which to launch instances for a job: `best`, the zone with the most room for
// it. If the job may choose any one zone and none of its instance types can be launched in `best`
// now, returns another zone in which one can be launched.
std::string Controller::zone_to_scale_out_in(const Job& job, const std::string& best) const {
  if (!job.spec().one_zone || !job.spec().zone.empty()) return best;
  ResourceRequest request = resource_request_of(job.spec());
  const auto can_scale_out = [&](const std::string& zone) {
    request.zone = zone;
    return cheapest_type(request, false) != nullptr ||
           (request.spot && cheapest_type(request, true) != nullptr);
  };
  if (!best.empty() && can_scale_out(best)) return best;
  for (const std::string& zone : settings_.zones)
    if (can_scale_out(zone)) return zone;
  return best;
}

void Controller::stop_with_gang(TaskAttempt& attempt, double grace_s) {
  if (attempt.job != nullptr && is_gang(*attempt.job))
    stop_gang(*attempt.job, grace_s);
  else
    stop_task(attempt, grace_s);
}

// Stops all tasks of a gang in the same step. The stops are sent directly to the machines, and
// again in the responses to heartbeats until they are confirmed.
void Controller::stop_gang(Job& job, double grace_s) {
  for (const Task& task : job.tasks) {
    if (task.machine == nullptr) continue;
    for (TaskAttempt& attempt : task.machine->attempts)
      if (attempt.job == &job && attempt.held && !attempt.stop) stop_task(attempt, grace_s);
  }
  review_gang(job);
}

}  // namespace sailreel
