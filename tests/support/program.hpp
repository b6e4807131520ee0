// Runs the program as a real process on loopback and talks to it over sockets.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <utility>

namespace sailreel {

using namespace std::chrono_literals;

/// A TCP connection to a loopback address, closed at the end of its life.
class ClientSocket {
 public:
  ClientSocket(const std::string& host, int port) : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    connected_ = connect(descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  }
  ~ClientSocket() {
    if (descriptor_ >= 0) close(descriptor_);
  }
  ClientSocket(ClientSocket&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)), connected_(other.connected_) {}
  ClientSocket(const ClientSocket&) = delete;
  ClientSocket& operator=(const ClientSocket&) = delete;
  ClientSocket& operator=(ClientSocket&&) = delete;

  [[nodiscard]] bool connected() const { return connected_; }
  /// Sends as much as can be sent without waiting. Whatever goes wrong shows in the answer.
  void send(const std::string& bytes) const {
    static_cast<void>(::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
  }
  /// Waits for bytes and returns them; empty if none come in time or the connection is closed.
  [[nodiscard]] std::string receive(std::chrono::milliseconds timeout) const {
    pollfd entry{descriptor_, POLLIN, 0};
    if (poll(&entry, 1, static_cast<int>(timeout.count())) <= 0) return {};
    std::string bytes(4096, '\0');
    const ssize_t length = recv(descriptor_, bytes.data(), bytes.size(), 0);
    bytes.resize(length > 0 ? static_cast<std::size_t>(length) : 0);
    return bytes;
  }
  /// Whether the other side closes the connection in time without sending anything.
  [[nodiscard]] bool closes_within(std::chrono::milliseconds timeout) const {
    pollfd entry{descriptor_, POLLIN, 0};
    char byte = 0;
    return poll(&entry, 1, static_cast<int>(timeout.count())) > 0 &&
           recv(descriptor_, &byte, 1, 0) <= 0;
  }

  /// Whether the other side has closed the connection. Reads nothing.
  [[nodiscard]] bool closed() const {
    pollfd entry{descriptor_, POLLRDHUP, 0};
    return poll(&entry, 1, 0) > 0;
  }

 private:
  int descriptor_;
  bool connected_ = false;
};

/// A controller without peers, state service and cloud, so that it never leads.
class RunningProgram {
 public:
  RunningProgram() {
    // A loopback address that depends on the process id, because test cases run as parallel
    // processes.
    const int pid = getpid();
    host_ = "127.89." + std::to_string(pid / 250 % 250) + "." + std::to_string(pid % 250 + 1);
    directory_ = std::filesystem::temp_directory_path() / ("sailreel-" + std::to_string(pid));
    std::filesystem::create_directories(directory_);
    const std::string settings = directory_ / "settings.json";
    std::ofstream(settings) << settings_text();
    const char* arguments[] = {SAILREEL_PROGRAM, "--config", settings.c_str(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, (directory_ / "log").c_str(),
                                     O_CREAT | O_WRONLY | O_TRUNC, 0600);
    // Without it, the address sanitizer keeps freed memory, which the tests would count as used.
    const char* environment[] = {"ASAN_OPTIONS=quarantine_size_mb=1", nullptr};
    const int error = posix_spawn(&pid_, SAILREEL_PROGRAM, &actions, nullptr,
                                  const_cast<char**>(arguments), const_cast<char**>(environment));
    posix_spawn_file_actions_destroy(&actions);
    EXPECT_EQ(error, 0);
    for (int tries = 0; tries < 400 && status_of("GET /healthz").empty(); ++tries)
      std::this_thread::sleep_for(25ms);
  }
  ~RunningProgram() {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  }
  RunningProgram(const RunningProgram&) = delete;
  RunningProgram& operator=(const RunningProgram&) = delete;

  [[nodiscard]] ClientSocket connect() const { return {host_, kPort}; }
  [[nodiscard]] ClientSocket connect_to_peer_port() const { return {host_, kPeerPort}; }
  /// Sends a request without a body on a new connection and returns the status; empty if no
  /// response comes in time.
  [[nodiscard]] std::string status_of(const std::string& request) const {
    const ClientSocket socket = connect();
    socket.send(request + " HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::string response = socket.receive(1'000ms);
    return response.size() < kStatusEnd ? std::string()
                                        : response.substr(kStatusBegin, kStatusEnd - kStatusBegin);
  }
  [[nodiscard]] bool running() const { return waitpid(pid_, nullptr, WNOHANG) == 0; }
  /// The memory in bytes that the process occupies.
  [[nodiscard]] long resident_bytes() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    long pages = 0, resident_pages = 0;
    file >> pages >> resident_pages;
    return resident_pages * sysconf(_SC_PAGESIZE);
  }

  static constexpr int kSocketLimit = 500;

 private:
  static constexpr int kPort = 18'091, kPeerPort = 18'092;
  static constexpr std::size_t kStatusBegin = 9, kStatusEnd = 12;  // of "HTTP/1.1 200 OK"

  [[nodiscard]] std::string settings_text() const {
    return R"({"label":"n0","area":"a","listen":")" + host_ + ":" + std::to_string(kPort) +
           R"(","peer_listen":")" + host_ + ":" + std::to_string(kPeerPort) +
           R"(","siblings":[],"external":{"cloud":"127.0.0.1:1","state":"127.0.0.1:1"},)"
           R"("settings":{"zones":["a"],"teams":[{"name":"t","cpus":0,"cpus_max":0,"gpus":4,)"
           R"("gpus_max":8}],"workers":{"report_s":1,"lease_s":10,"cancel_s":30},)"
           R"("state":{"rps":80,"write_rps":20,"value_kb":8,"txn_ops":16},)"
           R"("cloud":{"rps":2,"list_lag_s":6},)"
           R"("resources":{"cpu":0.1,"memory_mb":40,"fd_limit":)" +
           std::to_string(kSocketLimit) + "}}}";
  }

  std::string host_;
  std::filesystem::path directory_;
  pid_t pid_ = 0;
};

}  // namespace sailreel
