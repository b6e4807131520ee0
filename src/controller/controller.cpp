#include "controller/controller.hpp"

#include "protocol/user_codec.hpp"
#include "protocol/worker_codec.hpp"

namespace sailreel {
namespace {
/// Ticks are a twentieth of a worker's report interval apart, but never finer than timers are.
Time tick_ms(const Settings& s) {
  return std::clamp<Time>(ms(s.workers.heartbeat_interval_s) / 20, 40, 200);
}
/// One in so many of our sockets may wait for workers' answers to direct calls; a few more are open
/// for calls that are just over.
constexpr std::size_t kCallShare = 5;
/// A tick is late from this share of a report's interval on: users and workers wait as long.
constexpr Time kLateTickShare = 10;
}  // namespace

Controller::Controller(Settings settings, Options options, std::uint64_t seed)
    : settings_(std::move(settings)),
      options_(std::move(options)),
      random_(seed),
      tables_(settings_),
      limits_(settings_, options_.federation, tables_),
      event_loop_lag_(heartbeat_interval() / kLateTickShare, worker_lease()),
      kv_limiter_(settings_.store.rps * options_.state_share,
                  settings_.store.rps * options_.state_share),
      write_limiter_(settings_.store.write_rps * options_.write_share,
                     settings_.store.write_rps * options_.write_share),
      cloud_limiter_(settings_.cloud_limits.rps * 0.8, settings_.cloud_limits.rps * 1.2),
      election_history_(worker_lease()),
      incarnation_((std::uint64_t{random_()} << 32) | random_() | 1),
      peers_(settings_.peers.size(), incarnation_, worker_lease(), keep_alive_span()),
      shards_(value_limit(kValueFill)) {
  nonce_ = (std::uint64_t{random_()} << 20) ^ random_();
}

std::vector<Action> Controller::step(Clock clock, Input input) {
  // A clock that stood still or went back would stretch leases; it never runs backwards here.
  clock_.now = std::max(clock_.now, clock.now);
  clock_.wall_ms = clock.wall_ms;
  out_.clear();
  std::visit(
      [this](auto& in) {
        using T = std::decay_t<decltype(in)>;
        if constexpr (std::is_same_v<T, Tick>) {
          tick();
        } else if constexpr (std::is_same_v<T, UserRequest>) {
          user_request(in);
        } else if constexpr (std::is_same_v<T, HeartbeatReceived>) {
          handle_heartbeat(in);
        } else if constexpr (std::is_same_v<T, KvResponseReceived>) {
          if (auto node = kv_calls_.extract(in.call)) node.mapped()(in.reply);
        } else if constexpr (std::is_same_v<T, CloudResponseReceived>) {
          if (auto node = cloud_calls_.extract(in.call)) node.mapped()(in.reply);
        } else if constexpr (std::is_same_v<T, WorkerResponseReceived>) {
          handle_worker_response(in);
        } else if constexpr (std::is_same_v<T, PeerMessageReceived>) {
          if (in.message.kind == PeerMessage::Kind::Heartbeat)
            peer_heartbeat(in.peer, in.message.heartbeat);
          else if (in.message.kind == PeerMessage::Kind::Response)
            handle_peer_response(in.peer, in.message.response);
        } else if constexpr (std::is_same_v<T, RegionMessageReceived>) {
          region_input(in);
        } else if constexpr (std::is_same_v<T, PeerDisconnected>) {
          peers_.lost(in.peer);
          for (auto& [call, f] : forwarded_)
            if (f.peer == in.peer) f.until = clock_.now;
          intake_tick();
        }
      },
      input);
  if (holds_valid_lease(clock_.now)) stop_tick();
  if (role_ == Role::Leader) commit_if_due();
  return std::move(out_);
}

void Controller::tick() {
  watch_event_loop_lag();
  election_tick();
  intake_tick();
  if (role_ == Role::Leader) {
    reconcile();
    machine_tick();
    inquire_tick();
    if (holds_valid_lease(clock_.now)) {
      share_tick();
      review_gangs();
      if (scheduling_needed_ && clock_.now >= next_scheduling_) schedule_all();
      autoscale_tick();
      migration_tick();
    }
  }
  const Time next_tick = tick_ms(settings_);
  event_loop_lag_.armed(clock_.now + next_tick);
  out_.push_back(ArmTimer{next_tick});
}

// Says so, once for each worker's lease, if most ticks come late: the processor can't carry what
// the settings describe.
void Controller::watch_event_loop_lag() {
  const auto late = event_loop_lag_.fired(clock_.now);
  if (!late) return;
  log(Log::Level::Warning, "event=processor_limit limit=cpu late_ms=", late->mean,
      " most_ms=", late->most);
}

bool Controller::healthy(Time now) const {
  // Short gaps, such as a take-over, aren't worth being taken off the balancer's list for.
  if (now - last_path_ < worker_lease() / 2) return true;
  // Where the others are no better off, as in an outage of the state service, being taken off the
  // list only delays what comes after: users found no node for seconds after it was over.
  bool heard = false;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    if (peers_.reaches_leader(i, clock_.now)) return false;
    heard = heard || peers_.in_contact(i, clock_.now);
  }
  return heard;
}

void Controller::respond(const RequestSource& source, int status, std::string body,
                         int retry_after_s, Time valid_until) {
  if (source.kind == RequestSource::Kind::None) return;
  out_.push_back(Response{source, status, std::move(body), retry_after_s, valid_until});
}

void Controller::reject(const RequestSource& source, const char* why) {
  respond(source, 503, encode_error(why), 1);
}

bool Controller::call_kv_store(KvRequest request, KvContinuation then, bool urgent) {
  // Renewals and elections come first: they may overdraw the budget, others have to wait.
  if (!urgent && !kv_limiter_.allows(1 + settings_.store.rps / 20, clock_.now)) return false;
  kv_limiter_.spend(1, clock_.now);
  const std::uint64_t call = next_call_++;
  const bool watch = request.kind == KvRequest::Kind::Watch;
  const Time timeout =
      watch ? request.wait_ms + worker_lease() / 10 : std::max<Time>(worker_lease() / 10, 500);
  kv_calls_.emplace(call, std::move(then));
  out_.push_back(CallKvStore{call, std::move(request), timeout});
  return true;
}

bool Controller::call_cloud(CloudRequest request, CloudContinuation then, bool keep_reserve) {
  if (!cloud_limiter_.allows(keep_reserve ? 2 : 1, clock_.now)) return false;
  cloud_limiter_.spend(1, clock_.now);
  const std::uint64_t call = next_call_++;
  cloud_calls_.emplace(call, std::move(then));
  out_.push_back(CallCloud{call, std::move(request), ms(settings_.workers.lease_s / 2)});
  return true;
}

void Controller::call_worker(const std::string& address, std::string body,
                             WorkerContinuation then) {
  const std::uint64_t call = next_call_++;
  worker_calls_.emplace(call, std::move(then));
  out_.push_back(CallWorker{call, address, std::move(body),
                            std::max<Time>(worker_lease() / 14, 500), command_until()});
}

bool Controller::calls_full() const {
  return worker_calls_.size() >= settings_.limits.sockets / kCallShare;
}

}  // namespace sailreel
