// Outputs of the leader's state machine, carried out by its caller.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "wire/messages.hpp"

namespace dockdyke::core {

// A transaction to be retried until it is applied, conflicts or is rejected. The writer adds the precondition
// on the leader's key.
struct StateWrite {
  std::uint64_t number = 0;
  std::vector<JobId> completed_jobs;  // jobs whose terminal records the transaction stores
  bool urgent = false;                // sent before non-urgent writes
  wire::Transaction transaction;
};

// Persist the request, then send it to the cloud until the cloud responds.
struct RequestScaleOut {
  wire::ScaleOutRequest request;
  bool persisted = false;  // the request is already stored
};

// Persist the request under `key`, then send it to the cloud until the cloud responds.
struct RequestScaleIn {
  std::string key;
  std::vector<MachineId> machines;
  bool persisted = false;  // the request is already stored
};

// Delete obsolete keys from the state service.
struct DeleteKeys {
  std::vector<std::string> keys;
};

// Send stop commands directly to a worker instead of in a heartbeat response. A gang can write a checkpoint
// only if all its tasks are stopped at nearly the same time. The commands name an attempt that is ending, so
// a late or repeated copy is harmless.
struct SendStopCommands {
  MachineId machine;
  std::string address;
  std::uint64_t incarnation = 0;
  std::vector<wire::Command> commands;
};

using Effect = std::variant<RequestScaleOut, RequestScaleIn, DeleteKeys, SendStopCommands>;

// Collects effects in order until the caller takes them.
class EffectQueue {
 public:
  void push(Effect effect) { effects_.push_back(std::move(effect)); }
  std::vector<Effect> take() { return std::exchange(effects_, {}); }

 private:
  std::vector<Effect> effects_;
};

}  // namespace dockdyke::core
