/// Decides which workers suit a unit best by their speeds. Pure functions.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cell/types.h"
#include "cell/worker_speeds.h"

namespace citronsill {

/// A worker with room for a unit.
struct SpeedFit {
  double speed = 1.0;           ///< Compared with the usual worker.
  std::uint32_t fit_count = 0;  ///< Number of tasks of the unit that fit on it.
};

/// What a unit needs of the speed of its workers.
struct SpeedNeed {
  milliseconds duration{0};  ///< Expected duration of a task on a worker of usual speed.
  /// Time by which the job would end before its objective, or before its late limit if it misses
  /// the objective, on workers of usual speed; none if it misses both.
  std::optional<milliseconds> slack;
  std::uint32_t gang_members = 0;  ///< Number of members of a gang, 0 for single tasks.
};

/// Ranks the workers for a unit.
///
/// Single tasks go first to the workers on which the job ends in time, which are equal, then to the
/// others, the fastest first. Without a time to meet, all are equal.
///
/// A gang ends when its slowest member does, and all its members hold their room until then. It
/// goes to the workers of the highest speed at which all its members fit on workers that are at
/// least as fast; among these to the slowest first, as a faster one would have to wait for them.
/// @returns the rank of each worker, lowest first; empty if all are equal.
std::vector<int> RankSpeeds(const std::vector<SpeedFit>& workers, const SpeedNeed& need);

}  // namespace citronsill
