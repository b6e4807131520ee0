// How many machines have to be added to a pool of instances for the tasks that wait for it.
#pragma once

#include <cstdint>

#include "protocol/messages.hpp"

namespace sailreel {

/// Room that is to be added in one pool of instances.
struct PoolDemand {
  std::uint32_t tasks = 0;  // that wait for this room
  Resources waiting;        // what these tasks need
  Resources with_headroom;  // at least `waiting`; the rest is room that no task waits for

  /// Adds tasks that wait, with what they need together.
  void add(std::uint32_t more_tasks, const Resources& total);
};

/// Less than this part of a machine doesn't justify another one, unless a task waits for it.
constexpr double kMinMachineFraction = 0.01;

/// Returns the number of machines of that size that hold the demand. Tasks that wait get a machine
/// however little they need, since without one they would wait for ever; headroom gets one only
/// from `kMinMachineFraction` on.
double machines_needed(const PoolDemand& demand, const Resources& size);

}  // namespace sailreel
