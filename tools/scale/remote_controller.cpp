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
  if (const auto* report = std::get_if<WorkerReport>(&input))
    sockets_.send_report(report->report.machine, listen_, report->raw, answer_to(report->origin));
  else if (const auto* request = std::get_if<UserRequest>(&input))
    sockets_.send_user_request(listen_, *request, answer_to(request->origin));
  return {};
}

}  // namespace sailreel::scale
