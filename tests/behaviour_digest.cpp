// Runs seeded simulations of one kind and prints one line for each: its seed, and the digest of all
// outputs of its controllers of the present version. Equal lines for two versions of the sources
// mean that both behaved alike in that simulation.
#include "support/behaviour_digest.hpp"

#include <CLI/CLI.hpp>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "sim/simulated_federation.hpp"
#include "support/scenarios.hpp"
#ifdef SAILREEL_HAS_PRODUCTION
#include "production/production_controller.hpp"
#endif

namespace sailreel::sim {
namespace {

using DigestPointer = std::shared_ptr<BehaviourDigest>;

void record_outputs(SimulationPlan& plan, const DigestPointer& digest) {
  plan.make_controller = [digest, options = plan.options](std::size_t, const Settings& settings,
                                                          std::uint64_t seed) {
    return std::make_unique<DigestedController>(settings, options, seed, digest);
  };
}

void run_region(SimulationPlan plan, const DigestPointer& digest) {
  record_outputs(plan, digest);
  SimulatedRegion region(plan);
  region.run();
}

void run_plain(std::uint64_t seed, const DigestPointer& digest) {
  SimulationPlan plan;
  plan.seed = seed;
  run_region(plan, digest);
}

void run_gangs(std::uint64_t seed, const DigestPointer& digest) {
  SimulationPlan plan;
  plan.seed = seed;
  plan.gangs = true;
  plan.fault_pairs = true;
  plan.length = 300'000;
  if (seed % 3 == 1) plan.cancel_s = 14;
  if (seed % 4 == 0) plan.boot_ms = 1'500;
  run_region(plan, digest);
}

void run_large(std::uint64_t seed, const DigestPointer& digest) {
  SimulationPlan plan;
  plan.seed = seed;
  plan.scale = 17;
  plan.jobs = 700;
  plan.length = 200'000;
  plan.faults_until = 130'000;
  plan.fault_pairs = seed % 2 == 0;
  run_region(plan, digest);
}

void run_federated(std::uint64_t seed, const DigestPointer& digest) {
  constexpr double kRedLimit = 30, kBlueLimit = 12;
  const auto regions = 2 + seed % 2;
  const auto share = [regions](double limit) { return limit / static_cast<double>(regions); };
  FederationPlan plan;
  plan.seed = seed;
  plan.regions = regions;
  plan.initial_gpus = {{"red", share(kRedLimit)}, {"blue", share(kBlueLimit)}};
  plan.length = 240'000;
  plan.faults = true;
  plan.adjust = [&digest](std::size_t, SimulationPlan& region_plan) {
    region_plan.faults = true;
    region_plan.gangs = true;
    region_plan.jobs = 30;
    record_outputs(region_plan, digest);
  };
  SimulatedFederation federation(plan);
  pcg32 random(seed * 31);
  for (std::size_t n = 0; n < 24; ++n) {
    JobSpec spec = service_job(job_id(n), 1 + random(8));
    spec.priority = static_cast<Priority>(random(4));
    spec.spot = true;
    SimulatedRegion& region =
        federation.region(random(static_cast<std::uint32_t>(federation.regions())));
    region.submit(spec, region.now() + 10'000 + random(40'000));
    federation.run_until(federation.now() + random(8'000));
  }
  federation.run_until(230'000);
}

// Replaces controllers of the version in production one by one. The outputs of that version aren't
// recorded.
#ifdef SAILREEL_HAS_PRODUCTION
void run_upgrade(std::uint64_t seed, const DigestPointer& digest) {
  SimulationPlan plan = plan_without_faults(seed);
  plan.length = 300'000;
  plan.lowered_value_kb = 2;
  plan.lowered_txn_ops = 5;
  plan.lowered_write_rps = 20;
  plan.make_production_controller = make_production_controller;
  record_outputs(plan, digest);
  SimulatedRegion region(plan);
  region.run_until(1'000);
  submit_mixed_jobs(region, 0, 40, seed);
  region.run_until(55'000);
  region.poll_intensively(200'000);
  for (std::size_t step = 0; step < 3; ++step) {
    if (seed % 2 == 0) region.lose_write_responses(0.5, 6'000, step % 2 == 0);
    if (seed % 3 == 0) region.kill(leader_index(region), 500);
    region.run_until(region.now() + 1'000);
    region.upgrade((step + seed) % 3, 3'000);
    region.run_until(region.now() + 12'000);
  }
  region.lower_store_limits();
  for (std::size_t n = 200; n < 206; ++n) region.submit(gang_job(job_id(n), 2 + n % 5, 3, 10));
  region.run_until(region.now() + 5'000);
  region.kill(leader_index(region), 4'000);
  region.run();
}
#endif

using Runner = std::function<void(std::uint64_t seed, const DigestPointer& digest)>;

const std::map<std::string, Runner>& runners() {
  static const std::map<std::string, Runner> kRunners = {{"plain", run_plain},
                                                         {"gangs", run_gangs},
                                                         {"large", run_large},
                                                         {"federated", run_federated},
#ifdef SAILREEL_HAS_PRODUCTION
                                                         {"upgrade", run_upgrade}
#endif
  };
  return kRunners;
}

int run(int argc, char** argv) {
  constexpr int kUsageError = 2;
  std::string kind;
  std::uint64_t first = 1, count = 1;
  CLI::App app("Prints digests of the outputs of controllers in seeded simulations");
  app.add_option("--kind", kind, "plain, gangs, large, federated or upgrade")->required();
  app.add_option("--first", first, "first seed");
  app.add_option("--count", count, "number of seeds")->check(CLI::PositiveNumber);
  try {
    app.parse(argc, argv);
  } catch (const CLI::CallForHelp& help) {
    return app.exit(help);
  } catch (const CLI::ParseError& error) {
    std::fprintf(stderr, "behaviour_digest: %s\n", error.what());
    return kUsageError;
  }
  const auto runner = runners().find(kind);
  if (runner == runners().end()) {
    std::fprintf(stderr, "behaviour_digest: unknown kind of simulation '%s'\n", kind.c_str());
    return kUsageError;
  }
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const auto digest = std::make_shared<BehaviourDigest>();
    runner->second(seed, digest);
    std::printf("%s %llu %s\n", kind.c_str(), static_cast<unsigned long long>(seed),
                digest->summary().c_str());
    std::fflush(stdout);
  }
  return 0;
}

}  // namespace
}  // namespace sailreel::sim

int main(int argc, char** argv) {
  try {
    return sailreel::sim::run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "behaviour_digest: %s\n", error.what());
  } catch (...) {
    std::fprintf(stderr, "behaviour_digest: unknown exception\n");
  }
  return 1;
}
