// Codecs of users' requests and of the responses to them.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "protocol/decoded.hpp"
#include "protocol/messages.hpp"

namespace sailreel {

/// Bytes of a request's body, at most.
constexpr std::size_t kMaxBody = std::size_t{64} * 1024;

bool valid_job_id(std::string_view id);
/// The job id of a submission, if it can be read. A submission is idempotent by its id alone: a
/// repeat is recognised whatever the rest of the body looks like.
std::optional<std::string> submission_id(std::string_view body);
/// The whole submission, or an error that names the first field at fault.
Decoded<JobSpec> decode_submission(std::string_view body);
/// The error as the response to the submission words it.
std::string_view describe_submission_error(const DecodeError& error);

/// What a user is told of a job.
struct JobView {
  std::string id;
  Phase phase = Phase::Active;
  std::uint64_t done = 0, running = 0;
};
/// Whether the body is a JSON object that asks for gang scheduling, valid in other respects or not.
bool is_gang_submission(std::string_view body);

std::string encode_job(const JobView& view);
std::string encode_error(std::string_view text);

}  // namespace sailreel
