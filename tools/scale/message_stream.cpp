#include "scale/message_stream.hpp"

#include <cstdint>
#include <cstring>

namespace sailreel::scale {

std::string frame_message(const RegionMessage& message) {
  const std::string body = message.SerializeAsString();
  const auto size = static_cast<std::uint32_t>(body.size());
  std::string frame(sizeof size, '\0');
  std::memcpy(frame.data(), &size, sizeof size);
  return frame + body;
}

std::optional<RegionMessage> MessageReader::next() {
  std::uint32_t size = 0;
  if (buffer_.size() < sizeof size) return {};
  std::memcpy(&size, buffer_.data(), sizeof size);
  if (buffer_.size() < sizeof size + size) return {};
  RegionMessage message;
  const bool parsed = message.ParseFromArray(buffer_.data() + sizeof size, static_cast<int>(size));
  buffer_.erase(0, sizeof size + size);
  if (!parsed) return {};
  return message;
}

}  // namespace sailreel::scale
