// The layout of what outlives a process: keys and values in the state service.
//
//   sr/lead          who leads; tied to the leader's lease, gone with it
//   sr/epoch         the highest epoch ever granted; every write is conditional on its version
//   sr/head          the checkpoint's sequence, open rentals, and the jobs changed last
//   sr/s/<shard>     jobs, some twenty active or some hundreds of finished ones to a shard
//   sr/b/<job>/<n>   finished tasks of large arrays, a piece of the bitmap each
//   sr/c/<job>/<n>   the same in smaller pieces, where the others are too large to be written;
//                    versions before gangs don't read these
//   sr/features      what every controller understands; versions before gangs ignore it
//   sr/m/<shard>     machines that may hold tasks, and their addresses
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "protocol/json.hpp"
#include "protocol/messages.hpp"

namespace sailreel {

inline constexpr const char* kPrefix = "sr/";
inline constexpr const char* kLeaderKey = "sr/lead";
inline constexpr const char* kEpochKey = "sr/epoch";
inline constexpr const char* kManifestKey = "sr/head";

inline constexpr const char* kShardPrefix = "sr/s/";
inline constexpr const char* kMachinesPrefix = "sr/m/";
inline constexpr const char* kBitmapPrefix = "sr/b/";
inline constexpr const char* kSmallBitmapPrefix = "sr/c/";
inline constexpr const char* kFeaturesKey = "sr/features";

/// Share of a value's limit that is used, so that a miscounted byte is no refused write.
inline constexpr double kValueFill = 0.85;

/// Share of a value's limit that open rentals may take of the head.
inline constexpr double kScaleOutFill = 0.4;
/// A shard may grow to this share of a value's limit before its jobs go elsewhere.
inline constexpr double kShardGrowthFill = 0.95;

std::string shard_key(std::size_t shard);
/// The shard that the key is of, if it is one's.
std::optional<std::size_t> shard_number(std::string_view key);
std::string bitmap_key(const std::string& job, std::size_t piece);
std::string small_bitmap_key(const std::string& job, std::size_t piece);
/// The value of a piece, whose digits are those of `Bitmap::hex`.
std::string encode_piece(const std::string& digits);
std::string machines_key(std::size_t shard);
/// Fixed, as versions that run side by side have to agree on it.
inline constexpr std::size_t kMachinesPerShard = 8;
/// Machines are numbered by the cloud in order of creation, so neighbours share a shard.
std::size_t machine_shard(std::string_view name);

/// Which tasks of a job are finished.
class Bitmap {
 public:
  explicit Bitmap(std::size_t size = 0) : size_(size), words_((size + 63) / 64) {}
  /// False if it was set already.
  bool set(std::size_t i) {
    auto& w = words_[i / 64];
    const std::uint64_t bit = std::uint64_t{1} << (i % 64);
    if ((w & bit) != 0) return false;
    w |= bit;
    ++count_;
    return true;
  }
  [[nodiscard]] bool test(std::size_t i) const {
    return i < size_ && (words_[i / 64] >> (i % 64) & 1) != 0;
  }
  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] std::size_t count() const { return count_; }

  /// Bits from `first` on, at most `n`, as hex digits of four bits each.
  [[nodiscard]] std::string hex(std::size_t first, std::size_t n) const;
  /// Adds the bits that the digits stand for; what lies beyond the end is ignored.
  void merge_hex(std::size_t first, std::string_view digits);

 private:
  std::size_t size_ = 0, count_ = 0;
  std::vector<std::uint64_t> words_;
};

/// A bitmap of at most so many tasks lies within the job's record; larger ones in pieces.
inline constexpr std::size_t kBitsPerDigit = 4;
inline constexpr std::size_t kInlineBits = 512;
inline constexpr std::size_t kPieceBits = 8192;
/// A small piece: four tasks a digit, so that it fits into the smallest value that settings allow.
inline constexpr std::size_t kSmallPieceBits = 2048;

/// What every controller understands, once that is so. It stays so: a process that is started again
/// never runs an older version than before.
struct Features {
  bool gangs = false;
};
std::string encode_features(const Features& features);

struct JobRecord {
  JobSpec spec;
  Phase phase = Phase::Active;
  std::uint64_t seq = 0;  // of the checkpoint that it was changed in
  std::int64_t submitted_wall_ms = 0;
  /// Its user has asked to cancel it; its tasks are being stopped.
  bool cancel_asked = false;
  /// Over, and surely none of its tasks is left on any machine.
  bool final = false;
  /// Starts may have been sent for the tasks below this number. Written before they are.
  std::uint32_t started = 0;
  Bitmap done;
};

/// A job carries its description for as long as tasks of it may be on a machine, since they count
/// against its team; then it shrinks to its id, phase and size.
std::string encode_record(const JobRecord& record);
/// What is set aside for a record in its shard, so that small changes of it fit where it lies.
constexpr std::size_t record_reserve(bool final, std::size_t text_bytes) {
  return final ? 48 : text_bytes + 24;
}

struct LeaderRecord {
  std::string node;
  std::uint64_t epoch = 0, nonce = 0;
};
std::string encode_leader(const LeaderRecord& leader);
std::optional<LeaderRecord> decode_leader(std::string_view value);

struct CachedImage {
  std::string name;
  double gb = 0;
};

struct MachineRecord {
  std::string name, address;
  std::vector<CachedImage> images;  // most recently used first; a hint, not a promise
};
std::string encode_machines(const std::vector<MachineRecord>& machines);
/// The same within `limit` bytes: only the machines have to be known, so the images that were used
/// longest ago are left out where they don't fit.
std::string encode_machines_within(std::vector<MachineRecord> machines, std::size_t limit);

struct Manifest {
  std::uint64_t seq = 0, epoch = 0;
  std::vector<ScaleOutRequest> scale_outs;
};
std::string encode_manifest(const Manifest& manifest, const std::vector<std::string>& records);
std::string encode_shard(const std::vector<std::string>& records);

/// A node's picture of the checkpoint, kept by reading keys or their changes.
class Snapshot {
 public:
  void apply(const KvItem& item);

  std::optional<LeaderRecord> leader;
  std::uint64_t epoch = 0, epoch_version = 0;
  Manifest manifest;
  std::uint64_t manifest_version = 0;
  std::unordered_map<std::string, JobRecord> jobs;
  /// Which shard a job lies in; jobs that are in the head alone are missing.
  std::unordered_map<std::string, std::size_t> shard_of;
  /// How long the shards' values are.
  std::map<std::size_t, std::size_t> shard_bytes;
  std::map<std::size_t, std::vector<MachineRecord>> machines;
  std::vector<std::string> in_manifest;
  Features features;
  /// Values about shares of teams' limits, by their keys; see share_records.hpp.
  std::map<std::string, std::string> share_values;
  /// Digits of bitmaps, by job and number of the piece.
  using Pieces = std::map<std::pair<std::string, std::size_t>, std::string>;
  Pieces pieces, small_pieces;
  /// Keys of values that could not be understood, or not as a whole. What they held is unknown,
  /// not missing.
  std::set<std::string> unreadable;

 private:
  void apply_piece(const KvItem& item, std::string_view prefix, Pieces& target);
  void apply_features(const json::Document& doc);
  void apply_machines(const json::Document& doc, const std::string& key, std::size_t shard);
  void apply_manifest(const json::Document& doc, std::uint64_t version);
  void apply_jobs(const json::Document& doc, const std::string& key);
};

}  // namespace sailreel
