// The arithmetic of the capacity page: from measured slopes and a plan to what each role takes.
#pragma once

#include <string>

#include "capacity.pb.h"
#include "scale/plan.hpp"

namespace sailreel::capacity {

/// A straight line through the points, and how well it describes them.
struct Fit {
  double per_unit = 0, constant = 0;
  /// Share of the variance that the line explains.
  double determination = 0;
  /// Slope between the two largest points, as a multiple of that between the two smallest: 1 is
  /// straight, above 1 bends upwards.
  double bend = 1;

  [[nodiscard]] double at(double x) const { return constant + per_unit * x; }
};
Fit fit(const Slope& slope);

/// Reads measurements in protobuf text format; throws scale::PlanError.
Measurements load_measurements(const std::string& path);

/// The page's tables, in Markdown. Throws scale::PlanError if a slope is missing, or the plan has
/// no targets.
std::string tables(const Measurements& measurements, const scale::Plan& plan);

}  // namespace sailreel::capacity
