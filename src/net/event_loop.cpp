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

// Simulated time does not begin at zero, so that times in the past can be told from none.
constexpr auto kSimulatedStart = std::chrono::hours(1);

}  // namespace

Loop::Loop(Time time)
    : time_(time),
      epoll_(::epoll_create1(EPOLL_CLOEXEC)),
      now_(time == Time::real ? Clock::now() : TimePoint(kSimulatedStart)) {
  if (!epoll_.valid()) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

Loop::~Loop() = default;

std::int64_t Loop::time_of_day_ms() const {
  const auto since_epoch =
      time_ == Time::real ? std::chrono::system_clock::now().time_since_epoch() : now_.time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

Loop::TimerKey Loop::at(TimePoint due, std::function<void()> action) {
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
  while (!stopping_) turn(constants::kMaxPollWait);
}

void Loop::turn(Duration limit) {
  const Duration wait = time_to_wait(limit);
  if (time_ == Time::real) {
    poll_events(wait);
  } else {
    now_ += wait;
  }
  run_due_timers();
  resume_ready();
}

Duration Loop::time_to_wait(Duration limit) const {
  if (!ready_.empty()) return Duration::zero();
  if (timers_.empty()) return limit;
  return std::min(limit, std::max(Duration::zero(), timers_.begin()->first.due - now_));
}

void Loop::run_due_timers() {
  while (!timers_.empty() && timers_.begin()->first.due <= now_) {
    auto action = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    action();
  }
}

void Loop::resume_ready() {
  // Those that become ready meanwhile wait for the next turn, so that events and timers get theirs. The queue
  // becomes shorter than expected when a coroutine destroys others that were ready.
  for (auto pending = ready_.size(); pending > 0 && !ready_.empty(); --pending) {
    auto next = ready_.front();
    ready_.pop_front();
    next.resume();
  }
}

void Loop::poll_events(Duration limit) {
  // Rounded up: waking a fraction of a millisecond early would only cost another turn.
  const auto wait_ms = std::chrono::ceil<std::chrono::milliseconds>(limit).count();
  std::array<epoll_event, constants::kMaxEventsPerIteration> events;
  const int count =
      ::epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()), static_cast<int>(wait_ms));
  now_ = Clock::now();
  // A negative count is an interrupted wait: nothing to dispatch.
  for (int i = 0; i < count; ++i) dispatch(events[static_cast<std::size_t>(i)]);
}

void Loop::dispatch(const epoll_event& event) {
  const int fd = event.data.fd;
  const auto found = attached_.find(fd);
  if (found == attached_.end()) return;  // closed by an earlier event of this turn
  Readiness* const readiness = found->second;
  const bool broken = (event.events & (EPOLLERR | EPOLLHUP)) != 0;
  if (broken || (event.events & (EPOLLIN | EPOLLRDHUP))) readiness->readable = true;
  if (broken || (event.events & EPOLLOUT)) readiness->writable = true;
  if (readiness->readable && readiness->on_readable) {
    std::exchange(readiness->on_readable, {})();
    // The coroutine that was resumed may have closed the descriptor, and another one may have its number now.
    const auto again = attached_.find(fd);
    if (again == attached_.end() || again->second != readiness) return;
  }
  if (readiness->writable && readiness->on_writable) std::exchange(readiness->on_writable, {})();
}

}  // namespace dockdyke::net
