// Heartbeats between controllers: they tell who leads, who hears the leader, and for how long a
// follower may keep workers' tasks alive by itself.
#include <algorithm>

#include "controller/controller.hpp"

namespace sailreel {

void Controller::peer_heartbeat(std::size_t peer, const ControllerHeartbeat& heartbeat) {
  if (!peers_.take(peer, heartbeat, clock_.now)) return;
  if (heartbeat.leading && heartbeat.acknowledged_incarnation == incarnation_)
    keep_alive_permit_.allow(heartbeat.epoch,
                             heartbeat.acknowledged_clock + Time{heartbeat.keep_ms});
  election_.note_epoch(heartbeat.epoch, heartbeat.leading);
}

void Controller::send_heartbeats() {
  const Time now = clock_.now;
  next_heartbeat_ = now + worker_lease() / 30;
  PeerMessage m;
  m.kind = PeerMessage::Kind::Heartbeat;
  ControllerHeartbeat& b = m.heartbeat;
  b.node = settings_.name;
  b.epoch = election_.epoch();
  b.leading = holds_valid_lease(now);
  b.hears_leader = peers_.leader(now).has_value();
  b.holding = election_.is_leader() && now < election_.lease_expiry() + keep_alive_span();
  b.hears_workers = now - last_worker_heartbeat_ < silent_after();
  b.understands_gangs = true;
  b.shares_limits = quotas_.shared();
  b.incarnation = incarnation_;
  b.clock = now;
  if (kept_alive_at_ >= 0)
    b.kept_alive_ms = static_cast<std::uint32_t>(std::min<Time>(now - kept_alive_at_, UINT32_MAX));
  for (std::size_t i = 0; i < settings_.peers.size(); ++i) {
    const PeerView& v = peers_[i];
    b.acknowledged_incarnation = v.incarnation;
    b.acknowledged_clock = v.clock;
    b.keep_ms = b.leading && v.incarnation != 0 ? static_cast<std::uint32_t>(keep_alive_span()) : 0;
    outbox_.send_to_peer(i, m);
  }
}

}  // namespace sailreel
