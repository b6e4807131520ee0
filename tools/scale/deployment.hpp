// Addresses of a scale run, and the deployment of each of its regions.
#pragma once

#include <string>

#include "scale/plan.hpp"
#include "sim/simulated_region.hpp"

namespace sailreel::scale {

/// Each region has a part of 127.0.0.0/8 of its own.
std::string kv_store_address(int region);
std::string cloud_address(int region);
std::string worker_address_prefix(int region);

std::string controller_peer_address(int region, std::uint32_t controller);
/// Where a region's controllers find another region's: an address of the relay between them.
std::string relay_address(int from, int to, std::uint32_t controller);

std::string team_name(std::uint32_t team);

/// The model's view of a region.
sim::Deployment make_deployment(const Plan& plan, int region);

/// A controller's settings file, as the platform writes it.
std::string settings_file(const Settings& settings);

/// The operators' options of a region's controllers; empty if the plan has no shares.
std::string options_file(const Plan& plan, int region);

}  // namespace sailreel::scale
