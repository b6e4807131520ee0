#include "protocol/user_codec.hpp"

#include "protocol/field_reader.hpp"
#include "protocol/json.hpp"

namespace sailreel {
namespace {
constexpr std::uint64_t kMaxTasks = 100'000;
constexpr std::size_t kMaxNameBytes = 200;
constexpr std::size_t kMaxMachineTypes = 64;

bool get_name(const json::Value& object, const char* field, std::string& out) {
  return json::get(object, field, out) && !out.empty() && out.size() <= kMaxNameBytes;
}
}  // namespace

bool valid_job_id(std::string_view id) {
  constexpr std::string_view kPrefix = "job-";
  if (id.size() <= kPrefix.size() || id.size() > 40 || !id.starts_with(kPrefix)) return false;
  return id.find_first_not_of("0123456789", kPrefix.size()) == std::string_view::npos;
}

std::optional<std::string> submission_id(std::string_view body) {
  json::Document doc;
  std::string id;
  if (!json::parse_object(body, doc) || !json::get(doc, "id", id) || !valid_job_id(id)) return {};
  return id;
}

namespace {

std::optional<JobKind> decode_kind(const json::Document& doc) {
  std::string word;
  if (!json::get(doc, "rig", word)) return {};
  if (word == "sweep") return JobKind::Array;
  if (word == "service") return JobKind::Service;
  if (word == "gang") return JobKind::Gang;
  return {};
}

std::optional<Priority> decode_priority(const json::Document& doc) {
  std::string word;
  if (!json::get(doc, "precedence", word)) return {};
  if (word == "critical") return Priority::Production;
  if (word == "urgent") return Priority::High;
  if (word == "standard") return Priority::Normal;
  if (word == "best_effort") return Priority::Low;
  return {};
}

/// The machine types that a job may run on. Empty if the list is invalid.
std::optional<std::vector<std::string>> decode_machine_types(const json::Value& list) {
  if (!list.IsArray() || list.Size() > kMaxMachineTypes) return {};
  std::vector<std::string> types;
  for (const auto& type : list.GetArray()) {
    if (!type.IsString() || type.GetStringLength() > kMaxNameBytes) return {};
    types.emplace_back(type.GetString(), type.GetStringLength());
  }
  return types;
}

std::optional<std::uint32_t> decode_task_count(const json::Document& doc) {
  std::uint64_t count = 0;
  if (!json::get(doc, "hands", count) || count == 0 || count > kMaxTasks) return {};
  return static_cast<std::uint32_t>(count);
}

/// Moves the value to `out` if there is one. Returns whether there is one.
template <typename T>
bool store_if_present(std::optional<T> value, T& out) {
  if (value) out = std::move(*value);
  return value.has_value();
}

}  // namespace

Decoded<JobSpec> decode_submission(std::string_view body) {
  json::Document doc;
  if (!json::parse_object(body, doc)) return DecodeError{DecodeErrorKind::NotAnObject, {}};
  JobSpec spec;
  json::FieldReader fields(doc);
  const auto read_name = [&](const char* field, std::string& out) {
    fields.check(field, [&] { return get_name(doc, field, out); });
  };
  fields.check("id", [&] { return json::get(doc, "id", spec.id) && valid_job_id(spec.id); });
  read_name("berth", spec.job_class);
  read_name("crew", spec.team);
  fields.check("rig", [&] { return store_if_present(decode_kind(doc), spec.kind); })
      .check("precedence", [&] { return store_if_present(decode_priority(doc), spec.priority); })
      .check("hands", [&] { return store_if_present(decode_task_count(doc), spec.tasks); })
      .required("cores", spec.need.cpus)
      .required("cards", spec.need.gpus)
      .required("ram_gb", spec.need.memory_gb);
  read_name("cargo", spec.image);
  fields.required("pull_gb", spec.image_gb);
  if (const json::Value* types = json::member(doc, "hulls")) {
    spec.any_type = false;
    fields.check("hulls",
                 [&] { return store_if_present(decode_machine_types(*types), spec.types); });
  }
  if (json::member(doc, "harbor") != nullptr) read_name("harbor", spec.zone);
  fields.required("together", spec.one_zone)
      .required("spread", spec.spread)
      .required("driftwood", spec.spot)
      .required("voyage_s", spec.estimate_s)
      .required("logbook_s", spec.checkpoint_s)
      .required("stow_s", spec.save_s);
  if (json::member(doc, "landfall_s") != nullptr)
    fields.required("landfall_s", spec.deadline_s.emplace());
  if (fields.error()) return *fields.error();
  spec.drop_implausible_save_times();
  return spec;
}

std::string_view describe_submission_error(const DecodeError& error) {
  return error.kind == DecodeErrorKind::NotAnObject ? "not a JSON object" : error.field;
}

bool is_gang_submission(std::string_view body) {
  json::Document doc;
  return json::parse_object(body, doc) && decode_kind(doc) == JobKind::Gang;
}

std::string encode_job(const JobView& view) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  writer.Key("id");
  json::put(writer, view.id);
  writer.Key("heading");
  writer.String(view.phase == Phase::Done        ? "done"
                : view.phase == Phase::Cancelled ? "cancelled"
                : view.running > 0               ? "running"
                                                 : "pending");
  writer.Key("done");
  writer.Uint64(view.done);
  writer.Key("running");
  writer.Uint64(view.running);
  writer.EndObject();
  return json::text(buffer);
}

std::string encode_error(std::string_view text) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  writer.Key("error");
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
  writer.EndObject();
  return json::text(buffer);
}

}  // namespace sailreel
