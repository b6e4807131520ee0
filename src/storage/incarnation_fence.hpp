// Which of a worker's incarnations are known to have ended.
#pragma once

#include <cstdint>

#include "protocol/messages.hpp"

namespace sailreel {

/// Keeps delayed heartbeats of an incarnation that has ended from being taken for the present
/// state. An incarnation has ended once its lease has certainly expired, but the network may
/// deliver its heartbeats minutes later. A worker is admitted again by a higher incarnation number,
/// or by its response to a request that was sent after the incarnation was closed.
class IncarnationFence {
 public:
  /// Incarnations up to this one have ended, as is known since `now`.
  void close(std::uint64_t incarnation, Time now) {
    if (!unknown_ && incarnation <= last_closed_) return;
    last_closed_ = incarnation;
    unknown_ = false;
    closed_at_ = now;
  }

  /// The worker's incarnation has ended, but no heartbeat has told its number: the first number
  /// seen from now on is taken to be that incarnation's.
  void close_unheard(Time now) {
    if (closed_at_ != 0) return;
    unknown_ = true;
    closed_at_ = now;
  }

  /// Whether heartbeats of that incarnation may be believed.
  bool admits(std::uint64_t incarnation) {
    if (unknown_) last_closed_ = incarnation;
    unknown_ = false;
    return incarnation > last_closed_;
  }

  /// The worker responded, in that incarnation, to a request that was sent at `asked`: only a
  /// response to a request that is later than the close proves the incarnation alive.
  void answered(std::uint64_t incarnation, Time asked) {
    if (closed_at_ == 0 || asked < closed_at_) return;
    if (!unknown_ && incarnation > last_closed_) return;
    last_closed_ = incarnation - 1;
    unknown_ = false;
  }

  /// When an incarnation was last closed; 0: never.
  [[nodiscard]] Time closed_at() const { return closed_at_; }

 private:
  /// Incarnations up to this one have ended; 0: none.
  std::uint64_t last_closed_ = 0;
  /// An incarnation has ended whose number is not known yet.
  bool unknown_ = false;
  Time closed_at_ = 0;
};

}  // namespace sailreel
