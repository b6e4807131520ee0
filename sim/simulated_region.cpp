#include "sim/simulated_region.hpp"

#include <cstdio>
#include <cstdlib>

#include "protocol/worker_codec.hpp"

namespace sailreel::sim {

Settings sample_settings(std::size_t node, std::uint32_t scale) {
  Settings s;
  const std::vector<std::string> zones{"za", "zb"};
  s.name = node_name(node);
  s.zone = zones[node % 2];
  s.listen = "10.0.0.1:8080";
  for (std::size_t i = 0; i < 3; ++i)
    if (i != node) s.peers.push_back({node_name(i), zones[i % 2], "10.0.0.9:1"});
  s.zones = zones;
  const double large = scale > 1 ? 2 : 1;
  s.teams = {{"red", 0, 0, 16.0 * scale, 30.0 * large * scale},
             {"blue", 0, 0, 8.0 * scale, 12.0 * large * scale},
             {"guest", 0, 0, 0, 0}};
  s.workers.heartbeat_interval_s = 1;
  s.workers.lease_s = 10;
  s.workers.cancel_s = 30;
  s.workers.gang_wait_s = 20;
  s.workers.gang_peer_s = 2;
  s.store.rps = 200;
  s.store.write_rps = 30;
  s.store.value_kb = 8;
  s.store.txn_ops = 16;
  s.cloud_limits.rps = 4;
  s.cloud_limits.list_lag_s = 5;
  s.limits.memory_mb = 40;
  s.limits.sockets = 500;
  if (scale > 50) {  // what a fleet of many hundred machines comes with
    s.workers.heartbeat_interval_s = 2.5;
    s.store.rps = 900;
    s.store.write_rps = 90;
    s.limits.memory_mb = 128;
    s.limits.sockets = 1600;
  }
  return s;
}

MachineType sample_type() {
  MachineType t;
  t.name = "box";
  t.size = {16, 8, 128};
  t.cache_gb = 60;
  t.fetch_gb_per_s = 5;
  t.price = 10;
  t.spot_price = 3;
  t.boot_s = 12;
  t.zones = {"za", "zb"};
  return t;
}

Deployment sample_deployment(const SimulationPlan& plan) {
  Deployment out;
  for (std::size_t node = 0; node < 3; ++node) {
    Settings s = sample_settings(node, plan.scale);
    if (plan.scale <= 50) s.workers.heartbeat_interval_s = plan.heartbeat_interval_s;
    s.workers.lease_s = plan.lease_s;
    s.workers.cancel_s = plan.cancel_s;
    s.workers.gang_wait_s = plan.gang_wait_s;
    s.workers.gang_peer_s = plan.gang_peer_s;
    // As the settings' reader does it: the smaller of both.
    if (plan.next_value_kb > 0) s.store.value_kb = std::min(s.store.value_kb, plan.next_value_kb);
    if (plan.next_txn_ops > 0) s.store.txn_ops = std::min(s.store.txn_ops, plan.next_txn_ops);
    if (plan.next_write_rps > 0)
      s.store.write_rps = std::min(s.store.write_rps, plan.next_write_rps);
    out.controllers.push_back(std::move(s));
  }
  const Settings full = sample_settings(0, plan.scale);
  out.kv_rps = full.store.rps;
  out.kv_write_rps = full.store.write_rps;
  out.types = {sample_type()};
  for (const char* zone : {"za", "zb"}) {
    out.capacity[{zone, false}] = 4 * plan.scale;
    out.capacity[{zone, true}] = 2 * plan.scale;
  }
  return out;
}

SimulatedRegion::SimulatedRegion(const SimulationPlan& plan)
    : plan_(plan),
      random_(plan.seed),
      deployment_(plan.deployment ? *plan.deployment : sample_deployment(plan)),
      settings_(deployment_.controllers),
      checker_(settings_[0].teams, ms(plan.cancel_s)),
      cloud_(plan.seed * 31 + 7),
      nodes_(settings_.size()) {
  state_.limit_rates(deployment_.kv_rps, deployment_.kv_write_rps);
  cloud_.types = deployment_.types;
  cloud_.capacity = deployment_.capacity;
  cloud_.one_in_never_up = deployment_.one_in_never_up;
  cloud_.address_prefix = deployment_.worker_address_prefix;
  cloud_.on_launched = [this](const CloudMachine& m) {
    if (m.broken) return;
    at(plan_.boots_ms > 0 ? now_ + plan_.boots_ms : m.boots, [this, m] {
      const auto it = cloud_.machines.find(m.name);
      if (it == cloud_.machines.end()) return;
      it->second.up = true;
      Worker& w = workers_[m.name];
      w.machine = m;
      w.began = w.last_ok_sent = now_;
      w.node = random_(node_count());
      w.drift = 1.0 + (static_cast<double>(random_(1000)) - 500) * 1e-6;
      by_address_[m.address] = m.name;
      worker_tick(m.name);
    });
  };
  cloud_.on_released = [this](const std::string& name) {
    if (workers_.contains(name)) kill_machine(name);
  };
  for (std::size_t i = 0; i < nodes_.size(); ++i) nodes_[i].name = settings_[i].name;
  for (std::size_t i = 0; i < nodes_.size(); ++i) start_node(i);
  housekeeping();
  plan_jobs();
  if (plan.fault_pairs)
    plan_fault_pairs();
  else if (plan.faults)
    plan_faults();
}

SimulatedRegion::~SimulatedRegion() = default;

void SimulatedRegion::housekeeping() {
  state_.tick(now_);
  if (now_ % 1000 == 0) {
    cloud_.tick(now_, ms(settings_[0].cloud_limits.list_lag_s));
    watch_waiting();
  }
  deliver_copies();
  at(now_ + 20, [this] { housekeeping(); });
}

void SimulatedRegion::at(Time t, std::function<void()> run) {
  events_.push({std::max(t, now_), order_++, std::move(run)});
}

void SimulatedRegion::run_until(Time t) {
  while (!events_.empty() && events_.top().at <= t) {
    Event e = events_.top();
    events_.pop();
    now_ = e.at;
    e.run();
    checker_.step(now_);
  }
  now_ = t;
}

Time SimulatedRegion::delay() { return random_(200) == 0 ? 100 + random_(300) : 1 + random_(4); }

void SimulatedRegion::carry(const std::string& from, const std::string& to,
                            std::function<void()> arrive) {
  const auto [until, hold] = cut_between(from, to);
  if (now_ < until) {
    if (!hold) return;
    Time& last = held_until_[{from, to}];
    last = std::max(last, until + delay());
    return at(last, std::move(arrive));
  }
  // Over sockets, the network's own delays come with each message.
  if (plan_.over_sockets) return at(now_, std::move(arrive));
  if (random_(1'000'000) < plan_.loss * 1'000'000) return;
  at(now_ + delay(), std::move(arrive));
}

void SimulatedRegion::start_node(std::size_t i) {
  Node& n = nodes_[i];
  ++n.incarnation;
  n.direct_calls.clear();
  n.inbox.clear();
  n.busy = false;
  n.drift = 1.0 + static_cast<double>(random_(500)) * 1e-6;
  const std::uint64_t seed = plan_.seed * 1000 + n.incarnation * 10 + i;
  if (plan_.production && !n.upgraded) {
    // It knows nothing of limits that are to come.
    Settings settings = settings_[i];
    settings.store = sample_settings(i, plan_.scale).store;
    n.controller = plan_.production(settings, seed);
  } else {
    n.controller = plan_.controllers
                       ? plan_.controllers(i, settings_[i], seed)
                       : std::make_unique<CurrentController>(settings_[i], plan_.options, seed);
  }
  feed(i, Tick{});
}

void SimulatedRegion::feed(std::size_t i, Input input) {
  Node& n = nodes_[i];
  if (!n.controller) return;
  if (now_ < n.frozen_until) {
    const auto held = std::make_shared<Input>(std::move(input));
    return at(n.frozen_until, [this, i, held, incarnation = n.incarnation] {
      if (nodes_[i].incarnation == incarnation) feed(i, std::move(*held));
    });
  }
  if (plan_.processor.takes_time()) {
    n.inbox.push_back({now_, std::move(input)});
    if (!n.busy) take_next_input(i);
    return;
  }
  const auto actions = step(i, std::move(input));
  const std::uint64_t incarnation = n.incarnation;
  for (const Action& a : actions)
    if (n.controller && n.incarnation == incarnation) act(i, a);
}

std::vector<Action> SimulatedRegion::step(std::size_t i, Input input) {
  const Clock clock{steady_clock(i), 1'700'000'000'000 + now_ + static_cast<Time>(random_(10)) - 5};
  return nodes_[i].controller->step(clock, std::move(input));
}

Time SimulatedRegion::steady_clock(std::size_t node) const {
  return static_cast<Time>(static_cast<double>(now_) * nodes_[node].drift) + 1'000'000;
}

void SimulatedRegion::act(std::size_t i, const Action& action) {
  std::visit([this, i](const auto& a) { perform(i, a); }, action);
}

std::size_t SimulatedRegion::node_index(const std::string& name) const {
  std::size_t i = 0;
  while (i < nodes_.size() && nodes_[i].name != name) ++i;
  return i;
}

std::function<bool()> SimulatedRegion::still_alive(std::size_t i) const {
  return [this, i, incarnation = nodes_[i].incarnation] {
    return nodes_[i].controller && nodes_[i].incarnation == incarnation;
  };
}

// For finding out what happened on a day that fails.
void SimulatedRegion::perform(std::size_t i, const Log& line) {
  static const bool kWanted = std::getenv("SIM_LOG") != nullptr;
  if (kWanted)
    std::fprintf(stderr, "%8.3f %s %s\n", static_cast<double>(now_) / 1000.0,
                 nodes_[i].name.c_str(), line.text.c_str());
}

void SimulatedRegion::perform(std::size_t i, const ArmTimer& timer) {
  at(now_ + timer.in_ms, [this, i, alive = still_alive(i)] {
    if (alive()) feed(i, Tick{});
  });
}

void SimulatedRegion::perform(std::size_t i, const Response& response) {
  handle_node_response(i, response);
}

void SimulatedRegion::perform(std::size_t i, const CallKvStore& call) {
  const auto done = std::make_shared<bool>(false);
  const auto finish = [this, i, alive = still_alive(i), done,
                       id = call.call](const KvResponse& reply) {
    if (*done || !alive()) return;
    *done = true;
    feed(i, KvResponseReceived{id, reply});
  };
  at(now_ + call.timeout_ms, [finish] { finish(KvResponse{}); });
  const bool is_write = call.request.kind == KvRequest::Kind::Txn;
  if (is_write && strikes(late_writes_)) {
    at(now_ + 2'000 + random_(10'000), [this, request = call.request] {
      state_.handle(request, false, now_, [](const KvResponse&) {});
    });
    return;
  }
  const bool lost = is_write && strikes(lost_answers_);
  carry(nodes_[i].name, "state", [this, i, lost, request = call.request, finish] {
    const bool refused = now_ < nodes_[i].refused_until;
    state_.handle(request, refused, now_, [this, i, lost, finish](const KvResponse& reply) {
      if (!lost) carry("state", nodes_[i].name, [finish, reply] { finish(reply); });
    });
  });
}

void SimulatedRegion::perform(std::size_t i, const CallCloud& call) {
  const auto done = std::make_shared<bool>(false);
  const auto finish = [this, i, alive = still_alive(i), done,
                       id = call.call](const CloudResponse& reply) {
    if (*done || !alive()) return;
    *done = true;
    feed(i, CloudResponseReceived{id, reply});
  };
  carry(nodes_[i].name, "cloud", [this, i, request = call.request, finish] {
    const CloudResponse reply = cloud_.handle(request, now_);
    carry("cloud", nodes_[i].name, [finish, reply] { finish(reply); });
  });
  at(now_ + call.timeout_ms, [finish] { finish(CloudResponse{}); });
}

void SimulatedRegion::perform(std::size_t i, const CallWorker& call) {
  const auto fail = [this, i, alive = still_alive(i), id = call.call] {
    if (!alive()) return;
    nodes_[i].direct_calls.erase(id);
    feed(i, WorkerResponseReceived{id, 0, {}});
  };
  if (nodes_[i].direct_calls.size() >= settings_[i].limits.sockets / 4) return at(now_, fail);
  nodes_[i].direct_calls.insert(call.call);
  direct(i, call.call, call.address, call.body);
  at(now_ + call.timeout_ms, fail);
}

void SimulatedRegion::perform(std::size_t, const SendRegion& send) const {
  if (on_region_message) on_region_message(send.region, send.message);
}

void SimulatedRegion::receive_region(const RegionMessage& message) {
  for (std::size_t i = 0; i < nodes_.size(); ++i) feed(i, RegionMessageReceived{message});
}

void SimulatedRegion::change_team_limit(const std::string& name, double gpus_max) {
  constexpr Time kApart = 4'000, kDown = 300;
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    at(now_ + static_cast<Time>(i) * kApart, [this, i, name, gpus_max] {
      for (Team& team : settings_[i].teams)
        if (team.name == name) team.gpus_max = gpus_max;
      kill(i, kDown);
    });
}

// Over the real frames, so that these are in the test too.
void SimulatedRegion::perform(std::size_t i, const SendPeer& peer) {
  const std::string to = settings_[i].peers[peer.peer].name;
  const std::size_t j = node_index(to);
  // The link ends with the process: its number stands for both.
  const std::uint64_t link = nodes_[i].incarnation * nodes_.size() + i;
  carry(nodes_[i].name, to, [this, i, j, link, bytes = encode_peer(peer.message)] {
    PeerReader reader;
    reader.feed(bytes);
    if (const auto message = reader.next()) receive(i, j, link, *message);
  });
}

void SimulatedRegion::receive(std::size_t from, std::size_t to, std::uint64_t link,
                              const PeerMessage& message) {
  if (message.kind == PeerMessage::Kind::Request) {
    const PeerRequest& request = message.request;
    const RequestSource source{RequestSource::Kind::Peer, link, request.call};
    if (request.op != UserOp::Heartbeat)
      return feed(to, UserRequest{source, request.op, request.id, request.body, request.relay});
    if (auto heartbeat = decode_heartbeat(request.body))
      feed(to, HeartbeatReceived{source, *heartbeat, request.body});
    return;
  }
  const auto& peers = settings_[to].peers;
  for (std::size_t k = 0; k < peers.size(); ++k)
    if (peers[k].name == nodes_[from].name) feed(to, PeerMessageReceived{k, message});
}

void SimulatedRegion::handle_node_response(std::size_t i, const Response& a) {
  if (a.source.kind == RequestSource::Kind::Peer) {
    const auto j = static_cast<std::size_t>(a.source.link % nodes_.size());
    const std::uint64_t incarnation = a.source.link / nodes_.size();
    PeerMessage m;
    m.kind = PeerMessage::Kind::Response;
    m.response = {a.source.call, a.status, a.retry_after_s, {}, a.body};
    if (a.valid_until != kNever)
      m.response.valid_ms =
          static_cast<std::uint32_t>(std::max<Time>(0, a.valid_until - steady_clock(i)));
    carry(nodes_[i].name, nodes_[j].name, [this, i, j, incarnation, m] {
      if (nodes_[j].incarnation != incarnation) return;
      const auto& peers = settings_[j].peers;
      for (std::size_t k = 0; k < peers.size(); ++k)
        if (peers[k].name == nodes_[i].name) feed(j, PeerMessageReceived{k, m});
    });
    return;
  }
  if (const auto it = answers_.find(a.source.link); it != answers_.end()) {
    const auto then = std::move(it->second);
    answers_.erase(it);
    then(a.status, a.body);
  }
}

}  // namespace sailreel::sim
