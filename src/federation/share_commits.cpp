// How the share manager commits changes of its ledger to the checkpoint.
#include "federation/log_fields.hpp"
#include "federation/share_manager.hpp"

namespace sailreel::federation {

bool ShareManager::wants_commit() const {
  return leading_ && active_ && !unreadable_ && in_flight_changes_.empty() &&
         !pending_changes_.empty();
}

bool ShareManager::apply(ShareLedger& ledger, const Change& change) const {
  if (const auto* transfer_start = std::get_if<StartTransfer>(&change))
    return federation::start_transfer(ledger, regions_[transfer_start->region].name,
                                      transfer_start->amounts);
  if (const auto* credited = std::get_if<CreditTransfer>(&change))
    return credit_transfer(ledger, regions_[credited->region].name, credited->transfer) ==
           CreditResult::Credited;
  if (const auto* limit_change = std::get_if<ChangeLimit>(&change))
    set_limit(ledger, limit_change->team, limit_change->limit);
  else if (const auto* payment = std::get_if<PayExcess>(&change))
    pay_excess(ledger, payment->team, payment->amounts);
  return true;
}

std::set<std::string> ShareManager::keys_of(const Change& change) const {
  std::set<std::string> keys;
  if (const auto* transfer_start = std::get_if<StartTransfer>(&change)) {
    keys.insert(transfer_key(regions_[transfer_start->region].name));
    for (const TeamAmounts& entry : transfer_start->amounts) keys.insert(share_key(entry.team));
  } else if (const auto* credited = std::get_if<CreditTransfer>(&change)) {
    keys.insert(transfer_key(regions_[credited->region].name));
    for (const TeamAmounts& entry : credited->transfer.amounts) keys.insert(share_key(entry.team));
  } else if (const auto* limit_change = std::get_if<ChangeLimit>(&change)) {
    keys.insert(share_key(limit_change->team));
  } else if (const auto* payment = std::get_if<PayExcess>(&change)) {
    keys.insert(share_key(payment->team));
  } else if (const auto* first_share = std::get_if<WriteInitialShare>(&change)) {
    keys.insert(share_key(first_share->team));
  }
  return keys;
}

// Changes are committed in the order in which they were decided. The writes of one change are never
// split between two commits: a transfer's number must not be stored without its amounts.
std::vector<ShareWrite> ShareManager::writes(std::size_t max_writes) {
  if (!wants_commit()) return {};
  staged_ = committed_;
  std::set<std::string> keys;
  std::size_t changes_taken = 0;
  for (; changes_taken < pending_changes_.size(); ++changes_taken) {
    std::set<std::string> keys_with_change = keys;
    keys_with_change.merge(keys_of(pending_changes_[changes_taken]));
    if (keys_with_change.size() > max_writes) break;
    // Not expected to fail: amounts to give were reserved out of the share held, and credits are
    // queued in the order of their numbers.
    if (!apply(staged_, pending_changes_[changes_taken])) break;
    keys = std::move(keys_with_change);
  }
  const auto end = pending_changes_.begin() + static_cast<std::ptrdiff_t>(changes_taken);
  in_flight_changes_.assign(pending_changes_.begin(), end);
  pending_changes_.erase(pending_changes_.begin(), end);
  std::vector<ShareWrite> writes;
  for (const auto& [team, record] : staged_.teams)
    if (keys.contains(share_key(team)))
      writes.push_back({share_key(team), encode_share(team, record)});
  for (const auto& [region, record] : staged_.regions)
    if (keys.contains(transfer_key(region)))
      writes.push_back({transfer_key(region), encode_transfers(region, record)});
  return writes;
}

void ShareManager::handle_commit() {
  if (in_flight_changes_.empty()) return;
  const std::vector<Change> changes = std::move(in_flight_changes_);
  in_flight_changes_.clear();
  committed_ = staged_;
  for (const Change& change : changes) handle_committed_change(change);
}

void ShareManager::handle_committed_change(const Change& change) {
  if (const auto* transfer_start = std::get_if<StartTransfer>(&change)) {
    RegionView& receiver = regions_[transfer_start->region];
    receiver.transfer_pending = false;
    receiver.acknowledged = false;
    for (const TeamAmounts& entry : transfer_start->amounts) {
      teams_.at(entry.team).promised -= entry.amounts;
      log_event("event=share_given region=" + receiver.name + log_fields(entry));
    }
    send_transfer(transfer_start->region);
  } else if (const auto* credited = std::get_if<CreditTransfer>(&change)) {
    for (const TeamAmounts& entry : credited->transfer.amounts)
      log_event("event=share_credited region=" + regions_[credited->region].name +
                log_fields(entry));
    RegionMessage response;
    response.kind = RegionMessage::Kind::Acknowledgement;
    response.acknowledgement.number = credited->transfer.number;
    send(credited->region, std::move(response));
  } else if (const auto* limit_change = std::get_if<ChangeLimit>(&change)) {
    const bool in_force = committed_.teams[limit_change->team].excess.none();
    log_event("event=limit_changed" + log_fields({limit_change->team, limit_change->limit}) +
              (in_force ? " in_force=1" : " in_force=0"));
  } else if (const auto* payment = std::get_if<PayExcess>(&change)) {
    teams_.at(payment->team).promised -= payment->amounts;
    if (committed_.teams[payment->team].excess.none())
      log_event("event=limit_in_force team=" + payment->team);
  } else if (const auto* first_share = std::get_if<WriteInitialShare>(&change)) {
    teams_without_record_.erase(first_share->team);
    if (teams_without_record_.empty()) log_event("event=shares_enabled");
  }
}

}  // namespace sailreel::federation
