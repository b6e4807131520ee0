// The checkpoint's values about quota shares: the part of each team's quota limit that this region
// holds, and the transfers of such parts to and from each other region.
//
//   sr/q/<team>    the share of the team's quota limit that this region holds
//   sr/t/<region>  the transfers between this region and that one
//
// Versions from before quota shares ignore both.
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

/// Teams in one transfer, at most: together with the manifest and the transfer's own key, the
/// commit that writes it then has five operations, which every key-value store accepts.
inline constexpr std::size_t kTeamsPerTransfer = 3;

/// What a region holds of a team's quota limit.
struct ShareRecord {
  Amounts share;
  /// Only in the region that administers the limits: the limit that all regions' shares add up to,
  /// and by how much they still exceed it after it was lowered.
  Amounts limit, excess;

  bool operator==(const ShareRecord&) const = default;
};

/// The transfers between this region and another one.
struct TransferRecord {
  /// Number of the last transfer to it, and of the last one from it that was added to the share
  /// held here. Either is 0 before the first.
  std::uint64_t sent = 0, credited = 0;
  /// The last transfer to it, which is sent again until it is acknowledged; empty afterwards.
  std::vector<TeamAmounts> in_transit;

  bool operator==(const TransferRecord&) const = default;
};

/// One value of the checkpoint, with the team or the region that it is about.
struct TeamShareValue {
  std::string team;
  ShareRecord record;
};
struct RegionTransfersValue {
  std::string region;
  TransferRecord record;
};
using QuotaShareValue = std::variant<TeamShareValue, RegionTransfersValue>;

/// All quota shares and transfers of this region, by team and by other region.
struct ShareLedger {
  std::map<std::string, ShareRecord> teams;
  std::map<std::string, TransferRecord> regions;

  /// Replaces what was known of the value's team or region.
  void add(QuotaShareValue value);

  bool operator==(const ShareLedger&) const = default;
};

std::string share_key(const std::string& team);
std::string transfer_key(const std::string& region);

std::string encode_share(const std::string& team, const ShareRecord& record);
std::string encode_transfers(const std::string& region, const TransferRecord& record);
/// What the value holds; the key tells which kind it is.
Decoded<QuotaShareValue> decode_quota_share_value(std::string_view key, std::string_view value);

}  // namespace sailreel
