#include "app/effect_executor.hpp"

#include <spdlog/spdlog.h>

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "constants.hpp"
#include "core/state_keys.hpp"

namespace dockdyke::app {

using store::RequestPriority;

EffectExecutor::EffectExecutor(TermContext& context, FencedWriter& writer, KeyDeleter& key_deleter)
    : context_(context), writer_(writer), key_deleter_(key_deleter) {}

void EffectExecutor::execute(core::Effect effect) {
  std::visit([this](auto& alternative) { start(std::move(alternative)); }, effect);
}

void EffectExecutor::start(core::RequestScaleOut effect) {
  context_.spawn(scale_out(std::move(effect)));
}
void EffectExecutor::start(core::RequestScaleIn effect) {
  context_.spawn(scale_in(std::move(effect)));
}
void EffectExecutor::start(core::SendStopCommands effect) {
  context_.spawn(send_stop_commands(std::move(effect)));
}
void EffectExecutor::start(core::DeleteKeys effect) {
  key_deleter_.enqueue(std::move(effect.keys));
}

net::Task<void> EffectExecutor::scale_out(core::RequestScaleOut effect) {
  const auto& request = effect.request;
  const std::string key = core::key::kScaleOutPrefix + request.id.value;
  if (!effect.persisted) {
    // High priority keeps the request from queueing behind a burst of submissions.
    const bool written = co_await writer_.insert(key, wire::to_json(request), RequestPriority::high);
    if (!written) co_return;
  }
  bool outcome_known = false;
  while (context_.alive() && !outcome_known) {
    cloud::Result<std::vector<MachineId>> granted = co_await context_.cloud().scale_out(request);
    spdlog::info("event=scale_out id={} type={} zone={} spot={} count={} outcome={} granted={}",
                 request.id.value, request.type, request.zone, request.spot, request.count,
                 net::to_string(granted.outcome), granted.value.size());
    outcome_known = granted.outcome != cloud::Outcome::unknown;
    if (granted) {
      context_.events().push(core::ScaleOutGranted{request.id, std::move(granted.value)});
    } else if (outcome_known) {
      context_.events().push(core::ScaleOutRefused{request.id});
    } else {
      // The request id makes the retry idempotent.
      co_await context_.loop().sleep(net::seconds(constants::kCloudRetryIntervalSeconds));
    }
  }
  if (outcome_known) key_deleter_.enqueue({key});
}

net::Task<void> EffectExecutor::scale_in(core::RequestScaleIn effect) {
  const auto requested_at = context_.now();
  if (!effect.persisted) {
    const bool written = co_await writer_.insert(effect.key, wire::machine_ids_to_json(effect.machines),
                                                 RequestPriority::normal);
    if (!written) co_return;
  }
  const double persist_duration_s = context_.now() - requested_at;
  bool deleted = false;
  while (context_.alive() && !deleted) {
    const cloud::Outcome outcome = co_await context_.cloud().delete_machines(effect.machines);
    spdlog::info("event=scale_in record={} machines={} first={} recorded_s={:.2f} took_s={:.2f} outcome={}",
                 effect.key, effect.machines.size(),
                 effect.machines.empty() ? "" : effect.machines.front().value, persist_duration_s,
                 context_.now() - requested_at, net::to_string(outcome));
    deleted = outcome == cloud::Outcome::ok;
    if (!deleted) co_await context_.loop().sleep(net::seconds(constants::kCloudRetryIntervalSeconds));
  }
  if (!deleted) co_return;
  context_.events().push(core::MachinesDeleted{effect.key, effect.machines});
  key_deleter_.enqueue({effect.key});
}

net::Task<void> EffectExecutor::send_stop_commands(core::SendStopCommands effect) {
  const auto address = net::Address::parse(effect.address);
  if (!address) co_return;
  auto& loop = context_.loop();
  // After this timeout, the gang's other tasks no longer wait for this worker's task. The response to the
  // worker's next heartbeat carries the stop command too.
  const auto deadline = loop.now() + net::seconds(context_.config().gang_peer_timeout_s);
  const std::string body =
      wire::encode(wire::direct_command_request(context_.token(), effect.incarnation, effect.commands));
  while (context_.alive() && loop.now() < deadline) {
    net::CallResult result =
        co_await context_.transport().call(*address, "POST", std::string(wire::path::kDirectCommands), body,
                                           net::seconds(constants::kDirectCommandTimeoutSeconds));
    spdlog::info("event=stop_commands_sent machine={} status={}", effect.machine.value,
                 result.response ? result.response->status : 0);
    if (result.response) co_return;
    co_await loop.sleep(net::seconds(constants::kDirectCommandRetryIntervalSeconds));
  }
}

}  // namespace dockdyke::app
