// What the settings file and the operators' flags tell the leader's state machine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "wire/messages.hpp"

namespace dockdyke::core {

// A team of users. Both amounts count CPUs and GPUs; memory is not limited.
struct Team {
  std::string name;
  // While the team's unfinished jobs fit into it, they need not wait for other teams. 0: none.
  wire::Resources guaranteed_share;
  // What its tasks may use at any moment. 0: no limit.
  wire::Resources quota;

  bool has_guaranteed_share() const { return guaranteed_share.cpus > 0 || guaranteed_share.gpus > 0; }
};

// What the owners of a job class expect, as far as it orders work.
struct ServiceLevelObjective {
  enum class Kind {
    completion,  // the job is done `target_s` after its submission
    deadline,    // the job is done within `deadline_factor` times its own deadline
    start,       // its tasks have started `target_s` after its submission
  };
  Kind kind = Kind::completion;
  std::string job_class;
  double target_s = 0;
  double deadline_factor = 1;
};

// PROTOCOL and the settings file name the fields of workers, state service and cloud.
struct ClusterConfig {
  std::vector<Team> teams;
  std::vector<ServiceLevelObjective> objectives;
  double heartbeat_interval_s = 3;
  double worker_lease_s = 30;
  // A task must be gone this long after its job's cancellation was confirmed.
  double cancellation_timeout_s = 60;
  double machine_list_lag_s = 3;
  // A task that has its image waits this long for the rest of its gang.
  double gang_assembly_timeout_s = 30;
  // Tasks of a gang notice within this time that one of them is gone.
  double gang_peer_timeout_s = 5;
  double cloud_rps = 3;
  double write_rps = 20;
  // Limits of the state service: the lower of those in force and those announced for later, so that nothing
  // written before the change is too large after it.
  std::size_t max_value_bytes = 4096;
  std::size_t max_transaction_changes = 8;
  // Bounds of the fleet, from the operators' flags.
  std::uint32_t min_machines = 0;
  std::uint32_t free_machines = 0;
  std::uint32_t max_machines = 0;

  // Bytes of a value that a record made of many entries may use: their sizes are only bounded from above.
  std::size_t max_record_bytes() const;
  // Nothing where there is no such team.
  const Team* find_team(const std::string& name) const;
};

}  // namespace dockdyke::core
