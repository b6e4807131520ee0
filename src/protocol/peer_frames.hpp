// Frames between controllers: packed structs, little-endian, versioned, with checked lengths.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/decoded.hpp"
#include "protocol/messages.hpp"
#include "protocol/region_frames.hpp"

namespace sailreel {

/// Sent by every node to every other: who it is, whether it leads, and whether it hears a leader.
/// `acknowledged_clock` echoes the receiver's own clock, by which a delayed heartbeat is
/// recognised.
struct ControllerHeartbeat {
  std::string node;
  std::uint64_t epoch = 0;
  bool leading = false, hears_leader = false;
  bool holding = false;            // was leader, and still responds to heartbeats, without commands
  bool hears_workers = false;      // directly, not through another node
  bool understands_gangs = false;  // never set by versions from before gang scheduling
  bool shares_limits = false;      // understands quota shares; ignored by versions before them
  std::uint64_t incarnation = 0;   // of the sending process; differs after a restart
  std::int64_t clock = 0;
  std::uint64_t acknowledged_incarnation =
      0;  // of the receiver's latest heartbeat that the sender had
  std::int64_t acknowledged_clock = 0;
  /// How long, from `acknowledged_clock` on, the receiver may keep workers' leases alive by itself.
  std::uint32_t keep_ms = 0;
  /// How long ago the sender last did that; empty: never.
  std::optional<std::uint32_t> kept_alive_ms;
};
/// A user's request or a worker's heartbeat, forwarded to the leader.
struct PeerRequest {
  std::uint64_t call = 0;
  UserOp op = UserOp::Query;
  std::string id, body;
  /// To be forwarded once more if the receiver isn't the leader, as the sender has no link to the
  /// leader. Versions from before gang scheduling ignore it, and reject such a request.
  bool relay = false;
};
struct PeerResponse {
  std::uint64_t call = 0;
  int status = 0, retry_after_s = 0;
  /// How long after it was sent the response may be passed on; empty: without limit.
  std::optional<std::uint32_t> valid_ms;
  std::string body;
};

struct PeerMessage {
  /// Versions from before quota shares close a link on which a Region message arrives; only regions
  /// that are named in the operators' options are sent any.
  enum class Kind : std::uint8_t { Heartbeat = 1, Request = 2, Response = 3, Region = 4 };
  Kind kind = Kind::Heartbeat;
  ControllerHeartbeat heartbeat;
  PeerRequest request;
  PeerResponse response;
  RegionMessage region;
};

std::string encode_peer(const PeerMessage& message);

/// Splits a byte stream into messages.
class PeerReader {
 public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  /// The next whole message, or empty: more bytes are needed, or the stream is `broken`.
  std::optional<PeerMessage> next();
  [[nodiscard]] bool broken() const { return error_.has_value(); }
  /// Why the stream is broken. No frame after the first that can't be decoded is read, as nothing
  /// marks where the next one begins.
  [[nodiscard]] const std::optional<DecodeError>& error() const { return error_; }

 private:
  std::string buffer_;
  std::size_t used_ = 0;
  std::optional<DecodeError> error_;
};

}  // namespace sailreel
