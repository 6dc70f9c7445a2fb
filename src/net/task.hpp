// Coroutine support: Task, whose value is returned to the coroutine that awaits it, and spawn() for tasks
// that run without being awaited.
//
// Rules for coroutines in this program
//
// Ownership
//   - A Task owns its coroutine and destroys it in its destructor. The coroutine starts when the Task is
//     awaited, not when the coroutine function is called, and is awaited at most once.
//   - An awaited Task lives in the frame of the awaiting coroutine, which is suspended until the task ends.
//   - A coroutine started with spawn() runs immediately up to its first suspension and frees itself when it
//     ends. Nothing cancels it: a coroutine that may outlive the object it works for must check after each
//     suspension whether it should still run, and return if not.
//   - A coroutine spawned in a TaskScope (net/task_scope.hpp) is owned by the scope, whose destructor also
//     destroys coroutines that are suspended. Every awaiter must therefore deregister its timers and
//     callbacks from the loop in its destructor.
//
// Lifetime of parameters and captures
//   - A coroutine that is spawned, or that may outlive the call that created it, takes its parameters by
//     value. `this` and references are allowed if the class comment states that the object outlives its
//     coroutines, or if the coroutine holds a shared_ptr to the object.
//   - A coroutine that is awaited immediately may take references to variables of the awaiting coroutine.
//   - Captures belong to the lambda object and not to the coroutine frame. A coroutine lambda may therefore
//     have captures only if the lambda object and everything captured outlive the coroutine; otherwise it
//     takes everything as parameters.
//   - A view, span or iterator may be kept across a suspension only if this coroutine or the one awaiting it
//     owns the underlying object.
//   - Store the result of co_await in a named variable before testing it, and pass aggregates as named
//     variables: GCC 12 copies a braced temporary in a co_await expression bytewise, so that its strings are
//     freed twice.
//
// State across suspensions
//   - All code runs on the thread of one event loop, so no other code runs between two suspensions and no
//     locks are needed. At each co_await, anything that other code can reach may change: members, containers,
//     the time.
//   - Re-read members after each suspension, or explain in a comment why the earlier value is still valid.
//     Check the precondition of an action after the last suspension before it.
//   - Awaiting a Task does not suspend to the loop: control passes directly into the coroutine and, when it
//     ends, directly back. Only awaiters that wait for the loop (Sleep, OneShot, WakeUp, Socket) let other
//     coroutines run.
//   - OneShot::set and WakeUp::notify resume the waiting coroutine later from the loop, never within the
//     call. A timer also resumes it from the loop.
//
// Exceptions
//   - An exception that leaves a coroutine is rethrown in the awaiting coroutine. One that leaves a spawned
//     coroutine terminates the process. Expected failures (a service that does not respond, a malformed
//     message) are therefore returned as values.
#pragma once

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace dockdyke::net {

template <class T>
class Task;

namespace detail {

// Transfers control from a finished coroutine to the coroutine that awaits it.
struct FinalAwaiter {
  bool await_ready() noexcept { return false; }
  template <class Promise>
  std::coroutine_handle<> await_suspend(std::coroutine_handle<Promise> finished) noexcept {
    auto continuation = finished.promise().continuation;
    return continuation ? continuation : std::noop_coroutine();
  }
  void await_resume() noexcept {}
};

// Common base of the promises of all tasks. A coroutine is suspended at its start until it is awaited.
struct PromiseBase {
  std::coroutine_handle<> continuation;
  std::exception_ptr error;

  std::suspend_always initial_suspend() noexcept { return {}; }
  FinalAwaiter final_suspend() noexcept { return {}; }
  void unhandled_exception() noexcept { error = std::current_exception(); }
};

template <class T>
struct Promise : PromiseBase {
  std::optional<T> value;

  Task<T> get_return_object();
  void return_value(T result) { value.emplace(std::move(result)); }
  T take_result() {
    if (error) std::rethrow_exception(error);
    return std::move(*value);
  }
};

template <>
struct Promise<void> : PromiseBase {
  Task<void> get_return_object();
  void return_void() noexcept {}
  void take_result() {
    if (error) std::rethrow_exception(error);
  }
};

}  // namespace detail

// Owns a coroutine that starts when the Task is awaited. Awaiting it returns the value of the coroutine or
// rethrows the exception that left it. A moved-from Task must not be awaited.
template <class T>
class [[nodiscard]] Task {
 public:
  using promise_type = detail::Promise<T>;
  using Handle = std::coroutine_handle<promise_type>;

  explicit Task(Handle handle) noexcept : handle_(handle) {}
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
  Task& operator=(Task&& other) noexcept {
    if (this != &other) {
      if (handle_) handle_.destroy();
      handle_ = std::exchange(other.handle_, {});
    }
    return *this;
  }
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;
  ~Task() {
    if (handle_) handle_.destroy();
  }

  bool await_ready() const noexcept { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> waiting) noexcept {
    handle_.promise().continuation = waiting;
    return handle_;
  }
  T await_resume() { return handle_.promise().take_result(); }

 private:
  Handle handle_;
};

namespace detail {
template <class T>
Task<T> Promise<T>::get_return_object() {
  return Task<T>(std::coroutine_handle<Promise<T>>::from_promise(*this));
}
inline Task<void> Promise<void>::get_return_object() {
  return Task<void>(std::coroutine_handle<Promise<void>>::from_promise(*this));
}

// Return type of a coroutine that starts immediately, is never awaited and frees itself when it ends.
struct Detached {
  struct promise_type {  // NOLINT(readability-identifier-naming): name required by the language
    Detached get_return_object() noexcept { return {}; }
    std::suspend_never initial_suspend() noexcept { return {}; }
    std::suspend_never final_suspend() noexcept { return {}; }
    void return_void() noexcept {}
    void unhandled_exception() noexcept { std::terminate(); }
  };
};
}  // namespace detail

// Starts a task that nothing awaits and runs it up to its first suspension within this call. An exception
// that leaves the task is a bug and terminates the process; it restarts from the state stored in the state
// service.
inline void spawn(Task<void> task) {
  [](Task<void> owned) -> detail::Detached { co_await owned; }(std::move(task));
}

}  // namespace dockdyke::net
