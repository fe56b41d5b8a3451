// Tests that metrics and log lines show when a process cannot keep up.
#include "cell/overload.h"

#include <doctest/doctest.h>

#include "cell/limits.h"
#include "cell/scheduler.h"

namespace citronsill {
namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

constexpr SteadyTime kNow{seconds(1000)};

// Guards against an event loop that blocks for a moment each second but looks healthy on average.
TEST_CASE("overload: one late timer shows in the maximum lag, but not in its 90th percentile") {
  LoopMeter meter(milliseconds(50), kNow, microseconds(0));
  SteadyTime now = kNow;
  for (int i = 0; i < 19; ++i) {
    now += milliseconds(i == 7 ? 50 + 320 : 50);
    CHECK(meter.OnProbe(now) == milliseconds(i == 7 ? 320 : 0));
  }
  const LoopLoad load = meter.EndWindow(now, microseconds(0), 1000);
  CHECK(load.lag_max == milliseconds(320));
  CHECK(load.lag_p90 == milliseconds(0));
  CHECK(meter.EndWindow(now + milliseconds(50), microseconds(0), 1000).lag_max == milliseconds(0));
}

// Guards against a window that ends while the loop is blocked and shows no lag because the timer
// fires only after it.
TEST_CASE("overload: the delay of an overdue timer counts before it fires") {
  LoopMeter meter(milliseconds(50), kNow, microseconds(0));
  CHECK(meter.EndWindow(kNow + milliseconds(900), microseconds(0), 1000).lag_max ==
        milliseconds(850));
}

// Guards against comparing processor time with a whole core instead of the share, or with one
// second instead of the window, which is longer when the loop is late.
TEST_CASE("overload: processor time is compared with the share of the instance") {
  LoopMeter meter(milliseconds(50), kNow, microseconds(500'000));
  const LoopLoad load = meter.EndWindow(kNow + seconds(2), microseconds(770'000), 150);
  CHECK(load.processor == milliseconds(270));
  CHECK(load.processor_percent == 90);
  CHECK(meter.EndWindow(kNow + seconds(3), microseconds(770'000), 150).processor_percent == 0);
}

LoopLoad MakeLoad(milliseconds lag, std::uint32_t percent) {
  LoopLoad load;
  load.lag_max = lag;
  load.processor_percent = percent;
  return load;
}

// Guards against overload that is not reported, or is reported every second.
TEST_CASE("overload: begins when either limit is exceeded and ends after several windows without") {
  const LoopLoad normal_load = MakeLoad(kLoopLagLimit, kProcessorPercentLimit);
  for (const LoopLoad& excessive_load : {MakeLoad(kLoopLagLimit + milliseconds(1), 10),
                                         MakeLoad(milliseconds(0), kProcessorPercentLimit + 1)}) {
    OverloadDetector detector;
    SteadyTime now = kNow;
    const auto next = [&](const LoopLoad& load) {
      return detector.OnWindow(load, now += seconds(1));
    };
    CHECK(next(normal_load) == OverloadChange::kNone);
    CHECK(next(excessive_load) == OverloadChange::kBegan);
    CHECK(next(excessive_load) == OverloadChange::kNone);
    CHECK(next(normal_load) == OverloadChange::kNone);
    CHECK(next(excessive_load) == OverloadChange::kNone);
    for (std::uint32_t i = 1; i < kOverloadEndWindows; ++i)
      CHECK(next(normal_load) == OverloadChange::kNone);
    CHECK(detector.IsOverloaded());
    CHECK(next(normal_load) == OverloadChange::kEnded);
    CHECK_FALSE(detector.IsOverloaded());
    CHECK(detector.Worst().lag_max == std::max(excessive_load.lag_max, normal_load.lag_max));
  }
}

// Guards against overload of several minutes of which only the first second is logged.
TEST_CASE("overload: continued overload is reported again, at a bounded rate") {
  OverloadDetector detector;
  const LoopLoad excessive_load = MakeLoad(kLoopLagLimit * 2, 0);
  int reports = 0;
  for (int second = 0; second < 60; ++second) {
    if (detector.OnWindow(excessive_load, kNow + seconds(second)) != OverloadChange::kNone)
      ++reports;
  }
  CHECK(reports == 6);
}

// Guards against reporting the age of the newest entry, or of an entry that was already answered.
TEST_CASE("overload: the age of a queue is that of its oldest entry") {
  WaitingSet waiting;
  CHECK(waiting.Oldest(kNow) == milliseconds(0));
  const std::uint64_t first = waiting.Add(kNow);
  waiting.Add(kNow + seconds(2));
  CHECK(waiting.Oldest(kNow + seconds(3)) == seconds(3));
  waiting.Remove(first);
  CHECK(waiting.Oldest(kNow + seconds(3)) == seconds(1));
}

// Guards against passes that are counted twice or not at all.
TEST_CASE("overload: planning passes count in the window in which they ended") {
  PassMeter passes;
  passes.OnPass(microseconds(9000), milliseconds(5));
  passes.OnPass(microseconds(2000), milliseconds(70));
  PassMeter::Window window = passes.EndWindow();
  CHECK(window.passes == 2);
  CHECK(window.last_duration == microseconds(2000));
  CHECK(window.max_duration == microseconds(9000));
  CHECK(window.max_delay == milliseconds(70));
  window = passes.EndWindow();
  CHECK(window.passes == 0);
  CHECK(window.last_duration == microseconds(2000));
  CHECK(window.max_duration == microseconds(0));
}

// Guards against processor time that does not increase, or that comes from another clock.
TEST_CASE("overload: processor time grows with work, not with sleep") {
  const microseconds before = ProcessorTime();
  volatile std::uint64_t sum = 0;
  while (ProcessorTime() - before < milliseconds(20)) sum = sum + 1;
  CHECK(ProcessorTime() - before >= milliseconds(20));
}

struct SchedulerFixture {
  SchedulerFixture() {
    SchedulerOptions options;
    options.shard = "s0";
    options.term = 1;
    options.lease = milliseconds(5000);
    SchedulerHooks hooks;
    hooks.now = [this] { return now; };
    hooks.wall = [this] { return WallTime(now.time_since_epoch()); };
    hooks.may_lead = [] { return true; };
    hooks.hold = [this](const Worker&, const HoldOrder&, std::uint64_t id) { hold = id; };
    hooks.has_writes = [] {};
    hooks.plan_soon = [] {};
    scheduler = std::make_unique<Scheduler>(options, std::move(hooks));
  }

  SteadyTime now = kNow;
  std::uint64_t hold = 0;
  std::unique_ptr<Scheduler> scheduler;
};

// Guards against callers and orders that wait for the store without showing in the metrics.
TEST_CASE("overload: the age of the store backlog is that of its oldest entry") {
  SchedulerFixture fixture;
  schema::JobSpec job;
  job.set_id("00000000000000aa");
  job.add_steps()->set_task_count(1);
  fixture.scheduler->Submit(job, milliseconds(0), [](const auto&) {});
  fixture.now += milliseconds(700);
  Scheduler::Backlog backlog = fixture.scheduler->StoreBacklog();
  CHECK(backlog.changes == 1);
  CHECK(backlog.effects == 1);
  CHECK(backlog.oldest_change == milliseconds(700));
  CHECK(backlog.oldest_effect == milliseconds(700));
  // Once the change is in a transaction, it no longer waits, but its effects still do.
  const WriteBatch batch = fixture.scheduler->TakeBatch(97, 600000);
  backlog = fixture.scheduler->StoreBacklog();
  CHECK(backlog.changes == 0);
  CHECK(backlog.oldest_effect == milliseconds(700));
  fixture.scheduler->OnStored(batch.position);
  CHECK(fixture.scheduler->StoreBacklog().effects == 0);
}

// Guards against leases that expire because renewals are sent late, which no other metric shows.
TEST_CASE("overload: holds that are due and not sent are counted") {
  SchedulerFixture fixture;
  WorkerDescription worker;
  worker.id = worker.address = "w0";
  worker.capacity = {1000, 1000, 0};
  fixture.scheduler->Workers().Put(worker);
  fixture.now += seconds(2);
  CHECK(fixture.scheduler->Workers().OverdueHolds().workers == 0);
  fixture.scheduler->Workers().OnHold(fixture.hold,
                                      Error{schema::CODE_WORKER_UNREACHABLE, "silent"});
  fixture.now += kHoldRetryMin;
  CHECK(fixture.scheduler->Workers().OverdueHolds().workers == 0);
  fixture.now += milliseconds(400);
  const Fleet::HoldBacklog holds = fixture.scheduler->Workers().OverdueHolds();
  CHECK(holds.workers == 1);
  CHECK(holds.oldest == milliseconds(400));
}

}  // namespace
}  // namespace citronsill
