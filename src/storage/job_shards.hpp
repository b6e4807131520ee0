// Which shard of the checkpoint each job is stored in, and how full the shards are.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sailreel {

/// A job stays in its shard while that is open. A job of a closed shard gets another one when it
/// changes, and the later of its two records counts. The new shard's number is above that of every
/// closed shard: a reader that goes by the order of keys, as versions from before gang scheduling
/// do, then takes the shard of the later record for the job's.
///
/// Sizes are in bytes of the stored value.
class JobShards {
 public:
  /// A shard takes jobs for as long as their reserves stay within `limit_bytes`.
  explicit JobShards(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}

  void clear();
  /// The shard is neither given jobs nor written any more: its value could not be decoded, or is
  /// larger than the store accepts. Its jobs have no shard until they are assigned one.
  void close(std::size_t shard);
  /// The checkpoint has the job in that shard. Ignored if the shard is closed.
  void add(const std::string& id, std::size_t shard, std::size_t reserve);
  /// The job's shard; one with room for it is assigned if it has none yet.
  std::size_t place(const std::string& id, std::size_t reserve);
  /// The job must have a shard.
  void set_reserve(const std::string& id, std::size_t reserve);
  /// The shard must have been named by one of the other functions. Valid until the next change.
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
