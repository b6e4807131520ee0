#include "protocol/cloud_codec.hpp"

#include <optional>

#include "protocol/json.hpp"

namespace sailreel {
namespace {

std::optional<DecodeError> decode_machine_types(const json::Document& doc, CloudResponse& out) {
  const json::Value* list = json::member(doc, "hulls");
  if (list == nullptr || !list->IsArray())
    return DecodeError{DecodeErrorKind::InvalidField, "hulls"};
  for (const auto& item : list->GetArray()) {
    MachineType type;
    if (!item.IsObject() || !json::get(item, "sku", type.name) ||
        !json::get(item, "cores", type.size.cpus) ||
        !json::get(item, "ram_gb", type.size.memory_gb) || !json::get(item, "rate", type.price))
      continue;
    json::get(item, "cards", type.size.gpus);
    json::get(item, "cache_gb", type.cache_gb);
    json::get(item, "pull_gb_per_s", type.fetch_gb_per_s);
    type.spot_price = type.price;
    json::get(item, "market_price", type.spot_price);
    json::get(item, "ready_s", type.boot_s);
    if (const json::Value* zones = json::member(item, "harbors"); zones && zones->IsArray())
      for (const auto& zone : zones->GetArray())
        if (zone.IsString()) type.zones.emplace_back(zone.GetString(), zone.GetStringLength());
    out.types.push_back(std::move(type));
  }
  return {};
}

std::optional<DecodeError> decode_machine_names(const json::Document& doc, CloudResponse& out) {
  const json::Value* list = json::member(doc, "vessels");
  if (list == nullptr || !list->IsArray())
    return DecodeError{DecodeErrorKind::InvalidField, "vessels"};
  for (const auto& item : list->GetArray())
    if (item.IsString()) out.names.emplace_back(item.GetString(), item.GetStringLength());
  return {};
}

std::optional<DecodeError> decode_machines(const json::Document& doc, CloudResponse& out) {
  const json::Value* list = json::member(doc, "vessels");
  if (list == nullptr || !list->IsArray())
    return DecodeError{DecodeErrorKind::InvalidField, "vessels"};
  std::string state;
  for (const auto& item : list->GetArray()) {
    ListedMachine machine;
    if (!item.IsObject() || !json::get(item, "id", machine.name) ||
        !json::get(item, "heading", state))
      continue;
    json::get(item, "endpoint", machine.address);
    json::get(item, "hull", machine.type);
    json::get(item, "harbor", machine.zone);
    json::get(item, "driftwood", machine.spot);
    json::get(item, "age_s", machine.age_s);
    machine.state = state == "running"  ? ListedMachine::State::Running
                    : state == "failed" ? ListedMachine::State::Failed
                                        : ListedMachine::State::Booting;
    out.machines.push_back(std::move(machine));
  }
  json::get(doc, "has_next", out.has_more);
  return {};
}

}  // namespace

HttpRequest encode_cloud_request(const CloudRequest& request) {
  switch (request.kind) {
    case CloudRequest::Kind::Types:
      return {"GET", "/flavors", ""};
    case CloudRequest::Kind::List:
      return {"GET",
              "/machines?" + (request.after.empty() ? "" : "from=" + request.after + "&") +
                  "limit=" + std::to_string(request.limit),
              ""};
    case CloudRequest::Kind::ScaleOut: {
      rapidjson::StringBuffer buffer;
      json::Writer writer(buffer);
      writer.StartObject();
      writer.Key("charter");
      json::put(writer, request.scale_out.request_id);
      writer.Key("hull");
      json::put(writer, request.scale_out.type);
      writer.Key("harbor");
      json::put(writer, request.scale_out.zone);
      writer.Key("driftwood");
      writer.Bool(request.scale_out.spot);
      writer.Key("how_many");
      writer.Uint(request.scale_out.count);
      writer.EndObject();
      return {"POST", "/machines", json::text(buffer)};
    }
    case CloudRequest::Kind::Terminate: {
      rapidjson::StringBuffer buffer;
      json::Writer writer(buffer);
      writer.StartObject();
      writer.Key("vessels");
      writer.StartArray();
      for (const std::string& name : request.names) json::put(writer, name);
      writer.EndArray();
      writer.EndObject();
      return {"POST", "/machines/release", json::text(buffer)};
    }
  }
  return {};
}

Decoded<CloudResponse> decode_cloud_response(const CloudRequest& request, int status,
                                             std::string_view body) {
  CloudResponse out;
  out.status = status;
  if (status == 503 && request.kind == CloudRequest::Kind::ScaleOut) {
    json::Document error;
    std::string text;
    out.no_capacity =
        json::parse_object(body, error) && json::get(error, "error", text) && text == "no capacity";
  }
  if (status != 200 || request.kind == CloudRequest::Kind::Terminate) return out;
  json::Document doc;
  if (!json::parse_object(body, doc)) return DecodeError{DecodeErrorKind::NotAnObject, {}};
  const auto error = request.kind == CloudRequest::Kind::Types      ? decode_machine_types(doc, out)
                     : request.kind == CloudRequest::Kind::ScaleOut ? decode_machine_names(doc, out)
                                                                    : decode_machines(doc, out);
  if (error) return *error;
  return out;
}

}  // namespace sailreel
