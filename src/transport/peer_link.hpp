// TCP connections between controllers, outgoing and incoming.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "transport/listener.hpp"
#include "transport/loop.hpp"

namespace sailreel {

/// When a frame must be sent.
enum class Urgency : std::uint8_t {
  Now,
  /// With the link's next batch at the latest.
  MayWait,
  /// When `PeerLinks::flush` is called at the latest; the sender must call it.
  UntilFlush,
};

/// Sends frames and receives bytes; the owner splits received bytes into frames.
///
/// Processor time depends on the number of packets more than on the number of bytes. Frames that
/// may wait are therefore sent together: after a delay, with the next urgent frame, or by `flush`.
/// The order of a link's frames is preserved.
class PeerLinks {
 public:
  struct Events {
    /// Called with received bytes, which are valid during the call only. Returning false closes the
    /// connection.
    std::function<bool(std::uint64_t link, std::string_view bytes)> bytes;
    /// Called once per link when it is closed or could not be established.
    std::function<void(std::uint64_t link)> closed;
  };
  /// How long frames wait to be sent together, in milliseconds.
  struct Batching {
    /// The delay of a batch if bytes have been received since the last one.
    std::int64_t min_delay_ms = 1;
    /// The least time from one batch to the next if no bytes have been received in between, which
    /// indicates that the other side is slow.
    std::int64_t max_delay_ms = 1;
  };
  /// If an incoming connection makes more than `max_links` links, outgoing ones included, the
  /// oldest incoming link that isn't confirmed is closed, or else the new one. A link with more
  /// than `max_backlog_bytes` unsent bytes is closed, because its frames are too old to be of use.
  /// Throws std::runtime_error if it cannot listen on `listen`.
  PeerLinks(EventLoop& loop, const std::string& listen, std::size_t max_links,
            std::size_t max_backlog_bytes, Batching batching, Events events);
  ~PeerLinks();

  /// Opens a connection and returns its link number, which `Events` refer to. A failure is reported
  /// through `Events::closed`, in some cases before `connect` returns.
  std::uint64_t connect(const std::string& address);
  /// Sends a frame; does nothing if the link has been closed.
  void send(std::uint64_t link, const std::string& bytes, Urgency urgency = Urgency::Now);
  /// Keeps an incoming link when room is needed for others. The owner must call it when the link
  /// has delivered a whole frame.
  void confirm(std::uint64_t link);
  /// Sends all frames that wait on the link.
  void flush(std::uint64_t link);
  /// Closes the link and discards its unsent frames.
  void close(std::uint64_t link);
  /// The number of writes to all connections, as a measure of the packets sent.
  [[nodiscard]] std::uint64_t writes() const { return writes_; }

 private:
  class Connection;
  void accept(uv_stream_t* server);
  void join_batch(std::uint64_t link, Connection& connection);
  void send_batches();

  EventLoop& loop_;
  std::size_t max_links_, max_backlog_bytes_;
  Batching batching_;
  Events events_;
  std::uint64_t writes_ = 0;
  /// Links in the next batch, without duplicates. Some may have been flushed or closed since they
  /// were added.
  std::vector<std::uint64_t> batched_links_;
  Timer batch_timer_;
  std::uint64_t next_link_ = 1;
  std::unordered_map<std::uint64_t, Connection*> links_;
  /// The incoming links that aren't confirmed, the oldest first.
  std::set<std::uint64_t> unconfirmed_;
  Listener listener_;
};

}  // namespace sailreel
