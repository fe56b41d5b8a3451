/// Tells runs that stand still from runs that are merely long. Pure functions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "cell/types.h"

namespace citronsill {

/// Progress of a run as its worker has reported it.
struct RunProgress {
  milliseconds still{0};     ///< Time since its progress last advanced.
  milliseconds advanced{0};  ///< Time from its start until then.
  int percent = 0;           ///< Progress that it has made since its first report.
  milliseconds expected{0};  ///< Expected run time on its worker; 0 if it is not known.
  std::uint32_t stalls = 0;  ///< Number of earlier runs of the task that were stopped as stalled.
  /// Member of a gang that waits for others: some are not there yet, or its own work is done and
  /// that of others is not.
  bool waits_for_gang = false;
  /// Of a member of a gang of which nothing is saved, the time for which it has worked. It is lost
  /// if the gang is stopped; without a stop, the gang need not work it again.
  milliseconds gang_loss{0};
};

/// @returns the time without an advance after which a run counts as stalled, whatever the other
/// runs on its worker do. Progress is reported in whole percent, which take longer the longer the
/// task and the slower its worker.
milliseconds StalledAfter(const RunProgress& run);

/// What the runs on one worker tell.
struct StallVerdict {
  std::vector<std::size_t> stalled;  ///< Indexes of the runs to stop.
  /// Several runs stand still at once: the cause is the worker.
  bool is_worker_stalled = false;
};

/// Finds the stalled runs of one worker. Two runs that stand still at the same time are told from
/// long ones sooner than a single one.
StallVerdict FindStalled(std::span<const RunProgress> runs);

}  // namespace citronsill
