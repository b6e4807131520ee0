#include "transport/peer_link.hpp"

#include <utility>

#include "transport/stream.hpp"

namespace sailreel {

class PeerLinks::Connection : public Stream {
 public:
  Connection(PeerLinks& owner, std::uint64_t id) : Stream(owner.loop_), owner_(owner), id_(id) {}

  void add(std::string_view bytes) {
    waiting_frames_.append(bytes);
    if (backlog() + waiting_frames_.size() > owner_.max_backlog_bytes_) close();
  }
  /// Adds this link to the batch; returns false if it is already in it.
  bool join_batch() { return !std::exchange(in_batch_, true); }
  void flush() {
    if (!connected_ || waiting_frames_.empty()) return;
    ++owner_.writes_;
    write(std::exchange(waiting_frames_, {}));
  }
  /// Sends the waiting frames. Returns false if they must wait longer, because nothing has been
  /// received since the last batch.
  bool send_batch(std::int64_t now) {
    // Until the connection is established, frames wait for `on_connected`, which sends them.
    const bool has_frames = connected_ && !waiting_frames_.empty();
    if (has_frames && now < batch_held_until_) return false;
    in_batch_ = false;
    if (!has_frames) return true;
    batch_held_until_ = now + owner_.batching_.max_delay_ms;
    flush();
    return true;
  }
  void accepted() {
    connected_ = true;
    start();
  }

 protected:
  void on_connected() override {
    connected_ = true;
    flush();
  }
  void on_bytes(std::string_view bytes) override {
    batch_held_until_ = 0;
    if (!owner_.events_.bytes(id_, bytes)) close();
  }
  void on_closed() override {
    owner_.links_.erase(id_);
    owner_.unconfirmed_.erase(id_);
    owner_.events_.closed(id_);
  }

 private:
  PeerLinks& owner_;
  std::uint64_t id_;
  std::string waiting_frames_;  // frames that wait for the connection or for a batch
  /// No batch is sent before this time (EventLoop::now_ms); 0 if bytes have been received since the
  /// last batch.
  std::int64_t batch_held_until_ = 0;
  bool connected_ = false;
  bool in_batch_ = false;
};

PeerLinks::PeerLinks(EventLoop& loop, const std::string& listen, std::size_t max_links,
                     std::size_t max_backlog_bytes, Batching batching, Events events)
    : loop_(loop),
      max_links_(max_links),
      max_backlog_bytes_(max_backlog_bytes),
      batching_(batching),
      events_(std::move(events)),
      batch_timer_(loop, [this] { send_batches(); }),
      listener_(loop, listen, max_links, [this](uv_stream_t* stream) { accept(stream); }) {}

PeerLinks::~PeerLinks() {
  // Closing the links must not call the owner, which may be partly destroyed already.
  events_.closed = [](std::uint64_t) {};
  const auto links = links_;
  for (const auto& [id, connection] : links) connection->close();
}

void PeerLinks::accept(uv_stream_t* server) {
  if (links_.size() >= max_links_ && !unconfirmed_.empty()) close(*unconfirmed_.begin());
  const std::uint64_t id = next_link_++;
  auto* connection = new Connection(*this, id);
  links_.emplace(id, connection);
  unconfirmed_.insert(id);
  if (uv_accept(server, connection->raw()) != 0 || links_.size() > max_links_)
    connection->close();
  else
    connection->accepted();
}

void PeerLinks::confirm(std::uint64_t link) { unconfirmed_.erase(link); }

std::uint64_t PeerLinks::connect(const std::string& address) {
  const std::uint64_t id = next_link_++;
  auto* connection = new Connection(*this, id);
  links_.emplace(id, connection);
  if (const auto endpoint = parse_endpoint(address))
    connection->connect(*endpoint);
  else
    connection->close();
  return id;
}

void PeerLinks::send(std::uint64_t link, const std::string& bytes, Urgency urgency) {
  const auto it = links_.find(link);
  if (it == links_.end()) return;
  Connection& connection = *it->second;
  connection.add(bytes);
  // `add` closes the link if its backlog is too large.
  if (connection.closing()) return;
  if (urgency == Urgency::Now) connection.flush();
  if (urgency == Urgency::MayWait) join_batch(link, connection);
}

void PeerLinks::join_batch(std::uint64_t link, Connection& connection) {
  if (!connection.join_batch()) return;
  // One timer serves all links. It runs while any link is in the batch.
  if (batched_links_.empty()) batch_timer_.set(batching_.min_delay_ms);
  batched_links_.push_back(link);
}

void PeerLinks::flush(std::uint64_t link) {
  if (const auto it = links_.find(link); it != links_.end()) it->second->flush();
}

void PeerLinks::send_batches() {
  const std::int64_t now = EventLoop::now_ms();
  for (const std::uint64_t link : std::exchange(batched_links_, {})) {
    const auto it = links_.find(link);
    if (it != links_.end() && !it->second->send_batch(now)) batched_links_.push_back(link);
  }
  if (!batched_links_.empty()) batch_timer_.set(batching_.min_delay_ms);
}

void PeerLinks::close(std::uint64_t link) {
  if (const auto it = links_.find(link); it != links_.end()) it->second->close();
}

}  // namespace sailreel
