#include "scale/run.hpp"

#include <csignal>
#include <cstdio>

#include "scale/limits.hpp"

namespace sailreel::scale {
namespace {

constexpr Time kMonitorIntervalMs = 1'000;
/// Time from the start of the regions' processes to the start of their simulations.
constexpr Time kStartDelayMs = 1'000;
/// The run fails if a region's process hasn't ended this long after the plan's end.
constexpr Time kMaxOverrunMs = 30'000;

}  // namespace

Run::Run(const Plan& plan, RunOptions options)
    : plan_(plan),
      options_(std::move(options)),
      report_builder_(plan_),
      regions_(static_cast<std::size_t>(plan_.region_size())),
      relay_(loop_, plan_),
      monitor_timer_(loop_, [this] { monitor(); }) {}

Run::~Run() = default;

RunReport Run::run() {
  report_builder_.add_process(getpid(), ProcessRole::Main, {});
  start_regions();
  schedule_cuts();
  monitor_timer_.set(kMonitorIntervalMs);
  uv_signal_t interrupt{}, terminate{};
  for (auto* handle : {&interrupt, &terminate}) {
    uv_signal_init(loop_.raw(), handle);
    handle->data = this;
    uv_signal_start(
        handle,
        [](uv_signal_t* signal, int number) {
          static_cast<Run*>(signal->data)->stop("stopped by signal " + std::to_string(number));
        },
        handle == &interrupt ? SIGINT : SIGTERM);
  }
  while (!finished_) uv_run(loop_.raw(), UV_RUN_ONCE);
  regions_.clear();
  for (const int pid : report_builder_.controllers_running()) ::kill(pid, SIGKILL);
  for (auto* handle : {&interrupt, &terminate})
    uv_close(reinterpret_cast<uv_handle_t*>(handle), nullptr);
  for (int turn = 0; turn < 8; ++turn) uv_run(loop_.raw(), UV_RUN_NOWAIT);
  return report_builder_.finish(relay_.traffic());
}

void Run::schedule_cuts() {
  for (const Fault& fault : plan_.fault()) {
    if (fault.kind() != Fault::REGION_CUT) continue;
    int region = 0;
    while (plan_.region(region).name() != fault.region()) ++region;
    cut_timers_.push_back(std::make_unique<Timer>(loop_, [this, region, &fault] {
      relay_.cut_off(region, ms(fault.for_s()), fault.hold());
    }));
    cut_timers_.back()->set(begin_ms_ - EventLoop::now_ms() + ms(fault.at_s()));
  }
}

void Run::stop(const std::string& failure) {
  report_builder_.add_failure(failure);
  finished_ = true;
}

void Run::start_regions() {
  begin_ms_ = EventLoop::now_ms() + kStartDelayMs;
  for (int region = 0; region < plan_.region_size(); ++region) {
    ChildOutput output;
    output.log_file = options_.directory + "/" + plan_.region(region).name() + ".log";
    output.on_output = [this, region](std::string_view bytes) {
      handle_region_output(region, bytes);
    };
    RegionState& state = regions_[static_cast<std::size_t>(region)];
    state.process = std::make_unique<ChildProcess>(
        loop_,
        std::vector<std::string>{options_.program, "--plan", options_.plan_path, "--region",
                                 std::to_string(region), "--begin-ms", std::to_string(begin_ms_),
                                 "--controller", options_.controller_program, "--directory",
                                 options_.directory},
        output,
        [this, region](int status, int signal) { handle_region_exit(region, status, signal); });
    report_builder_.add_process(state.process->pid(), ProcessRole::Region,
                                plan_.region(region).name());
  }
}

void Run::handle_region_output(int region, std::string_view bytes) {
  RegionState& state = regions_[static_cast<std::size_t>(region)];
  state.reader.append(bytes);
  while (const auto message = state.reader.next()) handle_message(region, *message);
}

void Run::handle_message(int region, const RegionMessage& message) {
  RegionState& state = regions_[static_cast<std::size_t>(region)];
  if (message.has_progress()) {
    state.progress = message.progress();
    report_builder_.add_progress(region, message.progress());
  }
  if (message.has_controller_started())
    report_builder_.add_process(static_cast<int>(message.controller_started()),
                                ProcessRole::Controller, plan_.region(region).name());
  if (message.has_controller_ended())
    report_builder_.add_failure("a controller of " + plan_.region(region).name() +
                                " exited unexpectedly");
  if (message.has_result()) {
    state.has_result = true;
    report_builder_.add_result(message.result());
  }
  check_completion();
}

void Run::handle_region_exit(int region, int status, int signal) {
  RegionState& state = regions_[static_cast<std::size_t>(region)];
  state.exited = true;
  if (status != 0 || signal != 0)
    stop("the process of " + plan_.region(region).name() + " ended with status " +
         std::to_string(status) + ", signal " + std::to_string(signal));
  check_completion();
}

void Run::check_completion() {
  bool all_finished = true;
  for (const RegionState& state : regions_)
    all_finished = all_finished && state.has_result && state.exited;
  finished_ = finished_ || all_finished;
}

void Run::monitor() {
  monitor_timer_.set(kMonitorIntervalMs);
  report_builder_.sample_processes();
  if (report_builder_.memory_mb() > memory_limit_mb())
    return stop("the run used more than half of the machine's memory");
  if (report_builder_.processes() > kMaxProcesses)
    return stop("the run had more than 300 processes");
  const Time deadline = begin_ms_ + static_cast<Time>(plan_.seconds()) * 1000 + kMaxOverrunMs;
  if (EventLoop::now_ms() > deadline) return stop("a region did not end in time");
  if (options_.progress) show_progress();
}

void Run::show_progress() const {
  std::uint32_t workers = 0, tasks = 0, broken = 0;
  std::uint64_t starts = 0;
  for (const RegionState& state : regions_) {
    workers += state.progress.workers();
    tasks += state.progress.tasks_running();
    starts += state.progress.starts();
    broken += state.progress.rules_broken();
  }
  std::fprintf(
      stderr,
      "\r%4lld of %u s: %u workers, %u tasks running, %llu starts, %.0f MB, %u rules broken ",
      static_cast<long long>((EventLoop::now_ms() - begin_ms_) / 1000), plan_.seconds(), workers,
      tasks, static_cast<unsigned long long>(starts), report_builder_.memory_mb(), broken);
}

}  // namespace sailreel::scale
