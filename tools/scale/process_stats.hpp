// Processor time and memory of processes and of the machine, read from /proc.
#pragma once

#include <cstdint>
#include <optional>

namespace sailreel::scale {

struct ProcessStats {
  double cpu_s = 0;      // user and system time since the process started
  double memory_mb = 0;  // resident memory
};
/// Empty if the process no longer exists.
std::optional<ProcessStats> read_process_stats(int pid);

struct MachineStats {
  double busy_s = 0, idle_s = 0;  // sums over all cores, since the machine booted
};
MachineStats read_machine_stats();

double total_memory_mb();
double available_memory_mb();

}  // namespace sailreel::scale
