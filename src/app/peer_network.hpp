// This node's links to the other controllers of its region and to those of other regions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "protocol/peer_frames.hpp"
#include "protocol/settings.hpp"
#include "transport/loop.hpp"
#include "transport/peer_link.hpp"

namespace sailreel {

/// Connects when there is something to send, and again when a link was lost. Splits what arrives
/// into messages.
class PeerNetwork {
 public:
  struct Events {
    std::function<void(std::uint64_t link, PeerMessage message)> message;
    /// The link to a peer, by its place in the settings, was lost. Called from the loop, never from
    /// within a call to this class.
    std::function<void(std::size_t peer)> disconnected;
  };

  /// Throws std::runtime_error if it cannot listen on the settings' address for peers. The loop
  /// must outlive it.
  PeerNetwork(EventLoop& loop, const Settings& settings, const FederationOptions& options,
              std::size_t max_incoming, Events events);

  /// Links to controllers of other regions, in both directions.
  static std::size_t region_link_count(const FederationOptions& options);

  /// To a peer by its place in the settings. Dropped while there is no connection.
  void send_to_peer(std::size_t peer, const PeerMessage& message);
  /// To every controller of another region, by its place among the other regions: which of them is
  /// the leader is known there only, and the others ignore the message.
  void send_to_region(std::size_t region, const PeerMessage& message);
  /// The response to a request that came on the link.
  void respond(std::uint64_t link, const PeerMessage& response);

  /// The peer that the link leads to, or the number of peers for any other link.
  [[nodiscard]] std::size_t peer_of(std::uint64_t link) const;
  [[nodiscard]] std::size_t peer_count() const { return peers_.size(); }

 private:
  struct OutgoingLink {
    std::string address;
    std::uint64_t link = 0;  // 0: none
    std::int64_t retry_at = 0;
  };

  static std::vector<std::vector<OutgoingLink>> region_links(const FederationOptions& options);
  void send(OutgoingLink& to, const PeerMessage& message);
  bool receive(std::uint64_t link, std::string_view bytes);
  void handle_closed(std::uint64_t link);

  EventLoop& loop_;
  Events events_;
  PeerLinks links_;
  std::vector<OutgoingLink> peers_;
  std::vector<std::vector<OutgoingLink>> regions_;
  std::unordered_map<std::uint64_t, PeerReader> readers_;
  std::uint64_t reading_link_ = 0;  // whose messages are being handled; 0: none
  std::vector<std::size_t> lost_peers_;
  std::unique_ptr<Timer> lost_timer_;
};

}  // namespace sailreel
