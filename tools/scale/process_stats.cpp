#include "scale/process_stats.hpp"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace sailreel::scale {
namespace {

double seconds_of_ticks(double ticks) { return ticks / static_cast<double>(sysconf(_SC_CLK_TCK)); }

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

std::optional<ProcessStats> read_process(int pid) {
  const std::string folder = "/proc/" + std::to_string(pid);
  std::ifstream file(folder + "/stat");
  std::string text;
  if (!std::getline(file, text)) return {};
  // The second field is the program's name in parentheses, and may contain any character. The
  // fields after the last parenthesis are separated by spaces.
  std::istringstream rest(text.substr(text.rfind(')') + 1));
  std::string skipped;
  constexpr int kFieldsBeforeTimes = 11;
  for (int n = 0; n < kFieldsBeforeTimes; ++n) rest >> skipped;
  double user = 0, system = 0;
  rest >> user >> system;
  std::ifstream memory(folder + "/statm");
  double size = 0, resident = 0;
  if (!(memory >> size >> resident)) return {};
  const double page_mb = static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
  return ProcessStats{seconds_of_ticks(user + system), resident * page_mb};
}

MachineStats read_machine() {
  std::ifstream file("/proc/stat");
  std::string name;
  double user = 0, nice = 0, system = 0, idle = 0, wait = 0, interrupt = 0, soft = 0;
  file >> name >> user >> nice >> system >> idle >> wait >> interrupt >> soft;
  return {seconds_of_ticks(user + nice + system + interrupt + soft), seconds_of_ticks(idle + wait)};
}

double total_memory_mb() { return meminfo_mb("MemTotal"); }
double available_memory_mb() { return meminfo_mb("MemAvailable"); }

}  // namespace sailreel::scale
