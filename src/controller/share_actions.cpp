// The controller's part in moving quota shares between regions.
#include "controller/controller.hpp"

namespace sailreel {
namespace {
/// The share manager gets the teams' load this many times per heartbeat interval.
constexpr Time kLoadReportsPerHeartbeat = 10;
}  // namespace

void Controller::share_tick() {
  if (!quotas_.limits_span_regions() || clock_.now < next_load_report_) return;
  next_load_report_ = clock_.now + heartbeat_interval() / kLoadReportsPerHeartbeat;
  // Tasks that are not known to this leader may run and count against the share. Until they can be
  // ruled out, no share may be given to another region.
  const bool complete = !reconciling_ && !unknown_jobs_ && !unknown_machines_;
  perform_share_actions(quotas_.observe(clock_.now, complete, peers_.all_support_quota_shares()));
}

void Controller::handle_region_message(const RegionMessageReceived& input) {
  if (!holds_valid_lease(clock_.now)) return;
  perform_share_actions(quotas_.handle_message(clock_.now, input.message));
  if (input.message.kind != RegionMessage::Kind::Demand) return;
  next_load_report_ = clock_.now;
  share_tick();
}

void Controller::perform_share_actions(std::vector<federation::ShareAction> actions) {
  for (federation::ShareAction& action : actions) {
    if (auto* send = std::get_if<federation::SendToRegion>(&action))
      outbox_.send_to_region(send->region, std::move(send->message));
    else if (const auto* stop = std::get_if<federation::PreemptBeyondCap>(&action))
      preempt_beyond_cap(stop->team, stop->below);
    else if (const auto* event = std::get_if<federation::ShareEvent>(&action))
      outbox_.log_formatted(event->is_error ? Log::Level::Error : Log::Level::Info, event->text);
  }
  if (quotas_.take_cap_raised()) scheduling_needed_ = true;
}

// Preempts the team's tasks that have a lower priority than `below`, those of the lowest priority
// first, until the rest is within the team's cap.
void Controller::preempt_beyond_cap(const std::string& name, Priority below) {
  TeamQuota* team = tables_.team(name);
  if (team == nullptr) return;
  std::vector<TaskAttempt*> candidates;
  Resources remaining = team->used;
  for (auto& [machine_name, machine] : tables_.machines)
    for (TaskAttempt& attempt : machine->attempts) {
      if (attempt.team != team || !attempt.held || attempt.job == nullptr) continue;
      if (attempt.stop)
        remaining -= attempt.need;
      else if (attempt.job->spec().priority > below)
        candidates.push_back(&attempt);
    }
  std::sort(candidates.begin(), candidates.end(), preempted_before);
  for (TaskAttempt* attempt : candidates) {
    if (team->within_cap(remaining)) return;
    if (attempt->stop) continue;  // was stopped above, with another task of its gang
    outbox_.log(Log::Level::Info, LogEvent::PreemptedForQuota, {{"task", attempt->key}});
    remaining -= is_gang(*attempt->job) ? attempt->need.times(attempt->job->placed) : attempt->need;
    stop_with_gang(*attempt, grace_period_s(*attempt->job));
  }
}

}  // namespace sailreel
