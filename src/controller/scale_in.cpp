// Scale-in: terminates idle machines, and drains surplus ones.
#include <algorithm>

#include "controller/controller.hpp"

namespace sailreel {
namespace {
/// A machine that has sent no heartbeat after this many times its type's boot time is terminated.
constexpr double kFailedBootRatio = 3;
/// An on-demand machine is drained or terminated only if the others still provide this many times
/// the headroom. Between the headroom and this, the fleet stays as it is.
constexpr double kScaleInHeadroomRatio = 1.2;
/// At most one in this many usable on-demand machines, plus one, drain at the same time.
constexpr std::size_t kUsableMachinesPerDraining = 32;
/// No machine is drained until no work has waited for on-demand capacity for this many worker
/// leases.
constexpr Time kDrainDelayLeases = 2;
}  // namespace

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

}  // namespace sailreel
