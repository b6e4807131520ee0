// Which shard of the checkpoint each job lies in, and how full the shards are.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sailreel {

/// Jobs are not moved from one open shard to another; a job of a closed shard goes to a new one
/// when it changes, and its later record counts. The new one's number is always above that of every
/// closed shard: a reader that goes by the order of keys, as versions before gangs do, then takes
/// the latest record's shard for the job's.
class JobShards {
 public:
  /// A shard is filled up to `limit_bytes` of what its jobs reserve.
  explicit JobShards(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}

  void clear();
  /// Takes no job and isn't written any more: its value could not be read, or is larger than may be
  /// written.
  void close(std::size_t shard);
  /// A job lies there as the checkpoint has it.
  void add(const std::string& id, std::size_t shard, std::size_t reserve);
  /// The job's shard; one with room for it is chosen if it has none yet.
  std::size_t place(const std::string& id, std::size_t reserve);
  void set_reserve(const std::string& id, std::size_t reserve);
  [[nodiscard]] const std::set<std::string>& jobs_in(std::size_t shard) const {
    return shards_[shard].jobs;
  }

 private:
  struct Shard {
    std::set<std::string> jobs;
    std::size_t reserved = 0;
    bool closed = false;
  };
  struct Location {
    std::size_t shard = 0;
    std::size_t reserve = 0;
  };
  Shard& shard_at(std::size_t shard);

  std::size_t limit_bytes_;
  std::size_t first_open_ = 0;  // above every closed shard
  std::vector<Shard> shards_;
  std::unordered_map<std::string, Location> locations_;
};

}  // namespace sailreel
