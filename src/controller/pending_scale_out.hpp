// Scale-out requests to which the cloud has not given a final response.
#pragma once

#include <map>
#include <string>

#include "protocol/messages.hpp"
#include "protocol/settings.hpp"

namespace sailreel {

/// A scale-out request, from the autoscaler's decision until the cloud's final response.
struct PendingScaleOut {
  ScaleOutRequest request;
  /// The request is recorded in the checkpoint, so it may be sent to the cloud.
  bool committed = false;
  /// A call to the cloud with this request is in flight.
  bool call_in_flight = false;
  /// Times in ms of the controller's clock: the request is not sent again before `retry_at`, and
  /// it was decided at `decided_at`.
  Time retry_at = 0, decided_at = 0;
};

/// Scale-out requests by name. A request's name is never used by another controller.
using PendingScaleOuts = std::map<std::string, PendingScaleOut>;

}  // namespace sailreel
