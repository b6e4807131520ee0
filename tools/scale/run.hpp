// The main process of a scale run: starts the regions' processes, monitors them and the machine,
// and builds the report.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "scale/child_process.hpp"
#include "scale/message_stream.hpp"
#include "scale/plan.hpp"
#include "scale/process_stats.hpp"
#include "scale/relay.hpp"
#include "scale/report_builder.hpp"
#include "transport/loop.hpp"

namespace sailreel::scale {

struct RunOptions {
  std::string program;  // path of this program, which the regions' processes run
  std::string plan_path;
  std::string controller_program;  // path of the controller program
  std::string directory;           // for settings files and logs
  bool progress = false;           // shows a progress line on standard error
};

class Run {
 public:
  Run(const Plan& plan, RunOptions options);
  ~Run();
  Run(const Run&) = delete;
  Run& operator=(const Run&) = delete;

  /// Runs the plan to its end or to the first failure, and ends all processes. The report has the
  /// failure.
  RunReport run();
  /// Makes run() return, with this failure in the report.
  void stop(const std::string& failure);

 private:
  struct RegionState {
    std::unique_ptr<ChildProcess> process;
    MessageReader reader;
    Progress progress;
    bool has_result = false;
    bool exited = false;
  };

  void start_regions();
  void schedule_cuts();
  void handle_region_output(int region, std::string_view bytes);
  void handle_region_exit(int region, int status, int signal);
  void handle_message(int region, const RegionMessage& message);
  void monitor();
  void show_progress() const;
  void check_completion();

  const Plan plan_;
  const RunOptions options_;
  EventLoop loop_;
  ReportBuilder report_builder_;
  std::vector<RegionState> regions_;
  Time begin_ms_ = 0;
  Relay relay_;
  std::vector<std::unique_ptr<Timer>> cut_timers_;
  Timer monitor_timer_;
  bool finished_ = false;
};

}  // namespace sailreel::scale
