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

/// What every controller understands. A feature that is on stays on: a process never restarts in an
/// older version than before, so that what is written with it will be understood.
struct Features {
  bool gangs = false;
};
std::string encode_features(const Features& features);
/// A feature that can't be decoded is taken to be off: it is then turned on once more when all
/// controllers have been heard.
Features decode_features(const json::Value& object);

struct JobRecord {
  JobSpec spec;
  Phase phase = Phase::Active;
  /// Sequence number of the checkpoint commit that the record was last changed in.
  std::uint64_t seq = 0;
  std::int64_t submitted_wall_ms = 0;
  /// Its user has asked to cancel it; its tasks are being stopped.
  bool cancel_asked = false;
  /// The job is over, and no machine can have a task of it any more.
  bool final = false;
  /// Tasks with an index below this may have been started. Committed before they are, so that a
  /// new leader knows which tasks it has to look for.
  std::uint32_t started = 0;
  Bitmap done;
};

/// A job keeps its description for as long as tasks of it may be on a machine, since they count
/// against its team's quota; a final record has only its id, phase, sequence number and size.
std::string encode_record(const JobRecord& record);
/// An error names the position of the record at fault. Of a description, only what tells jobs apart
/// is checked: values of another type are taken as 0 or empty, as they were by earlier versions.
Decoded<JobRecord> decode_record(const json::Value& value);
/// Bytes set aside in a shard for a record whose text has `text_bytes`, so that the record can grow
/// a little without being moved to another shard.
constexpr std::size_t record_reserve(bool final, std::size_t text_bytes) {
  return final ? 48 : text_bytes + 24;
}

struct LeaderRecord {
  std::string node;
  std::uint64_t epoch = 0;
  /// Differs for each campaign, so that a node recognises its own write after an unclear response.
  std::uint64_t nonce = 0;
};
std::string encode_leader(const LeaderRecord& leader);
Decoded<LeaderRecord> decode_leader(std::string_view value);

struct CachedImage {
  std::string name;
  double gb = 0;
};

struct MachineRecord {
  std::string name, address;
  /// Most recently used first. A hint for placement only: the machine may have dropped them.
  std::vector<CachedImage> images;
};
std::string encode_machines(const std::vector<MachineRecord>& machines);
/// The same in at most `limit` bytes, as far as leaving out images can achieve that: those used
/// longest ago go first, since only the machines have to be known.
std::string encode_machines_within(std::vector<MachineRecord> machines, std::size_t limit);
/// Images without a size are left out.
Decoded<MachineRecord> decode_machine(const json::Value& value);

struct Manifest {
  /// Of the latest checkpoint commit, and of the leader that wrote it.
  std::uint64_t seq = 0, epoch = 0;
  /// Requests to scale out whose machines are not all known yet.
  std::vector<ScaleOutRequest> scale_outs;
};
/// `records` are encoded job records, written into the manifest as recent records.
std::string encode_manifest(const Manifest& manifest, const std::vector<std::string>& records);
/// The requests of a manifest's value; those that can't be decoded are left out.
std::vector<ScaleOutRequest> decode_scale_outs(const json::Value& manifest);
/// A shard that consists of the encoded job records.
std::string encode_shard(const std::vector<std::string>& records);

}  // namespace sailreel
