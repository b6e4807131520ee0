// Case 2: two machines fail one task each of a service. The service is then taken for a job with a
// mistake for as long as the leader lasts, although its other replicas run, and the replicas that
// it lost are never started again.
//
// Arguments: the controller's program, a folder for settings and logs, the record's file, and
// whether the disruption takes place (1 or 0).
#include "review/standins/deployment.hpp"

namespace {

using namespace review;

constexpr const char* kService = "job-000001";
constexpr std::uint32_t kReplicas = 4;
/// "no job is left waiting for 90 s while a machine that fits has room and its team is under its
/// limit", once the troubles are over.
constexpr Time kLeftWaitingMs = 90'000;
constexpr Time kServiceMs = 2'000, kAllRunByMs = 20'000, kFaultMs = 20'500, kSecondFaultMs = 22'500;

/// tbilisi-listings: 3 controllers in two zones.
Plan make_plan() {
  Plan plan;
  plan.node_zones = {"zona-vake", "zona-isani", "zona-vake"};
  plan.zones = {"zona-vake", "zona-isani"};
  plan.teams = {{"moderacia", 0, 0, 112, 700}, {"dzebna", 0, 0, 160, 3500}};
  plan.report_s = 0.8;
  plan.lease_s = 10;
  plan.cancel_s = 30;
  plan.rps = 250;
  plan.write_rps = 25;
  plan.cloud_rps = 2;
  plan.cpu = 0.064;
  plan.memory_mb = 40;
  plan.fd_limit = 500;
  plan.type.name = "ushba-64";
  plan.type.size = {64, 8, 256};
  plan.type.cache_gb = 200;
  plan.type.fetch_gb_per_s = 50;
  plan.type.price = 25;
  plan.type.spot_price = 5.16;
  plan.type.boot_s = 45;
  plan.type.zones = plan.zones;
  return plan;
}

class Case {
 public:
  Case(Deployment& deployment, bool trouble) : deployment_(deployment), trouble_(trouble) {}

  void begin() {
    deployment_.at(kServiceMs, [this] {
      JobSpec service;
      service.id = kService;
      service.job_class = "mtkvari-ranker";
      service.team = "dzebna";
      service.kind = JobKind::Service;
      service.priority = sailreel::Priority::Production;
      service.tasks = kReplicas;
      service.need = {5, 1, 18};
      service.image = "img-1";
      service.image_gb = 34.3;
      service.spread = true;
      deployment_.submit(service);
    });
    deployment_.at(kAllRunByMs, [this] {
      if (deployment_.on_machines(kService) < kReplicas)
        deployment_.finish(2, "the case couldn't run: the service doesn't run yet");
    });
    deployment_.at(kFaultMs, [this] { fault(); });
    deployment_.at(kSecondFaultMs, [this] { fault(); });
    deployment_.on_tick = [this] { observe(); };
    deployment_.at(kSecondFaultMs + kLeftWaitingMs + 3'000, [this] { judge(); });
  }

 private:
  // Another machine than before is faulty: a replica that it runs fails.
  void fault() {
    if (!trouble_) return;
    for (auto& [name, worker] : deployment_.workers) {
      if (worker->stopped() || faulty_.contains(name) || !worker->fail_one_task(kService)) continue;
      faulty_.insert(name);
      return;
    }
    deployment_.finish(2, "the case couldn't run: no other machine runs a replica");
  }

  // The job waits while fewer replicas are on machines, or fetch their image there, than it has. A
  // machine fits a replica if it is up, its zone may take one more, and it has room.
  void observe() {
    const Time now = deployment_.now();
    if (now < kSecondFaultMs + 100) return;
    std::map<std::string, std::size_t> in_zone;
    std::size_t held = 0;
    for (const auto& [name, worker] : deployment_.workers) {
      held += worker->holding(kService);
      in_zone[worker->zone] += worker->holding(kService);
    }
    bool fits = false;
    for (const auto& [name, worker] : deployment_.workers)
      fits = fits || (!worker->stopped() && in_zone[worker->zone] < (kReplicas + 1) / 2 &&
                      worker->room_for(deployment_.jobs[kService].spec.need));
    if (held >= kReplicas || !fits)
      waiting_since_ = now;
    else
      longest_wait_ = std::max(longest_wait_, now - waiting_since_);
  }

  void judge() {
    const std::size_t run = deployment_.on_machines(kService);
    const bool left_waiting = longest_wait_ > kLeftWaitingMs;
    char text[200];
    std::snprintf(text, sizeof text,
                  "%s: %zu of %u replicas run; the job waited for %.1f s at the longest while a "
                  "machine that fits had room",
                  left_waiting ? "broken" : "held", run, kReplicas,
                  static_cast<double>(longest_wait_) / 1000.0);
    deployment_.finish(left_waiting ? 1 : 0, text);
  }

  Deployment& deployment_;
  const bool trouble_;
  std::set<std::string> faulty_;
  Time waiting_since_ = kSecondFaultMs, longest_wait_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  Deployment deployment(make_plan(), argv[1], argv[2], argv[3]);
  Case history(deployment, std::string(argv[4]) != "0");
  deployment.start();
  history.begin();
  deployment.loop.run();
  return 2;
}
