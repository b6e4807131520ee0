// Tests the codecs with valid, malformed and truncated input.
#include <gtest/gtest.h>

#include <pcg_random.hpp>

#include "protocol/cloud_codec.hpp"
#include "protocol/kv_codec.hpp"
#include "protocol/peer_frames.hpp"
#include "protocol/settings.hpp"
#include "protocol/user_codec.hpp"
#include "protocol/worker_codec.hpp"

namespace sailreel {
namespace {

/// A submission in which `field` has the JSON text `value`, or is left out if `value` is empty.
/// Also has a field that the decoder doesn't know.
std::string submission_with(const std::string& field, const std::string& value) {
  std::vector<std::pair<std::string, std::string>> fields{{"id", "\"job-000412\""},
                                                          {"berth", "\"train\""},
                                                          {"crew", "\"vision\""},
                                                          {"rig", "\"sweep\""},
                                                          {"precedence", "\"urgent\""},
                                                          {"hands", "16"},
                                                          {"cores", "8.0"},
                                                          {"cards", "1.0"},
                                                          {"ram_gb", "64.0"},
                                                          {"cargo", "\"img-07\""},
                                                          {"pull_gb", "6.2"},
                                                          {"hulls", "[\"g8\"]"},
                                                          {"harbor", "null"},
                                                          {"together", "true"},
                                                          {"spread", "false"},
                                                          {"driftwood", "true"},
                                                          {"voyage_s", "240.0"},
                                                          {"logbook_s", "30.0"},
                                                          {"stow_s", "4.0"},
                                                          {"landfall_s", "900.0"}};
  std::string out = "{";
  for (const auto& [name, default_value] : fields) {
    const std::string& used = name == field ? value : default_value;
    if (used.empty()) continue;
    out.append(out.size() > 1 ? ",\"" : "\"").append(name).append("\":").append(used);
  }
  return out + ",\"unheard_of\":[1]}";
}

TEST(Submission, AllFieldsAreDecoded) {
  const auto submission = decode_submission(submission_with("", ""));
  ASSERT_TRUE(submission) << submission.error().field;
  EXPECT_EQ(submission->id, "job-000412");
  EXPECT_EQ(submission->kind, JobKind::Array);
  EXPECT_EQ(submission->priority, Priority::High);
  EXPECT_EQ(submission->tasks, 16U);
  EXPECT_EQ(submission->need.gpus, 1.0);
  EXPECT_FALSE(submission->any_type);
  EXPECT_EQ(submission->types, std::vector<std::string>{"g8"});
  EXPECT_TRUE(submission->zone.empty());
  EXPECT_TRUE(submission->one_zone && submission->spot && !submission->spread);
  EXPECT_EQ(*submission->deadline_s, 900.0);
}

TEST(Submission, OnlyNullableFieldsMayBeMissing) {
  for (const char* field : {"hulls", "harbor", "landfall_s"})
    EXPECT_TRUE(decode_submission(submission_with(field, ""))) << field;
  for (const char* field :
       {"id", "berth", "crew", "rig", "precedence", "hands", "cores", "cards", "ram_gb", "cargo",
        "pull_gb", "together", "spread", "driftwood", "voyage_s", "logbook_s", "stow_s"}) {
    const auto submission = decode_submission(submission_with(field, ""));
    ASSERT_FALSE(submission) << field;
    EXPECT_EQ(submission.error(), (DecodeError{DecodeErrorKind::InvalidField, field}));
    EXPECT_EQ(describe_submission_error(submission.error()), field);
    EXPECT_FALSE(decode_submission(submission_with(field, "null"))) << field;
  }
}

TEST(Submission, NonObjectIsRejectedWithoutNamingAField) {
  const auto submission = decode_submission("[]");
  ASSERT_FALSE(submission);
  EXPECT_EQ(submission.error(), (DecodeError{DecodeErrorKind::NotAnObject, ""}));
  EXPECT_EQ(describe_submission_error(submission.error()), "not a JSON object");
}

TEST(Submission, NumbersAndIdsAreCheckedStrictly) {
  for (const char* bad : {"0", "-1", "1.5", "100001", "18446744073709551616", "\"3\"", "1e-3",
                          "1.0005e3", "1e6", "true"})
    EXPECT_FALSE(decode_submission(submission_with("hands", bad))) << bad;
  for (const char* bad : {"-0.1", "NaN", "1e999", "\"8\"", "Infinity", "[]"})
    EXPECT_FALSE(decode_submission(submission_with("cores", bad))) << bad;
  for (const char* bad : {"\"job-\"", "\"job-1x\"", "\"JOB-1\"", "\"\"", "17", "\"job-1/2\""})
    EXPECT_FALSE(decode_submission(submission_with("id", bad))) << bad;
  EXPECT_TRUE(decode_submission(submission_with("hands", "100000")));
}

TEST(Submission, IsIdempotentByItsIdAlone) {
  EXPECT_EQ(submission_id(submission_with("crew", "7")), "job-000412");
  EXPECT_FALSE(submission_id("[\"id\"]"));
  EXPECT_FALSE(submission_id("{\"id\":\"job-1\""));
  // Deeply nested brackets must not exhaust the stack.
  EXPECT_FALSE(submission_id(std::string(60'000, '[')));
}

TEST(Heartbeats, AreDecodedAndTruncatedOnesRejected) {
  const std::string text =
      R"({"vessel":"m-000231","endpoint":"10.1.0.232:9000","hull":"g8","harbor":"a","driftwood":true,)"
      R"("watch":1,"bell":88,"helm":41,"recall_s":null,"hands":[)"
      R"({"hand":"job-000412/3","launch":2,"heading":"running"},)"
      R"({"hand":"job-000398/0","launch":1,"heading":"ended","wake":"done"}]})";
  const auto heartbeat = decode_heartbeat(text);
  ASSERT_TRUE(heartbeat);
  EXPECT_EQ(heartbeat->incarnation, 1U);
  EXPECT_EQ(heartbeat->seq, 88U);
  EXPECT_EQ(heartbeat->fencing_token, 41U);
  EXPECT_FALSE(heartbeat->reclaim_in_s);
  ASSERT_EQ(heartbeat->tasks.size(), 2U);
  EXPECT_EQ(heartbeat->tasks[0].key.index, 3U);
  EXPECT_EQ(heartbeat->tasks[1].cause, ExitCause::Done);
  for (std::size_t length = 0; length < text.size(); ++length)
    EXPECT_FALSE(decode_heartbeat(text.substr(0, length))) << length;
  EXPECT_FALSE(decode_heartbeat(R"({"vessel":"m","endpoint":"x","hull":"g","harbor":"a","watch":1,)"
                                R"("bell":-1,"helm":1})"));
  const auto error_with = [&](const std::string& before, const std::string& after) {
    std::string changed = text;
    changed.replace(changed.find(before), before.size(), after);
    return decode_heartbeat(changed).error();
  };
  const auto invalid = [](std::string_view field) {
    return DecodeError{DecodeErrorKind::InvalidField, field};
  };
  EXPECT_EQ(decode_heartbeat("[]").error(), (DecodeError{DecodeErrorKind::NotAnObject, ""}));
  EXPECT_EQ(error_with("m-000231", ""), invalid("vessel"));
  EXPECT_EQ(error_with("\"bell\":88", "\"bell\":-1"), invalid("bell"));
  EXPECT_EQ(error_with("job-000412/3", "job-000412/x"), invalid("hand"));
  EXPECT_EQ(error_with("\"launch\":2", "\"launch\":\"2\""), invalid("launch"));
}

TEST(Heartbeats, CommandsAreEncodedInTheWireFormat) {
  EXPECT_EQ(encode_heartbeat_response(41, {{Command::Op::Start, {"job-1", 4}, 2, 0},
                                           {Command::Op::Stop, {"job-2", 1}, 1, 10},
                                           {Command::Op::Forget, {"job-3", 0}, 1, 0}}),
            R"({"helm":41,"orders":[{"signal":"start","hand":"job-1/4","launch":2},)"
            R"({"signal":"kill","hand":"job-2/1","launch":1,"slack_s":10.0},)"
            R"({"signal":"reap","hand":"job-3/0","launch":1}]})");
  EXPECT_EQ(encode_redirect("deckhand-2"), R"({"harbormaster":"deckhand-2"})");
}

TEST(KvCodec, RequestsAndResponsesFollowTheWireFormat) {
  KvRequest txn;
  txn.kind = KvRequest::Kind::Txn;
  txn.conditions = {{"a/b", 0}};
  txn.puts = {{"a/b", "{\"x\":1}", 7}};
  txn.deletes = {"c/d"};
  EXPECT_EQ(encode_kv_request(txn).body,
            R"({"when":[{"path":"a/b","mark":0}],"then":[{"set":"a/b","data":{"x":1},"mooring":7},)"
            R"({"drop":"c/d"}]})");
  EXPECT_EQ(decode_kv_response(txn, 200, R"({"tide":432})")->revision, 432U);
  EXPECT_EQ(decode_kv_response(txn, 409, R"({"failed":["a/b"],"tide":431})")->status, 409);
  // A response that can't be decoded doesn't tell whether the transaction was carried out.
  EXPECT_EQ(decode_kv_response(txn, 200, R"({"tide":)").value_or({}).status, 0);
  EXPECT_EQ(decode_kv_response(txn, 200, R"({"tide":)").error(),
            (DecodeError{DecodeErrorKind::NotAnObject, ""}));
  EXPECT_EQ(decode_kv_response(txn, 200, R"({"tide":-1})").error(),
            (DecodeError{DecodeErrorKind::InvalidField, "tide"}));
  KvRequest list;
  list.kind = KvRequest::Kind::List;
  list.key = "sr/";
  list.from = "sr/m";
  EXPECT_EQ(encode_kv_request(list).path, "/store?prefix=sr/&from=sr/m&limit=200");
  // A store without any writes is at revision 0.
  EXPECT_EQ(decode_kv_response(list, 200, R"({"pairs":[],"has_next":false,"tide":0})")->status,
            200);
  EXPECT_EQ(decode_kv_response(list, 200, R"({"pairs":[{"path":"a"}],"tide":0})").error(),
            (DecodeError{DecodeErrorKind::InvalidField, "mark"}));
  KvRequest watch;
  watch.kind = KvRequest::Kind::Watch;
  const auto changes = decode_kv_response(
      watch, 200,
      R"({"tide":9,"log":[{"set":"c/9","data":{"y":2},"mark":8},{"drop":"c/d","mark":9}]})");
  ASSERT_TRUE(changes);
  ASSERT_EQ(changes->items.size(), 2U);
  EXPECT_EQ(changes->items[0].value, R"({"y":2})");
  EXPECT_TRUE(changes->items[1].deleted);
}

TEST(CloudCodec, LackOfCapacityIsDistinguishedFromErrors) {
  CloudRequest scale_out;
  scale_out.kind = CloudRequest::Kind::ScaleOut;
  scale_out.scale_out = {"r-1-1", "g8", "a", true, 12};
  EXPECT_EQ(encode_cloud_request(scale_out).body,
            R"({"charter":"r-1-1","hull":"g8","harbor":"a","driftwood":true,"how_many":12})");
  EXPECT_TRUE(decode_cloud_response(scale_out, 503, R"({"error":"no capacity"})")->no_capacity);
  EXPECT_FALSE(decode_cloud_response(scale_out, 503, R"({"error":"trouble"})")->no_capacity);
  EXPECT_EQ(decode_cloud_response(scale_out, 200, "gibberish").value_or({}).status, 0);
  EXPECT_EQ(decode_cloud_response(scale_out, 200, "{}").error(),
            (DecodeError{DecodeErrorKind::InvalidField, "vessels"}));
}

TEST(PeerFrames, RoundTripInFragmentsOfAnySize) {
  PeerMessage request;
  request.kind = PeerMessage::Kind::Request;
  request.request = {77, RequestOp::Submit, "job-1", std::string(60'000, 'x'), true};
  PeerMessage response;
  response.kind = PeerMessage::Kind::Response;
  response.response = {78, 503, 1, 2'500, "{}"};
  PeerMessage response_without_expiry = response;
  response_without_expiry.response.valid_ms.reset();
  PeerMessage heartbeat;
  heartbeat.heartbeat.node = "node-0";
  heartbeat.heartbeat.epoch = 5;
  heartbeat.heartbeat.leading = true;
  heartbeat.heartbeat.hears_leader = true;
  heartbeat.heartbeat.receives_worker_heartbeats = true;
  heartbeat.heartbeat.incarnation = 7;
  heartbeat.heartbeat.clock = 1'000;
  heartbeat.heartbeat.acknowledged_incarnation = 8;
  heartbeat.heartbeat.acknowledged_clock = 900;
  heartbeat.heartbeat.keep_alive_ms = 35'000;
  heartbeat.heartbeat.last_kept_alive_ms_ago = 0;
  const std::string bytes = encode_peer(request) + encode_peer(response) + encode_peer(heartbeat) +
                            encode_peer(response_without_expiry);
  pcg32 random(3);
  PeerReader reader;
  std::vector<PeerMessage> out;
  for (std::size_t offset = 0; offset < bytes.size();) {
    const std::size_t length = std::min<std::size_t>(bytes.size() - offset, 1 + random(4000));
    reader.feed(std::string_view(bytes).substr(offset, length));
    offset += length;
    while (auto m = reader.next()) out.push_back(*m);
  }
  ASSERT_EQ(out.size(), 4U);
  EXPECT_EQ(out[0].request.body.size(), 60'000U);
  EXPECT_TRUE(out[0].request.relay);
  EXPECT_EQ(out[1].response.status, 503);
  EXPECT_EQ(out[1].response.valid_ms, 2'500U);
  EXPECT_FALSE(out[3].response.valid_ms.has_value());
  const ControllerHeartbeat& decoded = out[2].heartbeat;
  EXPECT_TRUE(decoded.leading && decoded.hears_leader && !decoded.keeps_workers_alive &&
              decoded.receives_worker_heartbeats);
  EXPECT_EQ(decoded.node, "node-0");
  EXPECT_EQ(decoded.incarnation, 7U);
  EXPECT_EQ(decoded.clock, 1'000);
  EXPECT_EQ(decoded.acknowledged_incarnation, 8U);
  EXPECT_EQ(decoded.acknowledged_clock, 900);
  EXPECT_EQ(decoded.keep_alive_ms, 35'000U);
  EXPECT_EQ(decoded.last_kept_alive_ms_ago, 0U);  // 0 ms ago, which differs from never
}

TEST(PeerFrames, InvalidFramesBreakTheStream) {
  PeerMessage heartbeat;
  heartbeat.heartbeat.node = "node-0";
  heartbeat.heartbeat.epoch = 5;
  heartbeat.heartbeat.leading = true;
  heartbeat.heartbeat.hears_leader = false;
  const std::string valid_frame = encode_peer(heartbeat);
  pcg32 random(4);
  for (std::size_t length = 0; length < valid_frame.size(); ++length) {
    PeerReader truncated;
    truncated.feed(std::string_view(valid_frame).substr(0, length));
    EXPECT_FALSE(truncated.next());
    EXPECT_FALSE(truncated.broken());
  }
  // Changes the magic, the version, the kind, the frame's length, and the name's length, which then
  // contradicts the frame's length.
  for (const std::size_t byte : {0U, 4U, 5U, 8U, 11U, 62U}) {
    std::string corrupted_frame = valid_frame;
    corrupted_frame[byte] = static_cast<char>(corrupted_frame[byte] ^ 0x41);
    PeerReader reader;
    reader.feed(corrupted_frame + std::string(100, '\0'));
    EXPECT_FALSE(reader.next()) << byte;
    EXPECT_TRUE(reader.broken()) << byte;
  }
  const auto error_at = [&](std::size_t byte) {
    std::string corrupted_frame = valid_frame;
    corrupted_frame[byte] = static_cast<char>(corrupted_frame[byte] ^ 0x41);
    PeerReader reader;
    reader.feed(corrupted_frame + std::string(100, '\0'));
    EXPECT_FALSE(reader.next());
    return reader.error();
  };
  EXPECT_EQ(error_at(0), (DecodeError{DecodeErrorKind::Unsupported, "magic"}));
  EXPECT_EQ(error_at(4), (DecodeError{DecodeErrorKind::Unsupported, "version"}));
  EXPECT_EQ(error_at(5), (DecodeError{DecodeErrorKind::Unsupported, "kind"}));
  EXPECT_EQ(error_at(11), (DecodeError{DecodeErrorKind::Unsupported, "length"}));
  EXPECT_EQ(error_at(62), (DecodeError{DecodeErrorKind::InvalidField, "node"}));
  for (int i = 0; i < 2000; ++i) {
    std::string corrupted_frame = valid_frame;
    for (int k = 0; k < 3; ++k)
      corrupted_frame[random(static_cast<std::uint32_t>(corrupted_frame.size()))] =
          static_cast<char>(random(256));
    PeerReader reader;
    reader.feed(corrupted_frame);
    if (const auto message = reader.next()) {
      EXPECT_LE(message->heartbeat.node.size(), 256U);
    }
  }
}

/// A settings file in which the text `from`, if not empty, is replaced by `to`.
std::string settings_with(const std::string& from, const std::string& to) {
  std::string file =
      R"({"label":"n0","area":"a","listen":"10.0.0.1:8080","peer_listen":"10.0.0.1:8081",
    "siblings":[{"label":"n1","area":"b","endpoint":"10.0.0.2:8081"}],
    "external":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},"later":1,
    "settings":{"zones":["a","b"],"teams":[{"name":"t","cpus":0,"cpus_max":0,"gpus":4,"gpus_max":8}],
    "objectives":[{"kind":"wait","class":"c","within_s":25.0,"share":0.82}],
    "workers":{"report_s":2,"lease_s":14,"cancel_s":44},
    "state":{"rps":80,"write_rps":20,"value_kb":8,"txn_ops":16},"cloud":{"rps":6,"list_lag_s":6},
    "resources":{"cpu":0.1,"memory_mb":56,"fd_limit":700}}})";
  if (from.empty()) return file;
  const auto at = file.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return file.replace(at, from.size(), to);
}

TEST(SettingsFile, ErrorsNameTheInvalidField) {
  EXPECT_EQ(parse_settings(settings_with("", "")).workers.cancel_s, 44);
  const auto error_message = [](const std::string& text) -> std::string {
    try {
      parse_settings(text);
    } catch (const SettingsError& error) {
      return error.what();
    }
    return "";
  };
  const std::vector<std::array<std::string, 3>> cases{
      {R"("label":"n0",)", "", "label"},
      {R"("listen":"10.0.0.1:8080")", R"("listen":"here")", "listen"},
      {R"("peer_listen":"10.0.0.1:8081")", R"("peer_listen":"10.0.0.1:8080")", "peer_listen"},
      {R"("label":"n1")", R"("label":"n0")", "siblings[0].label"},
      {R"("report_s":2)", R"("report_s":0)", "settings.workers.report_s"},
      {R"("cancel_s":44)", R"("cancel_s":14)", "settings.workers.cancel_s"},
      {R"("txn_ops":16)", R"("txn_ops":1.5)", "settings.state.txn_ops"},
      {R"("gpus_max":8)", R"("gpus_max":-8)", "settings.teams[0].gpus_max"},
      {R"("fd_limit":700)", R"("fd_limit":"many")", "settings.resources.fd_limit"},
      {R"("zones":["a","b"],)", "", "settings.zones"},
      {R"("state":"10.2.0.1:2379")", R"("state":5)", "external.state"}};
  for (const auto& [from, to, field] : cases)
    EXPECT_NE(error_message(settings_with(from, to)).find("settings: " + field + ":"),
              std::string::npos)
        << field << " in " << error_message(settings_with(from, to));
  EXPECT_NE(error_message("[]"), "");
  const std::string operations = R"("txn_ops":16)";
  const auto next = [&](const std::string& fields) {
    return settings_with(operations, operations + ",\"next\":" + fields);
  };
  const std::vector<std::array<std::string, 2>> bad_limits{
      {R"([1])", "settings.state.next"},
      {R"({"value_kb":"2"})", "settings.state.next.value_kb"},
      {R"({"value_kb":0})", "settings.state.next.value_kb"},
      {R"({"value_kb":0.5})", "settings.state.next.value_kb"},
      {R"({"write_rps":-1})", "settings.state.next.write_rps"},
      {R"({"txn_ops":2})", "settings.state.next.txn_ops"},
      {R"({"txn_ops":5.5})", "settings.state.next.txn_ops"}};
  for (const auto& [fields, field] : bad_limits)
    EXPECT_NE(error_message(next(fields)).find("settings: " + field + ":"), std::string::npos)
        << fields << " gave " << error_message(next(fields));
  EXPECT_NE(error_message(settings_with(R"("report_s":2)", R"("report_s":2,"gang_wait_s":0)"))
                .find("settings.workers.gang_wait_s"),
            std::string::npos);
}

TEST(SettingsFile, SmallerOfPresentAndNextLimitsApplies) {
  const std::string operations = R"("txn_ops":16)";
  const Settings lower = parse_settings(settings_with(
      operations, operations + R"(,"next":{"write_rps":15.0,"value_kb":2,"txn_ops":5})"));
  EXPECT_EQ(lower.store_limits.write_rps, 15);
  EXPECT_EQ(lower.store_limits.value_kb, 2);
  EXPECT_EQ(lower.store_limits.txn_ops, 5U);
  EXPECT_EQ(lower.store_limits.rps, 80);
  const Settings higher = parse_settings(
      settings_with(operations, operations + R"(,"next":{"value_kb":64,"txn_ops":99})"));
  EXPECT_EQ(higher.store_limits.value_kb, 8);
  EXPECT_EQ(higher.store_limits.txn_ops, 16U);
}

}  // namespace
}  // namespace sailreel
