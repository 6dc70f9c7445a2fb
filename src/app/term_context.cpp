#include "app/term_context.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "constants.hpp"
#include "store/election.hpp"

namespace dockdyke::app {

namespace {

// Keeps `owner` alive until the task has ended.
net::Task<void> run_with_owner([[maybe_unused]] std::shared_ptr<const void> owner, net::Task<void> task) {
  co_await task;
}

}  // namespace

core::Time to_core_time(net::TimePoint time) {
  return std::chrono::duration<double>(time.time_since_epoch()).count();
}

TermContext::TermContext(TermServices services, const core::ClusterConfig& config, FencingToken token,
                         std::function<void()> on_superseded)
    : services_(services),
      config_(config),
      token_(token),
      on_superseded_(std::move(on_superseded)),
      events_(services.loop) {}

void TermContext::set_owner(std::weak_ptr<const void> owner) {
  owner_ = std::move(owner);
}

void TermContext::spawn(net::Task<void> task) {
  net::spawn(run_with_owner(owner_.lock(), std::move(task)));
}

void TermContext::end() {
  alive_ = false;
  events_.wake();
}

void TermContext::report_superseded() {
  if (!alive_) return;
  spdlog::info("event=superseded token={}", token_.value);
  on_superseded_();
}

wire::Precondition TermContext::leader_precondition() const {
  return {store::kLeaderKey, Revision(token_.value)};
}

bool TermContext::leader_changed(const store::CommitResult& committed) {
  const auto& failed = committed.failed_preconditions;
  return std::find(failed.begin(), failed.end(), store::kLeaderKey) != failed.end();
}

core::Time TermContext::now() const {
  return to_core_time(services_.loop.now());
}

net::Loop::Sleep TermContext::retry_delay() const {
  return services_.loop.sleep(net::seconds(constants::kBackgroundRetryIntervalSeconds));
}

net::TimePoint TermContext::background_deadline() const {
  return services_.loop.now() + net::seconds(constants::kBackgroundCallTimeoutSeconds);
}

}  // namespace dockdyke::app
