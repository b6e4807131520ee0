// The rules by which quota shares move between regions. Each function that changes a ledger makes
// one change of one region's ledger, which has to be stored by one compare-and-swap. No function
// has any other effect.
//
// Invariant over all regions, for each team: the shares held plus the shares in transit equal the
// limit plus the excess that remains after the limit was lowered. A transfer is in transit until
// the receiver's `credited` reaches its number. docs/federation.md has the proofs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "storage/share_records.hpp"

namespace sailreel::federation {

/// What `credit_transfer` did with a transfer.
enum class CreditResult : std::uint8_t {
  Credited,  // the ledger has changed
  Repeated,  // the transfer was credited before and has to be acknowledged again
  Refused,   // its number isn't the next one: one of the two regions has lost its records
};

/// Takes the amounts from the ledger's shares and records them as in transit to the region. Returns
/// false and changes nothing if the ledger holds less. The last transfer to that region must have
/// been acknowledged, since this one replaces its record.
bool start_transfer(ShareLedger& ledger, const std::string& region,
                    const std::vector<TeamAmounts>& amounts);

/// Adds a transfer from a region to the ledger's shares, if it is the next one from that region.
CreditResult credit_transfer(ShareLedger& ledger, const std::string& region,
                             const ShareTransfer& transfer);

/// Whether an acknowledgement is for the last transfer to the region.
bool acknowledges(const ShareLedger& ledger, const std::string& region,
                  const TransferAcknowledgement& acknowledgement);

/// Changes a team's quota limit, in the region that administers the limits. A decrease is added to
/// the excess; an increase first pays off excess, and the rest is added to the share.
void set_limit(ShareLedger& ledger, const std::string& team, const Amounts& limit);

/// Subtracts the amounts from the team's share and from its excess, as far as both suffice.
void pay_excess(ShareLedger& ledger, const std::string& team, const Amounts& amounts);

}  // namespace sailreel::federation
