#include "transport/http_server.hpp"

#include <http_parser.h>

#include <utility>
#include <vector>

#include "transport/stream.hpp"

namespace sailreel {
namespace {

constexpr std::size_t kMaxUrlBytes = 1024;
/// A client that sends more than this many further bytes while its request is open is disconnected.
constexpr std::size_t kMaxBufferedBytes = std::size_t{128} * 1024;

const char* reason_phrase(int status) { return http_status_str(static_cast<http_status>(status)); }

}  // namespace

class HttpServer::Connection : public Stream {
 public:
  Connection(HttpServer& server, std::uint64_t id)
      : Stream(server.loop_, &server.traffic_),
        server_(server),
        id_(id),
        last_active_ms_(EventLoop::now_ms()) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
  }

  void respond(int status, const std::string& body, int retry_after_s) {
    if (!request_open_) return;
    ++server_.traffic_.messages_out;
    request_open_ = false;
    last_active_ms_ = EventLoop::now_ms();
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

  [[nodiscard]] bool idle_since(std::int64_t time_ms) const {
    return (!request_open_ || closing_after_write_) && last_active_ms_ < time_ms;
  }

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
  void on_closed() override { server_.connections_.erase(id_); }

 private:
  void parse(std::string_view bytes) {
    // Received bytes don't count as activity. Otherwise a client could keep its connection open
    // forever by sending a single byte now and then.
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
        if (connection->request_.body.size() + length > connection->server_.max_body_bytes_)
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
};

HttpServer::HttpServer(EventLoop& loop, const std::string& address, std::size_t max_connections,
                       std::size_t max_body_bytes, std::int64_t idle_ms, Handler handler)
    : loop_(loop),
      max_connections_(max_connections),
      max_body_bytes_(max_body_bytes),
      idle_ms_(idle_ms),
      handler_(std::move(handler)),
      listener_(loop, address, max_connections, [this](uv_stream_t* stream) { accept(stream); }) {}

HttpServer::~HttpServer() = default;

void HttpServer::accept(uv_stream_t* server) {
  auto* connection = new Connection(*this, next_id_++);
  connections_.emplace(next_id_ - 1, connection);
  if (uv_accept(server, connection->raw()) != 0 || connections_.size() > max_connections_)
    connection->close();
  else
    connection->start();
}

void HttpServer::respond(std::uint64_t connection, int status, const std::string& body,
                         int retry_after_s) {
  const auto it = connections_.find(connection);
  if (it != connections_.end()) it->second->respond(status, body, retry_after_s);
}

void HttpServer::close_idle() {
  const std::int64_t idle_before = EventLoop::now_ms() - idle_ms_;
  std::vector<Connection*> idle;
  for (const auto& [id, connection] : connections_)
    if (connection->idle_since(idle_before)) idle.push_back(connection);
  for (Connection* connection : idle) connection->close();
}

}  // namespace sailreel
