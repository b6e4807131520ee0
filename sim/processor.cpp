// Controllers whose steps take time: inputs queue up, timers fire late, and what a step decides
// leaves when its time is over.
#include <cmath>

#include "protocol/user_codec.hpp"
#include "sim/simulated_region.hpp"

namespace sailreel::sim {

void SimulatedRegion::slow_down(std::size_t node, double factor, Time for_ms) {
  nodes_[node].slowness = factor;
  nodes_[node].slow_until = now_ + for_ms;
}

void SimulatedRegion::take_next_input(std::size_t i) {
  Node& n = nodes_[i];
  if (n.inbox.empty()) return;
  n.busy = true;
  longest_input_wait_ = std::max(longest_input_wait_, now_ - n.inbox.front().since);
  Input input = std::move(n.inbox.front().input);
  n.inbox.pop_front();
  const std::uint64_t looks_before = looks_so_far(i);
  const auto actions = std::make_shared<std::vector<Action>>(step(i, std::move(input)));
  const Time done_at = now_ + step_time(i, looks_so_far(i) - looks_before);
  at(done_at, [this, i, actions, alive = still_alive(i)] {
    for (const Action& action : *actions)
      if (alive()) act_unless_late(i, action);
    if (!alive()) return;
    nodes_[i].busy = false;
    take_next_input(i);
  });
}

Time SimulatedRegion::step_time(std::size_t i, std::uint64_t looks) const {
  const Node& n = nodes_[i];
  const double factor = now_ < n.slow_until ? n.slowness : 1;
  const ProcessorCost& cost = plan_.processor;
  return std::llround(factor * (cost.step_ms + cost.look_ms * static_cast<double>(looks)));
}

std::uint64_t SimulatedRegion::looks_so_far(std::size_t i) const {
  const Controller* controller = nodes_[i].controller->controller();
  return controller != nullptr ? controller->examined() : 0;
}

// As the daemon does it: what may not be said or ordered any more isn't.
void SimulatedRegion::act_unless_late(std::size_t i, const Action& action) {
  const auto late = [&](Time valid_until) { return steady_clock(i) >= valid_until; };
  if (const auto* response = std::get_if<Response>(&action);
      response && late(response->valid_until))
    return act(
        i, Response{response->source, 503, encode_error("leadership may have ended"), 1, kNever});
  if (const auto* call = std::get_if<CallWorker>(&action); call && late(call->valid_until))
    return feed(i, WorkerResponseReceived{call->call, 0, {}});
  act(i, action);
}

}  // namespace sailreel::sim
