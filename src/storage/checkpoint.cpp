#include "storage/checkpoint.hpp"

#include <charconv>
#include <cstdio>

#include "protocol/json.hpp"
#include "storage/share_records.hpp"

namespace sailreel {
namespace {

std::string numbered(const char* prefix, std::size_t n) {
  char buffer[64];
  std::snprintf(buffer, sizeof buffer, "%s%06zu", prefix, n);
  return buffer;
}

std::optional<std::size_t> number_after(std::string_view key, std::string_view prefix) {
  if (!key.starts_with(prefix)) return {};
  key.remove_prefix(prefix.size());
  std::size_t n = 0;
  const auto [p, ec] = std::from_chars(key.data(), key.data() + key.size(), n);
  if (ec != std::errc() || p != key.data() + key.size()) return {};
  return n;
}

std::string as_text(const json::Value& v) {
  return v.IsString() ? std::string(v.GetString(), v.GetStringLength()) : std::string();
}

bool decode_record(const json::Value& v, JobRecord& r) {
  constexpr unsigned kFinal = 4, kActive = 23;
  if (!v.IsArray() || (v.Size() != kFinal && v.Size() != kActive)) return false;
  const auto number = [&](unsigned i) { return v[i].IsNumber() ? v[i].GetDouble() : 0.0; };
  const auto whole = [&](unsigned i) { return v[i].IsUint64() ? v[i].GetUint64() : 0; };
  JobSpec& s = r.spec;
  s.id = as_text(v[0]);
  r.phase = static_cast<Phase>(whole(1));
  r.seq = whole(2);
  s.tasks = static_cast<std::uint32_t>(whole(3));
  if (s.id.empty() || s.tasks == 0) return false;
  r.final = v.Size() == kFinal;
  if (r.final) return r.phase == Phase::Done || r.phase == Phase::Cancelled;
  s.job_class = as_text(v[4]);
  s.team = as_text(v[5]);
  s.kind = static_cast<JobKind>(whole(6));
  s.priority = static_cast<Priority>(whole(7));
  s.need = {number(8), number(9), number(10)};
  s.image = as_text(v[11]);
  s.image_gb = number(12);
  s.any_type = !v[13].IsArray();
  if (v[13].IsArray())
    for (const auto& t : v[13].GetArray()) s.types.push_back(as_text(t));
  s.zone = as_text(v[14]);
  const std::uint64_t flags = whole(15);
  s.one_zone = (flags & 1) != 0;
  s.spread = (flags & 2) != 0;
  s.spot = (flags & 4) != 0;
  r.cancel_asked = (flags & 8) != 0;
  s.estimate_s = number(16);
  s.checkpoint_s = number(17);
  s.save_s = number(18);
  if (v[19].IsNumber()) s.deadline_s = v[19].GetDouble();
  r.submitted_wall_ms = static_cast<std::int64_t>(whole(20));
  r.done = Bitmap(s.tasks);
  r.done.merge_hex(0, as_text(v[21]));
  r.started = static_cast<std::uint32_t>(whole(22));
  return true;
}

std::string list_of(const char* field, const std::vector<std::string>& records) {
  std::string out = std::string("\"") + field + "\":[";
  for (std::size_t i = 0; i < records.size(); ++i) {
    if (i != 0) out += ',';
    out += records[i];
  }
  return out + "]";
}

}  // namespace

std::string shard_key(std::size_t shard) { return numbered(kShardPrefix, shard); }
std::optional<std::size_t> shard_number(std::string_view key) {
  return number_after(key, kShardPrefix);
}
std::string bitmap_key(const std::string& job, std::size_t piece) {
  return numbered((kBitmapPrefix + job + "/").c_str(), piece);
}
std::string small_bitmap_key(const std::string& job, std::size_t piece) {
  return numbered((kSmallBitmapPrefix + job + "/").c_str(), piece);
}
std::string encode_piece(const std::string& digits) { return "{\"h\":\"" + digits + "\"}"; }
std::string encode_features(const Features& features) {
  return std::string("{\"gangs\":") + (features.gangs ? "true" : "false") + "}";
}
std::string machines_key(std::size_t shard) { return numbered(kMachinesPrefix, shard); }

std::size_t machine_shard(std::string_view name) {
  const auto last = name.find_last_not_of("0123456789");
  std::size_t n = 0;
  const char* first = name.data() + (last == std::string_view::npos ? 0 : last + 1);
  std::from_chars(first, name.data() + name.size(), n);
  return n / kMachinesPerShard;
}

std::string Bitmap::hex(std::size_t first, std::size_t n) const {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  const std::size_t end = std::min(size_, first + n);
  out.reserve((end - std::min(end, first) + 3) / 4);
  for (std::size_t i = first; i < end; i += 4) {
    unsigned digit = 0;
    for (std::size_t b = 0; b < 4; ++b)
      if (test(i + b)) digit |= 1U << b;
    out += kDigits[digit];
  }
  return out;
}

void Bitmap::merge_hex(std::size_t first, std::string_view digits) {
  for (std::size_t i = 0; i < digits.size(); ++i) {
    const char c = digits[i];
    const unsigned digit = c >= '0' && c <= '9'   ? static_cast<unsigned>(c - '0')
                           : c >= 'a' && c <= 'f' ? static_cast<unsigned>(c - 'a' + 10)
                                                  : 0;
    for (std::size_t b = 0; b < 4; ++b)
      if ((digit >> b & 1) != 0 && first + i * 4 + b < size_) set(first + i * 4 + b);
  }
}

std::string encode_record(const JobRecord& r) {
  rapidjson::StringBuffer b;
  json::Writer w(b);
  const JobSpec& s = r.spec;
  w.StartArray();
  json::put(w, s.id);
  w.Uint(static_cast<unsigned>(r.phase));
  w.Uint64(r.seq);
  w.Uint(s.tasks);
  if (!r.final) {
    json::put(w, s.job_class);
    json::put(w, s.team);
    w.Uint(static_cast<unsigned>(s.kind));
    w.Uint(static_cast<unsigned>(s.priority));
    w.Double(s.need.cpus);
    w.Double(s.need.gpus);
    w.Double(s.need.memory_gb);
    json::put(w, s.image);
    w.Double(s.image_gb);
    if (s.any_type) {
      w.Null();
    } else {
      w.StartArray();
      for (const auto& t : s.types) json::put(w, t);
      w.EndArray();
    }
    json::put(w, s.zone);
    w.Uint((s.one_zone ? 1U : 0U) | (s.spread ? 2U : 0U) | (s.spot ? 4U : 0U) |
           (r.cancel_asked ? 8U : 0U));
    w.Double(s.estimate_s);
    w.Double(s.checkpoint_s);
    w.Double(s.save_s);
    if (s.deadline_s)
      w.Double(*s.deadline_s);
    else
      w.Null();
    w.Uint64(static_cast<std::uint64_t>(r.submitted_wall_ms));
    json::put(w, s.kind != JobKind::Service && s.tasks <= kInlineBits ? r.done.hex(0, kInlineBits)
                                                                      : std::string());
    w.Uint(r.started);
  }
  w.EndArray();
  return json::text(b);
}

std::string encode_leader(const LeaderRecord& leader) {
  rapidjson::StringBuffer b;
  json::Writer w(b);
  w.StartObject();
  w.Key("node");
  json::put(w, leader.node);
  w.Key("epoch");
  w.Uint64(leader.epoch);
  w.Key("nonce");
  w.Uint64(leader.nonce);
  w.EndObject();
  return json::text(b);
}

std::optional<LeaderRecord> decode_leader(std::string_view value) {
  json::Document doc;
  LeaderRecord l;
  if (!json::parse_object(value, doc) || !json::get(doc, "node", l.node) ||
      !json::get(doc, "epoch", l.epoch))
    return {};
  json::get(doc, "nonce", l.nonce);
  return l;
}

std::string encode_machines(const std::vector<MachineRecord>& machines) {
  rapidjson::StringBuffer b;
  json::Writer w(b);
  w.StartObject();
  w.Key("m");
  w.StartArray();
  for (const auto& m : machines) {
    w.StartArray();
    json::put(w, m.name);
    json::put(w, m.address);
    for (const auto& image : m.images) {
      json::put(w, image.name);
      w.Double(image.gb);
    }
    w.EndArray();
  }
  w.EndArray();
  w.EndObject();
  return json::text(b);
}

std::string encode_machines_within(std::vector<MachineRecord> machines, std::size_t limit) {
  std::size_t images = 0;
  for (const MachineRecord& machine : machines) images = std::max(images, machine.images.size());
  std::string value = encode_machines(machines);
  while (value.size() > limit && images > 0) {
    images = images * 3 / 4;
    for (MachineRecord& machine : machines)
      if (machine.images.size() > images) machine.images.resize(images);
    value = encode_machines(machines);
  }
  return value;
}

std::string encode_manifest(const Manifest& manifest, const std::vector<std::string>& records) {
  rapidjson::StringBuffer b;
  json::Writer w(b);
  w.StartArray();
  for (const auto& r : manifest.scale_outs) {
    w.StartArray();
    json::put(w, r.request);
    json::put(w, r.type);
    json::put(w, r.zone);
    w.Bool(r.spot);
    w.Uint(r.count);
    w.EndArray();
  }
  w.EndArray();
  return "{\"q\":" + std::to_string(manifest.seq) + ",\"e\":" + std::to_string(manifest.epoch) +
         ",\"r\":" + json::text(b) + "," + list_of("t", records) + "}";
}

std::string encode_shard(const std::vector<std::string>& records) {
  return "{" + list_of("t", records) + "}";
}

void Snapshot::apply(const KvItem& item) {
  const std::string& key = item.key;
  if (key == kLeaderKey) {
    leader = item.deleted ? std::nullopt : decode_leader(item.value);
    return;
  }
  // Who reads them decides what it means that one can't be read.
  if (key.starts_with(kSharePrefix) || key.starts_with(kTransferPrefix)) {
    share_values[key] = item.value;
    return;
  }
  unreadable.erase(key);
  if (key.starts_with(kBitmapPrefix)) return apply_piece(item, kBitmapPrefix, pieces);
  if (key.starts_with(kSmallBitmapPrefix))
    return apply_piece(item, kSmallBitmapPrefix, small_pieces);
  if (item.deleted) {
    if (const auto shard = number_after(key, kMachinesPrefix)) machines.erase(*shard);
    return;
  }
  json::Document doc;
  if (!json::parse_object(item.value, doc)) {
    unreadable.insert(key);
  } else if (key == kEpochKey) {
    if (json::get(doc, "epoch", epoch))
      epoch_version = item.version;
    else
      unreadable.insert(key);
  } else if (const auto shard = number_after(key, kMachinesPrefix)) {
    apply_machines(doc, key, *shard);
  } else if (key == kManifestKey) {
    apply_manifest(doc, item.version);
  } else if (key == kFeaturesKey) {
    apply_features(doc);
  } else if (const auto job_shard = shard_number(key)) {
    shard_bytes[*job_shard] = item.value.size();
    apply_jobs(doc, key);
  }
}

// What can't be read of it is taken for missing: then gangs wait until all controllers have been
// heard again.
void Snapshot::apply_features(const json::Document& doc) {
  features = Features{};
  json::get(doc, "gangs", features.gangs);
}

void Snapshot::apply_piece(const KvItem& item, std::string_view prefix, Pieces& target) {
  const std::string& key = item.key;
  const auto slash = key.rfind('/');
  const std::string job = key.substr(prefix.size(), slash - prefix.size());
  const auto piece = number_after(key, key.substr(0, slash + 1));
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
  auto& list = machines[shard];
  list.clear();
  const json::Value* values = json::member(doc, "m");
  if (values == nullptr || !values->IsArray()) {
    unreadable.insert(key);
    return;
  }
  for (const auto& v : values->GetArray()) {
    if (!v.IsArray() || v.Size() < 2 || !v[0].IsString()) {
      unreadable.insert(key);
      continue;
    }
    MachineRecord record{as_text(v[0]), as_text(v[1]), {}};
    for (rapidjson::SizeType i = 2; i + 1 < v.Size(); i += 2)
      if (v[i + 1].IsNumber()) record.images.push_back({as_text(v[i]), v[i + 1].GetDouble()});
    list.push_back(std::move(record));
  }
}

void Snapshot::apply_manifest(const json::Document& doc, std::uint64_t version) {
  if (!json::get(doc, "q", manifest.seq) || !json::get(doc, "e", manifest.epoch))
    unreadable.insert(kManifestKey);
  manifest_version = version;
  manifest.scale_outs.clear();
  in_manifest.clear();
  if (const json::Value* scale_outs = json::member(doc, "r");
      scale_outs != nullptr && scale_outs->IsArray())
    for (const auto& v : scale_outs->GetArray())
      if (v.IsArray() && v.Size() == 5 && v[3].IsBool() && v[4].IsUint())
        manifest.scale_outs.push_back(
            {as_text(v[0]), as_text(v[1]), as_text(v[2]), v[3].GetBool(), v[4].GetUint()});
  apply_jobs(doc, kManifestKey);
}

// The jobs that lie in the head or in a shard.
void Snapshot::apply_jobs(const json::Document& doc, const std::string& key) {
  const auto shard = shard_number(key);
  const json::Value* list = json::member(doc, "t");
  if (list == nullptr || !list->IsArray()) {
    unreadable.insert(key);
    return;
  }
  for (const auto& v : list->GetArray()) {
    JobRecord record;
    if (!decode_record(v, record)) {
      unreadable.insert(key);
      continue;
    }
    const std::string id = record.spec.id;
    // Of several shards, the last one is the job's: see `JobShards`.
    if (shard) {
      const auto [location, fresh] = shard_of.try_emplace(id, *shard);
      if (!fresh) location->second = std::max(location->second, *shard);
    } else {
      in_manifest.push_back(id);
    }
    // A job can be in its shard and, changed since, in the head: the later change counts.
    const auto it = jobs.find(id);
    if (it == jobs.end())
      jobs.emplace(id, std::move(record));
    else if (it->second.seq <= record.seq)
      it->second = std::move(record);
  }
}

}  // namespace sailreel
