#include "protocol/kv_codec.hpp"

#include "protocol/json.hpp"

namespace sailreel {
namespace {

bool read_item(const json::Value& v, KvItem& item) {
  const json::Value* value = json::member(v, "data");
  if (!json::get(v, "path", item.key) || !json::get(v, "mark", item.version)) return false;
  if (value != nullptr) item.value = json::text(*value);
  return true;
}

bool read_events(const json::Document& doc, KvResponse& out) {
  const json::Value* list = json::member(doc, "log");
  if (list == nullptr) return true;
  if (!list->IsArray()) return false;
  for (const auto& v : list->GetArray()) {
    if (!v.IsObject()) return false;
    KvItem item;
    json::get(v, "mark", item.version);
    if (json::get(v, "set", item.key)) {
      if (const json::Value* value = json::member(v, "data")) item.value = json::text(*value);
    } else if (json::get(v, "drop", item.key)) {
      item.deleted = true;
    } else {
      return false;
    }
    out.items.push_back(std::move(item));
  }
  return true;
}

std::string encode_txn(const KvRequest& call) {
  rapidjson::StringBuffer b;
  json::Writer w(b);
  w.StartObject();
  w.Key("when");
  w.StartArray();
  for (const auto& c : call.conditions) {
    w.StartObject();
    w.Key("path");
    json::put(w, c.key);
    w.Key("mark");
    w.Uint64(c.version);
    w.EndObject();
  }
  w.EndArray();
  w.Key("then");
  w.StartArray();
  for (const auto& p : call.puts) {
    w.StartObject();
    w.Key("set");
    json::put(w, p.key);
    w.Key("data");
    w.RawValue(p.value.data(), p.value.size(), rapidjson::kObjectType);
    if (p.lease != 0) {
      w.Key("mooring");
      w.Uint64(p.lease);
    }
    w.EndObject();
  }
  for (const auto& d : call.deletes) {
    w.StartObject();
    w.Key("drop");
    json::put(w, d);
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return json::text(b);
}

}  // namespace

HttpRequest encode_kv_request(const KvRequest& call) {
  using Kind = KvRequest::Kind;
  const auto num = [](auto v) { return std::to_string(v); };
  switch (call.kind) {
    case Kind::Get:
      return {"GET", "/store/" + call.key, ""};
    case Kind::List:
      return {"GET",
              "/store?prefix=" + call.key + (call.from.empty() ? "" : "&from=" + call.from) +
                  "&limit=" + num(call.limit),
              ""};
    case Kind::Txn:
      return {"POST", "/multi", encode_txn(call)};
    case Kind::Grant:
      return {"POST", "/leases", "{\"ttl_ms\":" + num(call.ttl_ms) + "}"};
    case Kind::Renew:
      return {"POST", "/leases/" + num(call.lease) + "/renew", "{}"};
    case Kind::Revoke:
      return {"DELETE", "/leases/" + num(call.lease), ""};
    case Kind::Watch:
      return {"GET",
              "/follow?prefix=" + call.key + "&from=" + num(call.revision) +
                  "&hold_ms=" + num(call.wait_ms),
              ""};
  }
  return {};
}

KvResponse decode_kv_response(const KvRequest& call, int status, std::string_view body) {
  using Kind = KvRequest::Kind;
  KvResponse out;
  out.status = status;
  json::Document doc;
  const bool object = json::parse_object(body, doc);
  // A store that nobody has written to is at revision 0.
  const bool dated = object && json::get(doc, "tide", out.revision);
  if (status != 200 || call.kind == Kind::Renew || call.kind == Kind::Revoke) return out;
  bool ok = object;
  if (ok && call.kind == Kind::Get) {
    KvItem item;
    ok = read_item(doc, item);
    out.items.push_back(std::move(item));
  } else if (ok && call.kind == Kind::List) {
    const json::Value* list = json::member(doc, "pairs");
    ok = list != nullptr && list->IsArray() && dated;
    if (ok)
      for (const auto& v : list->GetArray()) {
        KvItem item;
        ok = ok && v.IsObject() && read_item(v, item);
        out.items.push_back(std::move(item));
      }
    json::get(doc, "has_next", out.more);
  } else if (ok && call.kind == Kind::Txn) {
    ok = dated;
  } else if (ok && call.kind == Kind::Grant) {
    ok = json::get(doc, "mooring", out.lease);
  } else if (ok && call.kind == Kind::Watch) {
    ok = dated && read_events(doc, out);
  }
  if (!ok) out = KvResponse{};
  return out;
}

}  // namespace sailreel
