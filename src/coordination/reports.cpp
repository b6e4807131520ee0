// Workers' reports: what they say of tasks, and when a task is surely gone.
#include <cmath>

#include "coordination/core.hpp"
#include "protocol/user_codec.hpp"
#include "protocol/worker_codec.hpp"

namespace sailreel {
namespace {
/// An answer to a worker has to stay below 64 KiB.
constexpr std::size_t kMaxCommands = 300;
/// A start that the worker's next report doesn't show was dropped. After so many, something is
/// wrong between us and that machine.
constexpr std::uint32_t kMaxSends = 3;
constexpr std::size_t kFaultyJobs = 2;
}  // namespace

void Core::worker_report(const WorkerReport& in) {
  const Time now = clock_.now;
  const Report& r = in.report;
  if (in.origin.kind == Origin::Kind::Local) last_worker_report_ = now;
  if (role_ != Role::Leader) return forward_report(in);
  if (r.token > epoch_) {
    step_down("a worker has seen a higher token");
    return answer(in.origin, 421, encode_redirect({}));
  }
  if (!in_command(now)) {
    // The worker's tasks live on for a bounded time while we can't tell whether we still lead.
    if (now >= lease_deadline_ + keep_alive_span())
      return answer(in.origin, 503, encode_error("lease lapsed"));
    if (Machine* m = tables_.machine(r.machine)) {
      if (!m->sessions.admits(r.session)) return refuse_report(in, *m);
      m->answered = now;
      if (!is_late(*m, r)) m->last_report = now;
    }
    return answer(in.origin, 200, encode_report_answer(epoch_, {}), 0,
                  lease_deadline_ + keep_alive_span());
  }
  if (redirect_to_own_zone(in)) return;
  if (released_.contains(r.machine))
    return answer(in.origin, 503, encode_error("machine was returned"));
  Machine* m = tables_.machine(r.machine);
  if (r.token < epoch_) {
    // Perhaps a copy from an earlier time. It learns our token; only what it reports under that
    // counts.
    if (m != nullptr && m->recorded) {
      // A machine that reports but never takes our token hears nothing, or the reports are copies.
      // Its lease can't be told from answers that it may or may not get: so it gets none until the
      // lease has surely run out. Otherwise a rebuild would wait for it as long as it reports.
      if (m->token_refused_since == 0) m->token_refused_since = now;
      if (now >= expiry(*m)) {
        m->lease_passed = true;
        m->token_refused_since = now;
      } else if (now - m->token_refused_since > worker_lease() / 2) {
        return answer(in.origin, 503, encode_error("token not taken"));
      }
    }
    if (m != nullptr) m->answered = now;
    return answer(in.origin, 200, encode_report_answer(epoch_, {}), 0, command_until());
  }
  const ReportOutcome outcome = take_report(r, {});
  m = tables_.machine(r.machine);
  if (outcome == ReportOutcome::SessionOver) return refuse_report(in, *m);
  if (outcome != ReportOutcome::Taken) return answer(in.origin, 503, encode_error("late report"));
  m->last_own_report = now;
  reporting_ = m;
  review_gangs();
  if (placement_dirty_ && now >= next_placement_) place_all();
  reporting_ = nullptr;
  m->answered = now;
  const auto commands = commands_for(*m, r.seq);
  answer(in.origin, 200, encode_report_answer(epoch_, commands), 0, command_until());
}

void Core::worker_answer(const WorkerAnswer& in) {
  if (auto node = worker_calls_.extract(in.call)) node.mapped()(in.status, in.report);
}

// A report of a session that is proved to be over. Held back by the network, such reports were
// taken for present: tasks that had been placed anew came to life again in their former zone
// (incident held-reports). If it is the proof that was wrong, the answer to an inquiry that leaves
// now says so.
void Core::refuse_report(const WorkerReport& in, Machine& m) {
  const Report& r = in.report;
  log(Log::Level::Info, "event=report_refused machine=", m.name, " zone=", r.zone,
      " session=", r.session, " seq=", r.seq, " tasks=", r.tasks.size(),
      " over_ms=", clock_.now - m.sessions.closed_at());
  answer(in.origin, 503, encode_error("session is over"));
  if (!in_command(clock_.now)) return;
  if (m.address.empty()) m.address = r.address;
  m.probe_session = std::max(m.probe_session, r.session);
  inquire_if_due(m);
}

// No start leaves for a machine that isn't recorded, and what is recorded is known: once a rebuild
// is over, a machine that isn't known has no tasks. One that reports some was returned long ago.
bool Core::unknown_with_tasks(const Report& r) {
  return !rebuilding_ && !r.tasks.empty() && tables_.machine(r.machine) == nullptr;
}

bool Core::is_late(const Machine& m, const Report& r) {
  return m.reported && std::pair(r.session, r.seq) <= std::pair(m.session, m.seq);
}

Core::ReportOutcome Core::take_report(const Report& r, std::optional<Time> asked) {
  if (unknown_with_tasks(r)) {
    log(Log::Level::Info, "event=report_of_unknown machine=", r.machine, " session=", r.session,
        " tasks=", r.tasks.size());
    return ReportOutcome::UnknownMachine;
  }
  Machine& m = tables_.add_machine(r.machine, clock_.now);
  if (is_late(m, r)) {
    log(Log::Level::Debug, "event=report_late machine=", m.name, " session=", r.session,
        " seq=", r.seq, " known_session=", m.session, " known_seq=", m.seq);
    return ReportOutcome::Late;
  }
  if (asked) m.sessions.answered(r.session, *asked);
  if (!m.sessions.admits(r.session)) return ReportOutcome::SessionOver;
  if (!m.reported)
    first_report(m, r);
  else if (r.session > m.session)
    next_session(m);
  note_address(m, r.address);
  note_report(m, r);

  std::vector<bool> seen(m.placements.size(), false);
  for (const ReportedTask& t : r.tasks) take_task(m, t, seen);
  for (std::size_t i = seen.size(); i-- > 0;)
    if (!seen[i]) task_not_reported(m, i, r.seq, asked.has_value());
  // Not before the report is taken in: emptying the machine moves its placements about.
  if (!m.error_jobs.empty()) check_for_fault(m);
  if (r.notice_s && m.notice_until == 0) take_notice(m, *r.notice_s);
  if (m.empty() && m.idle_since == 0) m.idle_since = clock_.now;
  if (!m.empty()) m.idle_since = 0;
  return ReportOutcome::Taken;
}

void Core::first_report(Machine& m, const Report& r) {
  m.last_own_report = clock_.now;
  m.zone = r.zone;
  m.type = r.type;
  m.spot = r.spot;
  m.idle_since = clock_.now;
  log(Log::Level::Info, "event=machine_up machine=", m.name, " zone=", m.zone,
      " spot=", m.spot ? 1 : 0, " session=", r.session, " tasks=", r.tasks.size(),
      " after_ms=", clock_.now - m.rented);
  placement_dirty_ = true;
}

// Its lease ran out. If we heard it all the time and answered, it doesn't hear us: until it has
// proved otherwise for a while, work given to it would only wait. Reports that a cut held back and
// let go at its end prove nothing: they once had half a fleet quarantined.
void Core::next_session(Machine& m) {
  const Time now = clock_.now;
  if (now - m.answered < worker_lease() / 2 && now - m.steady_since > worker_lease())
    quarantine(m, "deaf");
  session_lost(m, "new session");
}

void Core::note_address(Machine& m, const std::string& address) {
  if (m.address != address) {
    m.address = address;
    if (m.recorded) dirty_machine_shards_.insert(machine_shard(m.name));
  }
  if (m.recorded || m.record_dirty) return;
  m.record_dirty = true;
  dirty_machine_shards_.insert(machine_shard(m.name));
}

void Core::note_report(Machine& m, const Report& r) {
  const Time now = clock_.now;
  tables_.size_machine(m);
  // An answer to an inquiry renews no lease; but of a session that we have only just met, or whose
  // lease was over by our reckoning, we don't know how much is left. Machines that had come back
  // were once returned at their first silence, as if their old lease still counted. Only once until
  // it reports by itself: one that reaches no controller is to be returned in the end.
  const bool lease_unknown = r.session > m.session || now >= expiry(m);
  if (!m.reported || (lease_unknown && m.last_own_report >= m.answered)) m.answered = now;
  if (!m.reported || now - m.last_report > silent_after()) m.steady_since = now;
  m.reported = true;
  m.token_refused_since = 0;
  m.lease_passed = false;
  m.session = m.probe_session = r.session;
  m.seq = r.seq;
  m.last_report = now;
  // It takes work again. Without a pass for it, what waited did so until something else changed.
  if (m.silent) placement_dirty_ = true;
  m.silent = false;
  zone_unreachable_at_.erase(m.zone);
  m.probe_failures = 0;
}

// A report doesn't show what was placed there.
void Core::task_not_reported(Machine& m, std::size_t index, std::uint64_t report_seq, bool direct) {
  Placement& p = m.placements[index];
  if (p.state == PlaceState::Reserved) return;
  if (p.state == PlaceState::Sent) {
    // A worker has one report in flight at a time, so its next one shows that the answer to the one
    // before was carried out or dropped. A direct answer shows nothing of the kind.
    if (direct || report_seq <= p.sent_seq) return;
    p.state = PlaceState::Reserved;
    if (p.sends < kMaxSends) return;
    log(Log::Level::Info, "event=start_not_taken machine=", m.name, " task=", p.key.job, "/",
        p.key.index);
    quarantine(m, "starts not taken");
  } else if (p.state != PlaceState::Exited) {
    log(Log::Level::Info, "event=task_vanished machine=", m.name, " task=", p.key.job, "/",
        p.key.index, " attempt=", p.attempt);
  }
  drop(m, index);
  placement_dirty_ = true;
}

// The cloud is about to take the machine back: what can save, saves now.
void Core::take_notice(Machine& m, double notice_s) {
  m.notice_until = clock_.now + ms(notice_s);
  drain(m, "notice");
  for (Placement& p : m.placements)
    if (p.held && p.job != nullptr && p.job->spec().checkpoint_s > 0)
      stop_with_gang(p, grace_for(*p.job));
}

// Forgets what was placed there; the job may be over with that.
void Core::drop(Machine& m, std::size_t index) {
  const Placement& p = m.placements[index];
  Job* job = p.job != nullptr ? p.job : p.stray_of;
  tables_.erase(m, index);
  if (job == nullptr) return;
  review_gang(*job);
  settle_job(*job);
}

// What hasn't been sent there yet can go elsewhere at once.
void Core::drop_unsent(Machine& m) {
  for (std::size_t i = m.placements.size(); i-- > 0;)
    if (m.placements[i].state == PlaceState::Reserved) drop(m, i);
  placement_dirty_ = true;
}

void Core::quarantine(Machine& m, const char* why) {
  m.quarantined_until = clock_.now + 2 * worker_lease();
  log(Log::Level::Info, "event=quarantine machine=", m.name, " cause=\"", why, "\"");
}

void Core::session_lost(Machine& m, const char* why) {
  if (m.placements.empty()) return;
  log(Log::Level::Info, "event=tasks_gone machine=", m.name, " count=", m.placements.size(),
      " zone=", m.zone, " session=", m.session, " heard_ms=", clock_.now - m.last_report,
      " answered_ms=", clock_.now - m.answered, " cause=\"", why, "\"");
  while (!m.placements.empty()) drop(m, m.placements.size() - 1);
  m.idle_since = clock_.now;
  m.fetching_now.clear();
  placement_dirty_ = true;
}

void Core::take_task(Machine& m, const ReportedTask& t, std::vector<bool>& seen) {
  Placement* p = m.find(t.key, t.attempt);
  if (p != nullptr) {
    const auto i = static_cast<std::size_t>(p - m.placements.data());
    if (i < seen.size()) seen[i] = true;
  } else {
    p = &add_reported(m, t);
  }
  if (p->state == PlaceState::Exited) return;
  switch (t.state) {
    case RunState::Fetching:
      return task_state(m, *p, PlaceState::Fetching);
    case RunState::Waiting:
      return task_state(m, *p, PlaceState::Waiting);
    case RunState::Running:
      return task_state(m, *p, PlaceState::Running);
    case RunState::Saving:
      return task_state(m, *p, PlaceState::Saving);
    case RunState::Exited:
      p->cause = t.cause;
      return task_exited(m, *p);
  }
}

// An attempt that we don't know: started by a former leader, or come back although we thought it
// gone.
Placement& Core::add_reported(Machine& m, const ReportedTask& t) {
  Job* job = tables_.job(t.key.job);
  if (job != nullptr && t.key.index >= job->tasks.size()) job = nullptr;
  const bool on_machine = t.state != RunState::Exited;
  const TaskState known = job != nullptr ? job->tasks[t.key.index].state : TaskState::Done;
  const bool missing = known == TaskState::Unknown || known == TaskState::Queued;
  Placement& p = job != nullptr && on_machine && missing
                     ? tables_.place(*job, t.key.index, m, t.attempt, clock_.now)
                     : add_stray(m, t, job);
  // It was there before we knew of it: that its start was carried out needs no proof.
  p.state = PlaceState::Sent;
  if (job != nullptr && on_machine && !job->active()) stop_task(p, 0);
  // It would start, with its image, where the job's other tasks forbid it.
  if (job != nullptr && t.state == RunState::Fetching && !Tables::zone_allowed(*job, m.zone))
    stop_task(p, 0);
  if (job != nullptr) review_gang(*job);
  return p;
}

// An attempt that is not the task's present place: it counts against team and machine, and is
// stopped.
Placement& Core::add_stray(Machine& m, const ReportedTask& t, Job* job) {
  Placement stray;
  stray.key = t.key;
  stray.attempt = t.attempt;
  stray.since = clock_.now;
  const bool on_machine = t.state != RunState::Exited;
  if (on_machine) {
    stray.held = true;
    if (job != nullptr) Tables::hold_stray(*job, m, stray);
    log(Log::Level::Info, "event=stray_task machine=", m.name, " task=", t.key.job, "/",
        t.key.index, " attempt=", t.attempt);
  } else {
    stray.job = job;
    if (job != nullptr) job->machines_used.insert(m.name);
  }
  stray.stop = on_machine;
  m.placements.push_back(std::move(stray));
  return m.placements.back();
}

void Core::task_state(Machine& m, Placement& p, PlaceState state) {
  if (state == p.state) return;
  const auto runs = [](PlaceState s) {
    return s == PlaceState::Running || s == PlaceState::Saving;
  };
  const bool ran = runs(p.state);
  p.state = state;
  p.since = clock_.now;
  if (state == PlaceState::Waiting && p.job != nullptr) note_image(m, p.job->spec());
  if (runs(state) == ran) return;
  if (p.job != nullptr) review_gang(*p.job);
  if (p.job != nullptr && p.held) p.job->running += ran ? -1 : 1;
  if (ran) return;
  p.running_since = clock_.now;
  if (p.job != nullptr) note_image(m, p.job->spec());
  log(Log::Level::Debug, "event=task_running machine=", m.name, " task=", p.key.job, "/",
      p.key.index, " attempt=", p.attempt);
}

// A task runs, so its machine has its image.
void Core::note_image(Machine& m, const JobSpec& spec) {
  note_fetch_ended(m, spec.image);
  if (m.recorded && !m.has_image(spec.image)) stale_image_shards_.insert(machine_shard(m.name));
  m.touch_image(spec.image, spec.image_gb);
}

void Core::note_finished(Job& job, std::uint32_t index, const Machine& m) {
  tables_.mark_done(job, index);
  // The tasks of a gang complete together: one that is done says it of all.
  for (std::uint32_t i = 0; is_gang(job) && i < job.spec().tasks; ++i) tables_.mark_done(job, i);
  if (job.active() && job.record.done.count() == job.spec().tasks) job.record.phase = Phase::Done;
  touch(job);
  finished_next_.push_back({job.spec().id, index, m.name});
}

void Core::task_exited(Machine& m, Placement& p) {
  const Time now = clock_.now;
  Job* job = p.job;
  Job* stray_of = p.stray_of;
  const bool was_held = p.held;
  const auto finish_hold = [&] {
    if (was_held) tables_.unhold(m, p);
    p.state = PlaceState::Exited;
    p.since = now;
  };
  log(Log::Level::Debug, "event=task_exited machine=", m.name, " task=", p.key.job, "/",
      p.key.index, " attempt=", p.attempt, " cause=", static_cast<int>(p.cause));
  placement_dirty_ = true;
  if (job == nullptr) {
    finish_hold();
    p.settled = true;
    if (stray_of == nullptr) return;
    review_gang(*stray_of);
    return settle_job(*stray_of);
  }
  review_gang(*job);
  Task& task = job->tasks[p.key.index];
  // What ended for another reason in a gang that is done is over as well.
  const bool gang_done = is_gang(*job) && task.state == TaskState::Done;
  if (is_gang(*job) && was_held && p.cause != ExitCause::Done) gang_of(*job).attempt_over();
  if (p.cause == ExitCause::Done && job->spec().kind != JobKind::Service) {
    job->proven = true;
    if (task.state == TaskState::Done && (!was_held || gang_done)) {
      // Known already: either committed, or in a round to come that settles it.
      p.settled = job->record.done.test(p.key.index) && !job->dirty && !job->round_phase;
      if (!p.settled) finished_next_.push_back({job->spec().id, p.key.index, m.name});
    } else {
      note_finished(*job, p.key.index, m);
      if (task.machine != nullptr && task.machine != &m)
        for (Placement& other : task.machine->placements)
          if (other.job == job && other.key.index == p.key.index && other.held) stop_task(other, 0);
    }
    finish_hold();
    settle_job(*job);
    return;
  }
  p.settled = true;
  switch (p.cause) {
    case ExitCause::Error:
      task_failed(*job, m);
      task.not_before = now + std::min<Time>(report_interval() * job->errors, worker_lease());
      log(Log::Level::Info, "event=task_error machine=", m.name, " task=", p.key.job, "/",
          p.key.index, " errors=", job->errors);
      break;
    case ExitCause::NoRoom:
    case ExitCause::Busy:
    case ExitCause::Unknown:
      task.not_before = now + report_interval();
      log(Log::Level::Info, "event=start_refused machine=", m.name, " task=", p.key.job, "/",
          p.key.index, " cause=", static_cast<int>(p.cause));
      break;
    default:
      break;
  }
  finish_hold();
  settle_job(*job);
}

// A job submitted with a mistake fails everywhere; a faulty machine fails several jobs that run
// elsewhere. Two jobs with a mistake once had every machine returned that they came to.
void Core::task_failed(Job& job, Machine& m) {
  ++job.errors;
  job.error_machines.insert(m.name);
  if (!job.suspect()) {
    m.error_jobs.insert(job.spec().id);
  } else {
    for (const std::string& name : job.error_machines)
      if (Machine* other = tables_.machine(name)) other->error_jobs.erase(job.spec().id);
    // One task at a time tries again, and ever more seldom: what fails at once and comes back at
    // once takes room, images and starts from work that runs.
    job.not_before =
        clock_.now + std::min<Time>(report_interval() * job.errors, 2 * worker_lease());
  }
}

// A machine is faulty when several jobs failed on it that run elsewhere. Until that is known of
// them, it gets no work.
void Core::check_for_fault(Machine& m) {
  if (m.draining || m.error_jobs.size() < kFaultyJobs) return;
  const auto runs_elsewhere = [&](const std::string& id) {
    Job* job = tables_.job(id);
    if (job == nullptr)
      return tables_.finished.contains(id) && tables_.finished.at(id).phase == Phase::Done;
    if (job->proven) return true;
    for (const Task& t : job->tasks)
      if (t.machine != nullptr && t.machine != &m)
        for (const Placement& p : t.machine->placements)
          job->proven = job->proven || (p.job == job && p.state == PlaceState::Running &&
                                        clock_.now - p.running_since > 5 * report_interval());
    return job->proven;
  };
  const auto proven = static_cast<std::size_t>(
      std::count_if(m.error_jobs.begin(), m.error_jobs.end(), runs_elsewhere));
  if (proven >= kFaultyJobs)
    drain(m, "faulty");
  else if (clock_.now >= m.quarantined_until)
    quarantine(m, "errors");
}

std::vector<Command> Core::commands_for(Machine& m, std::uint64_t report_seq) {
  std::vector<Command> out;
  // Stops and forgets come before starts: they make the room that the starts were promised.
  for (std::size_t i = m.placements.size(); i-- > 0;) {
    Placement& p = m.placements[i];
    if (out.size() >= kMaxCommands) return out;
    if (p.state == PlaceState::Exited) {
      if (p.settled) out.push_back({Command::Op::Forget, p.key, p.attempt, 0});
    } else if (p.stop) {
      if (p.state == PlaceState::Reserved) {
        drop(m, i);
      } else if (p.state != PlaceState::Saving || p.grace_s <= 0) {
        out.push_back({Command::Op::Stop, p.key, p.attempt, p.grace_s});
      }
    } else if (p.state == PlaceState::Reserved && p.job != nullptr &&
               !Tables::zone_allowed(*p.job, m.zone)) {
      // Since it was placed, tasks of the job have been found elsewhere.
      drop(m, i);
      placement_dirty_ = true;
    }
  }
  if (!m.recorded || !usable(m)) return out;
  for (Placement& p : m.placements) {
    if (out.size() >= kMaxCommands) break;
    if (p.state != PlaceState::Reserved || p.job == nullptr || !p.job->active() ||
        !p.job->committed || p.key.index >= p.job->started)
      continue;
    p.state = PlaceState::Sent;
    p.sent_seq = report_seq;
    note_fetch_begun(m, p.job->spec());
    ++p.sends;
    p.since = clock_.now;
    out.push_back({Command::Op::Start, p.key, p.attempt, 0});
    log(Log::Level::Debug, "event=start machine=", m.name, " task=", p.key.job, "/", p.key.index,
        " attempt=", p.attempt, " waited_ms=", clock_.now - p.job->accepted, zones_known(*p.job));
  }
  return out;
}

// For a log line: where tasks are that have a say in where others may start.
std::string Core::zones_known(const Job& job) {
  if (!job.spec().one_zone && !job.spec().spread) return {};
  std::string zones;
  for (const auto& [zone, tasks] : job.per_zone)
    zones += (zones.empty() ? " zones=" : ",") + zone + ":" + std::to_string(tasks);
  return zones;
}

void Core::note_fetch_begun(Machine& m, const JobSpec& s) {
  const MachineType* t = tables_.type(m.type);
  if (t == nullptr || t->fetch_gb_per_s <= 0 || m.has_image(s.image)) return;
  for (const Fetch& f : m.fetching_now)
    if (f.image == s.image) return;
  // A fetch that nobody waits for any more is given up; ours end with the list's oldest entries.
  constexpr std::size_t kMost = 16;
  if (m.fetching_now.size() >= kMost) m.fetching_now.erase(m.fetching_now.begin());
  m.fetching_now.push_back({s.image, clock_.now, s.image_gb / t->fetch_gb_per_s, 0});
}

// Learns whether images fetched at the same time share a machine's rate: the documents say that
// they may, and both was seen. Of two that were begun together, the later tells: it took its own
// time, or that of both.
void Core::note_fetch_ended(Machine& m, const std::string& image) {
  const auto it = std::find_if(m.fetching_now.begin(), m.fetching_now.end(),
                               [&](const Fetch& f) { return f.image == image; });
  if (it == m.fetching_now.end()) return;
  const Fetch ended = *it;
  m.fetching_now.erase(it);
  const double took = static_cast<double>(clock_.now - ended.since) / 1000.0;
  for (Fetch& f : m.fetching_now)
    if (std::abs(f.since - ended.since) < report_interval()) f.beside_s += ended.alone_s;
  // Too little beside it to tell the one from the other.
  if (ended.beside_s < ended.alone_s / 2 || took <= 0) return;
  const double as_alone = std::abs(std::log(took / ended.alone_s));
  const double as_shared = std::abs(std::log(took / (ended.alone_s + ended.beside_s)));
  fetch_votes_ = std::clamp(fetch_votes_ + (as_shared < as_alone ? 1 : -1), -5, 5);
  log(Log::Level::Debug, "event=fetch_compared machine=", m.name, " image=", image,
      " took_ms=", clock_.now - ended.since, " votes=", fetch_votes_);
}

// How many images a machine is given to fetch at the same time. Where they share the rate, one
// after the other comes no later and the first sooner; until that is known two, which is how it is
// learnt.
std::size_t Core::fetch_limit() const { return fetch_votes_ > 0 ? 1 : fetch_votes_ < 0 ? 8 : 2; }

void Core::machine_gone(Machine& m, const char* why) {
  log(Log::Level::Info, "event=machine_gone machine=", m.name, " cause=\"", why, "\"");
  session_lost(m, why);
  if (m.recorded || m.record_dirty) dirty_machine_shards_.insert(machine_shard(m.name));
  reservations_.erase(&m);
  placement_dirty_ = true;
  tables_.remove_machine(std::string(m.name));
}

}  // namespace sailreel
