// Collects the messages and the resource usage of the processes of a scale run, and builds the
// report.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "scale/plan.hpp"
#include "scale/process_stats.hpp"
#include "transport/traffic.hpp"

namespace sailreel::scale {

enum class ProcessRole : std::uint8_t { Main, Region, Controller };

class ReportBuilder {
 public:
  explicit ReportBuilder(const Plan& plan);

  void add_process(int pid, ProcessRole role, const std::string& region);
  void add_progress(int region, const Progress& progress);
  void add_result(const RegionResult& result);
  void add_failure(const std::string& what);

  /// Samples the resource usage of all processes and of the machine. Must be called once a second:
  /// the report counts calls as seconds.
  void sample_processes();
  /// Memory and number of the processes that ran at the last call of sample_processes().
  [[nodiscard]] double memory_mb() const { return memory_mb_; }
  [[nodiscard]] std::uint32_t processes() const { return running_processes_; }
  /// Process ids of the controllers that still run.
  [[nodiscard]] std::vector<int> controllers_running() const;

  /// Completes the report; `links` is the traffic between regions.
  RunReport finish(const Traffic& links);

 private:
  struct Process {
    ProcessRole role = ProcessRole::Main;
    std::string region;
    bool running = true;
    double cpu_s = 0, memory_peak_mb = 0;
  };
  /// Totals of one sample over the regions that have reported it.
  struct Sample {
    std::set<int> regions;
    std::uint32_t workers = 0, tasks = 0;
    std::uint64_t starts = 0;
    std::vector<double> team_gpus;
  };
  [[nodiscard]] bool limits_span_regions() const { return plan_.division() != WHOLE_LIMIT_EACH; }
  void add_sample(std::uint64_t sample_number, const Sample& sample);
  void add_roles(RunReport& report);
  Role& add_role(RunReport& report, const std::string& name) const;
  void add_service(RunReport& report, const std::string& name, const TrafficCounts& traffic) const;
  void add_worker_share(RunReport& report) const;

  const Plan plan_;
  RunReport report_;
  std::map<int, Process> processes_;
  std::map<std::uint64_t, Sample> samples_;
  /// Total starts at the first complete sample of each second.
  std::map<std::uint64_t, std::uint64_t> starts_by_second_;
  std::vector<double> submission_ms_, urgent_ms_;
  TrafficCounts workers_, users_, kv_store_, cloud_;
  std::uint64_t heartbeats_ = 0;
  double worker_seconds_ = 0;
  double memory_mb_ = 0;
  std::uint32_t running_processes_ = 0;
  std::uint32_t seconds_sampled_ = 0;
  MachineStats machine_stats_;
  std::vector<double> team_limit_used_;  // largest share of any team, in each complete sample
};

/// The report as plain text.
std::string report_table(const RunReport& report);
/// The report as JSON.
std::string report_json(const RunReport& report);

}  // namespace sailreel::scale
