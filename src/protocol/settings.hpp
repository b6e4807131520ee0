// The settings file that the platform hands over, and the operators' own options.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/messages.hpp"

namespace sailreel {

struct PeerSettings {
  std::string name, zone, address;
};

struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

/// A service-level objective on starting or finishing jobs, as the settings state it.
struct ServiceLevelObjective {
  std::string kind, job_class;
  double within_s = 0, share = 0;
};

struct Settings {
  std::string name, zone, listen, peer_listen;
  std::vector<PeerSettings> peers;
  std::string cloud, state;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<ServiceLevelObjective> objectives;
  struct {
    double heartbeat_interval_s = 0, lease_s = 0, cancel_s = 0;
    /// How long a task waits for the other tasks of its gang to start, and how soon the tasks of a
    /// running gang notice that one has exited.
    double gang_wait_s = 0, gang_peer_s = 0;
  } workers;
  /// Limits of the key-value store: the smaller of the present ones and of those announced for
  /// later
  /// (`state.next`), which may apply at any time.
  struct {
    double rps = 0, write_rps = 0, value_kb = 0;
    std::uint64_t txn_ops = 0;
  } store;
  struct {
    double rps = 0, list_lag_s = 0;
  } cloud_limits;
  struct {
    double cpu = 1, memory_mb = 0;
    std::uint64_t sockets = 0;
  } limits;
};

/// A region that has a share of the teams' quota limits.
struct FederatedRegion {
  std::string name;
  /// Where its controllers listen for other controllers.
  std::vector<std::string> addresses;
};

/// The share of a team's quota limit that a region starts with, or takes over from a region that is
/// lost for good.
struct ShareOption {
  std::string team, region;
  double cpus = 0, gpus = 0;
};

/// Quota limits that span regions. Without regions, each region has the whole limit for itself.
struct FederationOptions {
  std::string region;  // this one
  /// In the same order everywhere: the first one administers the limits.
  std::vector<FederatedRegion> regions;
  /// What all regions but the first start with; the first one gets the rest.
  std::vector<ShareOption> shares;
  std::vector<ShareOption> adopted;
  /// Reserve for work to come, as a ratio to what is used; urgent work of other regions gets it.
  double reserve_ratio = 0.05;

  [[nodiscard]] bool enabled() const { return !regions.empty(); }
};
/// All regions but this one, in the same order.
std::vector<std::string> other_regions(const FederationOptions& options);

/// The number of a task attempt has the leader's epoch above this many bits.
inline constexpr unsigned kAttemptBits = 28;
/// More attempts than one pass of placement starts before the leader checks how many are left.
inline constexpr std::uint64_t kSpareAttempts = std::uint64_t{1} << 24;

/// Settings of the operators, beside the platform's file. Each is a ratio to a value of that file.
struct Options {
  /// Duration of the leader's lease, as a share of that of the workers' lease.
  double leader_lease_ratio = 0.1;
  /// On-demand capacity kept free for work to come, as a share of what services use and wait for.
  double headroom_ratio = 0.20;
  /// Idle time before a machine is terminated, as a share of its boot time.
  double idle_ratio = 1.5;
  /// Share of the key-value store's request rate that a controller uses.
  double state_share = 0.7;
  /// Share of its write rate that a leader uses. The other nodes write only in elections.
  double write_share = 0.9;
  /// Task attempts in one epoch, after which the leader resigns and a new epoch begins. Not in the
  /// operators' file: attempt numbers have no room for more than the default.
  std::uint64_t attempts_per_epoch = (std::uint64_t{1} << kAttemptBits) - kSpareAttempts;
  FederationOptions federation;
};

class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Throws SettingsError naming the field at fault.
Settings parse_settings(std::string_view text);
void check_options(const Options& options);
/// Checks the federation against the teams and their limits.
void check_federation(const FederationOptions& options, const Settings& settings);

struct Endpoint {
  std::string host;
  int port = 0;
};
std::optional<Endpoint> parse_endpoint(std::string_view text);

}  // namespace sailreel
