// Compares what ways of reading numbers cost on a worker's heartbeat. Prints the best of several
// rounds for each, in microseconds a heartbeat. Not a test: the times depend on the machine.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <limits>
#include <string>
#include <vector>

#include "protocol/fake_server_codec.hpp"
#include "protocol/json.hpp"
#include "protocol/worker_codec.hpp"

namespace sailreel {
namespace {

constexpr int kRounds = 40, kParsesPerRound = 500, kTasks = 200;

Heartbeat heartbeat_of_many_tasks() {
  Heartbeat heartbeat;
  heartbeat.machine = "m-000231";
  heartbeat.address = "10.1.0.232:9000";
  heartbeat.type = "g8";
  heartbeat.zone = "a";
  heartbeat.incarnation = 1;
  heartbeat.seq = 88;
  heartbeat.fencing_token = 41;
  heartbeat.reclaim_in_s = 61.25;
  for (std::uint32_t i = 0; i < kTasks; ++i) {
    TaskStatus status;
    status.key = {"job-000412", i};
    status.attempt = 268'436'129 + i;
    status.state = RunState::Running;
    heartbeat.tasks.push_back(status);
  }
  return heartbeat;
}

using Clock = std::chrono::steady_clock;

double microseconds_per_call(const std::function<bool()>& parse) {
  const Clock::time_point begin = Clock::now();
  for (int i = 0; i < kParsesPerRound; ++i)
    if (!parse()) std::puts("a text wasn't parsed");
  return std::chrono::duration<double, std::micro>(Clock::now() - begin).count() / kParsesPerRound;
}

/// Parses with RapidJSON's own conversion of numbers.
template <unsigned kFlags>
bool parse_with_flags(const std::string& text) {
  constexpr std::size_t kReadAheadBytes = 16;
  std::string copy;
  copy.reserve(text.size() + kReadAheadBytes);
  copy.assign(text);
  alignas(std::max_align_t) char buffer[json::DocumentMemory::kInlineBytes];
  rapidjson::MemoryPoolAllocator<> memory(buffer, sizeof buffer);
  rapidjson::Document document(&memory);
  document.ParseInsitu<kFlags>(copy.data());
  return document.IsObject();
}

bool parse_object(const std::string& text) {
  json::Document document;
  return json::parse_object(text, document);
}

struct Way {
  const char* name;
  std::function<bool()> parse;
  double best_us = std::numeric_limits<double>::infinity();
};

/// Runs the ways in turn, so that a change of the machine's speed affects all of them.
void compare(std::vector<Way>& ways) {
  for (int round = 0; round < kRounds; ++round)
    for (Way& way : ways) way.best_us = std::min(way.best_us, microseconds_per_call(way.parse));
  for (const Way& way : ways) std::printf("%-40s %8.2f us\n", way.name, way.best_us);
}

}  // namespace
}  // namespace sailreel

int main() {
  using namespace sailreel;
  constexpr unsigned kIterative = rapidjson::kParseIterativeFlag;
  const std::string text = encode_heartbeat(heartbeat_of_many_tasks());
  std::printf("a heartbeat of %d tasks, %zu bytes\n", kTasks, text.size());
  std::vector<Way> ways{
      {"RapidJSON, full precision",
       [&] { return parse_with_flags<kIterative | rapidjson::kParseFullPrecisionFlag>(text); }},
      {"RapidJSON, normal precision", [&] { return parse_with_flags<kIterative>(text); }},
      {"json::parse_object", [&] { return parse_object(text); }},
      {"decode_heartbeat", [&] { return decode_heartbeat(text).has_value(); }},
  };
  compare(ways);
}
