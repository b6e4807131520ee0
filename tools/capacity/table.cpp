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
constexpr double kLargestRegionRatio = 3;
constexpr std::size_t kMinPoints = 4;

const Slope& find_slope(const Measurements& measurements, const std::string& name) {
  for (const Slope& candidate : measurements.slope())
    if (candidate.name() == name) return candidate;
  throw scale::PlanError("measurements: missing slope " + name);
}

/// Workers, load and controllers of one region, derived from the plan.
struct RegionSize {
  double workers = 0, tasks = 0, starts_per_s = 0, jobs_per_s = 0, unfinished_jobs = 0;
  double heartbeat_interval_s = 1, controllers = 3;
};

RegionSize estimate_region_size(const scale::Plan& plan, double ratio) {
  const double share = ratio / plan.region_size();
  const scale::Targets& targets = plan.targets();
  RegionSize out;
  out.workers = scale::total_workers(plan) * share;
  out.tasks = targets.tasks_running() * share;
  out.starts_per_s = targets.starts_per_s_peak() * share;
  out.jobs_per_s = targets.jobs_per_day() / kSecondsPerDay * share;
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
    add_slope_table();
    for (const double ratio : {1.0, kLargestRegionRatio}) add_region_table(ratio);
    add_budget_table();
    return page_;
  }

 private:
  [[nodiscard]] Fit fitted_line(const std::string& name) const {
    return fit(find_slope(measurements_, name));
  }

  void add_slope_table() {
    page_ +=
        "| slope | against | per unit | constant | R² | bend | sizes | measured by |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const Slope& slope : measurements_.slope()) {
      const Fit fitted = fit(slope);
      page_ += fmt::format(
          "| {}, {} | {} | {:.3g} | {:.3g} | {:.3f} | {:.2f} | {:.4g} to {:.4g} | {} |\n",
          slope.quantity(), slope.unit(), slope.against(), fitted.per_unit, fitted.constant,
          fitted.determination, fitted.bend, slope.point(0).x(),
          slope.point(slope.point_size() - 1).x(), slope.command());
    }
  }

  void add_row(const std::string& label, double value, const std::string& unit,
               const std::string& source) {
    page_ += fmt::format("| {} | {:.3g} {} | {} |\n", label, value, unit, source);
  }

  // Processor time of the leader for heartbeats, starts and jobs. The constant of each fitted line
  // includes the cost of the other kinds of work, so only one constant is added.
  [[nodiscard]] double leader_cores(const RegionSize& size) const {
    const Fit heartbeat_line = fitted_line("leader_cores_per_report");
    return heartbeat_line.constant +
           heartbeat_line.per_unit * size.workers / size.heartbeat_interval_s +
           fitted_line("leader_cores_per_start").per_unit * size.starts_per_s +
           fitted_line("leader_cores_per_job").per_unit * size.unfinished_jobs;
  }

  void add_region_table(double ratio) {
    const RegionSize size = estimate_region_size(plan_, ratio);
    page_ += fmt::format(
        "\n### {} region: {:.0f} workers, {:.0f} tasks, {:.0f} starts/s at the peak\n\n",
        ratio == 1 ? "A mean" : "The largest assumed", size.workers, size.tasks, size.starts_per_s);
    page_ += "| role | figure | how it is known |\n| --- | --- | --- |\n";
    add_row("controller that leads, processor time", leader_cores(size), "cores",
            "reckoned: reports, starts and jobs added up");
    add_row("controller that leads, memory",
            fitted_line("leader_memory_per_worker").at(size.workers), "MB", "reckoned");
    add_row("controller that hands on, processor time",
            fitted_line("follower_cores_per_worker").at(size.workers), "cores", "reckoned");
    add_row("controller that hands on, memory",
            fitted_line("follower_memory_per_worker").at(size.workers), "MB", "reckoned");
    add_row("state service, writes for starts (arrays)",
            fitted_line("state_writes_per_start").per_unit * size.starts_per_s, "writes/s",
            "reckoned");
    add_row("state service, writes for jobs",
            fitted_line("state_writes_per_job").per_unit * size.jobs_per_s, "writes/s", "reckoned");
    add_row("cloud, its lists", fitted_line("cloud_bytes_per_worker").at(size.workers) / 1000,
            "KB/s", "reckoned");
    add_row("users, messages with a poll every 5 s",
            fitted_line("user_messages_per_job").per_unit * size.unfinished_jobs, "messages/s",
            "reckoned");
    add_row("users, bytes",
            fitted_line("user_bytes_per_job").per_unit * size.unfinished_jobs / 1000, "KB/s",
            "reckoned");
    add_row("messages of workers' reports", 2 * size.workers / size.heartbeat_interval_s,
            "messages/s", "reckoned: a report and its answer");
  }

  void add_budget_table() {
    const scale::Targets& targets = plan_.targets();
    const RegionSize mean_region = estimate_region_size(plan_, 1);
    const double worker_bytes_per_s =
        fitted_line("worker_bytes_per_report").at(1 / mean_region.heartbeat_interval_s);
    const double urgent_wait_ms =
        fitted_line("urgent_wait_per_interval").at(mean_region.heartbeat_interval_s);
    const double all_leaders = leader_cores(mean_region) * plan_.region_size();
    page_ +=
        "\n### Against the plan's budget\n\n| figure of the plan | budget | reckoned | headroom |\n"
        "| --- | --- | --- | --- |\n";
    const auto add_budget_row = [&](const std::string& label, double budget, double computed,
                                    const std::string& unit) {
      page_ += fmt::format("| {} | {:.3g} {} | {:.3g} {} | {:.1f} times |\n", label, budget, unit,
                           computed, unit, budget / computed);
    };
    add_budget_row("a worker's bytes for control, both ways, reports every " +
                       fmt::format("{:.3g} s", mean_region.heartbeat_interval_s),
                   targets.worker_kb_per_s(), worker_bytes_per_s / 1000, "KB/s");
    add_budget_row("urgent work starts, 99 of 100, with share at hand", targets.urgent_start_s(),
                   urgent_wait_ms / 1000, "s");
    add_budget_row("machines set aside, by processor time of all leaders (one core each)",
                   targets.control_machines(), all_leaders, "cores");
  }

  const Measurements& measurements_;
  const scale::Plan& plan_;
  std::string page_;
};

}  // namespace

Fit fit(const Slope& slope) {
  std::vector<double> x, y;
  for (const Point& point : slope.point()) {
    x.push_back(point.x());
    y.push_back(point.y());
  }
  if (x.size() < kMinPoints)
    throw scale::PlanError("measurements: " + slope.name() + " has fewer than four points");
  Fit out;
  double covariance_00 = 0, covariance_01 = 0, covariance_11 = 0, residual_sum_of_squares = 0;
  gsl_fit_linear(x.data(), 1, y.data(), 1, x.size(), &out.constant, &out.per_unit, &covariance_00,
                 &covariance_01, &covariance_11, &residual_sum_of_squares);
  const double total_sum_of_squares = gsl_stats_tss(y.data(), 1, y.size());
  out.determination =
      total_sum_of_squares > 0 ? 1 - residual_sum_of_squares / total_sum_of_squares : 1;
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
