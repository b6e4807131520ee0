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

std::optional<JobSpec> decode_submission(std::string_view body, std::string& error) {
  json::Document doc;
  JobSpec s;
  auto fail = [&](const char* what) {
    error = what;
    return std::optional<JobSpec>();
  };
  if (!json::parse_object(body, doc)) return fail("not a JSON object");
  if (!json::get(doc, "id", s.id) || !valid_job_id(s.id)) return fail("id");
  if (!name(doc, "berth", s.job_class)) return fail("berth");
  if (!name(doc, "crew", s.team)) return fail("crew");
  std::string word;
  if (!json::get(doc, "rig", word)) return fail("rig");
  if (word == "sweep") {
    s.kind = JobKind::Array;
  } else if (word == "service") {
    s.kind = JobKind::Service;
  } else if (word == "gang") {
    s.kind = JobKind::Gang;
  } else {
    return fail("rig");
  }
  if (!json::get(doc, "precedence", word)) return fail("precedence");
  if (word == "critical") {
    s.priority = Priority::Production;
  } else if (word == "urgent") {
    s.priority = Priority::High;
  } else if (word == "standard") {
    s.priority = Priority::Normal;
  } else if (word == "best_effort") {
    s.priority = Priority::Low;
  } else {
    return fail("precedence");
  }
  std::uint64_t count = 0;
  if (!json::get(doc, "hands", count) || count == 0 || count > kMaxTasks) return fail("hands");
  s.tasks = static_cast<std::uint32_t>(count);
  if (!json::get(doc, "cores", s.need.cpus)) return fail("cores");
  if (!json::get(doc, "cards", s.need.gpus)) return fail("cards");
  if (!json::get(doc, "ram_gb", s.need.memory_gb)) return fail("ram_gb");
  if (!name(doc, "cargo", s.image)) return fail("cargo");
  if (!json::get(doc, "pull_gb", s.image_gb)) return fail("pull_gb");
  if (const json::Value* types = json::member(doc, "hulls")) {
    if (!types->IsArray() || types->Size() > kMaxTypes) return fail("hulls");
    s.any_type = false;
    for (const auto& t : types->GetArray()) {
      if (!t.IsString() || t.GetStringLength() > kMaxName) return fail("hulls");
      s.types.emplace_back(t.GetString(), t.GetStringLength());
    }
  }
  if (json::member(doc, "harbor") != nullptr && !name(doc, "harbor", s.zone)) return fail("harbor");
  if (!json::get(doc, "together", s.one_zone)) return fail("together");
  if (!json::get(doc, "spread", s.spread)) return fail("spread");
  if (!json::get(doc, "driftwood", s.spot)) return fail("driftwood");
  if (!json::get(doc, "voyage_s", s.estimate_s)) return fail("voyage_s");
  if (!json::get(doc, "logbook_s", s.checkpoint_s)) return fail("logbook_s");
  if (!json::get(doc, "stow_s", s.save_s)) return fail("stow_s");
  if (json::member(doc, "landfall_s") != nullptr) {
    double deadline = 0;
    if (!json::get(doc, "landfall_s", deadline)) return fail("landfall_s");
    s.deadline_s = deadline;
  }
  return s;
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
