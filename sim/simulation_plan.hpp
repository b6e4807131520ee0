// Configuration of a simulated region: its controllers and services, and the jobs and faults that
// are planned from a seed.
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
  /// The largest number of machines in each pool of the cloud.
  std::map<InstancePool, std::uint32_t> capacity;
  /// Limits of the key-value store, in requests and writes per second.
  double kv_rps = 1e9, kv_write_rps = 1e9;
  /// On average, one in this many launched machines never finishes booting; 0 means none.
  std::uint32_t one_in_never_up = 25;
  /// Start of the address that each worker gets for itself; empty: addresses are made up.
  std::string worker_address_prefix;
};

/// Simulated time that a controller's processor takes for a step, computed from the step's counted
/// work. If both costs are 0, steps take no time.
struct ProcessorCost {
  double step_ms = 0;
  /// Added for each job or machine that the step examines.
  double examine_ms = 0;

  [[nodiscard]] bool takes_time() const { return step_ms > 0 || examine_ms > 0; }
};

/// The seed of a simulation and what is planned in it. Times without a unit are in milliseconds.
struct SimulationPlan {
  std::uint64_t seed = 1;
  Time length = 240'000;
  Time faults_from = 40'000, faults_until = 170'000;
  std::uint32_t jobs = 40;
  bool faults = true;
  bool fault_pairs = false;  // plans faults that overlap, instead of single ones
  bool gangs = false;        // a third of the jobs are gangs
  double gang_wait_s = 20, gang_peer_s = 2;
  /// Lower limits of the key-value store, which are announced in the settings and take effect with
  /// `SimulatedRegion::lower_store_limits`; 0 means that none is announced.
  double lowered_value_kb = 0, lowered_write_rps = 0;
  std::uint64_t lowered_txn_ops = 0;
  /// Makes controllers of the version in production, with which the simulation then begins;
  /// `SimulatedRegion::upgrade` replaces them. Empty: the simulation begins with the present
  /// version.
  std::function<std::unique_ptr<SimulatedController>(const Settings&, std::uint64_t seed)>
      make_production_controller;
  /// Replaces the sample deployment.
  std::optional<Deployment> deployment;
  /// Makes each controller; empty: controllers of the present version run within this process.
  std::function<std::unique_ptr<SimulatedController>(std::size_t node, const Settings&,
                                                     std::uint64_t seed)>
      make_controller;
  /// The operator's options for the controllers of the present version.
  Options options;
  /// Whether messages cross real sockets. The simulation then adds no delays or random losses.
  bool over_sockets = false;
  std::uint32_t scale = 1;  // factor on the capacity and the team limits; 12 machines at 1
  double loss = 0.002;      // share of messages that are lost
  /// Share of heartbeats of which a copy is sent 1 to 41 s later.
  double late_heartbeat_copies = 0.01;
  double heartbeat_interval_s = 1, lease_s = 10, cancel_s = 30;
  /// The processor of each controller. Inputs that reach a controller while it is busy wait, and
  /// its timers fire late.
  ProcessorCost processor;
  /// The time that each machine takes to boot; 0 means a random time around that of its type.
  Time boot_ms = 0;
};

inline std::string node_name(std::size_t node) { return "node-" + std::to_string(node); }

/// Settings of a controller of the sample deployment. Limits of teams grow with `scale`.
Settings sample_settings(std::size_t node, std::uint32_t scale = 1);
/// The only machine type that the sample deployment's cloud offers.
MachineType sample_type();
/// Three controllers in two zones, with the capacity and the settings that the plan gives.
Deployment sample_deployment(const SimulationPlan& plan);

}  // namespace sailreel::sim
