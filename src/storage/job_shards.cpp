#include "storage/job_shards.hpp"

#include <algorithm>

namespace sailreel {

void JobShards::clear() {
  shards_.clear();
  locations_.clear();
  first_open_ = 0;
}

JobShards::Shard& JobShards::shard_at(std::size_t shard) {
  if (shards_.size() <= shard) shards_.resize(shard + 1);
  return shards_[shard];
}

void JobShards::close(std::size_t shard) {
  Shard& target = shard_at(shard);
  for (const std::string& id : target.jobs) locations_.erase(id);
  target = Shard{};
  target.closed = true;
  first_open_ = std::max(first_open_, shard + 1);
}

void JobShards::add(const std::string& id, std::size_t shard, std::size_t reserved_bytes) {
  Shard& target = shard_at(shard);
  if (target.closed) return;
  target.jobs.insert(id);
  target.reserved_bytes += reserved_bytes;
  locations_[id] = {shard, reserved_bytes};
}

std::size_t JobShards::place(const std::string& id, std::size_t reserved_bytes) {
  if (const auto it = locations_.find(id); it != locations_.end()) return it->second.shard;
  std::size_t shard = first_open_;
  while (shard < shards_.size() && shards_[shard].reserved_bytes + reserved_bytes > limit_bytes_)
    ++shard;
  add(id, shard, reserved_bytes);
  return shard;
}

void JobShards::set_reserve(const std::string& id, std::size_t reserved_bytes) {
  Location& location = locations_.at(id);
  Shard& shard = shards_[location.shard];
  shard.reserved_bytes = shard.reserved_bytes - location.reserved_bytes + reserved_bytes;
  location.reserved_bytes = reserved_bytes;
}

}  // namespace sailreel
