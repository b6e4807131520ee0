#include "sim/world.hpp"

#include <cstdio>
#include <cstdlib>

#include "protocol/json.hpp"
#include "protocol/user_codec.hpp"
#include "protocol/worker_codec.hpp"

namespace sailreel::sim {
namespace {

constexpr Time kUserPoll = 5'000, kUserWait = 2'000, kSubmitWait = 5'000, kReportWait = 4'000;
constexpr Time kWorkerTick = 100;

std::vector<Command> parse_orders(const std::string& body, std::uint64_t& token) {
  json::Document doc;
  std::vector<Command> out;
  if (!json::parse_object(body, doc) || !json::get(doc, "helm", token)) return out;
  for (const auto& v : doc["orders"].GetArray()) {
    Command c;
    const std::string op = v["signal"].GetString(), task = v["hand"].GetString();
    c.op = op == "start"  ? Command::Op::Start
           : op == "kill" ? Command::Op::Stop
                          : Command::Op::Forget;
    const auto slash = task.rfind('/');
    c.key = {task.substr(0, slash), static_cast<std::uint32_t>(std::stoul(task.substr(slash + 1)))};
    c.attempt = v["launch"].GetUint64();
    if (c.op == Command::Op::Stop) c.grace_s = v["slack_s"].GetDouble();
    out.push_back(c);
  }
  return out;
}

std::string node_name(std::size_t i) { return "node-" + std::to_string(i); }

}  // namespace

Settings sample_settings(std::size_t node, std::uint32_t scale) {
  Settings s;
  const std::vector<std::string> zones{"za", "zb"};
  s.name = node_name(node);
  s.zone = zones[node % 2];
  s.listen = "10.0.0.1:8080";
  for (std::size_t i = 0; i < 3; ++i)
    if (i != node) s.siblings.push_back({node_name(i), zones[i % 2], "10.0.0.9:1"});
  s.zones = zones;
  const double large = scale > 1 ? 2 : 1;
  s.teams = {{"red", 0, 0, 16.0 * scale, 30.0 * large * scale},
             {"blue", 0, 0, 8.0 * scale, 12.0 * large * scale}};
  s.workers.report_s = 1;
  s.workers.lease_s = 10;
  s.workers.cancel_s = 30;
  s.store.rps = 200;
  s.store.write_rps = 30;
  s.store.value_kb = 8;
  s.store.txn_ops = 16;
  s.market.rps = 4;
  s.market.list_lag_s = 5;
  s.limits.memory_mb = 40;
  s.limits.sockets = 500;
  if (scale > 50) {  // what a fleet of many hundred machines comes with
    s.workers.report_s = 2.5;
    s.store.rps = 900;
    s.store.write_rps = 90;
    s.limits.memory_mb = 128;
    s.limits.sockets = 1600;
  }
  return s;
}

std::string submission(const JobSpec& s) {
  rapidjson::StringBuffer b;
  json::Writer w(b);
  const auto text = [&](const char* k, const std::string& v) {
    w.Key(k);
    json::put(w, v);
  };
  const auto number = [&](const char* k, double v) {
    w.Key(k);
    w.Double(v);
  };
  const auto flag = [&](const char* k, bool v) {
    w.Key(k);
    w.Bool(v);
  };
  w.StartObject();
  text("id", s.id);
  text("berth", s.job_class);
  text("crew", s.team);
  text("rig", s.kind == JobKind::Array ? "sweep" : s.kind == JobKind::Service ? "service" : "gang");
  static const char* const kPriority[] = {"critical", "urgent", "standard", "best_effort"};
  text("precedence", kPriority[static_cast<std::size_t>(s.priority)]);
  w.Key("hands");
  w.Uint(s.tasks);
  number("cores", s.need.cpus);
  number("cards", s.need.gpus);
  number("ram_gb", s.need.memory_gb);
  text("cargo", s.image);
  number("pull_gb", s.image_gb);
  if (!s.any_type) {
    w.Key("hulls");
    w.StartArray();
    for (const auto& t : s.types) json::put(w, t);
    w.EndArray();
  }
  if (!s.zone.empty()) text("harbor", s.zone);
  flag("together", s.one_zone);
  flag("spread", s.spread);
  flag("driftwood", s.spot);
  number("voyage_s", s.estimate_s);
  number("logbook_s", s.checkpoint_s);
  number("stow_s", s.save_s);
  if (s.deadline_s) number("landfall_s", *s.deadline_s);
  w.EndObject();
  return json::text(b);
}

World::World(const DayPlan& plan)
    : plan_(plan),
      random_(plan.seed),
      settings_{sample_settings(0, plan.scale), sample_settings(1, plan.scale),
                sample_settings(2, plan.scale)},
      checker_(settings_[0].teams, ms(settings_[0].workers.cancel_s)),
      cloud_(plan.seed * 31 + 7),
      nodes_(3) {
  MachineType t;
  t.name = "box";
  t.size = {16, 8, 128};
  t.cache_gb = 60;
  t.fetch_gb_per_s = 5;
  t.price = 10;
  t.spot_price = 3;
  t.boot_s = 12;
  t.zones = {"za", "zb"};
  cloud_.types = {t};
  for (const char* z : {"za", "zb"}) {
    cloud_.capacity[{z, false}] = 4 * static_cast<int>(plan.scale);
    cloud_.capacity[{z, true}] = 2 * static_cast<int>(plan.scale);
  }
  cloud_.on_rented = [this](const CloudMachine& m) {
    if (m.broken) return;
    at(m.boots, [this, m] {
      const auto it = cloud_.machines.find(m.name);
      if (it == cloud_.machines.end()) return;
      it->second.up = true;
      Worker& w = workers_[m.name];
      w.machine = m;
      w.began = w.last_ok_sent = now_;
      w.node = random_(3);
      w.drift = 1.0 + (static_cast<double>(random_(1000)) - 500) * 1e-6;
      by_address_[m.address] = m.name;
      worker_tick(m.name);
    });
  };
  cloud_.on_released = [this](const std::string& name) {
    if (workers_.contains(name)) kill_machine(name);
  };
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].name = node_name(i);
    start_node(i);
  }
  housekeeping();
  plan_jobs();
  if (plan.troubles) plan_troubles();
}

World::~World() = default;

void World::housekeeping() {
  state_.tick(now_);
  if (now_ % 1000 == 0) cloud_.tick(now_, ms(settings_[0].market.list_lag_s));
  at(now_ + 20, [this] { housekeeping(); });
}

void World::at(Time t, std::function<void()> run) {
  events_.push({std::max(t, now_), order_++, std::move(run)});
}

void World::run_until(Time t) {
  while (!events_.empty() && events_.top().at <= t) {
    Event e = events_.top();
    events_.pop();
    now_ = e.at;
    e.run();
    checker_.step(now_);
  }
  now_ = t;
}

Time World::delay() { return random_(200) == 0 ? 100 + random_(300) : 1 + random_(4); }

void World::carry(const std::string& from, const std::string& to, std::function<void()> arrive) {
  const auto [until, hold] = cut_between(from, to);
  if (now_ < until) {
    if (hold) at(until + delay(), std::move(arrive));
    return;
  }
  if (random_(1'000'000) < plan_.loss * 1'000'000) return;
  at(now_ + delay(), std::move(arrive));
}

void World::start_node(std::size_t i) {
  Node& n = nodes_[i];
  ++n.life;
  n.direct_calls.clear();
  n.drift = 1.0 + static_cast<double>(random_(500)) * 1e-6;
  n.core = std::make_unique<Core>(settings_[i], Options{}, plan_.seed * 1000 + n.life * 10 + i);
  feed(i, Tick{});
}

void World::feed(std::size_t i, Input input) {
  Node& n = nodes_[i];
  if (!n.core) return;
  if (now_ < n.frozen_until) {
    const auto held = std::make_shared<Input>(std::move(input));
    return at(n.frozen_until, [this, i, held, life = n.life] {
      if (nodes_[i].life == life) feed(i, std::move(*held));
    });
  }
  const Clock clock{static_cast<Time>(static_cast<double>(now_) * n.drift) + 1'000'000,
                    1'700'000'000'000 + now_ + static_cast<Time>(random_(10)) - 5};
  auto actions = n.core->step(clock, std::move(input));
  const std::uint64_t life = n.life;
  for (Action& a : actions)
    if (n.core && n.life == life) act(i, a);
}

void World::act(std::size_t i, Action& action) {
  Node& n = nodes_[i];
  const std::uint64_t life = n.life;
  const auto alive = [this, i, life] { return nodes_[i].core && nodes_[i].life == life; };
  if (auto* line = std::get_if<Log>(&action)) {
    // For finding out what happened on a day that fails.
    static const bool wanted = std::getenv("SIM_LOG") != nullptr;
    if (wanted)
      std::fprintf(stderr, "%8.3f %s %s\n", now_ / 1000.0, n.name.c_str(), line->text.c_str());
  } else if (auto* arm = std::get_if<ArmTimer>(&action)) {
    at(now_ + arm->in_ms, [this, i, alive] {
      if (alive()) feed(i, Tick{});
    });
  } else if (auto* answer = std::get_if<Answer>(&action)) {
    node_answer(i, *answer);
  } else if (auto* call = std::get_if<CallState>(&action)) {
    const auto done = std::make_shared<bool>(false);
    const auto finish = [this, i, alive, done, id = call->call](const StateReply& r) {
      if (*done || !alive()) return;
      *done = true;
      feed(i, StateAnswer{id, r});
    };
    carry(n.name, "state", [this, i, request = call->request, finish] {
      const bool refused = now_ < nodes_[i].refused_until;
      state_.handle(request, refused, now_, [this, i, finish](StateReply r) {
        carry("state", node_name(i), [finish, r] { finish(r); });
      });
    });
    at(now_ + call->timeout_ms, [finish] { finish(StateReply{}); });
  } else if (auto* cloud = std::get_if<CallCloud>(&action)) {
    const auto done = std::make_shared<bool>(false);
    const auto finish = [this, i, alive, done, id = cloud->call](const CloudReply& r) {
      if (*done || !alive()) return;
      *done = true;
      feed(i, CloudAnswer{id, r});
    };
    carry(n.name, "cloud", [this, i, request = cloud->request, finish] {
      const CloudReply r = cloud_.handle(request, now_);
      carry("cloud", node_name(i), [finish, r] { finish(r); });
    });
    at(now_ + cloud->timeout_ms, [finish] { finish(CloudReply{}); });
  } else if (auto* worker = std::get_if<CallWorker>(&action)) {
    const auto fail = [this, i, alive, id = worker->call] {
      if (!alive()) return;
      nodes_[i].direct_calls.erase(id);
      feed(i, WorkerAnswer{id, 0, {}});
    };
    if (n.direct_calls.size() >= settings_[i].limits.sockets / 4) return at(now_, fail);
    n.direct_calls.insert(worker->call);
    direct(i, worker->call, worker->address, worker->body);
    at(now_ + worker->timeout_ms, fail);
  } else if (auto* peer = std::get_if<SendPeer>(&action)) {
    const std::string to = settings_[i].siblings[peer->sibling].name;
    const std::size_t j = static_cast<std::size_t>(to.back() - '0');
    // Over the real frames, so that these are in the test too.
    carry(n.name, to, [this, i, j, bytes = encode_peer(peer->message)] {
      PeerReader reader;
      reader.feed(bytes);
      auto m = reader.next();
      if (!m) return;
      if (m->kind == PeerMessage::Kind::Request) {
        const Origin origin{Origin::Kind::Peer, i, m->request.call};
        if (m->request.op != UserOp::Report)
          return feed(j, UserRequest{origin, m->request.op, m->request.id, m->request.body});
        if (auto report = decode_report(m->request.body))
          feed(j, WorkerReport{origin, *report, m->request.body});
        return;
      }
      const auto& siblings = settings_[j].siblings;
      for (std::size_t k = 0; k < siblings.size(); ++k)
        if (siblings[k].name == node_name(i)) feed(j, PeerInput{k, *m});
    });
  }
}

void World::node_answer(std::size_t i, const Answer& a) {
  if (a.origin.kind == Origin::Kind::Peer) {
    const auto j = static_cast<std::size_t>(a.origin.link);
    PeerMessage m;
    m.kind = PeerMessage::Kind::Answer;
    m.answer = {a.origin.call, a.status, a.retry_after_s, a.body};
    carry(nodes_[i].name, node_name(j), [this, i, j, m] {
      const auto& siblings = settings_[j].siblings;
      for (std::size_t k = 0; k < siblings.size(); ++k)
        if (siblings[k].name == node_name(i)) feed(j, PeerInput{k, m});
    });
    return;
  }
  if (const auto it = answers_.find(a.origin.link); it != answers_.end()) {
    const auto then = std::move(it->second);
    answers_.erase(it);
    then(a.status, a.body);
  }
}

// ---- workers ----

Report World::make_report(Worker& w) {
  Report r;
  r.machine = w.machine.name;
  r.address = w.machine.address;
  r.type = w.machine.type;
  r.zone = w.machine.zone;
  r.spot = w.machine.spot;
  r.session = w.session;
  r.seq = ++w.seq;
  r.token = w.token;
  if (w.notice_at > 0)
    r.notice_s = static_cast<double>(std::max<Time>(0, w.notice_at - now_)) / 1000;
  for (const auto& [key, list] : w.tasks)
    for (const WorkTask& t : list) r.tasks.push_back(t.report);
  return r;
}

void World::ended(const TaskKey& key, const std::string& machine, bool completed) {
  checker_.ended(key, machine, completed);
  if (on_ended) on_ended(key, machine);
}

void World::lapse(Worker& w) {
  for (const auto& [key, list] : w.tasks)
    for (const WorkTask& t : list)
      if (t.on) ended(t.report.key, w.machine.name, false);
  w.tasks.clear();
  ++w.session;
  w.began = w.last_ok_sent = now_;
  w.in_flight = false;
  w.changed = true;
}

void World::worker_tick(const std::string& name) {
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
    for (WorkTask& t : list) {
      ReportedTask& r = t.report;
      const auto end = [&](ExitCause cause) {
        if (t.on) ended(r.key, w.machine.name, cause == ExitCause::Done);
        t.on = false;
        r.state = RunState::Exited;
        r.cause = cause;
        w.changed = true;
      };
      if (r.state == RunState::Fetching && now_ >= t.image_at) {
        r.state = RunState::Running;
        t.on = true;
        w.changed = true;
        checker_.started(r.key, {name, w.machine.type, w.machine.zone, w.machine.spot}, now_);
        if (const User* u = user_of(r.key.job)) {
          w.images.insert(u->spec.image);
          if (u->spec.kind == JobKind::Array)
            t.done_at = w.done.contains(r.key.job + "/" + std::to_string(r.key.index))
                            ? now_
                            : now_ + static_cast<Time>(u->spec.estimate_s * (500 + random_(1000)));
        }
      }
      if (r.state == RunState::Running && t.done_at > 0 && now_ >= t.done_at) {
        w.done.insert(r.key.job + "/" + std::to_string(r.key.index));
        end(ExitCause::Done);
        if (on_completed) on_completed(r.key, name);
      }
      if (r.state == RunState::Saving && now_ >= t.exits_at) {
        r.saved = true;
        end(ExitCause::Stopped);
      }
    }
  if (!w.in_flight && (now_ >= w.next_report || (w.changed && now_ - w.last_report >= 500)))
    send_report(w);
  at(now_ + kWorkerTick, [this, name] { worker_tick(name); });
}

void World::send_report(Worker& w) {
  const std::string name = w.machine.name;
  const Report report = make_report(w);
  const Time sent = now_;
  const std::uint64_t flight = ++w.flight, session = w.session;
  w.in_flight = true;
  w.changed = false;
  w.last_report = now_;
  const Time interval = ms(settings_[0].workers.report_s);
  w.next_report = now_ + interval * 3 / 4 +
                  static_cast<Time>(random_(static_cast<std::uint32_t>(interval / 2)));
  const std::size_t i = w.node;
  const std::uint64_t call = next_call_++;
  const auto finish = [this, name, flight, sent, session](int status, const std::string& body) {
    const auto it = workers_.find(name);
    if (it == workers_.end() || !it->second.alive || now_ < it->second.deaf_until) return;
    take_answer(it->second, flight, sent, session, status, body);
  };
  answers_[call] = [this, i, name, finish](int status, const std::string& body) {
    carry(node_name(i), name, [finish, status, body] { finish(status, body); });
  };
  // What is handed on between nodes is never looked into by this stand-in, so its form is free.
  const std::string raw = [&] {
    rapidjson::StringBuffer b;
    json::Writer j(b);
    j.StartObject();
    const auto text = [&](const char* k, const std::string& v) {
      j.Key(k);
      json::put(j, v);
    };
    const auto whole = [&](const char* k, std::uint64_t v) {
      j.Key(k);
      j.Uint64(v);
    };
    text("vessel", report.machine);
    text("endpoint", report.address);
    text("hull", report.type);
    text("harbor", report.zone);
    j.Key("driftwood");
    j.Bool(report.spot);
    whole("watch", report.session);
    whole("bell", report.seq);
    whole("helm", report.token);
    if (report.notice_s) {
      j.Key("recall_s");
      j.Double(*report.notice_s);
    }
    j.Key("hands");
    j.StartArray();
    static const char* const kState[] = {"pulling", "running", "flushing", "ended"};
    static const char* const kCause[] = {"",        "done", "stopped", "error",
                                         "no_room", "busy", "unknown"};
    for (const ReportedTask& t : report.tasks) {
      j.StartObject();
      text("hand", t.key.job + "/" + std::to_string(t.key.index));
      whole("launch", t.attempt);
      text("heading", kState[static_cast<std::size_t>(t.state)]);
      if (t.state == RunState::Exited) text("wake", kCause[static_cast<std::size_t>(t.cause)]);
      j.EndObject();
    }
    j.EndArray();
    j.EndObject();
    return json::text(b);
  }();
  const auto deliver = [this, i, raw](Origin origin) {
    ++reports_;
    if (auto decoded = decode_report(raw)) feed(i, WorkerReport{origin, *decoded, raw});
  };
  carry(name, node_name(i), [this, i, deliver, call, finish] {
    if (!nodes_[i].core) return finish(0, "");
    deliver({Origin::Kind::Local, call, 0});
  });
  if (random_(1000) < plan_.late_copies * 1000)
    at(now_ + 1000 + random_(40'000),
       [this, name, i, deliver] { carry(name, node_name(i), [deliver] { deliver({}); }); });
  at(now_ + kReportWait, [this, name, call, flight, sent, session] {
    answers_.erase(call);
    const auto it = workers_.find(name);
    if (it != workers_.end() && it->second.alive)
      take_answer(it->second, flight, sent, session, 0, "");
  });
}

void World::take_answer(Worker& w, std::uint64_t flight, Time sent, std::uint64_t session,
                        int status, const std::string& body) {
  if (!w.in_flight || w.flight != flight) return;
  w.in_flight = false;
  if (now_ < w.hang_until) return;
  if (status == 200) {
    std::uint64_t token = 0;
    const auto orders = parse_orders(body, token);
    if (session != w.session || token < w.token || token == 0) return;
    if (token > w.token) w.changed = true;
    w.token = token;
    w.last_ok_sent = std::max(w.last_ok_sent, sent);
    for (const Command& c : orders) obey(w, c);
    return;
  }
  const auto quoted = body.find("node-");
  if (status == 421 && quoted != std::string::npos) {
    const auto to = static_cast<std::size_t>(body[quoted + 5] - '0');
    if (to != w.node) {
      w.node = to;
      w.next_report = now_ + random_(500);
      return;
    }
  }
  w.node = (w.node + 1) % 3;
  w.next_report = now_ + 1000;
}

void World::obey(Worker& w, const Command& c) {
  if (on_command) on_command(w.machine.name, c);
  auto& list = w.tasks[{c.key.job, c.key.index}];
  const auto same = std::find_if(list.begin(), list.end(),
                                 [&](const WorkTask& t) { return t.report.attempt == c.attempt; });
  switch (c.op) {
    case Command::Op::Start: {
      if (same != list.end()) return;
      WorkTask t;
      t.report.key = c.key;
      t.report.attempt = c.attempt;
      const User* user = user_of(c.key.job);
      const auto refuse = [&](ExitCause cause) {
        t.report.state = RunState::Exited;
        t.report.cause = cause;
      };
      Resources used;
      for (const auto& [key, tasks] : w.tasks)
        for (const WorkTask& other : tasks)
          if (other.report.state != RunState::Exited)
            if (const User* u = user_of(key.first)) used += u->spec.need;
      if (user == nullptr) {
        refuse(ExitCause::Unknown);
      } else if (std::any_of(list.begin(), list.end(), [](const WorkTask& o) {
                   return o.report.state != RunState::Exited;
                 })) {
        refuse(ExitCause::Busy);
      } else if (used += user->spec.need; !used.fits_in(cloud_.types.front().size)) {
        refuse(ExitCause::NoRoom);
      } else {
        t.image_at = w.images.contains(user->spec.image)
                         ? now_ + 50
                         : now_ + static_cast<Time>(user->spec.image_gb * 200);
      }
      list.push_back(t);
      w.changed = true;
      return;
    }
    case Command::Op::Stop: {
      if (same == list.end() || same->report.state == RunState::Exited) return;
      const User* user = user_of(c.key.job);
      const bool saves = same->report.state == RunState::Running && user != nullptr &&
                         user->spec.checkpoint_s > 0 && c.grace_s >= user->spec.save_s;
      if (saves) {
        same->report.state = RunState::Saving;
        same->exits_at = now_ + ms(user->spec.save_s);
      } else if (same->report.state != RunState::Saving || c.grace_s <= 0) {
        if (same->on) ended(c.key, w.machine.name, false);
        same->on = false;
        same->report.state = RunState::Exited;
        same->report.cause = ExitCause::Stopped;
      }
      w.changed = true;
      return;
    }
    case Command::Op::Forget:
      if (same != list.end() && same->report.state == RunState::Exited) {
        list.erase(same);
        w.changed = true;
      }
      return;
  }
}

void World::direct(std::size_t node, std::uint64_t call, const std::string& address,
                   const std::string& body) {
  const auto known = by_address_.find(address);
  if (known == by_address_.end()) return;
  const std::string name = known->second;
  const std::uint64_t life = nodes_[node].life;
  carry(node_name(node), name, [=, this] { execute_direct(node, call, name, body, life); });
}

void World::execute_direct(std::size_t node, std::uint64_t call, const std::string& name,
                           const std::string& body, std::uint64_t life) {
  const auto it = workers_.find(name);
  if (it == workers_.end() || !it->second.alive || now_ < it->second.deaf_until) return;
  Worker& w = it->second;
  if (now_ < w.hang_until)  // carried out late
    return at(w.hang_until + 5, [=, this] { execute_direct(node, call, name, body, life); });
  json::Document doc;
  std::uint64_t token = 0, session = 0;
  int status = 400;
  if (json::parse_object(body, doc) && json::get(doc, "helm", token) &&
      json::get(doc, "watch", session)) {
    status = token < w.token || session != w.session ? 409 : 200;
    if (status == 200) {
      if (token > w.token) w.changed = true;
      w.token = token;
      for (const Command& c : parse_orders(body, token)) obey(w, c);
    }
  }
  const Report report = make_report(w);
  carry(name, node_name(node), [this, node, call, life, status, report] {
    if (nodes_[node].life != life) return;
    nodes_[node].direct_calls.erase(call);
    feed(node, WorkerAnswer{call, status, report});
  });
}

// ---- users ----

const World::User* World::user_of(const std::string& job) const {
  const auto it = by_job_.find(job);
  return it == by_job_.end() ? nullptr : it->second;
}

void World::submit(const JobSpec& spec, Time cancel_at) {
  auto u = std::make_unique<User>();
  u->spec = spec;
  u->body = submission(spec);
  u->cancel_at = cancel_at;
  u->first = now_;
  by_job_[spec.id] = u.get();
  users_.push_back(std::move(u));
  checker_.submitted(spec);
  user_tick(users_.size() - 1);
}

void World::user_tick(std::size_t index) {
  User& u = *users_[index];
  if (u.over && now_ - u.first > plan_.length) return;
  UserOp op = UserOp::Query;
  if (!u.accepted) {
    op = UserOp::Submit;
  } else if (u.cancel_at > 0 && now_ >= u.cancel_at && !u.over) {
    op = UserOp::Cancel;
    checker_.cancel_asked(u.spec.id);
  } else if (u.over && random_(4) == 0) {
    op = UserOp::Submit;  // a repeat, long after
  }
  std::vector<std::size_t> healthy;
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i].core) healthy.push_back(i);
  if (healthy.empty()) {
    at(now_ + 1000, [this, index] { user_tick(index); });
    return;
  }
  const std::size_t i = healthy[random_(static_cast<std::uint32_t>(healthy.size()))];
  const std::uint64_t call = next_call_++;
  u.call = call;
  answers_[call] = [this, i, index, call, op](int status, const std::string& body) {
    carry(node_name(i), "users",
          [this, index, call, op, status, body] { user_answer(index, call, op, status, body); });
  };
  carry("users", node_name(i), [this, i, call, op, index] {
    const User& user = *users_[index];
    feed(i, UserRequest{{Origin::Kind::Local, call, 0},
                        op,
                        op == UserOp::Submit ? "" : user.spec.id,
                        op == UserOp::Submit ? user.body : ""});
  });
  at(now_ + (op == UserOp::Query ? kUserWait : kSubmitWait), [this, index, call, op] {
    answers_.erase(call);
    user_answer(index, call, op, 0, "");
  });
}

void World::user_answer(std::size_t index, std::uint64_t call, UserOp op, int status,
                        const std::string& body) {
  User& u = *users_[index];
  if (u.call != call) return;
  u.call = 0;
  if (op == UserOp::Submit && status == 0) ++unanswered_;
  json::Document doc;
  std::string state;
  if (status == 200 || status == 201) {
    if (!json::parse_object(body, doc) || !json::get(doc, "heading", state)) {
      ++malformed_;
    } else {
      u.accepted = true;
      checker_.told(u.spec.id, state, now_);
      if (state == "done" || state == "cancelled") u.over = true;
    }
  } else if (op == UserOp::Query && status != 404) {
    checker_.unanswered(u.spec.id, now_);
  } else if (status == 404 || status == 400 || status == 422) {
    checker_.refused(u.spec.id, status, op != UserOp::Submit);
  }
  const Time pause = status == 200 || status == 201
                         ? (u.over ? 20'000 : kUserPoll) + static_cast<Time>(random_(1000))
                         : 1000 + static_cast<Time>(random_(200));
  at(now_ + pause, [this, index] { user_tick(index); });
}

// ---- troubles ----

int World::leader() const {
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i].core && nodes_[i].core->leading()) return static_cast<int>(i);
  return -1;
}

std::vector<std::string> World::machines_up() const {
  std::vector<std::string> out;
  for (const auto& [name, w] : workers_)
    if (w.alive) out.push_back(name);
  return out;
}

void World::kill(std::size_t node, Time for_ms) {
  Node& n = nodes_[node];
  if (!n.core) return;
  n.core.reset();
  n.frozen_until = 0;
  ++n.life;
  for (std::size_t j = 0; j < nodes_.size(); ++j) {
    if (j == node) continue;
    const auto& siblings = settings_[j].siblings;
    for (std::size_t k = 0; k < siblings.size(); ++k)
      if (siblings[k].name == n.name)
        carry(n.name, nodes_[j].name, [this, j, k] { feed(j, PeerLost{k}); });
  }
  at(now_ + for_ms, [this, node] {
    if (!nodes_[node].core) start_node(node);
  });
}

void World::cut(const std::string& a, const std::string& b, Time for_ms, bool hold) {
  const auto key = std::minmax(a, b);
  cuts_[{key.first, key.second}] = {now_ + for_ms, hold};
}

void World::cut_zone(const std::string& zone, Time for_ms, bool hold) {
  zone_cuts_[zone] = {now_ + for_ms, hold};
}

std::string World::zone_of(const std::string& host) const {
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i].name == host) return settings_[i].zone;
  const auto it = workers_.find(host);
  return it == workers_.end() ? std::string() : it->second.machine.zone;
}

std::pair<Time, bool> World::cut_between(const std::string& a, const std::string& b) const {
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

void World::freeze(std::size_t node, Time for_ms) { nodes_[node].frozen_until = now_ + for_ms; }

void World::refuse_state(std::size_t node, Time for_ms) {
  nodes_[node].refused_until = now_ + for_ms;
}

void World::state_outage(Time for_ms) {
  state_.outage = true;
  at(now_ + for_ms, [this] { state_.outage_over(now_); });
}

void World::kill_machine(const std::string& name) {
  Worker& w = workers_[name];
  if (!w.alive) return;
  w.alive = false;
  for (const auto& [key, list] : w.tasks)
    for (const WorkTask& t : list)
      if (t.on) ended(t.report.key, name, false);
}

void World::hang_machine(const std::string& name, Time for_ms) {
  workers_[name].hang_until = now_ + for_ms;
  // Beyond its lease a machine that hangs counts as having lost its tasks.
  const Time lease = ms(settings_[0].workers.lease_s);
  at(now_ + lease + 100, [this, name, until = now_ + for_ms] {
    Worker& w = workers_[name];
    if (w.alive && now_ < until)
      for (auto& [key, list] : w.tasks)
        for (WorkTask& t : list) {
          if (t.on) ended(t.report.key, name, false);
          t.on = false;
        }
  });
}

void World::deafen_machine(const std::string& name, Time for_ms) {
  workers_[name].deaf_until = now_ + for_ms;
}

void World::notice_machine(const std::string& name, Time in_ms) {
  workers_[name].notice_at = now_ + in_ms;
  at(now_ + in_ms, [this, name] {
    cloud_.machines.erase(name);
    kill_machine(name);
  });
}

void World::plan_jobs() {
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
    const Time when = n < plan_.jobs / 3
                          ? 500 + random_(2000)
                          : 5'000 + random_(static_cast<std::uint32_t>(plan_.length * 6 / 10));
    const bool cancelled = s.kind == JobKind::Service || random_(6) == 0;
    const Time cancel_at = cancelled ? when + 10'000 + random_(60'000) : 0;
    at(when, [this, s, cancel_at] { submit(s, cancel_at); });
  }
}

void World::plan_troubles() {
  const auto span = static_cast<std::uint32_t>(plan_.troubles_until - plan_.troubles_from);
  const std::uint32_t count = 6 + random_(6);
  for (std::uint32_t n = 0; n < count; ++n) {
    const Time when = plan_.troubles_from + random_(span);
    const std::uint32_t kind = random_(16);
    at(when, [this, kind] {
      const auto node = random_(3);
      const int lead = leader();
      const std::size_t target =
          lead >= 0 && random_(2) == 0 ? static_cast<std::size_t>(lead) : node;
      const auto up = machines_up();
      const std::string machine =
          up.empty() ? "" : up[random_(static_cast<std::uint32_t>(up.size()))];
      const Time span_ms = 2'000 + random_(25'000);
      const bool hold = random_(2) == 0;
      switch (kind) {
        case 0:
          kill(target, random_(3) == 0 ? 200 : 6'000);
          break;
        case 1:
          for (std::size_t i = 0; i < 3; ++i) kill(i, 6'000);
          break;
        case 2:  // from everything
          for (const std::string& other :
               {std::string("state"), std::string("cloud"), std::string("users"),
                node_name((target + 1) % 3), node_name((target + 2) % 3)})
            cut(node_name(target), other, span_ms, hold);
          for (const auto& m : up) cut(node_name(target), m, span_ms, hold);
          break;
        case 3:
          cut(node_name(target), "state", span_ms, hold);
          break;
        case 4:
          for (const auto& m : up) cut(node_name(target), m, span_ms, hold);
          break;
        case 5:
          refuse_state(target, span_ms);
          break;
        case 6:
          state_outage(5'000 + random_(12'000));
          break;
        case 7:  // from the state service and the other controllers, but not from the workers
          cut(node_name(target), "state", span_ms, hold);
          for (std::size_t i = 0; i < 3; ++i)
            if (i != target) cut(node_name(target), node_name(i), span_ms, hold);
          break;
        case 8:
          if (!machine.empty()) {
            cloud_.machines.erase(machine);
            kill_machine(machine);
          }
          break;
        case 12:  // one machine, from all controllers
        case 13:
          for (std::size_t i = 0; i < 3; ++i)
            if (!machine.empty()) cut(node_name(i), machine, span_ms, hold);
          break;
        case 14:
          cut_zone(random_(2) == 0 ? "za" : "zb", span_ms, hold);
          break;
        case 15:
          freeze(target, span_ms);
          break;
        case 9:
          if (!machine.empty()) hang_machine(machine, span_ms);
          break;
        case 10:
          if (!machine.empty()) deafen_machine(machine, span_ms);
          break;
        default:
          // One machine is taken back; where there are many, a wave of them.
          for (std::size_t k = 0; k < up.size();
               k += std::max<std::size_t>(1, up.size() / plan_.scale))
            notice_machine(k == 0 ? machine : up[k], 5'000);
          break;
      }
    });
  }
}

}  // namespace sailreel::sim
