// Links of this controller with the other controllers of its region and of other regions.
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

/// Opens a link when there is a message to send, also after the previous link was lost. Splits
/// received bytes into messages.
class PeerNetwork {
 public:
  struct Events {
    /// Called for each received message.
    std::function<void(std::uint64_t link, PeerMessage message)> message;
    /// Called when the link to a peer is lost; `peer` is its index in the settings. Called from the
    /// event loop and never from within a call to this class.
    std::function<void(std::size_t peer)> disconnected;
  };

  /// Throws std::runtime_error if it cannot listen on `Settings::peer_listen`. The loop must
  /// outlive the network. For `max_links` see PeerLinks.
  PeerNetwork(EventLoop& loop, const Settings& settings, const FederationOptions& options,
              std::size_t max_links, Events events);

  /// The number of links with controllers of other regions, in both directions.
  static std::size_t region_link_count(const FederationOptions& options);

  /// Sends a message to a peer, given by its index in the settings. The message is dropped if the
  /// peer can't be reached.
  void send_to_peer(std::size_t peer, const PeerMessage& message);
  /// Sends a message to every controller of another region, given by its index among the other
  /// regions. Only that region knows which of its controllers is the leader; the others ignore the
  /// message.
  void send_to_region(std::size_t region, const PeerMessage& message);
  /// Sends the response to a request that arrived on the link.
  void respond(std::uint64_t link, const PeerMessage& response);

  /// The index of the peer that the outgoing link leads to, or `peer_count()` for any other link.
  [[nodiscard]] std::size_t peer_of(std::uint64_t link) const;
  [[nodiscard]] std::size_t peer_count() const { return peers_.size(); }

 private:
  struct OutgoingLink {
    std::string address;
    std::uint64_t link = 0;     // 0: none
    std::int64_t retry_at = 0;  // earliest time of the next attempt (EventLoop::now_ms)
  };

  static std::vector<std::vector<OutgoingLink>> region_links(const FederationOptions& options);
  void send(OutgoingLink& target, const PeerMessage& message);
  bool receive(std::uint64_t link, std::string_view bytes);
  void handle_closed(std::uint64_t link);

  EventLoop& loop_;
  Events events_;
  PeerLinks links_;
  std::vector<OutgoingLink> peers_;
  std::vector<std::vector<OutgoingLink>> regions_;
  std::unordered_map<std::uint64_t, PeerReader> readers_;
  std::uint64_t reading_link_ = 0;  // link whose messages are being handled; 0: none
  std::vector<std::size_t> disconnected_peers_;
  std::unique_ptr<Timer> disconnect_timer_;
};

}  // namespace sailreel
