// Tests the token bucket for the request limits of external services.
#include "controller/rate_limiter.hpp"

#include <gtest/gtest.h>

#include <pcg_random.hpp>

namespace sailreel {
namespace {

TEST(RateLimiter, BeginsFullAndRefillsAtItsRate) {
  RateLimiter limiter(10, 5);
  EXPECT_DOUBLE_EQ(limiter.available(0), 5);
  limiter.spend(5, 0);
  EXPECT_FALSE(limiter.allows(1, 99));
  EXPECT_TRUE(limiter.allows(1, 100));
  EXPECT_DOUBLE_EQ(limiter.available(60'000), 5);
}

TEST(RateLimiter, ADebtIsRefilledFirst) {
  RateLimiter limiter(10, 5);
  limiter.spend(8, 0);
  EXPECT_FALSE(limiter.allows(1, 300));
  EXPECT_TRUE(limiter.allows(1, 400));
}

TEST(RateLimiter, MoreThanTheBurstNeedsAFullBucket) {
  RateLimiter limiter(10, 5);
  EXPECT_TRUE(limiter.allows(50, 0));
  limiter.spend(1, 0);
  EXPECT_FALSE(limiter.allows(50, 50));
  EXPECT_TRUE(limiter.allows(50, 100));
}

// For any sequence of requests, no time window exceeds the rate plus one burst.
TEST(RateLimiter, NoWindowExceedsTheRatePlusOneBurst) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    pcg32 random(seed);
    RateLimiter limiter(20, 20);
    std::vector<std::pair<Time, double>> spent;
    Time now = 0;
    for (int i = 0; i < 400; ++i) {
      now += random(150);
      const double count = 1 + random(6);
      if (!limiter.allows(count, now)) continue;
      limiter.spend(count, now);
      spent.emplace_back(now, count);
    }
    ASSERT_GT(spent.size(), 50U);
    for (std::size_t first = 0; first < spent.size(); ++first) {
      double sum = 0;
      for (std::size_t last = first; last < spent.size(); ++last) {
        sum += spent[last].second;
        const double elapsed_s = static_cast<double>(spent[last].first - spent[first].first) / 1000;
        ASSERT_LE(sum, 20 + 20 * elapsed_s + 1e-6) << "seed " << seed;
      }
    }
  }
}

}  // namespace
}  // namespace sailreel
