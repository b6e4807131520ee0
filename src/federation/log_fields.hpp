// Fields of log lines about quota shares.
#pragma once

#include <string>

#include "federation/units.hpp"

namespace sailreel::federation {

/// With a space in front, so that it can be appended to an event's name.
inline std::string log_fields(const TeamAmounts& entry) {
  return " team=" + entry.team + " cpus=" + std::to_string(units(entry.amounts.cpus)) +
         " gpus=" + std::to_string(units(entry.amounts.gpus));
}

}  // namespace sailreel::federation
