// Counts recent leader changes and derives the length of the leader's lease from them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>

#include "protocol/messages.hpp"

namespace sailreel {

/// Where processors can't keep up, leases expire before they are renewed, and each leader change
/// costs more of the missing processor time: once, elections went on for as long as the day
/// (incident election-storm). So leases double with each change above the usual number within a
/// span, up to a bound, and are short again after a quiet span. Times in ms.
class ElectionHistory {
 public:
  explicit ElectionHistory(Time span) : span_(span) {}

  /// An epoch was observed. What was before the first one is unknown, and doesn't count.
  void note(std::uint64_t epoch, Time now) {
    if (!changes_.empty() && epoch <= changes_.back().epoch) return;
    changes_.push_back({epoch, now});
    forget(now);
  }

  /// The number of epochs that have begun within the last span.
  std::uint64_t recent(Time now) {
    forget(now);
    return changes_.empty() ? 0 : changes_.back().epoch - changes_.front().epoch;
  }

  /// The length of a lease that is requested now, from `shortest` to `longest`.
  Time lease_length(Time shortest, Time longest, Time now) {
    Time length = shortest;
    for (std::uint64_t change = kUsualChanges; change < recent(now) && length < longest; ++change)
      length *= 2;
    return std::clamp(length, shortest, std::max(shortest, longest));
  }

 private:
  /// A leader and its successor may well end within one span.
  static constexpr std::uint64_t kUsualChanges = 2;

  struct Change {
    std::uint64_t epoch = 0;
    Time at = 0;
  };

  /// Keeps the last change before the span: later changes are counted from its epoch.
  void forget(Time now) {
    while (changes_.size() > 1 && changes_[1].at <= now - span_) changes_.pop_front();
  }

  Time span_;
  std::deque<Change> changes_;
};

}  // namespace sailreel
