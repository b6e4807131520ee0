#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "app/daemon.hpp"
#include "app/options.hpp"

namespace {

constexpr int kExitInvalidInput = 2;

sailreel::Settings load_settings(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw sailreel::SettingsError("settings: cannot read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return sailreel::parse_settings(text.str());
}

void set_up_log() {
  auto logger = spdlog::stderr_logger_st("sailreel");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  spdlog::set_default_logger(logger);
  const char* configured_level = std::getenv("LOG_LEVEL");
  const std::string level =
      configured_level == nullptr || *configured_level == '\0' ? "info" : configured_level;
  if (level == "error")
    spdlog::set_level(spdlog::level::err);
  else if (level == "info")
    spdlog::set_level(spdlog::level::info);
  else if (level == "debug")
    spdlog::set_level(spdlog::level::debug);
  else
    throw sailreel::SettingsError("LOG_LEVEL: must be error, info or debug");
}

}  // namespace

// CLI11 and spdlog may throw anything; an exception that is not caught below ends the process.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  CLI::App app{"sailreel: a scheduler for fleets that serve language models"};
  app.set_version_flag("--version", "sailreel " SAILREEL_VERSION);
  std::string config, options_path;
  bool check_only = false;
  app.add_option("--config", config, "Path of the platform's settings file (JSON)")->required();
  app.add_option("--options", options_path,
                 "Path of the operators' options file (protobuf text format)");
  app.add_flag("--check-config", check_only, "Validate both files and exit");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitInvalidInput;
  }
  // A write to a closed connection returns an error, so the signal is not needed.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    set_up_log();
    const sailreel::Settings settings = load_settings(config);
    const sailreel::Options options =
        options_path.empty() ? sailreel::Options{} : sailreel::load_options(options_path);
    sailreel::check_federation(options.federation, settings);
    if (check_only) {
      std::cout << "settings of " << settings.name << " are valid\n";
      return 0;
    }
    sailreel::Daemon(settings, options).run();
  } catch (const sailreel::SettingsError& error) {
    std::cerr << "sailreel: " << error.what() << '\n';
    return kExitInvalidInput;
  } catch (const std::exception& error) {
    std::cerr << "sailreel: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
