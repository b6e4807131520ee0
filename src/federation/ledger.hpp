// The rules by which quota shares move between regions. Each function is one change of one region's
// ledger, to be stored by one compare-and-swap; none of them has any other effect.
//
// Over all regions, for each team: what is held plus what is in transit is the limit, plus the
// excess that is left after the limit was lowered. A transfer is in transit until the receiver's
// `credited` reaches its number. docs/federation.md has the proofs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "storage/share_records.hpp"

namespace sailreel::federation {

enum class Credit : std::uint8_t {
  Credited,  // the ledger has changed
  Repeated,  // it was credited before; acknowledge it again
  Refused,   // not the next one: one of the two regions has lost its records
};

/// Takes the amounts from the ledger's shares and records them as in transit to the region. False,
/// with nothing changed, if the ledger holds less. The last transfer to that region must have been
/// acknowledged, as this one takes its place.
bool give(ShareLedger& ledger, const std::string& region, const std::vector<TeamAmounts>& amounts);

/// Adds a transfer from a region to the ledger's shares, unless that was done before.
Credit credit(ShareLedger& ledger, const std::string& region, const ShareTransfer& transfer);

/// Whether an acknowledgement is that of the last transfer to the region.
bool acknowledges(const ShareLedger& ledger, const std::string& region,
                  const TransferAcknowledgement& acknowledgement);

/// Changes a team's quota limit, in the region that administers the limits. What a lower
/// limit takes away becomes excess; what a higher one adds pays off excess before it is added to
/// the share.
void set_limit(ShareLedger& ledger, const std::string& team, const Amounts& limit);

/// Destroys share of the team to pay off excess.
void pay_excess(ShareLedger& ledger, const std::string& team, const Amounts& amounts);

}  // namespace sailreel::federation
