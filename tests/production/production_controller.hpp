// The controller of the version in production (`production` in deploy/service.toml), built from the
// repository's history.
#pragma once

#include <memory>

#include "sim/simulated_controller.hpp"

namespace sailreel::sim {

std::unique_ptr<SimulatedController> make_production_controller(const Settings& settings,
                                                                std::uint64_t seed);

}  // namespace sailreel::sim
