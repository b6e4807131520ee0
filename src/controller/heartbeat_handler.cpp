// Workers' reports as a whole: which are taken in, which are of the past, and what they say of
// their machine.
#include "controller/controller.hpp"
#include "protocol/user_codec.hpp"
#include "protocol/worker_codec.hpp"

namespace sailreel {

void Controller::handle_heartbeat(const HeartbeatReceived& in) {
  const Time now = clock_.now;
  const Heartbeat& r = in.heartbeat;
  if (in.source.kind == RequestSource::Kind::Local) last_worker_heartbeat_ = now;
  if (role_ != Role::Leader) return forward_heartbeat(in);
  if (r.fencing_token > epoch_) {
    step_down(StepDownCause::HigherEpochAtWorker);
    return outbox_.respond(in.source, 421, encode_redirect({}));
  }
  if (!holds_valid_lease(now)) return handle_heartbeat_without_lease(in);
  if (redirect_to_own_zone(in)) return;
  if (terminated_.contains(r.machine))
    return outbox_.respond(in.source, 503, encode_error("machine was returned"));
  if (r.fencing_token < epoch_) return handle_heartbeat_with_old_fencing_token(in);
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
  outbox_.respond(in.source, 200, encode_heartbeat_response(epoch_, commands), 0, command_until());
}

// The worker's tasks live on for a bounded time while we can't tell whether we still lead.
void Controller::handle_heartbeat_without_lease(const HeartbeatReceived& in) {
  const Time now = clock_.now, until = lease_expiry_ + keep_alive_span();
  if (now >= until) return outbox_.respond(in.source, 503, encode_error("lease lapsed"));
  if (Machine* m = tables_.machine(in.heartbeat.machine)) {
    if (!m->incarnation_fence.admits(in.heartbeat.incarnation)) return reject_heartbeat(in, *m);
    m->answered = now;
    if (!is_late(*m, in.heartbeat)) m->last_heartbeat = now;
  }
  outbox_.respond(in.source, 200, encode_heartbeat_response(epoch_, {}), 0, until);
}

// Perhaps a copy from an earlier time. It learns our token; only what it reports under that counts.
void Controller::handle_heartbeat_with_old_fencing_token(const HeartbeatReceived& in) {
  const Time now = clock_.now;
  Machine* m = tables_.machine(in.heartbeat.machine);
  if (m != nullptr && m->recorded) {
    // A machine that reports but never takes our token hears nothing, or the reports are copies.
    // Its lease can't be told from answers that it may or may not get: so it gets none until the
    // lease has surely run out. Otherwise a rebuild would wait for it as long as it reports.
    if (m->fencing_token_refused_since == 0) m->fencing_token_refused_since = now;
    if (now >= expiry(*m)) {
      m->lease_passed = true;
      m->fencing_token_refused_since = now;
    } else if (now - m->fencing_token_refused_since > worker_lease() / 2) {
      return outbox_.respond(in.source, 503, encode_error("token not taken"));
    }
  }
  if (m != nullptr) m->answered = now;
  outbox_.respond(in.source, 200, encode_heartbeat_response(epoch_, {}), 0, command_until());
}

// A report of a session that is proved to be over. Held back by the network, such reports were
// taken for present: tasks that had been placed anew came to life again in their former zone
// (incident held-reports). If it is the proof that was wrong, the answer to an inquiry that leaves
// now says so.
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

// No start leaves for a machine that isn't recorded, and what is recorded is known: once a rebuild
// is over, a machine that isn't known has no tasks. One that reports some was returned long ago.
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
  // Not before the report is taken in: emptying the machine moves its placements about.
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

// Its lease ran out. If we heard it all the time and answered, it doesn't hear us: until it has
// proved otherwise for a while, work given to it would only wait. Reports that a cut held back and
// let go at its end prove nothing: they once had half a fleet quarantined.
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
  // An answer to an inquiry renews no lease; but of a session that we have only just met, or whose
  // lease was over by our reckoning, we don't know how much is left. Machines that had come back
  // were once returned at their first silence, as if their old lease still counted. Only once until
  // it reports by itself: one that reaches no controller is to be returned in the end.
  const bool lease_unknown = r.incarnation > m.incarnation || now >= expiry(m);
  if (!m.heard_in_epoch || (lease_unknown && m.last_own_heartbeat >= m.answered)) m.answered = now;
  if (!m.heard_in_epoch || now - m.last_heartbeat > silent_after()) m.steady_since = now;
  m.heard_in_epoch = true;
  m.fencing_token_refused_since = 0;
  m.lease_passed = false;
  m.incarnation = m.probe_incarnation = r.incarnation;
  m.seq = r.seq;
  m.last_heartbeat = now;
  // It takes work again. Without a pass for it, what waited did so until something else changed.
  if (m.silent) scheduling_needed_ = true;
  m.silent = false;
  zone_unreachable_at_.erase(m.zone);
  m.probe_failures = 0;
}

// The cloud is about to take the machine back: what can save, saves now.
void Controller::take_notice(Machine& m, double notice_s) {
  m.notice_until = clock_.now + ms(notice_s);
  cordon(m, CordonCause::SpotNotice);
  for (TaskAttempt& p : m.attempts)
    if (p.held && p.job != nullptr && p.job->spec().checkpoint_s > 0)
      stop_with_gang(p, grace_for(*p.job));
}

}  // namespace sailreel
