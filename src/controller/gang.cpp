#include "controller/gang.hpp"

#include <algorithm>
#include <numeric>
#include <set>

namespace sailreel {
namespace {

/// Missing tasks of a gathering gang are placed only in the first 1/kReplacementWindowDivisor of
/// the time that its tasks wait.
constexpr Time kReplacementWindowDivisor = 2;

/// The number of tasks, at most `tasks`, that the zone may take.
std::uint32_t zone_room(const GangZones& zones, const std::string& zone, std::uint32_t tasks) {
  const auto it = zones.remaining_tasks.find(zone);
  return it == zones.remaining_tasks.end() ? tasks : std::min(it->second, tasks);
}

/// Assigns tasks to the candidates in the given order, within each zone's room. An empty
/// `only_zone` means all zones.
GangPlan assign_in_order(const std::vector<GangCandidate>& candidates,
                         const std::vector<std::size_t>& order, std::uint32_t tasks,
                         const GangZones& zones, const std::string& only_zone) {
  GangPlan plan;
  plan.tasks_per_candidate.assign(candidates.size(), 0);
  plan.missing = tasks;
  plan.zone = only_zone;
  std::map<std::string, std::uint32_t> tasks_by_zone;
  for (const std::size_t i : order) {
    if (plan.missing == 0) break;
    const GangCandidate& candidate = candidates[i];
    if (!only_zone.empty() && candidate.zone != only_zone) continue;
    std::uint32_t& in_zone = tasks_by_zone[candidate.zone];
    const std::uint32_t room = zone_room(zones, candidate.zone, tasks);
    const std::uint32_t count =
        std::min({candidate.slots, plan.missing, room - std::min(room, in_zone)});
    plan.tasks_per_candidate[i] = count;
    plan.missing -= count;
    in_zone += count;
  }
  return plan;
}

}  // namespace

GangDecision Gang::decide(const GangView& view, Time now) {
  if (view.unknown > 0) return GangDecision::Wait;
  if (view.placed == 0) {
    phase_ = GangPhase::Placing;
    return GangDecision::PlaceAll;
  }
  if (phase_ == GangPhase::Placing) {
    phase_ = GangPhase::Gathering;
    gathering_since_ = now;
  }
  const bool complete = view.placed == view.tasks;
  if (view.stopping > 0 || !view.one_attempt) phase_ = GangPhase::Stopping;
  if (view.running > 0 && phase_ == GangPhase::Gathering) phase_ = GangPhase::Running;
  if (phase_ == GangPhase::Running && !complete) phase_ = GangPhase::Stopping;
  const bool may_join = now - gathering_since_ < wait_ms_ / kReplacementWindowDivisor;
  if (phase_ == GangPhase::Gathering && !complete && !may_join) phase_ = GangPhase::Stopping;
  if (phase_ == GangPhase::Stopping)
    return view.stopping < view.placed ? GangDecision::StopRest : GangDecision::Wait;
  if (phase_ == GangPhase::Running) return GangDecision::Wait;
  if (view.start_overdue && view.unsent == view.placed) return GangDecision::Unplace;
  return complete ? GangDecision::Wait : GangDecision::PlaceMissing;
}

GangPlan plan_gang(const std::vector<GangCandidate>& candidates, std::uint32_t tasks,
                   const GangZones& zones) {
  std::vector<std::size_t> order(candidates.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  // Machines with room for all tasks come first, the one with the least delay in front; then the
  // others by decreasing room.
  const auto fits_all_tasks = [&](const GangCandidate& candidate) {
    return candidate.slots >= tasks && zone_room(zones, candidate.zone, tasks) >= tasks;
  };
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    const GangCandidate& first = candidates[a];
    const GangCandidate& second = candidates[b];
    if (fits_all_tasks(first) != fits_all_tasks(second)) return fits_all_tasks(first);
    if (fits_all_tasks(first) || first.slots == second.slots) return first.delay_s < second.delay_s;
    return first.slots > second.slots;
  });
  if (!zones.one_zone) return assign_in_order(candidates, order, tasks, zones, {});
  std::set<std::string> unseen_zones;
  for (const GangCandidate& candidate : candidates) unseen_zones.insert(candidate.zone);
  GangPlan best;
  best.tasks_per_candidate.assign(candidates.size(), 0);
  best.missing = tasks;
  // Zones are tried in the order of their best candidates, so that the zone with the better one
  // wins ties.
  std::vector<std::string> zones_in_order;
  for (const std::size_t i : order)
    if (unseen_zones.erase(candidates[i].zone) > 0) zones_in_order.push_back(candidates[i].zone);
  for (const std::string& zone : zones_in_order) {
    GangPlan plan = assign_in_order(candidates, order, tasks, zones, zone);
    if (plan.missing < best.missing) best = std::move(plan);
  }
  return best;
}

}  // namespace sailreel
