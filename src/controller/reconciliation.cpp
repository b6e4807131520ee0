// What a new leader does before it places any task that may already be running: it loads the
// checkpoint and asks the machines for the tasks that they run.
#include <utility>

#include "controller/controller.hpp"
#include "protocol/worker_codec.hpp"

namespace sailreel {
namespace {
/// Merges separately stored pieces of the bitmaps of completed tasks into the jobs' records.
void merge_pieces(Snapshot& image, const Snapshot::Pieces& pieces, std::size_t piece_bits) {
  for (const auto& [key, digits] : pieces) {
    const auto it = image.jobs.find(key.first);
    if (it == image.jobs.end() || it->second.done.size() == 0) continue;
    it->second.done.merge_hex(key.second * piece_bits, digits);
  }
}
}  // namespace

void Controller::elected() {
  snapshot_ = Snapshot{};
  snapshot_loaded_ = false;
  loading_ = Snapshot{};
  load("", 0);
}

// Reads the whole checkpoint page by page. No other controller can change it: every write is
// conditional on the epoch, which belongs to this leader now.
void Controller::load(const std::string& from, std::uint64_t revision) {
  const std::uint64_t term = election_.term();
  KvRequest list;
  list.kind = KvRequest::Kind::List;
  list.key = kPrefix;
  list.from = from;
  outbox_.call_kv_store(
      list,
      [this, term, from, revision](const KvResponse& r) {
        if (term != election_.term()) return;
        if (r.status != 200) {
          if (clock_.now >= election_.lease_expiry())
            return election_.step_down(StepDownCause::CheckpointTimeout);
          return load(from, revision);
        }
        for (const KvItem& item : r.items) loading_.apply(item);
        if (r.more && !r.items.empty()) return load(r.items.back().key, r.revision);
        begin_reconciliation();
      },
      KvUrgency::Urgent);
}

void Controller::begin_reconciliation() {
  election_.checkpoint_loaded();
  const Time now = clock_.now;
  fence_at_ = election_.elected_at() + with_drift(keep_alive_span() + worker_lease());
  reconciling_ = true;
  next_attempt_ = 1;
  next_scale_out_ = 1;
  Snapshot image = std::exchange(loading_, Snapshot{});
  note_unreadable(image);
  if (image.unreadable.contains(kManifestKey) || image.unreadable.contains(kEpochKey)) {
    // The lease isn't expired early: workers that know no other leader are kept alive as if this
    // controller had led until its lease expired.
    return election_.resign(StepDownCause::ManifestUnreadable, {.expire_now = false});
  }
  tables_.clear();
  checkpoint_.load(image);
  load_jobs(image);
  load_scale_outs(image);
  load_machines(image);
  if (!quotas_.load(image, election_.epoch(), now))
    outbox_.log(Log::Level::Error, LogEvent::SharesWithoutOptions);
  terminated_.clear();
  capacity_checked_ = false;
  next_types_ = next_list_ = next_sizing_ = now;
  outbox_.log(Log::Level::Info, LogEvent::Leading,
              {{"jobs", tables_.jobs.size()},
               {"finished", tables_.finished.size()},
               {"machines", tables_.machines.size()},
               {"seq", checkpoint_.manifest_seq()},
               {"after_ms", now - election_.elected_at()},
               {"fence_ms", fence_at_ - now}});
  send_heartbeats();
  reconcile();
  inquire_tick();
}

// The content of an unreadable value is unknown, which is not the same as missing: requests for
// jobs that may be in it get 503, and the value is not overwritten.
void Controller::note_unreadable(const Snapshot& image) {
  unknown_jobs_ = false;
  unknown_machines_ = false;
  for (const std::string& key : image.unreadable) {
    outbox_.log(Log::Level::Error, LogEvent::CheckpointUnreadable, {{"key", key}});
    unknown_machines_ = unknown_machines_ || key.starts_with(kMachinesPrefix);
    unknown_jobs_ = unknown_jobs_ || key.starts_with(kShardPrefix);
  }
}

// Scale-out requests that exceed what the manifest may hold, as after the limits were lowered, are
// dropped: their machines are found by the cloud's list and by their heartbeats.
void Controller::load_scale_outs(const Snapshot& image) {
  for (const ScaleOutRequest& scale_out : image.manifest.scale_outs)
    if (checkpoint_.scale_out_fits(scale_out))
      scale_outs_[scale_out.request] = {scale_out, true, false, clock_.now, clock_.now};
}

void Controller::load_jobs(Snapshot& image) {
  merge_pieces(image, image.pieces, kPieceBits);
  merge_pieces(image, image.small_pieces, kSmallPieceBits);
  // Jobs are added in the order of submission, which is their order in their team's queue.
  std::vector<JobRecord*> records;
  for (auto& [id, record] : image.jobs) {
    if (record.final)
      tables_.finished[id] = {record.phase, record.spec.tasks, record.seq};
    else
      records.push_back(&record);
  }
  std::sort(records.begin(), records.end(), [](const JobRecord* a, const JobRecord* b) {
    return std::pair(a->submitted_wall_ms, a->spec.id) <
           std::pair(b->submitted_wall_ms, b->spec.id);
  });
  for (JobRecord* record : records) load_job(std::move(*record));
  for (const auto& [key, digits] : image.pieces)
    if (Job* job = tables_.job(key.first)) job->has_pieces = true;
  for (const auto& [key, digits] : image.small_pieces)
    if (Job* job = tables_.job(key.first)) job->has_small_pieces = true;
}

void Controller::load_job(JobRecord record) {
  std::string stored = encode_record(record);
  Job& job = tables_.add_job(std::move(record));
  job.stored = std::move(stored);
  job.committed = true;
  job.committed_phase = job.record.phase;
  job.started = job.record.started;
  // The age comes from the stored wall-clock time of submission. Controllers' wall clocks may
  // differ a little, so a negative age counts as 0.
  job.accepted = clock_.now - std::max<Time>(0, clock_.wall_ms - job.record.submitted_wall_ms);
  // Tasks at or above `started` were never sent to a machine and stay queued. Tasks below it that
  // aren't done may be running, so they are unknown until reconciliation ends.
  for (std::uint32_t i = 0; i < std::min(job.started, job.spec().tasks); ++i) {
    Task& task = job.tasks[i];
    if (task.state != TaskState::Queued) continue;
    task.state = TaskState::Unknown;
    --job.queued;
    ++job.unknown;
    if (job.team != nullptr) job.team->used += job.spec().need;
  }
}

void Controller::load_machines(const Snapshot& image) {
  for (const auto& [shard, list] : image.machines)
    for (const MachineRecord& record : list) {
      Machine& machine = tables_.add_machine(record.name, clock_.now);
      machine.address = record.address;
      machine.recorded = true;
      machine.images.assign(record.images.begin(), record.images.end());
      machine.last_heartbeat = clock_.now;
      machine.answered = clock_.now;
    }
}

// Ends reconciliation once every machine that may run tasks has been heard under this leader's
// fencing token or can't run any of them any more. Probes take milliseconds; for machines that
// don't respond, the expiry of their leases is the upper bound.
void Controller::reconcile() {
  if (!reconciling_ || !holds_valid_lease(clock_.now)) return;
  const Time now = clock_.now;
  std::vector<Machine*> missing;
  std::size_t recorded = 0;
  for (auto& [name, m] : tables_.machines) {
    recorded += m->recorded ? 1 : 0;
    if (awaits_reconciliation(*m)) missing.push_back(m.get());
  }
  // A machine that died together with the former leader would delay reconciliation for longer than
  // its lease (22 s in one incident). Terminating it proves that its tasks are gone.
  if (!missing.empty()) detect_dead_machines();
  // A machine that the former leader terminated without recording it would cause the same delay.
  // The cloud no longer lists it, so its zone is unknown.
  if (now - election_.elected_at() > silent_after() && few_silent(missing.size(), recorded))
    for (Machine* m : missing)
      if (m->zone.empty() && m->probe_failures >= 2)
        terminate_instance(*m, TerminationCause::SilentSinceFailover);
  if (!missing.empty()) return;
  // Machines recorded in an unreadable value can't be probed, but their leases expire by then.
  if (unknown_machines_ && now < fence_at_) return;
  reconciling_ = false;
  // Tasks of machines that weren't heard can be rescheduled from now on, as these machines' leases
  // have expired.
  std::size_t unheard = 0;
  for (auto& [name, m] : tables_.machines) {
    if (!m->recorded || m->heard_in_epoch) continue;
    m->incarnation_fence.close_unheard(now);
    ++unheard;
  }
  for (auto& [id, job] : tables_.jobs) {
    tables_.unknown_to_queued(*job);
    review_gang(*job);
    finalize_if_over(*job);
  }
  scheduling_needed_ = true;
  outbox_.log(Log::Level::Info, LogEvent::Reconciled,
              {{"after_ms", now - election_.elected_at()}, {"unheard", unheard}});
}

// Returns whether the machine may run tasks of a former leader and hasn't been heard under this
// leader's fencing token.
bool Controller::awaits_reconciliation(const Machine& m) const {
  return m.recorded && !m.heard_in_epoch && !m.lease_passed && clock_.now < expiry(m);
}

// Probes machines that aren't heard, in the order in which they became due: there may be fewer
// sockets than machines that don't respond. In the order of their names, or with those awaited by
// reconciliation before the others, the last ones would never be probed.
void Controller::inquire_tick() {
  if (!holds_valid_lease(clock_.now)) return;
  std::vector<Machine*> unheard;
  for (auto& [name, m] : tables_.machines) {
    const bool awaited = reconciling_ && awaits_reconciliation(*m);
    const bool silent =
        m->heard_in_epoch && m->silent && !m->terminating && clock_.now < expiry(*m);
    if (awaited || silent) unheard.push_back(m.get());
  }
  std::stable_sort(unheard.begin(), unheard.end(),
                   [](const Machine* a, const Machine* b) { return a->probe_at < b->probe_at; });
  for (Machine* m : unheard) inquire_if_due(*m);
}

void Controller::inquire_if_due(Machine& m) {
  if (!m.probing && clock_.now >= m.probe_at) inquire(m);
}

// Sends a probe: a direct request that tells the worker this leader's fencing token and fetches its
// status. It carries no commands, so it is harmless however late it arrives.
void Controller::inquire(Machine& m) {
  // Without a free socket, the probe waits for a later tick. It must not count as failed: with more
  // machines than sockets, that made a failover a second longer.
  if (m.address.empty() || outbox_.worker_calls_full()) return;
  m.probing = true;
  const std::string name = m.name;
  const Time sent = clock_.now;
  outbox_.call_worker(
      m.address, encode_direct(election_.epoch(), m.probe_incarnation, {}), command_until(),
      [this, name, sent](int status, const std::optional<Heartbeat>& heartbeat) {
        Machine* machine = tables_.machine(name);
        if (machine == nullptr) return;
        machine->probing = false;
        machine->probe_at = std::max(clock_.now, sent + heartbeat_interval() / 2);
        if (!heartbeat || heartbeat->machine != name) {
          if (status != 0) return;
          ++machine->probe_failures;
          machine->probe_failed = sent;
          return;
        }
        machine->probe_failures = 0;
        if (heartbeat->fencing_token > election_.epoch())
          return election_.step_down(StepDownCause::HigherEpochAtWorker);
        if (status == 200) {
          zone_reached_[heartbeat->zone] = clock_.now;
          apply_heartbeat(*heartbeat, sent);
        } else if (status == 409 && machine->probe_incarnation != heartbeat->incarnation) {
          machine->probe_incarnation = heartbeat->incarnation;
          inquire(*machine);
        }
      });
}

}  // namespace sailreel
