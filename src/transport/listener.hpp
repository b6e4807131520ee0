// A listening TCP socket that reports each new connection.
#pragma once

#include <uv.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <stdexcept>
#include <string>

#include "protocol/settings.hpp"
#include "transport/loop.hpp"

namespace sailreel {

/// Listens from construction to destruction.
class Listener {
 public:
  /// Called for each new connection, with the listening stream; the callee must accept the
  /// connection by uv_accept.
  using ConnectionCallback = std::function<void(uv_stream_t*)>;

  /// Throws std::runtime_error if it cannot listen on the address. The backlog is sized for
  /// `expected_connections` at once, because all clients of the old leader may connect at the same
  /// time after a failover.
  Listener(EventLoop& loop, const std::string& address, std::size_t expected_connections,
           ConnectionCallback connection_callback)
      : handle_(new Handle) {
    handle_->connection_callback = std::move(connection_callback);
    handle_->tcp.data = handle_;
    uv_tcp_init(loop.raw(), &handle_->tcp);
    if (listen(address, expected_connections)) return;
    close();
    throw std::runtime_error("cannot listen on " + address);
  }
  ~Listener() { close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

 private:
  /// Allocated on the heap, because it must live until the loop has closed it.
  struct Handle {
    uv_tcp_t tcp{};
    ConnectionCallback connection_callback;
  };

  bool listen(const std::string& address, std::size_t expected_connections) {
    constexpr std::size_t kMinBacklog = 256, kMaxBacklog = 65'535;
    const auto backlog =
        static_cast<int>(std::clamp(expected_connections, kMinBacklog, kMaxBacklog));
    const auto endpoint = parse_endpoint(address);
    sockaddr_in socket_address{};
    if (!endpoint || uv_ip4_addr(endpoint->host.c_str(), endpoint->port, &socket_address) != 0)
      return false;
    if (uv_tcp_bind(&handle_->tcp, reinterpret_cast<const sockaddr*>(&socket_address), 0) != 0)
      return false;
    const auto on_connection = [](uv_stream_t* stream, int status) {
      if (status == 0) static_cast<Handle*>(stream->data)->connection_callback(stream);
    };
    return uv_listen(reinterpret_cast<uv_stream_t*>(&handle_->tcp), backlog, on_connection) == 0;
  }

  void close() {
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->tcp),
             [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
  }

  Handle* handle_;
};

}  // namespace sailreel
