// Conversions between CPUs or GPUs, which are decimals, and the thousandths that quota shares are
// counted in.
#pragma once

#include <cmath>
#include <cstdint>

#include "protocol/region_frames.hpp"

namespace sailreel::federation {

inline constexpr double kThousandthsPerUnit = 1000;

/// The nearest number of thousandths.
inline std::int64_t thousandths(double units) { return std::llround(units * kThousandthsPerUnit); }

/// Rounded up, so that a use is never counted as less than it is; the rounding error of a sum of
/// decimals is not a use.
inline std::int64_t thousandths_at_least(double units) {
  constexpr double kRoundingError = 1e-3;
  return static_cast<std::int64_t>(std::ceil(units * kThousandthsPerUnit - kRoundingError));
}

inline double units(std::int64_t thousandths) {
  return static_cast<double>(thousandths) / kThousandthsPerUnit;
}

}  // namespace sailreel::federation
