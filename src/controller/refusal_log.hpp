// Logs requests that are answered with 400 or 422, which their senders don't retry.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "controller/outbox.hpp"
#include "controller/rate_limiter.hpp"
#include "protocol/decoded.hpp"
#include "protocol/messages.hpp"

namespace sailreel {

/// A request that is refused for good.
struct Refusal {
  RequestOp op = RequestOp::Submit;
  int status = 0;
  /// The id of the submitted job, if it is valid.
  std::string_view job;
  std::size_t bytes = 0;  // of the body
  std::string_view cause = {};
  /// The refused field; empty if the request as a whole is refused.
  std::string_view field = {};
  bool forwarded = false;
};

/// Writes a line per refusal, but not more than a few a second, because senders can cause any
/// number. The next line says how many were left out.
class RefusalLog {
 public:
  /// Logs the refusal, or counts it if too many were logged lately.
  void log(Outbox& outbox, Time now, const Refusal& refusal);

 private:
  static constexpr double kLinesPerSecond = 1, kBurstLines = 10;

  RateLimiter limiter_{kLinesPerSecond, kBurstLines};
  std::uint64_t total_ = 0, left_out_ = 0;
};

/// The cause as a refusal's log line names it.
std::string_view to_string(DecodeErrorKind kind);

}  // namespace sailreel
