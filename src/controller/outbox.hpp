// Everything that leaves a controller within a step: responses, calls to the key-value store, the
// cloud and workers, messages to other controllers, timers and log lines. Keeps the continuations
// of calls in flight and the budgets of the services' request limits.
#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "controller/actions.hpp"
#include "controller/causes.hpp"
#include "controller/log_line.hpp"
#include "controller/rate_limiter.hpp"
#include "protocol/settings.hpp"

namespace sailreel {

/// Runs with the response to a call, in the step that takes the response in.
using KvContinuation = std::function<void(const KvResponse&)>;
using CloudContinuation = std::function<void(const CloudResponse&)>;
/// Gets the HTTP status, 0 without a response, and the heartbeat that the response carried.
using WorkerContinuation = std::function<void(int, const std::optional<Heartbeat>&)>;

/// Which requests to the key-value store may exceed the budget: renewals and elections, which would
/// otherwise cost the leadership.
enum class KvUrgency : std::uint8_t { WithinBudget, Urgent };

/// Whether a request to the cloud leaves a part of the budget to others.
enum class CloudBudget : std::uint8_t { Full, KeepReserve };

class Outbox {
 public:
  /// Keeps references: settings and clock have to outlive it. The clock is the present step's.
  Outbox(const Settings& settings, const Options& options, const Clock& clock);

  /// What the step has collected, in order; the outbox is empty afterwards.
  std::vector<Action> take_actions();

  /// Responds to a user, worker or peer; does nothing for a request that has no source.
  /// `valid_until`: the response must not leave at or after this moment.
  void respond(const RequestSource& source, int status, std::string body, int retry_after_s = 0,
               Time valid_until = kNever);
  /// Responds with 503 and Retry-After.
  void reject(const RequestSource& source, RejectReason reason);

  /// False, without a call, if the budget is used up.
  bool call_kv_store(KvRequest request, KvContinuation then,
                     KvUrgency urgency = KvUrgency::WithinBudget);
  /// False, without a call, if the budget is used up.
  bool call_cloud(CloudRequest request, CloudContinuation then, CloudBudget budget);
  /// A direct command; it isn't sent at or after `valid_until`.
  void call_worker(const std::string& address, std::string body, Time valid_until,
                   WorkerContinuation then);
  /// Whether as many direct calls wait for workers as there are sockets for them.
  [[nodiscard]] bool worker_calls_full() const;
  /// Drops the continuations of calls that only a leader makes.
  void forget_leader_calls();

  void send_to_peer(std::size_t peer, PeerMessage message);
  void send_to_region(std::size_t region, RegionMessage message);
  void arm_timer(Time in_ms);

  void log(Log::Level level, LogEvent event, std::initializer_list<LogField> fields = {});
  /// A line whose event and fields are joined already.
  void log_text(Log::Level level, const std::string& text);
  /// The epoch that log lines name from now on.
  void set_log_epoch(std::uint64_t epoch) { log_epoch_ = epoch; }

  void handle(const KvResponseReceived& input);
  void handle(const CloudResponseReceived& input);
  void handle(const WorkerResponseReceived& input);

  /// The budget of writes to the key-value store, which whoever writes spends by itself.
  RateLimiter& write_budget() { return write_limiter_; }
  /// Whether so many requests to the key-value store may be sent now.
  bool kv_budget_allows(double requests) { return kv_limiter_.allows(requests, clock_.now); }

 private:
  [[nodiscard]] Time worker_lease() const { return ms(settings_.workers.lease_s); }

  const Settings& settings_;
  const Clock& clock_;
  std::vector<Action> actions_;
  std::uint64_t log_epoch_ = 0;
  std::uint64_t next_call_ = 1;
  std::unordered_map<std::uint64_t, KvContinuation> kv_calls_;
  std::unordered_map<std::uint64_t, CloudContinuation> cloud_calls_;
  std::unordered_map<std::uint64_t, WorkerContinuation> worker_calls_;
  RateLimiter kv_limiter_, write_limiter_, cloud_limiter_;
};

}  // namespace sailreel
