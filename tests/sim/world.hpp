// A simulated day: three real cores, the stand-ins, workers, users and a balancer, on one simulated
// clock, with seeded troubles.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/core.hpp"
#include "sim/checker.hpp"
#include "sim/stand_ins.hpp"

namespace sailreel::sim {

struct DayPlan {
  std::uint64_t seed = 1;
  Time length = 240'000;
  Time troubles_from = 40'000, troubles_until = 170'000;
  std::uint32_t jobs = 40;
  bool troubles = true;
  std::uint32_t scale = 1;  // of the capacity and the teams; 12 machines at 1
  double loss = 0.002;
  double late_copies = 0.01;
};

Settings sample_settings(std::size_t node, std::uint32_t scale = 1);
std::string submission(const JobSpec& spec);

class World {
 public:
  explicit World(const DayPlan& plan);
  ~World();

  void run_until(Time t);
  /// The whole day; the checker says what was broken.
  void run() { run_until(plan_.length); }

  Checker& checker() { return checker_; }
  StateService& state() { return state_; }
  Cloud& cloud() { return cloud_; }
  [[nodiscard]] Time now() const { return now_; }

  // Troubles.
  void kill(std::size_t node, Time for_ms);
  void cut(const std::string& a, const std::string& b, Time for_ms, bool hold);
  /// The zone's controllers and machines lose everything outside of it.
  void cut_zone(const std::string& zone, Time for_ms, bool hold);
  /// The controller stands still; what reaches it meanwhile waits.
  void freeze(std::size_t node, Time for_ms);
  void refuse_state(std::size_t node, Time for_ms);
  void state_outage(Time for_ms);
  void kill_machine(const std::string& name);
  void hang_machine(const std::string& name, Time for_ms);
  /// Answers and commands don't reach the machine; its reports still arrive.
  void deafen_machine(const std::string& name, Time for_ms);
  void notice_machine(const std::string& name, Time in_ms);

  void submit(const JobSpec& spec, Time cancel_at = 0);
  [[nodiscard]] int leader() const;
  [[nodiscard]] const Core* core(std::size_t node) const { return nodes_[node].core.get(); }
  [[nodiscard]] std::vector<std::string> machines_up() const;
  /// Submissions that got no answer within their user's patience.
  [[nodiscard]] std::uint64_t unanswered_submissions() const { return unanswered_; }
  [[nodiscard]] std::uint64_t reports() const { return reports_; }
  [[nodiscard]] std::uint64_t malformed_answers() const { return malformed_; }
  /// Called when a worker has completed a task, before anybody hears of it.
  std::function<void(const TaskKey&, const std::string& machine)> on_completed;
  /// Called when a task that had begun to run is on its machine no longer.
  std::function<void(const TaskKey&, const std::string& machine)> on_ended;
  /// Every command a worker carries out.
  std::function<void(const std::string& machine, const Command&)> on_command;

 private:
  struct Node {
    std::string name;
    std::unique_ptr<Core> core;
    std::uint64_t life = 0;
    double drift = 1.0;
    Time refused_until = 0, frozen_until = 0;
    std::set<std::uint64_t> direct_calls;  // waiting for an answer, each with its socket
  };
  struct WorkTask {
    ReportedTask report;
    Time image_at = 0, done_at = 0, exits_at = 0;
    bool on = false;
  };
  struct Worker {
    CloudMachine machine;
    bool alive = true;
    std::uint64_t session = 1, seq = 0, token = 0;
    std::size_t node = 0;
    Time began = 0, last_ok_sent = 0, hang_until = 0, deaf_until = 0, notice_at = 0;
    Time next_report = 0, last_report = 0;
    bool in_flight = false, changed = false;
    std::uint64_t flight = 0;
    double drift = 1.0;
    std::map<std::pair<std::string, std::uint32_t>, std::vector<WorkTask>> tasks;
    std::set<std::string> images, done;
  };
  struct User {
    JobSpec spec;
    std::string body;
    bool accepted = false, cancelled = false, over = false, cancelling = false;
    Time cancel_at = 0, next = 0, first = 0;
    std::uint64_t call = 0;
  };
  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
  };

  void at(Time t, std::function<void()> run);
  /// Carries a message between two hosts: delayed, lost, or held by a cut.
  void carry(const std::string& from, const std::string& to, std::function<void()> arrive);
  [[nodiscard]] std::string zone_of(const std::string& host) const;
  [[nodiscard]] std::pair<Time, bool> cut_between(const std::string& a, const std::string& b) const;
  [[nodiscard]] Time delay();
  void start_node(std::size_t i);
  void feed(std::size_t i, Input input);
  void act(std::size_t i, Action& action);
  void node_answer(std::size_t i, const Answer& a);

  void worker_tick(const std::string& name);
  void send_report(Worker& w);
  Report make_report(Worker& w);
  void obey(Worker& w, const Command& c);
  void lapse(Worker& w);
  void ended(const TaskKey& key, const std::string& machine, bool completed);
  void take_answer(Worker& w, std::uint64_t flight, Time sent, std::uint64_t session, int status,
                   const std::string& body);
  void direct(std::size_t node, std::uint64_t call, const std::string& address,
              const std::string& body);
  void execute_direct(std::size_t node, std::uint64_t call, const std::string& name,
                      const std::string& body, std::uint64_t life);
  void housekeeping();
  void user_tick(std::size_t u);
  void user_answer(std::size_t u, std::uint64_t call, UserOp op, int status,
                   const std::string& body);
  [[nodiscard]] const User* user_of(const std::string& job) const;
  void plan_troubles();
  void plan_jobs();

  DayPlan plan_;
  pcg32 random_;
  std::vector<Settings> settings_;
  Time now_ = 0;
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  Checker checker_;
  StateService state_;
  Cloud cloud_;
  std::vector<Node> nodes_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, std::string> by_address_;
  std::vector<std::unique_ptr<User>> users_;
  std::unordered_map<std::string, const User*> by_job_;
  // Until when, and whether what is sent meanwhile arrives afterwards.
  std::map<std::pair<std::string, std::string>, std::pair<Time, bool>> cuts_;
  std::map<std::string, std::pair<Time, bool>> zone_cuts_;
  std::uint64_t next_call_ = 1;
  std::map<std::uint64_t, std::function<void(int, const std::string&)>> answers_;
  std::uint64_t malformed_ = 0, unanswered_ = 0, reports_ = 0;
};

}  // namespace sailreel::sim
