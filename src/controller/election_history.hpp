// How often the leader has changed lately, and how long a leader's lease should be by that.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>

#include "protocol/messages.hpp"

namespace sailreel {

/// Where processors can't keep up, leases run out before they are renewed, and each change of the
/// leader costs more of the processor time that is missing: once, elections went on for as long as
/// the day. So leases double with each change too many within a span, up to a bound, and are short
/// again once it has been quiet.
class ElectionHistory {
 public:
  explicit ElectionHistory(Time span) : span_(span) {}

  /// That epoch has been heard of. What was before the first one is unknown, and doesn't count.
  void note(std::uint64_t epoch, Time now) {
    if (!changes_.empty() && epoch <= changes_.back().epoch) return;
    changes_.push_back({epoch, now});
    forget(now);
  }

  /// How many epochs have begun within the last span.
  std::uint64_t recent(Time now) {
    forget(now);
    return changes_.empty() ? 0 : changes_.back().epoch - changes_.front().epoch;
  }

  /// The length of a lease that is asked for now, from `shortest` to `longest`.
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

  /// The last change before the span is kept: what comes after it is counted from its epoch.
  void forget(Time now) {
    while (changes_.size() > 1 && changes_[1].at <= now - span_) changes_.pop_front();
  }

  Time span_;
  std::deque<Change> changes_;
};

}  // namespace sailreel
