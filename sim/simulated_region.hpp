// A region with its controllers, the fake cloud and key-value store, its workers and users. In
// tests the controllers run within this process and the clock is simulated, with seeded faults; in
// a scale run they are processes behind sockets, and the caller advances the clock with real time.
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
#include <tuple>
#include <unordered_map>
#include <vector>

#include "controller/controller.hpp"
#include "sim/checker.hpp"
#include "sim/fake_cloud.hpp"
#include "sim/fake_kv_store.hpp"
#include "sim/network_cuts.hpp"
#include "sim/simulated_controller.hpp"
#include "sim/simulation_plan.hpp"

namespace sailreel::sim {

class SimulatedRegion {
 public:
  explicit SimulatedRegion(const SimulationPlan& plan);
  ~SimulatedRegion();

  // --- Clock ---

  void run_until(Time time);
  /// Schedules something; at once if the time is past.
  void at(Time time, std::function<void()> run);
  /// The whole simulation; the checker says which rules were broken.
  void run() { run_until(plan_.length); }
  [[nodiscard]] Time now() const { return now_; }

  // --- Parts ---

  Checker& checker() { return checker_; }
  [[nodiscard]] const Checker& checker() const { return checker_; }
  FakeKvStore& kv_store() { return kv_store_; }
  [[nodiscard]] const FakeKvStore& kv_store() const { return kv_store_; }
  FakeCloud& cloud() { return cloud_; }
  /// The controller that runs on the node; null while it is down or runs the version in production.
  [[nodiscard]] const Controller* controller(std::size_t node) const {
    return nodes_[node].controller ? nodes_[node].controller->controller() : nullptr;
  }

  // --- What reaches the region from outside ---

  /// A message of another region reaches all controllers.
  void receive_region(const RegionMessage& message);
  /// Changes a team's quota limit, and restarts the controllers one by one with it.
  void change_team_limit(const std::string& team, double gpus_max);
  /// What a controller outside of this process has responded to an input.
  void deliver(std::size_t node, const Response& response) { handle_node_response(node, response); }
  /// A direct command to a worker; `then` gets the response, if there ever is one.
  void command(const std::string& machine, const std::string& body,
               const std::function<void(int, const Heartbeat&)>& then);
  /// A worker's status on request.
  void inspect(const std::string& machine, const std::function<void(int, const Heartbeat&)>& then);

  // --- Faults of controllers ---

  void kill(std::size_t node, Time for_ms);
  /// The process ends and comes back with the present version.
  void upgrade(std::size_t node, Time for_ms);
  /// The controller stands still; what reaches it meanwhile waits.
  void freeze(std::size_t node, Time for_ms);
  /// The controller takes so many times as long for each step.
  void slow_down(std::size_t node, double factor, Time for_ms);

  // --- Faults of the key-value store ---

  /// Its limits fall, without notice.
  void lower_limits();
  void kv_store_outage(Time for_ms);
  void reject_kv_requests(std::size_t node, Time for_ms);
  /// Of that share of compare-and-swap requests the response is lost; applied at once, or 2 to 12 s
  /// late.
  void late_writes(double share, Time for_ms, bool at_once);

  // --- Faults of the network: what a cut holds arrives after it, the rest is lost ---

  void cut(const std::string& a, const std::string& b, Time for_ms, bool hold);
  /// The zone's controllers and machines lose everything outside of it.
  void cut_zone(const std::string& zone, Time for_ms, bool hold);
  /// The machine loses all controllers.
  void cut_machine(const std::string& machine, Time for_ms, bool hold);
  /// A share of the machines loses all controllers.
  void cut_machines(double share, Time for_ms, bool hold);
  /// The controller loses the key-value store and its peers, not its workers or users.
  void isolate(std::size_t node, Time for_ms, bool hold);
  /// It loses its peers alone.
  void cut_peers(std::size_t node, Time for_ms, bool hold);
  /// That share of heartbeats is kept, and reaches every controller as soon as another leads.
  void keep_heartbeats_for_next_leader(double share, Time for_ms);
  /// Of that share of heartbeats a copy reaches every controller, from 2 s to 2.5 leases later.
  void delay_heartbeats(double share, Time for_ms);
  /// Half of the direct commands, and of their responses, are held for up to six seconds.
  void slow_commands(Time for_ms);

  // --- Faults of machines ---

  void kill_machine(const std::string& name);
  void hang_machine(const std::string& name, Time for_ms);
  /// Responses and commands don't reach the machine; its heartbeats still arrive.
  void block_inbound(const std::string& machine, Time for_ms);
  /// The machine reaches no controller, while direct commands reach it.
  void block_outbound(const std::string& machine, Time for_ms);
  /// The cloud takes the machine back after a notice, as it does with spot instances.
  void preempt_machine(const std::string& name, Time in_ms);
  /// Whatever runs there fails.
  void make_faulty(const std::string& machine) { faulty_.insert(machine); }

  // --- Users ---

  void submit(const JobSpec& spec, Time cancel_at = 0);
  /// The job fails wherever it runs, until its user cancels it.
  void submit_failing(const JobSpec& spec, Time cancel_at) {
    failing_.insert(spec.id);
    submit(spec, cancel_at);
  }
  /// A single submission to that node, which is not repeated.
  void submit_at(const JobSpec& spec, std::size_t node, const std::function<void(int)>& then);
  void cancel(const std::string& id);
  /// One request in addition to those that the job's user sends by itself.
  void ask(const std::string& id, std::size_t node, UserOp op) { ask_for(id, node, op, {}); }
  void ask_for(const std::string& id, std::size_t node, UserOp op,
               const std::function<void(int)>& then);
  /// Users cancel so many running jobs; their machines may hang.
  void cancel_now(std::size_t count, Time hang_ms);
  /// That share of the tasks that complete has its job cancelled at that moment.
  void cancel_at_end(double share, Time for_ms);
  /// Users query all nodes within milliseconds after a job was accepted, ended or cancelled, submit
  /// it again, and cancel some at once.
  void poll_closely(Time for_ms);
  /// Repeated submissions, cancellations of jobs that are done, jobs that can't run or lack a
  /// field, and queries about jobs that nobody submitted.
  void send_odd_requests(Time for_ms);

  /// No fault is injected from now on: nothing may be left waiting or unanswered.
  void faults_ended() { checker_.faults_ended(now_); }

  // --- Observations ---

  /// The node that leads under the highest epoch; -1: none does.
  [[nodiscard]] int leader() const;
  [[nodiscard]] std::vector<std::string> machines_up() const;
  /// Where tasks of a job are, whether they run or wait.
  [[nodiscard]] std::vector<std::string> machines_of(const std::string& job) const;
  /// Submissions that got no response within their user's patience.
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
  /// How often a gang has started, and how much of its progress is in checkpoints.
  [[nodiscard]] std::uint32_t gang_starts(const std::string& job) {
    return gang_progress_[job].starts;
  }
  [[nodiscard]] Time gang_saved_ms(const std::string& job) { return gang_progress_[job].saved_ms; }

  // --- Callbacks ---

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
  /// A node of the deployment, with the controller process that runs on it, if any.
  struct ControllerHost {
    std::string name;
    std::unique_ptr<SimulatedController> controller;
    bool upgraded = false;  // where the simulation begins with the version in production
    std::uint64_t incarnation = 0;
    double drift = 1.0;
    Time kv_rejected_until = 0, frozen_until = 0;
    struct WaitingInput {
      Time since = 0;
      Input input;
    };
    std::deque<WaitingInput> inbox;  // of a processor that takes time
    bool busy = false;
    double slowness = 1;
    Time slow_until = 0;
    std::set<std::uint64_t> direct_calls;  // waiting for a response, each with its socket
  };
  /// One attempt of a task on a worker.
  struct WorkTask {
    TaskStatus status;
    Time image_at = 0, done_at = 0, exits_at = 0;
    bool present = false;    // has its image, and occupies the machine
    Time waiting_since = 0;  // of a gang's task
    bool saved = false;      // the same: has its checkpoint, and waits for the others
  };
  struct TaskKeyLess {
    bool operator()(const TaskKey& a, const TaskKey& b) const {
      return std::tie(a.job, a.index) < std::tie(b.job, b.index);
    }
  };
  struct GangAttempt {
    std::string job;
    std::uint64_t attempt = 0;

    bool operator<(const GangAttempt& other) const {
      return std::tie(job, attempt) < std::tie(other.job, other.attempt);
    }
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
    Time last_ok_sent = 0, hang_until = 0, inbound_blocked_until = 0, outbound_blocked_until = 0,
         notice_at = 0;
    Time next_heartbeat = 0, last_heartbeat = 0;
    bool in_flight = false, changed = false;
    bool connected = false;  // to `node`, since it responded to the previous heartbeat
    std::uint64_t flight = 0;
    double drift = 1.0;
    std::map<TaskKey, std::vector<WorkTask>, TaskKeyLess> tasks;
    std::set<std::string> images, done;
  };
  /// The client of one job: submits it, polls it, and may cancel it.
  struct User {
    JobSpec spec;
    std::string body;
    bool accepted = false, over = false, cancelling = false;
    Time cancel_at = 0, first = 0, asked = 0;
    std::uint64_t call = 0;
    std::uint64_t turn = 0;  // of its own requests; those of an older one are dropped
    std::set<std::uint32_t> completed;
  };
  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> run;
    /// Reversed, as the queue has the largest on top: the earliest event, then the first scheduled.
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  /// What a worker has left.
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
  /// A fault that affects a share of messages or tasks until its end.
  struct PartialFault {
    double share = 0;
    Time until = 0;
  };

  void housekeeping();

  // --- Network (simulated_region.cpp) ---

  /// Carries a message between two hosts: delayed, lost, or held by a cut. What a cut holds arrives
  /// after it, in the order of sending, also when its sender has given up.
  void carry(const std::string& from, const std::string& to, std::function<void()> arrive);
  [[nodiscard]] std::string zone_of(const std::string& host) const;
  [[nodiscard]] Time delay();

  // --- Controllers (simulated_region.cpp, processor.cpp) ---

  void start_node(std::size_t node);
  [[nodiscard]] std::uint32_t node_count() const {
    return static_cast<std::uint32_t>(nodes_.size());
  }
  /// The number of nodes if none has that name.
  [[nodiscard]] std::size_t node_index(const std::string& name) const;
  /// The index of `other` among the peers of `node`, by which the controller there knows it.
  [[nodiscard]] std::optional<std::size_t> peer_index(std::size_t node, std::size_t other) const;
  /// Each node's clock runs a little fast or slow, as real ones do.
  [[nodiscard]] Time steady_clock(std::size_t node) const;
  /// Says later whether the process that runs on the node now still does.
  [[nodiscard]] std::function<bool()> still_alive(std::size_t node) const;
  void feed(std::size_t node, Input input);
  std::vector<Action> step(std::size_t node, Input input);
  void take_next_input(std::size_t node);
  [[nodiscard]] Time step_time(std::size_t node, std::uint64_t examined) const;
  [[nodiscard]] std::uint64_t examined_so_far(std::size_t node) const;
  void act_unless_late(std::size_t node, const Action& action);
  void act(std::size_t node, const Action& action);
  void perform(std::size_t node, const Log& line);
  void perform(std::size_t node, const ArmTimer& timer);
  void perform(std::size_t node, const Response& response);
  void perform(std::size_t node, const CallKvStore& call);
  void perform(std::size_t node, const CallCloud& call);
  void perform(std::size_t node, const CallWorker& call);
  void perform(std::size_t node, const SendPeer& peer);
  void perform(std::size_t node, const SendRegion& send) const;
  void receive(std::size_t from, std::size_t to, std::uint64_t link, const PeerMessage& message);
  void receive_from_peer(std::size_t to, std::size_t from, const PeerMessage& message);
  void handle_node_response(std::size_t node, const Response& response);

  // --- Workers (workers.cpp) ---

  void worker_tick(const std::string& name);
  void advance(Worker& worker, WorkTask& task);
  void begin_task(Worker& worker, WorkTask& task);
  void end_task(Worker& worker, WorkTask& task, ExitCause cause);
  void task_ended(const TaskKey& key, const std::string& machine, bool completed);
  void expire_lease(Worker& worker);
  Heartbeat make_heartbeat(Worker& worker);
  void send_heartbeat(Worker& worker);
  void deliver_heartbeat(Worker& worker, std::function<void()> arrive);
  void handle_heartbeat_response(Worker& worker, std::uint64_t flight, Time sent,
                                 std::uint64_t incarnation, int status, const std::string& body);
  /// Heartbeats that were kept reach the controllers once another leads.
  void deliver_copies();
  void deliver_everywhere(const std::string& raw);
  void execute(Worker& worker, const Command& command);
  void start_task(Worker& worker, const Command& command);
  void stop_work(Worker& worker, WorkTask& task, const Command& command);
  void direct(std::size_t node, std::uint64_t call, const std::string& address,
              const std::string& body);
  void execute_direct(std::size_t node, std::uint64_t call, const std::string& name,
                      const std::string& body, std::uint64_t incarnation);
  void carry_command(const std::string& from, const std::string& to, std::function<void()> arrive);

  // --- Gangs on workers (gangs.cpp) ---

  [[nodiscard]] static bool is_gang(const User* user) {
    return user != nullptr && user->spec.kind == JobKind::Gang;
  }
  void advance_gang(Worker& worker, WorkTask& task, const User& user);
  void start_gang_if_complete(const User& user, std::uint64_t attempt);
  void break_gang(const User& user, GangRun& run);
  void stop_gang_task(WorkTask& task, const User& user, double grace_s, Worker& worker);
  [[nodiscard]] std::uint32_t gang_tasks_present(const User& user, std::uint64_t attempt,
                                                 bool saved_only) const;

  // --- Jobs that are left waiting (workers.cpp) ---

  void watch_waiting();
  [[nodiscard]] Occupancy occupancy() const;
  [[nodiscard]] bool could_start(const User& user, const Occupancy& now) const;
  [[nodiscard]] static bool gang_could_start(const JobSpec& spec, const Occupancy& now);
  [[nodiscard]] bool team_allows(const JobSpec& spec, const Occupancy& now) const;

  // --- Users (users.cpp): `user` is an index ---

  [[nodiscard]] const User* user_of(const std::string& job) const;
  void user_tick(std::size_t user);
  void user_next(std::size_t user, Time when);
  /// Sends a request; `then` gets its response, unless that is lost or late.
  std::uint64_t request(std::size_t node, UserOp op, const std::string& id, const std::string& body,
                        std::function<void(int, const std::string&)> then);
  void handle_user_response(std::size_t user, UserOp op, int status, const std::string& body);
  void poll_everywhere(std::size_t user);
  void send_odd_request(Time until);
  void cancel_job_of(std::size_t user);
  void completed(const TaskKey& key);

  // --- Seeded plans (fault_injection.cpp) ---

  void plan_jobs();
  void make_gang(JobSpec& spec);
  void plan_faults();
  void fault(std::uint32_t kind);
  void controller_fault(std::uint32_t kind, std::size_t target, Time span_ms, bool hold);
  void machine_fault(std::uint32_t kind, const std::string& machine, Time span_ms, bool hold);
  void preempt_machines(const std::string& machine);
  void plan_fault_pairs();
  void inject_fault(std::uint32_t kind);
  /// Draws a random number only while the fault lasts.
  [[nodiscard]] bool affects_next(const PartialFault& fault) {
    return now_ < fault.until && random_(1'000'000) < fault.share * 1'000'000;
  }

  SimulationPlan plan_;
  pcg32 random_;
  Deployment deployment_;
  std::vector<Settings> settings_;
  Time now_ = 0;
  std::uint64_t order_ = 0;
  Time longest_input_wait_ = 0;
  std::priority_queue<Event> events_;
  Checker checker_;
  FakeKvStore kv_store_;
  FakeCloud cloud_;
  std::vector<ControllerHost> nodes_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, std::string> by_address_;
  std::vector<std::unique_ptr<User>> users_;
  std::unordered_map<std::string, std::size_t> by_job_;
  NetworkCuts cuts_{[this](const std::string& host) { return zone_of(host); }};
  PartialFault late_writes_, lost_responses_, kept_for_next_leader_, late_heartbeats_,
      cancel_at_end_, slow_commands_;
  Time poll_closely_until_ = 0;
  std::vector<std::string> kept_heartbeats_;
  std::set<std::string> failing_, faulty_;
  std::map<GangAttempt, GangRun> gang_runs_;
  std::map<std::string, GangProgress> gang_progress_;
  std::uint64_t copied_epoch_ = 0;
  std::uint64_t next_odd_ = 1;
  std::uint64_t next_call_ = 1;
  std::map<std::uint64_t, std::function<void(int, const std::string&)>> answers_;
  std::vector<Time> submission_delays_;
  std::uint64_t malformed_ = 0, unanswered_ = 0, unanswered_cancels_ = 0, heartbeats_ = 0;
};

}  // namespace sailreel::sim
