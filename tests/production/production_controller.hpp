// The controller of the version in production (`production` in deploy/service.toml), which is built
// from the repository's history.
#pragma once

#include <memory>

#include "sim/simulated_controller.hpp"

namespace sailreel::sim {

/// Creates a controller of the version in production.
std::unique_ptr<SimulatedController> make_production_controller(const Settings& settings,
                                                                std::uint64_t seed);

}  // namespace sailreel::sim
