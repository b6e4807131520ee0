// A copy of the checkpoint in memory, as the key-value store has it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "protocol/json.hpp"
#include "protocol/messages.hpp"
#include "storage/checkpoint_records.hpp"

namespace sailreel {

/// Built by applying each value that was read, and kept up to date by applying changes. Owns
/// everything that it holds.
class Snapshot {
 public:
  /// Takes over a value, or its deletion. Values that can't be decoded are named in `unreadable`.
  void apply(const KvItem& item);

  std::optional<LeaderRecord> leader;
  std::uint64_t epoch = 0, epoch_version = 0;
  Manifest manifest;
  std::uint64_t manifest_version = 0;
  /// By id; of several records of a job, the one that was changed last.
  std::unordered_map<std::string, JobRecord> jobs;
  /// The shard of each job by its id; jobs that are only in the manifest are missing.
  std::unordered_map<std::string, std::size_t> shard_of;
  /// Bytes of the shards' values.
  std::map<std::size_t, std::size_t> shard_bytes;
  std::map<std::size_t, std::vector<MachineRecord>> machines;
  /// Ids of the jobs whose records are in the manifest.
  std::vector<std::string> in_manifest;
  Features features;
  /// Values about quota shares, by their keys; see share_records.hpp.
  std::map<std::string, std::string> share_values;
  /// Digits of bitmaps, by job and number of the piece.
  using Pieces = std::map<std::pair<std::string, std::size_t>, std::string>;
  Pieces pieces, small_pieces;
  /// Keys of values that could not be decoded, or not as a whole. What they held is unknown, not
  /// missing.
  std::set<std::string> unreadable;

 private:
  void apply_object(const KvItem& item);
  void apply_piece(const KvItem& item, std::string_view prefix, Pieces& target);
  void apply_machines(const json::Document& doc, const std::string& key, std::size_t shard);
  void apply_manifest(const json::Document& doc, std::uint64_t version);
  void apply_jobs(const json::Document& doc, const std::string& key);
  void add_job(JobRecord record, std::optional<std::size_t> shard);
};

}  // namespace sailreel
