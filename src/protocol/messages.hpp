// What the service and the outside say to each other, in the field's own words. The codecs beside
// this file translate to and from the wire.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sailreel {

/// Milliseconds on this process's steady clock.
using Time = std::int64_t;
constexpr Time kNever = INT64_MAX / 4;

inline Time ms(double seconds) { return static_cast<Time>(seconds * 1000.0); }

enum class JobKind : std::uint8_t { Array, Service, Gang };
/// In falling order of importance.
enum class Priority : std::uint8_t { Production, High, Normal, Low };
constexpr std::size_t kPriorities = 4;
enum class Phase : std::uint8_t { Active, Done, Cancelled };

struct Resources {
  double cpus = 0, gpus = 0, memory_gb = 0;

  bool operator==(const Resources&) const = default;
  Resources& operator+=(const Resources& o) {
    cpus += o.cpus, gpus += o.gpus, memory_gb += o.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& o) {
    cpus -= o.cpus, gpus -= o.gpus, memory_gb -= o.memory_gb;
    return *this;
  }
  [[nodiscard]] Resources times(double count) const {
    return {cpus * count, gpus * count, memory_gb * count};
  }
  /// Sums of decimals carry rounding errors; a millionth of a core is nobody's loss.
  [[nodiscard]] bool fits_in(const Resources& room) const {
    constexpr double kSlack = 1e-6;
    return cpus <= room.cpus + kSlack && gpus <= room.gpus + kSlack &&
           memory_gb <= room.memory_gb + kSlack;
  }
};

struct JobSpec {
  std::string id, job_class, team;
  JobKind kind = JobKind::Array;
  Priority priority = Priority::Low;
  std::uint32_t tasks = 1;
  Resources need;
  std::string image;
  double image_gb = 0;
  bool any_type = true;
  std::vector<std::string> types;
  std::string zone;  // empty: any
  bool one_zone = false, spread = false, spot = false;
  double estimate_s = 0, checkpoint_s = 0, save_s = 0;
  std::optional<double> deadline_s;
};

struct TaskKey {
  std::string job;
  std::uint32_t index = 0;
};
inline std::string task_name(const TaskKey& key) {
  return key.job + "/" + std::to_string(key.index);
}

/// Waiting: a task of a gang that waits for the others of its attempt.
enum class RunState : std::uint8_t { Fetching, Running, Saving, Exited, Waiting };
/// Of a task of a gang: PeersGone, another task of the gang is gone; Incomplete, the gang was not
/// complete in time.
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

struct Heartbeat {
  std::string machine, address, type, zone;
  bool spot = false;
  std::uint64_t incarnation = 0, seq = 0, fencing_token = 0;
  std::optional<double> notice_s;
  std::vector<TaskStatus> tasks;
};

struct Command {
  enum class Op : std::uint8_t { Start, Stop, Forget } op = Op::Start;
  TaskKey key;
  std::uint64_t attempt = 0;
  double grace_s = 0;
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
  std::vector<std::string> names;  // Release
  std::string after;               // List
  std::uint32_t limit = 500;
};

struct CloudResponse {
  int status = 0;  // 0: no answer
  std::vector<MachineType> types;
  std::vector<std::string> names;
  std::vector<ListedMachine> machines;
  bool more = false;
  bool no_capacity = false;  // a refusal for want of machines, not for trouble
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
  int status = 0;  // 0: no answer; the request may still be carried out
  std::uint64_t revision = 0, lease = 0;
  std::vector<KvItem> items;
  bool more = false;
};

enum class UserOp : std::uint8_t { Submit = 0, Query = 1, Cancel = 2, Heartbeat = 3 };

}  // namespace sailreel
