#include "controller/controller.hpp"

#include "protocol/user_codec.hpp"
#include "protocol/worker_codec.hpp"

namespace sailreel {
namespace {
/// The time between ticks: a twentieth of a worker's heartbeat interval, but at least 40 ms, as
/// timers aren't more precise, and at most 200 ms.
Time tick_interval(const Settings& settings) {
  return std::clamp<Time>(ms(settings.workers.heartbeat_interval_s) / 20, 40, 200);
}
/// A tick counts as late if it is delayed by one kLateTickDivisor-th of a heartbeat interval or
/// more: users and workers wait that much longer for responses.
constexpr Time kLateTickDivisor = 10;
}  // namespace

Controller::Controller(Settings settings, Options options, std::uint64_t seed)
    : settings_(std::move(settings)),
      options_(std::move(options)),
      random_(seed),
      outbox_(settings_, options_, clock_),
      tables_(settings_),
      quotas_(settings_, options_.federation, tables_),
      event_loop_lag_(heartbeat_interval() / kLateTickDivisor, worker_lease()),
      incarnation_((std::uint64_t{random_()} << 32) | random_() | 1),
      peers_(settings_.peers.size(), incarnation_, worker_lease(), keep_alive_span()),
      election_(settings_, options_, clock_, outbox_, peers_, random_, *this),
      checkpoint_(
          {settings_, clock_, outbox_, tables_, quotas_, peers_, pending_scale_outs_, *this}) {}

std::vector<Action> Controller::step(Clock clock, Input input) {
  // A clock that went backwards would extend leases, so time never decreases here.
  clock_.now = std::max(clock_.now, clock.now);
  clock_.wall_ms = clock.wall_ms;
  std::visit([this](const auto& received) { handle(received); }, input);
  if (holds_valid_lease(clock_.now)) stop_tick();
  if (election_.is_leader()) checkpoint_.commit_if_due();
  return outbox_.take_actions();
}

void Controller::handle(const PeerMessageReceived& input) {
  if (input.message.kind == PeerMessage::Kind::Heartbeat)
    handle_peer_heartbeat(input.peer, input.message.heartbeat);
  else if (input.message.kind == PeerMessage::Kind::Response)
    handle_peer_response(input.peer, input.message.response);
}

// Requests that were forwarded over the lost link get no response, so they time out at once.
void Controller::handle(const PeerDisconnected& input) {
  peers_.mark_disconnected(input.peer);
  for (auto& [call, forwarded] : forwarded_)
    if (forwarded.peer == input.peer) forwarded.until = clock_.now;
  user_request_tick();
}

// The order matters: leadership is updated first, then the state of machines. Whatever sends
// commands comes last, and only under a valid lease.
void Controller::tick() {
  check_event_loop_lag();
  leadership_tick();
  user_request_tick();
  if (election_.is_leader()) {
    reconcile();
    machine_tick();
    probe_tick();
    if (holds_valid_lease(clock_.now)) {
      share_tick();
      review_gangs();
      if (scheduling_needed_ && clock_.now >= next_scheduling_) schedule_all();
      autoscale_tick();
      migration_tick();
    }
  }
  const Time interval = tick_interval(settings_);
  event_loop_lag_.armed(clock_.now + interval);
  outbox_.arm_timer(interval);
}

void Controller::leadership_tick() {
  const Time now = clock_.now;
  if (now >= next_heartbeat_) send_heartbeats();
  const bool elected = election_.is_leader() || election_.role() == Role::Loading;
  if (elected ? holds_valid_lease(now) : peers_.leader(now).has_value()) last_healthy_at_ = now;
  if (election_.is_leader() && next_attempt_ > options_.attempts_per_epoch)
    return election_.resign(StepDownCause::AttemptNumbersUsedUp);
  election_.tick();
}

void Controller::campaign_started() { requeue_lookups(); }

// Responses to requests made under an earlier term are dropped, so lookups that wait for one are
// queued again.
void Controller::requeue_lookups() {
  refreshing_ = false;
  lookups_.insert(lookups_.end(), lookups_served_.begin(), lookups_served_.end());
  lookups_served_.clear();
}

void Controller::lease_regained() { scheduling_needed_ = true; }

void Controller::stepped_down(StepDownCause /*cause*/, bool led) {
  snapshot_ = Snapshot{};
  snapshot_loaded_ = false;
  requeue_lookups();
  if (!led) return;
  // Workers that know no other leader are kept alive for as long as if this controller still led.
  keep_alive_permit_.extend(election_.epoch(), election_.lease_expiry() + keep_alive_span());
  checkpoint_.reset();
  for (const auto& [id, waits] : cancel_waits_)
    for (const CancelWait& wait : waits) outbox_.reject(wait.source, RejectReason::LeadershipLost);
  cancel_waits_.clear();
  pending_scale_outs_.clear();
  termination_queue_.clear();
  no_capacity_until_.clear();
  unmet_demand_.clear();
  reservations_.clear();
  end_rankings();
  migrations_.clear();
  gangs_.clear();
  gangs_to_review_.clear();
  stops_due_.clear();
  zone_reached_.clear();
  zone_unreachable_at_.clear();
  outbox_.drop_leader_calls();
  terminate_call_in_flight_ = list_call_in_flight_ = false;
  list_cursor_.clear();
  reconciling_ = false;
  quotas_.stop();
  tables_.clear();
  send_heartbeats();
}

// Logs a warning, at most once per worker lease, if most ticks are late: the processor is too slow
// for the load that the settings describe.
void Controller::check_event_loop_lag() {
  const auto summary = event_loop_lag_.fired(clock_.now);
  if (!summary) return;
  outbox_.log(Log::Level::Warning, LogEvent::ProcessorLimit,
              {{"limit", "cpu"}, {"late_ms", summary->mean}, {"most_ms", summary->max}});
}

bool Controller::healthy(Time now) const {
  // A short gap, such as a failover, doesn't justify removal from the load balancer's list.
  if (now - last_healthy_at_ < worker_lease() / 2) return true;
  // If no peer is better connected, as in an outage of the key-value store, removal from the list
  // helps nobody: it only leaves users without any controller for seconds after the outage ends.
  bool any_peer_in_contact = false;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    if (peers_.reaches_leader(i, clock_.now)) return false;
    any_peer_in_contact = any_peer_in_contact || peers_.in_contact(i, clock_.now);
  }
  return any_peer_in_contact;
}

}  // namespace sailreel
