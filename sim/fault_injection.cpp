// Fault injection of the simulated region, and the seeded plans of jobs and faults.
#include <cmath>

#include "sim/simulated_region.hpp"

namespace sailreel::sim {
namespace {

// Seeded plans draw the values of both enums by number, so moving or inserting an entry changes
// every plan.
enum class SingleFault : std::uint32_t {
  KillController,
  KillAllControllers,
  CutControllerFromAll,
  CutControllerFromKvStore,
  CutControllerFromWorkers,
  RejectKvRequests,
  KvStoreOutage,
  IsolateController,
  KillMachine,
  HangMachine,
  BlockInbound,
  PreemptMachines,
  CutMachine,
  CutMachineAgain,  // the same as CutMachine, which is thus drawn twice as often as the others
  CutZone,
  FreezeController
};
constexpr std::uint32_t kSingleFaultCount = 16;

enum class OverlappingFault : std::uint32_t {
  IsolateLeader,
  RejectKvRequests,
  KvStoreOutage,
  KillLeader,
  KillAllControllers,
  LoseWriteResponses,
  DelayWrites,
  KeepHeartbeatsForNextLeader,
  DelayHeartbeats,
  BlockOutbound,
  BlockInbound,
  SlowCommands,
  FreezeLeader,
  CutZone,
  RepeatedFailovers,
  CutLeaderFromKvStore,
  CutHalfOfMachines
};
constexpr std::uint32_t kOverlappingFaultCount = 17;

/// A machine that restarts is down for at least this time.
constexpr Time kMinRestartMs = 200;

bool affects_controllers(SingleFault kind) {
  return kind <= SingleFault::IsolateController || kind == SingleFault::FreezeController;
}

}  // namespace

int SimulatedRegion::leader() const {
  int best = -1;
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i].controller && nodes_[i].controller->leading() &&
        (best < 0 || nodes_[i].controller->epoch() >
                         nodes_[static_cast<std::size_t>(best)].controller->epoch()))
      best = static_cast<int>(i);
  return best;
}

std::vector<std::string> SimulatedRegion::machines_up() const {
  std::vector<std::string> out;
  for (const auto& [name, worker] : workers_)
    if (worker.alive) out.push_back(name);
  return out;
}

void SimulatedRegion::kill(std::size_t node, Time for_ms) {
  ControllerHost& host = nodes_[node];
  if (!host.controller) return;
  host.controller.reset();
  host.frozen_until = 0;
  ++host.incarnation;
  for (std::size_t other = 0; other < nodes_.size(); ++other) {
    if (other == node) continue;
    if (const auto peer = peer_index(other, node))
      transmit(host.name, nodes_[other].name,
               [this, other, peer = *peer] { feed(other, PeerDisconnected{peer}); });
  }
  schedule(now_ + for_ms, [this, node] {
    if (!nodes_[node].controller) start_node(node);
  });
}

void SimulatedRegion::upgrade(std::size_t node, Time for_ms) {
  nodes_[node].upgraded = true;
  kill(node, for_ms);
}

void SimulatedRegion::lower_store_limits() {
  kv_store_.value_limit = static_cast<std::size_t>(plan_.lowered_value_kb * 1024);
  kv_store_.ops_limit = plan_.lowered_txn_ops;
  kv_store_.limit_rates(settings_[0].store_limits.rps, plan_.lowered_write_rps);
}

void SimulatedRegion::cut(const std::string& host_a, const std::string& host_b, Time for_ms,
                          bool hold) {
  cuts_.cut(host_a, host_b, {now_ + for_ms, hold});
}

void SimulatedRegion::cut_zone(const std::string& zone, Time for_ms, bool hold) {
  cuts_.cut_zone(zone, {now_ + for_ms, hold});
}

void SimulatedRegion::cut_machines(double share, Time for_ms, bool hold) {
  for (const std::string& machine : machines_up()) {
    if (random_(1'000) >= share * 1'000) continue;
    cut_machine(machine, for_ms, hold);
  }
}

void SimulatedRegion::cut_machine(const std::string& machine, Time for_ms, bool hold) {
  for (const ControllerHost& host : nodes_) cut(host.name, machine, for_ms, hold);
}

std::string SimulatedRegion::zone_of(const std::string& host) const {
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i].name == host) return settings_[i].zone;
  const auto it = workers_.find(host);
  return it == workers_.end() ? std::string() : it->second.machine.zone;
}

void SimulatedRegion::freeze(std::size_t node, Time for_ms) {
  nodes_[node].frozen_until = now_ + for_ms;
}

void SimulatedRegion::reject_kv_requests(std::size_t node, Time for_ms) {
  nodes_[node].kv_rejected_until = now_ + for_ms;
}

void SimulatedRegion::kv_store_outage(Time for_ms) {
  kv_store_.outage = true;
  schedule(now_ + for_ms, [this] { kv_store_.end_outage(now_); });
}

void SimulatedRegion::kill_machine(const std::string& name) {
  Worker& worker = workers_[name];
  if (!worker.alive) return;
  worker.alive = false;
  for (const auto& [key, attempts] : worker.tasks)
    for (const TaskAttempt& task : attempts)
      if (task.present) task_ended(task.status.key, name, false);
}

void SimulatedRegion::restart_machine(const std::string& name, Time for_ms) {
  Worker& ended = workers_[name];
  if (!ended.alive) return;
  kill_machine(name);
  schedule(now_ + std::max(for_ms, kMinRestartMs), [this, name, boots = ended.boots] {
    Worker& worker = workers_[name];
    const auto listed = cloud_.machines.find(name);
    if (worker.boots != boots || listed == cloud_.machines.end()) return;
    Worker restarted;
    restarted.machine = worker.machine;
    restarted.boots = boots + 1;
    restarted.node = random_(node_count());
    restarted.clock_rate = worker.clock_rate;
    restarted.last_accepted_sent_at = now_;
    // Each heartbeat has a connection of its own, which isn't taken for that of an earlier one.
    restarted.heartbeat_number = worker.heartbeat_number;
    restarted.images = worker.images;
    restarted.done = worker.done;
    worker = std::move(restarted);
    worker_tick(name, worker.boots);
  });
}

void SimulatedRegion::hang_machine(const std::string& name, Time for_ms) {
  Worker& hung = workers_[name];
  hung.hang_until = now_ + for_ms;
  // Once the lease has expired, counted from the last heartbeat that got a response, the tasks of a
  // machine that hangs count as ended: the worker ends them before it does anything else.
  const double lease = settings_[0].workers.lease_s * 1000;
  schedule(hung.last_accepted_sent_at + static_cast<Time>(std::ceil(lease / hung.clock_rate)) + 1,
           [this, name, until = hung.hang_until, boots = hung.boots] {
             Worker& worker = workers_[name];
             if (!worker.alive || worker.boots != boots || now_ >= until) return;
             for (auto& [key, attempts] : worker.tasks)
               for (TaskAttempt& task : attempts) {
                 if (task.present) task_ended(task.status.key, name, false);
                 task.present = false;
               }
           });
}

void SimulatedRegion::block_inbound(const std::string& machine, Time for_ms) {
  workers_[machine].inbound_blocked_until = now_ + for_ms;
}

void SimulatedRegion::block_outbound(const std::string& machine, Time for_ms) {
  workers_[machine].outbound_blocked_until = now_ + for_ms;
}

void SimulatedRegion::isolate(std::size_t node, Time for_ms, bool hold) {
  cut(nodes_[node].name, kKvStoreHost, for_ms, hold);
  cut_peers(node, for_ms, hold);
}

void SimulatedRegion::cut_peers(std::size_t node, Time for_ms, bool hold) {
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (i != node) cut(nodes_[node].name, nodes_[i].name, for_ms, hold);
}

void SimulatedRegion::lose_write_responses(double share, Time for_ms, bool at_once) {
  (at_once ? lost_write_responses_ : delayed_writes_) = {share, now_ + for_ms};
}

void SimulatedRegion::keep_heartbeats_for_next_leader(double share, Time for_ms) {
  kept_for_next_leader_ = {share, now_ + for_ms};
}

void SimulatedRegion::delay_heartbeats(double share, Time for_ms) {
  delayed_heartbeats_ = {share, now_ + for_ms};
}

void SimulatedRegion::slow_commands(Time for_ms) { slow_commands_ = {0.5, now_ + for_ms}; }

void SimulatedRegion::copy_commands(double share, Time for_ms) {
  copied_commands_ = {share, now_ + for_ms};
}

void SimulatedRegion::delay_heartbeat_responses(double share, Time for_ms) {
  delayed_responses_ = {share, now_ + for_ms};
}

void SimulatedRegion::delay_cloud_requests(double share, Time for_ms) {
  delayed_cloud_requests_ = {share, now_ + for_ms};
}

void SimulatedRegion::cancel_on_completion(double share, Time for_ms) {
  cancel_on_completion_ = {share, now_ + for_ms};
}

void SimulatedRegion::poll_intensively(Time for_ms) { poll_intensively_until_ = now_ + for_ms; }

void SimulatedRegion::send_unusual_requests(Time for_ms) { send_unusual_request(now_ + for_ms); }

void SimulatedRegion::cancel_running_jobs(std::size_t count, Time hang_ms) {
  struct RunningTask {
    std::size_t user;
    std::string machine;
  };
  std::vector<RunningTask> running;
  for (const auto& [name, worker] : workers_)
    for (const auto& [key, attempts] : worker.tasks)
      if (worker.alive && user_by_job_.contains(key.job))
        running.push_back({user_by_job_.at(key.job), name});
  std::set<std::size_t> chosen;
  for (std::size_t attempt = 0; attempt < 4 * count && chosen.size() < count && !running.empty();
       ++attempt) {
    const auto& [user, machine] = running[random_(static_cast<std::uint32_t>(running.size()))];
    if (!chosen.insert(user).second) continue;
    schedule(now_ + random_(200), [this, user = user] { cancel_job_of(user); });
    if (hang_ms > 0 && chosen.size() <= 8) hang_machine(machine, hang_ms);
  }
}

void SimulatedRegion::preempt_machine(const std::string& name, Time in_ms) {
  workers_[name].preemption_at = now_ + in_ms;
  schedule(now_ + in_ms, [this, name] {
    cloud_.machines.erase(name);
    kill_machine(name);
  });
}

void SimulatedRegion::plan_jobs() {
  std::set<std::string> ids;
  for (std::uint32_t job_index = 0; job_index < plan_.jobs; ++job_index) {
    JobSpec spec;
    // IDs are unique and in random order, so that no code can rely on ascending ones.
    do spec.id = "job-" + std::to_string(100'000 + random_(900'000));
    while (!ids.insert(spec.id).second);
    spec.job_class = job_index % 3 == 0 ? "batch" : "serve";
    spec.team = random_(3) == 0 ? "blue" : "red";
    spec.kind = job_index % 3 == 0 ? JobKind::Array : JobKind::Service;
    spec.priority = spec.kind == JobKind::Array ? Priority::Low : static_cast<Priority>(random_(2));
    spec.tasks = spec.kind == JobKind::Array ? 1 + random_(8) : 1 + random_(2);
    if (plan_.scale > 1) spec.tasks *= 4;
    spec.need = {2, 1, 10};
    spec.image = "img-" + std::to_string(random_(4));
    spec.image_gb = 10;
    spec.spot = spec.kind == JobKind::Array;
    spec.spread = spec.kind == JobKind::Service && random_(2) == 0;
    spec.one_zone = !spec.spread && random_(4) == 0;
    if (random_(8) == 0 && !spec.spread) spec.zone = random_(2) == 0 ? "za" : "zb";
    spec.estimate_s = spec.kind == JobKind::Array ? 5 + random_(20) : 0;
    if (random_(2) == 0 && spec.kind == JobKind::Array) {
      spec.checkpoint_s = 5;
      spec.save_s = 1;
    }
    if (plan_.gangs && job_index % 3 == 1) make_gang(spec);
    const Time when = job_index < plan_.jobs / 3
                          ? 500 + random_(2000)
                          : 5'000 + random_(static_cast<std::uint32_t>(plan_.length * 6 / 10));
    const bool cancelled = spec.kind == JobKind::Service || random_(6) == 0;
    const Time cancel_at = cancelled ? when + 10'000 + random_(60'000) : 0;
    schedule(when, [this, spec, cancel_at] { submit(spec, cancel_at); });
  }
}

void SimulatedRegion::make_gang(JobSpec& spec) {
  spec.kind = JobKind::Gang;
  spec.job_class = "gang";
  spec.priority = static_cast<Priority>(random_(4));
  spec.tasks = 2 + random_(5);
  spec.need = {2, random_(4) == 0 ? 1.0 : 0.0, 6};
  spec.estimate_s = 5 + random_(20);
  spec.image_gb = 1;
  spec.one_zone = random_(2) == 0;
  spec.spread = !spec.one_zone && spec.zone.empty() && random_(4) == 0;
  spec.spot = random_(2) == 0;
  if (random_(3) == 0) return;
  spec.checkpoint_s = 4;
  spec.save_s = 1;
}

// In operation, rules were broken where faults overlapped. Each simulation therefore has four
// combinations of two or three faults that begin within 2.5 s of each other, while users poll
// intensively and cancel jobs.
void SimulatedRegion::plan_overlapping_faults() {
  const Time span = plan_.faults_until - plan_.faults_from;
  schedule(plan_.faults_from, [this, span] {
    poll_intensively(span);
    send_unusual_requests(span);
    cancel_on_completion(0.3, span);
  });
  constexpr int kCombinations = 4;
  for (int n = 0; n < kCombinations; ++n) {
    const Time when = plan_.faults_from + n * span / kCombinations + random_(4'000);
    const std::uint32_t faults = 2 + random_(2);
    for (std::uint32_t k = 0; k < faults; ++k)
      schedule(when + random_(2'500),
               [this] { inject_overlapping_fault(random_(kOverlappingFaultCount)); });
    schedule(when + random_(2'500),
             [this] { cancel_running_jobs(4, random_(3) == 0 ? 2'000 + random_(12'000) : 0); });
  }
  schedule(plan_.faults_until + ms(2 * plan_.lease_s), [this] { faults_ended(); });
}

void SimulatedRegion::inject_overlapping_fault(std::uint32_t kind) {
  const int leader_node = leader();
  const std::size_t target = leader_node >= 0 ? static_cast<std::size_t>(leader_node) : random_(3);
  const auto up = machines_up();
  const std::string machine = up.empty() ? "" : up[random_(static_cast<std::uint32_t>(up.size()))];
  const Time lease = ms(plan_.lease_s);
  const Time duration_ms = lease / 2 + random_(static_cast<std::uint32_t>(lease));
  const bool hold = random_(2) == 0;
  switch (static_cast<OverlappingFault>(kind)) {
    case OverlappingFault::IsolateLeader:
      return isolate(target, duration_ms, hold);
    case OverlappingFault::RejectKvRequests:
      return reject_kv_requests(target, duration_ms);
    case OverlappingFault::KvStoreOutage:
      return kv_store_outage(duration_ms);
    case OverlappingFault::KillLeader:
      return kill(target, random_(2) == 0 ? 300 : 6'000);
    case OverlappingFault::KillAllControllers:  // one of them restarts within a second
      for (std::size_t node = 0; node < 3; ++node) kill(node, node == target ? 500 : 8'000);
      return;
    case OverlappingFault::LoseWriteResponses:
      return lose_write_responses(0.4, duration_ms, true);
    case OverlappingFault::DelayWrites:
      return lose_write_responses(0.3, duration_ms, false);
    case OverlappingFault::KeepHeartbeatsForNextLeader:
      return keep_heartbeats_for_next_leader(0.3, duration_ms);
    case OverlappingFault::DelayHeartbeats:
      return delay_heartbeats(0.3, duration_ms);
    case OverlappingFault::BlockOutbound:
      if (!machine.empty()) block_outbound(machine, 2 * duration_ms);
      return;
    case OverlappingFault::BlockInbound:
      if (!machine.empty()) block_inbound(machine, 2 * duration_ms);
      return;
    case OverlappingFault::SlowCommands:
      return slow_commands(duration_ms);
    case OverlappingFault::FreezeLeader:
      return freeze(target, duration_ms);
    case OverlappingFault::CutZone:
      return cut_zone(random_(2) == 0 ? "za" : "zb", duration_ms, hold);
    case OverlappingFault::RepeatedFailovers:
      for (int n = 0; n < 5; ++n)
        schedule(now_ + Time{3'000} * n, [this] {
          if (const int next = leader(); next >= 0) kill(static_cast<std::size_t>(next), 700);
        });
      return;
    case OverlappingFault::CutLeaderFromKvStore:
      return cut(nodes_[target].name, kKvStoreHost, duration_ms, hold);
    case OverlappingFault::CutHalfOfMachines:  // longer than the lease; messages are held
      return cut_machines(0.5, lease + duration_ms / 2, true);
  }
}

void SimulatedRegion::plan_faults() {
  const auto span = static_cast<std::uint32_t>(plan_.faults_until - plan_.faults_from);
  const std::uint32_t count = 6 + random_(6);
  for (std::uint32_t n = 0; n < count; ++n) {
    const Time when = plan_.faults_from + random_(span);
    const std::uint32_t kind = random_(kSingleFaultCount);
    schedule(when, [this, kind] { inject_single_fault(kind); });
  }
}

void SimulatedRegion::inject_single_fault(std::uint32_t kind) {
  const auto node = random_(3);
  const int leader_node = leader();
  const std::size_t target =
      leader_node >= 0 && random_(2) == 0 ? static_cast<std::size_t>(leader_node) : node;
  const auto up = machines_up();
  const std::string machine = up.empty() ? "" : up[random_(static_cast<std::uint32_t>(up.size()))];
  const Time span_ms = 2'000 + random_(25'000);
  const bool hold = random_(2) == 0;
  if (affects_controllers(static_cast<SingleFault>(kind)))
    inject_controller_fault(kind, target, span_ms, hold);
  else
    inject_machine_fault(kind, machine, span_ms, hold);
}

void SimulatedRegion::inject_controller_fault(std::uint32_t kind, std::size_t target, Time span_ms,
                                              bool hold) {
  const std::string name = nodes_[target].name;
  const auto cut_from_workers = [&] {
    for (const auto& machine : machines_up()) cut(name, machine, span_ms, hold);
  };
  switch (static_cast<SingleFault>(kind)) {
    case SingleFault::KillController:
      return kill(target, random_(3) == 0 ? 200 : 6'000);
    case SingleFault::KillAllControllers:
      for (std::size_t node = 0; node < 3; ++node) kill(node, 6'000);
      return;
    case SingleFault::CutControllerFromAll:
      for (const char* other : {kKvStoreHost, kCloudHost, kUsersHost})
        cut(name, other, span_ms, hold);
      cut_peers(target, span_ms, hold);
      return cut_from_workers();
    case SingleFault::CutControllerFromKvStore:
      return cut(name, kKvStoreHost, span_ms, hold);
    case SingleFault::CutControllerFromWorkers:
      return cut_from_workers();
    case SingleFault::RejectKvRequests:
      return reject_kv_requests(target, span_ms);
    case SingleFault::KvStoreOutage:
      return kv_store_outage(5'000 + random_(12'000));
    case SingleFault::IsolateController:
      return isolate(target, span_ms, hold);
    default:
      return freeze(target, span_ms);
  }
}

void SimulatedRegion::inject_machine_fault(std::uint32_t kind, const std::string& machine,
                                           Time span_ms, bool hold) {
  if (static_cast<SingleFault>(kind) == SingleFault::CutZone)
    return cut_zone(random_(2) == 0 ? "za" : "zb", span_ms, hold);
  if (machine.empty()) return;
  switch (static_cast<SingleFault>(kind)) {
    case SingleFault::KillMachine:
      cloud_.machines.erase(machine);
      return kill_machine(machine);
    case SingleFault::HangMachine:
      return hang_machine(machine, span_ms);
    case SingleFault::BlockInbound:
      return block_inbound(machine, span_ms);
    case SingleFault::CutMachine:
    case SingleFault::CutMachineAgain:
      return cut_machine(machine, span_ms, hold);
    default:
      return preempt_machines(machine);
  }
}

// Preempts one machine; in large fleets, about as many at once as the plan's scale.
void SimulatedRegion::preempt_machines(const std::string& machine) {
  const auto up = machines_up();
  for (std::size_t k = 0; k < up.size(); k += std::max<std::size_t>(1, up.size() / plan_.scale))
    preempt_machine(k == 0 ? machine : up[k], 5'000);
}

}  // namespace sailreel::sim
