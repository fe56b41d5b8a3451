#include "cell/speed_ranks.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>

namespace citronsill {
namespace {

// Workers whose speeds differ by less than this factor count as equally fast: learnt speeds scatter
// by about half of it.
constexpr double kSpeedClass = 1.25;

// @returns a number that is higher for faster workers, and 0 for those of usual speed.
int ClassOf(double speed) {
  return static_cast<int>(std::lround(std::log(speed) / std::log(kSpeedClass)));
}

std::vector<int> RankForGang(const std::vector<SpeedFit>& workers, std::uint32_t members) {
  std::map<int, std::uint32_t, std::greater<>> fit_counts;  // By class, the fastest first.
  for (const SpeedFit& worker : workers) fit_counts[ClassOf(worker.speed)] += worker.fit_count;
  if (fit_counts.size() < 2) return {};
  // Class of the slowest member.
  int slowest = fit_counts.rbegin()->first;
  std::uint32_t fitting = 0;
  for (const auto& [speed_class, fit_count] : fit_counts) {
    fitting += fit_count;
    if (fitting < members) continue;
    slowest = speed_class;
    break;
  }
  const int span = fit_counts.begin()->first - fit_counts.rbegin()->first + 1;
  std::vector<int> ranks;
  ranks.reserve(workers.size());
  for (const SpeedFit& worker : workers) {
    const int above = ClassOf(worker.speed) - slowest;
    ranks.push_back(above >= 0 ? above : span - above);
  }
  return ranks;
}

std::vector<int> RankForTask(const std::vector<SpeedFit>& workers, const SpeedNeed& need) {
  if (!need.slack) return {};
  std::vector<int> ranks;
  ranks.reserve(workers.size());
  for (const SpeedFit& worker : workers) {
    const milliseconds delay = AtSpeed(need.duration, worker.speed) - need.duration;
    // Faster workers have lower classes after the change of sign; 0 is left to those in time.
    constexpr int kLast = 100;
    ranks.push_back(delay <= *need.slack ? 0 : kLast - ClassOf(worker.speed));
  }
  return ranks;
}

}  // namespace

std::vector<int> RankSpeeds(const std::vector<SpeedFit>& workers, const SpeedNeed& need) {
  const bool are_even = std::all_of(workers.begin(), workers.end(),
                                    [](const SpeedFit& worker) { return worker.speed == 1.0; });
  if (are_even) return {};
  return need.gang_members > 0 ? RankForGang(workers, need.gang_members)
                               : RankForTask(workers, need);
}

}  // namespace citronsill
