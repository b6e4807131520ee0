#include "storage/share_records.hpp"

#include <array>
#include <cctype>
#include <optional>

#include "protocol/field_reader.hpp"
#include "protocol/json.hpp"
#include "protocol/json_object.hpp"

namespace sailreel {
namespace {

/// Escapes a name for use in a key: keys must not contain spaces, and a slash would separate levels
/// of the key.
std::string escape_name(const std::string& name) {
  static constexpr char kHexDigits[] = "0123456789abcdef";
  std::string out;
  for (const char c : name) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.') {
      out += c;
    } else {
      out += '%';
      out += kHexDigits[byte / 16];
      out += kHexDigits[byte % 16];
    }
  }
  return out;
}

void put_amounts(json::Writer& writer, json::ObjectWriter& object, const char* name,
                 const Amounts& amounts) {
  object.list(name, std::array{amounts.cpus, amounts.gpus},
              [&](std::int64_t amount) { writer.Int64(amount); });
}

/// Reads a member that is an array of two non-negative integers, CPUs and GPUs; empty if it isn't.
std::optional<Amounts> get_amounts(const json::Value& object, const char* name) {
  const json::Value* list = json::member(object, name);
  if (list == nullptr || !list->IsArray() || list->Size() != 2 || !(*list)[0].IsInt64() ||
      !(*list)[1].IsInt64())
    return {};
  const Amounts amounts{(*list)[0].GetInt64(), (*list)[1].GetInt64()};
  if (amounts.cpus < 0 || amounts.gpus < 0) return {};
  return amounts;
}

void require_amounts(json::FieldReader& fields, const json::Value& object, const char* name,
                     Amounts& out) {
  fields.check(name, [&] {
    const auto amounts = get_amounts(object, name);
    if (amounts) out = *amounts;
    return amounts.has_value();
  });
}

Decoded<QuotaShareValue> decode_share(const json::Document& doc) {
  TeamShareValue value;
  json::FieldReader fields(doc);
  fields.required("team", value.team);
  require_amounts(fields, doc, "share", value.record.share);
  require_amounts(fields, doc, "limit", value.record.limit);
  require_amounts(fields, doc, "excess", value.record.excess);
  if (fields.error()) return *fields.error();
  return QuotaShareValue(std::move(value));
}

Decoded<QuotaShareValue> decode_transfers(const json::Document& doc) {
  const DecodeError invalid_list{DecodeErrorKind::InvalidField, "in_transit"};
  RegionTransfersValue value;
  json::FieldReader fields(doc);
  fields.required("region", value.region)
      .required("sent", value.record.sent)
      .required("credited", value.record.credited);
  if (fields.error()) return *fields.error();
  const json::Value* in_transit = json::member(doc, "in_transit");
  if (in_transit == nullptr || !in_transit->IsArray()) return invalid_list;
  for (const auto& item : in_transit->GetArray()) {
    if (!item.IsObject()) return invalid_list;
    TeamAmounts entry;
    json::FieldReader item_fields(item);
    item_fields.required("team", entry.team);
    require_amounts(item_fields, item, "amounts", entry.amounts);
    if (item_fields.error()) return *item_fields.error();
    value.record.in_transit.push_back(std::move(entry));
  }
  return QuotaShareValue(std::move(value));
}

}  // namespace

std::string share_key(const std::string& team) { return kSharePrefix + escape_name(team); }
std::string transfer_key(const std::string& region) {
  return kTransferPrefix + escape_name(region);
}

std::string encode_share(const std::string& team, const ShareRecord& record) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  json::ObjectWriter object(writer);
  object.text("team", team);
  put_amounts(writer, object, "share", record.share);
  put_amounts(writer, object, "limit", record.limit);
  put_amounts(writer, object, "excess", record.excess);
  object.end();
  return json::text(buffer);
}

std::string encode_transfers(const std::string& region, const TransferRecord& record) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  json::ObjectWriter object(writer);
  object.text("region", region);
  object.integer("sent", record.sent);
  object.integer("credited", record.credited);
  object.list("in_transit", record.in_transit, [&](const TeamAmounts& entry) {
    json::ObjectWriter item(writer);
    item.text("team", entry.team);
    put_amounts(writer, item, "amounts", entry.amounts);
    item.end();
  });
  object.end();
  return json::text(buffer);
}

Decoded<QuotaShareValue> decode_quota_share_value(std::string_view key, std::string_view value) {
  json::Document doc;
  if (!json::parse_object(value, doc)) return DecodeError{DecodeErrorKind::NotAnObject, {}};
  if (key.starts_with(kSharePrefix)) return decode_share(doc);
  if (key.starts_with(kTransferPrefix)) return decode_transfers(doc);
  return DecodeError{DecodeErrorKind::Unsupported, "key"};
}

void ShareLedger::add(QuotaShareValue value) {
  if (auto* share = std::get_if<TeamShareValue>(&value))
    teams[share->team] = share->record;
  else if (auto* transfers = std::get_if<RegionTransfersValue>(&value))
    regions[transfers->region] = std::move(transfers->record);
}

}  // namespace sailreel
