// Keys of the checkpoint's values, and how much of a value is used; checkpoint.hpp lists the keys.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sailreel {

inline constexpr const char* kPrefix = "sr/";
inline constexpr const char* kLeaderKey = "sr/lead";
inline constexpr const char* kEpochKey = "sr/epoch";
inline constexpr const char* kManifestKey = "sr/head";
inline constexpr const char* kFeaturesKey = "sr/features";

inline constexpr const char* kShardPrefix = "sr/s/";
inline constexpr const char* kMachinesPrefix = "sr/m/";
inline constexpr const char* kBitmapPrefix = "sr/b/";
inline constexpr const char* kSmallBitmapPrefix = "sr/c/";

/// Fill ratios, of the store's limit on the bytes of a value. A value stays below the limit so that
/// an estimate which is a few bytes short doesn't make the store reject the write.
inline constexpr double kValueFill = 0.85;
/// What unfinished requests to scale out may take of the manifest.
inline constexpr double kScaleOutFill = 0.4;
/// A shard may grow to this before its jobs are moved to another one.
inline constexpr double kShardGrowthFill = 0.95;

std::string shard_key(std::size_t shard);
/// The number of the shard whose key this is; empty for any other key.
std::optional<std::size_t> shard_number(std::string_view key);

std::string bitmap_key(const std::string& job, std::size_t piece);
std::string small_bitmap_key(const std::string& job, std::size_t piece);

/// A constant, as versions that run side by side have to agree on it.
inline constexpr std::size_t kMachinesPerShard = 8;
std::string machines_key(std::size_t shard);
/// The number of the shard of machines whose key this is; empty for any other key.
std::optional<std::size_t> machines_shard_number(std::string_view key);
/// The cloud numbers machines in order of creation: neighbours, which change together, share a
/// shard.
std::size_t machine_shard(std::string_view name);

/// The decimal number that the key consists of after the prefix; empty for any other key.
std::optional<std::size_t> number_after(std::string_view key, std::string_view prefix);

}  // namespace sailreel
