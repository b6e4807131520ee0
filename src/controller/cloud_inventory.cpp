// Reads the machine types that the cloud offers and its list of machines.
#include <algorithm>
#include <utility>

#include "controller/capacity_check.hpp"
#include "controller/controller.hpp"

namespace sailreel {
namespace {
/// Minimum interval in ms at which the reading of the cloud's machine list begins.
constexpr Time kMinListIntervalMs = 1'000;
/// Logged as the number of machines needed if no machine type can hold the guaranteed quotas.
constexpr double kMaxLoggedMachines = 1e9;
}  // namespace

void Controller::poll_cloud() {
  const Time now = clock_.now;
  const std::uint64_t term = election_.term();
  if (now >= next_types_) {
    CloudRequest call;
    call.kind = CloudRequest::Kind::Types;
    if (outbox_.call_cloud(
            call,
            [this, term](const CloudResponse& reply) {
              if (term != election_.term()) return;
              if (reply.status == 200)
                handle_types(reply);
              else
                next_types_ = clock_.now + 1000;
            },
            tables_.types.empty() ? CloudBudget::Full : CloudBudget::KeepReserve))
      next_types_ = now + 6 * worker_lease();
  }
  // A list of which some pages have been read is read to its end.
  if ((now >= next_list_ || !list_cursor_.empty()) && !list_call_in_flight_) request_machine_list();
}

// Requests the next page of the machine list. If the rate limit doesn't allow that now, the same
// page is requested later: restarting the list instead would never reach the end of a list that has
// more pages than the rate limit's burst.
void Controller::request_machine_list() {
  const std::uint64_t term = election_.term();
  CloudRequest call;
  call.kind = CloudRequest::Kind::List;
  call.after = list_cursor_;
  list_call_in_flight_ = outbox_.call_cloud(
      call,
      [this, term](const CloudResponse& reply) {
        if (term == election_.term()) handle_machine_list(reply);
      },
      CloudBudget::KeepReserve);
  if (list_call_in_flight_ && list_cursor_.empty())
    next_list_ =
        clock_.now + std::max<Time>(ms(settings_.cloud_limits.list_lag_s / 2), kMinListIntervalMs);
}

void Controller::handle_types(const CloudResponse& reply) {
  tables_.types = reply.types;
  for (auto& [name, machine] : tables_.machines) tables_.set_size_from_type(*machine);
  scheduling_needed_ = true;
  check_capacity();
}

// Logs a warning, once per leader, if the guaranteed quotas need more machines than the settings'
// limits support.
void Controller::check_capacity() {
  if (std::exchange(capacity_checked_, true) || tables_.types.empty()) return;
  double boot_s = 0;
  for (const MachineType& type : tables_.types) boot_s = std::max(boot_s, type.boot_s);
  const CapacityLimit limit = tightest_limit(settings_, options_, boot_s);
  const double described = machines_for_guaranteed_quotas(settings_, tables_.types);
  if (described <= limit.machines) return;
  outbox_.log(Log::Level::Warning, LogEvent::CapacityLimit,
              {{"limit", limit.name},
               {"machines", static_cast<std::uint64_t>(limit.machines)},
               {"described", static_cast<std::uint64_t>(std::min(described, kMaxLoggedMachines))}});
}

void Controller::handle_machine_list(const CloudResponse& reply) {
  const Time now = clock_.now;
  list_call_in_flight_ = false;
  list_cursor_.clear();
  if (reply.status != 200) return;
  for (const ListedMachine& listed : reply.machines) {
    // The list lags behind: a terminated machine remains listed for a while.
    if (terminated_.contains(listed.name)) continue;
    Machine* known = tables_.machine(listed.name);
    if (known == nullptr && listed.state == ListedMachine::State::Failed) {
      termination_queue_.insert(listed.name);
      continue;
    }
    Machine& machine = tables_.add_machine(listed.name, now);
    if (known == nullptr)
      outbox_.log(Log::Level::Info, LogEvent::MachineFound,
                  {{"machine", listed.name}, {"zone", listed.zone}});
    if (!machine.heard_in_epoch) {
      machine.type = listed.type;
      machine.zone = listed.zone;
      machine.spot = listed.spot;
      machine.launched = std::min(machine.launched, now - ms(listed.age_s));
      tables_.set_size_from_type(machine);
    }
    if (machine.address.empty() && !listed.address.empty()) machine.address = listed.address;
    machine.listed_running = listed.state == ListedMachine::State::Running;
    // A failed machine has stopped by itself; terminating it removes it from the list.
    if (listed.state == ListedMachine::State::Failed && !machine.terminating)
      terminate_instance(machine, TerminationCause::LaunchFailed);
  }
  if (reply.has_more && !reply.machines.empty()) {
    list_cursor_ = reply.machines.back().name;
    return request_machine_list();
  }
  for (auto it = terminated_.begin(); it != terminated_.end();)
    it = now - it->second > 20 * worker_lease() + ms(4 * settings_.cloud_limits.list_lag_s)
             ? terminated_.erase(it)
             : std::next(it);
}

}  // namespace sailreel
