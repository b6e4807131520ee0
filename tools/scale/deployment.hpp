// Addresses, settings and options of a scale run, and the deployment of each of its regions.
#pragma once

#include <string>

#include "scale/plan.hpp"
#include "sim/simulated_region.hpp"

namespace sailreel::scale {

/// Addresses of a region's services and workers. Each region has its own /16 network in
/// 127.0.0.0/8.
std::string kv_store_address(int region);
std::string cloud_address(int region);
std::string worker_address_prefix(int region);

/// Address at which a controller accepts connections from other controllers.
std::string controller_peer_address(int region, std::uint32_t controller);
/// Address of the relay through which the controllers of region `from` reach a controller of region
/// `to`.
std::string relay_address(int from, int to, std::uint32_t controller);

std::string team_name(std::uint32_t team);

/// Describes a region to its simulation: controllers, machine types, capacity and request limits.
sim::Deployment make_deployment(const Plan& plan, int region);

/// Contents of a controller's settings file, in the JSON format that the platform writes.
std::string settings_file_contents(const Settings& settings);

/// Contents of the options file of a region's controllers, in protobuf text format; empty unless
/// the plan's division is SHARES.
std::string options_file_contents(const Plan& plan, int region);

}  // namespace sailreel::scale
