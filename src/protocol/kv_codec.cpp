#include "protocol/kv_codec.hpp"

#include <optional>

#include "protocol/field_reader.hpp"
#include "protocol/json.hpp"

namespace sailreel {
namespace {

Decoded<KvItem> decode_item(const json::Value& object) {
  KvItem item;
  json::FieldReader fields(object);
  fields.required("path", item.key).required("mark", item.version);
  if (fields.error()) return *fields.error();
  if (const json::Value* value = json::member(object, "data")) item.value = json::text(*value);
  return item;
}

Decoded<KvItem> decode_change(const json::Value& object) {
  KvItem item;
  json::get(object, "mark", item.version);
  if (json::get(object, "set", item.key)) {
    if (const json::Value* value = json::member(object, "data")) item.value = json::text(*value);
  } else if (json::get(object, "drop", item.key)) {
    item.deleted = true;
  } else {
    return DecodeError{DecodeErrorKind::InvalidField, "set"};
  }
  return item;
}

using ItemDecoder = Decoded<KvItem> (*)(const json::Value&);

/// Decodes the items of `list` and appends them to `out`. Errors name `field`, the list's field, or
/// the invalid field of an item.
std::optional<DecodeError> append_items(const json::Value& list, const char* field,
                                        ItemDecoder decode, std::vector<KvItem>& out) {
  if (!list.IsArray()) return DecodeError{DecodeErrorKind::InvalidField, field};
  for (const auto& value : list.GetArray()) {
    if (!value.IsObject()) return DecodeError{DecodeErrorKind::InvalidField, field};
    auto item = decode(value);
    if (!item) return item.error();
    out.push_back(std::move(*item));
  }
  return {};
}

/// Decodes the fields of the response that depend on the kind of request. The revision is already
/// decoded.
std::optional<DecodeError> decode_result(KvRequest::Kind kind, const json::Document& doc,
                                         bool has_revision, KvResponse& out) {
  using Kind = KvRequest::Kind;
  const DecodeError no_revision{DecodeErrorKind::InvalidField, "tide"};
  switch (kind) {
    case Kind::Get: {
      auto item = decode_item(doc);
      if (!item) return item.error();
      out.items.push_back(std::move(*item));
      return {};
    }
    case Kind::List: {
      if (!has_revision) return no_revision;
      const json::Value* list = json::member(doc, "pairs");
      if (list == nullptr) return DecodeError{DecodeErrorKind::InvalidField, "pairs"};
      json::get(doc, "has_next", out.has_more);
      return append_items(*list, "pairs", decode_item, out.items);
    }
    case Kind::Txn:
      if (!has_revision) return no_revision;
      return {};
    case Kind::Grant:
      return json::FieldReader(doc).required("mooring", out.lease).error();
    case Kind::Watch: {
      if (!has_revision) return no_revision;
      const json::Value* changes = json::member(doc, "log");
      if (changes == nullptr) return {};
      return append_items(*changes, "log", decode_change, out.items);
    }
    case Kind::Renew:
    case Kind::Revoke:
      return {};
  }
  return {};
}

std::string encode_transaction(const KvRequest& request) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  writer.Key("when");
  writer.StartArray();
  for (const KvRequest::Condition& condition : request.conditions) {
    writer.StartObject();
    writer.Key("path");
    json::put(writer, condition.key);
    writer.Key("mark");
    writer.Uint64(condition.version);
    writer.EndObject();
  }
  writer.EndArray();
  writer.Key("then");
  writer.StartArray();
  for (const KvRequest::Put& put : request.puts) {
    writer.StartObject();
    writer.Key("set");
    json::put(writer, put.key);
    writer.Key("data");
    writer.RawValue(put.value.data(), put.value.size(), rapidjson::kObjectType);
    if (put.lease != 0) {
      writer.Key("mooring");
      writer.Uint64(put.lease);
    }
    writer.EndObject();
  }
  for (const std::string& key : request.deletes) {
    writer.StartObject();
    writer.Key("drop");
    json::put(writer, key);
    writer.EndObject();
  }
  writer.EndArray();
  writer.EndObject();
  return json::text(buffer);
}

}  // namespace

HttpRequest encode_kv_request(const KvRequest& request) {
  using Kind = KvRequest::Kind;
  const auto decimal = [](auto number) { return std::to_string(number); };
  switch (request.kind) {
    case Kind::Get:
      return {"GET", "/store/" + request.key, ""};
    case Kind::List:
      return {"GET",
              "/store?prefix=" + request.key +
                  (request.from.empty() ? "" : "&from=" + request.from) +
                  "&limit=" + decimal(request.limit),
              ""};
    case Kind::Txn:
      return {"POST", "/multi", encode_transaction(request)};
    case Kind::Grant:
      return {"POST", "/leases", "{\"ttl_ms\":" + decimal(request.ttl_ms) + "}"};
    case Kind::Renew:
      return {"POST", "/leases/" + decimal(request.lease) + "/renew", "{}"};
    case Kind::Revoke:
      return {"DELETE", "/leases/" + decimal(request.lease), ""};
    case Kind::Watch:
      return {"GET",
              "/follow?prefix=" + request.key + "&from=" + decimal(request.revision) +
                  "&hold_ms=" + decimal(request.wait_ms),
              ""};
  }
  return {};
}

Decoded<KvResponse> decode_kv_response(const KvRequest& request, int status,
                                       std::string_view body) {
  KvResponse out;
  out.status = status;
  json::Document doc;
  const bool is_object = json::parse_object(body, doc);
  // In a store without any writes, the revision is present and 0.
  const bool has_revision = is_object && json::get(doc, "tide", out.revision);
  const bool has_result =
      request.kind != KvRequest::Kind::Renew && request.kind != KvRequest::Kind::Revoke;
  if (status != 200 || !has_result) return out;
  if (!is_object) return DecodeError{DecodeErrorKind::NotAnObject, {}};
  if (const auto error = decode_result(request.kind, doc, has_revision, out)) return *error;
  return out;
}

}  // namespace sailreel
