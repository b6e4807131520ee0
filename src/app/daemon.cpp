#include "app/daemon.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>

#include "app/peer_network.hpp"
#include "controller/capacity_check.hpp"
#include "controller/controller.hpp"
#include "protocol/cloud_codec.hpp"
#include "protocol/kv_codec.hpp"
#include "protocol/user_codec.hpp"
#include "protocol/worker_codec.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/loop.hpp"

namespace sailreel {
namespace {

/// Client connections without an open request are closed after this time.
constexpr std::int64_t kIdleTimeoutMs = 60'000;
/// The longest that a sender waits for a response: users 5 s, workers 4 s (protocol).
constexpr std::int64_t kRequestTimeoutMs = 5'000;
/// A worker's connection is idle for at most this many heartbeat intervals.
constexpr double kMaxIdleHeartbeats = 2;
/// The interval at which outgoing requests are checked for timeouts.
constexpr std::int64_t kTimeoutCheckIntervalMs = 50;
/// The number of timeout checks from one check of client connections to the next.
constexpr std::uint64_t kTimeoutChecksPerConnectionCheck = 10;

HttpServer::Limits server_limits(const Settings& settings, std::size_t max_connections) {
  return {max_connections, kMaxBodyBytes, kRequestTimeoutMs, kIdleTimeoutMs,
          ms(settings.workers.heartbeat_interval_s * kMaxIdleHeartbeats)};
}

std::uint64_t random_seed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) ^ device();
}

}  // namespace

class Daemon::Impl {
 public:
  Impl(const Settings& settings, const Options& options)
      : settings_(settings),
        controller_(settings, options, random_seed()),
        sockets_(distribute_sockets(settings, PeerNetwork::region_link_count(options.federation))),
        service_client_(loop_, sockets_.services),
        worker_client_(loop_, sockets_.worker_calls),
        server_(loop_, settings.listen, server_limits(settings, sockets_.server),
                [this](ServerRequest request) { handle_http_request(std::move(request)); }),
        peer_network_(loop_, settings_, options.federation, sockets_.links,
                      {[this](std::uint64_t link, PeerMessage message) {
                         handle_peer_message(link, std::move(message));
                       },
                       [this](std::size_t peer) { feed(PeerDisconnected{peer}); }}),
        tick_timer_(loop_, [this] { feed(Tick{}); }),
        timeout_check_timer_(loop_, [this] { check_timeouts(); }) {}

  void run() {
    spdlog::info("event=started node={} zone={} listen={}", settings_.name, settings_.zone,
                 settings_.listen);
    check_timeouts();
    feed(Tick{});
    loop_.run();
  }

 private:
  static Clock clock() { return {EventLoop::now_ms(), EventLoop::wall_ms()}; }

  void feed(Input input) {
    for (Action& action : controller_.step(clock(), std::move(input)))
      std::visit([this](auto& output) { this->execute(output); }, action);
  }

  void check_timeouts() {
    service_client_.close_timed_out();
    worker_client_.close_timed_out();
    if (++timeout_check_count_ % kTimeoutChecksPerConnectionCheck == 0) server_.close_overdue();
    timeout_check_timer_.set(kTimeoutCheckIntervalMs);
  }

  // ---- actions ----

  // Returns whether an action is no longer valid. The process may have been suspended since the
  // controller decided on the action.
  static bool expired(Time valid_until) { return EventLoop::now_ms() >= valid_until; }

  void execute(const Response& action) {
    if (expired(action.valid_until))
      respond(action.source, 503, encode_error("leadership may have ended"), 1);
    else
      respond(action.source, action.status, action.body, action.retry_after_s, action.valid_until);
  }

  void respond(const RequestSource& source, int status, const std::string& body, int retry_after_s,
               Time valid_until = kNever) {
    if (source.kind == RequestSource::Kind::Local) {
      server_.respond(source.link, status, body, retry_after_s);
    } else if (source.kind == RequestSource::Kind::Peer) {
      PeerMessage message;
      message.kind = PeerMessage::Kind::Response;
      message.response = {source.call, status, retry_after_s, {}, body};
      if (valid_until != kNever)
        message.response.valid_ms = static_cast<std::uint32_t>(
            std::clamp<Time>(valid_until - EventLoop::now_ms(), 0, UINT32_MAX - 1));
      peer_network_.respond(source.link, message);
    }
  }

  // The next three functions treat a response that can't be decoded like a missing one (status 0),
  // because in both cases it is unknown whether the request was carried out.

  void execute(const CallKvStore& action) {
    const HttpRequest http = encode_kv_request(action.request);
    service_client_.request(
        settings_.store_endpoint, http.method, http.path, http.body, action.timeout_ms, true,
        [this, call = action.call, request = action.request](int status, std::string_view body) {
          feed(KvResponseReceived{call, decode_kv_response(request, status, body).value_or({})});
        });
  }

  void execute(const CallCloud& action) {
    const HttpRequest http = encode_cloud_request(action.request);
    service_client_.request(
        settings_.cloud_endpoint, http.method, http.path, http.body, action.timeout_ms, true,
        [this, call = action.call, request = action.request](int status, std::string_view body) {
          feed(CloudResponseReceived{call,
                                     decode_cloud_response(request, status, body).value_or({})});
        });
  }

  void execute(const CallWorker& action) {
    if (expired(action.valid_until)) return feed(WorkerResponseReceived{action.call, 0, {}});
    worker_client_.request(action.address, "POST", "/do", action.body, action.timeout_ms, false,
                           [this, call = action.call](int status, std::string_view body) {
                             std::optional<Heartbeat> heartbeat;
                             if (status == 200 || status == 409)
                               heartbeat = decode_heartbeat(body).to_optional();
                             feed(WorkerResponseReceived{call, status, std::move(heartbeat)});
                           });
  }

  void execute(const SendToPeer& action) {
    peer_network_.send_to_peer(action.peer, action.message);
  }

  void execute(const SendToRegion& action) {
    PeerMessage message;
    message.kind = PeerMessage::Kind::Region;
    message.region = action.message;
    peer_network_.send_to_region(action.region, message);
  }

  void execute(const ArmTimer& action) { tick_timer_.set(action.delay_ms); }

  static void execute(const Log& action) {
    const auto level = action.level == Log::Level::Debug     ? spdlog::level::debug
                       : action.level == Log::Level::Info    ? spdlog::level::info
                       : action.level == Log::Level::Warning ? spdlog::level::warn
                                                             : spdlog::level::err;
    spdlog::log(level, action.text);
  }

  // ---- inputs ----

  void handle_http_request(ServerRequest request) {
    const RequestSource source{RequestSource::Kind::Local, request.connection, 0};
    const auto respond_error = [&](int status, const char* text) {
      respond(source, status, encode_error(text), 0);
    };
    const std::string_view path = std::string_view(request.path).substr(0, request.path.find('?'));
    constexpr std::string_view kHeartbeatPath = "/hello";
    if (request.body_too_large) {
      const RequestOp op = path == kHeartbeatPath ? RequestOp::Heartbeat : RequestOp::Submit;
      return feed(
          MalformedRequest{source, op, {DecodeErrorKind::TooLarge, {}}, request.body.size()});
    }
    if (path == kHeartbeatPath) {
      if (request.method != "POST") return respond_error(405, "method not allowed");
      return receive_heartbeat(source, std::move(request.body));
    }
    if (path == "/healthz") {
      if (request.method != "GET") return respond_error(405, "method not allowed");
      const bool healthy = controller_.healthy(EventLoop::now_ms());
      return respond(source, healthy ? 200 : 503, healthy ? "{}" : encode_error("no leader"), 0);
    }
    constexpr std::string_view kJobsPath = "/v1/jobs";
    if (path == kJobsPath) {
      if (request.method != "POST") return respond_error(405, "method not allowed");
      return feed(UserRequest{source, RequestOp::Submit, {}, std::move(request.body)});
    }
    if (!path.starts_with("/v1/jobs/")) return respond_error(404, "no such path");
    std::string_view id = path.substr(kJobsPath.size() + 1);
    constexpr std::string_view kWithdrawSuffix = "/withdraw";
    const bool cancel = id.ends_with(kWithdrawSuffix);
    if (cancel) id.remove_suffix(kWithdrawSuffix.size());
    if (id.find('/') != std::string_view::npos) return respond_error(404, "no such path");
    if (request.method != (cancel ? "POST" : "GET"))
      return respond_error(405, "method not allowed");
    if (!valid_job_id(id)) return respond_error(404, "no such job");
    feed(UserRequest{source, cancel ? RequestOp::Cancel : RequestOp::Query, std::string(id), {}});
  }

  void receive_heartbeat(const RequestSource& source, std::string body) {
    auto heartbeat = decode_heartbeat(body);
    if (!heartbeat)
      return feed(MalformedRequest{source, RequestOp::Heartbeat, heartbeat.error(), body.size()});
    feed(HeartbeatReceived{source, std::move(*heartbeat), std::move(body)});
  }

  void handle_peer_message(std::uint64_t link, PeerMessage message) {
    switch (message.kind) {
      case PeerMessage::Kind::Heartbeat:
        for (std::size_t peer = 0; peer < settings_.peers.size(); ++peer)
          if (settings_.peers[peer].name == message.heartbeat.node)
            return feed(PeerMessageReceived{peer, std::move(message)});
        return;
      case PeerMessage::Kind::Request: {
        const RequestSource source{RequestSource::Kind::Peer, link, message.request.call_id};
        if (message.request.op != RequestOp::Heartbeat)
          return feed(UserRequest{source, message.request.op, std::move(message.request.id),
                                  std::move(message.request.body), message.request.relay});
        return receive_heartbeat(source, std::move(message.request.body));
      }
      case PeerMessage::Kind::Response:
        if (const std::size_t peer = peer_network_.peer_of(link); peer < peer_network_.peer_count())
          feed(PeerMessageReceived{peer, std::move(message)});
        return;
      case PeerMessage::Kind::Region:
        if (!message.region.from.empty()) feed(RegionMessageReceived{std::move(message.region)});
        return;
    }
  }

  const Settings settings_;
  EventLoop loop_;
  Controller controller_;
  const SocketShares sockets_;
  HttpClient service_client_, worker_client_;
  HttpServer server_;
  PeerNetwork peer_network_;
  std::uint64_t timeout_check_count_ = 0;
  Timer tick_timer_, timeout_check_timer_;
};

Daemon::Daemon(const Settings& settings, const Options& options)
    : impl_(std::make_unique<Impl>(settings, options)) {}
Daemon::~Daemon() = default;
void Daemon::run() { impl_->run(); }

}  // namespace sailreel
