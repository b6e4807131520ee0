// A child process of a scale run.
#pragma once

#include <uv.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "transport/loop.hpp"

namespace sailreel::scale {

/// Where the standard output and standard error of a child process go.
struct ChildOutput {
  /// Called with each chunk that the process writes to standard output; if empty, the chunks are
  /// discarded.
  std::function<void(std::string_view)> on_output;
  /// File that standard error is appended to; if empty, standard error is discarded.
  std::string log_file;
};

/// Starts a program, and kills it on destruction.
class ChildProcess {
 public:
  /// Starts the program `arguments[0]`; throws std::runtime_error if that fails. `on_exit` is
  /// called from the loop when the process ends, but not if this object ends it.
  ChildProcess(EventLoop& loop, const std::vector<std::string>& arguments, ChildOutput output,
               std::function<void(int status, int signal)> on_exit);
  /// Kills the process with SIGKILL if it is still running, and waits for its end.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  [[nodiscard]] int pid() const;
  [[nodiscard]] bool running() const;
  /// Has no effect after the process has ended.
  void send_signal(int signal);

 private:
  struct Handles;
  Handles* handles_;
};

}  // namespace sailreel::scale
