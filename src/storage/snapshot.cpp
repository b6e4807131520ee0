#include "storage/snapshot.hpp"

#include <algorithm>

#include "storage/checkpoint_keys.hpp"
#include "storage/share_records.hpp"

namespace sailreel {

void Snapshot::apply(const KvItem& item) {
  const std::string& key = item.key;
  if (key == kLeaderKey) {
    leader = item.deleted ? std::nullopt : decode_leader(item.value).to_optional();
    return;
  }
  // Values about quota shares are kept undecoded. The code that decodes them decides how to handle
  // a damaged value.
  if (key.starts_with(kSharePrefix) || key.starts_with(kTransferPrefix)) {
    share_values[key] = item.value;
    return;
  }
  unreadable.erase(key);
  if (key.starts_with(kBitmapPrefix)) return apply_piece(item, kBitmapPrefix, bitmap_pieces);
  if (key.starts_with(kSmallBitmapPrefix))
    return apply_piece(item, kSmallBitmapPrefix, small_bitmap_pieces);
  if (item.deleted) {
    if (const auto shard = machines_shard_number(key)) machines.erase(*shard);
    return;
  }
  apply_object(item);
}

void Snapshot::apply_object(const KvItem& item) {
  const std::string& key = item.key;
  json::Document doc;
  if (!json::parse_object(item.value, doc)) {
    unreadable.insert(key);
  } else if (key == kEpochKey) {
    if (json::get(doc, "epoch", epoch))
      epoch_version = item.version;
    else
      unreadable.insert(key);
  } else if (const auto machines_shard = machines_shard_number(key)) {
    apply_machines(doc, key, *machines_shard);
  } else if (key == kManifestKey) {
    apply_manifest(doc, item.version);
  } else if (key == kFeaturesKey) {
    features = decode_features(doc);
  } else if (const auto job_shard = shard_number(key)) {
    shard_bytes[*job_shard] = item.value.size();
    apply_jobs(doc, key);
  }
}

void Snapshot::apply_piece(const KvItem& item, std::string_view prefix, Pieces& target) {
  const std::string& key = item.key;
  const auto slash = key.rfind('/');
  const std::string job = key.substr(prefix.size(), slash - prefix.size());
  const auto piece = parse_number_after(key, key.substr(0, slash + 1));
  if (!piece) return;
  if (item.deleted) {
    target.erase({job, *piece});
    return;
  }
  json::Document doc;
  std::string digits;
  if (json::parse_object(item.value, doc) && json::get(doc, "h", digits))
    target[{job, *piece}] = digits;
  else
    unreadable.insert(key);
}

void Snapshot::apply_machines(const json::Document& doc, const std::string& key,
                              std::size_t shard) {
  std::vector<MachineRecord>& records = machines[shard];
  records.clear();
  const json::Value* list = json::member(doc, "m");
  if (list == nullptr || !list->IsArray()) {
    unreadable.insert(key);
    return;
  }
  for (const auto& value : list->GetArray())
    if (auto machine = decode_machine(value))
      records.push_back(std::move(*machine));
    else
      unreadable.insert(key);
}

void Snapshot::apply_manifest(const json::Document& doc, std::uint64_t version) {
  if (!json::get(doc, "q", manifest.seq) || !json::get(doc, "e", manifest.epoch))
    unreadable.insert(kManifestKey);
  manifest_version = version;
  manifest.scale_outs = decode_scale_outs(doc);
  manifest_jobs.clear();
  apply_jobs(doc, kManifestKey);
}

/// Adds the job records of the manifest or of a shard.
void Snapshot::apply_jobs(const json::Document& doc, const std::string& key) {
  const json::Value* list = json::member(doc, "t");
  if (list == nullptr || !list->IsArray()) {
    unreadable.insert(key);
    return;
  }
  for (const auto& value : list->GetArray())
    if (auto record = decode_record(value))
      add_job(std::move(*record), shard_number(key));
    else
      unreadable.insert(key);
}

void Snapshot::add_job(JobRecord record, std::optional<std::size_t> shard) {
  const std::string id = record.spec.id;
  if (shard) {
    // A job that was moved is in several shards. Its current shard is the one with the highest
    // number; see `JobShards`.
    const auto [location, inserted] = shard_of.try_emplace(id, *shard);
    if (!inserted) location->second = std::max(location->second, *shard);
  } else {
    manifest_jobs.push_back(id);
  }
  // The record in a shard may be older than the recent record in the manifest.
  const auto it = jobs.find(id);
  if (it == jobs.end())
    jobs.emplace(id, std::move(record));
  else if (it->second.seq <= record.seq)
    it->second = std::move(record);
}

}  // namespace sailreel
