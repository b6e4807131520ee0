#include "federation/share_manager.hpp"

#include <algorithm>

#include "federation/units.hpp"

namespace sailreel::federation {
namespace {

/// Times as ratios to the workers' report interval.
constexpr Time kAsksPerHeartbeat = 4;
constexpr Time kResendsPerHeartbeat = 2;
/// A demand that isn't repeated is forgotten after so many intervals.
constexpr Time kDemandHeartbeats = 4;
constexpr Time kSurplusHeartbeats = 10;
/// Tasks that are stopped for another region's urgent work have so long to leave.
constexpr Time kReclaimHeartbeats = 6;
/// A change of what could be given is told when it is above this share of what was told.
constexpr double kToldChange = 0.1;

Amounts sum_of(const std::array<Amounts, kPriorities>& by_priority) {
  Amounts sum;
  for (const Amounts& amounts : by_priority) sum += amounts;
  return sum;
}

bool is_urgent(std::size_t priority) {
  return priority <= static_cast<std::size_t>(Priority::High);
}

Amounts urgent_of(const std::array<Amounts, kPriorities>& by_priority) {
  Amounts sum;
  for (std::size_t p = 0; p < kPriorities; ++p)
    if (is_urgent(p)) sum += by_priority[p];
  return sum;
}

Amounts stoppable_of(const std::array<Amounts, kPriorities>& by_priority) {
  return sum_of(by_priority) - urgent_of(by_priority);
}

std::string describe(const TeamAmounts& entry) {
  return " team=" + entry.team + " cpus=" + std::to_string(units(entry.amounts.cpus)) +
         " gpus=" + std::to_string(units(entry.amounts.gpus));
}

bool differs(const Amounts& now, const Amounts& told) {
  const auto moved = [](std::int64_t a, std::int64_t b) {
    return (a == 0) != (b == 0) ||
           static_cast<double>(std::abs(a - b)) > kToldChange * static_cast<double>(b);
  };
  return moved(now.cpus, told.cpus) || moved(now.gpus, told.gpus);
}

}  // namespace

ShareManager::ShareManager(const FederationOptions& options, const std::vector<Team>& teams,
                           Time heartbeat_ms)
    : options_(options), interval_(std::max<Time>(1, heartbeat_ms)) {
  for (const std::string& name : other_regions(options_)) {
    RegionView view;
    view.name = name;
    regions_.push_back(std::move(view));
  }
  for (const Team& team : teams) {
    Managed managed;
    managed.cpus = team.cpus_max > 0;
    managed.gpus = team.gpus_max > 0;
    if (!managed.cpus && !managed.gpus) continue;
    managed.limit = {thousandths(team.cpus_max), thousandths(team.gpus_max)};
    managed_[team.name] = managed;
  }
}

bool ShareManager::in_charge_of_limits() const {
  return options_.regions.front().name == options_.region;
}

// The division at the very beginning. What the other regions begin with is fixed by the options,
// whatever the limit is by the time when they are switched on; the rest is the first region's,
// which alone follows the limit from then on.
ShareRecord ShareManager::first_record(const std::string& team) const {
  ShareRecord record;
  Amounts others;
  for (const ShareOption& share : options_.shares) {
    if (share.team != team) continue;
    const Amounts amounts{thousandths(share.cpus), thousandths(share.gpus)};
    if (share.region == options_.region) record.share += amounts;
    if (share.region != options_.regions.front().name) others += amounts;
  }
  if (!in_charge_of_limits()) return record;
  record.limit = managed_.at(team).limit;
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
  unwritten_.clear();
  if (unreadable_) event("event=shares_unreadable", true);
  for (const auto& [team, managed] : managed_) {
    teams_[team];
    if (committed_.teams.contains(team)) continue;
    committed_.teams[team] = first_record(team);
    unwritten_.insert(team);
  }
  for (RegionView& region : regions_) {
    committed_.regions[region.name];
    region.acknowledged = committed_.regions[region.name].in_transit.empty();
    region.resend_at = now;
  }
  // What can't be read is left as it is: in its place, the first share would be as good as
  // invented.
  if (active_ && !unreadable_) write_first_shares();
}

void ShareManager::stop() {
  leading_ = complete_ = false;
  waiting_.clear();
  in_flight_.clear();
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
  write_first_shares();
}

void ShareManager::write_first_shares() {
  for (const std::string& team : unwritten_) waiting_.emplace_back(WriteFirstShare{team});
}

std::vector<ShareAction> ShareManager::step(Time now, ShareInput input) {
  now_ = std::max(now_, now);
  out_.clear();
  if (!leading_ || unreadable_) return {};
  if (const auto* load = std::get_if<LoadObserved>(&input))
    observe(*load);
  else if (const auto* message = std::get_if<MessageArrived>(&input))
    take(*message);
  else
    committed();
  return std::move(out_);
}

// ---- what the region may use ----

Amounts ShareManager::limited(const std::string& team, Amounts amounts) const {
  const auto managed = managed_.find(team);
  if (managed == managed_.end()) return {};
  if (!managed->second.cpus) amounts.cpus = 0;
  if (!managed->second.gpus) amounts.gpus = 0;
  return amounts;
}

// Credits count once they are committed, debits from the moment when they are decided.
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
  const auto managed = managed_.find(team);
  if (managed == managed_.end()) return {};
  Amounts may_use;
  const auto view = teams_.find(team);
  if (!unreadable_ && view != teams_.end()) may_use = available(team, view->second).positive();
  // Never more than the limit as this region knows it.
  may_use = may_use.at_most(managed->second.limit);
  Cap out;
  if (managed->second.cpus) out.cpus = units(may_use.cpus);
  if (managed->second.gpus) out.gpus = units(may_use.gpus);
  return out;
}

// What is neither used nor waited for.
Amounts ShareManager::unused(const std::string& team, const TeamView& view) const {
  return limited(team, available(team, view) - view.load.used - sum_of(view.load.waiting))
      .positive();
}

Amounts ShareManager::reserve(const TeamView& view) const {
  return view.load.used.times(options_.reserve_ratio);
}

// ---- the leader's view ----

void ShareManager::observe(const LoadObserved& input) {
  complete_ = input.complete;
  for (const TeamLoad& load : input.teams)
    if (const auto view = teams_.find(load.team); view != teams_.end()) view->second.load = load;
  if (!active_ || !complete_ || !unwritten_.empty()) return;
  adjust_limits();
  serve_demands();
  ask();
  tell_surplus();
  resend_transfers();
}

// The first region is in charge of limits: it alone makes and destroys share.
void ShareManager::adjust_limits() {
  if (!in_charge_of_limits() || !waiting_.empty() || !in_flight_.empty()) return;
  for (auto& [team, view] : teams_) {
    const ShareRecord& record = committed_.teams[team];
    Amounts wanted = managed_.at(team).limit;
    for (const ShareOption& adopted : options_.adopted)
      if (adopted.team == team)
        wanted += Amounts{thousandths(adopted.cpus), thousandths(adopted.gpus)};
    if (record.limit != wanted) {
      waiting_.emplace_back(ChangeLimit{team, wanted});
      continue;
    }
    const Amounts paid = unused(team, view).at_most(record.excess);
    if (paid.none()) continue;
    view.promised += paid;
    waiting_.emplace_back(PayExcess{team, paid});
  }
}

// ---- giving ----

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
  waiting_.emplace_back(std::move(give));
}

// Tasks were stopped for it: once the use is below the lowered cap, the share is given.
void ShareManager::finish_reclaims(std::size_t region, std::map<std::string, Amounts>& given) {
  for (auto& [team, view] : teams_) {
    if (!view.reclaim || view.reclaim->region != region || given.size() >= kTeamsPerTransfer)
      continue;
    if (!limited(team, view.load.used).fits_in(limited(team, available(team, view)))) continue;
    given[team] = view.reclaim->amounts;
    view.reclaim.reset();
  }
}

// Ordinary work of another region gets what this one has beyond its reserve; urgent work gets all
// that is unused, and what less important tasks use once they are stopped.
Amounts ShareManager::grant(TeamView& view, std::size_t region, const DemandEntry& demand) {
  const std::string& team = demand.team;
  const Amounts spare = unused(team, view);
  const Amounts on_demand = (spare - reserve(view)).positive().at_most(demand.wanted);
  const Amounts granted = on_demand.at_least(spare.at_most(demand.urgent));
  const Amounts missing = (demand.urgent - granted).positive();
  const Amounts stoppable = limited(team, stoppable_of(view.load.running));
  // Not while urgent work of its own waits here.
  const Amounts reclaimed =
      urgent_of(view.load.waiting).none() ? missing.at_most(stoppable) : Amounts{};
  if (!reclaimed.none() && granted.none() && !view.reclaim) {
    view.reclaim = Reclaim{region, reclaimed, now_ + kReclaimHeartbeats * interval_};
    event("event=share_reclaimed region=" + regions_[region].name + describe({team, reclaimed}));
    out_.emplace_back(StopBeyondCap{team, Priority::High});
  }
  return granted;
}

// ---- asking ----

void ShareManager::ask() {
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
    if (now_ < region.ask_again_at && !more_urgent) continue;
    region.ask_again_at = now_ + interval_ / kAsksPerHeartbeat;
    RegionMessage message;
    message.kind = RegionMessage::Kind::Demand;
    message.demand.credited = committed_.regions[region.name].credited;
    for (const auto& [team, demand] : wanted[n]) {
      message.demand.entries.push_back(demand);
      if (!region.asked.contains(team))
        event("event=share_asked region=" + region.name + describe({team, demand.wanted}));
    }
    region.asked = wanted[n];
    send(n, std::move(message));
  }
}

// What each region is asked for: first of what is known to be unused, from whoever has most; for
// urgent work also of what could be stopped.
std::vector<std::map<std::string, DemandEntry>> ShareManager::plan_demands() const {
  std::vector<std::map<std::string, DemandEntry>> out(regions_.size());
  for (const auto& [team, view] : teams_) {
    const Amounts left = limited(team, available(team, view) - view.load.used);
    const auto excess = committed_.teams.find(team);
    const Amounts waiting = sum_of(view.load.waiting) +
                            (excess == committed_.teams.end() ? Amounts{} : excess->second.excess);
    // Ahead of need: work that runs is followed by more of it.
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
        // It hasn't said yet, as after a change of leaders: urgent work asks all the same.
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

void ShareManager::tell_surplus() {
  for (std::size_t n = 0; n < regions_.size(); ++n) {
    RegionView& region = regions_[n];
    const bool all = now_ >= region.surplus_resend_at;
    RegionMessage message;
    message.kind = RegionMessage::Kind::Surplus;
    for (const auto& [team, view] : teams_) {
      const SurplusEntry entry{team, unused(team, view),
                               limited(team, stoppable_of(view.load.running))};
      const SurplusEntry& told = region.surplus_told[team];
      const bool changed =
          differs(entry.unused, told.unused) || differs(entry.stoppable, told.stoppable);
      const bool worth_repeating = !entry.unused.none() || !entry.stoppable.none();
      if (!changed && !(all && worth_repeating)) continue;
      message.surplus.entries.push_back(entry);
      region.surplus_told[team] = entry;
    }
    if (all) region.surplus_resend_at = now_ + kSurplusHeartbeats * interval_;
    if (!message.surplus.entries.empty()) send(n, std::move(message));
  }
}

// ---- messages ----

std::optional<std::size_t> ShareManager::region_index(const std::string& name) const {
  for (std::size_t n = 0; n < regions_.size(); ++n)
    if (regions_[n].name == name) return n;
  return {};
}

void ShareManager::take(const MessageArrived& input) {
  const auto region = region_index(input.message.from);
  if (!region || !active_ || !unwritten_.empty()) return;
  switch (input.message.kind) {
    case RegionMessage::Kind::Transfer:
      return take_transfer(*region, input.message);
    case RegionMessage::Kind::Acknowledgement:
      return take_acknowledgement(*region, input.message);
    case RegionMessage::Kind::Demand:
      return take_demand(*region, input.message);
    case RegionMessage::Kind::Surplus:
      return take_surplus(*region, input.message);
  }
}

// It is acknowledged once it is committed; a copy of it that comes meanwhile waits for that too.
void ShareManager::take_transfer(std::size_t region, const RegionMessage& message) {
  const std::string& from = regions_[region].name;
  const TransferRecord& transfers = committed_.regions[from];
  if (message.transfer.number <= transfers.credited) {
    RegionMessage response;
    response.kind = RegionMessage::Kind::Acknowledgement;
    response.acknowledgement.number = message.transfer.number;
    return send(region, std::move(response));
  }
  if (message.transfer.number != transfers.credited + 1)
    return event("event=share_refused region=" + from +
                     " number=" + std::to_string(message.transfer.number) +
                     " credited=" + std::to_string(transfers.credited),
                 true);
  const auto same = [&](const Change& change) {
    const auto* other = std::get_if<CreditTransfer>(&change);
    return other != nullptr && other->region == region;
  };
  if (std::any_of(waiting_.begin(), waiting_.end(), same) ||
      std::any_of(in_flight_.begin(), in_flight_.end(), same))
    return;
  waiting_.emplace_back(CreditTransfer{region, message.transfer});
}

void ShareManager::take_acknowledgement(std::size_t region, const RegionMessage& message) {
  if (acknowledges(committed_, regions_[region].name, message.acknowledgement))
    regions_[region].acknowledged = true;
}

void ShareManager::take_demand(std::size_t region, const RegionMessage& message) {
  RegionView& from = regions_[region];
  const std::pair number(message.epoch, message.sequence);
  if (number <= from.last_demand) return;
  from.last_demand = number;
  // It was sent before a transfer of ours arrived there, and may be served by that.
  if (message.demand.credited != committed_.regions[from.name].sent) return;
  from.demands.clear();
  for (const DemandEntry& entry : message.demand.entries) from.demands[entry.team] = entry;
  from.demands_until = now_ + kDemandHeartbeats * interval_;
  // It is served with the next view of the load: by the last one, more may be in use by now.
}

void ShareManager::take_surplus(std::size_t region, const RegionMessage& message) {
  RegionView& from = regions_[region];
  const std::pair number(message.epoch, message.sequence);
  if (number <= from.last_surplus) return;
  from.last_surplus = number;
  for (const SurplusEntry& entry : message.surplus.entries) from.surplus[entry.team] = entry;
}

void ShareManager::send(std::size_t region, RegionMessage message) {
  message.from = options_.region;
  message.epoch = epoch_;
  message.sequence = ++sequence_;
  out_.emplace_back(SendToRegion{region, std::move(message)});
}

void ShareManager::event(std::string text, bool is_error) {
  out_.emplace_back(ShareEvent{is_error, std::move(text)});
}

void ShareManager::resend_transfers() {
  for (std::size_t n = 0; n < regions_.size(); ++n) {
    if (regions_[n].acknowledged || now_ < regions_[n].resend_at) continue;
    transfer_message(n);
  }
}

void ShareManager::transfer_message(std::size_t region) {
  RegionView& to = regions_[region];
  const TransferRecord& transfers = committed_.regions[to.name];
  to.resend_at = now_ + interval_ / kResendsPerHeartbeat;
  RegionMessage message;
  message.kind = RegionMessage::Kind::Transfer;
  message.transfer.number = transfers.sent;
  message.transfer.amounts = transfers.in_transit;
  send(region, std::move(message));
}

// ---- rounds ----

bool ShareManager::wants_commit() const {
  return leading_ && active_ && !unreadable_ && in_flight_.empty() && !waiting_.empty();
}

bool ShareManager::apply(ShareLedger& ledger, const Change& change) const {
  if (const auto* give = std::get_if<Give>(&change))
    return federation::give(ledger, regions_[give->region].name, give->amounts);
  if (const auto* transfer = std::get_if<CreditTransfer>(&change))
    return credit(ledger, regions_[transfer->region].name, transfer->transfer) == Credit::Credited;
  if (const auto* limit = std::get_if<ChangeLimit>(&change))
    set_limit(ledger, limit->team, limit->limit);
  else if (const auto* paid = std::get_if<PayExcess>(&change))
    pay_excess(ledger, paid->team, paid->amounts);
  return true;
}

std::set<std::string> ShareManager::keys_of(const Change& change) const {
  std::set<std::string> out;
  if (const auto* give = std::get_if<Give>(&change)) {
    out.insert(transfer_key(regions_[give->region].name));
    for (const TeamAmounts& entry : give->amounts) out.insert(share_key(entry.team));
  } else if (const auto* transfer = std::get_if<CreditTransfer>(&change)) {
    out.insert(transfer_key(regions_[transfer->region].name));
    for (const TeamAmounts& entry : transfer->transfer.amounts) out.insert(share_key(entry.team));
  } else if (const auto* limit = std::get_if<ChangeLimit>(&change)) {
    out.insert(share_key(limit->team));
  } else if (const auto* paid = std::get_if<PayExcess>(&change)) {
    out.insert(share_key(paid->team));
  } else if (const auto* first = std::get_if<WriteFirstShare>(&change)) {
    out.insert(share_key(first->team));
  }
  return out;
}

// Changes go in their order, and each as a whole: a transfer's number and its amounts are one.
std::vector<ShareWrite> ShareManager::writes(std::size_t most) {
  if (!wants_commit()) return {};
  staged_ = committed_;
  std::set<std::string> keys;
  std::size_t taken = 0;
  for (; taken < waiting_.size(); ++taken) {
    std::set<std::string> with = keys;
    with.merge(keys_of(waiting_[taken]));
    if (with.size() > most) break;
    // It can't fail: what is given was promised out of what is held, and credits are in order.
    if (!apply(staged_, waiting_[taken])) break;
    keys = std::move(with);
  }
  const auto end = waiting_.begin() + static_cast<std::ptrdiff_t>(taken);
  in_flight_.assign(waiting_.begin(), end);
  waiting_.erase(waiting_.begin(), end);
  std::vector<ShareWrite> out;
  for (const auto& [team, record] : staged_.teams)
    if (keys.contains(share_key(team)))
      out.push_back({share_key(team), encode_share(team, record)});
  for (const auto& [region, record] : staged_.regions)
    if (keys.contains(transfer_key(region)))
      out.push_back({transfer_key(region), encode_transfers(region, record)});
  return out;
}

void ShareManager::committed() {
  if (in_flight_.empty()) return;
  const std::vector<Change> changes = std::move(in_flight_);
  in_flight_.clear();
  committed_ = staged_;
  for (const Change& change : changes) settle(change);
}

void ShareManager::settle(const Change& change) {
  if (const auto* give = std::get_if<Give>(&change)) {
    RegionView& to = regions_[give->region];
    to.giving = false;
    to.acknowledged = false;
    for (const TeamAmounts& entry : give->amounts) {
      teams_.at(entry.team).promised -= entry.amounts;
      event("event=share_given region=" + to.name + describe(entry));
    }
    transfer_message(give->region);
  } else if (const auto* transfer = std::get_if<CreditTransfer>(&change)) {
    for (const TeamAmounts& entry : transfer->transfer.amounts)
      event("event=share_credited region=" + regions_[transfer->region].name + describe(entry));
    RegionMessage response;
    response.kind = RegionMessage::Kind::Acknowledgement;
    response.acknowledgement.number = transfer->transfer.number;
    send(transfer->region, std::move(response));
  } else if (const auto* limit = std::get_if<ChangeLimit>(&change)) {
    const bool in_force = committed_.teams[limit->team].excess.none();
    event("event=limit_changed" + describe({limit->team, limit->limit}) +
          (in_force ? " in_force=1" : " in_force=0"));
  } else if (const auto* paid = std::get_if<PayExcess>(&change)) {
    teams_.at(paid->team).promised -= paid->amounts;
    if (committed_.teams[paid->team].excess.none())
      event("event=limit_in_force team=" + paid->team);
  } else if (const auto* first = std::get_if<WriteFirstShare>(&change)) {
    unwritten_.erase(first->team);
    if (unwritten_.empty()) event("event=shares_enabled");
  }
}

}  // namespace sailreel::federation
