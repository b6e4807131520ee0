// What property tests share.
#pragma once

#include <cstdlib>
#include <string>

namespace sailreel {

/// The properties checked from now on are tried on so many cases, the same ones on every run.
inline void fix_cases(int count) {
  setenv("RC_PARAMS", ("seed=1 max_success=" + std::to_string(count)).c_str(), 1);
}

}  // namespace sailreel
