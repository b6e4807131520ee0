// Handles workers' heartbeats: decides which are accepted and which are rejected as outdated, and
// records what they say about their machine. Task statuses are handled in task_status_handler.cpp.
#include "controller/controller.hpp"
#include "protocol/user_codec.hpp"
#include "protocol/worker_codec.hpp"

namespace sailreel {

void Controller::handle_heartbeat(const HeartbeatReceived& in) {
  const Time now = clock_.now;
  const Heartbeat& r = in.heartbeat;
  if (in.source.kind == RequestSource::Kind::Local) last_worker_heartbeat_ = now;
  if (!election_.is_leader()) return forward_heartbeat(in);
  if (r.fencing_token > election_.epoch()) {
    election_.step_down(StepDownCause::HigherEpochAtWorker);
    return outbox_.respond(in.source, 421, encode_redirect({}));
  }
  if (!holds_valid_lease(now)) return handle_heartbeat_without_lease(in);
  if (redirect_to_own_zone(in)) return;
  if (terminated_.contains(r.machine))
    return outbox_.respond(in.source, 503, encode_error("machine was returned"));
  if (r.fencing_token < election_.epoch()) return handle_heartbeat_with_old_fencing_token(in);
  const HeartbeatOutcome outcome = apply_heartbeat(r, {});
  Machine* m = tables_.machine(r.machine);
  if (outcome == HeartbeatOutcome::IncarnationExpired) return reject_heartbeat(in, *m);
  if (outcome != HeartbeatOutcome::Taken)
    return outbox_.respond(in.source, 503, encode_error("late report"));
  m->last_own_heartbeat = now;
  heartbeat_sender_ = m;
  review_gangs();
  if (scheduling_needed_ && now >= next_scheduling_) schedule_all();
  heartbeat_sender_ = nullptr;
  m->answered = now;
  const auto commands = commands_for(*m, r.seq);
  outbox_.respond(in.source, 200, encode_heartbeat_response(election_.epoch(), commands), 0,
                  command_until());
}

// Keeps the worker's tasks alive for a bounded time while this controller can't tell whether it
// still leads.
void Controller::handle_heartbeat_without_lease(const HeartbeatReceived& in) {
  const Time now = clock_.now, until = election_.lease_expiry() + keep_alive_span();
  if (now >= until) return outbox_.respond(in.source, 503, encode_error("lease lapsed"));
  if (Machine* m = tables_.machine(in.heartbeat.machine)) {
    if (!m->incarnation_fence.admits(in.heartbeat.incarnation)) return reject_heartbeat(in, *m);
    m->answered = now;
    if (!is_late(*m, in.heartbeat)) m->last_heartbeat = now;
  }
  outbox_.respond(in.source, 200, encode_heartbeat_response(election_.epoch(), {}), 0, until);
}

// Handles a heartbeat under an older fencing token, which may be a delayed copy. The worker learns
// the current fencing token from the response; only heartbeats under the current one count.
void Controller::handle_heartbeat_with_old_fencing_token(const HeartbeatReceived& in) {
  const Time now = clock_.now;
  Machine* m = tables_.machine(in.heartbeat.machine);
  if (m != nullptr && m->recorded) {
    // If the heartbeats of a machine never show the current fencing token, either the machine
    // receives no responses or the heartbeats are delayed copies. Responses that the machine may
    // not receive must not count as renewals of its lease, so it gets none until the lease has
    // certainly expired. Otherwise reconciliation would wait for it as long as such heartbeats
    // arrive.
    if (m->fencing_token_refused_since == 0) m->fencing_token_refused_since = now;
    if (now >= expiry(*m)) {
      m->lease_passed = true;
      m->fencing_token_refused_since = now;
    } else if (now - m->fencing_token_refused_since > worker_lease() / 2) {
      return outbox_.respond(in.source, 503, encode_error("token not taken"));
    }
  }
  if (m != nullptr) m->answered = now;
  outbox_.respond(in.source, 200, encode_heartbeat_response(election_.epoch(), {}), 0,
                  command_until());
}

// Rejects a heartbeat of an incarnation that is proved to have ended. Without this check,
// heartbeats that the network has delayed would be taken for current, and tasks that were
// rescheduled would be adopted again in their former zone (docs/incidents/held-reports.md). If the
// proof is wrong, the worker's response to the inquiry that is sent here shows it.
void Controller::reject_heartbeat(const HeartbeatReceived& in, Machine& m) {
  const Heartbeat& r = in.heartbeat;
  outbox_.log(Log::Level::Info, LogEvent::HeartbeatRejected,
              {{"machine", m.name},
               {"zone", r.zone},
               {"incarnation", r.incarnation},
               {"seq", r.seq},
               {"tasks", r.tasks.size()},
               {"over_ms", clock_.now - m.incarnation_fence.closed_at()}});
  outbox_.respond(in.source, 503, encode_error("session is over"));
  if (!holds_valid_lease(clock_.now)) return;
  if (m.address.empty()) m.address = r.address;
  m.probe_incarnation = std::max(m.probe_incarnation, r.incarnation);
  inquire_if_due(m);
}

// True if the heartbeat shows tasks although its machine isn't known. Starts are sent only to
// recorded machines and reconciliation loads every record, so once reconciliation is over, an
// unknown machine can't have tasks. A machine that reports some was terminated earlier.
bool Controller::unknown_with_tasks(const Heartbeat& r) {
  return !reconciling_ && !r.tasks.empty() && tables_.machine(r.machine) == nullptr;
}

bool Controller::is_late(const Machine& m, const Heartbeat& r) {
  return m.heard_in_epoch && std::pair(r.incarnation, r.seq) <= std::pair(m.incarnation, m.seq);
}

Controller::HeartbeatOutcome Controller::apply_heartbeat(const Heartbeat& r,
                                                         std::optional<Time> asked) {
  if (unknown_with_tasks(r)) {
    outbox_.log(
        Log::Level::Info, LogEvent::HeartbeatOfUnknownMachine,
        {{"machine", r.machine}, {"incarnation", r.incarnation}, {"tasks", r.tasks.size()}});
    return HeartbeatOutcome::UnknownMachine;
  }
  Machine& m = tables_.add_machine(r.machine, clock_.now);
  if (is_late(m, r)) {
    outbox_.log(Log::Level::Debug, LogEvent::HeartbeatStale,
                {{"machine", m.name},
                 {"incarnation", r.incarnation},
                 {"seq", r.seq},
                 {"known_incarnation", m.incarnation},
                 {"known_seq", m.seq}});
    return HeartbeatOutcome::Late;
  }
  if (asked) m.incarnation_fence.answered(r.incarnation, *asked);
  if (!m.incarnation_fence.admits(r.incarnation)) return HeartbeatOutcome::IncarnationExpired;
  if (!m.heard_in_epoch)
    apply_first_heartbeat(m, r);
  else if (r.incarnation > m.incarnation)
    begin_incarnation(m);
  note_address(m, r.address);
  record_heartbeat(m, r);

  std::vector<bool> seen(m.attempts.size(), false);
  for (const TaskStatus& t : r.tasks) take_task(m, t, seen);
  for (std::size_t i = seen.size(); i-- > 0;)
    if (!seen[i]) handle_missing_task(m, i, r.seq, asked.has_value());
  // The check for faults follows the task statuses, because cordoning the machine changes its list
  // of attempts.
  if (!m.error_jobs.empty()) check_for_fault(m);
  if (r.notice_s && m.notice_until == 0) take_notice(m, *r.notice_s);
  if (m.empty() && m.idle_since == 0) m.idle_since = clock_.now;
  if (!m.empty()) m.idle_since = 0;
  return HeartbeatOutcome::Taken;
}

void Controller::apply_first_heartbeat(Machine& m, const Heartbeat& r) {
  m.last_own_heartbeat = clock_.now;
  m.zone = r.zone;
  m.type = r.type;
  m.spot = r.spot;
  m.idle_since = clock_.now;
  outbox_.log(Log::Level::Info, LogEvent::MachineUp,
              {{"machine", m.name},
               {"zone", m.zone},
               {"spot", m.spot ? 1 : 0},
               {"incarnation", r.incarnation},
               {"tasks", r.tasks.size()},
               {"after_ms", clock_.now - m.launched}});
  scheduling_needed_ = true;
}

// Begins a new incarnation of the machine, which means that its lease has expired. If its
// heartbeats arrived and were answered throughout, the machine doesn't receive our responses. It is
// quarantined for a while, because work assigned to it would only wait. Heartbeats that a partition
// delayed and released at its end don't show this: counting them once caused half a fleet to be
// quarantined.
void Controller::begin_incarnation(Machine& m) {
  const Time now = clock_.now;
  if (now - m.answered < worker_lease() / 2 && now - m.steady_since > worker_lease())
    quarantine(m, QuarantineCause::ReceivesNothing);
  incarnation_lost(m, IncarnationLossCause::NewIncarnation);
}

// Notes the machine's address, and has a machine that isn't in the checkpoint recorded there.
void Controller::note_address(Machine& m, const std::string& address) {
  if (m.address != address) {
    m.address = address;
    if (m.recorded) checkpoint_.mark_machine_changed(m.name);
  }
  if (m.recorded || m.record_dirty) return;
  m.record_dirty = true;
  checkpoint_.mark_machine_changed(m.name);
}

void Controller::record_heartbeat(Machine& m, const Heartbeat& r) {
  const Time now = clock_.now;
  tables_.size_machine(m);
  // A response to an inquiry renews no lease. If the incarnation is new to this controller, or its
  // lease has expired by this controller's calculation, the remaining time is unknown and a full
  // lease is assumed. Otherwise a recovered machine would be terminated at its first silence, as if
  // its old lease still counted. A full lease is assumed only once until the machine sends a
  // heartbeat itself, so that a machine whose heartbeats reach no controller is terminated
  // eventually.
  const bool lease_unknown = r.incarnation > m.incarnation || now >= expiry(m);
  if (!m.heard_in_epoch || (lease_unknown && m.last_own_heartbeat >= m.answered)) m.answered = now;
  if (!m.heard_in_epoch || now - m.last_heartbeat > silent_after()) m.steady_since = now;
  m.heard_in_epoch = true;
  m.fencing_token_refused_since = 0;
  m.lease_passed = false;
  m.incarnation = m.probe_incarnation = r.incarnation;
  m.seq = r.seq;
  m.last_heartbeat = now;
  // A machine that was silent accepts work again. Without a scheduling pass, waiting tasks would
  // wait until something else changed.
  if (m.silent) scheduling_needed_ = true;
  m.silent = false;
  zone_unreachable_at_.erase(m.zone);
  m.probe_failures = 0;
}

// Handles a notice that the cloud will preempt the machine: the machine is cordoned, and tasks that
// can save a checkpoint are stopped now so that they save one.
void Controller::take_notice(Machine& m, double notice_s) {
  m.notice_until = clock_.now + ms(notice_s);
  cordon(m, CordonCause::SpotNotice);
  for (TaskAttempt& p : m.attempts)
    if (p.held && p.job != nullptr && p.job->spec().checkpoint_s > 0)
      stop_with_gang(p, grace_for(*p.job));
}

}  // namespace sailreel
