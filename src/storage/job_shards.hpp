// Tracks which shard of the checkpoint each job is stored in, and how full the shards are.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sailreel {

/// Assigns jobs to shards. A job stays in its shard for as long as the shard is open. A job of a
/// closed shard is assigned another shard when it changes, and the later of its two records counts.
/// The number of the new shard is above that of every closed shard. Versions from before gang
/// scheduling read shards in the order of their keys and take the last one that contains a job as
/// the job's shard, which is therefore the shard of the later record.
///
/// Sizes are in bytes of the stored value.
class JobShards {
 public:
  /// A shard accepts jobs for as long as the sum of their reserves is within `limit_bytes`.
  explicit JobShards(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}

  void clear();
  /// Closes a shard whose value could not be decoded, or is too large to be written. A closed shard
  /// is neither assigned jobs nor written any more. Its jobs have no shard until `place` assigns
  /// them one.
  void close(std::size_t shard);
  /// Records that the checkpoint stores the job in that shard. Ignored if the shard is closed.
  void add(const std::string& id, std::size_t shard, std::size_t reserved_bytes);
  /// Returns the job's shard. A job that has none yet is assigned the first shard with room for it.
  std::size_t place(const std::string& id, std::size_t reserved_bytes);
  /// Changes the bytes that are set aside for a job, which must have a shard.
  void set_reserve(const std::string& id, std::size_t reserved_bytes);
  /// The jobs of a shard that was passed to, or returned by, another function of this object. The
  /// reference is valid until the next change.
  [[nodiscard]] const std::set<std::string>& jobs_in(std::size_t shard) const {
    return shards_[shard].jobs;
  }

 private:
  struct Shard {
    std::set<std::string> jobs;
    std::size_t reserved_bytes = 0;
    bool closed = false;
  };
  struct Location {
    std::size_t shard = 0;
    std::size_t reserved_bytes = 0;
  };
  Shard& shard_at(std::size_t shard);

  std::size_t limit_bytes_;
  std::size_t first_open_ = 0;  // the shard after the last closed one
  std::vector<Shard> shards_;
  std::unordered_map<std::string, Location> locations_;
};

}  // namespace sailreel
