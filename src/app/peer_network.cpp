#include "app/peer_network.hpp"

#include <algorithm>
#include <utility>

namespace sailreel {
namespace {

/// The least time between two attempts to connect to the same address.
constexpr std::int64_t kReconnectIntervalMs = 500;
/// The share of a controller's memory that a link's unsent bytes may take; the limit is at least
/// one MiB.
constexpr double kLinkMemoryShare = 1.0 / 32;
constexpr double kBytesPerMiB = 1024.0 * 1024;
/// Batches of forwarded heartbeats and queries per heartbeat interval. The maximum applies if the
/// leader has responded to the last batch; frames then wait as long as a placement pass waits for
/// heartbeats that arrive close together. The minimum applies otherwise; frames then wait longer.
constexpr double kMaxBatchesPerHeartbeat = 40, kMinBatchesPerHeartbeat = 8;

std::size_t max_backlog_bytes(const Settings& settings) {
  return static_cast<std::size_t>(
      std::max(1.0, settings.process_limits.memory_mb * kLinkMemoryShare) * kBytesPerMiB);
}

PeerLinks::Batching batching(const Settings& settings) {
  const auto delay_ms = [&](double batches_per_heartbeat) {
    return std::max<std::int64_t>(
        1, ms(settings.workers.heartbeat_interval_s / batches_per_heartbeat));
  };
  return {delay_ms(kMaxBatchesPerHeartbeat), delay_ms(kMinBatchesPerHeartbeat)};
}

// Workers' heartbeats and users' queries may wait: the sender sends the next one only seconds
// later, and the effects of one reach the sender only with the next. Submissions, cancellations and
// controllers' heartbeats are urgent.
Urgency urgency_of(const PeerMessage& message) {
  if (message.kind != PeerMessage::Kind::Request) return Urgency::Now;
  const RequestOp op = message.request.op;
  return op == RequestOp::Heartbeat || op == RequestOp::Query ? Urgency::MayWait : Urgency::Now;
}

}  // namespace

std::vector<std::vector<PeerNetwork::OutgoingLink>> PeerNetwork::region_links(
    const FederationOptions& options) {
  std::vector<std::vector<OutgoingLink>> links;
  for (const FederatedRegion& region : options.regions) {
    if (region.name == options.region) continue;
    links.emplace_back();
    for (const std::string& address : region.addresses) links.back().push_back({address});
  }
  return links;
}

std::size_t PeerNetwork::region_link_count(const FederationOptions& options) {
  std::size_t count = 0;
  for (const auto& links : region_links(options)) count += 2 * links.size();
  return count;
}

PeerNetwork::PeerNetwork(EventLoop& loop, const Settings& settings,
                         const FederationOptions& options, std::size_t max_links, Events events)
    : loop_(loop),
      events_(std::move(events)),
      links_(loop, settings.peer_listen, max_links, max_backlog_bytes(settings), batching(settings),
             {[this](std::uint64_t link, std::string_view bytes) { return receive(link, bytes); },
              [this](std::uint64_t link) { handle_closed(link); }}),
      regions_(region_links(options)) {
  for (const PeerSettings& peer : settings.peers) peers_.push_back({peer.address});
}

void PeerNetwork::send_to_peer(std::size_t peer, const PeerMessage& message) {
  send(peers_[peer], message);
}

void PeerNetwork::send_to_region(std::size_t region, const PeerMessage& message) {
  for (OutgoingLink& link : regions_[region]) send(link, message);
}

void PeerNetwork::send(OutgoingLink& target, const PeerMessage& message) {
  if (target.link == 0) {
    if (EventLoop::now_ms() < target.retry_at) return;
    target.retry_at = EventLoop::now_ms() + kReconnectIntervalMs;
    target.link = links_.connect(target.address);
  }
  links_.send(target.link, encode_peer(message), urgency_of(message));
}

void PeerNetwork::respond(std::uint64_t link, const PeerMessage& response) {
  // Responses to requests that arrived together are sent together, once all of them are handled.
  links_.send(link, encode_peer(response),
              link == reading_link_ ? Urgency::UntilFlush : Urgency::Now);
}

std::size_t PeerNetwork::peer_of(std::uint64_t link) const {
  const auto is_link = [link](const OutgoingLink& peer) { return peer.link == link; };
  return static_cast<std::size_t>(std::find_if(peers_.begin(), peers_.end(), is_link) -
                                  peers_.begin());
}

bool PeerNetwork::receive(std::uint64_t link, std::string_view bytes) {
  PeerReader& reader = readers_[link];
  reader.feed(bytes);
  reading_link_ = link;
  while (auto message = reader.next()) {
    links_.confirm(link);
    events_.message(link, std::move(*message));
    if (!readers_.contains(link)) break;  // the link was closed by the call
  }
  reading_link_ = 0;
  links_.flush(link);
  const auto it = readers_.find(link);
  return it == readers_.end() || !it->second.broken();
}

void PeerNetwork::handle_closed(std::uint64_t link) {
  readers_.erase(link);
  for (auto& links : regions_)
    for (OutgoingLink& outgoing : links)
      if (outgoing.link == link) outgoing.link = 0;
  for (std::size_t peer = 0; peer < peers_.size(); ++peer)
    if (peers_[peer].link == link) {
      peers_[peer].link = 0;
      disconnected_peers_.push_back(peer);
    }
  if (disconnected_peers_.empty()) return;
  // The timer delays the report to the loop's next iteration, because a link may be closed during a
  // step of the controller, and the report starts another step.
  if (!disconnect_timer_)
    disconnect_timer_ = std::make_unique<Timer>(loop_, [this] {
      for (const std::size_t peer : std::exchange(disconnected_peers_, {}))
        events_.disconnected(peer);
    });
  disconnect_timer_->set(0);
}

}  // namespace sailreel
