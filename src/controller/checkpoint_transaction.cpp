// Puts a commit's transaction together within the limits of the key-value store.
#include <algorithm>
#include <utility>

#include "controller/checkpoint_writer.hpp"

namespace sailreel {
namespace {
/// The manifest keeps the latest records while they take less than this part of its value; then
/// they are flushed to their shards.
constexpr double kFlushAbove = 0.75;
/// They are flushed until the manifest is down to this. The longer they stay, the more changes of a
/// job and of its neighbours in a shard are written at once.
constexpr double kFlushDownTo = 0.45;
/// What the conditions of a commit take, at most.
constexpr std::size_t kConditionBytes = 1024;
/// What stands between and around the records of a value, and the fields of a scale-out request.
constexpr std::size_t kPunctuationBytes = 64;
/// Writes of shares in one commit: with the manifest, that makes five operations.
constexpr std::size_t kMostShareWrites = 4;

std::string record_text(Job& job, std::uint64_t seq) {
  job.record.seq = seq;
  return encode_record(job.record);
}

std::size_t scale_out_size(const ScaleOutRequest& scale_out) {
  return kPunctuationBytes + scale_out.request.size() + scale_out.type.size() +
         scale_out.zone.size();
}

// A finished job's pieces are deleted, as far as there are any. `dirty_pieces` says which are left.
bool erase_bitmap(CompareAndSwapBuilder& transaction, Job& job) {
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

}  // namespace

// How many writes beside the manifest leave that share of the burst.
std::size_t CheckpointWriter::operations_allowed(double reserve_share) {
  const double available = outbox_.write_budget().available(clock_.now);
  return static_cast<std::size_t>(
      std::max(0.0, available - 1 - reserve_share * outbox_.write_budget().burst()));
}

std::size_t CheckpointWriter::operations_limit() const {
  return std::max<std::size_t>(1 + kLeastOperations, settings_.store.txn_ops >> rejected_commits_);
}

// Puts the next commit together and sends it.
void CheckpointWriter::send_commit() {
  commit_ = CheckpointCommit{};
  commit_.recent_records = recent_records_;
  if (manifest_bytes_of(recent_records_) > value_limit(kValueFill)) return send_flush();
  commit_.seq = manifest_seq_ + 1;
  const std::size_t allowed =
      1 + (!someone_waits() ? std::max(kLeastOperations, operations_allowed(kBackgroundReserve))
                            : operations_allowed(kUrgentReserve));
  const std::size_t most = operations_limit();
  CompareAndSwapBuilder transaction(std::min(most, allowed), kConditionBytes + value_limit(1));

  const LeaderTerm leader = listener_.leader_term();
  Manifest manifest{commit_.seq, leader.epoch, {}};
  std::size_t manifest_bytes = add_scale_outs(manifest);
  add_features(transaction);
  add_shares(transaction);
  // Where a transaction takes few changes, lists of machines leave some to a manifest that fills
  // up.
  if (manifest_bytes_of(commit_.recent_records) > value_limit(kFlushAbove))
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
  // Without all operations, a manifest that is full would take no more records.
  const bool full = manifest_bytes > value_limit(kValueFill);
  transaction.limit_operations(full ? most
                                    : std::min(most, std::max(allowed, transaction.operations())));
  if (manifest_bytes > value_limit(kFlushAbove))
    manifest_bytes -= flush_recent_records(transaction, manifest_bytes - value_limit(kFlushDownTo));
  if (manifest_bytes > value_limit(kValueFill)) postpone_excess(changed, postponed, manifest_bytes);

  std::vector<std::string> records;
  for (const auto& [id, text] : commit_.recent_records) records.push_back(text);
  commit_.call = std::move(transaction)
                     .finish({{kEpochKey, leader.epoch_version}, {kManifestKey, manifest_version_}},
                             {kManifestKey, encode_manifest(manifest, records), 0});
  for (auto& [id, job] : changed) {
    job->dirty = false;
    job->in_flight_phase = job->record.phase;
    commit_.jobs.push_back({id, job->record.phase, job->record.final, job->record.started});
  }
  changed_jobs_ = std::move(postponed);
  move_pending_responses_to_commit();
  commit_in_flight_ = true;
  log_commit();
  resolve_uncertain_commit();
}

// What a commit writes, by the kind of key.
void CheckpointWriter::log_commit() {
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

// What a manifest with these records, and the pending scale-outs, takes.
std::size_t CheckpointWriter::manifest_bytes_of(
    const std::map<std::string, std::string>& recent_records) const {
  std::size_t bytes = scale_out_bytes();
  for (const auto& [id, text] : recent_records) bytes += text.size() + 1;
  return bytes;
}

std::size_t CheckpointWriter::scale_out_bytes() const {
  std::size_t bytes = kPunctuationBytes;
  for (const auto& [request, scale_out] : scale_outs_) bytes += scale_out_size(scale_out.request);
  return bytes;
}

bool CheckpointWriter::scale_out_fits(const ScaleOutRequest& scale_out) const {
  return scale_out_bytes() + scale_out_size(scale_out) <= value_limit(kScaleOutFill);
}

// A manifest of a time with higher limits is too large to be written again with one change: first
// its records are flushed to shards, a few in each commit, while it stays as it is. Each shard is
// written once, and always with the same records: so a copy of such a transaction that is carried
// out late changes nothing, although no key that it is conditional on has changed meanwhile.
void CheckpointWriter::send_flush() {
  commit_.flush = true;
  commit_.seq = manifest_seq_;
  CompareAndSwapBuilder transaction(operations_limit(), kConditionBytes);
  flush_recent_records(transaction, SIZE_MAX);
  commit_.call = std::move(transaction)
                     .finish({{kEpochKey, listener_.leader_term().epoch_version},
                              {kManifestKey, manifest_version_}});
  outbox_.log(Log::Level::Info, LogEvent::ManifestFlush, {{"left", commit_.recent_records.size()}});
  commit_in_flight_ = true;
  resolve_uncertain_commit();
}

// The pending scale-outs lie in the manifest; what they take isn't there for jobs. Returns their
// size.
std::size_t CheckpointWriter::add_scale_outs(Manifest& manifest) {
  for (const auto& [request, scale_out] : scale_outs_) {
    manifest.scale_outs.push_back(scale_out.request);
    commit_.scale_outs.push_back(request);
  }
  scale_outs_changed_ = false;
  return scale_out_bytes();
}

// Once every controller understands gangs, that is written down: a later leader need not hear all
// of them again.
void CheckpointWriter::add_features(CompareAndSwapBuilder& transaction) {
  if (features_written_ || !peers_.all_understand_gangs()) return;
  commit_.features = transaction.put(kFeaturesKey, encode_features({.gangs = true}));
}

// Adds what is to be written of the shares; all of it, or none.
void CheckpointWriter::add_shares(CompareAndSwapBuilder& transaction) {
  if (!quotas_.wants_commit()) return;
  const std::size_t room = operations_limit() - transaction.operations();
  for (auto& write : quotas_.writes(std::min(room, kMostShareWrites))) {
    commit_.shares = true;
    transaction.put(write.key, std::move(write.value));
  }
}

void CheckpointWriter::add_machine_shards(CompareAndSwapBuilder& transaction) {
  const std::size_t hints = operations_allowed(kImageHintReserve);
  if (changed_machine_shards_.empty() &&
      (stale_image_shards_.empty() || transaction.operations() > hints))
    return;
  while (!changed_machine_shards_.empty()) {
    const std::size_t shard = *changed_machine_shards_.begin();
    if (!add_machine_shard(transaction, shard)) break;
  }
  while (!stale_image_shards_.empty() && transaction.operations() <= hints) {
    const std::size_t shard = *stale_image_shards_.begin();
    if (!add_machine_shard(transaction, shard)) break;
  }
}

// The machines of the shard alone are looked at. A look at all machines for each shard grew with
// the square of a fleet that boots: at some 5,000 machines the leader lost its lease.
bool CheckpointWriter::add_machine_shard(CompareAndSwapBuilder& transaction, std::size_t shard) {
  std::vector<MachineRecord> list;
  std::vector<std::string> names;
  for (const Machine* machine : tables_.machines_of_shard(shard)) {
    ++examined_;
    if (!machine->recorded && !machine->record_dirty) continue;
    list.push_back(
        {machine->name, machine->address, {machine->images.begin(), machine->images.end()}});
    names.push_back(machine->name);
  }
  const std::string value = encode_machines_within(std::move(list), value_limit(kValueFill));
  const std::string key = machines_key(shard);
  const bool added = names.empty() ? transaction.erase(key) : transaction.put(key, value);
  if (!added) return false;
  commit_.machines_added.insert(commit_.machines_added.end(), names.begin(), names.end());
  changed_machine_shards_.erase(shard);
  stale_image_shards_.erase(shard);
  return true;
}

// Adds the changed pieces of the jobs' bitmaps. Returns the jobs whose record may be written in
// this commit: those of which no piece is left.
std::map<std::string, Job*> CheckpointWriter::add_bitmaps(CompareAndSwapBuilder& transaction,
                                                          std::vector<Job*>& postponed) {
  std::map<std::string, Job*> whole;
  for (Job* job : changed_jobs_)
    if (add_bitmap(transaction, *job))
      whole[job->spec().id] = job;
    else
      postponed.push_back(job);
  return whole;
}

// Whether pieces of the larger kind may be too large to be written. As long as a controller of an
// older version may lead, which reads only these, they are written all the same, unless that was
// refused before.
bool CheckpointWriter::small_pieces() const {
  return value_limit(1) < encode_piece(std::string(kPieceBits / kBitsPerDigit, '0')).size() &&
         (gangs_enabled_ || rejected_commits_ > 0);
}

bool CheckpointWriter::add_bitmap(CompareAndSwapBuilder& transaction, Job& job) {
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

// Flushes `wanted` bytes of the recent records, or as much as the transaction takes, to their
// shards, together with what lies there already. Returns how many bytes of the manifest that frees.
std::size_t CheckpointWriter::flush_recent_records(CompareAndSwapBuilder& transaction,
                                                   std::size_t wanted) {
  std::map<std::size_t, std::vector<std::string>> by_shard;
  for (const auto& [id, text] : commit_.recent_records)
    by_shard[shards_.place(id, reserve_for(id, text))].push_back(id);
  // Those first that free most with one write.
  std::vector<std::pair<std::size_t, std::size_t>> order;  // recent records, and their shard
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
bool CheckpointWriter::put_shard(CompareAndSwapBuilder& transaction, std::size_t shard) {
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

std::size_t CheckpointWriter::reserve_for(const std::string& id, const std::string& text) {
  const Job* job = tables_.job(id);
  return record_reserve(job == nullptr || job->record.final, text.size());
}

// A job's record for its shard; empty if there is none yet.
std::string CheckpointWriter::text_for_shard(const std::string& id) {
  if (const auto recent = commit_.recent_records.find(id); recent != commit_.recent_records.end())
    return recent->second;
  // As the checkpoint has it. Encoded from memory, a change that waits for a later commit would be
  // read by other controllers before that commit, and told to users.
  if (const Job* job = tables_.job(id)) return job->stored;
  const auto finished = tables_.finished.find(id);
  if (finished == tables_.finished.end()) return {};
  JobRecord record;
  record.final = true;
  record.spec.id = id;
  record.spec.tasks = finished->second.tasks;
  record.phase = finished->second.phase;
  record.seq = finished->second.seq;
  return encode_record(record);
}

// A burst larger than one commit: the rest of it waits for the next.
void CheckpointWriter::postpone_excess(std::map<std::string, Job*>& changed,
                                       std::vector<Job*>& postponed, std::size_t manifest_bytes) {
  for (auto it = changed.begin();
       it != changed.end() && manifest_bytes > value_limit(kValueFill);) {
    const auto recent = commit_.recent_records.find(it->first);
    if (recent == commit_.recent_records.end()) {
      ++it;
      continue;
    }
    manifest_bytes -= recent->second.size() + 1;
    if (const auto before = recent_records_.find(it->first); before != recent_records_.end()) {
      recent->second = before->second;
      manifest_bytes += recent->second.size() + 1;
    } else {
      commit_.recent_records.erase(recent);
    }
    postponed.push_back(it->second);
    it = changed.erase(it);
  }
}

// Users and workers who wait for a job of this commit get their response with it, the others later.
void CheckpointWriter::move_pending_responses_to_commit() {
  std::set<std::string> postponed;
  for (const Job* job : changed_jobs_) postponed.insert(job->spec().id);
  std::vector<PendingResponse> pending_responses = std::exchange(pending_responses_, {});
  for (PendingResponse& response : pending_responses)
    (postponed.contains(response.id) ? pending_responses_ : commit_.pending_responses)
        .push_back(std::move(response));
  std::vector<FinishedTask> finished = std::exchange(finished_tasks_, {});
  for (FinishedTask& task : finished)
    (postponed.contains(task.job) ? finished_tasks_ : commit_.finished_tasks)
        .push_back(std::move(task));
}

}  // namespace sailreel
