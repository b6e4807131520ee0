#include "scale/child_process.hpp"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <stdexcept>

namespace sailreel::scale {

/// The libuv handles of the process and the data of their callbacks. After close() the object lives
/// until libuv has closed all handles, and then deletes itself.
struct ChildProcess::Handles {
  uv_process_t process{};
  uv_pipe_t input{}, output{};
  ChildOutput destination;
  std::function<void(int, int)> on_exit;
  bool running = false;
  int closing_handles = 0;  // after close(): handles that libuv hasn't closed yet
  std::array<char, 65536> buffer{};

  void close() {
    const auto closed = [](uv_handle_t* handle) {
      auto* self = static_cast<Handles*>(handle->data);
      if (--self->closing_handles == 0) delete self;
    };
    closing_handles = 3;
    uv_close(reinterpret_cast<uv_handle_t*>(&process), closed);
    uv_close(reinterpret_cast<uv_handle_t*>(&input), closed);
    uv_close(reinterpret_cast<uv_handle_t*>(&output), closed);
  }
};

ChildProcess::ChildProcess(EventLoop& loop, const std::vector<std::string>& arguments,
                           ChildOutput output, std::function<void(int, int)> on_exit)
    : handles_(new Handles) {
  handles_->destination = std::move(output);
  handles_->on_exit = std::move(on_exit);
  handles_->process.data = handles_->input.data = handles_->output.data = handles_;
  uv_pipe_init(loop.raw(), &handles_->input, 0);
  uv_pipe_init(loop.raw(), &handles_->output, 0);

  const std::string& log = handles_->destination.log_file;
  const int log_descriptor = open(log.empty() ? "/dev/null" : log.c_str(),
                                  O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  std::array<uv_stdio_container_t, 3> stdio{};
  // When this process ends, for whatever reason, the pipe closes and the child reads end of file.
  stdio[0].flags = static_cast<uv_stdio_flags>(UV_CREATE_PIPE | UV_READABLE_PIPE);
  stdio[0].data.stream = reinterpret_cast<uv_stream_t*>(&handles_->input);
  stdio[1].flags = static_cast<uv_stdio_flags>(UV_CREATE_PIPE | UV_WRITABLE_PIPE);
  stdio[1].data.stream = reinterpret_cast<uv_stream_t*>(&handles_->output);
  stdio[2].flags = UV_INHERIT_FD;
  stdio[2].data.fd = log_descriptor;

  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  uv_process_options_t options{};
  options.file = argv[0];
  options.args = argv.data();
  options.stdio = stdio.data();
  options.stdio_count = static_cast<int>(stdio.size());
  options.exit_cb = [](uv_process_t* process, std::int64_t status, int signal) {
    auto* self = static_cast<Handles*>(process->data);
    self->running = false;
    if (self->on_exit) self->on_exit(static_cast<int>(status), signal);
  };
  const int error = uv_spawn(loop.raw(), &handles_->process, &options);
  close(log_descriptor);
  if (error != 0) {
    handles_->close();
    throw std::runtime_error("cannot start " + arguments.front() + ": " + uv_strerror(error));
  }
  handles_->running = true;
  uv_read_start(
      reinterpret_cast<uv_stream_t*>(&handles_->output),
      [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
        auto* self = static_cast<Handles*>(handle->data);
        *buffer = uv_buf_init(self->buffer.data(), static_cast<unsigned>(self->buffer.size()));
      },
      [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
        auto* self = static_cast<Handles*>(stream->data);
        if (size < 0) uv_read_stop(stream);
        if (size > 0 && self->destination.on_output)
          self->destination.on_output({buffer->base, static_cast<std::size_t>(size)});
      });
}

ChildProcess::~ChildProcess() {
  handles_->on_exit = nullptr;
  handles_->destination.on_output = nullptr;
  if (handles_->running) {
    uv_process_kill(&handles_->process, SIGKILL);
    waitpid(handles_->process.pid, nullptr, 0);
  }
  handles_->close();
}

int ChildProcess::pid() const { return handles_->process.pid; }
bool ChildProcess::running() const { return handles_->running; }
void ChildProcess::send_signal(int signal) {
  if (handles_->running) uv_process_kill(&handles_->process, signal);
}

}  // namespace sailreel::scale
