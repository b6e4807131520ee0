// Watches a simulated day and names every broken rule of the protocol. It knows the world as it is,
// and nothing of the core.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "protocol/settings.hpp"

namespace sailreel::sim {

struct Place {
  std::string machine, type, zone;
  bool spot = false;
};

class Checker {
 public:
  Checker(std::vector<Team> teams, Time cancel_ms) : teams_(std::move(teams)), cancel_(cancel_ms) {}

  void submitted(const JobSpec& spec) { jobs_[spec.id].spec = spec; }
  void cancel_asked(const std::string& id) { jobs_[id].asked = true; }

  /// A user was told something of a job: "pending", "running", "done", "cancelled". What is told
  /// anywhere binds the answers to all questions that are asked later.
  void told(const std::string& id, const std::string& state, Time now) {
    told(id, state, now, now);
  }
  void told(const std::string& id, const std::string& state, Time now, Time asked) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || !it->second.spec) return broken("invented", id);
    JobHistory& j = it->second;
    if (!j.accepted) j.accepted_at = now;
    j.accepted = true;
    j.last_known = last_answer_ = now;
    j.failing = false;
    const bool is_final = state == "done" || state == "cancelled";
    if (!j.final_state.empty() && !is_final && asked < j.final_at) return;
    if (j.final_state.empty()) {
      if (state == "done" && j.completed.size() < j.spec->tasks) broken("not_done", id);
      if (state == "cancelled" && !j.asked) broken("went_back", id + " cancelled by nobody");
      if (is_final) {
        j.final_state = state;
        j.final_at = now;
      }
    } else if (state != j.final_state) {
      broken("went_back", id + " from " + j.final_state + " to " + state);
    }
  }
  /// A user got a refusal for good: 404 to a poll, 400 or 422 to a submission.
  void refused(const std::string& id, int status, bool poll) { refused(id, status, poll, kNever); }
  void refused(const std::string& id, int status, bool poll, Time asked) {
    const auto it = jobs_.find(id);
    if (it != jobs_.end() && it->second.accepted && asked >= it->second.accepted_at &&
        (poll ? status == 404 : status != 404))
      broken("forgotten", id + " answered " + std::to_string(status));
  }

  /// All troubles are over.
  void calm(Time now) { calm_since_ = now; }
  [[nodiscard]] bool is_calm() const { return calm_since_ != kNever; }

  /// A cancellation was answered 200: that says cancelled or done, and nothing else.
  void cancel_answered(const std::string& id, const std::string& state) {
    if (state != "cancelled" && state != "done") broken("odd_answer", id + " is " + state);
  }

  /// A job that can't run, or whose submission lacks a field, was accepted.
  void accepted_unfit(const std::string& id) { broken("accepted_unfit", id); }

  /// A worker has taken a start.
  void start_taken(const std::string& id) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || !it->second.spec) return broken("invented", id + " started");
    if (it->second.final_state == "cancelled") broken("started_cancelled", id);
  }

  /// Whether a job waits for a start that some machine has room for, its team being under its
  /// limit.
  void waiting(const std::string& id, bool possible, Time now) {
    constexpr Time kFor = 90'000;
    JobHistory& j = jobs_[id];
    if (!possible || !is_calm()) {
      j.waiting_since = kNever;
    } else if (j.waiting_since == kNever) {
      j.waiting_since = now;
    } else if (now - j.waiting_since > kFor && !j.left_waiting) {
      j.left_waiting = true;
      broken("left_waiting", id);
    }
  }

  /// A poll of a job failed. For one job alone to fail for so long is to have forgotten it; so it
  /// is once all troubles are over, however others fare.
  void unanswered(const std::string& id, Time now) {
    constexpr Time kFor = 90'000, kOthersWithin = 10'000, kForInCalm = 75'000;
    JobHistory& j = jobs_[id];
    if (!j.accepted || j.failing) return;
    if (is_calm() && now - std::max(j.last_known, calm_since_) > kForInCalm) {
      j.failing = true;
      return broken("forgotten", id + " unanswered in calm");
    }
    if (now - j.last_known > kFor && now - last_answer_ < kOthersWithin) {
      j.failing = true;
      broken("forgotten", id + " unanswered");
    }
  }

  /// A task has its image and is on its machine from now on.
  void started(const TaskKey& key, const Place& place, Time now) {
    JobHistory& j = jobs_[key.job];
    if (!j.spec) return broken("invented", key.job + " started");
    const std::string task = key.job + "/" + std::to_string(key.index);
    auto& where = on_[task];
    if (!where.empty())
      broken("ran_twice", task + " on " + where.begin()->first + " and " + place.machine);
    if (!j.begun) j.begun = now;
    const JobSpec& s = *j.spec;
    if ((place.spot && !s.spot) || (!s.zone.empty() && s.zone != place.zone) ||
        (!s.any_type && std::find(s.types.begin(), s.types.end(), place.type) == s.types.end()))
      broken("wrong_place", task);
    std::map<std::string, std::uint32_t> zones;
    zones[place.zone] = 1;
    const std::string of_job = key.job + "/";
    for (auto it = on_.lower_bound(of_job); it != on_.end() && it->first.starts_with(of_job); ++it)
      if (it->first != task)
        for (const auto& [m, p] : it->second) ++zones[p.zone];
    if (s.one_zone && zones.size() > 1) broken("wrong_place", task + " not together");
    if (s.spread && zones[place.zone] > (s.tasks + 1) / 2)
      broken("wrong_place", task + " not spread");
    where[place.machine] = place;
    ++running_;
    Resources& used = used_[s.team];
    used += s.need;
    for (const Team& t : teams_)
      if (t.name == s.team && ((t.gpus_max > 0 && used.gpus > t.gpus_max + 1e-6) ||
                               (t.cpus_max > 0 && used.cpus > t.cpus_max + 1e-6)))
        broken("quota", s.team);
    if (j.final_state == "cancelled" && now > j.final_at + cancel_) broken("ran_cancelled", task);
    ++starts_;
  }
  void ended(const TaskKey& key, const std::string& machine, bool completed) {
    JobHistory& j = jobs_[key.job];
    const std::string task = key.job + "/" + std::to_string(key.index);
    const auto it = on_.find(task);
    if (it != on_.end() && it->second.erase(machine) > 0) {
      --running_;
      if (j.spec) used_[j.spec->team] -= j.spec->need;
      if (it->second.empty()) on_.erase(it);
    }
    if (completed) j.completed.insert(key.index);
  }
  /// A gang is done: all its tasks are, since they complete together.
  void gang_completed(const std::string& id) {
    JobHistory& j = jobs_[id];
    for (std::uint32_t i = 0; j.spec && i < j.spec->tasks; ++i) j.completed.insert(i);
  }
  /// To be called after each step of the day.
  void step(Time now) {
    if (now < next_) return;
    next_ = now + 200;
    for (const auto& [task, places] : on_) {
      if (places.empty()) continue;
      const JobHistory& j = jobs_[task.substr(0, task.rfind('/'))];
      if (j.final_state == "cancelled" && now > j.final_at + cancel_) broken("ran_cancelled", task);
    }
  }
  /// To be called at the end, when all troubles are over.
  void end() {
    if (starts_ == 0) broken("nothing_ran", "");
  }
  /// The same, and who was served: of each class, of each team and of each class's largest jobs at
  /// least half, and the largest begun within four minutes. A job that its user has called off
  /// before it began says nothing.
  void end_served() {
    end();
    constexpr Time kBeginWithin = 240'000;
    std::map<std::string, std::pair<std::size_t, std::size_t>> served;  // and of how many
    std::map<std::string, std::uint32_t> largest;
    for (const auto& [id, j] : jobs_)
      if (j.spec) {
        auto& most = largest[j.spec->job_class];
        most = std::max(most, j.spec->tasks);
      }
    for (const auto& [id, j] : jobs_) {
      if (!j.accepted || !j.spec || (j.asked && !j.begun)) continue;
      const bool is_served =
          j.spec->kind != JobKind::Service ? !j.final_state.empty() : j.begun.has_value();
      const auto count = [&](const std::string& group) {
        auto& [n, of] = served[group];
        n += is_served ? 1 : 0;
        ++of;
      };
      count("class " + j.spec->job_class);
      count("team " + j.spec->team);
      if (j.spec->tasks < largest[j.spec->job_class]) continue;
      count("largest of class " + j.spec->job_class);
      if (!j.begun || *j.begun - j.accepted_at > kBeginWithin) broken("late_largest", id);
    }
    for (const auto& [group, n] : served)
      if (2 * n.first < n.second) broken("not_served", group);
  }

  [[nodiscard]] const std::map<std::string, std::vector<std::string>>& violations() const {
    return violations_;
  }
  [[nodiscard]] std::string summary() const {
    std::string out;
    for (const auto& [rule, cases] : violations_)
      out += rule + " x" + std::to_string(cases.size()) + " (" + cases.front() + ") ";
    return out;
  }
  [[nodiscard]] std::uint64_t starts() const { return starts_; }
  /// Tasks that are on a machine.
  [[nodiscard]] std::uint32_t tasks_running() const { return running_; }
  /// What a team's tasks use at this moment.
  [[nodiscard]] Resources used_by(const std::string& team) const {
    const auto it = used_.find(team);
    return it == used_.end() ? Resources{} : it->second;
  }
  [[nodiscard]] std::size_t jobs() const { return jobs_.size(); }
  [[nodiscard]] std::size_t jobs_over() const {
    std::size_t n = 0;
    for (const auto& [id, j] : jobs_) n += j.final_state.empty() ? 0 : 1;
    return n;
  }
  /// Accepted jobs that no user was told the end of, though they end by themselves.
  [[nodiscard]] std::vector<std::string> unfinished_arrays() const {
    std::vector<std::string> out;
    for (const auto& [id, j] : jobs_)
      if (j.accepted && j.spec->kind != JobKind::Service && j.final_state.empty())
        out.push_back(id);
    return out;
  }

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
  void broken(const std::string& rule, const std::string& what) {
    violations_[rule].push_back(what);
  }

  std::vector<Team> teams_;
  Time cancel_, next_ = 0, last_answer_ = 0, calm_since_ = kNever;
  std::map<std::string, JobHistory> jobs_;
  std::map<std::string, std::map<std::string, Place>> on_;
  std::map<std::string, Resources> used_;
  std::map<std::string, std::vector<std::string>> violations_;
  std::uint64_t starts_ = 0;
  std::uint32_t running_ = 0;
};

}  // namespace sailreel::sim
