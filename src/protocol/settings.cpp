#include "protocol/settings.hpp"

#include <algorithm>
#include <charconv>
#include <set>

#include "protocol/json.hpp"

namespace sailreel {
namespace {

[[noreturn]] void fail(const std::string& field, const std::string& what) {
  throw SettingsError("settings: " + field + ": " + what);
}

const json::Value& object(const json::Value& v, const char* name, const std::string& path) {
  const json::Value* m = json::member(v, name);
  if (m == nullptr || !m->IsObject()) fail(path, "missing or not an object");
  return *m;
}

const json::Value* list(const json::Value& v, const char* name, const std::string& path) {
  const json::Value* m = json::member(v, name);
  if (m != nullptr && !m->IsArray()) fail(path, "not a list");
  return m;
}

std::string text(const json::Value& v, const char* name, const std::string& path) {
  std::string s;
  if (!v.IsObject() || !json::get(v, name, s) || s.empty())
    fail(path, "missing or not a non-empty string");
  return s;
}

double number(const json::Value& v, const char* name, const std::string& path, bool positive) {
  double d = 0;
  if (!v.IsObject() || !json::get(v, name, d)) fail(path, "missing or not a non-negative number");
  if (positive && d <= 0) fail(path, "must be above 0");
  return d;
}

std::string endpoint(const json::Value& v, const char* name, const std::string& path) {
  std::string s = text(v, name, path);
  if (!parse_endpoint(s)) fail(path, "not an address of the form 10.0.0.1:8080");
  return s;
}

std::string at(const char* base, std::size_t i, const char* field) {
  return std::string(base) + "[" + std::to_string(i) + "]." + field;
}

}  // namespace

std::optional<Endpoint> parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return {};
  Endpoint e;
  e.host.assign(text.substr(0, colon));
  if (e.host.find_first_not_of("0123456789.") != std::string::npos) return {};
  const auto digits = text.substr(colon + 1);
  const auto* end = digits.data() + digits.size();
  const auto [p, ec] = std::from_chars(digits.data(), end, e.port);
  if (ec != std::errc() || p != end || e.port < 1 || e.port > 65535) return {};
  return e;
}

namespace {

/// The least that a checkpoint can be kept in: a head and one shard a round, with a few records.
constexpr double kLeastNextValueKb = 1;
constexpr std::uint64_t kLeastNextOperations = 3;
/// Without the fields that time gangs, these shares of the workers' lease stand for them.
constexpr double kDefaultGangWaitLeases = 2;
constexpr double kDefaultGangPeerLeases = 0.25;

// Lowers the limits to those that the state service will have later, as far as they are given.
void lower_to_next_limits(const json::Value& state, Settings& settings) {
  const json::Value* next = json::member(state, "next");
  if (next == nullptr) return;
  const std::string path = "settings.state.next";
  if (!next->IsObject()) fail(path, "not an object");
  const auto lower = [&](const char* name, double& limit) {
    if (json::member(*next, name) == nullptr) return;
    limit = std::min(limit, number(*next, name, path + "." + name, true));
  };
  lower("rps", settings.store.rps);
  lower("write_rps", settings.store.write_rps);
  lower("value_kb", settings.store.value_kb);
  if (settings.store.value_kb < kLeastNextValueKb) fail(path + ".value_kb", "must be at least 1");
  if (json::member(*next, "txn_ops") == nullptr) return;
  std::uint64_t operations = 0;
  if (!json::get(*next, "txn_ops", operations) || operations < kLeastNextOperations)
    fail(path + ".txn_ops", "not a whole number of at least 3");
  settings.store.txn_ops = std::min(settings.store.txn_ops, operations);
}

double optional_span(const json::Value& v, const char* name, const std::string& path,
                     double fallback) {
  return json::member(v, name) == nullptr ? fallback : number(v, name, path, true);
}

}  // namespace

Settings parse_settings(std::string_view input) {
  json::Document doc;
  if (!json::parse_object(input, doc)) fail("(file)", "not a JSON object");
  Settings s;
  s.name = text(doc, "label", "label");
  s.zone = text(doc, "area", "area");
  s.listen = endpoint(doc, "listen", "listen");
  s.peer_listen = endpoint(doc, "peer_listen", "peer_listen");
  if (s.listen == s.peer_listen) fail("peer_listen", "same address as listen");
  std::set<std::string> names{s.name};
  if (const json::Value* l = list(doc, "siblings", "siblings"))
    for (rapidjson::SizeType i = 0; i < l->Size(); ++i) {
      const auto& v = (*l)[i];
      PeerSettings p{text(v, "label", at("siblings", i, "label")),
                     text(v, "area", at("siblings", i, "area")),
                     endpoint(v, "endpoint", at("siblings", i, "endpoint"))};
      if (!names.insert(p.name).second) fail(at("siblings", i, "label"), "used twice");
      s.peers.push_back(std::move(p));
    }
  const auto& external = object(doc, "external", "external");
  s.cloud = endpoint(external, "cloud", "external.cloud");
  s.state = endpoint(external, "state", "external.state");

  const auto& p = object(doc, "settings", "settings");
  if (const json::Value* l = list(p, "zones", "settings.zones"))
    for (const auto& z : l->GetArray()) {
      if (!z.IsString()) fail("settings.zones", "not a list of strings");
      s.zones.emplace_back(z.GetString(), z.GetStringLength());
    }
  if (s.zones.empty()) fail("settings.zones", "missing or empty");
  if (const json::Value* l = list(p, "teams", "settings.teams")) {
    std::set<std::string> teams;
    for (rapidjson::SizeType i = 0; i < l->Size(); ++i) {
      const auto& v = (*l)[i];
      const auto num = [&](const char* f) {
        return number(v, f, at("settings.teams", i, f), false);
      };
      Team t{text(v, "name", at("settings.teams", i, "name")), num("cpus"), num("cpus_max"),
             num("gpus"), num("gpus_max")};
      if (!teams.insert(t.name).second) fail(at("settings.teams", i, "name"), "used twice");
      s.teams.push_back(std::move(t));
    }
  }
  if (s.teams.empty()) fail("settings.teams", "missing or empty");
  if (const json::Value* l = list(p, "objectives", "settings.objectives"))
    for (rapidjson::SizeType i = 0; i < l->Size(); ++i) {
      const auto& v = (*l)[i];
      ServiceLevelObjective o;
      o.kind = text(v, "kind", at("settings.objectives", i, "kind"));
      json::get(v, "class", o.job_class);
      json::get(v, "within_s", o.within_s);
      json::get(v, "share", o.share);
      s.objectives.push_back(std::move(o));
    }
  const auto& w = object(p, "workers", "settings.workers");
  s.workers.heartbeat_interval_s = number(w, "report_s", "settings.workers.report_s", true);
  s.workers.lease_s = number(w, "lease_s", "settings.workers.lease_s", true);
  s.workers.cancel_s = number(w, "cancel_s", "settings.workers.cancel_s", true);
  if (s.workers.cancel_s <= s.workers.lease_s)
    fail("settings.workers.cancel_s", "must be above settings.workers.lease_s");
  s.workers.gang_wait_s = optional_span(w, "gang_wait_s", "settings.workers.gang_wait_s",
                                        kDefaultGangWaitLeases * s.workers.lease_s);
  s.workers.gang_peer_s = optional_span(w, "gang_peer_s", "settings.workers.gang_peer_s",
                                        kDefaultGangPeerLeases * s.workers.lease_s);
  const auto& st = object(p, "state", "settings.state");
  s.store.rps = number(st, "rps", "settings.state.rps", true);
  s.store.write_rps = number(st, "write_rps", "settings.state.write_rps", true);
  s.store.value_kb = number(st, "value_kb", "settings.state.value_kb", true);
  if (s.store.value_kb < 4) fail("settings.state.value_kb", "must be at least 4");
  if (!json::get(st, "txn_ops", s.store.txn_ops) || s.store.txn_ops < 4)
    fail("settings.state.txn_ops", "missing or not a whole number of at least 4");
  lower_to_next_limits(st, s);
  const auto& c = object(p, "cloud", "settings.cloud");
  s.cloud_limits.rps = number(c, "rps", "settings.cloud.rps", true);
  s.cloud_limits.list_lag_s = number(c, "list_lag_s", "settings.cloud.list_lag_s", false);
  const auto& r = object(p, "resources", "settings.resources");
  s.limits.cpu = number(r, "cpu", "settings.resources.cpu", true);
  s.limits.memory_mb = number(r, "memory_mb", "settings.resources.memory_mb", true);
  if (!json::get(r, "fd_limit", s.limits.sockets) || s.limits.sockets < 32)
    fail("settings.resources.fd_limit", "missing or not a whole number of at least 32");
  return s;
}

void check_options(const Options& o) {
  const auto range = [](double v, double low, double high, const char* name) {
    if (!(v >= low && v <= high))
      throw SettingsError(std::string("options: ") + name + ": must lie between " +
                          std::to_string(low) + " and " + std::to_string(high));
  };
  range(o.leader_lease_ratio, 0.05, 1.0, "leader_lease_ratio");
  range(o.headroom_ratio, 0.0, 1.0, "headroom_ratio");
  range(o.idle_ratio, 0.0, 100.0, "idle_ratio");
  range(o.state_share, 0.1, 1.0, "state_share");
  range(o.write_share, 0.1, 1.0, "write_share");
  range(o.federation.reserve_ratio, 0.0, 1.0, "federation.reserve_ratio");
}

std::vector<std::string> other_regions(const FederationOptions& options) {
  std::vector<std::string> out;
  for (const FederatedRegion& region : options.regions)
    if (region.name != options.region) out.push_back(region.name);
  return out;
}

namespace {

[[noreturn]] void fail_federation(const std::string& what) {
  throw SettingsError("options: federation: " + what);
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
    const auto same = [&](const Team& team) { return team.name == share.team; };
    const auto team = std::find_if(settings.teams.begin(), settings.teams.end(), same);
    if (team == settings.teams.end()) fail_federation("unknown team " + share.team);
    double cpus = 0, gpus = 0;
    for (const ShareOption& other : options.shares)
      if (other.team == share.team) {
        cpus += other.cpus;
        gpus += other.gpus;
      }
    constexpr double kSlack = 1e-6;
    if (cpus > team->cpus_max + kSlack || gpus > team->gpus_max + kSlack)
      fail_federation("the shares of team " + share.team + " are above its limit");
  }
}

}  // namespace sailreel
