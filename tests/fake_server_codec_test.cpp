// Tests that the codecs of the fake servers and those of the daemon decode what the other encodes.
#include "protocol/fake_server_codec.hpp"

#include <gtest/gtest.h>

#include "protocol/cloud_codec.hpp"
#include "protocol/kv_codec.hpp"
#include "protocol/user_codec.hpp"
#include "protocol/worker_codec.hpp"

namespace sailreel {
namespace {

TEST(FakeServerCodec, HeartbeatsRoundTrip) {
  Heartbeat heartbeat;
  heartbeat.machine = "m-000231";
  heartbeat.address = "127.10.0.2:9000";
  heartbeat.type = "g8";
  heartbeat.zone = "a";
  heartbeat.spot = true;
  heartbeat.incarnation = 3;
  heartbeat.seq = 88;
  heartbeat.fencing_token = 41;
  heartbeat.reclaim_in_s = 7.5;
  heartbeat.tasks.push_back({{"job-412", 3}, 2, RunState::Waiting, ExitCause::None, false});
  heartbeat.tasks.push_back({{"job-398", 0}, 1, RunState::Exited, ExitCause::PeersGone, true});
  const auto read = decode_heartbeat(encode_heartbeat(heartbeat));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->machine, heartbeat.machine);
  EXPECT_EQ(read->address, heartbeat.address);
  EXPECT_EQ(read->type, heartbeat.type);
  EXPECT_EQ(read->zone, heartbeat.zone);
  EXPECT_TRUE(read->spot);
  EXPECT_EQ(read->incarnation, 3U);
  EXPECT_EQ(read->seq, 88U);
  EXPECT_EQ(read->fencing_token, 41U);
  EXPECT_EQ(read->reclaim_in_s, 7.5);
  ASSERT_EQ(read->tasks.size(), 2U);
  EXPECT_EQ(task_name(read->tasks[0].key), "job-412/3");
  EXPECT_EQ(read->tasks[0].attempt, 2U);
  EXPECT_EQ(read->tasks[0].state, RunState::Waiting);
  EXPECT_EQ(read->tasks[1].cause, ExitCause::PeersGone);
  EXPECT_TRUE(read->tasks[1].saved);
}

TEST(FakeServerCodec, CommandsRoundTrip) {
  const std::vector<Command> commands{{Command::Op::Start, {"job-1", 4}, 9, 0},
                                      {Command::Op::Stop, {"job-2", 0}, 1, 2.5},
                                      {Command::Op::Forget, {"job-3", 1}, 7, 0}};
  const auto response = decode_commands(encode_heartbeat_response(41, commands));
  ASSERT_TRUE(response);
  EXPECT_EQ(response->fencing_token, 41U);
  EXPECT_FALSE(response->incarnation);
  ASSERT_EQ(response->commands.size(), 3U);
  EXPECT_EQ(response->commands[0].op, Command::Op::Start);
  EXPECT_EQ(task_name(response->commands[0].key), "job-1/4");
  EXPECT_EQ(response->commands[0].attempt, 9U);
  EXPECT_EQ(response->commands[1].op, Command::Op::Stop);
  EXPECT_EQ(response->commands[1].grace_s, 2.5);
  EXPECT_EQ(response->commands[2].op, Command::Op::Forget);

  const auto direct = decode_commands(encode_command_request(41, 5, commands));
  ASSERT_TRUE(direct);
  EXPECT_EQ(direct->incarnation, 5U);
}

TEST(FakeServerCodec, CommandsWithoutAFencingTokenOrWithAnInvalidTaskAreRejected) {
  EXPECT_FALSE(decode_commands(R"({"orders":[]})"));
  EXPECT_FALSE(
      decode_commands(R"({"helm":1,"orders":[{"signal":"start","hand":"job-1","launch":1}]})"));
  EXPECT_FALSE(
      decode_commands(R"({"helm":1,"orders":[{"signal":"start","hand":"job-1/x","launch":1}]})"));
  EXPECT_FALSE(decode_commands("not JSON"));
}

TEST(FakeServerCodec, RedirectsRoundTrip) {
  EXPECT_EQ(decode_redirect(encode_redirect("node-2")), "node-2");
  EXPECT_EQ(decode_redirect(encode_redirect("")), "");
}

TEST(FakeServerCodec, SubmissionsRoundTrip) {
  JobSpec spec;
  spec.id = "job-17";
  spec.job_class = "batch";
  spec.team = "red";
  spec.kind = JobKind::Gang;
  spec.priority = Priority::High;
  spec.tasks = 4;
  spec.need = {2, 1, 10};
  spec.image = "img";
  spec.image_gb = 3;
  spec.zone = "za";
  spec.spot = true;
  spec.estimate_s = 12;
  spec.checkpoint_s = 4;
  spec.save_s = 1;
  const auto read = decode_submission(encode_submission(spec));
  ASSERT_TRUE(read) << read.error().field;
  EXPECT_EQ(read->id, spec.id);
  EXPECT_EQ(read->kind, JobKind::Gang);
  EXPECT_EQ(read->priority, Priority::High);
  EXPECT_EQ(read->tasks, 4U);
  EXPECT_EQ(read->need, spec.need);
  EXPECT_EQ(read->zone, "za");
  EXPECT_TRUE(read->spot);
  EXPECT_EQ(read->save_s, 1);
}

/// Encodes the request with the daemon's codec and decodes it with the fake's.
std::optional<KvRequest> encode_and_decode(const KvRequest& request) {
  const HttpRequest http_request = encode_kv_request(request);
  return decode_kv_request(http_request.method, http_request.path, http_request.body);
}

TEST(FakeServerCodec, KvRequestsOfEachKindRoundTrip) {
  using Kind = KvRequest::Kind;
  for (const Kind kind :
       {Kind::Get, Kind::List, Kind::Txn, Kind::Grant, Kind::Renew, Kind::Revoke, Kind::Watch}) {
    KvRequest request;
    request.kind = kind;
    request.key = "sailreel/x";
    request.from = "sailreel/a";
    request.limit = 77;
    request.lease = 12;
    request.revision = 431;
    request.ttl_ms = 5'000;
    request.wait_ms = 9'000;
    request.conditions.push_back({"a/b", 3});
    request.puts.push_back({"a/b", R"({"k":[1,2]})", 7});
    request.deletes.emplace_back("c/d");
    const auto read = encode_and_decode(request);
    ASSERT_TRUE(read) << static_cast<int>(kind);
    EXPECT_EQ(read->kind, kind);
    if (kind == Kind::Get || kind == Kind::List || kind == Kind::Watch) {
      EXPECT_EQ(read->key, request.key);
    }
    if (kind == Kind::List) {
      EXPECT_EQ(read->from, request.from);
      EXPECT_EQ(read->limit, 77U);
    }
    if (kind == Kind::Grant) {
      EXPECT_EQ(read->ttl_ms, 5'000);
    }
    if (kind == Kind::Renew || kind == Kind::Revoke) {
      EXPECT_EQ(read->lease, 12U);
    }
    if (kind == Kind::Watch) {
      EXPECT_EQ(read->revision, 431U);
      EXPECT_EQ(read->wait_ms, 9'000);
    }
    if (kind != Kind::Txn) continue;
    ASSERT_EQ(read->conditions.size(), 1U);
    EXPECT_EQ(read->conditions[0].version, 3U);
    ASSERT_EQ(read->puts.size(), 1U);
    EXPECT_EQ(read->puts[0].value, R"({"k":[1,2]})");
    EXPECT_EQ(read->puts[0].lease, 7U);
    EXPECT_EQ(read->deletes, request.deletes);
  }
}

TEST(FakeServerCodec, KvResponsesRoundTrip) {
  KvRequest list;
  list.kind = KvRequest::Kind::List;
  KvResponse kv_response;
  kv_response.status = 200;
  kv_response.revision = 9;
  kv_response.has_more = true;
  kv_response.items.push_back({"k/1", R"({"a":1})", 4, false});
  ServiceResponse response = encode_kv_response(list, kv_response);
  KvResponse read = *decode_kv_response(list, response.status, response.body);
  EXPECT_EQ(read.revision, 9U);
  EXPECT_TRUE(read.has_more);
  ASSERT_EQ(read.items.size(), 1U);
  EXPECT_EQ(read.items[0].value, R"({"a":1})");

  KvRequest watch;
  watch.kind = KvRequest::Kind::Watch;
  kv_response.items.push_back({"k/2", "", 5, true});
  response = encode_kv_response(watch, kv_response);
  read = *decode_kv_response(watch, response.status, response.body);
  ASSERT_EQ(read.items.size(), 2U);
  EXPECT_TRUE(read.items[1].deleted);

  KvRequest transaction;
  transaction.kind = KvRequest::Kind::Txn;
  kv_response.status = 409;
  response = encode_kv_response(transaction, kv_response);
  EXPECT_EQ(decode_kv_response(transaction, response.status, response.body)->status, 409);
}

TEST(FakeServerCodec, CloudRequestsAndResponsesRoundTrip) {
  CloudRequest scale_out;
  scale_out.kind = CloudRequest::Kind::ScaleOut;
  scale_out.scale_out = {"r-17", "g8", "a", true, 12};
  HttpRequest request = encode_cloud_request(scale_out);
  auto read = decode_cloud_request(request.method, request.path, request.body);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->scale_out.request_id, "r-17");
  EXPECT_EQ(read->scale_out.count, 12U);
  EXPECT_TRUE(read->scale_out.spot);
  CloudResponse rejection;
  rejection.status = 503;
  rejection.no_capacity = true;
  ServiceResponse response = encode_cloud_response(scale_out, rejection);
  EXPECT_TRUE(decode_cloud_response(scale_out, response.status, response.body)->no_capacity);

  CloudRequest list;
  list.kind = CloudRequest::Kind::List;
  list.after = "m-000230";
  request = encode_cloud_request(list);
  read = decode_cloud_request(request.method, request.path, request.body);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->after, "m-000230");
  CloudResponse machines;
  machines.status = 200;
  machines.machines.push_back(
      {ListedMachine::State::Failed, "m-1", "127.10.0.1:9000", "g8", "a", true, 61.5});
  response = encode_cloud_response(list, machines);
  const CloudResponse listed = *decode_cloud_response(list, response.status, response.body);
  ASSERT_EQ(listed.machines.size(), 1U);
  EXPECT_EQ(listed.machines[0].state, ListedMachine::State::Failed);
  EXPECT_EQ(listed.machines[0].age_s, 61.5);
}

TEST(FakeServerCodec, MalformedRequestsAreRejected) {
  EXPECT_FALSE(decode_kv_request("POST", "/multi", "[]"));
  EXPECT_FALSE(decode_kv_request("POST", "/multi", R"({"then":[{"put":"a"}]})"));
  EXPECT_FALSE(decode_kv_request("POST", "/leases", "{}"));
  EXPECT_FALSE(decode_kv_request("GET", "/leases/7/renew", ""));
  EXPECT_FALSE(decode_kv_request("DELETE", "/store/a", ""));
  EXPECT_FALSE(decode_kv_request("GET", "/follow?prefix=a&from=x", ""));
  EXPECT_FALSE(decode_cloud_request("POST", "/machines", "{}"));
  EXPECT_FALSE(decode_cloud_request("GET", "/other", ""));
}

}  // namespace
}  // namespace sailreel
