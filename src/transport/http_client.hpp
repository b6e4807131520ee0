// An HTTP/1.1 client that keeps connections open for reuse.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "transport/loop.hpp"
#include "transport/traffic.hpp"

namespace sailreel {

/// Sends requests over pooled connections. Must be used on the loop's thread only; the loop must
/// outlive the client.
class HttpClient {
 public:
  /// Called once per request. Status 0 means that there was no connection, or no valid response in
  /// time; the server may still carry out the request. `body` is valid during the call only.
  using ResponseCallback = std::function<void(int status, std::string_view body)>;

  HttpClient(EventLoop& loop, std::size_t max_connections)
      : loop_(loop), max_connections_(max_connections) {}
  ~HttpClient();

  /// Sends a request. It fails at once, with status 0, if it needs a new connection and
  /// `max_connections` are open, or if the address is invalid. The connection is reused for later
  /// requests to the address if `keep_alive` is set and the server agrees. `close_timed_out`
  /// enforces the timeout.
  void request(const std::string& address, const std::string& method, const std::string& path,
               const std::string& body, std::int64_t timeout_ms, bool keep_alive,
               ResponseCallback on_response);
  /// Closes the connections of requests that have timed out, which ends these requests with status
  /// 0. The owner must call it at regular intervals.
  void close_timed_out();
  /// Closes the connections to the address that are kept for reuse.
  void close_idle(const std::string& address);
  /// The number of connections, idle ones and those still being established included.
  [[nodiscard]] std::size_t connections() const { return connection_count_; }
  [[nodiscard]] const Traffic& traffic() const { return traffic_; }

 private:
  class Connection;
  EventLoop& loop_;
  std::size_t max_connections_;
  std::size_t connection_count_ = 0;
  Traffic traffic_;
  std::unordered_map<std::string, std::vector<Connection*>> idle_;
  /// Connections with an open request, and the time at which it times out (EventLoop::now_ms).
  std::unordered_map<Connection*, std::int64_t> busy_;
};

}  // namespace sailreel
