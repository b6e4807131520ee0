// Inputs of a controller's step and the actions that it returns.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "protocol/messages.hpp"
#include "protocol/peer_frames.hpp"

namespace sailreel {

/// Where a request came from, and so where its response goes.
struct RequestSource {
  enum class Kind : std::uint8_t { None, Local, Peer } kind = Kind::None;
  std::uint64_t link = 0;  // connection, or peer link
  std::uint64_t call = 0;  // the peer's number for the request
};

// ---- inputs ----
struct UserRequest {
  RequestSource source;
  UserOp op = UserOp::Query;
  std::string id;      // empty for a submission
  std::string body;    // of a submission
  bool relay = false;  // from a peer that has no path to the leader
};
/// A worker's heartbeat, received from it or forwarded by a peer.
struct HeartbeatReceived {
  RequestSource source;
  Heartbeat heartbeat;
  std::string raw;  // as received, to be forwarded
};
struct KvResponseReceived {
  std::uint64_t call = 0;
  KvResponse reply;
};
struct CloudResponseReceived {
  std::uint64_t call = 0;
  CloudResponse reply;
};
/// The response to a direct command or inquiry.
struct WorkerResponseReceived {
  std::uint64_t call = 0;
  int status = 0;
  std::optional<Heartbeat> heartbeat;
};
struct PeerMessageReceived {
  std::size_t peer = 0;
  PeerMessage
      message;  // a heartbeat or a response; requests come as UserRequest or HeartbeatReceived
};
/// A message of another region's leader, or of a former one.
struct RegionMessageReceived {
  RegionMessage message;
};
struct PeerDisconnected {
  std::size_t peer = 0;
};
struct Tick {};
using Input = std::variant<Tick, UserRequest, HeartbeatReceived, KvResponseReceived,
                           CloudResponseReceived, WorkerResponseReceived, PeerMessageReceived,
                           PeerDisconnected, RegionMessageReceived>;

// ---- actions ----
struct Response {
  RequestSource source;
  int status = 0;
  std::string body;
  int retry_after_s = 0;
  /// Not to be sent at or after this time (ms): the lease that backs it may have expired by then.
  Time valid_until = kNever;
};
struct CallKvStore {
  std::uint64_t call = 0;
  KvRequest request;
  Time timeout_ms = 0;
};
struct CallCloud {
  std::uint64_t call = 0;
  CloudRequest request;
  Time timeout_ms = 0;
};
struct CallWorker {
  std::uint64_t call = 0;
  std::string address, body;
  Time timeout_ms = 0;
  Time valid_until = kNever;
};
struct SendPeer {
  std::size_t peer = 0;
  PeerMessage message;
};
/// Sent to the region's leader; other controllers there ignore it.
struct SendRegion {
  std::size_t region = 0;  // among the other regions, in the order of the options
  RegionMessage message;
};
/// Asks for a Tick after that time (ms).
struct ArmTimer {
  Time in_ms = 0;
};
struct Log {
  enum class Level : std::uint8_t { Debug, Info, Error, Warning } level = Level::Info;
  std::string text;
};
using Action =
    std::variant<Response, CallKvStore, CallCloud, CallWorker, SendPeer, SendRegion, ArmTimer, Log>;

/// `now`: monotonic, in ms; `wall_ms`: ms since the epoch of the wall clock.
struct Clock {
  Time now = 0;
  std::int64_t wall_ms = 0;
};

}  // namespace sailreel
