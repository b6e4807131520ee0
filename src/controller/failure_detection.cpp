// Detects silent and dead machines, and a leader that has lost contact with its workers.
#include "controller/controller.hpp"

namespace sailreel {
namespace {
/// At most one in this many machines of a zone is considered dead at a time.
constexpr std::size_t kDeadShare = 3;
}  // namespace

Time Controller::silent_after() const { return heartbeat_interval() * 5 / 2 + 500; }

// True if so few are silent that the machines are likely to be at fault, and not the network.
bool Controller::few_silent(std::size_t silent, std::size_t of) {
  return silent <= std::max<std::size_t>(2, of / 10) && (silent < of || of == 1);
}

void Controller::machine_tick() {
  const FleetContact contact = fleet_contact();
  if (workers_lost(contact)) return election_.resign(StepDownCause::NoWorkerHeard);
  const bool few = few_silent(contact.silent, contact.up);
  for (auto& [name, m] : tables_.machines) watch_machine(*m, few);
  // Before inquiries to the silent ones, as this sends one to a machine of each zone that does
  // respond: with few sockets, those that don't respond left none for it.
  if (holds_valid_lease(clock_.now) && contact.silent > 0) detect_dead_machines();
}

// A worker that hasn't been heard for this long (ms) has to be heard soon for its lease to last.
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

// A leader that had lost all workers and peers, but not the key-value store, once kept its lease
// while every task died (recorded incident on tbilisi-listings). Another controller may still reach
// them. If no peer hears this controller either, a few workers that still get through don't change
// that.
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

// Notes when a machine becomes silent, and what its lease expiry means for its tasks.
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
  // When many are silent, the network is the likelier fault: the machines may come back with their
  // tasks and images, so they get a little more time.
  if (few_are_silent || now >= expiry(m) + 2 * worker_lease())
    terminate_instance(m, TerminationCause::LeaseExpired);
}

// A machine that responds neither way is most likely dead, if others of its zone do respond to
// inquiries. Terminating it proves that its tasks are gone, sooner than lease expiry would. If no
// machine of the zone is reached, the fault is more likely the network between this controller and
// the zone, and lease expiry is awaited: when two zones were partitioned, a rule by the share of
// silent machines alone terminated healthy ones.
void Controller::detect_dead_machines() {
  // A machine that was up when the former leader ended, and hasn't been heard for that long, is
  // silent too.
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
      // All of a zone at once suggests a fault of the zone; the only machine of its zone is judged
      // by the other zones.
      if (few && zone.up == 1) terminate_instance(*m, cause);
    } else if (reached > (m->heard_in_epoch ? m->silent_since : election_.elected_at())) {
      // An inquiry that was sent before the zone was reached proves nothing: it may have met the
      // end of a partition that others had left a moment earlier.
      const bool few_of_zone = zone.silent == 1 || zone.silent * kDeadShare <= zone.up;
      if (reached <= m->probe_failed && few_of_zone) terminate_instance(*m, cause);
    } else {
      inquire_if_due(*zone.witness);
    }
  }
}

// No machine of the zone was heard recently. New instances there can't be reached either: a
// partitioned zone, having lost its machines, once got all the new ones.
bool Controller::zone_unreachable(const std::string& zone) const {
  const auto it = zone_unreachable_at_.find(zone);
  return it != zone_unreachable_at_.end() && clock_.now - it->second < 2 * worker_lease();
}

}  // namespace sailreel
