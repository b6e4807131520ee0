// The inputs of a controller's step and the actions that the step returns.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "protocol/decoded.hpp"
#include "protocol/messages.hpp"
#include "protocol/peer_frames.hpp"

namespace sailreel {

/// Where a request came from, which is also where its response is sent.
struct RequestSource {
  enum class Kind : std::uint8_t { None, Local, Peer } kind = Kind::None;
  std::uint64_t link = 0;  // the user's or worker's connection, or the link to the peer
  std::uint64_t call = 0;  // the number that the peer gave the request
};

// ---- inputs ----
/// A user's request, received from the user or forwarded by a peer.
struct UserRequest {
  RequestSource source;
  RequestOp op = RequestOp::Query;
  std::string id;      // empty for a submission
  std::string body;    // of a submission
  bool relay = false;  // forwarded by a peer that has no path to the leader
};
/// A worker's heartbeat, received from it or forwarded by a peer.
struct HeartbeatReceived {
  RequestSource source;
  Heartbeat heartbeat;
  std::string encoded;  // the encoded heartbeat as received, for forwarding
};
/// A request that could not be decoded, received from its sender or forwarded by a peer.
struct MalformedRequest {
  RequestSource source;
  RequestOp op = RequestOp::Submit;
  DecodeError error;
  std::size_t bytes = 0;  // of the body
};
/// The response to a CallKvStore action.
struct KvResponseReceived {
  std::uint64_t call = 0;
  KvResponse response;
};
/// The response to a CallCloud action.
struct CloudResponseReceived {
  std::uint64_t call = 0;
  CloudResponse response;
};
/// The response to a CallWorker action.
struct WorkerResponseReceived {
  std::uint64_t call = 0;
  int status = 0;
  std::optional<Heartbeat> heartbeat;
};
/// A peer's heartbeat or response. A peer's requests arrive as UserRequest or HeartbeatReceived.
struct PeerMessageReceived {
  std::size_t peer = 0;
  PeerMessage message;
};
/// A message from the leader of another region, or from a former leader.
struct RegionMessageReceived {
  RegionMessage message;
};
/// The link to the peer broke.
struct PeerDisconnected {
  std::size_t peer = 0;
};
/// Starts a step without other input, usually because the timer of an ArmTimer action has expired.
struct Tick {};
using Input = std::variant<Tick, UserRequest, HeartbeatReceived, KvResponseReceived,
                           CloudResponseReceived, WorkerResponseReceived, PeerMessageReceived,
                           PeerDisconnected, RegionMessageReceived, MalformedRequest>;

// ---- actions ----
/// Responds to a user, worker or peer.
struct Response {
  RequestSource source;
  int status = 0;
  std::string body;
  int retry_after_s = 0;
  /// The response must not be sent at or after this time (ms), because the lease that it relies on
  /// may have expired by then.
  Time valid_until = kNever;
};
/// Sends a request to the key-value store. `call` identifies the response.
struct CallKvStore {
  std::uint64_t call = 0;
  KvRequest request;
  Time timeout_ms = 0;
};
/// Sends a request to the cloud. `call` identifies the response.
struct CallCloud {
  std::uint64_t call = 0;
  CloudRequest request;
  Time timeout_ms = 0;
};
/// Sends a command or a probe directly to a worker, but not at or after `valid_until`. `call`
/// identifies the response.
struct CallWorker {
  std::uint64_t call = 0;
  std::string address, body;
  Time timeout_ms = 0;
  Time valid_until = kNever;
};
/// Sends a message to a controller of this region.
struct SendToPeer {
  std::size_t peer = 0;
  PeerMessage message;
};
/// Sends a message to the leader of another region. The other controllers of that region ignore it.
struct SendToRegion {
  std::size_t region = 0;  // index among the other regions, in the order of the options
  RegionMessage message;
};
/// Requests a Tick after `delay_ms`.
struct ArmTimer {
  Time delay_ms = 0;
};
/// Writes a log line.
struct Log {
  enum class Level : std::uint8_t { Debug, Info, Error, Warning } level = Level::Info;
  std::string text;
};
using Action = std::variant<Response, CallKvStore, CallCloud, CallWorker, SendToPeer, SendToRegion,
                            ArmTimer, Log>;

/// The time of a step. `now`: monotonic, in ms; `wall_ms`: wall clock, in ms since the Unix epoch.
struct Clock {
  Time now = 0;
  std::int64_t wall_ms = 0;
};

}  // namespace sailreel
