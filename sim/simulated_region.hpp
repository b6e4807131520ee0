// A region with its controllers, the stand-ins for cloud and state service, workers and users. In
// tests the controllers are cores in this process and the clock is simulated, with seeded troubles;
// in a scale run they are processes behind sockets, and the caller moves the clock on with time.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "controller/controller.hpp"
#include "sim/checker.hpp"
#include "sim/fakes.hpp"
#include "sim/simulated_controller.hpp"

namespace sailreel::sim {

/// The controllers of a region, and what they find around them.
struct Deployment {
  std::vector<Settings> controllers;
  std::vector<MachineType> types;
  /// Machines that the cloud has, by zone and kind (spot or not).
  std::map<std::pair<std::string, bool>, std::uint32_t> capacity;
  double kv_rps = 1e9, kv_write_rps = 1e9;
  /// One in so many rented machines stays booting for ever; 0: none.
  std::uint32_t one_in_never_up = 25;
  /// Workers get an address of their own below this; empty: a made-up one.
  std::string worker_address_prefix;
};

/// What a controller's processor takes for a step, by the step's counted work. None: no time.
struct ProcessorCost {
  double step_ms = 0;
  /// For each job or machine that is looked at.
  double look_ms = 0;

  [[nodiscard]] bool takes_time() const { return step_ms > 0 || look_ms > 0; }
};

struct SimulationPlan {
  std::uint64_t seed = 1;
  Time length = 240'000;
  Time faults_from = 40'000, faults_until = 170'000;
  std::uint32_t jobs = 40;
  bool faults = true;
  bool fault_pairs = false;  // troubles that meet, instead of single ones
  bool gangs = false;        // a third of the jobs are gangs
  double gang_wait_s = 20, gang_peer_s = 2;
  /// The state service's limits fall to these some time; 0: never.
  double next_value_kb = 0, next_write_rps = 0;
  std::uint64_t next_txn_ops = 0;
  /// The day begins with controllers of another version, which are upgraded one by one.
  std::function<std::unique_ptr<SimulatedController>(const Settings&, std::uint64_t seed)>
      production;
  /// Instead of the sample deployment.
  std::optional<Deployment> deployment;
  /// Makes each controller; empty: a core of the present version within this process.
  std::function<std::unique_ptr<SimulatedController>(std::size_t node, const Settings&,
                                                     std::uint64_t seed)>
      controllers;
  /// Operators' options of the controllers of the present version.
  Options options;
  /// Messages cross real sockets, which delay and lose them by themselves.
  bool over_sockets = false;
  std::uint32_t scale = 1;  // of the capacity and the teams; 12 machines at 1
  double loss = 0.002;
  double late_copies = 0.01;
  double heartbeat_interval_s = 1, lease_s = 10, cancel_s = 30;
  /// Of each controller. What reaches it while it is busy waits, and its timers fire late.
  ProcessorCost processor;
  /// Machines are up after so long, whatever their type says; 0: as it says.
  Time boots_ms = 0;
};

inline std::string node_name(std::size_t i) { return "node-" + std::to_string(i); }

Settings sample_settings(std::size_t node, std::uint32_t scale = 1);
/// The only type of machine that the cloud rents.
MachineType sample_type();
/// Three controllers in two zones, changed as the plan says.
Deployment sample_deployment(const SimulationPlan& plan);

class SimulatedRegion {
 public:
  explicit SimulatedRegion(const SimulationPlan& plan);
  ~SimulatedRegion();

  void run_until(Time t);
  /// Something to be done at that moment of the day.
  void at(Time t, std::function<void()> run);
  /// The whole day; the checker says what was broken.
  void run() { run_until(plan_.length); }

  Checker& checker() { return checker_; }
  [[nodiscard]] const Checker& checker() const { return checker_; }
  FakeKvStore& state() { return state_; }
  [[nodiscard]] const FakeKvStore& state() const { return state_; }
  FakeCloud& cloud() { return cloud_; }
  [[nodiscard]] Time now() const { return now_; }

  /// A message of another region reaches all controllers.
  void receive_region(const RegionMessage& message);
  /// Brings a team's limit to another value, and starts the controllers again one by one with it.
  void change_team_limit(const std::string& team, double gpus_max);

  /// What a controller outside of this process has answered to an input.
  void deliver(std::size_t node, const Response& response) { handle_node_response(node, response); }
  /// A direct command to a worker; `then` gets its answer, if it ever gives one.
  void command(const std::string& machine, const std::string& body,
               const std::function<void(int, const Heartbeat&)>& then);
  /// A worker's report on request.
  void inspect(const std::string& machine, const std::function<void(int, const Heartbeat&)>& then);

  // Troubles.
  void kill(std::size_t node, Time for_ms);
  /// The process ends and comes back with the present version.
  void upgrade(std::size_t node, Time for_ms);
  /// The state service's limits fall, without notice.
  void lower_limits();
  void cut(const std::string& a, const std::string& b, Time for_ms, bool hold);
  /// The zone's controllers and machines lose everything outside of it.
  void cut_zone(const std::string& zone, Time for_ms, bool hold);
  /// A share of the machines loses all controllers.
  void cut_machines(double share, Time for_ms, bool hold);
  /// The controller stands still; what reaches it meanwhile waits.
  void freeze(std::size_t node, Time for_ms);
  /// The controller takes so many times as long for each step.
  void slow_down(std::size_t node, double factor, Time for_ms);
  void reject_kv_requests(std::size_t node, Time for_ms);
  void kv_store_outage(Time for_ms);
  void kill_machine(const std::string& name);
  void hang_machine(const std::string& name, Time for_ms);
  /// Answers and commands don't reach the machine; its reports still arrive.
  void deafen_machine(const std::string& name, Time for_ms);
  void notice_machine(const std::string& name, Time in_ms);
  /// The machine reaches no controller, while direct commands reach it.
  void mute_machine(const std::string& name, Time for_ms);
  /// The controller loses the state service and the other controllers, not its workers or users.
  void isolate(std::size_t node, Time for_ms, bool hold);
  /// It loses the other controllers alone.
  void cut_peers(std::size_t node, Time for_ms, bool hold);
  /// Of that share of transactions the answer is lost; carried out at once, or 2 to 12 s late.
  void late_writes(double share, Time for_ms, bool at_once);
  /// That share of reports is kept, and reaches every controller as soon as another leads.
  void keep_heartbeats_for_next_leader(double share, Time for_ms);
  /// Of that share of reports a copy reaches every controller, from 2 s to 2.5 leases later.
  void delay_heartbeats(double share, Time for_ms);
  /// Half of the direct commands, and of their answers, are held for up to six seconds.
  void slow_commands(Time for_ms);
  /// Users call off so many jobs that run; their machines may hang.
  void cancel_now(std::size_t count, Time hang_ms);
  /// That share of the tasks that complete has its job called off at that moment.
  void cancel_at_end(double share, Time for_ms);
  /// Users ask at all nodes within milliseconds after a job was accepted, ended or cancelled,
  /// submit it again, and cancel some at once.
  void poll_closely(Time for_ms);
  /// Repeated submissions, cancellations of jobs that are done, jobs that can't run or lack a
  /// field, and questions about jobs that nobody submitted.
  void odd_requests(Time for_ms);
  /// The job fails wherever it runs, until its user calls it off.
  void submit_mistaken(const JobSpec& spec, Time cancel_at) {
    mistaken_.insert(spec.id);
    submit(spec, cancel_at);
  }
  /// Whatever runs there fails.
  void make_faulty(const std::string& machine) { faulty_.insert(machine); }
  /// All troubles are over: from now on nothing may be left waiting or unanswered.
  void calm() { checker_.calm(now_); }

  void submit(const JobSpec& spec, Time cancel_at = 0);
  /// A single submission to that node, which is not repeated.
  void submit_at(const JobSpec& spec, std::size_t node, const std::function<void(int)>& then);
  void cancel(const std::string& id);
  /// One question more, beside what the job's user does by itself.
  void ask(const std::string& id, std::size_t node, UserOp op) { ask_for(id, node, op, {}); }
  void ask_for(const std::string& id, std::size_t node, UserOp op,
               const std::function<void(int)>& then);
  /// The node that leads under the highest epoch; -1: none does.
  [[nodiscard]] int leader() const;
  /// The node's core; null while it is down or runs the version in production.
  [[nodiscard]] const Controller* controller(std::size_t node) const {
    return nodes_[node].controller ? nodes_[node].controller->controller() : nullptr;
  }
  [[nodiscard]] std::vector<std::string> machines_up() const;
  /// Submissions that got no answer within their user's patience.
  [[nodiscard]] std::uint64_t unanswered_submissions() const { return unanswered_; }
  /// The same of cancellations, as far as the node they went to was up.
  [[nodiscard]] std::uint64_t unanswered_cancellations() const { return unanswered_cancels_; }
  /// How long after its first attempt each job that was accepted by then was so.
  [[nodiscard]] const std::vector<Time>& submission_delays() const { return submission_delays_; }
  /// The longest time for which an input waited for its controller's processor.
  [[nodiscard]] Time longest_input_wait() const { return longest_input_wait_; }
  void forget_input_waits() { longest_input_wait_ = 0; }
  [[nodiscard]] std::uint64_t heartbeats() const { return heartbeats_; }
  [[nodiscard]] std::uint64_t malformed_answers() const { return malformed_; }
  /// How often a gang has started, and how much of its progress is saved.
  [[nodiscard]] std::uint32_t gang_starts(const std::string& job) {
    return gang_progress_[job].starts;
  }
  [[nodiscard]] Time gang_saved_ms(const std::string& job) { return gang_progress_[job].saved_ms; }
  /// Where tasks of a job are, whether they run or wait.
  [[nodiscard]] std::vector<std::string> machines_of(const std::string& job) const;
  /// What a controller sends to another region.
  std::function<void(std::size_t region, const RegionMessage&)> on_region_message;
  /// Called when a task has its image and begins to be on its machine; not for gangs.
  std::function<void(const TaskKey&)> on_started;
  /// Called when a worker has completed a task, before anybody hears of it.
  std::function<void(const TaskKey&, const std::string& machine)> on_completed;
  /// Called when a task that had begun to run is on its machine no longer.
  std::function<void(const TaskKey&, const std::string& machine)> on_ended;
  /// Every command a worker carries out.
  std::function<void(const std::string& machine, const Command&)> on_command;

 private:
  struct Node {
    std::string name;
    std::unique_ptr<SimulatedController> controller;
    bool upgraded = false;  // where the day begins with the version in production
    std::uint64_t incarnation = 0;
    double drift = 1.0;
    Time refused_until = 0, frozen_until = 0;
    struct WaitingInput {
      Time since = 0;
      Input input;
    };
    std::deque<WaitingInput> inbox;  // of a processor that takes time
    bool busy = false;
    double slowness = 1;
    Time slow_until = 0;
    std::set<std::uint64_t> direct_calls;  // waiting for an answer, each with its socket
  };
  struct WorkTask {
    TaskStatus heartbeat;
    Time image_at = 0, done_at = 0, exits_at = 0;
    bool on = false;
    Time waiting_since = 0;  // of a gang's task
    bool saved = false;      // the same: has saved, and waits for the others
  };
  /// One attempt of a gang, by the protocol's table of its phases.
  struct GangRun {
    bool started = false, done = false, stop_failed = false;
    Time started_at = 0, done_at = 0;
    Time broken_at = 0;   // a task of it was lost while it ran; 0: none
    Time stopped_at = 0;  // first told to stop; 0: not at all
  };
  /// What outlives the attempts.
  struct GangProgress {
    Time total_ms = 0, saved_ms = 0;
    bool done = false;
    std::uint32_t starts = 0;
  };
  struct Worker {
    CloudMachine machine;
    bool alive = true;
    std::uint64_t incarnation = 1, seq = 0, fencing_token = 0;
    std::size_t node = 0;
    Time began = 0, last_ok_sent = 0, hang_until = 0, deaf_until = 0, mute_until = 0, notice_at = 0;
    Time next_heartbeat = 0, last_heartbeat = 0;
    bool in_flight = false, changed = false;
    bool connected = false;  // to `node`, since that answered the report before
    std::uint64_t flight = 0;
    double drift = 1.0;
    std::map<std::pair<std::string, std::uint32_t>, std::vector<WorkTask>> tasks;
    std::set<std::string> images, done;
  };
  struct User {
    JobSpec spec;
    std::string body;
    bool accepted = false, cancelled = false, over = false, cancelling = false;
    Time cancel_at = 0, first = 0, asked = 0;
    std::uint64_t call = 0;
    std::uint64_t turn = 0;  // of its own requests; those of an older one are dropped
    std::set<std::uint32_t> completed;
  };
  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
  };

  /// Carries a message between two hosts: delayed, lost, or held by a cut. What a cut holds arrives
  /// after it, in the order of sending, also when its sender has given up.
  void carry(const std::string& from, const std::string& to, std::function<void()> arrive);
  [[nodiscard]] std::string zone_of(const std::string& host) const;
  [[nodiscard]] std::pair<Time, bool> cut_between(const std::string& a, const std::string& b) const;
  [[nodiscard]] Time delay();
  void start_node(std::size_t i);
  [[nodiscard]] std::uint32_t node_count() const {
    return static_cast<std::uint32_t>(nodes_.size());
  }
  /// The number of nodes if none has that name.
  [[nodiscard]] std::size_t node_index(const std::string& name) const;
  [[nodiscard]] Time steady_clock(std::size_t node) const;
  void feed(std::size_t i, Input input);
  std::vector<Action> step(std::size_t i, Input input);
  void take_next_input(std::size_t i);
  [[nodiscard]] Time step_time(std::size_t i, std::uint64_t looks) const;
  [[nodiscard]] std::uint64_t looks_so_far(std::size_t i) const;
  void act_unless_late(std::size_t i, const Action& action);
  void act(std::size_t i, const Action& action);
  void perform(std::size_t i, const Log& line);
  void perform(std::size_t i, const ArmTimer& timer);
  void perform(std::size_t i, const Response& response);
  void perform(std::size_t i, const CallKvStore& call);
  void perform(std::size_t i, const CallCloud& call);
  void perform(std::size_t i, const CallWorker& call);
  void perform(std::size_t i, const SendPeer& peer);
  void perform(std::size_t i, const SendRegion& send) const;
  void receive(std::size_t from, std::size_t to, std::uint64_t link, const PeerMessage& message);
  /// Whether the process that runs on the node now is still the one that does.
  [[nodiscard]] std::function<bool()> still_alive(std::size_t i) const;
  void handle_node_response(std::size_t i, const Response& a);

  void worker_tick(const std::string& name);
  void advance(Worker& w, WorkTask& t);
  void begin_task(Worker& w, WorkTask& t);
  void end_task(Worker& w, WorkTask& t, ExitCause cause);
  [[nodiscard]] static bool is_gang(const User* user) {
    return user != nullptr && user->spec.kind == JobKind::Gang;
  }
  void advance_gang(Worker& w, WorkTask& t, const User& user);
  void start_gang_if_complete(const User& user, std::uint64_t attempt);
  void break_gang(const User& user, GangRun& run);
  void stop_gang_task(WorkTask& t, const User& user, double grace_s, Worker& w);
  [[nodiscard]] std::uint32_t gang_tasks_present(const User& user, std::uint64_t attempt,
                                                 bool saved_only) const;
  void send_heartbeat(Worker& w);
  void deliver_heartbeat(Worker& w, std::function<void()> arrive);
  Heartbeat make_heartbeat(Worker& w);
  void obey(Worker& w, const Command& c);
  void stop_work(Worker& w, WorkTask& t, const Command& c);
  void lapse(Worker& w);
  void ended(const TaskKey& key, const std::string& machine, bool completed);
  void take_answer(Worker& w, std::uint64_t flight, Time sent, std::uint64_t incarnation,
                   int status, const std::string& body);
  void carry_command(const std::string& from, const std::string& to, std::function<void()> arrive);
  void direct(std::size_t node, std::uint64_t call, const std::string& address,
              const std::string& body);
  void execute_direct(std::size_t node, std::uint64_t call, const std::string& name,
                      const std::string& body, std::uint64_t incarnation);
  void housekeeping();
  void user_tick(std::size_t u);
  void user_next(std::size_t u, Time when);
  /// Sends a request; `then` gets its answer, unless that is lost or late.
  std::uint64_t request(std::size_t node, UserOp op, const std::string& id, const std::string& body,
                        std::function<void(int, const std::string&)> then);
  void poll_everywhere(std::size_t u);
  void odd_request(Time until);
  void call_off(std::size_t u);
  void completed(const TaskKey& key);
  void watch_waiting();
  struct Room {
    const Worker* worker = nullptr;
    Resources free;
  };
  /// What is on the machines, and the room of those that can take tasks.
  struct Occupancy {
    std::vector<Room> rooms;
    std::map<std::string, std::map<std::string, std::size_t>> zones;  // of a job's tasks
    std::map<std::string, std::size_t> tasks;                         // of a job
    std::map<std::string, Resources> used;                            // by a team
  };
  [[nodiscard]] Occupancy occupancy() const;
  [[nodiscard]] bool could_start(const User& u, const Occupancy& now) const;
  [[nodiscard]] static bool gang_could_start(const JobSpec& s, const Occupancy& now);
  [[nodiscard]] bool team_allows(const JobSpec& s, const Occupancy& now) const;
  void deliver_copies();
  void deliver_everywhere(const std::string& raw);
  void user_answer(std::size_t u, UserOp op, int status, const std::string& body);
  [[nodiscard]] const User* user_of(const std::string& job) const;
  void plan_faults();
  void fault(std::uint32_t kind);
  void controller_fault(std::uint32_t kind, std::size_t target, Time span_ms, bool hold);
  void machine_fault(std::uint32_t kind, const std::string& machine, Time span_ms, bool hold);
  void take_back(const std::string& machine);
  void plan_fault_pairs();
  void inject_fault(std::uint32_t kind);
  void plan_jobs();
  void make_gang(JobSpec& spec);

  SimulationPlan plan_;
  pcg32 random_;
  Deployment deployment_;
  std::vector<Settings> settings_;
  Time now_ = 0;
  std::uint64_t order_ = 0;
  Time longest_input_wait_ = 0;
  std::priority_queue<Event> events_;
  Checker checker_;
  FakeKvStore state_;
  FakeCloud cloud_;
  std::vector<Node> nodes_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, std::string> by_address_;
  std::vector<std::unique_ptr<User>> users_;
  std::unordered_map<std::string, std::size_t> by_job_;
  // Until when, and whether what is sent meanwhile arrives afterwards.
  std::map<std::pair<std::string, std::string>, std::pair<Time, bool>> cuts_;
  std::map<std::string, std::pair<Time, bool>> zone_cuts_;
  /// When the last message that a cut holds arrives, by sender and receiver.
  std::map<std::pair<std::string, std::string>, Time> held_until_;
  /// A trouble that meets a share of something until its end.
  struct Share {
    double of = 0;
    Time until = 0;
  };
  [[nodiscard]] bool strikes(const Share& s) {
    return now_ < s.until && random_(1'000'000) < s.of * 1'000'000;
  }
  Share late_writes_, lost_answers_, for_next_, late_heartbeats_, cancel_at_end_, slow_commands_;
  Time poll_closely_until_ = 0;
  std::vector<std::string> kept_heartbeats_;
  std::set<std::string> mistaken_, faulty_;
  std::map<std::pair<std::string, std::uint64_t>, GangRun> gang_runs_;
  std::map<std::string, GangProgress> gang_progress_;
  std::uint64_t copied_epoch_ = 0;
  std::uint64_t next_odd_ = 1;
  std::uint64_t next_call_ = 1;
  std::map<std::uint64_t, std::function<void(int, const std::string&)>> answers_;
  std::vector<Time> submission_delays_;
  std::uint64_t malformed_ = 0, unanswered_ = 0, unanswered_cancels_ = 0, heartbeats_ = 0;
};

}  // namespace sailreel::sim
