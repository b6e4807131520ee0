#include "sim/fake_cloud.hpp"

#include <algorithm>
#include <cstdio>

namespace sailreel::sim {

std::string machine_name(std::size_t number) {
  char name[32];
  std::snprintf(name, sizeof name, "m-%06zu", number);
  return name;
}

CloudResponse FakeCloud::handle(const CloudRequest& request, Time now) {
  CloudResponse response;
  response.status = 200;
  if (outage) {
    response.status = 503;
    return response;
  }
  switch (request.kind) {
    case CloudRequest::Kind::Types:
      response.types = types;
      break;
    case CloudRequest::Kind::ScaleOut:
      scale_out(request, now, response);
      break;
    case CloudRequest::Kind::Terminate:
      for (const auto& name : request.names)
        if (machines.erase(name) > 0) on_terminated(name);
      break;
    case CloudRequest::Kind::List:
      response = list_page(request);
      break;
  }
  return response;
}

void FakeCloud::scale_out(const CloudRequest& request, Time now, CloudResponse& response) {
  const auto& wanted = request.scale_out;
  if (const auto earlier = names_by_request_.find(wanted.request_id);
      earlier != names_by_request_.end()) {
    response.names = earlier->second;
    return;
  }
  std::uint32_t used = 0;
  for (const auto& [name, machine] : machines)
    used += machine.zone == wanted.zone && machine.spot == wanted.spot ? 1 : 0;
  const std::uint32_t capacity_of_pool = capacity[{wanted.zone, wanted.spot}];
  if (used >= capacity_of_pool) {
    response.status = 503;
    response.no_capacity = true;
    return;
  }
  const std::uint32_t granted = std::min(wanted.count, capacity_of_pool - used);
  for (std::uint32_t i = 0; i < granted; ++i) launch(request, now, response);
  names_by_request_[wanted.request_id] = response.names;
}

void FakeCloud::tick(Time now, Time lag) {
  CloudResponse list;
  for (const auto& [name, machine] : machines) {
    ListedMachine listed;
    listed.name = name;
    listed.address = machine.address;
    listed.type = machine.type;
    listed.zone = machine.zone;
    listed.spot = machine.spot;
    listed.state = machine.up ? ListedMachine::State::Running : ListedMachine::State::Booting;
    listed.age_s = static_cast<double>(now - machine.launched_at) / 1000.0;
    list.machines.push_back(std::move(listed));
  }
  snapshots_.push_back({now, std::move(list)});
  const Time wanted_age = lag + static_cast<Time>(random_(static_cast<std::uint32_t>(lag)));
  while (snapshots_.size() > 1 && snapshots_.front().taken_at < now - wanted_age)
    snapshots_.pop_front();
}

// Pages are ordered by name, so that `after` may name a machine that no longer exists.
CloudResponse FakeCloud::list_page(const CloudRequest& request) const {
  CloudResponse page;
  page.status = 200;
  if (snapshots_.empty()) return page;
  for (const ListedMachine& listed : snapshots_.front().list.machines) {
    if (listed.name <= request.after) continue;
    page.has_more = page.machines.size() >= request.limit;
    if (page.has_more) break;
    page.machines.push_back(listed);
  }
  return page;
}

std::string FakeCloud::address_of(std::size_t number) const {
  if (address_prefix.empty()) return "10.1.0.1:" + std::to_string(1000 + number);
  constexpr std::size_t kHostsPerSubnet = 250;
  constexpr const char* kWorkerPort = ":9000";
  return address_prefix + std::to_string(number / kHostsPerSubnet) + "." +
         std::to_string(1 + number % kHostsPerSubnet) + kWorkerPort;
}

void FakeCloud::launch(const CloudRequest& request, Time now, CloudResponse& response) {
  CloudMachine machine;
  machine.name = machine_name(next_machine_number_++);
  machine.address = address_of(next_machine_number_);
  machine.type = request.scale_out.type;
  machine.zone = request.scale_out.zone;
  machine.spot = request.scale_out.spot;
  machine.launched_at = now;
  machine.never_boots = one_in_never_up > 0 && random_(one_in_never_up) == 0;
  const double boot_ms = 1000 * types.front().boot_s * (0.6 + random_(90) / 100.0);
  machine.boots_at = random_(12) == 0 ? now + 1000 : now + static_cast<Time>(boot_ms);
  machines[machine.name] = machine;
  response.names.emplace_back(machine.name);
  on_launched(machine);
}

}  // namespace sailreel::sim
