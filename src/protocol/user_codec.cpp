#include "protocol/user_codec.hpp"

#include "protocol/json.hpp"

namespace sailreel {
namespace {
constexpr std::uint64_t kMaxTasks = 100'000;
constexpr std::size_t kMaxName = 200;
constexpr std::size_t kMaxTypes = 64;

bool name(const json::Value& v, const char* field, std::string& out) {
  return json::get(v, field, out) && !out.empty() && out.size() <= kMaxName;
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

bool decode_types(const json::Document& doc, JobSpec& spec) {
  const json::Value* types = json::member(doc, "hulls");
  if (types == nullptr) return true;
  if (!types->IsArray() || types->Size() > kMaxTypes) return false;
  spec.any_type = false;
  for (const auto& type : types->GetArray()) {
    if (!type.IsString() || type.GetStringLength() > kMaxName) return false;
    spec.types.emplace_back(type.GetString(), type.GetStringLength());
  }
  return true;
}

bool decode_task_count(const json::Document& doc, JobSpec& spec) {
  std::uint64_t count = 0;
  if (!json::get(doc, "hands", count) || count == 0 || count > kMaxTasks) return false;
  spec.tasks = static_cast<std::uint32_t>(count);
  return true;
}

/// A field that may be null or missing.
template <typename Decode>
bool optional_field(const json::Document& doc, const char* key, const Decode& decode) {
  return json::member(doc, key) == nullptr || decode();
}

}  // namespace

std::optional<JobSpec> decode_submission(std::string_view body, std::string& error) {
  json::Document doc;
  JobSpec s;
  const auto valid = [&](bool ok, const char* field) {
    if (!ok && error.empty()) error = field;
  };
  error.clear();
  if (!json::parse_object(body, doc)) {
    error = "not a JSON object";
    return {};
  }
  valid(json::get(doc, "id", s.id) && valid_job_id(s.id), "id");
  valid(name(doc, "berth", s.job_class), "berth");
  valid(name(doc, "crew", s.team), "crew");
  const std::optional<JobKind> kind = decode_kind(doc);
  valid(kind.has_value(), "rig");
  const std::optional<Priority> priority = decode_priority(doc);
  valid(priority.has_value(), "precedence");
  valid(decode_task_count(doc, s), "hands");
  valid(json::get(doc, "cores", s.need.cpus), "cores");
  valid(json::get(doc, "cards", s.need.gpus), "cards");
  valid(json::get(doc, "ram_gb", s.need.memory_gb), "ram_gb");
  valid(name(doc, "cargo", s.image), "cargo");
  valid(json::get(doc, "pull_gb", s.image_gb), "pull_gb");
  valid(decode_types(doc, s), "hulls");
  valid(optional_field(doc, "harbor", [&] { return name(doc, "harbor", s.zone); }), "harbor");
  valid(json::get(doc, "together", s.one_zone), "together");
  valid(json::get(doc, "spread", s.spread), "spread");
  valid(json::get(doc, "driftwood", s.spot), "driftwood");
  valid(json::get(doc, "voyage_s", s.estimate_s), "voyage_s");
  valid(json::get(doc, "logbook_s", s.checkpoint_s), "logbook_s");
  valid(json::get(doc, "stow_s", s.save_s), "stow_s");
  double deadline = 0;
  const bool has_deadline = json::member(doc, "landfall_s") != nullptr;
  valid(!has_deadline || json::get(doc, "landfall_s", deadline), "landfall_s");
  if (!error.empty()) return {};
  s.kind = *kind;
  s.priority = *priority;
  if (has_deadline) s.deadline_s = deadline;
  return s;
}

bool is_gang_submission(std::string_view body) {
  json::Document doc;
  return json::parse_object(body, doc) && decode_kind(doc) == JobKind::Gang;
}

std::string encode_job(const JobView& view) {
  rapidjson::StringBuffer b;
  json::Writer w(b);
  w.StartObject();
  w.Key("id");
  json::put(w, view.id);
  w.Key("heading");
  w.String(view.phase == Phase::Done        ? "done"
           : view.phase == Phase::Cancelled ? "cancelled"
           : view.running > 0               ? "running"
                                            : "pending");
  w.Key("done");
  w.Uint64(view.done);
  w.Key("running");
  w.Uint64(view.running);
  w.EndObject();
  return json::text(b);
}

std::string encode_error(std::string_view text) {
  rapidjson::StringBuffer b;
  json::Writer w(b);
  w.StartObject();
  w.Key("error");
  w.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
  w.EndObject();
  return json::text(b);
}

}  // namespace sailreel
