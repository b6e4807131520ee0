// A controller that runs in a process of its own. The simulation's inputs reach it as HTTP
// requests.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "scale/child_process.hpp"
#include "sim/simulated_controller.hpp"

namespace sailreel::scale {

/// Connections from a region's simulated workers and users to its controllers.
class RegionSockets {
 public:
  virtual ~RegionSockets() = default;
  /// Sends a heartbeat on the worker's own connection. `done` is called with the status and body of
  /// the response; status 0 means that there was none.
  virtual void send_heartbeat(const std::string& machine, const std::string& address,
                              const std::string& body,
                              std::function<void(int, std::string)> done) = 0;
  /// Sends a user's request on a connection that all users share. `done` is called with the status
  /// and body of the response; status 0 means that there was none.
  virtual void send_user_request(const std::string& address, const UserRequest& request,
                                 std::function<void(int, std::string)> done) = 0;
  /// Passes the response to a request to the region's simulation. Status 0 means that there was no
  /// response.
  virtual void response_received(std::size_t node, const Response& response) = 0;
};

/// Sends the simulation's heartbeats and user requests to a controller's process, which it owns.
class RemoteController : public sim::SimulatedController {
 public:
  RemoteController(RegionSockets& sockets, std::size_t node, std::string address,
                   std::unique_ptr<ChildProcess> process)
      : sockets_(sockets),
        node_(node),
        address_(std::move(address)),
        process_(std::move(process)),
        alive_(std::make_shared<bool>(true)) {}
  ~RemoteController() override { *alive_ = false; }
  RemoteController(const RemoteController&) = delete;
  RemoteController& operator=(const RemoteController&) = delete;

  std::vector<Action> step(Clock clock, Input input) override;
  // The simulation doesn't know which of the controllers' processes leads.
  [[nodiscard]] bool leading() const override { return false; }
  [[nodiscard]] std::uint64_t epoch() const override { return 0; }

 private:
  std::function<void(int, std::string)> response_callback(const RequestSource& source);

  RegionSockets& sockets_;
  const std::size_t node_;
  const std::string address_;
  std::unique_ptr<ChildProcess> process_;
  /// False after this controller's destruction. The callbacks of pending requests share it, and
  /// then report status 0.
  std::shared_ptr<bool> alive_;
};

}  // namespace sailreel::scale
