#include "storage/share_records.hpp"

#include <array>
#include <cctype>

#include "protocol/json.hpp"
#include "protocol/json_object.hpp"

namespace sailreel {
namespace {

/// Keys have no spaces, and a slash would look like another level.
std::string escaped(const std::string& name) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  for (const char c : name) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.') {
      out += c;
    } else {
      out += '%';
      out += kDigits[byte / 16];
      out += kDigits[byte % 16];
    }
  }
  return out;
}

void put_amounts(json::Writer& writer, json::ObjectWriter& object, const char* name,
                 const Amounts& amounts) {
  object.list(name, std::array{amounts.cpus, amounts.gpus},
              [&](std::int64_t amount) { writer.Int64(amount); });
}

bool read_amounts(const json::Value& object, const char* name, Amounts& out) {
  const json::Value* list = json::member(object, name);
  if (list == nullptr || !list->IsArray() || list->Size() != 2 || !(*list)[0].IsInt64() ||
      !(*list)[1].IsInt64())
    return false;
  out = {(*list)[0].GetInt64(), (*list)[1].GetInt64()};
  return out.cpus >= 0 && out.gpus >= 0;
}

bool decode_share(const json::Document& doc, ShareLedger& ledger) {
  std::string team;
  ShareRecord record;
  if (!json::get(doc, "team", team) || !read_amounts(doc, "share", record.share) ||
      !read_amounts(doc, "limit", record.limit) || !read_amounts(doc, "excess", record.excess))
    return false;
  ledger.teams[team] = record;
  return true;
}

bool decode_transfers(const json::Document& doc, ShareLedger& ledger) {
  std::string region;
  TransferRecord record;
  const json::Value* transit = json::member(doc, "in_transit");
  if (!json::get(doc, "region", region) || !json::get(doc, "sent", record.sent) ||
      !json::get(doc, "credited", record.credited) || transit == nullptr || !transit->IsArray())
    return false;
  for (const auto& item : transit->GetArray()) {
    TeamAmounts entry;
    if (!item.IsObject() || !json::get(item, "team", entry.team) ||
        !read_amounts(item, "amounts", entry.amounts))
      return false;
    record.in_transit.push_back(std::move(entry));
  }
  ledger.regions[region] = std::move(record);
  return true;
}

}  // namespace

std::string share_key(const std::string& team) { return kSharePrefix + escaped(team); }
std::string transfer_key(const std::string& region) { return kTransferPrefix + escaped(region); }

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
  object.whole("sent", record.sent);
  object.whole("credited", record.credited);
  object.list("in_transit", record.in_transit, [&](const TeamAmounts& entry) {
    json::ObjectWriter item(writer);
    item.text("team", entry.team);
    put_amounts(writer, item, "amounts", entry.amounts);
    item.end();
  });
  object.end();
  return json::text(buffer);
}

bool decode_share_value(std::string_view key, std::string_view value, ShareLedger& ledger) {
  json::Document doc;
  if (!json::parse_object(value, doc)) return false;
  if (key.starts_with(kSharePrefix)) return decode_share(doc, ledger);
  return key.starts_with(kTransferPrefix) && decode_transfers(doc, ledger);
}

}  // namespace sailreel
