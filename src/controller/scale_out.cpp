// Scale-out: launches machines for work that waits and for headroom.
#include <algorithm>
#include <cmath>
#include <utility>

#include "controller/controller.hpp"
#include "controller/resource_ratios.hpp"

namespace sailreel {
namespace {
/// Running arrays free room while a new machine boots. This fraction of the room that they are
/// expected to free counts as available to waiting tasks.
constexpr double kCountedFreedRoomRatio = 0.5;
/// Unmet demand is logged at most once in this many worker leases.
constexpr Time kUnmetDemandLogLeases = 1;

Resources scaled(const Resources& resources, double ratio) {
  return {resources.cpus * ratio, resources.gpus * ratio, resources.memory_gb * ratio};
}

}  // namespace

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

}  // namespace sailreel
