// Hashes the actions that controllers return, so that two versions of the sources can be compared:
// a change that only renames, splits or merges code leaves every digest unchanged.
#pragma once

#include <xxhash.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <type_traits>
#include <vector>

#include "sim/simulated_controller.hpp"

namespace sailreel::sim {

/// Digest of all actions that controllers return, in order. Log lines are not part of the digest;
/// they are counted by level.
class BehaviourDigest {
 public:
  BehaviourDigest();

  /// Adds the actions of one step; `controller` is a number that identifies the controller.
  void add(std::uint64_t controller, const std::vector<Action>& actions);
  /// One line: the digest in hexadecimal, the number of actions, and log lines by level.
  [[nodiscard]] std::string summary() const;

 private:
  struct StateDeleter {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
  };

  void add_action(const Response& response);
  void add_action(const CallKvStore& call);
  void add_action(const CallCloud& call);
  void add_action(const CallWorker& call);
  void add_action(const SendToPeer& message);
  void add_action(const SendToRegion& message);
  void add_action(const ArmTimer& timer);
  void add_action(const Log& line);
  void add_bytes(const std::string& bytes);
  template <typename Number>
  void add_number(Number value) {
    static_assert(std::is_arithmetic_v<Number>);
    XXH3_64bits_update(state_.get(), &value, sizeof value);
  }

  std::unique_ptr<XXH3_state_t, StateDeleter> state_;
  std::uint64_t actions_ = 0;
  std::array<std::uint64_t, 4> log_lines_{};
};

/// A controller of the present version whose actions are added to a digest.
class DigestedController : public CurrentController {
 public:
  DigestedController(const Settings& settings, const Options& options, std::uint64_t seed,
                     std::shared_ptr<BehaviourDigest> digest)
      : CurrentController(settings, options, seed), seed_(seed), digest_(std::move(digest)) {}

  std::vector<Action> step(Clock clock, Input input) override {
    std::vector<Action> actions = CurrentController::step(clock, std::move(input));
    digest_->add(seed_, actions);
    return actions;
  }

 private:
  std::uint64_t seed_;
  std::shared_ptr<BehaviourDigest> digest_;
};

}  // namespace sailreel::sim
