#include "protocol/fake_server_codec.hpp"

#include <array>
#include <charconv>

#include "protocol/json.hpp"
#include "protocol/json_object.hpp"

namespace sailreel {
namespace {

/// The wire names of `RunState` and `ExitCause`, in the order of their values.
constexpr std::array<const char*, 5> kRunStateNames{"pulling", "running", "flushing", "ended",
                                                    "gathering"};
constexpr std::array<const char*, 9> kExitCauseNames{
    "", "done", "stopped", "error", "no_room", "busy", "unknown", "mates_gone", "incomplete"};

void write_task(json::Writer& writer, const TaskStatus& task) {
  json::ObjectWriter object(writer);
  object.text("hand", task_name(task.key));
  object.integer("launch", task.attempt);
  object.text("heading", kRunStateNames.at(static_cast<std::size_t>(task.state)));
  if (task.state == RunState::Exited)
    object.text("wake", kExitCauseNames.at(static_cast<std::size_t>(task.cause)));
  if (task.saved) object.boolean("kept", true);
  object.end();
}

template <typename Number>
bool parse_number(std::string_view digits, Number& out) {
  const char* end = digits.data() + digits.size();
  const auto [parsed_to, error] = std::from_chars(digits.data(), end, out);
  return error == std::errc() && parsed_to == end;
}

std::optional<Command> decode_command(const json::Value& item) {
  Command command;
  std::string signal, task;
  if (!item.IsObject() || !json::get(item, "signal", signal) || !json::get(item, "hand", task) ||
      !json::get(item, "launch", command.attempt))
    return {};
  const auto slash = task.rfind('/');
  if (slash == std::string::npos ||
      !parse_number(std::string_view(task).substr(slash + 1), command.key.index))
    return {};
  command.key.job = task.substr(0, slash);
  command.op = signal == "start"  ? Command::Op::Start
               : signal == "kill" ? Command::Op::Stop
                                  : Command::Op::Forget;
  json::get(item, "slack_s", command.grace_s);
  return command;
}

/// The value of the query parameter `name` in `path`. Empty if the parameter is missing.
std::string_view query_parameter(std::string_view path, std::string_view name) {
  auto query = path.substr(std::min(path.find('?'), path.size()));
  while (!query.empty()) {
    query.remove_prefix(1);
    const auto field = query.substr(0, query.find('&'));
    query.remove_prefix(field.size());
    if (field.size() > name.size() && field.starts_with(name) && field[name.size()] == '=')
      return field.substr(name.size() + 1);
  }
  return {};
}

std::optional<KvRequest> decode_transaction(std::string_view body) {
  json::Document doc;
  if (!json::parse_object(body, doc)) return {};
  KvRequest request;
  request.kind = KvRequest::Kind::Txn;
  const json::Value* when = json::member(doc, "when");
  const json::Value* then = json::member(doc, "then");
  if ((when != nullptr && !when->IsArray()) || (then != nullptr && !then->IsArray())) return {};
  if (when != nullptr)
    for (const auto& item : when->GetArray()) {
      KvRequest::Condition condition;
      if (!item.IsObject() || !json::get(item, "path", condition.key) ||
          !json::get(item, "mark", condition.version))
        return {};
      request.conditions.push_back(std::move(condition));
    }
  if (then == nullptr) return request;
  for (const auto& item : then->GetArray()) {
    if (!item.IsObject()) return {};
    KvRequest::Put put;
    std::string deleted;
    if (json::get(item, "set", put.key)) {
      const json::Value* data = json::member(item, "data");
      if (data == nullptr) return {};
      put.value = json::text(*data);
      json::get(item, "mooring", put.lease);
      request.puts.push_back(std::move(put));
    } else if (json::get(item, "drop", deleted)) {
      request.deletes.push_back(std::move(deleted));
    } else {
      return {};
    }
  }
  return request;
}

std::optional<KvRequest> decode_lease_request(std::string_view method, std::string_view path,
                                              std::string_view body) {
  constexpr std::string_view kLeasesPath = "/leases", kRenewSuffix = "/renew";
  KvRequest request;
  auto remainder = path.substr(kLeasesPath.size());
  if (remainder.empty()) {
    json::Document doc;
    std::uint64_t ttl = 0;
    if (method != "POST" || !json::parse_object(body, doc) || !json::get(doc, "ttl_ms", ttl))
      return {};
    request.kind = KvRequest::Kind::Grant;
    request.ttl_ms = static_cast<Time>(ttl);
    return request;
  }
  request.kind = KvRequest::Kind::Revoke;
  if (remainder.ends_with(kRenewSuffix)) {
    request.kind = KvRequest::Kind::Renew;
    remainder.remove_suffix(kRenewSuffix.size());
  }
  if (!remainder.starts_with("/") || !parse_number(remainder.substr(1), request.lease)) return {};
  const bool is_renewal = request.kind == KvRequest::Kind::Renew;
  if (method != (is_renewal ? "POST" : "DELETE")) return {};
  return request;
}

void write_item(json::Writer& writer, const KvItem& item) {
  json::ObjectWriter object(writer);
  object.text("path", item.key);
  object.raw_json("data", item.value);
  object.integer("mark", item.version);
  object.end();
}

void write_change(json::Writer& writer, const KvItem& item) {
  json::ObjectWriter object(writer);
  object.text(item.deleted ? "drop" : "set", item.key);
  if (!item.deleted) object.raw_json("data", item.value);
  object.integer("mark", item.version);
  object.end();
}

std::string encode_kv_body(const KvRequest& request, const KvResponse& response) {
  using Kind = KvRequest::Kind;
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  if (request.kind == Kind::Get && !response.items.empty()) {
    write_item(writer, response.items.front());
    return json::text(buffer);
  }
  json::ObjectWriter object(writer);
  if (request.kind == Kind::List) {
    object.list("pairs", response.items, [&](const KvItem& item) { write_item(writer, item); });
    object.boolean("has_next", response.has_more);
  } else if (request.kind == Kind::Watch) {
    object.list("log", response.items, [&](const KvItem& item) { write_change(writer, item); });
  } else if (request.kind == Kind::Grant) {
    object.integer("mooring", response.lease);
  }
  object.integer("tide", response.revision);
  object.end();
  return json::text(buffer);
}

std::optional<CloudRequest> decode_scale_out(std::string_view body) {
  json::Document doc;
  CloudRequest request;
  request.kind = CloudRequest::Kind::ScaleOut;
  std::uint64_t count = 0;
  if (!json::parse_object(body, doc) || !json::get(doc, "charter", request.scale_out.request_id) ||
      !json::get(doc, "hull", request.scale_out.type) ||
      !json::get(doc, "harbor", request.scale_out.zone) || !json::get(doc, "how_many", count))
    return {};
  json::get(doc, "driftwood", request.scale_out.spot);
  request.scale_out.count = static_cast<std::uint32_t>(count);
  return request;
}

std::optional<CloudRequest> decode_terminate(std::string_view body) {
  json::Document doc;
  CloudRequest request;
  request.kind = CloudRequest::Kind::Terminate;
  if (!json::parse_object(body, doc)) return {};
  const json::Value* names = json::member(doc, "vessels");
  if (names == nullptr || !names->IsArray()) return {};
  for (const auto& name : names->GetArray())
    if (name.IsString()) request.names.emplace_back(name.GetString(), name.GetStringLength());
  return request;
}

void write_machine_type(json::Writer& writer, const MachineType& type) {
  json::ObjectWriter object(writer);
  object.text("sku", type.name);
  object.number("cores", type.size.cpus);
  object.number("cards", type.size.gpus);
  object.number("ram_gb", type.size.memory_gb);
  object.number("cache_gb", type.cache_gb);
  object.number("pull_gb_per_s", type.fetch_gb_per_s);
  object.number("rate", type.price);
  object.number("market_price", type.spot_price);
  object.number("ready_s", type.boot_s);
  object.list("harbors", type.zones, [&](const std::string& zone) { json::put(writer, zone); });
  object.end();
}

void write_machine(json::Writer& writer, const ListedMachine& machine) {
  json::ObjectWriter object(writer);
  object.text("id", machine.name);
  object.text("endpoint", machine.address);
  object.text("hull", machine.type);
  object.text("harbor", machine.zone);
  object.boolean("driftwood", machine.spot);
  object.text("heading", machine.state == ListedMachine::State::Running  ? "running"
                         : machine.state == ListedMachine::State::Failed ? "failed"
                                                                         : "booting");
  object.number("age_s", machine.age_s);
  object.end();
}

std::string encode_cloud_body(const CloudRequest& request, const CloudResponse& response) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  json::ObjectWriter object(writer);
  switch (request.kind) {
    case CloudRequest::Kind::Types:
      object.list("hulls", response.types,
                  [&](const MachineType& type) { write_machine_type(writer, type); });
      break;
    case CloudRequest::Kind::ScaleOut:
      object.list("vessels", response.names,
                  [&](const std::string& name) { json::put(writer, name); });
      break;
    case CloudRequest::Kind::List:
      object.list("vessels", response.machines,
                  [&](const ListedMachine& machine) { write_machine(writer, machine); });
      object.boolean("has_next", response.has_more);
      break;
    case CloudRequest::Kind::Terminate:
      break;
  }
  object.end();
  return json::text(buffer);
}

std::string error_body(const char* text) { return std::string(R"({"error":")") + text + "\"}"; }

}  // namespace

std::string encode_heartbeat(const Heartbeat& heartbeat) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  json::ObjectWriter object(writer);
  object.text("vessel", heartbeat.machine);
  object.text("endpoint", heartbeat.address);
  object.text("hull", heartbeat.type);
  object.text("harbor", heartbeat.zone);
  object.boolean("driftwood", heartbeat.spot);
  object.integer("watch", heartbeat.incarnation);
  object.integer("bell", heartbeat.seq);
  object.integer("helm", heartbeat.fencing_token);
  if (heartbeat.reclaim_in_s) object.number("recall_s", *heartbeat.reclaim_in_s);
  object.list("hands", heartbeat.tasks, [&](const TaskStatus& task) { write_task(writer, task); });
  object.end();
  return json::text(buffer);
}

std::optional<CommandBatch> decode_commands(std::string_view body) {
  json::Document doc;
  CommandBatch batch;
  if (!json::parse_object(body, doc) || !json::get(doc, "helm", batch.fencing_token)) return {};
  if (std::uint64_t incarnation = 0; json::get(doc, "watch", incarnation))
    batch.incarnation = incarnation;
  const json::Value* orders = json::member(doc, "orders");
  if (orders == nullptr || !orders->IsArray()) return batch;
  for (const auto& item : orders->GetArray()) {
    auto command = decode_command(item);
    if (!command) return {};
    batch.commands.push_back(std::move(*command));
  }
  return batch;
}

std::string decode_redirect(std::string_view body) {
  json::Document doc;
  std::string node;
  if (json::parse_object(body, doc)) json::get(doc, "harbormaster", node);
  return node;
}

std::string encode_submission(const JobSpec& spec) {
  static constexpr std::array<const char*, kPriorityCount> kPriorityNames{
      "critical", "urgent", "standard", "best_effort"};
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  json::ObjectWriter object(writer);
  object.text("id", spec.id);
  object.text("berth", spec.job_class);
  object.text("crew", spec.team);
  object.text("rig", spec.kind == JobKind::Array     ? "sweep"
                     : spec.kind == JobKind::Service ? "service"
                                                     : "gang");
  object.text("precedence", kPriorityNames.at(static_cast<std::size_t>(spec.priority)));
  object.integer("hands", spec.tasks);
  object.number("cores", spec.need.cpus);
  object.number("cards", spec.need.gpus);
  object.number("ram_gb", spec.need.memory_gb);
  object.text("cargo", spec.image);
  object.number("pull_gb", spec.image_gb);
  if (!spec.any_type)
    object.list("hulls", spec.types, [&](const std::string& type) { json::put(writer, type); });
  if (!spec.zone.empty()) object.text("harbor", spec.zone);
  object.boolean("together", spec.one_zone);
  object.boolean("spread", spec.spread);
  object.boolean("driftwood", spec.spot);
  object.number("voyage_s", spec.estimate_s);
  object.number("logbook_s", spec.checkpoint_s);
  object.number("stow_s", spec.save_s);
  if (spec.deadline_s) object.number("landfall_s", *spec.deadline_s);
  object.end();
  return json::text(buffer);
}

std::string decode_job_state(std::string_view body) {
  json::Document doc;
  std::string state;
  if (!json::parse_object(body, doc) || !json::get(doc, "heading", state)) return {};
  return state;
}

std::optional<KvRequest> decode_kv_request(std::string_view method, std::string_view path,
                                           std::string_view body) {
  constexpr std::string_view kStorePath = "/store", kWatchPath = "/follow", kLeasesPath = "/leases";
  if (path == "/multi" && method == "POST") return decode_transaction(body);
  if (path.starts_with(kLeasesPath)) return decode_lease_request(method, path, body);
  if (method != "GET") return {};
  KvRequest request;
  request.key = query_parameter(path, "prefix");
  if (path.starts_with(kWatchPath)) {
    request.kind = KvRequest::Kind::Watch;
    std::uint64_t wait_ms = 0;
    if (!parse_number(query_parameter(path, "from"), request.revision)) return {};
    parse_number(query_parameter(path, "hold_ms"), wait_ms);
    request.wait_ms = static_cast<Time>(wait_ms);
    return request;
  }
  if (!path.starts_with(kStorePath)) return {};
  if (path.starts_with("/store/")) {
    request.kind = KvRequest::Kind::Get;
    request.key = path.substr(kStorePath.size() + 1);
    return request;
  }
  request.kind = KvRequest::Kind::List;
  request.from = query_parameter(path, "from");
  parse_number(query_parameter(path, "limit"), request.limit);
  return request;
}

ServiceResponse encode_kv_response(const KvRequest& request, const KvResponse& response) {
  if (response.status == 200 || response.status == 404)
    return {response.status, encode_kv_body(request, response)};
  return {response.status, error_body(response.status == 400 ? "no such lease" : "trouble")};
}

std::optional<CloudRequest> decode_cloud_request(std::string_view method, std::string_view path,
                                                 std::string_view body) {
  CloudRequest request;
  if (method == "GET" && path == "/flavors") return request;
  if (method == "GET" && path.starts_with("/machines")) {
    request.kind = CloudRequest::Kind::List;
    request.after = query_parameter(path, "from");
    parse_number(query_parameter(path, "limit"), request.limit);
    return request;
  }
  if (method == "POST" && path == "/machines") return decode_scale_out(body);
  if (method == "POST" && path == "/machines/release") return decode_terminate(body);
  return {};
}

ServiceResponse encode_cloud_response(const CloudRequest& request, const CloudResponse& response) {
  if (response.status == 200) return {response.status, encode_cloud_body(request, response)};
  return {response.status, error_body(response.no_capacity ? "no capacity" : "trouble")};
}

}  // namespace sailreel
