#include "scale/deployment.hpp"

#include <cmath>
#include <sstream>

#include "protocol/json.hpp"
#include "protocol/json_object.hpp"

namespace sailreel::scale {
namespace {

constexpr int kFirstRegionNetwork = 10;
constexpr int kFirstRelayNetwork = 110;
/// Descriptors in a controller's limit for each worker: the requests that a worker or a user may
/// have open at once, besides its connection.
constexpr std::uint64_t kSocketsPerWorker = 4;
constexpr std::uint64_t kBaseSockets = 600;
constexpr double kCancelAfterLeases = 2.5;
constexpr double kCloudListLagSeconds = 2;
constexpr double kCacheGb = 400;
constexpr double kFetchGbPerS = 10;

std::string network_prefix(int region) {
  return "127." + std::to_string(kFirstRegionNetwork + region) + ".";
}

std::string controller_address(int region, std::uint32_t controller, const char* port) {
  return network_prefix(region) + "0." + std::to_string(controller + 1) + port;
}

std::string controller_name(const Region& region, std::uint32_t controller) {
  return region.name() + "-" + std::to_string(controller);
}

std::string controller_zone(const Region& region, std::uint32_t controller) {
  return region.zone(static_cast<int>(controller) % region.zone_size());
}

void set_service_settings(const Fleet& fleet, int region, Settings& settings) {
  settings.cloud_endpoint = cloud_address(region);
  settings.store_endpoint = kv_store_address(region);
  settings.workers.heartbeat_interval_s = fleet.report_s();
  settings.workers.lease_s = fleet.lease_s();
  settings.workers.cancel_s = kCancelAfterLeases * fleet.lease_s();
  settings.store_limits.rps = fleet.state_rps();
  settings.store_limits.write_rps = fleet.state_write_rps();
  settings.store_limits.value_kb = 8;
  settings.store_limits.txn_ops = 16;
  settings.cloud_limits.rps = fleet.cloud_rps();
  settings.cloud_limits.list_lag_s = kCloudListLagSeconds;
}

double team_gpu_limit(const Plan& plan) {
  const double total_limit = plan.fleet().team_gpus_max();
  return plan.division() == FIXED_PARTS ? total_limit / plan.region_size() : total_limit;
}

Settings controller_settings(const Plan& plan, int index, std::uint32_t controller) {
  const Region& region = plan.region(index);
  Settings settings;
  settings.name = controller_name(region, controller);
  settings.zone = controller_zone(region, controller);
  settings.listen = controller_address(index, controller, ":8080");
  settings.peer_listen = controller_address(index, controller, ":8081");
  for (std::uint32_t other = 0; other < region.controllers(); ++other)
    if (other != controller)
      settings.peers.push_back({controller_name(region, other), controller_zone(region, other),
                                controller_address(index, other, ":8081")});
  for (const std::string& zone : region.zone()) settings.zones.push_back(zone);
  for (std::uint32_t team = 0; team < plan.fleet().teams(); ++team)
    settings.teams.push_back({team_name(team), 0, 0, 0, team_gpu_limit(plan)});
  set_service_settings(plan.fleet(), index, settings);
  settings.process_limits.cpu = plan.fleet().controller_cores();
  settings.process_limits.memory_mb = plan.fleet().controller_memory_mb();
  settings.process_limits.sockets = kSocketsPerWorker * region.workers() + kBaseSockets;
  return settings;
}

MachineType machine_type(const Plan& plan, const Region& region) {
  MachineType type;
  type.name = "hollow";
  type.size = {plan.fleet().cpus(), plan.fleet().gpus(), plan.fleet().memory_gb()};
  type.cache_gb = kCacheGb;
  type.fetch_gb_per_s = kFetchGbPerS;
  type.price = 10;
  type.spot_price = 4;
  type.boot_s = plan.fleet().boot_s();
  for (const std::string& zone : region.zone()) type.zones.push_back(zone);
  return type;
}

void write_team(json::Writer& writer, const Team& team) {
  json::ObjectWriter object(writer);
  object.text("name", team.name);
  object.number("cpus", team.cpus);
  object.number("cpus_max", team.cpus_max);
  object.number("gpus", team.gpus);
  object.number("gpus_max", team.gpus_max);
  object.end();
}

void write_peer(json::Writer& writer, const PeerSettings& peer) {
  json::ObjectWriter object(writer);
  object.text("label", peer.name);
  object.text("area", peer.zone);
  object.text("endpoint", peer.address);
  object.end();
}

void write_service_settings(json::Writer& writer, const Settings& settings) {
  json::ObjectWriter workers(writer, "workers");
  workers.number("report_s", settings.workers.heartbeat_interval_s);
  workers.number("lease_s", settings.workers.lease_s);
  workers.number("cancel_s", settings.workers.cancel_s);
  workers.end();
  json::ObjectWriter state(writer, "state");
  state.number("rps", settings.store_limits.rps);
  state.number("write_rps", settings.store_limits.write_rps);
  state.number("value_kb", settings.store_limits.value_kb);
  state.integer("txn_ops", settings.store_limits.txn_ops);
  state.end();
  json::ObjectWriter cloud(writer, "cloud");
  cloud.number("rps", settings.cloud_limits.rps);
  cloud.number("list_lag_s", settings.cloud_limits.list_lag_s);
  cloud.end();
  json::ObjectWriter resources(writer, "resources");
  resources.number("cpu", settings.process_limits.cpu);
  resources.number("memory_mb", settings.process_limits.memory_mb);
  resources.integer("fd_limit", settings.process_limits.sockets);
  resources.end();
}

void write_fleet_settings(json::Writer& writer, const Settings& settings) {
  constexpr double kClockErrorMs = 5;
  json::ObjectWriter fleet(writer, "settings");
  fleet.integer("initial_size", settings.peers.size() + 1);
  fleet.list("zones", settings.zones, [&](const std::string& zone) { json::put(writer, zone); });
  fleet.list("teams", settings.teams, [&](const Team& team) { write_team(writer, team); });
  write_service_settings(writer, settings);
  fleet.number("clock_error_ms", kClockErrorMs);
  fleet.end();
}

}  // namespace

std::string controller_peer_address(int region, std::uint32_t controller) {
  return controller_address(region, controller, ":8081");
}

std::string relay_address(int from, int to, std::uint32_t controller) {
  return "127." + std::to_string(kFirstRelayNetwork + from) + "." + std::to_string(to) + "." +
         std::to_string(controller + 1) + ":8081";
}

std::string options_file_contents(const Plan& plan, int region) {
  if (plan.division() != SHARES) return {};
  std::ostringstream out;
  out << "federation {\n  region: \"" << plan.region(region).name() << "\"\n";
  for (int other = 0; other < plan.region_size(); ++other) {
    out << "  regions { name: \"" << plan.region(other).name() << '"';
    for (std::uint32_t controller = 0;
         other != region && controller < plan.region(other).controllers(); ++controller)
      out << " address: \"" << relay_address(region, other, controller) << '"';
    out << " }\n";
  }
  const double equal_share = plan.fleet().team_gpus_max() / plan.region_size();
  for (std::uint32_t team = 0; team < plan.fleet().teams(); ++team)
    for (int other = 1; other < plan.region_size(); ++other)
      out << "  share { team: \"" << team_name(team) << "\" region: \"" << plan.region(other).name()
          << "\" gpus: " << std::floor(equal_share) << " }\n";
  out << "  reserve_ratio: " << plan.reserve_ratio() << "\n}\n";
  return out.str();
}

std::string kv_store_address(int region) { return network_prefix(region) + "255.1:2379"; }
std::string cloud_address(int region) { return network_prefix(region) + "255.2:8443"; }
std::string worker_address_prefix(int region) { return network_prefix(region); }
std::string team_name(std::uint32_t team) { return "team-" + std::to_string(team); }

sim::Deployment make_deployment(const Plan& plan, int region) {
  const Region& region_plan = plan.region(region);
  sim::Deployment out;
  for (std::uint32_t controller = 0; controller < region_plan.controllers(); ++controller)
    out.controllers.push_back(controller_settings(plan, region, controller));
  out.types = {machine_type(plan, region_plan)};
  const auto zones = static_cast<std::uint32_t>(region_plan.zone_size());
  for (std::uint32_t zone = 0; zone < zones; ++zone) {
    const std::uint32_t remainder = zone < region_plan.workers() % zones ? 1 : 0;
    out.capacity[{region_plan.zone(static_cast<int>(zone)), false}] =
        region_plan.workers() / zones + remainder;
  }
  out.kv_rps = plan.fleet().state_rps();
  out.kv_write_rps = plan.fleet().state_write_rps();
  out.one_in_never_up = 0;
  out.worker_address_prefix = worker_address_prefix(region);
  return out;
}

std::string settings_file_contents(const Settings& settings) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  json::ObjectWriter file(writer);
  file.text("label", settings.name);
  file.text("area", settings.zone);
  file.text("listen", settings.listen);
  file.text("peer_listen", settings.peer_listen);
  file.list("siblings", settings.peers,
            [&](const PeerSettings& peer) { write_peer(writer, peer); });
  json::ObjectWriter external(writer, "external");
  external.text("cloud", settings.cloud_endpoint);
  external.text("state", settings.store_endpoint);
  external.end();
  write_fleet_settings(writer, settings);
  file.end();
  return json::text(buffer);
}

}  // namespace sailreel::scale
