// Detects silent and dead machines, and a leader that has lost contact with its workers.
#include "controller/controller.hpp"

namespace sailreel {
namespace {
/// At most one in this many machines of a zone is considered dead at a time.
constexpr std::size_t kDeadShare = 3;
}  // namespace

// A machine is silent after this long (ms) without a heartbeat: two and a half intervals and a
// margin.
Time Controller::silent_after() const { return heartbeat_interval() * 5 / 2 + 500; }

// True if so few machines are silent that the machines are likely to be at fault, and not the
// network.
bool Controller::few_silent(std::size_t silent, std::size_t of) {
  return silent <= std::max<std::size_t>(2, of / 10) && (silent < of || of == 1);
}

void Controller::machine_tick() {
  const FleetContact contact = fleet_contact();
  if (workers_lost(contact)) return election_.resign(StepDownCause::NoWorkerHeard);
  const bool few = few_silent(contact.silent, contact.up);
  for (auto& [name, m] : tables_.machines) watch_machine(*m, few);
  // This comes before the inquiries to silent machines, because it sends an inquiry to one
  // responding machine of each zone. With few sockets, inquiries to machines that don't respond
  // would leave none for it.
  if (holds_valid_lease(clock_.now) && contact.silent > 0) detect_dead_machines();
}

// If a worker hasn't been heard for this long (ms), it has to be heard soon for its lease to last.
Time Controller::unheard_after() const {
  return std::max(silent_after(), worker_lease() * 45 / 100);
}

Controller::FleetContact Controller::fleet_contact() const {
  FleetContact contact;
  const Time heard_since = clock_.now - unheard_after();
  for (const auto& [name, m] : tables_.machines) {
    if (!m->heard_in_epoch) continue;
    ++contact.up;
    contact.silent += m->silent ? 1 : 0;
    contact.heard += m->last_heartbeat >= heard_since ? 1 : 0;
  }
  return contact;
}

// True if this leader has lost contact with its workers and should resign, because another
// controller may still reach them. A leader that had lost all workers and peers, but not the
// key-value store, once kept its lease while every task died (recorded incident on
// tbilisi-listings). If no peer hears this controller either, it resigns even if up to a quarter of
// the workers still get through.
bool Controller::workers_lost(const FleetContact& contact) const {
  const Time now = clock_.now;
  if (!holds_valid_lease(now) || settings_.peers.empty() || contact.up <= 1 ||
      now - election_.elected_at() <= unheard_after())
    return false;
  const bool alone = std::none_of(peers_.begin(), peers_.end(), [&](const PeerView& v) {
    return v.hears_leader && now - v.last_heartbeat <= unheard_after();
  });
  return contact.heard == 0 || (alone && contact.heard * 4 <= contact.up);
}

// Marks the machine as silent when its heartbeats stop. Once its lease has expired, drops its tasks
// and may terminate it.
void Controller::watch_machine(Machine& m, bool few_are_silent) {
  const Time now = clock_.now;
  if (!m.heard_in_epoch) {
    if (m.recorded && m.listed_running && now >= expiry(m))
      terminate_instance(m, TerminationCause::UnheardSinceFailover);
    return;
  }
  if (!m.error_jobs.empty()) check_for_fault(m);
  if (!m.silent && now - m.last_heartbeat > silent_after()) {
    m.silent = true;
    m.silent_since = now;
    drop_unsent(m);
    outbox_.log(Log::Level::Info, LogEvent::MachineSilent,
                {{"machine", m.name},
                 {"zone", m.zone},
                 {"incarnation", m.incarnation},
                 {"heard_ms", now - m.last_heartbeat},
                 {"lease_ms", expiry(m) - now}});
  }
  if (!m.silent || now < expiry(m)) return;
  m.incarnation_fence.close(m.incarnation, now);
  incarnation_lost(m, IncarnationLossCause::LeaseExpired);
  // When many machines are silent, the network is more likely to be at fault. The machines may come
  // back with their tasks and images, so they get a little more time.
  if (few_are_silent || now >= expiry(m) + 2 * worker_lease())
    terminate_instance(m, TerminationCause::LeaseExpired);
}

// Terminates machines that neither send heartbeats nor respond to inquiries, while others of their
// zone respond: such a machine is most likely dead. Terminating it proves that its tasks are gone,
// sooner than lease expiry would. If no machine of the zone is reached, the fault is more likely
// the network between this controller and the zone, and lease expiry is awaited: a rule by the
// share of silent machines alone terminated healthy ones when two zones were partitioned.
void Controller::detect_dead_machines() {
  // A recorded machine was up under the former leader. During reconciliation it counts as silent
  // too if it hasn't been heard for `silent_after()` since the election.
  const bool awaited = reconciling_ && clock_.now - election_.elected_at() > silent_after();
  const auto silent = [&](const Machine& m) {
    return m.heard_in_epoch ? m.silent : awaited && m.recorded && !m.lease_passed;
  };
  struct Zone {
    std::size_t up = 0, silent = 0;
    Machine* witness = nullptr;
  };
  std::map<std::string, Zone> zones;
  std::size_t all_up = 0, all_silent = 0;
  for (auto& [name, m] : tables_.machines) {
    if (m->terminating || m->zone.empty() || !(m->heard_in_epoch || silent(*m))) continue;
    Zone& zone = zones[m->zone];
    ++zone.up;
    ++all_up;
    if (silent(*m)) {
      ++zone.silent;
      ++all_silent;
    } else if (!m->address.empty() && (zone.witness == nullptr ||
                                       m->last_own_heartbeat > zone.witness->last_own_heartbeat)) {
      zone.witness = m.get();
    }
  }
  for (const auto& [name, zone] : zones)
    if (zone.witness == nullptr && zone.up > 1) zone_unreachable_at_[name] = clock_.now;
  const bool few = few_silent(all_silent, all_up);
  for (auto& [name, m] : tables_.machines) {
    if (m->terminating || m->zone.empty() || !silent(*m) || m->probe_failures < 2) continue;
    const TerminationCause cause =
        m->heard_in_epoch ? TerminationCause::Silent : TerminationCause::SilentSinceFailover;
    Zone& zone = zones[m->zone];
    const Time reached = zone_reached_[m->zone];
    if (zone.witness == nullptr) {
      // If all machines of a zone are silent at once, the zone itself is more likely to be at
      // fault. A machine that is the only one of its zone is judged by the share of silent machines
      // in all zones.
      if (few && zone.up == 1) terminate_instance(*m, cause);
    } else if (reached > (m->heard_in_epoch ? m->silent_since : election_.elected_at())) {
      // Only a failed inquiry that was sent after the zone was reached counts. An earlier one may
      // have failed just before a partition ended that was over for other machines already.
      const bool few_of_zone = zone.silent == 1 || zone.silent * kDeadShare <= zone.up;
      if (reached <= m->probe_failed && few_of_zone) terminate_instance(*m, cause);
    } else {
      inquire_if_due(*zone.witness);
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
