// Checks a simulation against the rules of the protocol and records every violation. The checker
// observes what happens on machines and what users are told, but not the controllers' state.
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

/// The machine on which a task runs.
struct TaskLocation {
  std::string machine, type, zone;
  bool spot = false;
};

/// Collects the violations of one simulation. All times are in simulated milliseconds.
class Checker {
 public:
  /// Tasks of a cancelled job must be gone within `cancel_ms` after a user was told so.
  Checker(std::vector<Team> teams, Time cancel_ms)
      : teams_(std::move(teams)), cancel_limit_(cancel_ms) {}

  /// A user submits a job. Called before the first request for the job is sent.
  void submitted(const JobSpec& spec) { jobs_[spec.id].spec = spec; }
  /// A user requests the cancellation of a job.
  void cancel_requested(const std::string& id) { jobs_[id].cancel_requested = true; }

  /// A user was told a job's state at `now`: "pending", "running", "done" or "cancelled". A
  /// response of one controller binds the responses of all controllers to requests that are sent
  /// later; `requested_at` is the time at which this response's request was sent, by default `now`.
  void state_reported(const std::string& id, const std::string& state, Time now);
  void state_reported(const std::string& id, const std::string& state, Time now, Time requested_at);
  /// A user got a permanent rejection: 404 to a poll, 400 or 422 to a submission. That is a
  /// violation if the request was sent after the job had been accepted; `requested_at` is the time
  /// of sending. Without it, the request counts as sent after the acceptance.
  void rejected(const std::string& id, int status, bool poll) {
    rejected(id, status, poll, kNever);
  }
  void rejected(const std::string& id, int status, bool poll, Time requested_at);

  /// No fault is injected from now on.
  void faults_ended(Time now) { faults_ended_at_ = now; }
  [[nodiscard]] bool faults_are_over() const { return faults_ended_at_ != kNever; }

  /// A cancellation got 200 with this job state, which must be "cancelled" or "done".
  void cancel_state_reported(const std::string& id, const std::string& state);

  /// A job was accepted although it can't run or its submission lacks a field.
  void accepted_unfit(const std::string& id) { add_violation("accepted_unfit", id); }

  /// A worker has accepted a start command.
  void start_accepted(const std::string& id);

  /// Must be called regularly for each job. `possible` tells whether the job waits although some
  /// machine has room for it and its team is under its quota limit. After the faults have ended, a
  /// job may wait like this for 90 s at the most.
  void waiting_observed(const std::string& id, bool possible, Time now);

  /// A poll of a job failed. The job counts as forgotten if its polls fail for 90 s while other
  /// jobs get responses, or for 75 s after the faults have ended.
  void poll_failed(const std::string& id, Time now);

  /// A task has its image and occupies its machine from now on.
  void task_started(const TaskKey& key, const TaskLocation& location, Time now);
  /// A task no longer occupies its machine; `completed` if it ran to its end.
  void task_ended(const TaskKey& key, const std::string& machine, bool completed);
  /// A gang has completed, and with it all of its tasks.
  void gang_completed(const std::string& id);
  /// Checks that no task of a cancelled job runs beyond the time limit. Must be called after each
  /// step of the simulation; checks at most once every 200 ms.
  void step(Time now);
  /// Checks that at least one task has started. Must be called at the end, when all faults have
  /// ended.
  void check_end();
  /// Checks the same as `check_end`, and that the scheduler starved no group of jobs: of each
  /// class, of each team and of each class's largest jobs at least half were served, and each of
  /// the largest began within four minutes after it was accepted. Jobs that were cancelled before
  /// they began don't count.
  void check_end_and_service();

  /// The cases in which each rule was broken, by the rule's name.
  [[nodiscard]] const std::map<std::string, std::vector<std::string>>& violations() const;
  /// One line: each broken rule with its number of cases and the first of them; empty if none.
  [[nodiscard]] std::string summary() const;
  /// The number of task starts so far.
  [[nodiscard]] std::uint64_t starts() const { return starts_; }
  /// The number of tasks that occupy a machine at this moment.
  [[nodiscard]] std::uint32_t tasks_running() const { return tasks_running_; }
  /// The resources that a team's tasks use at this moment.
  [[nodiscard]] Resources used_by(const std::string& team) const;
  [[nodiscard]] std::size_t jobs() const { return jobs_.size(); }
  /// The number of jobs that a user was told to be done or cancelled.
  [[nodiscard]] std::size_t jobs_over() const;
  /// The accepted arrays and gangs that no user was told to be done or cancelled. Services are left
  /// out, because they don't end by themselves.
  [[nodiscard]] std::vector<std::string> unfinished_arrays() const;

 private:
  /// What users were told about a job, and what its tasks did.
  struct JobHistory {
    std::optional<JobSpec> spec;
    bool cancel_requested = false, accepted = false, poll_failure_reported = false;
    std::string final_state;
    Time final_at = 0, last_response_at = 0, accepted_at = 0, waiting_since = kNever;
    std::optional<Time> started_at;
    bool waiting_reported = false;
    std::set<std::uint32_t> completed;
  };
  void add_violation(const std::string& rule, const std::string& what);

  std::vector<Team> teams_;
  Time cancel_limit_, next_step_ = 0, last_response_at_ = 0, faults_ended_at_ = kNever;
  std::map<std::string, JobHistory> jobs_;
  std::map<std::string, std::map<std::string, TaskLocation>> running_on_;
  std::map<std::string, Resources> used_;
  std::map<std::string, std::vector<std::string>> violations_;
  std::uint64_t starts_ = 0;
  std::uint32_t tasks_running_ = 0;
};

}  // namespace sailreel::sim
