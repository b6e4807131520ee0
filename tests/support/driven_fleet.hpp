// Workers for tests that drive a single controller: they carry out the commands in the responses
// to their heartbeats and never fail by themselves.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "protocol/fake_server_codec.hpp"
#include "support/controller_driver.hpp"

namespace sailreel::sim {

/// A number of machines of the sample type. Each sends a heartbeat per second of simulated time;
/// with its next heartbeat, a task that was started is running or, without its image, fetching.
class DrivenFleet {
 public:
  explicit DrivenFleet(ControllerDriver& driver) : driver_(driver) {}

  /// Adds a machine, which sends its first heartbeat in the next second.
  void add(const std::string& name, const std::string& zone, bool spot = false) {
    Worker& worker = workers_[name];
    worker.heartbeat = heartbeat_of(name, 0, {});
    worker.heartbeat.zone = zone;
    worker.heartbeat.spot = spot;
  }

  /// Advances the clock by whole seconds, in each of which every machine sends a heartbeat. The
  /// machines take turns within the second.
  void run_for_s(int seconds) {
    constexpr Time kSecondMs = 1'000;
    for (int second = 0; second < seconds; ++second) {
      const Time step = kSecondMs / static_cast<Time>(workers_.size() + 1);
      for (auto& [name, worker] : workers_) {
        driver_.run_for(step);
        send_heartbeat(worker);
      }
      driver_.run_for(step);
    }
  }

  /// Lets a task that runs on some machine fail. Returns the machine's name; empty if there is
  /// none.
  std::string fail(const TaskKey& key) {
    for (auto& [name, worker] : workers_)
      for (TaskStatus& task : worker.heartbeat.tasks)
        if (task_name(task.key) == task_name(key) && task.state == RunState::Running) {
          task.state = RunState::Exited;
          task.cause = ExitCause::Error;
          return name;
        }
    return {};
  }

  /// Makes a machine carry out no stop command any more.
  void ignore_stops(const std::string& machine) { workers_.at(machine).ignores_stops = true; }

  /// Lets all fetches on a machine end.
  void finish_fetches(const std::string& machine) {
    for (TaskStatus& task : workers_.at(machine).heartbeat.tasks)
      if (task.state == RunState::Fetching) task.state = RunState::Running;
  }

  /// The machines on which tasks of the job are running or fetching, one entry for each task.
  [[nodiscard]] std::vector<std::string> machines_of(const std::string& job) const {
    std::vector<std::string> machines;
    for (const auto& [name, worker] : workers_)
      for (const TaskStatus& task : worker.heartbeat.tasks)
        if (task.key.job == job && task.state != RunState::Exited) machines.push_back(name);
    return machines;
  }

  /// How often a task of the job was told to stop, counting each attempt once.
  [[nodiscard]] std::size_t stops_of(const std::string& job) const {
    return static_cast<std::size_t>(
        std::count_if(stopped_.begin(), stopped_.end(),
                      [&](const std::string& attempt) { return attempt.starts_with(job + "/"); }));
  }

 private:
  struct Worker {
    Heartbeat heartbeat;
    std::set<std::string> images;
    bool ignores_stops = false;
  };

  void send_heartbeat(Worker& worker) {
    ++worker.heartbeat.seq;
    const auto batch = decode_commands(driver_.heartbeat(worker.heartbeat));
    if (!batch) return;
    for (const Command& command : batch->commands) execute(worker, command);
  }

  void execute(Worker& worker, const Command& command) {
    auto& tasks = worker.heartbeat.tasks;
    const auto task = std::find_if(tasks.begin(), tasks.end(), [&](const TaskStatus& status) {
      return task_name(status.key) == task_name(command.key) && status.attempt == command.attempt;
    });
    if (command.op == Command::Op::Start) {
      if (task == tasks.end()) tasks.push_back(started(worker, command));
    } else if (task == tasks.end()) {
      return;
    } else if (command.op == Command::Op::Forget) {
      tasks.erase(task);
    } else if (task->state != RunState::Exited && !worker.ignores_stops) {
      stopped_.insert(task_name(command.key) + " " + std::to_string(command.attempt));
      task->state = RunState::Exited;
      task->cause = ExitCause::Stopped;
    }
  }

  TaskStatus started(Worker& worker, const Command& command) {
    const Job& job = *driver_.controller().tables().jobs.at(command.key.job);
    const bool holds_image = !worker.images.insert(job.spec().image).second;
    return {command.key, command.attempt, holds_image ? RunState::Running : RunState::Fetching,
            ExitCause::None, false};
  }

  ControllerDriver& driver_;
  std::map<std::string, Worker> workers_;
  std::set<std::string> stopped_;
};

}  // namespace sailreel::sim
