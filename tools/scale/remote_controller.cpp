#include "scale/remote_controller.hpp"

namespace sailreel::scale {

std::function<void(int, std::string)> RemoteController::answer_to(const Origin& origin) {
  return [&sockets = sockets_, node = node_, origin, alive = alive_](int status, std::string body) {
    Answer answer;
    answer.origin = origin;
    answer.status = *alive ? status : 0;
    answer.body = std::move(body);
    sockets.answered(node, answer);
  };
}

std::vector<Action> RemoteController::step(Clock, Input input) {
  if (const auto* heartbeat = std::get_if<HeartbeatReceived>(&input))
    sockets_.send_heartbeat(heartbeat->heartbeat.machine, listen_, heartbeat->raw,
                            answer_to(heartbeat->origin));
  else if (const auto* request = std::get_if<UserRequest>(&input))
    sockets_.send_user_request(listen_, *request, answer_to(request->origin));
  return {};
}

}  // namespace sailreel::scale
