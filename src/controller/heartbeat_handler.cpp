// Handles workers' heartbeats: which are accepted, which are rejected as outdated, and what they
// say about their machine. Task statuses are in task_status_handler.cpp.
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

// The worker's tasks stay alive for a bounded time while this controller can't tell whether it
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

// May be a delayed copy. The worker learns our fencing token from the response; only heartbeats
// under that token count.
void Controller::handle_heartbeat_with_old_fencing_token(const HeartbeatReceived& in) {
  const Time now = clock_.now;
  Machine* m = tables_.machine(in.heartbeat.machine);
  if (m != nullptr && m->recorded) {
    // A machine that sends heartbeats but never adopts our fencing token either receives no
    // responses, or the heartbeats are copies. Its lease can't be derived from responses that it
    // may not receive, so it gets none until the lease has certainly expired. Otherwise
    // reconciliation would wait for it as long as it sends heartbeats.
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

// A heartbeat of an incarnation that is proved to have ended. When the network delayed such
// heartbeats, they were taken for current: tasks that had been rescheduled were adopted again in
// their former zone (incident held-reports). If the proof was wrong, the response to an inquiry
// that is sent now shows it.
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

// Starts are sent only to recorded machines, and reconciliation loads every record: once it is
// over, a machine that isn't known has no tasks. One that reports some was terminated earlier.
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
  // Only after the heartbeat is processed: cordoning the machine changes its list of attempts.
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

// The machine's lease expired. If its heartbeats arrived and were answered throughout, it doesn't
// receive our responses: until it has shown otherwise for a while, work assigned to it would only
// wait. Heartbeats that a partition delayed and released at its end prove nothing: they once caused
// half a fleet to be quarantined.
void Controller::begin_incarnation(Machine& m) {
  const Time now = clock_.now;
  if (now - m.answered < worker_lease() / 2 && now - m.steady_since > worker_lease())
    quarantine(m, QuarantineCause::ReceivesNothing);
  incarnation_lost(m, IncarnationLossCause::NewIncarnation);
}

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
  // A response to an inquiry renews no lease. For an incarnation that is new to us, or whose lease
  // had expired by our calculation, the remaining time is unknown. Recovered machines were once
  // terminated at their first silence, as if their old lease still counted. Granted only once until
  // the machine sends a heartbeat itself: one that reaches no controller has to be terminated
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
  // The machine accepts work again. Without a scheduling pass, waiting tasks would wait until
  // something else changed.
  if (m.silent) scheduling_needed_ = true;
  m.silent = false;
  zone_unreachable_at_.erase(m.zone);
  m.probe_failures = 0;
}

// The cloud is about to preempt the machine: tasks that can save a checkpoint do so now.
void Controller::take_notice(Machine& m, double notice_s) {
  m.notice_until = clock_.now + ms(notice_s);
  cordon(m, CordonCause::SpotNotice);
  for (TaskAttempt& p : m.attempts)
    if (p.held && p.job != nullptr && p.job->spec().checkpoint_s > 0)
      stop_with_gang(p, grace_for(*p.job));
}

}  // namespace sailreel
