// The log of task changes: what a new leader needs to know of tasks, in segments that hold changes of many
// jobs.
//
// A job's own record never changes, so that the number of writes follows time and not the number of tasks.
// The newest segment with an entry of a task tells its state. Segments are bounded by compaction: with each
// new one, live entries of the oldest are copied, and a segment without live entries is deleted.
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

// A segment to be stored under a new key.
struct UnstoredSegment {
  SegmentNumber number = 0;
  std::string key;
  SegmentRecord record;
};

class TaskLog {
 public:
  TaskLog(ClusterState& state, EffectQueue& effects);

  // The task's state has changed and must be stored. Gangs have records of their own, and a cancelled job's
  // tasks stay as they were last stored.
  void mark_unpersisted(Job& job, TaskIndex index);
  // A command waits for the next segment.
  void request_segment() { segment_requested_ = true; }

  // Seconds until the next segment may be written; nothing where there is nothing to write or enough are in
  // flight.
  std::optional<double> next_segment_due_in(Time now) const;
  // Collects changes up to the size of a value. Nothing where none is due or no change is left.
  std::optional<UnstoredSegment> next_segment(Time now);
  // The segment is stored.
  void confirm(SegmentNumber number);
  // The state service refused it as too large: its changes are written again, in smaller segments.
  void reject(SegmentNumber number);

  // The job is over, so its entries are needed no more.
  void release_entries(const Job& job);

  // ---- Reading the segments of earlier leaders ----
  SegmentNumber adopt_segment(const std::string& key);
  // An entry of an adopted segment, which replaces those of earlier ones.
  void adopt_entry(SegmentNumber number, Job& job, TaskIndex index);
  void delete_empty_segments();

  std::size_t segments() const { return segments_.size(); }

  // Collects keys to be deleted together at the next `delete_obsolete_keys`.
  void add_obsolete_key(std::string key) { obsolete_keys_.push_back(std::move(key)); }
  void delete_obsolete_keys();

 private:
  struct Entry {
    std::uint32_t job = 0;  // serial
    TaskIndex index = 0;
  };
  struct Segment {
    std::string key;
    std::vector<Entry> entries;
    std::size_t live = 0;  // entries that no later segment replaces
    bool confirmed = false;
  };
  // A segment that is being filled.
  struct Draft {
    SegmentRecord record;
    std::vector<Entry> entries;
    std::size_t bytes = 2;  // of the braces around it; an upper bound
  };

  // Adds a job's tasks as far as they fit; returns how many.
  std::size_t add_tasks(Draft& draft, const Job& job, const std::vector<TaskIndex>& tasks) const;
  // Adds unpersisted tasks; returns whether some did not fit.
  bool add_unpersisted_tasks(Draft& draft, SegmentNumber number);
  // Copies the live entries of the oldest segments into the new one, so that those can be deleted.
  void compact_into(Draft& draft) const;
  std::size_t max_segments() const;
  // Whether the entry tells the task's present state and its job is unfinished.
  bool entry_current(SegmentNumber number, const Entry& entry) const;
  // One entry of the segment was replaced or is needed no more.
  void release_entry(SegmentNumber number);

  ClusterState& state_;
  EffectQueue& effects_;
  std::map<SegmentNumber, Segment> segments_;
  SegmentNumber next_number_ = 1;
  std::uint64_t next_key_ = 1;
  std::deque<std::uint32_t> unpersisted_jobs_;  // serials
  bool segment_requested_ = false;
  bool last_was_full_ = false;
  Time last_written_at_ = 0;
  std::size_t in_flight_ = 0;
  std::size_t max_bytes_;
  std::vector<std::string> obsolete_keys_;
};

}  // namespace dockdyke::core
