#include "app/daemon.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>

#include "controller/capacity_check.hpp"
#include "controller/controller.hpp"
#include "protocol/cloud_codec.hpp"
#include "protocol/kv_codec.hpp"
#include "protocol/user_codec.hpp"
#include "protocol/worker_codec.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/loop.hpp"
#include "transport/peer_link.hpp"

namespace sailreel {
namespace {

constexpr std::int64_t kIdleMs = 60'000;
constexpr std::int64_t kSweepMs = 50;
constexpr std::int64_t kReconnectMs = 500;
/// A link to another controller may hold this part of a controller's memory, or a MiB.
constexpr double kLinkMemoryShare = 1.0 / 32;
constexpr double kMiB = 1024.0 * 1024;
/// Reports and questions that are handed on wait for others for this part of a report's interval:
/// as long as a pass of placement waits for reports that bunch up. While the leader hasn't answered
/// the last of them, they wait for the larger part.
constexpr double kBatchesPerHeartbeat = 40, kSlowBatchesPerHeartbeat = 8;

std::uint64_t seed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) ^ device();
}

}  // namespace

class Daemon::Impl {
 public:
  Impl(const Settings& settings, const Options& options)
      : settings_(settings),
        core_(settings, options, seed()),
        sockets_(share_sockets(settings, links_of(options.federation))),
        client_(loop_, sockets_.services),
        workers_(loop_, sockets_.worker_calls),
        server_(loop_, settings.listen, sockets_.server, kMaxBody, kIdleMs,
                [this](ServerRequest r) { serve(std::move(r)); }),
        peer_links_(loop_, settings.peer_listen, sockets_.links, link_backlog(settings),
                    batching(settings),
                    {[this](std::uint64_t link, std::string_view b) { return peer_bytes(link, b); },
                     [this](std::uint64_t link) { peer_closed(link); }}),
        outgoing_links_(settings.peers.size()),
        regions_(region_links(options.federation)),
        tick_(loop_, [this] { feed(Tick{}); }),
        sweep_(loop_, [this] { sweep(); }) {}

  void run() {
    spdlog::info("event=started node={} zone={} listen={}", settings_.name, settings_.zone,
                 settings_.listen);
    sweep();
    feed(Tick{});
    loop_.run();
  }

 private:
  struct OutgoingLink {
    std::uint64_t link = 0;  // 0: none
    std::int64_t retry_at = 0;
    std::string address;  // of another region's controller
  };

  /// The links to each other region's controllers.
  static std::vector<std::vector<OutgoingLink>> region_links(const FederationOptions& options) {
    std::vector<std::vector<OutgoingLink>> out;
    for (const FederatedRegion& region : options.regions) {
      if (region.name == options.region) continue;
      out.emplace_back();
      for (const std::string& address : region.addresses) out.back().push_back({0, 0, address});
    }
    return out;
  }
  /// In both directions.
  static std::size_t links_of(const FederationOptions& options) {
    std::size_t count = 0;
    for (const auto& links : region_links(options)) count += 2 * links.size();
    return count;
  }

  static std::size_t link_backlog(const Settings& settings) {
    return static_cast<std::size_t>(std::max(1.0, settings.limits.memory_mb * kLinkMemoryShare) *
                                    kMiB);
  }

  static PeerLinks::Batching batching(const Settings& settings) {
    const auto part = [&](double parts) {
      return std::max<std::int64_t>(1, ms(settings.workers.heartbeat_interval_s / parts));
    };
    return {part(kBatchesPerHeartbeat), part(kSlowBatchesPerHeartbeat)};
  }

  static Clock clock() { return {EventLoop::now_ms(), EventLoop::wall_ms()}; }

  void feed(Input input) {
    for (Action& action : core_.step(clock(), std::move(input)))
      std::visit([this](auto& a) { this->act(a); }, action);
  }

  void sweep() {
    client_.sweep();
    workers_.sweep();
    if (++sweeps_ % 64 == 0) server_.sweep();
    sweep_.set(kSweepMs);
  }

  // ---- actions ----

  // The process may have stood still between the decision and this moment.
  static bool late(Time valid_until) { return EventLoop::now_ms() >= valid_until; }

  void act(const Response& a) {
    if (late(a.valid_until))
      respond(a.source, 503, encode_error("leadership may have ended"), 1);
    else
      respond(a.source, a.status, a.body, a.retry_after_s, a.valid_until);
  }

  void respond(const RequestSource& source, int status, const std::string& body, int retry_after_s,
               Time valid_until = kNever) {
    if (source.kind == RequestSource::Kind::Local) {
      server_.respond(source.link, status, body, retry_after_s);
    } else if (source.kind == RequestSource::Kind::Peer) {
      PeerMessage m;
      m.kind = PeerMessage::Kind::Response;
      m.response = {source.call, status, retry_after_s, {}, body};
      if (valid_until != kNever)
        m.response.valid_ms = static_cast<std::uint32_t>(
            std::clamp<Time>(valid_until - EventLoop::now_ms(), 0, UINT32_MAX - 1));
      // What answers the frames that are being read leaves with their last one.
      peer_links_.send(source.link, encode_peer(m),
                       source.link == reading_link_ ? Urgency::UntilFlush : Urgency::Now);
    }
  }

  void act(const CallKvStore& a) {
    const HttpRequest h = encode_kv_request(a.request);
    client_.request(
        settings_.state, h.method, h.path, h.body, a.timeout_ms, true,
        [this, call = a.call, request = a.request](int status, std::string_view body) {
          feed(KvResponseReceived{call, decode_kv_response(request, status, body).value_or({})});
        });
  }

  void act(const CallCloud& a) {
    const HttpRequest h = encode_cloud_request(a.request);
    client_.request(settings_.cloud, h.method, h.path, h.body, a.timeout_ms, true,
                    [this, call = a.call, request = a.request](int status, std::string_view body) {
                      feed(CloudResponseReceived{
                          call, decode_cloud_response(request, status, body).value_or({})});
                    });
  }

  void act(const CallWorker& a) {
    if (late(a.valid_until)) return feed(WorkerResponseReceived{a.call, 0, {}});
    workers_.request(a.address, "POST", "/do", a.body, a.timeout_ms, false,
                     [this, call = a.call](int status, std::string_view body) {
                       std::optional<Heartbeat> heartbeat;
                       if (status == 200 || status == 409)
                         heartbeat = decode_heartbeat(body).to_optional();
                       feed(WorkerResponseReceived{call, status, std::move(heartbeat)});
                     });
  }

  void act(const SendPeer& a) {
    send(outgoing_links_[a.peer], settings_.peers[a.peer].address, a.message);
  }

  // Which of them leads is known there; only that one looks at it.
  void act(const SendRegion& a) {
    PeerMessage message;
    message.kind = PeerMessage::Kind::Region;
    message.region = a.message;
    for (OutgoingLink& link : regions_[a.region]) send(link, link.address, message);
  }

  void send(OutgoingLink& to, const std::string& address, const PeerMessage& message) {
    if (to.link == 0) {
      if (EventLoop::now_ms() < to.retry_at) return;
      to.retry_at = EventLoop::now_ms() + kReconnectMs;
      to.link = peer_links_.connect(address);
    }
    peer_links_.send(to.link, encode_peer(message), urgency_of(message));
  }

  // The next report of a worker, or question of a user, is seconds away, and what it may bring
  // about waits for that. Submissions, cancellations and heartbeats don't wait for anything.
  static Urgency urgency_of(const PeerMessage& message) {
    if (message.kind != PeerMessage::Kind::Request) return Urgency::Now;
    const UserOp op = message.request.op;
    return op == UserOp::Heartbeat || op == UserOp::Query ? Urgency::MayWait : Urgency::Now;
  }

  void act(const ArmTimer& a) { tick_.set(a.in_ms); }

  static void act(const Log& a) {
    const auto level = a.level == Log::Level::Debug     ? spdlog::level::debug
                       : a.level == Log::Level::Info    ? spdlog::level::info
                       : a.level == Log::Level::Warning ? spdlog::level::warn
                                                        : spdlog::level::err;
    spdlog::log(level, a.text);
  }

  // ---- inputs ----

  void serve(ServerRequest r) {
    const RequestSource source{RequestSource::Kind::Local, r.connection, 0};
    const auto error = [&](int status, const char* text) {
      respond(source, status, encode_error(text), 0);
    };
    if (r.oversize) return error(400, "body too large");
    const std::string_view path = std::string_view(r.path).substr(0, r.path.find('?'));
    if (path == "/hello") {
      if (r.method != "POST") return error(405, "method not allowed");
      auto heartbeat = decode_heartbeat(r.body);
      if (!heartbeat) return error(400, "not a report");
      return feed(HeartbeatReceived{source, std::move(*heartbeat), std::move(r.body)});
    }
    if (path == "/healthz") {
      if (r.method != "GET") return error(405, "method not allowed");
      const bool ok = core_.healthy(EventLoop::now_ms());
      return respond(source, ok ? 200 : 503, ok ? "{}" : encode_error("no leader"), 0);
    }
    constexpr std::string_view kJobs = "/v1/jobs";
    if (path == kJobs) {
      if (r.method != "POST") return error(405, "method not allowed");
      return feed(UserRequest{source, UserOp::Submit, {}, std::move(r.body)});
    }
    if (!path.starts_with("/v1/jobs/")) return error(404, "no such path");
    std::string_view id = path.substr(kJobs.size() + 1);
    constexpr std::string_view kWithdraw = "/withdraw";
    const bool cancel = id.ends_with(kWithdraw);
    if (cancel) id.remove_suffix(kWithdraw.size());
    if (id.find('/') != std::string_view::npos) return error(404, "no such path");
    if (r.method != (cancel ? "POST" : "GET")) return error(405, "method not allowed");
    if (!valid_job_id(id)) return error(404, "no such job");
    feed(UserRequest{source, cancel ? UserOp::Cancel : UserOp::Query, std::string(id), {}});
  }

  bool peer_bytes(std::uint64_t link, std::string_view bytes) {
    PeerReader& reader = readers_[link];
    reader.feed(bytes);
    reading_link_ = link;
    while (auto message = reader.next()) {
      peer_message(link, std::move(*message));
      if (!readers_.contains(link)) break;  // closed meanwhile
    }
    reading_link_ = 0;
    peer_links_.flush(link);
    const auto it = readers_.find(link);
    return it == readers_.end() || !it->second.broken();
  }

  void peer_message(std::uint64_t link, PeerMessage m) {
    switch (m.kind) {
      case PeerMessage::Kind::Heartbeat:
        for (std::size_t i = 0; i < settings_.peers.size(); ++i)
          if (settings_.peers[i].name == m.heartbeat.node)
            return feed(PeerMessageReceived{i, std::move(m)});
        return;
      case PeerMessage::Kind::Request: {
        const RequestSource source{RequestSource::Kind::Peer, link, m.request.call};
        if (m.request.op != UserOp::Heartbeat)
          return feed(UserRequest{source, m.request.op, std::move(m.request.id),
                                  std::move(m.request.body), m.request.relay});
        auto heartbeat = decode_heartbeat(m.request.body);
        if (!heartbeat) return respond(source, 400, encode_error("not a report"), 0);
        return feed(HeartbeatReceived{source, std::move(*heartbeat), std::move(m.request.body)});
      }
      case PeerMessage::Kind::Response:
        for (std::size_t i = 0; i < outgoing_links_.size(); ++i)
          if (outgoing_links_[i].link == link) return feed(PeerMessageReceived{i, std::move(m)});
        return;
      case PeerMessage::Kind::Region:
        if (!m.region.from.empty()) feed(RegionMessageReceived{std::move(m.region)});
        return;
    }
  }

  void peer_closed(std::uint64_t link) {
    readers_.erase(link);
    for (auto& links : regions_)
      for (OutgoingLink& region : links)
        if (region.link == link) region.link = 0;
    for (std::size_t i = 0; i < outgoing_links_.size(); ++i)
      if (outgoing_links_[i].link == link) {
        outgoing_links_[i].link = 0;
        // Told from the loop's next turn: this may be within a step of the core.
        lost_.push_back(i);
      }
    if (!lost_.empty() && !lost_timer_)
      lost_timer_ = std::make_unique<Timer>(loop_, [this] {
        auto lost = std::move(lost_);
        lost_.clear();
        for (const std::size_t i : lost) feed(PeerDisconnected{i});
      });
    if (!lost_.empty()) lost_timer_->set(0);
  }

  const Settings settings_;
  EventLoop loop_;
  Controller core_;
  const SocketShares sockets_;
  HttpClient client_, workers_;
  HttpServer server_;
  PeerLinks peer_links_;
  std::vector<OutgoingLink> outgoing_links_;
  std::vector<std::vector<OutgoingLink>> regions_;
  std::unordered_map<std::uint64_t, PeerReader> readers_;
  std::uint64_t reading_link_ = 0;  // whose frames are being taken in; 0: none
  std::vector<std::size_t> lost_;
  std::unique_ptr<Timer> lost_timer_;
  std::uint64_t sweeps_ = 0;
  Timer tick_, sweep_;
};

Daemon::Daemon(const Settings& settings, const Options& options)
    : impl_(std::make_unique<Impl>(settings, options)) {}
Daemon::~Daemon() = default;
void Daemon::run() { impl_->run(); }

}  // namespace sailreel
