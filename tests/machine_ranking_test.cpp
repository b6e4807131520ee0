// Tests of machine rankings, among them a property test that an incrementally updated ranking
// chooses the same machine as a scan of all machines.
#include "controller/machine_ranking.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "support/properties.hpp"

namespace sailreel {
namespace {

using Ranking = MachineRanking<int>;

/// Machines with their ratings for one kind of job, and the penalties and closed zones of one job.
struct Fleet {
  std::vector<MachineRating<int>> ratings;
  std::vector<std::string> zones;
  std::vector<int> own_penalties;
  std::set<std::string> closed_zones;

  [[nodiscard]] std::optional<std::size_t> best_by_full_scan() const {
    std::optional<std::pair<int, std::size_t>> best;
    for (std::size_t i = 0; i < ratings.size(); ++i) {
      if (!ratings[i].score || closed_zones.contains(zones[i])) continue;
      const std::pair own(*ratings[i].score + own_penalties[i], i);
      if (!best || own < *best) best = own;
    }
    if (!best) return {};
    return best->second;
  }
  [[nodiscard]] bool any_room() const {
    return std::any_of(ratings.begin(), ratings.end(), [](const auto& r) { return r.has_room; });
  }
};

MachineRating<int> random_rating() {
  MachineRating<int> rating;
  rating.has_room = *rc::gen::inRange(0, 3) > 0;
  if (rating.has_room && *rc::gen::inRange(0, 4) > 0) rating.score = *rc::gen::inRange(0, 6);
  return rating;
}

Fleet random_fleet() {
  Fleet fleet;
  const int machines = *rc::gen::inRange(0, 25);
  for (int i = 0; i < machines; ++i) {
    fleet.ratings.push_back(random_rating());
    fleet.zones.push_back("z" + std::to_string(*rc::gen::inRange(0, 3)));
    fleet.own_penalties.push_back(0);
  }
  return fleet;
}

/// Replaces the penalties and closed zones by those of another job of the same kind.
void switch_to_next_job(Fleet& fleet) {
  for (int& penalty : fleet.own_penalties) penalty = *rc::gen::inRange(0, 4) / 2;
  fleet.closed_zones.clear();
  for (const char* zone : {"z0", "z1", "z2"})
    if (*rc::gen::inRange(0, 4) == 0) fleet.closed_zones.insert(zone);
}

TEST(MachineRanking, ChoosesTheSameMachineAsAFullScan) {
  set_property_cases(300);
  const bool passed = rc::check([] {
    Fleet fleet = random_fleet();
    Ranking ranking(
        fleet.ratings.size(), [&fleet](std::size_t i) { return fleet.ratings[i]; },
        [&fleet](std::size_t i) -> const std::string& { return fleet.zones[i]; });
    const int steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
      const int changes = fleet.ratings.empty() ? 0 : *rc::gen::inRange(0, 4);
      for (int change = 0; change < changes; ++change) {
        const auto index = *rc::gen::inRange<std::size_t>(0, fleet.ratings.size());
        fleet.ratings[index] = random_rating();
        ranking.update(index);
      }
      switch_to_next_job(fleet);
      const auto best = ranking.best(
          [&](const std::string& zone) { return !fleet.closed_zones.contains(zone); },
          [&](std::size_t i, int kind_score) { return kind_score + fleet.own_penalties[i]; });
      RC_ASSERT(best == fleet.best_by_full_scan());
      RC_ASSERT(ranking.any_room() == fleet.any_room());
    }
  });
  EXPECT_TRUE(passed);
}

struct Kind {
  int number = 0;
  bool operator==(const Kind&) const = default;
};

// The number of rankings is limited. A dropped ranking that is needed again must be rebuilt from
// the machines' current state, and a kept one must be updated only for machines that have changed.
TEST(MachineRanking, ADroppedRankingIsRebuilt) {
  std::vector<Machine> machines(3);
  RankingsByKind<Kind, double> rankings(&Machine::preemption_index);
  for (Machine& machine : machines) rankings.add(machine);
  std::vector<Machine*> changes;
  std::size_t rated = 0;
  const auto rate = [&](const Machine& machine) -> MachineRating<double> {
    ++rated;
    return {machine.used.gpus, true};
  };
  const auto best = [&](int kind) {
    return *rankings.get({kind}, 2, changes, rate)
                .best([](const std::string&) { return true; },
                      [](std::size_t, double kind_score) { return kind_score; });
  };
  EXPECT_EQ(best(1), 0U);
  EXPECT_EQ(best(2), 0U);
  EXPECT_EQ(rated, 6U);
  machines[0].used.gpus = 1;
  changes.push_back(machines.data());
  EXPECT_EQ(best(1), 1U);
  EXPECT_EQ(rated, 7U) << "only the changed machine is rated again";
  EXPECT_EQ(best(3), 1U);
  EXPECT_EQ(best(1), 1U);
  EXPECT_EQ(rated, 13U) << "the ranking of the first kind was dropped for the third";
}

}  // namespace
}  // namespace sailreel
