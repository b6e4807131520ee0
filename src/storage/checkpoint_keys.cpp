#include "storage/checkpoint_keys.hpp"

#include <charconv>
#include <cstdio>

namespace sailreel {
namespace {

/// The prefix and the number, which is padded with zeros so that keys sort in numerical order.
std::string numbered_key(const char* prefix, std::size_t number) {
  char buffer[64];
  std::snprintf(buffer, sizeof buffer, "%s%06zu", prefix, number);
  return buffer;
}

}  // namespace

std::optional<std::size_t> parse_number_after(std::string_view key, std::string_view prefix) {
  if (!key.starts_with(prefix)) return {};
  key.remove_prefix(prefix.size());
  std::size_t number = 0;
  const auto [parsed_to, error] = std::from_chars(key.data(), key.data() + key.size(), number);
  if (error != std::errc() || parsed_to != key.data() + key.size()) return {};
  return number;
}

std::string shard_key(std::size_t shard) { return numbered_key(kShardPrefix, shard); }
std::optional<std::size_t> shard_number(std::string_view key) {
  return parse_number_after(key, kShardPrefix);
}

std::string bitmap_key(const std::string& job, std::size_t piece) {
  return numbered_key((kBitmapPrefix + job + "/").c_str(), piece);
}
std::string small_bitmap_key(const std::string& job, std::size_t piece) {
  return numbered_key((kSmallBitmapPrefix + job + "/").c_str(), piece);
}

std::string machines_key(std::size_t shard) { return numbered_key(kMachinesPrefix, shard); }
std::optional<std::size_t> machines_shard_number(std::string_view key) {
  return parse_number_after(key, kMachinesPrefix);
}

std::size_t machine_shard(std::string_view name) {
  const auto last_non_digit = name.find_last_not_of("0123456789");
  std::size_t number = 0;
  const char* digits =
      name.data() + (last_non_digit == std::string_view::npos ? 0 : last_non_digit + 1);
  std::from_chars(digits, name.data() + name.size(), number);
  return number / kMachinesPerShard;
}

}  // namespace sailreel
