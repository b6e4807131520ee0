#include "sim/simulated_federation.hpp"

#include <algorithm>
#include <cmath>

#include "protocol/peer_frames.hpp"

namespace sailreel::sim {
namespace {

constexpr Time kStepMs = 5;
constexpr Time kCheckIntervalMs = 50;
constexpr Time kMaxCopyDelayMs = 60'000;

std::string region_name(std::size_t region) { return "region-" + std::to_string(region); }

}  // namespace

SimulatedFederation::SimulatedFederation(const FederationPlan& plan)
    : plan_(plan), random_(plan.seed * 97 + 5) {
  FederationOptions federation;
  federation.reserve_ratio = plan.reserve_ratio;
  for (std::size_t region = 0; region < plan.regions; ++region) {
    region_names_.push_back(region_name(region));
    federation.regions.push_back({region_name(region), {"10.0.0.1:1"}});
    if (region == 0) continue;
    for (const auto& [team, gpus] : plan.initial_gpus)
      federation.shares.push_back({team, region_name(region), 0, gpus});
  }
  for (std::size_t region = 0; region < plan.regions; ++region) {
    SimulationPlan simulation;
    simulation.seed = plan.seed * 10 + region;
    simulation.length = plan.length;
    simulation.jobs = 0;
    simulation.faults = false;
    if (!plan.fixed_division) {
      federation.region = region_name(region);
      simulation.options.federation = federation;
    }
    if (plan.adjust) plan.adjust(region, simulation);
    regions_.push_back(std::make_unique<SimulatedRegion>(simulation));
    regions_.back()->on_region_message = [this, region](std::size_t other,
                                                        const RegionMessage& message) {
      send(region, other < region ? other : other + 1, message);
    };
    if (region > 0) continue;
    for (const Team& team : (simulation.deployment ? simulation.deployment->controllers.front()
                                                   : sample_settings(0, simulation.scale))
                                .teams)
      if (team.gpus_max > 0) limits_[team.name] = team.gpus_max;
  }
  if (plan.faults) plan_faults();
}

void SimulatedFederation::run_until(Time time) {
  while (now_ < time) {
    now_ = std::min(time, now_ + kStepMs);
    for (auto& region : regions_) region->run_until(now_);
    deliver_due_messages();
    while (!fault_times_.empty() && fault_times_.back() <= now_) {
      fault_times_.pop_back();
      inject_fault();
    }
    if (now_ < next_check_) continue;
    next_check_ = now_ + kCheckIntervalMs;
    check();
  }
}

void SimulatedFederation::send(std::size_t from, std::size_t to, const RegionMessage& message) {
  PeerMessage peer;
  peer.kind = PeerMessage::Kind::Region;
  peer.region = message;
  const std::string bytes = encode_peer(peer);
  ++messages_;
  message_bytes_ += bytes.size();
  const auto jitter = static_cast<std::uint32_t>(std::max<Time>(1, plan_.delay_ms / 4));
  Time arrives = now_ + plan_.delay_ms + random_(jitter);
  const auto cut = cuts_.find(std::minmax(from, to));
  if (cut != cuts_.end() && now_ < cut->second.until) {
    if (!cut->second.hold) return;
    arrives = cut->second.until + random_(jitter);
  }
  constexpr std::uint32_t kMillion = 1'000'000;
  if (random_(kMillion) < plan_.duplicated * kMillion)
    messages_due_.insert({arrives + random_(kMaxCopyDelayMs), {to, bytes}});
  if (random_(kMillion) < plan_.loss * kMillion) return;
  messages_due_.insert({arrives, {to, bytes}});
}

void SimulatedFederation::deliver_due_messages() {
  while (!messages_due_.empty() && messages_due_.begin()->first <= now_) {
    const MessageInTransit arrived = std::move(messages_due_.begin()->second);
    messages_due_.erase(messages_due_.begin());
    PeerReader reader;
    reader.feed(arrived.bytes);
    if (const auto message = reader.next()) regions_[arrived.to]->receive_region(message->region);
  }
}

void SimulatedFederation::cut(std::size_t region_a, std::size_t region_b, Time for_ms, bool hold) {
  cuts_[std::minmax(region_a, region_b)] = {now_ + for_ms, hold};
}

void SimulatedFederation::cut_off(std::size_t region, Time for_ms, bool hold) {
  for (std::size_t other = 0; other < regions_.size(); ++other)
    if (other != region) cut(region, other, for_ms, hold);
}

ShareLedger SimulatedFederation::ledger(std::size_t region) const {
  ShareLedger out;
  const FakeKvStore& store = regions_[region]->kv_store();
  const auto add = [&](const std::string& key) {
    if (auto value = decode_quota_share_value(key, store.value_of(key))) out.add(std::move(*value));
  };
  for (const auto& [team, limit] : limits_) add(share_key(team));
  for (const std::string& name : region_names_) add(transfer_key(name));
  return out;
}

Amounts SimulatedFederation::held(const std::string& team) const {
  Amounts sum;
  for (std::size_t region = 0; region < regions_.size(); ++region)
    sum += ledger(region).teams[team].share;
  return sum;
}

Amounts SimulatedFederation::in_transit(const std::string& team) const {
  Amounts sum;
  for (std::size_t from = 0; from < regions_.size(); ++from)
    for (std::size_t to = 0; to < regions_.size(); ++to) {
      if (from == to) continue;
      const TransferRecord sent = ledger(from).regions[region_names_[to]];
      if (sent.sent <= ledger(to).regions[region_names_[from]].credited) continue;
      for (const TeamAmounts& entry : sent.in_transit)
        if (entry.team == team) sum += entry.amounts;
    }
  return sum;
}

double SimulatedFederation::used_gpus(const std::string& team) const {
  double sum = 0;
  for (const auto& region : regions_) sum += region->checker().used_by(team).gpus;
  return sum;
}

void SimulatedFederation::check() {
  for (const auto& [team, limit] : limits_) {
    if (used_gpus(team) > limit + 1e-6)
      violations_.try_emplace("quota over all regions",
                              team + " at " + std::to_string(now_) + " uses " +
                                  std::to_string(used_gpus(team)) + " of " + std::to_string(limit));
    if (!plan_.fixed_division) check_shares(team, limit);
  }
}

// Checks that the shares of all regions, with those in transit and without the excess, add up to
// the limit in force, and that no region uses more than its share. The check is skipped until all
// regions have written their first shares.
void SimulatedFederation::check_shares(const std::string& team, double limit) {
  for (std::size_t region = 0; region < regions_.size(); ++region) {
    const ShareLedger own_ledger = ledger(region);
    const auto record = own_ledger.teams.find(team);
    if (record == own_ledger.teams.end()) return;
    const double share = static_cast<double>(record->second.share.gpus) / 1000;
    if (regions_[region]->checker().used_by(team).gpus > share + 1e-6)
      violations_.try_emplace(
          "share", team + " in " + region_names_[region] + " at " + std::to_string(now_));
  }
  const Amounts excess = ledger(0).teams[team].excess;
  const double sum = static_cast<double>((held(team) + in_transit(team) - excess).gpus) / 1000;
  const double in_force = static_cast<double>(ledger(0).teams[team].limit.gpus) / 1000;
  if (std::abs(sum - in_force) > 1e-6 || in_force > limit + 1e-6)
    violations_.try_emplace("shares", team + " add up to " + std::to_string(sum) + " of " +
                                          std::to_string(in_force) + " at " + std::to_string(now_));
}

std::string SimulatedFederation::violations() const {
  std::string out;
  for (const auto& [rule, what] : violations_)
    out.append(rule).append(" (").append(what).append(") ");
  for (std::size_t region = 0; region < regions_.size(); ++region)
    if (const std::string summary = regions_[region]->checker().summary(); !summary.empty())
      out.append(region_names_[region]).append(": ").append(summary);
  return out;
}

void SimulatedFederation::plan_faults() {
  const auto from = static_cast<std::uint32_t>(plan_.length / 6);
  const auto span = static_cast<std::uint32_t>(plan_.length / 2);
  constexpr int kFaultCount = 14;
  for (int n = 0; n < kFaultCount; ++n) fault_times_.push_back(from + random_(span));
  std::sort(fault_times_.rbegin(), fault_times_.rend());
}

void SimulatedFederation::inject_fault() {
  const std::size_t target = random_(static_cast<std::uint32_t>(regions_.size()));
  SimulatedRegion& region = *regions_[target];
  const Time span = 3'000 + random_(20'000);
  const bool hold = random_(2) == 0;
  const int leader_node = region.leader();
  const std::size_t node = leader_node >= 0 ? static_cast<std::size_t>(leader_node) : random_(3);
  switch (random_(9)) {
    case 0:
    case 1:
      return region.kill(node, random_(2) == 0 ? 300 : 6'000);
    case 2:
      return cut_off(target, span, hold);
    case 3:
      return cut(target, (target + 1) % regions_.size(), 2 * span, hold);
    case 4:
      return region.kv_store_outage(span / 2);
    case 5:
      return region.lose_write_responses(0.4, span, random_(2) == 0);
    case 6:
      return region.freeze(node, span);
    case 7:
      return region.isolate(node, span, hold);
    default:
      for (std::size_t other = 0; other < 3; ++other)
        region.kill(other, other == node ? 500 : 5'000);
  }
}

}  // namespace sailreel::sim
