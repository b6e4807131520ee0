// Bookkeeping of jobs, tasks, machines and quotas. Tables only: decisions are made elsewhere. Times
// in ms unless stated otherwise.
#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "protocol/messages.hpp"
#include "protocol/settings.hpp"
#include "storage/checkpoint.hpp"
#include "storage/incarnation_fence.hpp"

namespace sailreel {

struct Machine;
struct TeamQuota;

/// Why a machine accepts no more work and is terminated once it is empty.
enum class CordonCause : std::uint8_t { SpotNotice, Faulty };

/// What is known of where a task is.
enum class TaskState : std::uint8_t {
  Queued,   // certainly on no machine
  Unknown,  // may be on a machine that hasn't been heard since the failover
  Placed,   // bound to a machine: from the decision until certainly gone
  Done
};

struct Task {
  TaskState state = TaskState::Queued;
  Machine* machine = nullptr;
  Time not_before = 0;
};

/// An attempt that is on a machine although its task has another place, or none.
struct OrphanedAttempt {
  std::uint32_t index = 0;
  std::string zone;
};

/// A job with its tasks. Owned by Tables; `team` is null if the settings do not name the team.
struct Job {
  JobRecord record;
  bool committed = false;                 // its acceptance is in the checkpoint
  Phase committed_phase = Phase::Active;  // what users may be told
  std::uint32_t started = 0;              // as the checkpoint has it: tasks below may have started
  bool dirty = false;  // differs from the checkpoint; the next commit includes it
  /// Its record as the checkpoint has it, and as the commit in flight would leave it.
  std::string stored, in_flight_record;
  std::optional<Phase> in_flight_phase;  // as in the commit in flight, if that changes it
  /// Small pieces of its bitmap that differ from the checkpoint's.
  std::set<std::size_t> dirty_pieces;
  /// Which pieces may be in the checkpoint: they are deleted once the job is over.
  bool has_pieces = false, has_small_pieces = false;
  std::uint64_t order = 0;  // of acceptance
  TeamQuota* team = nullptr;
  bool guaranteed = false;  // fits, with its team's earlier jobs, into the guaranteed quota
  Time accepted = 0;
  std::vector<Task> tasks;
  std::uint32_t queued = 0, unknown = 0, placed = 0, running = 0;
  std::uint32_t next_queued = 0;                  // no task below is queued
  std::map<std::string, std::uint32_t> per_zone;  // placed tasks
  std::vector<OrphanedAttempt> orphans;
  /// Machines that have, or had, an attempt that names the job.
  std::set<std::string> machines_used;
  std::set<std::string> error_machines;
  std::uint32_t errors = 0;
  bool proven = false;  // a task of it has run as it should
  Time not_before = 0;

  [[nodiscard]] const JobSpec& spec() const { return record.spec; }
  /// True if the commit in flight may change what users may be told.
  [[nodiscard]] bool in_doubt() const {
    return in_flight_phase && *in_flight_phase != committed_phase;
  }
  /// True if the job is still to be served.
  [[nodiscard]] bool active() const {
    return record.phase == Phase::Active && !record.cancel_asked;
  }
  /// It has failed on several machines and run on none: more likely it was submitted with a mistake
  /// than that all of these are faulty.
  [[nodiscard]] bool suspect() const { return !proven && error_machines.size() > 1; }
  /// True if no task of it is known outside of the zone.
  [[nodiscard]] bool only_in(const std::string& zone) const;
  /// How many tasks of it are known in the zone.
  [[nodiscard]] std::uint32_t tasks_in(const std::string& zone) const;
  /// True if the task may still be on a machine other than its place.
  [[nodiscard]] bool has_orphan(std::uint32_t index) const;
  /// How many tasks may be in one zone.
  [[nodiscard]] std::uint32_t zone_cap() const {
    return spec().spread ? (spec().tasks + 1) / 2 : spec().tasks;
  }
};

/// The summary of a finished job.
struct FinishedJob {
  Phase phase = Phase::Done;
  std::uint32_t tasks = 0;
  std::uint64_t seq = 0;
};

/// In the order of a task's life. Waiting: for the other tasks of its gang.
enum class AttemptState : std::uint8_t {
  Reserved,
  Sent,
  Fetching,
  Waiting,
  Running,
  Saving,
  Exited
};

/// One attempt of a task on a machine.
struct TaskAttempt {
  Job* job = nullptr;        // null: not a task's current attempt
  Job* orphan_of = nullptr;  // the job of an orphaned attempt, while it is held
  TeamQuota* team = nullptr;
  TaskKey key;
  Resources need;
  std::uint64_t attempt = 0;
  AttemptState state = AttemptState::Reserved;
  ExitCause cause = ExitCause::None;
  std::uint64_t sent_seq = 0;  // of the heartbeat whose response carried the start
  std::uint32_t sends = 0;
  Time since = 0;  // of the state
  Time running_since = 0;
  bool migrating = false;  // to be stopped when the target machine's heartbeat is about to come
  bool stop = false;       // to be stopped
  double grace_s = 0;
  bool held = false;            // counts as the task's place, against machine and team
  bool exit_committed = false;  // exited, and the consequences are in the checkpoint
};

/// An image that a machine is fetching, as far as we know.
struct Fetch {
  std::string image;
  Time since = 0;
  double alone_s = 0;   // how long it would take with the machine's rate for itself
  double beside_s = 0;  // the same of those that began with it and finished before it
};

/// A machine, as known from the checkpoint, the cloud's list and its heartbeats. Owned by Tables.
struct Machine {
  std::string name, address, type, zone;
  bool spot = false;
  Resources size, used;
  double cache_gb = 0;
  bool sized = false;  // its type is known
  bool listed_running = false;
  bool heard_in_epoch = false;  // in this epoch, and under its fencing token
  bool recorded = false;        // the checkpoint lists it
  bool record_dirty = false;
  std::uint64_t incarnation = 0, seq = 0;
  IncarnationFence incarnation_fence;  // incarnations that ended by our own proof
  Time launched = 0;                   // or first heard of
  Time last_heartbeat = 0;             // current, or a direct response
  Time steady_since = 0;               // heard without a gap since then
  Time last_own_heartbeat = 0;         // last heartbeat that it sent by itself
  Time answered = 0;                   // last response that may have renewed its lease
  Time idle_since = 0;
  bool cordoned = false;                           // accepts no more work
  CordonCause cordon_cause = CordonCause::Faulty;  // valid if it is cordoned and not terminating
  bool draining = false;                           // accepts only work that has no other room
  bool terminating = false;                        // a termination was or is to be sent
  bool silent = false;
  Time silent_since = 0;
  bool probing = false;
  Time probe_at = 0;
  std::uint64_t probe_incarnation = 1;
  std::uint32_t probe_failures = 0;
  Time probe_failed = 0;                 // when the last failed one was sent
  Time notice_until = 0;                 // 0: no notice
  Time fencing_token_refused_since = 0;  // heartbeats don't show our fencing token since then
  bool lease_passed = false;             // before it ever adopted our fencing token
  Time quarantined_until = 0;            // gets no work: it doesn't receive our responses
  std::set<std::string> error_jobs;
  std::vector<TaskAttempt> attempts;
  std::list<CachedImage> images;  // most recently used first
  std::vector<Fetch> fetching_now;
  /// How many of its images belong to more important work, by priority.
  std::array<std::uint32_t, kPriorities> reserved{};
  /// Its indices among the machines of the current pass that accept work, and that have room.
  std::optional<std::size_t> open_index, room_index;

  [[nodiscard]] Resources room() const {
    Resources r = size;
    r -= used;
    return r;
  }
  [[nodiscard]] bool has_image(const std::string& image) const;
  [[nodiscard]] bool fetching(const std::string& image) const;
  [[nodiscard]] std::size_t fetches() const;
  [[nodiscard]] bool empty() const { return attempts.empty(); }
  void touch_image(const std::string& image, double gb);
  TaskAttempt* find(const TaskKey& key, std::uint64_t attempt);
};

/// A team's quotas from the settings, and what it uses of them.
struct TeamQuota {
  Team limits;
  Resources used;  // by all that may be on a machine
  /// Where the limit spans regions: this region's cap. Empty: the whole limit.
  std::optional<double> cpus_cap, gpus_cap;
  /// What the team may use here; empty if it may use any amount.
  [[nodiscard]] std::optional<double> cpus_limit() const;
  [[nodiscard]] std::optional<double> gpus_limit() const;
  /// True if that total may be used.
  [[nodiscard]] bool within_cap(const Resources& total) const;
  /// True if one more task keeps within the limit. A limit of 0 means unlimited.
  [[nodiscard]] bool allows(const Resources& more) const;
  /// True if that total is within the guaranteed quota; never true for a team without one.
  [[nodiscard]] bool within_guarantee(const Resources& total) const;
  /// The fraction of its guaranteed quota that the team uses, of GPUs or CPUs, whichever is larger;
  /// at least 1 for a team without one. The queues are served in this order.
  [[nodiscard]] double share() const;
};

/// Owns the jobs and machines. References and pointers to a job or machine are valid until it is
/// removed, or until `clear`.
class Tables {
 public:
  explicit Tables(const Settings& settings);
  void clear();

  /// These look up by id or name; null if there is none.
  Job* job(const std::string& id);
  Machine* machine(const std::string& name);
  TeamQuota* team(const std::string& name);
  const MachineType* type(const std::string& name) const;

  /// Adds a job; its tasks that the record doesn't show as done are queued.
  Job& add_job(JobRecord record);
  void remove_job(const std::string& id);
  /// Returns the machine of that name, adding it if there is none; `now` in ms.
  Machine& add_machine(const std::string& name, Time now);
  void remove_machine(const std::string& name);
  /// The machines of a shard of the checkpoint, in the order of their names.
  [[nodiscard]] std::vector<const Machine*> machines_of_shard(std::size_t shard) const;
  /// Sets a machine's size from its type, once types are known.
  void size_machine(Machine& m) const;

  /// Binds a task to a machine, counted against the machine's room, the team and the zone. The
  /// attempt is in the machine's list; the reference is valid until that list changes.
  TaskAttempt& place(Job& job, std::uint32_t index, Machine& m, std::uint64_t attempt, Time now);
  /// Counts an orphaned attempt against the machine, the team and the zone.
  static void hold_orphan(Job& job, Machine& m, TaskAttempt& orphan);
  /// Frees what an attempt holds; the task is queued again unless it is done.
  void unhold(Machine& m, TaskAttempt& p);
  /// Removes the attempt from the machine's list.
  void erase(Machine& m, std::size_t index);
  /// True if the job's tasks may start there: type, zone, instance kind, and its other tasks'
  /// zones.
  [[nodiscard]] bool allowed(const Job& job, const Machine& m) const;
  /// The part of `allowed` that is independent of other tasks, and the part that the job's other
  /// tasks decide.
  [[nodiscard]] bool suits(const JobSpec& s, const Machine& m) const;
  [[nodiscard]] static bool zone_open(const Job& job, const std::string& zone);
  /// True if what is known of the job allows the tasks that it has in the zone.
  [[nodiscard]] static bool zone_allowed(const Job& job, const std::string& zone);
  [[nodiscard]] bool type_allowed(const JobSpec& s, const std::string& type) const;
  /// Records a task as done; no effect if it is known already.
  void mark_done(Job& job, std::uint32_t index);
  /// Queues the tasks that weren't found anywhere.
  void unknown_to_queued(Job& job);

  std::unordered_map<std::string, std::unique_ptr<Job>> jobs;
  std::map<std::uint64_t, Job*> in_order;                    // by acceptance
  std::unordered_map<std::string, Priority> image_priority;  // the highest of its jobs
  std::unordered_map<std::string, FinishedJob> finished;
  std::map<std::string, std::unique_ptr<Machine>> machines;
  std::vector<MachineType> types;
  std::vector<TeamQuota> teams;

 private:
  std::uint64_t next_order_ = 1;
  std::unordered_map<std::size_t, std::set<std::string>> machines_by_shard_;
};

}  // namespace sailreel
