// Tests which runs count as attempts of a task whose job has failed.
#include <doctest/doctest.h>

#include "cell.h"

namespace citronsill {
namespace {

// Guards against a log line of a failed job that does not name the runs that used up its attempts.
TEST_CASE("outcome: a failed job names the runs of the task that used up its attempts") {
  Job job;
  job.spec.set_id("j");
  job.spec.mutable_queue()->set_max_attempts(3);
  job.spec.add_steps()->set_task_count(2);
  job.spec.add_steps()->set_task_count(2);
  job.spec.mutable_steps(1)->set_gang(true);
  BeginOccurrence(&job);
  job.failures = {{0, 0, 0, 4, "w1"},
                  {0, 0, 1, 5, "w2"},
                  {0, 0, 0, 9, "w3"},
                  {0, 1, 0, 2, "w4"},
                  {0, 1, 1, 3, "w5"}};
  // One of the three failures was counted by an earlier scheduler and has no record here.
  FinalCause cause = AttemptsUsedUp(job.steps[0]->tasks[0], 3);
  CHECK(cause.cause == "attempts");
  CHECK(cause.task == TaskRef{"j", 0, 0, 0});
  CHECK(cause.failures == 3);
  CHECK(cause.attempts == 3);
  CHECK(cause.runs == "4@w1,9@w3");
  // The attempts of a gang are those of all of its members.
  cause = AttemptsUsedUp(job.steps[1]->tasks[1], 2);
  CHECK(cause.runs == "2@w4,3@w5");
}

// Guards against counting runs as attempts that did not end as failed, such as runs whose lease
// expired.
TEST_CASE("outcome: only failed runs count as attempts") {
  using namespace model;
  Cell cell(3, 1, 3, Resources{8000, 8000, 0});
  TaskBehavior failing;
  failing.fails = true;
  TaskBehavior lasting;
  lasting.duration = milliseconds(20000);
  cell.loop.After(milliseconds(1000), [&] {
    cell.Submit(cell.MakeJob("failing", 1, failing));
    cell.Submit(cell.MakeJob("lapsing", 12, lasting));
  });
  cell.loop.After(milliseconds(2500), [&] { cell.KillWorker("w0"); });
  std::vector<CountedFailure> counted;
  for (int i = 0; i < 5000; ++i) {
    cell.loop.RunFor(milliseconds(4));
    if (cell.Leader() == nullptr) continue;
    const auto current = cell.Leader()->scheduler->CountedFailures("failing");
    if (current.size() > counted.size()) counted = current;
    CHECK(cell.Leader()->scheduler->CountedFailures("lapsing").empty());
  }
  CHECK(cell.history.starts > 3 + 12);  // Some tasks were restarted because their lease expired.
  REQUIRE(counted.size() == 3);
  for (const CountedFailure& failure : counted) {
    const auto end = cell.history.ends.find({TaskRef{"failing", 0, 0, 0}, failure.run});
    REQUIRE(end != cell.history.ends.end());
    CHECK(end->second == RunEnd::kFailed);
  }
}

}  // namespace
}  // namespace citronsill
