// An HTTP/1.1 server with one open request per connection and limits on body size and connections.
#pragma once

#include <cstdint>
#include <functional>
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
  /// Called once per request; the owner answers it through `respond`.
  using Handler = std::function<void(ServerRequest)>;
  /// Throws std::runtime_error if it cannot listen on the address. Connections above
  /// `max_connections` are closed at once. A body larger than `max_body_bytes` is discarded (see
  /// `ServerRequest::body_too_large`). `close_idle` closes connections that have been idle for more
  /// than `idle_ms`.
  HttpServer(EventLoop& loop, const std::string& address, std::size_t max_connections,
             std::size_t max_body_bytes, std::int64_t idle_ms, Handler handler);
  ~HttpServer();

  /// Responds to the connection's open request; does nothing if the connection has been closed.
  /// `retry_after_s` is the value of the Retry-After header, which is omitted for 0.
  void respond(std::uint64_t connection, int status, const std::string& body, int retry_after_s);
  /// Closes idle connections. The owner must call it at regular intervals.
  void close_idle();
  /// The number of open connections.
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }
  [[nodiscard]] const Traffic& traffic() const { return traffic_; }

 private:
  class Connection;
  void accept(uv_stream_t* server);

  EventLoop& loop_;
  std::size_t max_connections_, max_body_bytes_;
  std::int64_t idle_ms_;
  Handler handler_;
  std::uint64_t next_id_ = 1;
  Traffic traffic_;
  std::unordered_map<std::uint64_t, Connection*> connections_;
  Listener listener_;
};

}  // namespace sailreel
