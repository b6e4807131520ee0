#include "protocol/cloud_codec.hpp"

#include <optional>

#include "protocol/json.hpp"

namespace sailreel {
namespace {

std::optional<DecodeError> decode_types(const json::Document& doc, CloudResponse& out) {
  const json::Value* list = json::member(doc, "hulls");
  if (list == nullptr || !list->IsArray())
    return DecodeError{DecodeErrorKind::InvalidField, "hulls"};
  for (const auto& v : list->GetArray()) {
    MachineType t;
    if (!v.IsObject() || !json::get(v, "sku", t.name) || !json::get(v, "cores", t.size.cpus) ||
        !json::get(v, "ram_gb", t.size.memory_gb) || !json::get(v, "rate", t.price))
      continue;
    json::get(v, "cards", t.size.gpus);
    json::get(v, "cache_gb", t.cache_gb);
    json::get(v, "pull_gb_per_s", t.fetch_gb_per_s);
    t.spot_price = t.price;
    json::get(v, "market_price", t.spot_price);
    json::get(v, "ready_s", t.boot_s);
    if (const json::Value* zones = json::member(v, "harbors"); zones && zones->IsArray())
      for (const auto& z : zones->GetArray())
        if (z.IsString()) t.zones.emplace_back(z.GetString(), z.GetStringLength());
    out.types.push_back(std::move(t));
  }
  return {};
}

std::optional<DecodeError> decode_names(const json::Document& doc, CloudResponse& out) {
  const json::Value* list = json::member(doc, "vessels");
  if (list == nullptr || !list->IsArray())
    return DecodeError{DecodeErrorKind::InvalidField, "vessels"};
  for (const auto& v : list->GetArray())
    if (v.IsString()) out.names.emplace_back(v.GetString(), v.GetStringLength());
  return {};
}

std::optional<DecodeError> decode_machines(const json::Document& doc, CloudResponse& out) {
  const json::Value* list = json::member(doc, "vessels");
  if (list == nullptr || !list->IsArray())
    return DecodeError{DecodeErrorKind::InvalidField, "vessels"};
  std::string state;
  for (const auto& v : list->GetArray()) {
    ListedMachine m;
    if (!v.IsObject() || !json::get(v, "id", m.name) || !json::get(v, "heading", state)) continue;
    json::get(v, "endpoint", m.address);
    json::get(v, "hull", m.type);
    json::get(v, "harbor", m.zone);
    json::get(v, "driftwood", m.spot);
    json::get(v, "age_s", m.age_s);
    m.state = state == "running"  ? ListedMachine::State::Running
              : state == "failed" ? ListedMachine::State::Failed
                                  : ListedMachine::State::Booting;
    out.machines.push_back(std::move(m));
  }
  json::get(doc, "has_next", out.more);
  return {};
}

}  // namespace

HttpRequest encode_cloud_request(const CloudRequest& call) {
  switch (call.kind) {
    case CloudRequest::Kind::Types:
      return {"GET", "/flavors", ""};
    case CloudRequest::Kind::List:
      return {"GET",
              "/machines?" + (call.after.empty() ? "" : "from=" + call.after + "&") +
                  "limit=" + std::to_string(call.limit),
              ""};
    case CloudRequest::Kind::ScaleOut: {
      rapidjson::StringBuffer b;
      json::Writer w(b);
      w.StartObject();
      w.Key("charter");
      json::put(w, call.scale_out.request);
      w.Key("hull");
      json::put(w, call.scale_out.type);
      w.Key("harbor");
      json::put(w, call.scale_out.zone);
      w.Key("driftwood");
      w.Bool(call.scale_out.spot);
      w.Key("how_many");
      w.Uint(call.scale_out.count);
      w.EndObject();
      return {"POST", "/machines", json::text(b)};
    }
    case CloudRequest::Kind::Terminate: {
      rapidjson::StringBuffer b;
      json::Writer w(b);
      w.StartObject();
      w.Key("vessels");
      w.StartArray();
      for (const auto& n : call.names) json::put(w, n);
      w.EndArray();
      w.EndObject();
      return {"POST", "/machines/release", json::text(b)};
    }
  }
  return {};
}

Decoded<CloudResponse> decode_cloud_response(const CloudRequest& call, int status,
                                             std::string_view body) {
  CloudResponse out;
  out.status = status;
  if (status == 503 && call.kind == CloudRequest::Kind::ScaleOut) {
    json::Document error;
    std::string text;
    out.no_capacity =
        json::parse_object(body, error) && json::get(error, "error", text) && text == "no capacity";
  }
  if (status != 200 || call.kind == CloudRequest::Kind::Terminate) return out;
  json::Document doc;
  if (!json::parse_object(body, doc)) return DecodeError{DecodeErrorKind::NotAnObject, {}};
  const auto error = call.kind == CloudRequest::Kind::Types      ? decode_types(doc, out)
                     : call.kind == CloudRequest::Kind::ScaleOut ? decode_names(doc, out)
                                                                 : decode_machines(doc, out);
  if (error) return *error;
  return out;
}

}  // namespace sailreel
