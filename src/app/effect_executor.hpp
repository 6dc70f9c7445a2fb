// Executes the effects of the leader's state: calls of the cloud, direct worker commands, deletions of keys.
#pragma once

#include "app/guarded_writer.hpp"
#include "app/key_deleter.hpp"
#include "app/term_context.hpp"
#include "core/effects.hpp"
#include "net/task.hpp"

namespace dockdyke::app {

// Every effect is a detached task of the term; it is repeated until its outcome is known.
class EffectExecutor {
 public:
  EffectExecutor(TermContext& context, GuardedWriter& writer, KeyDeleter& deleter);

  // Starts the effect; its outcome comes back as an event.
  void execute(core::Effect effect);

 private:
  // PROTOCOL, "POST /machines". Stored first, so that a later leader completes a request without a response.
  net::Task<void> scale_out(core::RequestScaleOut effect);
  // PROTOCOL, "POST /machines/delete".
  net::Task<void> scale_in(core::RequestScaleIn effect);
  // PROTOCOL, "POST /commands".
  net::Task<void> send_stop_commands(core::SendStopCommands effect);

  void start(core::RequestScaleOut effect);
  void start(core::RequestScaleIn effect);
  void start(core::SendStopCommands effect);
  void start(core::DeleteKeys effect);

  TermContext& context_;
  GuardedWriter& writer_;
  KeyDeleter& deleter_;
};

}  // namespace dockdyke::app
