// Log of task changes from which a new leader recovers the state of all tasks.
//
// Changes of many jobs are written together in segments, so the number of writes does not grow with the
// number of tasks. The newest segment with an entry of a task determines its state. Compaction bounds the
// number of segments: each new segment includes copies of live entries of the oldest ones, and a segment
// without live entries is deleted.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/cluster_state.hpp"
#include "core/effects.hpp"
#include "core/task_records.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

// A segment that is to be written under a new key.
struct PendingSegment {
  SegmentNumber number = 0;
  std::string key;
  SegmentRecord record;
};

class TaskLog {
 public:
  TaskLog(ClusterState& state, EffectQueue& effects);

  // Marks the task's state as changed, so that it is written to a segment. Has no effect on gangs, which have
  // separate records, and on cancelled jobs, whose tasks are not written any more.
  void mark_unpersisted(Job& job, TaskIndex index);
  // Requests that the next segment is written soon, since a command depends on it.
  void request_segment() { segment_requested_ = true; }

  // Returns the seconds until the next segment may be written, or std::nullopt if no task has changed or too
  // many segments are in flight.
  std::optional<double> next_segment_due_in(Time now) const;
  // Returns a segment with as many changes as fit, or std::nullopt if none is due or there are no changes.
  std::optional<PendingSegment> next_segment(Time now);
  // Marks the segment as durable.
  void confirm(SegmentNumber number);
  // Handles a segment that the state service rejected as too large: its changes are written again in smaller
  // segments.
  void reject(SegmentNumber number);

  // Releases all entries of a job that has ended.
  void release_entries(const Job& job);

  // ---- Recovery of the segments of previous leaders ----
  // Adds a stored segment and returns its number.
  SegmentNumber adopt_segment(const std::string& key);
  // Adds a task's entry to an adopted segment. It replaces the task's entry in older segments.
  void adopt_entry(SegmentNumber number, Job& job, TaskIndex index);
  // Deletes the segments without live entries.
  void delete_empty_segments();

  std::size_t segment_count() const { return segments_.size(); }

  // Adds a key that the next `delete_obsolete_keys` deletes.
  void add_obsolete_key(std::string key) { obsolete_keys_.push_back(std::move(key)); }
  void delete_obsolete_keys();

 private:
  struct Entry {
    std::uint32_t job_serial = 0;
    TaskIndex index = 0;
  };
  struct Segment {
    std::string key;
    std::vector<Entry> entries;
    std::size_t live_entries = 0;  // entries that no newer durable segment replaces
    bool confirmed = false;
  };
  // A segment that is being filled.
  struct SegmentDraft {
    SegmentRecord record;
    std::vector<Entry> entries;
    std::size_t bytes = 2;  // upper bound of the encoded size; initially that of the enclosing braces
  };

  // Adds as many of the job's tasks as fit and returns their number.
  std::size_t append_tasks(SegmentDraft& draft, const Job& job, const std::vector<TaskIndex>& tasks) const;
  // Adds unpersisted tasks and returns whether some of them did not fit.
  bool append_unpersisted_tasks(SegmentDraft& draft, SegmentNumber number);
  // Copies live entries of the oldest segments to the draft, so that these segments can be deleted.
  void compact_into(SegmentDraft& draft) const;
  std::size_t max_segments() const;
  // Returns whether the entry holds the task's current state and its job is not complete.
  bool entry_current(SegmentNumber number, const Entry& entry) const;
  // Releases one entry of the segment and deletes the segment if it was the last live one.
  void release_entry(SegmentNumber number);

  ClusterState& state_;
  EffectQueue& effects_;
  std::map<SegmentNumber, Segment> segments_;
  SegmentNumber next_number_ = 1;
  std::uint64_t next_key_number_ = 1;
  std::deque<std::uint32_t> unpersisted_jobs_;  // serials
  bool segment_requested_ = false;
  bool last_segment_full_ = false;
  Time last_segment_at_ = 0;
  std::size_t in_flight_ = 0;
  std::size_t max_bytes_;
  std::vector<std::string> obsolete_keys_;
};

}  // namespace dockdyke::core
