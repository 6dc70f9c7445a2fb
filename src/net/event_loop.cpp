#include "net/event_loop.hpp"

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

#include "constants.hpp"

namespace dockdyke::net {

namespace {

// Simulated time does not start at zero, so that a default-constructed TimePoint lies in the past.
constexpr auto kSimulatedStart = std::chrono::hours(1);

}  // namespace

Loop::Loop(TimeSource time_source)
    : time_source_(time_source),
      epoll_(::epoll_create1(EPOLL_CLOEXEC)),
      now_(time_source == TimeSource::real ? Clock::now() : TimePoint(kSimulatedStart)) {
  if (!epoll_.valid()) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

Loop::~Loop() = default;

std::int64_t Loop::time_of_day_ms() const {
  const auto since_epoch = time_source_ == TimeSource::real
                               ? std::chrono::system_clock::now().time_since_epoch()
                               : now_.time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

Loop::TimerKey Loop::call_at(TimePoint due, std::function<void()> action) {
  const TimerKey key{due, next_timer_number_++};
  timers_.emplace(key, std::move(action));
  return key;
}

void Loop::attach(int fd, Readiness* readiness) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.fd = fd;
  if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) != 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  attached_[fd] = readiness;
}

void Loop::detach(int fd) {
  attached_.erase(fd);
  ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
}

void Loop::run() {
  while (!stopping_) run_once(constants::kMaxPollWait);
}

void Loop::run_once(Duration max_wait) {
  const Duration wait = poll_timeout(max_wait);
  if (time_source_ == TimeSource::real) {
    poll_events(wait);
  } else {
    now_ += wait;
  }
  run_due_timers();
  resume_ready();
}

Duration Loop::poll_timeout(Duration max_wait) const {
  if (!ready_.empty()) return Duration::zero();
  if (timers_.empty()) return max_wait;
  return std::min(max_wait, std::max(Duration::zero(), timers_.begin()->first.due - now_));
}

void Loop::run_due_timers() {
  while (!timers_.empty() && timers_.begin()->first.due <= now_) {
    auto action = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    action();
  }
}

void Loop::resume_ready() {
  // Coroutines that become ready during this loop run in the next iteration, so that they cannot starve
  // events and timers. The queue can shrink further when a resumed coroutine destroys others that were ready.
  for (auto remaining = ready_.size(); remaining > 0 && !ready_.empty(); --remaining) {
    auto next = ready_.front();
    ready_.pop_front();
    next.resume();
  }
}

void Loop::poll_events(Duration timeout) {
  // Rounded up, because waking a fraction of a millisecond early would only cost another iteration.
  const auto timeout_ms = std::chrono::ceil<std::chrono::milliseconds>(timeout).count();
  std::array<epoll_event, constants::kMaxEventsPerIteration> events;
  const int count = ::epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()),
                                 static_cast<int>(timeout_ms));
  now_ = Clock::now();
  // The count is negative if the wait was interrupted; there is nothing to dispatch then.
  for (int i = 0; i < count; ++i) dispatch(events[static_cast<std::size_t>(i)]);
}

void Loop::dispatch(const epoll_event& event) {
  const int fd = event.data.fd;
  const auto found = attached_.find(fd);
  if (found == attached_.end()) return;  // closed by an earlier event of this iteration
  Readiness* const readiness = found->second;
  const bool error_or_hangup = (event.events & (EPOLLERR | EPOLLHUP)) != 0;
  if (error_or_hangup || (event.events & (EPOLLIN | EPOLLRDHUP))) readiness->readable = true;
  if (error_or_hangup || (event.events & EPOLLOUT)) readiness->writable = true;
  if (readiness->readable && readiness->on_readable) {
    std::exchange(readiness->on_readable, {})();
    // The callback may have closed the descriptor, and a new descriptor may have the same number.
    const auto current = attached_.find(fd);
    if (current == attached_.end() || current->second != readiness) return;
  }
  if (readiness->writable && readiness->on_writable) std::exchange(readiness->on_writable, {})();
}

}  // namespace dockdyke::net
