/// Limits the load on the table, and protects its callers while it is slow or down.
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
  /// Longest duration of a call, including its wait and its retry.
  std::chrono::milliseconds deadline{2000};
  std::size_t max_concurrent = 16;   ///< Concurrent calls at the table.
  std::size_t max_waiting = 256;     ///< Calls that wait for one of them to end.
  unsigned open_after_failures = 5;  ///< Consecutive failures that open the breaker.
  /// Mean wait before the first probe; doubles each time the breaker opens or a probe fails.
  std::chrono::milliseconds first_probe{250};
  /// Longest mean wait between probes. Short compared with the owner timeout, so that live owners
  /// renew their rows soon after an outage.
  std::chrono::milliseconds longest_probe{1500};
  std::chrono::milliseconds retry_delay{100};  ///< Mean wait before a read is retried.
  double retry_ratio = 0.1;                    ///< Retries of reads allowed per call.
};

struct TableGuardHooks {
  std::function<SteadyTime()> now;  ///< The steady clock when not set.
  std::function<double()> random;   ///< Uniform in [0, 1).
};

enum class BreakerState {
  kClosed,
  kOpen,     ///< Calls are refused until the next probe is due.
  kRamping,  ///< The probe succeeded; each success allows one more concurrent call.
};

/// Counts since the start; the last three are current values.
struct TableGuardCounts {
  std::uint64_t calls = 0;
  std::uint64_t sent = 0;             ///< Attempts, retries included.
  std::uint64_t succeeded = 0;        ///< Attempts that succeeded.
  std::uint64_t failed = 0;           ///< Attempts that were answered with an error.
  std::uint64_t timed_out = 0;        ///< Attempts without an answer by the deadline of the call.
  std::uint64_t late = 0;             ///< Answers after the deadline; dropped.
  std::uint64_t retried = 0;          ///< Retried reads.
  std::uint64_t refused_open = 0;     ///< Calls refused because the breaker was open.
  std::uint64_t refused_full = 0;     ///< Calls refused because `max_waiting` calls were waiting.
  std::uint64_t unknown_commits = 0;  ///< Commits that ended with CODE_COMMIT_UNKNOWN.
  std::uint64_t opened = 0;  ///< Times that the breaker opened; failed probes do not count.
  std::uint64_t probes = 0;
  std::size_t in_flight = 0;
  std::size_t waiting = 0;
  BreakerState state = BreakerState::kClosed;
};

/// Table in front of a back end, with a deadline, a circuit breaker with jittered probes and a
/// ramp, bounded concurrency, and a retry budget for reads. Commits are never retried. A call that
/// was not sent, a read that failed and a commit that certainly had no effect end with
/// CODE_TABLE_UNAVAILABLE; a commit whose outcome is unknown ends with CODE_COMMIT_UNKNOWN.
/// Thread-safe.
class TableGuard : public Table {
 public:
  /// @param table must outlive the guard's calls.
  /// @returns CODE_INVALID_FIELD unless `max_concurrent` and `deadline` are positive.
  static Result<std::shared_ptr<TableGuard>> Create(Table& table, const TableGuardOptions& options,
                                                    TableGuardHooks hooks);

  /// Ends calls that are past their deadline and sends retries that are due. To be called several
  /// times a second.
  virtual void Tick() = 0;

  [[nodiscard]] virtual TableGuardCounts Counts() const = 0;
};

}  // namespace citronsill
