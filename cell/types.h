/// Plain types that the parts of a cell share.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "citronsill/types.h"

namespace citronsill {

using std::chrono::milliseconds;

/// A worker's own steady clock, in time since its start. Runs up to `kWorkerClockDrift` slow or
/// fast.
struct WorkerTime {
  milliseconds since_start{0};
  auto operator<=>(const WorkerTime&) const = default;
  WorkerTime operator+(milliseconds d) const { return {since_start + d}; }
  milliseconds operator-(WorkerTime other) const { return since_start - other.since_start; }
};

/// @returns the time of a clock that also counts while the machine is suspended. Only compared with
/// other values of this function: timers are set by delays, never by its values.
SteadyTime BootNow();

/// How a run of a task ended, as its worker reports it.
enum class RunEnd {
  kDone,
  kFailed,   ///< By its own fault or the worker's.
  kStopped,  ///< On an order.
  kLapsed,   ///< Its lease ran out.
  kBroken,   ///< Another member of its gang ended.
  kAlone,    ///< The other members of its gang did not arrive in time.
};

/// @returns the name for logs.
const char* RunEndName(RunEnd end);

/// @returns a hash that is the same on every instance and in every version.
std::uint64_t StableHash(std::string_view text);

/// Time source; a hook, so that tests use model time.
using Clock = std::function<SteadyTime()>;

}  // namespace citronsill
