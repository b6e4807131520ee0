#include "sim/federated_day.hpp"

#include "protocol/peer_frames.hpp"

namespace sailreel::sim {
namespace {

constexpr Time kSlice = 5;
constexpr Time kChecksApart = 50;
constexpr Time kLateBy = 60'000;

std::string region_name(std::size_t region) { return "region-" + std::to_string(region); }

}  // namespace

FederatedDay::FederatedDay(const FederationPlan& plan) : plan_(plan), random_(plan.seed * 97 + 5) {
  FederationOptions federation;
  federation.reserve_ratio = plan.reserve_ratio;
  for (std::size_t n = 0; n < plan.regions; ++n) {
    names_.push_back(region_name(n));
    federation.regions.push_back({region_name(n), {"10.0.0.1:1"}});
    if (n == 0) continue;
    for (const auto& [team, gpus] : plan.first_gpus)
      federation.shares.push_back({team, region_name(n), 0, gpus});
  }
  for (std::size_t n = 0; n < plan.regions; ++n) {
    SimulationPlan day;
    day.seed = plan.seed * 10 + n;
    day.length = plan.length;
    day.jobs = 0;
    day.faults = false;
    if (!plan.fixed_division) {
      federation.region = region_name(n);
      day.options.federation = federation;
    }
    if (plan.adjust) plan.adjust(n, day);
    regions_.push_back(std::make_unique<SimulatedRegion>(day));
    regions_.back()->on_region_message = [this, n](std::size_t other,
                                                   const RegionMessage& message) {
      send(n, other < n ? other : other + 1, message);
    };
    if (n > 0) continue;
    for (const Team& team :
         (day.deployment ? day.deployment->controllers.front() : sample_settings(0, day.scale))
             .teams)
      if (team.gpus_max > 0) limits_[team.name] = team.gpus_max;
  }
  if (plan.faults) plan_faults();
}

void FederatedDay::run_until(Time t) {
  while (now_ < t) {
    now_ = std::min(t, now_ + kSlice);
    for (auto& region : regions_) region->run_until(now_);
    deliver_due();
    while (!faults_at_.empty() && faults_at_.back() <= now_) {
      faults_at_.pop_back();
      fault();
    }
    if (now_ < next_check_) continue;
    next_check_ = now_ + kChecksApart;
    check();
  }
}

void FederatedDay::send(std::size_t from, std::size_t to, const RegionMessage& message) {
  PeerMessage peer;
  peer.kind = PeerMessage::Kind::Region;
  peer.region = message;
  const std::string bytes = encode_peer(peer);
  ++messages_;
  message_bytes_ += bytes.size();
  const auto jitter = static_cast<std::uint32_t>(std::max<Time>(1, plan_.delay_ms / 4));
  Time arrives = now_ + plan_.delay_ms + random_(jitter);
  const auto cut = cuts_.find(std::minmax(from, to));
  if (cut != cuts_.end() && now_ < cut->second.first) {
    if (!cut->second.second) return;
    arrives = cut->second.first + random_(jitter);
  }
  constexpr std::uint32_t kMillion = 1'000'000;
  if (random_(kMillion) < plan_.repeated * kMillion)
    messages_due_.insert({arrives + random_(kLateBy), {to, bytes}});
  if (random_(kMillion) < plan_.loss * kMillion) return;
  messages_due_.insert({arrives, {to, bytes}});
}

void FederatedDay::deliver_due() {
  while (!messages_due_.empty() && messages_due_.begin()->first <= now_) {
    const Held held = std::move(messages_due_.begin()->second);
    messages_due_.erase(messages_due_.begin());
    PeerReader reader;
    reader.feed(held.bytes);
    if (const auto message = reader.next()) regions_[held.to]->receive_region(message->region);
  }
}

void FederatedDay::cut(std::size_t a, std::size_t b, Time for_ms, bool hold) {
  cuts_[std::minmax(a, b)] = {now_ + for_ms, hold};
}

void FederatedDay::cut_off(std::size_t region, Time for_ms, bool hold) {
  for (std::size_t other = 0; other < regions_.size(); ++other)
    if (other != region) cut(region, other, for_ms, hold);
}

ShareLedger FederatedDay::ledger(std::size_t region) const {
  ShareLedger out;
  const FakeKvStore& state = regions_[region]->state();
  const auto add = [&](const std::string& key) {
    if (auto value = decode_quota_share_value(key, state.value_of(key))) out.add(std::move(*value));
  };
  for (const auto& [team, limit] : limits_) add(share_key(team));
  for (const std::string& name : names_) add(transfer_key(name));
  return out;
}

Amounts FederatedDay::held(const std::string& team) const {
  Amounts sum;
  for (std::size_t n = 0; n < regions_.size(); ++n) sum += ledger(n).teams[team].share;
  return sum;
}

Amounts FederatedDay::in_transit(const std::string& team) const {
  Amounts sum;
  for (std::size_t from = 0; from < regions_.size(); ++from)
    for (std::size_t to = 0; to < regions_.size(); ++to) {
      if (from == to) continue;
      const TransferRecord sent = ledger(from).regions[names_[to]];
      if (sent.sent <= ledger(to).regions[names_[from]].credited) continue;
      for (const TeamAmounts& entry : sent.in_transit)
        if (entry.team == team) sum += entry.amounts;
    }
  return sum;
}

double FederatedDay::used_gpus(const std::string& team) const {
  double sum = 0;
  for (const auto& region : regions_) sum += region->checker().used_by(team).gpus;
  return sum;
}

void FederatedDay::check() {
  for (const auto& [team, limit] : limits_) {
    if (used_gpus(team) > limit + 1e-6)
      broken_.try_emplace("quota over all regions", team + " at " + std::to_string(now_) +
                                                        " uses " + std::to_string(used_gpus(team)) +
                                                        " of " + std::to_string(limit));
    if (!plan_.fixed_division) check_shares(team, limit);
  }
}

// Once all regions have written what they begin with, nothing appears and nothing vanishes; and no
// region uses more than it holds.
void FederatedDay::check_shares(const std::string& team, double limit) {
  for (std::size_t n = 0; n < regions_.size(); ++n) {
    const ShareLedger mine = ledger(n);
    const auto record = mine.teams.find(team);
    if (record == mine.teams.end()) return;
    const double share = static_cast<double>(record->second.share.gpus) / 1000;
    if (regions_[n]->checker().used_by(team).gpus > share + 1e-6)
      broken_.try_emplace("share", team + " in " + names_[n] + " at " + std::to_string(now_));
  }
  const Amounts excess = ledger(0).teams[team].excess;
  const double sum = static_cast<double>((held(team) + in_transit(team) - excess).gpus) / 1000;
  const double in_force = static_cast<double>(ledger(0).teams[team].limit.gpus) / 1000;
  if (std::abs(sum - in_force) > 1e-6 || in_force > limit + 1e-6)
    broken_.try_emplace("shares", team + " add up to " + std::to_string(sum) + " of " +
                                      std::to_string(in_force) + " at " + std::to_string(now_));
}

std::string FederatedDay::broken() const {
  std::string out;
  for (const auto& [rule, what] : broken_) out.append(rule).append(" (").append(what).append(") ");
  for (std::size_t n = 0; n < regions_.size(); ++n)
    if (const std::string summary = regions_[n]->checker().summary(); !summary.empty())
      out.append(names_[n]).append(": ").append(summary);
  return out;
}

void FederatedDay::plan_faults() {
  const auto from = static_cast<std::uint32_t>(plan_.length / 6);
  const auto span = static_cast<std::uint32_t>(plan_.length / 2);
  constexpr int kFaults = 14;
  for (int n = 0; n < kFaults; ++n) faults_at_.push_back(from + random_(span));
  std::sort(faults_at_.rbegin(), faults_at_.rend());
}

void FederatedDay::fault() {
  const std::size_t n = random_(static_cast<std::uint32_t>(regions_.size()));
  SimulatedRegion& region = *regions_[n];
  const Time span = 3'000 + random_(20'000);
  const bool hold = random_(2) == 0;
  const int lead = region.leader();
  const std::size_t node = lead >= 0 ? static_cast<std::size_t>(lead) : random_(3);
  switch (random_(9)) {
    case 0:
    case 1:
      return region.kill(node, random_(2) == 0 ? 300 : 6'000);
    case 2:
      return cut_off(n, span, hold);
    case 3:
      return cut(n, (n + 1) % regions_.size(), 2 * span, hold);
    case 4:
      return region.kv_store_outage(span / 2);
    case 5:
      return region.late_writes(0.4, span, random_(2) == 0);
    case 6:
      return region.freeze(node, span);
    case 7:
      return region.isolate(node, span, hold);
    default:
      for (std::size_t i = 0; i < 3; ++i) region.kill(i, i == node ? 500 : 5'000);
  }
}

}  // namespace sailreel::sim
