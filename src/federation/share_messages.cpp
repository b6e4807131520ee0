// The share manager's messages to and from other regions.
#include <algorithm>

#include "federation/share_manager.hpp"

namespace sailreel::federation {
namespace {

/// A transfer is sent this many times per heartbeat interval until it is acknowledged.
constexpr Time kResendsPerHeartbeat = 2;
/// Heartbeat intervals after which a demand that is not repeated no longer counts.
constexpr Time kDemandExpiryHeartbeats = 4;

}  // namespace

std::optional<std::size_t> ShareManager::region_index(const std::string& name) const {
  for (std::size_t index = 0; index < regions_.size(); ++index)
    if (regions_[index].name == name) return index;
  return {};
}

void ShareManager::handle_message(const MessageArrived& input) {
  const auto region = region_index(input.message.from);
  if (!region || !active_ || !teams_without_record_.empty()) return;
  switch (input.message.kind) {
    case RegionMessage::Kind::Transfer:
      return handle_transfer(*region, input.message);
    case RegionMessage::Kind::Acknowledgement:
      return handle_acknowledgement(*region, input.message);
    case RegionMessage::Kind::Demand:
      return handle_demand(*region, input.message);
    case RegionMessage::Kind::Surplus:
      return handle_surplus(*region, input.message);
  }
}

// Queues the credit of a new transfer. The transfer is acknowledged once the credit is committed,
// since the sender stops sending it after the acknowledgement. A repeated transfer that arrives
// before the commit gets no response.
void ShareManager::handle_transfer(std::size_t region, const RegionMessage& message) {
  const std::string& from = regions_[region].name;
  const TransferRecord& transfers = committed_.regions[from];
  if (message.transfer.number <= transfers.credited) {
    RegionMessage response;
    response.kind = RegionMessage::Kind::Acknowledgement;
    response.acknowledgement.number = message.transfer.number;
    return send(region, std::move(response));
  }
  if (message.transfer.number != transfers.credited + 1)
    return log_event("event=share_refused region=" + from +
                         " number=" + std::to_string(message.transfer.number) +
                         " credited=" + std::to_string(transfers.credited),
                     true);
  const auto credits_from_region = [&](const Change& change) {
    const auto* other = std::get_if<CreditTransfer>(&change);
    return other != nullptr && other->region == region;
  };
  if (std::any_of(pending_changes_.begin(), pending_changes_.end(), credits_from_region) ||
      std::any_of(in_flight_changes_.begin(), in_flight_changes_.end(), credits_from_region))
    return;
  pending_changes_.emplace_back(CreditTransfer{region, message.transfer});
}

void ShareManager::handle_acknowledgement(std::size_t region, const RegionMessage& message) {
  if (acknowledges(committed_, regions_[region].name, message.acknowledgement))
    regions_[region].acknowledged = true;
}

void ShareManager::handle_demand(std::size_t region, const RegionMessage& message) {
  RegionView& from = regions_[region];
  const MessageNumber number{message.epoch, message.sequence};
  if (number <= from.last_demand) return;
  from.last_demand = number;
  // The demand was sent before the last transfer to that region arrived there, and that transfer
  // may already satisfy it.
  if (message.demand.credited != committed_.regions[from.name].sent) return;
  from.demands.clear();
  for (const DemandEntry& entry : message.demand.entries) from.demands[entry.team] = entry;
  from.demands_until = now_ + kDemandExpiryHeartbeats * heartbeat_interval_;
  // The demand is served when the load is observed next: more may be in use by now than at the last
  // observation.
}

void ShareManager::handle_surplus(std::size_t region, const RegionMessage& message) {
  RegionView& from = regions_[region];
  const MessageNumber number{message.epoch, message.sequence};
  if (number <= from.last_surplus) return;
  from.last_surplus = number;
  for (const SurplusEntry& entry : message.surplus.entries) from.surplus[entry.team] = entry;
}

void ShareManager::send(std::size_t region, RegionMessage message) {
  message.from = options_.region;
  message.epoch = epoch_;
  message.sequence = ++sequence_;
  actions_.emplace_back(SendToRegion{region, std::move(message)});
}

void ShareManager::log_event(std::string text, bool is_error) {
  actions_.emplace_back(ShareEvent{is_error, std::move(text)});
}

void ShareManager::resend_transfers() {
  for (std::size_t index = 0; index < regions_.size(); ++index) {
    if (regions_[index].acknowledged || now_ < regions_[index].resend_at) continue;
    send_transfer(index);
  }
}

void ShareManager::send_transfer(std::size_t region) {
  RegionView& receiver = regions_[region];
  const TransferRecord& transfers = committed_.regions[receiver.name];
  receiver.resend_at = now_ + heartbeat_interval_ / kResendsPerHeartbeat;
  RegionMessage message;
  message.kind = RegionMessage::Kind::Transfer;
  message.transfer.number = transfers.sent;
  message.transfer.amounts = transfers.in_transit;
  send(region, std::move(message));
}

}  // namespace sailreel::federation
