// What a team uses and waits for in a region.
#pragma once

#include <array>
#include <cstddef>
#include <string>

#include "protocol/messages.hpp"
#include "protocol/region_frames.hpp"

namespace sailreel::federation {

/// Indexed by `Priority`.
using AmountsByPriority = std::array<Amounts, kPriorityCount>;

/// What one team uses and waits for. Every task attempt that may be on a machine counts as used,
/// including starts in flight, tasks whose machine is not known, and reservations for gangs.
struct TeamLoad {
  std::string team;
  Amounts used;
  /// What running tasks use, and what waiting tasks need.
  AmountsByPriority running, waiting;
};

/// The sum over all priorities.
inline Amounts sum_of(const AmountsByPriority& by_priority) {
  Amounts sum;
  for (const Amounts& amounts : by_priority) sum += amounts;
  return sum;
}

/// The part of priority `High` or above.
inline Amounts urgent_of(const AmountsByPriority& by_priority) {
  Amounts sum;
  for (std::size_t priority = 0; priority <= static_cast<std::size_t>(Priority::High); ++priority)
    sum += by_priority[priority];
  return sum;
}

/// The part that may be preempted for urgent work of another region.
inline Amounts preemptible_of(const AmountsByPriority& by_priority) {
  return sum_of(by_priority) - urgent_of(by_priority);
}

}  // namespace sailreel::federation
