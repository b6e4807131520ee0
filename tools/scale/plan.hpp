// Reads and checks the plan of a scale run.
#pragma once

#include <stdexcept>
#include <string>

#include "scale.pb.h"

namespace sailreel::scale {

/// A plan that can't be run, or a machine that is too small for it. Its text is one line.
class PlanError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Reads a plan in protobuf text format; throws PlanError.
Plan load_plan(const std::string& path);

std::uint32_t total_workers(const Plan& plan);
std::uint32_t total_controllers(const Plan& plan);

}  // namespace sailreel::scale
