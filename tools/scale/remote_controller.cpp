#include "scale/remote_controller.hpp"

namespace sailreel::scale {

std::function<void(int, std::string)> RemoteController::response_callback(
    const RequestSource& source) {
  return [&sockets = sockets_, node = node_, source, alive = alive_](int status, std::string body) {
    Response response;
    response.source = source;
    response.status = *alive ? status : 0;
    response.body = std::move(body);
    sockets.response_received(node, response);
  };
}

std::vector<Action> RemoteController::step(Clock, Input input) {
  if (const auto* heartbeat = std::get_if<HeartbeatReceived>(&input))
    sockets_.send_heartbeat(heartbeat->heartbeat.machine, address_, heartbeat->encoded,
                            response_callback(heartbeat->source));
  else if (const auto* request = std::get_if<UserRequest>(&input))
    sockets_.send_user_request(address_, *request, response_callback(request->source));
  return {};
}

}  // namespace sailreel::scale
