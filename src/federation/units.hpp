// Conversions between decimal numbers of CPUs or GPUs and thousandths of them, in which quota
// shares are counted.
#pragma once

#include <cmath>
#include <cstdint>

#include "protocol/region_frames.hpp"

namespace sailreel::federation {

inline constexpr double kThousandthsPerUnit = 1000;

/// The nearest number of thousandths.
inline std::int64_t thousandths(double units) { return std::llround(units * kThousandthsPerUnit); }

/// The number of thousandths, rounded up so that usage is never counted as less than it is. An
/// excess as small as the rounding error of a sum of decimals is not rounded up.
inline std::int64_t thousandths_rounded_up(double units) {
  constexpr double kRoundingError = 1e-3;
  return static_cast<std::int64_t>(std::ceil(units * kThousandthsPerUnit - kRoundingError));
}

/// The decimal number of CPUs or GPUs.
inline double units(std::int64_t thousandths) {
  return static_cast<double>(thousandths) / kThousandthsPerUnit;
}

}  // namespace sailreel::federation
