// Which of a worker's sessions are proved to be over.
#pragma once

#include <cstdint>

#include "protocol/messages.hpp"

namespace sailreel {

/// Keeps reports of a session that is over from being taken for present. A session is over once its
/// lease has surely expired; the network may deliver what the worker reported in it minutes later.
/// What shows a session to be alive is a later number, or an answer to a command that was sent
/// after the proof.
class IncarnationFence {
 public:
  /// All sessions up to this one are over.
  void close(std::uint64_t incarnation, Time now) {
    if (!unknown_ && incarnation <= last_closed_) return;
    last_closed_ = incarnation;
    unknown_ = false;
    closed_at_ = now;
  }

  /// The session that the worker was in is over, and wasn't heard of: the first that a report shows
  /// from now on is taken for it.
  void close_unheard(Time now) {
    if (closed_at_ != 0) return;
    unknown_ = true;
    closed_at_ = now;
  }

  /// Whether a report of that session may tell of the present.
  bool admits(std::uint64_t incarnation) {
    if (unknown_) last_closed_ = incarnation;
    unknown_ = false;
    return incarnation > last_closed_;
  }

  /// The worker answered in that session a command that left at `asked`.
  void answered(std::uint64_t incarnation, Time asked) {
    if (closed_at_ == 0 || asked < closed_at_) return;
    if (!unknown_ && incarnation > last_closed_) return;
    last_closed_ = incarnation - 1;
    unknown_ = false;
  }

  /// Sessions up to this one are over; 0: none is known to be.
  [[nodiscard]] std::uint64_t last_closed() const { return last_closed_; }
  /// When that was last proved; 0: never.
  [[nodiscard]] Time closed_at() const { return closed_at_; }

 private:
  std::uint64_t last_closed_ = 0;
  bool unknown_ = false;
  Time closed_at_ = 0;
};

}  // namespace sailreel
