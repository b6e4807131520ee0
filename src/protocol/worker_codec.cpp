#include "protocol/worker_codec.hpp"

#include <charconv>

#include "protocol/json.hpp"

namespace sailreel {
namespace {

bool parse_task(std::string_view text, TaskKey& key) {
  const auto slash = text.rfind('/');
  if (slash == std::string_view::npos || slash == 0) return false;
  const auto digits = text.substr(slash + 1);
  const auto* end = digits.data() + digits.size();
  const auto [p, ec] = std::from_chars(digits.data(), end, key.index);
  if (ec != std::errc() || p != end) return false;
  key.job.assign(text.substr(0, slash));
  return true;
}

void write_commands(json::Writer& w, const std::vector<Command>& commands) {
  w.Key("orders");
  w.StartArray();
  for (const Command& c : commands) {
    w.StartObject();
    w.Key("signal");
    w.String(c.op == Command::Op::Start ? "start" : c.op == Command::Op::Stop ? "kill" : "reap");
    w.Key("hand");
    json::put(w, c.key.job + "/" + std::to_string(c.key.index));
    w.Key("launch");
    w.Uint64(c.attempt);
    if (c.op == Command::Op::Stop) {
      w.Key("slack_s");
      w.Double(c.grace_s);
    }
    w.EndObject();
  }
  w.EndArray();
}

}  // namespace

std::optional<Report> decode_report(std::string_view body) {
  json::Document doc;
  Report r;
  if (!json::parse_object(body, doc) || !json::get(doc, "vessel", r.machine) || r.machine.empty() ||
      r.machine.size() > 200 || !json::get(doc, "endpoint", r.address) ||
      !json::get(doc, "hull", r.type) || !json::get(doc, "harbor", r.zone) ||
      !json::get(doc, "watch", r.session) || !json::get(doc, "bell", r.seq) ||
      !json::get(doc, "helm", r.token))
    return {};
  json::get(doc, "driftwood", r.spot);
  double notice = 0;
  if (json::get(doc, "recall_s", notice)) r.notice_s = notice;
  const json::Value* tasks = json::member(doc, "hands");
  if (tasks == nullptr) return r;
  if (!tasks->IsArray()) return {};
  r.tasks.reserve(tasks->Size());
  std::string text, state, cause;
  for (const auto& item : tasks->GetArray()) {
    ReportedTask t;
    if (!item.IsObject() || !json::get(item, "hand", text) || !parse_task(text, t.key) ||
        !json::get(item, "launch", t.attempt) || !json::get(item, "heading", state))
      return {};
    if (state == "running") {
      t.state = RunState::Running;
    } else if (state == "gathering") {
      t.state = RunState::Waiting;
    } else if (state == "flushing") {
      t.state = RunState::Saving;
    } else if (state == "ended") {
      t.state = RunState::Exited;
      t.cause = ExitCause::Error;
      if (json::get(item, "wake", cause)) {
        if (cause == "done") t.cause = ExitCause::Done;
        if (cause == "stopped") t.cause = ExitCause::Stopped;
        if (cause == "no_room") t.cause = ExitCause::NoRoom;
        if (cause == "busy") t.cause = ExitCause::Busy;
        if (cause == "unknown") t.cause = ExitCause::Unknown;
        if (cause == "mates_gone") t.cause = ExitCause::PeersGone;
        if (cause == "incomplete") t.cause = ExitCause::Incomplete;
      }
      json::get(item, "kept", t.saved);
    }
    r.tasks.push_back(std::move(t));
  }
  return r;
}

std::string encode_report_answer(std::uint64_t token, const std::vector<Command>& commands) {
  rapidjson::StringBuffer b;
  json::Writer w(b);
  w.StartObject();
  w.Key("helm");
  w.Uint64(token);
  write_commands(w, commands);
  w.EndObject();
  return json::text(b);
}

std::string encode_direct(std::uint64_t token, std::uint64_t session,
                          const std::vector<Command>& commands) {
  rapidjson::StringBuffer b;
  json::Writer w(b);
  w.StartObject();
  w.Key("helm");
  w.Uint64(token);
  w.Key("watch");
  w.Uint64(session);
  write_commands(w, commands);
  w.EndObject();
  return json::text(b);
}

std::string encode_redirect(const std::string& node) {
  rapidjson::StringBuffer b;
  json::Writer w(b);
  w.StartObject();
  if (!node.empty()) {
    w.Key("harbormaster");
    json::put(w, node);
  }
  w.EndObject();
  return json::text(b);
}

}  // namespace sailreel
