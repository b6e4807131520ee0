// An HTTP/1.1 server: one request at a time on a connection, with limits on size and number.
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

struct ServerRequest {
  /// To be given to `respond`; never used again for another connection.
  std::uint64_t connection = 0;
  std::string method, path, body;
  /// The body was longer than the server accepts and was dropped.
  bool oversize = false;
};

/// Used from the loop's thread only; the loop must outlive it.
class HttpServer {
 public:
  using Handler = std::function<void(ServerRequest)>;
  /// Throws std::runtime_error if it cannot listen on the address. `max_body` is in bytes;
  /// connections that have been idle for `idle_ms` are closed by `sweep`.
  HttpServer(EventLoop& loop, const std::string& address, std::size_t max_connections,
             std::size_t max_body, std::int64_t idle_ms, Handler handler);
  ~HttpServer();

  /// Responds to the connection's open request; ignored if the connection was closed meanwhile.
  /// `retry_after_s` 0: without that header.
  void respond(std::uint64_t connection, int status, const std::string& body, int retry_after_s);
  /// Closes idle connections; to be called at intervals.
  void sweep();
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }
  [[nodiscard]] const Traffic& traffic() const { return traffic_; }

 private:
  class Connection;
  void accept(uv_stream_t* server);

  EventLoop& loop_;
  std::size_t max_connections_, max_body_;
  std::int64_t idle_ms_;
  Handler handler_;
  std::uint64_t next_ = 1;
  Traffic traffic_;
  std::unordered_map<std::uint64_t, Connection*> connections_;
  Listener listener_;
};

}  // namespace sailreel
