// Autoscaler: launches machines for unmet demand and headroom, and drains and terminates surplus
// and idle machines.
#include <cmath>
#include <utility>

#include "controller/capacity_check.hpp"
#include "controller/controller.hpp"
#include "controller/resource_ratios.hpp"

namespace sailreel {
namespace {
/// Machines that one scale-out request asks for, at most.
constexpr std::uint32_t kMaxMachinesPerScaleOut = 50;
/// Machines that one terminate request names, at most.
constexpr std::size_t kMaxMachinesPerTermination = 100;
/// A machine that has sent no heartbeat after this many times its type's boot time is terminated.
constexpr double kFailedBootRatio = 3;
/// Running arrays free room while a new machine boots. This fraction of the room that they are
/// expected to free counts as available to waiting tasks.
constexpr double kCountedFreedRoomRatio = 0.5;
/// An on-demand machine is drained or terminated only if the others still provide this many times
/// the headroom. Between the headroom and this, the fleet stays as it is.
constexpr double kScaleInHeadroomRatio = 1.2;
/// At most one in this many usable on-demand machines, plus one, drain at the same time.
constexpr std::size_t kUsableMachinesPerDraining = 32;
/// No machine is drained until no work has waited for on-demand capacity for this many worker
/// leases.
constexpr Time kDrainDelayLeases = 2;

/// After the cloud had no capacity for a kind of machine in a zone, none is requested there for the
/// lag of the cloud's machine list, and for at least this many ms.
constexpr Time kMinNoCapacityDelayMs = 2'000;
/// Delay in ms after which a scale-out request without a final response is sent again.
constexpr Time kScaleOutRetryDelayMs = 1'000;
/// Minimum interval in ms at which the reading of the cloud's machine list begins.
constexpr Time kMinListIntervalMs = 1'000;
/// Logged as the number of machines needed if no machine type can hold the guaranteed quotas.
constexpr double kMaxLoggedMachines = 1e9;
/// Unmet demand is logged at most once in this many worker leases.
constexpr Time kUnmetDemandLogLeases = 1;

Resources scaled(const Resources& resources, double ratio) {
  return {resources.cpus * ratio, resources.gpus * ratio, resources.memory_gb * ratio};
}

}  // namespace

void Controller::autoscale_tick() {
  poll_cloud();
  if (tables_.types.empty()) return;
  if (clock_.now >= next_autoscaling_) {
    next_autoscaling_ = clock_.now + std::max<Time>(200, heartbeat_interval() / 4);
    autoscale();
    scale_in_idle();
  }
  send_scale_outs();
  send_terminations();
}

void Controller::poll_cloud() {
  const Time now = clock_.now;
  const std::uint64_t term = election_.term();
  if (now >= next_types_) {
    CloudRequest call;
    call.kind = CloudRequest::Kind::Types;
    if (outbox_.call_cloud(
            call,
            [this, term](const CloudResponse& reply) {
              if (term != election_.term()) return;
              if (reply.status == 200)
                handle_types(reply);
              else
                next_types_ = clock_.now + 1000;
            },
            tables_.types.empty() ? CloudBudget::Full : CloudBudget::KeepReserve))
      next_types_ = now + 6 * worker_lease();
  }
  // A list of which some pages have been read is read to its end.
  if ((now >= next_list_ || !list_cursor_.empty()) && !list_call_in_flight_) request_machine_list();
}

// Requests the next page of the machine list. If the rate limit doesn't allow that now, the same
// page is requested later: restarting the list instead would never reach the end of a list that has
// more pages than the rate limit's burst.
void Controller::request_machine_list() {
  const std::uint64_t term = election_.term();
  CloudRequest call;
  call.kind = CloudRequest::Kind::List;
  call.after = list_cursor_;
  list_call_in_flight_ = outbox_.call_cloud(
      call,
      [this, term](const CloudResponse& reply) {
        if (term == election_.term()) handle_machine_list(reply);
      },
      CloudBudget::KeepReserve);
  if (list_call_in_flight_ && list_cursor_.empty())
    next_list_ =
        clock_.now + std::max<Time>(ms(settings_.cloud_limits.list_lag_s / 2), kMinListIntervalMs);
}

void Controller::handle_types(const CloudResponse& reply) {
  tables_.types = reply.types;
  for (auto& [name, machine] : tables_.machines) tables_.set_size_from_type(*machine);
  scheduling_needed_ = true;
  check_capacity();
}

// Logs a warning, once per leader, if the guaranteed quotas need more machines than the settings'
// limits support.
void Controller::check_capacity() {
  if (std::exchange(capacity_checked_, true) || tables_.types.empty()) return;
  double boot_s = 0;
  for (const MachineType& type : tables_.types) boot_s = std::max(boot_s, type.boot_s);
  const CapacityLimit limit = tightest_limit(settings_, options_, boot_s);
  const double described = machines_for_guaranteed_quotas(settings_, tables_.types);
  if (described <= limit.machines) return;
  outbox_.log(Log::Level::Warning, LogEvent::CapacityLimit,
              {{"limit", limit.name},
               {"machines", static_cast<std::uint64_t>(limit.machines)},
               {"described", static_cast<std::uint64_t>(std::min(described, kMaxLoggedMachines))}});
}

void Controller::handle_machine_list(const CloudResponse& reply) {
  const Time now = clock_.now;
  list_call_in_flight_ = false;
  list_cursor_.clear();
  if (reply.status != 200) return;
  for (const ListedMachine& listed : reply.machines) {
    // The list lags behind: a terminated machine remains listed for a while.
    if (terminated_.contains(listed.name)) continue;
    Machine* known = tables_.machine(listed.name);
    if (known == nullptr && listed.state == ListedMachine::State::Failed) {
      termination_queue_.insert(listed.name);
      continue;
    }
    Machine& machine = tables_.add_machine(listed.name, now);
    if (known == nullptr)
      outbox_.log(Log::Level::Info, LogEvent::MachineFound,
                  {{"machine", listed.name}, {"zone", listed.zone}});
    if (!machine.heard_in_epoch) {
      machine.type = listed.type;
      machine.zone = listed.zone;
      machine.spot = listed.spot;
      machine.launched = std::min(machine.launched, now - ms(listed.age_s));
      tables_.set_size_from_type(machine);
    }
    if (machine.address.empty() && !listed.address.empty()) machine.address = listed.address;
    machine.listed_running = listed.state == ListedMachine::State::Running;
    // A failed machine has stopped by itself; terminating it removes it from the list.
    if (listed.state == ListedMachine::State::Failed && !machine.terminating)
      terminate_instance(machine, TerminationCause::LaunchFailed);
  }
  if (reply.has_more && !reply.machines.empty()) {
    list_cursor_ = reply.machines.back().name;
    return request_machine_list();
  }
  for (auto it = terminated_.begin(); it != terminated_.end();)
    it = now - it->second > 20 * worker_lease() + ms(4 * settings_.cloud_limits.list_lag_s)
             ? terminated_.erase(it)
             : std::next(it);
}

void Controller::autoscale() {
  scale_out_summary_ = {};
  FleetSupply supply = count_supply();
  for (const auto& [pool, count] : supply.pending) scale_out_summary_.pending += count;
  const OnDemandCapacity on_demand = on_demand_capacity();
  Demand demand = demand_of_waiting(on_demand, supply);
  add_headroom(on_demand, demand);
  for (const auto& [pool, wanted] : demand.in_zone) scale_out_in_zone(pool, wanted, supply);
  for (const auto& [kind, wanted] : demand.anywhere) scale_out_missing(kind, wanted, supply);
  log_unmet_demand();
}

// Logs what became of the tasks that wait for room. Without this line, the log doesn't tell why no
// machine is requested for them.
void Controller::log_unmet_demand() {
  const ScaleOutSummary& summary = scale_out_summary_;
  if (summary.tasks == 0 || clock_.now < next_unmet_demand_log_) return;
  next_unmet_demand_log_ = clock_.now + kUnmetDemandLogLeases * worker_lease();
  outbox_.log(Log::Level::Info, LogEvent::UnmetDemand,
              {{"tasks", summary.tasks},
               {"cpus", summary.demand.cpus},
               {"gpus", summary.demand.gpus},
               {"memory_gb", summary.demand.memory_gb},
               {"in_freed_room", summary.in_freed_room},
               {"without_type", summary.without_type},
               {"over_allowance", summary.over_allowance},
               {"machines", summary.machines},
               {"pending", summary.pending},
               {"requested", summary.requested}});
}

// Counts the machines by kind and zone, including those requested from the cloud, and separately
// the machines that are still to come up.
Controller::FleetSupply Controller::count_supply() const {
  FleetSupply supply;
  for (const auto& [name, machine] : tables_.machines) {
    if (machine->type.empty() || machine->terminating) continue;
    const MachineType* type = tables_.type(machine->type);
    if (type == nullptr) continue;
    const MachineKind kind{machine->type, machine->spot};
    ++supply.by_zone[kind][machine->zone];
    if (may_still_come_up(*machine, *type)) supply.pending[{kind, machine->zone}] += 1;
  }
  for (const auto& [name, scale_out] : pending_scale_outs_) {
    const ScaleOutRequest& request = scale_out.request;
    const MachineKind kind{request.type, request.spot};
    supply.pending[{kind, request.zone}] += request.count;
    supply.by_zone[kind][request.zone] += static_cast<int>(request.count);
  }
  return supply;
}

// True if the machine hasn't been heard yet, unless it takes much longer to boot than usual. That
// says nothing in an unreachable zone, where a machine can't be heard.
bool Controller::may_still_come_up(const Machine& machine, const MachineType& type) const {
  if (machine.heard_in_epoch) return false;
  return zone_unreachable(machine.zone) ||
         clock_.now - machine.launched < ms(type.boot_s * kLateBootFactor);
}

// The machines of a kind that are still to come up, for work that may run in any zone. Those in
// unreachable zones count only if others can't be launched in a reachable zone instead: otherwise
// each run would request machines there again.
double Controller::usable_pending(const MachineKind& kind, const FleetSupply& supply) const {
  const MachineType* type = tables_.type(kind.type);
  const bool reachable_zone_left =
      type != nullptr &&
      std::any_of(type->zones.begin(), type->zones.end(), [&](const std::string& zone) {
        return !zone_unreachable(zone) && may_scale_out(kind, zone);
      });
  double machines = 0;
  for (const auto& [pool, count] : supply.pending)
    if (pool.kind == kind && (!reachable_zone_left || !zone_unreachable(pool.zone)))
      machines += count;
  return machines;
}

bool Controller::may_scale_out(const MachineKind& kind, const std::string& zone) const {
  const auto it = no_capacity_until_.find({kind, zone});
  return it == no_capacity_until_.end() || it->second <= clock_.now;
}

// Returns the machine type with the lowest price per task slot for the request, among the types
// that may be launched now; null if there is none.
const MachineType* Controller::cheapest_type(const ResourceRequest& want, bool spot) const {
  const MachineType* cheapest = nullptr;
  double lowest_price = 0;
  for (const MachineType& type : tables_.types) {
    if (!want.any_type &&
        std::find(want.types.begin(), want.types.end(), type.name) == want.types.end())
      continue;
    if (!want.each.fits_in(type.size)) continue;
    const bool launchable =
        std::any_of(type.zones.begin(), type.zones.end(), [&](const auto& zone) {
          return (want.zone.empty() || want.zone == zone) && may_scale_out({type.name, spot}, zone);
        });
    if (!launchable) continue;
    const double slots = std::max(1.0, std::floor(task_slots(type.size, want.each)));
    const double price = (spot ? type.spot_price : type.price) / slots;
    if (cheapest != nullptr && price >= lowest_price) continue;
    cheapest = &type;
    lowest_price = price;
  }
  return cheapest;
}

// Estimates the room that tasks of arrays and gangs free for waiting tasks by the time that a new
// machine would have booted: unlike replicas, these tasks end by themselves.
Resources Controller::room_freed_by_arrays() const {
  Resources freed;
  for (const auto& [name, machine] : tables_.machines) {
    const MachineType* type = tables_.type(machine->type);
    if (type == nullptr || !can_start_tasks(*machine)) continue;
    for (const TaskAttempt& attempt : machine->attempts) {
      if (!attempt.held || attempt.job == nullptr || attempt.job->spec().kind == JobKind::Service)
        continue;
      const double ratio =
          kCountedFreedRoomRatio * type->boot_s / (type->boot_s + attempt.job->spec().estimate_s);
      freed += scaled(attempt.need, ratio);
    }
  }
  return freed;
}

// Returns how much on-demand capacity may be added for work without a guaranteed quota: as much as
// keeps the unused on-demand capacity within twice the headroom.
Resources Controller::on_demand_allowance(const OnDemandCapacity& on_demand,
                                          const FleetSupply& supply) const {
  const double max_size_ratio = 1 + 2 * options_.headroom_ratio;
  Resources allowance{on_demand.used.cpus * max_size_ratio - on_demand.size.cpus,
                      on_demand.used.gpus * max_size_ratio - on_demand.size.gpus, 0};
  for (const MachineType& type : tables_.types) {
    const double pending = usable_pending({type.name, false}, supply);
    allowance.cpus -= pending * type.size.cpus;
    allowance.gpus -= pending * type.size.gpus;
  }
  for (const auto& [name, machine] : tables_.machines)
    if (!machine->spot && machine->draining && can_start_tasks(*machine))
      allowance -= machine->size;
  return allowance;
}

// Assigns the unmet demand of each kind of waiting work to the cheapest machine type that can run
// it. Work that may use spot instances is assigned to on-demand ones only if no spot instances can
// be launched for it.
Controller::Demand Controller::demand_of_waiting(const OnDemandCapacity& on_demand,
                                                 const FleetSupply& supply) {
  Demand demand;
  const auto add = [&demand](const MachineKind& kind, const UnmetDemand& unmet) {
    PoolDemand& wanted =
        unmet.want.zone.empty() ? demand.anywhere[kind] : demand.in_zone[{kind, unmet.want.zone}];
    wanted.add(unmet.tasks, unmet.total);
  };
  Resources freed = room_freed_by_arrays();
  Resources allowance = on_demand_allowance(on_demand, supply);
  on_demand_awaited_ = false;
  ScaleOutSummary& summary = scale_out_summary_;
  for (UnmetDemand unmet : unmet_demand_) {
    summary.tasks += unmet.tasks;
    summary.demand += unmet.total;
    // Work that has waited for so long didn't get the room that arrays were expected to free.
    if (unmet.want.spot && !unmet.starved)
      summary.in_freed_room += subtract_freed_room(freed, unmet);
    if (const MachineType* type = unmet.want.spot ? cheapest_type(unmet.want, true) : nullptr) {
      add({type->name, true}, unmet);
      continue;
    }
    const MachineType* type = cheapest_type(unmet.want, false);
    if (type == nullptr) {
      summary.without_type += unmet.tasks;
      continue;
    }
    if (unmet.want.spot && !unmet.guaranteed)
      summary.over_allowance += limit_to_allowance(*type, allowance, unmet);
    add({type->name, false}, unmet);
  }
  return demand;
}

// Subtracts the tasks that fit into the freed room from the unmet demand, and their needs from the
// freed room. Returns their number.
std::uint32_t Controller::subtract_freed_room(Resources& freed, UnmetDemand& unmet) {
  if (unmet.tasks == 0) return 0;
  const Resources& each = unmet.want.each;
  double tasks = unmet.tasks;
  bool needs_room = false;
  const auto bound_by = [&](double room, double need) {
    if (need <= 0) return;
    needs_room = true;
    tasks = std::min(tasks, room / need);
  };
  bound_by(freed.gpus, each.gpus);
  bound_by(freed.cpus, each.cpus);
  bound_by(freed.memory_gb, each.memory_gb);
  if (!needs_room) return 0;
  tasks = std::floor(std::max(0.0, tasks));
  const Resources served = scaled(each, tasks);
  freed -= served;
  unmet.total -= served;
  const auto served_tasks = static_cast<std::uint32_t>(tasks);
  unmet.tasks -= served_tasks;
  return served_tasks;
}

// Limits the on-demand capacity that is added for work that has no guaranteed quota and may use
// spot instances: the allowance, plus one machine so that the work progresses where there are no
// spot instances. For the rest it waits for spot instances. Without this limit, an array of a team
// without a guaranteed quota filled the expensive machines of a zone. Returns how many tasks are
// left out.
std::uint32_t Controller::limit_to_allowance(const MachineType& type, Resources& allowance,
                                             UnmetDemand& unmet) {
  constexpr double kSlack = 1e-6;
  const double cpus = allowance.cpus + type.size.cpus;
  const double gpus = allowance.gpus + type.size.gpus;
  on_demand_awaited_ = on_demand_awaited_ || (cpus >= -kSlack && gpus >= -kSlack);
  double share = 1;
  if (unmet.total.cpus > 0) share = std::min(share, std::max(0.0, cpus) / unmet.total.cpus);
  if (unmet.total.gpus > 0) share = std::min(share, std::max(0.0, gpus) / unmet.total.gpus);
  if (share == 1) {
    allowance -= unmet.total;
    return 0;
  }
  const auto allowed_tasks = static_cast<std::uint32_t>(unmet.tasks * share);
  const std::uint32_t left_out = unmet.tasks - allowed_tasks;
  unmet.tasks = allowed_tasks;
  unmet.total = scaled(unmet.total, share);
  // The rest of an allowance that other work has used isn't a reason for another machine.
  if (allowed_tasks == 0 && machines_for(unmet.total, type.size) < kMinMachineFraction)
    unmet.total = {};
  allowance -= unmet.total;
  return left_out;
}

// Adds headroom for future work that requires on-demand machines, as a share of what such work uses
// or waits for.
void Controller::add_headroom(const OnDemandCapacity& on_demand, Demand& demand) const {
  Resources used = on_demand.used;
  for (const UnmetDemand& unmet : unmet_demand_)
    if (!unmet.want.spot) used += unmet.total;
  if (used.gpus <= 0 && used.cpus <= 0) return;
  const MachineType* type = cheapest_type(ResourceRequest{}, false);
  if (type == nullptr) return;
  // `used` includes waiting work, for which there is no room yet: the headroom comes on top of it.
  Resources& wanted = demand.anywhere[{type->name, false}].with_headroom;
  const double share = 1 + options_.headroom_ratio;
  // The room that is added in single zones, for work bound to them, counts as provided.
  Resources provided = on_demand.size;
  for (const auto& [pool, wanted_there] : demand.in_zone)
    if (!pool.kind.spot) provided += wanted_there.waiting;
  wanted.gpus = std::max(wanted.gpus, used.gpus * share - provided.gpus);
  wanted.cpus = std::max(wanted.cpus, used.cpus * share - provided.cpus);
}

// Launches the machines that are missing for work bound to a zone. The machines that are still to
// come up there count for this work first, and for work that may run in any zone only beyond that.
// Without this distinction, a job bound to one zone caused launches in all zones again and again.
void Controller::scale_out_in_zone(const InstancePool& pool, const PoolDemand& demand,
                                   FleetSupply& supply) {
  const MachineType* type = tables_.type(pool.kind.type);
  if (type == nullptr) return;
  const double needed = machines_needed(demand, type->size);
  scale_out_summary_.machines += machines_for(demand.with_headroom, type->size);
  double& pending = supply.pending[pool];
  if (needed > pending && may_scale_out(pool.kind, pool.zone)) {
    const auto missing = static_cast<std::uint32_t>(needed - pending);
    scale_out(pool.kind, pool.zone, missing);
    supply.by_zone[pool.kind][pool.zone] += static_cast<int>(missing);
    pending += missing;
  }
  pending -= std::min(needed, pending);
}

// Launches the missing machines, each in the zone that has the fewest machines of that kind. Zones
// that are unreachable are used only if no other zone may be used, and the machines that are still
// to come up there count only then: without that, each run requested all the machines again.
void Controller::scale_out_missing(const MachineKind& kind, const PoolDemand& demand,
                                   FleetSupply& supply) {
  const MachineType* type = tables_.type(kind.type);
  if (type == nullptr) return;
  scale_out_summary_.machines += machines_for(demand.with_headroom, type->size);
  int missing = static_cast<int>(machines_needed(demand, type->size)) -
                static_cast<int>(usable_pending(kind, supply));
  std::map<std::string, std::uint32_t> launches_by_zone;
  auto& machines_by_zone = supply.by_zone[kind];
  for (; missing > 0; --missing) {
    const std::string* zone = nullptr;
    for (const std::string& other : type->zones)
      if (may_scale_out(kind, other) &&
          (zone == nullptr || std::pair(zone_unreachable(other), machines_by_zone[other]) <
                                  std::pair(zone_unreachable(*zone), machines_by_zone[*zone])))
        zone = &other;
    if (zone == nullptr) break;
    ++machines_by_zone[*zone];
    ++launches_by_zone[*zone];
  }
  for (const auto& [zone, count] : launches_by_zone) scale_out(kind, zone, count);
}

// Records scale-out requests. Each is sent to the cloud once its record is committed to the
// checkpoint.
void Controller::scale_out(const MachineKind& kind, const std::string& zone, std::uint32_t count) {
  while (count > 0) {
    const std::uint32_t batch = std::min(count, kMaxMachinesPerScaleOut);
    count -= batch;
    PendingScaleOut scale_out;
    // The epoch makes the name unique to this leader: no other controller ever uses the same name.
    const std::string name =
        "r-" + std::to_string(election_.epoch()) + "-" + std::to_string(next_scale_out_++);
    scale_out.request = {name, kind.type, zone, kind.spot, batch};
    scale_out.decided_at = clock_.now;
    // If the checkpoint has no room for another pending request, a later run of the autoscaler
    // requests the remaining machines, once the cloud has answered some of the pending requests.
    if (!checkpoint_.scale_out_fits(scale_out.request)) return;
    outbox_.log(Log::Level::Info, LogEvent::ScaleOut,
                {{"request", name},
                 {"type", kind.type},
                 {"zone", zone},
                 {"spot", kind.spot ? 1 : 0},
                 {"count", batch}});
    pending_scale_outs_[name] = std::move(scale_out);
    scale_out_summary_.requested += batch;
    checkpoint_.mark_scale_outs_changed();
  }
}

void Controller::send_scale_outs() {
  const std::uint64_t term = election_.term();
  for (auto& [name, scale_out] : pending_scale_outs_) {
    if (!scale_out.committed || scale_out.call_in_flight || clock_.now < scale_out.retry_at)
      continue;
    CloudRequest call;
    call.kind = CloudRequest::Kind::ScaleOut;
    call.scale_out = scale_out.request;
    scale_out.call_in_flight = outbox_.call_cloud(
        call,
        [this, term, name = name](const CloudResponse& reply) {
          if (term == election_.term()) handle_scale_out_response(name, reply);
        },
        CloudBudget::Full);
    if (!scale_out.call_in_flight) return;
  }
}

void Controller::handle_scale_out_response(const std::string& name, const CloudResponse& reply) {
  const auto it = pending_scale_outs_.find(name);
  if (it == pending_scale_outs_.end()) return;
  PendingScaleOut& pending = it->second;
  pending.call_in_flight = false;
  const ScaleOutRequest& request = pending.request;
  if (reply.status == 200) add_launched(request, reply.names);
  const bool partial = reply.status == 200 && reply.names.size() < request.count;
  if (reply.no_capacity || partial) {
    outbox_.log(Log::Level::Info, LogEvent::NoCapacity,
                {{"request", name}, {"got", reply.names.size()}, {"of", request.count}});
    no_capacity_until_[{{request.type, request.spot}, request.zone}] =
        clock_.now + std::max<Time>(ms(settings_.cloud_limits.list_lag_s), kMinNoCapacityDelayMs);
  }
  if (reply.status == 200 || reply.status == 400 || reply.no_capacity) {
    pending_scale_outs_.erase(it);
    checkpoint_.mark_scale_outs_changed();
  } else {
    // The cloud may have carried out the request, so the same one is sent again under its name.
    pending.retry_at = clock_.now + kScaleOutRetryDelayMs;
  }
}

void Controller::add_launched(const ScaleOutRequest& request,
                              const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    if (terminated_.contains(name)) continue;
    Machine& machine = tables_.add_machine(name, clock_.now);
    if (machine.heard_in_epoch) continue;
    machine.type = request.type;
    machine.zone = request.zone;
    machine.spot = request.spot;
    tables_.set_size_from_type(machine);
  }
}

void Controller::cordon(Machine& machine, CordonCause cause) {
  if (machine.cordoned) return;
  machine.cordoned = true;
  machine.cordon_cause = cause;
  outbox_.log(Log::Level::Info, LogEvent::MachineCordoned,
              {{"machine", machine.name}, {"cause", cause}});
  drop_unsent_on_machine(machine);
  if (cause == CordonCause::Faulty)
    for (TaskAttempt& attempt : machine.attempts)
      if (attempt.held && attempt.job != nullptr)
        stop_with_gang(attempt, grace_period_s(*attempt.job));
}

void Controller::terminate_instance(Machine& machine, TerminationCause cause) {
  if (machine.terminating) return;
  machine.terminating = machine.cordoned = true;
  termination_queue_.insert(machine.name);
  outbox_.log(Log::Level::Info, LogEvent::MachineTerminating,
              {{"machine", machine.name}, {"cause", cause}});
}

void Controller::scale_in_idle() {
  const Time now = clock_.now;
  OnDemandCapacity on_demand = on_demand_capacity();
  for (auto& [name, pointer] : tables_.machines) {
    Machine& machine = *pointer;
    if (machine.terminating) continue;
    const MachineType* type = tables_.type(machine.type);
    if (type == nullptr) continue;
    if (!machine.heard_in_epoch) {
      if (!machine.recorded || !reconciling_)
        if (now - machine.launched > ms(type->boot_s * kFailedBootRatio) &&
            now >= machine_lease_expiry(machine))
          terminate_instance(machine, TerminationCause::NeverStarted);
      continue;
    }
    if (!machine.empty()) continue;
    if (machine.cordoned || machine.draining) {
      terminate_instance(machine, machine.draining ? TerminationCause::Drained
                                                   : termination_cause(machine.cordon_cause));
      continue;
    }
    if (reconciling_ || machine.idle_since == 0 ||
        now - machine.idle_since < ms(type->boot_s * options_.idle_ratio))
      continue;
    if (!machine.spot) {
      if (!is_surplus(on_demand, machine)) continue;
      on_demand.size -= machine.size;
    }
    terminate_instance(machine, TerminationCause::Idle);
  }
  drain_surplus(on_demand);
}

// Returns whether the other on-demand machines still provide the headroom that has to remain.
bool Controller::is_surplus(const OnDemandCapacity& on_demand, const Machine& machine) const {
  const auto& [size, used] = on_demand;
  const double required_ratio = 1 + kScaleInHeadroomRatio * options_.headroom_ratio;
  return size.gpus - machine.size.gpus >= used.gpus * required_ratio &&
         size.cpus - machine.size.cpus >= used.cpus * required_ratio;
}

// Returns the total size of the on-demand machines that accept work, and what work that requires
// on-demand machines uses on them. The room of tasks that may run on spot instances counts as free,
// since these tasks can be preempted.
Controller::OnDemandCapacity Controller::on_demand_capacity() const {
  OnDemandCapacity capacity;
  for (const auto& [name, machine] : tables_.machines) {
    if (!can_start_tasks(*machine) || machine->spot) continue;
    if (!machine->draining) capacity.size += machine->size;
    for (const TaskAttempt& attempt : machine->attempts)
      if (attempt.held && (attempt.job == nullptr || !attempt.job->spec().spot))
        capacity.used += attempt.need;
  }
  return capacity;
}

// Drains the on-demand machines with the fewest tasks while there is more capacity than needed:
// replicas end on one machine here, on another there, and no machine would become empty by itself.
// Each replica migrates to a machine that already holds its image.
void Controller::drain_surplus(OnDemandCapacity on_demand) {
  // Draining starts only after a time without such demand: when demand came and went within
  // seconds, one machine was drained 17 times in a day, and its replicas migrated each time.
  const bool wanted =
      on_demand_awaited_ || std::any_of(unmet_demand_.begin(), unmet_demand_.end(),
                                        [](auto& unmet) { return !unmet.want.spot; });
  if (wanted) {
    drain_not_before_ = clock_.now + kDrainDelayLeases * worker_lease();
    // Usable machines stop draining: if they continued while work waits for on-demand capacity, a
    // new machine would be launched for each of them.
    for (auto& [name, machine] : tables_.machines)
      machine->draining = machine->draining && !can_start_tasks(*machine);
  }
  if (reconciling_ || clock_.now < drain_not_before_) return;
  std::size_t usable_machines = 0, draining_machines = 0;
  for (const auto& [name, machine] : tables_.machines) {
    if (machine->spot || !can_start_tasks(*machine)) continue;
    ++usable_machines;
    draining_machines += machine->draining ? 1 : 0;
  }
  Reservations under_way;
  for (const auto& [task, migration] : migrations_)
    if (const Machine* target = tables_.machine(migration.to)) under_way[target] += migration.need;
  std::vector<FailedMigration> failed_migrations;
  image_holders_.clear();
  // Starts to drain as many machines in one run as the fleet's size allows. One machine per run was
  // too slow when demand fell and hundreds of machines had to be drained.
  for (Machine* machine : machines_to_drain()) {
    if (draining_machines > usable_machines / kUsableMachinesPerDraining) break;
    if (!is_surplus(on_demand, *machine) || !drain_machine(*machine, under_way, failed_migrations))
      continue;
    on_demand.size -= machine->size;
    ++draining_machines;
  }
  image_holders_.clear();
}

// Returns the machines that can be drained, ordered by the number of tasks that have to end or
// migrate, the fewest first.
std::vector<Machine*> Controller::machines_to_drain() const {
  struct Candidate {
    std::size_t tasks;
    Machine* machine;
  };
  std::vector<Candidate> candidates;
  for (const auto& [name, machine] : tables_.machines) {
    if (machine->spot || !can_start_tasks(*machine) || machine->draining || machine->empty())
      continue;
    Resources moved;
    std::size_t tasks = 0;
    bool possible = true;
    for (const TaskAttempt& attempt : machine->attempts) {
      if (!attempt.held) continue;
      ++tasks;
      // Tasks of arrays and gangs aren't migrated; draining waits until they end.
      if (attempt.job != nullptr && attempt.job->spec().kind != JobKind::Service) continue;
      moved += attempt.need;
      possible = possible && migratable(attempt);
    }
    if (possible && moved.gpus <= machine->size.gpus / 2 && moved.cpus <= machine->size.cpus / 2)
      candidates.push_back({tasks, machine.get()});
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const auto& a, const auto& b) { return a.tasks < b.tasks; });
  std::vector<Machine*> machines;
  machines.reserve(candidates.size());
  for (const Candidate& candidate : candidates) machines.push_back(candidate.machine);
  return machines;
}

// Marks a machine as draining and starts to migrate its replicas, if each of them has a target: a
// machine with room that holds its image. Adds the room reserved on the targets to `under_way`.
// Adds replicas without a target to `failed_migrations`, so that no target is searched for similar
// replicas again: the cost of examining all machines for each replica of each machine grew with the
// square of the fleet's size.
bool Controller::drain_machine(Machine& machine, Reservations& under_way,
                               std::vector<FailedMigration>& failed_migrations) {
  // A machine that is the target of migrations isn't drained.
  if (under_way.contains(&machine)) return false;
  std::vector<PlannedMigration> plan;
  for (TaskAttempt& attempt : machine.attempts) {
    if (!attempt.held || attempt.job->spec().kind != JobKind::Service) continue;
    const JobSpec& spec = attempt.job->spec();
    const ResourceRequest want = resource_request_of(spec);
    if (std::any_of(failed_migrations.begin(), failed_migrations.end(),
                    [&](const FailedMigration& failed) {
                      return failed.image == spec.image && want.needs_at_least(failed.want);
                    }))
      return false;
    Machine* target = find_migration_target(attempt, machine, under_way, plan);
    if (target == nullptr) {
      // Similar replicas on other machines have no target either, with these exceptions: this
      // machine has room for them, or the migrations planned above take the room, or constraints on
      // the job's zones exclude targets that other jobs may use.
      const bool room_here = spec.need.fits_in(unreserved_room(under_way, machine));
      if (plan.empty() && !room_here && !spec.spread && !spec.one_zone)
        failed_migrations.push_back({want, spec.image});
      return false;
    }
    plan.push_back({&attempt, target});
  }
  machine.draining = true;
  outbox_.log(Log::Level::Info, LogEvent::MachineDraining,
              {{"machine", machine.name}, {"migrations", plan.size()}});
  for (const PlannedMigration& step : plan) {
    under_way[step.to] += step.attempt_record->need;
    migrate_replica(*step.attempt_record, machine, *step.to);
  }
  return true;
}

void Controller::send_terminations() {
  if (terminate_call_in_flight_ || termination_queue_.empty()) return;
  CloudRequest call;
  call.kind = CloudRequest::Kind::Terminate;
  for (const std::string& name : termination_queue_) {
    if (call.names.size() >= kMaxMachinesPerTermination) break;
    call.names.push_back(name);
  }
  const std::uint64_t term = election_.term();
  const auto names = call.names;
  terminate_call_in_flight_ = outbox_.call_cloud(
      std::move(call),
      [this, term, names](const CloudResponse& reply) {
        if (term != election_.term()) return;
        terminate_call_in_flight_ = false;
        if (reply.status != 200) return;
        for (const std::string& name : names) {
          termination_queue_.erase(name);
          terminated_[name] = clock_.now;
          // The cloud has confirmed the termination. This proves that none of the machine's tasks
          // runs any more.
          if (Machine* machine = tables_.machine(name))
            handle_machine_gone(*machine, IncarnationLossCause::Terminated);
        }
      },
      CloudBudget::Full);
}

}  // namespace sailreel
