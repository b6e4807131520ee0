// The state machine of one gang: a job whose tasks all run at the same time or not at all. It is
// told what is known of the tasks and decides what to do next; it knows no machines, workers or
// commands.
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
  Gathering,  // tasks are placed, and wait for the others of their attempt
  Running,    // the gang has started
  Stopping    // it is being stopped, or has lost a task: nothing is placed until all are gone
};

/// What is known of a gang's tasks.
struct GangView {
  std::uint32_t tasks = 0;
  std::uint32_t unknown = 0;   // may be on a machine that hasn't been heard since a failover
  std::uint32_t placed = 0;    // bound to a machine, whether started there or not
  std::uint32_t unsent = 0;    // of these, no start was sent
  std::uint32_t running = 0;   // of these, seen to run or to save
  std::uint32_t stopping = 0;  // of these, told to stop
  bool one_attempt = true;     // all placed tasks have the same attempt number
  bool overdue = false;  // a start wasn't sent although its machine's heartbeat should have come
};

/// What the caller has to do for a gang.
enum class GangDecision : std::uint8_t {
  Wait,
  PlaceAll,      // under a new attempt number
  PlaceMissing,  // under the attempt number of those that wait
  Unplace,       // nothing was sent: another place may be sooner
  StopRest       // the remaining tasks are of no use
};

class Gang {
 public:
  /// Gathering tasks are joined by a replacement only for part of `wait_ms`, after which (ms) the
  /// workers end them.
  explicit Gang(Time wait_ms) : wait_ms_(wait_ms) {}

  [[nodiscard]] GangPhase phase() const { return phase_; }

  /// Updates the phase and returns what to do. `now` in ms.
  GangDecision decide(const GangView& view, Time now);

  /// A task has exited without completing: the attempt is over for all of them.
  void attempt_over() { phase_ = GangPhase::Stopping; }

 private:
  Time wait_ms_;
  GangPhase phase_ = GangPhase::Placing;
  Time gathering_since_ = 0;
};

/// A machine that may take tasks of a gang.
struct GangCandidate {
  std::string zone;
  std::uint32_t slots = 0;  // tasks that it has room for
  double delay_s = 0;       // until a task placed there would be ready, in s, plus penalties in s
};

/// Zone constraints of a gang's tasks.
struct GangZones {
  bool one_zone = false;
  /// How many more tasks a zone may take; a zone that isn't named takes any number.
  std::map<std::string, std::uint32_t> room;
};

/// The distribution of a gang's tasks.
struct GangPlan {
  std::vector<std::uint32_t> tasks;  // for each candidate
  std::uint32_t missing = 0;         // tasks that find no room
  std::string zone;                  // the zone in which they do, if all have to be in one
};

/// Distributes `tasks` tasks: to a single machine if one has room for all, so that no partition
/// separates them and all start at the same time; otherwise to as few as possible.
GangPlan plan_gang(const std::vector<GangCandidate>& candidates, std::uint32_t tasks,
                   const GangZones& zones);

}  // namespace sailreel
