// Heartbeats between controllers: they tell who leads, who hears the leader, and for how long a
// follower may keep workers' tasks alive by itself.
#include <algorithm>

#include "controller/controller.hpp"

namespace sailreel {

void Controller::handle_peer_heartbeat(std::size_t peer, const ControllerHeartbeat& heartbeat) {
  if (!peers_.process_heartbeat(peer, heartbeat, clock_.now)) return;
  if (heartbeat.leading && heartbeat.acknowledged_incarnation == incarnation_)
    keep_alive_permit_.extend(heartbeat.epoch,
                              heartbeat.acknowledged_clock + Time{heartbeat.keep_alive_ms});
  election_.observe_peer_epoch(heartbeat.epoch, heartbeat.leading);
}

void Controller::send_heartbeats() {
  const Time now = clock_.now;
  next_heartbeat_ = now + worker_lease() / 30;
  PeerMessage message;
  message.kind = PeerMessage::Kind::Heartbeat;
  ControllerHeartbeat& heartbeat = message.heartbeat;
  heartbeat.node = settings_.name;
  heartbeat.epoch = election_.epoch();
  heartbeat.leading = holds_valid_lease(now);
  heartbeat.hears_leader = peers_.leader(now).has_value();
  heartbeat.keeps_workers_alive =
      election_.is_leader() && now < election_.lease_expiry() + keep_alive_span();
  heartbeat.receives_worker_heartbeats = now - last_worker_heartbeat_ < silent_after();
  heartbeat.supports_gangs = true;
  heartbeat.supports_quota_shares = quotas_.limits_span_regions();
  heartbeat.incarnation = incarnation_;
  heartbeat.clock = now;
  if (kept_alive_at_ >= 0)
    heartbeat.last_kept_alive_ms_ago =
        static_cast<std::uint32_t>(std::min<Time>(now - kept_alive_at_, UINT32_MAX));
  for (std::size_t peer = 0; peer < settings_.peers.size(); ++peer) {
    const PeerView& peer_view = peers_[peer];
    heartbeat.acknowledged_incarnation = peer_view.incarnation;
    heartbeat.acknowledged_clock = peer_view.clock;
    heartbeat.keep_alive_ms = heartbeat.leading && peer_view.incarnation != 0
                                  ? static_cast<std::uint32_t>(keep_alive_span())
                                  : 0;
    outbox_.send_to_peer(peer, message);
  }
}

}  // namespace sailreel
