// An in-memory copy of the checkpoint that the key-value store holds.
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

/// The decoded values of the checkpoint. A snapshot is built by applying each value that is read,
/// and kept up to date by applying changes. It owns everything that it holds.
class Snapshot {
 public:
  /// Applies a value or its deletion. Keys of values that can't be decoded are added to
  /// `unreadable`.
  void apply(const KvItem& item);

  std::optional<LeaderRecord> leader;
  std::uint64_t epoch = 0, epoch_version = 0;
  Manifest manifest;
  std::uint64_t manifest_version = 0;
  /// Jobs by id. If a job has several records, this is the one that was changed last.
  std::unordered_map<std::string, JobRecord> jobs;
  /// The shard of each job, by the job's id. Jobs that are only in the manifest have no entry.
  std::unordered_map<std::string, std::size_t> shard_of;
  /// The size in bytes of each job shard's value, by shard.
  std::map<std::size_t, std::size_t> shard_bytes;
  /// Machines by shard.
  std::map<std::size_t, std::vector<MachineRecord>> machines;
  /// Ids of the jobs whose records are in the manifest.
  std::vector<std::string> manifest_jobs;
  Features features;
  /// Undecoded values about quota shares, by key; see share_records.hpp.
  std::map<std::string, std::string> share_values;
  /// Hex digits of bitmap pieces, by job id and number of the piece.
  using Pieces = std::map<std::pair<std::string, std::size_t>, std::string>;
  Pieces bitmap_pieces, small_bitmap_pieces;
  /// Keys of values that could not be decoded completely. What these values hold is unknown, and
  /// must not be treated as missing.
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
