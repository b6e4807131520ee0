#include "controller/causes.hpp"

namespace sailreel {

TerminationCause termination_cause(CordonCause cause) {
  return cause == CordonCause::SpotNotice ? TerminationCause::SpotNotice : TerminationCause::Faulty;
}

std::string_view to_string(Role role) {
  switch (role) {
    case Role::Follower:
      return "follower";
    case Role::Candidate:
      return "candidate";
    case Role::Loading:
      return "loading";
    case Role::Leader:
      return "leader";
  }
  return "";
}

std::string_view to_string(StepDownCause cause) {
  switch (cause) {
    case StepDownCause::NoLeaseGranted:
      return "no lease granted";
    case StepDownCause::EpochUnreadable:
      return "epoch not readable";
    case StepDownCause::LostElection:
      return "another was first";
    case StepDownCause::ClaimNotAnswered:
      return "claim not answered";
    case StepDownCause::CheckpointTimeout:
      return "checkpoint not readable in time";
    case StepDownCause::ManifestUnreadable:
      return "manifest not readable";
    case StepDownCause::LeaseEnded:
      return "lease ended";
    case StepDownCause::HigherEpochAtPeer:
      return "a peer leads under a higher epoch";
    case StepDownCause::HigherEpochAtWorker:
      return "a worker has seen a higher fencing token";
    case StepDownCause::CheckpointOverwritten:
      return "checkpoint written under another epoch";
    case StepDownCause::CommitRejected:
      return "commit rejected by the key-value store";
    case StepDownCause::AttemptNumbersUsedUp:
      return "attempt numbers used up";
    case StepDownCause::NoWorkerReachable:
      return "no worker is heard";
  }
  return "";
}

std::string_view to_string(RejectReason reason) {
  switch (reason) {
    case RejectReason::NoLeader:
      return "no leader";
    case RejectReason::LeadershipLost:
      return "leadership lost";
    case RejectReason::LeaderNotResponding:
      return "the leader does not answer";
    case RejectReason::KvStoreNotResponding:
      return "the state service does not answer";
    case RejectReason::TooManyRequests:
      return "too many requests at once";
    case RejectReason::TooManySubmissions:
      return "too many submissions at once";
    case RejectReason::MachineTypesUnknown:
      return "machine types not known yet";
    case RejectReason::GangsNotEnabled:
      return "gangs wait until all controllers are of this version";
    case RejectReason::TasksBeingStopped:
      return "its tasks are being stopped";
    case RejectReason::CheckpointUnreadable:
      return "parts of the checkpoint can't be read";
    case RejectReason::SnapshotUnreadable:
      return "state not readable";
    case RejectReason::JobMissingAfterCommit:
      return "job not found after its commit";
  }
  return "";
}

std::string_view to_string(Infeasibility cause) {
  switch (cause) {
    case Infeasibility::UnknownTeam:
      return "unknown team";
    case Infeasibility::AboveQuotaLimit:
      return "more than the team's limit";
    case Infeasibility::GangDoesNotFit:
      return "its tasks can't run at the same time in the zones that it allows";
    case Infeasibility::NoMachineType:
      return "a task fits no allowed machine type";
  }
  return "";
}

std::string_view to_string(TerminationCause cause) {
  switch (cause) {
    case TerminationCause::LaunchFailed:
      return "launch failed";
    case TerminationCause::NeverStarted:
      return "never came up";
    case TerminationCause::Idle:
      return "idle";
    case TerminationCause::Drained:
      return "drained";
    case TerminationCause::SpotNotice:
      return "spot notice";
    case TerminationCause::Faulty:
      return "faulty";
    case TerminationCause::LeaseExpired:
      return "lease expired";
    case TerminationCause::Silent:
      return "silent";
    case TerminationCause::SilentSinceFailover:
      return "silent since failover";
    case TerminationCause::UnheardSinceFailover:
      return "unheard since failover";
  }
  return "";
}

std::string_view to_string(CordonCause cause) {
  return cause == CordonCause::SpotNotice ? "spot notice" : "faulty";
}

std::string_view to_string(QuarantineCause cause) {
  switch (cause) {
    case QuarantineCause::ReceivesNothing:
      return "receives nothing";
    case QuarantineCause::StartsNotAcknowledged:
      return "starts not acknowledged";
    case QuarantineCause::TaskErrors:
      return "task errors";
  }
  return "";
}

std::string_view to_string(ReservationCause cause) {
  switch (cause) {
    case ReservationCause::FetchLimit:
      return "fetch limit";
    case ReservationCause::ImageHolderPreempted:
      return "image holder preempted";
    case ReservationCause::ImageHolderMigrated:
      return "image holder migrated";
    case ReservationCause::Preempted:
      return "preempted";
    case ReservationCause::GangStarved:
      return "gang starved";
  }
  return "";
}

std::string_view to_string(IncarnationLossCause cause) {
  switch (cause) {
    case IncarnationLossCause::LeaseExpired:
      return "lease expired";
    case IncarnationLossCause::NewIncarnation:
      return "new incarnation";
    case IncarnationLossCause::Terminated:
      return "terminated";
  }
  return "";
}

std::string_view to_string(ExitCause cause) {
  switch (cause) {
    case ExitCause::None:
      return "none";
    case ExitCause::Done:
      return "done";
    case ExitCause::Stopped:
      return "stopped";
    case ExitCause::Error:
      return "error";
    case ExitCause::NoRoom:
      return "no room";
    case ExitCause::Busy:
      return "busy";
    case ExitCause::Unknown:
      return "unknown";
    case ExitCause::PeersGone:
      return "gang member gone";
    case ExitCause::Incomplete:
      return "gang incomplete";
  }
  return "";
}

}  // namespace sailreel
