// Messages between the processes of a scale run. Each is sent as its length, four bytes in host
// byte order, and the serialized message.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "scale.pb.h"

namespace sailreel::scale {

/// Serializes a message and puts its length in front.
std::string frame_message(const RegionMessage& message);

/// Extracts messages from a stream of bytes.
class MessageReader {
 public:
  void append(std::string_view bytes) { buffer_.append(bytes); }
  /// The next complete message; empty if more bytes are needed, or if the message can't be parsed
  /// and is skipped.
  std::optional<RegionMessage> next();

 private:
  std::string buffer_;
};

}  // namespace sailreel::scale
