// Tests the limit of the memory that the jobs of a scheduler take. Guards against callers that end
// each scheduler, one after the other, with jobs that are within the limits of a single job.
#include "cell/job_memory.h"

#include <doctest/doctest.h>

#include "cell/limits.h"
#include "cell/scheduler.h"

namespace citronsill {
namespace {

constexpr std::size_t kMaxBytes = 1U << 20;

schema::JobSpec MakeJob(const std::string& id, std::size_t payload_bytes, bool has_times) {
  schema::JobSpec spec;
  spec.set_id(id);
  spec.set_payload(std::string(payload_bytes, 'x'));
  schema::StepSpec& step = *spec.add_steps();
  step.set_task_count(1);
  step.mutable_size()->set_processors_milli(100);
  if (has_times) {
    spec.set_occurrences(1);
    spec.set_first_start_unix_ms(4'102'444'800'000);
  }
  return spec;
}

// A scheduler without workers.
struct Fixture {
  Fixture() {
    SchedulerOptions options;
    options.shard = "s0";
    options.term = 1;
    options.lease = milliseconds(5000);
    options.keep_finished = milliseconds(1000);
    options.max_job_bytes = kMaxBytes;
    SchedulerHooks hooks;
    hooks.now = [this] { return now; };
    hooks.wall = [this] { return WallTime(now.time_since_epoch()); };
    hooks.may_lead = [] { return true; };
    hooks.advice_capacity = [] { return AdviceCapacity{8, 8, 8}; };
    hooks.has_writes = [] {};
    hooks.plan_soon = [] {};
    scheduler = std::make_unique<Scheduler>(options, std::move(hooks));
  }

  // Submits jobs until one is refused. @returns the number that was accepted.
  int Fill(const std::string& prefix, std::size_t payload_bytes, bool has_times) {
    for (int count = 0;; ++count) {
      if (!Submit(MakeJob(prefix + std::to_string(count), payload_bytes, has_times))) return count;
    }
  }

  // @returns whether the job was accepted and stored.
  bool Submit(const schema::JobSpec& spec) {
    bool accepted = false;
    scheduler->Submit(spec, milliseconds(0), [&](const Result<schema::JobState>& result) {
      accepted = static_cast<bool>(result);
      if (!result) CHECK(result.error().code == schema::CODE_OVERLOADED);
    });
    const WriteBatch batch = scheduler->TakeBatch(kMaxTransactionEntries, kMaxTransactionBytes);
    scheduler->OnStored(batch.position);
    return accepted;
  }

  SteadyTime now{std::chrono::hours(1)};
  std::unique_ptr<Scheduler> scheduler;
};

TEST_CASE("job memory: jobs are refused before they take more than the limit") {
  Fixture cell;
  CHECK(cell.Fill("a", kMaxTaskPayloadBytes, false) > 100);
  cell.scheduler->Tick();
  CHECK(cell.scheduler->JobBytes() < kMaxBytes);
  // Small jobs still fit when large ones no longer do.
  CHECK(cell.Submit(MakeJob("small", 10, false)));
}

TEST_CASE("job memory: jobs that wait for their time leave room for others") {
  Fixture cell;
  CHECK(cell.Fill("a", 100, true) > 100);
  CHECK(cell.scheduler->JobBytes() <= kMaxBytes / kScheduledJobsPart);
  CHECK(cell.Submit(MakeJob("now", kMaxTaskPayloadBytes, false)));
}

TEST_CASE("job memory: jobs that have ended make room") {
  Fixture cell;
  const int count = cell.Fill("a", kMaxTaskPayloadBytes, false);
  for (int i = 0; i < count; ++i) {
    cell.scheduler->Cancel("a" + std::to_string(i), [](const Result<schema::JobState>&) {});
    const WriteBatch batch =
        cell.scheduler->TakeBatch(kMaxTransactionEntries, kMaxTransactionBytes);
    cell.scheduler->OnStored(batch.position);
  }
  cell.scheduler->Tick();
  CHECK(cell.Submit(MakeJob("later", kMaxTaskPayloadBytes, false)));
}

TEST_CASE("job memory: a job of the largest size fits when there is little else") {
  schema::JobSpec spec = MakeJob("large", kMaxTaskPayloadBytes, false);
  for (int i = 1; i < kMaxSteps; ++i) *spec.add_steps() = spec.steps(0);
  for (schema::StepSpec& step : *spec.mutable_steps()) {
    step.set_task_count(kMaxTasksPerJob / kMaxSteps);
    step.set_required_label(std::string(600, 'x'));
  }
  REQUIRE(ValidateJob(spec));
  CHECK(JobMemory(kMaxJobBytes, 0).WhyRefused(spec) == nullptr);
}

}  // namespace
}  // namespace citronsill
