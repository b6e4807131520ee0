// Two of a service's four replicas fail once, on two machines. Do all four run again?
#include "platform.hpp"

using namespace standin;

constexpr std::uint32_t kReplicas = 4;

int main(int argc, char** argv) {
  const Arguments arguments = read_arguments(argc, argv);
  Platform platform(arguments.program, arguments.directory, arguments.record, Deployment());
  platform.max_machines = 2;
  platform.poll_every_s = 2;
  for (std::size_t node = 0; node < platform.nodes(); ++node) platform.start_node(node);

  const std::string id = "job-000001";
  std::set<std::string> failed_on;
  double trouble_over_s = 0;
  bool submitted = false, ran = false, over = false;
  // The disruption: each of the two machines ends one task with `error`, once.
  platform.fails = [&](const Worker& worker, const sailreel::TaskKey& key) {
    if (!arguments.trouble || !ran || key.job != id || !failed_on.insert(worker.name).second)
      return false;
    if (failed_on.size() == 2) trouble_over_s = platform.now_s();
    return true;
  };
  platform.run(117, [&] {
    if (!submitted && platform.leader() && platform.now_s() > 3) {
      submitted = true;
      sailreel::JobSpec spec = feria(id, kReplicas, "img-01");
      spec.image_gb = 1;
      platform.submit(spec);
      // A second service. The two fill a machine, and with the headroom a second one is rented.
      sailreel::JobSpec other = feria("job-000002", 4, "img-02");
      other.image_gb = 1;
      platform.submit(other);
    }
    if (!submitted) return false;
    Job& job = platform.jobs().at(id);
    ran = ran ||
          (platform.running(job) == kReplicas &&
           platform.running(platform.jobs().at("job-000002")) == 4 && platform.workers.size() == 2);
    if (!ran) return false;
    if (!arguments.trouble && trouble_over_s == 0) trouble_over_s = platform.now_s();
    if (trouble_over_s == 0) return false;
    if (platform.left_waiting_s(job) > 90) {
      platform.broken("left_waiting", id + " has had " + std::to_string(platform.on_machines(job)) +
                                          " of 4 replicas for 90 s beside room that fits");
      return true;
    }
    over = platform.now_s() > trouble_over_s + 93;
    return over;
  });
  finish(platform, over);
}
