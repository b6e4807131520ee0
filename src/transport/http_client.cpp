#include "transport/http_client.hpp"

#include <http_parser.h>

#include <algorithm>

#include "transport/stream.hpp"

namespace sailreel {

class HttpClient::Connection : public Stream {
 public:
  Connection(HttpClient& client, std::string address)
      : Stream(client.loop_, &client.traffic_), client_(client), address_(std::move(address)) {
    ++client_.connection_count_;
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
  }

  void send(std::string request, bool keep_alive, ResponseCallback on_response) {
    ++client_.traffic_.messages_out;
    on_response_ = std::move(on_response);
    keep_alive_ = keep_alive;
    body_.clear();
    if (connected_)
      write(std::move(request));
    else
      unsent_request_ = std::move(request);
  }

 protected:
  void on_connected() override {
    connected_ = true;
    write(std::move(unsent_request_));
  }

  void on_bytes(std::string_view bytes) override {
    if (!on_response_) return close();  // unexpected: no request is open
    http_parser_execute(&parser_, &parser_settings(), bytes.data(), bytes.size());
    if (closing()) return;
    if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED) {
      http_parser_pause(&parser_, 0);
      finish();
    } else if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
      close();
    }
  }

  void on_closed() override {
    --client_.connection_count_;
    client_.busy_.erase(this);
    if (const auto it = client_.idle_.find(address_); it != client_.idle_.end())
      std::erase(it->second, this);
    if (on_response_) {
      auto on_response = std::move(on_response_);
      on_response_ = nullptr;
      on_response(0, {});
    }
  }

 private:
  static const http_parser_settings& parser_settings() {
    static const http_parser_settings kParserSettings = [] {
      http_parser_settings settings;
      http_parser_settings_init(&settings);
      settings.on_body = [](http_parser* parser, const char* data, std::size_t length) {
        static_cast<Connection*>(parser->data)->body_.append(data, length);
        return 0;
      };
      settings.on_message_complete = [](http_parser* parser) {
        http_parser_pause(parser, 1);
        return 0;
      };
      return settings;
    }();
    return kParserSettings;
  }

  void finish() {
    ++client_.traffic_.messages_in;
    auto on_response = std::move(on_response_);
    on_response_ = nullptr;
    const auto status = static_cast<int>(parser_.status_code);
    const std::string body = std::move(body_);
    body_.clear();
    client_.busy_.erase(this);
    if (keep_alive_ && http_should_keep_alive(&parser_) != 0)
      client_.idle_[address_].push_back(this);
    else
      close();
    on_response(status, body);
  }

  HttpClient& client_;
  std::string address_, unsent_request_, body_;
  http_parser parser_{};
  ResponseCallback on_response_;
  bool connected_ = false, keep_alive_ = true;
};

HttpClient::~HttpClient() = default;

void HttpClient::request(const std::string& address, const std::string& method,
                         const std::string& path, const std::string& body, std::int64_t timeout_ms,
                         bool keep_alive, ResponseCallback on_response) {
  std::string text;
  text.reserve(128 + path.size() + body.size());
  text.append(method).append(" ").append(path).append(" HTTP/1.1\r\nHost: ").append(address);
  if (!keep_alive) text.append("\r\nConnection: close");
  if (method != "GET")
    text.append("\r\nContent-Type: application/json\r\nContent-Length: ")
        .append(std::to_string(body.size()));
  text.append("\r\n\r\n").append(body);

  auto& idle = idle_[address];
  Connection* connection = nullptr;
  if (!idle.empty()) {
    connection = idle.back();
    idle.pop_back();
  } else {
    const auto endpoint = parse_endpoint(address);
    if (!endpoint || connection_count_ >= max_connections_) return on_response(0, {});
    connection = new Connection(*this, address);
    busy_[connection] = EventLoop::now_ms() + timeout_ms;
    connection->send(std::move(text), keep_alive, std::move(on_response));
    connection->connect(*endpoint);
    return;
  }
  busy_[connection] = EventLoop::now_ms() + timeout_ms;
  connection->send(std::move(text), keep_alive, std::move(on_response));
}

void HttpClient::close_idle(const std::string& address) {
  const auto it = idle_.find(address);
  if (it == idle_.end()) return;
  const std::vector<Connection*> idle = it->second;
  for (Connection* connection : idle) connection->close();
}

void HttpClient::close_timed_out() {
  const std::int64_t now = EventLoop::now_ms();
  std::vector<Connection*> timed_out;
  for (const auto& [connection, times_out_at] : busy_)
    if (times_out_at <= now) timed_out.push_back(connection);
  // Closing a connection calls its `ResponseCallback`, which may close other connections.
  for (Connection* connection : timed_out)
    if (busy_.contains(connection)) connection->close();
}

}  // namespace sailreel
