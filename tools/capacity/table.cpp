#include "capacity/table.hpp"

#include <fmt/core.h>
#include <google/protobuf/text_format.h>
#include <gsl/gsl_fit.h>
#include <gsl/gsl_statistics_double.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace sailreel::capacity {
namespace {

constexpr double kSecondsPerDay = 86'400;
/// Assumed workers and load of the largest region, as a multiple of those of a mean region.
constexpr double kLargestRegion = 3;
constexpr std::size_t kLeastPoints = 4;

const Slope& slope(const Measurements& measurements, const std::string& name) {
  for (const Slope& candidate : measurements.slope())
    if (candidate.name() == name) return candidate;
  throw scale::PlanError("measurements: missing slope " + name);
}

/// Workers, load and controllers of one region, derived from the plan.
struct RegionSize {
  double workers = 0, tasks = 0, starts_per_s = 0, jobs_per_s = 0, unfinished_jobs = 0;
  double heartbeat_interval_s = 1, controllers = 3;
};

RegionSize size_of(const scale::Plan& plan, double times) {
  const double part = times / plan.region_size();
  const scale::Targets& targets = plan.targets();
  RegionSize out;
  out.workers = scale::total_workers(plan) * part;
  out.tasks = targets.tasks_running() * part;
  out.starts_per_s = targets.starts_per_s_peak() * part;
  out.jobs_per_s = targets.jobs_per_day() / kSecondsPerDay * part;
  const double tasks_per_job = std::max(1.0, static_cast<double>(plan.load().tasks_per_service()));
  out.unfinished_jobs = out.tasks / tasks_per_job;
  out.heartbeat_interval_s = plan.fleet().report_s();
  out.controllers = static_cast<double>(scale::total_controllers(plan)) / plan.region_size();
  return out;
}

class Page {
 public:
  Page(const Measurements& measurements, const scale::Plan& plan)
      : measurements_(measurements), plan_(plan) {}

  std::string text() {
    slopes();
    for (const double times : {1.0, kLargestRegion}) region(times);
    budget();
    return out_;
  }

 private:
  [[nodiscard]] Fit line(const std::string& name) const { return fit(slope(measurements_, name)); }

  void slopes() {
    out_ +=
        "| slope | against | per unit | constant | R² | bend | sizes | measured by |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const Slope& slope : measurements_.slope()) {
      const Fit fitted = fit(slope);
      out_ += fmt::format(
          "| {}, {} | {} | {:.3g} | {:.3g} | {:.3f} | {:.2f} | {:.4g} to {:.4g} | {} |\n",
          slope.quantity(), slope.unit(), slope.against(), fitted.per_unit, fitted.constant,
          fitted.determination, fitted.bend, slope.point(0).x(),
          slope.point(slope.point_size() - 1).x(), slope.command());
    }
  }

  void row(const std::string& what, double value, const std::string& unit, const std::string& how) {
    out_ += fmt::format("| {} | {:.3g} {} | {} |\n", what, value, unit, how);
  }

  // Processor time of the leader for heartbeats, starts and jobs. The constant of each fitted line
  // includes the cost of the other kinds of work, so only one constant is added.
  [[nodiscard]] double leader_cores(const RegionSize& size) const {
    const Fit reports = line("leader_cores_per_report");
    return reports.constant + reports.per_unit * size.workers / size.heartbeat_interval_s +
           line("leader_cores_per_start").per_unit * size.starts_per_s +
           line("leader_cores_per_job").per_unit * size.unfinished_jobs;
  }

  void region(double times) {
    const RegionSize size = size_of(plan_, times);
    out_ += fmt::format(
        "\n### {} region: {:.0f} workers, {:.0f} tasks, {:.0f} starts/s at the peak\n\n",
        times == 1 ? "A mean" : "The largest assumed", size.workers, size.tasks, size.starts_per_s);
    out_ += "| role | figure | how it is known |\n| --- | --- | --- |\n";
    row("controller that leads, processor time", leader_cores(size), "cores",
        "reckoned: reports, starts and jobs added up");
    row("controller that leads, memory", line("leader_memory_per_worker").at(size.workers), "MB",
        "reckoned");
    row("controller that hands on, processor time",
        line("follower_cores_per_worker").at(size.workers), "cores", "reckoned");
    row("controller that hands on, memory", line("follower_memory_per_worker").at(size.workers),
        "MB", "reckoned");
    row("state service, writes for starts (arrays)",
        line("state_writes_per_start").per_unit * size.starts_per_s, "writes/s", "reckoned");
    row("state service, writes for jobs", line("state_writes_per_job").per_unit * size.jobs_per_s,
        "writes/s", "reckoned");
    row("cloud, its lists", line("cloud_bytes_per_worker").at(size.workers) / 1000, "KB/s",
        "reckoned");
    row("users, messages with a poll every 5 s",
        line("user_messages_per_job").per_unit * size.unfinished_jobs, "messages/s", "reckoned");
    row("users, bytes", line("user_bytes_per_job").per_unit * size.unfinished_jobs / 1000, "KB/s",
        "reckoned");
    row("messages of workers' reports", 2 * size.workers / size.heartbeat_interval_s, "messages/s",
        "reckoned: a report and its answer");
  }

  void budget() {
    const scale::Targets& targets = plan_.targets();
    const RegionSize mean = size_of(plan_, 1);
    const double bytes = line("worker_bytes_per_report").at(1 / mean.heartbeat_interval_s);
    const double urgent = line("urgent_wait_per_interval").at(mean.heartbeat_interval_s);
    const double all_leaders = leader_cores(mean) * plan_.region_size();
    out_ +=
        "\n### Against the plan's budget\n\n| figure of the plan | budget | reckoned | headroom |\n"
        "| --- | --- | --- | --- |\n";
    const auto line_of = [&](const std::string& what, double most, double reckoned,
                             const std::string& unit) {
      out_ += fmt::format("| {} | {:.3g} {} | {:.3g} {} | {:.1f} times |\n", what, most, unit,
                          reckoned, unit, most / reckoned);
    };
    line_of("a worker's bytes for control, both ways, reports every " +
                fmt::format("{:.3g} s", mean.heartbeat_interval_s),
            targets.worker_kb_per_s(), bytes / 1000, "KB/s");
    line_of("urgent work starts, 99 of 100, with share at hand", targets.urgent_start_s(),
            urgent / 1000, "s");
    line_of("machines set aside, by processor time of all leaders (one core each)",
            targets.control_machines(), all_leaders, "cores");
  }

  const Measurements& measurements_;
  const scale::Plan& plan_;
  std::string out_;
};

}  // namespace

Fit fit(const Slope& slope) {
  std::vector<double> x, y;
  for (const Point& point : slope.point()) {
    x.push_back(point.x());
    y.push_back(point.y());
  }
  if (x.size() < kLeastPoints)
    throw scale::PlanError("measurements: " + slope.name() + " has fewer than four points");
  Fit out;
  double cov00 = 0, cov01 = 0, cov11 = 0, residues = 0;
  gsl_fit_linear(x.data(), 1, y.data(), 1, x.size(), &out.constant, &out.per_unit, &cov00, &cov01,
                 &cov11, &residues);
  const double total = gsl_stats_tss(y.data(), 1, y.size());
  out.determination = total > 0 ? 1 - residues / total : 1;
  const std::size_t last = x.size() - 1;
  const double first_slope = (y[1] - y[0]) / (x[1] - x[0]);
  const double last_slope = (y[last] - y[last - 1]) / (x[last] - x[last - 1]);
  out.bend = first_slope != 0 ? last_slope / first_slope : 0;
  return out;
}

Measurements load_measurements(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  Measurements out;
  if (!file || !google::protobuf::TextFormat::ParseFromString(text.str(), &out))
    throw scale::PlanError("measurements: cannot read " + path);
  return out;
}

std::string tables(const Measurements& measurements, const scale::Plan& plan) {
  if (!plan.has_targets()) throw scale::PlanError("plan: targets are missing");
  return Page(measurements, plan).text();
}

}  // namespace sailreel::capacity
