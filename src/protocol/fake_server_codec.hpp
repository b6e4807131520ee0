// The other side of each protocol: the messages that workers, users, the cloud provider and the
// key-value store encode and decode. Used by the fakes of these in tests and simulations, not by
// the daemon.
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

/// The commands in a response to a heartbeat, or in a request that the leader sends to a worker.
struct CommandBatch {
  std::uint64_t fencing_token = 0;
  /// The worker incarnation that is addressed. Present only in requests that the leader sends.
  std::optional<std::uint64_t> incarnation;
  std::vector<Command> commands;
};
/// Empty if the body has no fencing token or contains a malformed command.
std::optional<CommandBatch> decode_commands(std::string_view body);

/// The node that a redirect response names. Empty if it names none.
std::string decode_redirect(std::string_view body);

// ---- users ----

/// The body of a job submission.
std::string encode_submission(const JobSpec& spec);
/// The job state in a response. Empty if there is none.
std::string decode_job_state(std::string_view body);

// ---- the cloud and the key-value store ----

/// The status and body of an HTTP response.
struct ServiceResponse {
  int status = 0;
  std::string body;
};

/// Decodes an HTTP request to the key-value store. Empty if it is malformed.
std::optional<KvRequest> decode_kv_request(std::string_view method, std::string_view path,
                                           std::string_view body);
/// Encodes the key-value store's response to `request`.
ServiceResponse encode_kv_response(const KvRequest& request, const KvResponse& response);

/// Decodes an HTTP request to the cloud provider. Empty if it is malformed.
std::optional<CloudRequest> decode_cloud_request(std::string_view method, std::string_view path,
                                                 std::string_view body);
/// Encodes the cloud provider's response to `request`.
ServiceResponse encode_cloud_response(const CloudRequest& request, const CloudResponse& response);

}  // namespace sailreel
