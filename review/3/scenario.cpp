// Case 3: two jobs fail once each on one machine, some seconds apart. The machine gets no work for
// as long as the leader lasts, although it fails nothing any more, and a job that fits nowhere else
// waits for ever beside its free room.
//
// Arguments: the controller's program, a folder for settings and logs, the record's file, and
// whether the disruption takes place (1 or 0).
#include "review/standins/deployment.hpp"

namespace {

using namespace review;

constexpr const char* kLarge = "job-000001";
constexpr const char* kFirst = "job-000002";
constexpr const char* kSecond = "job-000003";
/// "no job is left waiting for 90 s while a machine that fits has room and its team is under its
/// limit", once the troubles are over.
constexpr Time kLeftWaitingMs = 90'000;
constexpr Time kLargeMs = 2'000, kSmallMs = 9'000, kAllRunByMs = 15'000, kFaultMs = 15'500,
               kSecondFaultMs = 20'500;

/// tbilisi-listings: 3 controllers in two zones. The cloud has three machines for it.
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
  plan.capacity = {{{"zona-vake", false}, 2},
                   {{"zona-isani", false}, 1},
                   {{"zona-vake", true}, 0},
                   {{"zona-isani", true}, 0}};
  return plan;
}

JobSpec service(const char* id, const char* job_class, const char* team, std::uint32_t tasks,
                Resources need) {
  JobSpec spec;
  spec.id = id;
  spec.job_class = job_class;
  spec.team = team;
  spec.kind = JobKind::Service;
  spec.priority = sailreel::Priority::Production;
  spec.tasks = tasks;
  spec.need = need;
  spec.image = "img-1";
  spec.image_gb = 34.3;
  return spec;
}

class Case {
 public:
  Case(Deployment& deployment, bool trouble) : deployment_(deployment), trouble_(trouble) {}

  void begin() {
    // Two replicas that take a machine each; the third machine is left to the small services.
    deployment_.at(kLargeMs, [this] {
      JobSpec spec = service(kLarge, "mtkvari-ranker", "dzebna", 2, {11, 8, 35});
      spec.spread = true;
      deployment_.submit(spec);
    });
    deployment_.at(kSmallMs, [this] {
      deployment_.submit(service(kFirst, "saguramo-live", "moderacia", 1, {11, 2, 35}));
      deployment_.submit(service(kSecond, "mtkvari-ranker", "dzebna", 1, {5, 1, 18}));
    });
    deployment_.at(kAllRunByMs, [this] {
      if (deployment_.on_machines(kLarge) < 2 || deployment_.on_machines(kFirst) < 1 ||
          deployment_.on_machines(kSecond) < 1)
        deployment_.finish(2, "the case couldn't run: the services don't run yet");
    });
    deployment_.at(kFaultMs, [this] { fault(kFirst); });
    deployment_.at(kSecondFaultMs, [this] { fault(kSecond); });
    deployment_.on_tick = [this] { observe(); };
    deployment_.at(kSecondFaultMs + kLeftWaitingMs + 3'000, [this] { judge(); });
  }

 private:
  // The task of the job fails on its machine.
  void fault(const char* job) {
    if (!trouble_) return;
    for (auto& [name, worker] : deployment_.workers)
      if (!worker->stopped() && worker->fail_one_task(job)) {
        if (machine_.empty()) machine_ = name;
        if (machine_ == name) return;
        deployment_.finish(2, "the case couldn't run: the jobs are on two machines");
      }
    deployment_.finish(2, "the case couldn't run: the job doesn't run");
  }

  // A job waits while its task is on no machine and no machine fetches its image for it.
  void observe() {
    const Time now = deployment_.now();
    for (const char* job : {kFirst, kSecond}) {
      std::size_t held = 0;
      bool fits = false;
      for (const auto& [name, worker] : deployment_.workers) {
        held += worker->holding(job);
        fits = fits || (!worker->stopped() && worker->room_for(deployment_.jobs[job].spec.need));
      }
      Time& since = waiting_since_[job];
      if (now < kSecondFaultMs + 100 || held > 0 || !fits)
        since = now;
      else
        longest_wait_ = std::max(longest_wait_, now - since);
    }
  }

  void judge() {
    const bool left_waiting = longest_wait_ > kLeftWaitingMs;
    char text[200];
    std::snprintf(text, sizeof text,
                  "%s: %zu and %zu of 1 replica run; a job waited for %.1f s at the longest while "
                  "a machine that fits had room",
                  left_waiting ? "broken" : "held", deployment_.on_machines(kFirst),
                  deployment_.on_machines(kSecond), static_cast<double>(longest_wait_) / 1000.0);
    deployment_.finish(left_waiting ? 1 : 0, text);
  }

  Deployment& deployment_;
  const bool trouble_;
  std::string machine_;
  std::map<std::string, Time> waiting_since_;
  Time longest_wait_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  Deployment deployment(make_plan(), argv[1], argv[2], argv[3]);
  Case faults(deployment, std::string(argv[4]) != "0");
  deployment.start();
  faults.begin();
  deployment.loop.run();
  return 2;
}
