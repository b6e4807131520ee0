// Workers' reports and the commands they take.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/messages.hpp"

namespace sailreel {

std::optional<Heartbeat> decode_heartbeat(std::string_view body);
/// The answer to a report.
std::string encode_heartbeat_response(std::uint64_t fencing_token,
                                      const std::vector<Command>& commands);
/// The body of a direct command.
std::string encode_direct(std::uint64_t fencing_token, std::uint64_t incarnation,
                          const std::vector<Command>& commands);
/// The body that sends a worker to another node; `node` may be empty.
std::string encode_redirect(const std::string& node);

}  // namespace sailreel
