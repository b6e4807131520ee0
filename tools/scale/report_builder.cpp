#include "scale/report_builder.hpp"

#include <fmt/printf.h>
#include <google/protobuf/util/json_util.h>
#include <gsl/gsl_statistics_double.h>

#include <algorithm>

namespace sailreel::scale {
namespace {

constexpr std::uint64_t kSamplesPerSecond = 4;
constexpr double kSaturatedIdleShare = 0.05;
constexpr std::size_t kMaxNamedViolations = 20;

void add_counts(TrafficCounts& sum, const TrafficCounts& more) {
  sum.set_messages_in(sum.messages_in() + more.messages_in());
  sum.set_messages_out(sum.messages_out() + more.messages_out());
  sum.set_bytes_in(sum.bytes_in() + more.bytes_in());
  sum.set_bytes_out(sum.bytes_out() + more.bytes_out());
}

Distribution distribution(std::vector<double> values) {
  Distribution out;
  out.set_count(static_cast<std::uint32_t>(values.size()));
  if (values.empty()) return out;
  std::sort(values.begin(), values.end());
  const auto quantile = [&](double probability) {
    return gsl_stats_quantile_from_sorted_data(values.data(), 1, values.size(), probability);
  };
  out.set_median(quantile(0.5));
  out.set_p90(quantile(0.9));
  out.set_p99(quantile(0.99));
  out.set_largest(values.back());
  return out;
}

template <typename... Values>
std::string format_line(const char* format, const Values&... values) {
  return fmt::sprintf(format, values...) + "\n";
}

std::string format_distribution(const char* what, const Distribution& distribution) {
  if (distribution.count() == 0) return format_line("%-28s none", what);
  return format_line("%-28s %u: median %.0f, p90 %.0f, p99 %.0f, largest %.0f ms", what,
                     distribution.count(), distribution.median(), distribution.p90(),
                     distribution.p99(), distribution.largest());
}

}  // namespace

ReportBuilder::ReportBuilder(const Plan& plan) : plan_(plan), machine_stats_(read_machine_stats()) {
  report_.set_plan(plan.name());
  report_.set_workers(0);
  report_.set_tasks_running_peak(0);
  report_.set_starts(0);
  report_.set_starts_per_s_peak(0);
  report_.set_processes(0);
  report_.set_memory_peak_mb(0);
  report_.set_urgent_waiting(0);
  report_.set_jobs(0);
  report_.set_jobs_over(0);
  report_.set_unanswered_submissions(0);
  report_.set_state_writes(0);
  report_.set_state_writes_refused(0);
  report_.set_saturated_seconds(0);
  report_.set_team_limit_used_peak(0);
  report_.set_team_limit_used_mean(0);
  report_.set_late_ms_max(0);
}

void ReportBuilder::add_process(int pid, ProcessRole role, const std::string& region) {
  Process process;
  process.role = role;
  process.region = region;
  processes_[pid] = process;
}

void ReportBuilder::add_failure(const std::string& what) { report_.add_failure(what); }

void ReportBuilder::add_progress(int region, const Progress& progress) {
  Sample& sample = samples_[progress.sample()];
  if (!sample.regions.insert(region).second) return;
  sample.workers += progress.workers();
  sample.tasks += progress.tasks_running();
  sample.starts += progress.starts();
  sample.team_gpus.resize(plan_.fleet().teams());
  for (int team = 0; team < progress.team_gpus_size(); ++team)
    sample.team_gpus[static_cast<std::size_t>(team)] += progress.team_gpus(team);
  if (sample.regions.size() < static_cast<std::size_t>(plan_.region_size())) return;
  add_sample(progress.sample(), sample);
  // Earlier samples that some region has skipped never become complete.
  samples_.erase(samples_.begin(), samples_.upper_bound(progress.sample()));
}

void ReportBuilder::add_sample(std::uint64_t sample_number, const Sample& sample) {
  report_.set_workers(std::max(report_.workers(), sample.workers));
  report_.set_tasks_running_peak(std::max(report_.tasks_running_peak(), sample.tasks));
  starts_by_second_.emplace(sample_number / kSamplesPerSecond, sample.starts);
  double max_gpus_used = 0;
  for (const double gpus : sample.team_gpus) max_gpus_used = std::max(max_gpus_used, gpus);
  if (plan_.fleet().team_gpus_max() <= 0) return;
  const double share_used = max_gpus_used / plan_.fleet().team_gpus_max();
  report_.set_team_limit_used_peak(std::max(report_.team_limit_used_peak(), share_used));
  team_limit_used_.push_back(share_used);
}

void ReportBuilder::add_result(const RegionResult& result) {
  for (const auto& [rule, cases] : result.rules()) (*report_.mutable_rules())[rule] += cases;
  for (const std::string& what : result.broken())
    if (static_cast<std::size_t>(report_.broken_size()) < kMaxNamedViolations)
      report_.add_broken(result.region() + ": " + what);
  report_.set_starts(report_.starts() + static_cast<std::uint32_t>(result.starts()));
  report_.set_jobs(report_.jobs() + static_cast<std::uint32_t>(result.jobs()));
  report_.set_jobs_over(report_.jobs_over() + static_cast<std::uint32_t>(result.jobs_over()));
  report_.set_unanswered_submissions(report_.unanswered_submissions() +
                                     static_cast<std::uint32_t>(result.unanswered_submissions()));
  report_.set_state_writes(report_.state_writes() +
                           static_cast<std::uint32_t>(result.state_writes()));
  report_.set_state_writes_refused(report_.state_writes_refused() +
                                   static_cast<std::uint32_t>(result.refused_writes()));
  report_.set_urgent_waiting(report_.urgent_waiting() + result.urgent_waiting());
  report_.set_late_ms_max(std::max(report_.late_ms_max(), result.late_ms_max()));
  for (const std::uint32_t wait : result.submission_ms()) submission_ms_.push_back(wait);
  for (const std::uint32_t wait : result.urgent_ms()) urgent_ms_.push_back(wait);
  add_counts(workers_, result.workers());
  add_counts(users_, result.users());
  add_counts(kv_store_, result.state());
  add_counts(cloud_, result.cloud());
  heartbeats_ += result.reports();
  worker_seconds_ += result.worker_seconds();
}

void ReportBuilder::sample_processes() {
  memory_mb_ = 0;
  running_processes_ = 0;
  for (auto& [pid, process] : processes_) {
    if (!process.running) continue;
    const auto stats = read_process_stats(pid);
    process.running = stats.has_value();
    if (!stats) continue;
    ++running_processes_;
    process.cpu_s = stats->cpu_s;
    process.memory_peak_mb = std::max(process.memory_peak_mb, stats->memory_mb);
    memory_mb_ += stats->memory_mb;
  }
  report_.set_processes(std::max(report_.processes(), running_processes_));
  report_.set_memory_peak_mb(std::max(report_.memory_peak_mb(), memory_mb_));
  const MachineStats now = read_machine_stats();
  const double idle = now.idle_s - machine_stats_.idle_s, busy = now.busy_s - machine_stats_.busy_s;
  if (idle < kSaturatedIdleShare * (idle + busy))
    report_.set_saturated_seconds(report_.saturated_seconds() + 1);
  machine_stats_ = now;
  ++seconds_sampled_;
}

std::vector<int> ReportBuilder::controllers_running() const {
  std::vector<int> out;
  for (const auto& [pid, process] : processes_)
    if (process.role == ProcessRole::Controller && read_process_stats(pid)) out.push_back(pid);
  return out;
}

Role& ReportBuilder::add_role(RunReport& report, const std::string& name) const {
  Role& role = *report.add_role();
  role.set_role(name);
  role.set_processes(0);
  return role;
}

void ReportBuilder::add_service(RunReport& report, const std::string& name,
                                const TrafficCounts& traffic) const {
  Role& role = add_role(report, name);
  const double seconds = std::max(1.0, report.seconds());
  role.set_messages_per_s(static_cast<double>(traffic.messages_in() + traffic.messages_out()) /
                          seconds);
  role.set_bytes_per_s(static_cast<double>(traffic.bytes_in() + traffic.bytes_out()) / seconds);
}

void ReportBuilder::add_roles(RunReport& report) {
  const double seconds = std::max(1.0, report.seconds());
  // The controller with the most processor time in its region is taken to be the leader.
  std::map<std::string, const Process*> busiest;
  for (const auto& [pid, process] : processes_) {
    if (process.role != ProcessRole::Controller) continue;
    const Process*& busiest_in_region = busiest[process.region];
    if (busiest_in_region == nullptr || process.cpu_s > busiest_in_region->cpu_s)
      busiest_in_region = &process;
  }
  const auto add_process_role = [&](const std::string& name, const auto& in_role) {
    Role& role = add_role(report, name);
    double cores = 0, max_cores = 0, combined_memory_mb = 0, max_memory_mb = 0;
    std::uint32_t count = 0;
    for (const auto& [pid, process] : processes_) {
      if (!in_role(process)) continue;
      ++count;
      cores += process.cpu_s / seconds;
      max_cores = std::max(max_cores, process.cpu_s / seconds);
      combined_memory_mb += process.memory_peak_mb;
      max_memory_mb = std::max(max_memory_mb, process.memory_peak_mb);
    }
    role.set_processes(count);
    role.set_cores(cores);
    role.set_cores_of_largest(max_cores);
    role.set_memory_peak_mb(combined_memory_mb);
    role.set_memory_peak_mb_of_largest(max_memory_mb);
    return cores;
  };
  const auto is_busiest = [&](const Process& process) {
    return process.role == ProcessRole::Controller && busiest.at(process.region) == &process;
  };
  double controller_cores = add_process_role("controller, busiest of its region", is_busiest);
  controller_cores += add_process_role("controller, others", [&](const Process& process) {
    return process.role == ProcessRole::Controller && !is_busiest(process);
  });
  double stand_in_cores =
      add_process_role("stand-ins (workers, services, users)",
                       [](const Process& process) { return process.role == ProcessRole::Region; });
  stand_in_cores += add_process_role(
      "main process", [](const Process& process) { return process.role == ProcessRole::Main; });
  report.set_stand_ins_share(stand_in_cores / std::max(1e-9, stand_in_cores + controller_cores));
}

void ReportBuilder::add_worker_share(RunReport& report) const {
  WorkerShare& share = *report.mutable_per_worker();
  const double seconds = std::max(1.0, worker_seconds_);
  share.set_bytes_in_per_s(static_cast<double>(workers_.bytes_in()) / seconds);
  share.set_bytes_out_per_s(static_cast<double>(workers_.bytes_out()) / seconds);
  share.set_reports_per_s(static_cast<double>(heartbeats_) / seconds);
  if (plan_.has_targets()) share.set_target_bytes_per_s(1000 * plan_.targets().worker_kb_per_s());
}

RunReport ReportBuilder::finish(const Traffic& links) {
  RunReport& report = report_;
  report.set_seconds(seconds_sampled_);
  std::uint32_t broken = 0;
  for (const auto& [rule, cases] : report.rules()) broken += cases;
  // The checker of a single region can't check a limit that spans regions.
  if (limits_span_regions() && report.team_limit_used_peak() > 1 + 1e-6) {
    (*report.mutable_rules())["quota"] += 1;
    report.add_broken("quota over all regions");
    ++broken;
  }
  if (report.starts() == 0) {
    (*report.mutable_rules())["nothing_ran"] += 1;
    ++broken;
  }
  report.set_rules_broken(broken);
  double peak = 0;
  for (auto it = starts_by_second_.begin(); it != starts_by_second_.end(); ++it) {
    const auto next = std::next(it);
    if (next == starts_by_second_.end()) break;
    const auto seconds = static_cast<double>(next->first - it->first);
    peak = std::max(peak, static_cast<double>(next->second - it->second) / seconds);
  }
  report.set_starts_per_s_peak(peak);
  *report.mutable_submission_ms() = distribution(submission_ms_);
  *report.mutable_urgent_start_ms() = distribution(urgent_ms_);
  add_roles(report);
  add_service(report, "workers' connections", workers_);
  add_service(report, "users' connections", users_);
  add_service(report, "state service", kv_store_);
  add_service(report, "cloud", cloud_);
  TrafficCounts link_counts;
  link_counts.set_messages_in(links.messages_in);
  link_counts.set_bytes_in(links.bytes_in);
  add_service(report, "links between regions", link_counts);
  const std::vector<double> second_half(
      team_limit_used_.begin() + static_cast<std::ptrdiff_t>(team_limit_used_.size() / 2),
      team_limit_used_.end());
  report.set_team_limit_used_mean(
      second_half.empty() ? 0 : gsl_stats_mean(second_half.data(), 1, second_half.size()));
  add_worker_share(report);
  return report;
}

std::string report_json(const RunReport& report) {
  google::protobuf::util::JsonPrintOptions options;
  options.add_whitespace = true;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  std::string out;
  const auto status = google::protobuf::util::MessageToJsonString(report, &out, options);
  return status.ok() ? out : std::string();
}

std::string report_table(const RunReport& report) {
  std::string out;
  out += format_line("%-28s %s, %.0f s", "plan", report.plan(), report.seconds());
  out += format_line("%-28s %u", "rules broken", report.rules_broken());
  for (const auto& [rule, cases] : report.rules()) out += format_line("  %-26s %u", rule, cases);
  out += format_line("%-28s %u", "workers", report.workers());
  out += format_line("%-28s %u", "tasks running, peak", report.tasks_running_peak());
  out += format_line("%-28s %u, at the peak %.0f a second", "starts", report.starts(),
                     report.starts_per_s_peak());
  out += format_line("%-28s %u, %.0f MB at the peak", "processes", report.processes(),
                     report.memory_peak_mb());
  for (const Role& role : report.role()) {
    if (role.has_cores())
      out += format_line("%-38s %3u processes, %.2f cores (most %.3f), %.0f MB (most %.0f)",
                         role.role(), role.processes(), role.cores(), role.cores_of_largest(),
                         role.memory_peak_mb(), role.memory_peak_mb_of_largest());
    else
      out += format_line("%-38s %.0f messages/s, %.1f KB/s", role.role(), role.messages_per_s(),
                         role.bytes_per_s() / 1000);
  }
  out += format_line("%-28s %.2f reports/s, %.0f bytes/s out, %.0f in", "per worker",
                     report.per_worker().reports_per_s(), report.per_worker().bytes_out_per_s(),
                     report.per_worker().bytes_in_per_s());
  out += format_distribution("submissions answered", report.submission_ms());
  out += format_distribution("urgent work started", report.urgent_start_ms());
  out += format_line("%-28s %u", "urgent work not started", report.urgent_waiting());
  out += format_line("%-28s %.3f at the peak, %.3f in the mean of the second half",
                     "team's limit used", report.team_limit_used_peak(),
                     report.team_limit_used_mean());
  out += format_line("%-28s %.2f; machine saturated for %u s; a region late by %u ms at most",
                     "stand-ins' share", report.stand_ins_share(), report.saturated_seconds(),
                     report.late_ms_max());
  for (const std::string& what : report.broken()) out += "broken: " + what + "\n";
  for (const std::string& what : report.failure()) out += "failed: " + what + "\n";
  return out;
}

}  // namespace sailreel::scale
