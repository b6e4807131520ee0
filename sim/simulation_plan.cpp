#include "sim/simulation_plan.hpp"

#include <algorithm>

namespace sailreel::sim {

Settings sample_settings(std::size_t node, std::uint32_t scale) {
  Settings settings;
  const std::vector<std::string> zones{"za", "zb"};
  settings.name = node_name(node);
  settings.zone = zones[node % 2];
  settings.listen = "10.0.0.1:8080";
  for (std::size_t peer = 0; peer < 3; ++peer)
    if (peer != node) settings.peers.push_back({node_name(peer), zones[peer % 2], "10.0.0.9:1"});
  settings.zones = zones;
  const double large = scale > 1 ? 2 : 1;
  settings.teams = {{"red", 0, 0, 16.0 * scale, 30.0 * large * scale},
                    {"blue", 0, 0, 8.0 * scale, 12.0 * large * scale},
                    {"guest", 0, 0, 0, 0}};
  settings.workers.heartbeat_interval_s = 1;
  settings.workers.lease_s = 10;
  settings.workers.cancel_s = 30;
  settings.workers.gang_wait_s = 20;
  settings.workers.gang_peer_s = 2;
  settings.store_limits.rps = 200;
  settings.store_limits.write_rps = 30;
  settings.store_limits.value_kb = 8;
  settings.store_limits.txn_ops = 16;
  settings.cloud_limits.rps = 4;
  settings.cloud_limits.list_lag_s = 5;
  settings.process_limits.memory_mb = 40;
  settings.process_limits.sockets = 500;
  if (scale > 50) {  // settings for a fleet of many hundred machines
    settings.workers.heartbeat_interval_s = 2.5;
    settings.store_limits.rps = 900;
    settings.store_limits.write_rps = 90;
    settings.process_limits.memory_mb = 128;
    settings.process_limits.sockets = 1600;
  }
  return settings;
}

MachineType sample_type() {
  MachineType type;
  type.name = "box";
  type.size = {16, 8, 128};
  type.cache_gb = 60;
  type.fetch_gb_per_s = 5;
  type.price = 10;
  type.spot_price = 3;
  type.boot_s = 12;
  type.zones = {"za", "zb"};
  return type;
}

Deployment sample_deployment(const SimulationPlan& plan) {
  Deployment deployment;
  for (std::size_t node = 0; node < 3; ++node) {
    Settings settings = sample_settings(node, plan.scale);
    if (plan.scale <= 50) settings.workers.heartbeat_interval_s = plan.heartbeat_interval_s;
    settings.workers.lease_s = plan.lease_s;
    settings.workers.cancel_s = plan.cancel_s;
    settings.workers.gang_wait_s = plan.gang_wait_s;
    settings.workers.gang_peer_s = plan.gang_peer_s;
    // Controllers use the smaller of the current and the announced limit, as when settings are
    // read.
    if (plan.lowered_value_kb > 0)
      settings.store_limits.value_kb =
          std::min(settings.store_limits.value_kb, plan.lowered_value_kb);
    if (plan.lowered_txn_ops > 0)
      settings.store_limits.txn_ops = std::min(settings.store_limits.txn_ops, plan.lowered_txn_ops);
    if (plan.lowered_write_rps > 0)
      settings.store_limits.write_rps =
          std::min(settings.store_limits.write_rps, plan.lowered_write_rps);
    deployment.controllers.push_back(std::move(settings));
  }
  const Settings full = sample_settings(0, plan.scale);
  deployment.kv_rps = full.store_limits.rps;
  deployment.kv_write_rps = full.store_limits.write_rps;
  deployment.types = {sample_type()};
  for (const char* zone : {"za", "zb"}) {
    deployment.capacity[{zone, false}] = 4 * plan.scale;
    deployment.capacity[{zone, true}] = 2 * plan.scale;
  }
  return deployment;
}

}  // namespace sailreel::sim
