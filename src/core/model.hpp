// Headers of the state that the leader keeps of jobs, machines and offerings.
#pragma once

#include "core/config.hpp"
#include "core/job.hpp"
#include "core/machine.hpp"
#include "core/offering.hpp"
#include "core/stored_records.hpp"

namespace dockdyke::core {

// So many tasks of a gang on this machine.
struct GangPlace {
  Machine* machine = nullptr;
  std::size_t tasks = 0;
};

// A value that records what happened to tasks.
struct TaskLogSegment {
  std::string key;
  struct Entry {
    std::uint32_t job = 0;  // serial
    TaskIndex index = 0;
  };
  std::vector<Entry> entries;
  std::size_t live = 0;  // entries that no later segment replaces
  bool confirmed = false;
};

}  // namespace dockdyke::core
