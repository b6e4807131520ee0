// Wires the core to the network: inputs in, actions out.
#pragma once

#include <memory>

#include "protocol/settings.hpp"

namespace sailreel {

class Daemon {
 public:
  Daemon(const Settings& settings, const Options& options);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  void run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sailreel
