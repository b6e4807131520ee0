// Frames between controllers: versioned, packed, little-endian structs whose lengths are checked.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/decoded.hpp"
#include "protocol/messages.hpp"
#include "protocol/region_frames.hpp"

namespace sailreel {

/// A controller's heartbeat, which each controller sends to every other one: who the sender is,
/// whether it leads, and whether it receives heartbeats from a leader. `acknowledged_clock` echoes
/// the receiver's own clock, which lets the receiver recognise a delayed heartbeat.
struct ControllerHeartbeat {
  std::string node;
  std::uint64_t epoch = 0;
  bool leading = false, hears_leader = false;
  /// Whether the sender still responds to workers' heartbeats: it is the leader, or its leader
  /// lease has expired only recently. After the expiry, its responses carry no commands.
  bool keeps_workers_alive = false;
  /// Whether workers send heartbeats to the sender directly, not through another controller.
  bool receives_worker_heartbeats = false;
  /// Whether the sender supports gang scheduling. Versions without gang scheduling never set it.
  bool supports_gangs = false;
  /// Whether the sender supports quota shares. Versions without quota shares ignore it.
  bool supports_quota_shares = false;
  /// Identifies the sending process. Changes with each restart.
  std::uint64_t incarnation = 0;
  std::int64_t clock = 0;
  /// The incarnation in the latest heartbeat that the sender received from the receiver, and the
  /// clock in that heartbeat.
  std::uint64_t acknowledged_incarnation = 0;
  std::int64_t acknowledged_clock = 0;
  /// How long, from `acknowledged_clock` on, the receiver may renew workers' leases without a
  /// leader.
  std::uint32_t keep_alive_ms = 0;
  /// How long ago the sender last renewed a worker's lease without a leader. Empty means never.
  std::optional<std::uint32_t> last_kept_alive_ms_ago;
};
/// A user's request or a worker's heartbeat, forwarded to the leader.
struct PeerRequest {
  /// Identifies the request among those of the sender. The response repeats it.
  std::uint64_t call_id = 0;
  RequestOp op = RequestOp::Query;
  std::string id, body;
  /// Asks the receiver to forward the request once more if it isn't the leader, because the sender
  /// has no link to the leader. Versions without gang scheduling ignore the flag and reject such a
  /// request.
  bool relay = false;
};
/// The response to a `PeerRequest`.
struct PeerResponse {
  std::uint64_t call_id = 0;
  int status = 0, retry_after_s = 0;
  /// How long after it is sent the response may be passed on. The receiver counts from when it sent
  /// the request, which is earlier. Empty means without limit.
  std::optional<std::uint32_t> valid_ms;
  std::string body;
};

/// A message in a frame. `kind` tells which of the other fields is set.
struct PeerMessage {
  /// Versions without quota shares close a link on which a Region message arrives. Therefore Region
  /// messages are sent only to the regions that the operators' options name.
  enum class Kind : std::uint8_t { Heartbeat = 1, Request = 2, Response = 3, Region = 4 };
  Kind kind = Kind::Heartbeat;
  ControllerHeartbeat heartbeat;
  PeerRequest request;
  PeerResponse response;
  RegionMessage region;
};

/// Encodes the message as one frame.
std::string encode_peer(const PeerMessage& message);

/// Decodes the frames in a byte stream.
class PeerReader {
 public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  /// The next complete message. Empty if more bytes are needed or the stream is `broken`.
  std::optional<PeerMessage> next();
  [[nodiscard]] bool broken() const { return error_.has_value(); }
  /// Why the stream is broken. After a frame that can't be decoded, no further frame is read,
  /// because nothing marks where the next one begins.
  [[nodiscard]] const std::optional<DecodeError>& error() const { return error_; }

 private:
  std::string buffer_;
  std::size_t consumed_ = 0;
  std::optional<DecodeError> error_;
};

}  // namespace sailreel
