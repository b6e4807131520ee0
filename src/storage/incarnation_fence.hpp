// Tracks which incarnations of a worker are known to have ended.
#pragma once

#include <cstdint>

#include "protocol/messages.hpp"

namespace sailreel {

/// Prevents delayed heartbeats of an incarnation that has ended from being taken for the worker's
/// present state. An incarnation has ended once its lease has certainly expired, but the network
/// may deliver its heartbeats minutes later. A worker is admitted again when it shows a higher
/// incarnation number, or when it responds to a request that was not sent before the incarnation
/// was closed.
class IncarnationFence {
 public:
  /// Closes `incarnation` and all earlier ones, which are known at `now` to have ended.
  void close(std::uint64_t incarnation, Time now) {
    if (!closed_number_unknown_ && incarnation <= last_closed_) return;
    last_closed_ = incarnation;
    closed_number_unknown_ = false;
    closed_at_ = now;
  }

  /// Closes the worker's incarnation while its number is unknown, because no heartbeat has been
  /// received. The first number that is seen later is taken to be that of the closed incarnation.
  /// Has no effect if an incarnation was closed before.
  void close_unknown_number(Time now) {
    if (closed_at_ != 0) return;
    closed_number_unknown_ = true;
    closed_at_ = now;
  }

  /// True if heartbeats of the incarnation may be accepted.
  bool admits(std::uint64_t incarnation) {
    if (closed_number_unknown_) last_closed_ = incarnation;
    closed_number_unknown_ = false;
    return incarnation > last_closed_;
  }

  /// Reopens the incarnation if the worker responded in it to a request that was sent at
  /// `request_sent_at`, and no incarnation was closed after that time. A response to an earlier
  /// request doesn't prove that the incarnation is still alive.
  void response_received(std::uint64_t incarnation, Time request_sent_at) {
    if (closed_at_ == 0 || request_sent_at < closed_at_) return;
    if (!closed_number_unknown_ && incarnation > last_closed_) return;
    last_closed_ = incarnation - 1;
    closed_number_unknown_ = false;
  }

  /// The time at which an incarnation was last closed; 0 if none was.
  [[nodiscard]] Time closed_at() const { return closed_at_; }

 private:
  /// Incarnations up to this one have ended; 0 if none has.
  std::uint64_t last_closed_ = 0;
  /// True if an incarnation has ended whose number is not known yet.
  bool closed_number_unknown_ = false;
  Time closed_at_ = 0;
};

}  // namespace sailreel
