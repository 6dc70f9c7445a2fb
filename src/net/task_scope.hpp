// An owner for long-lived coroutines.
#pragma once

#include <coroutine>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <iterator>
#include <map>
#include <utility>

#include "net/task.hpp"

namespace dockdyke::net {

// Owns the coroutines that are spawned in it, and destroys those that have not ended when it is destroyed,
// last spawned first. A destroyed coroutine is not resumed again; the destructors of its variables run.
//
// What the coroutines refer to must outlive the scope, so the scope is the last member of the object that
// they work for. It must not be destroyed by one of its own coroutines. An exception that leaves a coroutine
// ends the process, as with spawn().
class TaskScope {
 public:
  TaskScope() = default;
  TaskScope(const TaskScope&) = delete;
  TaskScope& operator=(const TaskScope&) = delete;
  ~TaskScope() {
    while (!running_.empty()) {
      const auto last = std::prev(running_.end());
      const std::coroutine_handle<> coroutine = last->second;
      running_.erase(last);
      coroutine.destroy();
    }
  }

  // Runs a task up to its first suspension within this call, and on from there by the loop.
  void spawn(Task<void> task);

  // Number of coroutines that have not ended.
  std::size_t running() const { return running_.size(); }

 private:
  // The coroutine around a spawned task.
  struct Root {
    struct promise_type;  // NOLINT(readability-identifier-naming): the language asks for this name
    std::coroutine_handle<promise_type> handle;
  };
  // Forgets a coroutine that has ended, and frees it.
  struct Ending {
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<Root::promise_type> ended) const noexcept;
    void await_resume() const noexcept {}
  };

  static Root run(TaskScope* scope, std::uint64_t number, Task<void> task);

  std::uint64_t next_number_ = 0;
  std::map<std::uint64_t, std::coroutine_handle<>> running_;  // in the order of spawning
};

struct TaskScope::Root::promise_type {
  promise_type(TaskScope* owner, std::uint64_t task_number, Task<void>& /*task*/)
      : scope(owner), number(task_number) {}
  Root get_return_object() { return {std::coroutine_handle<promise_type>::from_promise(*this)}; }
  std::suspend_always initial_suspend() const noexcept { return {}; }
  Ending final_suspend() const noexcept { return {}; }
  void return_void() const noexcept {}
  void unhandled_exception() const noexcept { std::terminate(); }

  TaskScope* scope;
  std::uint64_t number;
};

inline void TaskScope::Ending::await_suspend(std::coroutine_handle<Root::promise_type> ended) const noexcept {
  ended.promise().scope->running_.erase(ended.promise().number);
  ended.destroy();
}

inline void TaskScope::spawn(Task<void> task) {
  const std::uint64_t number = next_number_++;
  const Root root = run(this, number, std::move(task));
  running_.emplace(number, root.handle);
  root.handle.resume();
}

// The promise takes the first two parameters.
inline TaskScope::Root TaskScope::run(TaskScope* /*scope*/, std::uint64_t /*number*/, Task<void> task) {
  co_await task;
}

}  // namespace dockdyke::net
