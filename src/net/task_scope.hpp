// Owns long-lived coroutines and destroys them on scope exit.
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

// Owns the coroutines that are spawned in it. Its destructor destroys those that have not ended, in reverse
// order of spawning. A destroyed coroutine is not resumed again; the destructors of its variables run.
//
// Objects that the coroutines refer to must outlive the scope, so the scope is declared as the last member of
// its owner. One of its own coroutines must not destroy it. An exception that leaves a coroutine terminates
// the process, as with spawn().
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

  // Starts a task and runs it up to its first suspension within this call; the loop resumes it later.
  void spawn(Task<void> task);

  // Returns the number of coroutines that have not ended.
  std::size_t running_count() const { return running_.size(); }

 private:
  // The return type of the coroutine that wraps a spawned task.
  struct Root {
    struct promise_type;  // NOLINT(readability-identifier-naming): name required by the language
    std::coroutine_handle<promise_type> handle;
  };
  // Removes a finished coroutine from the scope and frees it.
  struct FinalAwaiter {
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<Root::promise_type> finished) const noexcept;
    void await_resume() const noexcept {}
  };

  static Root run(TaskScope* scope, std::uint64_t task_number, Task<void> task);

  std::uint64_t next_task_number_ = 0;
  std::map<std::uint64_t, std::coroutine_handle<>> running_;  // by task number, so in order of spawning
};

struct TaskScope::Root::promise_type {
  promise_type(TaskScope* owning_scope, std::uint64_t assigned_number, Task<void>& /*task*/)
      : scope(owning_scope), task_number(assigned_number) {}
  Root get_return_object() { return {std::coroutine_handle<promise_type>::from_promise(*this)}; }
  std::suspend_always initial_suspend() const noexcept { return {}; }
  FinalAwaiter final_suspend() const noexcept { return {}; }
  void return_void() const noexcept {}
  void unhandled_exception() const noexcept { std::terminate(); }

  TaskScope* scope;
  std::uint64_t task_number;
};

inline void TaskScope::FinalAwaiter::await_suspend(
    std::coroutine_handle<Root::promise_type> finished) const noexcept {
  finished.promise().scope->running_.erase(finished.promise().task_number);
  finished.destroy();
}

inline void TaskScope::spawn(Task<void> task) {
  const std::uint64_t task_number = next_task_number_++;
  const Root root = run(this, task_number, std::move(task));
  running_.emplace(task_number, root.handle);
  root.handle.resume();
}

// The unnamed parameters are used by the constructor of the promise.
inline TaskScope::Root TaskScope::run(TaskScope* /*scope*/, std::uint64_t /*task_number*/, Task<void> task) {
  co_await task;
}

}  // namespace dockdyke::net
