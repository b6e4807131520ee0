// Causes of a controller's decisions, which are logged, and reasons that are part of responses to
// users. `to_string` returns the text of each. The texts that users receive stay the same in all
// versions.
#pragma once

#include <cstdint>
#include <string_view>

#include "protocol/messages.hpp"
#include "storage/tables.hpp"

namespace sailreel {

/// The state of a controller in the election. `Loading`: elected, but still reading the checkpoint.
enum class Role : std::uint8_t { Follower, Candidate, Loading, Leader };

/// Why a candidate or leader became a follower again.
enum class StepDownCause : std::uint8_t {
  NoLeaseGranted,
  EpochUnreadable,
  LostElection,           // another candidate took the leader's key first
  ClaimNotAnswered,       // the outcome of this controller's claim is unknown
  CheckpointTimeout,      // the checkpoint could not be read within the lease
  ManifestUnreadable,     // without the manifest nothing can be committed
  LeaseEnded,             // the key-value store has ended the lease
  HigherEpochAtPeer,      // another leader has been elected since
  HigherEpochAtWorker,    // a worker has seen a higher fencing token than this leader's
  CheckpointOverwritten,  // the manifest was written under another epoch
  CommitRejected,         // the key-value store does not accept a commit of this size
  AttemptNumbersUsedUp,   // the epoch has no attempt number left; the next epoch has a new range
  NoWorkerReachable,      // no worker reaches this leader; a peer may be better connected
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
  GangDoesNotFit,  // a gang whose zones can't hold all tasks at the same time
  NoMachineType,
};

/// Why the controller terminates a cloud instance.
enum class TerminationCause : std::uint8_t {
  LaunchFailed,
  NeverStarted,
  Idle,
  Drained,
  SpotNotice,
  Faulty,
  LeaseExpired,
  Silent,
  SilentSinceFailover,
  UnheardSinceFailover,
};
/// The termination cause of a machine that was cordoned and has no tasks left.
TerminationCause termination_cause(CordonCause cause);

/// Why no tasks are placed on a machine for some time.
enum class QuarantineCause : std::uint8_t { ReceivesNothing, StartsNotAcknowledged, TaskErrors };

/// Why a scheduling pass reserves room for a task that it doesn't place.
enum class ReservationCause : std::uint8_t {
  FetchLimit,            // the machine fetches as many images as allowed
  ImageHolderPreempted,  // tasks are stopped on a machine that holds the image
  ImageHolderMigrated,   // replicas leave a machine that holds the image
  Preempted,             // tasks are stopped because no machine has room
  GangStarved,           // machines are held for a gang that has waited for long
};

/// Why all attempts of a machine's incarnation are known to have ended.
enum class IncarnationLossCause : std::uint8_t { LeaseExpired, NewIncarnation, Terminated };

std::string_view to_string(Role role);
std::string_view to_string(StepDownCause cause);
/// The text is part of the response's body.
std::string_view to_string(RejectReason reason);
/// The text is part of the response's body.
std::string_view to_string(Infeasibility cause);
std::string_view to_string(TerminationCause cause);
std::string_view to_string(CordonCause cause);
std::string_view to_string(QuarantineCause cause);
std::string_view to_string(ReservationCause cause);
std::string_view to_string(IncarnationLossCause cause);
std::string_view to_string(ExitCause cause);

}  // namespace sailreel
