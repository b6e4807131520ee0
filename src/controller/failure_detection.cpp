// Detects silent and dead machines, and a leader that has lost contact with its workers.
#include "controller/controller.hpp"

namespace sailreel {
namespace {
/// At most one in this many machines of a zone is considered dead at a time.
constexpr std::size_t kMinMachinesPerDeadMachine = 3;
}  // namespace

// A machine is silent after this long (ms) without a heartbeat: two and a half intervals and a
// margin.
Time Controller::silent_after() const { return heartbeat_interval() * 5 / 2 + 500; }

// True if so few machines are silent that the machines are likely to be at fault, and not the
// network.
bool Controller::machines_likely_at_fault(std::size_t silent, std::size_t total) {
  return silent <= std::max<std::size_t>(2, total / 10) && (silent < total || total == 1);
}

void Controller::machine_tick() {
  const FleetContact contact = fleet_contact();
  if (lost_contact_with_workers(contact)) return election_.resign(StepDownCause::NoWorkerReachable);
  const bool few_are_silent = machines_likely_at_fault(contact.silent, contact.up);
  for (auto& [name, machine] : tables_.machines) watch_machine(*machine, few_are_silent);
  // `detect_dead_machines` runs before silent machines are probed, because it probes one responding
  // machine of each zone. With few sockets, probes of machines that don't respond would leave none
  // for it.
  if (holds_valid_lease(clock_.now) && contact.silent > 0) detect_dead_machines();
}

// If a worker hasn't been heard for this long (ms), it has to be heard soon for its lease to last.
Time Controller::unheard_after() const {
  return std::max(silent_after(), worker_lease() * 45 / 100);
}

Controller::FleetContact Controller::fleet_contact() const {
  FleetContact contact;
  const Time heard_since = clock_.now - unheard_after();
  for (const auto& [name, machine] : tables_.machines) {
    if (!machine->heard_in_epoch) continue;
    ++contact.up;
    contact.silent += machine->silent ? 1 : 0;
    contact.heard += machine->last_heartbeat >= heard_since ? 1 : 0;
  }
  return contact;
}

// True if this leader has lost contact with its workers and should resign, because another
// controller may still reach them. A leader that had lost all workers and peers, but not the
// key-value store, once kept its lease while every task died (recorded incident on
// tbilisi-listings). If no peer hears this controller either, it resigns even if up to a quarter of
// the workers still get through.
bool Controller::lost_contact_with_workers(const FleetContact& contact) const {
  const Time now = clock_.now;
  if (!holds_valid_lease(now) || settings_.peers.empty() || contact.up <= 1 ||
      now - election_.elected_at() <= unheard_after())
    return false;
  const bool unheard_by_peers =
      std::none_of(peers_.begin(), peers_.end(), [&](const PeerView& peer) {
        return peer.hears_leader && now - peer.last_heartbeat <= unheard_after();
      });
  return contact.heard == 0 || (unheard_by_peers && contact.heard * 4 <= contact.up);
}

// Marks the machine as silent when its heartbeats stop. Once its lease has expired, drops its tasks
// and may terminate it.
void Controller::watch_machine(Machine& machine, bool few_are_silent) {
  const Time now = clock_.now;
  if (!machine.heard_in_epoch) {
    if (machine.recorded && machine.listed_running && now >= machine_lease_expiry(machine))
      terminate_instance(machine, TerminationCause::UnheardSinceFailover);
    return;
  }
  if (!machine.error_jobs.empty()) check_for_fault(machine);
  if (!machine.silent && now - machine.last_heartbeat > silent_after()) {
    machine.silent = true;
    machine.silent_since = now;
    drop_unsent_on_machine(machine);
    outbox_.log(Log::Level::Info, LogEvent::MachineSilent,
                {{"machine", machine.name},
                 {"zone", machine.zone},
                 {"incarnation", machine.incarnation},
                 {"heard_ms", now - machine.last_heartbeat},
                 {"lease_ms", machine_lease_expiry(machine) - now}});
  }
  if (!machine.silent || now < machine_lease_expiry(machine)) return;
  machine.incarnation_fence.close(machine.incarnation, now);
  handle_incarnation_loss(machine, IncarnationLossCause::LeaseExpired);
  // When many machines are silent, the network is more likely to be at fault. The machines may come
  // back with their tasks and images, so they get a little more time.
  if (few_are_silent || now >= machine_lease_expiry(machine) + 2 * worker_lease())
    terminate_instance(machine, TerminationCause::LeaseExpired);
}

// Terminates machines that neither send heartbeats nor respond to probes, while others of their
// zone respond: such a machine is most likely dead. Terminating it proves that its tasks are gone,
// sooner than lease expiry would. If no machine of the zone is reached, the fault is more likely
// the network between this controller and the zone, and lease expiry is awaited: a rule by the
// share of silent machines alone terminated healthy ones when two zones were partitioned.
void Controller::detect_dead_machines() {
  // A recorded machine was up under the former leader. During reconciliation it counts as silent
  // too if it hasn't been heard for `silent_after()` since the election.
  const bool unheard_is_silent =
      reconciling_ && clock_.now - election_.elected_at() > silent_after();
  const auto is_silent = [&](const Machine& machine) {
    return machine.heard_in_epoch ? machine.silent
                                  : unheard_is_silent && machine.recorded && !machine.lease_expired;
  };
  struct ZoneContact {
    std::size_t up = 0, silent = 0;
    Machine* responder = nullptr;
  };
  std::map<std::string, ZoneContact> zones;
  std::size_t all_up = 0, all_silent = 0;
  for (auto& [name, machine] : tables_.machines) {
    if (machine->terminating || machine->zone.empty() ||
        !(machine->heard_in_epoch || is_silent(*machine)))
      continue;
    ZoneContact& zone = zones[machine->zone];
    ++zone.up;
    ++all_up;
    if (is_silent(*machine)) {
      ++zone.silent;
      ++all_silent;
    } else if (!machine->address.empty() &&
               (zone.responder == nullptr ||
                machine->last_own_heartbeat > zone.responder->last_own_heartbeat)) {
      zone.responder = machine.get();
    }
  }
  for (const auto& [name, zone] : zones)
    if (zone.responder == nullptr && zone.up > 1) zone_unreachable_at_[name] = clock_.now;
  const bool few_are_silent = machines_likely_at_fault(all_silent, all_up);
  for (auto& [name, machine] : tables_.machines) {
    if (machine->terminating || machine->zone.empty() || !is_silent(*machine) ||
        machine->probe_failures < 2)
      continue;
    const TerminationCause cause =
        machine->heard_in_epoch ? TerminationCause::Silent : TerminationCause::SilentSinceFailover;
    ZoneContact& zone = zones[machine->zone];
    const Time reached_at = zone_reached_[machine->zone];
    if (zone.responder == nullptr) {
      // If all machines of a zone are silent at once, the zone itself is more likely to be at
      // fault. A machine that is the only one of its zone is judged by the share of silent machines
      // in all zones.
      if (few_are_silent && zone.up == 1) terminate_instance(*machine, cause);
    } else if (reached_at >
               (machine->heard_in_epoch ? machine->silent_since : election_.elected_at())) {
      // Only a failed probe that was sent after the zone was reached counts. An earlier one may
      // have failed just before a partition ended that was over for other machines already.
      const bool few_of_zone =
          zone.silent == 1 || zone.silent * kMinMachinesPerDeadMachine <= zone.up;
      if (reached_at <= machine->probe_failed && few_of_zone) terminate_instance(*machine, cause);
    } else {
      probe_if_due(*zone.responder);
    }
  }
}

// True if all machines of the zone were silent recently. New instances there couldn't be reached
// either: a partitioned zone that had lost its machines once got all new instances.
bool Controller::zone_unreachable(const std::string& zone) const {
  const auto it = zone_unreachable_at_.find(zone);
  return it != zone_unreachable_at_.end() && clock_.now - it->second < 2 * worker_lease();
}

}  // namespace sailreel
