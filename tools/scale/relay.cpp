#include "scale/relay.hpp"

#include <deque>

#include "scale/deployment.hpp"
#include "transport/stream.hpp"

namespace sailreel::scale {
namespace {
constexpr std::int64_t kForwardIntervalMs = 2;
}  // namespace

/// One of the two connections of a link.
class Relay::Connection : public Stream {
 public:
  Connection(Relay& relay, Link& link, bool outgoing)
      : Stream(relay.loop_), link_(&link), outgoing_(outgoing) {}
  void detach() { link_ = nullptr; }

 protected:
  void on_bytes(std::string_view bytes) override;
  void on_closed() override;

 private:
  Link* link_;
  const bool outgoing_;
};

/// A connection from one region to another: the accepted connection, the outgoing connection to the
/// target, and the bytes in transit between them.
class Relay::Link {
 public:
  Link(Relay& relay, int from, int to)
      : relay_(relay),
        from_(from),
        to_(to),
        incoming_(new Connection(relay, *this, false)),
        outgoing_(new Connection(relay, *this, true)) {}

  bool accept(uv_stream_t* server, const Endpoint& target) {
    if (uv_accept(server, incoming_->raw()) != 0) return false;
    incoming_->start();
    outgoing_->connect(target);
    return true;
  }

  void receive(bool from_outgoing, std::string_view bytes) {
    if (connection_for(!from_outgoing) == nullptr) return;
    ++relay_.traffic_.messages_in;
    relay_.traffic_.bytes_in += bytes.size();
    queue_.push_back({EventLoop::now_ms() + relay_.delay_ms_, !from_outgoing, std::string(bytes)});
  }

  /// Forwards the bytes that are due, in order, unless the regions are cut off from each other.
  /// Returns false if the link must be closed.
  bool forward_due(std::int64_t now) {
    if (const Cut* cut = relay_.cut_between(from_, to_)) return cut->hold;
    while (!queue_.empty() && queue_.front().due_ms <= now) {
      // The chunk is removed from the queue before it is written, because a failed write closes the
      // receiver and connection_closed() then changes the queue.
      Chunk chunk = std::move(queue_.front());
      queue_.pop_front();
      if (Connection* receiver = connection_for(chunk.to_outgoing))
        receiver->write(std::move(chunk.bytes));
    }
    return !(closing_ && queue_.empty());
  }

  /// Called when one connection has closed. The other is closed once it has received the bytes that
  /// are still in transit to it.
  void connection_closed(const Connection* closed) {
    (closed == incoming_ ? incoming_ : outgoing_) = nullptr;
    closing_ = true;
    // The bytes in transit to the closed connection are lost.
    std::erase_if(queue_,
                  [&](const Chunk& chunk) { return connection_for(chunk.to_outgoing) == nullptr; });
  }

  void close() {
    for (Connection* connection : {incoming_, outgoing_}) {
      if (connection == nullptr) continue;
      connection->detach();
      connection->close();
    }
  }

 private:
  struct Chunk {
    std::int64_t due_ms;
    bool to_outgoing;
    std::string bytes;
  };
  [[nodiscard]] Connection* connection_for(bool outgoing) const {
    return outgoing ? outgoing_ : incoming_;
  }

  Relay& relay_;
  const int from_, to_;
  Connection* incoming_;
  Connection* outgoing_;
  std::deque<Chunk> queue_;
  bool closing_ = false;
};

void Relay::Connection::on_bytes(std::string_view bytes) {
  if (link_ != nullptr) link_->receive(outgoing_, bytes);
}

void Relay::Connection::on_closed() {
  if (link_ != nullptr) link_->connection_closed(this);
}

Relay::Relay(EventLoop& loop, const Plan& plan)
    : loop_(loop),
      delay_ms_(plan.region_delay_ms()),
      cuts_(static_cast<std::size_t>(plan.region_size())),
      timer_(loop, [this] { forward_due(); }) {
  if (plan.division() != SHARES) return;
  for (int from = 0; from < plan.region_size(); ++from)
    for (int to = 0; to < plan.region_size(); ++to)
      for (std::uint32_t controller = 0; from != to && controller < plan.region(to).controllers();
           ++controller) {
        auto route = std::make_unique<Route>();
        route->from = from;
        route->to = to;
        route->target = controller_peer_address(to, controller);
        route->listener = std::make_unique<Listener>(
            loop, relay_address(from, to, controller), plan.region(from).controllers(),
            [this, route = route.get()](uv_stream_t* server) { accept(*route, server); });
        routes_.push_back(std::move(route));
      }
  timer_.set(kForwardIntervalMs);
}

Relay::~Relay() {
  for (Link* link : links_) {
    link->close();
    delete link;
  }
}

void Relay::accept(const Route& route, uv_stream_t* server) {
  auto* link = new Link(*this, route.from, route.to);
  const auto target = parse_endpoint(route.target);
  const Cut* cut = cut_between(route.from, route.to);
  const bool refused = cut != nullptr && !cut->hold;
  if (!link->accept(server, *target) || refused) {
    link->close();
    delete link;
    return;
  }
  links_.insert(link);
}

const Relay::Cut* Relay::cut_between(int first_region, int second_region) const {
  const std::int64_t now = EventLoop::now_ms();
  for (const int region : {first_region, second_region})
    if (const Cut& cut = cuts_[static_cast<std::size_t>(region)]; now < cut.until_ms) return &cut;
  return nullptr;
}

void Relay::cut_off(int region, std::int64_t for_ms, bool hold) {
  cuts_[static_cast<std::size_t>(region)] = {EventLoop::now_ms() + for_ms, hold};
}

void Relay::forward_due() {
  const std::int64_t now = EventLoop::now_ms();
  std::vector<Link*> finished_links;
  for (Link* link : links_)
    if (!link->forward_due(now)) finished_links.push_back(link);
  for (Link* link : finished_links) {
    links_.erase(link);
    link->close();
    delete link;
  }
  timer_.set(kForwardIntervalMs);
}

}  // namespace sailreel::scale
