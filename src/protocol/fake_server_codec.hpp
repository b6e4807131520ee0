// The other side of each protocol: that of workers, users, the cloud and the key-value store. For
// fakes of them; not used by the daemon.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/messages.hpp"

namespace sailreel {

// ---- workers ----

/// The body of a worker's heartbeat.
std::string encode_heartbeat(const Heartbeat& heartbeat);

/// The commands of a response to a heartbeat, or of a request that the leader sends by itself.
struct CommandBatch {
  std::uint64_t fencing_token = 0;
  /// Only in requests that the leader sends by itself.
  std::optional<std::uint64_t> incarnation;
  std::vector<Command> commands;
};
/// Empty if the body has no fencing token, or a command is malformed.
std::optional<CommandBatch> decode_commands(std::string_view body);

/// The node that a redirect names; empty if it names none.
std::string decode_redirect(std::string_view body);

// ---- users ----

/// The body of a submission.
std::string encode_submission(const JobSpec& spec);
/// The job's state in a response; empty if there is none.
std::string decode_job_state(std::string_view body);

// ---- the cloud and the key-value store ----

struct ServiceResponse {
  int status = 0;
  std::string body;
};

/// A request to the key-value store; empty if it is malformed.
std::optional<KvRequest> decode_state_call(std::string_view method, std::string_view path,
                                           std::string_view body);
/// The response to such a request.
ServiceResponse encode_state_reply(const KvRequest& call, const KvResponse& reply);

/// A request to the cloud; empty if it is malformed.
std::optional<CloudRequest> decode_cloud_call(std::string_view method, std::string_view path,
                                              std::string_view body);
/// The response to such a request.
ServiceResponse encode_cloud_reply(const CloudRequest& call, const CloudResponse& reply);

}  // namespace sailreel
