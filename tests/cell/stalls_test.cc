// Runs that stand still, told from those that are merely long.
#include "cell/stalls.h"

#include <doctest/doctest.h>

#include "cell/limits.h"

namespace citronsill {
namespace {

using std::chrono::seconds;

RunProgress Still(milliseconds still) {
  RunProgress run;
  run.still = still;
  run.expected = seconds(3);
  return run;
}

// A worker whose tasks stand still is found as soon as before, and sooner by two of them.
TEST_CASE("stalls: a worker that stands still is told by two runs") {
  const RunProgress run = Still(milliseconds(3200));
  CHECK(FindStalled(std::vector{run}).stalled.empty());
  const StallVerdict verdict = FindStalled(std::vector{run, run, Still(milliseconds(500))});
  CHECK(verdict.is_worker_stalled);
  CHECK(verdict.stalled == std::vector<std::size_t>{0, 1});
  CHECK(FindStalled(std::vector{Still(kStalledAfter)}).stalled.size() == 1);
}

// The tail of bagmati: tasks that take seven times as long, on slow workers, with declarations that
// are off by 90%. Whole percents of a task of ten minutes take six seconds.
TEST_CASE("stalls: a long task is judged by its own pace") {
  RunProgress run = Still(milliseconds(6500));
  run.percent = 20;
  run.advanced = seconds(120);
  CHECK(FindStalled(std::vector{run, run}).stalled.empty());
  run.still = seconds(18);
  CHECK(FindStalled(std::vector{run, run}).stalled.size() == 2);
}

TEST_CASE("stalls: members that wait for their gang neither count nor tell anything") {
  RunProgress waiting = Still(seconds(30));
  waiting.waits_for_gang = true;
  const StallVerdict verdict =
      FindStalled(std::vector{waiting, waiting, Still(milliseconds(3200))});
  CHECK(!verdict.is_worker_stalled);
  CHECK(verdict.stalled.empty());
}

// A gang of 50 members that has run for long loses more than a few seconds of waiting.
TEST_CASE(
    "stalls: a gang without a checkpoint is given time for what it would lose, up to a limit") {
  RunProgress run = Still(milliseconds(5000));
  run.gang_loss = seconds(20);
  CHECK(FindStalled(std::vector{run, run}).is_worker_stalled);
  CHECK(FindStalled(std::vector{run, run}).stalled.empty());
  run.gang_loss = seconds(1);
  CHECK(FindStalled(std::vector{run, run}).stalled.size() == 2);
  run.gang_loss = seconds(20);
  run.still = kMaxGangPatience;
  CHECK(FindStalled(std::vector{run, run}).stalled.size() == 2);
}

TEST_CASE("stalls: each stall of a task doubles the time for its next run") {
  RunProgress run = Still(kStalledAfter);
  run.stalls = 1;
  CHECK(FindStalled(std::vector{run, run}).stalled.empty());
  run.still = 2 * kStalledAfter;
  CHECK(FindStalled(std::vector{run}).stalled.size() == 1);
}

}  // namespace
}  // namespace citronsill
