// The users of the simulated world.
#include "protocol/fake_server_codec.hpp"
#include "sim/simulated_region.hpp"

namespace sailreel::sim {
namespace {

constexpr Time kUserPoll = 5'000, kUserWait = 2'000, kSubmitWait = 5'000;

Time patience(UserOp op) { return op == UserOp::Query ? kUserWait : kSubmitWait; }

bool accepted(int status) { return status == 200 || status == 201; }

}  // namespace

const SimulatedRegion::User* SimulatedRegion::user_of(const std::string& job) const {
  const auto it = by_job_.find(job);
  return it == by_job_.end() ? nullptr : users_[it->second].get();
}

void SimulatedRegion::submit(const JobSpec& spec, Time cancel_at) {
  auto u = std::make_unique<User>();
  u->spec = spec;
  u->body = encode_submission(spec);
  u->cancel_at = cancel_at;
  u->first = now_;
  by_job_[spec.id] = users_.size();
  users_.push_back(std::move(u));
  checker_.submitted(spec);
  user_tick(users_.size() - 1);
}

void SimulatedRegion::submit_at(const JobSpec& spec, std::size_t node,
                                const std::function<void(int)>& then) {
  checker_.submitted(spec);
  request(node, UserOp::Submit, spec.id, encode_submission(spec),
          [then](int status, const std::string&) { then(status); });
}

std::uint64_t SimulatedRegion::request(std::size_t node, UserOp op, const std::string& id,
                                       const std::string& body,
                                       std::function<void(int, const std::string&)> then) {
  const std::uint64_t call = next_call_++;
  answers_[call] = [this, node, then = std::move(then)](int status, const std::string& text) {
    carry(nodes_[node].name, "users", [then, status, text] { then(status, text); });
  };
  carry("users", nodes_[node].name, [this, node, call, op, id, body] {
    const bool submits = op == UserOp::Submit;
    feed(node,
         UserRequest{
             {RequestSource::Kind::Local, call, 0}, op, submits ? "" : id, submits ? body : ""});
  });
  at(now_ + patience(op), [this, call] { answers_.erase(call); });
  return call;
}

void SimulatedRegion::user_next(std::size_t index, Time when) {
  at(when, [this, index, turn = users_[index]->turn] {
    if (users_[index]->turn == turn) user_tick(index);
  });
}

void SimulatedRegion::user_tick(std::size_t index) {
  User& u = *users_[index];
  ++u.turn;
  if (u.over && now_ - u.first > plan_.length) return;
  UserOp op = UserOp::Query;
  if (u.accepted && u.cancel_at > 0 && now_ >= u.cancel_at && !u.over) {
    op = UserOp::Cancel;
    u.cancelling = true;
    checker_.cancel_asked(u.spec.id);
  } else if (!u.accepted || (u.over && random_(4) == 0)) {
    op = UserOp::Submit;  // at first, and at times again long after
  }
  std::vector<std::size_t> healthy;
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i].controller) healthy.push_back(i);
  if (healthy.empty()) return user_next(index, now_ + 1000);
  const std::size_t i = healthy[random_(static_cast<std::uint32_t>(healthy.size()))];
  const std::uint64_t turn = u.turn;
  const Time asked = now_;
  u.asked = asked;
  const std::uint64_t call =
      request(i, op, u.spec.id, u.body,
              [this, index, turn, op, asked](int status, const std::string& body) {
                if (users_[index]->turn == turn) return user_answer(index, op, status, body);
                // Overtaken by a request of the user's own; it was told all the same.
                if (accepted(status))
                  checker_.told(users_[index]->spec.id, decode_job_state(body), now_, asked);
              });
  u.call = call;
  at(now_ + patience(op), [this, index, turn, call, op] {
    User& user = *users_[index];
    if (user.turn == turn && user.call == call) user_answer(index, op, 0, "");
  });
}

void SimulatedRegion::user_answer(std::size_t index, UserOp op, int status,
                                  const std::string& body) {
  User& u = *users_[index];
  if (u.call == 0) return;
  u.call = 0;
  if (op == UserOp::Submit && status == 0) ++unanswered_;
  if (op == UserOp::Cancel && status == 0) ++unanswered_cancels_;
  if (accepted(status)) {
    const std::string state = decode_job_state(body);
    if (state.empty()) {
      ++malformed_;
    } else {
      const bool first = !u.accepted;
      if (first) submission_delays_.push_back(now_ - u.first);
      if (op == UserOp::Cancel) checker_.cancel_answered(u.spec.id, state);
      u.accepted = true;
      checker_.told(u.spec.id, state, now_, u.asked);
      const bool ended = !u.over && (state == "done" || state == "cancelled");
      u.over = u.over || ended;
      if ((first || ended) && now_ < poll_closely_until_) poll_everywhere(index);
    }
  } else if (op == UserOp::Query && status != 404) {
    checker_.unanswered(u.spec.id, now_);
  } else if (status == 404 || status == 400 || status == 422) {
    checker_.refused(u.spec.id, status, op != UserOp::Submit, u.asked);
  }
  const Time pause = accepted(status)
                         ? (u.over ? 20'000 : kUserPoll) + static_cast<Time>(random_(1000))
                         : 1000 + static_cast<Time>(random_(200));
  user_next(index, now_ + pause);
}

// One question more; what it brings binds all nodes from then on.
void SimulatedRegion::ask_for(const std::string& id, std::size_t node, UserOp op,
                              const std::function<void(int)>& then) {
  const auto it = by_job_.find(id);
  const std::string body = it == by_job_.end() ? "" : users_[it->second]->body;
  const Time asked = now_;
  if (op == UserOp::Cancel) checker_.cancel_asked(id);
  request(node, op, id, body, [=, this](int status, const std::string& text) {
    if (then) then(status);
    if (op == UserOp::Cancel && accepted(status))
      checker_.cancel_answered(id, decode_job_state(text));
    if (accepted(status))
      checker_.told(id, decode_job_state(text), now_, asked);
    else if (status == 404 || status == 400 || status == 422)
      checker_.refused(id, status, op != UserOp::Submit, asked);
  });
}

void SimulatedRegion::poll_everywhere(std::size_t index) {
  const std::string id = users_[index]->spec.id;
  for (std::size_t round = 0; round < 3; ++round)
    for (std::size_t node = 0; node < nodes_.size(); ++node)
      at(now_ + random_(20) + static_cast<Time>(round) * 100,
         [this, id, node] { ask(id, node, UserOp::Query); });
  at(now_ + random_(20), [this, id] { ask(id, random_(node_count()), UserOp::Submit); });
  if (!users_[index]->over && random_(8) == 0) call_off(index);
}

void SimulatedRegion::call_off(std::size_t index) {
  User& u = *users_[index];
  if (!u.accepted || u.over || u.cancelling) return;
  u.cancel_at = now_;
  user_tick(index);
}

void SimulatedRegion::cancel(const std::string& id) { call_off(by_job_.at(id)); }

void SimulatedRegion::completed(const TaskKey& key) {
  if (const auto it = by_job_.find(key.job); it != by_job_.end())
    users_[it->second]->completed.insert(key.index);
}

void SimulatedRegion::odd_request(Time until) {
  if (now_ >= until) return;
  at(now_ + 300 + random_(700), [this, until] { odd_request(until); });
  const std::size_t node = random_(node_count());
  if (!users_.empty()) {
    // A repeat of any job's submission, and a cancellation of one that is over.
    const User& u = *users_[random_(static_cast<std::uint32_t>(users_.size()))];
    if (u.accepted) ask(u.spec.id, node, UserOp::Submit);
    if (u.over) ask(u.spec.id, random_(node_count()), UserOp::Cancel);
  }
  JobSpec s;
  s.id = "job-77" + std::to_string(next_odd_++);
  s.job_class = "batch";
  s.team = "red";
  s.tasks = 1;
  s.need = {2, 1, 10};
  s.image = "img-0";
  const std::uint32_t kind = random_(4);
  if (kind == 0) s.need.gpus = 1'000;
  if (kind == 1) s.team = "nobody";
  std::string body = encode_submission(s);
  if (kind == 2) body.replace(body.find("\"ram_gb\""), 8, "\"ram_xx\"");
  const UserOp op = kind == 3 ? UserOp::Query : UserOp::Submit;
  request(node, op, s.id, body, [this, id = s.id](int status, const std::string&) {
    if (accepted(status)) checker_.accepted_unfit(id);
  });
}

}  // namespace sailreel::sim
