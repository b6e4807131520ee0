// The checkpoint's values about quota shares. A share is the part of a team's quota limit that a
// region holds. The values are the shares of this region, and the transfers of shares between this
// region and each other region.
//
//   sr/q/<team>    the share of the team's quota limit that this region holds
//   sr/t/<region>  the transfers between this region and that one
//
// Versions from before quota shares ignore both kinds of key.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "protocol/decoded.hpp"
#include "protocol/region_frames.hpp"

namespace sailreel {

inline constexpr const char* kSharePrefix = "sr/q/";
inline constexpr const char* kTransferPrefix = "sr/t/";

/// The maximum number of teams in one transfer. The commit that writes a transfer of three teams
/// has five operations, including those for the manifest and for the transfer's own key, which
/// every key-value store accepts.
inline constexpr std::size_t kTeamsPerTransfer = 3;

/// The part of a team's quota limit that this region holds.
struct ShareRecord {
  Amounts share;
  /// Used only in the region that administers the limits: the limit that the shares of all regions
  /// add up to, and the amount by which the shares still exceed the limit after it was lowered.
  Amounts limit, excess;

  bool operator==(const ShareRecord&) const = default;
};

/// The transfers between this region and another one.
struct TransferRecord {
  /// The number of the last transfer to the other region, and the number of the last transfer from
  /// it that was added to the share held here. Each is 0 before the first transfer.
  std::uint64_t sent = 0, credited = 0;
  /// The last transfer to the other region. It is sent again until the other region acknowledges
  /// it, and is empty afterwards.
  std::vector<TeamAmounts> in_transit;

  bool operator==(const TransferRecord&) const = default;
};

/// The decoded value of a `share_key`, with the team that it belongs to.
struct TeamShareValue {
  std::string team;
  ShareRecord record;
};
/// The decoded value of a `transfer_key`, with the other region that it belongs to.
struct RegionTransfersValue {
  std::string region;
  TransferRecord record;
};
using QuotaShareValue = std::variant<TeamShareValue, RegionTransfersValue>;

/// All quota shares and transfers of this region, by team and by other region.
struct ShareLedger {
  std::map<std::string, ShareRecord> teams;
  std::map<std::string, TransferRecord> regions;

  /// Sets the record of the value's team or region.
  void add(QuotaShareValue value);

  bool operator==(const ShareLedger&) const = default;
};

std::string share_key(const std::string& team);
std::string transfer_key(const std::string& region);

std::string encode_share(const std::string& team, const ShareRecord& record);
std::string encode_transfers(const std::string& region, const TransferRecord& record);
/// Decodes a value whose kind is given by its key.
Decoded<QuotaShareValue> decode_quota_share_value(std::string_view key, std::string_view value);

}  // namespace sailreel
