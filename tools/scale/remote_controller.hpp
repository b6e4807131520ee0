// A controller that is a process of its own: the model's inputs reach it as HTTP requests.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "scale/child_process.hpp"
#include "sim/simulated_controller.hpp"

namespace sailreel::scale {

/// What a remote controller needs of the region that it serves.
class RegionSockets {
 public:
  virtual ~RegionSockets() = default;
  /// Sends a request on the connection of that worker, or on one of the users'.
  virtual void send_heartbeat(const std::string& machine, const std::string& address,
                              const std::string& body,
                              std::function<void(int, std::string)> done) = 0;
  virtual void send_user_request(const std::string& address, const UserRequest& request,
                                 std::function<void(int, std::string)> done) = 0;
  /// A response has arrived; the region's simulation continues with it.
  virtual void answered(std::size_t node, const Response& response) = 0;
};

class RemoteController : public sim::SimulatedController {
 public:
  RemoteController(RegionSockets& sockets, std::size_t node, std::string listen,
                   std::unique_ptr<ChildProcess> process)
      : sockets_(sockets),
        node_(node),
        listen_(std::move(listen)),
        process_(std::move(process)),
        alive_(std::make_shared<bool>(true)) {}
  ~RemoteController() override { *alive_ = false; }
  RemoteController(const RemoteController&) = delete;
  RemoteController& operator=(const RemoteController&) = delete;

  std::vector<Action> step(Clock clock, Input input) override;
  // Which controller leads is its own affair; the model doesn't look into processes.
  [[nodiscard]] bool leading() const override { return false; }
  [[nodiscard]] std::uint64_t epoch() const override { return 0; }

 private:
  std::function<void(int, std::string)> answer_to(const RequestSource& source);

  RegionSockets& sockets_;
  const std::size_t node_;
  const std::string listen_;
  std::unique_ptr<ChildProcess> process_;
  /// Outlives this controller in the answers that are still to come.
  std::shared_ptr<bool> alive_;
};

}  // namespace sailreel::scale
