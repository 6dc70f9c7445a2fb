#include "core/task_log.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "constants.hpp"
#include "core/state_keys.hpp"

namespace dockdyke::core {

namespace {

std::size_t decimal_digits(std::uint64_t number) {
  return std::to_string(number).size();
}

// Returns an upper bound of the encoded size of a task in a segment, given the task that precedes it, if any.
std::size_t max_encoded_bytes(const TaskRecord& task, const TaskRecord* preceding) {
  constexpr std::size_t kPunctuationBytes = 8;  // quotes, colon, comma and braces around a machine's id
  std::size_t bytes = decimal_digits(task.index) + 2;
  if (task.done) return bytes;
  if (task.attempt != 1) bytes += 1 + decimal_digits(task.attempt);
  if (!preceding || preceding->done || preceding->machine != task.machine)
    bytes += task.machine.value.size() + kPunctuationBytes;
  return bytes;
}

TaskRecord make_record(const Job& job, TaskIndex index) {
  TaskRecord task{index, job.tasks[index].attempt, {}, job.tasks[index].done};
  if (auto assigned = job.assignments.find(index); assigned != job.assignments.end())
    task.machine = assigned->second.machine->id;
  return task;
}

}  // namespace

TaskLog::TaskLog(ClusterState& state, EffectQueue& effects)
    : state_(state), effects_(effects), max_bytes_(state.config().max_record_bytes()) {}

void TaskLog::mark_unpersisted(Job& job, TaskIndex index) {
  TaskProgress& task = job.tasks[index];
  if (job.is_gang() || job.cancelled || task.first_segment == TaskProgress::kUnpersisted) return;
  task.first_segment = TaskProgress::kUnpersisted;
  if (job.unpersisted.empty()) unpersisted_jobs_.push_back(job.serial);
  job.unpersisted.push_back(index);
}

// ---- Writing ----------------------------------------------------------------------------------------------

std::optional<double> TaskLog::next_segment_due_in(Time now) const {
  if (unpersisted_jobs_.empty() || in_flight_ >= constants::kMaxSegmentsInFlight) return std::nullopt;
  // Each segment accounts for kWritesPerSegment writes of the leader's rate limit, which leaves the rest to
  // other writes.
  const double leader_rate = state_.config().write_rps * constants::kLeaderRateFraction;
  const double min_interval = constants::kWritesPerSegment / leader_rate;
  double interval = constants::kHousekeepingIntervalSeconds;
  if (segment_requested_) interval = last_segment_full_ ? 0 : min_interval;
  return std::max(0.0, last_segment_at_ + interval - now);
}

std::optional<PendingSegment> TaskLog::next_segment(Time now) {
  const auto due = next_segment_due_in(now);
  if (!due || *due > 0) return std::nullopt;
  const SegmentNumber number = next_number_;
  SegmentDraft draft;
  last_segment_full_ = append_unpersisted_tasks(draft, number);
  segment_requested_ = segment_requested_ && last_segment_full_;
  last_segment_at_ = now;
  if (draft.entries.empty()) return std::nullopt;
  compact_into(draft);

  ++next_number_;
  ++in_flight_;
  const std::string key = key::segment(state_.token(), next_key_number_++);
  segments_.emplace(number, Segment{key, std::move(draft.entries), 0, false});
  return PendingSegment{number, key, std::move(draft.record)};
}

bool TaskLog::append_unpersisted_tasks(SegmentDraft& draft, SegmentNumber number) {
  while (!unpersisted_jobs_.empty()) {
    Job* job = state_.find_job(unpersisted_jobs_.front());
    if (!job || !job->unfinished()) {
      // The job's terminal record replaces its entries, and tasks of a cancelled job are not written any
      // more.
      unpersisted_jobs_.pop_front();
      continue;
    }
    auto& tasks = job->unpersisted;
    std::sort(tasks.begin(), tasks.end());
    const std::size_t added = append_tasks(draft, *job, tasks);
    for (std::size_t i = 0; i < added; ++i) job->tasks[tasks[i]].first_segment = number;
    const bool full = added < tasks.size();
    tasks.erase(tasks.begin(), tasks.begin() + static_cast<std::ptrdiff_t>(added));
    if (tasks.empty()) unpersisted_jobs_.pop_front();
    if (full) return true;
  }
  return false;
}

std::size_t TaskLog::append_tasks(SegmentDraft& draft, const Job& job,
                                  const std::vector<TaskIndex>& tasks) const {
  constexpr std::size_t kJobOverheadBytes = 40;  // quotes and field names
  const std::size_t bytes_without_job = draft.bytes;
  const std::size_t job_bytes = job.spec.id.value.size() + kJobOverheadBytes;
  if (draft.bytes + job_bytes > max_bytes_) return 0;
  draft.bytes += job_bytes;
  auto& out = draft.record[job.spec.id];
  std::size_t added = 0;
  for (auto index : tasks) {
    TaskRecord task = make_record(job, index);
    const std::size_t size = max_encoded_bytes(task, out.empty() ? nullptr : &out.back());
    if (draft.bytes + size > max_bytes_) break;
    draft.bytes += size;
    out.push_back(std::move(task));
    draft.entries.push_back({job.serial, index});
    ++added;
  }
  if (out.empty()) {
    draft.record.erase(job.spec.id);
    draft.bytes = bytes_without_job;
  }
  return added;
}

// ---- Compaction -------------------------------------------------------------------------------------------

std::size_t TaskLog::max_segments() const {
  std::size_t live_entries = 0;
  for (const auto& [number, segment] : segments_) live_entries += segment.live_entries;
  return constants::kMinSegmentsKept + live_entries / constants::kLiveEntriesPerSegment;
}

bool TaskLog::entry_current(SegmentNumber number, const Entry& entry) const {
  const Job* job = state_.find_job(entry.job_serial);
  if (!job || job->complete()) return false;
  const TaskProgress& task = job->tasks[entry.index];
  // A task that has changed since the entry was written is appended as an unpersisted task instead.
  return task.durable_segment == number && task.durable();
}

void TaskLog::compact_into(SegmentDraft& draft) const {
  std::size_t surplus = segments_.size() - std::min(segments_.size(), max_segments());
  std::map<std::uint32_t, std::vector<TaskIndex>> current;
  std::size_t copied = 0;
  for (auto oldest = segments_.begin(); oldest != segments_.end() && surplus > 0; ++oldest, --surplus) {
    const auto& [number, segment] = *oldest;
    if (!segment.confirmed || copied >= constants::kLiveEntriesPerSegment) break;
    for (const auto& entry : segment.entries) {
      if (!entry_current(number, entry)) continue;
      current[entry.job_serial].push_back(entry.index);
      ++copied;
    }
  }
  for (auto& [serial, tasks] : current) {
    std::sort(tasks.begin(), tasks.end());
    append_tasks(draft, *state_.find_job(serial), tasks);
  }
}

void TaskLog::release_entry(SegmentNumber number) {
  auto found = segments_.find(number);
  if (found == segments_.end() || --found->second.live_entries > 0) return;
  add_obsolete_key(found->second.key);
  segments_.erase(found);
}

void TaskLog::release_entries(const Job& job) {
  for (const auto& task : job.tasks)
    if (task.durable_segment != 0) release_entry(task.durable_segment);
}

void TaskLog::delete_obsolete_keys() {
  if (!obsolete_keys_.empty()) effects_.push(DeleteKeys{std::exchange(obsolete_keys_, {})});
}

// ---- Results of writes ------------------------------------------------------------------------------------

void TaskLog::confirm(SegmentNumber number) {
  --in_flight_;
  auto found = segments_.find(number);
  if (found == segments_.end()) return;
  Segment& segment = found->second;
  segment.confirmed = true;
  segment.live_entries = 1;  // keeps the segment until its entries are counted; released below
  for (const auto& entry : segment.entries) {
    Job* job = state_.find_job(entry.job_serial);
    if (!job) continue;
    TaskProgress& task = job->tasks[entry.index];
    if (task.durable_segment >= number) continue;  // a newer segment was confirmed before this one
    if (task.durable_segment != 0) release_entry(task.durable_segment);
    task.durable_segment = number;
    ++segment.live_entries;
  }
  release_entry(number);
}

void TaskLog::reject(SegmentNumber number) {
  max_bytes_ = std::max(constants::kMinSegmentBytes, max_bytes_ / 2);
  --in_flight_;
  auto found = segments_.find(number);
  if (found == segments_.end()) return;
  for (const auto& entry : found->second.entries) {
    Job* job = state_.find_job(entry.job_serial);
    // Entries that were copied by compaction are still in an older segment.
    if (job && job->tasks[entry.index].first_segment == number) mark_unpersisted(*job, entry.index);
  }
  segments_.erase(found);
  request_segment();
}

// ---- Recovery ---------------------------------------------------------------------------------------------

SegmentNumber TaskLog::adopt_segment(const std::string& key) {
  const SegmentNumber number = next_number_++;
  segments_.emplace(number, Segment{key, {}, 0, true});
  return number;
}

void TaskLog::adopt_entry(SegmentNumber number, Job& job, TaskIndex index) {
  TaskProgress& task = job.tasks[index];
  if (task.durable_segment != 0) --segments_.at(task.durable_segment).live_entries;
  task.durable_segment = number;
  task.first_segment = number;
  Segment& segment = segments_.at(number);
  ++segment.live_entries;
  segment.entries.push_back({job.serial, index});
}

void TaskLog::delete_empty_segments() {
  for (auto segment = segments_.begin(); segment != segments_.end();) {
    const bool empty = segment->second.live_entries == 0;
    if (empty) add_obsolete_key(segment->second.key);
    segment = empty ? segments_.erase(segment) : std::next(segment);
  }
}

}  // namespace dockdyke::core
