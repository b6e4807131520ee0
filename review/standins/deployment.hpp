// A small deployment for the cases of the review: real controllers as separate processes, and
// stand-ins for the state service, the cloud, the machines' workers and the users in this process.
// Everything runs on loopback addresses and on the real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "protocol/fake_server_codec.hpp"
#include "protocol/json.hpp"
#include "review/standins/state_service.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/loop.hpp"

namespace review {

using sailreel::Command;
using sailreel::EventLoop;
using sailreel::HttpClient;
using sailreel::HttpServer;
using sailreel::JobKind;
using sailreel::JobSpec;
using sailreel::MachineType;
using sailreel::Resources;
using sailreel::RunState;
using sailreel::ServerRequest;
using sailreel::TaskStatus;
using sailreel::Time;
using sailreel::Timer;

/// A run that isn't over by then is ended by a signal.
constexpr unsigned kLongestRunS = 119;

/// A port of 127.0.0.1 that is free now. Ports are not given out twice.
inline int free_port() {
  static std::set<int> given;
  for (;;) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
      std::perror("free_port");
      std::exit(2);
    }
    close(fd);
    const int port = ntohs(address.sin_port);
    if (given.insert(port).second) return port;
  }
}

inline std::string loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

/// What the settings file and the cloud of the deployment say.
struct Plan {
  std::vector<std::string> node_zones{"zona-atitlan", "zona-peten", "zona-pacifico"};
  std::vector<std::string> zones{"zona-atitlan", "zona-peten", "zona-pacifico"};
  std::vector<Team> teams;
  std::string objectives = "[]";
  double report_s = 2.0, lease_s = 14.0, cancel_s = 44.0, gang_wait_s = 30.0, gang_peer_s = 4.0;
  double rps = 80, write_rps = 20, value_kb = 8;
  int txn_ops = 16;
  double cloud_rps = 6, list_lag_s = 6;
  double cpu = 0.096, memory_mb = 56;
  int fd_limit = 700;
  MachineType type;
  /// From the rental request until a machine is up.
  Time boot_ms = 2000;
  /// The most machines per zone and kind (spot or not) that the cloud gives.
  std::map<std::pair<std::string, bool>, std::size_t> capacity;
};

class Deployment;

/// One machine with its worker, as the page "Workers -> controller nodes" describes it.
class Worker {
 public:
  struct Task {
    TaskStatus status;
    JobSpec spec;
    Time fetched_at = 0, ends_at = 0, saved_at = 0;
  };

  Worker(Deployment& deployment, std::string name, std::string zone, bool spot, int port);

  /// The machine stops with all that is on it: nothing is sent or answered from now on.
  void stop();
  [[nodiscard]] bool stopped() const { return stopped_; }
  void tick();
  [[nodiscard]] const std::vector<Task>& tasks() const { return tasks_; }
  /// The number of tasks of the job that this machine fetches the image for, or runs.
  [[nodiscard]] std::size_t holding(const std::string& job) const;
  [[nodiscard]] bool room_for(const Resources& need) const;
  /// One running task of the job fails with `error`; false if there is none.
  bool fail_one_task(const std::string& job);

  const std::string name, zone, address;
  const bool spot;

 private:
  friend class Deployment;
  void serve(const ServerRequest& request);
  void send_report();
  void report_answered(std::uint64_t session, Time sent, int status, const std::string& body);
  void execute(const Command& command);
  void start(const Command& command);
  void changed() { changed_ = true; }
  void token_changed();
  void next_node(const std::string& wanted);
  std::string report();
  [[nodiscard]] Resources used() const;
  void begin_session();

  Deployment& deployment_;
  HttpServer server_;
  HttpClient client_;
  std::vector<Task> tasks_;
  std::map<std::string, Time> images_;  // image -> when it is here
  std::size_t node_ = 0;
  std::uint64_t session_ = 1, seq_ = 0, token_ = 0;
  Time token_changed_at_ = -sailreel::kNever;
  Time session_began_ = 0, lease_from_ = 0, next_report_ = 0, last_report_ = 0;
  bool in_flight_ = false, changed_ = false, stopped_ = false;
};

/// A controller process of the deployment.
struct Node {
  std::string name, zone, listen, peer_listen, state, cloud, settings_file, log_file;
  pid_t pid = 0;
  std::unique_ptr<HttpServer> state_server, cloud_server;
};

/// What a user of the deployment has been told of a job.
struct JobView {
  JobSpec spec;
  std::string last_state;
  Time accepted_at = 0, last_answer_at = 0;
};

class Deployment {
 public:
  Deployment(Plan plan, std::string program, std::string directory, std::string record_file)
      : plan(std::move(plan)),
        store(this->plan.rps, this->plan.write_rps,
              static_cast<std::size_t>(this->plan.value_kb * 1024),
              static_cast<std::size_t>(this->plan.txn_ops)),
        program_(std::move(program)),
        directory_(std::move(directory)),
        record_(std::fopen(record_file.c_str(), "w")),
        began_(EventLoop::now_ms()),
        users_(loop, 200),
        timer_(loop, [this] { tick(); }) {
    if (record_ == nullptr) {
      std::perror("record.txt");
      std::exit(2);
    }
  }
  ~Deployment() {
    for (Node& node : nodes) kill_node(node);
    std::fclose(record_);
  }

  EventLoop loop;
  const Plan plan;
  std::vector<Node> nodes;
  StateService store;
  std::map<std::string, std::unique_ptr<Worker>> workers;  // machines that are up
  std::map<std::string, JobView> jobs;
  /// The number of machines rented so far, by zone, and the names of those returned.
  std::map<std::string, int> rented;
  std::set<std::string> returned;

  [[nodiscard]] Time now() const { return EventLoop::now_ms() - began_; }

  __attribute__((format(printf, 2, 3))) void record(const char* format, ...) {
    std::fprintf(record_, "%8.3f ", static_cast<double>(now()) / 1000.0);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(record_, format, arguments);
    va_end(arguments);
    std::fputc('\n', record_);
    std::fflush(record_);
  }

  void start() {
    alarm(kLongestRunS);
    for (std::size_t i = 0; i < plan.node_zones.size(); ++i) {
      Node node;
      node.name = "deckhand-" + std::to_string(i);
      node.zone = plan.node_zones[i];
      node.listen = loopback(free_port());
      node.peer_listen = loopback(free_port());
      node.state = loopback(free_port());
      node.cloud = loopback(free_port());
      node.settings_file = directory_ + "/" + node.name + ".json";
      node.log_file = directory_ + "/" + node.name + ".log";
      nodes.push_back(std::move(node));
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      Node& node = nodes[i];
      node.state_server = std::make_unique<HttpServer>(
          loop, node.state, 1000, 1 << 20, 600'000,
          [this, i](const ServerRequest& request) { serve_state(i, request); });
      node.cloud_server = std::make_unique<HttpServer>(
          loop, node.cloud, 1000, 1 << 20, 600'000,
          [this, i](const ServerRequest& request) { serve_cloud(i, request); });
      std::ofstream(node.settings_file) << settings_of(node);
      start_node(node);
    }
    timer_.set(10);
  }

  void start_node(Node& node) {
    const pid_t pid = fork();
    if (pid < 0) {
      std::perror("fork");
      std::exit(2);
    }
    if (pid == 0) {
      // The controllers end with this process, however it ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open(node.log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 2);
      dup2(log, 1);
      for (int fd = 3; fd < 1024; ++fd) close(fd);
      execl(program_.c_str(), program_.c_str(), "--config", node.settings_file.c_str(), nullptr);
      _exit(127);
    }
    node.pid = pid;
    record("platform: %s started (%s)", node.name.c_str(), node.zone.c_str());
  }

  /// Ends the process without a signal that it could handle.
  void kill_node(Node& node) {
    if (node.pid == 0) return;
    ::kill(node.pid, SIGKILL);
    waitpid(node.pid, nullptr, 0);
    node.pid = 0;
    record("platform: %s ended", node.name.c_str());
  }

  void at(Time when, std::function<void()> action) { agenda_.emplace(when, std::move(action)); }
  void after(Time delay, std::function<void()> action) { at(now() + delay, std::move(action)); }
  /// Runs `action` as soon as `condition` holds.
  void when(std::function<bool()> condition, std::function<void()> action) {
    waiting_.emplace_back(std::move(condition), std::move(action));
  }
  /// Called about every 10 ms.
  std::function<void()> on_tick;
  /// Called when a task gets onto its machine (it has its image), and when it leaves.
  std::function<void(const Worker&, const Worker::Task&)> on_task_start, on_task_end;

  [[noreturn]] void finish(int code, const std::string& verdict) {
    record("verdict: %s (exit %d)", verdict.c_str(), code);
    std::printf("%s\n", verdict.c_str());
    for (Node& node : nodes) kill_node(node);
    std::fflush(nullptr);
    std::_Exit(code);
  }

  // ---- users ----

  /// Submits a job through the load balancer and repeats that as the page says, then polls it.
  void submit(const JobSpec& spec) {
    JobView& job = jobs[spec.id];
    job.spec = spec;
    submit_again(spec.id, now());
  }

  /// Sends a request to a node that is up; `then` gets status 0 if there is no answer in time.
  void request(std::size_t node, const std::string& method, const std::string& path,
               const std::string& body, Time timeout,
               std::function<void(int, const std::string&)> then) {
    users_.request(nodes[node].listen, method, path, body, timeout, true,
                   [then = std::move(then)](int status, std::string_view text) {
                     then(status, std::string(text));
                   });
  }

  /// The node that the load balancer picks for the next request.
  std::size_t pick_node() {
    for (std::size_t tries = 0; tries < nodes.size(); ++tries) {
      next_user_node_ = (next_user_node_ + 1) % nodes.size();
      if (nodes[next_user_node_].pid != 0) return next_user_node_;
    }
    return next_user_node_;
  }

  /// A machine dies: it is listed as running for 30 s more, and is gone then.
  void machine_dies(const std::string& name) {
    workers.at(name)->stop();
    after(30'000, [this, name] { rented_.erase(name); });
  }

  /// The number of tasks of a job that are on a machine now.
  [[nodiscard]] std::size_t on_machines(const std::string& job) const {
    std::size_t count = 0;
    for (const auto& [name, worker] : workers)
      if (!worker->stopped())
        for (const Worker::Task& task : worker->tasks())
          count += task.status.key.job == job && (task.status.state == RunState::Running ||
                                                  task.status.state == RunState::Saving)
                       ? 1
                       : 0;
    return count;
  }

  std::mt19937 random{std::random_device{}()};
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
  }

 private:
  friend class Worker;

  struct Rented {
    std::string name, zone;
    bool spot = false;
    int port = 0;
    Time rented_at = 0, up_at = 0;
  };
  struct ListSnapshot {
    Time at;
    std::vector<sailreel::ListedMachine> machines;
  };

  std::string settings_of(const Node& own) const {
    std::ostringstream out;
    out << "{\"label\":\"" << own.name << "\",\"area\":\"" << own.zone << "\",\"listen\":\""
        << own.listen << "\",\"peer_listen\":\"" << own.peer_listen << "\",\"siblings\":[";
    bool first = true;
    for (const Node& node : nodes) {
      if (node.name == own.name) continue;
      out << (first ? "" : ",") << "{\"label\":\"" << node.name << "\",\"area\":\"" << node.zone
          << "\",\"endpoint\":\"" << node.peer_listen << "\"}";
      first = false;
    }
    out << "],\"external\":{\"cloud\":\"" << own.cloud << "\",\"state\":\"" << own.state
        << "\"},\"settings\":{\"initial_size\":" << nodes.size() << ",\"zones\":[";
    for (std::size_t i = 0; i < plan.zones.size(); ++i)
      out << (i ? "," : "") << "\"" << plan.zones[i] << "\"";
    out << "],\"teams\":[";
    for (std::size_t i = 0; i < plan.teams.size(); ++i) {
      const Team& team = plan.teams[i];
      out << (i ? "," : "") << "{\"name\":\"" << team.name << "\",\"cpus\":" << team.cpus
          << ",\"cpus_max\":" << team.cpus_max << ",\"gpus\":" << team.gpus
          << ",\"gpus_max\":" << team.gpus_max << "}";
    }
    out << "],\"objectives\":" << plan.objectives << ",\"workers\":{\"report_s\":" << plan.report_s
        << ",\"lease_s\":" << plan.lease_s << ",\"gang_wait_s\":" << plan.gang_wait_s
        << ",\"gang_peer_s\":" << plan.gang_peer_s << ",\"cancel_s\":" << plan.cancel_s
        << "},\"state\":{\"rps\":" << plan.rps << ",\"write_rps\":" << plan.write_rps
        << ",\"value_kb\":" << plan.value_kb << ",\"txn_ops\":" << plan.txn_ops
        << "},\"cloud\":{\"rps\":" << plan.cloud_rps << ",\"list_lag_s\":" << plan.list_lag_s
        << "},\"resources\":{\"cpu\":" << plan.cpu << ",\"memory_mb\":" << plan.memory_mb
        << ",\"fd_limit\":" << plan.fd_limit << "},\"clock_error_ms\":5.0}}\n";
    return out.str();
  }

  void tick() {
    const Time time = now();
    users_.close_timed_out();
    store.tick(EventLoop::now_ms());
    if (time >= next_snapshot_) snapshot();
    for (auto it = rented_.begin(); it != rented_.end(); ++it)
      if (it->second.up_at <= time && !workers.contains(it->first)) bring_up(it->second);
    for (auto& [name, worker] : workers) worker->tick();
    while (!agenda_.empty() && agenda_.begin()->first <= time) {
      const auto action = std::move(agenda_.begin()->second);
      agenda_.erase(agenda_.begin());
      action();
    }
    for (auto it = waiting_.begin(); it != waiting_.end();) {
      if (!it->first()) {
        ++it;
        continue;
      }
      const auto action = std::move(it->second);
      it = waiting_.erase(it);
      action();
    }
    if (on_tick) on_tick();
    for (Node& node : nodes) {
      int status = 0;
      if (node.pid != 0 && waitpid(node.pid, &status, WNOHANG) == node.pid) {
        node.pid = 0;
        record("platform: %s ended by itself, status %d, signal %d", node.name.c_str(),
               WIFEXITED(status) ? WEXITSTATUS(status) : -1,
               WIFSIGNALED(status) ? WTERMSIG(status) : 0);
      }
    }
    timer_.set(10);
  }

  // ---- users ----

  void submit_again(const std::string& id, Time first) {
    const std::size_t node = pick_node();
    request(node, "POST", "/v1/jobs", sailreel::encode_submission(jobs[id].spec), 5000,
            [this, id, first, node](int status, const std::string& body) {
              record("user: POST %s at %s -> %d %s", id.c_str(), nodes[node].name.c_str(), status,
                     body.c_str());
              if (status == 200 || status == 201) {
                answered(id, body);
                return after(5000, [this, id] { poll(id); });
              }
              if (status == 400 || status == 422) return;
              if (now() - first < 60'000)
                after(1000, [this, id, first] { submit_again(id, first); });
            });
  }

  void answered(const std::string& id, const std::string& body) {
    JobView& job = jobs[id];
    if (job.accepted_at == 0) job.accepted_at = now();
    job.last_answer_at = now();
    job.last_state = sailreel::decode_job_state(body);
  }

  void poll(const std::string& id) {
    if (jobs[id].last_state == "done" || jobs[id].last_state == "cancelled") return;
    const std::size_t node = pick_node();
    request(node, "GET", "/v1/jobs/" + id, "", 2000,
            [this, id, node](int status, const std::string& body) {
              record("user: GET %s at %s -> %d %s", id.c_str(), nodes[node].name.c_str(), status,
                     body.c_str());
              if (status == 200) answered(id, body);
            });
    after(5000, [this, id] { poll(id); });
  }

  // ---- state service ----

  void serve_state(std::size_t node, const ServerRequest& request) {
    const auto call = sailreel::decode_kv_request(request.method, request.path, request.body);
    HttpServer& server = *nodes[node].state_server;
    if (!call) return server.respond(request.connection, 400, "{\"error\":\"malformed\"}", 0);
    store.handle(*call, EventLoop::now_ms(),
                 [&server, connection = request.connection](const ServiceResponse& response) {
                   server.respond(connection, response.status, response.body, 0);
                 });
  }

  // ---- cloud ----

  void serve_cloud(std::size_t node, const ServerRequest& request) {
    const auto call = sailreel::decode_cloud_request(request.method, request.path, request.body);
    HttpServer& server = *nodes[node].cloud_server;
    if (!call) return server.respond(request.connection, 400, "{\"error\":\"malformed\"}", 0);
    sailreel::CloudResponse reply;
    reply.status = 200;
    switch (call->kind) {
      case sailreel::CloudRequest::Kind::Types:
        reply.types = {plan.type};
        break;
      case sailreel::CloudRequest::Kind::ScaleOut:
        rent(call->scale_out, reply);
        record("cloud: %s asks for %u in %s%s (%s) -> %d, %zu machines%s%s",
               nodes[node].name.c_str(), call->scale_out.count, call->scale_out.zone.c_str(),
               call->scale_out.spot ? ", spot" : "", call->scale_out.request_id.c_str(),
               reply.status, reply.names.size(), reply.names.empty() ? "" : ": ",
               reply.names.empty() ? "" : reply.names.front().c_str());
        break;
      case sailreel::CloudRequest::Kind::Terminate:
        for (const std::string& name : call->names) {
          returned.insert(name);
          if (rented_.erase(name) == 0) continue;
          record("cloud: %s returns %s", nodes[node].name.c_str(), name.c_str());
          if (const auto it = workers.find(name); it != workers.end()) it->second->stop();
        }
        break;
      case sailreel::CloudRequest::Kind::List:
        list(*call, reply);
        break;
    }
    const auto response = sailreel::encode_cloud_response(*call, reply);
    server.respond(request.connection, response.status, response.body, 0);
  }

  void rent(const sailreel::ScaleOutRequest& request, sailreel::CloudResponse& reply) {
    if (const auto known = names_by_request_.find(request.request_id);
        known != names_by_request_.end()) {
      reply.names = known->second;
      return;
    }
    std::size_t present = 0;
    for (const auto& [name, machine] : rented_)
      present += machine.zone == request.zone && machine.spot == request.spot ? 1 : 0;
    const auto limit = plan.capacity.find({request.zone, request.spot});
    const std::size_t most = limit == plan.capacity.end() ? 1000 : limit->second;
    const std::size_t count = std::min<std::size_t>(request.count, most - std::min(most, present));
    if (count == 0) {
      reply.status = 503;
      reply.no_capacity = true;
      return;
    }
    for (std::size_t i = 0; i < count; ++i) {
      char name[32];
      std::snprintf(name, sizeof name, "m-%06zu", ++last_machine_);
      rented_[name] = {name, request.zone, request.spot, free_port(), now(), now() + plan.boot_ms};
      ++rented[request.zone];
      reply.names.emplace_back(name);
    }
    names_by_request_[request.request_id] = reply.names;
  }

  void snapshot() {
    next_snapshot_ = now() + 250;
    ListSnapshot copy{now(), {}};
    for (const auto& [name, machine] : rented_) {
      sailreel::ListedMachine listed;
      listed.name = name;
      listed.address = loopback(machine.port);
      listed.type = plan.type.name;
      listed.zone = machine.zone;
      listed.spot = machine.spot;
      listed.age_s = static_cast<double>(now() - machine.rented_at) / 1000.0;
      listed.state = machine.up_at <= now() ? sailreel::ListedMachine::State::Running
                                            : sailreel::ListedMachine::State::Booting;
      copy.machines.push_back(std::move(listed));
    }
    snapshots_.push_back(std::move(copy));
    while (snapshots_.size() > 1 &&
           now() - std::next(snapshots_.begin())->at >= sailreel::ms(plan.list_lag_s))
      snapshots_.pop_front();
  }

  void list(const sailreel::CloudRequest& call, sailreel::CloudResponse& reply) {
    if (snapshots_.empty() || now() - snapshots_.front().at < sailreel::ms(plan.list_lag_s)) return;
    for (const auto& machine : snapshots_.front().machines) {
      if (machine.name <= call.after) continue;
      reply.has_more = reply.machines.size() >= std::min<std::size_t>(call.limit, 500);
      if (reply.has_more) return;
      reply.machines.push_back(machine);
    }
  }

  void bring_up(const Rented& machine) {
    workers.emplace(machine.name, std::make_unique<Worker>(*this, machine.name, machine.zone,
                                                           machine.spot, machine.port));
    record("machine %s is up in %s%s", machine.name.c_str(), machine.zone.c_str(),
           machine.spot ? " (spot)" : "");
  }

  std::string program_, directory_;
  std::FILE* record_;
  Time began_;
  HttpClient users_;
  Timer timer_;
  std::multimap<Time, std::function<void()>> agenda_;
  std::list<std::pair<std::function<bool()>, std::function<void()>>> waiting_;
  std::size_t next_user_node_ = 0, last_machine_ = 0;
  std::map<std::string, Rented> rented_;
  std::map<std::string, std::vector<std::string>> names_by_request_;
  std::list<ListSnapshot> snapshots_;
  Time next_snapshot_ = 0;
};

// ---- worker ----

inline Worker::Worker(Deployment& deployment, std::string worker_name, std::string worker_zone,
                      bool is_spot, int port)
    : name(std::move(worker_name)),
      zone(std::move(worker_zone)),
      address(loopback(port)),
      spot(is_spot),
      deployment_(deployment),
      server_(deployment.loop, address, 100, 1 << 20, 600'000,
              [this](const ServerRequest& request) { serve(request); }),
      client_(deployment.loop, 10) {
  node_ = deployment.random() % deployment.nodes.size();
  session_began_ = lease_from_ = deployment.now();
}

inline void Worker::stop() {
  if (stopped_) return;
  stopped_ = true;
  deployment_.record("machine %s stops with %zu tasks", name.c_str(), tasks_.size());
  for (const Task& task : tasks_)
    if (deployment_.on_task_end &&
        (task.status.state == RunState::Running || task.status.state == RunState::Saving))
      deployment_.on_task_end(*this, task);
  tasks_.clear();
}

inline std::size_t Worker::holding(const std::string& job) const {
  return static_cast<std::size_t>(
      std::count_if(tasks_.begin(), tasks_.end(), [&](const Task& task) {
        return task.status.key.job == job && task.status.state != RunState::Exited;
      }));
}

inline bool Worker::room_for(const Resources& need) const {
  Resources total = used();
  total += need;
  return total.fits_in(deployment_.plan.type.size);
}

inline bool Worker::fail_one_task(const std::string& job) {
  for (Task& task : tasks_) {
    if (task.status.key.job != job || task.status.state != RunState::Running) continue;
    task.status.state = RunState::Exited;
    task.status.cause = sailreel::ExitCause::Error;
    deployment_.record("task %s fails on %s: error", sailreel::task_name(task.status.key).c_str(),
                       name.c_str());
    if (deployment_.on_task_end) deployment_.on_task_end(*this, task);
    changed();
    return true;
  }
  return false;
}

inline Resources Worker::used() const {
  Resources sum;
  for (const Task& task : tasks_)
    if (task.status.state != RunState::Exited) sum += task.spec.need;
  return sum;
}

// A higher token counts as a change at most once in half of a lease.
inline void Worker::token_changed() {
  const Time now = deployment_.now();
  if (now - token_changed_at_ < sailreel::ms(deployment_.plan.lease_s) / 2) return;
  token_changed_at_ = now;
  changed();
}

inline std::string Worker::report() {
  sailreel::Heartbeat heartbeat;
  heartbeat.machine = name;
  heartbeat.address = address;
  heartbeat.type = deployment_.plan.type.name;
  heartbeat.zone = zone;
  heartbeat.spot = spot;
  heartbeat.incarnation = session_;
  heartbeat.seq = ++seq_;
  heartbeat.fencing_token = token_;
  for (const Task& task : tasks_) heartbeat.tasks.push_back(task.status);
  return sailreel::encode_heartbeat(heartbeat);
}

inline void Worker::begin_session() {
  deployment_.record("machine %s: lease over, session %llu, %zu tasks killed", name.c_str(),
                     static_cast<unsigned long long>(session_ + 1), tasks_.size());
  for (const Task& task : tasks_)
    if (deployment_.on_task_end &&
        (task.status.state == RunState::Running || task.status.state == RunState::Saving))
      deployment_.on_task_end(*this, task);
  tasks_.clear();
  ++session_;
  session_began_ = lease_from_ = deployment_.now();
  changed();
}

inline void Worker::tick() {
  if (stopped_) return;
  const Time now = deployment_.now();
  if (now - lease_from_ > sailreel::ms(deployment_.plan.lease_s)) begin_session();
  for (Task& task : tasks_) {
    if (task.status.state == RunState::Fetching && now >= task.fetched_at) {
      task.status.state = RunState::Running;
      task.ends_at = task.spec.kind == JobKind::Service ? sailreel::kNever
                                                        : now + sailreel::ms(task.spec.estimate_s);
      deployment_.record("task %s starts on %s (%s)", sailreel::task_name(task.status.key).c_str(),
                         name.c_str(), zone.c_str());
      if (deployment_.on_task_start) deployment_.on_task_start(*this, task);
      changed();
    } else if (task.status.state == RunState::Running && now >= task.ends_at) {
      task.status.state = RunState::Exited;
      task.status.cause = sailreel::ExitCause::Done;
      deployment_.record("task %s is done on %s", sailreel::task_name(task.status.key).c_str(),
                         name.c_str());
      if (deployment_.on_task_end) deployment_.on_task_end(*this, task);
      changed();
    } else if (task.status.state == RunState::Saving && now >= task.saved_at) {
      task.status.state = RunState::Exited;
      task.status.cause = sailreel::ExitCause::Stopped;
      task.status.saved = true;
      if (deployment_.on_task_end) deployment_.on_task_end(*this, task);
      changed();
    }
  }
  client_.close_timed_out();
  if (in_flight_) return;
  if (now >= next_report_ || (changed_ && now - last_report_ >= 500)) send_report();
}

inline void Worker::send_report() {
  const Time now = deployment_.now();
  in_flight_ = true;
  changed_ = false;
  last_report_ = now;
  next_report_ = now + sailreel::ms(deployment_.plan.report_s * deployment_.uniform(0.75, 1.25));
  client_.request(deployment_.nodes[node_].listen, "POST", "/hello", report(), 4000, true,
                  [this, session = session_, now](int status, std::string_view body) {
                    report_answered(session, now, status, std::string(body));
                  });
}

inline void Worker::report_answered(std::uint64_t session, Time sent, int status,
                                    const std::string& body) {
  in_flight_ = false;
  if (stopped_) return;
  if (status == 421) return next_node(sailreel::decode_redirect(body));
  if (status != 200) return next_node("");
  const auto batch = sailreel::decode_commands(body);
  if (!batch || batch->fencing_token < token_ || session != session_) return;
  if (batch->fencing_token > token_) token_changed();
  token_ = batch->fencing_token;
  lease_from_ = std::max(lease_from_, sent);
  for (const Command& command : batch->commands) execute(command);
}

inline void Worker::next_node(const std::string& wanted) {
  const Time now = deployment_.now();
  for (std::size_t i = 0; i < deployment_.nodes.size(); ++i)
    if (i != node_ && deployment_.nodes[i].name == wanted) {
      node_ = i;
      next_report_ = now;
      return;
    }
  node_ = (node_ + 1) % deployment_.nodes.size();
  next_report_ = last_report_ = now + 500;
  next_report_ += 500;
}

inline void Worker::serve(const ServerRequest& request) {
  if (stopped_) return;
  if (request.method == "GET" && request.path == "/inspect")
    return server_.respond(request.connection, 200, report(), 0);
  if (request.method != "POST" || request.path != "/do")
    return server_.respond(request.connection, 404, "{\"error\":\"no such path\"}", 0);
  const auto batch = sailreel::decode_commands(request.body);
  if (!batch || !batch->incarnation)
    return server_.respond(request.connection, 400, "{\"error\":\"malformed\"}", 0);
  if (batch->fencing_token < token_ || *batch->incarnation != session_)
    return server_.respond(request.connection, 409, report(), 0);
  if (batch->fencing_token > token_) token_changed();
  token_ = batch->fencing_token;
  for (const Command& command : batch->commands) execute(command);
  server_.respond(request.connection, 200, report(), 0);
}

inline void Worker::execute(const Command& command) {
  if (command.op == Command::Op::Start) return start(command);
  for (auto it = tasks_.begin(); it != tasks_.end(); ++it) {
    if (it->status.key.job != command.key.job || it->status.key.index != command.key.index ||
        it->status.attempt != command.attempt)
      continue;
    if (command.op == Command::Op::Forget) {
      if (it->status.state == RunState::Exited) tasks_.erase(it);
      return;
    }
    if (it->status.state == RunState::Exited) return;
    const bool was_on = it->status.state != RunState::Fetching;
    if (it->status.state == RunState::Running && it->spec.checkpoint_s > 0 &&
        command.grace_s >= it->spec.save_s) {
      it->status.state = RunState::Saving;
      it->saved_at = deployment_.now() + sailreel::ms(it->spec.save_s);
    } else if (it->status.state != RunState::Saving || command.grace_s <= 0) {
      it->status.state = RunState::Exited;
      it->status.cause = sailreel::ExitCause::Stopped;
      deployment_.record("task %s is stopped on %s", sailreel::task_name(command.key).c_str(),
                         name.c_str());
      if (was_on && deployment_.on_task_end) deployment_.on_task_end(*this, *it);
    }
    changed();
    return;
  }
}

inline void Worker::start(const Command& command) {
  bool busy = false;
  for (const Task& task : tasks_) {
    if (task.status.key.job != command.key.job || task.status.key.index != command.key.index)
      continue;
    if (task.status.attempt == command.attempt) return;
    busy = busy || task.status.state != RunState::Exited;
  }
  Task task;
  task.status.key = command.key;
  task.status.attempt = command.attempt;
  const auto job = deployment_.jobs.find(command.key.job);
  const auto refuse = [&](sailreel::ExitCause cause) {
    task.status.state = RunState::Exited;
    task.status.cause = cause;
  };
  if (job != deployment_.jobs.end()) task.spec = job->second.spec;
  Resources total = used();
  total += task.spec.need;
  if (job == deployment_.jobs.end())
    refuse(sailreel::ExitCause::Unknown);
  else if (busy)
    refuse(sailreel::ExitCause::Busy);
  else if (!total.fits_in(deployment_.plan.type.size))
    refuse(sailreel::ExitCause::NoRoom);
  else {
    const auto [image, is_new] = images_.try_emplace(
        task.spec.image, deployment_.now() + sailreel::ms(task.spec.image_gb /
                                                          deployment_.plan.type.fetch_gb_per_s));
    task.fetched_at = image->second;
  }
  tasks_.push_back(std::move(task));
  changed();
}

}  // namespace review
