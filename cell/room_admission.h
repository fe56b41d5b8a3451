/// Decides which new jobs are turned away while there is too little room. Pure: amounts of work and
/// times are passed in.
#pragma once

#include <chrono>

#include "cell/types.h"

namespace citronsill {

/// An amount of work, as the time in which all workers of the cell together could do it.
using CellTime = std::chrono::duration<double>;

/// Work that waits for room, by the group in which it has its turn.
struct QueuedWork {
  CellTime interactive{0};   ///< Within shares, of interactive queues.
  CellTime batch{0};         ///< Within shares, and can still meet its objective.
  CellTime late{0};          ///< Within shares, too late for its objective.
  CellTime beyond_share{0};  ///< Submitted beyond the shares of customers.

  [[nodiscard]] CellTime All() const { return interactive + batch + late + beyond_share; }
};

/// What decides about a new job.
struct JobNeeds {
  bool is_interactive = false;
  bool is_within_share = true;
  CellTime work{0};  ///< Its own work.
  /// How long its first task may wait before the job misses its objective; negative if it already
  /// does.
  milliseconds objective_slack{0};
  milliseconds late_slack{0};  ///< The same for the limit after which it is of no use.
};

/// Adds the work of an accepted job, so that jobs that arrive before the next planning pass count.
void AddAccepted(const JobNeeds& job, QueuedWork* queued);

enum class RoomVerdict {
  kAccepted,
  kCannotBeInTime,  ///< Even its late limit would be missed behind the work before it.
  kBeyondShare,     ///< Beyond its customer's share, and it would miss its objective.
};

struct RoomDecision {
  RoomVerdict verdict = RoomVerdict::kAccepted;
  milliseconds expected_wait{0};
  milliseconds retry_after{0};  ///< When the backlog has shrunk so far that it would be accepted.
};

/// Load: bursts of one kind of work, or of one customer, that need more room than there is for
/// seconds. Work that waits has its turn in the order of `GoesBefore`. What has no use behind the
/// work before it is turned away at once, so that its caller may try again or go elsewhere, and it
/// takes no room, request slot or planning time from others. Since interactive work goes before
/// batch work, and both before what is beyond a share, that costs callers least: first what exceeds
/// a share, then batch work, the more of it the more work it needs, and interactive work last.
RoomDecision DecideRoom(const QueuedWork& queued, const JobNeeds& job);

/// @returns the name for logs and metrics.
const char* RoomVerdictName(RoomVerdict verdict);

}  // namespace citronsill
