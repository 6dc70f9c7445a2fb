// The outputs of the leader's state machine: what its owner is to do.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "wire/messages.hpp"

namespace dockdyke::core {

// A transaction to be repeated until it is applied, conflicts or is rejected. The writer adds the
// precondition on the leader's key.
struct StateWrite {
  std::uint64_t number = 0;
  std::vector<JobId> completed_jobs;  // jobs whose terminal record it holds; their users wait for it
  bool urgent = false;                // goes ahead of other writes
  wire::Transaction transaction;
};

// To be recorded, then asked of the cloud until it answers.
struct RequestScaleOut {
  wire::ScaleOutRequest request;
  bool recorded = false;
};

// To be recorded under `key`, then asked of the cloud until it answers.
struct RequestScaleIn {
  std::string key;
  std::vector<MachineId> machines;
  bool recorded = false;
};

// Keys that nobody needs any more.
struct DeleteKeys {
  std::vector<std::string> keys;
};

// Stop commands sent straight to a worker: a gang saves its checkpoint only if all its tasks are told at
// nearly the same time, which heartbeat responses cannot ensure. They name an attempt that is ending anyway,
// so a late or repeated copy neither starts anything nor ends anything that should go on.
struct SendStopCommands {
  MachineId machine;
  std::string address;
  std::uint64_t incarnation = 0;
  std::vector<wire::Command> commands;
};

using Effect = std::variant<RequestScaleOut, RequestScaleIn, DeleteKeys, SendStopCommands>;

// Collects the effects of all parts, in their order, until the owner takes them.
class EffectQueue {
 public:
  void push(Effect effect) { effects_.push_back(std::move(effect)); }
  std::vector<Effect> take() { return std::exchange(effects_, {}); }

 private:
  std::vector<Effect> effects_;
};

}  // namespace dockdyke::core
