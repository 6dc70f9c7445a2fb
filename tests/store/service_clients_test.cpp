// Tests of the clients of the state service and the cloud: the outcome of each response and the contents of
// errors.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cloud/cloud_client.hpp"
#include "net/http_status.hpp"
#include "net/loop.hpp"
#include "store/state_client.hpp"

namespace dockdyke::testing {

namespace {

namespace http_status = net::http_status;
using net::Outcome;

// Responds to every call with the configured result.
class FixedTransport : public net::Transport {
 public:
  net::Task<net::CallResult> call(net::Address, std::string, std::string, std::string,
                                  net::Duration) override {
    co_return result;
  }
  void set_response(int status, std::string body) {
    result.response.emplace();
    result.response->status = status;
    result.response->body = std::move(body);
  }
  net::CallResult result;
};

class ServiceClientsTest : public ::testing::Test {
 protected:
  net::Task<void> get() {
    const auto deadline = loop.now() + net::seconds(1);
    store::Result<wire::KeyValue> result = co_await state.get("a/b", deadline);
    outcome = result.outcome;
    error = result.error;
  }
  net::Task<void> scale_out() {
    wire::ScaleOutRequest request;
    cloud::Result<std::vector<MachineId>> result = co_await cloud.scale_out(std::move(request));
    outcome = result.outcome;
    error = result.error;
  }

  Outcome outcome_of_get() {
    net::spawn(get());
    return outcome.value_or(Outcome::unknown);
  }
  Outcome outcome_of_get(int status) {
    transport.set_response(status, {});
    return outcome_of_get();
  }
  Outcome outcome_of_scale_out(int status, const wire::Json& body) {
    transport.set_response(status, wire::encode(body));
    net::spawn(scale_out());
    return outcome.value_or(Outcome::ok);
  }

  net::Loop loop{net::Loop::TimeSource::simulated};
  FixedTransport transport;
  store::StateClient state{loop, transport, net::Address{1, 1}, {1000, 1000, 0}};
  cloud::CloudClient cloud{loop, transport, net::Address{1, 2}, 1000};
  std::optional<Outcome> outcome;
  std::optional<net::CallError> error;
};

}  // namespace

TEST_F(ServiceClientsTest, StateServiceStatusesMapToOutcomes) {
  EXPECT_EQ(outcome_of_get(http_status::kNotFound), Outcome::missing);
  EXPECT_EQ(outcome_of_get(http_status::kConflict), Outcome::conflict);
  EXPECT_EQ(outcome_of_get(http_status::kGone), Outcome::expired);
  EXPECT_EQ(outcome_of_get(http_status::kBadRequest), Outcome::rejected);
  EXPECT_EQ(outcome_of_get(http_status::kTooManyRequests), Outcome::refused);
  EXPECT_EQ(outcome_of_get(http_status::kServiceUnavailable), Outcome::refused);
  EXPECT_EQ(outcome_of_get(http_status::kNotImplemented), Outcome::unknown);
}

TEST_F(ServiceClientsTest, ErrorContainsMethodTargetAndStatus) {
  EXPECT_EQ(outcome_of_get(http_status::kNotFound), Outcome::missing);
  ASSERT_TRUE(error);
  EXPECT_EQ(error->method, "GET");
  EXPECT_EQ(error->target, wire::path::key("a/b"));
  EXPECT_EQ(error->status, http_status::kNotFound);
}

TEST_F(ServiceClientsTest, MissingResponseIsUnknownUnlessRequestWasNeverSent) {
  EXPECT_EQ(outcome_of_get(), Outcome::unknown);
  ASSERT_TRUE(error);
  EXPECT_EQ(error->status, std::nullopt);
  transport.result.never_sent = true;
  EXPECT_EQ(outcome_of_get(), Outcome::refused);
}

TEST_F(ServiceClientsTest, SuccessHasNoErrorAndMalformedResponseIsUnknown) {
  transport.set_response(http_status::kOk, wire::encode({{"k", "a/b"}, {"value", {{"x", 1}}}, {"stamp", 4}}));
  EXPECT_EQ(outcome_of_get(), Outcome::ok);
  EXPECT_FALSE(error);
  transport.set_response(http_status::kOk, wire::encode({{"k", "a/b"}}));
  EXPECT_EQ(outcome_of_get(), Outcome::unknown);
  EXPECT_TRUE(error);
  transport.set_response(http_status::kOk, "\xc1");
  EXPECT_EQ(outcome_of_get(), Outcome::unknown);
}

TEST_F(ServiceClientsTest, OnlyNoCapacityErrorInBodyMeansNoCapacity) {
  EXPECT_EQ(outcome_of_scale_out(http_status::kServiceUnavailable, {{"error", "no capacity"}}),
            Outcome::no_capacity);
  ASSERT_TRUE(error);
  EXPECT_EQ(error->target, wire::path::kMachines);
  EXPECT_EQ(outcome_of_scale_out(http_status::kServiceUnavailable, {{"error", "outage"}}), Outcome::unknown);
  EXPECT_EQ(outcome_of_scale_out(http_status::kBadRequest, {{"error", "no capacity"}}), Outcome::rejected);
  EXPECT_EQ(outcome_of_scale_out(http_status::kTooManyRequests, wire::Json::object()), Outcome::unknown);
  EXPECT_EQ(outcome_of_scale_out(http_status::kOk, {{"dykes", {"n-000001"}}}), Outcome::ok);
}

}  // namespace dockdyke::testing
