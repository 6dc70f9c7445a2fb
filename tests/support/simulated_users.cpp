// Simulated users, who submit, poll, cancel and resubmit jobs.
#include "simulation.hpp"

namespace dockdyke::testing {

net::Task<std::optional<net::HttpMessage>> Simulation::send_user_request(std::string method,
                                                                         std::string target, std::string body,
                                                                         double timeout_s,
                                                                         std::optional<int> controller) {
  std::optional<net::HttpMessage> response;
  for (int attempt = 0; attempt < 3; ++attempt) {
    const int to = controller ? *controller : static_cast<int>(random_index(controller_slots_.size()));
    response = co_await send_request("user", host(to), method, target, body, net::seconds(timeout_s));
    if (!response || response->status != kConnectionRefused) break;
  }
  if (response && response->status == kConnectionRefused) response.reset();
  co_return response;
}

void Simulation::check_job_status_response(const std::string& id, const net::HttpMessage& response,
                                           net::TimePoint requested_at) {
  SimJob& job = jobs_.at(id);
  job.last_response_at = loop.now();
  if (!job.cancellation_confirmed_at && response.body.find("cancelled") != std::string::npos)
    spdlog::debug("simulation t={:.1f} cancellation of {} is confirmed", elapsed_s(), id);
  const auto body = wire::decode(response.body);
  ASSERT_TRUE(body && body->contains("stage"));
  const std::string state = body->at("stage");
  if (job.completion_confirmed_at && *job.completion_confirmed_at < requested_at && state != "done")
    ADD_FAILURE() << "final state changed: " << id << " is " << state;
  if (job.cancellation_confirmed_at && *job.cancellation_confirmed_at < requested_at && state != "cancelled")
    ADD_FAILURE() << "final state changed: " << id << " is " << state;
  if (state == "cancelled") {
    EXPECT_TRUE(job.cancellation_requested) << "cancelled without a request: " << id;
    if (job.completion_confirmed_at)
      ADD_FAILURE() << "final state changed: " << id << " is cancelled and done";
    if (!job.cancellation_confirmed_at) job.cancellation_confirmed_at = loop.now();
  }
  if (state == "done") {
    EXPECT_EQ(job.completed_tasks.size(), job.spec.task_count)
        << "reported as done with unfinished tasks: " << id;
    if (job.cancellation_confirmed_at)
      ADD_FAILURE() << "final state changed: " << id << " is done and cancelled";
    if (!job.completion_confirmed_at) job.completion_confirmed_at = loop.now();
  }
  if (!job.accepted_at) job.accepted_at = loop.now();
}

net::Task<void> Simulation::run_user(Simulation* simulation, std::string id) {
  SimJob& job = simulation->jobs_.at(id);
  const std::string body = wire::encode(wire::to_json(job.spec));
  while (!job.accepted_at && !job.rejected) {
    const auto requested_at = simulation->loop.now();
    std::optional<net::HttpMessage> response =
        co_await simulation->send_user_request("POST", "/work", body, 5, std::nullopt);
    if (response && (response->status == 200 || response->status == 201))
      simulation->check_job_status_response(id, *response, requested_at);
    if (response && (response->status == 400 || response->status == 422)) job.rejected = true;
    if (!job.accepted_at && !job.rejected) co_await simulation->loop.sleep(net::seconds(1));
  }
  while (!job.rejected && !job.completion_confirmed_at && !job.cancellation_confirmed_at) {
    co_await simulation->loop.sleep(net::seconds(3));
    const auto requested_at = simulation->loop.now();
    std::optional<net::HttpMessage> response =
        co_await simulation->send_user_request("GET", "/work/" + id, {}, 2, std::nullopt);
    if (!response) continue;
    if (response->status == 404) ADD_FAILURE() << "accepted job lost: " << id;
    if (response->status == 200) simulation->check_job_status_response(id, *response, requested_at);
  }
}

net::Task<void> Simulation::cancel_until_confirmed(Simulation* simulation, std::string id,
                                                   std::optional<int> controller) {
  SimJob& job = simulation->jobs_.at(id);
  while (!job.accepted_at && !job.rejected) co_await simulation->loop.sleep(net::seconds(0.1));
  while (!job.rejected && !job.cancellation_confirmed_at && !job.completion_confirmed_at) {
    const auto requested_at = simulation->loop.now();
    std::optional<net::HttpMessage> response =
        co_await simulation->send_user_request("POST", "/work/" + id + "/withdraw", {}, 5, controller);
    if (response && response->status == 404) ADD_FAILURE() << "accepted job lost: " << id;
    if (response && response->status == 200) {
      simulation->check_job_status_response(id, *response, requested_at);
      break;
    }
    co_await simulation->loop.sleep(net::seconds(1));
  }
}

net::Task<void> Simulation::send_resubmission(Simulation* simulation, std::string id,
                                              std::optional<int> controller) {
  SimJob& job = simulation->jobs_.at(id);
  if (!job.accepted_at) co_return;
  const auto requested_at = simulation->loop.now();
  const std::string body = wire::encode(wire::to_json(job.spec));
  std::optional<net::HttpMessage> response =
      co_await simulation->send_user_request("POST", "/work", body, 5, controller);
  if (!response) co_return;
  if (response->status == 400 || response->status == 422 || response->status == 201)
    ADD_FAILURE() << "accepted job lost: resubmission of " << id << " got " << response->status;
  if (response->status == 200) simulation->check_job_status_response(id, *response, requested_at);
}

}  // namespace dockdyke::testing
