// Connections between controllers: an outgoing one to each peer, and the incoming ones.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "transport/listener.hpp"
#include "transport/loop.hpp"

namespace sailreel {

/// When a frame has to leave.
enum class Urgency : std::uint8_t {
  Now,
  /// After a while at the latest.
  MayWait,
  /// When `flush` is called, which the sender has to do.
  UntilFlush,
};

/// Transports bytes; splitting them into frames is the receiver's part.
///
/// Processor time goes into packets more than into bytes. So frames that may wait are sent
/// together: after a while, with the next frame that may not wait, or by `flush`. Their order is
/// kept.
class PeerLinks {
 public:
  struct Events {
    /// Bytes arrived; they are valid during the call. Returning false closes the connection.
    std::function<bool(std::uint64_t link, std::string_view bytes)> bytes;
    std::function<void(std::uint64_t link)> closed;
  };
  /// How long frames may wait for others.
  struct Batching {
    std::int64_t least_ms = 1;
    /// For as long as nothing has come back since the last batch: the other side is slow.
    std::int64_t most_ms = 1;
  };
  /// A link with more than `max_backlog` unsent bytes is closed: its frames are too old to be of
  /// use. Throws std::runtime_error if `listen` is an address that cannot be listened on.
  PeerLinks(EventLoop& loop, const std::string& listen, std::size_t max_incoming,
            std::size_t max_backlog, Batching batching, Events events);
  ~PeerLinks();

  /// Opens a connection and returns its number, under which `Events` are reported. A failure is
  /// reported by `closed`.
  std::uint64_t connect(const std::string& address);
  /// Ignored if the link was closed meanwhile.
  void send(std::uint64_t link, const std::string& bytes, Urgency urgency = Urgency::Now);
  /// Sends what waits on the link.
  void flush(std::uint64_t link);
  void close(std::uint64_t link);
  /// How often bytes were handed to the system: a measure of packets.
  [[nodiscard]] std::uint64_t writes() const { return writes_; }

 private:
  class Connection;
  void accept(uv_stream_t* server);
  void join_batch(std::uint64_t link, Connection& connection);
  void send_batches();

  EventLoop& loop_;
  std::size_t max_incoming_, max_backlog_;
  Batching batching_;
  Events events_;
  std::uint64_t writes_ = 0;
  /// Links in the next batch, each once; some may have been flushed or closed meanwhile.
  std::vector<std::uint64_t> waiting_links_;
  Timer batch_timer_;
  std::uint64_t next_ = 1;
  std::unordered_map<std::uint64_t, Connection*> links_;
  Listener listener_;
};

}  // namespace sailreel
