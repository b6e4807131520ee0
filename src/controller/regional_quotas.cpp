#include "controller/regional_quotas.hpp"

#include "federation/units.hpp"

namespace sailreel {
namespace {

Amounts amounts_of(const Resources& resources) {
  return {federation::thousandths_rounded_up(resources.cpus),
          federation::thousandths_rounded_up(resources.gpus)};
}

}  // namespace

RegionalQuotas::RegionalQuotas(const Settings& settings, const FederationOptions& options,
                               Tables& tables)
    : tables_(tables) {
  if (options.enabled())
    shares_ = std::make_unique<federation::ShareManager>(options, settings.teams,
                                                         ms(settings.workers.heartbeat_interval_s));
}

bool RegionalQuotas::load(const Snapshot& checkpoint, std::uint64_t epoch, Time now) {
  if (shares_) {
    shares_->load(checkpoint.share_values, epoch, now);
    apply_caps();
    return true;
  }
  for (TeamQuota& team : tables_.teams) set_caps(team, {}, {});
  if (checkpoint.share_values.empty()) return true;
  ShareLedger ledger;
  for (const auto& [key, value] : checkpoint.share_values)
    if (auto decoded = decode_quota_share_value(key, value)) ledger.add(std::move(*decoded));
  for (TeamQuota& team : tables_.teams) {
    const Amounts share = ledger.teams[team.limits.name].share;
    set_caps(team, federation::units(share.cpus), federation::units(share.gpus));
  }
  return false;
}

void RegionalQuotas::stop() {
  if (shares_) shares_->stop();
}

std::vector<federation::ShareAction> RegionalQuotas::observe(Time now, bool complete,
                                                             bool all_support_shares) {
  if (!shares_) return {};
  if (all_support_shares) shares_->activate();
  auto actions = shares_->step(now, federation::LoadObserved{loads(), complete});
  apply_caps();
  return actions;
}

std::vector<federation::ShareAction> RegionalQuotas::handle_message(Time now,
                                                                    const RegionMessage& message) {
  if (!shares_) return {};
  auto actions = shares_->step(now, federation::MessageArrived{message});
  apply_caps();
  return actions;
}

std::vector<federation::ShareAction> RegionalQuotas::handle_commit(Time now) {
  if (!shares_) return {};
  auto actions = shares_->step(now, federation::CheckpointCommitted{});
  apply_caps();
  return actions;
}

std::vector<federation::TeamLoad> RegionalQuotas::loads() const {
  std::vector<federation::TeamLoad> team_loads;
  for (const TeamQuota& team : tables_.teams) {
    federation::TeamLoad load;
    load.team = team.limits.name;
    load.used = amounts_of(team.used);
    team_loads.push_back(std::move(load));
  }
  for (const auto& [order, job] : tables_.jobs_by_acceptance) {
    if (job->team == nullptr) continue;
    federation::TeamLoad& load =
        team_loads[static_cast<std::size_t>(job->team - tables_.teams.data())];
    const auto priority = static_cast<std::size_t>(job->spec().priority);
    load.running[priority] += amounts_of(job->spec().need.times(job->placed));
    if (job->active() && !job->likely_invalid())
      load.waiting[priority] += amounts_of(job->spec().need.times(job->queued));
  }
  return team_loads;
}

void RegionalQuotas::apply_caps() {
  for (TeamQuota& team : tables_.teams) {
    const federation::ShareManager::Cap cap = shares_->cap(team.limits.name);
    set_caps(team, cap.cpus, cap.gpus);
  }
}

void RegionalQuotas::set_caps(TeamQuota& team, std::optional<double> cpus,
                              std::optional<double> gpus) {
  cap_raised_ = cap_raised_ || cpus > team.cpus_cap || gpus > team.gpus_cap;
  team.cpus_cap = cpus;
  team.gpus_cap = gpus;
}

}  // namespace sailreel
