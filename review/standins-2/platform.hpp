// Stand-ins for everything that a region's controllers talk to, over loopback sockets and on the
// real clock: state service, cloud, workers and users. One process, one thread. They follow the
// users' pages; each case starts the controllers as processes of their own and plays its script.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "sim/fake_kv_store.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/loop.hpp"

namespace standin {

using sailreel::Time;

/// The figures of a deployment. The defaults are those of the xela-labels site.
struct Deployment {
  std::vector<std::string> node_zones{"zona-atitlan", "zona-peten", "zona-pacifico"};
  std::vector<std::string> zones{"zona-atitlan", "zona-peten", "zona-pacifico"};
  std::string team = "mesa-soporte-00";
  double team_gpus = 48, team_gpus_max = 144;
  double report_s = 2, lease_s = 14, cancel_s = 44, gang_wait_s = 30, gang_peer_s = 4;
  double state_rps = 80, state_write_rps = 20, cloud_rps = 6, list_lag_s = 6;
  sailreel::MachineType type;   // set by the constructor: volcan-64
  double fetch_gb_per_s = 2.3;  // the rate that the machines really have
  double boot_s = 1.5;          // "at times machines are up within a second or two"
  Deployment();
};

/// A job as its user sees it.
struct Job {
  sailreel::JobSpec spec;
  double run_s = 0;  // true run time of a task; 0 for services
  Time submitted = 0, accepted = 0, answered_last = 0;
  bool cancel_asked = false;
  Time told_cancelled = 0, told_done = 0;
  std::string last_heading;
  std::set<std::uint32_t> completed;  // tasks that have completed on some machine
};

/// An attempt of a task on a worker.
struct Attempt {
  sailreel::TaskStatus status;
  Time image_at = 0, done_at = 0, saved_at = 0, started = 0;
  bool present = false;  // has its image and hasn't exited
};

struct Worker {
  std::string name, address, zone;
  bool spot = false, alive = true;
  std::uint64_t incarnation = 1, seq = 0, token = 0;
  Time session_sent = 0;  // when the last answered report was sent, or the session began
  Time next_report = 0, last_report = 0;
  bool changed = false, in_flight = false;
  std::uint64_t report_number = 0;
  std::size_t node = 0;
  std::vector<Attempt> attempts;
  std::map<std::string, Time> images;  // cached from
  std::unique_ptr<sailreel::HttpServer> server;
  std::unique_ptr<sailreel::HttpClient> client;
  std::uint64_t leases_expired = 0, reports_refused = 0;
  Time hangs_until = 0;  // the machine stands still
  Time deaf_until = 0;   // answers and commands don't reach it
  Time mute_until = 0;   // its reports reach no controller
};

class Platform {
 public:
  Platform(std::string program, std::string directory, std::string record_path, Deployment d);
  ~Platform();

  /// Calls `script` every 20 ms until it returns true, or until `limit_s` is over.
  void run(double limit_s, const std::function<bool()>& script);
  [[nodiscard]] double now_s() const { return static_cast<double>(now() - began_) / 1000.0; }
  [[nodiscard]] static Time now() { return sailreel::EventLoop::now_ms(); }
  void record(const std::string& line);
  /// The case's rule was broken: the run ends with 1.
  void broken(const std::string& rule, const std::string& what);
  /// The record notes what looks like a break of another rule. It doesn't count: an answer that was
  /// on its way while another node gave a newer one looks like this too.
  void other_rule(const std::string& rule, const std::string& what);
  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }

  // ---- controllers ----
  void start_node(std::size_t node);
  void signal_node(std::size_t node, int signal);
  void kill_node(std::size_t node);
  [[nodiscard]] bool node_up(std::size_t node) const { return pids_[node] > 0; }
  [[nodiscard]] std::size_t nodes() const { return pids_.size(); }
  /// The node that the state service's leader key names; empty if there is none.
  [[nodiscard]] std::optional<std::size_t> leader() const;
  /// Notes controllers that have ended by themselves, as one that finds its port taken. A run with
  /// such an end says nothing about the rule.
  void check_processes();
  [[nodiscard]] bool ended_by_itself() const { return ended_by_itself_; }

  // ---- users ----
  Job& submit(sailreel::JobSpec spec, double run_s = 0);
  /// Sends the submission once with this body, and calls `answered` with the status.
  void submit_raw(const std::string& body, const std::function<void(int, std::string)>& answered);
  void cancel(Job& job);
  void poll(Job& job);
  [[nodiscard]] std::map<std::string, Job>& jobs() { return jobs_; }
  [[nodiscard]] std::uint32_t running(const Job& job) const;
  [[nodiscard]] std::uint32_t on_machines(const Job& job) const;
  double poll_every_s = 5;

  /// Counts for how long the job has had fewer tasks on machines than it wants, while a machine
  /// that is up, answered and fits has room and the team is under its limit. Any moment at which
  /// this isn't so sets the count back to 0. Returns seconds.
  double left_waiting_s(Job& job);

  // ---- state service ----
  sailreel::sim::FakeKvStore store;
  std::set<std::size_t> refused_nodes;  // nodes that get 503 from the state service
  /// Called for each transaction; returns how many ms later it is carried out (its answer is then
  /// lost), or 0.
  std::function<Time(std::size_t node)> delay_transaction;

  // ---- cloud and workers ----
  std::map<std::string, Worker> workers;
  bool spot_capacity = true, ordinary_capacity = true;
  std::size_t max_machines = 48;
  std::size_t rental_requests = 0;  // requests to rent machines so far
  /// Whether the task fails on the machine as soon as it runs.
  std::function<bool(const Worker&, const sailreel::TaskKey&)> fails;
  void take_back(const std::string& name);
  /// Returns how many ms later a direct command is carried out, unanswered; 0: at once.
  std::function<Time()> delay_command;
  /// Returns how many ms later a copy of a report arrives again; 0: none.
  std::function<Time()> copy_report;
  void later(Time delay_ms, std::function<void()> call) {
    later_.emplace_back(now() + delay_ms, std::move(call));
  }
  void poll_id(const std::string& id, std::size_t node,
               const std::function<void(int, std::string)>& answered);
  /// The free room of a machine, by the tasks that its worker has.
  [[nodiscard]] sailreel::Resources room(const Worker& worker) const;
  [[nodiscard]] const Deployment& deployment() const { return d_; }
  std::mt19937_64 random{1};

 private:
  void tick();
  void serve_store(std::size_t node, const sailreel::ServerRequest& request);
  void serve_cloud(std::size_t node, const sailreel::ServerRequest& request);
  void serve_worker(const std::string& name, const sailreel::ServerRequest& request);
  void launch(const sailreel::ScaleOutRequest& request, std::vector<std::string>& names);
  void worker_tick(Worker& worker);
  void expire_lease(Worker& worker);
  void send_report(Worker& worker);
  void next_node(Worker& worker, Time delay);
  std::string report_body(Worker& worker);
  void execute(Worker& worker, const sailreel::Command& command);
  void start_task(Worker& worker, const sailreel::Command& command);
  void begin_task(Worker& worker, Attempt& attempt);
  void end_task(Worker& worker, Attempt& attempt, sailreel::ExitCause cause);
  void attempt_submission(const std::string& id);
  void attempt_cancel(const std::string& id);
  void heard(Job& job, std::size_t node, int status, const std::string& body, const char* what);
  std::size_t pick_node();
  static int free_port();

  sailreel::EventLoop loop_;
  std::string program_, directory_;
  Deployment d_;
  std::FILE* record_;
  Time began_ = now();
  std::vector<std::string> listen_, peer_listen_, store_listen_, cloud_listen_;
  std::vector<std::unique_ptr<sailreel::HttpServer>> store_servers_, cloud_servers_;
  std::vector<pid_t> pids_;
  bool ended_by_itself_ = false;
  sailreel::HttpClient users_{loop_, 300};
  std::map<std::string, Job> jobs_;
  std::map<std::string, std::string> bodies_;
  std::map<std::string, std::vector<std::string>> charters_;
  struct Booting {
    std::string name, zone;
    bool spot;
    Time rented, up_at;
  };
  std::vector<Booting> booting_;
  std::map<std::string, Time> rented_;
  /// What the cloud's list shows: snapshots of (time, list).
  std::vector<std::pair<Time, std::vector<sailreel::ListedMachine>>> lists_;
  std::size_t next_machine_ = 1;
  std::vector<std::string> violations_;
  std::vector<std::pair<Time, std::function<void()>>> later_;
  Time next_poll_ = 0;
  std::map<std::string, Time> waiting_since_;
};

/// What all cases have in common: reads the arguments PROGRAM DIRECTORY RECORD TROUBLE.
struct Arguments {
  std::string program, directory, record;
  bool trouble = true;
};
Arguments read_arguments(int argc, char** argv);
/// Ends the controllers and this process: 2 if the case couldn't run, 1 if a rule was broken, else
/// 0.
[[noreturn]] void finish(Platform& platform, bool ran);

/// A job of the xela-labels site's class feria-refuerzo: a service of 5 CPUs and 1 GPU a replica.
sailreel::JobSpec feria(const std::string& id, std::uint32_t tasks, const std::string& image);
/// A job of the class cosecha-nocturna: an array that may use spot machines.
sailreel::JobSpec cosecha(const std::string& id, std::uint32_t tasks, const std::string& image);

}  // namespace standin
