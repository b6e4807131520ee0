// Jobs that need a very small part of a machine, one for each way in which the autoscaler counts
// waiting work.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "support/scenarios.hpp"

namespace sailreel::sim {

/// A named job that needs less than a hundredth of a machine of the sample type.
struct SmallJob {
  const char* name;
  JobSpec spec;
};
// NOLINTNEXTLINE(readability-identifier-naming): GoogleTest looks for this name
inline void PrintTo(const SmallJob& job, std::ostream* out) { *out << job.name; }
inline std::string small_job_name(const ::testing::TestParamInfo<SmallJob>& info) {
  return info.param.name;
}

/// An array of one task that needs a thousandth of a machine and may run on on-demand instances
/// only.
inline JobSpec small_array(const std::string& id) {
  constexpr double kRunS = 60;
  JobSpec spec = array_job(id, 1, kRunS);
  spec.need = {0.016, 0, 0.128};
  spec.image_gb = 1;
  spec.spot = false;
  return spec;
}

/// Small jobs of each kind, all with this id.
inline std::vector<SmallJob> small_jobs_of_all_kinds(const std::string& id) {
  std::vector<SmallJob> jobs;
  const auto add = [&](const char* name, auto change) {
    SmallJob job{name, small_array(id)};
    change(job.spec);
    jobs.push_back(std::move(job));
  };
  add("Array", [](JobSpec&) {});
  add("SpotArray", [](JobSpec& spec) { spec.spot = true; });
  add("ArrayWithoutGuarantee", [](JobSpec& spec) { spec.team = "guest"; });
  add("SpotArrayWithoutGuarantee", [](JobSpec& spec) {
    spec.spot = true;
    spec.team = "guest";
  });
  add("ArrayOfManyTasks", [](JobSpec& spec) { spec.tasks = 5; });
  add("ArrayInANamedZone", [](JobSpec& spec) { spec.zone = "za"; });
  add("ArrayInOneZone", [](JobSpec& spec) { spec.one_zone = true; });
  add("MemoryOnly", [](JobSpec& spec) { spec.need = {0, 0, 0.128}; });
  add("SpotMemoryOnly", [](JobSpec& spec) {
    spec.need = {0, 0, 0.128};
    spec.spot = true;
  });
  add("FractionOfAGpu", [](JobSpec& spec) { spec.need.gpus = 0.008; });
  add("Service", [](JobSpec& spec) {
    spec.kind = JobKind::Service;
    spec.estimate_s = 0;
  });
  add("Gang", [](JobSpec& spec) {
    spec.kind = JobKind::Gang;
    spec.tasks = 3;
  });
  return jobs;
}

}  // namespace sailreel::sim
