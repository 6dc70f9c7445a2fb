// The event that says why the start of an assigned task has not been sent.
#include <gtest/gtest.h>

#include "log_capture.hpp"
#include "simulation.hpp"

namespace dockdyke::testing {

// Guards against an event that is documented but not written.
TEST(UndispatchedTasksLogTest, LeaderLogsTaskWhoseAssignmentIsNotStored) {
  Simulation simulation({.seed = 1});
  simulation.submit(long_job_spec("job-1", 1));
  ASSERT_TRUE(simulation.run_until([&] { return simulation.active_task_count("job-1") == 1; }, 60));
  const LogCapture captured;
  // The leader's transactions take seconds. Another controller stores the job, whose task fits beside the
  // first.
  simulation.inject_fault(Simulation::host(*simulation.leader()), "store",
                          LinkFaultKind::apply_transaction_late, 20);
  simulation.submit(job_spec("job-2", 1));
  simulation.run(20);
  EXPECT_GT(captured.count_lines_with("event=undispatched_tasks"), 0u);
  EXPECT_GT(captured.count_lines_with("durable=false obstacle=none"), 0u);
}

}  // namespace dockdyke::testing
