// The parts of a simulated deployment: links with their faults, workers with their tasks, users' jobs.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster_fixture.hpp"
#include "net/loop.hpp"
#include "wire/messages.hpp"

namespace dockdyke::app {
class Controller;
}

namespace dockdyke::testing {

inline double seconds_between(net::TimePoint from, net::TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

// What a link does to the requests that go over it.
enum class Link {
  refuse,        // at once: 503 of the store or the cloud, a refused connection elsewhere
  lose_request,  // nothing arrives, and nothing comes back
  lose_answer,   // it arrives; the answer does not
  hold,          // it arrives when the fault is over, and so does its answer
  slow,          // it takes up to a second
  late_copy,     // it arrives, and once more up to `late_s` later
  late_write,    // it gets no answer and is carried out 2 to 12 s later; transactions only
};

struct Options {
  std::uint64_t seed = 1;
  int controllers = 3;
  core::ClusterConfig config = cluster_config();
  double writes_per_second = 500;
  double writes_per_second_later = 0;  // announced; 0: nothing is
  double step_s = 0.1;                 // between looks at each worker; the rules are checked twice as often
  std::set<int> older = {};            // controllers of the earlier version (simulated_older_version.cpp)
};

struct LinkFault {
  std::string from;  // a host, or the start of its name; "" is any
  std::string to;
  Link link = Link::refuse;
  net::TimePoint until;
  double share = 1;
};

struct HeldTask {
  wire::TaskId ref;
  std::uint64_t attempt = 0;
  wire::TaskState state = wire::TaskState::fetching_image;
  std::string cause;
  net::TimePoint image_at;
  net::TimePoint ends_at;
  bool stored = false;
  bool on_machine() const {
    return state == wire::TaskState::running || state == wire::TaskState::checkpointing ||
           state == wire::TaskState::waiting_for_gang;
  }
};

// A gang's attempt, from its first task that has its image.
struct SimGang {
  bool started = false;
  net::TimePoint ends_at;
  std::optional<net::TimePoint> aborted_at;  // some task was gone or hung after the start
  std::optional<net::TimePoint> told_at;     // the first was told to save
  bool saved = false;
};

struct SimWorker {
  std::string id;
  std::string zone;
  bool spot = false;
  net::TimePoint rented_at;
  net::TimePoint up_at;
  std::optional<net::TimePoint> gone_at;
  bool died = false;
  std::uint64_t incarnation = 1;
  std::uint64_t sequence_number = 0;
  std::uint64_t token = 0;
  net::TimePoint lease_from;  // when the last answered report was sent
  net::TimePoint heartbeat_at;
  bool changed = false;
  net::TimePoint token_reported_at;  // when a higher token last counted as a change
  net::TimePoint sent_at;
  bool in_flight = false;
  std::size_t controller = 0;
  net::TimePoint hung_until;
  net::TimePoint taken_at;  // by the cloud, as announced; the epoch: not announced
  std::vector<HeldTask> tasks;
  std::set<wire::TaskId> results;  // completed here: exits with `done` when started again
};

struct SimJob {
  wire::JobSpec spec;
  std::optional<net::TimePoint> accepted_at;
  bool refused = false;
  bool cancel_asked = false;
  std::optional<net::TimePoint> cancelled_at;  // when a user was told
  std::optional<net::TimePoint> done_told_at;
  std::set<TaskIndex> completed;
  std::optional<net::TimePoint> answered_at;  // the last answered question about it
  std::optional<net::TimePoint> waits_since;  // beside room for it
};

struct Fate {
  double request_s = 0.002;
  double answer_s = 0.002;
  bool refuse = false;
  bool lose_request = false;
  bool lose_answer = false;
  std::optional<double> copy_s;
};

}  // namespace dockdyke::testing
