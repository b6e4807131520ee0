// Writes to the given folder, byte for byte, what the version in production sends to its peers and
// stores in the checkpoint. tests/fixtures/production holds the output. Run it again only when
// `production` in deploy/service.toml names another commit.
#include <fstream>
#include <iostream>

#include "production/protocol/peer_frames.hpp"
#include "production/storage/checkpoint.hpp"

namespace {

using namespace sailreel_production;

void write(const std::string& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary) << bytes;
}

PeerMessage heartbeat() {
  PeerMessage message;
  message.heartbeat.node = "node-1";
  message.heartbeat.epoch = 9;
  message.heartbeat.leading = true;
  message.heartbeat.hears_workers = true;
  message.heartbeat.incarnation = 77;
  message.heartbeat.clock = 123'456;
  message.heartbeat.acknowledged_incarnation = 78;
  message.heartbeat.acknowledged_clock = 120'000;
  message.heartbeat.keep_ms = 20'000;
  message.heartbeat.kept_alive_ms = 500;
  return message;
}

PeerMessage request() {
  PeerMessage message;
  message.kind = PeerMessage::Kind::Request;
  message.request = {41, UserOp::Cancel, "job-000412", "{}"};
  return message;
}

PeerMessage answer() {
  PeerMessage message;
  message.kind = PeerMessage::Kind::Answer;
  message.answer = {41, 503, 1, 2'500, R"({"error":"no leader"})"};
  return message;
}

JobRecord record(const std::string& id, std::uint32_t tasks) {
  JobRecord out;
  out.spec.id = id;
  out.spec.job_class = "batch";
  out.spec.team = "red";
  out.spec.kind = JobKind::Array;
  out.spec.priority = Priority::Normal;
  out.spec.tasks = tasks;
  out.spec.need = {5, 1, 35};
  out.spec.image = "img-07";
  out.spec.image_gb = 42.7;
  out.spec.any_type = false;
  out.spec.types = {"box"};
  out.spec.zone = "za";
  out.spec.one_zone = out.spec.spot = true;
  out.spec.estimate_s = 50;
  out.spec.checkpoint_s = 30;
  out.spec.save_s = 4;
  out.spec.deadline_s = 900;
  out.submitted_wall_ms = 1'700'000'000'123;
  out.seq = 12;
  out.started = 3;
  out.done = Bitmap(tasks);
  out.done.set(1);
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: write_fixtures FOLDER\n";
    return 2;
  }
  const std::string folder = std::string(argv[1]) + "/";
  write(folder + "heartbeat.bin", encode_peer(heartbeat()));
  write(folder + "request.bin", encode_peer(request()));
  write(folder + "answer.bin", encode_peer(answer()));
  JobRecord finished = record("job-000007", 4);
  finished.phase = Phase::Done;
  finished.final = true;
  const RentalRequest rental{"r-9-1", "box", "za", true, 3};
  write(folder + "head.json",
        encode_head({12, 9, {rental}}, {encode_record(record("job-000412", 16))}));
  write(folder + "shard.json",
        encode_shard({encode_record(record("job-000413", 9'000)), encode_record(finished)}));
  write(folder + "machines.json",
        encode_machines({{"m-000231", "10.1.0.232:9000", {{"img-07", 42.7}}}}));
  write(folder + "piece.json",
        "{\"h\":\"" + record("job-000413", 9'000).done.hex(0, kPieceBits) + "\"}");
  write(folder + "leader.json", encode_leader({"node-1", 9, 5}));
}
