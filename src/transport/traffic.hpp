// Message and byte counters of a group of connections.
#pragma once

#include <cstdint>

namespace sailreel {

/// Totals since the counters were created. A message is a complete request or response.
struct Traffic {
  std::uint64_t messages_in = 0, messages_out = 0;
  std::uint64_t bytes_in = 0, bytes_out = 0;

  Traffic& operator+=(const Traffic& other) {
    messages_in += other.messages_in;
    messages_out += other.messages_out;
    bytes_in += other.bytes_in;
    bytes_out += other.bytes_out;
    return *this;
  }
};

}  // namespace sailreel
