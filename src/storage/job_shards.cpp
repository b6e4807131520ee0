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

void JobShards::add(const std::string& id, std::size_t shard, std::size_t reserve) {
  Shard& target = shard_at(shard);
  if (target.closed) return;
  target.jobs.insert(id);
  target.reserved += reserve;
  locations_[id] = {shard, reserve};
}

std::size_t JobShards::place(const std::string& id, std::size_t reserve) {
  if (const auto it = locations_.find(id); it != locations_.end()) return it->second.shard;
  std::size_t shard = first_open_;
  while (shard < shards_.size() && shards_[shard].reserved + reserve > limit_bytes_) ++shard;
  add(id, shard, reserve);
  return shard;
}

void JobShards::set_reserve(const std::string& id, std::size_t reserve) {
  Location& location = locations_.at(id);
  Shard& shard = shards_[location.shard];
  shard.reserved = shard.reserved - location.reserve + reserve;
  location.reserve = reserve;
}

}  // namespace sailreel
