// Records of the checkpoint and their stored form, which is JSON.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/decoded.hpp"
#include "protocol/json.hpp"
#include "protocol/messages.hpp"
#include "storage/bitmap.hpp"

namespace sailreel {

/// Features that every controller understands. A feature that is on stays on: a process never
/// restarts in an older version than it ran before, so values that are written with the feature
/// remain readable.
struct Features {
  bool gangs = false;
};
std::string encode_features(const Features& features);
/// A feature that can't be decoded counts as off. It is turned on again once every controller has
/// announced that it understands the feature.
Features decode_features(const json::Value& object);

/// A job, as stored in a shard or in the manifest.
struct JobRecord {
  JobSpec spec;
  Phase phase = Phase::Active;
  /// Sequence number of the checkpoint commit that last changed the record.
  std::uint64_t seq = 0;
  std::int64_t submitted_wall_ms = 0;
  /// A user has asked to cancel the job, and its tasks are being stopped.
  bool cancel_requested = false;
  /// The job is over, and no machine can have a task of it any more.
  bool final = false;
  /// Tasks with an index below this may have been started. The value is committed before these
  /// tasks are started, so that a new leader knows which tasks it has to look for.
  std::uint32_t started = 0;
  /// The finished tasks.
  Bitmap done;
};

/// A record keeps the job's description for as long as tasks of the job may be on a machine, since
/// these count against the team's quota. A final record has only the job's id, phase, sequence
/// number and number of tasks.
std::string encode_record(const JobRecord& record);
/// An error names the invalid field. Only the number of fields, the id, the number of tasks and the
/// phase of a final record are checked: other values of the wrong type are taken as 0 or empty, as
/// they were by earlier versions.
Decoded<JobRecord> decode_record(const json::Value& value);
/// Bytes that are set aside in a shard for a record whose text has `text_bytes` bytes. They let the
/// record grow a little without being moved to another shard.
constexpr std::size_t record_reserve(bool final, std::size_t text_bytes) {
  return final ? 48 : text_bytes + 24;
}

/// The leader, as stored under `kLeaderKey`.
struct LeaderRecord {
  std::string node;
  std::uint64_t epoch = 0;
  /// Differs for each campaign for the leadership, so that a node recognises its own write when it
  /// doesn't know whether the write succeeded.
  std::uint64_t nonce = 0;
};
std::string encode_leader(const LeaderRecord& leader);
Decoded<LeaderRecord> decode_leader(std::string_view value);

/// An image in a machine's cache.
struct CachedImage {
  std::string name;
  double gb = 0;
};

/// A machine that may hold tasks, as stored in a shard of machines.
struct MachineRecord {
  std::string name, address;
  /// Cached images, the most recently used first. They are only a hint for placement, since the
  /// machine may have evicted them.
  std::vector<CachedImage> images;
};
/// Encodes a shard of machines.
std::string encode_machines(const std::vector<MachineRecord>& machines);
/// Encodes a shard of machines in at most `limit_bytes` bytes, as far as leaving out images can
/// achieve that. The least recently used images are left out first. Images may be left out because
/// only the machines have to be known.
std::string encode_machines_within(std::vector<MachineRecord> machines, std::size_t limit_bytes);
/// Decodes one machine of a shard. Images without a size are left out.
Decoded<MachineRecord> decode_machine(const json::Value& value);

/// The manifest without its recent records.
struct Manifest {
  /// The sequence number of the latest checkpoint commit, and the epoch of the leader that wrote
  /// it.
  std::uint64_t seq = 0, epoch = 0;
  /// Scale-out requests whose machines are not all known yet.
  std::vector<ScaleOutRequest> scale_outs;
};
/// Encodes the manifest; `records` are the encoded job records that it holds as recent records.
std::string encode_manifest(const Manifest& manifest, const std::vector<std::string>& records);
/// The scale-out requests in a manifest's value. Requests that can't be decoded are left out.
std::vector<ScaleOutRequest> decode_scale_outs(const json::Value& manifest);
/// Encodes a shard of jobs, which consists of the encoded job records.
std::string encode_shard(const std::vector<std::string>& records);

}  // namespace sailreel
