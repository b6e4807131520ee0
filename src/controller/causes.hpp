// Why a controller did something: causes that are logged, and reasons that are told to users. One
// `to_string` for each; what leaves for users keeps the wording that it always had.
#pragma once

#include <cstdint>
#include <string_view>

#include "protocol/messages.hpp"
#include "storage/tables.hpp"

namespace sailreel {

/// What a controller is in the election.
enum class Role : std::uint8_t { Follower, Candidate, Loading, Leader };

/// Why a candidate or leader became a follower again.
enum class StepDownCause : std::uint8_t {
  NoLeaseGranted,
  EpochUnreadable,
  LostElection,           // another candidate took the leader's key first
  ClaimNotAnswered,       // the outcome of our own attempt is unknown
  CheckpointTimeout,      // it could not be read within the lease
  ManifestUnreadable,     // without it nothing can be committed
  LeaseEnded,             // the key-value store doesn't know the lease any more
  HigherEpochAtPeer,      // another leader was elected since
  HigherEpochAtWorker,    // a worker has seen a later fencing token than ours
  CheckpointOverwritten,  // the manifest was written under another epoch
  CommitRejected,         // the key-value store does not accept a commit of this size
  AttemptNumbersUsedUp,   // the next leader's epoch begins a new range
  NoWorkerHeard,          // a peer may be better connected
};

/// Why a request is answered with 503.
enum class RejectReason : std::uint8_t {
  NoLeader,
  LeadershipLost,
  LeaderNotResponding,
  KvStoreNotResponding,
  TooManyRequests,
  TooManySubmissions,
  MachineTypesUnknown,
  GangsNotEnabled,
  TasksBeingStopped,
  CheckpointUnreadable,
  SnapshotUnreadable,
  JobMissingAfterCommit,
};

/// Why a job can never run; it is rejected with 422.
enum class Infeasibility : std::uint8_t {
  UnknownTeam,
  AboveQuotaLimit,
  NeverAllAtOnce,  // a gang whose zones can't hold all tasks at the same time
  NoMachineType,
};

/// Why an instance is returned to the cloud.
enum class TerminationCause : std::uint8_t {
  LaunchFailed,
  NeverCameUp,
  Idle,
  Drained,
  SpotNotice,
  Faulty,
  LeaseExpired,
  Silent,
  SilentSinceFailover,
  UnheardSinceFailover,
};
/// The cause for a machine that was cordoned and is empty now.
TerminationCause termination_cause(CordonCause cause);

/// Why a machine gets no work for a while.
enum class QuarantineCause : std::uint8_t { ReceivesNothing, StartsNotAcknowledged, TaskErrors };

/// Why all attempts of a machine's incarnation are known to be over.
enum class IncarnationLossCause : std::uint8_t { LeaseExpired, NewIncarnation, Terminated };

std::string_view to_string(Role role);
std::string_view to_string(StepDownCause cause);
/// The wording is part of the response's body.
std::string_view to_string(RejectReason reason);
/// The same.
std::string_view to_string(Infeasibility cause);
std::string_view to_string(TerminationCause cause);
std::string_view to_string(CordonCause cause);
std::string_view to_string(QuarantineCause cause);
std::string_view to_string(IncarnationLossCause cause);
std::string_view to_string(ExitCause cause);

}  // namespace sailreel
