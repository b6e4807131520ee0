#include "scale/plan.hpp"

#include <google/protobuf/text_format.h>

#include <fstream>
#include <set>
#include <sstream>

#include "app/text_format_errors.hpp"

namespace sailreel::scale {
namespace {

/// Each region has its own network, from 127.10.0.0/16 up. The relay's networks start at
/// 127.110.0.0/16, so with more than 100 regions they would overlap.
constexpr int kMaxRegions = 100;
constexpr std::uint32_t kMaxControllers = 200;
constexpr std::uint32_t kMaxSeconds = 3'600;

[[noreturn]] void fail(const std::string& message) { throw PlanError("plan: " + message); }

void require(bool condition, const std::string& message) {
  if (!condition) fail(message);
}

void check_regions(const Plan& plan) {
  require(plan.region_size() > 0, "no region is defined");
  require(plan.region_size() <= kMaxRegions, "more than 100 regions");
  std::set<std::string> names, zones;
  for (const Region& region : plan.region()) {
    require(names.insert(region.name()).second, "region " + region.name() + " stands twice");
    require(region.zone_size() > 0, "region " + region.name() + " has no zone");
    for (const std::string& zone : region.zone())
      require(zones.insert(zone).second, "zone " + zone + " stands twice");
    require(region.controllers() > 0, "region " + region.name() + " has no controller");
    require(region.workers() > 0, "region " + region.name() + " has no worker");
  }
  require(total_controllers(plan) <= kMaxControllers, "more than 200 controllers");
}

void check_fault(const Plan& plan, const Fault& fault) {
  for (const Region& region : plan.region()) {
    if (region.name() != fault.region()) continue;
    require(fault.controller() < region.controllers(),
            "fault: region " + region.name() + " has no such controller");
    if (fault.kind() != Fault::ZONE_WORKERS_GONE) return;
    const auto& zones = region.zone();
    require(std::find(zones.begin(), zones.end(), fault.zone()) != zones.end(),
            "fault: region " + region.name() + " has no zone " + fault.zone());
    return;
  }
  fail("fault: unknown region " + fault.region());
}

void check_values(const Plan& plan) {
  require(plan.seconds() > 0 && plan.seconds() <= kMaxSeconds, "seconds: must be 1 to 3600");
  const Fleet& fleet = plan.fleet();
  require(fleet.report_s() > 0, "fleet.report_s: must be above 0");
  require(fleet.lease_s() > 2 * fleet.report_s(),
          "fleet.lease_s: must be above twice fleet.report_s");
  require(fleet.boot_s() > 0, "fleet.boot_s: must be above 0");
  require(fleet.teams() > 0, "fleet.teams: must be above 0");
  require(fleet.state_rps() > 0 && fleet.state_write_rps() > 0 && fleet.cloud_rps() > 0,
          "fleet: state_rps, state_write_rps and cloud_rps must be above 0");
  const Load& load = plan.load();
  require(load.tasks_per_service() > 0 && load.tasks_per_array() > 0,
          "load: tasks_per_service and tasks_per_array must be above 0");
  require(load.array_task_s() > 0, "load.array_task_s: must be above 0");
  require(load.skew() >= 0 && load.skew() <= 1, "load.skew: must lie between 0 and 1");
}

}  // namespace

std::uint32_t total_workers(const Plan& plan) {
  std::uint32_t sum = 0;
  for (const Region& region : plan.region()) sum += region.workers();
  return sum;
}

std::uint32_t total_controllers(const Plan& plan) {
  std::uint32_t sum = 0;
  for (const Region& region : plan.region()) sum += region.controllers();
  return sum;
}

Plan load_plan(const std::string& path) {
  std::ifstream file(path);
  if (!file) fail("cannot read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  FirstErrorCollector errors;
  google::protobuf::TextFormat::Parser parser;
  parser.RecordErrorsTo(&errors);
  Plan plan;
  if (!parser.ParseFromString(text.str(), &plan)) fail(errors.message);
  check_regions(plan);
  check_values(plan);
  for (const Fault& fault : plan.fault()) check_fault(plan, fault);
  return plan;
}

}  // namespace sailreel::scale
