// Counts recent leader changes and derives the length of the leader's lease from them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>

#include "protocol/messages.hpp"

namespace sailreel {

/// On overloaded processors, leases expire before they are renewed, and each leader change costs
/// further processor time, so that elections can follow one another for as long as the overload
/// lasts (docs/incidents/election-storm.md). Therefore the lease length doubles with each leader
/// change above the usual number within a time span, up to a bound, and is short again after a span
/// without changes. Times are in ms.
class ElectionHistory {
 public:
  explicit ElectionHistory(Time span) : span_(span) {}

  /// Records an epoch that was observed. The first recorded epoch doesn't count as a change,
  /// because the epoch before it is unknown.
  void record_epoch(std::uint64_t epoch, Time now) {
    if (!changes_.empty() && epoch <= changes_.back().epoch) return;
    changes_.push_back({epoch, now});
    discard_old_changes(now);
  }

  /// The number of epochs that have begun within the last span.
  std::uint64_t recent_changes(Time now) {
    discard_old_changes(now);
    return changes_.empty() ? 0 : changes_.back().epoch - changes_.front().epoch;
  }

  /// The length of a lease that is requested now, from `min_length` to `max_length`.
  Time lease_length(Time min_length, Time max_length, Time now) {
    Time length = min_length;
    for (std::uint64_t change = kChangesWithoutDoubling;
         change < recent_changes(now) && length < max_length; ++change)
      length *= 2;
    return std::clamp(length, min_length, std::max(min_length, max_length));
  }

 private:
  /// Changes within a span that don't lengthen the lease: a leader and its successor may both fail
  /// within one span.
  static constexpr std::uint64_t kChangesWithoutDoubling = 2;

  struct Change {
    std::uint64_t epoch = 0;
    Time observed_at = 0;
  };

  /// Removes the changes before the span, except for the last of them: later changes are counted
  /// from its epoch.
  void discard_old_changes(Time now) {
    while (changes_.size() > 1 && changes_[1].observed_at <= now - span_) changes_.pop_front();
  }

  Time span_;
  std::deque<Change> changes_;
};

}  // namespace sailreel
