// Messages between the leaders of different regions: packed structs, little-endian, lengths
// checked. They travel as frames of their own kind over the links between controllers
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
  Amounts& operator+=(const Amounts& o) {
    cpus += o.cpus;
    gpus += o.gpus;
    return *this;
  }
  Amounts& operator-=(const Amounts& o) {
    cpus -= o.cpus;
    gpus -= o.gpus;
    return *this;
  }
  friend Amounts operator+(Amounts a, const Amounts& b) { return a += b; }
  friend Amounts operator-(Amounts a, const Amounts& b) { return a -= b; }
  /// What is not negative of it, by dimension.
  [[nodiscard]] Amounts positive() const {
    return {std::max<std::int64_t>(0, cpus), std::max<std::int64_t>(0, gpus)};
  }
  [[nodiscard]] Amounts at_most(const Amounts& o) const {
    return {std::min(cpus, o.cpus), std::min(gpus, o.gpus)};
  }
  [[nodiscard]] Amounts at_least(const Amounts& o) const {
    return {std::max(cpus, o.cpus), std::max(gpus, o.gpus)};
  }
  [[nodiscard]] Amounts times(double ratio) const {
    return {static_cast<std::int64_t>(static_cast<double>(cpus) * ratio),
            static_cast<std::int64_t>(static_cast<double>(gpus) * ratio)};
  }
  [[nodiscard]] bool none() const { return cpus <= 0 && gpus <= 0; }
  [[nodiscard]] bool fits_in(const Amounts& o) const { return cpus <= o.cpus && gpus <= o.gpus; }
};

struct TeamAmounts {
  std::string team;
  Amounts amounts;

  bool operator==(const TeamAmounts&) const = default;
};

/// Share of teams' limits that the sender has given up, and the receiver may add to its own. The
/// number rises by one with each transfer between the two; one that was credited is never again.
struct ShareTransfer {
  std::uint64_t number = 0;
  std::vector<TeamAmounts> amounts;
};

/// The transfer with that number is written down as credited.
struct TransferAcknowledgement {
  std::uint64_t number = 0;
};

struct DemandEntry {
  std::string team;
  Amounts wanted;
  /// The part of it that urgent work waits for: for this, reserves are given and less important
  /// work of the same team is stopped.
  Amounts urgent;
};
/// What the sender's waiting work lacks. It stands until the next one; the part asked for is of
/// this receiver alone.
struct ShareDemand {
  /// Of the receiver's transfers, the last that the sender has credited: a demand that crosses a
  /// transfer is not served again.
  std::uint64_t credited = 0;
  std::vector<DemandEntry> entries;
};

struct SurplusEntry {
  std::string team;
  /// What is neither used nor waited for, and what less important running work uses.
  Amounts unused, stoppable;
};
/// What the sender could give, as far as it has changed.
struct ShareSurplus {
  std::vector<SurplusEntry> entries;
};

struct RegionMessage {
  enum class Kind : std::uint8_t { Transfer = 1, Acknowledgement = 2, Demand = 3, Surplus = 4 };
  Kind kind = Kind::Transfer;
  std::string from;  // region
  /// Rises with each message of a leader and with each leader of the region; older demands and
  /// surpluses are ignored.
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
