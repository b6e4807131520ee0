// Requests for instances that the cloud hasn't answered for good.
#pragma once

#include <map>
#include <string>

#include "protocol/messages.hpp"
#include "protocol/settings.hpp"

namespace sailreel {

/// A request for instances, from its decision until the cloud's final answer.
struct PendingScaleOut {
  ScaleOutRequest request;
  /// It is in the checkpoint, so the cloud may be asked.
  bool committed = false;
  /// A call for it is in flight.
  bool asking = false;
  /// Moments in ms of the controller's clock: not asked again before `retry`; decided at `since`.
  Time retry = 0, since = 0;
};

/// By the request's name, which no other controller ever uses.
using PendingScaleOuts = std::map<std::string, PendingScaleOut>;

}  // namespace sailreel
