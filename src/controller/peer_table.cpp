#include "controller/peer_table.hpp"

#include <algorithm>

namespace sailreel {

bool PeerTable::take(std::size_t peer, const ControllerHeartbeat& heartbeat, Time now) {
  PeerView& v = views_[peer];
  if (heartbeat.incarnation != v.incarnation) {
    // The new incarnation's heartbeats don't report when the former one kept tasks alive, so the
    // former one is assumed to have done so until the keep-alive span after its latest heartbeat,
    // but not beyond now.
    if (v.incarnation != 0)
      v.kept_alive_at =
          std::max(v.kept_alive_at, std::min(now, v.last_heartbeat + keep_alive_span_));
    v.incarnation = heartbeat.incarnation;
  } else if (heartbeat.clock < v.clock) {
    return false;  // delayed on another connection
  }
  v.clock = heartbeat.clock;
  v.last_heartbeat = now;
  v.leading = heartbeat.leading;
  v.epoch = heartbeat.epoch;
  v.hears_leader = heartbeat.hears_leader;
  v.holding = heartbeat.holding;
  v.hears_workers = heartbeat.hears_workers;
  v.understands_gangs = heartbeat.understands_gangs;
  v.shares_limits = heartbeat.shares_limits;
  if (heartbeat.kept_alive_ms)
    v.kept_alive_at = std::max(v.kept_alive_at, now - Time{*heartbeat.kept_alive_ms});
  if (heartbeat.acknowledged_incarnation == own_incarnation_)
    v.echo_at = std::max(v.echo_at, Time{heartbeat.acknowledged_clock});
  return true;
}

bool PeerTable::in_contact(std::size_t peer, Time now) const {
  return now - views_[peer].last_heartbeat < worker_lease_ / 8;
}

bool PeerTable::reaches_leader(std::size_t peer, Time now) const {
  const PeerView& v = views_[peer];
  return in_contact(peer, now) && (v.leading || v.hears_leader);
}

std::optional<std::size_t> PeerTable::leader(Time now) const {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < views_.size(); ++i)
    if (views_[i].leading && in_contact(i, now) && (!best || views_[i].epoch > views_[*best].epoch))
      best = i;
  return best;
}

std::optional<std::size_t> PeerTable::holding(Time now) const {
  for (std::size_t i = 0; i < views_.size(); ++i)
    if (views_[i].holding && in_contact(i, now)) return i;
  return {};
}

std::vector<std::size_t> PeerTable::relays(Time now) const {
  std::vector<std::size_t> out;
  for (std::size_t i = 0; i < views_.size(); ++i)
    if (in_contact(i, now) && views_[i].hears_leader && views_[i].understands_gangs)
      out.push_back(i);
  return out;
}

bool PeerTable::all_share_limits() const {
  return std::all_of(views_.begin(), views_.end(),
                     [](const PeerView& v) { return v.shares_limits; });
}

bool PeerTable::all_understand_gangs() const {
  return std::all_of(views_.begin(), views_.end(),
                     [](const PeerView& v) { return v.understands_gangs; });
}

// A peer that acknowledged a heartbeat of this controller within the contact span has reported when
// it last answered a worker by itself. A peer that has lost contact may do so until the keep-alive
// span after its latest heartbeat has passed.
Time PeerTable::latest_answer(Time now) const {
  Time latest = -kNever;
  for (const PeerView& v : views_) {
    if (v.incarnation == 0) continue;
    latest = std::max(latest, v.kept_alive_at);
    if (now - v.echo_at > contact_span())
      latest = std::max(latest, v.last_heartbeat + with_drift(keep_alive_span_));
  }
  return latest;
}

void KeepAlivePermit::allow(std::uint64_t epoch, Time until) {
  if (epoch < epoch_) return;
  if (epoch > epoch_) until_ = 0;
  epoch_ = epoch;
  until_ = std::max(until_, until);
}

}  // namespace sailreel
