// Tests that leases are short while leader changes are rare, and that they double with each change
// above the usual number.
#include "controller/election_history.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

#include "support/properties.hpp"

namespace sailreel {
namespace {

constexpr Time kSpanMs = 10'000, kMinLeaseMs = 1'000, kMaxLeaseMs = 5'000;

TEST(ElectionHistory, LeasesAreShortWhileLeaderChangesAreRare) {
  ElectionHistory history(kSpanMs);
  EXPECT_EQ(history.lease_length(kMinLeaseMs, kMaxLeaseMs, 0), kMinLeaseMs);
  for (std::uint64_t epoch = 40; epoch < 60; ++epoch) {
    const Time now = static_cast<Time>(epoch) * kSpanMs / 2;
    history.record_epoch(epoch, now);
    EXPECT_EQ(history.lease_length(kMinLeaseMs, kMaxLeaseMs, now), kMinLeaseMs) << epoch;
  }
}

TEST(ElectionHistory, LeasesDoubleUpToABoundAndShortenAfterAQuietSpan) {
  ElectionHistory history(kSpanMs);
  std::vector<Time> lengths;
  for (std::uint64_t epoch = 7; epoch < 14; ++epoch) {
    const Time now = 100'000 + static_cast<Time>(epoch) * 500;
    history.record_epoch(epoch, now);
    lengths.push_back(history.lease_length(kMinLeaseMs, kMaxLeaseMs, now));
  }
  EXPECT_EQ(lengths, (std::vector<Time>{1'000, 1'000, 1'000, 2'000, 4'000, 5'000, 5'000}));
  EXPECT_EQ(history.lease_length(kMinLeaseMs, kMaxLeaseMs, 106'500 + kSpanMs), kMinLeaseMs);
}

// A shortest lease of the settings that is longer than the bound takes precedence over the bound.
TEST(ElectionHistory, TheMinimumLeaseTakesPrecedenceOverTheBound) {
  ElectionHistory history(kSpanMs);
  for (std::uint64_t epoch = 1; epoch < 20; ++epoch) history.record_epoch(epoch, 1'000);
  EXPECT_EQ(history.lease_length(8'000, kMaxLeaseMs, 1'000), 8'000);
}

// Compares the history with a scan of all observed epochs. Epochs may be observed late, twice and
// out of order.
TEST(ElectionHistory, MatchesAScanOfAllObservedEpochs) {
  set_property_cases(500);
  const bool passed = rc::check([] {
    ElectionHistory history(kSpanMs);
    std::vector<std::pair<std::uint64_t, Time>> observed;
    Time now = 0;
    const int observations = *rc::gen::inRange(1, 40);
    for (int observation = 0; observation < observations; ++observation) {
      now += *rc::gen::inRange(0, 6'000);
      const auto epoch = *rc::gen::inRange<std::uint64_t>(1, 30);
      history.record_epoch(epoch, now);
      observed.emplace_back(epoch, now);
      // `epoch_before_span`: the highest epoch observed before the span, or the first epoch if
      // there is none.
      std::uint64_t highest = 0, epoch_before_span = observed.front().first;
      for (const auto& [observed_epoch, observed_at] : observed) {
        highest = std::max(highest, observed_epoch);
        if (observed_at <= now - kSpanMs)
          epoch_before_span = std::max(epoch_before_span, observed_epoch);
      }
      RC_ASSERT(history.recent_changes(now) == highest - epoch_before_span);
    }
  });
  EXPECT_TRUE(passed);
}

}  // namespace
}  // namespace sailreel
