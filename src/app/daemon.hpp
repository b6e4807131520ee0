// Connects the controller to the network.
#pragma once

#include <memory>

#include "protocol/settings.hpp"

namespace sailreel {

/// Passes requests, responses, messages and timer events to the controller and carries out the
/// actions that the controller returns.
class Daemon {
 public:
  /// Throws std::runtime_error if it cannot listen on the settings' addresses.
  Daemon(const Settings& settings, const Options& options);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  /// Runs the event loop; does not return.
  void run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sailreel
