// An HTTP/1.1 server with one open request per connection and limits on body size and connections.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "transport/listener.hpp"
#include "transport/loop.hpp"
#include "transport/traffic.hpp"

namespace sailreel {

/// A request that has been received completely.
struct ServerRequest {
  /// The id to pass to `HttpServer::respond`. Ids are not reused for other connections.
  std::uint64_t connection = 0;
  std::string method, path, body;
  /// The body is longer than the server accepts; `body` holds its beginning at most.
  bool body_too_large = false;
};

/// Accepts connections and passes each request to a handler. Must be used on the loop's thread
/// only; the loop must outlive the server.
class HttpServer {
 public:
  /// What senders may take of the server, and for how long (ms).
  struct Limits {
    /// When there are more connections, one is closed: that which has waited longest for the rest
    /// of a request or for its first, else that which has been idle longest, for at least
    /// `evictable_idle_ms`, else the new one.
    std::size_t max_connections = 0;
    /// A larger body is discarded (see `ServerRequest::body_too_large`).
    std::size_t max_body_bytes = 0;
    /// How long a sender may take for a request, and for reading a response.
    std::int64_t request_ms = 5'000;
    /// How long a connection may be without an open request.
    std::int64_t idle_ms = 60'000;
    std::int64_t evictable_idle_ms = 60'000;
  };

  /// Called once per request; the owner answers it through `respond`.
  using Handler = std::function<void(ServerRequest)>;
  /// Throws std::runtime_error if it cannot listen on the address.
  HttpServer(EventLoop& loop, const std::string& address, const Limits& limits, Handler handler);
  ~HttpServer();

  /// Responds to the connection's open request; does nothing if the connection has been closed.
  /// `retry_after_s` is the value of the Retry-After header, which is omitted for 0.
  void respond(std::uint64_t connection, int status, const std::string& body, int retry_after_s);
  /// Closes connections that have been idle, or have waited for their sender, for longer than the
  /// limits allow. The owner must call it at regular intervals.
  void close_overdue();
  /// The number of open connections.
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }
  [[nodiscard]] const Traffic& traffic() const { return traffic_; }

 private:
  class Connection;
  void accept(uv_stream_t* server);
  /// The connection to close for a new one, or nullptr if none is to be closed.
  [[nodiscard]] Connection* evictable() const;
  /// Closes all connections that fulfil the condition.
  template <typename Condition>
  void close_if(const Condition& condition);

  EventLoop& loop_;
  const Limits limits_;
  Handler handler_;
  /// Time (ms) that doesn't count most of the spans in which this process stood still: what has
  /// arrived meanwhile isn't read yet.
  std::int64_t awake_ms_ = 0;
  std::int64_t checked_at_ms_ = EventLoop::now_ms();
  std::uint64_t next_id_ = 1;
  Traffic traffic_;
  std::unordered_map<std::uint64_t, Connection*> connections_;
  /// The connections that wait for the rest of a request or for their first, in the order in which
  /// they began to wait.
  std::map<std::uint64_t, Connection*> unfinished_;
  std::uint64_t next_unfinished_ = 1;
  Listener listener_;
};

}  // namespace sailreel
