#include "transport/peer_link.hpp"

#include <utility>

#include "transport/stream.hpp"

namespace sailreel {

class PeerLinks::Connection : public Stream {
 public:
  Connection(PeerLinks& links, std::uint64_t id) : Stream(links.loop_), links_(links), id_(id) {}

  void add(std::string_view bytes) {
    waiting_.append(bytes);
    if (backlog() + waiting_.size() > links_.max_backlog_) close();
  }
  /// Adds this link to the batch; returns false if it is already in it.
  bool join_batch() { return !std::exchange(in_batch_, true); }
  void flush() {
    if (!connected_ || waiting_.empty()) return;
    ++links_.writes_;
    write(std::exchange(waiting_, {}));
  }
  /// Sends the waiting frames. Returns false if they must wait longer, because nothing has been
  /// received since the last batch.
  bool send_batch(std::int64_t now) {
    // Until the connection is established, frames wait for `on_connected`, which sends them.
    const bool has_batch = connected_ && !waiting_.empty();
    if (has_batch && now < answer_due_at_) return false;
    in_batch_ = false;
    if (!has_batch) return true;
    answer_due_at_ = now + links_.batching_.most_ms;
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
    answer_due_at_ = 0;
    if (!links_.events_.bytes(id_, bytes)) close();
  }
  void on_closed() override {
    links_.links_.erase(id_);
    links_.events_.closed(id_);
  }

 private:
  PeerLinks& links_;
  std::uint64_t id_;
  std::string waiting_;  // frames that wait for the connection or for a batch
  /// No batch is sent before this time (EventLoop::now_ms); 0 if bytes have been received since the
  /// last batch.
  std::int64_t answer_due_at_ = 0;
  bool connected_ = false;
  bool in_batch_ = false;
};

PeerLinks::PeerLinks(EventLoop& loop, const std::string& listen, std::size_t max_incoming,
                     std::size_t max_backlog, Batching batching, Events events)
    : loop_(loop),
      max_incoming_(max_incoming),
      max_backlog_(max_backlog),
      batching_(batching),
      events_(std::move(events)),
      batch_timer_(loop, [this] { send_batches(); }),
      listener_(loop, listen, max_incoming, [this](uv_stream_t* stream) { accept(stream); }) {}

PeerLinks::~PeerLinks() {
  // Closing the links must not call the owner, which may be partly destroyed already.
  events_.closed = [](std::uint64_t) {};
  const auto links = links_;
  for (const auto& [number, connection] : links) connection->close();
}

void PeerLinks::accept(uv_stream_t* server) {
  auto* connection = new Connection(*this, next_);
  links_.emplace(next_++, connection);
  if (uv_accept(server, connection->raw()) != 0 || links_.size() > max_incoming_)
    connection->close();
  else
    connection->accepted();
}

std::uint64_t PeerLinks::connect(const std::string& address) {
  const std::uint64_t id = next_++;
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
  if (waiting_links_.empty()) batch_timer_.set(batching_.least_ms);
  waiting_links_.push_back(link);
}

void PeerLinks::flush(std::uint64_t link) {
  if (const auto it = links_.find(link); it != links_.end()) it->second->flush();
}

void PeerLinks::send_batches() {
  const std::int64_t now = EventLoop::now_ms();
  for (const std::uint64_t link : std::exchange(waiting_links_, {})) {
    const auto it = links_.find(link);
    if (it != links_.end() && !it->second->send_batch(now)) waiting_links_.push_back(link);
  }
  if (!waiting_links_.empty()) batch_timer_.set(batching_.least_ms);
}

void PeerLinks::close(std::uint64_t link) {
  if (const auto it = links_.find(link); it != links_.end()) it->second->close();
}

}  // namespace sailreel
