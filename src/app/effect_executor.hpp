// Executes the effects that the state machine emits: cloud calls, direct worker commands and key deletions.
#pragma once

#include "app/fenced_writer.hpp"
#include "app/key_deleter.hpp"
#include "app/term_context.hpp"
#include "core/effects.hpp"
#include "net/task.hpp"

namespace dockdyke::app {

// Runs each effect as a detached task of the term. Cloud calls are retried until their outcome is known.
class EffectExecutor {
 public:
  EffectExecutor(TermContext& context, FencedWriter& writer, KeyDeleter& key_deleter);

  // Starts the effect. The outcome of a cloud call is pushed to the event queue.
  void execute(core::Effect effect);

 private:
  // Requests machines from the cloud. The request is persisted first, so that the next leader can complete it
  // after a failover.
  net::Task<void> scale_out(core::RequestScaleOut effect);
  // Deletes machines in the cloud. The request is persisted first, as in `scale_out`.
  net::Task<void> scale_in(core::RequestScaleIn effect);
  // Sends stop commands directly to a worker until it responds or the gang peer timeout has elapsed.
  net::Task<void> send_stop_commands(core::SendStopCommands effect);

  void start(core::RequestScaleOut effect);
  void start(core::RequestScaleIn effect);
  void start(core::SendStopCommands effect);
  void start(core::DeleteKeys effect);

  TermContext& context_;
  FencedWriter& writer_;
  KeyDeleter& key_deleter_;
};

}  // namespace dockdyke::app
