// Time limit for code that might not end.
#pragma once

#include <unistd.h>

#include <cstdlib>
#include <functional>

namespace dockdyke::testing {

// Runs the code and exits with status 0. SIGALRM ends the process if the code takes longer than
// `time_limit_s` of real time. For use in a death test, which runs it in a process of its own.
[[noreturn]] inline void run_and_exit(unsigned time_limit_s, const std::function<void()>& code) {
  ::alarm(time_limit_s);
  code();
  std::_Exit(EXIT_SUCCESS);
}

}  // namespace dockdyke::testing
