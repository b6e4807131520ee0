// Drives one controller without peers against the fake key-value store. The test acts as the
// workers and the cloud, and may write a checkpoint beforehand.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "controller/controller.hpp"
#include "controller/log_line.hpp"
#include "protocol/worker_codec.hpp"
#include "sim/fake_kv_store.hpp"
#include "sim/simulated_region.hpp"

namespace sailreel::sim {

/// The settings of the sample deployment's first controller, as the only one of its region.
inline Settings settings_without_peers() {
  Settings settings = sample_settings(0);
  settings.peers.clear();
  return settings;
}

/// The heartbeat of a machine of the sample type in zone za, in its first incarnation.
inline Heartbeat heartbeat_of(const std::string& machine, std::uint64_t seq,
                              std::vector<TaskStatus> tasks) {
  Heartbeat heartbeat;
  heartbeat.machine = machine;
  heartbeat.address = "10.1.0.1:9000";
  heartbeat.type = "box";
  heartbeat.zone = "za";
  heartbeat.incarnation = 1;
  heartbeat.seq = seq;
  heartbeat.tasks = std::move(tasks);
  return heartbeat;
}

/// A controller with its simulated clock, store and responses.
class ControllerDriver {
 public:
  explicit ControllerDriver(Settings settings) : controller_(std::move(settings), Options{}, 7) {}

  FakeKvStore& kv_store() { return kv_store_; }
  [[nodiscard]] const std::vector<std::string>& warnings() const { return warnings_; }
  const Controller& controller() const { return controller_; }

  /// Writes a key of the checkpoint, as an earlier leader does.
  void write(const std::string& key, std::string value) {
    KvRequest request;
    request.kind = KvRequest::Kind::Txn;
    request.puts.push_back({key, std::move(value), 0});
    kv_store_.handle(request, false, now_, [](const KvResponse&) {});
  }

  /// Advances the clock by `span` with a tick every 50 ms.
  void run_for(Time span) {
    for (const Time until = now_ + span; now_ < until;) {
      now_ += 50;
      kv_store_.tick(now_);
      step(Tick{});
    }
  }

  /// Passes an input to the controller, and then the responses to its own requests.
  void step(Input input) {
    inputs_.push_back(std::move(input));
    while (!inputs_.empty()) {
      Input next = std::move(inputs_.back());
      inputs_.pop_back();
      for (const Action& action : controller_.step(Clock{now_, now_}, std::move(next)))
        perform(action);
    }
  }

  /// Sends a heartbeat and returns its response.
  const Response& response_to(Heartbeat heartbeat) {
    const std::uint64_t call = ++next_request_;
    heartbeat.fencing_token = controller_.epoch();
    step(HeartbeatReceived{{RequestSource::Kind::Local, call, 0}, std::move(heartbeat), {}});
    return responses_[call];
  }
  /// Sends a heartbeat and returns the body of its response, which holds the commands.
  std::string heartbeat(Heartbeat heartbeat) { return response_to(std::move(heartbeat)).body; }

  /// Returns the response of the worker at an address to a direct command. Without this function,
  /// or if it returns nothing, the command fails.
  std::function<std::optional<Heartbeat>(const std::string& address)> on_direct;

  /// Sets the machine types that the cloud lists. Until `open_cloud` is called, all other requests
  /// to the cloud get 503.
  void set_types(std::vector<MachineType> types) { types_ = std::move(types); }
  /// Makes the cloud grant all requests. The machines are named m-1, m-2 and so on; the list of
  /// machines stays empty.
  void open_cloud() { cloud_open_ = true; }
  /// The scale-out requests that the open cloud has granted, in order.
  [[nodiscard]] const std::vector<ScaleOutRequest>& scale_outs() const { return scale_outs_; }
  /// The number of machines that these requests asked for.
  [[nodiscard]] std::uint32_t machines_launched() const { return machines_launched_; }
  /// The names of the machines that the open cloud was told to terminate, in order.
  [[nodiscard]] const std::vector<std::string>& terminated() const { return terminated_; }
  /// The log lines that have this event, in order.
  [[nodiscard]] std::vector<std::string> log_lines(LogEvent event) const {
    const std::string name = "event=" + std::string(to_string(event)) + " ";
    std::vector<std::string> lines;
    for (const std::string& line : log_lines_)
      if (line.find(name) != std::string::npos) lines.push_back(line);
    return lines;
  }

  /// Submits a job and returns the status of the response; 0 if there is none yet.
  int submit(const std::string& body) {
    const std::uint64_t call = ++next_request_;
    step(UserRequest{{RequestSource::Kind::Local, call, 0}, RequestOp::Submit, {}, body});
    return responses_[call].status;
  }
  /// Cancels a job and returns the status of the response; 0 if there is none yet.
  int cancel(const std::string& id) {
    const std::uint64_t call = ++next_request_;
    step(UserRequest{{RequestSource::Kind::Local, call, 0}, RequestOp::Cancel, id, {}});
    return responses_[call].status;
  }

  /// Reads the checkpoint from the store, as another controller does.
  Snapshot checkpoint() {
    KvRequest list;
    list.kind = KvRequest::Kind::List;
    list.key = kCheckpointPrefix;
    list.limit = 1'000;
    Snapshot snapshot;
    kv_store_.handle(list, false, now_, [&](const KvResponse& reply) {
      for (const KvItem& item : reply.items) snapshot.apply(item);
    });
    return snapshot;
  }

 private:
  void perform(const Action& action) {
    if (const auto* response = std::get_if<Response>(&action)) {
      responses_[response->source.link] = *response;
    } else if (const auto* call = std::get_if<CallKvStore>(&action)) {
      kv_store_.handle(call->request, false, now_, [this, id = call->call](KvResponse reply) {
        inputs_.push_back(KvResponseReceived{id, std::move(reply)});
      });
    } else if (const auto* cloud = std::get_if<CallCloud>(&action)) {
      inputs_.push_back(CloudResponseReceived{cloud->call, cloud_response(cloud->request)});
    } else if (const auto* worker = std::get_if<CallWorker>(&action)) {
      std::optional<Heartbeat> heartbeat;
      if (on_direct) heartbeat = on_direct(worker->address);
      if (heartbeat) heartbeat->fencing_token = controller_.epoch();
      inputs_.push_back(
          WorkerResponseReceived{worker->call, heartbeat ? 200 : 0, std::move(heartbeat)});
    } else if (const auto* line = std::get_if<Log>(&action)) {
      if (line->level == Log::Level::Warning) warnings_.push_back(line->text);
      log_lines_.push_back(line->text);
    }
  }

  CloudResponse cloud_response(const CloudRequest& request) {
    CloudResponse response;
    response.status = cloud_open_ ? 200 : 503;
    if (request.kind == CloudRequest::Kind::Types && !types_.empty()) {
      response.status = 200;
      response.types = types_;
    } else if (cloud_open_ && request.kind == CloudRequest::Kind::ScaleOut) {
      scale_outs_.push_back(request.scale_out);
      for (std::uint32_t i = 0; i < request.scale_out.count; ++i)
        response.names.push_back("m-" + std::to_string(++machines_launched_));
    } else if (cloud_open_ && request.kind == CloudRequest::Kind::Terminate) {
      terminated_.insert(terminated_.end(), request.names.begin(), request.names.end());
    }
    return response;
  }

  Controller controller_;
  FakeKvStore kv_store_;
  std::vector<MachineType> types_;
  /// Inputs that the controller hasn't got yet. The response to a watch may come long after the
  /// step that opened the watch.
  std::vector<Input> inputs_;
  Time now_ = 1'000;
  std::uint64_t next_request_ = 0;
  std::map<std::uint64_t, Response> responses_;
  std::vector<std::string> warnings_, log_lines_;
  bool cloud_open_ = false;
  std::vector<ScaleOutRequest> scale_outs_;
  std::uint32_t machines_launched_ = 0;
  std::vector<std::string> terminated_;
};

}  // namespace sailreel::sim
