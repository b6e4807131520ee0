// Drives one core without siblings against the stand-in of the state service: the test plays the
// workers and the cloud, and may lay out a checkpoint beforehand.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/core.hpp"
#include "protocol/worker_codec.hpp"
#include "sim/stand_ins.hpp"
#include "sim/world.hpp"

namespace sailreel::sim {

inline Settings settings_without_siblings() {
  Settings settings = sample_settings(0);
  settings.siblings.clear();
  return settings;
}

/// What a machine of the sample type in zone za reports in its first session.
inline Heartbeat heartbeat_of(const std::string& machine, std::uint64_t seq,
                              std::vector<TaskStatus> tasks) {
  Heartbeat heartbeat;
  heartbeat.machine = machine;
  heartbeat.address = "10.1.0.1:9000";
  heartbeat.type = "box";
  heartbeat.zone = "za";
  heartbeat.session = 1;
  heartbeat.seq = seq;
  heartbeat.tasks = std::move(tasks);
  return heartbeat;
}

class CoreDriver {
 public:
  explicit CoreDriver(Settings settings) : core_(std::move(settings), Options{}, 7) {}

  StateService& state() { return state_; }
  [[nodiscard]] const std::vector<std::string>& warnings() const { return warnings_; }
  const Core& core() const { return core_; }

  /// Writes a key of the checkpoint, as a former leader would have.
  void write(const std::string& key, std::string value) {
    StateCall call;
    call.kind = StateCall::Kind::Txn;
    call.puts.push_back({key, std::move(value), 0});
    state_.handle(call, false, now_, [](const StateReply&) {});
  }

  /// Ticks every 50 ms.
  void run_for(Time span) {
    for (const Time until = now_ + span; now_ < until;) {
      now_ += 50;
      step(Tick{});
    }
  }

  void step(Input input) {
    inputs_.push_back(std::move(input));
    while (!inputs_.empty()) {
      Input next = std::move(inputs_.back());
      inputs_.pop_back();
      for (const Action& action : core_.step(Clock{now_, now_}, std::move(next))) act(action);
    }
  }

  /// Sends a report and returns its answer.
  const Answer& answer_to(Heartbeat heartbeat) {
    const std::uint64_t call = ++next_origin_;
    heartbeat.token = core_.epoch();
    step(HeartbeatReceived{{Origin::Kind::Local, call, 0}, std::move(heartbeat), {}});
    return answers_[call];
  }
  /// The same, of which only the commands matter.
  std::string heartbeat(Heartbeat heartbeat) { return answer_to(std::move(heartbeat)).body; }

  /// What the worker at an address answers to a direct command; nothing if this is empty.
  std::function<std::optional<Heartbeat>(const std::string& address)> on_direct;

  /// The machine types that the cloud names.
  void set_types(std::vector<MachineType> types) { types_ = std::move(types); }

  /// Submits a job and returns the answer's status; 0: none yet.
  int submit(const std::string& body) {
    const std::uint64_t call = ++next_origin_;
    step(UserRequest{{Origin::Kind::Local, call, 0}, UserOp::Submit, {}, body});
    return answers_[call].status;
  }
  int cancel(const std::string& id) {
    const std::uint64_t call = ++next_origin_;
    step(UserRequest{{Origin::Kind::Local, call, 0}, UserOp::Cancel, id, {}});
    return answers_[call].status;
  }

  /// The checkpoint as another node would read it.
  Snapshot checkpoint() {
    StateCall list;
    list.kind = StateCall::Kind::List;
    list.key = kPrefix;
    list.limit = 1'000;
    Snapshot image;
    state_.handle(list, false, now_, [&](const StateReply& reply) {
      for (const StateItem& item : reply.items) image.apply(item);
    });
    return image;
  }

 private:
  void act(const Action& action) {
    if (const auto* answer = std::get_if<Answer>(&action)) {
      answers_[answer->origin.link] = *answer;
    } else if (const auto* call = std::get_if<CallState>(&action)) {
      state_.handle(call->request, false, now_, [this, id = call->call](StateReply reply) {
        inputs_.push_back(StateAnswer{id, std::move(reply)});
      });
    } else if (const auto* cloud = std::get_if<CallCloud>(&action)) {
      CloudReply reply;
      reply.status = 503;
      if (cloud->request.kind == CloudCall::Kind::Types && !types_.empty()) {
        reply.status = 200;
        reply.types = types_;
      }
      inputs_.push_back(CloudAnswer{cloud->call, reply});
    } else if (const auto* worker = std::get_if<CallWorker>(&action)) {
      std::optional<Heartbeat> heartbeat;
      if (on_direct) heartbeat = on_direct(worker->address);
      if (heartbeat) heartbeat->token = core_.epoch();
      inputs_.push_back(WorkerAnswer{worker->call, heartbeat ? 200 : 0, std::move(heartbeat)});
    } else if (const auto* line = std::get_if<Log>(&action)) {
      if (line->level == Log::Level::Warning) warnings_.push_back(line->text);
    }
  }

  Core core_;
  StateService state_;
  std::vector<MachineType> types_;
  /// What is still to be fed. A watch may be answered long after the step that opened it.
  std::vector<Input> inputs_;
  Time now_ = 1'000;
  std::uint64_t next_origin_ = 0;
  std::map<std::uint64_t, Answer> answers_;
  std::vector<std::string> warnings_;
};

}  // namespace sailreel::sim
