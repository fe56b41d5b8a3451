#include "cell/stalls.h"

#include <algorithm>

#include "cell/limits.h"

namespace citronsill {
namespace {

// Number of runs on one worker that tell that it stands still.
constexpr std::size_t kRunsOfStalledWorker = 2;

// Time that whole percents may take before their absence tells something: by the expected run time,
// and by the pace of the run so far, which counts for more with a task that is longer than
// expected.
milliseconds StepTime(const RunProgress& run) {
  milliseconds time = run.expected * kStalledPercent / 100;
  if (run.percent > 0) time = std::max(time, run.advanced * kStalledPercent / run.percent);
  return time;
}

milliseconds GangPatience(const RunProgress& run) {
  return std::min(2 * run.gang_loss, kMaxGangPatience);
}

milliseconds Doubled(milliseconds time, std::uint32_t stalls) {
  return time * (1 << std::min(stalls, kMaxStallDoublings));
}

// The same if other runs on the worker stand still as well.
milliseconds StalledTogetherAfter(const RunProgress& run) {
  // Declared durations may be far off: a task that was stopped before is judged by itself.
  if (run.stalls > 0) return StalledAfter(run);
  return std::max({kStalledTogetherAfter, StepTime(run), GangPatience(run)});
}

}  // namespace

milliseconds StalledAfter(const RunProgress& run) {
  const milliseconds alone = Doubled(std::max(kStalledAfter, StepTime(run)), run.stalls);
  return std::max(alone, GangPatience(run));
}

StallVerdict FindStalled(std::span<const RunProgress> runs) {
  StallVerdict verdict;
  const auto stands_still = [](const RunProgress& run) {
    const milliseconds after =
        run.stalls > 0 ? StalledAfter(run) : std::max(kStalledTogetherAfter, StepTime(run));
    return !run.waits_for_gang && run.still >= after;
  };
  const auto still =
      static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), stands_still));
  verdict.is_worker_stalled = still >= kRunsOfStalledWorker;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const RunProgress& run = runs[i];
    if (run.waits_for_gang) continue;
    const milliseconds after =
        verdict.is_worker_stalled ? StalledTogetherAfter(run) : StalledAfter(run);
    if (run.still >= after) verdict.stalled.push_back(i);
  }
  return verdict;
}

}  // namespace citronsill
