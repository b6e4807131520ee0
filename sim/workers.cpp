// The simulated workers, which follow the published worker protocol.
#include <algorithm>
#include <cmath>

#include "protocol/fake_server_codec.hpp"
#include "protocol/worker_codec.hpp"
#include "sim/simulated_region.hpp"

namespace sailreel::sim {
namespace {

constexpr Time kHeartbeatTimeoutMs = 4'000, kWorkerTickMs = 100;

}  // namespace

Heartbeat SimulatedRegion::make_heartbeat(Worker& worker) {
  Heartbeat heartbeat;
  heartbeat.machine = worker.machine.name;
  heartbeat.address = worker.machine.address;
  heartbeat.type = worker.machine.type;
  heartbeat.zone = worker.machine.zone;
  heartbeat.spot = worker.machine.spot;
  heartbeat.incarnation = worker.incarnation;
  heartbeat.seq = ++worker.seq;
  heartbeat.fencing_token = worker.fencing_token;
  if (worker.preemption_at > 0)
    heartbeat.reclaim_in_s =
        static_cast<double>(std::max<Time>(0, worker.preemption_at - now_)) / 1000;
  for (const auto& [key, attempts] : worker.tasks)
    for (const TaskAttempt& task : attempts) heartbeat.tasks.push_back(task.status);
  return heartbeat;
}

void SimulatedRegion::task_ended(const TaskKey& key, const std::string& machine, bool completed) {
  checker_.task_ended(key, machine, completed);
  if (on_ended) on_ended(key, machine);
}

void SimulatedRegion::expire_lease(Worker& worker) {
  for (const auto& [key, attempts] : worker.tasks)
    for (const TaskAttempt& task : attempts)
      if (task.present) task_ended(task.status.key, worker.machine.name, false);
  worker.tasks.clear();
  ++worker.incarnation;
  worker.last_accepted_sent_at = now_;
  worker.heartbeat_in_flight = false;
  worker.status_changed = true;
}

void SimulatedRegion::worker_tick(const std::string& name, std::uint64_t boots) {
  const auto found = workers_.find(name);
  if (found == workers_.end() || !found->second.alive || found->second.boots != boots) return;
  Worker& worker = found->second;
  if (now_ < worker.hang_until) {
    schedule(worker.hang_until, [this, name, boots] { worker_tick(name, boots); });
    return;
  }
  const double lease = settings_[0].workers.lease_s * 1000;
  if (static_cast<double>(now_ - worker.last_accepted_sent_at) * worker.clock_rate > lease)
    expire_lease(worker);
  for (auto& [key, attempts] : worker.tasks)
    for (TaskAttempt& task : attempts) advance(worker, task);
  if (!worker.heartbeat_in_flight &&
      (now_ >= worker.next_heartbeat ||
       (worker.status_changed && now_ - worker.last_heartbeat >= 500)))
    send_heartbeat(worker);
  schedule(now_ + kWorkerTickMs, [this, name, boots] { worker_tick(name, boots); });
}

void SimulatedRegion::advance(Worker& worker, TaskAttempt& task) {
  TaskStatus& status = task.status;
  const User* user = user_of(status.key.job);
  if (is_gang(user)) return advance_gang(worker, task, *user);
  if (status.state == RunState::Fetching && now_ >= task.image_ready_at) begin_task(worker, task);
  const bool fails = failing_jobs_.contains(status.key.job) ||
                     faulty_machines_.contains(worker.machine.name) ||
                     failing_once_.contains(task_name(status.key));
  if (status.state == RunState::Running && now_ >= task.image_ready_at + 300 && fails) {
    failing_once_.erase(task_name(status.key));
    end_task(worker, task, ExitCause::Error);
  } else if (status.state == RunState::Running && task.completes_at > 0 &&
             now_ >= task.completes_at) {
    worker.done.insert(task_name(status.key));
    end_task(worker, task, ExitCause::Done);
    record_completion(status.key);
    if (on_completed) on_completed(status.key, worker.machine.name);
  }
  if (status.state == RunState::Saving && now_ >= task.save_done_at) {
    status.saved = true;
    end_task(worker, task, ExitCause::Stopped);
  }
}

void SimulatedRegion::begin_task(Worker& worker, TaskAttempt& task) {
  TaskStatus& status = task.status;
  status.state = RunState::Running;
  task.present = true;
  worker.status_changed = true;
  checker_.task_started(
      status.key,
      {worker.machine.name, worker.machine.type, worker.machine.zone, worker.machine.spot}, now_);
  if (on_started) on_started(status.key);
  const User* user = user_of(status.key.job);
  if (user == nullptr) return;
  worker.images.insert(user->spec.image);
  if (user->spec.kind == JobKind::Array)
    task.completes_at =
        worker.done.contains(task_name(status.key))
            ? now_
            : now_ + static_cast<Time>(user->spec.estimate_s * (500 + random_(1000)));
  if (task.completes_at > 0 && affects_next(cancel_on_completion_))
    schedule(task.completes_at - 50 + random_(200),
             [this, id = user->spec.id] { cancel_job_of(user_by_job_.at(id)); });
}

void SimulatedRegion::end_task(Worker& worker, TaskAttempt& task, ExitCause cause) {
  if (task.present) task_ended(task.status.key, worker.machine.name, cause == ExitCause::Done);
  task.present = false;
  task.status.state = RunState::Exited;
  task.status.cause = cause;
  worker.status_changed = true;
}

void SimulatedRegion::send_heartbeat(Worker& worker) {
  const std::string name = worker.machine.name;
  const Heartbeat heartbeat = make_heartbeat(worker);
  const Time sent_at = now_;
  const std::uint64_t heartbeat_number = ++worker.heartbeat_number,
                      incarnation = worker.incarnation;
  worker.heartbeat_in_flight = true;
  worker.status_changed = false;
  worker.last_heartbeat = now_;
  const Time interval = ms(settings_[0].workers.heartbeat_interval_s);
  worker.next_heartbeat = now_ + interval * 3 / 4 +
                          static_cast<Time>(random_(static_cast<std::uint32_t>(interval / 2)));
  const std::size_t node = worker.node;
  const std::uint64_t call = next_call_++;
  const auto finish = [this, name, heartbeat_number, sent_at, incarnation](
                          int status, const std::string& body) {
    const auto it = workers_.find(name);
    if (it == workers_.end() || !it->second.alive || now_ < it->second.inbound_blocked_until)
      return;
    if (now_ < it->second.outbound_blocked_until) return;
    handle_heartbeat_response(it->second, heartbeat_number, sent_at, incarnation, status, body);
  };
  response_handlers_[call] = [this, node, name, sent_at, finish](int status,
                                                                 const std::string& body) {
    const Time deadline = sent_at + kHeartbeatTimeoutMs;
    if (deadline - 1 > now_ && affects_next(delayed_responses_)) {
      const Time longest = deadline - 1 - now_;
      const Time delay = random_(2) == 0
                             ? longest
                             : static_cast<Time>(random_(static_cast<std::uint32_t>(longest)));
      return schedule(now_ + delay, [this, name, deadline, finish, status, body] {
        receive_late_response(name, deadline, [finish, status, body] { finish(status, body); });
      });
    }
    transmit(nodes_[node].name, name, [finish, status, body] { finish(status, body); });
    copy_command([finish, status, body] { finish(status, body); });
  };
  const std::string raw = encode_heartbeat(heartbeat);
  const auto deliver = [this, node, raw](RequestSource source) {
    ++heartbeats_;
    if (auto decoded = decode_heartbeat(raw)) feed(node, HeartbeatReceived{source, *decoded, raw});
  };
  deliver_heartbeat(worker, [this, node, deliver, call, finish] {
    if (!nodes_[node].controller) return finish(0, "");
    deliver({RequestSource::Kind::Local, call, 0});
  });
  if (random_(1000) < plan_.late_heartbeat_copies * 1000)
    schedule(now_ + 1000 + random_(40'000), [this, name, node, deliver] {
      transmit(name, nodes_[node].name, [deliver] { deliver({}); });
    });
  if (affects_next(kept_for_next_leader_)) kept_heartbeats_.push_back(raw);
  if (affects_next(delayed_heartbeats_))
    schedule(now_ + 2'000 + random_(static_cast<std::uint32_t>(2'500 * plan_.lease_s)),
             [this, raw] { deliver_to_all_controllers(raw); });
  schedule(now_ + kHeartbeatTimeoutMs, [this, name, call, heartbeat_number, sent_at, incarnation] {
    response_handlers_.erase(call);
    const auto it = workers_.find(name);
    if (it != workers_.end() && it->second.alive)
      handle_heartbeat_response(it->second, heartbeat_number, sent_at, incarnation, 0, "");
  });
}

void SimulatedRegion::receive_late_response(const std::string& machine, Time deadline,
                                            std::function<void()> receive) {
  ++late_responses_;
  const auto worker = workers_.find(machine);
  const Time hangs_until = worker == workers_.end() ? 0 : worker->second.hang_until;
  if (hangs_until > now_ && hangs_until < deadline)
    schedule(hangs_until, std::move(receive));
  else
    receive();
}

// A cut holds messages that are sent over an open connection. A connection that is only attempted
// during the cut fails and doesn't complete later. Therefore only the heartbeat that was sent over
// the connection from before the cut arrives after it, and none of those that the worker sends to
// the other controllers in the meantime.
void SimulatedRegion::deliver_heartbeat(Worker& worker, std::function<void()> arrive) {
  const std::string& node = nodes_[worker.node].name;
  const bool is_cut = now_ < cuts_.between(worker.machine.name, node).until;
  if (now_ < worker.outbound_blocked_until || (is_cut && !worker.connected)) return;
  transmit(worker.machine.name, node, std::move(arrive));
}

void SimulatedRegion::handle_heartbeat_response(Worker& worker, std::uint64_t heartbeat_number,
                                                Time sent_at, std::uint64_t incarnation, int status,
                                                const std::string& body) {
  if (!worker.heartbeat_in_flight || worker.heartbeat_number != heartbeat_number) return;
  worker.heartbeat_in_flight = false;
  worker.connected = status == 200;
  if (now_ < worker.hang_until) return;
  if (status == 200) {
    const auto batch = decode_commands(body);
    if (!batch || incarnation != worker.incarnation ||
        batch->fencing_token < worker.fencing_token || batch->fencing_token == 0)
      return;
    if (batch->fencing_token > worker.fencing_token) worker.status_changed = true;
    worker.fencing_token = batch->fencing_token;
    worker.last_accepted_sent_at = std::max(worker.last_accepted_sent_at, sent_at);
    for (const Command& command : batch->commands) execute(worker, command);
    return;
  }
  if (status == 421) {
    const std::size_t to = node_index(decode_redirect(body));
    if (to < nodes_.size() && to != worker.node) {
      worker.node = to;
      worker.next_heartbeat = now_ + random_(500);
      return;
    }
  }
  worker.node = (worker.node + 1) % nodes_.size();
  worker.next_heartbeat = now_ + 1000;
}

void SimulatedRegion::stop_task(Worker& worker, TaskAttempt& task, const Command& command) {
  if (task.status.state == RunState::Exited) return;
  const User* user = user_of(command.key.job);
  if (is_gang(user)) return stop_gang_task(task, *user, command.grace_s, worker);
  const bool saves = task.status.state == RunState::Running && user != nullptr &&
                     user->spec.checkpoint_s > 0 && command.grace_s >= user->spec.save_s;
  if (saves) {
    task.status.state = RunState::Saving;
    task.save_done_at = now_ + ms(user->spec.save_s);
  } else if (task.status.state != RunState::Saving || command.grace_s <= 0) {
    if (task.present) task_ended(command.key, worker.machine.name, false);
    task.present = false;
    task.status.state = RunState::Exited;
    task.status.cause = ExitCause::Stopped;
  }
  worker.status_changed = true;
}

void SimulatedRegion::start_task(Worker& worker, const Command& command) {
  auto& attempts = worker.tasks[command.key];
  TaskAttempt task;
  task.status.key = command.key;
  task.status.attempt = command.attempt;
  const User* user = user_of(command.key.job);
  const auto reject = [&](ExitCause cause) {
    task.status.state = RunState::Exited;
    task.status.cause = cause;
  };
  Resources used;
  for (const auto& [key, others] : worker.tasks)
    for (const TaskAttempt& other : others)
      if (other.status.state != RunState::Exited)
        if (const User* owner = user_of(key.job)) used += owner->spec.need;
  const bool busy = std::any_of(attempts.begin(), attempts.end(), [](const TaskAttempt& other) {
    return other.status.state != RunState::Exited;
  });
  if (user == nullptr) {
    reject(ExitCause::Unknown);
  } else if (busy) {
    reject(ExitCause::Busy);
  } else if (used += user->spec.need; !used.fits_in(cloud_.types.front().size)) {
    reject(ExitCause::NoRoom);
  } else {
    checker_.start_accepted(command.key.job);
    task.image_ready_at = worker.images.contains(user->spec.image)
                              ? now_ + 50
                              : now_ + static_cast<Time>(user->spec.image_gb * 200);
  }
  attempts.push_back(task);
  worker.status_changed = true;
}

void SimulatedRegion::execute(Worker& worker, const Command& command) {
  if (on_command) on_command(worker.machine.name, command);
  auto& attempts = worker.tasks[command.key];
  const auto attempt = std::find_if(attempts.begin(), attempts.end(), [&](const TaskAttempt& task) {
    return task.status.attempt == command.attempt;
  });
  switch (command.op) {
    case Command::Op::Start:
      if (attempt == attempts.end()) start_task(worker, command);
      return;
    case Command::Op::Stop:
      if (attempt != attempts.end()) stop_task(worker, *attempt, command);
      return;
    case Command::Op::Forget:
      if (attempt != attempts.end() && attempt->status.state == RunState::Exited) {
        attempts.erase(attempt);
        worker.status_changed = true;
      }
      return;
  }
}

// Carries a direct command or its response. While `slow_commands` is in effect, half of them are
// delayed by up to six seconds.
void SimulatedRegion::transmit_command(const std::string& from, const std::string& to,
                                       std::function<void()> arrive) {
  if (affects_next(slow_commands_))
    schedule(now_ + random_(6'000), std::move(arrive));
  else
    transmit(from, to, std::move(arrive));
}

void SimulatedRegion::copy_command(std::function<void()> arrive) {
  if (!affects_next(copied_commands_)) return;
  constexpr double kMaxDelayLeases = 2.5, kSteps = 1'000;
  const double longest_ms = kMaxDelayLeases * static_cast<double>(ms(plan_.lease_s));
  const double part = random_(static_cast<std::uint32_t>(kSteps)) / kSteps;
  schedule(now_ + static_cast<Time>(std::pow(longest_ms, part)),
           [this, arrive = std::move(arrive)] {
             ++command_copies_;
             arrive();
           });
}

void SimulatedRegion::send_direct_command(std::size_t node, std::uint64_t call,
                                          const std::string& address, const std::string& body) {
  const auto known = machine_by_address_.find(address);
  if (known == machine_by_address_.end()) return;
  const std::string name = known->second;
  const std::uint64_t incarnation = nodes_[node].incarnation;
  const auto execute = [=, this] { execute_direct_command(node, call, name, body, incarnation); };
  transmit_command(nodes_[node].name, name, execute);
  copy_command([this, name, body] { send_command(name, body, [](int, const Heartbeat&) {}); });
}

void SimulatedRegion::execute_direct_command(std::size_t node, std::uint64_t call,
                                             const std::string& name, const std::string& body,
                                             std::uint64_t incarnation) {
  send_command(name, body, [=, this](int status, const Heartbeat& heartbeat) {
    const auto response = [this, node, call, incarnation, status, heartbeat] {
      if (nodes_[node].incarnation != incarnation) return;
      nodes_[node].direct_calls.erase(call);
      feed(node, WorkerResponseReceived{call, status, heartbeat});
    };
    transmit_command(name, nodes_[node].name, response);
  });
}

void SimulatedRegion::send_command(const std::string& machine, const std::string& body,
                                   const std::function<void(int, const Heartbeat&)>& then) {
  const auto it = workers_.find(machine);
  if (it == workers_.end() || !it->second.alive || now_ < it->second.inbound_blocked_until) return;
  Worker& worker = it->second;
  if (now_ < worker.hang_until)  // a hung worker executes the command once it recovers
    return schedule(worker.hang_until + 5, [=, this] { send_command(machine, body, then); });
  int status = 400;
  const auto batch = decode_commands(body);
  if (batch && batch->incarnation) {
    status =
        batch->fencing_token < worker.fencing_token || *batch->incarnation != worker.incarnation
            ? 409
            : 200;
    if (status == 200) {
      if (batch->fencing_token > worker.fencing_token) worker.status_changed = true;
      worker.fencing_token = batch->fencing_token;
      for (const Command& command : batch->commands) execute(worker, command);
    }
  }
  then(status, make_heartbeat(worker));
}

void SimulatedRegion::inspect(const std::string& machine,
                              const std::function<void(int, const Heartbeat&)>& then) {
  const auto it = workers_.find(machine);
  if (it == workers_.end() || !it->second.alive || now_ < it->second.inbound_blocked_until) return;
  if (now_ < it->second.hang_until)
    return schedule(it->second.hang_until + 5, [=, this] { inspect(machine, then); });
  then(200, make_heartbeat(it->second));
}

// Delivers a copy of a heartbeat to all controllers at once and discards their responses.
void SimulatedRegion::deliver_to_all_controllers(const std::string& raw) {
  for (std::size_t node = 0; node < nodes_.size(); ++node)
    if (auto decoded = decode_heartbeat(raw)) feed(node, HeartbeatReceived{{}, *decoded, raw});
}

void SimulatedRegion::deliver_kept_heartbeats() {
  const int leader_node = leader();
  if (leader_node < 0) return;
  const std::uint64_t epoch = nodes_[static_cast<std::size_t>(leader_node)].controller->epoch();
  if (epoch <= kept_heartbeats_epoch_) return;
  kept_heartbeats_epoch_ = epoch;
  for (const std::string& raw : kept_heartbeats_)
    schedule(now_ + random_(300), [this, raw] { deliver_to_all_controllers(raw); });
  kept_heartbeats_.clear();
}

// Tells the checker which jobs wait although a suitable machine has room for a task and the team is
// under its quota limit.
void SimulatedRegion::report_waiting_jobs() {
  if (!checker_.faults_are_over()) return;
  const Occupancy current = occupancy();
  for (const auto& user : users_)
    checker_.waiting_observed(user->spec.id, could_start(*user, current), now_);
}

SimulatedRegion::Occupancy SimulatedRegion::occupancy() const {
  Occupancy out;
  for (const auto& [name, worker] : workers_) {
    if (!worker.alive || !cloud_.machines.contains(name)) continue;
    Room room{&worker, cloud_.types.front().size};
    for (const auto& [key, attempts] : worker.tasks)
      for (const TaskAttempt& task : attempts) {
        const User* user = user_of(key.job);
        if (user == nullptr || task.status.state == RunState::Exited) continue;
        room.free -= user->spec.need;
        out.used[user->spec.team] += user->spec.need;
        ++out.zones[key.job][worker.machine.zone];
        ++out.tasks[key.job];
      }
    if (now_ >= std::max({worker.hang_until, worker.inbound_blocked_until,
                          worker.outbound_blocked_until}) &&
        worker.preemption_at == 0)
      out.rooms.push_back(room);
  }
  return out;
}

bool SimulatedRegion::could_start(const User& user, const Occupancy& current) const {
  const JobSpec& spec = user.spec;
  const auto tasks = current.tasks.find(spec.id);
  const std::size_t placed_tasks = tasks == current.tasks.end() ? 0 : tasks->second;
  const bool needs_tasks = user.accepted && !user.ended && !user.cancelling &&
                           (user.cancel_at == 0 || now_ < user.cancel_at) &&
                           placed_tasks + user.completed.size() < spec.tasks;
  if (!needs_tasks || !within_team_limit(spec, current)) return false;
  if (spec.kind == JobKind::Gang) return placed_tasks == 0 && gang_could_start(spec, current);
  const auto found = current.zones.find(spec.id);
  static const std::map<std::string, std::size_t> kNoZones;
  const auto& zones = found == current.zones.end() ? kNoZones : found->second;
  return std::any_of(current.rooms.begin(), current.rooms.end(), [&](const Room& room) {
    const std::string& zone = room.worker->machine.zone;
    const auto in_zone = zones.find(zone);
    if (room.worker->machine.spot && !spec.spot) return false;
    if (!spec.zone.empty() && spec.zone != zone) return false;
    if (spec.one_zone && !zones.empty() && in_zone == zones.end()) return false;
    if (spec.spread && in_zone != zones.end() && in_zone->second >= (spec.tasks + 1) / 2)
      return false;
    return spec.need.fits_in(room.free);
  });
}

// A gang needs room for all its tasks at once, in one zone if the job requires that. Spread gangs
// aren't checked, because where one of their tasks fits depends on the places of the others.
bool SimulatedRegion::gang_could_start(const JobSpec& spec, const Occupancy& current) {
  if (spec.spread) return false;
  std::map<std::string, std::uint32_t> slots;
  for (Room room : current.rooms) {
    const std::string& zone = room.worker->machine.zone;
    if ((room.worker->machine.spot && !spec.spot) || (!spec.zone.empty() && spec.zone != zone))
      continue;
    for (; spec.need.fits_in(room.free); room.free -= spec.need) ++slots[spec.one_zone ? zone : ""];
  }
  return std::any_of(slots.begin(), slots.end(),
                     [&](const auto& entry) { return entry.second >= spec.tasks; });
}

bool SimulatedRegion::within_team_limit(const JobSpec& spec, const Occupancy& current) const {
  const auto it = current.used.find(spec.team);
  Resources used = it == current.used.end() ? Resources{} : it->second;
  if (spec.kind == JobKind::Gang) used += spec.need.times(spec.tasks - 1);
  return std::any_of(settings_[0].teams.begin(), settings_[0].teams.end(), [&](const Team& team) {
    return team.name == spec.team &&
           (team.gpus_max <= 0 || used.gpus + spec.need.gpus <= team.gpus_max) &&
           (team.cpus_max <= 0 || used.cpus + spec.need.cpus <= team.cpus_max);
  });
}

}  // namespace sailreel::sim
