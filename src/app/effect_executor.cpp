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

EffectExecutor::EffectExecutor(TermContext& context, GuardedWriter& writer, KeyDeleter& deleter)
    : context_(context), writer_(writer), deleter_(deleter) {}

void EffectExecutor::execute(core::Effect effect) {
  std::visit([this](auto& each) { start(std::move(each)); }, effect);
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
  deleter_.delete_later(std::move(effect.keys));
}

net::Task<void> EffectExecutor::scale_out(core::RequestScaleOut effect) {
  const auto& request = effect.request;
  const std::string key = core::key::kScaleOutPrefix + request.id.value;
  if (!effect.persisted) {
    // Ahead of other writes: a day's first scale-outs were queued behind its first submissions for 5 s.
    const bool written = co_await writer_.insert(key, wire::to_json(request), RequestPriority::high);
    if (!written) co_return;
  }
  bool decided = false;
  while (context_.alive() && !decided) {
    cloud::Result<std::vector<MachineId>> granted = co_await context_.cloud().scale_out(request);
    spdlog::info("event=scale_out id={} type={} zone={} spot={} count={} outcome={} granted={}",
                 request.id.value, request.type, request.zone, request.spot, request.count,
                 net::to_string(granted.outcome), granted.value.size());
    decided = granted.outcome != cloud::Outcome::unknown;
    if (granted) {
      context_.events().push(core::ScaleOutGranted{request.id, std::move(granted.value)});
    } else if (decided) {
      context_.events().push(core::ScaleOutRefused{request.id});
    } else {
      // Repeated under the same id, which rents nothing twice, until the cloud decides.
      co_await context_.loop().sleep(net::seconds(constants::kCloudRetryIntervalSeconds));
    }
  }
  if (decided) deleter_.delete_later({key});
}

net::Task<void> EffectExecutor::scale_in(core::RequestScaleIn effect) {
  const auto requested_at = context_.now();
  if (!effect.persisted) {
    const bool written = co_await writer_.insert(effect.key, wire::machine_ids_to_json(effect.machines),
                                                 RequestPriority::normal);
    if (!written) co_return;
  }
  const double recorded_s = context_.now() - requested_at;
  bool deleted = false;
  while (context_.alive() && !deleted) {
    const cloud::Outcome outcome = co_await context_.cloud().scale_in(effect.machines);
    spdlog::info("event=scale_in record={} machines={} first={} recorded_s={:.2f} took_s={:.2f} outcome={}",
                 effect.key, effect.machines.size(),
                 effect.machines.empty() ? "" : effect.machines.front().value, recorded_s,
                 context_.now() - requested_at, net::to_string(outcome));
    deleted = outcome == cloud::Outcome::ok;
    if (!deleted) co_await context_.loop().sleep(net::seconds(constants::kCloudRetryIntervalSeconds));
  }
  if (!deleted) co_return;
  context_.events().push(core::MachinesDeleted{effect.key, effect.machines});
  deleter_.delete_later({effect.key});
}

net::Task<void> EffectExecutor::send_stop_commands(core::SendStopCommands effect) {
  const auto address = net::Address::parse(effect.address);
  if (!address) co_return;
  auto& loop = context_.loop();
  // After that the other tasks of the gang no longer wait for it, and the response to its worker's heartbeat
  // tells it to stop as well.
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
