// A service's only replica fails once, on a machine that holds its image. Is it started again?
#include "platform.hpp"

using namespace standin;

int main(int argc, char** argv) {
  const Arguments arguments = read_arguments(argc, argv);
  Deployment deployment;
  deployment.fetch_gb_per_s = 3.0;  // "give or take a third" of 2.3
  Platform platform(arguments.program, arguments.directory, arguments.record, deployment);
  platform.max_machines = 2;
  platform.poll_every_s = 2;
  for (std::size_t node = 0; node < platform.nodes(); ++node) platform.start_node(node);

  const std::string id = "job-000001";
  bool submitted = false, ran = false, failed = false, over = false;
  double ran_s = 0, trouble_over_s = 0;
  // The disruption: this task ends with `error`, once, after it has run for some seconds. Nothing
  // else fails in the whole run.
  platform.fails = [&](const Worker&, const sailreel::TaskKey& key) {
    if (!arguments.trouble || !ran || failed || key.job != id || platform.now_s() < ran_s + 3)
      return false;
    failed = true;
    trouble_over_s = platform.now_s();
    return true;
  };
  platform.run(117, [&] {
    if (!submitted && platform.leader() && platform.now_s() > 2) {
      submitted = true;
      // One replica, and in each of two zones a service that keeps a machine up there. Both
      // machines have room for five more replicas all the time.
      sailreel::JobSpec one = feria(id, 1, "img-01");
      one.image_gb = 38;
      platform.submit(one);
      for (const int zone : {0, 1}) {
        sailreel::JobSpec other = feria("job-00000" + std::to_string(2 + zone), 2, "img-02");
        other.image_gb = 1;
        other.zone = deployment.zones[static_cast<std::size_t>(zone)];
        platform.submit(other);
      }
    }
    if (!submitted) return false;
    Job& job = platform.jobs().at(id);
    ran = ran ||
          (platform.running(job) == 1 && platform.running(platform.jobs().at("job-000002")) == 2 &&
           platform.running(platform.jobs().at("job-000003")) == 2);
    if (!ran) ran_s = platform.now_s();
    if (!ran) return false;
    if (!arguments.trouble)
      trouble_over_s = trouble_over_s == 0 ? platform.now_s() : trouble_over_s;
    if (trouble_over_s == 0) return false;
    if (platform.left_waiting_s(job) > 90) {
      platform.broken("left_waiting", id + " has waited for 90 s beside room that fits");
      return true;
    }
    over = platform.now_s() > trouble_over_s + 93;
    return over;
  });
  finish(platform, over);
}
