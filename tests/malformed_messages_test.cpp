// Messages with damaged or extreme contents, at a leader: none ends it, and sound requests are
// still answered. Seeded; meant to run with sanitizers, too.
#include <gtest/gtest.h>

#include <pcg_random.hpp>

#include "protocol/fake_server_codec.hpp"
#include "support/controller_driver.hpp"
#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

constexpr int kAccepted = 201;
constexpr int kMessagesPerSeed = 500, kMessagesPerTerm = 50;

const std::vector<std::string>& extreme_values() {
  static const std::vector<std::string> kValues = {"0",
                                                   "-0.0",
                                                   "-1",
                                                   "1e999",
                                                   "-1e999",
                                                   "1e308",
                                                   "1e-400",
                                                   "18446744073709551615",
                                                   "18446744073709551616",
                                                   "9223372036854775807",
                                                   "4294967296",
                                                   "0." + std::string(500, '0'),
                                                   "1" + std::string(400, '0'),
                                                   "null",
                                                   "true",
                                                   "\"\"",
                                                   "\"\\u0000\"",
                                                   "\"\\ud800\"",
                                                   "[]",
                                                   "{}",
                                                   "[[[[[[[[]]]]]]]]",
                                                   "\"" + std::string(5'000, 'x') + "\"",
                                                   "\"job-1/4294967295\"",
                                                   "\"job-1/-1\"",
                                                   "\"/\""};
  return kValues;
}

/// Replaces a value of the text, or damages, cuts or repeats a part of it.
std::string damaged(std::string text, pcg32& random) {
  const auto position = [&] { return random(static_cast<std::uint32_t>(text.size())); };
  switch (random(5)) {
    case 0:
      text[position()] = static_cast<char>(random(256));
      break;
    case 1:
      text.resize(position());
      break;
    case 2:
      text.insert(position(), text.substr(position(), random(40)));
      break;
    default: {
      std::vector<std::size_t> colons;
      for (std::size_t at = text.find(':'); at != std::string::npos; at = text.find(':', at + 1))
        colons.push_back(at);
      if (colons.empty()) break;
      const std::size_t begin = colons[random(static_cast<std::uint32_t>(colons.size()))] + 1;
      const std::size_t end = std::min(text.find_first_of(",}", begin), text.size());
      const auto& values = extreme_values();
      text.replace(begin, end - begin, values[random(static_cast<std::uint32_t>(values.size()))]);
    }
  }
  return text;
}

class MalformedMessages : public ::testing::Test {
 protected:
  MalformedMessages() : driver_(sample_settings(0)) {
    driver_.set_types({sample_type()});
    driver_.open_cloud();
    driver_.run_for(4'000);
  }

  void send_heartbeat(const std::string& body) {
    const RequestSource source{RequestSource::Kind::Local, ++request_, 0};
    if (auto heartbeat = decode_heartbeat(body))
      driver_.step(HeartbeatReceived{source, std::move(*heartbeat), body});
    else
      driver_.step(MalformedRequest{source, RequestOp::Heartbeat, heartbeat.error(), body.size()});
  }

  void send_frames(const std::string& bytes) {
    PeerReader reader;
    reader.feed(bytes);
    while (auto message = reader.next()) {
      const RequestSource source{RequestSource::Kind::Peer, 1, message->request.call_id};
      if (message->kind != PeerMessage::Kind::Request)
        driver_.step(PeerMessageReceived{0, std::move(*message)});
      else if (message->request.op == RequestOp::Heartbeat)
        send_heartbeat(message->request.body);
      else
        driver_.step(UserRequest{source, message->request.op, message->request.id,
                                 message->request.body, message->request.relay});
    }
  }

  /// A heartbeat of a machine that runs a task.
  static std::string sound_heartbeat(std::uint64_t seq, std::uint64_t token) {
    TaskStatus status;
    status.key = {"job-1", 0};
    status.attempt = 7;
    status.state = RunState::Running;
    Heartbeat heartbeat = heartbeat_of("m-1", seq, {status});
    heartbeat.fencing_token = token;
    heartbeat.reclaim_in_s = 30;
    return encode_heartbeat(heartbeat);
  }

  static std::string sound_frame(pcg32& random) {
    PeerMessage message;
    if (random(2) == 0) {
      message.kind = PeerMessage::Kind::Request;
      message.request = {random(), static_cast<RequestOp>(random(4)), "job-1",
                         encode_submission(array_job("job-1", 1, 1)), random(2) == 0};
    } else {
      message.kind = PeerMessage::Kind::Heartbeat;
      message.heartbeat.node = node_name(1);
      message.heartbeat.incarnation = random();
      message.heartbeat.clock = random();
    }
    return encode_peer(message);
  }

  ControllerDriver driver_;
  std::uint64_t request_ = 1'000'000;
};

TEST_F(MalformedMessages, NoneEndsALeaderOrKeepsItFromAnsweringOthers) {
  ASSERT_TRUE(driver_.controller().leading());
  for (std::uint64_t seed = 1; seed <= seed_count(20); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    pcg32 random(seed);
    for (int i = 0; i < kMessagesPerSeed; ++i) {
      // A message may show a higher fencing token, after which another election is right.
      if (i % kMessagesPerTerm == 0) driver_.run_for(10'000);
      const std::uint64_t token = driver_.controller().epoch();
      send_heartbeat(damaged(sound_heartbeat(random(), token), random));
      driver_.submit(damaged(encode_submission(array_job(job_id(random(50)), 2, 5)), random));
      std::string frame = sound_frame(random);
      frame[random(static_cast<std::uint32_t>(frame.size()))] = static_cast<char>(random(256));
      send_frames(frame);
    }
    driver_.run_for(30'000);
    ASSERT_TRUE(driver_.controller().leading());
    EXPECT_EQ(driver_.submit(encode_submission(array_job(job_id(1'000 + seed), 1, 1))), kAccepted);
  }
}

}  // namespace
}  // namespace sailreel::sim
