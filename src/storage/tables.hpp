// Bookkeeping of jobs, tasks, machines and quotas. The tables hold state and make no decisions.
// Times are in ms unless stated otherwise.
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

/// What is known about the location of a task.
enum class TaskState : std::uint8_t {
  Queued,   // certainly on no machine
  Unknown,  // may be on a machine that hasn't sent a heartbeat since the failover
  Placed,   // bound to a machine, from the decision until the task is certainly gone
  Done
};

struct Task {
  TaskState state = TaskState::Queued;
  Machine* machine = nullptr;  // the machine that the task is bound to
  Time not_before = 0;         // the task is not placed before this time
};

/// An attempt that is on a machine although its task is bound to another machine, or to none.
struct OrphanedAttempt {
  std::uint32_t index = 0;  // index of the task
  std::string zone;
};

/// For how long successive scheduling passes have reserved room for tasks of a job without placing
/// them. Both times are 0 if the latest pass reserved nothing for the job.
struct ReservationHistory {
  Time since = 0;   // when the first of these passes ran
  Time logged = 0;  // when a reservation was last logged
};

/// A job with its tasks. Owned by Tables; `team` is null if the settings do not name the team.
struct Job {
  JobRecord record;
  bool committed = false;                 // the checkpoint contains the job
  Phase committed_phase = Phase::Active;  // phase in the checkpoint, which users may be told
  /// `JobRecord::started` in the checkpoint.
  std::uint32_t committed_started = 0;
  bool dirty = false;  // differs from the checkpoint; the next commit includes it
  /// The encoded record in the checkpoint, and the one that the commit in flight would store.
  std::string stored, in_flight_record;
  std::optional<Phase> in_flight_phase;  // phase in the commit in flight, if that changes it
  /// Numbers of the small pieces of the bitmap that differ from the checkpoint.
  std::set<std::size_t> dirty_pieces;
  /// True if bitmap pieces of the normal size, or small ones, may be in the checkpoint. Pieces are
  /// deleted once the job is over.
  bool has_pieces = false, has_small_pieces = false;
  std::uint64_t acceptance_order = 0;  // position in the order in which jobs were accepted
  TeamQuota* team = nullptr;
  /// The job and its team's earlier unfinished jobs fit into the team's guaranteed quota.
  bool guaranteed = false;
  Time accepted = 0;
  std::vector<Task> tasks;
  /// Numbers of the job's tasks in each state.
  std::uint32_t queued = 0, unknown = 0, placed = 0, running = 0;
  std::uint32_t next_queued = 0;                  // no task with a lower index is queued
  std::map<std::string, std::uint32_t> per_zone;  // placed tasks by zone
  /// Tasks for which the scheduling pass that examines the job now has reserved room, by zone.
  std::map<std::string, std::uint32_t> reserved_per_zone;
  std::vector<OrphanedAttempt> orphans;
  /// Names of machines that have, or had, an attempt of one of the job's tasks.
  std::set<std::string> machines_used;
  std::set<std::string> error_machines;  // machines on which tasks of the job have failed
  std::uint32_t errors = 0;              // attempts that failed
  bool known_to_run = false;  // a task has completed, or has run for several heartbeat intervals
  Time not_before = 0;        // no task of the job is placed before this time
  ReservationHistory reservations;
  /// Since when tasks of the job have found no room without one being placed; 0: none waits so.
  Time unmet_since = 0;

  [[nodiscard]] const JobSpec& spec() const { return record.spec; }
  /// True if the commit in flight may change the phase that users may be told.
  [[nodiscard]] bool in_doubt() const {
    return in_flight_phase && *in_flight_phase != committed_phase;
  }
  /// True if the job is neither over nor being cancelled.
  [[nodiscard]] bool active() const {
    return record.phase == Phase::Active && !record.cancel_requested;
  }
  /// True if tasks of the job have failed on several machines and none is known to run properly. A
  /// mistake in the job is then more likely than a fault of all these machines.
  [[nodiscard]] bool likely_invalid() const { return !known_to_run && error_machines.size() > 1; }
  /// True if no task or orphaned attempt of the job is known outside the zone.
  [[nodiscard]] bool confined_to(const std::string& zone) const;
  /// True if no room is reserved for a task of the job outside the zone.
  [[nodiscard]] bool reserves_only_in(const std::string& zone) const;
  /// The number of placed tasks and orphaned attempts of the job that are known in the zone.
  [[nodiscard]] std::uint32_t tasks_in(const std::string& zone) const;
  /// True if an orphaned attempt of the task may still be on a machine.
  [[nodiscard]] bool has_orphan(std::uint32_t index) const;
  /// The maximum number of the job's tasks in one zone.
  [[nodiscard]] std::uint32_t zone_cap() const {
    return spec().spread ? (spec().tasks + 1) / 2 : spec().tasks;
  }
  /// How many more tasks may be placed in the zone, beside those that are known or reserved there.
  [[nodiscard]] std::uint32_t remaining_in(const std::string& zone) const;
};

/// The summary of a job that has ended.
struct FinishedJob {
  Phase phase = Phase::Done;
  std::uint32_t tasks = 0;
  std::uint64_t seq = 0;
};

/// States of an attempt, in the order in which it passes through them. An attempt in state
/// `Waiting` waits for the other tasks of its gang.
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
  Job* job = nullptr;        // null for an orphaned attempt, or if the job is unknown
  Job* orphan_of = nullptr;  // the job of an orphaned attempt, for as long as the attempt is held
  TeamQuota* team = nullptr;
  TaskKey key;
  Resources need;
  std::uint64_t attempt = 0;
  AttemptState state = AttemptState::Reserved;
  ExitCause cause = ExitCause::None;
  std::uint64_t sent_seq = 0;  // `seq` of the heartbeat whose response carried the start command
  std::uint32_t sends = 0;     // how often the start command was sent
  Time since = 0;              // when the attempt entered its state
  Time running_since = 0;
  bool migrating = false;  // to be stopped shortly before the target machine's next heartbeat
  bool stop = false;       // to be stopped
  double grace_s = 0;      // how long the task may take to exit after a stop command
  bool held = false;       // counts against the machine's room and the team's quota
  /// The attempt has exited and the checkpoint reflects that, so the worker may forget it.
  bool exit_committed = false;
};

/// The fetch of an image that a machine is thought to be fetching.
struct Fetch {
  std::string image;
  Time since = 0;
  double full_rate_s = 0;  // duration if the fetch has the machine's whole rate
  /// Sum of `full_rate_s` over the fetches that began at about the same time and ended before this
  /// one.
  double concurrent_s = 0;
};

/// A machine, as known from the checkpoint, the cloud's list and its heartbeats. Owned by Tables.
struct Machine {
  std::string name, address, type, zone;
  bool spot = false;
  Resources size, used;
  double cache_gb = 0;
  bool size_known = false;      // its type is known
  bool listed_running = false;  // the cloud's list shows it as running
  bool heard_in_epoch = false;  // a heartbeat under this epoch's fencing token has been accepted
  bool recorded = false;        // the checkpoint lists it
  bool record_dirty = false;    // a later commit is to add it to the checkpoint
  std::uint64_t incarnation = 0, seq = 0;  // as in the latest heartbeat
  IncarnationFence incarnation_fence;      // incarnations that this leader knows to have ended
  Time launched = 0;                       // when it was launched, or else first known
  Time last_heartbeat = 0;                 // last heartbeat, or response to a probe
  Time steady_since = 0;                   // heartbeats have arrived without a gap since then
  Time last_own_heartbeat = 0;             // last heartbeat, not counting responses to probes
  Time last_response = 0;                  // when a response may last have renewed its lease
  Time idle_since = 0;                     // 0 while it has attempts
  bool cordoned = false;                   // accepts no more work
  CordonCause cordon_cause = CordonCause::Faulty;  // valid if it is cordoned and not terminating
  bool draining = false;                           // accepts only work that fits nowhere else
  bool terminating = false;                        // its termination was requested, or is to be
  bool silent = false;                             // its heartbeats are overdue
  Time silent_since = 0;
  bool probing = false;                 // a probe is in flight
  Time probe_at = 0;                    // earliest time of the next probe
  std::uint64_t probe_incarnation = 1;  // incarnation that the next probe is addressed to
  std::uint32_t probe_failures = 0;     // successive probes that failed
  Time probe_failed = 0;                // when the last probe that failed was sent
  Time notice_until = 0;                // when the cloud preempts it; 0 if there is no notice
  /// Time since which its heartbeats have not shown the leader's fencing token; 0 if they show it.
  Time fencing_token_refused_since = 0;
  bool lease_expired = false;  // its lease expired before it adopted the leader's fencing token
  /// The machine gets no work before this time, for example because it doesn't receive the leader's
  /// responses.
  Time quarantined_until = 0;
  std::set<std::string> error_jobs;  // jobs whose tasks failed on it
  std::vector<TaskAttempt> attempts;
  std::list<CachedImage> images;  // most recently used first
  std::vector<Fetch> fetching_now;
  /// For each priority, the number of cached images that work of a higher priority needs.
  std::array<std::uint32_t, kPriorityCount> higher_priority_images{};
  /// Its indices among those machines of the current scheduling pass that accept work, and among
  /// those that have room as well.
  std::optional<std::size_t> preemption_index, placement_index;

  [[nodiscard]] Resources room() const {
    Resources available = size;
    available -= used;
    return available;
  }
  /// True if the image is thought to be in the cache.
  [[nodiscard]] bool has_image(const std::string& image) const;
  /// True if a task that is placed on it hasn't finished fetching the image.
  [[nodiscard]] bool fetching(const std::string& image) const;
  /// The number of images that its placed tasks are still to fetch.
  [[nodiscard]] std::size_t fetches() const;
  [[nodiscard]] bool empty() const { return attempts.empty(); }
  /// True if the start of an attempt has not been sent.
  [[nodiscard]] bool has_unsent_starts() const;
  /// Marks an image as the most recently used one. Adding one to a full cache evicts the least
  /// recently used.
  void touch_image(const std::string& image, double gb);
  /// Null if the machine has no such attempt.
  TaskAttempt* find(const TaskKey& key, std::uint64_t attempt);
};

/// A team's quotas from the settings, and how much of them it uses.
struct TeamQuota {
  Team limits;
  Resources used;  // sum over all tasks that may be on a machine
  /// This region's part of a limit that spans regions; empty if the whole limit applies.
  std::optional<double> cpus_cap, gpus_cap;
  /// How much the team may use in this region; empty if it may use any amount.
  [[nodiscard]] std::optional<double> cpus_limit() const;
  [[nodiscard]] std::optional<double> gpus_limit() const;
  /// True if the team may use `total` in this region.
  [[nodiscard]] bool within_cap(const Resources& total) const;
  /// True if the team may use `more` in addition to what it uses. A limit of 0 means unlimited.
  [[nodiscard]] bool allows(const Resources& more) const;
  /// Returns how many more tasks that need `each`, at most `wanted`, the team may use in addition
  /// to what it uses and to `counted`.
  [[nodiscard]] std::uint32_t tasks_allowed(const Resources& each, const Resources& counted,
                                            std::uint32_t wanted) const;
  /// True if `total` is within the guaranteed quota; never true for a team without one.
  [[nodiscard]] bool within_guarantee(const Resources& total) const;
  /// The fraction of its guaranteed quota that the team uses, of GPUs or CPUs, whichever is larger;
  /// at least 1 for a team without a guaranteed quota. Of the teams' queues, the one with the
  /// lowest fraction is served next.
  [[nodiscard]] double used_guarantee_fraction() const;
};

/// Owns the jobs and machines. References and pointers to a job or machine are valid until it is
/// removed or `clear` is called.
class Tables {
 public:
  explicit Tables(const Settings& settings);
  void clear();

  /// Lookups by id or name; null if there is no match.
  Job* job(const std::string& id);
  Machine* machine(const std::string& name);
  TeamQuota* team(const std::string& name);
  const MachineType* type(const std::string& name) const;

  /// Adds a job and queues the tasks that its record doesn't show as done.
  Job& add_job(JobRecord record);
  void remove_job(const std::string& id);
  /// Returns the machine of that name, adding it if there is none; `now` in ms.
  Machine& add_machine(const std::string& name, Time now);
  void remove_machine(const std::string& name);
  /// The machines of a shard of the checkpoint, in the order of their names.
  [[nodiscard]] std::vector<const Machine*> machines_of_shard(std::size_t shard) const;
  /// Sets a machine's size from its type, unless the size is set or the type isn't known.
  void set_size_from_type(Machine& machine) const;

  /// Binds a task to a machine and counts it against the machine's room, the team's quota and the
  /// zone. Returns the new attempt, which is in the machine's list; the reference is valid until
  /// that list changes.
  TaskAttempt& place(Job& job, std::uint32_t index, Machine& machine, std::uint64_t attempt,
                     Time now);
  /// Counts an orphaned attempt against the machine's room, the team's quota and the zone.
  static void hold_orphan(Job& job, Machine& machine, TaskAttempt& orphan);
  /// Frees what an attempt holds. The task of a current attempt is queued again unless it is done.
  void release_attempt(Machine& machine, TaskAttempt& attempt);
  /// Frees what the attempt at `index` holds, and removes it from the machine's list.
  void remove_attempt(Machine& machine, std::size_t index);
  /// True if tasks of the job may start on the machine, by the machine's type, zone and instance
  /// kind and by the zones of the job's other tasks. The machine's room is not considered.
  [[nodiscard]] bool allowed(const Job& job, const Machine& machine) const;
  /// The part of `allowed` that is independent of the job's other tasks.
  [[nodiscard]] bool meets_constraints(const JobSpec& spec, const Machine& machine) const;
  /// The part of `allowed` that depends on the job's other tasks, also on those for which only room
  /// is reserved.
  [[nodiscard]] static bool zone_accepts_task(const Job& job, const std::string& zone);
  /// True if the job's zone constraints allow the tasks that it is known to have in the zone.
  [[nodiscard]] static bool zone_allowed(const Job& job, const std::string& zone);
  /// True if the job may run on machines of that type.
  [[nodiscard]] bool type_allowed(const JobSpec& spec, const std::string& type) const;
  /// Records a task as done. Has no effect if the task is recorded as done already.
  void mark_done(Job& job, std::uint32_t index);
  /// Queues the tasks in state `Unknown`, which weren't found on any machine.
  void queue_unknown_tasks(Job& job);

  std::unordered_map<std::string, std::unique_ptr<Job>> jobs;
  std::map<std::uint64_t, Job*> jobs_by_acceptance;          // by `Job::acceptance_order`
  std::unordered_map<std::string, Priority> image_priority;  // by image: the highest of its jobs
  std::unordered_map<std::string, FinishedJob> finished;
  std::map<std::string, std::unique_ptr<Machine>> machines;
  std::vector<MachineType> types;
  std::vector<TeamQuota> teams;

 private:
  std::uint64_t next_order_ = 1;
  std::unordered_map<std::size_t, std::set<std::string>> machines_by_shard_;
};

}  // namespace sailreel
