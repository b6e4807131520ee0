#include "protocol/worker_codec.hpp"

#include <charconv>
#include <optional>

#include "protocol/field_reader.hpp"
#include "protocol/json.hpp"

namespace sailreel {
namespace {

constexpr std::size_t kMaxMachineNameBytes = 200;

/// Parses a task key, which has the form "<job>/<index>" on the wire.
std::optional<TaskKey> parse_task_key(std::string_view text) {
  const auto slash = text.rfind('/');
  if (slash == std::string_view::npos || slash == 0) return {};
  const auto digits = text.substr(slash + 1);
  const auto* end = digits.data() + digits.size();
  TaskKey key;
  const auto [parsed_to, error] = std::from_chars(digits.data(), end, key.index);
  if (error != std::errc() || parsed_to != end) return {};
  key.job.assign(text.substr(0, slash));
  return key;
}

// Later versions of workers may report further states of a task that is not running yet. Therefore
// an unknown word counts as Fetching.
RunState decode_run_state(std::string_view word) {
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

Decoded<TaskStatus> decode_task_status(const json::Value& item) {
  if (!item.IsObject()) return DecodeError{DecodeErrorKind::InvalidField, "hands"};
  TaskStatus status;
  std::string_view state;
  json::FieldReader fields(item);
  fields
      .check("hand",
             [&] {
               std::string_view name;
               if (!json::get(item, "hand", name)) return false;
               auto key = parse_task_key(name);
               if (key) status.key = std::move(*key);
               return key.has_value();
             })
      .required("launch", status.attempt)
      .required("heading", state);
  if (fields.error()) return *fields.error();
  status.state = decode_run_state(state);
  if (status.state != RunState::Exited) return status;
  std::string_view cause;
  fields.optional("wake", cause).optional("kept", status.saved);
  status.cause = decode_cause(cause);
  return status;
}

void write_commands(json::Writer& writer, const std::vector<Command>& commands) {
  writer.Key("orders");
  writer.StartArray();
  for (const Command& command : commands) {
    writer.StartObject();
    writer.Key("signal");
    writer.String(command.op == Command::Op::Start  ? "start"
                  : command.op == Command::Op::Stop ? "kill"
                                                    : "reap");
    writer.Key("hand");
    json::put(writer, command.key.job + "/" + std::to_string(command.key.index));
    writer.Key("launch");
    writer.Uint64(command.attempt);
    if (command.op == Command::Op::Stop) {
      writer.Key("slack_s");
      writer.Double(command.grace_s);
    }
    writer.EndObject();
  }
  writer.EndArray();
}

}  // namespace

Decoded<Heartbeat> decode_heartbeat(std::string_view body) {
  json::Document doc;
  if (!json::parse_object(body, doc)) return DecodeError{DecodeErrorKind::NotAnObject, {}};
  Heartbeat heartbeat;
  json::FieldReader fields(doc);
  fields.required("vessel", heartbeat.machine)
      .check("vessel",
             [&] {
               return !heartbeat.machine.empty() &&
                      heartbeat.machine.size() <= kMaxMachineNameBytes;
             })
      .required("endpoint", heartbeat.address)
      .required("hull", heartbeat.type)
      .required("harbor", heartbeat.zone)
      .required("watch", heartbeat.incarnation)
      .required("bell", heartbeat.seq)
      .required("helm", heartbeat.fencing_token)
      .optional("driftwood", heartbeat.spot);
  if (fields.error()) return *fields.error();
  double notice_s = 0;
  if (json::get(doc, "recall_s", notice_s)) heartbeat.reclaim_in_s = notice_s;
  const json::Value* tasks = json::member(doc, "hands");
  if (tasks == nullptr) return heartbeat;
  if (!tasks->IsArray()) return DecodeError{DecodeErrorKind::InvalidField, "hands"};
  heartbeat.tasks.reserve(tasks->Size());
  for (const auto& item : tasks->GetArray()) {
    auto status = decode_task_status(item);
    if (!status) return status.error();
    heartbeat.tasks.push_back(std::move(*status));
  }
  return heartbeat;
}

std::string encode_heartbeat_response(std::uint64_t fencing_token,
                                      const std::vector<Command>& commands) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  writer.Key("helm");
  writer.Uint64(fencing_token);
  write_commands(writer, commands);
  writer.EndObject();
  return json::text(buffer);
}

std::string encode_command_request(std::uint64_t fencing_token, std::uint64_t incarnation,
                                   const std::vector<Command>& commands) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  writer.Key("helm");
  writer.Uint64(fencing_token);
  writer.Key("watch");
  writer.Uint64(incarnation);
  write_commands(writer, commands);
  writer.EndObject();
  return json::text(buffer);
}

std::string encode_redirect(const std::string& node) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  if (!node.empty()) {
    writer.Key("harbormaster");
    json::put(writer, node);
  }
  writer.EndObject();
  return json::text(buffer);
}

}  // namespace sailreel
