// Counts the work of simulated controllers by kind of input: steps, allocations, and jobs and
// machines examined. Unlike times, these counts are the same on every run.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "sim/simulated_controller.hpp"

namespace sailreel::sim {

/// The number of allocations that the test program has made, and their bytes. They are counted only
/// in programs that are built with support/count_allocations.cpp.
struct Allocations {
  std::uint64_t count = 0, bytes = 0;

  void add(std::uint64_t size) {
    ++count;
    bytes += size;
  }
};
inline Allocations allocations;

/// The kinds of input that are counted separately.
enum class InputKind : std::uint8_t {
  Tick,
  Heartbeat,
  Poll,
  Submission,
  KvResponseReceived,
  Peer,
  Other
};
constexpr std::size_t kInputKinds = 7;

inline InputKind input_kind(const Input& input) {
  if (std::holds_alternative<Tick>(input)) return InputKind::Tick;
  if (std::holds_alternative<HeartbeatReceived>(input)) return InputKind::Heartbeat;
  if (std::holds_alternative<KvResponseReceived>(input)) return InputKind::KvResponseReceived;
  if (std::holds_alternative<PeerMessageReceived>(input)) return InputKind::Peer;
  const auto* request = std::get_if<UserRequest>(&input);
  if (request == nullptr) return InputKind::Other;
  if (request->op == RequestOp::Query) return InputKind::Poll;
  return request->op == RequestOp::Submit ? InputKind::Submission : InputKind::Other;
}

/// The sum of the work of several steps.
struct StepWork {
  std::uint64_t steps = 0, allocations = 0, bytes = 0, examined = 0;

  void add(const StepWork& other) {
    steps += other.steps;
    allocations += other.allocations;
    bytes += other.bytes;
    examined += other.examined;
  }
};

/// The work of all controllers of a region, counted separately for leaders and followers.
class WorkMeter {
 public:
  void add(bool leading, InputKind kind, const StepWork& work) {
    mutable_work_for(leading, kind).add(work);
  }
  [[nodiscard]] const StepWork& leader(InputKind kind) const { return work_for(leader_, kind); }
  [[nodiscard]] const StepWork& follower(InputKind kind) const { return work_for(follower_, kind); }
  /// The work for all inputs that reached a leader.
  [[nodiscard]] StepWork leader_total() const { return sum(leader_); }
  /// The work for all inputs of all controllers.
  [[nodiscard]] StepWork total() const {
    StepWork total = sum(leader_);
    total.add(sum(follower_));
    return total;
  }
  void reset() { *this = {}; }

 private:
  using ByKind = std::array<StepWork, kInputKinds>;
  static const StepWork& work_for(const ByKind& work, InputKind kind) {
    return work[static_cast<std::size_t>(kind)];
  }
  static StepWork sum(const ByKind& by_kind) {
    StepWork total;
    for (const StepWork& work : by_kind) total.add(work);
    return total;
  }
  StepWork& mutable_work_for(bool leading, InputKind kind) {
    return (leading ? leader_ : follower_)[static_cast<std::size_t>(kind)];
  }
  ByKind leader_, follower_;
};

/// A controller of the present version whose steps are counted.
class MeteredController : public CurrentController {
 public:
  MeteredController(const Settings& settings, const Options& options, std::uint64_t seed,
                    std::shared_ptr<WorkMeter> meter)
      : CurrentController(settings, options, seed), meter_(std::move(meter)) {}

  std::vector<Action> step(Clock clock, Input input) override {
    const bool was_leading = leading();
    const InputKind kind = input_kind(input);
    const Allocations before = allocations;
    const std::uint64_t examined_before = controller()->examined();
    std::vector<Action> actions = CurrentController::step(clock, std::move(input));
    meter_->add(was_leading, kind,
                {1, allocations.count - before.count, allocations.bytes - before.bytes,
                 controller()->examined() - examined_before});
    return actions;
  }

 private:
  std::shared_ptr<WorkMeter> meter_;
};

}  // namespace sailreel::sim
