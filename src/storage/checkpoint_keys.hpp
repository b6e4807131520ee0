// The keys of the checkpoint, and limits on the sizes of their values. checkpoint.hpp describes the
// keys.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sailreel {

inline constexpr const char* kCheckpointPrefix = "sr/";
inline constexpr const char* kLeaderKey = "sr/lead";
inline constexpr const char* kEpochKey = "sr/epoch";
inline constexpr const char* kManifestKey = "sr/head";
inline constexpr const char* kFeaturesKey = "sr/features";

inline constexpr const char* kShardPrefix = "sr/s/";
inline constexpr const char* kMachinesPrefix = "sr/m/";
inline constexpr const char* kBitmapPrefix = "sr/b/";
inline constexpr const char* kSmallBitmapPrefix = "sr/c/";

/// How much of a value is used, as a fraction of the store's limit on the bytes of a value. The
/// fraction is below 1 so that the store doesn't reject a write whose estimated size was a few
/// bytes too low.
inline constexpr double kValueFill = 0.85;
/// How much of the manifest unfinished scale-out requests may take, as a fraction of the store's
/// limit on the bytes of a value.
inline constexpr double kScaleOutFill = 0.4;
/// How large a shard may grow before its jobs are moved to other shards, as a fraction of the
/// store's limit on the bytes of a value.
inline constexpr double kShardGrowthFill = 0.95;

std::string shard_key(std::size_t shard);
/// The number of the shard of jobs that has this key; empty for any other key.
std::optional<std::size_t> shard_number(std::string_view key);

std::string bitmap_key(const std::string& job, std::size_t piece);
std::string small_bitmap_key(const std::string& job, std::size_t piece);

/// Machines per shard. This is a constant because versions that run side by side have to agree on
/// it.
inline constexpr std::size_t kMachinesPerShard = 8;
std::string machines_key(std::size_t shard);
/// The number of the shard of machines that has this key; empty for any other key.
std::optional<std::size_t> machines_shard_number(std::string_view key);
/// The shard of a machine, from the number that ends its name. The cloud numbers machines in order
/// of creation, so that machines which are created one after the other, and change together, share
/// a shard.
std::size_t machine_shard(std::string_view name);

/// The decimal number that makes up the rest of the key after the prefix; empty for any other key.
std::optional<std::size_t> parse_number_after(std::string_view key, std::string_view prefix);

}  // namespace sailreel
