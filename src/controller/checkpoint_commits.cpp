// Rounds: one checkpoint transaction at a time; all that waits goes into the next.
#include <cmath>
#include <utility>

#include "controller/controller.hpp"
#include "protocol/user_codec.hpp"

namespace sailreel {
namespace {
/// The head keeps the latest changes while they are few; then they move to their shards.
constexpr double kHeadFill = 0.75;
/// They move until the head is down to this. The longer they stay, the more changes of a job and of
/// its neighbours in a shard are written at once.
constexpr double kHeadLow = 0.45;
/// What the conditions of a round take, at most.
constexpr std::size_t kConditionBytes = 1024;
/// What stands between and around the records of a value, and the fields of a rental.
constexpr std::size_t kPunctuationBytes = 64;
constexpr double kLeastValueKb = 1;
/// Rounds don't get smaller than after so many refusals.
constexpr unsigned kMostRefusals = 3;
/// Shares of the burst of writes that are left to what is more urgent. A round that no user waits
/// for leaves the larger one; beside its head, a round that users wait for leaves the smaller one
/// to the next of its kind. Rounds that drew on the future once made submissions wait for 0.9 s.
constexpr double kBackgroundReserve = 0.5;
constexpr double kUrgentReserve = 0.25;
/// A round that no user waits for has room for at least so many writes beside its head: with none,
/// it would write its head again and again, and get nowhere.
constexpr std::size_t kLeastOperations = 2;
/// Rounds that no user waits for are at least this part of a report's interval apart.
constexpr Time kCommitsPerHeartbeat = 8;
/// Images are written as long as this share of the burst is left.
constexpr double kImageHintReserve = 0.75;
}  // namespace

bool Controller::commit_needed() const {
  return (!features_written_ && peers_.all_understand_gangs()) || !dirty_jobs_.empty() ||
         !dirty_machine_shards_.empty() || scale_outs_changed_ || !pending_responses_.empty() ||
         !finished_tasks_.empty() || quotas_.wants_commit();
}

// A user, a worker, or another region's work waits for what the next round brings.
bool Controller::someone_waits() const {
  return !pending_responses_.empty() || quotas_.wants_commit();
}

void Controller::commit_if_due() {
  if (!election_.is_leader()) return;
  if (commit_in_flight_) {
    if (clock_.now >= commit_retry_at_) {
      commit_retry_at_ = kNever;
      resolve_uncertain_commit();
    }
    return;
  }
  if (!holds_valid_lease(clock_.now) || (!commit_needed() && !image_hints_due())) return;
  // What nobody waits for is gathered for a moment: each round writes the head anew.
  if (!someone_waits() &&
      clock_.now < last_commit_at_ + heartbeat_interval() / kCommitsPerHeartbeat)
    return;
  double needed = 1;
  if (!someone_waits())
    needed += kLeastOperations + kBackgroundReserve * outbox_.write_budget().burst();
  if (!outbox_.write_budget().allows(needed, clock_.now)) return;
  if (!outbox_.kv_budget_allows(settings_.store.rps / 10)) return;
  send_commit();
}

bool Controller::image_hints_due() {
  return !stale_image_shards_.empty() && operations_allowed(kImageHintReserve) > 0;
}

// How many writes beside the head leave that share of the burst.
std::size_t Controller::operations_allowed(double reserve_share) {
  const double available = outbox_.write_budget().available(clock_.now);
  return static_cast<std::size_t>(
      std::max(0.0, available - 1 - reserve_share * outbox_.write_budget().burst()));
}

std::string Controller::record_text(Job& job, std::uint64_t seq) {
  job.record.seq = seq;
  return encode_record(job.record);
}

// The limits of the settings; halved for each round that the state service refused all the same.
std::size_t Controller::value_limit(double fill) const {
  const double refused = std::exp2(static_cast<double>(rejected_commits_));
  return static_cast<std::size_t>(std::max(kLeastValueKb, settings_.store.value_kb / refused) *
                                  1024 * fill);
}

std::size_t Controller::operations_limit() const {
  return std::max<std::size_t>(1 + kLeastOperations, settings_.store.txn_ops >> rejected_commits_);
}

// Puts the next round together and sends it.
void Controller::send_commit() {
  commit_ = CheckpointCommit{};
  commit_.recent_records = recent_records_;
  if (manifest_bytes_of(recent_records_) > value_limit(kValueFill)) return send_flush();
  commit_.seq = manifest_seq_ + 1;
  const std::size_t allowed =
      1 + (!someone_waits() ? std::max(kLeastOperations, operations_allowed(kBackgroundReserve))
                            : operations_allowed(kUrgentReserve));
  const std::size_t most = operations_limit();
  CompareAndSwapBuilder transaction(std::min(most, allowed), kConditionBytes + value_limit(1));

  Manifest manifest{commit_.seq, election_.epoch(), {}};
  std::size_t manifest_bytes = add_scale_outs(manifest);
  add_features(transaction);
  add_shares(transaction);
  // Where a transaction takes few changes, lists of machines leave some to a head that fills up.
  if (manifest_bytes_of(commit_.recent_records) > value_limit(kHeadFill))
    transaction.limit_operations(1 + (std::min(most, allowed) - 1) / 2);
  add_machine_shards(transaction);
  transaction.limit_operations(std::min(most, allowed));
  // Users may wait for what depends on these.
  if (!pending_responses_.empty()) transaction.limit_operations(most);
  std::vector<Job*> postponed;
  std::map<std::string, Job*> changed = add_bitmaps(transaction, postponed);

  for (auto& [id, job] : changed)
    commit_.recent_records[id] = job->in_flight_record = record_text(*job, commit_.seq);
  for (const auto& [id, text] : commit_.recent_records) manifest_bytes += text.size() + 1;
  // Without all operations, a head that is full would take no more records.
  const bool full = manifest_bytes > value_limit(kValueFill);
  transaction.limit_operations(full ? most
                                    : std::min(most, std::max(allowed, transaction.operations())));
  if (manifest_bytes > value_limit(kHeadFill))
    manifest_bytes -= flush_recent_records(transaction, manifest_bytes - value_limit(kHeadLow));
  if (manifest_bytes > value_limit(kValueFill)) postpone_excess(changed, postponed, manifest_bytes);

  std::vector<std::string> records;
  for (const auto& [id, text] : commit_.recent_records) records.push_back(text);
  commit_.call =
      std::move(transaction)
          .finish({{kEpochKey, election_.epoch_version()}, {kManifestKey, manifest_version_}},
                  {kManifestKey, encode_manifest(manifest, records), 0});
  for (auto& [id, job] : changed) {
    job->dirty = false;
    job->in_flight_phase = job->record.phase;
    commit_.jobs.push_back({id, job->record.phase, job->record.final, job->record.started});
  }
  dirty_jobs_ = std::move(postponed);
  move_pending_responses_to_commit();
  commit_in_flight_ = true;
  log_commit();
  resolve_uncertain_commit();
}

// What a round writes, by the kind of key.
void Controller::log_commit() {
  std::size_t jobs = 0, machines = 0, other = 0;
  for (const KvRequest::Put& put : commit_.call.puts) {
    if (put.key.starts_with(kShardPrefix))
      ++jobs;
    else if (put.key.starts_with(kMachinesPrefix))
      ++machines;
    else
      ++other;
  }
  outbox_.log(
      Log::Level::Debug, LogEvent::CheckpointCommit,
      {{"seq", commit_.seq},
       {"job_shards", jobs},
       {"machine_shards", machines},
       {"other", other + commit_.call.deletes.size()},
       {"manifest_bytes", commit_.call.puts.empty() ? 0 : commit_.call.puts.front().value.size()},
       {"changes", commit_.jobs.size()},
       {"responses", commit_.pending_responses.size()}});
}

// What a head with these records, and the open rentals, takes.
std::size_t Controller::manifest_bytes_of(
    const std::map<std::string, std::string>& recent_records) const {
  std::size_t bytes = scale_out_bytes();
  for (const auto& [id, text] : recent_records) bytes += text.size() + 1;
  return bytes;
}

std::size_t Controller::scale_out_bytes() const {
  std::size_t bytes = kPunctuationBytes;
  for (const auto& [request, scale_out] : scale_outs_) bytes += scale_out_size(scale_out.request);
  return bytes;
}

std::size_t Controller::scale_out_size(const ScaleOutRequest& scale_out) {
  return kPunctuationBytes + scale_out.request.size() + scale_out.type.size() +
         scale_out.zone.size();
}

// A head of a time with higher limits is too large to be written again with one change: first its
// records are copied to shards, a few in each round, while the head stays as it is. Each shard is
// written once, and always with the same records: so a copy of such a transaction that is carried
// out late changes nothing, although no key that it is conditional on has changed meanwhile.
void Controller::send_flush() {
  commit_.flush = true;
  commit_.seq = manifest_seq_;
  CompareAndSwapBuilder transaction(operations_limit(), kConditionBytes);
  flush_recent_records(transaction, SIZE_MAX);
  commit_.call =
      std::move(transaction)
          .finish({{kEpochKey, election_.epoch_version()}, {kManifestKey, manifest_version_}});
  outbox_.log(Log::Level::Info, LogEvent::ManifestFlush, {{"left", commit_.recent_records.size()}});
  commit_in_flight_ = true;
  resolve_uncertain_commit();
}

// The open rentals lie in the head; what they take isn't there for jobs. Returns their size.
std::size_t Controller::add_scale_outs(Manifest& manifest) {
  for (const auto& [request, scale_out] : scale_outs_) {
    manifest.scale_outs.push_back(scale_out.request);
    commit_.scale_outs.push_back(request);
  }
  scale_outs_changed_ = false;
  return scale_out_bytes();
}

// Once every controller understands gangs, that is written down: a later leader need not hear all
// of them again.
void Controller::add_features(CompareAndSwapBuilder& transaction) {
  if (features_written_ || !peers_.all_understand_gangs()) return;
  commit_.features = transaction.put(kFeaturesKey, encode_features({.gangs = true}));
}

void Controller::add_machine_shards(CompareAndSwapBuilder& transaction) {
  const std::size_t hints = operations_allowed(kImageHintReserve);
  if (dirty_machine_shards_.empty() &&
      (stale_image_shards_.empty() || transaction.operations() > hints))
    return;
  while (!dirty_machine_shards_.empty()) {
    const std::size_t shard = *dirty_machine_shards_.begin();
    if (!add_machine_shard(transaction, shard)) break;
  }
  while (!stale_image_shards_.empty() && transaction.operations() <= hints) {
    const std::size_t shard = *stale_image_shards_.begin();
    if (!add_machine_shard(transaction, shard)) break;
  }
}

// The machines of the shard alone are looked at. A look at all machines for each shard grew with
// the square of a fleet that boots: at some 5,000 machines the leader lost its lease.
bool Controller::add_machine_shard(CompareAndSwapBuilder& transaction, std::size_t shard) {
  std::vector<MachineRecord> list;
  std::vector<std::string> names;
  for (const Machine* m : tables_.machines_of_shard(shard)) {
    ++examined_;
    if (!m->recorded && !m->record_dirty) continue;
    list.push_back({m->name, m->address, {m->images.begin(), m->images.end()}});
    names.push_back(m->name);
  }
  const std::string value = encode_machines_within(std::move(list), value_limit(kValueFill));
  const std::string key = machines_key(shard);
  const bool added = names.empty() ? transaction.erase(key) : transaction.put(key, value);
  if (!added) return false;
  commit_.machines_added.insert(commit_.machines_added.end(), names.begin(), names.end());
  dirty_machine_shards_.erase(shard);
  stale_image_shards_.erase(shard);
  return true;
}

// Adds the changed pieces of the jobs' bitmaps. Returns the jobs whose record may be written in
// this round: those of which no piece is left.
std::map<std::string, Job*> Controller::add_bitmaps(CompareAndSwapBuilder& transaction,
                                                    std::vector<Job*>& postponed) {
  std::map<std::string, Job*> whole;
  for (Job* job : dirty_jobs_)
    if (add_bitmap(transaction, *job))
      whole[job->spec().id] = job;
    else
      postponed.push_back(job);
  return whole;
}

// Whether pieces of the larger kind may be too large to be written. As long as a controller of an
// older version may lead, which reads only these, they are written all the same, unless that was
// refused before.
bool Controller::small_pieces() const {
  return value_limit(1) < encode_piece(std::string(kPieceBits / kBitsPerDigit, '0')).size() &&
         (gangs_enabled_ || rejected_commits_ > 0);
}

bool Controller::add_bitmap(CompareAndSwapBuilder& transaction, Job& job) {
  if (job.record.final) return erase_bitmap(transaction, job);
  const bool small = small_pieces();
  const std::size_t bits = small ? kSmallPieceBits : kPieceBits;
  const std::size_t small_per_piece = bits / kSmallPieceBits;
  while (!job.dirty_pieces.empty()) {
    const std::size_t piece = *job.dirty_pieces.begin() / small_per_piece;
    const std::string& id = job.spec().id;
    const std::string key = small ? small_bitmap_key(id, piece) : bitmap_key(id, piece);
    if (!transaction.put(key, encode_piece(job.record.done.hex(piece * bits, bits)))) return false;
    (small ? job.has_small_pieces : job.has_pieces) = true;
    const std::size_t first = piece * small_per_piece;
    job.dirty_pieces.erase(job.dirty_pieces.lower_bound(first),
                           job.dirty_pieces.lower_bound(first + small_per_piece));
  }
  return true;
}

// A finished job's pieces are deleted, as far as there are any. `dirty_pieces` says which are left.
bool Controller::erase_bitmap(CompareAndSwapBuilder& transaction, Job& job) {
  const std::string& id = job.spec().id;
  constexpr std::size_t kSmallPerPiece = kPieceBits / kSmallPieceBits;
  while (!job.dirty_pieces.empty()) {
    const std::size_t piece = *job.dirty_pieces.begin();
    const bool first_of_piece = piece % kSmallPerPiece == 0;
    if (job.has_pieces && first_of_piece &&
        !transaction.erase(bitmap_key(id, piece / kSmallPerPiece)))
      return false;
    if (job.has_small_pieces && !transaction.erase(small_bitmap_key(id, piece))) return false;
    job.dirty_pieces.erase(piece);
  }
  return true;
}

// Moves `wanted` bytes of the head, or as much as the transaction takes, to their shards, together
// with what lies there already. Returns how many bytes of the head that frees.
std::size_t Controller::flush_recent_records(CompareAndSwapBuilder& transaction,
                                             std::size_t wanted) {
  std::map<std::size_t, std::vector<std::string>> by_shard;
  for (const auto& [id, text] : commit_.recent_records)
    by_shard[shards_.place(id, reserve_for(id, text))].push_back(id);
  // Those first that free most with one write.
  std::vector<std::pair<std::size_t, std::size_t>> order;  // records of the head, and their shard
  order.reserve(by_shard.size());
  for (const auto& [shard, ids] : by_shard) order.emplace_back(ids.size(), shard);
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  std::size_t freed = 0;
  for (const auto& [count, shard] : order) {
    if (freed >= wanted) break;
    if (!put_shard(transaction, shard)) continue;
    for (const std::string& id : by_shard[shard]) {
      freed += commit_.recent_records[id].size() + 1;
      commit_.recent_records.erase(id);
    }
  }
  return freed;
}

// Writes a shard with all its jobs; false if it doesn't fit.
bool Controller::put_shard(CompareAndSwapBuilder& transaction, std::size_t shard) {
  std::vector<std::string> records;
  std::size_t bytes = kPunctuationBytes;
  const std::set<std::string> jobs_in_shard = shards_.jobs_in(shard);
  for (const std::string& id : jobs_in_shard) {
    std::string text = text_for_shard(id);
    if (text.empty()) continue;
    shards_.set_reserve(id, reserve_for(id, text));
    bytes += text.size() + 1;
    records.push_back(std::move(text));
  }
  if (bytes > value_limit(kShardGrowthFill)) {
    // It has outgrown its value: its jobs go elsewhere with their next change.
    shards_.close(shard);
    return false;
  }
  return transaction.put(shard_key(shard), encode_shard(records));
}

std::size_t Controller::reserve_for(const std::string& id, const std::string& text) {
  const Job* job = tables_.job(id);
  return record_reserve(job == nullptr || job->record.final, text.size());
}

// A job's record for its shard; empty if there is none yet.
std::string Controller::text_for_shard(const std::string& id) {
  if (const auto t = commit_.recent_records.find(id); t != commit_.recent_records.end())
    return t->second;
  // As the checkpoint has it. Encoded from memory, a change that waits for a later round would be
  // read by others before its own round, and told to users.
  if (const Job* job = tables_.job(id)) return job->stored;
  const auto f = tables_.finished.find(id);
  if (f == tables_.finished.end()) return {};
  JobRecord record;
  record.final = true;
  record.spec.id = id;
  record.spec.tasks = f->second.tasks;
  record.phase = f->second.phase;
  record.seq = f->second.seq;
  return encode_record(record);
}

// A burst larger than one round: the rest of it waits for the next.
void Controller::postpone_excess(std::map<std::string, Job*>& changed, std::vector<Job*>& postponed,
                                 std::size_t manifest_bytes) {
  for (auto it = changed.begin();
       it != changed.end() && manifest_bytes > value_limit(kValueFill);) {
    const auto t = commit_.recent_records.find(it->first);
    if (t == commit_.recent_records.end()) {
      ++it;
      continue;
    }
    manifest_bytes -= t->second.size() + 1;
    if (const auto before = recent_records_.find(it->first); before != recent_records_.end()) {
      t->second = before->second;
      manifest_bytes += t->second.size() + 1;
    } else {
      commit_.recent_records.erase(t);
    }
    postponed.push_back(it->second);
    it = changed.erase(it);
  }
}

// Users and workers who wait for a job of this round are answered with it, the others later.
void Controller::move_pending_responses_to_commit() {
  std::set<std::string> postponed;
  for (const Job* job : dirty_jobs_) postponed.insert(job->spec().id);
  std::vector<PendingResponse> pending_responses = std::exchange(pending_responses_, {});
  for (PendingResponse& waiter : pending_responses)
    (postponed.contains(waiter.id) ? pending_responses_ : commit_.pending_responses)
        .push_back(std::move(waiter));
  std::vector<FinishedTask> finished = std::exchange(finished_tasks_, {});
  for (FinishedTask& task : finished)
    (postponed.contains(task.job) ? finished_tasks_ : commit_.finished_tasks)
        .push_back(std::move(task));
}

// Sends the open round's transaction, again if need be. Without an answer it may have been carried
// out, or may be later; but as it is conditional on the head, it can be so only once, and nothing
// else is written until its fate is known.
void Controller::resolve_uncertain_commit() {
  if (!holds_valid_lease(clock_.now)) {
    commit_retry_at_ = clock_.now + 50;
    return;
  }
  const std::uint64_t term = election_.term();
  outbox_.write_budget().spend(
      static_cast<double>(commit_.call.puts.size() + commit_.call.deletes.size()), clock_.now);
  outbox_.call_kv_store(
      commit_.call,
      [this, term](const KvResponse& reply) {
        if (term == election_.term() && election_.is_leader()) handle_commit_response(reply);
      },
      KvUrgency::Urgent);
}

// Too large, although it is within the limits as we know them. Whether an earlier copy of it was
// carried out isn't known; whoever leads next reads that, and writes smaller rounds.
void Controller::commit_rejected() {
  std::size_t largest = 0;
  std::string key;
  for (const KvRequest::Put& put : commit_.call.puts) {
    if (put.value.size() < largest) continue;
    largest = put.value.size();
    key = put.key;
  }
  outbox_.log(Log::Level::Error, LogEvent::CommitRejected,
              {{"seq", commit_.seq},
               {"operations", commit_.call.puts.size() + commit_.call.deletes.size()},
               {"largest_key", key},
               {"largest_bytes", largest}});
  rejected_commits_ = std::min(kMostRefusals, rejected_commits_ + 1);
  election_.resign(StepDownCause::CommitRejected, {.back_off = false});
}

void Controller::handle_commit_response(const KvResponse& reply) {
  if (reply.status == 200) return commit_succeeded(reply.revision);
  if (reply.status == 400) return commit_rejected();
  if (reply.status != 409) {
    commit_retry_at_ = clock_.now + (reply.status == 0 ? 0 : 100);
    // Whoever waits is told at once to come back; what they asked for goes on to be written, and a
    // repeat finds it.
    for (auto* pending_responses : {&commit_.pending_responses, &pending_responses_}) {
      for (const PendingResponse& w : *pending_responses)
        outbox_.reject(w.source, RejectReason::KvStoreNotResponding);
      pending_responses->clear();
    }
    if (commit_.retries++ == 0)
      outbox_.log(Log::Level::Info, LogEvent::CommitRetry,
                  {{"seq", commit_.seq}, {"status", reply.status}});
    return;
  }
  if (commit_.flush) return election_.step_down(StepDownCause::CheckpointOverwritten);
  // Either an earlier copy of it was carried out, or another leads.
  const std::uint64_t term = election_.term();
  KvRequest get;
  get.kind = KvRequest::Kind::List;
  get.key = kManifestKey;
  get.limit = 1;
  outbox_.call_kv_store(
      get,
      [this, term](const KvResponse& r) {
        if (term != election_.term() || !election_.is_leader()) return;
        if (r.status != 200) {
          commit_retry_at_ = clock_.now + 100;
          return;
        }
        Snapshot image;
        for (const KvItem& item : r.items) image.apply(item);
        if (image.manifest.seq == commit_.seq && image.manifest.epoch == election_.epoch())
          commit_succeeded(image.manifest_version);
        else
          election_.step_down(StepDownCause::CheckpointOverwritten);
      },
      KvUrgency::Urgent);
}

void Controller::commit_succeeded(std::uint64_t revision) {
  CheckpointCommit r = std::move(commit_);
  commit_ = CheckpointCommit{};
  commit_in_flight_ = false;
  last_commit_at_ = clock_.now;
  commit_retry_at_ = kNever;
  recent_records_ = std::move(r.recent_records);
  if (r.flush) return;
  manifest_seq_ = r.seq;
  manifest_version_ = revision;
  if (r.features) {
    features_written_ = gangs_enabled_ = true;
    outbox_.log(Log::Level::Info, LogEvent::GangsEnabled);
  }
  if (r.shares) perform_share_actions(quotas_.committed(clock_.now));
  for (const std::string& name : r.machines_added)
    if (Machine* m = tables_.machine(name)) {
      if (!m->recorded) scheduling_needed_ = true;
      m->recorded = true;
      m->record_dirty = false;
    }
  for (const std::string& request : r.scale_outs)
    if (const auto it = scale_outs_.find(request); it != scale_outs_.end())
      it->second.committed = true;
  for (const FinishedTask& f : r.finished_tasks)
    // Now that it is written that the task is finished, its worker may forget it.
    if (Machine* m = tables_.machine(f.machine))
      for (TaskAttempt& p : m->attempts)
        if (p.state == AttemptState::Exited && p.key.index == f.index && p.key.job == f.job)
          p.exit_committed = true;
  std::vector<Job*> over;
  for (const auto& [id, phase, final, started] : r.jobs) {
    Job* job = tables_.job(id);
    if (job == nullptr) continue;
    if (!job->committed) scheduling_needed_ = true;
    job->committed = true;
    job->in_flight_phase.reset();
    job->stored = std::move(job->in_flight_record);
    job->committed_phase = phase;
    job->started = started;
    if (final) over.push_back(job);
  }
  for (const PendingResponse& w : r.pending_responses) {
    if (const Job* job = tables_.job(w.id))
      respond_with_job(w.source, w.status, view(*job));
    else if (const auto f = tables_.finished.find(w.id); f != tables_.finished.end())
      respond_with_job(w.source, w.status, view(w.id, f->second));
    else
      outbox_.reject(w.source, RejectReason::JobMissingAfterCommit);
  }
  for (Job* job : over) finish_job(*job);
}

bool Controller::too_many_waiting() const {
  return pending_responses_.size() + commit_.pending_responses.size() > most_open_requests();
}

// Each user or worker that waits for an answer has a socket at one of the controllers.
std::size_t Controller::most_open_requests() const {
  return settings_.limits.sockets * (1 + peers_.size());
}

// To be answered once what is known of the job is in the checkpoint: with the round in flight, if
// that has it.
void Controller::respond_after_commit(const Job& job, const RequestSource& source, int status) {
  if (commit_.retries > 0) return outbox_.reject(source, RejectReason::KvStoreNotResponding);
  if (too_many_waiting()) return outbox_.reject(source, RejectReason::TooManyRequests);
  // The round in flight may have been sent before the last change: a cancellation was once answered
  // "running" with the round that recorded that it had been asked for.
  const bool with_this = job.in_flight_phase && !job.dirty;
  (with_this ? commit_.pending_responses : pending_responses_)
      .push_back({source, status, job.spec().id});
}

// While a round is in flight, or its answer was lost, another node may have read what it wrote and
// told a user so. What it changes is answered once its fate is known, and not in the old form.
void Controller::respond_committed(const RequestSource& source, int status, const Job& job) {
  if (!job.committed || job.in_doubt()) return respond_after_commit(job, source, status);
  respond_with_job(source, status, view(job));
}

// Marks a job that is over for its last record, once none of its tasks can be on a machine.
void Controller::finalize_if_over(Job& job) {
  if (job.active() || job.record.final || job.placed > 0 || job.unknown > 0) return;
  if (!job.orphans.empty()) return;
  job.record.final = true;
  touch(job);
  if (job.record.phase == Phase::Active) cancel_over(job);
  if (job.spec().tasks > kInlineBits)
    for (std::size_t i = 0; i * kSmallPieceBits < job.spec().tasks; ++i) job.dirty_pieces.insert(i);
}

void Controller::touch(Job& job) {
  if (!job.dirty) dirty_jobs_.push_back(&job);
  job.dirty = true;
}

// The job's last record is written: only its final state is kept.
void Controller::finish_job(Job& job) {
  const std::string id = job.spec().id;
  const bool done = job.record.phase == Phase::Done;
  outbox_.log(Log::Level::Info, done ? LogEvent::JobDone : LogEvent::JobCancelled, {{"job", id}});
  for (const std::string& name : job.machines_used) {
    ++examined_;
    Machine* m = tables_.machine(name);
    if (m == nullptr) continue;
    for (TaskAttempt& p : m->attempts) {
      if (p.job == &job) p.job = nullptr;
      if (p.orphan_of == &job) p.orphan_of = nullptr;
    }
  }
  gangs_.erase(id);
  tables_.finished[id] = {job.record.phase, job.spec().tasks, job.record.seq};
  std::erase(dirty_jobs_, &job);
  tables_.remove_job(id);
  scheduling_needed_ = true;
}

}  // namespace sailreel
