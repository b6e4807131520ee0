// The settings file that the platform provides, and the options that operators choose.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/messages.hpp"

namespace sailreel {

/// Another controller of this region.
struct PeerSettings {
  std::string name, zone, address;
};

/// A team's guaranteed quota (`cpus`, `gpus`) and its quota limit (`cpus_max`, `gpus_max`).
struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

/// A service-level objective for starting or finishing jobs, as given in the settings.
struct ServiceLevelObjective {
  std::string kind, job_class;
  double within_s = 0, share = 0;
};

/// The contents of the settings file.
struct Settings {
  std::string name, zone, listen, peer_listen;
  std::vector<PeerSettings> peers;
  std::string cloud_endpoint, store_endpoint;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<ServiceLevelObjective> objectives;
  struct {
    double heartbeat_interval_s = 0, lease_s = 0, cancel_s = 0;
    /// `gang_wait_s`: how long a task waits for the other tasks of its gang to start.
    /// `gang_peer_s`: how soon the tasks of a running gang notice that one of them has exited.
    double gang_wait_s = 0, gang_peer_s = 0;
  } workers;
  /// Limits of the key-value store. Each is the smaller one of the present limit and the limit that
  /// is announced for later (`state.next`), because the announced limits may apply at any time.
  struct {
    double rps = 0, write_rps = 0, value_kb = 0;
    std::uint64_t txn_ops = 0;
  } store_limits;
  /// `list_lag_s`: the delay after which the cloud provider's list of machines shows a change.
  struct {
    double rps = 0, list_lag_s = 0;
  } cloud_limits;
  /// Resource limits of this process.
  struct {
    double cpu = 1, memory_mb = 0;
    std::uint64_t sockets = 0;
  } process_limits;
};

/// A region that has a share of the teams' quota limits.
struct FederatedRegion {
  std::string name;
  /// The addresses where the region's controllers accept connections from other controllers.
  std::vector<std::string> addresses;
};

/// The share of a team's quota limit that a region starts with, or that the first region takes over
/// from a region that is permanently lost.
struct ShareOption {
  std::string team, region;
  double cpus = 0, gpus = 0;
};

/// Options for quota limits that span regions. If `regions` is empty, this region has the whole
/// limit of each team.
struct FederationOptions {
  /// The name of this region.
  std::string region;
  /// All regions, in the same order in every region. The first one administers the limits.
  std::vector<FederatedRegion> regions;
  /// The shares that all regions except the first start with. The first region gets the rest.
  std::vector<ShareOption> shares;
  /// Shares of regions that are permanently lost. The first region takes them over.
  std::vector<ShareOption> adopted;
  /// The reserve for future work, relative to what is used. Urgent work of other regions may get
  /// it.
  double reserve_ratio = 0.05;

  [[nodiscard]] bool enabled() const { return !regions.empty(); }
};
/// The names of all regions except this one, in the order of `FederationOptions::regions`.
std::vector<std::string> other_regions(const FederationOptions& options);

/// The number of low bits in a task attempt's number that count the attempts of one epoch. The
/// higher bits hold the leader's epoch.
inline constexpr unsigned kAttemptBits = 28;
/// Attempt numbers that are kept free at the end of an epoch. One scheduling pass starts fewer
/// attempts than this before the leader checks how many numbers are left.
inline constexpr std::uint64_t kReservedAttemptNumbers = std::uint64_t{1} << 24;

/// Options that operators choose in addition to the platform's settings file. Most are ratios to a
/// value in that file or to an amount in use.
struct Options {
  /// Duration of the leader's lease, relative to the duration of the workers' lease.
  double leader_lease_ratio = 0.1;
  /// On-demand capacity that is kept free for future work, relative to the on-demand capacity that
  /// is in use or waited for.
  double headroom_ratio = 0.20;
  /// Idle time after which a machine is terminated, relative to its boot time.
  double idle_ratio = 1.5;
  /// Share of the key-value store's request rate limit that a controller uses.
  double state_share = 0.7;
  /// Share of the key-value store's write rate limit that a leader uses. The other controllers
  /// write only in elections.
  double write_share = 0.9;
  /// Number of task attempts in one epoch after which the leader resigns and a new epoch begins. It
  /// can't be set in the options file, because attempt numbers have no room for more than the
  /// default.
  std::uint64_t attempts_per_epoch = (std::uint64_t{1} << kAttemptBits) - kReservedAttemptNumbers;
  FederationOptions federation;
};

/// An invalid setting or option. The message names the field.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Parses the settings file. Throws SettingsError, which names the invalid field.
Settings parse_settings(std::string_view text);
/// Throws SettingsError if an option is out of range.
void check_options(const Options& options);
/// Checks the federation options against the teams and their limits. Throws SettingsError if they
/// are invalid.
void check_federation(const FederationOptions& options, const Settings& settings);

/// An IPv4 address in dotted notation and a port.
struct Endpoint {
  std::string host;
  int port = 0;
};
/// Parses "host:port". Empty if the text has another form.
std::optional<Endpoint> parse_endpoint(std::string_view text);

}  // namespace sailreel
