// What keeps workers' tasks alive while no leader can be reached, and how long a leader has to
// reckon with that.
#include "controller/controller.hpp"
#include "protocol/worker_codec.hpp"

namespace sailreel {
namespace {
/// Tasks are kept alive without a leader for so many of the workers' leases. It bridges a zone's
/// cut or an outage of less than three leases; a zone that is truly gone is replaced that much
/// later.
constexpr int kKeepLeases = 2;
/// A worker isn't sent to a nearer node again before so many leases have passed.
constexpr int kRedirectLeases = 4;
}  // namespace

Time Controller::keep_alive_span() const { return kKeepLeases * worker_lease(); }

// The moment by which the tasks on a machine have surely ended, unless it is answered again. What
// siblings say holds as of the contact span ago: a lease has to have run out by then.
Time Controller::expiry(const Machine& m) const {
  const Time last = std::max(m.answered, peers_.latest_answer(clock_.now));
  const Time ours = last + with_drift(worker_lease()) + peers_.contact_span();
  // Until the worker has seen our token, a former leader's answers may still renew its lease, and
  // so may those of the nodes that heard that leader.
  return m.heard_in_epoch ? ours : std::max(ours, fence_at_);
}

// A report to a node that doesn't lead. It is handed on, not sent away: a worker that can't reach
// the leader itself, as when two zones are apart, lost its tasks while it was sent to and fro.
void Controller::forward_heartbeat(const HeartbeatReceived& in) {
  if (in.source.kind == RequestSource::Kind::Peer)
    return outbox_.respond(in.source, 503, encode_error("no leader"));
  std::optional<std::size_t> peer = peers_.leader(clock_.now);
  // A leader whose lease may have lapsed still keeps tasks alive.
  if (!peer) peer = peers_.holding(clock_.now);
  if (!peer) return keep_alive(in.source, in.heartbeat.machine, in.heartbeat.fencing_token, true);
  if (!redirect_to_own_zone(in))
    forward(in.source, UserOp::Heartbeat, in.heartbeat.machine, in.raw, *peer,
            in.heartbeat.fencing_token);
}

// Sends a worker to a node of its own zone. When a zone was cut off, workers that reported to nodes
// outside went from one to the next of them, 5 s each, until their leases had run out.
bool Controller::redirect_to_own_zone(const HeartbeatReceived& in) {
  const std::string& zone = in.heartbeat.zone;
  if (in.source.kind != RequestSource::Kind::Local || zone == settings_.zone) return false;
  if (was_redirected(in.heartbeat.machine, kRedirectLeases * worker_lease())) return false;
  const std::optional<std::size_t> near = peer_in_zone(zone);
  if (near) redirect_worker(in.source, in.heartbeat.machine, *near);
  return near.has_value();
}

// A sibling of the zone that hears the leader and workers, or else one that hears no worker, once
// in a while: it may be cut off from them, or none may report to it yet. One machine tells which,
// and the others follow. Without that, a node to which no worker reported by chance never got one,
// and a cut of its zone ended all tasks there.
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
  // Once a span, so that each worker costs two looks at most, however many there are.
  if (clock_.now >= next_redirect_tidy_) {
    next_redirect_tidy_ = clock_.now + span;
    std::erase_if(redirected_at_, [&](const auto& s) { return clock_.now - s.second >= span; });
  }
  redirected_at_[machine] = clock_.now;
  outbox_.respond(source, 421, encode_redirect(settings_.peers[peer].name));
}

// No leader can be reached. If that is so for the whole zone, its workers' tasks live on only if we
// answer; if it is so for us alone, the worker had better go elsewhere. Each is tried out once on
// the node before us: if that can't be reached, the worker comes back to us next.
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

// The sibling that workers try just before us: they go by the nodes' numbers, the last of which the
// first follows.
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
