#include "net/loop.hpp"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

#include "constants.hpp"

namespace dockdyke::net {

Loop::Loop(Time time)
    : time_(time),
      epoll_fd_(::epoll_create1(EPOLL_CLOEXEC)),
      now_(time == Time::real ? Clock::now() : TimePoint(std::chrono::hours(1))) {
  if (epoll_fd_ < 0) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

Loop::~Loop() {
  ::close(epoll_fd_);
}

std::int64_t Loop::time_of_day_ms() const {
  const auto since_epoch =
      time_ == Time::real ? std::chrono::system_clock::now().time_since_epoch() : now_.time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

Loop::TimerKey Loop::at(TimePoint when, std::function<void()> action) {
  TimerKey key{when, next_timer_++};
  timers_.emplace(key, std::move(action));
  return key;
}

void Loop::attach(int fd, Readiness* readiness) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.fd = fd;
  if (::epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event) != 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  attached_[fd] = readiness;
}

void Loop::detach(int fd) {
  attached_.erase(fd);
  ::epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
}

void Loop::run() {
  while (!stopping_) turn(constants::kMaxPollWait);
}

void Loop::turn(Duration limit) {
  if (!ready_.empty()) {
    limit = Duration::zero();
  } else if (!timers_.empty()) {
    limit = std::min(limit, std::max(Duration::zero(), timers_.begin()->first.first - now_));
  }
  if (time_ == Time::real) {
    take_events(limit);
  } else {
    now_ += limit;
  }

  while (!timers_.empty() && timers_.begin()->first.first <= now_) {
    auto action = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    action();
  }

  for (auto pending = ready_.size(); pending > 0; --pending) {
    auto next = ready_.front();
    ready_.pop_front();
    next.resume();
  }
}

void Loop::take_events(Duration limit) {
  // Rounded up: waking a fraction of a millisecond early would only cost another turn.
  auto wait_ms = std::chrono::ceil<std::chrono::milliseconds>(limit).count();
  std::array<epoll_event, constants::kMaxEventsPerTurn> events;
  int count =
      ::epoll_wait(epoll_fd_, events.data(), static_cast<int>(events.size()), static_cast<int>(wait_ms));
  now_ = Clock::now();

  for (int i = 0; i < count; ++i) {
    const auto& event = events[static_cast<std::size_t>(i)];
    auto found = attached_.find(event.data.fd);
    if (found == attached_.end()) continue;  // closed by an earlier event of this turn
    Readiness* readiness = found->second;
    const bool broken = (event.events & (EPOLLERR | EPOLLHUP)) != 0;
    if (broken || (event.events & (EPOLLIN | EPOLLRDHUP))) readiness->readable = true;
    if (broken || (event.events & EPOLLOUT)) readiness->writable = true;
    if (readiness->readable && readiness->on_readable) {
      std::exchange(readiness->on_readable, {})();
      if (auto again = attached_.find(event.data.fd); again == attached_.end() || again->second != readiness)
        continue;
    }
    if (readiness->writable && readiness->on_writable) std::exchange(readiness->on_writable, {})();
  }
}

}  // namespace dockdyke::net
