// An HTTP/1.1 server: one request at a time on a connection, bounded in size and number.
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
  std::uint64_t connection = 0;
  std::string method, path, body;
  bool oversize = false;
};

class HttpServer {
 public:
  using Handler = std::function<void(ServerRequest)>;
  HttpServer(EventLoop& loop, const std::string& address, std::size_t max_connections,
             std::size_t max_body, std::int64_t idle_ms, Handler handler);
  ~HttpServer();

  /// Answers the request open on the connection; nothing happens if the connection is gone.
  void respond(std::uint64_t connection, int status, const std::string& body, int retry_after_s);
  /// Closes connections on which nothing has happened for long.
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
