#include "federation/share_manager.hpp"

#include <algorithm>

#include "federation/units.hpp"

namespace sailreel::federation {

ShareManager::ShareManager(const FederationOptions& options, const std::vector<Team>& teams,
                           Time heartbeat_ms)
    : options_(options), heartbeat_interval_(std::max<Time>(1, heartbeat_ms)) {
  for (const std::string& name : other_regions(options_)) {
    RegionView view;
    view.name = name;
    regions_.push_back(std::move(view));
  }
  for (const Team& team : teams) {
    ManagedTeam managed;
    managed.cpus = team.cpus_max > 0;
    managed.gpus = team.gpus_max > 0;
    if (!managed.cpus && !managed.gpus) continue;
    managed.limit = {thousandths(team.cpus_max), thousandths(team.gpus_max)};
    managed_teams_[team.name] = managed;
  }
}

bool ShareManager::administers_limits() const {
  return options_.regions.front().name == options_.region;
}

// Returns the share of a team's limit that this region starts with. The options fix the shares of
// all regions except the first, since the limit may have changed by the time that those regions are
// switched on. The first region gets the rest, and it alone follows changes of the limit.
ShareRecord ShareManager::initial_record(const std::string& team) const {
  ShareRecord record;
  Amounts others;
  for (const ShareOption& share : options_.shares) {
    if (share.team != team) continue;
    const Amounts amounts{thousandths(share.cpus), thousandths(share.gpus)};
    if (share.region == options_.region) record.share += amounts;
    if (share.region != options_.regions.front().name) others += amounts;
  }
  if (!administers_limits()) return record;
  record.limit = managed_teams_.at(team).limit;
  record.share = (record.limit - others).positive();
  record.excess = (others - record.limit).positive();
  return record;
}

void ShareManager::load(const std::map<std::string, std::string>& values, std::uint64_t epoch,
                        Time now) {
  stop();
  leading_ = true;
  epoch_ = epoch;
  sequence_ = 0;
  now_ = now;
  committed_ = ShareLedger{};
  unreadable_ = false;
  for (const auto& [key, value] : values)
    if (auto decoded = decode_quota_share_value(key, value))
      committed_.add(std::move(*decoded));
    else
      unreadable_ = true;
  active_ = !values.empty();
  teams_without_record_.clear();
  if (unreadable_) log_event("event=shares_unreadable", true);
  for (const auto& [team, managed] : managed_teams_) {
    teams_[team];
    if (committed_.teams.contains(team)) continue;
    committed_.teams[team] = initial_record(team);
    teams_without_record_.insert(team);
  }
  for (RegionView& region : regions_) {
    committed_.regions[region.name];
    region.acknowledged = committed_.regions[region.name].in_transit.empty();
    region.resend_at = now;
  }
  // A value that can't be decoded is not overwritten: by now, the region may hold a different share
  // than the one that it started with.
  if (active_ && !unreadable_) write_initial_shares();
}

void ShareManager::stop() {
  leading_ = load_complete_ = false;
  pending_changes_.clear();
  in_flight_changes_.clear();
  teams_.clear();
  for (RegionView& region : regions_) {
    const std::string name = std::move(region.name);
    region = RegionView{};
    region.name = name;
  }
}

void ShareManager::activate() {
  if (active_ || unreadable_) return;
  active_ = true;
  write_initial_shares();
}

void ShareManager::write_initial_shares() {
  for (const std::string& team : teams_without_record_)
    pending_changes_.emplace_back(WriteInitialShare{team});
}

std::vector<ShareAction> ShareManager::step(Time now, ShareInput input) {
  now_ = std::max(now_, now);
  actions_.clear();
  if (!leading_ || unreadable_) return {};
  if (const auto* load = std::get_if<LoadObserved>(&input))
    observe(*load);
  else if (const auto* message = std::get_if<MessageArrived>(&input))
    handle_message(*message);
  else
    handle_commit();
  return std::move(actions_);
}

Amounts ShareManager::limited_dimensions_only(const std::string& team, Amounts amounts) const {
  const auto managed = managed_teams_.find(team);
  if (managed == managed_teams_.end()) return {};
  if (!managed->second.cpus) amounts.cpus = 0;
  if (!managed->second.gpus) amounts.gpus = 0;
  return amounts;
}

// Returns the committed share. A credit counts once it is committed, whereas a debit (`promised`,
// see `available`) counts as soon as it is decided. Therefore all regions together never use more
// than the limit.
Amounts ShareManager::held(const std::string& team) const {
  const auto record = committed_.teams.find(team);
  return record == committed_.teams.end() ? Amounts{} : record->second.share;
}

Amounts ShareManager::available(const std::string& team, const TeamView& view) const {
  Amounts left = held(team) - view.promised;
  if (view.reclaim) left -= view.reclaim->amounts;
  return left;
}

ShareManager::Cap ShareManager::cap(const std::string& team) const {
  const auto managed = managed_teams_.find(team);
  if (managed == managed_teams_.end()) return {};
  Amounts may_use;
  const auto view = teams_.find(team);
  if (!unreadable_ && view != teams_.end()) may_use = available(team, view->second).positive();
  // After the limit was lowered, the share may exceed it until the excess is paid off.
  may_use = may_use.componentwise_min(managed->second.limit);
  Cap result;
  if (managed->second.cpus) result.cpus = units(may_use.cpus);
  if (managed->second.gpus) result.gpus = units(may_use.gpus);
  return result;
}

// Returns the part of the available share that is neither used nor waited for.
Amounts ShareManager::unused(const std::string& team, const TeamView& view) const {
  return limited_dimensions_only(team,
                                 available(team, view) - view.load.used - sum_of(view.load.waiting))
      .positive();
}

// Returns what is kept beyond the present use, for work that may arrive next.
Amounts ShareManager::reserve(const TeamView& view) const {
  return view.load.used.times(options_.reserve_ratio);
}

void ShareManager::observe(const LoadObserved& input) {
  load_complete_ = input.complete;
  for (const TeamLoad& load : input.teams)
    if (const auto view = teams_.find(load.team); view != teams_.end()) view->second.load = load;
  if (!active_ || !load_complete_ || !teams_without_record_.empty()) return;
  adjust_limits();
  serve_demands();
  send_demands();
  send_surplus();
  resend_transfers();
}

// Follows changes of the limits, and pays off excess. Only the first region creates and destroys
// shares: if several regions did, the sum of the shares could deviate from the limit.
void ShareManager::adjust_limits() {
  if (!administers_limits() || !pending_changes_.empty() || !in_flight_changes_.empty()) return;
  for (auto& [team, view] : teams_) {
    const ShareRecord& record = committed_.teams[team];
    Amounts wanted = managed_teams_.at(team).limit;
    for (const ShareOption& adopted : options_.adopted)
      if (adopted.team == team)
        wanted += Amounts{thousandths(adopted.cpus), thousandths(adopted.gpus)};
    if (record.limit != wanted) {
      pending_changes_.emplace_back(ChangeLimit{team, wanted});
      continue;
    }
    const Amounts paid = unused(team, view).componentwise_min(record.excess);
    if (paid.none()) continue;
    view.promised += paid;
    pending_changes_.emplace_back(PayExcess{team, paid});
  }
}

}  // namespace sailreel::federation
