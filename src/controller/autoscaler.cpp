// Autoscaler: the regular run, and the on-demand capacity that scale-out and scale-in weigh.
#include <algorithm>

#include "controller/controller.hpp"

namespace sailreel {

void Controller::autoscale_tick() {
  poll_cloud();
  if (tables_.types.empty()) return;
  if (clock_.now >= next_autoscaling_) {
    next_autoscaling_ = clock_.now + std::max<Time>(200, heartbeat_interval() / 4);
    autoscale();
    scale_in_idle();
  }
  send_scale_outs();
  send_terminations();
}

// Returns the total size of the on-demand machines that accept work, and what work that requires
// on-demand machines uses on them. The room of tasks that may run on spot instances counts as free,
// since these tasks can be preempted.
Controller::OnDemandCapacity Controller::on_demand_capacity() const {
  OnDemandCapacity capacity;
  for (const auto& [name, machine] : tables_.machines) {
    if (!can_start_tasks(*machine) || machine->spot) continue;
    if (!machine->draining) capacity.size += machine->size;
    for (const TaskAttempt& attempt : machine->attempts)
      if (attempt.held && (attempt.job == nullptr || !attempt.job->spec().spot))
        capacity.used += attempt.need;
  }
  return capacity;
}

}  // namespace sailreel
