// Messages between the leaders of different regions: packed structs, little-endian, with checked
// lengths. They are sent as frames of their own kind over the links between controllers
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

/// Thousandths of a CPU and of a GPU: sums of these are exact.
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
  friend Amounts operator+(Amounts a, const Amounts& b) { return a += b; }
  friend Amounts operator-(Amounts a, const Amounts& b) { return a -= b; }
  /// With 0 in place of what is negative, in each dimension.
  [[nodiscard]] Amounts positive() const {
    return {std::max<std::int64_t>(0, cpus), std::max<std::int64_t>(0, gpus)};
  }
  [[nodiscard]] Amounts at_most(const Amounts& other) const {
    return {std::min(cpus, other.cpus), std::min(gpus, other.gpus)};
  }
  [[nodiscard]] Amounts at_least(const Amounts& other) const {
    return {std::max(cpus, other.cpus), std::max(gpus, other.gpus)};
  }
  [[nodiscard]] Amounts times(double ratio) const {
    return {static_cast<std::int64_t>(static_cast<double>(cpus) * ratio),
            static_cast<std::int64_t>(static_cast<double>(gpus) * ratio)};
  }
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

/// Quota shares that the sender has given up and the receiver may add to its own. The number rises
/// by one with each transfer from one region to another, so that none is credited twice.
struct ShareTransfer {
  std::uint64_t number = 0;
  std::vector<TeamAmounts> amounts;
};

/// The receiver has committed the credit of the transfer with that number.
struct TransferAcknowledgement {
  std::uint64_t number = 0;
};

struct DemandEntry {
  std::string team;
  Amounts wanted;
  /// The part of it that urgent work waits for: for this, reserves are given, and work of the same
  /// team with a lower priority is preempted.
  Amounts urgent;
};
/// What the sender asks this receiver for. Replaces the receiver's earlier demand.
struct ShareDemand {
  /// The last of the receiver's transfers that the sender has credited: tells a demand that crossed
  /// a transfer, and may be satisfied by it, from a later one.
  std::uint64_t credited = 0;
  std::vector<DemandEntry> entries;
};

struct SurplusEntry {
  std::string team;
  /// What is neither used nor waited for, and what running work of lower priority uses.
  Amounts unused, stoppable;
};
/// What the sender could give; teams whose amounts have not changed may be left out.
struct ShareSurplus {
  std::vector<SurplusEntry> entries;
};

struct RegionMessage {
  enum class Kind : std::uint8_t { Transfer = 1, Acknowledgement = 2, Demand = 3, Surplus = 4 };
  Kind kind = Kind::Transfer;
  std::string from;  // region
  /// Of the sending leader, and of its messages: demands and surpluses that are older than the last
  /// one received are ignored.
  std::uint64_t epoch = 0, sequence = 0;
  ShareTransfer transfer;
  TransferAcknowledgement acknowledgement;
  ShareDemand demand;
  ShareSurplus surplus;
};

std::string encode_region_message(const RegionMessage& message);
/// An error of kind `Unsupported` if the sender is of a later version.
Decoded<RegionMessage> decode_region_message(std::string_view bytes);

}  // namespace sailreel
