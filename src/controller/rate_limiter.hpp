// A token bucket for the request limits of external services.
#pragma once

#include <algorithm>

#include "protocol/messages.hpp"

namespace sailreel {

/// Allows `per_second` operations a second on average and a burst of `burst` operations. The bucket
/// starts full. Spending more than is available leaves a debt that has to be refilled first. `now`
/// is in ms.
class RateLimiter {
 public:
  RateLimiter(double per_second, double burst)
      : per_second_(per_second), burst_(burst), tokens_(burst) {}

  /// The number of operations that may be sent at `now`; negative while there is a debt.
  double available(Time now) {
    const double elapsed_s = static_cast<double>(now - refilled_at_) / 1000.0;
    tokens_ = std::min(burst_, tokens_ + per_second_ * elapsed_s);
    refilled_at_ = now;
    return tokens_;
  }

  /// True if `count` operations may be sent at `now`. A count above the burst needs a full bucket.
  bool allows(double count, Time now) { return available(now) >= std::min(count, burst_); }

  /// Deducts `count` operations, whether or not they are available.
  void spend(double count, Time now) { tokens_ = available(now) - count; }

  [[nodiscard]] double burst() const { return burst_; }

 private:
  double per_second_;
  double burst_;
  double tokens_;
  Time refilled_at_ = 0;
};

}  // namespace sailreel
