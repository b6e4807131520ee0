// Keeps workers' tasks alive while no leader can be reached, and computes for how long a leader has
// to assume that other controllers have kept them alive.
#include "controller/controller.hpp"
#include "protocol/worker_codec.hpp"

namespace sailreel {
namespace {
/// Tasks are kept alive without a leader for this many worker leases. Tasks thereby survive a
/// zone's partition or an outage of less than three leases; in return, the tasks of a zone that has
/// really failed are replaced that much later.
constexpr int kKeepAliveLeases = 2;
/// A worker isn't redirected to its own zone again until this many worker leases have passed, and a
/// peer that hears no worker isn't tried again before.
constexpr int kRedirectIntervalLeases = 4;
}  // namespace

Time Controller::keep_alive_span() const { return kKeepAliveLeases * worker_lease(); }

// Returns the time by which the tasks on a machine have certainly ended, unless another of its
// heartbeats is answered before. A peer's report of its latest answer to a worker may be as old as
// the acknowledgement timeout, so that time is added to the worker's lease.
Time Controller::machine_lease_expiry(const Machine& machine) const {
  const Time last_answer =
      std::max(machine.last_response, peers_.latest_possible_keep_alive(clock_.now));
  const Time by_last_answer =
      last_answer + with_clock_drift(worker_lease()) + peers_.acknowledgement_timeout();
  // Until the worker has seen this leader's fencing token, responses of a former leader, or of
  // controllers that heard that leader, may still renew its lease.
  return machine.heard_in_epoch ? by_last_answer
                                : std::max(by_last_answer, former_leases_expire_at_);
}

// Handles a heartbeat at a controller that doesn't lead. The heartbeat is forwarded rather than
// redirected: a worker that can't reach the leader itself, as when two zones are partitioned, would
// be redirected back and forth until it lost its tasks.
void Controller::forward_heartbeat(const HeartbeatReceived& input) {
  if (input.source.kind == RequestSource::Kind::Peer)
    return outbox_.respond(input.source, 503, encode_error("no leader"));
  std::optional<std::size_t> peer = peers_.leader(clock_.now);
  // A leader whose lease may have expired still keeps tasks alive.
  if (!peer) peer = peers_.leader_answering_heartbeats(clock_.now);
  if (!peer)
    return keep_alive(input.source, input.heartbeat.machine, input.heartbeat.fencing_token, true);
  if (!redirect_to_own_zone(input))
    forward(input.source, RequestOp::Heartbeat, input.heartbeat.machine, input.encoded, *peer,
            input.heartbeat.fencing_token);
}

// Redirects a worker to a controller in its own zone; returns whether it did. Workers that use a
// controller outside their zone lose their tasks when the zone is partitioned: they try the
// unreachable controllers one after another, 5 s each, until their leases have expired.
bool Controller::redirect_to_own_zone(const HeartbeatReceived& input) {
  const std::string& zone = input.heartbeat.zone;
  if (input.source.kind != RequestSource::Kind::Local || zone == settings_.zone) return false;
  if (was_redirected(input.heartbeat.machine, kRedirectIntervalLeases * worker_lease()))
    return false;
  const std::optional<std::size_t> nearby_peer = peer_in_zone(zone);
  if (nearby_peer) redirect_worker(input.source, input.heartbeat.machine, *nearby_peer);
  return nearby_peer.has_value();
}

// Returns a peer in the zone that hears both the leader and workers. If there is none, returns,
// once in kRedirectIntervalLeases leases, a peer that hears no worker: either it is partitioned
// from the workers, or no worker uses it yet. Redirecting one worker there shows which it is; if it
// succeeds, others follow. Without this, a controller that no worker happened to use would never
// get one, and a partition of its zone would end all tasks there.
std::optional<std::size_t> Controller::peer_in_zone(const std::string& zone) {
  std::vector<std::size_t> hearing;
  std::optional<std::size_t> untried;
  for (std::size_t peer = 0; peer < peers_.size(); ++peer) {
    const PeerView& peer_view = peers_[peer];
    if (settings_.peers[peer].zone != zone || !peers_.reaches_leader(peer, clock_.now)) continue;
    if (peer_view.hears_workers)
      hearing.push_back(peer);
    else if (clock_.now - peer_view.tried_at >= kRedirectIntervalLeases * worker_lease())
      untried = peer;
  }
  if (!hearing.empty()) return hearing[random_(static_cast<std::uint32_t>(hearing.size()))];
  if (untried) peers_.mark_tried(*untried, clock_.now);
  return untried;
}

bool Controller::was_redirected(const std::string& machine, Time within) const {
  const auto it = redirected_at_.find(machine);
  return it != redirected_at_.end() && clock_.now - it->second < within;
}

void Controller::redirect_worker(const RequestSource& source, const std::string& machine,
                                 std::size_t peer) {
  const Time span = kRedirectIntervalLeases * worker_lease();
  // Old entries are removed only once per span: each entry is examined at most twice, however many
  // workers there are.
  if (clock_.now >= next_redirect_cleanup_) {
    next_redirect_cleanup_ = clock_.now + span;
    std::erase_if(redirected_at_,
                  [&](const auto& entry) { return clock_.now - entry.second >= span; });
  }
  redirected_at_[machine] = clock_.now;
  outbox_.respond(source, 421, encode_redirect(settings_.peers[peer].name));
}

// Handles a heartbeat while this controller can reach no leader. If the whole zone is cut off, its
// workers' tasks survive only if this controller responds; if only this controller is cut off, the
// worker is better served elsewhere. So each worker is first redirected, once per lease: to a peer
// that reaches the leader if one is known, else to the preceding controller. If that can't be
// reached either, the worker tries this controller next.
void Controller::keep_alive(const RequestSource& source, const std::string& machine,
                            std::uint64_t fencing_token, bool may_redirect) {
  if (!keep_alive_permit_.valid(fencing_token, clock_.now))
    return outbox_.respond(source, 503, encode_error("no leader"));
  if (may_redirect && !was_redirected(machine, worker_lease())) {
    for (std::size_t peer = 0; peer < peers_.size(); ++peer)
      if (peers_.reaches_leader(peer, clock_.now)) return redirect_worker(source, machine, peer);
    if (!settings_.peers.empty()) return redirect_worker(source, machine, preceding_peer());
  }
  if (clock_.now - kept_alive_at_ > worker_lease())
    outbox_.log(Log::Level::Info, LogEvent::KeepAlive,
                {{"for_ms", keep_alive_permit_.until() - clock_.now}});
  kept_alive_at_ = clock_.now;
  outbox_.respond(source, 200, encode_heartbeat_response(keep_alive_permit_.epoch(), {}), 0,
                  keep_alive_permit_.until());
}

// Returns the peer that workers try just before this controller. Workers try controllers in the
// order of the numbers in their names, and the first again after the last. Shorter names come
// first, so that node-10 follows node-9.
std::size_t Controller::preceding_peer() const {
  const auto name_precedes = [](const std::string& a, const std::string& b) {
    return a.size() != b.size() ? a.size() < b.size() : a < b;
  };
  std::optional<std::size_t> before;
  std::size_t last = 0;
  for (std::size_t peer = 0; peer < settings_.peers.size(); ++peer) {
    const std::string& name = settings_.peers[peer].name;
    if (name_precedes(settings_.peers[last].name, name)) last = peer;
    if (name_precedes(name, settings_.name) &&
        (!before || name_precedes(settings_.peers[*before].name, name)))
      before = peer;
  }
  return before.value_or(last);
}

}  // namespace sailreel
