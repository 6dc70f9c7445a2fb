#include "app/poll_batcher.hpp"

#include <map>
#include <set>
#include <utility>

#include "constants.hpp"
#include "net/http_status.hpp"

namespace dockdyke::app {

using peer::PolledJobStatus;
namespace http_status = net::http_status;

namespace {

PolledJobStatus unavailable_status() {
  return {http_status::kServiceUnavailable, {}};
}

}  // namespace

PollBatcher::PollBatcher(net::Loop& loop, JobStatusSources sources)
    : loop_(loop), sources_(std::move(sources)) {}

std::optional<PollBatcher::PendingStatus> PollBatcher::enqueue(const JobId& id) {
  if (queue_.size() >= constants::kPollQueueLimit) return std::nullopt;
  const PendingStatus status(loop_);
  queue_.push_back({id, status});
  if (!running_) net::spawn(run_batches());
  return status;
}

net::Task<PolledJobStatus> PollBatcher::poll(JobId id, net::Duration timeout) {
  const auto pending = enqueue(id);
  if (!pending) co_return unavailable_status();
  const std::optional<PolledJobStatus> polled = co_await pending->wait_until(loop_.now() + timeout);
  co_return polled.value_or(unavailable_status());
}

net::Task<std::vector<PolledJobStatus>> PollBatcher::poll_all(std::vector<JobId> ids, net::Duration timeout) {
  const auto deadline = loop_.now() + timeout;
  std::vector<std::optional<PendingStatus>> pending;
  pending.reserve(ids.size());
  for (const auto& id : ids) pending.push_back(enqueue(id));
  std::vector<PolledJobStatus> statuses(ids.size(), unavailable_status());
  for (std::size_t i = 0; i < ids.size(); ++i) {
    if (!pending[i]) continue;
    const std::optional<PolledJobStatus> polled = co_await pending[i]->wait_until(deadline);
    statuses[i] = polled.value_or(unavailable_status());
  }
  co_return statuses;
}

net::Task<void> PollBatcher::run_batches() {
  running_ = true;
  while (!queue_.empty()) {
    const auto batch = std::exchange(queue_, {});
    std::set<JobId> distinct_ids;
    for (const auto& poll : batch) distinct_ids.insert(poll.id);
    const std::vector<JobId> ids(distinct_ids.begin(), distinct_ids.end());
    const std::vector<PolledJobStatus> polled = co_await read_batch(ids);
    std::map<JobId, PolledJobStatus> statuses;
    for (std::size_t i = 0; i < ids.size(); ++i) statuses.emplace(ids[i], polled[i]);
    for (const auto& poll : batch) poll.status.set(statuses.at(poll.id));
    co_await loop_.sleep(net::seconds(constants::kPollBatchIntervalSeconds));
  }
  running_ = false;
}

net::Task<std::vector<PolledJobStatus>> PollBatcher::read_batch(std::vector<JobId> ids) {
  std::optional<std::vector<PolledJobStatus>> leader_statuses = co_await sources_.poll_leader(ids);
  std::vector<PolledJobStatus> statuses =
      leader_statuses ? *std::move(leader_statuses)
                      : std::vector<PolledJobStatus>(ids.size(), unavailable_status());
  // Jobs still at 503 are read by this controller: perhaps only the leader cannot reach the state service.
  std::vector<std::size_t> positions;
  std::vector<JobId> remaining_ids;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    if (statuses[i].status != http_status::kServiceUnavailable) continue;
    positions.push_back(i);
    remaining_ids.push_back(ids[i]);
  }
  if (positions.empty()) co_return statuses;
  const std::vector<PolledJobStatus> read = co_await sources_.read_job_statuses(std::move(remaining_ids));
  for (std::size_t i = 0; i < positions.size(); ++i) statuses[positions[i]] = read[i];
  co_return statuses;
}

}  // namespace dockdyke::app
