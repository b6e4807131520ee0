#include "protocol/region_frames.hpp"

#include <bit>
#include <cstring>

namespace sailreel {
namespace {

static_assert(std::endian::native == std::endian::little,
              "region messages are little-endian and are copied from memory without conversion");

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kMaxNameBytes = 200;
constexpr std::size_t kMaxEntries = 1'000;

#pragma pack(push, 1)
struct MessageHeader {
  std::uint8_t version, kind;
  std::uint16_t name_length, entry_count;
  std::uint64_t epoch, sequence, number;
};
struct EntryBody {
  std::uint16_t name_length;
  std::int64_t first_cpus, first_gpus, second_cpus, second_gpus;
};
#pragma pack(pop)
static_assert(sizeof(MessageHeader) == 30);
static_assert(sizeof(EntryBody) == 34);

template <typename Body>
void append_struct(std::string& out, const Body& body) {
  out.append(reinterpret_cast<const char*>(&body), sizeof body);
}

template <typename Body>
bool consume(std::string_view& bytes, Body& body) {
  if (bytes.size() < sizeof body) return false;
  std::memcpy(&body, bytes.data(), sizeof body);
  bytes.remove_prefix(sizeof body);
  return true;
}

/// Removes `length` bytes from the start of `bytes` and returns them. Errors name `field`.
Decoded<std::string> consume_name(std::string_view& bytes, std::size_t length, const char* field) {
  if (length > kMaxNameBytes) return DecodeError{DecodeErrorKind::InvalidField, field};
  if (bytes.size() < length) return DecodeError{DecodeErrorKind::Truncated, field};
  std::string name(bytes.substr(0, length));
  bytes.remove_prefix(length);
  return name;
}

/// The common form of the entries in all kinds of messages: a team and up to two amounts.
struct Entry {
  std::string team;
  Amounts first, second;
};

std::vector<Entry> collect_entries(const RegionMessage& message) {
  std::vector<Entry> out;
  for (const TeamAmounts& entry : message.transfer.amounts)
    out.push_back({entry.team, entry.amounts, {}});
  for (const DemandEntry& entry : message.demand.entries)
    out.push_back({entry.team, entry.wanted, entry.urgent});
  for (const SurplusEntry& entry : message.surplus.entries)
    out.push_back({entry.team, entry.unused, entry.preemptible});
  return out;
}

std::uint64_t transfer_number(const RegionMessage& message) {
  switch (message.kind) {
    case RegionMessage::Kind::Transfer:
      return message.transfer.number;
    case RegionMessage::Kind::Acknowledgement:
      return message.acknowledgement.number;
    case RegionMessage::Kind::Demand:
      return message.demand.credited;
    case RegionMessage::Kind::Surplus:
      return 0;
  }
  return 0;
}

bool is_known_kind(std::uint8_t kind) {
  return kind >= static_cast<std::uint8_t>(RegionMessage::Kind::Transfer) &&
         kind <= static_cast<std::uint8_t>(RegionMessage::Kind::Surplus);
}

bool has_negative(const Amounts& amounts) { return amounts.cpus < 0 || amounts.gpus < 0; }

Decoded<Entry> consume_entry(std::string_view& bytes) {
  EntryBody body{};
  if (!consume(bytes, body)) return DecodeError{DecodeErrorKind::Truncated, "entry"};
  auto team = consume_name(bytes, body.name_length, "team");
  if (!team) return team.error();
  Entry entry{
      std::move(*team), {body.first_cpus, body.first_gpus}, {body.second_cpus, body.second_gpus}};
  if (has_negative(entry.first) || has_negative(entry.second))
    return DecodeError{DecodeErrorKind::InvalidField, "amounts"};
  return entry;
}

/// Moves the entries into the message. Returns false if a message of that kind can't have that many
/// entries.
bool set_entries(RegionMessage& message, std::uint64_t number, std::vector<Entry> entries) {
  switch (message.kind) {
    case RegionMessage::Kind::Transfer:
      message.transfer.number = number;
      for (Entry& entry : entries)
        message.transfer.amounts.push_back({std::move(entry.team), entry.first});
      return !message.transfer.amounts.empty();
    case RegionMessage::Kind::Acknowledgement:
      message.acknowledgement.number = number;
      return entries.empty();
    case RegionMessage::Kind::Demand:
      message.demand.credited = number;
      for (Entry& entry : entries)
        message.demand.entries.push_back({std::move(entry.team), entry.first, entry.second});
      return true;
    case RegionMessage::Kind::Surplus:
      for (Entry& entry : entries)
        message.surplus.entries.push_back({std::move(entry.team), entry.first, entry.second});
      return true;
  }
  return false;
}

}  // namespace

std::string encode_region_message(const RegionMessage& message) {
  const std::vector<Entry> entries = collect_entries(message);
  std::string out;
  append_struct(out, MessageHeader{kVersion, static_cast<std::uint8_t>(message.kind),
                                   static_cast<std::uint16_t>(message.from.size()),
                                   static_cast<std::uint16_t>(entries.size()), message.epoch,
                                   message.sequence, transfer_number(message)});
  out += message.from;
  for (const Entry& entry : entries) {
    append_struct(out, EntryBody{static_cast<std::uint16_t>(entry.team.size()), entry.first.cpus,
                                 entry.first.gpus, entry.second.cpus, entry.second.gpus});
    out += entry.team;
  }
  return out;
}

Decoded<RegionMessage> decode_region_message(std::string_view bytes) {
  MessageHeader header{};
  if (!consume(bytes, header)) return DecodeError{DecodeErrorKind::Truncated, "header"};
  if (header.version != kVersion) return DecodeError{DecodeErrorKind::Unsupported, "version"};
  if (!is_known_kind(header.kind)) return DecodeError{DecodeErrorKind::Unsupported, "kind"};
  if (header.entry_count > kMaxEntries)
    return DecodeError{DecodeErrorKind::InvalidField, "entries"};
  auto from = consume_name(bytes, header.name_length, "from");
  if (!from) return from.error();
  RegionMessage message;
  message.from = std::move(*from);
  message.kind = static_cast<RegionMessage::Kind>(header.kind);
  message.epoch = header.epoch;
  message.sequence = header.sequence;
  std::vector<Entry> entries(header.entry_count);
  for (Entry& entry : entries) {
    auto decoded = consume_entry(bytes);
    if (!decoded) return decoded.error();
    entry = std::move(*decoded);
  }
  if (!bytes.empty()) return DecodeError{DecodeErrorKind::TrailingBytes, {}};
  if (!set_entries(message, header.number, std::move(entries)))
    return DecodeError{DecodeErrorKind::InvalidField, "entries"};
  return message;
}

}  // namespace sailreel
