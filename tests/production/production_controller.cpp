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

old::Settings translate(const Settings& settings) {
  old::Settings out;
  out.name = settings.name;
  out.zone = settings.zone;
  out.listen = settings.listen;
  out.peer_listen = settings.peer_listen;
  for (const PeerSettings& peer : settings.peers)
    out.siblings.push_back({peer.name, peer.zone, peer.address});
  out.cloud = settings.cloud_endpoint;
  out.state = settings.store_endpoint;
  out.zones = settings.zones;
  for (const Team& team : settings.teams)
    out.teams.push_back({team.name, team.cpus, team.cpus_max, team.gpus, team.gpus_max});
  for (const ServiceLevelObjective& objective : settings.objectives)
    out.objectives.push_back(
        {objective.kind, objective.job_class, objective.within_s, objective.share});
  out.workers.report_s = settings.workers.heartbeat_interval_s;
  out.workers.lease_s = settings.workers.lease_s;
  out.workers.cancel_s = settings.workers.cancel_s;
  out.store.rps = settings.store_limits.rps;
  out.store.write_rps = settings.store_limits.write_rps;
  out.store.value_kb = settings.store_limits.value_kb;
  out.store.txn_ops = settings.store_limits.txn_ops;
  out.market.rps = settings.cloud_limits.rps;
  out.market.list_lag_s = settings.cloud_limits.list_lag_s;
  out.limits.cpu = settings.process_limits.cpu;
  out.limits.memory_mb = settings.process_limits.memory_mb;
  out.limits.sockets = settings.process_limits.sockets;
  return out;
}

old::Origin translate(const RequestSource& source) {
  return {static_cast<old::Origin::Kind>(source.kind), source.link, source.call};
}
RequestSource translate(const old::Origin& origin) {
  return {static_cast<RequestSource::Kind>(origin.kind), origin.link, origin.call};
}

old::Resources translate(const Resources& resources) {
  return {resources.cpus, resources.gpus, resources.memory_gb};
}

// Converts a heartbeat as the codec of the version in production decodes it: a run state that is
// unknown to that version counts as fetching, and an unknown exit cause as an error.
old::Report translate(const Heartbeat& heartbeat) {
  old::Report out;
  out.machine = heartbeat.machine;
  out.address = heartbeat.address;
  out.type = heartbeat.type;
  out.zone = heartbeat.zone;
  out.spot = heartbeat.spot;
  out.session = heartbeat.incarnation;
  out.seq = heartbeat.seq;
  out.token = heartbeat.fencing_token;
  out.notice_s = heartbeat.reclaim_in_s;
  for (const TaskStatus& task : heartbeat.tasks) {
    const RunState state = task.state == RunState::Waiting ? RunState::Fetching : task.state;
    const ExitCause cause = task.cause > ExitCause::Unknown ? ExitCause::Error : task.cause;
    out.tasks.push_back({{task.key.job, task.key.index},
                         task.attempt,
                         static_cast<old::RunState>(state),
                         static_cast<old::ExitCause>(cause),
                         task.saved});
  }
  return out;
}

old::StateReply translate(const KvResponse& response) {
  old::StateReply out{response.status, response.revision, response.lease, {}, response.has_more};
  for (const KvItem& item : response.items)
    out.items.push_back({item.key, item.value, item.version, item.deleted});
  return out;
}

old::CloudReply translate(const CloudResponse& response) {
  old::CloudReply out;
  out.status = response.status;
  for (const MachineType& type : response.types)
    out.types.push_back({type.name, translate(type.size), type.cache_gb, type.fetch_gb_per_s,
                         type.price, type.spot_price, type.boot_s, type.zones});
  out.names = response.names;
  for (const ListedMachine& machine : response.machines)
    out.machines.push_back({static_cast<old::ListedMachine::State>(machine.state), machine.name,
                            machine.address, machine.type, machine.zone, machine.spot,
                            machine.age_s});
  out.more = response.has_more;
  out.no_capacity = response.no_capacity;
  return out;
}

old::PeerMessage translate(const PeerMessage& present_message) {
  old::PeerReader reader;
  reader.feed(encode_peer(present_message));
  auto message = reader.next();
  // A frame that the version in production can't decode would close the link.
  if (!message)
    throw std::runtime_error(
        "the version in production cannot decode a frame of the present version");
  return *message;
}

PeerMessage translate(const old::PeerMessage& old_message) {
  PeerReader reader;
  reader.feed(old::encode_peer(old_message));
  auto message = reader.next();
  if (!message)
    throw std::runtime_error(
        "the present version cannot decode a frame of the version in production");
  return *message;
}

old::Input translate(const Input& input) {
  return std::visit(
      [](const auto& new_input) -> old::Input {
        using T = std::decay_t<decltype(new_input)>;
        if constexpr (std::is_same_v<T, Tick>) {
          return old::Tick{};
        } else if constexpr (std::is_same_v<T, UserRequest>) {
          return old::UserRequest{translate(new_input.source),
                                  static_cast<old::UserOp>(new_input.op), new_input.id,
                                  new_input.body};
        } else if constexpr (std::is_same_v<T, HeartbeatReceived>) {
          return old::WorkerReport{translate(new_input.source), translate(new_input.heartbeat),
                                   new_input.encoded};
        } else if constexpr (std::is_same_v<T, KvResponseReceived>) {
          return old::StateAnswer{new_input.call, translate(new_input.response)};
        } else if constexpr (std::is_same_v<T, CloudResponseReceived>) {
          return old::CloudAnswer{new_input.call, translate(new_input.response)};
        } else if constexpr (std::is_same_v<T, WorkerResponseReceived>) {
          old::WorkerAnswer out{new_input.call, new_input.status, {}};
          if (new_input.heartbeat) out.report = translate(*new_input.heartbeat);
          return out;
        } else if constexpr (std::is_same_v<T, PeerMessageReceived>) {
          return old::PeerInput{new_input.peer, translate(new_input.message)};
        } else if constexpr (std::is_same_v<T, PeerDisconnected>) {
          return old::PeerLost{new_input.peer};
        } else {
          throw std::logic_error("the version in production does not have this kind of input");
        }
      },
      input);
}

KvRequest translate(const old::StateCall& call) {
  KvRequest out;
  out.kind = static_cast<KvRequest::Kind>(call.kind);
  out.key = call.key;
  out.from = call.from;
  out.limit = call.limit;
  out.lease = call.lease;
  out.revision = call.revision;
  out.ttl_ms = call.ttl_ms;
  out.wait_ms = call.wait_ms;
  for (const auto& condition : call.conditions)
    out.conditions.push_back({condition.key, condition.version});
  for (const auto& put : call.puts) out.puts.push_back({put.key, put.value, put.lease});
  out.deletes = call.deletes;
  return out;
}

CloudRequest translate(const old::CloudCall& call) {
  CloudRequest out;
  out.kind = static_cast<CloudRequest::Kind>(call.kind);
  out.scale_out = {call.rental.request, call.rental.type, call.rental.zone, call.rental.spot,
                   call.rental.count};
  out.names = call.names;
  out.after = call.after;
  out.limit = call.limit;
  return out;
}

Action translate(const old::Action& action) {
  return std::visit(
      [](const auto& old_action) -> Action {
        using T = std::decay_t<decltype(old_action)>;
        if constexpr (std::is_same_v<T, old::Answer>)
          return Response{translate(old_action.origin), old_action.status, old_action.body,
                          old_action.retry_after_s, old_action.valid_until};
        else if constexpr (std::is_same_v<T, old::CallState>)
          return CallKvStore{old_action.call, translate(old_action.request), old_action.timeout_ms};
        else if constexpr (std::is_same_v<T, old::CallCloud>)
          return CallCloud{old_action.call, translate(old_action.request), old_action.timeout_ms};
        else if constexpr (std::is_same_v<T, old::CallWorker>)
          return CallWorker{old_action.call, old_action.address, old_action.body,
                            old_action.timeout_ms, old_action.valid_until};
        else if constexpr (std::is_same_v<T, old::SendPeer>)
          return SendToPeer{old_action.sibling, translate(old_action.message)};
        else if constexpr (std::is_same_v<T, old::ArmTimer>)
          return ArmTimer{old_action.in_ms};
        else
          return Log{static_cast<Log::Level>(old_action.level),
                     old_action.text + " version=production"};
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
