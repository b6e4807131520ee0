// Measures event-loop lag: detects a process that gets too little processor time by how late its
// timer fires.
#pragma once

#include <algorithm>
#include <optional>

#include "protocol/messages.hpp"

namespace sailreel {

/// Watches a timer that is armed again whenever it has fired. A process that was busy or paused for
/// a moment is late once; one whose processor can't keep up is late most of the time. Times in ms.
class EventLoopLag {
 public:
  /// Lag of the late firings in a window in which most firings were late, in ms.
  struct LagSummary {
    Time mean = 0, most = 0;
  };

  /// A firing counts as late from `limit` after it was due; windows are at least `window` long.
  EventLoopLag(Time limit, Time window) : limit_(limit), window_(window) {}

  void armed(Time due) { due_ = due; }

  /// The timer has fired. Returns a summary if a window ends with this and was mostly late.
  std::optional<LagSummary> fired(Time now) {
    if (!due_) return {};
    count(std::max<Time>(0, now - *due_));
    due_.reset();
    if (window_end_ == 0) window_end_ = now + window_;
    if (now < window_end_) return {};
    return end_window(now);
  }

 private:
  void count(Time late) {
    ++firings_;
    if (late < limit_) return;
    ++late_firings_;
    sum_ += late;
    most_ = std::max(most_, late);
  }

  std::optional<LagSummary> end_window(Time now) {
    // A single firing is one pause, however long it was.
    std::optional<LagSummary> summary;
    if (late_firings_ > 1 && late_firings_ * 2 > firings_)
      summary = LagSummary{sum_ / static_cast<Time>(late_firings_), most_};
    firings_ = late_firings_ = 0;
    sum_ = most_ = 0;
    window_end_ = now + window_;
    return summary;
  }

  Time limit_, window_;
  std::optional<Time> due_;
  Time window_end_ = 0;
  std::size_t firings_ = 0, late_firings_ = 0;
  Time sum_ = 0, most_ = 0;  // of the late firings
};

}  // namespace sailreel
