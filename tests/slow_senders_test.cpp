// Connections that send a request slowly, in part or not at all, and those that don't read: they
// neither end a controller nor keep it from answering others. Real processes.
#include <gtest/gtest.h>

#include <deque>
#include <string>

#include "support/program.hpp"

namespace sailreel {
namespace {

/// More than the program has sockets.
constexpr int kManyConnections = RunningProgram::kSocketLimit + 100;
constexpr const char* kHalfRequest =
    "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 400\r\n\r\n{";
/// The longest that a sender waits for an answer, and what the checks for it add.
constexpr auto kRequestTimeout = 5'000ms, kCheckInterval = 3'000ms;

#ifdef __SANITIZE_ADDRESS__
constexpr long kMaxGrowthBytes = 64L << 20;  // with the sanitizer's own memory
#else
constexpr long kMaxGrowthBytes = 16L << 20;
#endif

std::deque<ClientSocket> open_half_requests(const RunningProgram& program) {
  std::deque<ClientSocket> sockets;
  for (int i = 0; i < kManyConnections; ++i) {
    sockets.push_back(program.connect());
    sockets.back().send(kHalfRequest);
  }
  return sockets;
}

TEST(SlowSenders, HalfRequestsDoNotKeepOthersFromAnAnswer) {
  const RunningProgram program;
  const std::deque<ClientSocket> half_requests = open_half_requests(program);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(program.status_of("GET /healthz"), "503");
  EXPECT_EQ(program.status_of("GET /v1/jobs/job-1"), "503");
  EXPECT_TRUE(program.running());
}

TEST(SlowSenders, SilentConnectionsDoNotKeepOthersFromAnAnswer) {
  const RunningProgram program;
  std::deque<ClientSocket> silent;
  for (int i = 0; i < kManyConnections; ++i) silent.push_back(program.connect());
  for (int i = 0; i < 20; ++i) EXPECT_EQ(program.status_of("GET /healthz"), "503");
}

TEST(SlowSenders, SendersThatReconnectAtOnceDoNotKeepOthersFromAnAnswer) {
  const RunningProgram program;
  std::deque<ClientSocket> half_requests = open_half_requests(program);
  for (int i = 0; i < 20; ++i) {
    for (std::size_t k = 0; k < half_requests.size(); ++k) {
      half_requests.pop_front();
      half_requests.push_back(program.connect());
      half_requests.back().send(kHalfRequest);
    }
    EXPECT_EQ(program.status_of("GET /healthz"), "503") << "round " << i;
  }
}

TEST(SlowSenders, ARequestThatArrivesByteForByteDoesNotStayOpen) {
  const RunningProgram program;
  const ClientSocket slow = program.connect();
  slow.send(kHalfRequest);
  const auto begin = std::chrono::steady_clock::now();
  while (!slow.closes_within(500ms) && std::chrono::steady_clock::now() < begin + 20s)
    slow.send("x");
  const auto open_for = std::chrono::steady_clock::now() - begin;
  EXPECT_GE(open_for, kRequestTimeout - 1'000ms);
  EXPECT_LE(open_for, kRequestTimeout + kCheckInterval);
}

TEST(SlowSenders, ARequestThatArrivesInTimeIsNotCutOff) {
  const RunningProgram program;
  const ClientSocket slow = program.connect();
  const std::string request = "GET /v1/jobs/job-1 HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::size_t half = request.size() / 2;
  slow.send(request.substr(0, half));
  std::this_thread::sleep_for(3'000ms);
  slow.send(request.substr(half));
  EXPECT_EQ(slow.receive(1'000ms).substr(0, 12), "HTTP/1.1 503");
  // An idle connection stays open for the sender's next request.
  std::this_thread::sleep_for(kRequestTimeout + kCheckInterval);
  slow.send(request);
  EXPECT_EQ(slow.receive(1'000ms).substr(0, 12), "HTTP/1.1 503");
}

TEST(SlowSenders, ASenderThatDoesNotReadItsAnswersDoesNotFillTheMemory) {
  const RunningProgram program;
  const long bytes_before = program.resident_bytes();
  const ClientSocket deaf = program.connect();
  std::string requests;
  for (int i = 0; i < 100; ++i) requests += "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
  const auto begin = std::chrono::steady_clock::now();
  bool open = true;
  while (open && std::chrono::steady_clock::now() < begin + 15s) {
    deaf.send(requests);
    open = !deaf.closed() && program.running();
    ASSERT_LT(program.resident_bytes() - bytes_before, kMaxGrowthBytes);
    std::this_thread::sleep_for(1ms);
  }
  EXPECT_TRUE(program.running());
  EXPECT_EQ(program.status_of("GET /healthz"), "503");
}

TEST(SlowSenders, SilentLinksDoNotKeepAPeerFromConnecting) {
  const RunningProgram program;
  std::deque<ClientSocket> silent;
  for (int i = 0; i < kManyConnections; ++i) {
    silent.push_back(program.connect_to_peer_port());
    silent.back().send("1");
  }
  const ClientSocket peer = program.connect_to_peer_port();
  EXPECT_FALSE(peer.closes_within(1'000ms));
  EXPECT_TRUE(program.running());
}

}  // namespace
}  // namespace sailreel
