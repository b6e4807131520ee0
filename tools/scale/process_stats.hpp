// What the system says of processes and of the machine.
#pragma once

#include <cstdint>
#include <optional>

namespace sailreel::scale {

struct ProcessStats {
  double cpu_s = 0;  // since its start
  double memory_mb = 0;
};
/// Empty if there is no such process any more.
std::optional<ProcessStats> read_process(int pid);

struct MachineStats {
  double busy_s = 0, idle_s = 0;  // of all cores together, since the machine's start
};
MachineStats read_machine();

double total_memory_mb();
double available_memory_mb();

}  // namespace sailreel::scale
