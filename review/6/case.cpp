// The machine of a small job stops, and no other is up. Is the job started again?
#include "platform.hpp"

using namespace standin;

int main(int argc, char** argv) {
  const Arguments arguments = read_arguments(argc, argv);
  Deployment deployment;  // tbilisi-listings
  deployment.node_zones = {"zona-vake", "zona-isani", "zona-vake"};
  deployment.zones = deployment.type.zones = {"zona-vake", "zona-isani"};
  deployment.team = "gayidvebi";
  deployment.team_gpus = 192;
  deployment.team_gpus_max = 5000;
  deployment.report_s = 0.8;
  deployment.lease_s = 10;
  deployment.cancel_s = 30;
  deployment.state_rps = 250;
  deployment.state_write_rps = 25;
  deployment.cloud_rps = 2;
  deployment.type.name = "ushba-64";
  deployment.type.size = {64, 8, 256};
  deployment.type.boot_s = 45;
  Platform platform(arguments.program, arguments.directory, arguments.record, deployment);
  platform.poll_every_s = 2;
  for (std::size_t node = 0; node < platform.nodes(); ++node) platform.start_node(node);

  enum { Start, First, Small, Alone, Wait } step = Start;
  double since_s = 0;
  std::size_t rentals_before = 0;
  bool over = false;
  platform.run(117, [&] {
    auto& jobs = platform.jobs();
    if (step == Start && platform.leader() && platform.now_s() > 2) {
      // A job that is large enough to have a machine rented.
      step = First;
      sailreel::JobSpec spec = feria("job-000001", 1, "img-01");
      spec.job_class = "mtkvari-ranker";
      spec.team = deployment.team;
      spec.image_gb = 0.5;
      platform.submit(spec);
    } else if (step == First && platform.running(jobs.at("job-000001")) == 1) {
      // ptkvili-jobs: one task of 0.25 CPUs, 150 to 225 s.
      step = Small;
      sailreel::JobSpec spec = cosecha("job-000002", 1, "img-01");
      spec.job_class = "ptkvili-jobs";
      spec.team = deployment.team;
      spec.need = {0.25, 0, 0.9};
      spec.image_gb = 0.5;
      spec.estimate_s = 200;
      platform.submit(spec, 200);
    } else if (step == Small && platform.running(jobs.at("job-000002")) == 1) {
      step = Alone;
      platform.cancel(jobs.at("job-000001"));
    } else if (step == Alone && jobs.at("job-000001").told_cancelled != 0) {
      step = Wait;
      since_s = platform.now_s();
      rentals_before = platform.rental_requests;
      // The disruption: each machine that is up stops, with all that is on it.
      if (arguments.trouble)
        for (auto& [name, worker] : platform.workers)
          if (worker.alive) {
            platform.record("machine " + name + " stops");
            platform.take_back(name);
          }
    } else if (step == Wait && platform.now_s() > since_s + 100) {
      over = true;
      Job& job = jobs.at("job-000002");
      if (platform.on_machines(job) == 0)
        platform.broken("accepted_job_must_run",
                        job.spec.id + " has waited for 100 s; requests to rent a machine: " +
                            std::to_string(platform.rental_requests - rentals_before));
      return true;
    }
    return false;
  });
  finish(platform, over);
}
