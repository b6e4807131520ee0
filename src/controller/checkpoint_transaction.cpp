// Builds the transaction of a commit within the limits of the key-value store.
#include <algorithm>
#include <utility>

#include "controller/checkpoint_writer.hpp"

namespace sailreel {
namespace {
/// Recent records are flushed from the manifest to their shards when the manifest takes more than
/// this share of the limit on a value.
constexpr double kFlushStartFill = 0.75;
/// A flush reduces the manifest to this share of the limit. The longer records stay in the
/// manifest, the more changes of a job and of the other jobs in its shard are combined into one
/// write.
constexpr double kFlushTargetFill = 0.45;
/// Upper bound of the size of a commit's conditions.
constexpr std::size_t kMaxConditionBytes = 1024;
/// Allowance for the punctuation of a value around its records, and of a scale-out request around
/// its fields.
constexpr std::size_t kPunctuationBytes = 64;
/// Maximum number of share writes in one commit: five operations together with the manifest.
constexpr std::size_t kMaxShareWritesPerCommit = 4;

std::string encode_with_seq(Job& job, std::uint64_t seq) {
  job.record.seq = seq;
  return encode_record(job.record);
}

std::size_t scale_out_size(const ScaleOutRequest& scale_out) {
  return kPunctuationBytes + scale_out.request_id.size() + scale_out.type.size() +
         scale_out.zone.size();
}

// Deletes the bitmap pieces that a finished job has in the checkpoint. Returns false if the
// transaction is full; `dirty_pieces` then holds the pieces that are left.
bool erase_bitmap(CompareAndSwapBuilder& transaction, Job& job) {
  const std::string& id = job.spec().id;
  constexpr std::size_t kSmallPiecesPerPiece = kPieceBits / kSmallPieceBits;
  while (!job.dirty_pieces.empty()) {
    const std::size_t piece = *job.dirty_pieces.begin();
    const bool first_of_piece = piece % kSmallPiecesPerPiece == 0;
    if (job.has_pieces && first_of_piece &&
        !transaction.erase(bitmap_key(id, piece / kSmallPiecesPerPiece)))
      return false;
    if (job.has_small_pieces && !transaction.erase(small_bitmap_key(id, piece))) return false;
    job.dirty_pieces.erase(piece);
  }
  return true;
}

}  // namespace

// Returns the number of writes beside the manifest that leave `reserve_share` of the write burst
// unspent.
std::size_t CheckpointWriter::operations_within_budget(double reserve_share) {
  const double available = outbox_.write_budget().available(clock_.now);
  return static_cast<std::size_t>(
      std::max(0.0, available - 1 - reserve_share * outbox_.write_budget().burst()));
}

std::size_t CheckpointWriter::operations_limit() const {
  return std::max<std::size_t>(1 + kMinWritesBesideManifest,
                               settings_.store_limits.txn_ops >> rejected_commits_);
}

// Builds the next commit and sends it.
void CheckpointWriter::start_commit() {
  commit_ = CheckpointCommit{};
  commit_.recent_records = recent_records_;
  if (manifest_bytes_of(recent_records_) > max_value_bytes(kValueFill)) return start_flush();
  commit_.seq = manifest_seq_ + 1;
  const std::size_t allowed_operations =
      1 + (!commit_is_urgent() ? std::max(kMinWritesBesideManifest,
                                          operations_within_budget(kBackgroundReserveShare))
                               : operations_within_budget(kUrgentReserveShare));
  const std::size_t max_operations = operations_limit();
  CompareAndSwapBuilder transaction(std::min(max_operations, allowed_operations),
                                    kMaxConditionBytes + max_value_bytes(1));

  const LeaderTerm leader = listener_.leader_term();
  Manifest manifest{commit_.seq, leader.epoch, {}};
  std::size_t manifest_bytes = add_scale_outs(manifest);
  add_features(transaction);
  add_shares(transaction);
  // If the manifest is about to be flushed, the machine lists get at most half of the operations.
  // The flush needs the others, also where the store allows few operations in a transaction.
  if (manifest_bytes_of(commit_.recent_records) > max_value_bytes(kFlushStartFill))
    transaction.limit_operations(1 + (std::min(max_operations, allowed_operations) - 1) / 2);
  add_machine_shards(transaction);
  transaction.limit_operations(std::min(max_operations, allowed_operations));
  // Users may wait for jobs whose bitmaps have to be written first, so these may use all
  // operations.
  if (!pending_responses_.empty()) transaction.limit_operations(max_operations);
  std::vector<Job*> postponed;
  std::map<std::string, Job*> changed = add_bitmaps(transaction, postponed);

  for (auto& [id, job] : changed)
    commit_.recent_records[id] = job->in_flight_record = encode_with_seq(*job, commit_.seq);
  for (const auto& [id, text] : commit_.recent_records) manifest_bytes += text.size() + 1;
  // A full manifest takes no more records until it is flushed, so the flush may use all operations.
  const bool manifest_full = manifest_bytes > max_value_bytes(kValueFill);
  transaction.limit_operations(
      manifest_full
          ? max_operations
          : std::min(max_operations, std::max(allowed_operations, transaction.operations())));
  if (manifest_bytes > max_value_bytes(kFlushStartFill))
    manifest_bytes -=
        flush_recent_records(transaction, manifest_bytes - max_value_bytes(kFlushTargetFill));
  if (manifest_bytes > max_value_bytes(kValueFill))
    postpone_excess(changed, postponed, manifest_bytes);

  std::vector<std::string> records;
  for (const auto& [id, text] : commit_.recent_records) records.push_back(text);
  commit_.request =
      std::move(transaction)
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
  send_commit_in_flight();
}

// Logs the number of a commit's writes by the kind of key.
void CheckpointWriter::log_commit() {
  std::size_t jobs = 0, machines = 0, other = 0;
  for (const KvRequest::Put& put : commit_.request.puts) {
    if (put.key.starts_with(kShardPrefix))
      ++jobs;
    else if (put.key.starts_with(kMachinesPrefix))
      ++machines;
    else
      ++other;
  }
  outbox_.log(Log::Level::Debug, LogEvent::CheckpointCommit,
              {{"seq", commit_.seq},
               {"job_shards", jobs},
               {"machine_shards", machines},
               {"other", other + commit_.request.deletes.size()},
               {"manifest_bytes",
                commit_.request.puts.empty() ? 0 : commit_.request.puts.front().value.size()},
               {"changes", commit_.jobs.size()},
               {"responses", commit_.pending_responses.size()}});
}

// Returns the size of a manifest with these records and the pending scale-outs.
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
  return scale_out_bytes() + scale_out_size(scale_out) <= max_value_bytes(kScaleOutFill);
}

// Flushes records of a manifest that was written under higher limits and is now too large to be
// written again. Its records are first flushed to their shards, a few in each commit, while the
// manifest stays unchanged. Each shard is written once, and always with the same records. Therefore
// a copy of such a transaction that is carried out late changes nothing, although its conditions
// still hold.
void CheckpointWriter::start_flush() {
  commit_.is_flush = true;
  commit_.seq = manifest_seq_;
  CompareAndSwapBuilder transaction(operations_limit(), kMaxConditionBytes);
  flush_recent_records(transaction, SIZE_MAX);
  commit_.request = std::move(transaction)
                        .finish({{kEpochKey, listener_.leader_term().epoch_version},
                                 {kManifestKey, manifest_version_}});
  outbox_.log(Log::Level::Info, LogEvent::ManifestFlush, {{"left", commit_.recent_records.size()}});
  commit_in_flight_ = true;
  send_commit_in_flight();
}

// Adds the pending scale-outs to the manifest, where they reduce the room for jobs. Returns their
// size.
std::size_t CheckpointWriter::add_scale_outs(Manifest& manifest) {
  for (const auto& [request, scale_out] : scale_outs_) {
    manifest.scale_outs.push_back(scale_out.request);
    commit_.scale_outs.push_back(request);
  }
  scale_outs_changed_ = false;
  return scale_out_bytes();
}

// Records that every controller understands gangs once this is so, so that a later leader need not
// hear from all of them again.
void CheckpointWriter::add_features(CompareAndSwapBuilder& transaction) {
  if (features_written_ || !peers_.all_understand_gangs()) return;
  commit_.has_features = transaction.put(kFeaturesKey, encode_features({.gangs = true}));
}

// Adds the pending writes of shares, as many as fit. `writes` returns only complete changes, so all
// of the writes that it returns have to be part of the commit.
void CheckpointWriter::add_shares(CompareAndSwapBuilder& transaction) {
  if (!quotas_.wants_commit()) return;
  const std::size_t operations_left = operations_limit() - transaction.operations();
  for (auto& write : quotas_.writes(std::min(operations_left, kMaxShareWritesPerCommit))) {
    commit_.has_shares = true;
    transaction.put(write.key, std::move(write.value));
  }
}

void CheckpointWriter::add_machine_shards(CompareAndSwapBuilder& transaction) {
  const std::size_t max_operations_with_hints = operations_within_budget(kImageHintReserveShare);
  if (changed_machine_shards_.empty() &&
      (stale_image_shards_.empty() || transaction.operations() > max_operations_with_hints))
    return;
  while (!changed_machine_shards_.empty()) {
    const std::size_t shard = *changed_machine_shards_.begin();
    if (!add_machine_shard(transaction, shard)) break;
  }
  while (!stale_image_shards_.empty() && transaction.operations() <= max_operations_with_hints) {
    const std::size_t shard = *stale_image_shards_.begin();
    if (!add_machine_shard(transaction, shard)) break;
  }
}

// Examines only the machines of the shard. Examining all machines for each shard took time that
// grew with the square of the number of booting machines: at about 5,000 machines the leader lost
// its lease.
bool CheckpointWriter::add_machine_shard(CompareAndSwapBuilder& transaction, std::size_t shard) {
  std::vector<MachineRecord> records;
  std::vector<std::string> machine_names;
  for (const Machine* machine : tables_.machines_of_shard(shard)) {
    ++examined_;
    if (!machine->recorded && !machine->record_dirty) continue;
    records.push_back(
        {machine->name, machine->address, {machine->images.begin(), machine->images.end()}});
    machine_names.push_back(machine->name);
  }
  const std::string value = encode_machines_within(std::move(records), max_value_bytes(kValueFill));
  const std::string key = machines_key(shard);
  const bool added = machine_names.empty() ? transaction.erase(key) : transaction.put(key, value);
  if (!added) return false;
  commit_.machines_added.insert(commit_.machines_added.end(), machine_names.begin(),
                                machine_names.end());
  changed_machine_shards_.erase(shard);
  stale_image_shards_.erase(shard);
  return true;
}

// Adds the changed pieces of the jobs' bitmaps. Returns the jobs whose record may be written in
// this commit because no changed piece is left; the others are added to `postponed`.
std::map<std::string, Job*> CheckpointWriter::add_bitmaps(CompareAndSwapBuilder& transaction,
                                                          std::vector<Job*>& postponed) {
  std::map<std::string, Job*> complete;
  for (Job* job : changed_jobs_)
    if (add_bitmap(transaction, *job))
      complete[job->spec().id] = job;
    else
      postponed.push_back(job);
  return complete;
}

// Whether bitmaps are written in small pieces because regular pieces may be too large. A controller
// of an older version reads only regular pieces. As long as one may lead, regular pieces are
// written nevertheless, unless the store has rejected a commit.
bool CheckpointWriter::use_small_pieces() const {
  return max_value_bytes(1) < encode_piece(std::string(kPieceBits / kBitsPerDigit, '0')).size() &&
         (gangs_enabled_ || rejected_commits_ > 0);
}

bool CheckpointWriter::add_bitmap(CompareAndSwapBuilder& transaction, Job& job) {
  if (job.record.final) return erase_bitmap(transaction, job);
  const bool small = use_small_pieces();
  const std::size_t bits = small ? kSmallPieceBits : kPieceBits;
  const std::size_t small_pieces_per_piece = bits / kSmallPieceBits;
  while (!job.dirty_pieces.empty()) {
    const std::size_t piece = *job.dirty_pieces.begin() / small_pieces_per_piece;
    const std::string& id = job.spec().id;
    const std::string key = small ? small_bitmap_key(id, piece) : bitmap_key(id, piece);
    if (!transaction.put(key, encode_piece(job.record.done.hex(piece * bits, bits)))) return false;
    (small ? job.has_small_pieces : job.has_pieces) = true;
    const std::size_t first_small_piece = piece * small_pieces_per_piece;
    job.dirty_pieces.erase(
        job.dirty_pieces.lower_bound(first_small_piece),
        job.dirty_pieces.lower_bound(first_small_piece + small_pieces_per_piece));
  }
  return true;
}

// Flushes recent records to their shards, which keep their other records, until at least
// `wanted_bytes` of the manifest are freed or the transaction is full. Returns the number of bytes
// that are freed.
std::size_t CheckpointWriter::flush_recent_records(CompareAndSwapBuilder& transaction,
                                                   std::size_t wanted_bytes) {
  std::map<std::size_t, std::vector<std::string>> by_shard;
  for (const auto& [id, text] : commit_.recent_records)
    by_shard[shards_.place(id, reserve_bytes_for(id, text))].push_back(id);
  // Shards with the most recent records come first, because one write frees the most then.
  std::vector<std::pair<std::size_t, std::size_t>> flush_order;  // recent records, and their shard
  flush_order.reserve(by_shard.size());
  for (const auto& [shard, ids] : by_shard) flush_order.emplace_back(ids.size(), shard);
  std::stable_sort(flush_order.begin(), flush_order.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  std::size_t freed_bytes = 0;
  for (const auto& [count, shard] : flush_order) {
    if (freed_bytes >= wanted_bytes) break;
    if (!put_shard(transaction, shard)) continue;
    for (const std::string& id : by_shard[shard]) {
      freed_bytes += commit_.recent_records[id].size() + 1;
      commit_.recent_records.erase(id);
    }
  }
  return freed_bytes;
}

// Writes a shard with all its jobs; returns false if the shard is too large or the transaction
// full.
bool CheckpointWriter::put_shard(CompareAndSwapBuilder& transaction, std::size_t shard) {
  std::vector<std::string> records;
  std::size_t bytes = kPunctuationBytes;
  const std::set<std::string> jobs_in_shard = shards_.jobs_in(shard);
  for (const std::string& id : jobs_in_shard) {
    std::string text = record_text_for_shard(id);
    if (text.empty()) continue;
    shards_.set_reserve(id, reserve_bytes_for(id, text));
    bytes += text.size() + 1;
    records.push_back(std::move(text));
  }
  if (bytes > max_value_bytes(kShardGrowthFill)) {
    // The shard is larger than a value may be. Its jobs are assigned other shards when they change.
    shards_.close(shard);
    return false;
  }
  return transaction.put(shard_key(shard), encode_shard(records));
}

std::size_t CheckpointWriter::reserve_bytes_for(const std::string& id, const std::string& text) {
  const Job* job = tables_.job(id);
  return record_reserve(job == nullptr || job->record.final, text.size());
}

// Returns the text of a job's record for its shard; empty if the job has no record yet.
std::string CheckpointWriter::record_text_for_shard(const std::string& id) {
  if (const auto recent = commit_.recent_records.find(id); recent != commit_.recent_records.end())
    return recent->second;
  // The record as the checkpoint has it. If it were encoded from memory, other controllers could
  // read a change that waits for a later commit, and report it to users before that commit.
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

// Moves changed jobs whose records don't fit into the manifest to `postponed`; they wait for the
// next commit.
void CheckpointWriter::postpone_excess(std::map<std::string, Job*>& changed,
                                       std::vector<Job*>& postponed, std::size_t manifest_bytes) {
  for (auto it = changed.begin();
       it != changed.end() && manifest_bytes > max_value_bytes(kValueFill);) {
    const auto recent = commit_.recent_records.find(it->first);
    if (recent == commit_.recent_records.end()) {
      ++it;
      continue;
    }
    manifest_bytes -= recent->second.size() + 1;
    if (const auto previous = recent_records_.find(it->first); previous != recent_records_.end()) {
      recent->second = previous->second;
      manifest_bytes += recent->second.size() + 1;
    } else {
      commit_.recent_records.erase(recent);
    }
    postponed.push_back(it->second);
    it = changed.erase(it);
  }
}

// Assigns to this commit the pending responses and finished tasks of all jobs that are not
// postponed. The others stay for a later commit.
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
