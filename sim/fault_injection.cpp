// Troubles of the simulated world, and the plans of seeded days.
#include <cmath>

#include "sim/simulated_region.hpp"

namespace sailreel::sim {

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
  for (const auto& [name, w] : workers_)
    if (w.alive) out.push_back(name);
  return out;
}

void SimulatedRegion::kill(std::size_t node, Time for_ms) {
  Node& n = nodes_[node];
  if (!n.controller) return;
  n.controller.reset();
  n.frozen_until = 0;
  ++n.incarnation;
  for (std::size_t j = 0; j < nodes_.size(); ++j) {
    if (j == node) continue;
    const auto& peers = settings_[j].peers;
    for (std::size_t k = 0; k < peers.size(); ++k)
      if (peers[k].name == n.name)
        carry(n.name, nodes_[j].name, [this, j, k] { feed(j, PeerDisconnected{k}); });
  }
  at(now_ + for_ms, [this, node] {
    if (!nodes_[node].controller) start_node(node);
  });
}

void SimulatedRegion::upgrade(std::size_t node, Time for_ms) {
  nodes_[node].upgraded = true;
  kill(node, for_ms);
}

void SimulatedRegion::lower_limits() {
  state_.value_limit = static_cast<std::size_t>(plan_.next_value_kb * 1024);
  state_.ops_limit = plan_.next_txn_ops;
  state_.limit_rates(settings_[0].store.rps, plan_.next_write_rps);
}

void SimulatedRegion::cut(const std::string& a, const std::string& b, Time for_ms, bool hold) {
  const auto key = std::minmax(a, b);
  cuts_[{key.first, key.second}] = {now_ + for_ms, hold};
}

void SimulatedRegion::cut_zone(const std::string& zone, Time for_ms, bool hold) {
  zone_cuts_[zone] = {now_ + for_ms, hold};
}

void SimulatedRegion::cut_machines(double share, Time for_ms, bool hold) {
  for (const std::string& machine : machines_up()) {
    if (random_(1'000) >= share * 1'000) continue;
    for (const Node& node : nodes_) cut(node.name, machine, for_ms, hold);
  }
}

std::string SimulatedRegion::zone_of(const std::string& host) const {
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i].name == host) return settings_[i].zone;
  const auto it = workers_.find(host);
  return it == workers_.end() ? std::string() : it->second.machine.zone;
}

std::pair<Time, bool> SimulatedRegion::cut_between(const std::string& a,
                                                   const std::string& b) const {
  std::pair<Time, bool> longest{0, false};
  const auto key = std::minmax(a, b);
  if (const auto it = cuts_.find({key.first, key.second}); it != cuts_.end()) longest = it->second;
  if (zone_cuts_.empty()) return longest;
  const std::string za = zone_of(a), zb = zone_of(b);
  if (za == zb) return longest;
  for (const auto& [zone, cut] : zone_cuts_)
    if (zone == za || zone == zb) longest = std::max(longest, cut);
  return longest;
}

void SimulatedRegion::freeze(std::size_t node, Time for_ms) {
  nodes_[node].frozen_until = now_ + for_ms;
}

void SimulatedRegion::reject_kv_requests(std::size_t node, Time for_ms) {
  nodes_[node].refused_until = now_ + for_ms;
}

void SimulatedRegion::kv_store_outage(Time for_ms) {
  state_.outage = true;
  at(now_ + for_ms, [this] { state_.outage_over(now_); });
}

void SimulatedRegion::kill_machine(const std::string& name) {
  Worker& w = workers_[name];
  if (!w.alive) return;
  w.alive = false;
  for (const auto& [key, list] : w.tasks)
    for (const WorkTask& t : list)
      if (t.on) ended(t.heartbeat.key, name, false);
}

void SimulatedRegion::hang_machine(const std::string& name, Time for_ms) {
  Worker& hung = workers_[name];
  hung.hang_until = now_ + for_ms;
  // Beyond its lease, which runs from the last report that was answered, a machine that hangs
  // counts as having lost its tasks: it ends them before it does anything else.
  const double lease = settings_[0].workers.lease_s * 1000;
  at(hung.last_ok_sent + static_cast<Time>(std::ceil(lease / hung.drift)) + 1,
     [this, name, until = hung.hang_until] {
       Worker& w = workers_[name];
       if (!w.alive || now_ >= until) return;
       for (auto& [key, list] : w.tasks)
         for (WorkTask& t : list) {
           if (t.on) ended(t.heartbeat.key, name, false);
           t.on = false;
         }
     });
}

void SimulatedRegion::deafen_machine(const std::string& name, Time for_ms) {
  workers_[name].deaf_until = now_ + for_ms;
}

void SimulatedRegion::mute_machine(const std::string& name, Time for_ms) {
  workers_[name].mute_until = now_ + for_ms;
}

void SimulatedRegion::isolate(std::size_t node, Time for_ms, bool hold) {
  cut(nodes_[node].name, "state", for_ms, hold);
  cut_peers(node, for_ms, hold);
}

void SimulatedRegion::cut_peers(std::size_t node, Time for_ms, bool hold) {
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (i != node) cut(nodes_[node].name, nodes_[i].name, for_ms, hold);
}

void SimulatedRegion::late_writes(double share, Time for_ms, bool at_once) {
  (at_once ? lost_answers_ : late_writes_) = {share, now_ + for_ms};
}

void SimulatedRegion::keep_heartbeats_for_next_leader(double share, Time for_ms) {
  for_next_ = {share, now_ + for_ms};
}

void SimulatedRegion::delay_heartbeats(double share, Time for_ms) {
  late_heartbeats_ = {share, now_ + for_ms};
}

void SimulatedRegion::slow_commands(Time for_ms) { slow_commands_ = {0.5, now_ + for_ms}; }

void SimulatedRegion::cancel_at_end(double share, Time for_ms) {
  cancel_at_end_ = {share, now_ + for_ms};
}

void SimulatedRegion::poll_closely(Time for_ms) { poll_closely_until_ = now_ + for_ms; }

void SimulatedRegion::odd_requests(Time for_ms) { odd_request(now_ + for_ms); }

void SimulatedRegion::cancel_now(std::size_t count, Time hang_ms) {
  std::vector<std::pair<std::size_t, std::string>> running;  // and where
  for (const auto& [name, w] : workers_)
    for (const auto& [key, list] : w.tasks)
      if (w.alive && by_job_.contains(key.first)) running.emplace_back(by_job_.at(key.first), name);
  std::set<std::size_t> chosen;
  for (std::size_t tries = 0; tries < 4 * count && chosen.size() < count && !running.empty();
       ++tries) {
    const auto& [user, machine] = running[random_(static_cast<std::uint32_t>(running.size()))];
    if (!chosen.insert(user).second) continue;
    at(now_ + random_(200), [this, user = user] { call_off(user); });
    if (hang_ms > 0 && chosen.size() <= 8) hang_machine(machine, hang_ms);
  }
}

void SimulatedRegion::notice_machine(const std::string& name, Time in_ms) {
  workers_[name].notice_at = now_ + in_ms;
  at(now_ + in_ms, [this, name] {
    cloud_.machines.erase(name);
    kill_machine(name);
  });
}

void SimulatedRegion::plan_jobs() {
  std::set<std::string> ids;
  for (std::uint32_t n = 0; n < plan_.jobs; ++n) {
    JobSpec s;
    // In no order, and no two the same.
    do s.id = "job-" + std::to_string(100'000 + random_(900'000));
    while (!ids.insert(s.id).second);
    s.job_class = n % 3 == 0 ? "batch" : "serve";
    s.team = random_(3) == 0 ? "blue" : "red";
    s.kind = n % 3 == 0 ? JobKind::Array : JobKind::Service;
    s.priority = s.kind == JobKind::Array ? Priority::Low : static_cast<Priority>(random_(2));
    s.tasks = s.kind == JobKind::Array ? 1 + random_(8) : 1 + random_(2);
    if (plan_.scale > 1) s.tasks *= 4;
    s.need = {2, 1, 10};
    s.image = "img-" + std::to_string(random_(4));
    s.image_gb = 10;
    s.spot = s.kind == JobKind::Array;
    s.spread = s.kind == JobKind::Service && random_(2) == 0;
    s.one_zone = !s.spread && random_(4) == 0;
    if (random_(8) == 0 && !s.spread) s.zone = random_(2) == 0 ? "za" : "zb";
    s.estimate_s = s.kind == JobKind::Array ? 5 + random_(20) : 0;
    if (random_(2) == 0 && s.kind == JobKind::Array) {
      s.checkpoint_s = 5;
      s.save_s = 1;
    }
    if (plan_.gangs && n % 3 == 1) make_gang(s);
    const Time when = n < plan_.jobs / 3
                          ? 500 + random_(2000)
                          : 5'000 + random_(static_cast<std::uint32_t>(plan_.length * 6 / 10));
    const bool cancelled = s.kind == JobKind::Service || random_(6) == 0;
    const Time cancel_at = cancelled ? when + 10'000 + random_(60'000) : 0;
    at(when, [this, s, cancel_at] { submit(s, cancel_at); });
  }
}

void SimulatedRegion::make_gang(JobSpec& s) {
  s.kind = JobKind::Gang;
  s.job_class = "gang";
  s.priority = static_cast<Priority>(random_(4));
  s.tasks = 2 + random_(5);
  s.need = {2, random_(4) == 0 ? 1.0 : 0.0, 6};
  s.estimate_s = 5 + random_(20);
  s.image_gb = 1;
  s.one_zone = random_(2) == 0;
  s.spread = !s.one_zone && s.zone.empty() && random_(4) == 0;
  s.spot = random_(2) == 0;
  if (random_(3) == 0) return;
  s.checkpoint_s = 4;
  s.save_s = 1;
}

// What the operators saw break rules: troubles that meet. Two or three of them begin within
// seconds, while users look closely and call jobs off; four such combinations a day.
void SimulatedRegion::plan_fault_pairs() {
  const Time span = plan_.faults_until - plan_.faults_from;
  at(plan_.faults_from, [this, span] {
    poll_closely(span);
    odd_requests(span);
    cancel_at_end(0.3, span);
  });
  constexpr int kCombinations = 4;
  constexpr std::uint32_t kFaults = 17;
  for (int n = 0; n < kCombinations; ++n) {
    const Time when = plan_.faults_from + n * span / kCombinations + random_(4'000);
    const std::uint32_t faults = 2 + random_(2);
    for (std::uint32_t k = 0; k < faults; ++k)
      at(when + random_(2'500), [this] { inject_fault(random_(kFaults)); });
    at(when + random_(2'500),
       [this] { cancel_now(4, random_(3) == 0 ? 2'000 + random_(12'000) : 0); });
  }
  at(plan_.faults_until + ms(2 * plan_.lease_s), [this] { calm(); });
}

void SimulatedRegion::inject_fault(std::uint32_t kind) {
  const int lead = leader();
  const std::size_t target = lead >= 0 ? static_cast<std::size_t>(lead) : random_(3);
  const auto up = machines_up();
  const std::string machine = up.empty() ? "" : up[random_(static_cast<std::uint32_t>(up.size()))];
  const Time lease = ms(plan_.lease_s);
  const Time longer = lease / 2 + random_(static_cast<std::uint32_t>(lease));
  const bool hold = random_(2) == 0;
  switch (kind) {
    case 0:
      return isolate(target, longer, hold);
    case 1:
      return reject_kv_requests(target, longer);
    case 2:
      return kv_store_outage(longer);
    case 3:
      return kill(target, random_(2) == 0 ? 300 : 6'000);
    case 4:  // all end, and one returns within a second
      for (std::size_t i = 0; i < 3; ++i) kill(i, i == target ? 500 : 8'000);
      return;
    case 5:
      return late_writes(0.4, longer, true);
    case 6:
      return late_writes(0.3, longer, false);
    case 7:
      return keep_heartbeats_for_next_leader(0.3, longer);
    case 8:
      return delay_heartbeats(0.3, longer);
    case 9:
      if (!machine.empty()) mute_machine(machine, 2 * longer);
      return;
    case 10:
      if (!machine.empty()) deafen_machine(machine, 2 * longer);
      return;
    case 11:
      return slow_commands(longer);
    case 12:
      return freeze(target, longer);
    case 13:
      return cut_zone(random_(2) == 0 ? "za" : "zb", longer, hold);
    case 14:  // leaders change again and again
      for (int n = 0; n < 5; ++n)
        at(now_ + Time{3'000} * n, [this] {
          if (const int next = leader(); next >= 0) kill(static_cast<std::size_t>(next), 700);
        });
      return;
    case 15:  // from the state service alone, holding what is sent
      return cut(nodes_[target].name, "state", longer, hold);
    default:  // half of the machines, for longer than their lease; what they sent arrives
              // afterwards
      return cut_machines(0.5, lease + longer / 2, true);
  }
}

void SimulatedRegion::plan_faults() {
  const auto span = static_cast<std::uint32_t>(plan_.faults_until - plan_.faults_from);
  const std::uint32_t count = 6 + random_(6);
  for (std::uint32_t n = 0; n < count; ++n) {
    const Time when = plan_.faults_from + random_(span);
    const std::uint32_t kind = random_(16);
    at(when, [this, kind] { fault(kind); });
  }
}

// Kinds 0 to 7 and 15 are of controllers and the state service, the others of machines.
void SimulatedRegion::fault(std::uint32_t kind) {
  const auto node = random_(3);
  const int lead = leader();
  const std::size_t target = lead >= 0 && random_(2) == 0 ? static_cast<std::size_t>(lead) : node;
  const auto up = machines_up();
  const std::string machine = up.empty() ? "" : up[random_(static_cast<std::uint32_t>(up.size()))];
  const Time span_ms = 2'000 + random_(25'000);
  const bool hold = random_(2) == 0;
  if (kind <= 7 || kind == 15)
    controller_fault(kind, target, span_ms, hold);
  else
    machine_fault(kind, machine, span_ms, hold);
}

void SimulatedRegion::controller_fault(std::uint32_t kind, std::size_t target, Time span_ms,
                                       bool hold) {
  const std::string name = nodes_[target].name;
  const auto cut_from_workers = [&] {
    for (const auto& machine : machines_up()) cut(name, machine, span_ms, hold);
  };
  switch (kind) {
    case 0:
      return kill(target, random_(3) == 0 ? 200 : 6'000);
    case 1:
      for (std::size_t i = 0; i < 3; ++i) kill(i, 6'000);
      return;
    case 2:  // from everything
      for (const std::string& other :
           {std::string("state"), std::string("cloud"), std::string("users"),
            nodes_[(target + 1) % 3].name, nodes_[(target + 2) % 3].name})
        cut(name, other, span_ms, hold);
      return cut_from_workers();
    case 3:
      return cut(name, "state", span_ms, hold);
    case 4:
      return cut_from_workers();
    case 5:
      return reject_kv_requests(target, span_ms);
    case 6:
      return kv_store_outage(5'000 + random_(12'000));
    case 7:  // from the state service and the other controllers, but not from the workers
      return isolate(target, span_ms, hold);
    default:
      return freeze(target, span_ms);
  }
}

void SimulatedRegion::machine_fault(std::uint32_t kind, const std::string& machine, Time span_ms,
                                    bool hold) {
  if (kind == 14) return cut_zone(random_(2) == 0 ? "za" : "zb", span_ms, hold);
  if (machine.empty()) return;
  switch (kind) {
    case 8:
      cloud_.machines.erase(machine);
      return kill_machine(machine);
    case 9:
      return hang_machine(machine, span_ms);
    case 10:
      return deafen_machine(machine, span_ms);
    case 12:  // one machine, from all controllers
    case 13:
      for (std::size_t i = 0; i < 3; ++i) cut(nodes_[i].name, machine, span_ms, hold);
      return;
    default:
      return take_back(machine);
  }
}

// One machine is taken back; where there are many, a wave of them.
void SimulatedRegion::take_back(const std::string& machine) {
  const auto up = machines_up();
  for (std::size_t k = 0; k < up.size(); k += std::max<std::size_t>(1, up.size() / plan_.scale))
    notice_machine(k == 0 ? machine : up[k], 5'000);
}

}  // namespace sailreel::sim
