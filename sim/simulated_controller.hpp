// The controllers of a simulated region, which may be of this version or of another.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "controller/controller.hpp"

namespace sailreel::sim {

/// Interface of a controller in a simulated region.
class SimulatedController {
 public:
  virtual ~SimulatedController() = default;
  /// Processes one input and returns the actions that follow from it.
  virtual std::vector<Action> step(Clock clock, Input input) = 0;
  [[nodiscard]] virtual bool leading() const = 0;
  [[nodiscard]] virtual std::uint64_t epoch() const = 0;
  /// The controller itself if it is of this version and in this process; otherwise null.
  [[nodiscard]] virtual const Controller* controller() const { return nullptr; }
};

/// A controller of this version within this process.
class CurrentController : public SimulatedController {
 public:
  CurrentController(Settings settings, Options options, std::uint64_t seed)
      : controller_(std::move(settings), std::move(options), seed) {}
  std::vector<Action> step(Clock clock, Input input) override {
    return controller_.step(clock, std::move(input));
  }
  [[nodiscard]] bool leading() const override { return controller_.leading(); }
  [[nodiscard]] std::uint64_t epoch() const override { return controller_.epoch(); }
  [[nodiscard]] const Controller* controller() const override { return &controller_; }

 private:
  Controller controller_;
};

}  // namespace sailreel::sim
