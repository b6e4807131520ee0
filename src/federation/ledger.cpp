#include "federation/ledger.hpp"

namespace sailreel::federation {

bool give(ShareLedger& ledger, const std::string& region, const std::vector<TeamAmounts>& amounts) {
  for (const TeamAmounts& entry : amounts) {
    const auto record = ledger.teams.find(entry.team);
    if (record == ledger.teams.end() || !entry.amounts.fits_in(record->second.share)) return false;
  }
  for (const TeamAmounts& entry : amounts) ledger.teams[entry.team].share -= entry.amounts;
  TransferRecord& transfers = ledger.regions[region];
  ++transfers.sent;
  transfers.in_transit = amounts;
  return true;
}

Credit credit(ShareLedger& ledger, const std::string& region, const ShareTransfer& transfer) {
  TransferRecord& transfers = ledger.regions[region];
  if (transfer.number <= transfers.credited) return Credit::Repeated;
  if (transfer.number != transfers.credited + 1) return Credit::Refused;
  transfers.credited = transfer.number;
  for (const TeamAmounts& entry : transfer.amounts) ledger.teams[entry.team].share += entry.amounts;
  return Credit::Credited;
}

bool acknowledges(const ShareLedger& ledger, const std::string& region,
                  const TransferAcknowledgement& acknowledgement) {
  const auto transfers = ledger.regions.find(region);
  return transfers != ledger.regions.end() && acknowledgement.number == transfers->second.sent;
}

void set_limit(ShareLedger& ledger, const std::string& team, const Amounts& limit) {
  ShareRecord& record = ledger.teams[team];
  const Amounts increase = (limit - record.limit).positive();
  const Amounts decrease = (record.limit - limit).positive();
  const Amounts paid = increase.at_most(record.excess);
  record.limit = limit;
  record.excess = record.excess - paid + decrease;
  record.share += increase - paid;
}

void pay_excess(ShareLedger& ledger, const std::string& team, const Amounts& amounts) {
  ShareRecord& record = ledger.teams[team];
  const Amounts paid = amounts.at_most(record.share).at_most(record.excess);
  record.share -= paid;
  record.excess -= paid;
}

}  // namespace sailreel::federation
