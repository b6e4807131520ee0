// Exhaustive state-space search of the transfer protocol at small sizes: three regions, one team.
// It explores every order of task starts and ends, transfers, commits, crashes and messages. A
// message that has been sent may arrive at any later time, any number of times or never, which
// covers loss, repetition, reordering and messages of former leaders.
#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <set>
#include <string>
#include <unordered_set>

#include "federation/ledger.hpp"

namespace sailreel::federation {
namespace {

constexpr int kRegions = 3;
const std::string kTeam = "red";

std::string region_name(int region) { return std::string(1, static_cast<char>('a' + region)); }

/// A transfer or an acknowledgement that has been sent.
struct Sent {
  bool acknowledgement = false;
  int from = 0, to = 0;
  std::uint64_t number = 0;
  std::int64_t gpus = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 mistakes the generated comparison
  auto operator<=>(const Sent&) const = default;
};

struct Region {
  ShareLedger ledger;  // as stored in the key-value store
  /// A write of `written` is in flight. It may be carried out at any time until another leader's
  /// epoch fences it. If it is in doubt, it was carried out and the response to it was lost.
  bool writing = false, in_doubt = false;
  ShareLedger written;
  /// The message to send once the response to the write has arrived.
  Sent after_write;
  /// What the leader has promised to give to another region.
  std::int64_t promised = 0;
  /// The share as its leader knows it: without a write whose outcome is unknown.
  std::int64_t known = 0;
  /// Whether each other region has acknowledged the last transfer to it.
  std::array<bool, kRegions> acknowledged{};
  std::int64_t used = 0;

  [[nodiscard]] std::int64_t share() const {
    const auto it = ledger.teams.find(kTeam);
    return it == ledger.teams.end() ? 0 : it->second.share.gpus;
  }
  [[nodiscard]] std::int64_t cap() const { return known - promised; }
};

/// The bounds of a search: the team's limit, the number of transfers between all regions, and
/// whether tasks start and end.
struct Size {
  std::int64_t limit = 0;
  std::uint64_t transfers = 0;
  bool tasks_run = true;
};

struct State {
  std::array<Region, kRegions> regions;
  std::set<Sent> network;
};

void append(std::string& out, std::int64_t value) { out += std::to_string(value) + ","; }

void append(std::string& out, const ShareLedger& ledger) {
  for (const auto& [team, record] : ledger.teams) append(out, record.share.gpus);
  for (const auto& [region, record] : ledger.regions) {
    out += region;
    append(out, static_cast<std::int64_t>(record.sent));
    append(out, static_cast<std::int64_t>(record.credited));
    for (const TeamAmounts& entry : record.in_transit) append(out, entry.amounts.gpus);
  }
  out += ';';
}

std::string fingerprint(const State& state) {
  std::string out;
  for (const Region& region : state.regions) {
    append(out, region.ledger);
    append(out, (region.writing ? 1 : 0) + (region.in_doubt ? 2 : 0));
    if (region.writing) append(out, region.written);
    append(out, region.promised);
    append(out, region.known);
    for (const bool acknowledged : region.acknowledged) append(out, acknowledged ? 1 : 0);
    append(out, region.used);
  }
  for (const Sent& m : state.network) {
    out += m.acknowledgement ? 'A' : 'T';
    for (const std::int64_t part :
         {std::int64_t{m.from}, std::int64_t{m.to}, static_cast<std::int64_t>(m.number), m.gpus})
      append(out, part);
  }
  return out;
}

State first_state(const Size& size) {
  State state;
  for (int n = 0; n < kRegions; ++n) {
    Region& region = state.regions[static_cast<std::size_t>(n)];
    region.ledger.teams[kTeam].share.gpus = n == 0 ? size.limit : 0;
    region.known = region.share();
    region.acknowledged.fill(true);
    for (int other = 0; other < kRegions; ++other)
      if (other != n) region.ledger.regions[region_name(other)];
  }
  return state;
}

std::uint64_t transfers_made(const State& state) {
  std::uint64_t sum = 0;
  for (const Region& region : state.regions)
    for (const auto& [name, record] : region.ledger.regions) sum += record.sent;
  return sum;
}

std::int64_t in_transit(const State& state) {
  std::int64_t sum = 0;
  for (int from = 0; from < kRegions; ++from)
    for (int to = 0; to < kRegions; ++to) {
      if (from == to) continue;
      const auto& sent =
          state.regions[static_cast<std::size_t>(from)].ledger.regions.at(region_name(to));
      const auto& credited =
          state.regions[static_cast<std::size_t>(to)].ledger.regions.at(region_name(from));
      if (sent.sent > credited.credited)
        for (const TeamAmounts& entry : sent.in_transit) sum += entry.amounts.gpus;
    }
  return sum;
}

/// Checks what must hold in every state. Returns the rule that is broken; empty if none is.
std::string broken_rule(const State& state, const Size& size) {
  std::int64_t held = 0, used = 0;
  for (const Region& region : state.regions) {
    held += region.share();
    used += region.used;
    if (region.used > region.share()) return "a region uses more than its share";
    if (region.cap() < 0) return "a region has promised more than it holds";
  }
  if (held + in_transit(state) != size.limit)
    return "shares held and in transit do not add up to the limit";
  if (used > size.limit) return "the regions use more than the limit";
  return {};
}

/// Generates all states that may follow a state.
class Successors {
 public:
  Successors(const State& state, const Size& size) : state_(state), size_(size) {
    for (int n = 0; n < kRegions; ++n) {
      run_and_end(n);
      give_to_others(n);
      finish_write(n);
      crash(n);
      resend(n);
    }
    for (const Sent& message : state.network) deliver(message);
  }
  std::vector<State> out;

 private:
  Region& next(int region) {
    out.push_back(state_);
    return out.back().regions[static_cast<std::size_t>(region)];
  }
  [[nodiscard]] const Region& now(int region) const {
    return state_.regions[static_cast<std::size_t>(region)];
  }

  void run_and_end(int n) {
    if (!size_.tasks_run) return;
    if (now(n).used < now(n).cap()) ++next(n).used;
    if (now(n).used > 0) --next(n).used;
  }

  // A region gives only what it doesn't use, and its cap is lowered as soon as it decides to give.
  void give_to_others(int n) {
    if (now(n).writing || transfers_made(state_) >= size_.transfers) return;
    for (int to = 0; to < kRegions; ++to) {
      if (to == n || !now(n).acknowledged[static_cast<std::size_t>(to)]) continue;
      const std::uint64_t number = now(n).ledger.regions.at(region_name(to)).sent + 1;
      for (std::int64_t gpus = 1; gpus <= now(n).cap() - now(n).used; ++gpus) {
        Region& region = next(n);
        region.promised = gpus;
        region.written = region.ledger;
        ASSERT_TRUE(give(region.written, region_name(to), {{kTeam, {0, gpus}}}));
        region.writing = true;
        region.after_write = {false, n, to, number, gpus};
      }
    }
  }

  // The write in flight is carried out. Either the response arrives, or it is lost and the leader
  // doesn't know the outcome.
  void finish_write(int n) {
    if (!now(n).writing) return;
    if (!now(n).in_doubt) {
      Region& unanswered = next(n);
      unanswered.ledger = unanswered.written;
      unanswered.in_doubt = true;
    }
    Region& region = next(n);
    region.ledger = region.written;
    const Sent message = region.after_write;
    if (!message.acknowledgement) {
      region.acknowledged[static_cast<std::size_t>(message.to)] = false;
    }
    settle(region);
    out.back().network.insert(message);
  }

  static void settle(Region& region) {
    region.writing = region.in_doubt = false;
    region.written = {};
    region.after_write = {};
    region.promised = 0;
    region.known = region.share();
  }

  // Failover: another leader reads the ledger, and a write that wasn't carried out is rejected from
  // then on. Tasks keep running.
  void crash(int n) {
    Region& region = next(n);
    settle(region);
    for (int other = 0; other < kRegions; ++other)
      region.acknowledged[static_cast<std::size_t>(other)] =
          other == n || region.ledger.regions.at(region_name(other)).in_transit.empty();
  }

  void resend(int n) {
    for (int to = 0; to < kRegions; ++to) {
      if (to == n || now(n).acknowledged[static_cast<std::size_t>(to)]) continue;
      const TransferRecord& record = now(n).ledger.regions.at(region_name(to));
      next(n);
      out.back().network.insert(
          {false, n, to, record.sent, record.in_transit.front().amounts.gpus});
    }
  }

  void deliver(const Sent& message) {
    const Region& to = now(message.to);
    if (message.acknowledgement) {
      if (acknowledges(to.ledger, region_name(message.from), {message.number}))
        next(message.to).acknowledged[static_cast<std::size_t>(message.from)] = true;
      return;
    }
    const Sent response{true, message.to, message.from, message.number, 0};
    ShareLedger changed = to.ledger;
    const ShareTransfer transfer{message.number, {{kTeam, {0, message.gpus}}}};
    const Credit result = credit(changed, region_name(message.from), transfer);
    if (result == Credit::Repeated) {
      next(message.to);
      out.back().network.insert(response);
    } else if (result == Credit::Credited && !to.writing) {
      Region& region = next(message.to);
      region.writing = true;
      region.written = changed;
      region.after_write = response;
    }
  }

  const State& state_;
  const Size& size_;
};

// Checks liveness: from any state, once messages arrive and no leader crashes, no transfer stays in
// transit.
bool settles(State state) {
  for (int turn = 0; turn < 6; ++turn) {
    for (int n = 0; n < kRegions; ++n) {
      Region& region = state.regions[static_cast<std::size_t>(n)];
      if (region.writing) {
        region.ledger = region.written;
        region.writing = false;
      }
      for (int to = 0; to < kRegions; ++to) {
        if (to == n) continue;
        const TransferRecord& record = region.ledger.regions.at(region_name(to));
        if (record.in_transit.empty()) continue;
        Region& receiver = state.regions[static_cast<std::size_t>(to)];
        if (receiver.writing) continue;
        credit(receiver.ledger, region_name(n), {record.sent, record.in_transit});
      }
    }
  }
  return in_transit(state) == 0;
}

class ShareProtocol : public ::testing::TestWithParam<Size> {};

TEST_P(ShareProtocol, NoOrderOfEventsExceedsTheLimitOrCreditsTwice) {
  const Size size = GetParam();
  std::unordered_set<std::string> seen;
  std::deque<State> open{first_state(size)};
  std::size_t transfers_seen = 0;
  while (!open.empty()) {
    const State state = std::move(open.front());
    open.pop_front();
    const std::string rule = broken_rule(state, size);
    ASSERT_TRUE(rule.empty()) << rule << " in " << fingerprint(state);
    ASSERT_TRUE(settles(state)) << fingerprint(state);
    transfers_seen += in_transit(state) > 0 ? 1 : 0;
    for (State& next : Successors(state, size).out)
      if (seen.insert(fingerprint(next)).second) open.push_back(std::move(next));
  }
  EXPECT_GT(transfers_seen, 100U);
  RecordProperty("states", static_cast<int>(seen.size()));
  std::printf("states: %zu\n", seen.size());
}

// The number of transfers in a size is that of all regions together. With three transfers, a region
// can get a second one from the same region, and share can go on to a third region and back.
// The last size has no tasks, which keeps a search with a larger limit small enough: a late
// acknowledgement of an earlier transfer does harm only with the third transfer to the same region.
INSTANTIATE_TEST_SUITE_P(Sizes, ShareProtocol,
                         ::testing::Values(Size{1, 4}, Size{1, 5}, Size{2, 3}, Size{3, 3, false}));

}  // namespace
}  // namespace sailreel::federation
