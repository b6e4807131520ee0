// Handles users' requests: the leader serves them; the other controllers forward them to the
// leader, or answer queries from the checkpoint in the key-value store.
#include "controller/controller.hpp"
#include "protocol/user_codec.hpp"

namespace sailreel {
namespace {
/// How long (ms) a forwarded query or heartbeat may wait for the leader's response. Users wait 2 s
/// for the response to a query; the rest of that time is left for reading the checkpoint instead.
constexpr Time kForwardTimeoutMs = 700;
/// How long (ms) a query may wait for the checkpoint to be read; just below the 2 s that users
/// wait.
constexpr Time kLookupTimeoutMs = 1'900;
/// How long (ms) a forwarded submission or cancellation may wait for the leader's response. Users
/// wait 5 s for the response to a submission, and the leader's checkpoint commit may need a retry.
constexpr Time kForwardCommitTimeoutMs = 3'000;
/// Minimum time (ms) from the start of one refresh of the snapshot to the start of the next.
constexpr Time kMinRefreshIntervalMs = 200;
/// The size in KB of a page of keys as the key-value store returns it (protocol, "Controller nodes
/// -> state service").
constexpr double kKvPageKb = 512;
}  // namespace

void Controller::handle_user_request(const UserRequest& request) {
  if (holds_valid_lease(clock_.now)) {
    if (request.op == RequestOp::Submit) return lead_submit(request);
    if (request.op == RequestOp::Query) return lead_query(request);
    if (request.op == RequestOp::Cancel) return lead_cancel(request);
    return;
  }
  // A request is forwarded once, or twice if its first receiver has no path to the leader. Without
  // this limit, two controllers that take each other for the leader would forward it in a loop.
  const bool may_forward = (request.source.kind == RequestSource::Kind::Local || request.relay) &&
                           forwarded_.size() < checkpoint_.max_open_requests();
  if (const auto leader = peers_.leader(clock_.now); leader && may_forward) {
    // A leader of a version without gang scheduling would accept the job but not schedule it as a
    // gang.
    if (request.op == RequestOp::Submit && !peers_[*leader].understands_gangs &&
        is_gang_submission(request.body))
      return outbox_.reject(request.source, RejectReason::GangsNotEnabled);
    return forward(request.source, request.op, request.id, request.body, *leader);
  }
  if (request.source.kind != RequestSource::Kind::Local)
    return outbox_.reject(request.source, RejectReason::NoLeader);
  if (request.op == RequestOp::Query) return look_up_in_checkpoint(request.source, request.id);
  const std::optional<std::size_t> relay = relaying_peer();
  if (!relay || !may_forward) return outbox_.reject(request.source, RejectReason::NoLeader);
  forward(request.source, request.op, request.id, request.body, *relay, 0, true);
}

// Returns a random peer that can be reached and hears the leader. Without such relays, during a
// partition between two zones the controllers of one zone would reject their users' requests,
// although both zones reach the controllers of a third.
std::optional<std::size_t> Controller::relaying_peer() {
  const std::vector<std::size_t> candidates = peers_.relays(clock_.now);
  if (candidates.empty()) return {};
  return candidates[random_(static_cast<std::uint32_t>(candidates.size()))];
}

JobView Controller::view(const Job& job) const {
  JobView job_view{job.spec().id, job.committed_phase, 0, 0};
  if (job_view.phase == Phase::Active) {
    job_view.done = job.record.done.count();
    job_view.running = job.running;
  }
  return job_view;
}

JobView Controller::view(const std::string& id, const FinishedJob& job) const {
  return {id, job.phase, job.phase == Phase::Done ? job.tasks : 0, 0};
}

void Controller::respond_with_job(const RequestSource& source, int status, const JobView& view) {
  outbox_.respond(source, status, encode_job(view), 0, commands_valid_until());
}

void Controller::lead_submit(const UserRequest& request) {
  // A repeated submission is recognized by its id, before anything else in it is validated.
  const auto id = submission_id(request.body);
  if (id) {
    if (const auto found = tables_.finished.find(*id); found != tables_.finished.end())
      return respond_with_job(request.source, 200, view(*id, found->second));
    if (const Job* job = tables_.job(*id)) return respond_committed(request.source, 200, *job);
  }
  if (id && unknown_jobs_)
    return respond_unknown(request.source, unknown_jobs_, commands_valid_until());
  auto spec = decode_submission(request.body);
  Refusal refusal{RequestOp::Submit, 400, id ? std::string_view(*id) : "", request.body.size()};
  if (!spec) {
    refusal.cause = to_string(spec.error().kind);
    refusal.field = spec.error().field;
    return refuse(request.source, refusal,
                  "invalid: " + std::string(describe_submission_error(spec.error())));
  }
  refusal.status = 422;
  if (tables_.types.empty())
    return outbox_.reject(request.source, RejectReason::MachineTypesUnknown);
  if (const auto cause = infeasibility(*spec)) {
    refusal.cause = to_string(*cause);
    return refuse(request.source, refusal, refusal.cause);
  }
  if (spec->kind == JobKind::Gang && !checkpoint_.gangs_enabled())
    return outbox_.reject(request.source, RejectReason::GangsNotEnabled);
  if (checkpoint_.commit_outcome_unknown())
    return outbox_.reject(request.source, RejectReason::KvStoreNotResponding);
  if (checkpoint_.too_many_pending_responses())
    return outbox_.reject(request.source, RejectReason::TooManySubmissions);
  JobRecord record;
  record.spec = std::move(*spec);
  record.submitted_wall_ms = clock_.wall_ms;
  // All tasks of a gang are recorded as started when the job is accepted. This saves one checkpoint
  // commit before the start; a gang's SLO is a matter of seconds.
  if (record.spec.kind == JobKind::Gang) record.started = record.spec.tasks;
  // The record has to fit into one value of the key-value store: a large one is moved from the
  // manifest to a shard at once.
  if (record_reserve(false, encode_record(record).size()) >
      checkpoint_.max_value_bytes(kValueFill)) {
    refusal.cause = "its description is too large to be kept";
    return refuse(request.source, refusal, refusal.cause);
  }
  Job& job = tables_.add_job(std::move(record));
  job.accepted = clock_.now;
  checkpoint_.mark_changed(job);
  checkpoint_.respond_after_commit(job, request.source, 201);
  outbox_.log(Log::Level::Info, LogEvent::JobSubmitted,
              {{"job", job.spec().id},
               {"class", job.spec().job_class},
               {"team", job.spec().team},
               {"tasks", job.spec().tasks}});
}

void Controller::refuse(const RequestSource& source, Refusal refusal, std::string_view text) {
  outbox_.respond(source, refusal.status, encode_error(text));
  refusal.forwarded = source.kind == RequestSource::Kind::Peer;
  refusals_.log(outbox_, clock_.now, refusal);
}

void Controller::handle(const MalformedRequest& input) {
  const Refusal refusal{input.op,         400, {}, input.bytes, to_string(input.error.kind),
                        input.error.field};
  refuse(input.source, refusal,
         input.error.kind == DecodeErrorKind::TooLarge ? "body too large" : "not a report");
}

void Controller::lead_query(const UserRequest& request) {
  if (const auto found = tables_.finished.find(request.id); found != tables_.finished.end())
    return respond_with_job(request.source, 200, view(request.id, found->second));
  if (const Job* job = tables_.job(request.id)) return respond_committed(request.source, 200, *job);
  respond_unknown(request.source, unknown_jobs_, commands_valid_until());
}

void Controller::respond_unknown(const RequestSource& source, bool unreadable, Time valid_until) {
  if (unreadable) return outbox_.reject(source, RejectReason::CheckpointUnreadable);
  outbox_.respond(source, 404, encode_error("no such job"), 0, valid_until);
}

void Controller::lead_cancel(const UserRequest& request) {
  if (const auto found = tables_.finished.find(request.id); found != tables_.finished.end())
    return respond_with_job(request.source, 200, view(request.id, found->second));
  Job* job = tables_.job(request.id);
  if (job == nullptr) return respond_unknown(request.source, unknown_jobs_, commands_valid_until());
  if (job->record.phase != Phase::Active) {
    if (job->record.phase == job->committed_phase)
      return respond_committed(request.source, 200, *job);
    return checkpoint_.respond_after_commit(*job, request.source, 200);
  }
  if (!job->record.cancel_requested) {
    // The cancellation is committed as well, so that a later leader goes on stopping the job and
    // the user need not ask again.
    job->record.cancel_requested = true;
    checkpoint_.mark_changed(*job);
    outbox_.log(Log::Level::Info, LogEvent::JobCancelRequested, {{"job", request.id}});
    stop_job(*job);
    scheduling_needed_ = true;
  }
  cancel_waits_[request.id].push_back({request.source, clock_.now + cancel_response_timeout()});
  finalize_if_over(*job);
  if (job->record.final) return;
  // If the job can't end promptly, its users are told so at once.
  if (!can_stop_promptly(*job)) reject_cancel_waits(request.id);
}

// How long (ms) the response to a cancellation waits for the job's tasks to end: about the time
// that a direct stop command and its response take.
Time Controller::cancel_response_timeout() const {
  return std::clamp<Time>(worker_lease() / 50, 100, 500);
}

// True if direct stop commands are likely to end the job promptly: its tasks are on known machines
// that send heartbeats, and no commit is in doubt.
bool Controller::can_stop_promptly(const Job& job) const {
  if (job.unknown > 0 || checkpoint_.commit_outcome_unknown()) return false;
  return std::all_of(job.tasks.begin(), job.tasks.end(), [](const Task& task) {
    return task.machine == nullptr || (task.machine->heard_in_epoch && !task.machine->silent);
  });
}

void Controller::reject_cancel_waits(const std::string& id) {
  const auto waits = cancel_waits_.extract(id);
  if (!waits) return;
  for (const CancelWait& wait : waits.mapped())
    outbox_.reject(wait.source, RejectReason::TasksBeingStopped);
}

// Marks the job as cancelled once no task of it is on a machine any more. An earlier response would
// start the `cancel_s` period while some machines can't be reached, and tasks that a controller of
// a partitioned zone keeps alive there would outlast it.
void Controller::finish_cancellation(Job& job) {
  job.record.phase = Phase::Cancelled;
  const auto waits = cancel_waits_.extract(job.spec().id);
  if (!waits) return;
  for (const CancelWait& wait : waits.mapped())
    checkpoint_.respond_after_commit(job, wait.source, 200);
}

void Controller::forward(const RequestSource& source, RequestOp op, const std::string& id,
                         std::string body, std::size_t peer, std::uint64_t fencing_token,
                         bool relay) {
  const std::uint64_t call = next_forward_++;
  const bool commits = op == RequestOp::Submit || op == RequestOp::Cancel;
  const Time now = clock_.now;
  forwarded_[call] = {source,       op,
                      id,           peer,
                      now,          now + (commits ? kForwardCommitTimeoutMs : kForwardTimeoutMs),
                      fencing_token};
  PeerMessage message;
  message.kind = PeerMessage::Kind::Request;
  message.request = {call, op, op == RequestOp::Heartbeat ? std::string() : id, std::move(body),
                     relay};
  outbox_.send_to_peer(peer, std::move(message));
}

void Controller::handle_peer_response(std::size_t, const PeerResponse& response) {
  const auto entry = forwarded_.extract(response.call_id);
  if (!entry) return;
  const Forwarded& forwarded = entry.mapped();
  // The leader's response says how long it is valid from the time when it was sent. Counting from
  // the time when this controller sent the request is safe, because the leader responded later than
  // that, however long the response took or this process was paused. The deduction of 1/500 allows
  // for clock drift.
  const Time valid_until =
      response.valid_ms ? forwarded.sent + *response.valid_ms - *response.valid_ms / 500 : kNever;
  const bool late = clock_.now >= std::min(forwarded.until, valid_until);
  if (late || (response.status == 503 && forwarded.op == RequestOp::Query))
    return handle_forward_timeout(forwarded);
  outbox_.respond(forwarded.source, response.status, response.body, response.retry_after_s,
                  valid_until);
}

void Controller::handle_forward_timeout(const Forwarded& forwarded) {
  if (forwarded.op == RequestOp::Query)
    look_up_in_checkpoint(forwarded.source, forwarded.id);
  else if (forwarded.op == RequestOp::Heartbeat)
    // The worker isn't redirected: if its zone has just been partitioned, it could reach no other
    // controller and would lose its lease.
    keep_alive(forwarded.source, forwarded.id, forwarded.fencing_token, false);
  else
    outbox_.reject(forwarded.source, RejectReason::LeaderNotResponding);
}

void Controller::user_request_tick() {
  const Time now = clock_.now;
  std::vector<std::uint64_t> expired;
  for (const auto& [call, forwarded] : forwarded_)
    if (now >= forwarded.until) expired.push_back(call);
  for (const std::uint64_t call : expired)
    handle_forward_timeout(forwarded_.extract(call).mapped());
  for (auto it = cancel_waits_.begin(); it != cancel_waits_.end();) {
    std::erase_if(it->second, [&](const CancelWait& wait) {
      if (now < wait.until) return false;
      outbox_.reject(wait.source, RejectReason::TasksBeingStopped);
      return true;
    });
    it = it->second.empty() ? cancel_waits_.erase(it) : std::next(it);
  }
  for (auto* lookups : {&lookups_, &lookups_served_})
    std::erase_if(*lookups, [&](const Lookup& lookup) {
      if (now - lookup.since < kLookupTimeoutMs) return false;
      outbox_.reject(lookup.source, RejectReason::SnapshotUnreadable);
      return true;
    });
  if (!lookups_.empty() && !refreshing_ && now >= next_refresh_) refresh_snapshot();
}

void Controller::look_up_in_checkpoint(const RequestSource& source, const std::string& id) {
  lookups_.push_back({source, id, clock_.now});
  if (!refreshing_ && clock_.now >= next_refresh_) refresh_snapshot();
}

// Brings the snapshot up to the current revision, then answers all lookups that were waiting when
// the refresh began.
void Controller::refresh_snapshot() {
  if (election_.is_leader() || election_.role() == Role::Loading) {
    // These lookups were requested while the lease had expired or the checkpoint was loading. They
    // are answered from this controller's own tables once it holds a valid lease.
    if (!holds_valid_lease(clock_.now)) return;
    auto waiting = std::move(lookups_);
    lookups_.clear();
    for (const Lookup& lookup : waiting)
      lead_query({lookup.source, RequestOp::Query, lookup.id, {}});
    return;
  }
  // A candidate is about to learn whether it leads. Its reads of the checkpoint must not share a
  // snapshot with those of a lookup: a lookup that finds the snapshot cleared would tell a user 404
  // for a job that exists.
  if (election_.role() != Role::Follower) return;
  refreshing_ = true;
  lookups_served_ = std::move(lookups_);
  lookups_.clear();
  next_refresh_ = clock_.now + kMinRefreshIntervalMs;
  // The response to a watch has no size limit, and most of it is changes to the same keys. If more
  // than a page of changes may have accumulated at the full write rate, the keys are listed again
  // instead. A watch after minutes without a lookup once took 19 MB of memory.
  const double kb_per_s = settings_.store_limits.write_rps * settings_.store_limits.value_kb;
  if (static_cast<double>(clock_.now - snapshot_read_at_) / 1000.0 * kb_per_s > kKvPageKb)
    snapshot_loaded_ = false;
  if (!snapshot_loaded_) {
    snapshot_ = Snapshot{};
    return list_snapshot_keys("", 0);
  }
  const std::uint64_t term = election_.term();
  KvRequest watch;
  watch.kind = KvRequest::Kind::Watch;
  watch.key = kCheckpointPrefix;
  watch.revision = snapshot_revision_;
  watch.wait_ms = 0;
  const bool sent = outbox_.call_kv_store(watch, [this, term](const KvResponse& response) {
    if (term != election_.term()) return;
    if (response.status == 410) snapshot_loaded_ = false;
    if (response.status == 200) {
      for (const KvItem& item : response.items) snapshot_.apply(item);
      snapshot_revision_ = std::max(snapshot_revision_, response.revision);
    }
    finish_lookups(response.status == 200);
  });
  if (!sent) finish_lookups(false);
}

void Controller::list_snapshot_keys(const std::string& from, std::uint64_t revision) {
  const std::uint64_t term = election_.term();
  KvRequest list;
  list.kind = KvRequest::Kind::List;
  list.key = kCheckpointPrefix;
  list.from = from;
  const bool sent = outbox_.call_kv_store(list, [this, term, revision](const KvResponse& response) {
    if (term != election_.term()) return;
    if (response.status != 200) return finish_lookups(false);
    for (const KvItem& item : response.items) snapshot_.apply(item);
    // Later pages may be newer than the first. The next refresh reads the changes since the first
    // page again, and the sequence number in each record tells which version of the record is the
    // latest.
    const std::uint64_t first_revision = revision == 0 ? response.revision : revision;
    if (response.has_more && !response.items.empty())
      return list_snapshot_keys(response.items.back().key, first_revision);
    snapshot_loaded_ = true;
    snapshot_revision_ = first_revision;
    finish_lookups(true);
  });
  if (!sent) finish_lookups(false);
}

void Controller::finish_lookups(bool succeeded) {
  refreshing_ = false;
  if (succeeded) last_healthy_at_ = snapshot_read_at_ = clock_.now;
  const auto lookups = std::move(lookups_served_);
  lookups_served_.clear();
  for (const Lookup& lookup : lookups) {
    if (!succeeded) {
      outbox_.reject(lookup.source, RejectReason::SnapshotUnreadable);
      continue;
    }
    const auto found = snapshot_.jobs.find(lookup.id);
    if (found == snapshot_.jobs.end()) {
      respond_unknown(lookup.source, !snapshot_.unreadable.empty(), kNever);
      continue;
    }
    const JobRecord& record = found->second;
    const std::uint64_t done = record.phase == Phase::Done     ? record.spec.tasks
                               : record.phase == Phase::Active ? record.done.count()
                                                               : 0;
    outbox_.respond(lookup.source, 200, encode_job({lookup.id, record.phase, done, 0}));
  }
}

}  // namespace sailreel
