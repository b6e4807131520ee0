// What a simulated region consists of, and what happens in it by itself.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "controller/controller.hpp"
#include "sim/fake_cloud.hpp"
#include "sim/simulated_controller.hpp"

namespace sailreel::sim {

/// The controllers of a region, and the services that they use.
struct Deployment {
  std::vector<Settings> controllers;
  std::vector<MachineType> types;
  /// Machines that the cloud has.
  std::map<InstancePool, std::uint32_t> capacity;
  double kv_rps = 1e9, kv_write_rps = 1e9;
  /// One in so many launched machines stays booting for ever; 0: none.
  std::uint32_t one_in_never_up = 25;
  /// Workers get an address of their own below this; empty: a made-up one.
  std::string worker_address_prefix;
};

/// What a controller's processor takes for a step, by the step's counted work. None: no time.
struct ProcessorCost {
  double step_ms = 0;
  /// For each job or machine that is examined.
  double examine_ms = 0;

  [[nodiscard]] bool takes_time() const { return step_ms > 0 || examine_ms > 0; }
};

struct SimulationPlan {
  std::uint64_t seed = 1;
  Time length = 240'000;
  Time faults_from = 40'000, faults_until = 170'000;
  std::uint32_t jobs = 40;
  bool faults = true;
  bool fault_pairs = false;  // faults that overlap, instead of single ones
  bool gangs = false;        // a third of the jobs are gangs
  double gang_wait_s = 20, gang_peer_s = 2;
  /// The key-value store's limits fall to these some time; 0: never.
  double next_value_kb = 0, next_write_rps = 0;
  std::uint64_t next_txn_ops = 0;
  /// The simulation begins with controllers of another version, which are upgraded one by one.
  std::function<std::unique_ptr<SimulatedController>(const Settings&, std::uint64_t seed)>
      production;
  /// Instead of the sample deployment.
  std::optional<Deployment> deployment;
  /// Makes each controller; empty: one of the present version within this process.
  std::function<std::unique_ptr<SimulatedController>(std::size_t node, const Settings&,
                                                     std::uint64_t seed)>
      controllers;
  /// Operators' options of the controllers of the present version.
  Options options;
  /// Messages cross real sockets, which delay and lose them by themselves.
  bool over_sockets = false;
  std::uint32_t scale = 1;  // of the capacity and the teams; 12 machines at 1
  double loss = 0.002;
  double late_copies = 0.01;
  double heartbeat_interval_s = 1, lease_s = 10, cancel_s = 30;
  /// Of each controller. What reaches it while it is busy waits, and its timers fire late.
  ProcessorCost processor;
  /// Machines are up after so long, whatever their type says; 0: as it says.
  Time boots_ms = 0;
};

inline std::string node_name(std::size_t node) { return "node-" + std::to_string(node); }

Settings sample_settings(std::size_t node, std::uint32_t scale = 1);
/// The only type of machine that the sample deployment's cloud offers.
MachineType sample_type();
/// Three controllers in two zones, changed as the plan says.
Deployment sample_deployment(const SimulationPlan& plan);

}  // namespace sailreel::sim
