// The event loop and timers, over libuv.
#pragma once

#include <uv.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace sailreel {

/// One thread runs the loop and everything that uses it.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  uv_loop_t* raw() { return &loop_; }
  /// Returns when nothing is left to wait for.
  void run() { uv_run(&loop_, UV_RUN_DEFAULT); }
  /// Milliseconds of the steady clock, read at this moment (not the loop's cached time).
  static std::int64_t now_ms();
  /// Milliseconds of the time of day.
  static std::int64_t wall_ms();

 private:
  uv_loop_t loop_{};
};

/// Calls `fire` once for each `set`; setting it again replaces the earlier time.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> fire);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void set(std::int64_t in_ms);

 private:
  struct Handle;
  Handle* handle_;
};

}  // namespace sailreel
