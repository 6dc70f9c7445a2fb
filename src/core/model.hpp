// The leader's picture of jobs and machines.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/records.hpp"
#include "wire/messages.hpp"

namespace dockdyke::core {

// Seconds on this controller's steady clock.
using Time = double;

struct Team {
  std::string name;
  wire::Resources guarantee;
  wire::Resources limit;  // 0: no limit
};

// What the owners of a class expect, as far as it orders work.
struct Objective {
  std::string job_class;
  double within_s = 0;
};

struct Config {
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double report_s = 3;
  double lease_s = 30;
  double cancel_s = 60;
  double list_lag_s = 3;
  double cloud_rps = 3;
  std::size_t value_bytes = 4096;
  std::size_t txn_ops = 8;
  std::uint32_t min_machines = 0;
  std::uint32_t free_machines = 0;
  std::uint32_t max_machines = 0;
};

// A task that has, or may have, a place on a machine.
struct Placement {
  MachineId machine;
  Attempt attempt = 0;
  std::uint32_t recorded_as = 0;  // version of the job's part that first holds it
  bool inherited = false;         // given out by an earlier leader
  bool sent = false;              // its start order went out in an answer of ours
  std::uint64_t sent_session = 0;
  std::uint64_t sent_sequence = 0;
  bool shown = false;  // the worker has reported it to us
  wire::TaskState state = wire::TaskState::fetching;
  Time placed_at = 0;
  Time running_since = 0;
  bool stopping = false;
  double grace_s = 0;
};

// Versions of one stored part of a job's tasks.
struct Part {
  std::uint32_t version = 0;
  std::uint32_t saved = 0;
};

struct Job {
  wire::JobSpec spec;
  Time submitted = 0;
  std::int64_t submitted_ms = 0;
  std::uint32_t per_part = 1;
  std::vector<Attempt> attempts;  // last one given out, per task
  std::vector<bool> done;
  TaskIndex done_count = 0;
  // Tasks waiting for a place: those given back, then every one from `next_fresh` on.
  std::set<TaskIndex> returned;
  TaskIndex next_fresh = 0;
  std::map<TaskIndex, Placement> placements;
  std::vector<Part> parts;

  Revision version;  // of the stored record
  bool saving = false;
  bool dirty = false;
  bool cancelled = false;  // off the record; its tasks are being stopped
  Time waiting_since = 0;  // some task has been waiting for room since
  // Failures in a row, and on which machines.
  std::set<MachineId> failed_on;
  std::uint32_t failures = 0;
  Time not_before = 0;

  bool complete() const { return done_count == spec.tasks; }
  TaskIndex waiting() const { return static_cast<TaskIndex>(returned.size()) + (spec.tasks - next_fresh); }
};

enum class MachineState { booting, up, gone };

struct Machine {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  MachineState state = MachineState::booting;
  Time rented_at = 0;

  std::uint64_t session = 0;
  std::uint64_t sequence = 0;
  bool trusted = false;  // has shown our token in its present session
  Time last_report = 0;
  Time last_answer = 0;
  std::optional<Time> ends_at;  // announced end

  std::set<wire::TaskRef> placements;
  wire::Resources used;
  // What the last report showed beside the placements: ended tasks, and tasks no record wants there.
  std::vector<wire::ReportedTask> leftovers;
  bool strangers = false;  // it runs tasks we know nothing about
  bool listed = false;     // the cloud's list has shown it
  int unlisted = 0;        // lists in a row that did not show it since

  bool draining = false;
  bool returning = false;  // recorded for give-back
  // Jobs that failed here and not elsewhere since a task last completed here, and when.
  std::map<JobId, Time> failed_jobs;
  Time no_room_until = 0;
  Time idle_since = 0;
  std::vector<std::pair<std::string, double>> images;  // most recent last

  bool has_image(const std::string& image) const {
    for (const auto& each : images)
      if (each.first == image) return true;
    return false;
  }
};

struct PendingRent {
  wire::Rental rental;
  Time since = 0;
};

// Where a rental may be tried: type, zone, spot or not.
using Offer = std::tuple<std::string, std::string, bool>;

struct Refusal {
  Time until = 0;
  double pause = 0;
};

}  // namespace dockdyke::core
