// Collects the outputs of a controller's step: responses, calls to the key-value store, the cloud
// and workers, messages to other controllers, timers and log lines.
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

/// Runs with the response to a call, in the step that receives the response.
using KvContinuation = std::function<void(const KvResponse&)>;
using CloudContinuation = std::function<void(const CloudResponse&)>;
/// Receives the HTTP status (0 without a response) and the heartbeat that the response contained.
using WorkerContinuation = std::function<void(int, const std::optional<Heartbeat>&)>;

/// Whether a request to the key-value store may exceed the budget. Requests of the election and
/// lease renewals are urgent because a delay would cost the leadership. Reading the checkpoint
/// after an election and sending its commits are urgent too.
enum class KvUrgency : std::uint8_t { WithinBudget, Urgent };

/// Whether a request to the cloud may use the whole budget, or must leave room for one more
/// request.
enum class CloudBudget : std::uint8_t { Full, KeepReserve };

/// Collects the actions of a step. Owns the continuations of the calls in flight and the rate
/// limiters for the external services.
class Outbox {
 public:
  /// Keeps references to settings and clock, which must outlive the outbox. `clock` holds the time
  /// of the current step.
  Outbox(const Settings& settings, const Options& options, const Clock& clock);

  /// Returns the actions collected in this step, in order, and removes them from the outbox.
  std::vector<Action> take_actions();

  /// Responds to a user, worker or peer; does nothing for a source of kind `None`.
  /// `valid_until`: the response must not be sent at or after this time.
  void respond(const RequestSource& source, int status, std::string body, int retry_after_s = 0,
               Time valid_until = kNever);
  /// Responds with 503 and Retry-After.
  void reject(const RequestSource& source, RejectReason reason);

  /// Sends a request to the key-value store. Returns false, without sending it, if the budget is
  /// used up and the request isn't urgent.
  bool call_kv_store(KvRequest request, KvContinuation continuation,
                     KvUrgency urgency = KvUrgency::WithinBudget);
  /// Sends a request to the cloud. Returns false, without sending it, if the budget is used up.
  bool call_cloud(CloudRequest request, CloudContinuation continuation, CloudBudget budget);
  /// Sends a command or a probe directly to a worker, but not at or after `valid_until`.
  void call_worker(const std::string& address, std::string body, Time valid_until,
                   WorkerContinuation continuation);
  /// Whether all sockets that are set aside for direct calls to workers are in use.
  [[nodiscard]] bool worker_call_limit_reached() const;
  /// Drops the continuations of calls that only a leader makes, which are those to workers and to
  /// the cloud.
  void drop_leader_calls();

  void send_to_peer(std::size_t peer, PeerMessage message);
  void send_to_region(std::size_t region, RegionMessage message);
  void arm_timer(Time in_ms);

  void log(Log::Level level, LogEvent event, std::initializer_list<LogField> fields = {});
  /// Logs a line whose event and fields are formatted already; the epoch is put before them.
  void log_formatted(Log::Level level, const std::string& text);
  /// Sets the epoch of all further log lines.
  void set_log_epoch(std::uint64_t epoch) { log_epoch_ = epoch; }

  /// Runs the continuation of the call, unless it was dropped.
  void handle(const KvResponseReceived& input);
  void handle(const CloudResponseReceived& input);
  void handle(const WorkerResponseReceived& input);

  /// The budget of writes to the key-value store. `call_kv_store` doesn't spend it; the caller
  /// must.
  RateLimiter& write_budget() { return write_limiter_; }
  /// Whether the budget allows this number of requests to the key-value store now.
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
