// Data types of the simulated deployment: options, link faults, workers, tasks, gangs and jobs.
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

// Ways in which a link disturbs the requests sent over it.
enum class LinkFaultKind {
  refuse,                  // the state service and the cloud respond 503, other hosts refuse the connection
  drop_request,            // the request does not arrive
  drop_response,           // the request arrives, its response does not
  delay_until_end,         // the request arrives when the fault ends
  delay_randomly,          // request and response each take up to 0.5 s longer
  duplicate_late,          // a copy of the request arrives up to 2.5 worker leases after it
  apply_transaction_late,  // a transaction is applied 2 to 12 s later and its response is dropped
};

struct SimulationOptions {
  std::uint64_t seed = 1;
  int controllers = 3;
  core::ClusterConfig config = cluster_config();
  double writes_per_second = 500;
  double announced_writes_per_second = 0;  // announced lower limit; 0 if none is announced
  double step_s = 0.1;  // between steps of each worker; invariants are checked twice as often
  // Numbers of the controllers that run the previous version (simulated_previous_version.cpp).
  std::set<int> previous_version_controllers = {};
};

// A fault of all links between matching hosts.
struct LinkFault {
  std::string from;  // a prefix of host names; "" matches every host
  std::string to;    // likewise
  LinkFaultKind kind = LinkFaultKind::refuse;
  net::TimePoint until;
  double affected_fraction = 1;  // of the requests
};

// A task that a worker has been commanded to start.
struct SimTask {
  wire::TaskId ref;
  std::uint64_t attempt = 0;
  wire::TaskState state = wire::TaskState::fetching_image;
  std::string cause;
  net::TimePoint image_ready_at;
  net::TimePoint ends_at;
  bool checkpoint_written = false;
  // Returns whether the task has started and not yet ended.
  bool is_active() const {
    return state == wire::TaskState::running || state == wire::TaskState::checkpointing ||
           state == wire::TaskState::waiting_for_gang;
  }
};

// An attempt of a gang, created when its first task has fetched its image.
struct SimGang {
  bool started = false;
  net::TimePoint ends_at;
  std::optional<net::TimePoint> aborted_at;  // a task ended or stopped responding after the start
  std::optional<net::TimePoint> checkpoint_requested_at;  // from the first of its tasks
  bool checkpointed = false;
};

struct SimWorker {
  std::string id;
  std::string zone;
  bool spot = false;
  net::TimePoint created_at;
  net::TimePoint booted_at;
  std::optional<net::TimePoint> terminated_at;  // crashed, deleted or reclaimed
  bool crashed = false;
  std::uint64_t incarnation = 1;
  std::uint64_t sequence_number = 0;
  std::uint64_t token = 0;
  net::TimePoint lease_started_at;  // when the last heartbeat with a response was sent
  net::TimePoint next_heartbeat_at;
  bool status_changed = false;           // since the last heartbeat
  net::TimePoint token_change_noted_at;  // when a higher token last set `status_changed`
  net::TimePoint heartbeat_sent_at;
  bool heartbeat_in_flight = false;
  std::size_t controller = 0;  // receives the next heartbeat
  net::TimePoint hung_until;
  net::TimePoint reclaimed_at;  // announced by a termination notice; the epoch if there is none
  std::vector<SimTask> tasks;
  std::set<wire::TaskId> completed_tasks;  // exit with `done` when started again
};

struct SimJob {
  wire::JobSpec spec;
  std::optional<net::TimePoint> accepted_at;
  bool rejected = false;
  bool cancellation_requested = false;
  // When a user first received a response with this state.
  std::optional<net::TimePoint> cancellation_confirmed_at;
  std::optional<net::TimePoint> completion_confirmed_at;
  std::set<TaskIndex> completed_tasks;
  std::size_t task_starts = 0;                      // on all workers, repeated starts included
  std::optional<net::TimePoint> last_response_at;   // to any request about the job
  std::optional<net::TimePoint> schedulable_since;  // since when a waiting task could be started
};

// Delays and faults of one request.
struct Delivery {
  double request_delay_s = 0.002;
  double response_delay_s = 0.002;
  bool refuse = false;
  bool drop_request = false;
  bool drop_response = false;
  std::optional<double> duplicate_delay_s;
  bool copy = false;  // the request has been delivered before
};

// A request that has arrived at its receiver.
struct DeliveredRequest {
  std::string from;
  std::string to;
  std::string method;
  std::string target;
  std::string body;
};

// Delays the responses to requests for a target.
struct SlowTarget {
  std::string target;
  double response_delay_s = 0;
};

}  // namespace dockdyke::testing
