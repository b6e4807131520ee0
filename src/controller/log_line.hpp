// Formats a controller's log lines: the name of an event and typed fields, as `key=value` text.
// docs/operations.md explains each event.
#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

#include "protocol/messages.hpp"

namespace sailreel {

/// The events that a controller logs.
enum class LogEvent : std::uint8_t {
  // leadership and checkpoint
  Elected,
  Leading,
  Reconciled,
  SteppedDown,
  LeaseRegained,
  CheckpointCommit,
  CommitRetry,
  CommitRejected,
  ManifestFlush,
  CheckpointUnreadable,
  GangsEnabled,
  SharesWithoutOptions,
  KeepAlive,
  // jobs and task attempts
  JobSubmitted,
  RequestRefused,
  JobCancelRequested,
  JobDone,
  JobCancelled,
  TaskStart,
  TaskRunning,
  TaskExited,
  TaskError,
  TaskMissing,
  TaskPreempted,
  PreemptedForQuota,
  ReplicaMigration,
  StartRejected,
  StartNotAcknowledged,
  OrphanedAttempt,
  ImageFetchCompared,
  // machines
  MachineUp,
  MachineFound,
  MachineSilent,
  MachineQuarantined,
  MachineCordoned,
  MachineDraining,
  MachineTerminating,
  MachineGone,
  IncarnationLost,
  HeartbeatRejected,
  HeartbeatStale,
  HeartbeatOfUnknownMachine,
  // capacity
  ScaleOut,
  NoCapacity,
  UnmetDemand,
  RoomReserved,
  CapacityLimit,
  ProcessorLimit,
};
std::string_view to_string(LogEvent event);

/// One field of a log line. It holds views and must not outlive the call that logs it.
class LogField {
 public:
  LogField(std::string_view key, std::string_view text) : key_(key), value_(text) {}
  LogField(std::string_view key, const TaskKey& task) : key_(key), value_(&task) {}
  template <std::signed_integral Number>
  LogField(std::string_view key, Number number) : key_(key), value_(std::int64_t{number}) {}
  template <std::unsigned_integral Number>
  LogField(std::string_view key, Number number) : key_(key), value_(std::uint64_t{number}) {}
  /// An amount, written with up to three decimals.
  LogField(std::string_view key, double amount) : key_(key), value_(amount) {}
  /// A cause, written in quotation marks.
  template <typename Cause>
  requires std::is_enum_v<Cause> LogField(std::string_view key, Cause cause)
      : key_(key), value_(Quoted{to_string(cause)}) {}

  /// Appends the field as `key=value`.
  void append_to(std::string& line) const;

 private:
  struct Quoted {
    std::string_view text;
  };

  std::string_view key_;
  std::variant<std::string_view, std::int64_t, std::uint64_t, double, Quoted, const TaskKey*>
      value_;
};

/// Returns the line without a line break, beginning with the epoch and the event.
std::string format_log_line(std::uint64_t epoch, LogEvent event,
                            std::initializer_list<LogField> fields);

}  // namespace sailreel
