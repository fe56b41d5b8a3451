// Runs that make no progress, and runs whose progress takes long to show.
#include <doctest/doctest.h>

#include "cell.h"
#include "cell_checks.h"

namespace citronsill::model {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

TaskBehavior TenMinutes() {
  TaskBehavior behavior;
  behavior.duration = minutes(10);
  return behavior;
}

// Guards against LOST (review/4): progress is reported in whole percent, which take 6 s for a task
// of ten minutes. It was stopped after 4.5 s without progress, over and over, and never ended.
TEST_CASE("stall: a task of ten minutes runs once") {
  Cell cell(1, 1, 4, Resources{8000, 8000, 0});
  cell.loop.After(milliseconds(1000), [&] { cell.Submit(cell.MakeJob("job", 3, TenMinutes())); });
  cell.loop.RunFor(minutes(11));
  CheckHistory(cell.history);
  CheckAllEnd(cell, {"job"});
  CHECK(cell.history.starts == 3);
}

// Declared durations are rough: a task that is a hundred times as long still ends.
TEST_CASE("stall: a task that takes far longer than declared ends after a few runs") {
  Cell cell(1, 1, 4, Resources{8000, 8000, 0});
  schema::JobSpec spec = cell.MakeJob("job", 3, TenMinutes());
  spec.mutable_steps(0)->set_estimate_ms(1000);
  cell.loop.After(milliseconds(1000), [&] { cell.Submit(spec); });
  cell.loop.RunFor(minutes(11));
  CheckHistory(cell.history);
  CheckAllEnd(cell, {"job"});
  CHECK(cell.history.starts <= 2 * 3);
}

// Guards against a stop that leaves a job without a running task, as no other worker may run it.
TEST_CASE("stall: a run is not stopped where no other worker may run the task") {
  Cell cell(1, 1, 1, Resources{8000, 8000, 0});
  schema::JobSpec spec = cell.MakeJob("job", 1, TenMinutes());
  spec.mutable_steps(0)->set_estimate_ms(1000);
  cell.loop.After(milliseconds(1000), [&] { cell.Submit(spec); });
  cell.loop.RunFor(minutes(11));
  CheckHistory(cell.history);
  CheckAllEnd(cell, {"job"});
  CHECK(cell.history.starts == 1);
}

// What the check is for: the tasks of a worker stand still while it answers calls.
TEST_CASE("stall: a task on a worker where nothing advances runs elsewhere soon") {
  Cell cell(1, 1, 2, Resources{8000, 8000, 0});
  TaskBehavior behavior;
  behavior.duration = seconds(2);
  cell.nodes["w0"].process->hangs = true;
  cell.nodes["w1"].process->hangs = true;
  cell.loop.After(milliseconds(1000), [&] { cell.Submit(cell.MakeJob("job", 1, behavior)); });
  cell.loop.After(milliseconds(2000), [&] {
    for (const char* id : {"w0", "w1"}) {
      const auto& process = cell.nodes[id].process;
      process->hangs = process->Free().processors_milli < 8000;
    }
  });
  cell.loop.RunFor(seconds(13));
  CheckHistory(cell.history);
  CheckAllEnd(cell, {"job"});
  CHECK(cell.history.starts == 2);
}

}  // namespace
}  // namespace citronsill::model
