// A simulated region: controllers, a fake cloud, a fake key-value store, workers and users. In
// tests, the controllers run within this process, the clock is simulated and faults are seeded. In
// a scale run, the controllers are processes behind sockets, and the caller advances the clock with
// real time.
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

/// All times are in simulated milliseconds.
class SimulatedRegion {
 public:
  explicit SimulatedRegion(const SimulationPlan& plan);
  ~SimulatedRegion();

  // --- Clock ---

  /// Executes all events up to the given time.
  void run_until(Time time);
  /// Schedules a call. A time that is past counts as now.
  void schedule(Time time, std::function<void()> run);
  /// Runs the whole simulation. The checker holds the rules that were broken.
  void run() { run_until(plan_.length); }
  [[nodiscard]] Time now() const { return now_; }

  // --- Parts ---

  Checker& checker() { return checker_; }
  [[nodiscard]] const Checker& checker() const { return checker_; }
  FakeKvStore& kv_store() { return kv_store_; }
  [[nodiscard]] const FakeKvStore& kv_store() const { return kv_store_; }
  FakeCloud& cloud() { return cloud_; }
  /// The controller that runs on the node; null while it is down, runs the version in production or
  /// runs in another process.
  [[nodiscard]] const Controller* controller(std::size_t node) const {
    return nodes_[node].controller ? nodes_[node].controller->controller() : nullptr;
  }

  // --- Inputs from outside of the region ---

  /// Delivers a message of another region to all controllers.
  void receive_region(const RegionMessage& message);
  /// Changes a team's quota limit in the settings and restarts the controllers with them, one every
  /// 4 s.
  void change_team_limit(const std::string& team_name, double gpus_max);
  /// Delivers a response of a controller that runs in another process.
  void deliver_response(std::size_t node, const Response& response) {
    handle_node_response(node, response);
  }
  /// Executes a direct command on a worker; `then` gets the response. A worker that is down
  /// or unreachable sends no response.
  void send_command(const std::string& machine, const std::string& body,
                    const std::function<void(int, const Heartbeat&)>& then);
  /// Requests a worker's status; `then` gets the response. A worker that is down or unreachable
  /// sends no response.
  void inspect(const std::string& machine, const std::function<void(int, const Heartbeat&)>& then);

  // --- Faults of controllers ---

  /// Ends the node's controller, which restarts after `for_ms`.
  void kill(std::size_t node, Time for_ms);
  /// Ends the node's controller, which restarts with the present version after `for_ms`.
  void upgrade(std::size_t node, Time for_ms);
  /// Pauses the controller. Inputs that arrive meanwhile reach it after the pause.
  void freeze(std::size_t node, Time for_ms);
  /// Makes each step of the controller take `factor` times as long.
  void slow_down(std::size_t node, double factor, Time for_ms);

  // --- Faults of the key-value store ---

  /// Lowers the store's limits to the plan's `lowered_*` values, without telling the
  /// controllers.
  void lower_store_limits();
  /// Makes the store reject all requests.
  void kv_store_outage(Time for_ms);
  /// Makes the store reject all requests of one node.
  void reject_kv_requests(std::size_t node, Time for_ms);
  /// Loses the response to that share of compare-and-swap requests. The store applies the requests
  /// at once if `at_once` is set, and otherwise 2 to 12 s late.
  void lose_write_responses(double share, Time for_ms, bool at_once);

  // --- Faults of the network: messages sent during a cut arrive after it if `hold` is set, and are
  // otherwise lost ---

  /// Cuts two hosts off from each other.
  void cut(const std::string& host_a, const std::string& host_b, Time for_ms, bool hold);
  /// Cuts the zone's controllers and machines off from everything outside of the zone.
  void cut_zone(const std::string& zone, Time for_ms, bool hold);
  /// Cuts the machine off from all controllers.
  void cut_machine(const std::string& machine, Time for_ms, bool hold);
  /// Cuts that share of the machines off from all controllers.
  void cut_machines(double share, Time for_ms, bool hold);
  /// Cuts the controller off from the key-value store and its peers, but not from its workers and
  /// users.
  void isolate(std::size_t node, Time for_ms, bool hold);
  /// Cuts the controller off from its peers only.
  void cut_peers(std::size_t node, Time for_ms, bool hold);
  /// Copies that share of heartbeats and delivers the copies to every controller as soon as a
  /// leader with a higher epoch than the last one is elected.
  void keep_heartbeats_for_next_leader(double share, Time for_ms);
  /// Copies that share of heartbeats and delivers each copy to every controller, with a delay of 2
  /// s plus up to 2.5 leases.
  void delay_heartbeats(double share, Time for_ms);
  /// Delays half of the direct commands, and half of their responses, by up to six seconds.
  void slow_commands(Time for_ms);
  /// Delays that share of the responses to heartbeats, half of them until just before the worker
  /// gives up. A machine that hangs takes the response when it goes on, if that is in time.
  void delay_heartbeat_responses(double share, Time for_ms);
  /// Makes the cloud carry out that share of launches and terminations 2 to 60 s late, without a
  /// response.
  void delay_cloud_requests(double share, Time for_ms);
  /// Makes late copies of that share of the messages that carry commands on their way to a worker:
  /// direct commands, responses to heartbeats, and both parts of a heartbeat that is forwarded
  /// between controllers. A copy arrives after 1 ms to 2.5 worker leases, each order of magnitude
  /// as often as another, at whichever process then runs on the host.
  void copy_commands(double share, Time for_ms);

  // --- Faults of machines ---

  /// Ends the machine and all tasks on it for good.
  void kill_machine(const std::string& name);
  /// Ends the machine and all tasks on it, and starts it again after `for_ms`, at least 200: in its
  /// first incarnation, without a fencing token, with the images and results of completed tasks.
  void restart_machine(const std::string& name, Time for_ms);
  /// Makes the machine hang. Its tasks end if its lease expires meanwhile.
  void hang_machine(const std::string& name, Time for_ms);
  /// Keeps responses and commands from reaching the machine, while its heartbeats still arrive.
  void block_inbound(const std::string& machine, Time for_ms);
  /// Keeps the machine's heartbeats from arriving, while direct commands still reach it.
  void block_outbound(const std::string& machine, Time for_ms);
  /// Makes the cloud terminate the machine `in_ms` after a notice, as it does with spot instances.
  void preempt_machine(const std::string& name, Time in_ms);
  /// Makes every task that runs on the machine fail.
  void make_faulty(const std::string& machine) { faulty_machines_.insert(machine); }
  /// Makes the task fail once, where it runs now or else runs next; has no effect on gangs.
  void fail_once(const TaskKey& key) { failing_once_.insert(task_name(key)); }

  // --- Users ---

  /// Adds a user who submits the job, polls it, and cancels it at `cancel_at` unless that is 0.
  void submit(const JobSpec& spec, Time cancel_at = 0);
  /// Submits a job whose tasks fail on every machine, until its user cancels it.
  void submit_failing(const JobSpec& spec, Time cancel_at) {
    failing_jobs_.insert(spec.id);
    submit(spec, cancel_at);
  }
  /// Submits the job once, to that node, without repetition; `then` gets the response's status.
  void submit_at(const JobSpec& spec, std::size_t node, const std::function<void(int)>& then);
  /// Makes the job's user cancel it now.
  void cancel(const std::string& id);
  /// Sends one request to that node, in addition to those that the job's user sends.
  void send_request(const std::string& id, std::size_t node, RequestOp op) {
    send_request_then(id, node, op, {});
  }
  /// Sends one request to that node, in addition to those that the job's user sends; `then` gets
  /// the status of the response.
  void send_request_then(const std::string& id, std::size_t node, RequestOp op,
                         const std::function<void(int)>& then);
  /// Makes the users of `count` running jobs cancel them within 200 ms. If `hang_ms` is positive, a
  /// machine of each of the first eight hangs for that time.
  void cancel_running_jobs(std::size_t count, Time hang_ms);
  /// Cancels the jobs of that share of the tasks that begin during `for_ms`, each at about the
  /// moment at which the task completes.
  void cancel_on_completion(double share, Time for_ms);
  /// Makes users query all nodes within milliseconds after a job was accepted, ended or cancelled,
  /// submit it again, and cancel some jobs at once.
  void poll_intensively(Time for_ms);
  /// Sends repeated submissions, cancellations of jobs that are over, submissions that can't run or
  /// lack a field, and queries about jobs that were never submitted.
  void send_unusual_requests(Time for_ms);

  /// Tells the checker that no fault is injected from now on, so that no job may be left waiting or
  /// without a response.
  void faults_ended() { checker_.faults_ended(now_); }

  // --- Observations ---

  /// The node that leads under the highest epoch; -1 if none leads.
  [[nodiscard]] int leader() const;
  /// The machines that have booted and still run, also those that hang.
  [[nodiscard]] std::vector<std::string> machines_up() const;
  /// The machines that a job's tasks occupy, whether they run or wait; one entry for each task.
  [[nodiscard]] std::vector<std::string> machines_of(const std::string& job) const;
  /// Submissions, sent to nodes that were up, that got no response within the user's timeout.
  [[nodiscard]] std::uint64_t unanswered_submissions() const { return unanswered_submissions_; }
  /// Cancellations, sent to nodes that were up, that got no response within the user's timeout.
  [[nodiscard]] std::uint64_t unanswered_cancellations() const { return unanswered_cancellations_; }
  /// For each accepted job, the time from its first submission until its user was told of that.
  [[nodiscard]] const std::vector<Time>& submission_delays() const { return submission_delays_; }
  /// The longest time for which an input has waited for its controller's processor.
  [[nodiscard]] Time longest_input_wait() const { return longest_input_wait_; }
  /// Resets the longest wait of inputs.
  void reset_input_waits() { longest_input_wait_ = 0; }
  /// The number of late copies of messages with commands that have arrived.
  [[nodiscard]] std::uint64_t command_copies() const { return command_copies_; }
  /// The number of delayed responses to heartbeats that have reached a worker.
  [[nodiscard]] std::uint64_t late_responses() const { return late_responses_; }
  /// The number of requests that the cloud has carried out late.
  [[nodiscard]] std::uint64_t late_cloud_requests() const { return late_cloud_requests_; }
  /// The number of heartbeats that have reached a node.
  [[nodiscard]] std::uint64_t heartbeats() const { return heartbeats_; }
  /// Successful responses to users that don't hold a job's state.
  [[nodiscard]] std::uint64_t malformed_responses() const { return malformed_responses_; }
  /// The number of times that a gang has started.
  [[nodiscard]] std::uint32_t gang_starts(const std::string& job) {
    return gang_progress_[job].starts;
  }
  /// The progress of a gang that is saved in its checkpoints.
  [[nodiscard]] Time gang_saved_ms(const std::string& job) { return gang_progress_[job].saved_ms; }

  // --- Callbacks ---

  /// Called when a controller sends a message to another region, with that region's index in the
  /// controller's list of the other regions.
  std::function<void(std::size_t region, const RegionMessage&)> on_region_message;
  /// Called when a task has its image and begins to occupy its machine; not called for gangs.
  std::function<void(const TaskKey&)> on_started;
  /// Called when a worker has completed a task, before any controller is told.
  std::function<void(const TaskKey&, const std::string& machine)> on_completed;
  /// Called when a task that had begun no longer occupies its machine.
  std::function<void(const TaskKey&, const std::string& machine)> on_ended;
  /// Called for every command that a worker executes.
  std::function<void(const std::string& machine, const Command&)> on_command;

 private:
  /// A node of the deployment, with the controller process that runs on it, if any.
  struct ControllerHost {
    std::string name;
    std::unique_ptr<SimulatedController> controller;
    bool upgraded = false;  // from the version in production to the present one
    std::uint64_t incarnation = 0;
    double clock_rate = 1.0;
    Time kv_rejected_until = 0, frozen_until = 0;
    struct WaitingInput {
      Time since = 0;
      Input input;
    };
    std::deque<WaitingInput> inbox;  // inputs that wait while the processor is busy
    bool busy = false;
    double slowdown_factor = 1;
    Time slow_until = 0;
    /// Direct commands that wait for a response; each uses a socket of its own.
    std::set<std::uint64_t> direct_calls;
  };
  /// One attempt of a task on a worker.
  struct TaskAttempt {
    TaskStatus status;
    Time image_ready_at = 0, completes_at = 0, save_done_at = 0;
    bool present = false;    // has its image, and occupies the machine
    Time waiting_since = 0;  // only for gangs: when the task began to wait for the others
    bool saved = false;      // only for gangs: has saved its checkpoint, and waits for the others
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
  /// The state of one gang attempt, which follows the protocol's table of gang phases.
  struct GangRun {
    bool started = false, done = false, stop_failed = false;
    Time started_at = 0, completes_at = 0;
    Time ended_at = 0;    // when the attempt ended without completing the job; 0: it hasn't
    Time stopped_at = 0;  // when a running task was first told to stop and save; 0: none was
  };
  /// The progress of a gang, which is kept from one attempt to the next.
  struct GangProgress {
    Time total_ms = 0, saved_ms = 0;
    bool done = false;
    std::uint32_t starts = 0;
  };
  struct Worker {
    CloudMachine machine;
    bool alive = true;
    std::uint64_t boots = 0;  // how often the machine has been restarted
    std::uint64_t incarnation = 1, seq = 0, fencing_token = 0;
    std::size_t node = 0;
    Time last_accepted_sent_at = 0, hang_until = 0, inbound_blocked_until = 0,
         outbound_blocked_until = 0, preemption_at = 0;
    Time next_heartbeat = 0, last_heartbeat = 0;
    bool heartbeat_in_flight = false, status_changed = false;
    bool connected = false;  // has a connection to `node`, which accepted the previous heartbeat
    std::uint64_t heartbeat_number = 0;
    double clock_rate = 1.0;
    std::map<TaskKey, std::vector<TaskAttempt>, TaskKeyLess> tasks;
    std::set<std::string> images, done;
  };
  /// The client of one job, which submits it, polls it, and may cancel it.
  struct User {
    JobSpec spec;
    std::string body;
    bool accepted = false, ended = false, cancelling = false;
    Time cancel_at = 0, first_submitted_at = 0, requested_at = 0;
    std::uint64_t call = 0;
    /// Number of the latest request; events of older ones are dropped.
    std::uint64_t request_number = 0;
    std::set<std::uint32_t> completed;
  };
  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> run;
    /// Reversed, because the queue has its largest element on top: that must be the earliest event,
    /// and of two at the same time the one scheduled first.
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  /// The free resources of a worker.
  struct Room {
    const Worker* worker = nullptr;
    Resources free;
  };
  /// The tasks on all machines, and the room on those machines that can take tasks.
  struct Occupancy {
    std::vector<Room> rooms;
    std::map<std::string, std::map<std::string, std::size_t>> zones;  // tasks by job and zone
    std::map<std::string, std::size_t> tasks;                         // tasks by job
    std::map<std::string, Resources> used;                            // resources by team
  };
  /// A fault that affects a share of messages or tasks until it ends.
  struct PartialFault {
    double share = 0;
    Time until = 0;
  };

  /// Updates the key-value store and delivers kept heartbeats every 20 ms. Every second, also
  /// updates the cloud's lists and reports waiting jobs to the checker.
  void periodic_update();

  // --- Network (simulated_region.cpp) ---

  /// Carries a message between two hosts: it is delayed, lost, or held by a cut. Held messages
  /// arrive after the cut in the order of sending, even if the sender has given up on them.
  void transmit(const std::string& from, const std::string& to, std::function<void()> arrive);
  [[nodiscard]] std::string zone_of(const std::string& host) const;
  [[nodiscard]] Time delay();

  // --- Controllers (simulated_region.cpp, processor.cpp) ---

  void start_node(std::size_t node);
  [[nodiscard]] std::uint32_t node_count() const {
    return static_cast<std::uint32_t>(nodes_.size());
  }
  /// The index of the node with that name; the number of nodes if there is none.
  [[nodiscard]] std::size_t node_index(const std::string& name) const;
  /// The index of `other` in the list of peers of the controller on `node`.
  [[nodiscard]] std::optional<std::size_t> peer_index(std::size_t node, std::size_t other) const;
  /// The node's steady clock. The clock of each process runs up to 0.05 % fast, because real clocks
  /// drift apart.
  [[nodiscard]] Time steady_clock(std::size_t node) const;
  /// Returns a function that tells whether the process that now runs on the node still does.
  [[nodiscard]] std::function<bool()> still_alive(std::size_t node) const;
  /// Passes an input to the node's controller; the input waits if the controller is paused or busy.
  void feed(std::size_t node, Input input);
  std::vector<Action> step(std::size_t node, Input input);
  void take_next_input(std::size_t node);
  [[nodiscard]] Time step_time(std::size_t node, std::uint64_t examined) const;
  [[nodiscard]] std::uint64_t examined_so_far(std::size_t node) const;
  void perform_action_unless_expired(std::size_t node, const Action& action);
  void perform_action(std::size_t node, const Action& action);
  void perform(std::size_t node, const Log& line);
  void perform(std::size_t node, const ArmTimer& timer);
  void perform(std::size_t node, const Response& response);
  void perform(std::size_t node, const CallKvStore& call);
  void perform(std::size_t node, const CallCloud& call);
  void perform(std::size_t node, const CallWorker& call);
  void perform(std::size_t node, const SendToPeer& send);
  void perform(std::size_t node, const SendToRegion& send) const;
  void receive(std::size_t from, std::size_t to, std::uint64_t link, const PeerMessage& message);
  void receive_from_peer(std::size_t to, std::size_t from, const PeerMessage& message);
  void handle_node_response(std::size_t node, const Response& response);

  // --- Workers (workers.cpp) ---

  /// Does the periodic work of a worker until the machine ends or is restarted.
  void worker_tick(const std::string& name, std::uint64_t boots);
  void advance(Worker& worker, TaskAttempt& task);
  void begin_task(Worker& worker, TaskAttempt& task);
  void end_task(Worker& worker, TaskAttempt& task, ExitCause cause);
  void task_ended(const TaskKey& key, const std::string& machine, bool completed);
  void expire_lease(Worker& worker);
  Heartbeat make_heartbeat(Worker& worker);
  void send_heartbeat(Worker& worker);
  void deliver_heartbeat(Worker& worker, std::function<void()> arrive);
  void handle_heartbeat_response(Worker& worker, std::uint64_t heartbeat_number, Time sent_at,
                                 std::uint64_t incarnation, int status, const std::string& body);
  /// Delivers the kept heartbeats to all controllers once a leader with a higher epoch is elected.
  void deliver_kept_heartbeats();
  void deliver_to_all_controllers(const std::string& raw);
  void execute(Worker& worker, const Command& command);
  void start_task(Worker& worker, const Command& command);
  void stop_task(Worker& worker, TaskAttempt& task, const Command& command);
  void send_direct_command(std::size_t node, std::uint64_t call, const std::string& address,
                           const std::string& body);
  void execute_direct_command(std::size_t node, std::uint64_t call, const std::string& name,
                              const std::string& body, std::uint64_t incarnation);
  void transmit_command(const std::string& from, const std::string& to,
                        std::function<void()> arrive);
  /// Schedules the arrival of a copy of a message if `copy_commands` affects the message.
  void copy_command(std::function<void()> arrive);

  // --- Gangs on workers (gangs.cpp) ---

  [[nodiscard]] static bool is_gang(const User* user) {
    return user != nullptr && user->spec.kind == JobKind::Gang;
  }
  void advance_gang(Worker& worker, TaskAttempt& task, const User& user);
  void start_gang_if_complete(const User& user, std::uint64_t attempt);
  void end_gang_attempt(const User& user, GangRun& run);
  void stop_gang_task(TaskAttempt& task, const User& user, double grace_s, Worker& worker);
  [[nodiscard]] std::uint32_t gang_tasks_present(const User& user, std::uint64_t attempt,
                                                 bool saved_only) const;

  // --- Jobs that are left waiting (workers.cpp) ---

  void report_waiting_jobs();
  [[nodiscard]] Occupancy occupancy() const;
  [[nodiscard]] bool could_start(const User& user, const Occupancy& current) const;
  [[nodiscard]] static bool gang_could_start(const JobSpec& spec, const Occupancy& current);
  [[nodiscard]] bool within_team_limit(const JobSpec& spec, const Occupancy& current) const;

  // --- Users (users.cpp), most of which are passed by their index in `users_` ---

  [[nodiscard]] const User* user_of(const std::string& job) const;
  void user_tick(std::size_t index);
  void schedule_user_tick(std::size_t index, Time when);
  /// Sends a request and returns the number of the call; `then` gets the response, unless it is
  /// lost or late.
  std::uint64_t request(std::size_t node, RequestOp op, const std::string& id,
                        const std::string& body, std::function<void(int, const std::string&)> then);
  void handle_user_response(std::size_t index, RequestOp op, int status, const std::string& body);
  void poll_all_nodes(std::size_t index);
  void send_unusual_request(Time until);
  void cancel_job_of(std::size_t index);
  void record_completion(const TaskKey& key);

  // --- Seeded plans (fault_injection.cpp) ---

  void plan_jobs();
  void make_gang(JobSpec& spec);
  void plan_faults();
  void inject_single_fault(std::uint32_t kind);
  void inject_controller_fault(std::uint32_t kind, std::size_t target, Time span_ms, bool hold);
  void inject_machine_fault(std::uint32_t kind, const std::string& machine, Time span_ms,
                            bool hold);
  void preempt_machines(const std::string& machine);
  void plan_overlapping_faults();
  void inject_overlapping_fault(std::uint32_t kind);
  void receive_late_response(const std::string& machine, Time deadline,
                             std::function<void()> receive);
  /// Whether the fault affects the next message or task. A random number is drawn only while the
  /// fault lasts.
  [[nodiscard]] bool affects_next(const PartialFault& fault) {
    return now_ < fault.until && random_(1'000'000) < fault.share * 1'000'000;
  }

  SimulationPlan plan_;
  pcg32 random_;
  Deployment deployment_;
  std::vector<Settings> settings_;
  Time now_ = 0;
  std::uint64_t next_event_order_ = 0;
  Time longest_input_wait_ = 0;
  std::priority_queue<Event> events_;
  Checker checker_;
  FakeKvStore kv_store_;
  FakeCloud cloud_;
  std::vector<ControllerHost> nodes_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, std::string> machine_by_address_;
  std::vector<std::unique_ptr<User>> users_;
  std::unordered_map<std::string, std::size_t> user_by_job_;
  NetworkCuts cuts_{[this](const std::string& host) { return zone_of(host); }};
  PartialFault delayed_writes_, lost_write_responses_, kept_for_next_leader_, delayed_heartbeats_,
      cancel_on_completion_, slow_commands_, copied_commands_, delayed_responses_,
      delayed_cloud_requests_;
  std::uint64_t late_responses_ = 0, late_cloud_requests_ = 0;
  Time poll_intensively_until_ = 0;
  std::vector<std::string> kept_heartbeats_;
  std::set<std::string> failing_jobs_, faulty_machines_;
  std::set<std::string> failing_once_;  // names of tasks
  std::map<GangAttempt, GangRun> gang_runs_;
  std::map<std::string, GangProgress> gang_progress_;
  std::uint64_t kept_heartbeats_epoch_ = 0;
  std::uint64_t next_unusual_job_ = 1;
  std::uint64_t next_call_ = 1;
  std::map<std::uint64_t, std::function<void(int, const std::string&)>> response_handlers_;
  std::vector<Time> submission_delays_;
  std::uint64_t malformed_responses_ = 0, unanswered_submissions_ = 0,
                unanswered_cancellations_ = 0, heartbeats_ = 0, command_copies_ = 0;
};

}  // namespace sailreel::sim
