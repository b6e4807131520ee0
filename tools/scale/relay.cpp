#include "scale/relay.hpp"

#include <deque>

#include "scale/deployment.hpp"
#include "transport/stream.hpp"

namespace sailreel::scale {
namespace {
constexpr std::int64_t kPumpMs = 2;
}  // namespace

/// One of the two connections of a link.
class Relay::End : public Stream {
 public:
  End(Relay& relay, Link& link, bool outgoing)
      : Stream(relay.loop_), link_(&link), outgoing_(outgoing) {}
  void forget() { link_ = nullptr; }

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
        incoming_(new End(relay, *this, false)),
        outgoing_(new End(relay, *this, true)) {}

  bool accept(uv_stream_t* server, const Endpoint& target) {
    if (uv_accept(server, incoming_->raw()) != 0) return false;
    incoming_->start();
    outgoing_->connect(target);
    return true;
  }

  void take(bool from_outgoing, std::string_view bytes) {
    if (end(!from_outgoing) == nullptr) return;
    ++relay_.traffic_.messages_in;
    relay_.traffic_.bytes_in += bytes.size();
    queue_.push_back({EventLoop::now_ms() + relay_.delay_ms_, !from_outgoing, std::string(bytes)});
  }

  /// Forwards the bytes that are due, in order, unless the regions are cut off from each other.
  /// Returns false if the link must be closed.
  bool pump(std::int64_t now) {
    if (const Cut* cut = relay_.cut_between(from_, to_)) return cut->hold;
    while (!queue_.empty() && queue_.front().due <= now) {
      // A failed write closes the end, and end_closed() then changes the queue: the chunk must be
      // out of it before.
      Chunk chunk = std::move(queue_.front());
      queue_.pop_front();
      if (End* to = end(chunk.to_outgoing)) to->write(std::move(chunk.bytes));
    }
    return !(closing_ && queue_.empty());
  }

  /// Called when one end has closed. The other is closed once it has received the bytes that are
  /// still in transit to it.
  void end_closed(const End* closed) {
    (closed == incoming_ ? incoming_ : outgoing_) = nullptr;
    closing_ = true;
    // The bytes in transit to the closed end are lost.
    std::erase_if(queue_, [&](const Chunk& chunk) { return end(chunk.to_outgoing) == nullptr; });
  }

  void close() {
    for (End* end : {incoming_, outgoing_}) {
      if (end == nullptr) continue;
      end->forget();
      end->close();
    }
  }

 private:
  struct Chunk {
    std::int64_t due;
    bool to_outgoing;
    std::string bytes;
  };
  [[nodiscard]] End* end(bool outgoing) const { return outgoing ? outgoing_ : incoming_; }

  Relay& relay_;
  const int from_, to_;
  End* incoming_;
  End* outgoing_;
  std::deque<Chunk> queue_;
  bool closing_ = false;
};

void Relay::End::on_bytes(std::string_view bytes) {
  if (link_ != nullptr) link_->take(outgoing_, bytes);
}

void Relay::End::on_closed() {
  if (link_ != nullptr) link_->end_closed(this);
}

Relay::Relay(EventLoop& loop, const Plan& plan)
    : loop_(loop),
      delay_ms_(plan.region_delay_ms()),
      cuts_(static_cast<std::size_t>(plan.region_size())),
      timer_(loop, [this] { pump(); }) {
  if (plan.division() != SHARES) return;
  for (int from = 0; from < plan.region_size(); ++from)
    for (int to = 0; to < plan.region_size(); ++to)
      for (std::uint32_t n = 0; from != to && n < plan.region(to).controllers(); ++n) {
        auto entry = std::make_unique<Entry>();
        entry->from = from;
        entry->to = to;
        entry->target = controller_peer_address(to, n);
        entry->listener = std::make_unique<Listener>(
            loop, relay_address(from, to, n), plan.region(from).controllers(),
            [this, entry = entry.get()](uv_stream_t* server) { accept(*entry, server); });
        entries_.push_back(std::move(entry));
      }
  timer_.set(kPumpMs);
}

Relay::~Relay() {
  for (Link* link : links_) {
    link->close();
    delete link;
  }
}

void Relay::accept(const Entry& entry, uv_stream_t* server) {
  auto* link = new Link(*this, entry.from, entry.to);
  const auto target = parse_endpoint(entry.target);
  const Cut* cut = cut_between(entry.from, entry.to);
  const bool refused = cut != nullptr && !cut->hold;
  if (!link->accept(server, *target) || refused) {
    link->close();
    delete link;
    return;
  }
  links_.insert(link);
}

const Relay::Cut* Relay::cut_between(int a, int b) const {
  const std::int64_t now = EventLoop::now_ms();
  for (const int region : {a, b})
    if (const Cut& cut = cuts_[static_cast<std::size_t>(region)]; now < cut.until) return &cut;
  return nullptr;
}

void Relay::cut_off(int region, std::int64_t for_ms, bool hold) {
  cuts_[static_cast<std::size_t>(region)] = {EventLoop::now_ms() + for_ms, hold};
}

void Relay::pump() {
  const std::int64_t now = EventLoop::now_ms();
  std::vector<Link*> over;
  for (Link* link : links_)
    if (!link->pump(now)) over.push_back(link);
  for (Link* link : over) {
    links_.erase(link);
    link->close();
    delete link;
  }
  timer_.set(kPumpMs);
}

}  // namespace sailreel::scale
