// Messages between the leaders of different regions: packed, little-endian structs whose lengths
// are checked. They are sent in frames of kind Region over the links between controllers
// (peer_frames.hpp).
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/decoded.hpp"
#include "protocol/messages.hpp"

namespace sailreel {

/// CPUs and GPUs in thousandths. These are integers, so that sums are exact.
struct Amounts {
  std::int64_t cpus = 0, gpus = 0;

  bool operator==(const Amounts&) const = default;
  Amounts& operator+=(const Amounts& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    return *this;
  }
  Amounts& operator-=(const Amounts& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    return *this;
  }
  friend Amounts operator+(Amounts left, const Amounts& right) { return left += right; }
  friend Amounts operator-(Amounts left, const Amounts& right) { return left -= right; }
  /// These amounts with negative values replaced by 0.
  [[nodiscard]] Amounts positive() const {
    return {std::max<std::int64_t>(0, cpus), std::max<std::int64_t>(0, gpus)};
  }
  /// The smaller value in each dimension.
  [[nodiscard]] Amounts componentwise_min(const Amounts& other) const {
    return {std::min(cpus, other.cpus), std::min(gpus, other.gpus)};
  }
  /// The larger value in each dimension.
  [[nodiscard]] Amounts componentwise_max(const Amounts& other) const {
    return {std::max(cpus, other.cpus), std::max(gpus, other.gpus)};
  }
  [[nodiscard]] Amounts times(double ratio) const {
    return {static_cast<std::int64_t>(static_cast<double>(cpus) * ratio),
            static_cast<std::int64_t>(static_cast<double>(gpus) * ratio)};
  }
  /// Whether neither dimension is above 0.
  [[nodiscard]] bool none() const { return cpus <= 0 && gpus <= 0; }
  [[nodiscard]] bool fits_in(const Amounts& other) const {
    return cpus <= other.cpus && gpus <= other.gpus;
  }
};

struct TeamAmounts {
  std::string team;
  Amounts amounts;

  bool operator==(const TeamAmounts&) const = default;
};

/// Quota shares that the sender has given up and that the receiver may add to its own. `number`
/// increases by one with each transfer from one region to another, so that no transfer is credited
/// twice.
struct ShareTransfer {
  std::uint64_t number = 0;
  std::vector<TeamAmounts> amounts;
};

/// Reports that the sender of this message has credited the transfer `number` and committed the
/// credit to its checkpoint.
struct TransferAcknowledgement {
  std::uint64_t number = 0;
};

/// The share of a team's quota limit that the sender asks for.
struct DemandEntry {
  std::string team;
  Amounts wanted;
  /// The part of `wanted` that urgent work waits for. To grant it, the receiver also gives up its
  /// reserve and preempts work of the same team with a lower priority.
  Amounts urgent;
};
/// The quota shares that the sender asks the receiver for. Replaces the sender's earlier demand to
/// that receiver.
struct ShareDemand {
  /// The number of the receiver's last transfer that the sender has credited. If it is older than
  /// the last transfer that the receiver has sent, that transfer may already satisfy the demand.
  std::uint64_t credited = 0;
  std::vector<DemandEntry> entries;
};

/// The share of a team's quota limit that the sender could give up.
struct SurplusEntry {
  std::string team;
  /// `unused`: neither used nor waited for. `preemptible`: used by running work that can be
  /// preempted for urgent work of another region.
  Amounts unused, preemptible;
};
/// The quota shares that the sender could give up. Teams whose amounts have not changed may be
/// omitted.
struct ShareSurplus {
  std::vector<SurplusEntry> entries;
};

/// A message from one region's leader to another's. `kind` tells which of the last four fields is
/// set.
struct RegionMessage {
  enum class Kind : std::uint8_t { Transfer = 1, Acknowledgement = 2, Demand = 3, Surplus = 4 };
  Kind kind = Kind::Transfer;
  /// The name of the sending region.
  std::string from;
  /// The epoch of the sending leader and the number of the message within that epoch. Demands and
  /// surpluses that are older than the last one received are ignored.
  std::uint64_t epoch = 0, sequence = 0;
  ShareTransfer transfer;
  TransferAcknowledgement acknowledgement;
  ShareDemand demand;
  ShareSurplus surplus;
};

std::string encode_region_message(const RegionMessage& message);
/// Returns an error of kind `Unsupported` if the sender has a later version.
Decoded<RegionMessage> decode_region_message(std::string_view bytes);

}  // namespace sailreel
