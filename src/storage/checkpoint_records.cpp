#include "storage/checkpoint_records.hpp"

#include <algorithm>

#include "protocol/field_reader.hpp"

namespace sailreel {
namespace {

/// Positions of the fields of a job record, which is stored as a JSON array because an array is far
/// shorter than an object. A final record ends after the number of tasks.
struct Position {
  enum : unsigned {
    Id,
    Phase,
    Sequence,
    Tasks,
    FinalSize,
    JobClass = FinalSize,
    Team,
    Kind,
    Priority,
    Cpus,
    Gpus,
    MemoryGb,
    Image,
    ImageGb,
    Types,
    Zone,
    Flags,
    Estimate,
    CheckpointInterval,
    SaveTime,
    Deadline,
    SubmittedWallMs,
    DoneBits,
    Started,
    ActiveSize,
  };
};

constexpr unsigned kOneZoneFlag = 1, kSpreadFlag = 2, kSpotFlag = 4, kCancelRequestedFlag = 8;

std::string text_or_empty(const json::Value& value) {
  return value.IsString() ? std::string(value.GetString(), value.GetStringLength()) : std::string();
}

void decode_description(const json::Value& value, JobRecord& record) {
  const auto number_at = [&](unsigned position) {
    return json::amount(value[position]).value_or(0.0);
  };
  const auto integer_at = [&](unsigned position) {
    return value[position].IsUint64() ? value[position].GetUint64() : 0;
  };
  JobSpec& spec = record.spec;
  spec.job_class = text_or_empty(value[Position::JobClass]);
  spec.team = text_or_empty(value[Position::Team]);
  spec.kind = static_cast<JobKind>(integer_at(Position::Kind));
  spec.priority = static_cast<Priority>(integer_at(Position::Priority));
  spec.need = {number_at(Position::Cpus), number_at(Position::Gpus), number_at(Position::MemoryGb)};
  spec.image = text_or_empty(value[Position::Image]);
  spec.image_gb = number_at(Position::ImageGb);
  spec.any_type = !value[Position::Types].IsArray();
  if (!spec.any_type)
    for (const auto& type : value[Position::Types].GetArray())
      spec.types.push_back(text_or_empty(type));
  spec.zone = text_or_empty(value[Position::Zone]);
  const std::uint64_t flags = integer_at(Position::Flags);
  spec.one_zone = (flags & kOneZoneFlag) != 0;
  spec.spread = (flags & kSpreadFlag) != 0;
  spec.spot = (flags & kSpotFlag) != 0;
  record.cancel_requested = (flags & kCancelRequestedFlag) != 0;
  spec.estimate_s = number_at(Position::Estimate);
  spec.checkpoint_s = number_at(Position::CheckpointInterval);
  spec.save_s = number_at(Position::SaveTime);
  spec.drop_implausible_save_times();
  spec.deadline_s = json::amount(value[Position::Deadline]);
  record.submitted_wall_ms = static_cast<std::int64_t>(integer_at(Position::SubmittedWallMs));
  record.done = Bitmap(spec.tasks);
  record.done.merge_hex(0, text_or_empty(value[Position::DoneBits]));
  record.started = static_cast<std::uint32_t>(integer_at(Position::Started));
}

void write_description(json::Writer& writer, const JobRecord& record) {
  const JobSpec& spec = record.spec;
  json::put(writer, spec.job_class);
  json::put(writer, spec.team);
  writer.Uint(static_cast<unsigned>(spec.kind));
  writer.Uint(static_cast<unsigned>(spec.priority));
  writer.Double(spec.need.cpus);
  writer.Double(spec.need.gpus);
  writer.Double(spec.need.memory_gb);
  json::put(writer, spec.image);
  writer.Double(spec.image_gb);
  if (spec.any_type) {
    writer.Null();
  } else {
    writer.StartArray();
    for (const std::string& type : spec.types) json::put(writer, type);
    writer.EndArray();
  }
  json::put(writer, spec.zone);
  writer.Uint((spec.one_zone ? kOneZoneFlag : 0U) | (spec.spread ? kSpreadFlag : 0U) |
              (spec.spot ? kSpotFlag : 0U) | (record.cancel_requested ? kCancelRequestedFlag : 0U));
  writer.Double(spec.estimate_s);
  writer.Double(spec.checkpoint_s);
  writer.Double(spec.save_s);
  if (spec.deadline_s)
    writer.Double(*spec.deadline_s);
  else
    writer.Null();
  writer.Uint64(static_cast<std::uint64_t>(record.submitted_wall_ms));
  const bool inline_bits = spec.kind != JobKind::Service && spec.tasks <= kInlineBits;
  json::put(writer, inline_bits ? record.done.hex(0, kInlineBits) : std::string());
  writer.Uint(record.started);
}

/// A member of a JSON object: its value is the array of the encoded records.
std::string array_member(const char* name, const std::vector<std::string>& records) {
  std::string out = std::string("\"") + name + "\":[";
  for (std::size_t i = 0; i < records.size(); ++i) {
    if (i != 0) out += ',';
    out += records[i];
  }
  return out + "]";
}

}  // namespace

std::string encode_features(const Features& features) {
  return std::string("{\"gangs\":") + (features.gangs ? "true" : "false") + "}";
}

Features decode_features(const json::Value& object) {
  Features features;
  json::get(object, "gangs", features.gangs);
  return features;
}

std::string encode_record(const JobRecord& record) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartArray();
  json::put(writer, record.spec.id);
  writer.Uint(static_cast<unsigned>(record.phase));
  writer.Uint64(record.seq);
  writer.Uint(record.spec.tasks);
  if (!record.final) write_description(writer, record);
  writer.EndArray();
  return json::text(buffer);
}

Decoded<JobRecord> decode_record(const json::Value& value) {
  const auto invalid = [](std::string_view field) {
    return DecodeError{DecodeErrorKind::InvalidField, field};
  };
  if (!value.IsArray() ||
      (value.Size() != Position::FinalSize && value.Size() != Position::ActiveSize))
    return invalid("record");
  const auto integer_at = [&](unsigned position) {
    return value[position].IsUint64() ? value[position].GetUint64() : 0;
  };
  JobRecord record;
  record.spec.id = text_or_empty(value[Position::Id]);
  record.phase = static_cast<Phase>(integer_at(Position::Phase));
  record.seq = integer_at(Position::Sequence);
  record.spec.tasks = static_cast<std::uint32_t>(integer_at(Position::Tasks));
  if (record.spec.id.empty()) return invalid("id");
  if (record.spec.tasks == 0) return invalid("tasks");
  record.final = value.Size() == Position::FinalSize;
  if (!record.final)
    decode_description(value, record);
  else if (record.phase != Phase::Done && record.phase != Phase::Cancelled)
    return invalid("phase");
  return record;
}

std::string encode_leader(const LeaderRecord& leader) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  writer.Key("node");
  json::put(writer, leader.node);
  writer.Key("epoch");
  writer.Uint64(leader.epoch);
  writer.Key("nonce");
  writer.Uint64(leader.nonce);
  writer.EndObject();
  return json::text(buffer);
}

Decoded<LeaderRecord> decode_leader(std::string_view value) {
  json::Document doc;
  if (!json::parse_object(value, doc)) return DecodeError{DecodeErrorKind::NotAnObject, {}};
  LeaderRecord leader;
  json::FieldReader fields(doc);
  fields.required("node", leader.node)
      .required("epoch", leader.epoch)
      .optional("nonce", leader.nonce);
  if (fields.error()) return *fields.error();
  return leader;
}

std::string encode_machines(const std::vector<MachineRecord>& machines) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  writer.Key("m");
  writer.StartArray();
  for (const MachineRecord& machine : machines) {
    writer.StartArray();
    json::put(writer, machine.name);
    json::put(writer, machine.address);
    for (const CachedImage& image : machine.images) {
      json::put(writer, image.name);
      writer.Double(image.gb);
    }
    writer.EndArray();
  }
  writer.EndArray();
  writer.EndObject();
  return json::text(buffer);
}

std::string encode_machines_within(std::vector<MachineRecord> machines, std::size_t limit_bytes) {
  std::size_t image_limit = 0;
  for (const MachineRecord& machine : machines)
    image_limit = std::max(image_limit, machine.images.size());
  std::string value = encode_machines(machines);
  while (value.size() > limit_bytes && image_limit > 0) {
    image_limit = image_limit * 3 / 4;
    for (MachineRecord& machine : machines)
      if (machine.images.size() > image_limit) machine.images.resize(image_limit);
    value = encode_machines(machines);
  }
  return value;
}

Decoded<MachineRecord> decode_machine(const json::Value& value) {
  if (!value.IsArray() || value.Size() < 2 || !value[0].IsString())
    return DecodeError{DecodeErrorKind::InvalidField, "m"};
  MachineRecord machine{text_or_empty(value[0]), text_or_empty(value[1]), {}};
  // Names and sizes of images alternate.
  for (rapidjson::SizeType i = 2; i + 1 < value.Size(); i += 2)
    if (const auto gb = json::amount(value[i + 1]))
      machine.images.push_back({text_or_empty(value[i]), *gb});
  return machine;
}

std::string encode_manifest(const Manifest& manifest, const std::vector<std::string>& records) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartArray();
  for (const ScaleOutRequest& request : manifest.scale_outs) {
    writer.StartArray();
    json::put(writer, request.request_id);
    json::put(writer, request.type);
    json::put(writer, request.zone);
    writer.Bool(request.spot);
    writer.Uint(request.count);
    writer.EndArray();
  }
  writer.EndArray();
  return "{\"q\":" + std::to_string(manifest.seq) + ",\"e\":" + std::to_string(manifest.epoch) +
         ",\"r\":" + json::text(buffer) + "," + array_member("t", records) + "}";
}

std::vector<ScaleOutRequest> decode_scale_outs(const json::Value& manifest) {
  std::vector<ScaleOutRequest> requests;
  const json::Value* list = json::member(manifest, "r");
  if (list == nullptr || !list->IsArray()) return requests;
  for (const auto& value : list->GetArray())
    if (value.IsArray() && value.Size() == 5 && value[3].IsBool() && value[4].IsUint())
      requests.push_back({text_or_empty(value[0]), text_or_empty(value[1]), text_or_empty(value[2]),
                          value[3].GetBool(), value[4].GetUint()});
  return requests;
}

std::string encode_shard(const std::vector<std::string>& records) {
  return "{" + array_member("t", records) + "}";
}

}  // namespace sailreel
