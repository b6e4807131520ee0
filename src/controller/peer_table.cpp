#include "controller/peer_table.hpp"

#include <algorithm>

namespace sailreel {

bool PeerTable::process_heartbeat(std::size_t peer, const ControllerHeartbeat& heartbeat,
                                  Time now) {
  PeerView& view = views_[peer];
  if (heartbeat.incarnation != view.incarnation) {
    // The new incarnation's heartbeats don't report when the former one kept tasks alive, so the
    // former one is assumed to have done so until the keep-alive span after its latest heartbeat,
    // but not beyond now.
    if (view.incarnation != 0)
      view.kept_alive_at =
          std::max(view.kept_alive_at, std::min(now, view.last_heartbeat + keep_alive_span_));
    view.incarnation = heartbeat.incarnation;
  } else if (heartbeat.clock < view.clock) {
    return false;  // delayed on another connection
  }
  view.clock = heartbeat.clock;
  view.last_heartbeat = now;
  view.leading = heartbeat.leading;
  view.epoch = heartbeat.epoch;
  view.hears_leader = heartbeat.hears_leader;
  view.holding = heartbeat.keeps_workers_alive;
  view.hears_workers = heartbeat.receives_worker_heartbeats;
  view.understands_gangs = heartbeat.supports_gangs;
  view.shares_limits = heartbeat.supports_quota_shares;
  if (heartbeat.last_kept_alive_ms_ago)
    view.kept_alive_at =
        std::max(view.kept_alive_at, now - Time{*heartbeat.last_kept_alive_ms_ago});
  if (heartbeat.acknowledged_incarnation == own_incarnation_)
    view.acknowledged_sent_at =
        std::max(view.acknowledged_sent_at, Time{heartbeat.acknowledged_clock});
  return true;
}

bool PeerTable::in_contact(std::size_t peer, Time now) const {
  return now - views_[peer].last_heartbeat < worker_lease_ / 8;
}

bool PeerTable::reaches_leader(std::size_t peer, Time now) const {
  const PeerView& view = views_[peer];
  return in_contact(peer, now) && (view.leading || view.hears_leader);
}

std::optional<std::size_t> PeerTable::leader(Time now) const {
  std::optional<std::size_t> best;
  for (std::size_t peer = 0; peer < views_.size(); ++peer)
    if (views_[peer].leading && in_contact(peer, now) &&
        (!best || views_[peer].epoch > views_[*best].epoch))
      best = peer;
  return best;
}

std::optional<std::size_t> PeerTable::leader_answering_heartbeats(Time now) const {
  for (std::size_t peer = 0; peer < views_.size(); ++peer)
    if (views_[peer].holding && in_contact(peer, now)) return peer;
  return {};
}

std::vector<std::size_t> PeerTable::relays(Time now) const {
  std::vector<std::size_t> relay_peers;
  for (std::size_t peer = 0; peer < views_.size(); ++peer)
    if (in_contact(peer, now) && views_[peer].hears_leader && views_[peer].understands_gangs)
      relay_peers.push_back(peer);
  return relay_peers;
}

bool PeerTable::all_support_quota_shares() const {
  return std::all_of(views_.begin(), views_.end(),
                     [](const PeerView& view) { return view.shares_limits; });
}

bool PeerTable::all_understand_gangs() const {
  return std::all_of(views_.begin(), views_.end(),
                     [](const PeerView& view) { return view.understands_gangs; });
}

// A peer that acknowledged a heartbeat of this controller within the acknowledgement timeout has
// reported when it last answered a worker by itself. A peer that has lost contact may do so until
// the keep-alive span after its latest heartbeat has passed.
Time PeerTable::latest_possible_keep_alive(Time now) const {
  Time latest = -kNever;
  for (const PeerView& view : views_) {
    if (view.incarnation == 0) continue;
    latest = std::max(latest, view.kept_alive_at);
    if (now - view.acknowledged_sent_at > acknowledgement_timeout())
      latest = std::max(latest, view.last_heartbeat + with_clock_drift(keep_alive_span_));
  }
  return latest;
}

void KeepAlivePermit::extend(std::uint64_t epoch, Time until) {
  if (epoch < epoch_) return;
  if (epoch > epoch_) until_ = 0;
  epoch_ = epoch;
  until_ = std::max(until_, until);
}

}  // namespace sailreel
