// The leader's picture of jobs and machines.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
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
  enum class Kind {
    finished,  // done within_s after the submission
    deadline,  // done within `times` its own deadline
    wait,      // tasks started within_s after the submission
  };
  Kind kind = Kind::finished;
  std::string job_class;
  double within_s = 0;
  double times = 1;
};

struct Config {
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 3;
  double lease_s = 30;
  double cancel_s = 60;
  double list_lag_s = 3;
  double gang_wait_s = 30;  // a task waits so long for the rest of its gang
  double gang_peer_s = 5;   // tasks notice within this time that one of their gang is gone
  double cloud_rps = 3;
  double write_rps = 20;
  // Of the state service: the lower of the limits now and later in force, so that nothing written ever needs
  // more.
  std::size_t value_bytes = 4096;
  std::size_t txn_ops = 8;
  std::uint32_t min_machines = 0;
  std::uint32_t free_machines = 0;
  std::uint32_t max_machines = 0;
};

struct Machine;

// A task that has, or may have, a place on a machine.
struct Placement {
  Machine* machine = nullptr;
  Attempt attempt = 0;
  bool inherited = false;  // given out by an earlier leader
  bool sent = false;       // its start order went out in an answer of ours
  std::uint64_t dispatched_incarnation = 0;
  std::uint64_t sent_sequence = 0;
  bool shown = false;          // the worker has reported it to us
  std::uint64_t shown_in = 0;  // number of the last report that did
  wire::TaskState state = wire::TaskState::fetching;
  Time placed_at = 0;
  Time running_since = 0;
  bool stopping = false;
  double grace_s = 0;
  // For how long it has been seen running.
  double ran_s(Time now) const { return running_since > 0 ? now - running_since : 0; }
  // No worker can have its start.
  bool unsent() const { return !sent && !shown && !inherited; }
};

// Numbers of pages in the order of their keys; 0 is no page.
using PageNumber = std::uint64_t;

// One task beside its placement. Small, since a job may have 100,000 of them.
struct TaskSlot {
  // No page holds the task's present state yet.
  static constexpr PageNumber kUnwritten = std::numeric_limits<PageNumber>::max();

  Attempt attempt = 0;      // the last one given out
  PageNumber written = 0;   // the page its present state was first written to
  PageNumber recorded = 0;  // the newest confirmed page that names it
  bool done = false;
  bool durable() const { return recorded >= written; }
};

// The attempt of a gang: one number for all its tasks, which are placed, started and ended together.
struct GangAttempt {
  Attempt number = 0;           // the last one given out
  std::uint32_t parts = 0;      // of its record
  std::uint32_t confirmed = 0;  // parts known to be stored
  bool broken = false;          // a task is gone or is to go: the others are stopped
  bool blamed = false;          // its failure has been counted
  Time placed_at = 0;
  Time running_at = 0;            // when one of its tasks was first seen running: all were, then
  std::size_t machines = 0;       // on which it was placed
  std::vector<std::string> keys;  // of parts that may be stored, of earlier attempts too

  bool durable() const { return parts > 0 && confirmed == parts; }
};

struct Job {
  wire::JobSpec spec;
  std::uint32_t serial = 0;  // short name for it in pages
  Time submitted = 0;
  std::vector<TaskSlot> tasks;
  TaskIndex done_count = 0;
  // Tasks waiting for a place: those given back, then every one from `next_fresh` on.
  std::set<TaskIndex> returned;
  TaskIndex next_fresh = 0;
  std::map<TaskIndex, Placement> placements;
  std::vector<TaskIndex> unwritten;  // tasks whose present state is in no page
  GangAttempt gang;                  // of gangs only

  Revision version;        // of the stored record
  bool finishing = false;  // its final record is being written
  bool cancelled = false;  // off the record; its tasks are being stopped
  Time cancelled_at = 0;   // as far as is known here
  bool begun = false;      // some task of it has been seen running
  Time waiting_since = 0;  // some task has been waiting for room since
  double expected_s = 0;   // run time of a task, as corrected at the last ranking
  double ran_s = 0;        // sum of the run times seen of its completed tasks
  std::uint32_t ran = 0;   // how many those are
  // By type number: the job may run there, and a task of it fits.
  std::vector<bool> suits;
  wire::Resources* team_usage = nullptr;
  // Failures in a row, and on which machines.
  std::set<MachineId> failed_on;
  std::uint32_t failures = 0;
  Time not_before = 0;

  bool is_gang() const { return spec.kind == wire::JobKind::gang; }
  bool complete() const { return done_count == spec.task_count; }
  // The task's place is stored, so its start may go out.
  bool place_on_record(TaskIndex index) const {
    return is_gang() ? gang.durable() && !gang.broken && !complete() : tasks[index].durable();
  }
  // The task's completion is stored, so its worker may forget it. The last one of a job is stored with the
  // job's end, and all of a gang's are.
  bool result_on_record(TaskIndex index) const {
    return complete() || is_gang() ? !finishing : tasks[index].durable();
  }
  double mean_run_s() const { return ran > 0 ? ran_s / ran : 0; }
  TaskIndex waiting() const {
    return static_cast<TaskIndex>(returned.size()) + (spec.task_count - next_fresh);
  }
  bool suits_type(std::size_t number) const { return number < suits.size() && suits[number]; }
};

enum class MachineState { booting, up, gone };

struct PlacedTask {
  Job* job = nullptr;
  TaskIndex index = 0;
  bool operator==(const PlacedTask&) const = default;
  Placement& placement() const { return job->placements.at(index); }
};

inline constexpr std::size_t kNoType = std::numeric_limits<std::size_t>::max();

struct Machine {
  MachineId id;
  std::string type;
  std::size_t type_number = kNoType;
  std::string zone;
  bool spot = false;
  std::string address;  // of its worker
  MachineState state = MachineState::booting;
  Time rented_at = 0;

  std::uint64_t incarnation = 0;
  std::uint64_t sequence_number = 0;
  bool trusted = false;          // has shown our token in its present session
  std::uint64_t heartbeats = 0;  // taken under our token
  Time last_heartbeat_at = 0;
  Time last_response_at = 0;
  // Its last report has not been answered yet: orders can go out now.
  bool answer_open = false;
  // Reports in a row that show an answer of ours to have had no effect, and since when.
  std::uint32_t unheeded = 0;
  Time unheeded_since = 0;
  std::optional<Time> ends_at;  // announced end

  std::vector<PlacedTask> placements;
  wire::Resources used;
  // What the last report showed beside the placements: ended tasks, and tasks no record wants there.
  std::vector<wire::ReportedTask> leftovers;
  std::vector<std::pair<wire::TaskId, Attempt>> forgets;  // ordered in the last answer
  bool strangers = false;                                 // it runs tasks we know nothing about
  bool listed = false;                                    // the cloud's list has shown it
  int unlisted = 0;                                       // lists in a row that did not show it since

  bool draining = false;
  bool returning = false;  // recorded for give-back
  // Jobs that failed here and not elsewhere since a task last completed here, and when.
  std::map<JobId, Time> failed_jobs;
  // Its tasks in a row that took far longer than others of their jobs.
  std::uint32_t slow_signs = 0;
  Time no_room_until = 0;
  // Its room is kept for this waiting gang (a job's serial) until then.
  std::uint32_t kept_for = 0;
  Time kept_until = 0;
  bool reserved = false;  // its room is held for gangs to come
  Time idle_since = 0;
  std::vector<std::pair<std::string, double>> images;  // most recent last

  bool has_image(const std::string& image) const {
    for (const auto& each : images)
      if (each.first == image) return true;
    return false;
  }
};

// Order of machines that does not depend on where they are in memory.
struct ById {
  bool operator()(const Machine* a, const Machine* b) const { return a->id < b->id; }
};

// So many tasks of a gang on this machine.
struct GangPlace {
  Machine* machine = nullptr;
  std::size_t tasks = 0;
};

struct PendingRent {
  wire::ScaleOutRequest rental;
  Time since = 0;
};

// Where a rental may be tried: type, zone, spot or not.
using Offer = std::tuple<std::string, std::string, bool>;

struct Refusal {
  Time until = 0;
  double pause = 0;
};

// A value that records what happened to tasks.
struct Page {
  std::string key;
  struct Entry {
    std::uint32_t job = 0;  // serial
    TaskIndex index = 0;
  };
  std::vector<Entry> entries;
  std::size_t live = 0;  // entries that no later page replaces
  bool confirmed = false;
};

}  // namespace dockdyke::core
