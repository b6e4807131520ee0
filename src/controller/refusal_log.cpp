#include "controller/refusal_log.hpp"

namespace sailreel {
namespace {

std::string_view name_of(RequestOp op) {
  switch (op) {
    case RequestOp::Submit:
      return "submit";
    case RequestOp::Query:
      return "query";
    case RequestOp::Cancel:
      return "cancel";
    case RequestOp::Heartbeat:
      return "heartbeat";
  }
  return "";
}

}  // namespace

std::string_view to_string(DecodeErrorKind kind) {
  switch (kind) {
    case DecodeErrorKind::NotAnObject:
      return "not a JSON object";
    case DecodeErrorKind::InvalidField:
      return "invalid field";
    case DecodeErrorKind::Truncated:
      return "truncated";
    case DecodeErrorKind::TrailingBytes:
      return "trailing bytes";
    case DecodeErrorKind::Unsupported:
      return "unsupported";
    case DecodeErrorKind::TooLarge:
      return "too large";
  }
  return "";
}

void RefusalLog::log(Outbox& outbox, Time now, const Refusal& refusal) {
  ++total_;
  if (!limiter_.allows(1, now)) {
    ++left_out_;
    return;
  }
  limiter_.spend(1, now);
  outbox.log(Log::Level::Info, LogEvent::RequestRefused,
             {{"op", name_of(refusal.op)},
              {"status", refusal.status},
              {"job", refusal.job},
              {"bytes", refusal.bytes},
              {"cause", refusal.cause},
              {"field", refusal.field},
              {"forwarded", refusal.forwarded ? 1 : 0},
              {"total", total_},
              {"left_out", left_out_}});
  left_out_ = 0;
}

}  // namespace sailreel
