// Limits of a scale run: half of the machine's memory, and 300 processes.
#pragma once

#include "scale/plan.hpp"

namespace sailreel::scale {

/// The processes of a run are the main process, one process per region, and the controllers.
constexpr std::uint32_t kMaxProcesses = 300;

/// The memory that all processes of a run together may use, in MB.
double memory_limit_mb();

/// Throws PlanError if the plan can't fit on this machine.
void check_machine(const Plan& plan);

}  // namespace sailreel::scale
