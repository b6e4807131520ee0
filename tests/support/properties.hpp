// Helpers for property tests.
#pragma once

#include <cstdlib>
#include <string>

namespace sailreel {

/// Makes RapidCheck try `count` cases for each property that is checked from now on. The seed is
/// fixed, so that every run tries the same cases.
inline void set_property_cases(int count) {
  setenv("RC_PARAMS", ("seed=1 max_success=" + std::to_string(count)).c_str(), 1);
}

}  // namespace sailreel
