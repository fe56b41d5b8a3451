/// Types that the parts of a cell share.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "citronsill/types.h"

namespace citronsill {

using std::chrono::milliseconds;

/// Time on a worker's own steady clock, since its start. The clock may run slow or fast by up to
/// the factor `kWorkerClockDrift`.
struct WorkerTime {
  milliseconds since_start{0};
  auto operator<=>(const WorkerTime&) const = default;
  WorkerTime operator+(milliseconds d) const { return {since_start + d}; }
  milliseconds operator-(WorkerTime other) const { return since_start - other.since_start; }
};

/// @returns the current time of a clock that also counts while the machine is suspended. Compare it
/// only with other values of this function: timers are set by delays, never by its values.
SteadyTime BootNow();

/// How a run of a task ended, as reported by its worker.
enum class RunEnd {
  kDone,
  kFailed,           ///< The task failed, by its own fault or the worker's.
  kStopped,          ///< Stopped on request of the scheduler.
  kLeaseExpired,     ///< Its lease expired.
  kGangMemberEnded,  ///< Another member of its gang ended.
  kGangIncomplete,   ///< The other members of its gang did not start in time.
};

/// @returns the name for logs.
const char* RunEndName(RunEnd end);

/// Source of random numbers that spread calls of several instances over time; a hook, so that tests
/// can repeat them.
using RandomHook = std::function<std::uint32_t()>;

/// @returns a source with a random seed.
RandomHook MakeRandomSource();

/// @returns a hash that is the same on every instance and in every version.
std::uint64_t StableHash(std::string_view text);

/// @param link_mbps bandwidth in Mbit/s; 0 when unknown.
/// @returns how long a link takes to carry so many bytes; 0 when its bandwidth is unknown.
milliseconds TransferTime(std::size_t bytes, std::uint32_t link_mbps);

/// Source of the current time; a hook, so that tests can use model time.
using Clock = std::function<SteadyTime()>;

/// Calls a function after a delay; a hook, so that tests can use model time.
using DelayHook = std::function<void(milliseconds delay, std::function<void()> action)>;

}  // namespace citronsill
