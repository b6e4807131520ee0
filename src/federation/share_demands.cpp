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
constexpr Time kSurplusHeartbeats = 10;
/// Heartbeat intervals within which tasks that are preempted for another region have to exit. If
/// they don't, the share stays in this region.
constexpr Time kReclaimHeartbeats = 6;
/// A change of the surplus is sent if it exceeds this fraction of the value that was sent last, or
/// if the value becomes 0 or was 0.
constexpr double kSentChange = 0.1;

bool differs(const Amounts& now, const Amounts& sent) {
  const auto moved = [](std::int64_t amount, std::int64_t before) {
    return (amount == 0) != (before == 0) || static_cast<double>(std::abs(amount - before)) >
                                                 kSentChange * static_cast<double>(before);
  };
  return moved(now.cpus, sent.cpus) || moved(now.gpus, sent.gpus);
}

}  // namespace

// ---- demands of other regions ----

void ShareManager::serve_demands() {
  for (auto& [team, view] : teams_)
    if (view.reclaim && now_ >= view.reclaim->until) {
      event("event=share_reclaim_ended team=" + team);
      view.reclaim.reset();
    }
  for (std::size_t region = 0; region < regions_.size(); ++region) serve_region(region);
}

void ShareManager::serve_region(std::size_t region) {
  RegionView& to = regions_[region];
  if (!to.acknowledged || to.giving) return;
  if (now_ >= to.demands_until) to.demands.clear();
  std::map<std::string, Amounts> given;
  finish_reclaims(region, given);
  for (const auto& [team, demand] : to.demands) {
    if (given.size() >= kTeamsPerTransfer) break;
    const auto view = teams_.find(team);
    if (view == teams_.end() || given.contains(team)) continue;
    const Amounts amounts = grant(view->second, region, demand);
    if (!amounts.none()) given[team] = amounts;
  }
  if (given.empty()) return;
  Give give{region, {}};
  for (const auto& [team, amounts] : given) {
    teams_.at(team).promised += amounts;
    give.amounts.push_back({team, amounts});
    to.demands.erase(team);
  }
  to.giving = true;
  pending_.emplace_back(std::move(give));
}

// Gives the shares for which tasks were preempted, once the team's use is within its lowered cap.
void ShareManager::finish_reclaims(std::size_t region, std::map<std::string, Amounts>& given) {
  for (auto& [team, view] : teams_) {
    if (!view.reclaim || view.reclaim->region != region || given.size() >= kTeamsPerTransfer)
      continue;
    if (!limited(team, view.load.used).fits_in(limited(team, available(team, view)))) continue;
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
  const Amounts on_demand = (spare - reserve(view)).positive().at_most(demand.wanted);
  const Amounts granted = on_demand.at_least(spare.at_most(demand.urgent));
  const Amounts missing = (demand.urgent - granted).positive();
  const Amounts stoppable = limited(team, preemptible_of(view.load.running));
  // Nothing is reclaimed while urgent work waits in this region, as that work comes first.
  const Amounts reclaimed =
      urgent_of(view.load.waiting).none() ? missing.at_most(stoppable) : Amounts{};
  if (!reclaimed.none() && granted.none() && !view.reclaim) {
    view.reclaim = Reclaim{region, reclaimed, now_ + kReclaimHeartbeats * interval_};
    event("event=share_reclaimed region=" + regions_[region].name + log_fields({team, reclaimed}));
    actions_.emplace_back(StopBeyondCap{team, Priority::High});
  }
  return granted;
}

// ---- demands and surpluses of this region ----

void ShareManager::send_demands() {
  const auto wanted = plan_demands();
  for (std::size_t n = 0; n < regions_.size(); ++n) {
    RegionView& region = regions_[n];
    const bool stops_asking = wanted[n].empty() && !region.asked.empty();
    if (wanted[n].empty() && !stops_asking) continue;
    bool more_urgent = false;
    for (const auto& [team, demand] : wanted[n]) {
      const auto before = region.asked.find(team);
      more_urgent = more_urgent || (!demand.urgent.none() &&
                                    (before == region.asked.end() || before->second.urgent.none()));
    }
    if (now_ < region.demand_resend_at && !more_urgent) continue;
    region.demand_resend_at = now_ + interval_ / kDemandsPerHeartbeat;
    RegionMessage message;
    message.kind = RegionMessage::Kind::Demand;
    message.demand.credited = committed_.regions[region.name].credited;
    for (const auto& [team, demand] : wanted[n]) {
      message.demand.entries.push_back(demand);
      if (!region.asked.contains(team))
        event("event=share_asked region=" + region.name + log_fields({team, demand.wanted}));
    }
    region.asked = wanted[n];
    send(n, std::move(message));
  }
}

// Returns the demand on each region, by team. Regions are asked for what is known to be unused
// there, beginning with the region that has the most; for urgent work, they are also asked for what
// can be preempted there.
std::vector<std::map<std::string, DemandEntry>> ShareManager::plan_demands() const {
  std::vector<std::map<std::string, DemandEntry>> out(regions_.size());
  for (const auto& [team, view] : teams_) {
    const Amounts left = limited(team, available(team, view) - view.load.used);
    const auto excess = committed_.teams.find(team);
    const Amounts waiting = sum_of(view.load.waiting) +
                            (excess == committed_.teams.end() ? Amounts{} : excess->second.excess);
    // The reserve is asked for in advance: a team with waiting work is likely to submit more.
    const Amounts ahead = sum_of(view.load.waiting).none() ? Amounts{} : reserve(view);
    Amounts wanted = limited(team, waiting + ahead - left).positive();
    Amounts urgent = limited(team, urgent_of(view.load.waiting) - left).positive();
    if (wanted.none()) continue;
    std::vector<std::pair<std::int64_t, std::size_t>> order;
    for (std::size_t n = 0; n < regions_.size(); ++n) {
      const auto known = regions_[n].surplus.find(team);
      const Amounts unused = known == regions_[n].surplus.end() ? Amounts{} : known->second.unused;
      order.emplace_back(-(unused.gpus + unused.cpus), n);
    }
    std::sort(order.begin(), order.end());
    for (const auto& [negative, n] : order) {
      if (wanted.none()) break;
      const auto known = regions_[n].surplus.find(team);
      if (known == regions_[n].surplus.end()) {
        // The region's surplus is unknown, as it is after a failover here. The region is asked all
        // the same for what urgent work needs.
        if (!urgent.none()) out[n][team] = {team, urgent, urgent};
        continue;
      }
      const Amounts from_unused = wanted.at_most(known->second.unused);
      const Amounts urgent_here = urgent.at_most(from_unused + known->second.stoppable).positive();
      const Amounts here = from_unused.at_least(urgent_here);
      if (here.none()) continue;
      out[n][team] = {team, here, urgent_here};
      wanted = (wanted - here).positive();
      urgent = (urgent - urgent_here).positive();
    }
  }
  return out;
}

void ShareManager::send_surplus() {
  for (std::size_t n = 0; n < regions_.size(); ++n) {
    RegionView& region = regions_[n];
    const bool all = now_ >= region.surplus_resend_at;
    RegionMessage message;
    message.kind = RegionMessage::Kind::Surplus;
    for (const auto& [team, view] : teams_) {
      const SurplusEntry entry{team, unused(team, view),
                               limited(team, preemptible_of(view.load.running))};
      const SurplusEntry& sent = region.surplus_sent[team];
      const bool changed =
          differs(entry.unused, sent.unused) || differs(entry.stoppable, sent.stoppable);
      const bool worth_repeating = !entry.unused.none() || !entry.stoppable.none();
      if (!changed && !(all && worth_repeating)) continue;
      message.surplus.entries.push_back(entry);
      region.surplus_sent[team] = entry;
    }
    if (all) region.surplus_resend_at = now_ + kSurplusHeartbeats * interval_;
    if (!message.surplus.entries.empty()) send(n, std::move(message));
  }
}

}  // namespace sailreel::federation
