// Controllers whose steps take simulated time: inputs queue up, timers fire late, and the actions
// of a step are carried out when its time is over.
#include <cmath>

#include "protocol/user_codec.hpp"
#include "sim/simulated_region.hpp"

namespace sailreel::sim {

void SimulatedRegion::slow_down(std::size_t node, double factor, Time for_ms) {
  nodes_[node].slowdown_factor = factor;
  nodes_[node].slow_until = now_ + for_ms;
}

void SimulatedRegion::take_next_input(std::size_t node) {
  ControllerHost& host = nodes_[node];
  if (host.inbox.empty()) return;
  host.busy = true;
  longest_input_wait_ = std::max(longest_input_wait_, now_ - host.inbox.front().since);
  Input input = std::move(host.inbox.front().input);
  host.inbox.pop_front();
  const std::uint64_t examined_before = examined_so_far(node);
  const auto actions = std::make_shared<std::vector<Action>>(step(node, std::move(input)));
  const Time done_at = now_ + step_time(node, examined_so_far(node) - examined_before);
  schedule(done_at, [this, node, actions, alive = still_alive(node)] {
    for (const Action& action : *actions)
      if (alive()) perform_action_unless_expired(node, action);
    if (!alive()) return;
    nodes_[node].busy = false;
    take_next_input(node);
  });
}

Time SimulatedRegion::step_time(std::size_t node, std::uint64_t examined) const {
  const ControllerHost& host = nodes_[node];
  const double factor = now_ < host.slow_until ? host.slowdown_factor : 1;
  const ProcessorCost& cost = plan_.processor;
  return std::llround(factor * (cost.step_ms + cost.examine_ms * static_cast<double>(examined)));
}

std::uint64_t SimulatedRegion::examined_so_far(std::size_t node) const {
  const Controller* controller = nodes_[node].controller->controller();
  return controller != nullptr ? controller->examined() : 0;
}

// Drops responses and commands whose leadership guarantee has expired, as the daemon does: a
// response is replaced by a 503, and a command fails.
void SimulatedRegion::perform_action_unless_expired(std::size_t node, const Action& action) {
  const auto expired = [&](Time valid_until) { return steady_clock(node) >= valid_until; };
  if (const auto* response = std::get_if<Response>(&action);
      response && expired(response->valid_until))
    return perform_action(node, Response{response->source, 503,
                                         encode_error("leadership may have ended"), 1, kNever});
  if (const auto* call = std::get_if<CallWorker>(&action); call && expired(call->valid_until))
    return feed(node, WorkerResponseReceived{call->call, 0, {}});
  perform_action(node, action);
}

}  // namespace sailreel::sim
