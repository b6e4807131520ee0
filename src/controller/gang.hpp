// The state machine of a gang, which is a job whose tasks all run at the same time or not at all.
// Its input is a summary of what is known about the tasks, its output the next action. It doesn't
// depend on machines, workers or commands.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "protocol/messages.hpp"

namespace sailreel {

/// The phases of a gang.
enum class GangPhase : std::uint8_t {
  Placing,    // no task is on a machine
  Gathering,  // tasks are placed and wait for the other tasks of their attempt
  Running,    // the gang has started
  Stopping    // the attempt is over; nothing is placed until all its tasks are gone
};

/// A summary of what is known about a gang's tasks.
struct GangView {
  std::uint32_t tasks = 0;
  std::uint32_t unknown = 0;   // may be on a machine not heard from since a failover
  std::uint32_t placed = 0;    // bound to a machine, whether started there or not
  std::uint32_t unsent = 0;    // placed tasks whose start has not been sent
  std::uint32_t running = 0;   // placed tasks reported as running or saving
  std::uint32_t stopping = 0;  // placed tasks that are to be stopped
  bool one_attempt = true;     // all placed tasks have the same attempt number
  bool start_overdue = false;  // a start is unsent because its machine's heartbeat is overdue
};

/// The action that the caller has to take for a gang.
enum class GangDecision : std::uint8_t {
  Wait,
  PlaceAll,      // place all tasks under a new attempt number
  PlaceMissing,  // place the missing tasks under the attempt number of the waiting ones
  Unplace,       // remove all placements: no start was sent, and other machines may be faster
  StopRest       // stop the remaining tasks, as the attempt can't succeed
};

/// Tracks the phase of one gang and decides what to do next.
class Gang {
 public:
  /// `wait_ms`: how long (ms) a task waits for the rest of its gang before its worker ends it.
  /// Missing tasks are placed only during the first part of this time.
  explicit Gang(Time wait_ms) : wait_ms_(wait_ms) {}

  [[nodiscard]] GangPhase phase() const { return phase_; }

  /// Updates the phase and returns what to do. `now` in ms.
  GangDecision decide(const GangView& view, Time now);

  /// Reports that a task has exited without completing, which ends the attempt for all tasks.
  void end_attempt() { phase_ = GangPhase::Stopping; }

 private:
  Time wait_ms_;
  GangPhase phase_ = GangPhase::Placing;
  Time gathering_since_ = 0;
};

/// A machine that may take tasks of a gang.
struct GangCandidate {
  std::string zone;
  std::uint32_t slots = 0;  // number of tasks that it has room for
  double delay_s = 0;       // expected seconds until a task placed there is ready, plus penalties
};

/// Zone constraints of a gang's tasks.
struct GangZones {
  bool one_zone = false;  // all tasks have to be in the same zone
  /// The number of additional tasks that a zone may take. A zone without an entry is unlimited.
  std::map<std::string, std::uint32_t> remaining_tasks;
};

/// The distribution of a gang's tasks.
struct GangPlan {
  std::vector<std::uint32_t> tasks_per_candidate;  // number of tasks for each candidate
  std::uint32_t missing = 0;                       // number of tasks that find no room
  std::string zone;  // the chosen zone, if all tasks have to be in one
};

/// Distributes `tasks` tasks over the candidates: to a single machine if one has room for all, so
/// that no network partition separates them and all start at the same time; otherwise to the
/// machines with the most room, so that few are used.
GangPlan plan_gang(const std::vector<GangCandidate>& candidates, std::uint32_t tasks,
                   const GangZones& zones);

}  // namespace sailreel
