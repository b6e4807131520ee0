// How the share manager serves the demands of other regions, and which demands and surpluses it
// sends to them.
#include <algorithm>
#include <cstdlib>

#include "federation/log_fields.hpp"
#include "federation/share_manager.hpp"

namespace sailreel::federation {
namespace {

/// A demand is sent this many times per heartbeat interval while it lasts.
constexpr Time kDemandsPerHeartbeat = 4;
/// The whole surplus is sent again after this many heartbeat intervals, in case a message was lost.
constexpr Time kSurplusResendHeartbeats = 10;
/// Heartbeat intervals within which tasks that are preempted for another region have to exit. If
/// they don't, the share stays in this region.
constexpr Time kReclaimTimeoutHeartbeats = 6;
/// A change of the surplus is sent if it exceeds this fraction of the value that was sent last, or
/// if the value becomes 0 or was 0.
constexpr double kMinSurplusChangeRatio = 0.1;

bool changed_significantly(const Amounts& now, const Amounts& sent) {
  const auto moved = [](std::int64_t amount, std::int64_t before) {
    return (amount == 0) != (before == 0) ||
           static_cast<double>(std::abs(amount - before)) >
               kMinSurplusChangeRatio * static_cast<double>(before);
  };
  return moved(now.cpus, sent.cpus) || moved(now.gpus, sent.gpus);
}

}  // namespace

// ---- demands of other regions ----

void ShareManager::serve_demands() {
  for (auto& [team, view] : teams_)
    if (view.reclaim && now_ >= view.reclaim->until) {
      log_event("event=share_reclaim_ended team=" + team);
      view.reclaim.reset();
    }
  for (std::size_t region = 0; region < regions_.size(); ++region) serve_region(region);
}

void ShareManager::serve_region(std::size_t region) {
  RegionView& receiver = regions_[region];
  if (!receiver.acknowledged || receiver.transfer_pending) return;
  if (now_ >= receiver.demands_until) receiver.demands.clear();
  std::map<std::string, Amounts> given;
  finish_reclaims(region, given);
  for (const auto& [team, demand] : receiver.demands) {
    if (given.size() >= kTeamsPerTransfer) break;
    const auto view = teams_.find(team);
    if (view == teams_.end() || given.contains(team)) continue;
    const Amounts amounts = grant(view->second, region, demand);
    if (!amounts.none()) given[team] = amounts;
  }
  if (given.empty()) return;
  StartTransfer transfer_start{region, {}};
  for (const auto& [team, amounts] : given) {
    teams_.at(team).promised += amounts;
    transfer_start.amounts.push_back({team, amounts});
    receiver.demands.erase(team);
  }
  receiver.transfer_pending = true;
  pending_changes_.emplace_back(std::move(transfer_start));
}

// Gives the shares for which tasks were preempted, once the team's use is within its lowered cap.
void ShareManager::finish_reclaims(std::size_t region, std::map<std::string, Amounts>& given) {
  for (auto& [team, view] : teams_) {
    if (!view.reclaim || view.reclaim->region != region || given.size() >= kTeamsPerTransfer)
      continue;
    if (!limited_dimensions_only(team, view.load.used)
             .fits_in(limited_dimensions_only(team, available(team, view))))
      continue;
    given[team] = view.reclaim->amounts;
    view.reclaim.reset();
  }
}

// Returns what another region gets now of a team's share. Work that isn't urgent gets what is
// unused here beyond the reserve. Urgent work gets all that is unused. If nothing can be granted
// now, tasks of lower priority are preempted for urgent work, which gets their share after they
// have exited.
Amounts ShareManager::grant(TeamView& view, std::size_t region, const DemandEntry& demand) {
  const std::string& team = demand.team;
  const Amounts spare = unused(team, view);
  const Amounts for_any_work = (spare - reserve(view)).positive().componentwise_min(demand.wanted);
  const Amounts granted = for_any_work.componentwise_max(spare.componentwise_min(demand.urgent));
  const Amounts missing = (demand.urgent - granted).positive();
  const Amounts stoppable = limited_dimensions_only(team, preemptible_of(view.load.running));
  // Nothing is reclaimed while urgent work waits in this region, as that work comes first.
  const Amounts reclaimed =
      urgent_of(view.load.waiting).none() ? missing.componentwise_min(stoppable) : Amounts{};
  if (!reclaimed.none() && granted.none() && !view.reclaim) {
    view.reclaim =
        Reclaim{region, reclaimed, now_ + kReclaimTimeoutHeartbeats * heartbeat_interval_};
    log_event("event=share_reclaimed region=" + regions_[region].name +
              log_fields({team, reclaimed}));
    actions_.emplace_back(PreemptBeyondCap{team, Priority::High});
  }
  return granted;
}

// ---- demands and surpluses of this region ----

void ShareManager::send_demands() {
  const auto wanted = plan_demands();
  for (std::size_t index = 0; index < regions_.size(); ++index) {
    RegionView& region = regions_[index];
    const bool stops_asking = wanted[index].empty() && !region.demand_sent.empty();
    if (wanted[index].empty() && !stops_asking) continue;
    bool more_urgent = false;
    for (const auto& [team, demand] : wanted[index]) {
      const auto before = region.demand_sent.find(team);
      more_urgent = more_urgent || (!demand.urgent.none() && (before == region.demand_sent.end() ||
                                                              before->second.urgent.none()));
    }
    if (now_ < region.demand_resend_at && !more_urgent) continue;
    region.demand_resend_at = now_ + heartbeat_interval_ / kDemandsPerHeartbeat;
    RegionMessage message;
    message.kind = RegionMessage::Kind::Demand;
    message.demand.credited = committed_.regions[region.name].credited;
    for (const auto& [team, demand] : wanted[index]) {
      message.demand.entries.push_back(demand);
      if (!region.demand_sent.contains(team))
        log_event("event=share_asked region=" + region.name + log_fields({team, demand.wanted}));
    }
    region.demand_sent = wanted[index];
    send(index, std::move(message));
  }
}

// Returns the demand on each region, by team. Regions are asked for what is known to be unused
// there, beginning with the region that has the most; for urgent work, they are also asked for what
// can be preempted there.
std::vector<std::map<std::string, DemandEntry>> ShareManager::plan_demands() const {
  std::vector<std::map<std::string, DemandEntry>> demands(regions_.size());
  for (const auto& [team, view] : teams_) {
    const Amounts left = limited_dimensions_only(team, available(team, view) - view.load.used);
    const auto record = committed_.teams.find(team);
    const Amounts waiting = sum_of(view.load.waiting) +
                            (record == committed_.teams.end() ? Amounts{} : record->second.excess);
    // The reserve is asked for in advance: a team with waiting work is likely to submit more.
    const Amounts wanted_in_advance = sum_of(view.load.waiting).none() ? Amounts{} : reserve(view);
    Amounts wanted = limited_dimensions_only(team, waiting + wanted_in_advance - left).positive();
    Amounts urgent = limited_dimensions_only(team, urgent_of(view.load.waiting) - left).positive();
    if (wanted.none()) continue;
    std::vector<std::pair<std::int64_t, std::size_t>> order;
    for (std::size_t index = 0; index < regions_.size(); ++index) {
      const auto known_surplus = regions_[index].surplus.find(team);
      const Amounts unused =
          known_surplus == regions_[index].surplus.end() ? Amounts{} : known_surplus->second.unused;
      order.emplace_back(-(unused.gpus + unused.cpus), index);
    }
    std::sort(order.begin(), order.end());
    for (const auto& [negative_unused, index] : order) {
      if (wanted.none()) break;
      const auto known_surplus = regions_[index].surplus.find(team);
      if (known_surplus == regions_[index].surplus.end()) {
        // The region's surplus is unknown, as it is after a failover here. The region is asked all
        // the same for what urgent work needs.
        if (!urgent.none()) demands[index][team] = {team, urgent, urgent};
        continue;
      }
      const Amounts from_unused = wanted.componentwise_min(known_surplus->second.unused);
      const Amounts requested_urgent =
          urgent.componentwise_min(from_unused + known_surplus->second.preemptible).positive();
      const Amounts requested = from_unused.componentwise_max(requested_urgent);
      if (requested.none()) continue;
      demands[index][team] = {team, requested, requested_urgent};
      wanted = (wanted - requested).positive();
      urgent = (urgent - requested_urgent).positive();
    }
  }
  return demands;
}

void ShareManager::send_surplus() {
  for (std::size_t index = 0; index < regions_.size(); ++index) {
    RegionView& region = regions_[index];
    const bool all = now_ >= region.surplus_resend_at;
    RegionMessage message;
    message.kind = RegionMessage::Kind::Surplus;
    for (const auto& [team, view] : teams_) {
      const SurplusEntry entry{team, unused(team, view),
                               limited_dimensions_only(team, preemptible_of(view.load.running))};
      const SurplusEntry& sent = region.surplus_sent[team];
      const bool changed = changed_significantly(entry.unused, sent.unused) ||
                           changed_significantly(entry.preemptible, sent.preemptible);
      const bool worth_repeating = !entry.unused.none() || !entry.preemptible.none();
      if (!changed && !(all && worth_repeating)) continue;
      message.surplus.entries.push_back(entry);
      region.surplus_sent[team] = entry;
    }
    if (all) region.surplus_resend_at = now_ + kSurplusResendHeartbeats * heartbeat_interval_;
    if (!message.surplus.entries.empty()) send(index, std::move(message));
  }
}

}  // namespace sailreel::federation
