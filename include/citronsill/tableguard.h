/// Protection of the table, and of its callers while it is slow or down.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "citronsill/result.h"
#include "citronsill/table.h"
#include "citronsill/types.h"

namespace citronsill {

struct TableGuardOptions {
  /// Longest time of a call, with its wait and its retry.
  std::chrono::milliseconds deadline{2000};
  std::size_t max_concurrent = 16;             ///< Calls at the table at a time.
  std::size_t max_waiting = 256;               ///< Calls that wait for one of them to end.
  unsigned open_after = 5;                     ///< Failures in a row that open the breaker.
  std::chrono::milliseconds first_probe{250};  ///< Mean wait before the first probe; doubles.
  /// Longest mean wait between probes. Short against the owner timeout, so that live owners renew
  /// their rows soon after an outage.
  std::chrono::milliseconds longest_probe{1500};
  std::chrono::milliseconds retry_delay{100};  ///< Mean wait before a read is repeated.
  double retry_ratio = 0.1;                    ///< Repeated reads for each call.
};

struct TableGuardHooks {
  std::function<SteadyTime()> now;  ///< The steady clock when not set.
  std::function<double()> random;   ///< Uniform in [0, 1).
};

enum class BreakerState {
  kClosed,
  kOpen,     ///< Calls are refused until the next probe is due.
  kRamping,  ///< The probe succeeded; each success admits one more call at a time.
};

/// Counts since the start; the last three are current values.
struct TableGuardCounts {
  std::uint64_t calls = 0;
  std::uint64_t sent = 0;  ///< Repeated reads included.
  std::uint64_t succeeded = 0;
  std::uint64_t failed = 0;  ///< Answers with an error.
  std::uint64_t timed_out = 0;
  std::uint64_t late = 0;     ///< Answers after the deadline; dropped.
  std::uint64_t retried = 0;  ///< Repeated reads.
  std::uint64_t refused_open = 0;
  std::uint64_t refused_full = 0;
  std::uint64_t unknown_commits = 0;
  std::uint64_t opened = 0;
  std::uint64_t probes = 0;
  std::size_t in_flight = 0;
  std::size_t waiting = 0;
  BreakerState state = BreakerState::kClosed;
};

/// Table between the product and a back end: deadline, circuit breaker with jittered probes and a
/// ramp, bounded concurrency, and a retry budget for reads. Commits are never repeated. A call that
/// was not sent fails with CODE_TABLE_UNAVAILABLE; a commit with an unclear outcome with
/// CODE_COMMIT_UNKNOWN. Thread-safe.
class TableGuard : public Table {
 public:
  /// @param table outlives the guard's calls.
  static Result<std::shared_ptr<TableGuard>> Create(Table& table, const TableGuardOptions& options,
                                                    TableGuardHooks hooks);

  /// Ends calls that are past their deadline and sends repeated reads that are due. To be called
  /// several times a second.
  virtual void Tick() = 0;

  [[nodiscard]] virtual TableGuardCounts Counts() const = 0;
};

}  // namespace citronsill
