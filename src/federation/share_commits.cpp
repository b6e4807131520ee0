// How the share manager commits changes of its ledger to the checkpoint.
#include "federation/log_fields.hpp"
#include "federation/share_manager.hpp"

namespace sailreel::federation {

bool ShareManager::wants_commit() const {
  return leading_ && active_ && !unreadable_ && in_flight_.empty() && !pending_.empty();
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

// Changes are committed in the order in which they were decided. The writes of one change are never
// split between two commits: a transfer's number must not be stored without its amounts.
std::vector<ShareWrite> ShareManager::writes(std::size_t most) {
  if (!wants_commit()) return {};
  staged_ = committed_;
  std::set<std::string> keys;
  std::size_t taken = 0;
  for (; taken < pending_.size(); ++taken) {
    std::set<std::string> with = keys;
    with.merge(keys_of(pending_[taken]));
    if (with.size() > most) break;
    // Not expected to fail: amounts to give were reserved out of the share held, and credits are
    // queued in the order of their numbers.
    if (!apply(staged_, pending_[taken])) break;
    keys = std::move(with);
  }
  const auto end = pending_.begin() + static_cast<std::ptrdiff_t>(taken);
  in_flight_.assign(pending_.begin(), end);
  pending_.erase(pending_.begin(), end);
  std::vector<ShareWrite> out;
  for (const auto& [team, record] : staged_.teams)
    if (keys.contains(share_key(team)))
      out.push_back({share_key(team), encode_share(team, record)});
  for (const auto& [region, record] : staged_.regions)
    if (keys.contains(transfer_key(region)))
      out.push_back({transfer_key(region), encode_transfers(region, record)});
  return out;
}

void ShareManager::handle_commit() {
  if (in_flight_.empty()) return;
  const std::vector<Change> changes = std::move(in_flight_);
  in_flight_.clear();
  committed_ = staged_;
  for (const Change& change : changes) complete(change);
}

void ShareManager::complete(const Change& change) {
  if (const auto* give = std::get_if<Give>(&change)) {
    RegionView& to = regions_[give->region];
    to.giving = false;
    to.acknowledged = false;
    for (const TeamAmounts& entry : give->amounts) {
      teams_.at(entry.team).promised -= entry.amounts;
      event("event=share_given region=" + to.name + log_fields(entry));
    }
    send_transfer(give->region);
  } else if (const auto* transfer = std::get_if<CreditTransfer>(&change)) {
    for (const TeamAmounts& entry : transfer->transfer.amounts)
      event("event=share_credited region=" + regions_[transfer->region].name + log_fields(entry));
    RegionMessage response;
    response.kind = RegionMessage::Kind::Acknowledgement;
    response.acknowledgement.number = transfer->transfer.number;
    send(transfer->region, std::move(response));
  } else if (const auto* limit = std::get_if<ChangeLimit>(&change)) {
    const bool in_force = committed_.teams[limit->team].excess.none();
    event("event=limit_changed" + log_fields({limit->team, limit->limit}) +
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
