// Coroutines: Task, which yields one value to the coroutine that awaits it, and spawn() for one that nobody
// awaits.
//
// Rules for coroutines in this program
//
// Ownership
//   - A Task owns its coroutine and destroys it with itself. A coroutine starts when its Task is awaited, not
//     when it is called, and it is awaited at most once.
//   - An awaited coroutine lives in the frame of the one that awaits it, which is suspended until it ends.
//   - A spawned coroutine owns itself. It starts at once, within spawn(), and frees itself when it ends.
//     Nothing cancels it: one that outlives the object it works for has to ask, after each suspension,
//     whether that object is still in charge, and to end if it is not.
//   - A coroutine spawned in a TaskScope (net/task_scope.hpp) belongs to the scope, which destroys it, where
//     it is suspended, with itself. Every awaiter therefore takes back, in its destructor, what it has left
//     with the loop.
//
// Lifetime of what a coroutine refers to
//   - A coroutine that is spawned, or that may outlive the call that made it, takes its parameters by value.
//     `this` and references are allowed where the doc comment of the class says that the object outlives its
//     coroutines, or where the coroutine holds a shared_ptr to it.
//   - A coroutine that is awaited at once may take references to variables of the one that awaits it.
//   - A lambda that is a coroutine may capture only what, as the lambda itself, outlives the coroutine:
//     captures are part of the lambda, not of the frame. Otherwise it passes everything as parameters.
//   - A view, span or iterator is kept across a suspension only into what this coroutine owns or the one that
//     awaits it owns.
//   - A result is stored in a named variable before it is tested, and an aggregate is passed in a named
//     variable as well: GCC 12 copies one written in braces within an expression with co_await byte by byte,
//     and its strings are freed twice.
//
// What may change across a suspension
//   - Everything runs on the thread of one event loop, so nothing changes between two suspensions and there
//     are no locks. At each co_await anything may change that others can reach: members, containers, the
//     time.
//   - Members read before a suspension are read again after it, or a comment says why they are still valid. A
//     check is made after the last suspension before the action that rests on it.
//   - Awaiting a Task does not suspend by itself: control passes straight into the coroutine and, at its end,
//     straight back. Only an awaiter that waits for the loop (a sleep, a OneShot, a WakeUp, a socket) lets
//     others run.
//   - OneShot::set and WakeUp::notify resume the waiting coroutine in the next pass of the loop, never within
//     the call. A timer resumes it from the loop itself.
//
// Exceptions
//   - An exception that leaves a coroutine is rethrown in the one that awaits it. One that leaves a spawned
//     coroutine ends the process. Failures that are to be expected (a service that does not answer, a message
//     that does not parse) are therefore returned as values.
#pragma once

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace dockdyke::net {

template <class T>
class Task;

namespace detail {

// Passes control from a coroutine that has ended to the one that awaits it.
struct FinalAwaiter {
  bool await_ready() noexcept { return false; }
  template <class Promise>
  std::coroutine_handle<> await_suspend(std::coroutine_handle<Promise> done) noexcept {
    auto next = done.promise().continuation;
    return next ? next : std::noop_coroutine();
  }
  void await_resume() noexcept {}
};

// What the promises of all tasks have in common. The coroutine is not started by its creation.
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
  T take() {
    if (error) std::rethrow_exception(error);
    return std::move(*value);
  }
};

template <>
struct Promise<void> : PromiseBase {
  Task<void> get_return_object();
  void return_void() noexcept {}
  void take() {
    if (error) std::rethrow_exception(error);
  }
};

}  // namespace detail

// A coroutine that has not been awaited yet, or is being awaited. Awaiting it gives the value that it
// returns, or throws what left it. A Task that was moved from must not be awaited.
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
  T await_resume() { return handle_.promise().take(); }

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

// A coroutine nobody awaits: it starts at once and frees itself at its end.
struct Detached {
  struct promise_type {  // NOLINT(readability-identifier-naming): the language asks for this name
    Detached get_return_object() noexcept { return {}; }
    std::suspend_never initial_suspend() noexcept { return {}; }
    std::suspend_never final_suspend() noexcept { return {}; }
    void return_void() noexcept {}
    void unhandled_exception() noexcept { std::terminate(); }
  };
};
}  // namespace detail

// Runs a task on its own, up to its first suspension within this call. An exception that leaves it is a
// defect of the program and ends the process, which is restarted with everything durable in the state
// service.
inline void spawn(Task<void> task) {
  [](Task<void> owned) -> detail::Detached { co_await owned; }(std::move(task));
}

}  // namespace dockdyke::net
