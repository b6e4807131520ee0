// Reads and checks the plan of a scale run.
#pragma once

#include <stdexcept>
#include <string>

#include "scale.pb.h"

namespace sailreel::scale {

/// Thrown if a file can't be used as input of a run, or if this machine is too small for the plan.
/// The message is one line.
class PlanError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Reads and checks a plan in protobuf text format; throws PlanError if it is invalid.
Plan load_plan(const std::string& path);

/// Sums over all regions of the plan.
std::uint32_t total_workers(const Plan& plan);
std::uint32_t total_controllers(const Plan& plan);

}  // namespace sailreel::scale
