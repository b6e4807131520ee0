// Messages between the processes of a scale run: a length of four bytes, then the message.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "scale.pb.h"

namespace sailreel::scale {

std::string frame_message(const RegionMessage& message);

/// Cuts messages out of a stream of bytes.
class MessageReader {
 public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  /// The next whole message; empty if more bytes are needed.
  std::optional<RegionMessage> next();

 private:
  std::string buffer_;
};

}  // namespace sailreel::scale
