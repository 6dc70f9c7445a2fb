// The state service's limits, now and after they were lowered without notice.
#include <set>

#include "cluster_fixture.hpp"
#include "constants.hpp"
#include "fakes.hpp"
#include "simulation.hpp"
#include "store/state_client.hpp"

namespace dockdyke::testing {

namespace {

constexpr std::size_t kLeastBytes = static_cast<std::size_t>(constants::kMinValueKib * 1024);
constexpr std::size_t kLeastOps = static_cast<std::size_t>(constants::kMinTransactionChanges);

ClusterConfig lowest_limits() {
  auto config = cluster_config();
  config.max_value_bytes = kLeastBytes;
  config.max_transaction_changes = kLeastOps;
  config.max_machines = 400;
  return config;
}

// The leader's guard comes on top of what the core asks for.
void expect_fits(const wire::Transaction& txn) {
  EXPECT_LE(txn.puts.size() + txn.deletions.size(), kLeastOps);
  EXPECT_LE(txn.preconditions.size() + 1, constants::kPreconditionsPerChange * kLeastOps);
  for (const auto& put : txn.puts) EXPECT_LE(put.value.dump().size(), kLeastBytes) << put.key;
}

}  // namespace

class LowestLimitsTest : public ClusterTest {
 protected:
  LowestLimitsTest() : ClusterTest(lowest_limits()) {}
};

TEST_F(LowestLimitsTest, NothingThatALeaderWritesNeedsMore) {
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
  advance_time(60);  // idle machines go back
  std::set<std::string> kinds;
  for (const auto& save : applied_writes) {
    expect_fits(save.transaction);
    for (const auto& put : save.transaction.puts) kinds.insert(put.key.substr(0, put.key.find('/')));
  }
  EXPECT_EQ(kinds, (std::set<std::string>{"gang", "over", "page"}));
  const auto returns = emitted_effects<RequestScaleIn>();
  ASSERT_FALSE(returns.empty());
  std::size_t given_back = 0;
  for (const auto& each : returns) {
    given_back += each.machines.size();
    EXPECT_LE(wire::machine_ids_to_json(each.machines).dump().size(), kLeastBytes);
  }
  EXPECT_GE(given_back, 100u);
  for (const auto& each : emitted_effects<RequestScaleOut>())
    EXPECT_LE(wire::to_json(each.request).dump().size(), kLeastBytes);
}

TEST_F(LowestLimitsTest, AReturnOfManyMachinesIsRecordedInSeveralValues) {
  complete_loading();
  std::vector<Worker> workers;
  for (int i = 0; i < 110; ++i) {
    workers.push_back(Worker{"n-" + std::to_string(100000 + i), "a", false});
    exchange_heartbeat(workers.back());
  }
  std::size_t given_back = 0;
  for (int i = 0; i < 30; ++i) {
    for (auto& worker : workers) exchange_heartbeat(worker);
    advance_time(1);
  }
  for (const auto& each : emitted_effects<RequestScaleIn>()) {
    given_back += each.machines.size();
    EXPECT_LE(wire::machine_ids_to_json(each.machines).dump().size(), kLeastBytes);
  }
  EXPECT_EQ(given_back, 110u);
}

TEST(LowestLimits, ACancellationNeedsNoMoreAlsoOfALargeRecordWrittenBefore) {
  auto record = job_record(job_spec("job-1", 5));
  record.spec.machine_types.emplace();
  for (int i = 0; i < 200; ++i) record.spec.machine_types->push_back("type-" + std::to_string(i));
  record.spec.image = std::string(200, 'i');
  record.spec.same_zone = true;
  ASSERT_GT(to_json(record).dump().size(), kLeastBytes);
  const auto txn = cancellation_transaction(record, Revision(5), 2, 1234, kLeastBytes);
  expect_fits(txn);
  const auto copy = parse_job_record(txn.puts.at(1).value);
  EXPECT_EQ(copy.spec.team, record.spec.team);
  EXPECT_EQ(copy.spec.task_resources.cpus, record.spec.task_resources.cpus);
  EXPECT_TRUE(copy.spec.same_zone);
  EXPECT_EQ(copy.cancelled_ms, 1234);
}

TEST_F(LowestLimitsTest, APageThatIsRefusedAllTheSameIsWrittenInSmallerOnes) {
  complete_loading();
  std::vector<Worker> workers;
  for (int i = 0; i < 60; ++i) workers.push_back(connect_worker("n-" + std::to_string(100000 + i)));
  state_service_available = false;
  submit(job_spec("job-1", 60, 8));
  assign_and_write();
  now += 10;
  std::size_t last = 0;
  std::set<TaskIndex> stored;
  for (int round = 0; round < 40; ++round, now += 10) {
    const auto save = cluster.next_write(now);
    if (!save) break;
    const std::size_t size = save->transaction.puts.at(0).value.dump().size();
    if (size > 350) {
      if (last != 0) {
        EXPECT_LT(size, last);
      }
      last = size;
      cluster.apply(WriteRejected{save->number}, now);
      continue;
    }
    const SegmentRecord page = parse_segment(save->transaction.puts.at(0).value);
    for (const auto& task : page.at(JobId("job-1"))) stored.insert(task.index);
    cluster.apply(WriteApplied{save->number}, now);
  }
  EXPECT_GT(last, 0u);
  EXPECT_EQ(stored.size(), 60u);
}

class UsualLimitsTest : public ClusterTest {};

TEST_F(UsualLimitsTest, EndsThatAreRefusedTogetherAreRecordedOneByOne) {
  for (int i = 0; i < 3; ++i) load_job(job_spec("job-" + std::to_string(i), 1), {{0, 1, {}, true}});
  complete_loading();
  const auto together = cluster.next_write(now);
  ASSERT_TRUE(together);
  ASSERT_EQ(together->completed_jobs.size(), 3u);
  cluster.apply(WriteRejected{together->number}, now);
  std::set<JobId> recorded;
  while (const auto save = cluster.next_write(now)) {
    EXPECT_LT(save->completed_jobs.size(), 3u);
    recorded.insert(save->completed_jobs.begin(), save->completed_jobs.end());
    cluster.apply(WriteApplied{save->number}, now);
  }
  EXPECT_EQ(recorded.size(), 3u);
}

TEST_F(LowestLimitsTest, AGangsRecordThatIsRefusedIsWrittenInSmallerPartsUnderTheNextNumber) {
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

// ---- The rate of writes -----------------------------------------------------------------------------------

class WriteRateTest : public ::testing::Test {
 protected:
  // Answers every call with the status that is set.
  class Service : public net::Transport {
   public:
    explicit Service(net::Loop& loop) : loop_(loop) {}
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
    client.on_lower_write_limit_detected([this] { ++seen; });
  }

  void write(int times) {
    for (int i = 0; i < times; ++i) {
      net::spawn(write_once());
      run(0.05);
    }
  }
  net::Task<void> write_once() {
    wire::Transaction txn;
    txn.deletions.push_back("a");
    co_await client.commit(txn, store::RequestPriority::normal, loop.now() + net::seconds(1));
  }
  net::Task<void> compare(std::optional<store::Outcome>* out) {
    wire::Transaction txn;
    txn.preconditions.push_back({"a", Revision(5)});
    const auto compared =
        co_await client.commit(txn, store::RequestPriority::normal, loop.now() + net::seconds(1));
    *out = compared.outcome;
  }
  void run(double s) {
    const auto end = loop.now() + net::seconds(s);
    while (loop.now() < end) loop.run_once(end - loop.now());
  }

  net::Loop loop{net::Loop::TimeSource::simulated};
  Service service{loop};
  store::StateClient client{loop, service, net::Address{1, 1}, {1000, 20, 15}};
  int seen = 0;
};

TEST_F(WriteRateTest, IsLoweredForGoodOnceTheServiceHasShownTheLowerLimit) {
  service.status = 429;
  write(constants::kRateLimitRefusalThreshold);
  EXPECT_TRUE(client.write_limit_lowered());
  EXPECT_EQ(client.write_limit(), 15);
  EXPECT_EQ(seen, 1);
  service.status = 200;
  write(100);
  run(600);
  EXPECT_EQ(client.write_limit(), 15);
  EXPECT_EQ(seen, 1);
}

TEST_F(WriteRateTest, StaysForRefusalsThatAreFewOrFarApart) {
  service.status = 429;
  for (int i = 0; i < 10; ++i) {
    write(constants::kRateLimitRefusalThreshold - 1);
    run(constants::kRateLimitRefusalWindowSeconds + 1);
  }
  EXPECT_FALSE(client.write_limit_lowered());
  EXPECT_EQ(client.write_limit(), 20);
}

TEST_F(WriteRateTest, AComparisonDoesNotStandInLineWithTheWrites) {
  for (int i = 0; i < 100; ++i) net::spawn(write_once());  // five seconds' worth
  std::optional<store::Outcome> compared;
  net::spawn(compare(&compared));
  run(0.1);
  EXPECT_EQ(compared, store::Outcome::ok);
}

TEST_F(WriteRateTest, StaysWhereNoLowerLimitWasAnnounced) {
  store::StateClient unannounced{loop, service, net::Address{1, 1}, {1000, 20, 20}};
  unannounced.lower_write_limit();
  EXPECT_FALSE(unannounced.write_limit_lowered());
  EXPECT_EQ(unannounced.write_limit(), 20);
}

TEST(LoweredLimits, AreMetInTheMiddleOfWorkAndAllIsServed) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    auto config = cluster_config();
    config.max_value_bytes = kLeastBytes;
    config.max_transaction_changes = kLeastOps;
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
