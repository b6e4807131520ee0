// Room that a scheduling pass reserves for a task without placing it there: the task uses it soon,
// or is placed elsewhere, and nothing is stopped, moved or requested in vain.
#include <gtest/gtest.h>

#include "support/driven_fleet.hpp"
#include "support/scenarios.hpp"

namespace sailreel::sim {
namespace {

constexpr int kAccepted = 201;
constexpr const char* kResident = "resident";
/// Fetching an image of this size takes longer than the objectives below allow.
constexpr double kLargeImageGb = 40;
constexpr double kObjectiveS = 5;
constexpr double kFetchGbPerS = 2;
constexpr int kFetchS = static_cast<int>(kLargeImageGb / kFetchGbPerS);

/// Objectives that fetching a large image violates: for services of class `kResident` the `wait`
/// objective, for all work within a guarantee the `guarantee` objective.
std::vector<ServiceLevelObjective> tight_objectives() {
  return {{"wait", kResident, kObjectiveS, 0.9}, {"guarantee", "", kObjectiveS, 0.9}};
}

/// A service of class `kResident` with a large image.
JobSpec resident_job(const std::string& id, std::uint32_t replicas) {
  JobSpec spec = service_job(id, replicas);
  spec.job_class = kResident;
  spec.image_gb = kLargeImageGb;
  return spec;
}

/// A service of one replica that keeps a machine up in a zone. Its image is small.
JobSpec keeper_job(const std::string& id, const std::string& zone, bool spot = false) {
  JobSpec spec = service_job(id, 1);
  spec.team = "guest";
  spec.image = "img-keeper";
  spec.image_gb = 1;
  spec.zone = zone;
  spec.spot = spot;
  return spec;
}

// --- Placement: one controller, driven by hand ---

class ReservedRoomTest : public ::testing::Test {
 protected:
  ReservedRoomTest() : driver_(settings()), fleet_(driver_) {
    MachineType type = sample_type();
    type.fetch_gb_per_s = kFetchGbPerS;
    driver_.set_types({type});
    driver_.open_cloud();
    driver_.run_for(2'000);
  }

  static Settings settings() {
    Settings settings = settings_without_peers();
    settings.objectives = tight_objectives();
    return settings;
  }

  void submit(const JobSpec& spec) {
    ASSERT_EQ(driver_.submit(encode_submission(spec)), kAccepted) << spec.id;
  }
  /// Submits a job, and lets its tasks start and fetch their images on one machine.
  void submit_and_start(const JobSpec& spec, const std::string& machine) {
    submit(spec);
    fleet_.run_for_s(4);
    fleet_.finish_fetches(machine);
    fleet_.run_for_s(2);
    ASSERT_EQ(fleet_.machines_of(spec.id), std::vector<std::string>(spec.tasks, machine));
  }

  ControllerDriver driver_;
  DrivenFleet fleet_;
};

using Machines = std::vector<std::string>;

// Guards against a replica that is never started again: it failed once on the machine that holds
// its image. Room was reserved there in each pass, although the ranking prefers other machines.
TEST_F(ReservedRoomTest, AReplicaThatFailedBesideItsImageIsStartedElsewhere) {
  fleet_.add("w-1", "za");
  submit_and_start(keeper_job("job-2", "za"), "w-1");
  submit_and_start(resident_job("job-1", 1), "w-1");
  fleet_.add("w-2", "zb");
  submit_and_start(keeper_job("job-3", "zb"), "w-2");
  const std::uint32_t launched = driver_.machines_launched();

  ASSERT_EQ(fleet_.fail({"job-1", 0}), "w-1");
  fleet_.run_for_s(10);
  EXPECT_EQ(fleet_.machines_of("job-1"), Machines{"w-2"});
  EXPECT_EQ(driver_.machines_launched(), launched);
}

// Guards against work that waits without any failure: an on-demand machine holds its image, and
// the ranking prefers a spot machine without it.
TEST_F(ReservedRoomTest, SpotWorkStartsAtTheOnDemandMachineThatHoldsItsImage) {
  fleet_.add("w-1", "za");
  submit_and_start(keeper_job("job-2", "za"), "w-1");
  JobSpec first = array_job("job-1", 1, 600);
  first.image_gb = kLargeImageGb;
  submit_and_start(first, "w-1");
  fleet_.add("w-2", "zb", true);
  submit_and_start(keeper_job("job-3", "zb", true), "w-2");

  JobSpec second = first;
  second.id = "job-4";
  submit(second);
  fleet_.run_for_s(4);
  EXPECT_EQ(fleet_.machines_of("job-4"), Machines{"w-1"});
}

// Guards against stopping other tasks for room on a machine that the task then avoids because it
// has failed there.
TEST_F(ReservedRoomTest, NothingIsStoppedOnAMachineWhereTheJobHasFailed) {
  fleet_.add("w-1", "za");
  submit_and_start(resident_job("job-1", 1), "w-1");
  JobSpec low = array_job("job-2", 7, 600);  // fills the machine beside the replica
  low.zone = "za";
  low.spot = false;
  submit_and_start(low, "w-1");
  fleet_.add("w-2", "zb");
  submit_and_start(keeper_job("job-3", "zb"), "w-2");

  ASSERT_EQ(fleet_.fail({"job-1", 0}), "w-1");
  fleet_.run_for_s(1);
  submit(keeper_job("job-4", "za"));  // takes the room of the replica that failed
  fleet_.run_for_s(10);
  ASSERT_EQ(fleet_.machines_of("job-4"), Machines{"w-1"});
  EXPECT_EQ(fleet_.machines_of("job-1"), Machines{"w-2"});
  EXPECT_EQ(fleet_.stops_of("job-2"), 0U);
}

// Guards against waiting without an end for tasks that are to stop where the image is: once the
// task has waited for as long as a fetch takes, it fetches the image elsewhere.
TEST_F(ReservedRoomTest, WaitingForRoomAtAnImageHolderIsGivenUpAfterTheTimeOfAFetch) {
  fleet_.add("w-1", "za");
  submit_and_start(resident_job("job-1", 1), "w-1");
  JobSpec low = array_job("job-2", 7, 600);
  low.zone = "za";
  low.spot = false;
  submit_and_start(low, "w-1");
  fleet_.add("w-2", "zb");
  submit_and_start(keeper_job("job-3", "zb"), "w-2");
  fleet_.ignore_stops("w-1");

  JobSpec second = resident_job("job-4", 1);
  submit(second);
  fleet_.run_for_s(kFetchS - 2);
  EXPECT_TRUE(fleet_.machines_of("job-4").empty()) << "w-1 may hold it sooner than w-2";
  fleet_.run_for_s(5);
  EXPECT_EQ(fleet_.machines_of("job-4"), Machines{"w-2"});
}

// The log shows for which job room stays reserved, where and why.
TEST_F(ReservedRoomTest, RoomThatStaysReservedIsLogged) {
  fleet_.add("w-1", "za");
  submit_and_start(resident_job("job-1", 1), "w-1");
  JobSpec low = array_job("job-2", 7, 600);
  low.zone = "za";
  low.spot = false;
  submit_and_start(low, "w-1");
  fleet_.add("w-2", "zb");
  submit_and_start(keeper_job("job-3", "zb"), "w-2");
  fleet_.ignore_stops("w-1");

  submit(resident_job("job-4", 1));
  fleet_.run_for_s(kFetchS - 2);
  const std::vector<std::string> lines = driver_.log_lines(LogEvent::RoomReserved);
  ASSERT_EQ(lines.size(), 2U) << "one line in each lease of 10 s";
  const std::string expected =
      "event=room_reserved machine=w-1 job=job-4 cause=\"image holder preempted\" for_ms=";
  EXPECT_NE(lines[0].find(expected + "0 free=0"), std::string::npos) << lines[0];
  EXPECT_NE(lines[1].find(expected + "10"), std::string::npos) << lines[1];
}

/// An array of one-GPU tasks of the lowest priority that runs for long and is bound to a zone.
JobSpec low_priority_job(const std::string& id, std::uint32_t tasks, const std::string& zone) {
  constexpr double kRunS = 600;
  JobSpec spec = array_job(id, tasks, kRunS);
  spec.team = "guest";
  spec.image_gb = 1;
  spec.zone = zone;
  spec.spot = false;
  return spec;
}

// Guards against stopping tasks for two replicas of a spread service in a zone that may take only
// one of them.
TEST_F(ReservedRoomTest, ForASpreadServiceNoMoreIsStoppedInAZoneThanItMayTake) {
  fleet_.add("w-1", "za");
  submit_and_start(low_priority_job("job-2", 8, "za"), "w-1");
  fleet_.add("w-2", "zb");
  submit_and_start(low_priority_job("job-3", 8, "zb"), "w-2");

  JobSpec spread = service_job("job-1", 2);
  spread.spread = true;
  submit(spread);
  fleet_.run_for_s(10);
  EXPECT_EQ(fleet_.machines_of("job-1"), (Machines{"w-1", "w-2"}));
  EXPECT_EQ(fleet_.stops_of("job-2"), 1U);
  EXPECT_EQ(fleet_.stops_of("job-3"), 1U);
}

// Guards against stopping a task in another zone for a service that has to run in one zone.
TEST_F(ReservedRoomTest, ForAServiceOfOneZoneNothingIsStoppedInAnother) {
  fleet_.add("w-2", "zb");
  submit_and_start(low_priority_job("job-3", 8, "zb"), "w-2");
  fleet_.add("w-1", "za");
  JobSpec replicas = keeper_job("job-4", "za");
  replicas.tasks = 7;
  submit_and_start(replicas, "w-1");
  submit_and_start(low_priority_job("job-2", 1, "za"), "w-1");  // costs least to stop

  JobSpec together = service_job("job-1", 2);
  together.one_zone = true;
  submit(together);
  fleet_.run_for_s(10);
  const std::size_t in_za = fleet_.stops_of("job-2"), in_zb = fleet_.stops_of("job-3");
  EXPECT_TRUE(in_za == 0 || in_zb == 0) << in_za << " in za and " << in_zb << " in zb";
}

// Guards against a spread gang that waits for ever: room in a zone that may take no more of its
// tasks was reserved in place of stopping tasks in the other zone.
TEST_F(ReservedRoomTest, ForASpreadGangTasksAreStoppedInTheZoneThatLacksRoom) {
  fleet_.add("w-1", "za");
  submit_and_start(keeper_job("job-2", "za"), "w-1");
  fleet_.add("w-2", "zb");
  submit_and_start(low_priority_job("job-3", 8, "zb"), "w-2");

  JobSpec gang = gang_job("job-1", 4, 2, 60);
  gang.spread = true;
  submit(gang);
  fleet_.run_for_s(10);
  EXPECT_EQ(fleet_.machines_of("job-1"), (Machines{"w-1", "w-1", "w-2", "w-2"}));
  EXPECT_EQ(fleet_.stops_of("job-3"), 2U);
}

// Guards against stopping tasks, again and again, for a gang that doesn't fit even then.
TEST_F(ReservedRoomTest, NothingIsStoppedForAGangThatDoesNotFitEvenThen) {
  fleet_.add("w-1", "za");
  JobSpec half = keeper_job("job-2", "za");
  half.need = {8, 0, 4};
  submit_and_start(half, "w-1");
  JobSpec low = low_priority_job("job-3", 1, "za");
  low.need = {8, 0, 4};
  submit_and_start(low, "w-1");

  JobSpec gang = gang_job("job-1", 2, 8, 60);
  gang.zone = "za";
  submit(gang);
  fleet_.run_for_s(10);
  EXPECT_EQ(fleet_.stops_of("job-3"), 0U);
  EXPECT_GT(driver_.machines_launched(), 0U) << "a machine is requested for the gang";
}

// Guards against holding a machine for a starved gang that can't use it: the machine will have room
// for all missing tasks, but its zone may take only one of them.
TEST_F(ReservedRoomTest, NoMachineIsHeldForAStarvedGangInAZoneThatMayTakeNoMoreOfIt) {
  fleet_.add("w-1", "za");
  JobSpec array = low_priority_job("job-2", 1, "za");
  array.need = {12, 0, 4};
  array.priority = Priority::Normal;
  submit_and_start(array, "w-1");
  JobSpec gang = gang_job("job-1", 6, 2, 60);
  gang.spread = true;
  submit(gang);
  constexpr int kStarvedAfterS = 60;
  fleet_.run_for_s(kStarvedAfterS);
  ASSERT_TRUE(fleet_.machines_of("job-1").empty());

  submit(low_priority_job("job-3", 1, "za"));
  fleet_.run_for_s(5);
  EXPECT_EQ(fleet_.machines_of("job-3"), Machines{"w-1"});
}

// Guards against a task that waits for as long as its machine is in quarantine, beside room
// elsewhere: it was bound to the machine just before, and its start is not sent.
TEST_F(ReservedRoomTest, ATaskBoundToAMachineInQuarantineIsStartedElsewhere) {
  fleet_.add("w-1", "za");
  submit_and_start(resident_job("job-1", 1), "w-1");
  submit_and_start(resident_job("job-2", 1), "w-1");
  fleet_.add("w-2", "zb");
  submit_and_start(keeper_job("job-3", "zb"), "w-2");

  ASSERT_EQ(fleet_.fail({"job-1", 0}), "w-1");
  ASSERT_EQ(fleet_.fail({"job-2", 0}), "w-1");
  submit(resident_job("job-4", 1));  // the machine that holds its image hasn't reported the errors
  fleet_.run_for_s(5);
  ASSERT_EQ(driver_.log_lines(LogEvent::MachineQuarantined).size(), 1U);
  EXPECT_EQ(fleet_.machines_of("job-4"), Machines{"w-2"});
}

// Guards against requesting machines for all tasks of a job that is probably invalid, of which only
// one task runs at a time.
TEST_F(ReservedRoomTest, ForAJobThatIsLikelyInvalidOneMachineIsRequested) {
  fleet_.add("w-1", "za");
  fleet_.add("w-2", "zb");
  fleet_.run_for_s(1);
  JobSpec invalid = keeper_job("job-1", "");
  invalid.tasks = 6;
  invalid.priority = Priority::Low;
  invalid.need = sample_type().size;
  submit(invalid);
  fleet_.run_for_s(4);
  fleet_.finish_fetches("w-1");
  fleet_.finish_fetches("w-2");
  fleet_.run_for_s(2);
  ASSERT_EQ(fleet_.machines_of("job-1"), (Machines{"w-1", "w-2"}));
  for (std::uint32_t index = 0; index < invalid.tasks; ++index) fleet_.fail({"job-1", index});
  fleet_.run_for_s(1);
  JobSpec full = keeper_job("job-2", "");
  full.tasks = 2;
  full.need = sample_type().size;
  submit(full);
  fleet_.run_for_s(30);
  ASSERT_EQ(fleet_.machines_of("job-2"), (Machines{"w-1", "w-2"}));

  const std::string latest = driver_.log_lines(LogEvent::UnmetDemand).back();
  EXPECT_NE(latest.find("event=unmet_demand tasks=1 "), std::string::npos) << latest;
}

// --- The whole region ---

/// A plan without faults with the objectives above, in which each machine boots within seconds.
SimulationPlan region_plan(std::uint64_t seed) {
  SimulationPlan plan = plan_without_faults(seed);
  plan.length = 200'000;
  plan.loss = 0;
  plan.boot_ms = 4'000;
  Deployment deployment = sample_deployment(plan);
  deployment.one_in_never_up = 0;
  for (Settings& settings : deployment.controllers) settings.objectives = tight_objectives();
  plan.deployment = deployment;
  return plan;
}

/// Counts the machines that the region's cloud launches from now on.
class LaunchCounter {
 public:
  explicit LaunchCounter(SimulatedRegion& region) {
    region.cloud().on_launched = [this,
                                  next = region.cloud().on_launched](const CloudMachine& machine) {
      ++launched_;
      next(machine);
    };
  }
  LaunchCounter(const LaunchCounter&) = delete;
  LaunchCounter& operator=(const LaunchCounter&) = delete;
  [[nodiscard]] std::size_t launched() const { return launched_; }

 private:
  std::size_t launched_ = 0;
};

// The same as in the first test above, in a whole region: a service's only replica fails once, and
// two machines have room for it all the time.
TEST(ReservedRoomRegion, AReplicaThatFailedOnceRunsAgain) {
  for (std::uint64_t seed = 71; seed < 75; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SimulatedRegion region(region_plan(seed));
    region.run_until(2'000);
    region.submit(keeper_job("job-2", "za"));
    region.submit(keeper_job("job-3", "zb"));
    region.submit(resident_job("job-1", 1));
    region.run_until(40'000);
    ASSERT_EQ(region.machines_of("job-1").size(), 1U);
    const LaunchCounter counter(region);
    region.fail_once({"job-1", 0});
    region.run_until(41'500);
    ASSERT_TRUE(region.machines_of("job-1").empty());
    region.faults_ended();
    region.run_until(60'000);
    EXPECT_EQ(region.machines_of("job-1").size(), 1U);
    region.run();
    EXPECT_EQ(counter.launched(), 0U);
    expect_rules_kept_and_nothing_left(region, seed);
  }
}

// The same without any failure: a job that may use spot machines needs the image that an on-demand
// machine holds, since no spot machine was to be had at first and one is up now.
TEST(ReservedRoomRegion, SpotWorkWhoseImageIsOnAnOnDemandMachineRuns) {
  for (std::uint64_t seed = 71; seed < 75; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SimulationPlan plan = region_plan(seed);
    for (const char* zone : {"za", "zb"}) plan.deployment->capacity[{zone, true}] = 0;
    SimulatedRegion region(plan);
    region.faults_ended();
    region.run_until(2'000);
    region.submit(keeper_job("job-2", "za"));
    JobSpec first = array_job("job-1", 1, 150);
    first.image_gb = kLargeImageGb;
    first.zone = "za";  // so that one on-demand machine runs all, and none is drained
    region.submit(first);
    region.run_until(30'000);
    ASSERT_EQ(region.machines_of("job-1"), region.machines_of("job-2"));
    region.cloud().capacity[{"zb", true}] = 1;
    region.submit(keeper_job("job-3", "zb", true));
    region.run_until(60'000);
    ASSERT_EQ(region.machines_of("job-3").size(), 1U);
    JobSpec second = first;
    second.id = "job-4";
    second.zone = "";
    second.estimate_s = 20;
    region.submit(second);
    region.run_until(64'000);
    EXPECT_EQ(region.machines_of("job-4"), region.machines_of("job-1"));
    region.run();
    EXPECT_TRUE(region.checker().violations().empty()) << region.checker().summary();
  }
}

}  // namespace
}  // namespace sailreel::sim
