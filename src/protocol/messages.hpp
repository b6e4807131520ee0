// Messages between the controllers, workers, users, the cloud provider and the key-value store. The
// wire formats use other names for these fields. Only the codecs in this directory know those
// names.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sailreel {

/// Milliseconds on this process's steady clock. Not comparable between processes.
using Time = std::int64_t;
/// Later than any time that occurs. Times can be added to it without overflow.
constexpr Time kNever = INT64_MAX / 4;

/// Converts seconds to milliseconds, at most `kNever`.
inline Time ms(double seconds) {
  constexpr auto kMaxMs = static_cast<double>(kNever);
  const double milliseconds = seconds * 1000.0;
  if (!(milliseconds < kMaxMs)) return kNever;
  return milliseconds > -kMaxMs ? static_cast<Time>(milliseconds) : -kNever;
}

enum class JobKind : std::uint8_t { Array, Service, Gang };
/// Ordered from the highest to the lowest priority.
enum class Priority : std::uint8_t { Production, High, Normal, Low };
constexpr std::size_t kPriorityCount = 4;
enum class Phase : std::uint8_t { Active, Done, Cancelled };

struct Resources {
  double cpus = 0, gpus = 0, memory_gb = 0;

  bool operator==(const Resources&) const = default;
  Resources& operator+=(const Resources& other) {
    cpus += other.cpus, gpus += other.gpus, memory_gb += other.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus, gpus -= other.gpus, memory_gb -= other.memory_gb;
    return *this;
  }
  [[nodiscard]] Resources times(double count) const {
    return {cpus * count, gpus * count, memory_gb * count};
  }
  /// Whether these resources fit into `room`. Tolerates the rounding errors that sums of decimal
  /// fractions have.
  [[nodiscard]] bool fits_in(const Resources& room) const {
    constexpr double kTolerance = 1e-6;
    return cpus <= room.cpus + kTolerance && gpus <= room.gpus + kTolerance &&
           memory_gb <= room.memory_gb + kTolerance;
  }
};

/// A job as its user submits it. Times are in seconds.
struct JobSpec {
  std::string id, job_class, team;
  JobKind kind = JobKind::Array;
  Priority priority = Priority::Low;
  std::uint32_t tasks = 1;
  /// The resources of each task.
  Resources need;
  std::string image;
  double image_gb = 0;
  /// Whether tasks may run on machines of any type. Otherwise only on the types in `types`.
  bool any_type = true;
  std::vector<std::string> types;
  /// The zone that the tasks must run in. Empty means any zone.
  std::string zone;
  /// `one_zone`: all tasks must run in the same zone. `spread`: at most half of the tasks, rounded
  /// up, may run in the same zone. `spot`: tasks may run on spot instances.
  bool one_zone = false, spread = false, spot = false;
  /// `estimate_s`: the user's estimate of a task's run time. `checkpoint_s`: run time between two
  /// checkpoints of a task, or 0 if it writes none. `save_s`: how long a task takes to save its
  /// state when it is stopped.
  double estimate_s = 0, checkpoint_s = 0, save_s = 0;
  /// Seconds from the submission to the deadline. Empty means that there is no deadline.
  std::optional<double> deadline_s;

  /// Sets times for saving that no task can have to 0. Records of earlier versions hold such times
  /// where users sent a zero with many decimals.
  void drop_implausible_save_times() {
    constexpr double kMinIntervalS = 1e-9, kMaxTimeS = 1e10;
    if (checkpoint_s < kMinIntervalS || checkpoint_s > kMaxTimeS) checkpoint_s = 0;
    if (save_s > kMaxTimeS) save_s = 0;
  }
};

/// Identifies a task: `index` counts the tasks of a job from 0.
struct TaskKey {
  std::string job;
  std::uint32_t index = 0;
};
/// The key in its wire form, "<job>/<index>".
inline std::string task_name(const TaskKey& key) {
  return key.job + "/" + std::to_string(key.index);
}

/// The state of a task on a worker. Waiting: the task was started and waits until the other tasks
/// of its gang are started too.
enum class RunState : std::uint8_t { Fetching, Running, Saving, Exited, Waiting };
/// Why a task exited. PeersGone: another task of the gang has exited. Incomplete: not all tasks of
/// the gang started in time.
enum class ExitCause : std::uint8_t {
  None,
  Done,
  Stopped,
  Error,
  NoRoom,
  Busy,
  Unknown,
  PeersGone,
  Incomplete
};

/// The status of a task attempt, as its worker reports it.
struct TaskStatus {
  TaskKey key;
  std::uint64_t attempt = 0;
  RunState state = RunState::Fetching;
  ExitCause cause = ExitCause::None;
  /// Whether the task saved its state before it exited.
  bool saved = false;
};

/// The message that a worker sends periodically, with the status of each of its tasks.
struct Heartbeat {
  std::string machine, address, type, zone;
  bool spot = false;
  /// `incarnation` changes when the worker restarts, and `seq` numbers its heartbeats.
  /// `fencing_token` is the highest one that the worker has received.
  std::uint64_t incarnation = 0, seq = 0, fencing_token = 0;
  /// Seconds until the cloud provider reclaims the spot instance. Empty if none was announced.
  std::optional<double> reclaim_in_s;
  std::vector<TaskStatus> tasks;
};

/// What a worker is told to do with a task attempt. Forget: the worker may drop the status of an
/// attempt that has exited.
struct Command {
  enum class Op : std::uint8_t { Start, Stop, Forget } op = Op::Start;
  TaskKey key;
  std::uint64_t attempt = 0;
  /// For Stop: how long the task may take to exit.
  double grace_s = 0;
};

/// A machine type that the cloud provider offers.
struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0, fetch_gb_per_s = 0, price = 0, spot_price = 0, boot_s = 0;
  std::vector<std::string> zones;
};

/// A request to launch `count` machines. `request_id` identifies it: a repeat with the same value
/// launches no further machines.
struct ScaleOutRequest {
  std::string request_id, type, zone;
  bool spot = false;
  std::uint32_t count = 0;
};

/// A machine in the cloud provider's list.
struct ListedMachine {
  enum class State : std::uint8_t { Booting, Running, Failed } state = State::Booting;
  std::string name, address, type, zone;
  bool spot = false;
  double age_s = 0;
};

/// A request to the cloud provider.
struct CloudRequest {
  enum class Kind : std::uint8_t { Types, ScaleOut, Terminate, List } kind = Kind::Types;
  ScaleOutRequest scale_out;
  /// For Terminate: the machines.
  std::vector<std::string> names;
  /// For List: the machine after which the page starts. Empty for the first page.
  std::string after;
  std::uint32_t limit = 500;
};

struct CloudResponse {
  /// The HTTP status. 0 means that no response came, so the request may still be carried out.
  int status = 0;
  std::vector<MachineType> types;
  std::vector<std::string> names;
  std::vector<ListedMachine> machines;
  /// Whether the list has another page.
  bool has_more = false;
  /// Whether the request was rejected because no such machines are available now, rather than
  /// because of an error.
  bool no_capacity = false;
};

/// A request to the key-value store. Txn is a compare-and-swap transaction: its puts and deletes
/// are carried out only if each key of `conditions` has the given version.
struct KvRequest {
  enum class Kind : std::uint8_t { Get, List, Txn, Grant, Renew, Revoke, Watch } kind = Kind::Get;
  struct Condition {
    std::string key;
    std::uint64_t version = 0;
  };
  struct Put {
    std::string key, value;
    /// The lease that the key is bound to. 0 means none.
    std::uint64_t lease = 0;
  };
  /// For Get, the key. For List and Watch, the prefix of the keys.
  std::string key;
  /// For List: the key after which the page starts. Empty for the first page.
  std::string from;
  std::uint32_t limit = 200;
  /// For Renew and Revoke: the id of the lease.
  std::uint64_t lease = 0;
  /// For Watch: only changes after this revision are returned.
  std::uint64_t revision = 0;
  /// `ttl_ms`: for Grant, the duration of the lease. `wait_ms`: for Watch, how long the store waits
  /// for a change before it responds.
  Time ttl_ms = 0, wait_ms = 0;
  std::vector<Condition> conditions;
  std::vector<Put> puts;
  std::vector<std::string> deletes;
};

/// A key of the key-value store, or a change of it. `value` is JSON text.
struct KvItem {
  std::string key, value;
  std::uint64_t version = 0;
  bool deleted = false;
};

struct KvResponse {
  /// The HTTP status. 0 means that no response came, so the request may still be carried out.
  int status = 0;
  std::uint64_t revision = 0, lease = 0;
  std::vector<KvItem> items;
  /// Whether the list has another page.
  bool has_more = false;
};

/// The kind of a request that one controller forwards to another. The values are part of the frame
/// format.
enum class RequestOp : std::uint8_t { Submit = 0, Query = 1, Cancel = 2, Heartbeat = 3 };

}  // namespace sailreel
