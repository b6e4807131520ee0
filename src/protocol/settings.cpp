#include "protocol/settings.hpp"

#include <algorithm>
#include <charconv>
#include <set>

#include "protocol/json.hpp"

namespace sailreel {
namespace {

[[noreturn]] void fail(const std::string& field, const std::string& reason) {
  throw SettingsError("settings: " + field + ": " + reason);
}

const json::Value& require_object(const json::Value& parent, const char* name,
                                  const std::string& path) {
  const json::Value* member = json::member(parent, name);
  if (member == nullptr || !member->IsObject()) fail(path, "missing or not an object");
  return *member;
}

const json::Value* find_list(const json::Value& parent, const char* name, const std::string& path) {
  const json::Value* member = json::member(parent, name);
  if (member != nullptr && !member->IsArray()) fail(path, "not a list");
  return member;
}

std::string require_text(const json::Value& parent, const char* name, const std::string& path) {
  std::string value;
  if (!parent.IsObject() || !json::get(parent, name, value) || value.empty())
    fail(path, "missing or not a non-empty string");
  return value;
}

double require_number(const json::Value& parent, const char* name, const std::string& path,
                      bool positive) {
  double value = 0;
  if (!parent.IsObject() || !json::get(parent, name, value))
    fail(path, "missing or not a non-negative number");
  if (positive && value <= 0) fail(path, "must be above 0");
  return value;
}

std::string require_endpoint(const json::Value& parent, const char* name, const std::string& path) {
  std::string value = require_text(parent, name, path);
  if (!parse_endpoint(value)) fail(path, "not an address of the form 10.0.0.1:8080");
  return value;
}

/// The path of a field in a list item, in the form that error messages use.
std::string item_path(const char* list, std::size_t index, const char* field) {
  return std::string(list) + "[" + std::to_string(index) + "]." + field;
}

}  // namespace

std::optional<Endpoint> parse_endpoint(std::string_view text) {
  constexpr int kMaxPort = 65535;
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return {};
  Endpoint endpoint;
  endpoint.host.assign(text.substr(0, colon));
  if (endpoint.host.find_first_not_of("0123456789.") != std::string::npos) return {};
  const auto digits = text.substr(colon + 1);
  const auto* end = digits.data() + digits.size();
  const auto [parsed_to, error] = std::from_chars(digits.data(), end, endpoint.port);
  if (error != std::errc() || parsed_to != end) return {};
  if (endpoint.port < 1 || endpoint.port > kMaxPort) return {};
  return endpoint;
}

namespace {

/// The smallest limits that `settings.state.next` may announce. A checkpoint commit needs at least
/// these, because it writes the manifest and a shard of a few records.
constexpr double kMinNextValueKb = 1;
constexpr std::uint64_t kMinNextOperations = 3;
/// The defaults of the gang scheduling times, as multiples of the workers' lease.
constexpr double kDefaultGangWaitLeases = 2;
constexpr double kDefaultGangPeerLeases = 0.25;

/// Lowers each limit of the key-value store to the one that `settings.state.next` announces, if it
/// announces one.
void apply_next_limits(const json::Value& state, Settings& settings) {
  const json::Value* next = json::member(state, "next");
  if (next == nullptr) return;
  const std::string path = "settings.state.next";
  if (!next->IsObject()) fail(path, "not an object");
  const auto lower_limit = [&](const char* name, double& limit) {
    if (json::member(*next, name) == nullptr) return;
    limit = std::min(limit, require_number(*next, name, path + "." + name, true));
  };
  lower_limit("rps", settings.store_limits.rps);
  lower_limit("write_rps", settings.store_limits.write_rps);
  lower_limit("value_kb", settings.store_limits.value_kb);
  if (settings.store_limits.value_kb < kMinNextValueKb)
    fail(path + ".value_kb", "must be at least 1");
  if (json::member(*next, "txn_ops") == nullptr) return;
  std::uint64_t operations = 0;
  if (!json::get(*next, "txn_ops", operations) || operations < kMinNextOperations)
    fail(path + ".txn_ops", "not a whole number of at least 3");
  settings.store_limits.txn_ops = std::min(settings.store_limits.txn_ops, operations);
}

double optional_duration(const json::Value& parent, const char* name, const std::string& path,
                         double fallback) {
  return json::member(parent, name) == nullptr ? fallback
                                               : require_number(parent, name, path, true);
}

std::vector<PeerSettings> parse_peers(const json::Value& file, const std::string& own_name) {
  std::vector<PeerSettings> peers;
  const json::Value* items = find_list(file, "siblings", "siblings");
  if (items == nullptr) return peers;
  std::set<std::string> names{own_name};
  for (rapidjson::SizeType i = 0; i < items->Size(); ++i) {
    const json::Value& item = (*items)[i];
    PeerSettings peer{require_text(item, "label", item_path("siblings", i, "label")),
                      require_text(item, "area", item_path("siblings", i, "area")),
                      require_endpoint(item, "endpoint", item_path("siblings", i, "endpoint"))};
    if (!names.insert(peer.name).second) fail(item_path("siblings", i, "label"), "used twice");
    peers.push_back(std::move(peer));
  }
  return peers;
}

std::vector<std::string> parse_zones(const json::Value& settings) {
  std::vector<std::string> zones;
  if (const json::Value* items = find_list(settings, "zones", "settings.zones"))
    for (const auto& zone : items->GetArray()) {
      if (!zone.IsString()) fail("settings.zones", "not a list of strings");
      zones.emplace_back(zone.GetString(), zone.GetStringLength());
    }
  if (zones.empty()) fail("settings.zones", "missing or empty");
  return zones;
}

std::vector<Team> parse_teams(const json::Value& settings) {
  std::vector<Team> teams;
  if (const json::Value* items = find_list(settings, "teams", "settings.teams")) {
    std::set<std::string> names;
    for (rapidjson::SizeType i = 0; i < items->Size(); ++i) {
      const json::Value& item = (*items)[i];
      const auto amount = [&](const char* field) {
        return require_number(item, field, item_path("settings.teams", i, field), false);
      };
      Team team{require_text(item, "name", item_path("settings.teams", i, "name")), amount("cpus"),
                amount("cpus_max"), amount("gpus"), amount("gpus_max")};
      if (!names.insert(team.name).second)
        fail(item_path("settings.teams", i, "name"), "used twice");
      teams.push_back(std::move(team));
    }
  }
  if (teams.empty()) fail("settings.teams", "missing or empty");
  return teams;
}

std::vector<ServiceLevelObjective> parse_objectives(const json::Value& settings) {
  std::vector<ServiceLevelObjective> objectives;
  const json::Value* items = find_list(settings, "objectives", "settings.objectives");
  if (items == nullptr) return objectives;
  for (rapidjson::SizeType i = 0; i < items->Size(); ++i) {
    const json::Value& item = (*items)[i];
    ServiceLevelObjective objective;
    objective.kind = require_text(item, "kind", item_path("settings.objectives", i, "kind"));
    json::get(item, "class", objective.job_class);
    json::get(item, "within_s", objective.within_s);
    json::get(item, "share", objective.share);
    objectives.push_back(std::move(objective));
  }
  return objectives;
}

void parse_worker_times(const json::Value& settings, Settings& out) {
  const auto& workers = require_object(settings, "workers", "settings.workers");
  auto& times = out.workers;
  times.heartbeat_interval_s =
      require_number(workers, "report_s", "settings.workers.report_s", true);
  times.lease_s = require_number(workers, "lease_s", "settings.workers.lease_s", true);
  times.cancel_s = require_number(workers, "cancel_s", "settings.workers.cancel_s", true);
  if (times.cancel_s <= times.lease_s)
    fail("settings.workers.cancel_s", "must be above settings.workers.lease_s");
  times.gang_wait_s = optional_duration(workers, "gang_wait_s", "settings.workers.gang_wait_s",
                                        kDefaultGangWaitLeases * times.lease_s);
  times.gang_peer_s = optional_duration(workers, "gang_peer_s", "settings.workers.gang_peer_s",
                                        kDefaultGangPeerLeases * times.lease_s);
}

void parse_store_limits(const json::Value& settings, Settings& out) {
  constexpr double kMinValueKb = 4;
  constexpr std::uint64_t kMinOperations = 4;
  const auto& state = require_object(settings, "state", "settings.state");
  out.store_limits.rps = require_number(state, "rps", "settings.state.rps", true);
  out.store_limits.write_rps = require_number(state, "write_rps", "settings.state.write_rps", true);
  out.store_limits.value_kb = require_number(state, "value_kb", "settings.state.value_kb", true);
  if (out.store_limits.value_kb < kMinValueKb)
    fail("settings.state.value_kb", "must be at least 4");
  if (!json::get(state, "txn_ops", out.store_limits.txn_ops) ||
      out.store_limits.txn_ops < kMinOperations)
    fail("settings.state.txn_ops", "missing or not a whole number of at least 4");
  apply_next_limits(state, out);
}

void parse_resource_limits(const json::Value& settings, Settings& out) {
  constexpr std::uint64_t kMinSockets = 32;
  const auto& resources = require_object(settings, "resources", "settings.resources");
  out.process_limits.cpu = require_number(resources, "cpu", "settings.resources.cpu", true);
  out.process_limits.memory_mb =
      require_number(resources, "memory_mb", "settings.resources.memory_mb", true);
  if (!json::get(resources, "fd_limit", out.process_limits.sockets) ||
      out.process_limits.sockets < kMinSockets)
    fail("settings.resources.fd_limit", "missing or not a whole number of at least 32");
}

}  // namespace

Settings parse_settings(std::string_view text) {
  json::Document file;
  if (!json::parse_object(text, file)) fail("(file)", "not a JSON object");
  Settings out;
  out.name = require_text(file, "label", "label");
  out.zone = require_text(file, "area", "area");
  out.listen = require_endpoint(file, "listen", "listen");
  out.peer_listen = require_endpoint(file, "peer_listen", "peer_listen");
  if (out.listen == out.peer_listen) fail("peer_listen", "same address as listen");
  out.peers = parse_peers(file, out.name);
  const auto& external = require_object(file, "external", "external");
  out.cloud_endpoint = require_endpoint(external, "cloud", "external.cloud");
  out.store_endpoint = require_endpoint(external, "state", "external.state");

  const auto& settings = require_object(file, "settings", "settings");
  out.zones = parse_zones(settings);
  out.teams = parse_teams(settings);
  out.objectives = parse_objectives(settings);
  parse_worker_times(settings, out);
  parse_store_limits(settings, out);
  const auto& cloud = require_object(settings, "cloud", "settings.cloud");
  out.cloud_limits.rps = require_number(cloud, "rps", "settings.cloud.rps", true);
  out.cloud_limits.list_lag_s =
      require_number(cloud, "list_lag_s", "settings.cloud.list_lag_s", false);
  parse_resource_limits(settings, out);
  return out;
}

void check_options(const Options& options) {
  const auto check_range = [](double value, double low, double high, const char* name) {
    if (!(value >= low && value <= high))
      throw SettingsError(std::string("options: ") + name + ": must be between " +
                          std::to_string(low) + " and " + std::to_string(high));
  };
  check_range(options.leader_lease_ratio, 0.05, 1.0, "leader_lease_ratio");
  check_range(options.headroom_ratio, 0.0, 1.0, "headroom_ratio");
  check_range(options.idle_ratio, 0.0, 100.0, "idle_ratio");
  check_range(options.state_share, 0.1, 1.0, "state_share");
  check_range(options.write_share, 0.1, 1.0, "write_share");
  check_range(options.federation.reserve_ratio, 0.0, 1.0, "federation.reserve_ratio");
}

std::vector<std::string> other_regions(const FederationOptions& options) {
  std::vector<std::string> out;
  for (const FederatedRegion& region : options.regions)
    if (region.name != options.region) out.push_back(region.name);
  return out;
}

namespace {

[[noreturn]] void fail_federation(const std::string& reason) {
  throw SettingsError("options: federation: " + reason);
}

void check_regions(const FederationOptions& options) {
  std::set<std::string> names;
  for (const FederatedRegion& region : options.regions) {
    if (region.name.empty()) fail_federation("a region without a name");
    if (!names.insert(region.name).second)
      fail_federation("region " + region.name + " stands twice");
    if (region.name != options.region && region.addresses.empty())
      fail_federation("region " + region.name + " has no address");
    for (const std::string& address : region.addresses)
      if (!parse_endpoint(address)) fail_federation("not an address: " + address);
  }
  if (!names.contains(options.region))
    fail_federation("this region, " + options.region + ", is not among the regions");
  for (const auto* list : {&options.shares, &options.adopted})
    for (const ShareOption& share : *list) {
      if (!share.region.empty() && !names.contains(share.region))
        fail_federation("unknown region " + share.region);
      if (!(share.cpus >= 0) || !(share.gpus >= 0))
        fail_federation("share of team " + share.team + " is negative");
    }
}

}  // namespace

void check_federation(const FederationOptions& options, const Settings& settings) {
  if (!options.enabled()) return;
  check_regions(options);
  for (const ShareOption& share : options.shares) {
    const auto is_same_team = [&](const Team& team) { return team.name == share.team; };
    const auto team = std::find_if(settings.teams.begin(), settings.teams.end(), is_same_team);
    if (team == settings.teams.end()) fail_federation("unknown team " + share.team);
    double cpus = 0, gpus = 0;
    for (const ShareOption& other : options.shares)
      if (other.team == share.team) {
        cpus += other.cpus;
        gpus += other.gpus;
      }
    constexpr double kTolerance = 1e-6;
    if (cpus > team->cpus_max + kTolerance || gpus > team->gpus_max + kTolerance)
      fail_federation("the shares of team " + share.team + " are above its limit");
  }
}

}  // namespace sailreel
