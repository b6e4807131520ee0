// Codecs of workers' heartbeats and of the commands that they are sent.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/decoded.hpp"
#include "protocol/messages.hpp"

namespace sailreel {

/// An error names the first field at fault; of a task status, that status' field.
Decoded<Heartbeat> decode_heartbeat(std::string_view body);
/// The response to a heartbeat.
std::string encode_heartbeat_response(std::uint64_t fencing_token,
                                      const std::vector<Command>& commands);
/// The body of a request that the leader sends to a worker by itself.
std::string encode_direct(std::uint64_t fencing_token, std::uint64_t incarnation,
                          const std::vector<Command>& commands);
/// The response that redirects a worker to the leader; `node` is empty while there is none.
std::string encode_redirect(const std::string& node);

}  // namespace sailreel
