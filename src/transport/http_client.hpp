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

class HttpClient {
 public:
  /// Status 0: no answer in time; the request may still be carried out.
  using Done = std::function<void(int status, std::string_view body)>;

  HttpClient(EventLoop& loop, std::size_t max_connections)
      : loop_(loop), max_connections_(max_connections) {}
  ~HttpClient();

  void request(const std::string& address, const std::string& method, const std::string& path,
               const std::string& body, std::int64_t timeout_ms, bool keep, Done done);
  /// Ends the requests whose time is over.
  void sweep();
  /// Closes the connections to that address on which no request is open.
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
  std::unordered_map<Connection*, std::int64_t> busy_;  // and when its time is over
};

}  // namespace sailreel
