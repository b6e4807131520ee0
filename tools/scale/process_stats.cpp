#include "scale/process_stats.hpp"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace sailreel::scale {
namespace {

double ticks_to_seconds(double ticks) { return ticks / static_cast<double>(sysconf(_SC_CLK_TCK)); }

double meminfo_mb(const std::string& field) {
  std::ifstream file("/proc/meminfo");
  std::string name;
  double kilobytes = 0;
  std::string unit;
  while (file >> name >> kilobytes && std::getline(file, unit))
    if (name == field + ":") return kilobytes / 1024;
  return 0;
}

}  // namespace

std::optional<ProcessStats> read_process_stats(int pid) {
  const std::string directory = "/proc/" + std::to_string(pid);
  std::ifstream file(directory + "/stat");
  std::string stat_line;
  if (!std::getline(file, stat_line)) return {};
  // The second field is the program's name in parentheses, and may contain any character. The
  // fields after the last parenthesis are separated by spaces.
  std::istringstream fields(stat_line.substr(stat_line.rfind(')') + 1));
  std::string skipped;
  constexpr int kFieldsBeforeTimes = 11;
  for (int field = 0; field < kFieldsBeforeTimes; ++field) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  std::ifstream memory(directory + "/statm");
  double size = 0, resident = 0;
  if (!(memory >> size >> resident)) return {};
  const double page_mb = static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
  return ProcessStats{ticks_to_seconds(user + system), resident * page_mb};
}

MachineStats read_machine_stats() {
  std::ifstream file("/proc/stat");
  std::string name;
  double user = 0, nice = 0, system = 0, idle = 0, iowait = 0, interrupt = 0, softirq = 0;
  file >> name >> user >> nice >> system >> idle >> iowait >> interrupt >> softirq;
  return {ticks_to_seconds(user + nice + system + interrupt + softirq),
          ticks_to_seconds(idle + iowait)};
}

double total_memory_mb() { return meminfo_mb("MemTotal"); }
double available_memory_mb() { return meminfo_mb("MemAvailable"); }

}  // namespace sailreel::scale
