// Messages between the service, its workers, users, the cloud and the key-value store, in standard
// terms. The codecs beside this file map them to the names of the wire, which appear nowhere else.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sailreel {

/// Milliseconds on this process's steady clock: not comparable between processes.
using Time = std::int64_t;
constexpr Time kNever = INT64_MAX / 4;

inline Time ms(double seconds) { return static_cast<Time>(seconds * 1000.0); }

enum class JobKind : std::uint8_t { Array, Service, Gang };
/// From the highest to the lowest.
enum class Priority : std::uint8_t { Production, High, Normal, Low };
constexpr std::size_t kPriorities = 4;
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
  /// Tolerates the rounding errors of sums of decimals.
  [[nodiscard]] bool fits_in(const Resources& room) const {
    constexpr double kSlack = 1e-6;
    return cpus <= room.cpus + kSlack && gpus <= room.gpus + kSlack &&
           memory_gb <= room.memory_gb + kSlack;
  }
};

/// The user's description of a job. Times are in seconds.
struct JobSpec {
  std::string id, job_class, team;
  JobKind kind = JobKind::Array;
  Priority priority = Priority::Low;
  std::uint32_t tasks = 1;
  Resources need;  // of each task
  std::string image;
  double image_gb = 0;
  /// Whether machines of any type will do; otherwise only those of `types`.
  bool any_type = true;
  std::vector<std::string> types;
  std::string zone;  // empty: any
  /// All tasks in one zone; at most half of them, rounded up, in one zone; spot instances allowed.
  bool one_zone = false, spread = false, spot = false;
  /// The user's estimate of a task's run time; the progress between two checkpoints of a task, 0:
  /// it never saves; the time that saving takes when it is stopped.
  double estimate_s = 0, checkpoint_s = 0, save_s = 0;
  std::optional<double> deadline_s;  // from the submission on
};

struct TaskKey {
  std::string job;
  std::uint32_t index = 0;
};
inline std::string task_name(const TaskKey& key) {
  return key.job + "/" + std::to_string(key.index);
}

/// Waiting: a task that gang scheduling has started and that waits for the gang's other tasks.
enum class RunState : std::uint8_t { Fetching, Running, Saving, Exited, Waiting };
/// PeersGone: another task of the gang has exited. Incomplete: not all tasks of the gang started in
/// time.
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

struct TaskStatus {
  TaskKey key;
  std::uint64_t attempt = 0;
  RunState state = RunState::Fetching;
  ExitCause cause = ExitCause::None;
  bool saved = false;
};

/// A worker's periodic message, with the status of each of its tasks.
struct Heartbeat {
  std::string machine, address, type, zone;
  bool spot = false;
  std::uint64_t incarnation = 0, seq = 0, fencing_token = 0;
  /// Seconds until the cloud takes the spot instance back, once that was announced.
  std::optional<double> notice_s;
  std::vector<TaskStatus> tasks;
};

struct Command {
  enum class Op : std::uint8_t { Start, Stop, Forget } op = Op::Start;
  TaskKey key;
  std::uint64_t attempt = 0;
  double grace_s = 0;  // Stop: how long the task may take to exit
};

struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0, fetch_gb_per_s = 0, price = 0, spot_price = 0, boot_s = 0;
  std::vector<std::string> zones;
};

struct ScaleOutRequest {
  std::string request, type, zone;
  bool spot = false;
  std::uint32_t count = 0;
};

struct ListedMachine {
  enum class State : std::uint8_t { Booting, Running, Failed } state = State::Booting;
  std::string name, address, type, zone;
  bool spot = false;
  double age_s = 0;
};

struct CloudRequest {
  enum class Kind : std::uint8_t { Types, ScaleOut, Terminate, List } kind = Kind::Types;
  ScaleOutRequest scale_out;
  std::vector<std::string> names;  // Terminate
  std::string after;               // List
  std::uint32_t limit = 500;
};

struct CloudResponse {
  int status = 0;  // 0: no response; the request may still be carried out
  std::vector<MachineType> types;
  std::vector<std::string> names;
  std::vector<ListedMachine> machines;
  bool more = false;
  bool no_capacity = false;  // rejected as there are no such machines now, not for an error
};

struct KvRequest {
  enum class Kind : std::uint8_t { Get, List, Txn, Grant, Renew, Revoke, Watch } kind = Kind::Get;
  struct Condition {
    std::string key;
    std::uint64_t version = 0;
  };
  struct Put {
    std::string key, value;
    std::uint64_t lease = 0;  // 0: none
  };
  std::string key;   // Get; prefix of List and Watch
  std::string from;  // List
  std::uint32_t limit = 200;
  std::uint64_t lease = 0;  // Renew, Revoke
  std::uint64_t revision = 0;
  Time ttl_ms = 0, wait_ms = 0;
  std::vector<Condition> conditions;
  std::vector<Put> puts;
  std::vector<std::string> deletes;
};

struct KvItem {
  std::string key, value;  // the value as JSON text
  std::uint64_t version = 0;
  bool deleted = false;
};

struct KvResponse {
  int status = 0;  // 0: no response; the request may still be carried out
  std::uint64_t revision = 0, lease = 0;
  std::vector<KvItem> items;
  bool more = false;
};

enum class UserOp : std::uint8_t { Submit = 0, Query = 1, Cancel = 2, Heartbeat = 3 };

}  // namespace sailreel
