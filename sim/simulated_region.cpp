#include "sim/simulated_region.hpp"

#include <cstdio>
#include <cstdlib>

#include "protocol/worker_codec.hpp"

namespace sailreel::sim {

SimulatedRegion::SimulatedRegion(const SimulationPlan& plan)
    : plan_(plan),
      random_(plan.seed),
      deployment_(plan.deployment ? *plan.deployment : sample_deployment(plan)),
      settings_(deployment_.controllers),
      checker_(settings_[0].teams, ms(plan.cancel_s)),
      cloud_(plan.seed * 31 + 7),
      nodes_(settings_.size()) {
  kv_store_.limit_rates(deployment_.kv_rps, deployment_.kv_write_rps);
  cloud_.types = deployment_.types;
  cloud_.capacity = deployment_.capacity;
  cloud_.one_in_never_up = deployment_.one_in_never_up;
  cloud_.address_prefix = deployment_.worker_address_prefix;
  cloud_.on_launched = [this](const CloudMachine& machine) {
    if (machine.never_boots) return;
    schedule(plan_.boot_ms > 0 ? now_ + plan_.boot_ms : machine.boots_at, [this, machine] {
      const auto it = cloud_.machines.find(machine.name);
      if (it == cloud_.machines.end()) return;
      it->second.up = true;
      Worker& worker = workers_[machine.name];
      worker.machine = machine;
      worker.last_accepted_sent_at = now_;
      worker.node = random_(node_count());
      worker.clock_rate = 1.0 + (static_cast<double>(random_(1000)) - 500) * 1e-6;
      machine_by_address_[machine.address] = machine.name;
      worker_tick(machine.name, worker.boots);
    });
  };
  cloud_.on_terminated = [this](const std::string& name) {
    if (workers_.contains(name)) kill_machine(name);
  };
  for (std::size_t node = 0; node < nodes_.size(); ++node) nodes_[node].name = settings_[node].name;
  for (std::size_t node = 0; node < nodes_.size(); ++node) start_node(node);
  periodic_update();
  plan_jobs();
  if (plan.fault_pairs)
    plan_overlapping_faults();
  else if (plan.faults)
    plan_faults();
}

SimulatedRegion::~SimulatedRegion() = default;

void SimulatedRegion::periodic_update() {
  kv_store_.tick(now_);
  if (now_ % 1000 == 0) {
    cloud_.tick(now_, ms(settings_[0].cloud_limits.list_lag_s));
    report_waiting_jobs();
  }
  deliver_kept_heartbeats();
  schedule(now_ + 20, [this] { periodic_update(); });
}

void SimulatedRegion::schedule(Time time, std::function<void()> run) {
  events_.push({std::max(time, now_), next_event_order_++, std::move(run)});
}

void SimulatedRegion::run_until(Time time) {
  while (!events_.empty() && events_.top().at <= time) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
    checker_.step(now_);
  }
  now_ = time;
}

Time SimulatedRegion::delay() { return random_(200) == 0 ? 100 + random_(300) : 1 + random_(4); }

void SimulatedRegion::transmit(const std::string& from, const std::string& to,
                               std::function<void()> arrive) {
  const auto [until, hold] = cuts_.between(from, to);
  if (now_ < until) {
    if (!hold) return;
    return schedule(cuts_.arrival_of_held(from, to, until + delay()), std::move(arrive));
  }
  // Over sockets, the real network delays each message.
  if (plan_.over_sockets) return schedule(now_, std::move(arrive));
  if (random_(1'000'000) < plan_.loss * 1'000'000) return;
  schedule(now_ + delay(), std::move(arrive));
}

void SimulatedRegion::start_node(std::size_t node) {
  ControllerHost& host = nodes_[node];
  ++host.incarnation;
  host.direct_calls.clear();
  host.inbox.clear();
  host.busy = false;
  host.clock_rate = 1.0 + static_cast<double>(random_(500)) * 1e-6;
  const std::uint64_t seed = plan_.seed * 1000 + host.incarnation * 10 + node;
  if (plan_.make_production_controller && !host.upgraded) {
    // The version in production doesn't know of lower limits that are announced for later.
    Settings settings = settings_[node];
    settings.store_limits = sample_settings(node, plan_.scale).store_limits;
    host.controller = plan_.make_production_controller(settings, seed);
  } else {
    host.controller = plan_.make_controller ? plan_.make_controller(node, settings_[node], seed)
                                            : std::make_unique<CurrentController>(
                                                  settings_[node], plan_.options, seed);
  }
  feed(node, Tick{});
}

void SimulatedRegion::feed(std::size_t node, Input input) {
  ControllerHost& host = nodes_[node];
  if (!host.controller) return;
  if (now_ < host.frozen_until) {
    const auto held = std::make_shared<Input>(std::move(input));
    return schedule(host.frozen_until, [this, node, held, incarnation = host.incarnation] {
      if (nodes_[node].incarnation == incarnation) feed(node, std::move(*held));
    });
  }
  if (plan_.processor.takes_time()) {
    host.inbox.push_back({now_, std::move(input)});
    if (!host.busy) take_next_input(node);
    return;
  }
  const auto actions = step(node, std::move(input));
  const std::uint64_t incarnation = host.incarnation;
  for (const Action& action : actions)
    if (host.controller && host.incarnation == incarnation) perform_action(node, action);
}

std::vector<Action> SimulatedRegion::step(std::size_t node, Input input) {
  const Clock clock{steady_clock(node),
                    1'700'000'000'000 + now_ + static_cast<Time>(random_(10)) - 5};
  return nodes_[node].controller->step(clock, std::move(input));
}

Time SimulatedRegion::steady_clock(std::size_t node) const {
  return static_cast<Time>(static_cast<double>(now_) * nodes_[node].clock_rate) + 1'000'000;
}

void SimulatedRegion::perform_action(std::size_t node, const Action& action) {
  std::visit([this, node](const auto& chosen) { perform(node, chosen); }, action);
}

std::size_t SimulatedRegion::node_index(const std::string& name) const {
  std::size_t node = 0;
  while (node < nodes_.size() && nodes_[node].name != name) ++node;
  return node;
}

std::function<bool()> SimulatedRegion::still_alive(std::size_t node) const {
  return [this, node, incarnation = nodes_[node].incarnation] {
    return nodes_[node].controller && nodes_[node].incarnation == incarnation;
  };
}

// Prints the log if the environment variable SIM_LOG is set, to debug a simulation that fails.
void SimulatedRegion::perform(std::size_t node, const Log& line) {
  static const bool kPrintLog = std::getenv("SIM_LOG") != nullptr;
  if (kPrintLog)
    std::fprintf(stderr, "%8.3f %s %s\n", static_cast<double>(now_) / 1000.0,
                 nodes_[node].name.c_str(), line.text.c_str());
}

void SimulatedRegion::perform(std::size_t node, const ArmTimer& timer) {
  schedule(now_ + timer.delay_ms, [this, node, alive = still_alive(node)] {
    if (alive()) feed(node, Tick{});
  });
}

void SimulatedRegion::perform(std::size_t node, const Response& response) {
  handle_node_response(node, response);
}

void SimulatedRegion::perform(std::size_t node, const CallKvStore& call) {
  const auto done = std::make_shared<bool>(false);
  const auto finish = [this, node, alive = still_alive(node), done,
                       id = call.call](const KvResponse& reply) {
    if (*done || !alive()) return;
    *done = true;
    feed(node, KvResponseReceived{id, reply});
  };
  schedule(now_ + call.timeout_ms, [finish] { finish(KvResponse{}); });
  const bool is_write = call.request.kind == KvRequest::Kind::Txn;
  if (is_write && affects_next(delayed_writes_)) {
    schedule(now_ + 2'000 + random_(10'000), [this, request = call.request] {
      kv_store_.handle(request, false, now_, [](const KvResponse&) {});
    });
    return;
  }
  const bool lost = is_write && affects_next(lost_write_responses_);
  transmit(nodes_[node].name, kKvStoreHost, [this, node, lost, request = call.request, finish] {
    const bool refused = now_ < nodes_[node].kv_rejected_until;
    kv_store_.handle(request, refused, now_, [this, node, lost, finish](const KvResponse& reply) {
      if (!lost) transmit(kKvStoreHost, nodes_[node].name, [finish, reply] { finish(reply); });
    });
  });
}

void SimulatedRegion::perform(std::size_t node, const CallCloud& call) {
  const auto done = std::make_shared<bool>(false);
  const auto finish = [this, node, alive = still_alive(node), done,
                       id = call.call](const CloudResponse& reply) {
    if (*done || !alive()) return;
    *done = true;
    feed(node, CloudResponseReceived{id, reply});
  };
  schedule(now_ + call.timeout_ms, [finish] { finish(CloudResponse{}); });
  const bool changes_machines = call.request.kind == CloudRequest::Kind::ScaleOut ||
                                call.request.kind == CloudRequest::Kind::Terminate;
  if (changes_machines && affects_next(delayed_cloud_requests_)) {
    constexpr Time kMinDelayMs = 2'000;
    constexpr std::uint32_t kDelaySpanMs = 58'000;
    schedule(now_ + kMinDelayMs + random_(kDelaySpanMs), [this, request = call.request] {
      ++late_cloud_requests_;
      cloud_.handle(request, now_);
    });
    return;
  }
  transmit(nodes_[node].name, kCloudHost, [this, node, request = call.request, finish] {
    const CloudResponse reply = cloud_.handle(request, now_);
    transmit(kCloudHost, nodes_[node].name, [finish, reply] { finish(reply); });
  });
}

void SimulatedRegion::perform(std::size_t node, const CallWorker& call) {
  const auto fail = [this, node, alive = still_alive(node), id = call.call] {
    if (!alive()) return;
    nodes_[node].direct_calls.erase(id);
    feed(node, WorkerResponseReceived{id, 0, {}});
  };
  if (nodes_[node].direct_calls.size() >= settings_[node].process_limits.sockets / 4)
    return schedule(now_, fail);
  nodes_[node].direct_calls.insert(call.call);
  send_direct_command(node, call.call, call.address, call.body);
  schedule(now_ + call.timeout_ms, fail);
}

void SimulatedRegion::perform(std::size_t, const SendToRegion& send) const {
  if (on_region_message) on_region_message(send.region, send.message);
}

void SimulatedRegion::receive_region(const RegionMessage& message) {
  for (std::size_t node = 0; node < nodes_.size(); ++node)
    feed(node, RegionMessageReceived{message});
}

void SimulatedRegion::change_team_limit(const std::string& team_name, double gpus_max) {
  constexpr Time kRestartIntervalMs = 4'000, kDowntimeMs = 300;
  for (std::size_t node = 0; node < nodes_.size(); ++node)
    schedule(now_ + static_cast<Time>(node) * kRestartIntervalMs,
             [this, node, team_name, gpus_max] {
               for (Team& team : settings_[node].teams)
                 if (team.name == team_name) team.gpus_max = gpus_max;
               kill(node, kDowntimeMs);
             });
}

// Encodes and decodes the message as between real controllers, so that simulations cover the codec
// too.
void SimulatedRegion::perform(std::size_t node, const SendToPeer& send) {
  const std::string to = settings_[node].peers[send.peer].name;
  const std::size_t receiver = node_index(to);
  // A link ends with the sending process, so its number encodes the node and its incarnation.
  const std::uint64_t link = nodes_[node].incarnation * nodes_.size() + node;
  const auto arrive = [this, node, receiver, link, bytes = encode_peer(send.message)] {
    PeerReader reader;
    reader.feed(bytes);
    if (const auto message = reader.next()) receive(node, receiver, link, *message);
  };
  transmit(nodes_[node].name, to, arrive);
  const bool is_heartbeat = send.message.kind == PeerMessage::Kind::Request &&
                            send.message.request.op == RequestOp::Heartbeat;
  if (is_heartbeat) copy_command(arrive);
}

void SimulatedRegion::receive(std::size_t from, std::size_t to, std::uint64_t link,
                              const PeerMessage& message) {
  if (message.kind == PeerMessage::Kind::Request) {
    const PeerRequest& request = message.request;
    const RequestSource source{RequestSource::Kind::Peer, link, request.call_id};
    if (request.op != RequestOp::Heartbeat)
      return feed(to, UserRequest{source, request.op, request.id, request.body, request.relay});
    if (auto heartbeat = decode_heartbeat(request.body))
      feed(to, HeartbeatReceived{source, *heartbeat, request.body});
    return;
  }
  receive_from_peer(to, from, message);
}

void SimulatedRegion::receive_from_peer(std::size_t to, std::size_t from,
                                        const PeerMessage& message) {
  if (const auto peer = peer_index(to, from)) feed(to, PeerMessageReceived{*peer, message});
}

std::optional<std::size_t> SimulatedRegion::peer_index(std::size_t node, std::size_t other) const {
  const auto& peers = settings_[node].peers;
  for (std::size_t peer = 0; peer < peers.size(); ++peer)
    if (peers[peer].name == nodes_[other].name) return peer;
  return std::nullopt;
}

void SimulatedRegion::handle_node_response(std::size_t node, const Response& response) {
  if (response.source.kind == RequestSource::Kind::Peer) {
    const auto receiver = static_cast<std::size_t>(response.source.link % nodes_.size());
    const std::uint64_t incarnation = response.source.link / nodes_.size();
    PeerMessage message;
    message.kind = PeerMessage::Kind::Response;
    message.response = {
        response.source.call, response.status, response.retry_after_s, {}, response.body};
    if (response.valid_until != kNever)
      message.response.valid_ms =
          static_cast<std::uint32_t>(std::max<Time>(0, response.valid_until - steady_clock(node)));
    transmit(nodes_[node].name, nodes_[receiver].name,
             [this, node, receiver, incarnation, message] {
               if (nodes_[receiver].incarnation == incarnation)
                 receive_from_peer(receiver, node, message);
             });
    copy_command([this, node, receiver, message] { receive_from_peer(receiver, node, message); });
    return;
  }
  if (const auto it = response_handlers_.find(response.source.link);
      it != response_handlers_.end()) {
    const auto then = std::move(it->second);
    response_handlers_.erase(it);
    then(response.status, response.body);
  }
}

}  // namespace sailreel::sim
