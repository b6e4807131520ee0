// sailreel-scale: runs a plan with real controllers and simulated workers on loopback addresses.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>

#include "scale/limits.hpp"
#include "scale/plan.hpp"
#include "scale/region_process.hpp"
#include "scale/run.hpp"

namespace {

namespace scale = sailreel::scale;

constexpr int kExitRuleBroken = 1;
constexpr int kExitInvalidPlan = 2;
constexpr int kExitNotCompleted = 3;

/// Directory for settings files and logs: the given one, which is kept, or else a temporary one,
/// which is removed after the run.
class RunDirectory {
 public:
  explicit RunDirectory(std::string requested_path)
      : path_(std::move(requested_path)), kept_(!path_.empty()) {
    if (kept_) {
      std::filesystem::create_directories(path_);
      return;
    }
    std::string pattern =
        (std::filesystem::temp_directory_path() / "sailreel-scale-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
      throw std::runtime_error("cannot create a temporary directory for the run");
    path_ = pattern;
  }
  ~RunDirectory() {
    std::error_code ignored;
    if (!kept_) std::filesystem::remove_all(path_, ignored);
  }
  RunDirectory(const RunDirectory&) = delete;
  RunDirectory& operator=(const RunDirectory&) = delete;
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
  bool kept_;
};

int run_plan(const scale::Plan& plan, scale::RunOptions options, const std::string& report_path,
             const std::string& directory) {
  scale::check_machine(plan);
  const RunDirectory run_directory(directory);
  options.directory = run_directory.path();
  options.progress = isatty(STDERR_FILENO) != 0;
  const bool progress = options.progress;
  scale::Run run(plan, std::move(options));
  const scale::RunReport report = run.run();
  if (progress) std::cerr << '\n';
  std::cout << scale::report_table(report);
  if (!report_path.empty()) {
    std::ofstream file(report_path);
    file << scale::report_json(report);
    if (!file.flush()) throw std::runtime_error("cannot write " + report_path);
  }
  if (report.rules_broken() > 0) return kExitRuleBroken;
  return report.failure().empty() ? 0 : kExitNotCompleted;
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): CLI11 may throw anything; that ends the process
int main(int argc, char** argv) {
  CLI::App app{
      "Runs a plan with real controllers and simulated workers on loopback addresses.\n"
      "Exit status: 0 completed, no rule broken; 1 a rule was broken; 2 invalid plan, or the\n"
      "machine is too small; 3 not completed."};
  std::string plan_path, report_path, directory;
  std::string controller =
      (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "sailreel").string();
  std::optional<int> region;
  sailreel::Time begin_ms = 0;
  app.add_option("--plan", plan_path, "Plan (protobuf text format)")->required();
  app.add_option("--report", report_path, "Write the report to this file (JSON)");
  app.add_option("--controller", controller, "Path of the controller program");
  app.add_option("--directory", directory, "Keep settings files and logs in this directory");
  app.add_option("--region", region)->group("");
  app.add_option("--begin-ms", begin_ms)->group("");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitInvalidPlan;
  }
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const scale::Plan plan = scale::load_plan(plan_path);
    if (region) {
      scale::RegionProcess(plan, {*region, controller, directory, begin_ms}).run();
      return 0;
    }
    scale::RunOptions options;
    options.program = std::filesystem::read_symlink("/proc/self/exe").string();
    options.plan_path = plan_path;
    options.controller_program = controller;
    return run_plan(plan, std::move(options), report_path, directory);
  } catch (const scale::PlanError& error) {
    std::cerr << "sailreel-scale: " << error.what() << '\n';
    return kExitInvalidPlan;
  } catch (const std::exception& error) {
    std::cerr << "sailreel-scale: " << error.what() << '\n';
    return kExitNotCompleted;
  }
}
