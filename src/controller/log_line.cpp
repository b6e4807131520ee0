#include "controller/log_line.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace sailreel {
namespace {

/// Appends an amount with three decimals, of which trailing zeros are left out.
void append_amount(double amount, std::string& line) {
  constexpr std::size_t kMaxAmountBytes = 32;
  std::array<char, kMaxAmountBytes> text{};
  std::snprintf(text.data(), text.size(), "%.3f", amount);
  std::string_view shown(text.data());
  if (shown.find('.') != std::string_view::npos) {
    shown = shown.substr(0, shown.find_last_not_of('0') + 1);
    if (shown.back() == '.') shown.remove_suffix(1);
  }
  line += shown;
}

/// Longer texts are cut in log lines.
constexpr std::size_t kMaxTextBytes = 200;

bool is_plain(char character) {
  return character > ' ' && character <= '~' && character != '"' && character != '\\';
}

/// Appends the text in quotation marks, with escapes for all that could end the text or the line.
void append_quoted(std::string_view text, std::string& line) {
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  line += '"';
  for (const char character : text) {
    if (is_plain(character) || character == ' ') {
      line += character;
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    line += "\\x";
    line += kHexDigits[byte / kHexDigits.size()];
    line += kHexDigits[byte % kHexDigits.size()];
  }
  line += '"';
}

/// Appends a text that a sender may have chosen.
void append_text(std::string_view text, std::string& line) {
  const std::string_view shown = text.substr(0, kMaxTextBytes);
  if (std::all_of(shown.begin(), shown.end(), is_plain))
    line += shown;
  else
    append_quoted(shown, line);
  if (shown.size() < text.size()) line += "...";
}

}  // namespace

std::string_view to_string(LogEvent event) {
  switch (event) {
    case LogEvent::Elected:
      return "elected";
    case LogEvent::Leading:
      return "leading";
    case LogEvent::Reconciled:
      return "reconciled";
    case LogEvent::SteppedDown:
      return "stepped_down";
    case LogEvent::LeaseRegained:
      return "lease_regained";
    case LogEvent::CheckpointCommit:
      return "checkpoint_commit";
    case LogEvent::CommitRetry:
      return "commit_retry";
    case LogEvent::CommitRejected:
      return "commit_rejected";
    case LogEvent::ManifestFlush:
      return "manifest_flush";
    case LogEvent::CheckpointUnreadable:
      return "checkpoint_unreadable";
    case LogEvent::GangsEnabled:
      return "gangs_enabled";
    case LogEvent::SharesWithoutOptions:
      return "shares_without_options";
    case LogEvent::KeepAlive:
      return "keep_alive";
    case LogEvent::JobSubmitted:
      return "job_submitted";
    case LogEvent::RequestRefused:
      return "request_refused";
    case LogEvent::JobCancelRequested:
      return "job_cancel_requested";
    case LogEvent::JobDone:
      return "job_done";
    case LogEvent::JobCancelled:
      return "job_cancelled";
    case LogEvent::TaskStart:
      return "task_start";
    case LogEvent::TaskRunning:
      return "task_running";
    case LogEvent::TaskExited:
      return "task_exited";
    case LogEvent::TaskError:
      return "task_error";
    case LogEvent::TaskMissing:
      return "task_missing";
    case LogEvent::TaskPreempted:
      return "task_preempted";
    case LogEvent::PreemptedForQuota:
      return "preempted_for_quota";
    case LogEvent::ReplicaMigration:
      return "replica_migration";
    case LogEvent::StartRejected:
      return "start_rejected";
    case LogEvent::StartNotAcknowledged:
      return "start_not_acknowledged";
    case LogEvent::OrphanedAttempt:
      return "orphaned_attempt";
    case LogEvent::ImageFetchCompared:
      return "image_fetch_compared";
    case LogEvent::MachineUp:
      return "machine_up";
    case LogEvent::MachineFound:
      return "machine_found";
    case LogEvent::MachineSilent:
      return "machine_silent";
    case LogEvent::MachineQuarantined:
      return "machine_quarantined";
    case LogEvent::MachineCordoned:
      return "machine_cordoned";
    case LogEvent::MachineDraining:
      return "machine_draining";
    case LogEvent::MachineTerminating:
      return "machine_terminating";
    case LogEvent::MachineGone:
      return "machine_gone";
    case LogEvent::IncarnationLost:
      return "incarnation_lost";
    case LogEvent::HeartbeatRejected:
      return "heartbeat_rejected";
    case LogEvent::HeartbeatStale:
      return "heartbeat_stale";
    case LogEvent::HeartbeatOfUnknownMachine:
      return "heartbeat_of_unknown_machine";
    case LogEvent::ScaleOut:
      return "scale_out";
    case LogEvent::NoCapacity:
      return "no_capacity";
    case LogEvent::UnmetDemand:
      return "unmet_demand";
    case LogEvent::RoomReserved:
      return "room_reserved";
    case LogEvent::CapacityLimit:
      return "capacity_limit";
    case LogEvent::ProcessorLimit:
      return "processor_limit";
  }
  return "";
}

void LogField::append_to(std::string& line) const {
  line += key_;
  line += '=';
  if (const auto* text = std::get_if<std::string_view>(&value_)) {
    append_text(*text, line);
  } else if (const auto* quoted = std::get_if<Quoted>(&value_)) {
    line += '"';
    line += quoted->text;
    line += '"';
  } else if (const auto* task = std::get_if<const TaskKey*>(&value_)) {
    line += (*task)->job;
    line += '/';
    line += std::to_string((*task)->index);
  } else if (const auto* number = std::get_if<std::int64_t>(&value_)) {
    line += std::to_string(*number);
  } else if (const auto* amount = std::get_if<double>(&value_)) {
    append_amount(*amount, line);
  } else {
    line += std::to_string(std::get<std::uint64_t>(value_));
  }
}

std::string format_log_line(std::uint64_t epoch, LogEvent event,
                            std::initializer_list<LogField> fields) {
  std::string line = "epoch=";
  line += std::to_string(epoch);
  line += " event=";
  line += to_string(event);
  for (const LogField& field : fields) {
    line += ' ';
    field.append_to(line);
  }
  return line;
}

}  // namespace sailreel
