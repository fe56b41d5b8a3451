// Scheduled jobs: occurrences that overlap, that are long past, or that no deployment can serve.
#include <doctest/doctest.h>

#include "cell.h"
#include "cell/job.h"
#include "cell_checks.h"
#include "platform/platform.h"

namespace citronsill::model {
namespace {

using std::chrono::seconds;

constexpr std::int64_t kDayMs = 86'400'000;

std::int64_t UnixMs(const Loop& loop) {
  return std::chrono::duration_cast<milliseconds>(loop.Now().time_since_epoch()).count();
}

schema::JobSpec MakeScheduled(Cell& cell, const std::string& id, std::uint32_t tasks,
                              TaskBehavior behavior, std::uint32_t occurrences,
                              std::int64_t interval_ms, int steps = 1) {
  schema::JobSpec spec = cell.MakeJob(id, tasks, behavior, steps);
  spec.set_occurrences(occurrences);
  spec.set_interval_ms(interval_ms);
  spec.set_first_start_unix_ms(UnixMs(cell.loop));
  return spec;
}

// Guards against LOST (class of review/1): a scheduled job whose occurrences were all due at once
// was made into steps in one go, and the steps were compared with each other; no scheduler that got
// the job answered anybody again.
TEST_CASE("occurrences: a job that is a day behind its schedule does not stop other jobs") {
  Cell cell(1, 3, 4, Resources{8000, 8000, 0});
  TaskBehavior quick;
  quick.duration = milliseconds(100);
  quick.size = {100, 64, 0};
  schema::JobSpec late = MakeScheduled(cell, "late", 1, quick, 86'400, 1000);
  late.set_first_start_unix_ms(UnixMs(cell.loop) - kDayMs);
  std::vector<std::string> others;
  TaskBehavior behavior;
  behavior.duration = milliseconds(500);
  cell.loop.After(milliseconds(1000), [&] { cell.Submit(late); });
  for (int i = 0; i < 20; ++i) {
    others.push_back("other" + std::to_string(i));
    cell.loop.After(milliseconds(2000 + 300 * i),
                    [&, id = others.back()] { cell.Submit(cell.MakeJob(id, 4, behavior)); });
  }
  // The next scheduler gets the job as well.
  cell.loop.After(milliseconds(4500), [&] {
    if (cell.Leader() != nullptr) cell.Leader()->Kill();
  });
  cell.loop.RunFor(seconds(16));
  CheckHistory(cell.history);
  CheckAllEnd(cell, others);
  CHECK(cell.accepted.contains("late"));
  CHECK(cell.State("late") == schema::JOB_STATE_RUNNING);
  CHECK(cell.history.starts > 500);
}

// Guards against a backlog of one job that counts as load: other jobs would be refused.
TEST_CASE("occurrences: few tasks of a job behind its schedule wait at a time") {
  Job job;
  job.spec.set_id("j");
  job.spec.set_occurrences(100'000);
  job.spec.add_steps()->set_task_count(3);
  CHECK(OccurrencesToBegin(job) == (kMaxWaitingOccurrenceTasks + 2) / 3);
  for (auto left = OccurrencesToBegin(job); left > 0; --left) BeginOccurrence(&job);
  CHECK(OccurrencesToBegin(job) == 0);
  // Tasks that have a worker do not wait, but all that exist count.
  Order order;
  while (job.steps.size() < 2 * kMaxLiveTasksPerJob) {
    for (const auto& step : job.steps) {
      for (Task& task : step->tasks) task.orders = {&order};
    }
    const auto count = OccurrencesToBegin(job);
    if (count == 0) break;
    for (auto left = count; left > 0; --left) BeginOccurrence(&job);
  }
  CHECK(job.steps.size() == kMaxLiveTasksPerJob / 3);
}

// Guards against memory that grows with the jobs that wait: the process would be killed, and so
// would the next scheduler, which loads all of them.
TEST_CASE("occurrences: no more tasks exist than a scheduler can hold") {
  Cell cell(1, 2, 2, Resources{8000, 8000, 0});
  TaskBehavior lasting;
  lasting.duration = seconds(600);
  constexpr int kJobs = 200;
  const std::uint64_t fitting = kMaxLiveTasks / kMaxTasksPerStep;
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  cell.loop.After(milliseconds(3000), [&] {
    REQUIRE(cell.Leader() != nullptr);
    for (int i = 0; i < kJobs; ++i) {
      schema::JobSpec spec = cell.MakeJob("job" + std::to_string(i), kMaxTasksPerStep, lasting);
      // Every other one is scheduled, and all of its occurrences are due.
      if (i % 2 == 0) {
        spec.set_occurrences(1000);
        spec.set_first_start_unix_ms(-kDayMs);
      }
      cell.history.submitted.insert(spec.id());
      cell.Leader()->scheduler->Submit(spec, milliseconds(0), [&](const auto& result) {
        (result ? accepted : refused) += 1;
        if (!result) CHECK(result.error().code == schema::CODE_OVERLOADED);
      });
    }
  });
  cell.loop.RunFor(seconds(6));
  CHECK(accepted >= fitting / 2);
  CHECK(accepted + refused == kJobs);
  std::uint64_t later_refused = 0;
  cell.Leader()->scheduler->Submit(cell.MakeJob("later", 1, lasting), milliseconds(0),
                                   [&](const auto& result) { later_refused += result ? 0 : 1; });
  CHECK(later_refused == 1);
  CHECK(cell.Leader()->scheduler->LiveTasks() >= kMaxLiveTasks);
  CHECK(cell.Leader()->scheduler->LiveTasks() <= kMaxLiveTasks + kMaxTasksPerStep);
  // What has ended makes room.
  for (int i = 0; i < kJobs; ++i) {
    cell.Leader()->scheduler->Cancel("job" + std::to_string(i), [](const auto&) {});
  }
  cell.loop.RunFor(seconds(5));
  CHECK(cell.Leader()->scheduler->LiveTasks() < kMaxLiveTasks);
  CheckHistory(cell.history);
}

TEST_CASE("occurrences: those that are over are removed, with their failures") {
  Job job;
  job.spec.set_id("j");
  job.spec.set_occurrences(10);
  job.spec.add_steps()->set_task_count(1);
  job.spec.add_steps()->set_task_count(2);
  job.spec.mutable_steps(1)->add_after(0);
  for (int i = 0; i < 5; ++i) BeginOccurrence(&job);
  const auto finish = [&job](std::uint32_t occurrence) {
    for (const auto& step : StepsOf(job, occurrence)) {
      step->done_count = static_cast<std::uint32_t>(step->tasks.size());
    }
  };
  job.failures = {{1, 0, 0, 4, "w1"}, {2, 0, 0, 5, "w1"}};
  finish(0);
  finish(1);
  finish(3);
  Order order;
  StepsOf(job, 3)[1]->tasks[0].orders = {&order};
  RemoveEndedOccurrences(&job);
  CHECK(job.occurrences_done == 2);
  CHECK(StepsOf(job, 0).empty());
  CHECK(FindStep(job, 1, 0) == nullptr);
  for (const std::uint32_t occurrence : {2U, 3U, 4U}) {
    REQUIRE(StepsOf(job, occurrence).size() == 2);
    CHECK(FindStep(job, occurrence, 1)->occurrence == occurrence);
    CHECK(FindStep(job, occurrence, 1)->number == 1);
    CHECK(PredecessorsDone(*FindStep(job, occurrence, 1)) == (occurrence == 3));
  }
  REQUIRE(job.failures.size() == 1);
  CHECK(job.failures[0].occurrence == 2);
}

// Guards against times that overflow: an occurrence in the far future would be due at once.
TEST_CASE("occurrences: an occurrence beyond the latest time is never due") {
  Job job;
  job.spec.set_occurrences(UINT32_MAX);
  job.spec.set_first_start_unix_ms(INT64_MAX - 5);
  job.spec.set_interval_ms(3);
  CHECK(OccurrenceDue(job, 1) == milliseconds(INT64_MAX - 2));
  CHECK(OccurrenceDue(job, 2) == milliseconds::max());
  job.spec.set_first_start_unix_ms(0);
  job.spec.set_interval_ms(INT64_MAX);
  CHECK(OccurrenceDue(job, 1) == milliseconds::max());
  CHECK(OccurrenceDue(job, UINT32_MAX - 1) == milliseconds::max());
  job.spec.set_first_start_unix_ms(-1000);
  job.spec.set_interval_ms(400);
  CHECK(OccurrenceDue(job, 3) == milliseconds(200));
}

schema::JobSpec MakeValid() {
  schema::JobSpec spec;
  spec.set_id("00000000000000aa");
  spec.add_steps()->set_task_count(2);
  spec.add_steps()->set_task_count(3);
  return spec;
}

// What no deployment can serve is refused when it is submitted, and what the protocol allows is
// not.
TEST_CASE("occurrences: a job that cannot be served is refused") {
  CHECK(ValidateJob(MakeValid()));
  schema::JobSpec spec = MakeValid();
  spec.set_occurrences(UINT32_MAX);
  CHECK(ValidateJob(spec));
  spec.set_interval_ms(-1);
  CHECK_FALSE(ValidateJob(spec));
  // Tasks that run until the job is cancelled all exist at the same time.
  spec = MakeValid();
  spec.mutable_steps(0)->set_long_running(true);
  spec.set_occurrences(kMaxLiveTasksPerJob / 5);
  CHECK(ValidateJob(spec));
  spec.set_occurrences(kMaxLiveTasksPerJob / 5 + 1);
  CHECK_FALSE(ValidateJob(spec));
  spec.set_occurrences(UINT32_MAX);
  CHECK_FALSE(ValidateJob(spec));
  for (const std::int64_t amount : {std::int64_t{-1}, kMaxTaskResource + 1, INT64_MAX, INT64_MIN}) {
    CAPTURE(amount);
    spec = MakeValid();
    spec.mutable_steps(1)->mutable_size()->set_memory_mb(amount);
    CHECK_FALSE(ValidateJob(spec));
  }
  // The row of a job has to hold all of it.
  spec = MakeValid();
  spec.mutable_steps(0)->set_image(std::string(kMaxRowBytes - 200, 'x'));
  CHECK(ValidateJob(spec));
  spec.mutable_steps(1)->set_required_label(std::string(200, 'x'));
  CHECK_FALSE(ValidateJob(spec));
}

// Guards against numbers that become others when they are converted: 4,294,967,296 occurrences
// were none, so that the job ran at once, and -1 was 4,294,967,295.
TEST_CASE("occurrences: numbers of a submission that do not fit are refused") {
  const auto read = [](const std::string& field, const std::string& step_field) {
    return platform::ReadJob(R"({"spec":"x",)" + field + R"("steps":[{"count":1,)" + step_field +
                             R"("cpu":100,"memMb":1}]})");
  };
  CHECK(
      read(R"("maxRuns":4294967295,"startTimeMs":-5,"intervalMs":1,)", "").value().occurrences() ==
      UINT32_MAX);
  for (const char* field : {R"("maxRuns":4294967296,)", R"("maxRuns":-1,)", R"("maxRuns":1e300,)",
                            R"("maxRuns":18446744073709551615,)",
                            R"("startTimeMs":18446744073709551615,)", R"("intervalMs":1e300,)"}) {
    CAPTURE(field);
    CHECK_FALSE(read(field, ""));
  }
  for (const char* field : {R"("maxPerServer":-1,)", R"("maxPerServer":4294967297,)",
                            R"("mayMiss":4294967296,)", R"("gpu":18446744073709551615,)"}) {
    CAPTURE(field);
    CHECK_FALSE(read("", field));
  }
}

// A list of predecessors may name a step many times; that means the same as naming it once.
TEST_CASE("occurrences: repeated entries of a list of predecessors take no time") {
  schema::JobSpec spec = MakeValid();
  spec.add_steps()->set_task_count(1);
  for (int i = 0; i < 200'000; ++i) spec.mutable_steps(2)->add_after(i % 2 == 0 ? 1 : 0);
  NormalizeJob(&spec);
  REQUIRE(spec.steps(2).after_size() == 2);
  CHECK(spec.steps(2).after(0) == 0);
  CHECK(spec.steps(2).after(1) == 1);
  CHECK(ValidateJob(spec));
}

// Guards against sums that overflow: declared durations are numbers of the caller.
TEST_CASE("occurrences: any declared duration gives a job an objective and a worker") {
  for (const std::int64_t estimate : {INT64_MAX, INT64_MIN, std::int64_t{-1}, std::int64_t{0}}) {
    CAPTURE(estimate);
    Cell cell(1, 1, 2, Resources{8000, 8000, 0});
    TaskBehavior behavior;
    behavior.duration = milliseconds(300);
    schema::JobSpec spec = cell.MakeJob("job", 2, behavior, 3);
    for (auto& step : *spec.mutable_steps()) step.set_estimate_ms(estimate);
    cell.loop.After(milliseconds(1000), [&] { cell.Submit(spec); });
    cell.loop.RunFor(seconds(8));
    CheckHistory(cell.history);
    CheckAllEnd(cell, {"job"});
  }
}

}  // namespace
}  // namespace citronsill::model
