// Tests that leases are short while leader changes are rare, and that they double with each change
// above the usual number.
#include "controller/election_history.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

#include "support/properties.hpp"

namespace sailreel {
namespace {

constexpr Time kSpan = 10'000, kShortest = 1'000, kLongest = 5'000;

TEST(ElectionHistory, LeasesAreShortWhileLeadersChangeSeldom) {
  ElectionHistory history(kSpan);
  EXPECT_EQ(history.lease_length(kShortest, kLongest, 0), kShortest);
  for (std::uint64_t epoch = 40; epoch < 60; ++epoch) {
    const Time now = static_cast<Time>(epoch) * kSpan / 2;
    history.note(epoch, now);
    EXPECT_EQ(history.lease_length(kShortest, kLongest, now), kShortest) << epoch;
  }
}

TEST(ElectionHistory, LeasesDoubleUpToABoundAndAreShortAgainOnceItIsQuiet) {
  ElectionHistory history(kSpan);
  std::vector<Time> lengths;
  for (std::uint64_t epoch = 7; epoch < 14; ++epoch) {
    const Time now = 100'000 + static_cast<Time>(epoch) * 500;
    history.note(epoch, now);
    lengths.push_back(history.lease_length(kShortest, kLongest, now));
  }
  EXPECT_EQ(lengths, (std::vector<Time>{1'000, 1'000, 1'000, 2'000, 4'000, 5'000, 5'000}));
  EXPECT_EQ(history.lease_length(kShortest, kLongest, 106'500 + kSpan), kShortest);
}

// A shortest lease of the settings that is longer than the bound takes precedence over the bound.
TEST(ElectionHistory, TheShortestLeaseIsNeverCut) {
  ElectionHistory history(kSpan);
  for (std::uint64_t epoch = 1; epoch < 20; ++epoch) history.note(epoch, 1'000);
  EXPECT_EQ(history.lease_length(8'000, kLongest, 1'000), 8'000);
}

// Compares the history with a scan of all observed epochs. Epochs may be observed late, twice and
// out of order.
TEST(ElectionHistory, CountsWhatALookAtAllCounts) {
  fix_cases(500);
  const bool held = rc::check([] {
    ElectionHistory history(kSpan);
    std::vector<std::pair<std::uint64_t, Time>> heard;
    Time now = 0;
    const int notes = *rc::gen::inRange(1, 40);
    for (int i = 0; i < notes; ++i) {
      now += *rc::gen::inRange(0, 6'000);
      const auto epoch = *rc::gen::inRange<std::uint64_t>(1, 30);
      history.note(epoch, now);
      heard.emplace_back(epoch, now);
      // `before`: the highest epoch observed before the span, or the first epoch if there is none.
      std::uint64_t highest = 0, before = heard.front().first;
      for (const auto& [other, at] : heard) {
        highest = std::max(highest, other);
        if (at <= now - kSpan) before = std::max(before, other);
      }
      RC_ASSERT(history.recent(now) == highest - before);
    }
  });
  EXPECT_TRUE(held);
}

}  // namespace
}  // namespace sailreel
