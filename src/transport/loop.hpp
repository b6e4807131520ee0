// An event loop and timers, built on libuv.
#pragma once

#include <uv.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace sailreel {

/// A libuv event loop. The loop and all objects that use it belong to one thread.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  uv_loop_t* raw() { return &loop_; }
  /// Runs until no active handles or requests are left, or until uv_stop is called.
  void run() { uv_run(&loop_, UV_RUN_DEFAULT); }
  /// Milliseconds of the monotonic clock, read at the time of the call (not the loop's cached
  /// time).
  static std::int64_t now_ms();
  /// Milliseconds since the Unix epoch, by the wall clock.
  static std::int64_t wall_ms();

 private:
  uv_loop_t loop_{};
};

/// A one-shot timer that calls `callback` once after `set`. Setting a pending timer replaces its
/// time.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> callback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Starts the timer; a negative delay counts as 0.
  void set(std::int64_t delay_ms);

 private:
  struct Handle;
  Handle* handle_;
};

}  // namespace sailreel
