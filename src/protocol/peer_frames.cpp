#include "protocol/peer_frames.hpp"

#include <bit>
#include <cstring>

#include "protocol/user_codec.hpp"

namespace sailreel {
namespace {

static_assert(std::endian::native == std::endian::little,
              "peer frames are little-endian and are copied from memory without conversion");

constexpr std::uint32_t kMagic = 0x4c525331;  // "1SRL"
constexpr std::uint8_t kVersion = 4;
constexpr std::size_t kMaxNameBytes = 256;
/// The largest body of a request, plus room for its id and its fixed part.
constexpr std::size_t kMaxPayloadBytes = kMaxBodyBytes + 1024;

#pragma pack(push, 1)
struct FrameHeader {
  std::uint32_t magic;
  std::uint8_t version, kind;
  /// Versions without gang scheduling send 0 and ignore received flags.
  std::uint16_t flags;
  /// The length of the payload that follows the header, in bytes.
  std::uint32_t length;
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
  std::uint64_t call_id;
  std::uint8_t op;
  std::uint16_t id_length;
  std::uint32_t body_length;
};
struct ResponseBody {
  std::uint64_t call_id;
  std::uint16_t status, retry_after_s;
  std::uint32_t valid_ms, body_length;
};
#pragma pack(pop)
static_assert(sizeof(FrameHeader) == 12);
static_assert(sizeof(HeartbeatBody) == 52);
static_assert(sizeof(RequestBody) == 15);
static_assert(sizeof(ResponseBody) == 20);

/// The value of `valid_ms` in a response that may be passed on without limit.
constexpr std::uint32_t kNoTimeLimit = UINT32_MAX;

/// The flag of `FrameHeader` that corresponds to `PeerRequest::relay`.
constexpr std::uint16_t kRelayFlag = 1;

/// The flags of `HeartbeatBody`.
constexpr std::uint8_t kLeadingFlag = 1, kHearsLeaderFlag = 2, kHoldingFlag = 4,
                       kHearsWorkersFlag = 8, kKeptAliveFlag = 16, kUnderstandsGangsFlag = 32,
                       kSharesLimitsFlag = 64;

template <typename Body>
std::string encode_frame(PeerMessage::Kind kind, const Body& body, std::string_view text,
                         std::string_view more_text = {}, std::uint16_t flags = 0) {
  const FrameHeader header{
      kMagic, kVersion, static_cast<std::uint8_t>(kind), flags,
      static_cast<std::uint32_t>(sizeof(Body) + text.size() + more_text.size())};
  std::string out;
  out.reserve(sizeof header + header.length);
  out.append(reinterpret_cast<const char*>(&header), sizeof header);
  out.append(reinterpret_cast<const char*>(&body), sizeof body);
  out.append(text).append(more_text);
  return out;
}

/// Removes a fixed-size struct from the start of `payload`. Returns false if `payload` is too
/// short.
template <typename Body>
bool consume(std::string_view& payload, Body& body) {
  if (payload.size() < sizeof body) return false;
  std::memcpy(&body, payload.data(), sizeof body);
  payload.remove_prefix(sizeof body);
  return true;
}

Decoded<ControllerHeartbeat> decode_controller_heartbeat(std::string_view payload) {
  HeartbeatBody body;
  if (!consume(payload, body)) return DecodeError{DecodeErrorKind::Truncated, "heartbeat"};
  if (body.name_length > kMaxNameBytes || payload.size() != body.name_length)
    return DecodeError{DecodeErrorKind::InvalidField, "node"};
  ControllerHeartbeat heartbeat;
  heartbeat.node = std::string(payload);
  heartbeat.epoch = body.epoch;
  heartbeat.leading = (body.flags & kLeadingFlag) != 0;
  heartbeat.hears_leader = (body.flags & kHearsLeaderFlag) != 0;
  heartbeat.keeps_workers_alive = (body.flags & kHoldingFlag) != 0;
  heartbeat.receives_worker_heartbeats = (body.flags & kHearsWorkersFlag) != 0;
  heartbeat.supports_gangs = (body.flags & kUnderstandsGangsFlag) != 0;
  heartbeat.supports_quota_shares = (body.flags & kSharesLimitsFlag) != 0;
  heartbeat.incarnation = body.incarnation;
  heartbeat.clock = body.clock;
  heartbeat.acknowledged_incarnation = body.acknowledged_incarnation;
  heartbeat.acknowledged_clock = body.acknowledged_clock;
  heartbeat.keep_alive_ms = body.keep_ms;
  if ((body.flags & kKeptAliveFlag) != 0) heartbeat.last_kept_alive_ms_ago = body.kept_alive_ms;
  return heartbeat;
}

Decoded<PeerRequest> decode_request(std::string_view payload, bool relay) {
  RequestBody body;
  if (!consume(payload, body)) return DecodeError{DecodeErrorKind::Truncated, "request"};
  if (body.op > static_cast<std::uint8_t>(RequestOp::Heartbeat))
    return DecodeError{DecodeErrorKind::Unsupported, "op"};
  if (body.id_length > kMaxNameBytes) return DecodeError{DecodeErrorKind::InvalidField, "id"};
  if (body.body_length > kMaxBodyBytes ||
      payload.size() != std::size_t{body.id_length} + body.body_length)
    return DecodeError{DecodeErrorKind::InvalidField, "body"};
  return PeerRequest{body.call_id, static_cast<RequestOp>(body.op),
                     std::string(payload.substr(0, body.id_length)),
                     std::string(payload.substr(body.id_length)), relay};
}

Decoded<PeerResponse> decode_response(std::string_view payload) {
  ResponseBody body;
  if (!consume(payload, body)) return DecodeError{DecodeErrorKind::Truncated, "response"};
  if (payload.size() != body.body_length) return DecodeError{DecodeErrorKind::InvalidField, "body"};
  PeerResponse response{body.call_id, body.status, body.retry_after_s, {}, std::string(payload)};
  if (body.valid_ms != kNoTimeLimit) response.valid_ms = body.valid_ms;
  return response;
}

Decoded<PeerMessage> decode_payload(const FrameHeader& header, std::string_view payload) {
  PeerMessage message;
  message.kind = static_cast<PeerMessage::Kind>(header.kind);
  // The flag is meant for requests, but it is decoded for frames of every kind, as in earlier
  // versions.
  message.request.relay = (header.flags & kRelayFlag) != 0;
  switch (message.kind) {
    case PeerMessage::Kind::Heartbeat: {
      auto heartbeat = decode_controller_heartbeat(payload);
      if (!heartbeat) return heartbeat.error();
      message.heartbeat = std::move(*heartbeat);
      return message;
    }
    case PeerMessage::Kind::Request: {
      auto request = decode_request(payload, message.request.relay);
      if (!request) return request.error();
      message.request = std::move(*request);
      return message;
    }
    case PeerMessage::Kind::Response: {
      auto response = decode_response(payload);
      if (!response) return response.error();
      message.response = std::move(*response);
      return message;
    }
    case PeerMessage::Kind::Region: {
      // A region message of a later version is ignored rather than reported as an error: an error
      // would close the link, which also carries messages that this version supports.
      auto region = decode_region_message(payload);
      if (region) message.region = std::move(*region);
      return message;
    }
  }
  return DecodeError{DecodeErrorKind::Unsupported, "kind"};
}

std::string encode_region_frame(const RegionMessage& message) {
  const std::string payload = encode_region_message(message);
  const FrameHeader header{kMagic, kVersion, static_cast<std::uint8_t>(PeerMessage::Kind::Region),
                           0, static_cast<std::uint32_t>(payload.size())};
  std::string out(reinterpret_cast<const char*>(&header), sizeof header);
  return out += payload;
}

/// The first header field that this version doesn't accept, or nullptr if it accepts the header.
const char* unsupported_field(const FrameHeader& header) {
  if (header.magic != kMagic) return "magic";
  if (header.version != kVersion) return "version";
  if (header.length > kMaxPayloadBytes) return "length";
  return nullptr;
}

}  // namespace

std::string encode_peer(const PeerMessage& message) {
  switch (message.kind) {
    case PeerMessage::Kind::Heartbeat: {
      const ControllerHeartbeat& heartbeat = message.heartbeat;
      const auto flag = [](bool on, std::uint8_t bit) { return on ? unsigned{bit} : 0U; };
      const unsigned flags = flag(heartbeat.leading, kLeadingFlag) |
                             flag(heartbeat.hears_leader, kHearsLeaderFlag) |
                             flag(heartbeat.keeps_workers_alive, kHoldingFlag) |
                             flag(heartbeat.receives_worker_heartbeats, kHearsWorkersFlag) |
                             flag(heartbeat.last_kept_alive_ms_ago.has_value(), kKeptAliveFlag) |
                             flag(heartbeat.supports_gangs, kUnderstandsGangsFlag) |
                             flag(heartbeat.supports_quota_shares, kSharesLimitsFlag);
      return encode_frame(
          message.kind,
          HeartbeatBody{heartbeat.epoch, heartbeat.incarnation, heartbeat.clock,
                        heartbeat.acknowledged_incarnation, heartbeat.acknowledged_clock,
                        heartbeat.keep_alive_ms, heartbeat.last_kept_alive_ms_ago.value_or(0),
                        static_cast<std::uint8_t>(flags), 0,
                        static_cast<std::uint16_t>(heartbeat.node.size())},
          heartbeat.node);
    }
    case PeerMessage::Kind::Request:
      return encode_frame(
          message.kind,
          RequestBody{message.request.call_id, static_cast<std::uint8_t>(message.request.op),
                      static_cast<std::uint16_t>(message.request.id.size()),
                      static_cast<std::uint32_t>(message.request.body.size())},
          message.request.id, message.request.body, message.request.relay ? kRelayFlag : 0);
    case PeerMessage::Kind::Response:
      return encode_frame(message.kind,
                          ResponseBody{message.response.call_id,
                                       static_cast<std::uint16_t>(message.response.status),
                                       static_cast<std::uint16_t>(message.response.retry_after_s),
                                       message.response.valid_ms.value_or(kNoTimeLimit),
                                       static_cast<std::uint32_t>(message.response.body.size())},
                          message.response.body);
    case PeerMessage::Kind::Region:
      return encode_region_frame(message.region);
  }
  return {};
}

std::optional<PeerMessage> PeerReader::next() {
  if (error_) return {};
  std::string_view payload = std::string_view(buffer_).substr(consumed_);
  FrameHeader header;
  if (!consume(payload, header)) {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
    return {};
  }
  if (const char* field = unsupported_field(header)) {
    error_ = DecodeError{DecodeErrorKind::Unsupported, field};
    return {};
  }
  if (payload.size() < header.length) return {};
  auto message = decode_payload(header, payload.substr(0, header.length));
  if (!message) {
    error_ = message.error();
    return {};
  }
  consumed_ += sizeof header + header.length;
  return std::move(*message);
}

}  // namespace sailreel
