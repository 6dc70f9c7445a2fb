#include "app/job_status_reader.hpp"

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "net/http_status.hpp"

namespace dockdyke::app {

using peer::PolledJobStatus;
using store::Outcome;
namespace http_status = net::http_status;

JobStatusReader::JobStatusReader(net::Loop& loop, store::StateClient& state_client,
                                 const core::ClusterConfig& config, const LeadershipState& leadership,
                                 const TerminalJobCache& terminal_jobs, JobReader& job_reader)
    : loop_(loop),
      state_client_(state_client),
      config_(config),
      leadership_(leadership),
      terminal_jobs_(terminal_jobs),
      job_reader_(job_reader) {}

net::Task<std::vector<PolledJobStatus>> JobStatusReader::read(std::vector<JobId> ids) {
  Batch batch;
  batch.deadline = loop_.now() + net::seconds(constants::kPollTimeoutSeconds);
  batch.statuses.assign(ids.size(), PolledJobStatus{http_status::kServiceUnavailable, {}});
  batch.ids = std::move(ids);
  if (state_client_.unreachable()) {
    fill_from_cache(batch);
    co_return std::move(batch.statuses);
  }
  co_await compare_active_jobs(batch);
  if (!batch.individual_positions.empty()) co_await read_individually(batch);
  co_return std::move(batch.statuses);
}

void JobStatusReader::fill_from_cache(Batch& batch) const {
  for (std::size_t i = 0; i < batch.ids.size(); ++i)
    if (const auto* cached = terminal_jobs_.find(batch.ids[i]))
      batch.statuses[i] = {http_status::kOk, *cached};
}

JobStatusReader::Comparison JobStatusReader::next_comparison(Batch& batch) const {
  const std::size_t max_preconditions = constants::kPreconditionsPerChange * config_.max_transaction_changes;
  Comparison comparison;
  for (; batch.next_position < batch.ids.size() && comparison.positions.size() < max_preconditions;
       ++batch.next_position) {
    const JobId& id = batch.ids[batch.next_position];
    const auto progress = leadership_.progress(id);
    if (!progress || terminal_jobs_.contains(id)) {
      batch.individual_positions.push_back(batch.next_position);
      continue;
    }
    comparison.transaction.preconditions.push_back({core::key::active_job(id), progress->version});
    comparison.positions.push_back(batch.next_position);
    comparison.statuses.push_back(progress->status);
  }
  return comparison;
}

net::Task<void> JobStatusReader::compare_active_jobs(Batch& batch) {
  while (batch.next_position < batch.ids.size()) {
    // The statuses are copied before the call. If the preconditions hold, the statuses were still valid when
    // the state service handled the call, even if this controller is no longer the leader.
    Comparison comparison = next_comparison(batch);
    if (comparison.positions.empty()) break;
    store::Result<store::CommitResult> committed = co_await state_client_.commit(
        std::move(comparison.transaction), store::RequestPriority::normal, batch.deadline);
    if (!committed && committed.outcome != Outcome::conflict) continue;  // keep status 503
    const auto& failed = committed.value.failed_preconditions;
    // A conflict without a list of failed preconditions does not show which records changed.
    const bool any_may_have_changed = !committed && failed.empty();
    for (std::size_t i = 0; i < comparison.positions.size(); ++i) {
      const auto position = comparison.positions[i];
      const auto key = core::key::active_job(batch.ids[position]);
      const bool changed = std::find(failed.begin(), failed.end(), key) != failed.end();
      if (changed || any_may_have_changed) {
        batch.individual_positions.push_back(position);  // the job may be terminal now
      } else {
        batch.statuses[position] = {http_status::kOk, comparison.statuses[i]};
      }
    }
  }
}

net::Task<void> JobStatusReader::read_individually(Batch& batch) {
  PendingLookups pending{batch.individual_positions.size(), net::OneShot<bool>(loop_)};
  for (const auto position : batch.individual_positions) net::spawn(read_one(batch, position, pending));
  // All lookups refer to `batch` and `pending`, so each must finish before this function returns. The
  // deadlines of their calls bound the wait.
  while (pending.count > 0)
    co_await pending.all_done.wait_until(loop_.now() + net::seconds(constants::kPollTimeoutSeconds));
}

net::Task<void> JobStatusReader::read_one(Batch& batch, std::size_t position, PendingLookups& pending) {
  const JobLookup job = co_await job_reader_.read(batch.ids[position], batch.deadline);
  PolledJobStatus& polled = batch.statuses[position];
  if (job.outcome == Outcome::ok) polled = {http_status::kOk, job.status};
  if (job.outcome == Outcome::missing) polled.status = http_status::kNotFound;
  if (--pending.count == 0) pending.all_done.set(true);
}

}  // namespace dockdyke::app
