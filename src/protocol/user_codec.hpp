// Users' requests and the answers to them.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "protocol/messages.hpp"

namespace sailreel {

constexpr std::size_t kMaxBody = std::size_t{64} * 1024;

bool valid_job_id(std::string_view id);
/// The job id of a submission, as far as it can be read: a repeat of an accepted job is recognised
/// by it alone, whatever the rest of the body looks like.
std::optional<std::string> submission_id(std::string_view body);
/// The whole submission; empty when anything is missing or invalid, with the reason in `error`.
std::optional<JobSpec> decode_submission(std::string_view body, std::string& error);

struct JobView {
  std::string id;
  Phase phase = Phase::Active;
  std::uint64_t done = 0, running = 0;
};
/// True if the body can be read and is that of a gang, whatever else is in it.
bool is_gang_submission(std::string_view body);

std::string encode_job(const JobView& view);
std::string encode_error(std::string_view text);

}  // namespace sailreel
