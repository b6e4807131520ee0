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

// A state that isn't known is one of before the task runs.
RunState decode_kv_response(std::string_view word) {
  if (word == "running") return RunState::Running;
  if (word == "gathering") return RunState::Waiting;
  if (word == "flushing") return RunState::Saving;
  if (word == "ended") return RunState::Exited;
  return RunState::Fetching;
}

ExitCause decode_cause(std::string_view word) {
  if (word == "done") return ExitCause::Done;
  if (word == "stopped") return ExitCause::Stopped;
  if (word == "no_room") return ExitCause::NoRoom;
  if (word == "busy") return ExitCause::Busy;
  if (word == "unknown") return ExitCause::Unknown;
  if (word == "mates_gone") return ExitCause::PeersGone;
  if (word == "incomplete") return ExitCause::Incomplete;
  return ExitCause::Error;
}

std::optional<TaskStatus> decode_task(const json::Value& item) {
  TaskStatus task;
  std::string_view name, state, cause;
  if (!item.IsObject() || !json::get(item, "hand", name) || !parse_task(name, task.key) ||
      !json::get(item, "launch", task.attempt) || !json::get(item, "heading", state))
    return {};
  task.state = decode_kv_response(state);
  if (task.state != RunState::Exited) return task;
  json::get(item, "wake", cause);
  task.cause = decode_cause(cause);
  json::get(item, "kept", task.saved);
  return task;
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

std::optional<Heartbeat> decode_heartbeat(std::string_view body) {
  json::Document doc;
  Heartbeat r;
  if (!json::parse_object(body, doc) || !json::get(doc, "vessel", r.machine) || r.machine.empty() ||
      r.machine.size() > 200 || !json::get(doc, "endpoint", r.address) ||
      !json::get(doc, "hull", r.type) || !json::get(doc, "harbor", r.zone) ||
      !json::get(doc, "watch", r.incarnation) || !json::get(doc, "bell", r.seq) ||
      !json::get(doc, "helm", r.fencing_token))
    return {};
  json::get(doc, "driftwood", r.spot);
  double notice = 0;
  if (json::get(doc, "recall_s", notice)) r.notice_s = notice;
  const json::Value* tasks = json::member(doc, "hands");
  if (tasks == nullptr) return r;
  if (!tasks->IsArray()) return {};
  r.tasks.reserve(tasks->Size());
  for (const auto& item : tasks->GetArray()) {
    auto task = decode_task(item);
    if (!task) return {};
    r.tasks.push_back(std::move(*task));
  }
  return r;
}

std::string encode_heartbeat_response(std::uint64_t fencing_token,
                                      const std::vector<Command>& commands) {
  rapidjson::StringBuffer b;
  json::Writer w(b);
  w.StartObject();
  w.Key("helm");
  w.Uint64(fencing_token);
  write_commands(w, commands);
  w.EndObject();
  return json::text(b);
}

std::string encode_direct(std::uint64_t fencing_token, std::uint64_t incarnation,
                          const std::vector<Command>& commands) {
  rapidjson::StringBuffer b;
  json::Writer w(b);
  w.StartObject();
  w.Key("helm");
  w.Uint64(fencing_token);
  w.Key("watch");
  w.Uint64(incarnation);
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
