// Checks a simulation against the rules of the protocol, and names every violation. It knows what
// really happens on machines and what users are told, and nothing of the controllers' state.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "protocol/settings.hpp"

namespace sailreel::sim {

struct TaskLocation {
  std::string machine, type, zone;
  bool spot = false;
};

class Checker {
 public:
  Checker(std::vector<Team> teams, Time cancel_ms)
      : teams_(std::move(teams)), cancel_within_(cancel_ms) {}

  void submitted(const JobSpec& spec) { jobs_[spec.id].spec = spec; }
  void cancel_asked(const std::string& id) { jobs_[id].asked = true; }

  /// A user was told a job's state: "pending", "running", "done", "cancelled". What one controller
  /// responds binds the responses to all requests that are sent later.
  void told(const std::string& id, const std::string& state, Time now);
  void told(const std::string& id, const std::string& state, Time now, Time asked);
  /// A user got a permanent rejection: 404 to a poll, 400 or 422 to a submission.
  void refused(const std::string& id, int status, bool poll) { refused(id, status, poll, kNever); }
  void refused(const std::string& id, int status, bool poll, Time asked);

  /// No fault is injected from now on.
  void faults_ended(Time now) { faults_ended_at_ = now; }
  [[nodiscard]] bool faults_are_over() const { return faults_ended_at_ != kNever; }

  /// A cancellation got 200, which may say cancelled or done only.
  void cancel_answered(const std::string& id, const std::string& state);

  /// A job that can't run, or whose submission lacks a field, was accepted.
  void accepted_unfit(const std::string& id) { add_violation("accepted_unfit", id); }

  /// A worker has accepted a start command.
  void start_taken(const std::string& id);

  /// Whether a job waits although some machine has room for it and its team is under its quota
  /// limit.
  void waiting(const std::string& id, bool possible, Time now);

  /// A poll of a job failed. If that goes on for long while other jobs get responses, or at all
  /// after the faults have ended, the job counts as forgotten.
  void unanswered(const std::string& id, Time now);

  /// A task has its image and is on its machine from now on.
  void started(const TaskKey& key, const TaskLocation& location, Time now);
  void ended(const TaskKey& key, const std::string& machine, bool completed);
  /// All tasks of a gang complete together.
  void gang_completed(const std::string& id);
  /// To be called after each step of the simulation.
  void step(Time now);
  /// To be called at the end, when all faults have ended.
  void end();
  /// The same, and that the scheduler starved nobody: of each class, of each team and of each
  /// class's largest jobs at least half were served, and the largest began within four minutes.
  /// Jobs that were cancelled before they began don't count.
  void end_served();

  [[nodiscard]] const std::map<std::string, std::vector<std::string>>& violations() const;
  [[nodiscard]] std::string summary() const;
  [[nodiscard]] std::uint64_t starts() const { return starts_; }
  /// Tasks that are on a machine.
  [[nodiscard]] std::uint32_t tasks_running() const { return tasks_running_; }
  /// What a team's tasks use at this moment.
  [[nodiscard]] Resources used_by(const std::string& team) const;
  [[nodiscard]] std::size_t jobs() const { return jobs_.size(); }
  [[nodiscard]] std::size_t jobs_over() const;
  /// Accepted jobs that no user was told the end of, though they end by themselves.
  [[nodiscard]] std::vector<std::string> unfinished_arrays() const;

 private:
  struct JobHistory {
    std::optional<JobSpec> spec;
    bool asked = false, accepted = false, failing = false;
    std::string final_state;
    Time final_at = 0, last_known = 0, accepted_at = 0, waiting_since = kNever;
    std::optional<Time> begun;
    bool left_waiting = false;
    std::set<std::uint32_t> completed;
  };
  void add_violation(const std::string& rule, const std::string& what);

  std::vector<Team> teams_;
  Time cancel_within_, next_step_ = 0, last_answer_ = 0, faults_ended_at_ = kNever;
  std::map<std::string, JobHistory> jobs_;
  std::map<std::string, std::map<std::string, TaskLocation>> running_on_;
  std::map<std::string, Resources> used_;
  std::map<std::string, std::vector<std::string>> violations_;
  std::uint64_t starts_ = 0;
  std::uint32_t tasks_running_ = 0;
};

}  // namespace sailreel::sim
