// Codec of workers' heartbeats and of the commands that are sent to workers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/decoded.hpp"
#include "protocol/messages.hpp"

namespace sailreel {

/// Errors name the first invalid field. If a task status is invalid, they name the field in it.
Decoded<Heartbeat> decode_heartbeat(std::string_view body);
/// The response to a heartbeat.
std::string encode_heartbeat_response(std::uint64_t fencing_token,
                                      const std::vector<Command>& commands);
/// The body of a request that the leader sends to a worker, as opposed to a response to a
/// heartbeat.
std::string encode_command_request(std::uint64_t fencing_token, std::uint64_t incarnation,
                                   const std::vector<Command>& commands);
/// The body of a response that redirects a worker to the controller `node`. The body names no
/// controller if `node` is empty.
std::string encode_redirect(const std::string& node);

}  // namespace sailreel
