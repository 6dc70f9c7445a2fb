// Tests complete controllers on an in-memory network: user requests, followers, elections and outages.
#include "app/controller.hpp"

#include <gtest/gtest.h>

#include <memory>

#include "cluster_fixture.hpp"
#include "fakes.hpp"
#include "store/rate_limiter.hpp"

namespace dockdyke::testing {

using LinkFault = FakeNetwork::LinkFault;

class ControllerTest : public ::testing::Test {
 protected:
  ControllerTest() : network(loop) {
    network.handlers[*net::Address::parse("10.2.0.1:2379")] =
        [this](auto method, auto target, auto body) -> net::Task<net::HttpMessage> {
      co_return state.handle(method, target, body);
    };
    network.handlers[*net::Address::parse("10.2.0.2:8443")] =
        [this](auto, auto target, auto body) -> net::Task<net::HttpMessage> {
      co_return cloud.handle(target, body);
    };
  }

  app::Controller& start_controller(int index, int controller_count = 1) {
    app::Settings settings;
    settings.host = "dyke-" + std::to_string(index);
    settings.state_service_address = *net::Address::parse("10.2.0.1:2379");
    settings.cloud_address = *net::Address::parse("10.2.0.2:8443");
    for (int i = 0; i < controller_count; ++i)
      if (i != index) settings.peers.push_back({"dyke-" + std::to_string(i), peer_address(i)});
    settings.max_file_descriptors = 4000;
    settings.state_service_rps = 1000;
    settings.state_service_write_rps = 500;
    settings.cluster = cluster_config();
    if (modify_settings) modify_settings(settings);
    transports.push_back(std::make_unique<FakeTransport>(network, settings.host));
    controllers.push_back(std::make_unique<app::Controller>(loop, *transports.back(), settings));
    app::Controller* controller = controllers.back().get();
    network.handlers[peer_address(index)] = [controller](auto method, auto target,
                                                         auto body) -> net::Task<net::HttpMessage> {
      net::HttpMessage request;
      request.method = method;
      request.target = target;
      request.body = body;
      net::HttpResponse response = co_await controller->handle_internal(std::move(request));
      net::HttpMessage out;
      out.status = response.status;
      out.body = response.body;
      co_return out;
    };
    controller->start(false);
    return *controller;
  }

  static net::Address peer_address(int index) {
    return {0x0a000001u + static_cast<std::uint32_t>(index), 8081};
  }

  // Runs the event loop until the condition holds; returns false if it does not hold within `limit_s`.
  bool run_until(const std::function<bool()>& condition, double limit_s = 8) {
    const auto deadline = net::Clock::now() + net::seconds(limit_s);
    while (!condition()) {
      if (net::Clock::now() > deadline) return false;
      loop.run_once(std::chrono::milliseconds(5));
    }
    return true;
  }

  static net::Task<void> handle_request(app::Controller* controller, std::string method, std::string target,
                                        std::string body, std::optional<net::HttpResponse>* response) {
    net::HttpMessage request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    net::HttpResponse result = co_await controller->handle_public(std::move(request));
    *response = std::move(result);
  }

  net::HttpResponse send_request(app::Controller& controller, std::string method, std::string target,
                                 std::string body = {}) {
    std::optional<net::HttpResponse> response;
    net::spawn(handle_request(&controller, std::move(method), std::move(target), std::move(body), &response));
    EXPECT_TRUE(run_until([&] { return response.has_value(); }));
    return response.value_or(net::HttpResponse{});
  }

  net::HttpResponse submit(app::Controller& controller, const wire::JobSpec& spec) {
    return send_request(controller, "POST", "/work", wire::encode(wire::to_json(spec)));
  }
  static std::string job_state(const net::HttpResponse& response) {
    return wire::decode(response.body)->at("stage").get<std::string>();
  }
  static std::string encode_heartbeat(std::uint64_t sequence_number, std::uint64_t token) {
    const Json body{{"dyke", "n-1"},
                    {"endpoint", "10.1.0.1:9000"},
                    {"build", "small"},
                    {"polder", "a"},
                    {"ebbtide", true},
                    {"watch", 1},
                    {"tally", sequence_number},
                    {"warrant", token},
                    {"warning_s", nullptr},
                    {"pieces", Json::array()}};
    return wire::encode(body);
  }
  net::HttpResponse send_heartbeat(app::Controller& controller, std::uint64_t sequence_number,
                                   std::uint64_t token) {
    return send_request(controller, "POST", "/v1/report", encode_heartbeat(sequence_number, token));
  }
  bool is_healthy(app::Controller& controller) {
    return send_request(controller, "GET", "/healthz").status == 200;
  }

  std::function<void(app::Settings&)> modify_settings;
  net::Loop loop;
  FakeNetwork network;
  FakeStateService state;
  FakeCloud cloud;
  std::vector<std::unique_ptr<FakeTransport>> transports;
  std::vector<std::unique_ptr<app::Controller>> controllers;
};

TEST_F(ControllerTest, JobIsSubmittedResubmittedPolledAndCancelled) {
  auto& controller = start_controller(0);
  ASSERT_TRUE(run_until([&] { return controller.leading() && is_healthy(controller); }));
  EXPECT_EQ(submit(controller, job_spec("job-1", 2)).status, 201);
  EXPECT_EQ(submit(controller, job_spec("job-1", 2)).status, 200);
  const auto polled = send_request(controller, "GET", "/work/job-1");
  EXPECT_EQ(polled.status, 200);
  EXPECT_EQ(job_state(polled), "pending");
  EXPECT_EQ(job_state(send_request(controller, "POST", "/work/job-1/withdraw")), "cancelled");
  EXPECT_EQ(job_state(send_request(controller, "GET", "/work/job-1")), "cancelled");
  EXPECT_EQ(job_state(submit(controller, job_spec("job-1", 2))), "cancelled")
      << "a resubmission must not restart a cancelled job";
  EXPECT_EQ(send_request(controller, "GET", "/work/job-2").status, 404);
  EXPECT_EQ(send_request(controller, "POST", "/work/job-2/withdraw").status, 404);
  EXPECT_EQ(send_request(controller, "GET", "/work/nonsense").status, 404);
}

TEST_F(ControllerTest, HeartbeatRefusedUntilRecordsAreLoaded) {
  bool records_readable = false;
  network.inject_fault = [&](const std::string&, const std::string& target) {
    const bool reads_cancelled_jobs = target.find("linger") != std::string::npos;
    return reads_cancelled_jobs && !records_readable ? FakeNetwork::LinkFault::refuse
                                                     : FakeNetwork::LinkFault::none;
  };
  auto& controller = start_controller(0);
  ASSERT_TRUE(run_until([&] { return controller.leading(); }));
  EXPECT_EQ(send_heartbeat(controller, 1, 0).status, 503);
  // The response to a heartbeat received before the records are loaded is held until they are.
  std::optional<net::HttpResponse> response;
  net::spawn(handle_request(&controller, "POST", "/v1/report", encode_heartbeat(2, 0), &response));
  EXPECT_FALSE(run_until([&] { return response.has_value(); }, 0.3));
  records_readable = true;
  ASSERT_TRUE(run_until([&] { return response.has_value(); }, 2));
  EXPECT_EQ(response->status, 200);
}

TEST_F(ControllerTest, InfeasibleJobRejectedOnceMachineTypesKnown) {
  cloud.machine_types_available = false;
  auto& controller = start_controller(0);
  ASSERT_TRUE(run_until([&] { return controller.leading(); }));
  const auto early_response = submit(controller, job_spec("job-1", 1, 1000));
  EXPECT_EQ(early_response.status, 503);
  EXPECT_TRUE(early_response.retry_after_s.has_value());
  EXPECT_EQ(send_request(controller, "GET", "/healthz").status, 503);
  EXPECT_EQ(send_request(controller, "POST", "/work", "not messagepack").status, 400);
  cloud.machine_types_available = true;
  ASSERT_TRUE(run_until([&] { return is_healthy(controller); }));
  EXPECT_EQ(submit(controller, job_spec("job-1", 1, 1000)).status, 422);
  auto unknown_team = job_spec("job-2", 1);
  unknown_team.team = "nobody";
  EXPECT_EQ(submit(controller, unknown_team).status, 422);
}

TEST_F(ControllerTest, GangAcceptedOnlyIfAllTasksCanRunTogether) {
  modify_settings = [](app::Settings& settings) { settings.cluster.teams[1].quota.cpus = 12; };
  auto& controller = start_controller(0);
  ASSERT_TRUE(run_until([&] { return controller.leading() && is_healthy(controller); }));
  auto gang = job_spec("job-1", 3, 4);
  gang.kind = wire::JobKind::gang;
  gang.team = "other";
  EXPECT_EQ(submit(controller, gang).status, 201);
  EXPECT_EQ(submit(controller, gang).status, 200);
  EXPECT_EQ(job_state(send_request(controller, "GET", "/work/job-1")), "pending");
  EXPECT_EQ(job_state(send_request(controller, "POST", "/work/job-1/withdraw")), "cancelled");

  auto larger_job = gang;
  larger_job.id = JobId("job-2");
  larger_job.task_count = 4;
  EXPECT_EQ(submit(controller, larger_job).status, 422) << "the tasks exceed the quota together";
  larger_job.kind = wire::JobKind::array;
  EXPECT_EQ(submit(controller, larger_job).status, 201)
      << "the tasks of an array may run one after the other";
  auto without_quota = larger_job;
  without_quota.id = JobId("job-3");
  without_quota.team = "team";
  without_quota.kind = wire::JobKind::gang;
  EXPECT_EQ(submit(controller, without_quota).status, 201) << "a quota of 0 means no limit";

  auto contradictory = gang;
  contradictory.id = JobId("job-4");
  contradictory.spread = true;
  EXPECT_EQ(submit(controller, contradictory).status, 201);
  contradictory.id = JobId("job-5");
  contradictory.same_zone = true;
  EXPECT_EQ(submit(controller, contradictory).status, 422) << "spread over zones contradicts a single zone";
  auto unknown_zone = gang;
  unknown_zone.id = JobId("job-6");
  unknown_zone.zone = "no such zone";
  EXPECT_EQ(submit(controller, unknown_zone).status, 422);
}

TEST_F(ControllerTest, GangSubmissionRefusedWhileMachineTypesUnknown) {
  cloud.machine_types_available = false;
  auto& controller = start_controller(0);
  ASSERT_TRUE(run_until([&] { return controller.leading(); }));
  auto gang = job_spec("job-1", 3, 4);
  gang.kind = wire::JobKind::gang;
  EXPECT_EQ(submit(controller, gang).status, 503);
}

TEST_F(ControllerTest, OversizedRecordRejectedUnlessJobExists) {
  modify_settings = [](app::Settings& settings) { settings.cluster.max_value_bytes = 1024; };
  auto& controller = start_controller(0);
  ASSERT_TRUE(run_until([&] { return controller.leading() && is_healthy(controller); }));
  auto spec = job_spec("job-1", 1);
  spec.job_class = std::string(180, '\x01');  // encoded with six bytes each
  EXPECT_EQ(submit(controller, spec).status, 400);
  // Stored by a previous version with a higher limit.
  state.keys["open/job-1"] = {core::to_json(job_record(spec)), ++state.revision};
  EXPECT_EQ(submit(controller, spec).status, 200) << "a stored job stays accepted";
  EXPECT_EQ(job_state(send_request(controller, "GET", "/work/job-1")), "pending");
  EXPECT_EQ(job_state(send_request(controller, "POST", "/work/job-1/withdraw")), "cancelled");
  EXPECT_LE(state.keys.at("linger/job-1").value.dump().size(), 1024u);

  auto many_types = job_spec("job-2", 1);
  many_types.machine_types.emplace();
  for (int i = 0; i < 300; ++i) many_types.machine_types->push_back("type-" + std::to_string(i));
  EXPECT_EQ(submit(controller, many_types).status, 422) << "none of the machine types is offered";
  many_types.machine_types->push_back("small");
  EXPECT_EQ(submit(controller, many_types).status, 201)
      << "machine types that are not offered are not stored";
}

// A leader of a previous version responds to a gang submission with 400.
TEST_F(ControllerTest, FollowerHandlesRequestRejectedAsMalformedByLeader) {
  auto& leader = start_controller(0, 2);
  ASSERT_TRUE(run_until([&] { return leader.leading() && is_healthy(leader); }));
  auto& follower = start_controller(1, 2);
  ASSERT_TRUE(run_until([&] { return follower.leader() == "dyke-0" && is_healthy(follower); }));
  std::size_t forwarded = 0;
  network.handlers[peer_address(0)] = [&](auto, auto target, auto) -> net::Task<net::HttpMessage> {
    net::HttpMessage out;
    out.status = 200;
    if (target == peer::kForwardPath) {
      ++forwarded;
      out.body = peer::encode(peer::ForwardedResponse{true, 400, 0, {}});
    } else {
      out.status = 404;
    }
    co_return out;
  };
  auto gang = job_spec("job-1", 3, 4);
  gang.kind = wire::JobKind::gang;
  EXPECT_EQ(submit(follower, gang).status, 201);
  EXPECT_EQ(forwarded, 1u);
}

TEST_F(ControllerTest, StateServiceOutageFailsFastWithoutStaleStatus) {
  auto& controller = start_controller(0);
  ASSERT_TRUE(run_until([&] { return controller.leading() && is_healthy(controller); }));
  submit(controller, job_spec("job-1", 1));
  submit(controller, job_spec("job-2", 1));
  send_request(controller, "POST", "/work/job-2/withdraw");
  network.inject_fault = [](auto&, auto& target) {
    return target.starts_with("/work") ? LinkFault::none : LinkFault::refuse;
  };
  const auto started_at = net::Clock::now();
  const auto refused = submit(controller, job_spec("job-3", 1));
  EXPECT_EQ(refused.status, 503);
  EXPECT_TRUE(refused.retry_after_s.has_value());
  EXPECT_LT(net::Clock::now() - started_at, std::chrono::seconds(1));
  EXPECT_EQ(send_request(controller, "GET", "/work/job-1").status, 503);
  EXPECT_EQ(job_state(send_request(controller, "GET", "/work/job-2")), "cancelled")
      << "terminal states are cached";
}

TEST_F(ControllerTest, SubmissionVerifiedAfterLostStateServiceResponse) {
  auto& controller = start_controller(0);
  ASSERT_TRUE(run_until([&] { return controller.leading() && is_healthy(controller); }));
  bool response_lost = false;
  network.inject_fault = [&](auto&, auto& target) {
    if (target != "/txn" || response_lost) return LinkFault::none;
    response_lost = true;
    return LinkFault::drop_response;
  };
  EXPECT_EQ(submit(controller, job_spec("job-1", 1)).status, 200);
  EXPECT_TRUE(state.keys.contains("open/job-1"));
}

TEST_F(ControllerTest, FollowerForwardsToLeaderWithLocalFallback) {
  auto& leader = start_controller(0, 2);
  ASSERT_TRUE(run_until([&] { return leader.leading() && is_healthy(leader); }));
  auto& follower = start_controller(1, 2);
  ASSERT_TRUE(run_until([&] { return follower.leader() == "dyke-0" && is_healthy(follower); }));
  std::size_t forwarded = 0;
  network.inject_fault = [&](auto&, auto& target) {
    forwarded += target == peer::kForwardPath;
    return LinkFault::none;
  };
  EXPECT_EQ(submit(follower, job_spec("job-1", 1)).status, 201);
  EXPECT_EQ(forwarded, 1u);
  network.inject_fault = [&](auto&, auto& target) {
    return target == peer::kForwardPath ? LinkFault::drop_request : LinkFault::none;
  };
  EXPECT_EQ(submit(follower, job_spec("job-2", 1)).status, 201);
  EXPECT_EQ(job_state(send_request(follower, "POST", "/work/job-2/withdraw")), "cancelled");
  const auto redirect = send_heartbeat(follower, 1, 0);
  EXPECT_EQ(redirect.status, 421);
  EXPECT_EQ(wire::decode(redirect.body)->at("harbour"), "dyke-0");
}

TEST_F(ControllerTest, PartitionedLeaderStepsDownForNewerToken) {
  auto& previous_leader = start_controller(0, 2);
  ASSERT_TRUE(run_until([&] { return previous_leader.leading(); }));
  auto& successor = start_controller(1, 2);
  ASSERT_TRUE(run_until([&] { return successor.leader() == "dyke-0"; }));
  network.inject_fault = [](auto& caller, auto& target) {
    return caller == "dyke-0" && !target.starts_with("/peer") ? LinkFault::refuse : LinkFault::none;
  };
  state.expire_lease_of(store::kLeaderKey);
  ASSERT_TRUE(run_until([&] { return successor.leading(); }));
  EXPECT_TRUE(previous_leader.leading()) << "two leaders coexist until it polls its peer";
  ASSERT_TRUE(run_until([&] { return !previous_leader.leading(); }));
  const auto redirect = send_heartbeat(previous_leader, 1, 0);
  EXPECT_EQ(redirect.status, 421);
  EXPECT_EQ(wire::decode(redirect.body)->at("harbour"), "dyke-1");
}

TEST_F(ControllerTest, LeaderUnreachableForWorkersTransfersLeadership) {
  modify_settings = [](app::Settings& settings) { settings.cluster.heartbeat_interval_s = 0.3; };
  auto& unreachable = start_controller(0, 2);
  ASSERT_TRUE(run_until([&] { return unreachable.leading() && is_healthy(unreachable); }));
  auto& successor = start_controller(1, 2);
  ASSERT_TRUE(run_until([&] { return successor.leader() == "dyke-0"; }));
  send_heartbeat(unreachable, 1, 0);
  const auto last_heartbeat_at = net::Clock::now();
  run_until([&] {
    return net::Clock::now() - last_heartbeat_at > net::seconds(constants::kMinHeartbeatGapSeconds + 1);
  });
  EXPECT_TRUE(unreachable.leading()) << "leadership is not transferred if no controller receives heartbeats";
  std::uint64_t sequence_number = 1;
  ASSERT_TRUE(run_until([&] {
    EXPECT_EQ(send_heartbeat(successor, ++sequence_number, 0).status, successor.leading() ? 200 : 421);
    return successor.leading();
  })) << "the unreachable leader still renews its lease, so it must resign";
  EXPECT_FALSE(unreachable.leading());
  EXPECT_TRUE(run_until([&] { return unreachable.leader() == "dyke-1"; }));
}

TEST_F(ControllerTest, LateTransactionOfPreviousLeaderRefused) {
  auto& controller = start_controller(0);
  ASSERT_TRUE(run_until([&] { return controller.leading(); }));
  const auto previous_token = state.keys.at(store::kLeaderKey).version;
  state.expire_lease_of(store::kLeaderKey);
  ASSERT_TRUE(run_until([&] { return state.keys.contains(store::kLeaderKey) && controller.leading(); }));
  EXPECT_GT(state.keys.at(store::kLeaderKey).version, previous_token);
  wire::Transaction late_transaction;
  late_transaction.preconditions.push_back({store::kLeaderKey, Revision(previous_token)});
  late_transaction.puts.push_back({"open/job-1", Json::object(), {}});
  EXPECT_EQ(state.handle("POST", "/txn", wire::encode(wire::to_json(late_transaction))).status, 409);
}

TEST_F(ControllerTest, RestartedControllerReplacesOwnLeaderKeyImmediately) {
  state.handle("POST", "/holds", {});
  wire::Transaction campaign;
  campaign.puts.push_back({store::kLeaderKey, {{"host", "dyke-0"}, {"lease", 1}}, LeaseId(1)});
  state.handle("POST", "/txn", wire::encode(wire::to_json(campaign)));
  const auto previous_token = state.keys.at(store::kLeaderKey).version;
  auto& controller = start_controller(0, 3);
  ASSERT_TRUE(run_until([&] { return controller.leading(); }, 1.0))
      << "must not wait for the lease to expire";
  EXPECT_GT(state.keys.at(store::kLeaderKey).version, previous_token);
}

TEST_F(ControllerTest, FailoverResumesStoredScaleOutAndScaleIn) {
  wire::Transaction stored_requests;
  stored_requests.puts.push_back(
      {"rent/r-7-1", wire::to_json(wire::ScaleOutRequest{ScaleOutId("r-7-1"), "small", "a", true, 2}), {}});
  stored_requests.puts.push_back({"return/7-1", wire::machine_ids_to_json({MachineId("n-77")}), {}});
  state.handle("POST", "/txn", wire::encode(wire::to_json(stored_requests)));
  auto& controller = start_controller(0);
  ASSERT_TRUE(run_until([&] {
    return controller.leading() && !state.keys.contains("rent/r-7-1") && !state.keys.contains("return/7-1");
  }));
  EXPECT_EQ(cloud.created_machine_count, 2u);
  EXPECT_EQ(cloud.scale_out_responses.size(), 1u);
  EXPECT_EQ(cloud.deleted_machines, std::vector<std::string>{"n-77"});
}

TEST_F(ControllerTest, LeaderSkipsMalformedRecords) {
  wire::Transaction malformed_records;
  for (const char* key : {"open/job-7", "linger/job-8", "page/1", "rent/r-7-1", "return/7-1"})
    malformed_records.puts.push_back({key, {{"what", "is this"}}, {}});
  state.handle("POST", "/txn", wire::encode(wire::to_json(malformed_records)));
  auto& controller = start_controller(0);
  ASSERT_TRUE(run_until([&] { return controller.leading() && is_healthy(controller); }));
  EXPECT_EQ(submit(controller, job_spec("job-1", 1)).status, 201);
  EXPECT_TRUE(run_until([&] { return cloud.created_machine_count > 0; }, 12))
      << "the remaining records are loaded and tasks are scheduled";
}

TEST_F(ControllerTest, ScaleOutStoredBeforeCloudCall) {
  auto& controller = start_controller(0);
  ASSERT_TRUE(run_until([&] { return controller.leading() && is_healthy(controller); }));
  bool request_stored = false;
  network.inject_fault = [&](auto&, auto& target) {
    if (target == "/machines")
      for (const auto& [key, entry] : state.keys) request_stored = request_stored || key.starts_with("rent/");
    return LinkFault::none;
  };
  submit(controller, job_spec("job-1", 1));
  ASSERT_TRUE(run_until([&] { return cloud.created_machine_count > 0; }, 12));
  EXPECT_TRUE(request_stored);
}

// ---- Isolation, overload and duplicated transactions ------------------------------------------------------

TEST_F(ControllerTest, IsolatedLeaderBecomesUnhealthyAndRefusesHeartbeats) {
  modify_settings = [](app::Settings& settings) {
    settings.cluster.cancellation_timeout_s = settings.cluster.worker_lease_s + 4;
  };
  auto& isolated = start_controller(0, 2);
  ASSERT_TRUE(run_until([&] { return isolated.leading() && is_healthy(isolated); }));
  auto& successor = start_controller(1, 2);
  ASSERT_TRUE(run_until([&] { return successor.leader() == "dyke-0" && is_healthy(successor); }));
  submit(isolated, job_spec("job-1", 1));
  network.inject_fault = [](auto& caller, auto& target) {
    const bool between_peers = target.starts_with("/peer");
    return caller == "dyke-0" || between_peers ? LinkFault::drop_request : LinkFault::none;
  };
  EXPECT_EQ(send_heartbeat(isolated, 1, 0).status, 200)
      << "a recently isolated leader still renews its workers' leases";
  state.expire_lease_of(store::kLeaderKey);
  ASSERT_TRUE(run_until([&] { return send_request(isolated, "GET", "/healthz").status == 503; }));
  const auto started_at = net::Clock::now();
  const auto refused = submit(isolated, job_spec("job-2", 1));
  EXPECT_EQ(refused.status, 503);
  EXPECT_TRUE(refused.retry_after_s.has_value());
  EXPECT_LT(net::Clock::now() - started_at, std::chrono::milliseconds(200))
      << "must respond without waiting for a timeout";
  std::uint64_t sequence_number = 1;
  ASSERT_TRUE(run_until([&] { return send_heartbeat(isolated, ++sequence_number, 0).status == 503; }));
  ASSERT_TRUE(run_until([&] { return successor.leading() && is_healthy(successor); }));
  EXPECT_EQ(send_request(successor, "GET", "/work/job-1").status, 200) << "the successor must know the job";
}

TEST_F(ControllerTest, FollowerServesPollsWhileLeaderUnavailable) {
  auto& leader = start_controller(0, 2);
  ASSERT_TRUE(run_until([&] { return leader.leading() && is_healthy(leader); }));
  auto& follower = start_controller(1, 2);
  ASSERT_TRUE(run_until([&] { return follower.leader() == "dyke-0" && is_healthy(follower); }));
  for (int i = 0; i < 5; ++i) submit(leader, job_spec("job-" + std::to_string(i), 1));
  network.inject_fault = [](auto& caller, auto& target) {
    // Only the leader is refused by the state service, so it can't confirm the jobs' states.
    return caller == "dyke-0" && target.starts_with("/txn")     ? LinkFault::refuse
           : caller == "dyke-0" && target.starts_with("/store") ? LinkFault::refuse
                                                                : LinkFault::none;
  };
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(send_request(follower, "GET", "/work/job-" + std::to_string(i)).status, 200) << i;
  network.inject_fault = [](auto&, auto& target) {
    return target.starts_with("/peer") ? LinkFault::drop_request : LinkFault::none;
  };
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(send_request(follower, "GET", "/work/job-" + std::to_string(i)).status, 200) << i;
}

// Guards against submissions queueing until they time out when the follower's write rate is exhausted.
TEST_F(ControllerTest, FollowerWithoutWriteBudgetRefusesSubmissionsQuickly) {
  modify_settings = [](app::Settings& settings) { settings.state_service_write_rps = 8; };
  auto& leader = start_controller(0, 2);
  ASSERT_TRUE(run_until([&] { return leader.leading() && is_healthy(leader); }));
  auto& follower = start_controller(1, 2);
  ASSERT_TRUE(run_until([&] { return follower.leader() == "dyke-0" && is_healthy(follower); }));
  network.inject_fault = [](auto&, auto& target) {
    return target == peer::kForwardPath ? LinkFault::drop_request : LinkFault::none;
  };
  std::vector<std::optional<net::HttpResponse>> responses(20);
  for (std::size_t i = 0; i < responses.size(); ++i)
    net::spawn(handle_request(&follower, "POST", "/work",
                              wire::encode(wire::to_json(job_spec("job-" + std::to_string(i), 1))),
                              &responses[i]));
  const auto started_at = net::Clock::now();
  ASSERT_TRUE(run_until([&] {
    return std::all_of(responses.begin(), responses.end(),
                       [](const auto& response) { return response.has_value(); });
  }));
  EXPECT_LT(net::Clock::now() - started_at, std::chrono::milliseconds(2500));
  const auto accepted = std::count_if(responses.begin(), responses.end(),
                                      [](const auto& response) { return response->status == 201; });
  EXPECT_GE(accepted, 2);
  for (const auto& response : responses)
    EXPECT_TRUE(response->status == 201 || (response->status == 503 && response->retry_after_s));
  EXPECT_LT(accepted, 20);
}

TEST_F(ControllerTest, ConcurrentPollsAreBatched) {
  auto& leader = start_controller(0, 2);
  ASSERT_TRUE(run_until([&] { return leader.leading() && is_healthy(leader); }));
  auto& follower = start_controller(1, 2);
  ASSERT_TRUE(run_until([&] { return follower.leader() == "dyke-0" && is_healthy(follower); }));
  for (int i = 0; i < 20; ++i) submit(leader, job_spec("job-" + std::to_string(i), 1));
  // Lets the leader write its state, which takes a few iterations of the loop.
  for (int i = 0; i < 5; ++i) loop.run_once(std::chrono::milliseconds(5));
  std::size_t reads = 0;
  network.inject_fault = [&](auto&, auto& target) {
    reads += target.starts_with("/store") || target == "/txn";
    return LinkFault::none;
  };
  std::vector<std::optional<net::HttpResponse>> responses(20);
  for (std::size_t i = 0; i < responses.size(); ++i)
    net::spawn(handle_request(&follower, "GET", "/work/job-" + std::to_string(i), {}, &responses[i]));
  ASSERT_TRUE(run_until([&] {
    return std::all_of(responses.begin(), responses.end(),
                       [](const auto& response) { return response.has_value(); });
  }));
  for (const auto& response : responses) EXPECT_EQ(response->status, 200);
  EXPECT_LT(reads, 10u)
      << "the 20 polls must be batched; the limit leaves a margin for the leader's own requests";
}

TEST_F(ControllerTest, DuplicatedTransactionsOfTerminalJobHaveNoEffect) {
  auto& controller = start_controller(0);
  ASSERT_TRUE(run_until([&] { return controller.leading() && is_healthy(controller); }));
  std::vector<std::string> transactions;
  network.on_request = [&](const std::string& target, const std::string& body) {
    if (target == "/txn") transactions.push_back(body);
  };
  submit(controller, job_spec("job-1", 1));
  send_request(controller, "POST", "/work/job-1/withdraw");
  ASSERT_TRUE(run_until([&] { return !state.keys.contains("linger/job-1"); }));
  const auto key_versions = [&] {
    std::map<std::string, std::uint64_t> out;
    for (const auto& [key, entry] : state.keys) out[key] = entry.version;
    return out;
  };
  const auto before = key_versions();
  for (const auto& body : transactions) state.handle("POST", "/txn", body);
  EXPECT_EQ(key_versions(), before) << "their preconditions no longer hold";
  EXPECT_EQ(submit(controller, job_spec("job-1", 1)).status, 200);
  EXPECT_EQ(job_state(send_request(controller, "POST", "/work/job-1/withdraw")), "cancelled");
  EXPECT_EQ(job_state(send_request(controller, "GET", "/work/job-1")), "cancelled");
}

TEST_F(ControllerTest, DelayedCampaignOfPreviousRunIsRejectedAfterRestart) {
  std::string campaign;
  network.on_request = [&](const std::string& target, const std::string& body) {
    if (target == "/txn" && campaign.empty()) campaign = body;
  };
  network.inject_fault = [&](auto&, auto& target) {
    return target == "/txn" ? LinkFault::drop_request : LinkFault::none;  // delayed by the network
  };
  start_controller(0);
  ASSERT_TRUE(run_until([&] { return !campaign.empty(); }));
  // The process crashes during its election and restarts before the transaction is applied.
  network.terminate_process("dyke-0");
  network.inject_fault = nullptr;
  network.on_request = nullptr;
  auto& restarted = start_controller(0);
  ASSERT_TRUE(run_until([&] { return restarted.leading() && is_healthy(restarted); }, 3));
  const auto token = state.keys.at(store::kLeaderKey).version;
  EXPECT_EQ(state.handle("POST", "/txn", campaign).status, 409);
  EXPECT_EQ(state.keys.at(store::kLeaderKey).version, token);
  EXPECT_EQ(submit(restarted, job_spec("job-1", 1)).status, 201);
  EXPECT_TRUE(restarted.leading());
}

TEST_F(ControllerTest, RestartedControllerReplacesLateAppliedCampaign) {
  std::string campaign;
  network.on_request = [&](const std::string& target, const std::string& body) {
    if (target == "/txn" && campaign.empty()) campaign = body;
  };
  network.inject_fault = [&](auto&, auto& target) {
    return target == "/txn" ? LinkFault::drop_request : LinkFault::none;
  };
  start_controller(0);
  ASSERT_TRUE(run_until([&] { return !campaign.empty(); }));
  network.terminate_process("dyke-0");
  EXPECT_EQ(state.handle("POST", "/txn", campaign).status, 200);  // just before the process restarts
  const auto previous_token = state.keys.at(store::kLeaderKey).version;
  network.inject_fault = nullptr;
  network.on_request = nullptr;
  auto& restarted = start_controller(0);
  ASSERT_TRUE(run_until([&] { return restarted.leading(); }, 1))
      << "must not wait for the lease of the previous run to expire";
  EXPECT_GT(state.keys.at(store::kLeaderKey).version, previous_token);
}

TEST_F(ControllerTest, SubmissionsBeyondInFlightLimitRefusedImmediately) {
  auto& controller = start_controller(0);
  ASSERT_TRUE(run_until([&] { return controller.leading() && is_healthy(controller); }));
  network.inject_fault = [](auto&, auto& target) {
    return target == "/txn" ? LinkFault::drop_request : LinkFault::none;
  };
  std::vector<std::optional<net::HttpResponse>> responses(constants::kMaxSubmissionsInFlight + 5);
  for (std::size_t i = 0; i < responses.size(); ++i)
    net::spawn(handle_request(&controller, "POST", "/work",
                              wire::encode(wire::to_json(job_spec("job-" + std::to_string(i), 1))),
                              &responses[i]));
  loop.run_once(std::chrono::milliseconds(1));
  std::size_t refused = 0;
  for (const auto& response : responses)
    if (response && response->status == 503 && response->retry_after_s) ++refused;
  EXPECT_EQ(refused, 5u);
  run_until([&] {
    return std::all_of(responses.begin(), responses.end(),
                       [](const auto& response) { return response.has_value(); });
  });
}

}  // namespace dockdyke::testing
