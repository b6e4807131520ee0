// Codec of users' requests and the responses to them.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "protocol/decoded.hpp"
#include "protocol/messages.hpp"

namespace sailreel {

/// Largest body of a request, in bytes.
constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;

/// Whether the id is "job-" followed by digits, with at most 40 characters in all.
bool valid_job_id(std::string_view id);
/// The job id of a submission. Empty if it is missing or invalid. A submission is idempotent by its
/// id alone: a repeat is recognised even if the rest of the body differs or is invalid.
std::optional<std::string> submission_id(std::string_view body);
/// The whole submission, or an error that names the first invalid field.
Decoded<JobSpec> decode_submission(std::string_view body);
/// The text that the response to the submission gives for the error.
std::string_view describe_submission_error(const DecodeError& error);

/// The status of a job, as users see it. `done` and `running` are numbers of tasks.
struct JobView {
  std::string id;
  Phase phase = Phase::Active;
  std::uint64_t done = 0, running = 0;
};
/// Whether the body is a JSON object that asks for gang scheduling. Its other fields may be
/// invalid.
bool is_gang_submission(std::string_view body);

std::string encode_job(const JobView& view);
std::string encode_error(std::string_view text);

}  // namespace sailreel
