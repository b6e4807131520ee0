// Fields of log lines about quota shares.
#pragma once

#include <string>

#include "federation/units.hpp"

namespace sailreel::federation {

/// Returns the log fields of a team's amounts, with a leading space so that they can be appended to
/// an event's name.
inline std::string log_fields(const TeamAmounts& entry) {
  return " team=" + entry.team + " cpus=" + std::to_string(units(entry.amounts.cpus)) +
         " gpus=" + std::to_string(units(entry.amounts.gpus));
}

}  // namespace sailreel::federation
