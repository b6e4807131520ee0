// Handles workers' heartbeats: decides which are accepted and which are rejected as outdated, and
// records what they say about their machine. Task statuses are handled in task_status_handler.cpp.
#include "controller/controller.hpp"
#include "protocol/user_codec.hpp"
#include "protocol/worker_codec.hpp"

namespace sailreel {

void Controller::handle_heartbeat(const HeartbeatReceived& input) {
  const Time now = clock_.now;
  const Heartbeat& heartbeat = input.heartbeat;
  if (input.source.kind == RequestSource::Kind::Local) last_worker_heartbeat_ = now;
  if (!election_.is_leader()) return forward_heartbeat(input);
  if (heartbeat.fencing_token > election_.epoch()) {
    election_.step_down(StepDownCause::HigherEpochAtWorker);
    return outbox_.respond(input.source, 421, encode_redirect({}));
  }
  if (!holds_valid_lease(now)) return handle_heartbeat_without_lease(input);
  if (redirect_to_own_zone(input)) return;
  if (terminated_.contains(heartbeat.machine))
    return outbox_.respond(input.source, 503, encode_error("machine was returned"));
  if (heartbeat.fencing_token < election_.epoch())
    return handle_heartbeat_with_old_fencing_token(input);
  const HeartbeatOutcome outcome = apply_heartbeat(heartbeat, {});
  Machine* machine = tables_.machine(heartbeat.machine);
  if (outcome == HeartbeatOutcome::IncarnationExpired) return reject_heartbeat(input, *machine);
  if (outcome != HeartbeatOutcome::Taken)
    return outbox_.respond(input.source, 503, encode_error("late report"));
  machine->last_own_heartbeat = now;
  heartbeat_sender_ = machine;
  review_gangs();
  if (scheduling_needed_ && now >= next_scheduling_) schedule_all();
  heartbeat_sender_ = nullptr;
  machine->last_response = now;
  const auto commands = commands_for(*machine, heartbeat.seq);
  outbox_.respond(input.source, 200, encode_heartbeat_response(election_.epoch(), commands), 0,
                  commands_valid_until());
}

// Keeps the worker's tasks alive for a bounded time while this controller can't tell whether it
// still leads.
void Controller::handle_heartbeat_without_lease(const HeartbeatReceived& input) {
  const Time now = clock_.now, until = election_.lease_expiry() + keep_alive_span();
  if (now >= until) return outbox_.respond(input.source, 503, encode_error("lease lapsed"));
  if (Machine* machine = tables_.machine(input.heartbeat.machine)) {
    if (!machine->incarnation_fence.admits(input.heartbeat.incarnation))
      return reject_heartbeat(input, *machine);
    machine->last_response = now;
    if (!is_late(*machine, input.heartbeat)) machine->last_heartbeat = now;
  }
  outbox_.respond(input.source, 200, encode_heartbeat_response(election_.epoch(), {}), 0, until);
}

// Handles a heartbeat under an older fencing token, which may be a delayed copy. The worker learns
// the current fencing token from the response; only heartbeats under the current one count.
void Controller::handle_heartbeat_with_old_fencing_token(const HeartbeatReceived& input) {
  const Time now = clock_.now;
  Machine* machine = tables_.machine(input.heartbeat.machine);
  if (machine != nullptr && machine->recorded) {
    // If the heartbeats of a machine never show the current fencing token, either the machine
    // receives no responses or the heartbeats are delayed copies. Responses that the machine may
    // not receive must not count as renewals of its lease, so it gets none until the lease has
    // certainly expired. Otherwise reconciliation would wait for it as long as such heartbeats
    // arrive.
    if (machine->fencing_token_refused_since == 0) machine->fencing_token_refused_since = now;
    if (now >= machine_lease_expiry(*machine)) {
      machine->lease_expired = true;
      machine->fencing_token_refused_since = now;
    } else if (now - machine->fencing_token_refused_since > worker_lease() / 2) {
      return outbox_.respond(input.source, 503, encode_error("token not taken"));
    }
  }
  if (machine != nullptr) machine->last_response = now;
  outbox_.respond(input.source, 200, encode_heartbeat_response(election_.epoch(), {}), 0,
                  commands_valid_until());
}

// Rejects a heartbeat of an incarnation that is proved to have ended. Without this check,
// heartbeats that the network has delayed would be taken for current, and tasks that were
// rescheduled would be adopted again in their former zone (docs/incidents/held-reports.md). If the
// proof is wrong, the worker's response to the probe that is sent here shows it.
void Controller::reject_heartbeat(const HeartbeatReceived& input, Machine& machine) {
  const Heartbeat& heartbeat = input.heartbeat;
  outbox_.log(Log::Level::Info, LogEvent::HeartbeatRejected,
              {{"machine", machine.name},
               {"zone", heartbeat.zone},
               {"incarnation", heartbeat.incarnation},
               {"seq", heartbeat.seq},
               {"tasks", heartbeat.tasks.size()},
               {"over_ms", clock_.now - machine.incarnation_fence.closed_at()}});
  outbox_.respond(input.source, 503, encode_error("session is over"));
  if (!holds_valid_lease(clock_.now)) return;
  if (machine.address.empty()) machine.address = heartbeat.address;
  machine.probe_incarnation = std::max(machine.probe_incarnation, heartbeat.incarnation);
  probe_if_due(machine);
}

// True if the heartbeat shows tasks although its machine isn't known. Starts are sent only to
// recorded machines and reconciliation loads every record, so once reconciliation is over, an
// unknown machine can't have tasks. A machine that reports some was terminated earlier.
bool Controller::unknown_with_tasks(const Heartbeat& heartbeat) {
  return !reconciling_ && !heartbeat.tasks.empty() && tables_.machine(heartbeat.machine) == nullptr;
}

bool Controller::is_late(const Machine& machine, const Heartbeat& heartbeat) {
  return machine.heard_in_epoch && std::pair(heartbeat.incarnation, heartbeat.seq) <=
                                       std::pair(machine.incarnation, machine.seq);
}

Controller::HeartbeatOutcome Controller::apply_heartbeat(const Heartbeat& heartbeat,
                                                         std::optional<Time> sent_at) {
  if (unknown_with_tasks(heartbeat)) {
    outbox_.log(Log::Level::Info, LogEvent::HeartbeatOfUnknownMachine,
                {{"machine", heartbeat.machine},
                 {"incarnation", heartbeat.incarnation},
                 {"tasks", heartbeat.tasks.size()}});
    return HeartbeatOutcome::UnknownMachine;
  }
  Machine& machine = tables_.add_machine(heartbeat.machine, clock_.now);
  if (is_late(machine, heartbeat)) {
    outbox_.log(Log::Level::Debug, LogEvent::HeartbeatStale,
                {{"machine", machine.name},
                 {"incarnation", heartbeat.incarnation},
                 {"seq", heartbeat.seq},
                 {"known_incarnation", machine.incarnation},
                 {"known_seq", machine.seq}});
    return HeartbeatOutcome::Late;
  }
  if (sent_at) machine.incarnation_fence.response_received(heartbeat.incarnation, *sent_at);
  if (!machine.incarnation_fence.admits(heartbeat.incarnation))
    return HeartbeatOutcome::IncarnationExpired;
  if (!machine.heard_in_epoch)
    apply_first_heartbeat(machine, heartbeat);
  else if (heartbeat.incarnation > machine.incarnation)
    begin_incarnation(machine);
  record_address(machine, heartbeat.address);
  record_heartbeat(machine, heartbeat);

  std::vector<bool> reported(machine.attempts.size(), false);
  for (const TaskStatus& status : heartbeat.tasks) apply_task_status(machine, status, reported);
  for (std::size_t i = reported.size(); i-- > 0;)
    if (!reported[i]) handle_missing_task(machine, i, heartbeat.seq, sent_at.has_value());
  // The check for faults follows the task statuses, because cordoning the machine changes its list
  // of attempts.
  if (!machine.error_jobs.empty()) check_for_fault(machine);
  // Starts are not sent while the machine is in quarantine.
  if (clock_.now < machine.quarantined_until && machine.has_unsent_starts())
    drop_unsent_on_machine(machine);
  if (heartbeat.reclaim_in_s && machine.notice_until == 0)
    handle_spot_notice(machine, *heartbeat.reclaim_in_s);
  if (machine.empty() && machine.idle_since == 0) machine.idle_since = clock_.now;
  if (!machine.empty()) machine.idle_since = 0;
  return HeartbeatOutcome::Taken;
}

void Controller::apply_first_heartbeat(Machine& machine, const Heartbeat& heartbeat) {
  machine.last_own_heartbeat = clock_.now;
  machine.zone = heartbeat.zone;
  machine.type = heartbeat.type;
  machine.spot = heartbeat.spot;
  machine.idle_since = clock_.now;
  outbox_.log(Log::Level::Info, LogEvent::MachineUp,
              {{"machine", machine.name},
               {"zone", machine.zone},
               {"spot", machine.spot ? 1 : 0},
               {"incarnation", heartbeat.incarnation},
               {"tasks", heartbeat.tasks.size()},
               {"after_ms", clock_.now - machine.launched}});
  scheduling_needed_ = true;
}

// Begins a new incarnation of the machine, which means that its lease has expired. If its
// heartbeats arrived and were answered throughout, the machine doesn't receive our responses. It is
// quarantined for a while, because work assigned to it would only wait. Heartbeats that a partition
// delayed and released at its end don't show this: counting them once caused half a fleet to be
// quarantined.
void Controller::begin_incarnation(Machine& machine) {
  const Time now = clock_.now;
  if (now - machine.last_response < worker_lease() / 2 &&
      now - machine.steady_since > worker_lease())
    quarantine(machine, QuarantineCause::ReceivesNothing);
  handle_incarnation_loss(machine, IncarnationLossCause::NewIncarnation);
}

// Records the machine's address, and adds a machine that isn't in the checkpoint to the next
// commit.
void Controller::record_address(Machine& machine, const std::string& address) {
  if (machine.address != address) {
    machine.address = address;
    if (machine.recorded) checkpoint_.mark_machine_changed(machine.name);
  }
  if (machine.recorded || machine.record_dirty) return;
  machine.record_dirty = true;
  checkpoint_.mark_machine_changed(machine.name);
}

void Controller::record_heartbeat(Machine& machine, const Heartbeat& heartbeat) {
  const Time now = clock_.now;
  tables_.set_size_from_type(machine);
  // A response to a probe renews no lease. If the incarnation is new to this controller, or its
  // lease has expired by this controller's calculation, the remaining time is unknown and a full
  // lease is assumed. Otherwise a recovered machine would be terminated at its first silence, as if
  // its old lease still counted. A full lease is assumed only once until the machine sends a
  // heartbeat itself, so that a machine whose heartbeats reach no controller is terminated
  // eventually.
  const bool lease_unknown =
      heartbeat.incarnation > machine.incarnation || now >= machine_lease_expiry(machine);
  if (!machine.heard_in_epoch ||
      (lease_unknown && machine.last_own_heartbeat >= machine.last_response))
    machine.last_response = now;
  if (!machine.heard_in_epoch || now - machine.last_heartbeat > silent_after())
    machine.steady_since = now;
  machine.heard_in_epoch = true;
  machine.fencing_token_refused_since = 0;
  machine.lease_expired = false;
  machine.incarnation = machine.probe_incarnation = heartbeat.incarnation;
  machine.seq = heartbeat.seq;
  machine.last_heartbeat = now;
  // A machine that was silent accepts work again. Without a scheduling pass, waiting tasks would
  // wait until something else changed.
  if (machine.silent) scheduling_needed_ = true;
  machine.silent = false;
  zone_unreachable_at_.erase(machine.zone);
  machine.probe_failures = 0;
}

// Handles a notice that the cloud will preempt the machine: the machine is cordoned, and tasks that
// can save a checkpoint are stopped now so that they save one.
void Controller::handle_spot_notice(Machine& machine, double notice_s) {
  machine.notice_until = clock_.now + ms(notice_s);
  cordon(machine, CordonCause::SpotNotice);
  for (TaskAttempt& attempt : machine.attempts)
    if (attempt.held && attempt.job != nullptr && attempt.job->spec().checkpoint_s > 0)
      stop_with_gang(attempt, grace_period_s(*attempt.job));
}

}  // namespace sailreel
