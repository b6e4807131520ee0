// What users are told where troubles meet: no node may say less than another has said before.
#include <gtest/gtest.h>

#include "sim/scenes.hpp"

namespace sailreel::sim {
namespace {

void ask_everywhere(World& world, std::size_t jobs, Time from, Time until, Time every) {
  for (Time t = from; t < until; t += every) {
    world.run_until(t);
    for (std::size_t n = 0; n < jobs; ++n)
      for (std::size_t node = 0; node < 3; ++node) world.ask(job_id(n), node, UserOp::Query);
  }
}

// Meeting: a transaction is carried out at once and only its answer is lost, while other nodes read
// what it wrote; users ask at all nodes. Seen on simulated machines: the leader went on saying
// "running" of jobs that a node without a way to it had read to be over.
TEST(Answers, ARoundInDoubtIsNotAnsweredInItsOldForm) {
  constexpr std::size_t kJobs = 12;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    DayPlan plan = quiet(seed);
    plan.length = 70'000;
    World world(plan);
    world.run_until(1'000);
    for (std::size_t n = 0; n < kJobs; ++n)
      world.submit(n % 2 == 0 ? service(job_id(n), 1) : array(job_id(n), 1, 28));
    world.run_until(40'000);
    const int lead = world.leader();
    ASSERT_GE(lead, 0);
    for (int i = 0; i < 3; ++i)
      if (i != lead)
        world.cut(node_name(static_cast<std::size_t>(lead)), node_name(static_cast<std::size_t>(i)),
                  12'000, false);
    ask_everywhere(world, kJobs, 40'000, 42'000, 200);
    world.late_writes(0.9, 9'000, true);
    for (std::size_t n = 0; n < kJobs; n += 2) world.cancel(job_id(n));
    ask_everywhere(world, kJobs, 42'000, 51'000, 60);
    world.run();
    EXPECT_TRUE(world.checker().violations().empty()) << seed << " " << world.checker().summary();
    EXPECT_EQ(world.checker().jobs_over(), kJobs) << seed;
  }
}

}  // namespace
}  // namespace sailreel::sim
