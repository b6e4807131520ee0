#include "protocol/peer_frames.hpp"

#include <bit>
#include <cstring>

#include "protocol/user_codec.hpp"

namespace sailreel {
namespace {

static_assert(std::endian::native == std::endian::little,
              "peer frames are little-endian and copied as they lie in memory");

constexpr std::uint32_t kMagic = 0x4c525331;  // "1SRL"
constexpr std::uint8_t kVersion = 4;
constexpr std::size_t kMaxText = 256;
/// A request's body and its id, with room for the fixed part.
constexpr std::size_t kMaxPayload = kMaxBody + 1024;

#pragma pack(push, 1)
struct FrameHeader {
  std::uint32_t magic;
  std::uint8_t version, kind;
  std::uint16_t flags;   // 0 and not looked at in versions before gangs
  std::uint32_t length;  // of what follows
};
struct HeartbeatBody {
  std::uint64_t epoch, incarnation;
  std::int64_t clock;
  std::uint64_t acknowledged_incarnation;
  std::int64_t acknowledged_clock;
  std::uint32_t keep_ms, kept_alive_ms;
  std::uint8_t flags, reserved;
  std::uint16_t name_length;
};
struct RequestBody {
  std::uint64_t call;
  std::uint8_t op;
  std::uint16_t id_length;
  std::uint32_t body_length;
};
struct ResponseBody {
  std::uint64_t call;
  std::uint16_t status, retry_after_s;
  std::uint32_t valid_ms, body_length;
};
#pragma pack(pop)
static_assert(sizeof(FrameHeader) == 12);
static_assert(sizeof(HeartbeatBody) == 52);
static_assert(sizeof(RequestBody) == 15);
static_assert(sizeof(ResponseBody) == 20);

/// An answer that may be passed on for ever.
constexpr std::uint32_t kForEver = UINT32_MAX;

/// Of the header.
constexpr std::uint16_t kRelay = 1;

constexpr std::uint8_t kLeading = 1, kHearsLeader = 2, kHolding = 4, kHearsWorkers = 8,
                       kWasAlone = 16, kUnderstandsGangs = 32, kSharesLimits = 64;

template <typename Body>
std::string frame(PeerMessage::Kind kind, const Body& body, std::string_view a,
                  std::string_view b = {}, std::uint16_t flags = 0) {
  const FrameHeader h{kMagic, kVersion, static_cast<std::uint8_t>(kind), flags,
                      static_cast<std::uint32_t>(sizeof(Body) + a.size() + b.size())};
  std::string out;
  out.reserve(sizeof h + h.length);
  out.append(reinterpret_cast<const char*>(&h), sizeof h);
  out.append(reinterpret_cast<const char*>(&body), sizeof body);
  out.append(a).append(b);
  return out;
}

/// Takes the fixed part off the payload; false when it is too short.
template <typename Body>
bool take(std::string_view& payload, Body& body) {
  if (payload.size() < sizeof body) return false;
  std::memcpy(&body, payload.data(), sizeof body);
  payload.remove_prefix(sizeof body);
  return true;
}

bool parse(PeerMessage::Kind kind, std::string_view payload, PeerMessage& m) {
  m.kind = kind;
  switch (kind) {
    case PeerMessage::Kind::Heartbeat: {
      HeartbeatBody b;
      if (!take(payload, b) || b.name_length > kMaxText || payload.size() != b.name_length)
        return false;
      m.heartbeat.node = std::string(payload);
      m.heartbeat.epoch = b.epoch;
      m.heartbeat.leading = (b.flags & kLeading) != 0;
      m.heartbeat.hears_leader = (b.flags & kHearsLeader) != 0;
      m.heartbeat.holding = (b.flags & kHolding) != 0;
      m.heartbeat.hears_workers = (b.flags & kHearsWorkers) != 0;
      m.heartbeat.understands_gangs = (b.flags & kUnderstandsGangs) != 0;
      m.heartbeat.shares_limits = (b.flags & kSharesLimits) != 0;
      m.heartbeat.incarnation = b.incarnation;
      m.heartbeat.clock = b.clock;
      m.heartbeat.acknowledged_incarnation = b.acknowledged_incarnation;
      m.heartbeat.acknowledged_clock = b.acknowledged_clock;
      m.heartbeat.keep_ms = b.keep_ms;
      if ((b.flags & kWasAlone) != 0) m.heartbeat.kept_alive_ms = b.kept_alive_ms;
      return true;
    }
    case PeerMessage::Kind::Request: {
      RequestBody b;
      if (!take(payload, b) || b.op > static_cast<std::uint8_t>(UserOp::Heartbeat) ||
          b.id_length > kMaxText || b.body_length > kMaxBody ||
          payload.size() != std::size_t{b.id_length} + b.body_length)
        return false;
      m.request = {b.call, static_cast<UserOp>(b.op), std::string(payload.substr(0, b.id_length)),
                   std::string(payload.substr(b.id_length)), false};
      return true;
    }
    case PeerMessage::Kind::Response: {
      ResponseBody b;
      if (!take(payload, b) || payload.size() != b.body_length) return false;
      m.response = {b.call, b.status, b.retry_after_s, {}, std::string(payload)};
      if (b.valid_ms != kForEver) m.response.valid_ms = b.valid_ms;
      return true;
    }
    case PeerMessage::Kind::Region: {
      auto message = decode_region_message(payload);
      // One of a later version is passed over; the link serves on.
      if (message) m.region = std::move(*message);
      return true;
    }
  }
  return false;
}

std::string frame_region(const RegionMessage& message) {
  const std::string payload = encode_region_message(message);
  const FrameHeader header{kMagic, kVersion, static_cast<std::uint8_t>(PeerMessage::Kind::Region),
                           0, static_cast<std::uint32_t>(payload.size())};
  std::string out(reinterpret_cast<const char*>(&header), sizeof header);
  return out += payload;
}

}  // namespace

std::string encode_peer(const PeerMessage& m) {
  switch (m.kind) {
    case PeerMessage::Kind::Heartbeat: {
      const ControllerHeartbeat& b = m.heartbeat;
      const auto flag = [](bool on, std::uint8_t bit) { return on ? unsigned{bit} : 0U; };
      const unsigned flags = flag(b.leading, kLeading) | flag(b.hears_leader, kHearsLeader) |
                             flag(b.holding, kHolding) | flag(b.hears_workers, kHearsWorkers) |
                             flag(b.kept_alive_ms.has_value(), kWasAlone) |
                             flag(b.understands_gangs, kUnderstandsGangs) |
                             flag(b.shares_limits, kSharesLimits);
      return frame(m.kind,
                   HeartbeatBody{b.epoch, b.incarnation, b.clock, b.acknowledged_incarnation,
                                 b.acknowledged_clock, b.keep_ms, b.kept_alive_ms.value_or(0),
                                 static_cast<std::uint8_t>(flags), 0,
                                 static_cast<std::uint16_t>(b.node.size())},
                   b.node);
    }
    case PeerMessage::Kind::Request:
      return frame(m.kind,
                   RequestBody{m.request.call, static_cast<std::uint8_t>(m.request.op),
                               static_cast<std::uint16_t>(m.request.id.size()),
                               static_cast<std::uint32_t>(m.request.body.size())},
                   m.request.id, m.request.body, m.request.relay ? kRelay : 0);
    case PeerMessage::Kind::Response:
      return frame(m.kind,
                   ResponseBody{m.response.call, static_cast<std::uint16_t>(m.response.status),
                                static_cast<std::uint16_t>(m.response.retry_after_s),
                                m.response.valid_ms.value_or(kForEver),
                                static_cast<std::uint32_t>(m.response.body.size())},
                   m.response.body);
    case PeerMessage::Kind::Region:
      return frame_region(m.region);
  }
  return {};
}

std::optional<PeerMessage> PeerReader::next() {
  if (broken_) return {};
  std::string_view rest = std::string_view(buffer_).substr(used_);
  FrameHeader h;
  std::string_view head = rest;
  if (!take(head, h)) {
    buffer_.erase(0, used_);
    used_ = 0;
    return {};
  }
  if (h.magic != kMagic || h.version != kVersion || h.length > kMaxPayload) {
    broken_ = true;
    return {};
  }
  if (head.size() < h.length) return {};
  PeerMessage m;
  if (!parse(static_cast<PeerMessage::Kind>(h.kind), head.substr(0, h.length), m)) {
    broken_ = true;
    return {};
  }
  m.request.relay = (h.flags & kRelay) != 0;
  used_ += sizeof h + h.length;
  return m;
}

}  // namespace sailreel
