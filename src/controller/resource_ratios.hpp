// How many tasks fit into a machine's room, and how many machines hold an amount of resources.
#pragma once

#include <algorithm>

#include "protocol/messages.hpp"

namespace sailreel {

/// Returns how many tasks that need `each` fit into `room`, as a fraction. Resources of which a
/// task needs none are ignored.
inline double task_slots(const Resources& room, const Resources& each) {
  constexpr double kUnbounded = 1e9, kSlack = 1e-6;
  double slots = kUnbounded;
  if (each.cpus > 0) slots = std::min(slots, (room.cpus + kSlack) / each.cpus);
  if (each.gpus > 0) slots = std::min(slots, (room.gpus + kSlack) / each.gpus);
  if (each.memory_gb > 0) slots = std::min(slots, (room.memory_gb + kSlack) / each.memory_gb);
  return std::max(0.0, slots);
}

/// Returns how many machines of that size hold `total`, as a fraction. Resources that the machines
/// don't have are ignored.
inline double machines_for(const Resources& total, const Resources& size) {
  double machines = 0;
  if (size.gpus > 0) machines = std::max(machines, total.gpus / size.gpus);
  if (size.cpus > 0) machines = std::max(machines, total.cpus / size.cpus);
  if (size.memory_gb > 0) machines = std::max(machines, total.memory_gb / size.memory_gb);
  return machines;
}

}  // namespace sailreel
