// The leader and the state client keep to the size and rate limits of the state service, also when the
// service begins to enforce the announced lower limits.
#include <set>

#include "cluster_fixture.hpp"
#include "constants.hpp"
#include "fakes.hpp"
#include "simulation.hpp"
#include "store/state_client.hpp"

namespace dockdyke::testing {

namespace {

constexpr std::size_t kMinValueBytes = static_cast<std::size_t>(constants::kMinValueKib * 1024);
constexpr std::size_t kMinChanges = static_cast<std::size_t>(constants::kMinTransactionChanges);

ClusterConfig lowest_limits_config() {
  auto config = cluster_config();
  config.max_value_bytes = kMinValueBytes;
  config.max_transaction_changes = kMinChanges;
  config.max_machines = 400;
  return config;
}

// Expects the transaction to be within the lowest limits. The leader adds one precondition to each
// transaction, that it still leads.
void expect_within_limits(const wire::Transaction& txn) {
  EXPECT_LE(txn.puts.size() + txn.deletions.size(), kMinChanges);
  EXPECT_LE(txn.preconditions.size() + 1, constants::kPreconditionsPerChange * kMinChanges);
  for (const auto& put : txn.puts) EXPECT_LE(put.value.dump().size(), kMinValueBytes) << put.key;
}

}  // namespace

class LowestLimitsTest : public ClusterTest {
 protected:
  LowestLimitsTest() : ClusterTest(lowest_limits_config()) {}
};

TEST_F(LowestLimitsTest, AllLeaderWritesAreWithinLimits) {
  complete_loading();
  std::vector<Worker> workers;
  for (int i = 0; i < 110; ++i)
    workers.push_back(connect_worker("n-" + std::to_string(100000 + i), "a", false));
  for (int i = 0; i < 20; ++i) submit(job_spec("job-" + std::to_string(i), 2, 4));
  auto gang = job_spec("job-100", 80, 4);
  gang.kind = wire::JobKind::gang;
  submit(gang);
  for (auto& worker : workers) send_heartbeat(worker);
  assign_and_write();
  for (auto& worker : workers) {
    for (const auto& command : receive_response(worker))
      if (command.kind == wire::CommandKind::start)
        worker.report_task(command.task.job.value, command.task.index, command.attempt,
                           wire::TaskState::exited, wire::ExitCause::done);
  }
  for (auto& worker : workers) exchange_heartbeat(worker);
  advance_time(60);  // until idle machines are scaled in
  std::set<std::string> key_prefixes;
  for (const auto& write : applied_writes) {
    expect_within_limits(write.transaction);
    for (const auto& put : write.transaction.puts) key_prefixes.insert(put.key.substr(0, put.key.find('/')));
  }
  EXPECT_EQ(key_prefixes, (std::set<std::string>{"gang", "over", "page"}));
  const auto scale_in_requests = emitted_effects<RequestScaleIn>();
  ASSERT_FALSE(scale_in_requests.empty());
  std::size_t scaled_in_count = 0;
  for (const auto& scale_in : scale_in_requests) {
    scaled_in_count += scale_in.machines.size();
    EXPECT_LE(wire::machine_ids_to_json(scale_in.machines).dump().size(), kMinValueBytes);
  }
  EXPECT_GE(scaled_in_count, 100u);
  for (const auto& scale_out : emitted_effects<RequestScaleOut>())
    EXPECT_LE(wire::to_json(scale_out.request).dump().size(), kMinValueBytes);
}

TEST_F(LowestLimitsTest, ScaleInOfManyMachinesIsSplitIntoSeveralRecords) {
  complete_loading();
  std::vector<Worker> workers;
  for (int i = 0; i < 110; ++i) {
    workers.push_back(Worker{"n-" + std::to_string(100000 + i), "a", false});
    exchange_heartbeat(workers.back());
  }
  std::size_t scaled_in_count = 0;
  for (int i = 0; i < 30; ++i) {
    for (auto& worker : workers) exchange_heartbeat(worker);
    advance_time(1);
  }
  for (const auto& scale_in : emitted_effects<RequestScaleIn>()) {
    scaled_in_count += scale_in.machines.size();
    EXPECT_LE(wire::machine_ids_to_json(scale_in.machines).dump().size(), kMinValueBytes);
  }
  EXPECT_EQ(scaled_in_count, 110u);
}

TEST(LowestLimits, CancellationOfOversizedJobRecordIsWithinLimits) {
  auto record = job_record(job_spec("job-1", 5));
  record.spec.machine_types.emplace();
  for (int i = 0; i < 200; ++i) record.spec.machine_types->push_back("type-" + std::to_string(i));
  record.spec.image = std::string(200, 'i');
  record.spec.same_zone = true;
  ASSERT_GT(to_json(record).dump().size(), kMinValueBytes);
  const auto txn = cancellation_transaction(record, Revision(5), 2, 1234, kMinValueBytes);
  expect_within_limits(txn);
  const auto stored = parse_job_record(txn.puts.at(1).value);
  EXPECT_EQ(stored.spec.team, record.spec.team);
  EXPECT_EQ(stored.spec.task_resources.cpus, record.spec.task_resources.cpus);
  EXPECT_TRUE(stored.spec.same_zone);
  EXPECT_EQ(stored.cancelled_ms, 1234);
}

TEST_F(LowestLimitsTest, RejectedSegmentIsSplitIntoSmallerSegments) {
  complete_loading();
  std::vector<Worker> workers;
  for (int i = 0; i < 60; ++i) workers.push_back(connect_worker("n-" + std::to_string(100000 + i)));
  state_service_available = false;
  submit(job_spec("job-1", 60, 8));
  assign_and_write();
  now += 10;
  std::size_t last_rejected_size = 0;
  std::set<TaskIndex> stored_tasks;
  for (int iteration = 0; iteration < 40; ++iteration, now += 10) {
    const auto write = cluster.next_write(now);
    if (!write) break;
    const std::size_t size = write->transaction.puts.at(0).value.dump().size();
    if (size > 350) {
      if (last_rejected_size != 0) {
        EXPECT_LT(size, last_rejected_size);
      }
      last_rejected_size = size;
      cluster.apply(WriteRejected{write->number}, now);
      continue;
    }
    const SegmentRecord segment = parse_segment(write->transaction.puts.at(0).value);
    for (const auto& task : segment.at(JobId("job-1"))) stored_tasks.insert(task.index);
    cluster.apply(WriteApplied{write->number}, now);
  }
  EXPECT_GT(last_rejected_size, 0u);
  EXPECT_EQ(stored_tasks.size(), 60u);
}

class DefaultLimitsTest : public ClusterTest {};

TEST_F(DefaultLimitsTest, RejectedJobCompletionsAreWrittenInSmallerBatches) {
  for (int i = 0; i < 3; ++i) load_job(job_spec("job-" + std::to_string(i), 1), {{0, 1, {}, true}});
  complete_loading();
  const auto batch = cluster.next_write(now);
  ASSERT_TRUE(batch);
  ASSERT_EQ(batch->completed_jobs.size(), 3u);
  cluster.apply(WriteRejected{batch->number}, now);
  std::set<JobId> completed_jobs;
  while (const auto write = cluster.next_write(now)) {
    EXPECT_LT(write->completed_jobs.size(), 3u);
    completed_jobs.insert(write->completed_jobs.begin(), write->completed_jobs.end());
    cluster.apply(WriteApplied{write->number}, now);
  }
  EXPECT_EQ(completed_jobs.size(), 3u);
}

TEST_F(LowestLimitsTest, RejectedGangRecordIsSplitUnderNextAttempt) {
  complete_loading();
  std::vector<Worker> workers;
  for (int i = 0; i < 30; ++i) workers.push_back(connect_worker("n-" + std::to_string(100000 + i)));
  state_service_available = false;
  auto gang = job_spec("job-1", 30, 8);
  gang.kind = wire::JobKind::gang;
  submit(gang);
  assign_and_write();
  const auto first = cluster.next_write(now);
  ASSERT_TRUE(first);
  cluster.apply(WriteRejected{first->number}, now);
  assign_and_write();
  for (auto& worker : workers) send_heartbeat(worker);
  assign_and_write();
  const auto second = cluster.next_write(now);
  ASSERT_TRUE(second);
  EXPECT_TRUE(second->transaction.puts.at(0).key.starts_with("gang/job-1/2/"));
  EXPECT_LT(second->transaction.puts.at(0).value.dump().size(),
            first->transaction.puts.at(0).value.dump().size());
}

// ---- Write rate limit -------------------------------------------------------------------------------------

class WriteRateTest : public ::testing::Test {
 protected:
  // Responds to every call with `status`.
  class FixedStatusTransport : public net::Transport {
   public:
    explicit FixedStatusTransport(net::Loop& loop) : loop_(loop) {}
    net::Task<net::CallResult> call(net::Address, std::string, std::string, std::string,
                                    net::Duration) override {
      co_await loop_.sleep(net::seconds(0.001));
      net::CallResult result;
      result.response = msgpack_response(status, {{"ledger", 5}});
      co_return result;
    }
    int status = 200;

   private:
    net::Loop& loop_;
  };

  WriteRateTest() {
    client.on_lower_write_limit_detected([this] { ++notification_count; });
  }

  void commit_writes(int count) {
    for (int i = 0; i < count; ++i) {
      net::spawn(commit_write());
      run(0.05);
    }
  }
  net::Task<void> commit_write() {
    wire::Transaction txn;
    txn.deletions.push_back("a");
    co_await client.commit(txn, store::RequestPriority::normal, loop.now() + net::seconds(1));
  }
  net::Task<void> commit_precondition_only(std::optional<store::Outcome>* out) {
    wire::Transaction txn;
    txn.preconditions.push_back({"a", Revision(5)});
    const auto result =
        co_await client.commit(txn, store::RequestPriority::normal, loop.now() + net::seconds(1));
    *out = result.outcome;
  }
  void run(double duration_s) {
    const auto end = loop.now() + net::seconds(duration_s);
    while (loop.now() < end) loop.run_once(end - loop.now());
  }

  net::Loop loop{net::Loop::TimeSource::simulated};
  FixedStatusTransport transport{loop};
  store::StateClient client{loop, transport, net::Address{1, 1}, {1000, 20, 15}};
  int notification_count = 0;
};

TEST_F(WriteRateTest, IsLoweredPermanentlyAfterRepeatedRefusals) {
  transport.status = 429;
  commit_writes(constants::kRateLimitRefusalThreshold);
  EXPECT_TRUE(client.write_limit_lowered());
  EXPECT_EQ(client.write_limit(), 15);
  EXPECT_EQ(notification_count, 1);
  transport.status = 200;
  commit_writes(100);
  run(600);
  EXPECT_EQ(client.write_limit(), 15);
  EXPECT_EQ(notification_count, 1);
}

TEST_F(WriteRateTest, IsNotLoweredByFewOrRareRefusals) {
  transport.status = 429;
  for (int i = 0; i < 10; ++i) {
    commit_writes(constants::kRateLimitRefusalThreshold - 1);
    run(constants::kRateLimitRefusalWindowSeconds + 1);
  }
  EXPECT_FALSE(client.write_limit_lowered());
  EXPECT_EQ(client.write_limit(), 20);
}

TEST_F(WriteRateTest, PreconditionCheckDoesNotWaitForQueuedWrites) {
  for (int i = 0; i < 100; ++i) net::spawn(commit_write());  // five seconds at the write limit
  std::optional<store::Outcome> outcome;
  net::spawn(commit_precondition_only(&outcome));
  run(0.1);
  EXPECT_EQ(outcome, store::Outcome::ok);
}

TEST_F(WriteRateTest, IsNotLoweredWithoutAnnouncedLimit) {
  store::StateClient client_without_lower_limit{loop, transport, net::Address{1, 1}, {1000, 20, 20}};
  client_without_lower_limit.lower_write_limit();
  EXPECT_FALSE(client_without_lower_limit.write_limit_lowered());
  EXPECT_EQ(client_without_lower_limit.write_limit(), 20);
}

TEST(LoweredLimits, AllJobsFinishWhenLimitsAreLoweredUnderLoad) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    auto config = cluster_config();
    config.max_value_bytes = kMinValueBytes;
    config.max_transaction_changes = kMinChanges;
    Simulation simulation(
        {.seed = seed, .config = config, .writes_per_second = 40, .announced_writes_per_second = 25});
    for (int i = 0; i < 40; ++i) {
      auto spec = job_spec("job-" + std::to_string(i), 3, 1);
      spec.estimated_run_s = 10;
      if (i % 4 == 0) spec.kind = wire::JobKind::gang;
      simulation.submit(spec, i % 5 == 0 ? std::optional<double>(15) : std::nullopt);
      simulation.run(0.4);
      if (i == 20) simulation.lower_state_service_limits();
    }
    simulation.expect_all_jobs_finish(200);
    simulation.expect_no_leftover_records(60);
    EXPECT_EQ(simulation.state_service.size_rejections, 0u);
  }
}

}  // namespace dockdyke::testing
