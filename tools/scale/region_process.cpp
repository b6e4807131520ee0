#include "scale/region_process.hpp"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>

#include "protocol/fake_server_codec.hpp"
#include "protocol/user_codec.hpp"
#include "scale/deployment.hpp"
#include "scale/process_stats.hpp"

namespace sailreel::scale {
namespace {

constexpr Time kClockStepMs = 2;
constexpr Time kSampleIntervalMs = 250;
constexpr Time kTimeoutCheckIntervalMs = 100;
constexpr Time kHeartbeatTimeoutMs = 4'000;
constexpr Time kUserTimeoutMs = 5'000;
/// Time from the start of the run to the first submission, in which the controllers elect a leader.
constexpr Time kFirstSubmissionMs = 3'000;
constexpr std::size_t kMaxUserConnections = 1'000;
constexpr std::size_t kMaxServiceConnections = 4'000;
constexpr std::size_t kMaxWorkerConnections = 16;
constexpr std::size_t kMaxServiceBodyBytes = std::size_t{256} * 1024;

HttpServer::Limits service_limits(std::size_t max_connections) {
  HttpServer::Limits limits;
  limits.max_connections = max_connections;
  limits.max_body_bytes = kMaxServiceBodyBytes;
  return limits;
}
constexpr std::size_t kMaxNamedViolations = 5;

TrafficCounts to_traffic_counts(const Traffic& traffic) {
  TrafficCounts out;
  out.set_messages_in(traffic.messages_in);
  out.set_messages_out(traffic.messages_out);
  out.set_bytes_in(traffic.bytes_in);
  out.set_bytes_out(traffic.bytes_out);
  return out;
}

sim::SimulationPlan simulation_plan(const Plan& plan, int region) {
  sim::SimulationPlan simulation;
  simulation.seed = plan.seed() * 1000 + static_cast<std::uint64_t>(region);
  simulation.length = static_cast<Time>(plan.seconds()) * 1000;
  simulation.jobs = 0;
  simulation.faults = false;
  simulation.loss = 0;
  simulation.late_heartbeat_copies = 0;
  simulation.over_sockets = true;
  simulation.heartbeat_interval_s = plan.fleet().report_s();
  simulation.lease_s = plan.fleet().lease_s();
  simulation.deployment = make_deployment(plan, region);
  simulation.cancel_s = simulation.deployment->controllers.front().workers.cancel_s;
  simulation.boot_ms = ms(plan.fleet().boot_s());
  return simulation;
}

}  // namespace

RegionProcess::RegionProcess(const Plan& plan, RegionOptions options)
    : plan_(plan),
      options_(std::move(options)),
      main_process_id_(getppid()),
      users_(loop_, kMaxUserConnections),
      kv_store_(std::make_unique<HttpServer>(
          loop_, kv_store_address(options_.region), service_limits(kMaxServiceConnections),
          [this](const ServerRequest& request) { serve_kv_store(request); })),
      cloud_(std::make_unique<HttpServer>(
          loop_, cloud_address(options_.region), service_limits(kMaxServiceConnections),
          [this](const ServerRequest& request) { serve_cloud(request); })),
      clock_timer_(loop_, [this] { advance(); }),
      sample_timer_(loop_, [this] { sample(); }),
      timeout_check_timer_(loop_, [this] { check_timeouts(); }) {
  sim::SimulationPlan simulation = simulation_plan(plan_, options_.region);
  simulation.make_controller = [this](std::size_t node, const Settings& settings, std::uint64_t) {
    return start_controller(node, settings);
  };
  region_ = std::make_unique<sim::SimulatedRegion>(simulation);
  workload_ = std::make_unique<Workload>(plan_, options_.region, *region_, kFirstSubmissionMs);
  region_->on_started = [this](const TaskKey& key) {
    workload_->task_started(key, region_->now());
  };
  schedule_faults();
}

RegionProcess::~RegionProcess() = default;

Time RegionProcess::elapsed() const { return EventLoop::now_ms() - options_.begin_ms; }

void RegionProcess::run() {
  clock_timer_.set(kClockStepMs);
  sample_timer_.set(std::max<Time>(0, kSampleIntervalMs - elapsed()));
  timeout_check_timer_.set(kTimeoutCheckIntervalMs);
  loop_.run();
}

std::unique_ptr<sim::SimulatedController> RegionProcess::start_controller(
    std::size_t node, const Settings& settings) {
  const std::string path_prefix = options_.directory + "/" + settings.name;
  std::ofstream(path_prefix + ".json") << settings_file_contents(settings);
  ChildOutput output;
  output.log_file = path_prefix + ".log";
  std::vector<std::string> arguments{options_.controller_program, "--config",
                                     path_prefix + ".json"};
  if (const std::string options = options_file_contents(plan_, options_.region); !options.empty()) {
    std::ofstream(path_prefix + ".options") << options;
    arguments.insert(arguments.end(), {"--options", path_prefix + ".options"});
  }
  auto process = std::make_unique<ChildProcess>(
      loop_, arguments, output, [this, node, name = settings.name](int status, int signal) {
        RegionMessage message;
        message.set_controller_ended(static_cast<std::uint32_t>(node));
        send_message(message);
        std::fprintf(stderr, "sailreel-scale: %s exited unexpectedly with status %d, signal %d\n",
                     name.c_str(), status, signal);
      });
  RegionMessage message;
  message.set_controller_started(static_cast<std::uint32_t>(process->pid()));
  controller_pids_[node] = process->pid();
  send_message(message);
  return std::make_unique<RemoteController>(*this, node, settings.listen, std::move(process));
}

RegionProcess::WorkerSockets& RegionProcess::worker_sockets(const std::string& machine) {
  WorkerSockets& sockets = workers_[machine];
  if (sockets.client) return sockets;
  sockets.client = std::make_unique<HttpClient>(loop_, kMaxWorkerConnections);
  const std::string address = region_->cloud().machines.at(machine).address;
  sockets.server =
      std::make_unique<HttpServer>(loop_, address, service_limits(kMaxWorkerConnections),
                                   [this, machine](const ServerRequest& request) {
                                     serve_worker(machine, *workers_.at(machine).server, request);
                                   });
  return sockets;
}

void RegionProcess::send_heartbeat(const std::string& machine, const std::string& address,
                                   const std::string& body,
                                   std::function<void(int, std::string)> done) {
  if (!region_->cloud().machines.contains(machine)) return;
  WorkerSockets& sockets = worker_sockets(machine);
  if (sockets.controller_address != address) sockets.client->close_idle(sockets.controller_address);
  sockets.controller_address = address;
  sockets.client->request(address, "POST", "/hello", body, kHeartbeatTimeoutMs, true,
                          [done = std::move(done)](int status, std::string_view response) {
                            done(status, std::string(response));
                          });
}

void RegionProcess::send_user_request(const std::string& address, const UserRequest& request,
                                      std::function<void(int, std::string)> done) {
  const std::string job = "/v1/jobs/" + request.id;
  const bool query = request.op == RequestOp::Query;
  const std::string path = request.op == RequestOp::Submit ? "/v1/jobs"
                           : query                         ? job
                                                           : job + "/withdraw";
  const std::string body = request.op == RequestOp::Submit ? request.body : query ? "" : "{}";
  users_.request(address, query ? "GET" : "POST", path, body, kUserTimeoutMs, true,
                 [done = std::move(done)](int status, std::string_view response) {
                   done(status, std::string(response));
                 });
}

void RegionProcess::response_received(std::size_t node, const Response& response) {
  region_->deliver_response(node, response);
  advance();
}

void RegionProcess::serve_kv_store(const ServerRequest& request) {
  const auto call = decode_kv_request(request.method, request.path, request.body);
  if (!call) return kv_store_->respond(request.connection, 400, encode_error("malformed"), 0);
  kv_writes_ += call->puts.size() + call->deletes.size();
  region_->kv_store().handle(
      *call, false, region_->now(),
      [this, call = *call, connection = request.connection](const KvResponse& reply) {
        const ServiceResponse response = encode_kv_response(call, reply);
        kv_store_->respond(connection, response.status, response.body, 0);
      });
}

void RegionProcess::serve_cloud(const ServerRequest& request) {
  const auto call = decode_cloud_request(request.method, request.path, request.body);
  if (!call) return cloud_->respond(request.connection, 400, encode_error("malformed"), 0);
  const ServiceResponse response =
      encode_cloud_response(*call, region_->cloud().handle(*call, region_->now()));
  cloud_->respond(request.connection, response.status, response.body, 0);
  advance();
}

void RegionProcess::serve_worker(const std::string& machine, HttpServer& server,
                                 const ServerRequest& request) {
  const std::uint64_t connection = request.connection;
  const auto respond = [&server, connection](int status, const Heartbeat& heartbeat) {
    server.respond(connection, status,
                   status == 400 ? encode_error("malformed") : encode_heartbeat(heartbeat), 0);
  };
  if (request.method == "GET" && request.path == "/inspect")
    region_->inspect(machine, respond);
  else if (request.method == "POST" && request.path == "/do")
    region_->send_command(machine, request.body, respond);
  else
    server.respond(connection, 404, encode_error("no such path"), 0);
  advance();
}

void RegionProcess::schedule_faults() {
  const std::string& region_name = plan_.region(options_.region).name();
  for (const Fault& fault : plan_.fault())
    if (fault.region() == region_name)
      region_->schedule(ms(fault.at_s()), [this, &fault] { inject(fault); });
}

void RegionProcess::inject(const Fault& fault) {
  const Time duration = ms(fault.for_s());
  switch (fault.kind()) {
    case Fault::CONTROLLER_KILLED:
      return region_->kill(fault.controller(), duration);
    case Fault::LEADER_KILLED:
      return region_->kill(busiest_controller(), duration);
    case Fault::STATE_SERVICE_DOWN:
      return region_->kv_store_outage(duration);
    case Fault::ZONE_WORKERS_GONE:
      return remove_zone_workers(fault.zone());
    case Fault::REGION_CUT:
      return;  // the main process, which owns the links, injects this fault
  }
}

std::size_t RegionProcess::busiest_controller() const {
  std::size_t busiest = 0;
  double max_cpu_s = -1;
  for (const auto& [node, pid] : controller_pids_) {
    const auto stats = read_process_stats(pid);
    if (!stats || stats->cpu_s <= max_cpu_s) continue;
    max_cpu_s = stats->cpu_s;
    busiest = node;
  }
  return busiest;
}

void RegionProcess::remove_zone_workers(const std::string& zone) {
  std::vector<std::string> removed_machines;
  for (const auto& [name, machine] : region_->cloud().machines)
    if (machine.zone == zone) removed_machines.push_back(name);
  for (const std::string& name : removed_machines) {
    region_->cloud().machines.erase(name);
    region_->kill_machine(name);
  }
}

void RegionProcess::advance() {
  if (advancing_) return;
  advancing_ = true;
  const Time now = elapsed();
  late_ms_max_ = std::max(late_ms_max_, now - region_->now() - kClockStepMs);
  if (now > region_->now()) region_->run_until(now);
  advancing_ = false;
  if (now >= static_cast<Time>(plan_.seconds()) * 1000) return finish();
  clock_timer_.set(kClockStepMs);
}

void RegionProcess::sample() {
  const Time now = elapsed();
  const Time sample_number = now / kSampleIntervalMs;
  sample_timer_.set((sample_number + 1) * kSampleIntervalMs - now);
  const auto workers = static_cast<std::uint32_t>(region_->machines_up().size());
  worker_seconds_ += workers * (static_cast<double>(kSampleIntervalMs) / 1000);
  RegionMessage message;
  Progress& progress = *message.mutable_progress();
  const sim::Checker& checker = region_->checker();
  progress.set_workers(workers);
  progress.set_tasks_running(checker.tasks_running());
  progress.set_starts(checker.starts());
  std::uint32_t violations = 0;
  for (const auto& [rule, cases] : checker.violations())
    violations += static_cast<std::uint32_t>(cases.size());
  progress.set_rules_broken(violations);
  progress.set_sample(static_cast<std::uint64_t>(sample_number));
  for (std::uint32_t team = 0; team < plan_.fleet().teams(); ++team)
    progress.add_team_gpus(checker.used_by(team_name(team)).gpus);
  send_message(message);
}

void RegionProcess::check_timeouts() {
  users_.close_timed_out();
  for (auto& [machine, sockets] : workers_) sockets.client->close_timed_out();
  timeout_check_timer_.set(kTimeoutCheckIntervalMs);
  // If the main process has ended, no process reads further messages. Resetting the region ends its
  // controllers.
  if (getppid() != main_process_id_) {
    region_.reset();
    std::exit(1);
  }
}

void RegionProcess::send_message(const RegionMessage& message) {
  const std::string bytes = frame_message(message);
  for (std::size_t sent = 0; sent < bytes.size();) {
    const ssize_t written = write(STDOUT_FILENO, bytes.data() + sent, bytes.size() - sent);
    if (written <= 0) return;
    sent += static_cast<std::size_t>(written);
  }
}

void RegionProcess::finish() {
  RegionMessage message;
  *message.mutable_result() = result();
  send_message(message);
  region_.reset();  // ends the controllers
  std::exit(0);
}

RegionResult RegionProcess::result() {
  RegionResult out;
  const sim::Checker& checker = region_->checker();
  out.set_region(plan_.region(options_.region).name());
  for (const auto& [rule, cases] : checker.violations()) {
    (*out.mutable_rules())[rule] = static_cast<std::uint32_t>(cases.size());
    for (std::size_t index = 0; index < std::min(cases.size(), kMaxNamedViolations); ++index)
      out.add_broken(rule + " " + cases[index]);
  }
  out.set_starts(checker.starts());
  out.set_jobs(checker.jobs());
  out.set_jobs_over(checker.jobs_over());
  out.set_reports(region_->heartbeats());
  out.set_worker_seconds(worker_seconds_);
  Traffic workers;
  for (const auto& [machine, sockets] : workers_) {
    workers += sockets.client->traffic();
    workers += sockets.server->traffic();
  }
  *out.mutable_workers() = to_traffic_counts(workers);
  *out.mutable_users() = to_traffic_counts(users_.traffic());
  *out.mutable_state() = to_traffic_counts(kv_store_->traffic());
  *out.mutable_cloud() = to_traffic_counts(cloud_->traffic());
  out.set_state_writes(kv_writes_);
  out.set_refused_writes(region_->kv_store().refused_writes);
  out.set_unanswered_submissions(region_->unanswered_submissions());
  for (const Time delay : region_->submission_delays())
    out.add_submission_ms(static_cast<std::uint32_t>(delay));
  for (const std::uint32_t wait : workload_->urgent_waits_ms()) out.add_urgent_ms(wait);
  out.set_urgent_waiting(workload_->urgent_waiting(region_->now(), kUserTimeoutMs));
  out.set_late_ms_max(static_cast<std::uint32_t>(std::max<Time>(0, late_ms_max_)));
  return out;
}

}  // namespace sailreel::scale
