#include "controller/outbox.hpp"

#include <algorithm>
#include <utility>

#include "protocol/user_codec.hpp"

namespace sailreel {
namespace {
/// One in this many of the controller's sockets may wait for the response to a direct call to a
/// worker. A few more are open for calls that have just ended.
constexpr std::size_t kSocketsPerWorkerCall = 5;
/// Share of the cloud's request limit that the controller uses, and the burst in seconds of that
/// limit.
constexpr double kCloudRateShare = 0.8, kCloudBurstSeconds = 1.2;
/// Share of the key-value store's request limit that is reserved for urgent requests.
constexpr double kUrgentKvReserveShare = 0.05;
/// Lower bounds (ms) of the timeouts, which otherwise are parts of a worker's lease.
constexpr Time kMinKvTimeoutMs = 500, kMinWorkerTimeoutMs = 500;
}  // namespace

Outbox::Outbox(const Settings& settings, const Options& options, const Clock& clock)
    : settings_(settings),
      clock_(clock),
      kv_limiter_(settings.store_limits.rps * options.state_share,
                  settings.store_limits.rps * options.state_share),
      write_limiter_(settings.store_limits.write_rps * options.write_share,
                     settings.store_limits.write_rps * options.write_share),
      cloud_limiter_(settings.cloud_limits.rps * kCloudRateShare,
                     settings.cloud_limits.rps * kCloudBurstSeconds) {}

std::vector<Action> Outbox::take_actions() { return std::exchange(actions_, {}); }

void Outbox::respond(const RequestSource& source, int status, std::string body, int retry_after_s,
                     Time valid_until) {
  if (source.kind == RequestSource::Kind::None) return;
  actions_.push_back(Response{source, status, std::move(body), retry_after_s, valid_until});
}

void Outbox::reject(const RequestSource& source, RejectReason reason) {
  respond(source, 503, encode_error(to_string(reason)), 1);
}

bool Outbox::call_kv_store(KvRequest request, KvContinuation continuation, KvUrgency urgency) {
  const bool urgent = urgency == KvUrgency::Urgent;
  if (!urgent && !kv_budget_allows(1 + settings_.store_limits.rps * kUrgentKvReserveShare))
    return false;
  kv_limiter_.spend(1, clock_.now);
  const std::uint64_t call = next_call_++;
  const bool watch = request.kind == KvRequest::Kind::Watch;
  const Time timeout = watch ? request.wait_ms + worker_lease() / 10
                             : std::max(worker_lease() / 10, kMinKvTimeoutMs);
  kv_calls_.emplace(call, std::move(continuation));
  actions_.push_back(CallKvStore{call, std::move(request), timeout});
  return true;
}

bool Outbox::call_cloud(CloudRequest request, CloudContinuation continuation, CloudBudget budget) {
  if (!cloud_limiter_.allows(budget == CloudBudget::KeepReserve ? 2 : 1, clock_.now)) return false;
  cloud_limiter_.spend(1, clock_.now);
  const std::uint64_t call = next_call_++;
  cloud_calls_.emplace(call, std::move(continuation));
  actions_.push_back(CallCloud{call, std::move(request), ms(settings_.workers.lease_s / 2)});
  return true;
}

void Outbox::call_worker(const std::string& address, std::string body, Time valid_until,
                         WorkerContinuation continuation) {
  const std::uint64_t call = next_call_++;
  worker_calls_.emplace(call, std::move(continuation));
  actions_.push_back(CallWorker{call, address, std::move(body),
                                std::max(worker_lease() / 14, kMinWorkerTimeoutMs), valid_until});
}

bool Outbox::worker_call_limit_reached() const {
  return worker_calls_.size() >= settings_.process_limits.sockets / kSocketsPerWorkerCall;
}

void Outbox::drop_leader_calls() {
  worker_calls_.clear();
  cloud_calls_.clear();
}

void Outbox::send_to_peer(std::size_t peer, PeerMessage message) {
  actions_.push_back(SendToPeer{peer, std::move(message)});
}

void Outbox::send_to_region(std::size_t region, RegionMessage message) {
  actions_.push_back(SendToRegion{region, std::move(message)});
}

void Outbox::arm_timer(Time in_ms) { actions_.push_back(ArmTimer{in_ms}); }

void Outbox::log(Log::Level level, LogEvent event, std::initializer_list<LogField> fields) {
  actions_.push_back(Log{level, format_log_line(log_epoch_, event, fields)});
}

void Outbox::log_formatted(Log::Level level, const std::string& text) {
  actions_.push_back(Log{level, "epoch=" + std::to_string(log_epoch_) + " " + text});
}

// The continuation is removed before it runs, because it may make further calls.
void Outbox::handle(const KvResponseReceived& input) {
  if (auto entry = kv_calls_.extract(input.call)) entry.mapped()(input.response);
}

void Outbox::handle(const CloudResponseReceived& input) {
  if (auto entry = cloud_calls_.extract(input.call)) entry.mapped()(input.response);
}

void Outbox::handle(const WorkerResponseReceived& input) {
  if (auto entry = worker_calls_.extract(input.call)) entry.mapped()(input.status, input.heartbeat);
}

}  // namespace sailreel
