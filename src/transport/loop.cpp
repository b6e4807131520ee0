#include "transport/loop.hpp"

#include <chrono>
#include <stdexcept>

namespace sailreel {

EventLoop::EventLoop() {
  if (uv_loop_init(&loop_) != 0) throw std::runtime_error("cannot initialize the event loop");
}

EventLoop::~EventLoop() {
  uv_run(&loop_, UV_RUN_NOWAIT);
  uv_loop_close(&loop_);
}

std::int64_t EventLoop::now_ms() { return static_cast<std::int64_t>(uv_hrtime() / 1'000'000); }

std::int64_t EventLoop::wall_ms() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

struct Timer::Handle {
  uv_timer_t timer{};
  std::function<void()> callback;
};

Timer::Timer(EventLoop& loop, std::function<void()> callback) : handle_(new Handle) {
  handle_->callback = std::move(callback);
  handle_->timer.data = handle_;
  uv_timer_init(loop.raw(), &handle_->timer);
}

Timer::~Timer() {
  uv_close(reinterpret_cast<uv_handle_t*>(&handle_->timer),
           [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

void Timer::set(std::int64_t delay_ms) {
  uv_update_time(handle_->timer.loop);
  uv_timer_start(
      &handle_->timer, [](uv_timer_t* timer) { static_cast<Handle*>(timer->data)->callback(); },
      static_cast<std::uint64_t>(delay_ms < 0 ? 0 : delay_ms), 0);
}

}  // namespace sailreel
