// Rounds: one checkpoint transaction at a time; all that waits goes into the next.
#include <utility>

#include "coordination/core.hpp"
#include "protocol/user_codec.hpp"

namespace sailreel {
namespace {
/// The head keeps the latest changes while they are few; then they move to their shards.
constexpr double kHeadFill = 0.6;
/// What the conditions of a round take, at most.
constexpr std::size_t kConditionBytes = 1024;
constexpr std::size_t kMaxWaiting = 2'000;
/// Shares of the burst of writes that are left to what is more urgent. A round that no user waits
/// for leaves the larger one; beside its head, a round that users wait for leaves the smaller one
/// to the next of its kind. Rounds that drew on the future once made submissions wait for 0.9 s.
constexpr double kBackgroundReserve = 0.5;
constexpr double kUrgentReserve = 0.25;
/// A round that no user waits for has room for at least so many writes beside its head: with none,
/// it would write its head again and again, and get nowhere.
constexpr std::size_t kLeastOperations = 2;
/// Images are written as long as this share of the burst is left.
constexpr double kImageHintReserve = 0.75;
}  // namespace

bool Core::round_needed() const {
  return !dirty_jobs_.empty() || !dirty_machine_shards_.empty() || rentals_dirty_ ||
         !waiting_next_.empty() || !finished_next_.empty();
}

void Core::maybe_commit() {
  if (role_ != Role::Leader) return;
  if (round_open_) {
    if (clock_.now >= round_retry_) {
      round_retry_ = kNever;
      resolve_round();
    }
    return;
  }
  if (!in_command(clock_.now) || (!round_needed() && !image_hints_due())) return;
  double needed = 1;
  if (waiting_next_.empty())
    needed += kLeastOperations + kBackgroundReserve * write_limiter_.burst();
  if (!write_limiter_.allows(needed, clock_.now)) return;
  if (!state_limiter_.allows(settings_.store.rps / 10, clock_.now)) return;
  send_round();
}

bool Core::image_hints_due() {
  return !stale_image_shards_.empty() && operations_allowed(kImageHintReserve) > 0;
}

// How many writes beside the head leave that share of the burst.
std::size_t Core::operations_allowed(double reserve_share) {
  const double available = write_limiter_.available(clock_.now);
  return static_cast<std::size_t>(
      std::max(0.0, available - 1 - reserve_share * write_limiter_.burst()));
}

std::string Core::record_text(Job& job, std::uint64_t seq) {
  job.record.seq = seq;
  return encode_record(job.record);
}

std::size_t Core::value_limit(double fill) const {
  return static_cast<std::size_t>(settings_.store.value_kb * 1024 * fill);
}

// Puts the next round together and sends it.
void Core::send_round() {
  round_ = Round{};
  round_.seq = head_seq_ + 1;
  round_.tail = tail_;
  const std::size_t allowed =
      1 + (waiting_next_.empty()
               ? std::max(kLeastOperations, operations_allowed(kBackgroundReserve))
               : operations_allowed(kUrgentReserve));
  const std::size_t most = settings_.store.txn_ops;
  TransactionBuilder transaction(std::min(most, allowed), kConditionBytes + value_limit(1));

  Head head{round_.seq, epoch_, {}};
  std::size_t head_bytes = add_rentals(head);
  add_machine_shards(transaction);
  // Users may wait for what depends on these.
  if (!waiting_next_.empty()) transaction.limit_operations(most);
  std::vector<Job*> postponed;
  std::map<std::string, Job*> changed = add_bitmaps(transaction, postponed);

  for (auto& [id, job] : changed) round_.tail[id] = job->round_text = record_text(*job, round_.seq);
  for (const auto& [id, text] : round_.tail) head_bytes += text.size() + 1;
  // Without all operations, a head that is full would take no more records.
  const bool full = head_bytes > value_limit(kValueFill);
  transaction.limit_operations(full ? most
                                    : std::min(most, std::max(allowed, transaction.operations())));
  if (head_bytes > value_limit(kHeadFill)) head_bytes -= flush_tail(transaction);
  if (head_bytes > value_limit(kValueFill)) postpone_excess(changed, postponed, head_bytes);

  std::vector<std::string> records;
  for (const auto& [id, text] : round_.tail) records.push_back(text);
  round_.call = std::move(transaction)
                    .finish({{kEpochKey, epoch_version_}, {kHeadKey, head_version_}},
                            {kHeadKey, encode_head(head, records), 0});
  for (auto& [id, job] : changed) {
    job->dirty = false;
    job->round_phase = job->record.phase;
    round_.jobs.push_back({id, job->record.phase, job->record.final, job->record.started});
  }
  dirty_jobs_ = std::move(postponed);
  take_waiters();
  round_open_ = true;
  resolve_round();
}

// The open rentals lie in the head; what they take isn't there for jobs. Returns their size.
std::size_t Core::add_rentals(Head& head) {
  constexpr std::size_t kPunctuationBytes = 64;
  std::size_t bytes = kPunctuationBytes;
  for (const auto& [request, rental] : rentals_) {
    head.rentals.push_back(rental.request);
    bytes += kPunctuationBytes + request.size() + rental.request.type.size() +
             rental.request.zone.size();
    round_.rentals.push_back(request);
  }
  rentals_dirty_ = false;
  return bytes;
}

void Core::add_machine_shards(TransactionBuilder& transaction) {
  const std::size_t hints = operations_allowed(kImageHintReserve);
  while (!dirty_machine_shards_.empty() &&
         add_machine_shard(transaction, *dirty_machine_shards_.begin())) {
  }
  while (!stale_image_shards_.empty() && transaction.operations() <= hints &&
         add_machine_shard(transaction, *stale_image_shards_.begin())) {
  }
}

bool Core::add_machine_shard(TransactionBuilder& transaction, std::size_t shard) {
  std::vector<MachineRecord> list;
  for (const auto& [name, m] : tables_.machines)
    if (machine_shard(name) == shard && (m->recorded || m->record_dirty))
      list.push_back({name, m->address, {m->images.begin(), m->images.end()}});
  std::string value = encode_machines(list);
  if (value.size() > value_limit(kValueFill)) {
    // Images are worth knowing after a take-over, but only the machines have to be known.
    for (MachineRecord& record : list) record.images.clear();
    value = encode_machines(list);
  }
  const std::string key = machines_key(shard);
  if (!(list.empty() ? transaction.erase(key) : transaction.put(key, std::move(value))))
    return false;
  for (const MachineRecord& record : list) round_.machines_added.push_back(record.name);
  dirty_machine_shards_.erase(shard);
  stale_image_shards_.erase(shard);
  return true;
}

// Adds the changed pieces of the jobs' bitmaps. Returns the jobs whose record may be written in
// this round: those of which no piece is left.
std::map<std::string, Job*> Core::add_bitmaps(TransactionBuilder& transaction,
                                              std::vector<Job*>& postponed) {
  std::map<std::string, Job*> whole;
  for (Job* job : dirty_jobs_)
    if (add_bitmap(transaction, *job))
      whole[job->spec().id] = job;
    else
      postponed.push_back(job);
  return whole;
}

bool Core::add_bitmap(TransactionBuilder& transaction, Job& job) {
  while (!job.dirty_pieces.empty()) {
    const std::size_t piece = *job.dirty_pieces.begin();
    const std::string key = bitmap_key(job.spec().id, piece);
    // A finished job's pieces are deleted, as far as there are any.
    const bool added =
        job.record.final
            ? transaction.erase(key)
            : transaction.put(
                  key, "{\"h\":\"" + job.record.done.hex(piece * kPieceBits, kPieceBits) + "\"}");
    if (!added) return false;
    job.dirty_pieces.erase(piece);
  }
  return true;
}

// Moves what doesn't fit into the head to its shards, together with what lies there already.
// Returns how many bytes of the head that frees.
std::size_t Core::flush_tail(TransactionBuilder& transaction) {
  std::map<std::size_t, std::vector<std::string>> by_shard;
  for (const auto& [id, text] : round_.tail)
    by_shard[shards_.place(id, reserve_for(id, text))].push_back(id);
  std::size_t freed = 0;
  for (const auto& [shard, ids] : by_shard) {
    constexpr std::size_t kPunctuationBytes = 32;
    std::vector<std::string> records;
    std::size_t bytes = kPunctuationBytes;
    for (const std::string& id : shards_.jobs_in(shard)) {
      std::string text = text_for_shard(id);
      if (text.empty()) continue;
      shards_.set_reserve(id, reserve_for(id, text));
      bytes += text.size() + 1;
      records.push_back(std::move(text));
    }
    if (bytes > value_limit(1) || !transaction.put(shard_key(shard), encode_shard(records)))
      continue;
    for (const std::string& id : ids) {
      freed += round_.tail[id].size() + 1;
      round_.tail.erase(id);
    }
  }
  return freed;
}

std::size_t Core::reserve_for(const std::string& id, const std::string& text) {
  const Job* job = tables_.job(id);
  return record_reserve(job == nullptr || job->record.final, text.size());
}

// A job's record for its shard; empty if there is none yet.
std::string Core::text_for_shard(const std::string& id) {
  if (const auto t = round_.tail.find(id); t != round_.tail.end()) return t->second;
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
void Core::postpone_excess(std::map<std::string, Job*>& changed, std::vector<Job*>& postponed,
                           std::size_t head_bytes) {
  for (auto it = changed.begin(); it != changed.end() && head_bytes > value_limit(kValueFill);) {
    const auto t = round_.tail.find(it->first);
    if (t == round_.tail.end()) {
      ++it;
      continue;
    }
    head_bytes -= t->second.size() + 1;
    if (const auto before = tail_.find(it->first); before != tail_.end()) {
      t->second = before->second;
      head_bytes += t->second.size() + 1;
    } else {
      round_.tail.erase(t);
    }
    postponed.push_back(it->second);
    it = changed.erase(it);
  }
}

// Users and workers who wait for a job of this round are answered with it, the others later.
void Core::take_waiters() {
  std::set<std::string> postponed;
  for (const Job* job : dirty_jobs_) postponed.insert(job->spec().id);
  std::vector<Waiter> waiters = std::exchange(waiting_next_, {});
  for (Waiter& waiter : waiters)
    (postponed.contains(waiter.id) ? waiting_next_ : round_.waiters).push_back(std::move(waiter));
  std::vector<FinishedTask> finished = std::exchange(finished_next_, {});
  for (FinishedTask& task : finished)
    (postponed.contains(task.job) ? finished_next_ : round_.finished_tasks)
        .push_back(std::move(task));
}

// Sends the open round's transaction, again if need be. Without an answer it may have been carried
// out, or may be later; but as it is conditional on the head, it can be so only once, and nothing
// else is written until its fate is known.
void Core::resolve_round() {
  if (!in_command(clock_.now)) {
    round_retry_ = clock_.now + 50;
    return;
  }
  const std::uint64_t term = term_;
  write_limiter_.spend(static_cast<double>(round_.call.puts.size() + round_.call.deletes.size()),
                       clock_.now);
  call_state(
      round_.call,
      [this, term](const StateReply& reply) {
        if (term == term_ && role_ == Role::Leader) round_done(reply);
      },
      true);
}

void Core::round_done(const StateReply& reply) {
  if (reply.status == 200) return round_committed(reply.revision);
  if (reply.status == 400) {
    log(Log::Level::Error, "event=round_refused seq=", round_.seq);
    return step_down("the state service finds the checkpoint malformed");
  }
  if (reply.status != 409) {
    round_retry_ = clock_.now + (reply.status == 0 ? 0 : 100);
    // Whoever waits is told at once to come back; what they asked for goes on to be written, and a
    // repeat finds it.
    for (auto* waiters : {&round_.waiters, &waiting_next_}) {
      for (const Waiter& w : *waiters) refuse(w.origin, "the state service does not answer");
      waiters->clear();
    }
    if (round_.retries++ == 0)
      log(Log::Level::Info, "event=round_retry seq=", round_.seq, " status=", reply.status);
    return;
  }
  // Either an earlier copy of it was carried out, or another leads.
  const std::uint64_t term = term_;
  StateCall get;
  get.kind = StateCall::Kind::List;
  get.key = kHeadKey;
  get.limit = 1;
  call_state(
      get,
      [this, term](const StateReply& r) {
        if (term != term_ || role_ != Role::Leader) return;
        if (r.status != 200) {
          round_retry_ = clock_.now + 100;
          return;
        }
        Snapshot image;
        for (const StateItem& item : r.items) image.apply(item);
        if (image.head.seq == round_.seq && image.head.epoch == epoch_)
          round_committed(image.head_version);
        else
          step_down("the checkpoint is another's");
      },
      true);
}

void Core::round_committed(std::uint64_t revision) {
  Round r = std::move(round_);
  round_ = Round{};
  round_open_ = false;
  round_retry_ = kNever;
  head_seq_ = r.seq;
  head_version_ = revision;
  tail_ = std::move(r.tail);
  for (const std::string& name : r.machines_added)
    if (Machine* m = tables_.machine(name)) {
      if (!m->recorded) placement_dirty_ = true;
      m->recorded = true;
      m->record_dirty = false;
    }
  for (const std::string& request : r.rentals)
    if (const auto it = rentals_.find(request); it != rentals_.end()) it->second.committed = true;
  for (const FinishedTask& f : r.finished_tasks)
    // Now that it is written that the task is finished, its worker may forget it.
    if (Machine* m = tables_.machine(f.machine))
      for (Placement& p : m->placements)
        if (p.state == PlaceState::Exited && p.key.index == f.index && p.key.job == f.job)
          p.settled = true;
  std::vector<Job*> over;
  for (const auto& [id, phase, final, started] : r.jobs) {
    Job* job = tables_.job(id);
    if (job == nullptr) continue;
    if (!job->committed) placement_dirty_ = true;
    job->committed = true;
    job->round_phase.reset();
    job->stored = std::move(job->round_text);
    job->committed_phase = phase;
    job->started = started;
    if (final) over.push_back(job);
  }
  for (const Waiter& w : r.waiters) {
    if (const Job* job = tables_.job(w.id))
      answer_job(w.origin, w.status, view(*job));
    else if (const auto f = tables_.finished.find(w.id); f != tables_.finished.end())
      answer_job(w.origin, w.status, view(w.id, f->second));
    else
      refuse(w.origin, "job not found after its commit");
  }
  for (Job* job : over) finish_job(*job);
}

bool Core::too_many_waiting() const {
  return waiting_next_.size() + round_.waiters.size() > kMaxWaiting;
}

// To be answered once what is known of the job is in the checkpoint: with the round in flight, if
// that has it.
void Core::after_commit(const Job& job, const Origin& origin, int status) {
  if (round_.retries > 0) return refuse(origin, "the state service does not answer");
  if (too_many_waiting()) return refuse(origin, "too many requests at once");
  // The round in flight may have been sent before the last change: a cancellation was once answered
  // "running" with the round that recorded that it had been asked for.
  const bool with_this = job.round_phase && !job.dirty;
  (with_this ? round_.waiters : waiting_next_).push_back({origin, status, job.spec().id});
}

// While a round is in flight, or its answer was lost, another node may have read what it wrote and
// told a user so. What it changes is answered once its fate is known, and not in the old form.
void Core::answer_committed(const Origin& origin, int status, const Job& job) {
  if (!job.committed || job.in_doubt()) return after_commit(job, origin, status);
  answer_job(origin, status, view(job));
}

// Marks a job that is over for its last record, once none of its tasks can be on a machine.
void Core::settle_job(Job& job) {
  if (job.active() || job.record.final || job.placed > 0 || job.unknown > 0) return;
  job.record.final = true;
  touch(job);
  if (job.record.phase == Phase::Active) cancel_over(job);
  if (job.spec().tasks > kInlineBits)
    for (std::size_t i = 0; i * kPieceBits < job.spec().tasks; ++i) job.dirty_pieces.insert(i);
}

void Core::touch(Job& job) {
  if (!job.dirty) dirty_jobs_.push_back(&job);
  job.dirty = true;
}

// The job's last record is written: only its final state is kept.
void Core::finish_job(Job& job) {
  const std::string id = job.spec().id;
  log(Log::Level::Info, "event=", job.record.phase == Phase::Done ? "job_done" : "job_cancelled",
      " job=", id);
  for (auto& [name, m] : tables_.machines)
    for (Placement& p : m->placements)
      if (p.job == &job) p.job = nullptr;
  tables_.finished[id] = {job.record.phase, job.spec().tasks, job.record.seq};
  std::erase(dirty_jobs_, &job);
  tables_.remove_job(id);
  placement_dirty_ = true;
}

}  // namespace sailreel
