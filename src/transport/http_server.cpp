#include "transport/http_server.hpp"

#include <http_parser.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "transport/stream.hpp"

namespace sailreel {
namespace {

constexpr std::size_t kMaxUrlBytes = 1024;
/// A client that sends more than this many further bytes while its request is open, or leaves this
/// many bytes of earlier responses unread, is disconnected.
constexpr std::size_t kMaxBufferedBytes = std::size_t{128} * 1024;
/// The most that a time between two checks of the connections counts.
constexpr std::int64_t kMaxCountedStepMs = 1'000;

const char* reason_phrase(int status) { return http_status_str(static_cast<http_status>(status)); }

}  // namespace

class HttpServer::Connection : public Stream {
 public:
  Connection(HttpServer& server, std::uint64_t id)
      : Stream(server.loop_, &server.traffic_),
        server_(server),
        id_(id),
        last_active_ms_(server.awake_ms_) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    mark_unfinished();
  }

  void respond(int status, const std::string& body, int retry_after_s) {
    if (!request_open_) return;
    ++server_.traffic_.messages_out;
    if (backlog() > kMaxBufferedBytes) return close();
    request_open_ = false;
    last_active_ms_ = server_.awake_ms_;
    std::string response;
    response.reserve(160 + body.size());
    response.append("HTTP/1.1 ")
        .append(std::to_string(status))
        .append(" ")
        .append(reason_phrase(status));
    response.append("\r\nContent-Type: application/json\r\nContent-Length: ");
    response.append(std::to_string(body.size()));
    if (retry_after_s > 0)
      response.append("\r\nRetry-After: ").append(std::to_string(retry_after_s));
    if (!keep_alive_) response.append("\r\nConnection: close");
    response.append("\r\n\r\n").append(body);
    write(std::move(response));
    if (!keep_alive_) {
      closing_after_write_ = true;
      if (backlog() == 0) close();
      return;
    }
    if (!parsing_) parse_buffered();
  }

  // Parses the bytes that arrived while a request was open. This is a loop and not a recursion
  // because a hostile client can send thousands of requests at once, and each may be responded to
  // before the next is parsed: recursion could exhaust the stack.
  void parse_buffered() {
    parsing_ = true;
    while (!request_open_ && !buffered_.empty() && !closing()) {
      const std::string bytes = std::exchange(buffered_, {});
      parse(bytes);
    }
    parsing_ = false;
  }

  /// Whether the connection has had no open request since before the time.
  [[nodiscard]] bool idle_since(std::int64_t time_ms) const {
    return (!request_open_ || closing_after_write_) && last_active_ms_ < time_ms;
  }
  /// Whether the client has left a part of a response unread since before the time.
  [[nodiscard]] bool unread_since(std::int64_t time_ms) const {
    return backlog() > 0 && last_active_ms_ < time_ms;
  }
  /// Whether the connection has waited for the rest of a request since before the time.
  [[nodiscard]] bool unfinished_since(std::int64_t time_ms) const {
    return unfinished_number_ != 0 && unfinished_since_ms_ < time_ms;
  }
  [[nodiscard]] std::int64_t last_active_ms() const { return last_active_ms_; }

 protected:
  void on_bytes(std::string_view bytes) override {
    if (closing_after_write_) return close();
    if (request_open_) {
      buffered_.append(bytes);
      if (buffered_.size() > kMaxBufferedBytes) close();
      return;
    }
    buffered_.append(bytes);
    if (!parsing_) parse_buffered();
  }
  void on_closed() override {
    mark_finished();
    server_.connections_.erase(id_);
  }

 private:
  void mark_unfinished() {
    if (unfinished_number_ != 0) return;
    unfinished_number_ = server_.next_unfinished_++;
    unfinished_since_ms_ = server_.awake_ms_;
    server_.unfinished_.emplace(unfinished_number_, this);
  }
  void mark_finished() {
    server_.unfinished_.erase(unfinished_number_);
    unfinished_number_ = 0;
  }

  void parse(std::string_view bytes) {
    // Received bytes count neither as activity nor as a request. Otherwise a client could keep its
    // connection open forever by sending a single byte now and then.
    const std::size_t parsed_length =
        http_parser_execute(&parser_, &parser_settings(), bytes.data(), bytes.size());
    if (closing()) return;
    const auto error = HTTP_PARSER_ERRNO(&parser_);
    if (error == HPE_PAUSED) {
      http_parser_pause(&parser_, 0);
      buffered_.assign(bytes.substr(parsed_length));
      deliver();
    } else if (error != HPE_OK || parser_.upgrade) {
      request_open_ = true;
      keep_alive_ = false;
      respond(400, "{\"error\":\"not HTTP\"}", 0);
    } else {
      mark_unfinished();
    }
  }

  static const http_parser_settings& parser_settings() {
    static const http_parser_settings kParserSettings = [] {
      http_parser_settings settings;
      http_parser_settings_init(&settings);
      settings.on_message_begin = [](http_parser* parser) {
        self(parser)->request_ = {};
        return 0;
      };
      settings.on_url = [](http_parser* parser, const char* data, std::size_t length) {
        auto& url = self(parser)->request_.path;
        url.append(data, length);
        return url.size() > kMaxUrlBytes ? 1 : 0;
      };
      settings.on_body = [](http_parser* parser, const char* data, std::size_t length) {
        auto* connection = self(parser);
        // An oversize body is read to its end, so that the client receives the response, but it
        // isn't stored.
        if (connection->request_.body.size() + length > connection->server_.limits_.max_body_bytes)
          connection->request_.body_too_large = true;
        if (!connection->request_.body_too_large) connection->request_.body.append(data, length);
        return 0;
      };
      settings.on_message_complete = [](http_parser* parser) {
        auto* connection = self(parser);
        connection->request_.method = http_method_str(static_cast<http_method>(parser->method));
        connection->keep_alive_ = http_should_keep_alive(parser) != 0;
        http_parser_pause(parser, 1);
        return 0;
      };
      return settings;
    }();
    return kParserSettings;
  }
  static Connection* self(http_parser* parser) { return static_cast<Connection*>(parser->data); }

  void deliver() {
    ++server_.traffic_.messages_in;
    mark_finished();
    request_open_ = true;
    request_.connection = id_;
    server_.handler_(std::move(request_));
  }

  HttpServer& server_;
  std::uint64_t id_;
  std::int64_t last_active_ms_;
  http_parser parser_{};
  ServerRequest request_;
  std::string buffered_;
  bool request_open_ = false, keep_alive_ = true, closing_after_write_ = false, parsing_ = false;
  /// The key in `HttpServer::unfinished_`; 0 if the connection isn't there.
  std::uint64_t unfinished_number_ = 0;
  std::int64_t unfinished_since_ms_ = 0;
};

HttpServer::HttpServer(EventLoop& loop, const std::string& address, const Limits& limits,
                       Handler handler)
    : loop_(loop),
      limits_(limits),
      handler_(std::move(handler)),
      listener_(loop, address, limits.max_connections,
                [this](uv_stream_t* stream) { accept(stream); }) {}

HttpServer::~HttpServer() = default;

void HttpServer::accept(uv_stream_t* server) {
  Connection* evicted = connections_.size() < limits_.max_connections ? nullptr : evictable();
  const bool room = connections_.size() < limits_.max_connections || evicted != nullptr;
  if (evicted != nullptr) evicted->close();
  auto* connection = new Connection(*this, next_id_++);
  connections_.emplace(next_id_ - 1, connection);
  if (uv_accept(server, connection->raw()) != 0 || !room)
    connection->close();
  else
    connection->start();
}

HttpServer::Connection* HttpServer::evictable() const {
  if (!unfinished_.empty()) return unfinished_.begin()->second;
  Connection* longest_idle = nullptr;
  for (const auto& [id, connection] : connections_)
    if (connection->idle_since(awake_ms_ - limits_.evictable_idle_ms) &&
        (longest_idle == nullptr || connection->last_active_ms() < longest_idle->last_active_ms()))
      longest_idle = connection;
  return longest_idle;
}

void HttpServer::respond(std::uint64_t connection, int status, const std::string& body,
                         int retry_after_s) {
  const auto it = connections_.find(connection);
  if (it != connections_.end()) it->second->respond(status, body, retry_after_s);
}

template <typename Condition>
void HttpServer::close_if(const Condition& condition) {
  std::vector<Connection*> overdue;
  for (const auto& [id, connection] : connections_)
    if (condition(*connection)) overdue.push_back(connection);
  for (Connection* connection : overdue) connection->close();
}

void HttpServer::close_overdue() {
  const std::int64_t now = EventLoop::now_ms();
  awake_ms_ += std::min(now - std::exchange(checked_at_ms_, now), kMaxCountedStepMs);
  const std::int64_t idle_before = awake_ms_ - limits_.idle_ms;
  const std::int64_t slow_before = awake_ms_ - limits_.request_ms;
  close_if([&](const Connection& connection) {
    return connection.idle_since(idle_before) || connection.unfinished_since(slow_before) ||
           connection.unread_since(slow_before);
  });
}

}  // namespace sailreel
