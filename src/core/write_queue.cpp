#include "core/write_queue.hpp"

#include <algorithm>
#include <utility>

#include "core/job_records.hpp"
#include "core/state_keys.hpp"

namespace dockdyke::core {

WriteQueue::WriteQueue(ClusterState& state, TaskLog& task_log, GangRecords& gang_records)
    : state_(state),
      task_log_(task_log),
      gang_records_(gang_records),
      // A terminal record takes two changes: a put and a deletion.
      max_jobs_per_write_(std::max<std::size_t>(1, state.config().max_transaction_changes / 2)) {}

void WriteQueue::request_terminal_record(Job& job) {
  job.terminal_write_pending = true;
  terminal_jobs_.push_back(job.spec.id);
}

std::optional<double> WriteQueue::next_due_in(Time now) const {
  if (!terminal_jobs_.empty() || !gang_records_.empty()) return 0;
  return task_log_.next_segment_due_in(now);
}

std::optional<StateWrite> WriteQueue::next(Time now) {
  if (auto terminal = next_terminal_records()) return terminal;
  if (auto part = next_gang_part()) return part;
  return next_segment(now);
}

StateWrite WriteQueue::begin_write(InFlightWrite in_flight, wire::Transaction transaction, bool urgent) {
  StateWrite write{next_number_++, in_flight.completed_jobs, urgent, std::move(transaction)};
  in_flight_.emplace(write.number, std::move(in_flight));
  return write;
}

std::optional<StateWrite> WriteQueue::next_terminal_records() {
  InFlightWrite in_flight;
  wire::Transaction transaction;
  while (!terminal_jobs_.empty() && in_flight.completed_jobs.size() < max_jobs_per_write_) {
    const JobId id = std::move(terminal_jobs_.front());
    terminal_jobs_.pop_front();
    Job* job = state_.find_job(id);
    if (!job || job->cancelled) continue;
    job->terminal_write_pending = true;
    job->unpersisted.clear();
    transaction.preconditions.push_back({key::active_job(id), job->version});
    transaction.puts.push_back(
        {key::terminal_job(id), to_json(TerminalRecord{wire::JobState::done, job->done_count}), {}});
    transaction.deletions.push_back(key::active_job(id));
    in_flight.completed_jobs.push_back(id);
  }
  if (in_flight.completed_jobs.empty()) return std::nullopt;
  return begin_write(std::move(in_flight), std::move(transaction), true);
}

std::optional<StateWrite> WriteQueue::next_gang_part() {
  auto part = gang_records_.next_part();
  if (!part) return std::nullopt;
  InFlightWrite in_flight;
  in_flight.gang = part->attempt;
  return begin_write(std::move(in_flight), std::move(part->transaction), true);
}

std::optional<StateWrite> WriteQueue::next_segment(Time now) {
  const auto segment = task_log_.next_segment(now);
  if (!segment) return std::nullopt;
  InFlightWrite in_flight;
  in_flight.segment = segment->number;
  wire::Transaction transaction;
  transaction.preconditions.push_back({segment->key, Revision(0)});
  transaction.puts.push_back({segment->key, to_json(segment->record), {}});
  return begin_write(std::move(in_flight), std::move(transaction), false);
}

std::optional<WriteQueue::InFlightWrite> WriteQueue::end_write(std::uint64_t number) {
  auto found = in_flight_.find(number);
  if (found == in_flight_.end()) return std::nullopt;
  InFlightWrite in_flight = std::move(found->second);
  in_flight_.erase(found);
  return in_flight;
}

std::vector<JobId> WriteQueue::on_applied(std::uint64_t number) {
  auto in_flight = end_write(number);
  if (!in_flight) return {};
  if (in_flight->segment != 0) task_log_.confirm(in_flight->segment);
  if (in_flight->gang) gang_records_.confirm(*in_flight->gang);
  return std::move(in_flight->completed_jobs);
}

std::vector<JobId> WriteQueue::on_conflicted(std::uint64_t number,
                                             const std::vector<std::string>& failed_keys) {
  const auto in_flight = end_write(number);
  if (!in_flight) return {};
  // A conflict means that the segment exists: a previous transmission stored it, but its response was lost.
  // The key is used by this write only.
  if (in_flight->segment != 0) task_log_.confirm(in_flight->segment);
  // The same applies to a part of a gang record, unless its job is no longer active: then the part was not
  // stored.
  const bool job_ended = std::any_of(failed_keys.begin(), failed_keys.end(),
                                     [](const auto& key) { return key.starts_with(key::kActivePrefix); });
  if (in_flight->gang && !job_ended) gang_records_.confirm(*in_flight->gang);
  std::vector<JobId> no_longer_active;
  for (const auto& id : in_flight->completed_jobs) {
    const bool record_deleted =
        std::find(failed_keys.begin(), failed_keys.end(), key::active_job(id)) != failed_keys.end();
    if (record_deleted) {
      no_longer_active.push_back(id);
    } else {
      terminal_jobs_.push_back(id);
    }
  }
  return no_longer_active;
}

Job* WriteQueue::on_rejected(std::uint64_t number) {
  // The transaction exceeds a limit that is not in the settings and would be rejected again, so smaller ones
  // follow.
  const auto in_flight = end_write(number);
  if (!in_flight) return nullptr;
  if (in_flight->segment != 0) {
    task_log_.reject(in_flight->segment);
    return nullptr;
  }
  if (in_flight->gang) return gang_records_.reject(*in_flight->gang);
  max_jobs_per_write_ = std::max<std::size_t>(1, max_jobs_per_write_ / 2);
  for (const auto& id : in_flight->completed_jobs) terminal_jobs_.push_back(id);
  return nullptr;
}

}  // namespace dockdyke::core
