#include "app/job_status_reader.hpp"

#include <algorithm>
#include <utility>

#include "constants.hpp"
#include "net/http_status.hpp"

namespace dockdyke::app {

using peer::PolledJobStatus;
using store::Outcome;
namespace http_status = net::http_status;

JobStatusReader::JobStatusReader(net::Loop& loop, store::StateClient& state,
                                 const core::ClusterConfig& config, const LeadershipState& leadership,
                                 const TerminalJobCache& terminal_jobs, JobReader& jobs)
    : loop_(loop),
      state_(state),
      config_(config),
      leadership_(leadership),
      terminal_jobs_(terminal_jobs),
      jobs_(jobs) {}

net::Task<std::vector<PolledJobStatus>> JobStatusReader::read(std::vector<JobId> ids) {
  Batch batch;
  batch.deadline = loop_.now() + net::seconds(constants::kPollTimeoutSeconds);
  batch.statuses.assign(ids.size(), PolledJobStatus{http_status::kServiceUnavailable, {}});
  batch.ids = std::move(ids);
  if (state_.unreachable()) {
    answer_from_cache(batch);
    co_return std::move(batch.statuses);
  }
  co_await compare_active_jobs(batch);
  if (!batch.individual.empty()) co_await read_individually(batch);
  co_return std::move(batch.statuses);
}

void JobStatusReader::answer_from_cache(Batch& batch) const {
  for (std::size_t i = 0; i < batch.ids.size(); ++i)
    if (const auto* cached = terminal_jobs_.find(batch.ids[i]))
      batch.statuses[i] = {http_status::kOk, *cached};
}

JobStatusReader::Comparison JobStatusReader::next_comparison(Batch& batch) const {
  const std::size_t max_preconditions = constants::kPreconditionsPerChange * config_.max_transaction_changes;
  Comparison comparison;
  for (; batch.next < batch.ids.size() && comparison.positions.size() < max_preconditions; ++batch.next) {
    const JobId& id = batch.ids[batch.next];
    const auto progress = leadership_.progress(id);
    if (!progress || terminal_jobs_.contains(id)) {
      batch.individual.push_back(batch.next);
      continue;
    }
    comparison.transaction.preconditions.push_back({core::key::active_job(id), progress->version});
    comparison.positions.push_back(batch.next);
    comparison.statuses.push_back(progress->status);
  }
  return comparison;
}

net::Task<void> JobStatusReader::compare_active_jobs(Batch& batch) {
  while (batch.next < batch.ids.size()) {
    // The statuses are taken before the call. The preconditions prove that they still held when it was
    // handled, whatever becomes of the jobs and of the leadership meanwhile.
    Comparison comparison = next_comparison(batch);
    if (comparison.positions.empty()) break;
    store::Result<store::CommitResult> committed = co_await state_.commit(
        std::move(comparison.transaction), store::RequestPriority::normal, batch.deadline);
    if (!committed && committed.outcome != Outcome::conflict) continue;  // can't be told: 503
    const auto& failed = committed.value.failed_preconditions;
    const bool any_may_have_changed = !committed && failed.empty();
    for (std::size_t i = 0; i < comparison.positions.size(); ++i) {
      const auto position = comparison.positions[i];
      const auto key = core::key::active_job(batch.ids[position]);
      const bool changed = std::find(failed.begin(), failed.end(), key) != failed.end();
      if (changed || any_may_have_changed) {
        batch.individual.push_back(position);  // terminal by now
      } else {
        batch.statuses[position] = {http_status::kOk, comparison.statuses[i]};
      }
    }
  }
}

net::Task<void> JobStatusReader::read_individually(Batch& batch) {
  PendingLookups pending{batch.individual.size(), net::OneShot<bool>(loop_)};
  for (const auto position : batch.individual) net::spawn(read_one(batch, position, pending));
  // Every lookup ends by the deadline of its own calls, and all write into `batch`: none may be left behind.
  while (pending.count > 0)
    co_await pending.all_done.wait_until(loop_.now() + net::seconds(constants::kPollTimeoutSeconds));
}

net::Task<void> JobStatusReader::read_one(Batch& batch, std::size_t position, PendingLookups& pending) {
  const JobLookup job = co_await jobs_.read(batch.ids[position], batch.deadline);
  PolledJobStatus& polled = batch.statuses[position];
  if (job.outcome == Outcome::ok) polled = {http_status::kOk, job.status};
  if (job.outcome == Outcome::missing) polled.status = http_status::kNotFound;
  if (--pending.count == 0) pending.all_done.set(true);
}

}  // namespace dockdyke::app
