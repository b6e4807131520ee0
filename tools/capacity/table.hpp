// Computes the tables of docs/CAPACITY.md: the resources that each role needs, from measured slopes
// and a plan.
#pragma once

#include <string>

#include "capacity.pb.h"
#include "scale/plan.hpp"

namespace sailreel::capacity {

/// A least-squares line through the points of a slope, and how well it fits them.
struct Fit {
  double per_unit = 0, constant = 0;
  /// Coefficient of determination (R²): the share of the variance that the line explains.
  double determination = 0;
  /// Slope between the last two points, as a multiple of the slope between the first two: 1 if the
  /// points are on a straight line, above 1 if the curve bends upwards.
  double bend = 1;

  [[nodiscard]] double at(double x) const { return constant + per_unit * x; }
};
/// Fits a line to the points, which must be in ascending order of x. Throws scale::PlanError if
/// there are fewer than four.
Fit fit(const Slope& slope);

/// Reads measurements in protobuf text format; throws scale::PlanError if that fails.
Measurements load_measurements(const std::string& path);

/// The tables of docs/CAPACITY.md, in Markdown. Throws scale::PlanError if a slope is missing, or
/// the plan has no targets.
std::string tables(const Measurements& measurements, const scale::Plan& plan);

}  // namespace sailreel::capacity
