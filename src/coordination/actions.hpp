// What the core takes in and what it asks for: the inputs of a step and the actions it returns.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "protocol/messages.hpp"
#include "protocol/peer_frames.hpp"

namespace sailreel {

/// Where a request came from, and so where its answer goes.
struct Origin {
  enum class Kind : std::uint8_t { None, Local, Peer } kind = Kind::None;
  std::uint64_t link = 0;  // connection, or peer link
  std::uint64_t call = 0;  // the peer's number for the request
};

// ---- inputs ----
struct UserRequest {
  Origin origin;
  UserOp op = UserOp::Query;
  std::string id;      // empty for a submission
  std::string body;    // a submission's
  bool relay = false;  // of a sibling that has no way to the leader
};
struct HeartbeatReceived {
  Origin origin;
  Heartbeat heartbeat;
  std::string raw;  // as received, to be handed on
};
struct StateAnswer {
  std::uint64_t call = 0;
  StateReply reply;
};
struct CloudAnswer {
  std::uint64_t call = 0;
  CloudReply reply;
};
/// What a direct command or inquiry brought.
struct WorkerAnswer {
  std::uint64_t call = 0;
  int status = 0;
  std::optional<Heartbeat> heartbeat;
};
struct PeerInput {
  std::size_t sibling = 0;
  PeerMessage
      message;  // a heartbeat or an answer; requests come as UserRequest or HeartbeatReceived
};
/// A message of another region's leader, or of a former one.
struct RegionInput {
  RegionMessage message;
};
struct PeerLost {
  std::size_t sibling = 0;
};
struct Tick {};
using Input = std::variant<Tick, UserRequest, HeartbeatReceived, StateAnswer, CloudAnswer,
                           WorkerAnswer, PeerInput, PeerLost, RegionInput>;

// ---- actions ----
struct Answer {
  Origin origin;
  int status = 0;
  std::string body;
  int retry_after_s = 0;
  /// Not to be sent at or after this moment: the right to say it may be over by then.
  Time valid_until = kNever;
};
struct CallState {
  std::uint64_t call = 0;
  StateCall request;
  Time timeout_ms = 0;
};
struct CallCloud {
  std::uint64_t call = 0;
  CloudCall request;
  Time timeout_ms = 0;
};
struct CallWorker {
  std::uint64_t call = 0;
  std::string address, body;
  Time timeout_ms = 0;
  Time valid_until = kNever;
};
struct SendPeer {
  std::size_t sibling = 0;
  PeerMessage message;
};
/// To whoever leads the region; only a leader there looks at it.
struct SendRegion {
  std::size_t region = 0;  // among the other regions, in the order of the options
  RegionMessage message;
};
struct ArmTimer {
  Time in_ms = 0;
};
struct Log {
  enum class Level : std::uint8_t { Debug, Info, Error, Warning } level = Level::Info;
  std::string text;
};
using Action =
    std::variant<Answer, CallState, CallCloud, CallWorker, SendPeer, SendRegion, ArmTimer, Log>;

struct Clock {
  Time now = 0;
  std::int64_t wall_ms = 0;
};

}  // namespace sailreel
