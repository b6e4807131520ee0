// What the other side of each protocol writes and reads: workers, users, the cloud and the state
// service. Stand-ins for them are built on it; the daemon itself needs none of it.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/messages.hpp"

namespace sailreel {

// ---- workers ----

/// The body of a worker's report.
std::string encode_heartbeat(const Heartbeat& heartbeat);

/// The commands of a report's answer or of a direct command.
struct CommandBatch {
  std::uint64_t fencing_token = 0;
  /// Only direct commands carry one.
  std::optional<std::uint64_t> incarnation;
  std::vector<Command> commands;
};
/// Empty if the body carries no token, or names a task that can't be read.
std::optional<CommandBatch> decode_commands(std::string_view body);

/// The node that a redirect names; empty if it names none.
std::string decode_redirect(std::string_view body);

// ---- users ----

/// The body of a submission.
std::string encode_submission(const JobSpec& spec);
/// What an answer says of a job's state; empty if it says nothing that can be read.
std::string decode_job_state(std::string_view body);

// ---- services: an answer's status and body ----

struct ServiceResponse {
  int status = 0;
  std::string body;
};

/// A request to the state service; empty if it is malformed.
std::optional<KvRequest> decode_state_call(std::string_view method, std::string_view path,
                                           std::string_view body);
/// The answer to such a request.
ServiceResponse encode_state_reply(const KvRequest& call, const KvResponse& reply);

/// A request to the cloud; empty if it is malformed.
std::optional<CloudRequest> decode_cloud_call(std::string_view method, std::string_view path,
                                              std::string_view body);
/// The answer to such a request.
ServiceResponse encode_cloud_reply(const CloudRequest& call, const CloudResponse& reply);

}  // namespace sailreel
