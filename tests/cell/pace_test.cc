// Flow control of a scheduler with more work than its processor or link can handle.
#include "cell/pace.h"

#include <doctest/doctest.h>

namespace citronsill {
namespace {

using std::chrono::seconds;

constexpr SteadyTime kNow{seconds(1000)};

// Guards against calls that are given up and repeated while all workers answer late: the
// repetitions increased the load and made the answers later still.
TEST_CASE("pace: calls wait longer while all calls take long, and not longer than a bound") {
  CallTimes calls;
  CHECK(calls.Timeout() == kWorkerCallTimeout);
  for (int i = 0; i < 500; ++i) calls.Add(milliseconds(200));
  CHECK(calls.Timeout() >= milliseconds(600));
  for (int i = 0; i < 500; ++i) calls.Add(milliseconds(5000));
  CHECK(calls.Timeout() == kMaxWorkerCallTimeout);
  for (int i = 0; i < 1000; ++i) calls.Add(milliseconds(5));
  CHECK(calls.Timeout() == kWorkerCallTimeout);
}

// Guards against a few silent workers that make the scheduler look overloaded: 6 of 100 calls time
// out.
TEST_CASE("pace: silent workers do not count as an overloaded scheduler") {
  CallTimes calls;
  for (int i = 0; i < 1000; ++i) calls.Add(milliseconds(i % 16 == 0 ? 250 : 8));
  CHECK(calls.Mean() < kBusyCallTime);
}

// Guards against assignments that outlive their tickets: thousands of them queued up.
TEST_CASE("pace: the order window shrinks while calls take long and grows while it is full") {
  OrderWindow window;
  const std::size_t first = window.Size();
  SteadyTime now = kNow;
  const auto run = [&](milliseconds call_time, bool was_full) {
    for (int i = 0; i < 100; ++i) {
      now += milliseconds(50);
      window.Adjust(now, call_time, was_full);
    }
  };
  run(milliseconds(10), false);
  CHECK(window.Size() == first);
  run(milliseconds(300), true);
  CHECK(window.Size() == kMinOrderWindow);
  CHECK(window.IsLimiting());
  CHECK(window.Room(kMinOrderWindow + 5) == 0);
  run(milliseconds(10), true);
  CHECK(window.Size() == kMaxOrderWindow);
  CHECK(!window.IsLimiting());
}

// Guards against refusing jobs while the store is down: the window is full then, but the scheduler
// is not the bottleneck.
TEST_CASE("pace: a window that is full at its usual size does not refuse jobs") {
  OrderWindow window;
  window.Adjust(kNow, milliseconds(10), true);
  CHECK(!window.IsLimiting());
}

// Guards against planning passes that follow each other at once and leave no time to handle
// answers.
TEST_CASE("pace: planning passes take at most a third of the time") {
  PassPacer pacer;
  pacer.OnPass(kNow, kNow + milliseconds(30));
  CHECK(pacer.Delay(kNow + milliseconds(30)) == milliseconds(30) * kPlanPauseFactor);
  pacer.OnPass(kNow, kNow);
  CHECK(pacer.Delay(kNow) == kPlanPeriod);
}

// Guards against jobs that are accepted and then wait beside free workers until their callers give
// up.
TEST_CASE("pace: jobs are refused while more tasks wait than start in time") {
  JobAdmission admission;
  SteadyTime now = kNow;
  std::uint64_t sent = 0;
  const auto run = [&](bool is_limiting) {
    for (int i = 0; i < 100; ++i) {
      now += milliseconds(50);
      admission.Update(now, sent += 10, is_limiting);
    }
  };
  run(false);
  CHECK(admission.Accepts(now, 100000, false));
  run(true);  // 200 starts a second.
  CHECK(admission.Accepts(now, 100, false));
  CHECK(!admission.Accepts(now, 200, false));
  CHECK(admission.Accepts(now, 200, true));
  CHECK(!admission.Accepts(now, 400, true));
  CHECK(admission.Accepts(now + kLimitedPeriod, 500, true));
}

}  // namespace
}  // namespace citronsill
