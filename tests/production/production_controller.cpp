// Translates between the present version's types and those of the version in production, whose
// sources are under `production/` in the build directory with their namespace renamed. Messages
// between controllers are encoded with the codec of one version and decoded with that of the other.
#include "production/production_controller.hpp"

#include "production/coordination/core.hpp"
#include "production/protocol/peer_frames.hpp"
#include "production/protocol/worker_codec.hpp"
#include "protocol/peer_frames.hpp"
#include "protocol/worker_codec.hpp"

namespace sailreel::sim {
namespace {

namespace old = sailreel_production;

old::Settings translate(const Settings& s) {
  old::Settings out;
  out.name = s.name;
  out.zone = s.zone;
  out.listen = s.listen;
  out.peer_listen = s.peer_listen;
  for (const PeerSettings& peer : s.peers)
    out.siblings.push_back({peer.name, peer.zone, peer.address});
  out.cloud = s.cloud;
  out.state = s.state;
  out.zones = s.zones;
  for (const Team& t : s.teams)
    out.teams.push_back({t.name, t.cpus, t.cpus_max, t.gpus, t.gpus_max});
  for (const ServiceLevelObjective& o : s.objectives)
    out.objectives.push_back({o.kind, o.job_class, o.within_s, o.share});
  out.workers.report_s = s.workers.heartbeat_interval_s;
  out.workers.lease_s = s.workers.lease_s;
  out.workers.cancel_s = s.workers.cancel_s;
  out.store.rps = s.store.rps;
  out.store.write_rps = s.store.write_rps;
  out.store.value_kb = s.store.value_kb;
  out.store.txn_ops = s.store.txn_ops;
  out.market.rps = s.cloud_limits.rps;
  out.market.list_lag_s = s.cloud_limits.list_lag_s;
  out.limits.cpu = s.limits.cpu;
  out.limits.memory_mb = s.limits.memory_mb;
  out.limits.sockets = s.limits.sockets;
  return out;
}

old::Origin translate(const RequestSource& o) {
  return {static_cast<old::Origin::Kind>(o.kind), o.link, o.call};
}
RequestSource translate(const old::Origin& o) {
  return {static_cast<RequestSource::Kind>(o.kind), o.link, o.call};
}

old::Resources translate(const Resources& r) { return {r.cpus, r.gpus, r.memory_gb}; }

// Converts a heartbeat as the codec of the version in production decodes it: a run state that is
// unknown to that version counts as fetching, and an unknown exit cause as an error.
old::Report translate(const Heartbeat& r) {
  old::Report out;
  out.machine = r.machine;
  out.address = r.address;
  out.type = r.type;
  out.zone = r.zone;
  out.spot = r.spot;
  out.session = r.incarnation;
  out.seq = r.seq;
  out.token = r.fencing_token;
  out.notice_s = r.notice_s;
  for (const TaskStatus& t : r.tasks) {
    const RunState state = t.state == RunState::Waiting ? RunState::Fetching : t.state;
    const ExitCause cause = t.cause > ExitCause::Unknown ? ExitCause::Error : t.cause;
    out.tasks.push_back({{t.key.job, t.key.index},
                         t.attempt,
                         static_cast<old::RunState>(state),
                         static_cast<old::ExitCause>(cause),
                         t.saved});
  }
  return out;
}

old::StateReply translate(const KvResponse& r) {
  old::StateReply out{r.status, r.revision, r.lease, {}, r.more};
  for (const KvItem& i : r.items) out.items.push_back({i.key, i.value, i.version, i.deleted});
  return out;
}

old::CloudReply translate(const CloudResponse& r) {
  old::CloudReply out;
  out.status = r.status;
  for (const MachineType& t : r.types)
    out.types.push_back({t.name, translate(t.size), t.cache_gb, t.fetch_gb_per_s, t.price,
                         t.spot_price, t.boot_s, t.zones});
  out.names = r.names;
  for (const ListedMachine& m : r.machines)
    out.machines.push_back({static_cast<old::ListedMachine::State>(m.state), m.name, m.address,
                            m.type, m.zone, m.spot, m.age_s});
  out.more = r.more;
  out.no_capacity = r.no_capacity;
  return out;
}

old::PeerMessage translate(const PeerMessage& m) {
  old::PeerReader reader;
  reader.feed(encode_peer(m));
  auto message = reader.next();
  // A frame that the version in production can't decode would close the link.
  if (!message)
    throw std::runtime_error(
        "the version in production cannot decode a frame of the present version");
  return *message;
}

PeerMessage translate(const old::PeerMessage& m) {
  PeerReader reader;
  reader.feed(old::encode_peer(m));
  auto message = reader.next();
  if (!message)
    throw std::runtime_error(
        "the present version cannot decode a frame of the version in production");
  return *message;
}

old::Input translate(const Input& input) {
  return std::visit(
      [](const auto& in) -> old::Input {
        using T = std::decay_t<decltype(in)>;
        if constexpr (std::is_same_v<T, Tick>) {
          return old::Tick{};
        } else if constexpr (std::is_same_v<T, UserRequest>) {
          return old::UserRequest{translate(in.source), static_cast<old::UserOp>(in.op), in.id,
                                  in.body};
        } else if constexpr (std::is_same_v<T, HeartbeatReceived>) {
          return old::WorkerReport{translate(in.source), translate(in.heartbeat), in.raw};
        } else if constexpr (std::is_same_v<T, KvResponseReceived>) {
          return old::StateAnswer{in.call, translate(in.reply)};
        } else if constexpr (std::is_same_v<T, CloudResponseReceived>) {
          return old::CloudAnswer{in.call, translate(in.reply)};
        } else if constexpr (std::is_same_v<T, WorkerResponseReceived>) {
          old::WorkerAnswer out{in.call, in.status, {}};
          if (in.heartbeat) out.report = translate(*in.heartbeat);
          return out;
        } else if constexpr (std::is_same_v<T, PeerMessageReceived>) {
          return old::PeerInput{in.peer, translate(in.message)};
        } else if constexpr (std::is_same_v<T, PeerDisconnected>) {
          return old::PeerLost{in.peer};
        } else {
          throw std::logic_error("the version in production does not have this kind of input");
        }
      },
      input);
}

KvRequest translate(const old::StateCall& c) {
  KvRequest out;
  out.kind = static_cast<KvRequest::Kind>(c.kind);
  out.key = c.key;
  out.from = c.from;
  out.limit = c.limit;
  out.lease = c.lease;
  out.revision = c.revision;
  out.ttl_ms = c.ttl_ms;
  out.wait_ms = c.wait_ms;
  for (const auto& condition : c.conditions)
    out.conditions.push_back({condition.key, condition.version});
  for (const auto& put : c.puts) out.puts.push_back({put.key, put.value, put.lease});
  out.deletes = c.deletes;
  return out;
}

CloudRequest translate(const old::CloudCall& c) {
  CloudRequest out;
  out.kind = static_cast<CloudRequest::Kind>(c.kind);
  out.scale_out = {c.rental.request, c.rental.type, c.rental.zone, c.rental.spot, c.rental.count};
  out.names = c.names;
  out.after = c.after;
  out.limit = c.limit;
  return out;
}

Action translate(const old::Action& action) {
  return std::visit(
      [](const auto& a) -> Action {
        using T = std::decay_t<decltype(a)>;
        if constexpr (std::is_same_v<T, old::Answer>)
          return Response{translate(a.origin), a.status, a.body, a.retry_after_s, a.valid_until};
        else if constexpr (std::is_same_v<T, old::CallState>)
          return CallKvStore{a.call, translate(a.request), a.timeout_ms};
        else if constexpr (std::is_same_v<T, old::CallCloud>)
          return CallCloud{a.call, translate(a.request), a.timeout_ms};
        else if constexpr (std::is_same_v<T, old::CallWorker>)
          return CallWorker{a.call, a.address, a.body, a.timeout_ms, a.valid_until};
        else if constexpr (std::is_same_v<T, old::SendPeer>)
          return SendPeer{a.sibling, translate(a.message)};
        else if constexpr (std::is_same_v<T, old::ArmTimer>)
          return ArmTimer{a.in_ms};
        else
          return Log{static_cast<Log::Level>(a.level), a.text + " version=production"};
      },
      action);
}

class ProductionController : public SimulatedController {
 public:
  ProductionController(const Settings& settings, std::uint64_t seed)
      : core_(translate(settings), old::Options{}, seed) {}
  std::vector<Action> step(Clock clock, Input input) override {
    // The version in production closes a link over which it receives a frame of an unknown kind.
    if (std::holds_alternative<RegionMessageReceived>(input)) return {};
    std::vector<Action> out;
    for (const old::Action& action : core_.step({clock.now, clock.wall_ms}, translate(input)))
      out.push_back(translate(action));
    return out;
  }
  [[nodiscard]] bool leading() const override { return core_.leading(); }
  [[nodiscard]] std::uint64_t epoch() const override { return core_.epoch(); }

 private:
  old::Core core_;
};

}  // namespace

std::unique_ptr<SimulatedController> make_production_controller(const Settings& settings,
                                                                std::uint64_t seed) {
  return std::make_unique<ProductionController>(settings, seed);
}

}  // namespace sailreel::sim
