// Requests to the cloud to launch and to terminate instances. A scale-out request is committed to
// the checkpoint before it is sent.
#include <algorithm>
#include <utility>

#include "controller/controller.hpp"

namespace sailreel {
namespace {
/// Machines that one scale-out request asks for, at most.
constexpr std::uint32_t kMaxMachinesPerScaleOut = 50;
/// Machines that one terminate request names, at most.
constexpr std::size_t kMaxMachinesPerTermination = 100;
/// After the cloud had no capacity for a kind of machine in a zone, none is requested there for the
/// lag of the cloud's machine list, and for at least this many ms.
constexpr Time kMinNoCapacityDelayMs = 2'000;
/// Delay in ms after which a scale-out request without a final response is sent again.
constexpr Time kScaleOutRetryDelayMs = 1'000;
}  // namespace

// Records scale-out requests. Each is sent to the cloud once its record is committed to the
// checkpoint.
void Controller::scale_out(const MachineKind& kind, const std::string& zone, std::uint32_t count) {
  while (count > 0) {
    const std::uint32_t batch = std::min(count, kMaxMachinesPerScaleOut);
    count -= batch;
    PendingScaleOut scale_out;
    // The epoch makes the name unique to this leader: no other controller ever uses the same name.
    const std::string name =
        "r-" + std::to_string(election_.epoch()) + "-" + std::to_string(next_scale_out_++);
    scale_out.request = {name, kind.type, zone, kind.spot, batch};
    scale_out.decided_at = clock_.now;
    // If the checkpoint has no room for another pending request, a later run of the autoscaler
    // requests the remaining machines, once the cloud has answered some of the pending requests.
    if (!checkpoint_.scale_out_fits(scale_out.request)) return;
    outbox_.log(Log::Level::Info, LogEvent::ScaleOut,
                {{"request", name},
                 {"type", kind.type},
                 {"zone", zone},
                 {"spot", kind.spot ? 1 : 0},
                 {"count", batch}});
    pending_scale_outs_[name] = std::move(scale_out);
    scale_out_summary_.requested += batch;
    checkpoint_.mark_scale_outs_changed();
  }
}

void Controller::send_scale_outs() {
  const std::uint64_t term = election_.term();
  for (auto& [name, scale_out] : pending_scale_outs_) {
    if (!scale_out.committed || scale_out.call_in_flight || clock_.now < scale_out.retry_at)
      continue;
    CloudRequest call;
    call.kind = CloudRequest::Kind::ScaleOut;
    call.scale_out = scale_out.request;
    scale_out.call_in_flight = outbox_.call_cloud(
        call,
        [this, term, name = name](const CloudResponse& reply) {
          if (term == election_.term()) handle_scale_out_response(name, reply);
        },
        CloudBudget::Full);
    if (!scale_out.call_in_flight) return;
  }
}

void Controller::handle_scale_out_response(const std::string& name, const CloudResponse& reply) {
  const auto it = pending_scale_outs_.find(name);
  if (it == pending_scale_outs_.end()) return;
  PendingScaleOut& pending = it->second;
  pending.call_in_flight = false;
  const ScaleOutRequest& request = pending.request;
  if (reply.status == 200) add_launched(request, reply.names);
  const bool partial = reply.status == 200 && reply.names.size() < request.count;
  if (reply.no_capacity || partial) {
    outbox_.log(Log::Level::Info, LogEvent::NoCapacity,
                {{"request", name}, {"got", reply.names.size()}, {"of", request.count}});
    no_capacity_until_[{{request.type, request.spot}, request.zone}] =
        clock_.now + std::max<Time>(ms(settings_.cloud_limits.list_lag_s), kMinNoCapacityDelayMs);
  }
  if (reply.status == 200 || reply.status == 400 || reply.no_capacity) {
    pending_scale_outs_.erase(it);
    checkpoint_.mark_scale_outs_changed();
  } else {
    // The cloud may have carried out the request, so the same one is sent again under its name.
    pending.retry_at = clock_.now + kScaleOutRetryDelayMs;
  }
}

void Controller::add_launched(const ScaleOutRequest& request,
                              const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    if (terminated_.contains(name)) continue;
    Machine& machine = tables_.add_machine(name, clock_.now);
    if (machine.heard_in_epoch) continue;
    machine.type = request.type;
    machine.zone = request.zone;
    machine.spot = request.spot;
    tables_.set_size_from_type(machine);
  }
}

void Controller::terminate_instance(Machine& machine, TerminationCause cause) {
  if (machine.terminating) return;
  machine.terminating = machine.cordoned = true;
  termination_queue_.insert(machine.name);
  outbox_.log(Log::Level::Info, LogEvent::MachineTerminating,
              {{"machine", machine.name}, {"cause", cause}});
}

void Controller::send_terminations() {
  if (terminate_call_in_flight_ || termination_queue_.empty()) return;
  CloudRequest call;
  call.kind = CloudRequest::Kind::Terminate;
  for (const std::string& name : termination_queue_) {
    if (call.names.size() >= kMaxMachinesPerTermination) break;
    call.names.push_back(name);
  }
  const std::uint64_t term = election_.term();
  const auto names = call.names;
  terminate_call_in_flight_ = outbox_.call_cloud(
      std::move(call),
      [this, term, names](const CloudResponse& reply) {
        if (term != election_.term()) return;
        terminate_call_in_flight_ = false;
        if (reply.status != 200) return;
        for (const std::string& name : names) {
          termination_queue_.erase(name);
          terminated_[name] = clock_.now;
          // The cloud has confirmed the termination. This proves that none of the machine's tasks
          // runs any more.
          if (Machine* machine = tables_.machine(name))
            handle_machine_gone(*machine, IncarnationLossCause::Terminated);
        }
      },
      CloudBudget::Full);
}

}  // namespace sailreel
