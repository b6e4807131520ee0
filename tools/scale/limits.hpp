// What a run may take of the machine: half of its memory, and a few hundred processes.
#pragma once

#include "scale/plan.hpp"

namespace sailreel::scale {

constexpr std::uint32_t kMostProcesses = 300;

/// The memory that a run may use, in MB.
double memory_limit_mb();

/// Throws PlanError, in one line, if the plan can't fit on this machine.
void check_machine(const Plan& plan);

}  // namespace sailreel::scale
