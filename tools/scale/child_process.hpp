// A process that the scale run starts, and ends by its id.
#pragma once

#include <uv.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "transport/loop.hpp"

namespace sailreel::scale {

/// What a process gets as its standard output; its standard error is a file or the parent's.
struct ChildOutput {
  /// Called with what it writes to standard output; empty: that is discarded.
  std::function<void(std::string_view)> on_output;
  /// Standard error is added to this file; empty: it is discarded.
  std::string log_file;
};

class ChildProcess {
 public:
  /// Starts the program at once; throws std::runtime_error. `on_exit` is called once it has ended.
  ChildProcess(EventLoop& loop, const std::vector<std::string>& arguments, ChildOutput output,
               std::function<void(int status, int signal)> on_exit);
  /// Kills the process if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  [[nodiscard]] int pid() const;
  [[nodiscard]] bool running() const;
  void send_signal(int signal);

 private:
  struct Handles;
  Handles* handles_;
};

}  // namespace sailreel::scale
