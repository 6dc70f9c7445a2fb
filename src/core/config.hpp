// Configuration of the leader's state machine, from the settings file and the command-line flags.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "wire/messages.hpp"

namespace dockdyke::core {

// A team of users. The guaranteed share and the quota apply to CPUs and GPUs, not to memory.
struct Team {
  std::string name;
  // While the team's unfinished jobs fit into this share, they do not wait for those of other teams. 0: none.
  wire::Resources guaranteed_share;
  // Upper limit of the resources in use by the team's tasks. 0: unlimited.
  wire::Resources quota;

  bool has_guaranteed_share() const { return guaranteed_share.cpus > 0 || guaranteed_share.gpus > 0; }
};

// A service-level objective of a job class. Objectives determine the order of the job queue.
struct ServiceLevelObjective {
  enum class Kind {
    completion,  // the job is done `target_s` after its submission
    deadline,    // the job is done within `deadline_factor` times its deadline
    start,       // its tasks have started `target_s` after its submission
  };
  Kind kind = Kind::completion;
  std::string job_class;
  double target_s = 0;
  double deadline_factor = 1;
};

struct ClusterConfig {
  std::vector<Team> teams;
  std::vector<ServiceLevelObjective> objectives;
  double heartbeat_interval_s = 3;
  double worker_lease_s = 30;
  // Time within which all tasks of a job must have ended after its cancellation was confirmed.
  double cancellation_timeout_s = 60;
  double machine_list_lag_s = 3;
  // Time that a gang's task, once it has its image, waits for the other tasks of the gang.
  double gang_assembly_timeout_s = 30;
  // Time within which the tasks of a gang detect that one of them has ended.
  double gang_peer_timeout_s = 5;
  double cloud_rps = 3;
  double write_rps = 20;
  // Limits of the state service: the lower of the current and the announced ones, so that records written
  // before a change are not too large after it.
  std::size_t max_value_bytes = 4096;
  std::size_t max_transaction_changes = 8;
  // Limits of the fleet size, from the command-line flags.
  std::uint32_t min_machines = 0;
  std::uint32_t free_machines = 0;
  std::uint32_t max_machines = 0;

  // Returns the maximum size of a record that is filled entry by entry: `max_value_bytes` less a margin,
  // since entry sizes are estimates.
  std::size_t max_record_bytes() const;
  // Returns nullptr if there is no such team.
  const Team* find_team(const std::string& name) const;
};

}  // namespace dockdyke::core
