// Decides when a commit is sent, and processes its outcome.
#include "controller/checkpoint_writer.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sailreel {
namespace {
/// The limit on a value is never lower than this, however many commits are rejected.
constexpr double kMinValueKb = 1;
/// Rejections beyond this number don't make commits smaller.
constexpr unsigned kMaxCountedRejections = 3;
/// Commits that no user waits for are at least a heartbeat interval divided by this apart.
constexpr Time kBackgroundCommitsPerHeartbeat = 8;
/// Delays (ms) until a commit is repeated: after an error of the store, and while the controller
/// has no valid lease.
constexpr Time kRetryAfterErrorMs = 100, kRetryWithoutLeaseMs = 50;
}  // namespace

CheckpointWriter::CheckpointWriter(const Environment& environment)
    : settings_(environment.settings),
      clock_(environment.clock),
      outbox_(environment.outbox),
      tables_(environment.tables),
      quotas_(environment.quotas),
      peers_(environment.peers),
      scale_outs_(environment.scale_outs),
      listener_(environment.listener),
      shards_(max_value_bytes(kValueFill)) {}

void CheckpointWriter::load(const Snapshot& checkpoint) {
  manifest_seq_ = checkpoint.manifest.seq;
  manifest_version_ = checkpoint.manifest_version;
  load_shards(checkpoint);
  features_written_ = checkpoint.features.gangs;
  gangs_enabled_ = gangs_enabled_ || checkpoint.features.gangs;
  scale_outs_changed_ = true;
}

// A shard that is larger than the limits allow to be written, because it was written under higher
// limits, is not written again, so that its records stay readable. A job of such a shard is
// assigned another shard when it changes.
void CheckpointWriter::load_shards(const Snapshot& checkpoint) {
  shards_ = JobShards(max_value_bytes(kValueFill));
  for (const std::string& key : checkpoint.unreadable)
    if (const auto shard = shard_number(key)) shards_.close(*shard);
  for (const auto& [shard, bytes] : checkpoint.shard_bytes)
    if (bytes > max_value_bytes(kShardGrowthFill)) shards_.close(shard);
  for (const auto& [id, shard] : checkpoint.shard_of) {
    const JobRecord& record = checkpoint.jobs.at(id);
    shards_.add(id, shard, record_reserve(record.final, encode_record(record).size()));
  }
  recent_records_.clear();
  for (const std::string& id : checkpoint.manifest_jobs)
    recent_records_[id] = encode_record(checkpoint.jobs.at(id));
}

void CheckpointWriter::reset() {
  for (const PendingResponse& response : commit_.pending_responses)
    outbox_.reject(response.source, RejectReason::LeadershipLost);
  for (const PendingResponse& response : pending_responses_)
    outbox_.reject(response.source, RejectReason::LeadershipLost);
  pending_responses_.clear();
  commit_ = CheckpointCommit{};
  commit_in_flight_ = false;
  commit_retry_at_ = kNever;
  finished_tasks_.clear();
  recent_records_.clear();
  changed_jobs_.clear();
  changed_machine_shards_.clear();
  stale_image_shards_.clear();
  scale_outs_changed_ = false;
  shards_.clear();
}

void CheckpointWriter::mark_changed(Job& job) {
  if (!job.dirty) changed_jobs_.push_back(&job);
  job.dirty = true;
}

void CheckpointWriter::mark_machine_changed(const std::string& machine) {
  changed_machine_shards_.insert(machine_shard(machine));
}

void CheckpointWriter::mark_images_changed(const std::string& machine) {
  stale_image_shards_.insert(machine_shard(machine));
}

void CheckpointWriter::mark_task_finished(const std::string& machine, const Job& job,
                                          std::uint32_t index) {
  finished_tasks_.push_back({job.spec().id, index, machine});
}

// The response is sent with the commit in flight if that commit contains the job's present state,
// otherwise with the next one.
void CheckpointWriter::respond_after_commit(const Job& job, const RequestSource& source,
                                            int status) {
  if (commit_outcome_unknown()) return outbox_.reject(source, RejectReason::KvStoreNotResponding);
  if (too_many_pending_responses()) return outbox_.reject(source, RejectReason::TooManyRequests);
  // The commit in flight may have been sent before the job's last change. Without the check of
  // `dirty`, a cancellation got the response "running" with the commit that only recorded the
  // request to cancel.
  const bool in_flight_commit_suffices = job.in_flight_phase && !job.dirty;
  (in_flight_commit_suffices ? commit_.pending_responses : pending_responses_)
      .push_back({source, status, job.spec().id});
}

bool CheckpointWriter::too_many_pending_responses() const {
  return pending_responses_.size() + commit_.pending_responses.size() > max_open_requests();
}

std::size_t CheckpointWriter::max_open_requests() const {
  return settings_.process_limits.sockets * (1 + peers_.size());
}

bool CheckpointWriter::is_leader_in_term(std::uint64_t term) const {
  const LeaderTerm leader = listener_.leader_term();
  return leader.term == term && leader.leads;
}

bool CheckpointWriter::commit_needed() const {
  return (!features_written_ && peers_.all_understand_gangs()) || !changed_jobs_.empty() ||
         !changed_machine_shards_.empty() || scale_outs_changed_ || !pending_responses_.empty() ||
         !finished_tasks_.empty() || quotas_.wants_commit();
}

// Whether a request, or a change of the shares that other regions depend on, waits for the next
// commit.
bool CheckpointWriter::commit_is_urgent() const {
  return !pending_responses_.empty() || quotas_.wants_commit();
}

void CheckpointWriter::commit_if_due() {
  const LeaderTerm leader = listener_.leader_term();
  if (!leader.leads) return;
  if (commit_in_flight_) {
    if (clock_.now >= commit_retry_at_) {
      commit_retry_at_ = kNever;
      send_commit_in_flight();
    }
    return;
  }
  if (!leader.holds_valid_lease || (!commit_needed() && !image_hints_due())) return;
  // Changes that no user waits for are batched for a short time, because each commit writes the
  // whole manifest.
  if (!commit_is_urgent() &&
      clock_.now < last_commit_at_ + heartbeat_interval() / kBackgroundCommitsPerHeartbeat)
    return;
  double needed = 1;
  if (!commit_is_urgent())
    needed += kMinWritesBesideManifest + kBackgroundReserveShare * outbox_.write_budget().burst();
  if (!outbox_.write_budget().allows(needed, clock_.now)) return;
  if (!outbox_.kv_budget_allows(settings_.store_limits.rps / 10)) return;
  start_commit();
}

bool CheckpointWriter::image_hints_due() {
  return !stale_image_shards_.empty() && operations_within_budget(kImageHintReserveShare) > 0;
}

std::size_t CheckpointWriter::max_value_bytes(double fill) const {
  const double divisor = std::exp2(static_cast<double>(rejected_commits_));
  return static_cast<std::size_t>(std::max(kMinValueKb, settings_.store_limits.value_kb / divisor) *
                                  1024 * fill);
}

// Sends the commit in flight, for the first time or again. A commit without a response may have
// been carried out, or may be carried out later. As a compare-and-swap on the manifest it can take
// effect only once, and nothing else is written until its outcome is known.
void CheckpointWriter::send_commit_in_flight() {
  const LeaderTerm leader = listener_.leader_term();
  if (!leader.holds_valid_lease) {
    commit_retry_at_ = clock_.now + kRetryWithoutLeaseMs;
    return;
  }
  outbox_.write_budget().spend(
      static_cast<double>(commit_.request.puts.size() + commit_.request.deletes.size()),
      clock_.now);
  outbox_.call_kv_store(
      commit_.request,
      [this, term = leader.term](const KvResponse& response) {
        if (is_leader_in_term(term)) handle_commit_response(response);
      },
      KvUrgency::Urgent);
}

// Handles a commit that the store rejects as too large although it is within the known limits.
void CheckpointWriter::handle_rejected_commit() {
  std::size_t largest = 0;
  std::string key;
  for (const KvRequest::Put& put : commit_.request.puts) {
    if (put.value.size() < largest) continue;
    largest = put.value.size();
    key = put.key;
  }
  outbox_.log(Log::Level::Error, LogEvent::CommitRejected,
              {{"seq", commit_.seq},
               {"operations", commit_.request.puts.size() + commit_.request.deletes.size()},
               {"largest_key", key},
               {"largest_bytes", largest}});
  rejected_commits_ = std::min(kMaxCountedRejections, rejected_commits_ + 1);
  listener_.commit_rejected();
}

void CheckpointWriter::handle_commit_response(const KvResponse& response) {
  if (response.status == 200) return handle_successful_commit(response.revision);
  if (response.status == 400) return handle_rejected_commit();
  if (response.status != 409) return handle_unanswered_commit(response.status);
  if (commit_.is_flush) return listener_.checkpoint_overwritten();
  check_commit_outcome();
}

// Handles a commit that did not reach the store, or whose outcome the store could not report.
// Waiting requests are rejected at once, so that clients retry. The commit is repeated
// nevertheless, and a client's retry finds what it has written.
void CheckpointWriter::handle_unanswered_commit(int status) {
  commit_retry_at_ = clock_.now + (status == 0 ? 0 : kRetryAfterErrorMs);
  for (auto* responses : {&commit_.pending_responses, &pending_responses_}) {
    for (const PendingResponse& response : *responses)
      outbox_.reject(response.source, RejectReason::KvStoreNotResponding);
    responses->clear();
  }
  if (commit_.retries++ == 0)
    outbox_.log(Log::Level::Info, LogEvent::CommitRetry,
                {{"seq", commit_.seq}, {"status", status}});
}

// Reads the manifest after a failed condition. Its version differs from the one that the commit is
// conditional on because either an earlier copy of the commit was carried out, or another
// controller leads.
void CheckpointWriter::check_commit_outcome() {
  KvRequest manifest_request;
  manifest_request.kind = KvRequest::Kind::List;
  manifest_request.key = kManifestKey;
  manifest_request.limit = 1;
  outbox_.call_kv_store(
      manifest_request,
      [this, term = listener_.leader_term().term](const KvResponse& response) {
        if (!is_leader_in_term(term)) return;
        if (response.status != 200) {
          commit_retry_at_ = clock_.now + kRetryAfterErrorMs;
          return;
        }
        Snapshot snapshot;
        for (const KvItem& item : response.items) snapshot.apply(item);
        if (snapshot.manifest.seq == commit_.seq &&
            snapshot.manifest.epoch == listener_.leader_term().epoch)
          handle_successful_commit(snapshot.manifest_version);
        else
          listener_.checkpoint_overwritten();
      },
      KvUrgency::Urgent);
}

void CheckpointWriter::handle_successful_commit(std::uint64_t revision) {
  CheckpointCommit commit = std::exchange(commit_, CheckpointCommit{});
  commit_in_flight_ = false;
  last_commit_at_ = clock_.now;
  commit_retry_at_ = kNever;
  recent_records_ = std::move(commit.recent_records);
  if (commit.is_flush) return;
  manifest_seq_ = commit.seq;
  manifest_version_ = revision;
  if (commit.has_features) {
    features_written_ = gangs_enabled_ = true;
    outbox_.log(Log::Level::Info, LogEvent::GangsEnabled);
  }
  if (commit.has_shares) listener_.shares_committed();
  mark_machines_committed(commit.machines_added);
  listener_.scale_outs_committed(commit.scale_outs);
  mark_finished_tasks_committed(commit.finished_tasks);
  const std::vector<Job*> finished_jobs = mark_jobs_committed(commit.jobs);
  for (const PendingResponse& response : commit.pending_responses)
    listener_.respond_with_committed_job(response.source, response.status, response.id);
  for (Job* job : finished_jobs) listener_.job_finished(*job);
}

void CheckpointWriter::mark_machines_committed(const std::vector<std::string>& names) {
  for (const std::string& name : names)
    if (Machine* machine = tables_.machine(name)) {
      if (!machine->recorded) listener_.scheduling_possible();
      machine->recorded = true;
      machine->record_dirty = false;
    }
}

// Marks the end of these tasks as committed, so that their workers may forget them.
void CheckpointWriter::mark_finished_tasks_committed(const std::vector<FinishedTask>& finished) {
  for (const FinishedTask& task : finished)
    if (Machine* machine = tables_.machine(task.machine))
      for (TaskAttempt& attempt : machine->attempts)
        if (attempt.state == AttemptState::Exited && attempt.key.index == task.index &&
            attempt.key.job == task.job)
          attempt.exit_committed = true;
}

// Returns the jobs whose last record is committed.
std::vector<Job*> CheckpointWriter::mark_jobs_committed(
    const std::vector<CheckpointCommit::Change>& changes) {
  std::vector<Job*> finished_jobs;
  for (const auto& [id, phase, final, started] : changes) {
    Job* job = tables_.job(id);
    if (job == nullptr) continue;
    if (!job->committed) listener_.scheduling_possible();
    job->committed = true;
    job->in_flight_phase.reset();
    job->stored = std::move(job->in_flight_record);
    job->committed_phase = phase;
    job->committed_started = started;
    if (final) finished_jobs.push_back(job);
  }
  return finished_jobs;
}

}  // namespace sailreel
