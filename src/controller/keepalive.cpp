// Keeps workers' tasks alive while no leader can be reached, and computes for how long a leader has
// to assume that other controllers have kept them alive.
#include "controller/controller.hpp"
#include "protocol/worker_codec.hpp"

namespace sailreel {
namespace {
/// Tasks are kept alive without a leader for this many worker leases. Tasks thereby survive a
/// zone's partition or an outage of less than three leases; in return, the tasks of a zone that has
/// really failed are replaced that much later.
constexpr int kKeepLeases = 2;
/// A worker isn't redirected to its own zone again until this many worker leases have passed, and a
/// peer that hears no worker isn't tried again before.
constexpr int kRedirectLeases = 4;
}  // namespace

Time Controller::keep_alive_span() const { return kKeepLeases * worker_lease(); }

// Returns the time by which the tasks on a machine have certainly ended, unless another of its
// heartbeats is answered before. A peer's report of its latest answer to a worker may be as old as
// the contact span, so that span is added to the worker's lease.
Time Controller::expiry(const Machine& m) const {
  const Time last = std::max(m.answered, peers_.latest_answer(clock_.now));
  const Time ours = last + with_drift(worker_lease()) + peers_.contact_span();
  // Until the worker has seen this leader's fencing token, responses of a former leader, or of
  // controllers that heard that leader, may still renew its lease.
  return m.heard_in_epoch ? ours : std::max(ours, fence_at_);
}

// Handles a heartbeat at a controller that doesn't lead. The heartbeat is forwarded rather than
// redirected: a worker that can't reach the leader itself, as when two zones are partitioned, would
// be redirected back and forth until it lost its tasks.
void Controller::forward_heartbeat(const HeartbeatReceived& in) {
  if (in.source.kind == RequestSource::Kind::Peer)
    return outbox_.respond(in.source, 503, encode_error("no leader"));
  std::optional<std::size_t> peer = peers_.leader(clock_.now);
  // A leader whose lease may have expired still keeps tasks alive.
  if (!peer) peer = peers_.holding(clock_.now);
  if (!peer) return keep_alive(in.source, in.heartbeat.machine, in.heartbeat.fencing_token, true);
  if (!redirect_to_own_zone(in))
    forward(in.source, UserOp::Heartbeat, in.heartbeat.machine, in.raw, *peer,
            in.heartbeat.fencing_token);
}

// Redirects a worker to a controller in its own zone; returns whether it did. Workers that use a
// controller outside their zone lose their tasks when the zone is partitioned: they try the
// unreachable controllers one after another, 5 s each, until their leases have expired.
bool Controller::redirect_to_own_zone(const HeartbeatReceived& in) {
  const std::string& zone = in.heartbeat.zone;
  if (in.source.kind != RequestSource::Kind::Local || zone == settings_.zone) return false;
  if (was_redirected(in.heartbeat.machine, kRedirectLeases * worker_lease())) return false;
  const std::optional<std::size_t> near = peer_in_zone(zone);
  if (near) redirect_worker(in.source, in.heartbeat.machine, *near);
  return near.has_value();
}

// Returns a peer in the zone that hears both the leader and workers. If there is none, returns,
// once in kRedirectLeases leases, a peer that hears no worker: either it is partitioned from the
// workers, or no worker uses it yet. Redirecting one worker there shows which it is; if it
// succeeds, others follow. Without this, a controller that no worker happened to use would never
// get one, and a partition of its zone would end all tasks there.
std::optional<std::size_t> Controller::peer_in_zone(const std::string& zone) {
  std::vector<std::size_t> hearing;
  std::optional<std::size_t> untried;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    const PeerView& v = peers_[i];
    if (settings_.peers[i].zone != zone || !peers_.reaches_leader(i, clock_.now)) continue;
    if (v.hears_workers)
      hearing.push_back(i);
    else if (clock_.now - v.tried_at >= kRedirectLeases * worker_lease())
      untried = i;
  }
  if (!hearing.empty()) return hearing[random_(static_cast<std::uint32_t>(hearing.size()))];
  if (untried) peers_.tried(*untried, clock_.now);
  return untried;
}

bool Controller::was_redirected(const std::string& machine, Time within) const {
  const auto it = redirected_at_.find(machine);
  return it != redirected_at_.end() && clock_.now - it->second < within;
}

void Controller::redirect_worker(const RequestSource& source, const std::string& machine,
                                 std::size_t peer) {
  const Time span = kRedirectLeases * worker_lease();
  // Old entries are removed only once per span: each entry is examined at most twice, however many
  // workers there are.
  if (clock_.now >= next_redirect_tidy_) {
    next_redirect_tidy_ = clock_.now + span;
    std::erase_if(redirected_at_, [&](const auto& s) { return clock_.now - s.second >= span; });
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
    for (std::size_t i = 0; i < peers_.size(); ++i)
      if (peers_.reaches_leader(i, clock_.now)) return redirect_worker(source, machine, i);
    if (!settings_.peers.empty()) return redirect_worker(source, machine, node_before());
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
std::size_t Controller::node_before() const {
  const auto less = [](const std::string& a, const std::string& b) {
    return a.size() != b.size() ? a.size() < b.size() : a < b;
  };
  std::optional<std::size_t> before;
  std::size_t last = 0;
  for (std::size_t i = 0; i < settings_.peers.size(); ++i) {
    const std::string& name = settings_.peers[i].name;
    if (less(settings_.peers[last].name, name)) last = i;
    if (less(name, settings_.name) && (!before || less(settings_.peers[*before].name, name)))
      before = i;
  }
  return before.value_or(last);
}

}  // namespace sailreel
