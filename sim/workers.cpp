// The workers of the simulated world, by their published protocol.
#include "protocol/fake_server_codec.hpp"
#include "protocol/worker_codec.hpp"
#include "sim/simulated_region.hpp"

namespace sailreel::sim {
namespace {

constexpr Time kHeartbeatWait = 4'000, kWorkerTick = 100;

}  // namespace

Heartbeat SimulatedRegion::make_heartbeat(Worker& w) {
  Heartbeat r;
  r.machine = w.machine.name;
  r.address = w.machine.address;
  r.type = w.machine.type;
  r.zone = w.machine.zone;
  r.spot = w.machine.spot;
  r.incarnation = w.incarnation;
  r.seq = ++w.seq;
  r.fencing_token = w.fencing_token;
  if (w.notice_at > 0)
    r.notice_s = static_cast<double>(std::max<Time>(0, w.notice_at - now_)) / 1000;
  for (const auto& [key, list] : w.tasks)
    for (const WorkTask& t : list) r.tasks.push_back(t.heartbeat);
  return r;
}

void SimulatedRegion::ended(const TaskKey& key, const std::string& machine, bool completed) {
  checker_.ended(key, machine, completed);
  if (on_ended) on_ended(key, machine);
}

void SimulatedRegion::lapse(Worker& w) {
  for (const auto& [key, list] : w.tasks)
    for (const WorkTask& t : list)
      if (t.on) ended(t.heartbeat.key, w.machine.name, false);
  w.tasks.clear();
  ++w.incarnation;
  w.began = w.last_ok_sent = now_;
  w.in_flight = false;
  w.changed = true;
}

void SimulatedRegion::worker_tick(const std::string& name) {
  const auto found = workers_.find(name);
  if (found == workers_.end() || !found->second.alive) return;
  Worker& w = found->second;
  if (now_ < w.hang_until) {
    at(w.hang_until, [this, name] { worker_tick(name); });
    return;
  }
  const double lease = settings_[0].workers.lease_s * 1000;
  if (static_cast<double>(now_ - w.last_ok_sent) * w.drift > lease) lapse(w);
  for (auto& [key, list] : w.tasks)
    for (WorkTask& t : list) advance(w, t);
  if (!w.in_flight && (now_ >= w.next_heartbeat || (w.changed && now_ - w.last_heartbeat >= 500)))
    send_heartbeat(w);
  at(now_ + kWorkerTick, [this, name] { worker_tick(name); });
}

void SimulatedRegion::advance(Worker& w, WorkTask& t) {
  TaskStatus& r = t.heartbeat;
  const User* user = user_of(r.key.job);
  if (is_gang(user)) return advance_gang(w, t, *user);
  if (r.state == RunState::Fetching && now_ >= t.image_at) begin_task(w, t);
  const bool fails = mistaken_.contains(r.key.job) || faulty_.contains(w.machine.name);
  if (r.state == RunState::Running && now_ >= t.image_at + 300 && fails) {
    end_task(w, t, ExitCause::Error);
  } else if (r.state == RunState::Running && t.done_at > 0 && now_ >= t.done_at) {
    w.done.insert(task_name(r.key));
    end_task(w, t, ExitCause::Done);
    completed(r.key);
    if (on_completed) on_completed(r.key, w.machine.name);
  }
  if (r.state == RunState::Saving && now_ >= t.exits_at) {
    r.saved = true;
    end_task(w, t, ExitCause::Stopped);
  }
}

void SimulatedRegion::begin_task(Worker& w, WorkTask& t) {
  TaskStatus& r = t.heartbeat;
  r.state = RunState::Running;
  t.on = true;
  w.changed = true;
  checker_.started(r.key, {w.machine.name, w.machine.type, w.machine.zone, w.machine.spot}, now_);
  if (on_started) on_started(r.key);
  const User* u = user_of(r.key.job);
  if (u == nullptr) return;
  w.images.insert(u->spec.image);
  if (u->spec.kind == JobKind::Array)
    t.done_at = w.done.contains(task_name(r.key))
                    ? now_
                    : now_ + static_cast<Time>(u->spec.estimate_s * (500 + random_(1000)));
  if (t.done_at > 0 && strikes(cancel_at_end_))
    at(t.done_at - 50 + random_(200), [this, id = u->spec.id] { call_off(by_job_.at(id)); });
}

void SimulatedRegion::end_task(Worker& w, WorkTask& t, ExitCause cause) {
  if (t.on) ended(t.heartbeat.key, w.machine.name, cause == ExitCause::Done);
  t.on = false;
  t.heartbeat.state = RunState::Exited;
  t.heartbeat.cause = cause;
  w.changed = true;
}

void SimulatedRegion::send_heartbeat(Worker& w) {
  const std::string name = w.machine.name;
  const Heartbeat heartbeat = make_heartbeat(w);
  const Time sent = now_;
  const std::uint64_t flight = ++w.flight, incarnation = w.incarnation;
  w.in_flight = true;
  w.changed = false;
  w.last_heartbeat = now_;
  const Time interval = ms(settings_[0].workers.heartbeat_interval_s);
  w.next_heartbeat = now_ + interval * 3 / 4 +
                     static_cast<Time>(random_(static_cast<std::uint32_t>(interval / 2)));
  const std::size_t i = w.node;
  const std::uint64_t call = next_call_++;
  const auto finish = [this, name, flight, sent, incarnation](int status, const std::string& body) {
    const auto it = workers_.find(name);
    if (it == workers_.end() || !it->second.alive || now_ < it->second.deaf_until) return;
    if (now_ < it->second.mute_until) return;
    take_answer(it->second, flight, sent, incarnation, status, body);
  };
  answers_[call] = [this, i, name, finish](int status, const std::string& body) {
    carry(nodes_[i].name, name, [finish, status, body] { finish(status, body); });
  };
  const std::string raw = encode_heartbeat(heartbeat);
  const auto deliver = [this, i, raw](RequestSource source) {
    ++heartbeats_;
    if (auto decoded = decode_heartbeat(raw)) feed(i, HeartbeatReceived{source, *decoded, raw});
  };
  deliver_heartbeat(w, [this, i, deliver, call, finish] {
    if (!nodes_[i].controller) return finish(0, "");
    deliver({RequestSource::Kind::Local, call, 0});
  });
  if (random_(1000) < plan_.late_copies * 1000)
    at(now_ + 1000 + random_(40'000),
       [this, name, i, deliver] { carry(name, nodes_[i].name, [deliver] { deliver({}); }); });
  if (strikes(for_next_)) kept_heartbeats_.push_back(raw);
  if (strikes(late_heartbeats_))
    at(now_ + 2'000 + random_(static_cast<std::uint32_t>(2'500 * plan_.lease_s)),
       [this, raw] { deliver_everywhere(raw); });
  at(now_ + kHeartbeatWait, [this, name, call, flight, sent, incarnation] {
    answers_.erase(call);
    const auto it = workers_.find(name);
    if (it != workers_.end() && it->second.alive)
      take_answer(it->second, flight, sent, incarnation, 0, "");
  });
}

// A cut holds what is sent over a connection that is open. One that is only attempted meanwhile is
// given up, and doesn't complete later: so it is the report of before the cut that arrives after
// it, and none of those that the worker sends to the other controllers in the meantime.
void SimulatedRegion::deliver_heartbeat(Worker& w, std::function<void()> arrive) {
  const std::string& node = nodes_[w.node].name;
  const bool cut_off = now_ < cut_between(w.machine.name, node).first;
  if (now_ < w.mute_until || (cut_off && !w.connected)) return;
  carry(w.machine.name, node, std::move(arrive));
}

void SimulatedRegion::take_answer(Worker& w, std::uint64_t flight, Time sent,
                                  std::uint64_t incarnation, int status, const std::string& body) {
  if (!w.in_flight || w.flight != flight) return;
  w.in_flight = false;
  w.connected = status == 200;
  if (now_ < w.hang_until) return;
  if (status == 200) {
    const auto batch = decode_commands(body);
    if (!batch || incarnation != w.incarnation || batch->fencing_token < w.fencing_token ||
        batch->fencing_token == 0)
      return;
    if (batch->fencing_token > w.fencing_token) w.changed = true;
    w.fencing_token = batch->fencing_token;
    w.last_ok_sent = std::max(w.last_ok_sent, sent);
    for (const Command& c : batch->commands) obey(w, c);
    return;
  }
  if (status == 421) {
    const std::size_t to = node_index(decode_redirect(body));
    if (to < nodes_.size() && to != w.node) {
      w.node = to;
      w.next_heartbeat = now_ + random_(500);
      return;
    }
  }
  w.node = (w.node + 1) % nodes_.size();
  w.next_heartbeat = now_ + 1000;
}

void SimulatedRegion::stop_work(Worker& w, WorkTask& t, const Command& c) {
  if (t.heartbeat.state == RunState::Exited) return;
  const User* user = user_of(c.key.job);
  if (is_gang(user)) return stop_gang_task(t, *user, c.grace_s, w);
  const bool saves = t.heartbeat.state == RunState::Running && user != nullptr &&
                     user->spec.checkpoint_s > 0 && c.grace_s >= user->spec.save_s;
  if (saves) {
    t.heartbeat.state = RunState::Saving;
    t.exits_at = now_ + ms(user->spec.save_s);
  } else if (t.heartbeat.state != RunState::Saving || c.grace_s <= 0) {
    if (t.on) ended(c.key, w.machine.name, false);
    t.on = false;
    t.heartbeat.state = RunState::Exited;
    t.heartbeat.cause = ExitCause::Stopped;
  }
  w.changed = true;
}

void SimulatedRegion::obey(Worker& w, const Command& c) {
  if (on_command) on_command(w.machine.name, c);
  auto& list = w.tasks[{c.key.job, c.key.index}];
  const auto same = std::find_if(list.begin(), list.end(), [&](const WorkTask& t) {
    return t.heartbeat.attempt == c.attempt;
  });
  switch (c.op) {
    case Command::Op::Start: {
      if (same != list.end()) return;
      WorkTask t;
      t.heartbeat.key = c.key;
      t.heartbeat.attempt = c.attempt;
      const User* user = user_of(c.key.job);
      const auto reject = [&](ExitCause cause) {
        t.heartbeat.state = RunState::Exited;
        t.heartbeat.cause = cause;
      };
      Resources used;
      for (const auto& [key, tasks] : w.tasks)
        for (const WorkTask& other : tasks)
          if (other.heartbeat.state != RunState::Exited)
            if (const User* u = user_of(key.first)) used += u->spec.need;
      if (user == nullptr) {
        reject(ExitCause::Unknown);
      } else if (std::any_of(list.begin(), list.end(), [](const WorkTask& o) {
                   return o.heartbeat.state != RunState::Exited;
                 })) {
        reject(ExitCause::Busy);
      } else if (used += user->spec.need; !used.fits_in(cloud_.types.front().size)) {
        reject(ExitCause::NoRoom);
      } else {
        checker_.start_taken(c.key.job);
        t.image_at = w.images.contains(user->spec.image)
                         ? now_ + 50
                         : now_ + static_cast<Time>(user->spec.image_gb * 200);
      }
      list.push_back(t);
      w.changed = true;
      return;
    }
    case Command::Op::Stop: {
      if (same != list.end()) stop_work(w, *same, c);
      return;
    }
    case Command::Op::Forget:
      if (same != list.end() && same->heartbeat.state == RunState::Exited) {
        list.erase(same);
        w.changed = true;
      }
      return;
  }
}

// A direct command, or its answer, which may be held up for seconds.
void SimulatedRegion::carry_command(const std::string& from, const std::string& to,
                                    std::function<void()> arrive) {
  if (strikes(slow_commands_))
    at(now_ + random_(6'000), std::move(arrive));
  else
    carry(from, to, std::move(arrive));
}

void SimulatedRegion::direct(std::size_t node, std::uint64_t call, const std::string& address,
                             const std::string& body) {
  const auto known = by_address_.find(address);
  if (known == by_address_.end()) return;
  const std::string name = known->second;
  const std::uint64_t incarnation = nodes_[node].incarnation;
  const auto execute = [=, this] { execute_direct(node, call, name, body, incarnation); };
  carry_command(nodes_[node].name, name, execute);
}

void SimulatedRegion::execute_direct(std::size_t node, std::uint64_t call, const std::string& name,
                                     const std::string& body, std::uint64_t incarnation) {
  command(name, body, [=, this](int status, const Heartbeat& heartbeat) {
    const auto response = [this, node, call, incarnation, status, heartbeat] {
      if (nodes_[node].incarnation != incarnation) return;
      nodes_[node].direct_calls.erase(call);
      feed(node, WorkerResponseReceived{call, status, heartbeat});
    };
    carry_command(name, nodes_[node].name, response);
  });
}

void SimulatedRegion::command(const std::string& name, const std::string& body,
                              const std::function<void(int, const Heartbeat&)>& then) {
  const auto it = workers_.find(name);
  if (it == workers_.end() || !it->second.alive || now_ < it->second.deaf_until) return;
  Worker& w = it->second;
  if (now_ < w.hang_until)  // carried out late
    return at(w.hang_until + 5, [=, this] { command(name, body, then); });
  int status = 400;
  const auto batch = decode_commands(body);
  if (batch && batch->incarnation) {
    status =
        batch->fencing_token < w.fencing_token || *batch->incarnation != w.incarnation ? 409 : 200;
    if (status == 200) {
      if (batch->fencing_token > w.fencing_token) w.changed = true;
      w.fencing_token = batch->fencing_token;
      for (const Command& c : batch->commands) obey(w, c);
    }
  }
  then(status, make_heartbeat(w));
}

void SimulatedRegion::inspect(const std::string& name,
                              const std::function<void(int, const Heartbeat&)>& then) {
  const auto it = workers_.find(name);
  if (it == workers_.end() || !it->second.alive || now_ < it->second.deaf_until) return;
  if (now_ < it->second.hang_until)
    return at(it->second.hang_until + 5, [=, this] { inspect(name, then); });
  then(200, make_heartbeat(it->second));
}

// A copy of a report, to all controllers at once; nobody waits for an answer.
void SimulatedRegion::deliver_everywhere(const std::string& raw) {
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (auto decoded = decode_heartbeat(raw)) feed(i, HeartbeatReceived{{}, *decoded, raw});
}

void SimulatedRegion::deliver_copies() {
  const int lead = leader();
  if (lead < 0) return;
  const std::uint64_t epoch = nodes_[static_cast<std::size_t>(lead)].controller->epoch();
  if (epoch <= copied_epoch_) return;
  copied_epoch_ = epoch;
  for (const std::string& raw : kept_heartbeats_)
    at(now_ + random_(300), [this, raw] { deliver_everywhere(raw); });
  kept_heartbeats_.clear();
}

// Names tasks that wait although a machine that suits them has room and their team is under its
// limit.
void SimulatedRegion::watch_waiting() {
  if (!checker_.is_calm()) return;
  const Occupancy now = occupancy();
  for (const auto& u : users_) checker_.waiting(u->spec.id, could_start(*u, now), now_);
}

SimulatedRegion::Occupancy SimulatedRegion::occupancy() const {
  Occupancy out;
  for (const auto& [name, w] : workers_) {
    if (!w.alive || !cloud_.machines.contains(name)) continue;
    Room room{&w, cloud_.types.front().size};
    for (const auto& [key, list] : w.tasks)
      for (const WorkTask& t : list) {
        const User* u = user_of(key.first);
        if (u == nullptr || t.heartbeat.state == RunState::Exited) continue;
        room.free -= u->spec.need;
        out.used[u->spec.team] += u->spec.need;
        ++out.zones[key.first][w.machine.zone];
        ++out.tasks[key.first];
      }
    if (now_ >= std::max({w.hang_until, w.deaf_until, w.mute_until}) && w.notice_at == 0)
      out.rooms.push_back(room);
  }
  return out;
}

bool SimulatedRegion::could_start(const User& u, const Occupancy& now) const {
  const JobSpec& s = u.spec;
  const auto tasks = now.tasks.find(s.id);
  const std::size_t there = tasks == now.tasks.end() ? 0 : tasks->second;
  const bool wants = u.accepted && !u.over && !u.cancelling &&
                     (u.cancel_at == 0 || now_ < u.cancel_at) &&
                     there + u.completed.size() < s.tasks;
  if (!wants || !team_allows(s, now)) return false;
  if (s.kind == JobKind::Gang) return there == 0 && gang_could_start(s, now);
  const auto found = now.zones.find(s.id);
  static const std::map<std::string, std::size_t> kNowhere;
  const auto& zones = found == now.zones.end() ? kNowhere : found->second;
  return std::any_of(now.rooms.begin(), now.rooms.end(), [&](const Room& room) {
    const std::string& zone = room.worker->machine.zone;
    const auto in = zones.find(zone);
    if (room.worker->machine.spot && !s.spot) return false;
    if (!s.zone.empty() && s.zone != zone) return false;
    if (s.one_zone && !zones.empty() && in == zones.end()) return false;
    if (s.spread && in != zones.end() && in->second >= (s.tasks + 1) / 2) return false;
    return s.need.fits_in(room.free);
  });
}

// All of it has room at once, in one zone if need be. Spread gangs aren't judged.
bool SimulatedRegion::gang_could_start(const JobSpec& s, const Occupancy& now) {
  if (s.spread) return false;
  std::map<std::string, std::uint32_t> slots;
  for (Room room : now.rooms) {
    const std::string& zone = room.worker->machine.zone;
    if ((room.worker->machine.spot && !s.spot) || (!s.zone.empty() && s.zone != zone)) continue;
    for (; s.need.fits_in(room.free); room.free -= s.need) ++slots[s.one_zone ? zone : ""];
  }
  return std::any_of(slots.begin(), slots.end(),
                     [&](const auto& entry) { return entry.second >= s.tasks; });
}

bool SimulatedRegion::team_allows(const JobSpec& s, const Occupancy& now) const {
  const auto it = now.used.find(s.team);
  Resources used = it == now.used.end() ? Resources{} : it->second;
  if (s.kind == JobKind::Gang) used += s.need.times(s.tasks - 1);
  return std::any_of(settings_[0].teams.begin(), settings_[0].teams.end(), [&](const Team& t) {
    return t.name == s.team && (t.gpus_max <= 0 || used.gpus + s.need.gpus <= t.gpus_max) &&
           (t.cpus_max <= 0 || used.cpus + s.need.cpus <= t.cpus_max);
  });
}

}  // namespace sailreel::sim
