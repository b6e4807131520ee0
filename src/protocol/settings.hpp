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

/// An aim on starting or finishing, as the settings state it.
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
    /// How long a task of a gang waits for the others, and within what time the tasks of a running
    /// gang notice that one is gone.
    double gang_wait_s = 0, gang_peer_s = 0;
  } workers;
  /// What the state service takes: the smaller of its present limits and of those announced for
  /// later (`state.next`), which come without notice.
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

/// A region whose leaders share the limits of teams with the others.
struct FederatedRegion {
  std::string name;
  /// Where its controllers take the other controllers' messages.
  std::vector<std::string> addresses;
};

/// What a region begins with of a team's limit, or adopts of a region that is lost for good.
struct ShareOption {
  std::string team, region;
  double cpus = 0, gpus = 0;
};

/// Limits of teams that span regions. Without regions, each region has the whole limit for itself.
struct FederationOptions {
  std::string region;  // this one
  /// In the same order everywhere: the first is in charge of limits.
  std::vector<FederatedRegion> regions;
  /// What the regions but the first begin with; the rest is the first one's.
  std::vector<ShareOption> shares;
  std::vector<ShareOption> adopted;
  /// Share kept for the work that follows, as a part of what is used; urgent work gets it too.
  double reserve_ratio = 0.05;

  [[nodiscard]] bool enabled() const { return !regions.empty(); }
};
/// The regions but this one, in their order.
std::vector<std::string> other_regions(const FederationOptions& options);

/// An attempt's number has the epoch above so many bits.
inline constexpr unsigned kAttemptBits = 28;
/// More than one pass of placement takes before its leader looks at what is left.
inline constexpr std::uint64_t kSpareAttempts = std::uint64_t{1} << 24;

/// What operators may set beside the platform's file. Each is a ratio to a figure of that file.
struct Options {
  /// Length of the leader's lease, as a share of the workers' lease.
  double leader_lease_ratio = 0.1;
  /// Ordinary room kept free for work to come, as a share of the room in use.
  double headroom_ratio = 0.20;
  /// How long a machine stays without work before it is returned, as a share of its boot time.
  double idle_ratio = 1.5;
  /// Share of the state service's requests that a controller uses.
  double state_share = 0.7;
  /// Share of its writes that a leader uses. The others write only when they claim the lease.
  double write_share = 0.9;
  /// Starts under one epoch, after which the leader makes room for the next. Not in the operators'
  /// file: attempt numbers hold no more than the default.
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
