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

/// Used from the loop's thread only; the loop must outlive it.
class HttpClient {
 public:
  /// Called once per request. Status 0: no response in time, or no connection; the server may still
  /// carry out the request. The body is valid during the call.
  using Done = std::function<void(int status, std::string_view body)>;

  HttpClient(EventLoop& loop, std::size_t max_connections)
      : loop_(loop), max_connections_(max_connections) {}
  ~HttpClient();

  /// Above `max_connections` a request fails at once, with status 0. A connection is reused for
  /// later requests to the address if `keep` is set and the server agrees.
  void request(const std::string& address, const std::string& method, const std::string& path,
               const std::string& body, std::int64_t timeout_ms, bool keep, Done done);
  /// Ends the requests that have timed out; to be called at intervals.
  void sweep();
  /// Closes the connections to that address that are kept for reuse.
  void close_idle(const std::string& address);
  [[nodiscard]] std::size_t connections() const { return open_; }
  [[nodiscard]] const Traffic& traffic() const { return traffic_; }

 private:
  class Connection;
  EventLoop& loop_;
  std::size_t max_connections_;
  std::size_t open_ = 0;
  Traffic traffic_;
  std::unordered_map<std::string, std::vector<Connection*>> idle_;
  std::unordered_map<Connection*, std::int64_t> busy_;  // and when its request times out
};

}  // namespace sailreel
