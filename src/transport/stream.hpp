// A TCP connection with queued writes.
#pragma once

#include <uv.h>

#include <string>
#include <string_view>

#include "protocol/settings.hpp"
#include "transport/loop.hpp"
#include "transport/traffic.hpp"

namespace sailreel {

/// A TCP connection. Must be allocated with `new`; it deletes itself once libuv has closed it.
/// Owners must drop their pointers in `on_closed`, which is called exactly once.
class Stream {
 public:
  /// Counts bytes in `traffic`, which must outlive the stream; doesn't count if it is null.
  explicit Stream(EventLoop& loop, Traffic* traffic = nullptr) : traffic_(traffic) {
    uv_tcp_init(loop.raw(), &tcp_);
    tcp_.data = this;
  }
  virtual ~Stream() = default;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  uv_stream_t* raw() { return reinterpret_cast<uv_stream_t*>(&tcp_); }

  /// Connects, starts reading and calls `on_connected`. A failure closes the stream, in some cases
  /// before `connect` returns.
  void connect(const Endpoint& endpoint) {
    sockaddr_in address{};
    auto* request = new uv_connect_t;
    request->data = this;
    if (uv_ip4_addr(endpoint.host.c_str(), endpoint.port, &address) != 0 ||
        uv_tcp_connect(request, &tcp_, reinterpret_cast<const sockaddr*>(&address),
                       [](uv_connect_t* connect_request, int status) {
                         auto* self = static_cast<Stream*>(connect_request->data);
                         delete connect_request;
                         if (self->closing_) return;
                         if (status != 0) return self->close();
                         self->start();
                         self->on_connected();
                       }) != 0) {
      delete request;
      close();
    }
  }

  /// Starts reading. Only for accepted connections: `connect` starts reading by itself.
  void start() {
    uv_tcp_nodelay(&tcp_, 1);
    uv_read_start(
        raw(),
        [](uv_handle_t*, std::size_t, uv_buf_t* buffer) {
          // All connections share one buffer, because the loop reads from one at a time.
          static char shared_buffer[64 * 1024];
          *buffer = uv_buf_init(shared_buffer, sizeof shared_buffer);
        },
        [](uv_stream_t* stream, ssize_t length, const uv_buf_t* buffer) {
          auto* self = static_cast<Stream*>(stream->data);
          if (self->closing_ || length == 0) return;
          if (length < 0) return self->close();
          if (self->traffic_ != nullptr)
            self->traffic_->bytes_in += static_cast<std::uint64_t>(length);
          self->on_bytes({buffer->base, static_cast<std::size_t>(length)});
        });
  }

  /// Writes as much as the system accepts at once and queues the rest. A failure closes the stream.
  void write(std::string bytes) {
    if (closing_) return;
    if (traffic_ != nullptr) traffic_->bytes_out += bytes.size();
    uv_buf_t unsent = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
    const int sent =
        uv_stream_get_write_queue_size(raw()) == 0 ? uv_try_write(raw(), &unsent, 1) : 0;
    if (sent == static_cast<int>(bytes.size())) return;
    auto* pending = new PendingWrite;
    pending->bytes = std::move(bytes);
    if (sent > 0) pending->bytes.erase(0, static_cast<std::size_t>(sent));
    pending->request.data = pending;
    uv_buf_t remainder =
        uv_buf_init(pending->bytes.data(), static_cast<unsigned>(pending->bytes.size()));
    if (uv_write(&pending->request, raw(), &remainder, 1,
                 [](uv_write_t* write_request, int status) {
                   auto* stream = static_cast<Stream*>(write_request->handle->data);
                   delete static_cast<PendingWrite*>(write_request->data);
                   if (status != 0) stream->close();
                 }) != 0) {
      delete pending;
      close();
    }
  }

  /// The number of queued bytes.
  [[nodiscard]] std::size_t backlog() const { return tcp_.write_queue_size; }
  [[nodiscard]] bool closing() const { return closing_; }

  /// Calls `on_closed` and closes the connection; does nothing if it is closing already.
  void close() {
    if (closing_) return;
    closing_ = true;
    on_closed();
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp_),
             [](uv_handle_t* handle) { delete static_cast<Stream*>(handle->data); });
  }

 protected:
  virtual void on_connected() {}
  virtual void on_bytes(std::string_view bytes) = 0;
  virtual void on_closed() = 0;

 private:
  struct PendingWrite {
    uv_write_t request{};
    std::string bytes;
  };
  uv_tcp_t tcp_{};
  Traffic* traffic_;
  bool closing_ = false;
};

}  // namespace sailreel
