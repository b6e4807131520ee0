#include "federation/ledger.hpp"

namespace sailreel::federation {

bool start_transfer(ShareLedger& ledger, const std::string& region,
                    const std::vector<TeamAmounts>& amounts) {
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

CreditResult credit_transfer(ShareLedger& ledger, const std::string& region,
                             const ShareTransfer& transfer) {
  TransferRecord& transfers = ledger.regions[region];
  if (transfer.number <= transfers.credited) return CreditResult::Repeated;
  if (transfer.number != transfers.credited + 1) return CreditResult::Refused;
  transfers.credited = transfer.number;
  for (const TeamAmounts& entry : transfer.amounts) ledger.teams[entry.team].share += entry.amounts;
  return CreditResult::Credited;
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
  const Amounts paid = increase.componentwise_min(record.excess);
  record.limit = limit;
  record.excess = record.excess - paid + decrease;
  record.share += increase - paid;
}

void pay_excess(ShareLedger& ledger, const std::string& team, const Amounts& amounts) {
  ShareRecord& record = ledger.teams[team];
  const Amounts paid = amounts.componentwise_min(record.share).componentwise_min(record.excess);
  record.share -= paid;
  record.excess -= paid;
}

}  // namespace sailreel::federation
