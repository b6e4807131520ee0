// Frames between our own processes: packed structs, little-endian, versioned, lengths checked.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/decoded.hpp"
#include "protocol/messages.hpp"
#include "protocol/region_frames.hpp"

namespace sailreel {

/// Said by every node to every other: who it is, whether it leads, and whether it hears a leader.
/// Times are the sender's own or, echoed, the receiver's; so that an old heartbeat is known for
/// one.
struct ControllerHeartbeat {
  std::string node;
  std::uint64_t epoch = 0;
  bool leading = false, hears_leader = false;
  bool holding = false;            // led, and still answers reports, without commands
  bool hears_workers = false;      // by itself
  bool understands_gangs = false;  // not said by versions before gangs, and ignored by them
  bool shares_limits = false;      // limits span regions; ignored by versions before shares
  std::uint64_t incarnation = 0;   // of the sending process; differs after a restart
  std::int64_t clock = 0;
  std::uint64_t acknowledged_incarnation =
      0;  // of the receiver's latest heartbeat that the sender had
  std::int64_t acknowledged_clock = 0;
  /// From `heard_clock` on, so long the receiver may keep workers' tasks alive by itself.
  std::uint32_t keep_ms = 0;
  /// How long ago the sender last did that.
  std::optional<std::uint32_t> kept_alive_ms;
};
/// A user's request or a worker's report, handed on to the leader.
struct PeerRequest {
  std::uint64_t call = 0;
  UserOp op = UserOp::Query;
  std::string id, body;
  /// To be handed on once more if the receiver doesn't lead: the sender has no way to the leader.
  /// Versions before gangs ignore it, and turn such a request away.
  bool relay = false;
};
struct PeerResponse {
  std::uint64_t call = 0;
  int status = 0, retry_after_s = 0;
  /// From its sending on, so long it may be passed on; empty: for ever.
  std::optional<std::uint32_t> valid_ms;
  std::string body;
};

struct PeerMessage {
  /// Versions before shares close a link that brings a message of a region; only regions that are
  /// named in the operators' options are sent any.
  enum class Kind : std::uint8_t { Heartbeat = 1, Request = 2, Response = 3, Region = 4 };
  Kind kind = Kind::Heartbeat;
  ControllerHeartbeat heartbeat;
  PeerRequest request;
  PeerResponse response;
  RegionMessage region;
};

std::string encode_peer(const PeerMessage& message);

/// Cuts frames out of a byte stream.
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
