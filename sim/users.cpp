// The simulated users.
#include "protocol/fake_server_codec.hpp"
#include "sim/simulated_region.hpp"

namespace sailreel::sim {
namespace {

constexpr Time kPollIntervalMs = 5'000, kQueryTimeoutMs = 2'000, kSubmitTimeoutMs = 5'000;

Time response_timeout(RequestOp op) {
  return op == RequestOp::Query ? kQueryTimeoutMs : kSubmitTimeoutMs;
}

bool is_success(int status) { return status == 200 || status == 201; }

}  // namespace

const SimulatedRegion::User* SimulatedRegion::user_of(const std::string& job) const {
  const auto it = user_by_job_.find(job);
  return it == user_by_job_.end() ? nullptr : users_[it->second].get();
}

void SimulatedRegion::submit(const JobSpec& spec, Time cancel_at) {
  auto user = std::make_unique<User>();
  user->spec = spec;
  user->body = encode_submission(spec);
  user->cancel_at = cancel_at;
  user->first_submitted_at = now_;
  user_by_job_[spec.id] = users_.size();
  users_.push_back(std::move(user));
  checker_.submitted(spec);
  user_tick(users_.size() - 1);
}

void SimulatedRegion::submit_at(const JobSpec& spec, std::size_t node,
                                const std::function<void(int)>& then) {
  checker_.submitted(spec);
  request(node, RequestOp::Submit, spec.id, encode_submission(spec),
          [then](int status, const std::string&) { then(status); });
}

std::uint64_t SimulatedRegion::request(std::size_t node, RequestOp op, const std::string& id,
                                       const std::string& body,
                                       std::function<void(int, const std::string&)> then) {
  const std::uint64_t call = next_call_++;
  response_handlers_[call] = [this, node, then = std::move(then)](int status,
                                                                  const std::string& text) {
    transmit(nodes_[node].name, kUsersHost, [then, status, text] { then(status, text); });
  };
  transmit(kUsersHost, nodes_[node].name, [this, node, call, op, id, body] {
    const bool submits = op == RequestOp::Submit;
    feed(node,
         UserRequest{
             {RequestSource::Kind::Local, call, 0}, op, submits ? "" : id, submits ? body : ""});
  });
  schedule(now_ + response_timeout(op), [this, call] { response_handlers_.erase(call); });
  return call;
}

void SimulatedRegion::schedule_user_tick(std::size_t index, Time when) {
  schedule(when, [this, index, request_number = users_[index]->request_number] {
    if (users_[index]->request_number == request_number) user_tick(index);
  });
}

void SimulatedRegion::user_tick(std::size_t index) {
  User& user = *users_[index];
  ++user.request_number;
  if (user.ended && now_ - user.first_submitted_at > plan_.length) return;
  RequestOp op = RequestOp::Query;
  if (user.accepted && user.cancel_at > 0 && now_ >= user.cancel_at && !user.ended) {
    op = RequestOp::Cancel;
    user.cancelling = true;
    checker_.cancel_requested(user.spec.id);
  } else if (!user.accepted || (user.ended && random_(4) == 0)) {
    op = RequestOp::Submit;  // until the job is accepted, and sometimes again when it is over
  }
  std::vector<std::size_t> healthy;
  for (std::size_t node = 0; node < nodes_.size(); ++node)
    if (nodes_[node].controller) healthy.push_back(node);
  if (healthy.empty()) return schedule_user_tick(index, now_ + 1000);
  const std::size_t node = healthy[random_(static_cast<std::uint32_t>(healthy.size()))];
  const std::uint64_t request_number = user.request_number;
  const Time requested_at = now_;
  user.requested_at = requested_at;
  const std::uint64_t call =
      request(node, op, user.spec.id, user.body,
              [this, index, request_number, op, requested_at](int status, const std::string& body) {
                if (users_[index]->request_number == request_number)
                  return handle_user_response(index, op, status, body);
                // The user has sent a newer request since; later responses must agree with this one
                // all the same.
                if (is_success(status))
                  checker_.state_reported(users_[index]->spec.id, decode_job_state(body), now_,
                                          requested_at);
              });
  user.call = call;
  schedule(now_ + response_timeout(op), [this, index, request_number, call, op] {
    User& user = *users_[index];
    if (user.request_number == request_number && user.call == call)
      handle_user_response(index, op, 0, "");
  });
}

void SimulatedRegion::handle_user_response(std::size_t index, RequestOp op, int status,
                                           const std::string& body) {
  User& user = *users_[index];
  if (user.call == 0) return;
  user.call = 0;
  if (op == RequestOp::Submit && status == 0) ++unanswered_submissions_;
  if (op == RequestOp::Cancel && status == 0) ++unanswered_cancellations_;
  if (is_success(status)) {
    const std::string state = decode_job_state(body);
    if (state.empty()) {
      ++malformed_responses_;
    } else {
      const bool first = !user.accepted;
      if (first) submission_delays_.push_back(now_ - user.first_submitted_at);
      if (op == RequestOp::Cancel) checker_.cancel_state_reported(user.spec.id, state);
      user.accepted = true;
      checker_.state_reported(user.spec.id, state, now_, user.requested_at);
      const bool just_ended = !user.ended && (state == "done" || state == "cancelled");
      user.ended = user.ended || just_ended;
      if ((first || just_ended) && now_ < poll_intensively_until_) poll_all_nodes(index);
    }
  } else if (op == RequestOp::Query && status != 404) {
    checker_.poll_failed(user.spec.id, now_);
  } else if (status == 404 || status == 400 || status == 422) {
    checker_.rejected(user.spec.id, status, op != RequestOp::Submit, user.requested_at);
  }
  const Time pause = is_success(status) ? (user.ended ? 20'000 : kPollIntervalMs) +
                                              static_cast<Time>(random_(1000))
                                        : 1000 + static_cast<Time>(random_(200));
  schedule_user_tick(index, now_ + pause);
}

// A response of one node binds the responses of all nodes to later requests, so the checker gets
// every response.
void SimulatedRegion::send_request_then(const std::string& id, std::size_t node, RequestOp op,
                                        const std::function<void(int)>& then) {
  const auto it = user_by_job_.find(id);
  const std::string body = it == user_by_job_.end() ? "" : users_[it->second]->body;
  const Time requested_at = now_;
  if (op == RequestOp::Cancel) checker_.cancel_requested(id);
  request(node, op, id, body, [=, this](int status, const std::string& text) {
    if (then) then(status);
    if (op == RequestOp::Cancel && is_success(status))
      checker_.cancel_state_reported(id, decode_job_state(text));
    if (is_success(status))
      checker_.state_reported(id, decode_job_state(text), now_, requested_at);
    else if (status == 404 || status == 400 || status == 422)
      checker_.rejected(id, status, op != RequestOp::Submit, requested_at);
  });
}

void SimulatedRegion::poll_all_nodes(std::size_t index) {
  const std::string id = users_[index]->spec.id;
  for (std::size_t repeat = 0; repeat < 3; ++repeat)
    for (std::size_t node = 0; node < nodes_.size(); ++node)
      schedule(now_ + random_(20) + static_cast<Time>(repeat) * 100,
               [this, id, node] { send_request(id, node, RequestOp::Query); });
  schedule(now_ + random_(20),
           [this, id] { send_request(id, random_(node_count()), RequestOp::Submit); });
  if (!users_[index]->ended && random_(8) == 0) cancel_job_of(index);
}

void SimulatedRegion::cancel_job_of(std::size_t index) {
  User& user = *users_[index];
  if (!user.accepted || user.ended || user.cancelling) return;
  user.cancel_at = now_;
  user_tick(index);
}

void SimulatedRegion::cancel(const std::string& id) { cancel_job_of(user_by_job_.at(id)); }

void SimulatedRegion::record_completion(const TaskKey& key) {
  if (const auto it = user_by_job_.find(key.job); it != user_by_job_.end())
    users_[it->second]->completed.insert(key.index);
}

void SimulatedRegion::send_unusual_request(Time until) {
  if (now_ >= until) return;
  schedule(now_ + 300 + random_(700), [this, until] { send_unusual_request(until); });
  const std::size_t node = random_(node_count());
  if (!users_.empty()) {
    // Repeats the submission of a random job, and cancels the job as well if it is over.
    const User& user = *users_[random_(static_cast<std::uint32_t>(users_.size()))];
    if (user.accepted) send_request(user.spec.id, node, RequestOp::Submit);
    if (user.ended) send_request(user.spec.id, random_(node_count()), RequestOp::Cancel);
  }
  JobSpec spec;
  spec.id = "job-77" + std::to_string(next_unusual_job_++);
  spec.job_class = "batch";
  spec.team = "red";
  spec.tasks = 1;
  spec.need = {2, 1, 10};
  spec.image = "img-0";
  const std::uint32_t kind = random_(4);
  if (kind == 0) spec.need.gpus = 1'000;
  if (kind == 1) spec.team = "nobody";
  std::string body = encode_submission(spec);
  if (kind == 2) body.replace(body.find("\"ram_gb\""), 8, "\"ram_xx\"");
  const RequestOp op = kind == 3 ? RequestOp::Query : RequestOp::Submit;
  request(node, op, spec.id, body, [this, id = spec.id](int status, const std::string&) {
    if (is_success(status)) checker_.accepted_unfit(id);
  });
}

}  // namespace sailreel::sim
