// Links between controllers over loopback sockets: frames are sent in order and in batches, and
// none is lost.
#include "transport/peer_link.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <vector>

#include "support/properties.hpp"

namespace sailreel {
namespace {

constexpr std::int64_t kTimeoutMs = 20'000;
constexpr std::size_t kMaxBacklogBytes = std::size_t{1} << 20;

/// A loopback address that depends on the process id, because test cases run as parallel processes.
std::string process_address(const char* port) {
  const int pid = getpid();
  return "127.88." + std::to_string(pid / 250 % 250) + "." + std::to_string(pid % 250 + 1) + port;
}

/// Two controllers' links on one event loop; the first sends to the second.
class PeerLinkPair {
 public:
  explicit PeerLinkPair(PeerLinks::Batching batching)
      : sender_(loop_, process_address(":18081"), 8, kMaxBacklogBytes, batching,
                {[](std::uint64_t, std::string_view) { return true; }, [](std::uint64_t) {}}),
        receiver_(loop_, process_address(":18082"), 8, kMaxBacklogBytes, batching,
                  {[this](std::uint64_t link, std::string_view bytes) {
                     return_link_ = link;
                     received_.append(bytes);
                     return true;
                   },
                   [](std::uint64_t) {}}),
        alarm_(loop_, [this] { on_alarm(); }),
        link_(sender_.connect(process_address(":18082"))) {
    // The first frame is sent once the connection is established; `writes` counts from then on.
    sender_.send(link_, "0");
    wait_for("0");
    received_.clear();
    writes_before_ = sender_.writes();
  }

  void send(const std::string& frame, Urgency urgency) { sender_.send(link_, frame, urgency); }
  void flush() { sender_.flush(link_); }
  void respond() { receiver_.send(return_link_, "answer"); }
  [[nodiscard]] std::uint64_t writes() const { return sender_.writes() - writes_before_; }
  [[nodiscard]] const std::string& received() const { return received_; }

  void run_for(std::int64_t duration_ms) {
    set_alarm(duration_ms);
    while (!alarm_fired_) uv_run(loop_.raw(), UV_RUN_ONCE);
  }
  /// Runs until that number of bytes has arrived or kTimeoutMs have passed, and expects the
  /// received bytes to equal `bytes`.
  void wait_for(const std::string& bytes) {
    set_alarm(kTimeoutMs);
    while (!alarm_fired_ && received_.size() < bytes.size()) uv_run(loop_.raw(), UV_RUN_ONCE);
    EXPECT_EQ(received_, bytes);
  }

 private:
  void set_alarm(std::int64_t duration_ms) {
    alarm_fired_ = false;
    alarm_.set(duration_ms);
  }
  /// An alarm that is due at the start of an iteration of the loop must end that iteration:
  /// without another timer, the loop would go on to wait for the sockets without a time limit
  /// (docs/incidents/hanging-test.md).
  void on_alarm() {
    alarm_fired_ = true;
    uv_stop(loop_.raw());
  }

  EventLoop loop_;
  PeerLinks sender_, receiver_;
  Timer alarm_;
  bool alarm_fired_ = false;
  std::string received_;
  std::uint64_t return_link_ = 0, writes_before_ = 0;
  const std::uint64_t link_;
};

// Guards against a write for each forwarded heartbeat, which costs processor time: without
// batching, 20 of them take 20 writes; in a batch, they take one.
TEST(PeerLink, FramesThatMayWaitAreSentInOneWrite) {
  PeerLinkPair links({30, 30});
  std::string sent;
  for (int frame = 0; frame < 20; ++frame) {
    links.send("report;", Urgency::MayWait);
    sent += "report;";
  }
  EXPECT_EQ(links.writes(), 0U);
  links.wait_for(sent);
  EXPECT_EQ(links.writes(), 1U);
}

TEST(PeerLink, UrgentFrameIsSentTogetherWithWaitingFrames) {
  PeerLinkPair links({kTimeoutMs, kTimeoutMs});
  links.send("report;", Urgency::MayWait);
  links.send("question;", Urgency::MayWait);
  links.send("submission;", Urgency::Now);
  EXPECT_EQ(links.writes(), 1U);
  links.wait_for("report;question;submission;");
  links.send("answer;", Urgency::UntilFlush);
  links.flush();
  EXPECT_EQ(links.writes(), 2U);
  links.wait_for("report;question;submission;answer;");
}

// A slow leader must not receive another batch before it has responded to the last one.
TEST(PeerLink, BatchWaitsForTheResponseOfASlowPeer) {
  PeerLinkPair links({5, kTimeoutMs * 10});
  links.send("1", Urgency::MayWait);
  links.wait_for("1");
  links.send("2", Urgency::MayWait);
  links.send("3", Urgency::MayWait);
  links.run_for(100);
  EXPECT_EQ(links.writes(), 1U);
  links.respond();
  links.wait_for("123");
  EXPECT_EQ(links.writes(), 2U);
}

TEST(PeerLink, BatchIsSentAfterMaxDelayWithoutResponse) {
  PeerLinkPair links({5, 50});
  links.send("1", Urgency::MayWait);
  links.wait_for("1");
  links.send("2", Urgency::MayWait);
  links.wait_for("12");
}

enum class Step : std::uint8_t { SendNow, SendMayWait, SendUntilFlush, Flush, Response, Run };

std::optional<Urgency> urgency_of(Step step) {
  if (step == Step::SendNow) return Urgency::Now;
  if (step == Step::SendMayWait) return Urgency::MayWait;
  if (step == Step::SendUntilFlush) return Urgency::UntilFlush;
  return {};
}

// For any sequence of sends with any urgency, flushes and responses, every frame arrives once and
// in order.
TEST(PeerLink, FramesArriveOnceAndInOrder) {
  set_property_cases(200);
  const bool passed = rc::check("frames arrive in order", [] {
    const auto steps = *rc::gen::container<std::vector<Step>>(
        rc::gen::element(Step::SendNow, Step::SendMayWait, Step::SendMayWait, Step::SendUntilFlush,
                         Step::Flush, Step::Response, Step::Run));
    PeerLinkPair links({1, 4});
    std::string sent;
    int next_frame = 0;
    bool needs_flush = false;
    for (const Step step : steps) {
      const std::string frame = std::to_string(next_frame) + ";";
      if (const auto urgency = urgency_of(step)) {
        links.send(frame, *urgency);
        needs_flush = urgency == Urgency::UntilFlush;
        sent += frame;
        ++next_frame;
      }
      if (step == Step::Flush) {
        links.flush();
        needs_flush = false;
      }
      if (step == Step::Response) links.respond();
      if (step == Step::Run) links.run_for(1);
    }
    // Only frames that were sent with Urgency::UntilFlush may still need a flush.
    if (needs_flush) links.flush();
    links.wait_for(sent);
    RC_ASSERT(links.received() == sent);
    RC_ASSERT(links.writes() <= static_cast<std::uint64_t>(next_frame));
  });
  EXPECT_TRUE(passed);
}

}  // namespace
}  // namespace sailreel
