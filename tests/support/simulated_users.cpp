// The fakes of users: they submit, ask, cancel and repeat.
#include "simulation.hpp"

namespace dockdyke::testing {

net::Task<std::optional<net::HttpMessage>> Simulation::ask(std::string method, std::string target,
                                                           std::string body, double max_staleness_s,
                                                           std::optional<int> controller) {
  std::optional<net::HttpMessage> got;
  for (int attempt = 0; attempt < 3; ++attempt) {
    const int to = controller ? *controller : static_cast<int>(pick(seats_.size()));
    got = co_await exchange("user", host(to), method, target, body, net::seconds(max_staleness_s));
    if (!got || got->status != kRefused) break;
  }
  if (got && got->status == kRefused) got.reset();
  co_return got;
}

void Simulation::told(const std::string& id, const net::HttpMessage& answer, net::TimePoint asked_at) {
  SimJob& job = jobs_.at(id);
  job.answered_at = loop.now();
  if (!job.cancelled_at && answer.body.find("cancelled") != std::string::npos)
    spdlog::debug("simulation t={:.1f} {} is told cancelled", time(), id);
  const auto body = wire::decode(answer.body);
  ASSERT_TRUE(body && body->contains("stage"));
  const std::string state = body->at("stage");
  if (job.done_told_at && *job.done_told_at < asked_at && state != "done")
    ADD_FAILURE() << "went_back: " << id << " is " << state;
  if (job.cancelled_at && *job.cancelled_at < asked_at && state != "cancelled")
    ADD_FAILURE() << "went_back: " << id << " is " << state;
  if (state == "cancelled") {
    EXPECT_TRUE(job.cancel_asked) << "went_back: nobody cancelled " << id;
    if (job.done_told_at) ADD_FAILURE() << "went_back: " << id << " is cancelled and done";
    if (!job.cancelled_at) job.cancelled_at = loop.now();
  }
  if (state == "done") {
    EXPECT_EQ(job.completed.size(), job.spec.task_count) << "not_done: " << id;
    if (job.cancelled_at) ADD_FAILURE() << "went_back: " << id << " is done and cancelled";
    if (!job.done_told_at) job.done_told_at = loop.now();
  }
  if (!job.accepted_at) job.accepted_at = loop.now();
}

net::Task<void> Simulation::be_user(Simulation* simulation, std::string id) {
  SimJob& job = simulation->jobs_.at(id);
  const std::string body = wire::encode(wire::to_json(job.spec));
  while (!job.accepted_at && !job.refused) {
    const auto asked_at = simulation->loop.now();
    std::optional<net::HttpMessage> answer = co_await simulation->ask("POST", "/work", body, 5, std::nullopt);
    if (answer && (answer->status == 200 || answer->status == 201)) simulation->told(id, *answer, asked_at);
    if (answer && (answer->status == 400 || answer->status == 422)) job.refused = true;
    if (!job.accepted_at && !job.refused) co_await simulation->loop.sleep(net::seconds(1));
  }
  while (!job.refused && !job.done_told_at && !job.cancelled_at) {
    co_await simulation->loop.sleep(net::seconds(3));
    const auto asked_at = simulation->loop.now();
    std::optional<net::HttpMessage> answer =
        co_await simulation->ask("GET", "/work/" + id, {}, 2, std::nullopt);
    if (!answer) continue;
    if (answer->status == 404) ADD_FAILURE() << "forgotten: " << id;
    if (answer->status == 200) simulation->told(id, *answer, asked_at);
  }
}

net::Task<void> Simulation::call_off(Simulation* simulation, std::string id, std::optional<int> controller) {
  SimJob& job = simulation->jobs_.at(id);
  while (!job.accepted_at && !job.refused) co_await simulation->loop.sleep(net::seconds(0.1));
  while (!job.refused && !job.cancelled_at && !job.done_told_at) {
    const auto asked_at = simulation->loop.now();
    std::optional<net::HttpMessage> answer =
        co_await simulation->ask("POST", "/work/" + id + "/withdraw", {}, 5, controller);
    if (answer && answer->status == 404) ADD_FAILURE() << "forgotten: " << id;
    if (answer && answer->status == 200) {
      simulation->told(id, *answer, asked_at);
      break;
    }
    co_await simulation->loop.sleep(net::seconds(1));
  }
}

net::Task<void> Simulation::submit_again(Simulation* simulation, std::string id) {
  SimJob& job = simulation->jobs_.at(id);
  if (!job.accepted_at) co_return;
  const auto asked_at = simulation->loop.now();
  const std::string body = wire::encode(wire::to_json(job.spec));
  std::optional<net::HttpMessage> answer = co_await simulation->ask("POST", "/work", body, 5, std::nullopt);
  if (!answer) co_return;
  if (answer->status == 400 || answer->status == 422 || answer->status == 201)
    ADD_FAILURE() << "forgotten: a repeated submission of " << id << " got " << answer->status;
  if (answer->status == 200) simulation->told(id, *answer, asked_at);
}

}  // namespace dockdyke::testing
