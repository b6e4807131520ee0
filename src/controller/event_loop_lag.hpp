// Measures event-loop lag: how late a timer fires shows whether the process gets too little
// processor time.
#pragma once

#include <algorithm>
#include <optional>

#include "protocol/messages.hpp"

namespace sailreel {

/// Measures the lateness of a timer that is armed again each time it has fired. A process that was
/// busy or paused for a moment is late once; a process whose processor is too slow is late most of
/// the time. Times are in ms.
class EventLoopLag {
 public:
  /// The mean and the maximum lag (ms) of the late firings in a window.
  struct LagSummary {
    Time mean = 0, max = 0;
  };

  /// A firing counts as late if it comes `late_limit` or more after it was due. Each window lasts
  /// at least `window_length`.
  EventLoopLag(Time late_limit, Time window_length)
      : late_limit_(late_limit), window_length_(window_length) {}

  /// Records that the timer has been armed to fire at `due`.
  void armed(Time due) { due_ = due; }

  /// Records that the timer has fired. Returns a summary if this ends a window in which more than
  /// one firing, and more than half of them, were late.
  std::optional<LagSummary> fired(Time now) {
    if (!due_) return {};
    count_firing(std::max<Time>(0, now - *due_));
    due_.reset();
    if (window_end_ == 0) window_end_ = now + window_length_;
    if (now < window_end_) return {};
    return end_window(now);
  }

 private:
  void count_firing(Time lag) {
    ++firings_;
    if (lag < late_limit_) return;
    ++late_firings_;
    total_lag_ += lag;
    max_lag_ = std::max(max_lag_, lag);
  }

  std::optional<LagSummary> end_window(Time now) {
    // A single late firing may be one long pause, so it isn't reported.
    std::optional<LagSummary> summary;
    if (late_firings_ > 1 && late_firings_ * 2 > firings_)
      summary = LagSummary{total_lag_ / static_cast<Time>(late_firings_), max_lag_};
    firings_ = late_firings_ = 0;
    total_lag_ = max_lag_ = 0;
    window_end_ = now + window_length_;
    return summary;
  }

  Time late_limit_, window_length_;
  std::optional<Time> due_;
  Time window_end_ = 0;
  std::size_t firings_ = 0, late_firings_ = 0;
  Time total_lag_ = 0, max_lag_ = 0;  // lag of the late firings
};

}  // namespace sailreel
