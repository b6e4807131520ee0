#include "support/behaviour_digest.hpp"

#include <cstdio>
#include <variant>

#include "protocol/cloud_codec.hpp"
#include "protocol/kv_codec.hpp"
#include "protocol/peer_frames.hpp"
#include "protocol/region_frames.hpp"

namespace sailreel::sim {

BehaviourDigest::BehaviourDigest() : state_(XXH3_createState()) { XXH3_64bits_reset(state_.get()); }

void BehaviourDigest::add(std::uint64_t controller, const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (!std::holds_alternative<Log>(action)) {
      ++actions_;
      add_number(controller);
      add_number(static_cast<std::uint64_t>(action.index()));
    }
    std::visit([this](const auto& chosen) { add_action(chosen); }, action);
  }
}

std::string BehaviourDigest::summary() const {
  const auto lines = [this](Log::Level level) {
    return static_cast<unsigned long long>(log_lines_[static_cast<std::size_t>(level)]);
  };
  char text[160];
  std::snprintf(text, sizeof text,
                "%016llx actions=%llu errors=%llu warnings=%llu info=%llu debug=%llu",
                static_cast<unsigned long long>(XXH3_64bits_digest(state_.get())),
                static_cast<unsigned long long>(actions_), lines(Log::Level::Error),
                lines(Log::Level::Warning), lines(Log::Level::Info), lines(Log::Level::Debug));
  return text;
}

void BehaviourDigest::add_action(const Response& response) {
  add_number(static_cast<std::uint8_t>(response.source.kind));
  add_number(response.source.link);
  add_number(response.source.call);
  add_number(response.status);
  add_bytes(response.body);
  add_number(response.retry_after_s);
  add_number(response.valid_until);
}

void BehaviourDigest::add_action(const CallKvStore& call) {
  const HttpRequest request = encode_kv_request(call.request);
  add_number(call.call);
  add_bytes(request.method);
  add_bytes(request.path);
  add_bytes(request.body);
  add_number(call.timeout_ms);
}

void BehaviourDigest::add_action(const CallCloud& call) {
  const HttpRequest request = encode_cloud_request(call.request);
  add_number(call.call);
  add_bytes(request.method);
  add_bytes(request.path);
  add_bytes(request.body);
  add_number(call.timeout_ms);
}

void BehaviourDigest::add_action(const CallWorker& call) {
  add_number(call.call);
  add_bytes(call.address);
  add_bytes(call.body);
  add_number(call.timeout_ms);
  add_number(call.valid_until);
}

void BehaviourDigest::add_action(const SendToPeer& message) {
  add_number(static_cast<std::uint64_t>(message.peer));
  add_bytes(encode_peer(message.message));
}

void BehaviourDigest::add_action(const SendToRegion& message) {
  add_number(static_cast<std::uint64_t>(message.region));
  add_bytes(encode_region_message(message.message));
}

void BehaviourDigest::add_action(const ArmTimer& timer) { add_number(timer.delay_ms); }

void BehaviourDigest::add_action(const Log& line) {
  ++log_lines_[static_cast<std::size_t>(line.level)];
}

void BehaviourDigest::add_bytes(const std::string& bytes) {
  add_number(static_cast<std::uint64_t>(bytes.size()));
  XXH3_64bits_update(state_.get(), bytes.data(), bytes.size());
}

}  // namespace sailreel::sim
