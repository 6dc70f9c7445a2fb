// What happened to tasks, on record: pages that hold the changes of many jobs, and the ends of jobs.
#include <algorithm>
#include <iterator>
#include <utility>

#include "constants.hpp"
#include "core/cluster.hpp"

namespace dockdyke::core {

namespace {

std::size_t digits(std::uint64_t number) {
  return std::to_string(number).size();
}

// Bytes of a task in a page at the most, given the one written before it.
std::size_t bytes_of(const TaskRecord& task, const TaskRecord* before) {
  constexpr std::size_t kPunctuation = 8;  // quotes, colon, comma and braces around a machine's name
  std::size_t bytes = digits(task.index) + 2;
  if (task.done) return bytes;
  if (task.attempt != 1) bytes += 1 + digits(task.attempt);
  if (!before || before->done || before->machine != task.machine)
    bytes += task.machine.value.size() + kPunctuation;
  return bytes;
}

}  // namespace

void Cluster::touch(Job& job, TaskIndex index) {
  TaskProgress& slot = job.tasks[index];
  if (job.is_gang() || job.cancelled || slot.first_segment == TaskProgress::kUnpersisted) return;
  slot.first_segment = TaskProgress::kUnpersisted;
  if (job.unpersisted.empty()) unwritten_jobs_.push_back(job.serial);
  job.unpersisted.push_back(index);
}

std::optional<double> Cluster::next_write_due_in(Time now) const {
  if (!unfinished_finals_.empty() || !unwritten_parts_.empty()) return 0;
  if (unwritten_jobs_.empty() || pages_in_flight_ >= constants::kMaxSegmentsInFlight) return std::nullopt;
  // A page costs its own write and later that of its removal; the rest of the leader's writes are others'.
  const double spacing = constants::kWritesPerSegment / (config_.write_rps * constants::kLeaderRateShare);
  const double wait = page_wanted_ ? (page_was_full_ ? 0 : spacing) : constants::kHousekeepingInterval;
  return std::max(0.0, paged_at_ + wait - now);
}

std::optional<StateWrite> Cluster::next_write(Time now) {
  if (auto finals = next_finals()) return finals;
  if (auto part = next_gang_part()) return part;
  const auto due = next_write_due_in(now);
  if (!due || *due > 0) return std::nullopt;
  return next_page(now);
}

std::optional<StateWrite> Cluster::next_finals() {
  StateWrite save;
  InFlight in_flight;
  while (!unfinished_finals_.empty() && in_flight.finals.size() < ends_per_save_) {
    const JobId id = std::move(unfinished_finals_.front());
    unfinished_finals_.pop_front();
    auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.cancelled) continue;
    Job& job = found->second;
    job.terminal_write_pending = true;
    job.unpersisted.clear();
    save.transaction.preconditions.push_back({key::active_job(id), job.version});
    save.transaction.puts.push_back(
        {key::terminal_job(id), to_json(TerminalRecord{wire::JobState::done, job.done_count}), {}});
    save.transaction.deletions.push_back(key::active_job(id));
    in_flight.finals.push_back(id);
  }
  if (in_flight.finals.empty()) return std::nullopt;
  save.number = next_save_number_++;
  save.urgent = true;
  save.completed_jobs = in_flight.finals;
  saves_.emplace(save.number, std::move(in_flight));
  return save;
}

std::size_t Cluster::add_to_page(SegmentRecord& record, TaskLogSegment& page, std::size_t& bytes,
                                 const Job& job, const std::vector<TaskIndex>& tasks) const {
  constexpr std::size_t kAroundJob = 40;  // quotes and the names of the three kinds of entry
  const std::size_t room = page_bytes_;
  const std::size_t before_job = bytes;
  if (bytes + job.spec.id.value.size() + kAroundJob > room) return 0;
  bytes += job.spec.id.value.size() + kAroundJob;
  auto& out = record[job.spec.id];
  std::size_t added = 0;
  for (auto index : tasks) {
    TaskRecord task{index, job.tasks[index].attempt, {}, job.tasks[index].done};
    if (auto placed = job.assignments.find(index); placed != job.assignments.end())
      task.machine = placed->second.machine->id;
    const std::size_t size = bytes_of(task, out.empty() ? nullptr : &out.back());
    if (bytes + size > room) break;
    bytes += size;
    out.push_back(std::move(task));
    page.entries.push_back({job.serial, index});
    ++added;
  }
  if (out.empty()) {
    record.erase(job.spec.id);
    bytes = before_job;
  }
  return added;
}

std::size_t Cluster::pages_kept() const {
  std::size_t live = 0;
  for (const auto& [number, page] : pages_) live += page.live;
  return constants::kMinSegmentsKept + live / constants::kLiveEntriesPerSegment;
}

void Cluster::carry_over_oldest(SegmentRecord& record, TaskLogSegment& page, std::size_t& bytes) const {
  std::size_t surplus = pages_.size() - std::min(pages_.size(), pages_kept());
  std::map<std::uint32_t, std::vector<TaskIndex>> live;
  std::size_t carried = 0;
  for (auto oldest = pages_.begin(); oldest != pages_.end() && surplus > 0; ++oldest, --surplus) {
    if (!oldest->second.confirmed || carried >= constants::kLiveEntriesPerSegment) break;
    for (const auto& entry : oldest->second.entries) {
      auto job = by_serial_.find(entry.job);
      if (job == by_serial_.end() || job->second->complete()) continue;
      const TaskProgress& slot = job->second->tasks[entry.index];
      // A task whose state has changed since comes with its change.
      if (slot.durable_segment != oldest->first || !slot.durable()) continue;
      live[entry.job].push_back(entry.index);
      ++carried;
    }
  }
  for (auto& [serial, tasks] : live) {
    std::sort(tasks.begin(), tasks.end());
    add_to_page(record, page, bytes, *by_serial_.at(serial), tasks);
  }
}

std::optional<StateWrite> Cluster::next_page(Time now) {
  const SegmentNumber number = next_page_number_;
  TaskLogSegment page;
  SegmentRecord record;
  std::size_t bytes = 2;
  bool full = false;
  while (!unwritten_jobs_.empty() && !full) {
    auto found = by_serial_.find(unwritten_jobs_.front());
    if (found == by_serial_.end() || found->second->complete() || found->second->cancelled) {
      // Its final record tells all, and a cancelled job's tasks stay as they were last recorded.
      unwritten_jobs_.pop_front();
      continue;
    }
    Job& job = *found->second;
    std::sort(job.unpersisted.begin(), job.unpersisted.end());
    const std::size_t added = add_to_page(record, page, bytes, job, job.unpersisted);
    for (std::size_t i = 0; i < added; ++i) job.tasks[job.unpersisted[i]].first_segment = number;
    full = added < job.unpersisted.size();
    job.unpersisted.erase(job.unpersisted.begin(),
                          job.unpersisted.begin() + static_cast<std::ptrdiff_t>(added));
    if (job.unpersisted.empty()) unwritten_jobs_.pop_front();
  }
  page_was_full_ = full;
  page_wanted_ = page_wanted_ && full;
  paged_at_ = now;
  if (page.entries.empty()) return std::nullopt;
  carry_over_oldest(record, page, bytes);

  ++next_page_number_;
  ++pages_in_flight_;
  page.key = key::segment(token_, next_page_key_++);
  StateWrite save;
  save.number = next_save_number_++;
  save.transaction.preconditions.push_back({page.key, Revision(0)});
  save.transaction.puts.push_back({page.key, to_json(record), {}});
  pages_.emplace(number, std::move(page));
  saves_.emplace(save.number, InFlight{number, {}, {}});
  return save;
}

void Cluster::entry_dead(SegmentNumber number) {
  auto page = pages_.find(number);
  if (page == pages_.end() || --page->second.live > 0) return;
  dead_keys_.push_back(page->second.key);
  pages_.erase(page);
}

void Cluster::page_confirmed(SegmentNumber number) {
  --pages_in_flight_;
  auto found = pages_.find(number);
  if (found == pages_.end()) return;
  TaskLogSegment& page = found->second;
  page.confirmed = true;
  page.live = 1;  // kept while it is being counted
  for (const auto& entry : page.entries) {
    auto job = by_serial_.find(entry.job);
    if (job == by_serial_.end()) continue;
    TaskProgress& slot = job->second->tasks[entry.index];
    if (slot.durable_segment >= number) continue;  // a later page was confirmed before this one
    if (slot.durable_segment != 0) entry_dead(slot.durable_segment);
    slot.durable_segment = number;
    ++page.live;
  }
  entry_dead(number);
}

void Cluster::forget_entries(const Job& job) {
  for (const auto& slot : job.tasks)
    if (slot.durable_segment != 0) entry_dead(slot.durable_segment);
}

void Cluster::discard(std::vector<std::string> keys) {
  effects_.push(DeleteKeys{std::move(keys)});
}

std::vector<JobId> Cluster::save_ended(std::uint64_t number, const std::vector<std::string>& failed) {
  auto save = saves_.find(number);
  if (save == saves_.end()) return {};
  const InFlight in_flight = std::move(save->second);
  saves_.erase(save);
  // A page in conflict exists: an earlier try wrote it whose answer got lost. Nobody else uses its key.
  if (in_flight.page != 0) page_confirmed(in_flight.page);
  // The same goes for a gang's part, unless its job is no longer open: then nothing was written.
  const bool job_over = std::any_of(failed.begin(), failed.end(),
                                    [](const auto& key) { return key.starts_with(key::kActivePrefix); });
  if (in_flight.gang && !job_over) gang_part_confirmed(*in_flight.gang);
  return in_flight.finals;
}

void Cluster::end_on_record(const JobId& id, Time now) {
  auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  found->second.terminal_write_pending = false;
  drop_if_gone(found->second, now);
}

void Cluster::on(const WriteApplied& event, Time now) {
  for (const auto& id : save_ended(event.number, {})) end_on_record(id, now);
}

void Cluster::page_rejected(SegmentNumber number) {
  --pages_in_flight_;
  auto found = pages_.find(number);
  if (found == pages_.end()) return;
  // What was new in it is written again, in smaller pages.
  for (const auto& entry : found->second.entries) {
    auto job = by_serial_.find(entry.job);
    if (job == by_serial_.end() || job->second->tasks[entry.index].first_segment != number) continue;
    touch(*job->second, entry.index);
  }
  pages_.erase(found);
  page_wanted_ = true;
}

void Cluster::on(const WriteRejected& event, Time) {
  // A limit that the settings did not tell of. The same transaction would be refused for ever.
  auto save = saves_.find(event.number);
  if (save == saves_.end()) return;
  const InFlight in_flight = std::move(save->second);
  saves_.erase(save);
  if (in_flight.page != 0) {
    page_bytes_ = std::max(constants::kMinSegmentBytes, page_bytes_ / 2);
    page_rejected(in_flight.page);
  } else if (in_flight.gang) {
    part_bytes_ = std::max(constants::kMinSegmentBytes, part_bytes_ / 2);
    gang_part_rejected(*in_flight.gang);
  } else {
    ends_per_save_ = std::max<std::size_t>(1, ends_per_save_ / 2);
    for (const auto& id : in_flight.finals) unfinished_finals_.push_back(id);
  }
}

void Cluster::on(const WriteRateLowered& event, Time) {
  config_.write_rps = std::min(config_.write_rps, event.per_second);
}

void Cluster::on(const WriteConflicted& event, Time now) {
  for (const auto& id : save_ended(event.number, event.failed_keys)) {
    const bool off_record = std::find(event.failed_keys.begin(), event.failed_keys.end(),
                                      key::active_job(id)) != event.failed_keys.end();
    if (off_record) {
      // By an earlier try or as a cancellation, whose copy nobody else would remove.
      discard({key::terminating_job(id)});
      end_on_record(id, now);
    } else {
      unfinished_finals_.push_back(id);
    }
  }
}

}  // namespace dockdyke::core
