// What a new leader does before it places any task that may already be running: it loads the
// checkpoint and asks the machines for the tasks that they run.
#include <utility>

#include "controller/controller.hpp"
#include "protocol/worker_codec.hpp"

namespace sailreel {
namespace {
/// Merges separately stored pieces of the bitmaps of completed tasks into the jobs' records.
void merge_pieces(Snapshot& checkpoint, const Snapshot::Pieces& pieces, std::size_t piece_bits) {
  for (const auto& [key, hex_digits] : pieces) {
    const auto job = checkpoint.jobs.find(key.first);
    if (job == checkpoint.jobs.end() || job->second.done.size() == 0) continue;
    job->second.done.merge_hex(key.second * piece_bits, hex_digits);
  }
}
}  // namespace

void Controller::elected() {
  snapshot_ = Snapshot{};
  snapshot_loaded_ = false;
  loading_snapshot_ = Snapshot{};
  load_checkpoint("", 0);
}

// Reads the whole checkpoint page by page. No other controller can change it: every write is
// conditional on the epoch, which belongs to this leader now.
void Controller::load_checkpoint(const std::string& start_key, std::uint64_t revision) {
  const std::uint64_t term = election_.term();
  KvRequest list;
  list.kind = KvRequest::Kind::List;
  list.key = kCheckpointPrefix;
  list.from = start_key;
  outbox_.call_kv_store(
      list,
      [this, term, start_key, revision](const KvResponse& response) {
        if (term != election_.term()) return;
        if (response.status != 200) {
          if (clock_.now >= election_.lease_expiry())
            return election_.step_down(StepDownCause::CheckpointTimeout);
          return load_checkpoint(start_key, revision);
        }
        for (const KvItem& item : response.items) loading_snapshot_.apply(item);
        if (response.has_more && !response.items.empty())
          return load_checkpoint(response.items.back().key, response.revision);
        begin_reconciliation();
      },
      KvUrgency::Urgent);
}

void Controller::begin_reconciliation() {
  election_.checkpoint_loaded();
  const Time now = clock_.now;
  former_leases_expire_at_ =
      election_.elected_at() + with_clock_drift(keep_alive_span() + worker_lease());
  reconciling_ = true;
  next_attempt_ = 1;
  next_scale_out_ = 1;
  Snapshot checkpoint = std::exchange(loading_snapshot_, Snapshot{});
  record_unreadable_values(checkpoint);
  if (checkpoint.unreadable.contains(kManifestKey) || checkpoint.unreadable.contains(kEpochKey)) {
    // The lease isn't expired early: workers that know no other leader are kept alive as if this
    // controller had led until its lease expired.
    return election_.resign(StepDownCause::ManifestUnreadable, {.expire_now = false});
  }
  tables_.clear();
  checkpoint_.load(checkpoint);
  load_jobs(checkpoint);
  load_scale_outs(checkpoint);
  load_machines(checkpoint);
  if (!quotas_.load(checkpoint, election_.epoch(), now))
    outbox_.log(Log::Level::Error, LogEvent::SharesWithoutOptions);
  terminated_.clear();
  capacity_checked_ = false;
  next_types_ = next_list_ = next_autoscaling_ = now;
  outbox_.log(Log::Level::Info, LogEvent::Leading,
              {{"jobs", tables_.jobs.size()},
               {"finished", tables_.finished.size()},
               {"machines", tables_.machines.size()},
               {"seq", checkpoint_.manifest_seq()},
               {"after_ms", now - election_.elected_at()},
               {"fence_ms", former_leases_expire_at_ - now}});
  send_heartbeats();
  reconcile();
  probe_tick();
}

// The content of an unreadable value is unknown, which is not the same as missing: requests for
// jobs that may be in it get 503, and the value is not overwritten.
void Controller::record_unreadable_values(const Snapshot& checkpoint) {
  unknown_jobs_ = false;
  unknown_machines_ = false;
  for (const std::string& key : checkpoint.unreadable) {
    outbox_.log(Log::Level::Error, LogEvent::CheckpointUnreadable, {{"key", key}});
    unknown_machines_ = unknown_machines_ || key.starts_with(kMachinesPrefix);
    unknown_jobs_ = unknown_jobs_ || key.starts_with(kShardPrefix);
  }
}

// Scale-out requests that exceed what the manifest may hold, as after the limits were lowered, are
// dropped: their machines are found by the cloud's list and by their heartbeats.
void Controller::load_scale_outs(const Snapshot& checkpoint) {
  for (const ScaleOutRequest& scale_out : checkpoint.manifest.scale_outs)
    if (checkpoint_.scale_out_fits(scale_out))
      pending_scale_outs_[scale_out.request_id] = {scale_out, true, false, clock_.now, clock_.now};
}

void Controller::load_jobs(Snapshot& checkpoint) {
  merge_pieces(checkpoint, checkpoint.bitmap_pieces, kPieceBits);
  merge_pieces(checkpoint, checkpoint.small_bitmap_pieces, kSmallPieceBits);
  // Jobs are added in the order of submission, which is their order in their team's queue.
  std::vector<JobRecord*> records;
  for (auto& [id, record] : checkpoint.jobs) {
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
  for (const auto& [key, digits] : checkpoint.bitmap_pieces)
    if (Job* job = tables_.job(key.first)) job->has_pieces = true;
  for (const auto& [key, digits] : checkpoint.small_bitmap_pieces)
    if (Job* job = tables_.job(key.first)) job->has_small_pieces = true;
}

void Controller::load_job(JobRecord record) {
  std::string stored = encode_record(record);
  Job& job = tables_.add_job(std::move(record));
  job.stored = std::move(stored);
  job.committed = true;
  job.committed_phase = job.record.phase;
  job.committed_started = job.record.started;
  // The age comes from the stored wall-clock time of submission. Controllers' wall clocks may
  // differ a little, so a negative age counts as 0.
  job.accepted = clock_.now - std::max<Time>(0, clock_.wall_ms - job.record.submitted_wall_ms);
  // Tasks with an index of `committed_started` or above were never sent to a machine and stay
  // queued. Tasks below it that aren't done may be running, so they are unknown until
  // reconciliation ends.
  for (std::uint32_t i = 0; i < std::min(job.committed_started, job.spec().tasks); ++i) {
    Task& task = job.tasks[i];
    if (task.state != TaskState::Queued) continue;
    task.state = TaskState::Unknown;
    --job.queued;
    ++job.unknown;
    if (job.team != nullptr) job.team->used += job.spec().need;
  }
}

void Controller::load_machines(const Snapshot& checkpoint) {
  for (const auto& [shard, list] : checkpoint.machines)
    for (const MachineRecord& record : list) {
      Machine& machine = tables_.add_machine(record.name, clock_.now);
      machine.address = record.address;
      machine.recorded = true;
      machine.images.assign(record.images.begin(), record.images.end());
      machine.last_heartbeat = clock_.now;
      machine.last_response = clock_.now;
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
  for (auto& [name, machine] : tables_.machines) {
    recorded += machine->recorded ? 1 : 0;
    if (awaits_reconciliation(*machine)) missing.push_back(machine.get());
  }
  // A machine that died together with the former leader would delay reconciliation for longer than
  // its lease (22 s in one incident). Terminating it proves that its tasks are gone.
  if (!missing.empty()) detect_dead_machines();
  // A machine that the former leader terminated without recording it would cause the same delay.
  // The cloud no longer lists it, so its zone is unknown.
  if (now - election_.elected_at() > silent_after() &&
      machines_likely_at_fault(missing.size(), recorded))
    for (Machine* machine : missing)
      if (machine->zone.empty() && machine->probe_failures >= 2)
        terminate_instance(*machine, TerminationCause::SilentSinceFailover);
  if (!missing.empty()) return;
  // Machines recorded in an unreadable value can't be probed, but their leases expire by then.
  if (unknown_machines_ && now < former_leases_expire_at_) return;
  reconciling_ = false;
  // Tasks of machines that weren't heard can be rescheduled from now on, as these machines' leases
  // have expired.
  std::size_t unheard = 0;
  for (auto& [name, machine] : tables_.machines) {
    if (!machine->recorded || machine->heard_in_epoch) continue;
    machine->incarnation_fence.close_unknown_number(now);
    ++unheard;
  }
  for (auto& [id, job] : tables_.jobs) {
    tables_.queue_unknown_tasks(*job);
    review_gang(*job);
    finalize_if_over(*job);
  }
  scheduling_needed_ = true;
  outbox_.log(Log::Level::Info, LogEvent::Reconciled,
              {{"after_ms", now - election_.elected_at()}, {"unheard", unheard}});
}

// Returns whether the machine may run tasks of a former leader and hasn't been heard under this
// leader's fencing token.
bool Controller::awaits_reconciliation(const Machine& machine) const {
  return machine.recorded && !machine.heard_in_epoch && !machine.lease_expired &&
         clock_.now < machine_lease_expiry(machine);
}

// Probes machines that aren't heard, in the order in which they became due: there may be fewer
// sockets than machines that don't respond. In the order of their names, or with those awaited by
// reconciliation before the others, the last ones would never be probed.
void Controller::probe_tick() {
  if (!holds_valid_lease(clock_.now)) return;
  std::vector<Machine*> unheard;
  for (auto& [name, machine] : tables_.machines) {
    const bool awaited = reconciling_ && awaits_reconciliation(*machine);
    const bool silent = machine->heard_in_epoch && machine->silent && !machine->terminating &&
                        clock_.now < machine_lease_expiry(*machine);
    if (awaited || silent) unheard.push_back(machine.get());
  }
  std::stable_sort(unheard.begin(), unheard.end(),
                   [](const Machine* a, const Machine* b) { return a->probe_at < b->probe_at; });
  for (Machine* machine : unheard) probe_if_due(*machine);
}

void Controller::probe_if_due(Machine& machine) {
  if (!machine.probing && clock_.now >= machine.probe_at) probe_machine(machine);
}

// Sends a probe: a direct request that tells the worker this leader's fencing token and fetches its
// status. It carries no commands, so it is harmless however late it arrives.
void Controller::probe_machine(Machine& target) {
  // Without a free socket, the probe waits for a later tick. It must not count as failed: with more
  // machines than sockets, that made a failover a second longer.
  if (target.address.empty() || outbox_.worker_call_limit_reached()) return;
  target.probing = true;
  const std::string name = target.name;
  const Time sent = clock_.now;
  outbox_.call_worker(
      target.address, encode_command_request(election_.epoch(), target.probe_incarnation, {}),
      commands_valid_until(),
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
          probe_machine(*machine);
        }
      });
}

}  // namespace sailreel
