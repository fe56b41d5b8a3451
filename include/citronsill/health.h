/// Distinguishes faulty workers, on which all jobs fail, from
/// faulty jobs, which fail on all workers, and limits retries.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "citronsill/types.h"

namespace citronsill {

struct HealthOptions {
  /// Number of different jobs that must fail in a row on
  /// one worker, and on no other, before it is quarantined.
  std::uint32_t failures_to_quarantine = 3;
  /// Number of different workers on which a job must fail before the job itself counts as failing.
  std::uint32_t workers_to_fail_job = 3;
  /// A quarantined worker gets one probe task at a time. The
  /// delay before the next one doubles with each failed probe.
  std::chrono::milliseconds first_probe_delay{5000};
  std::chrono::milliseconds max_probe_delay{600000};
  /// Time after which a probe without a result no longer keeps the worker from getting another one.
  std::chrono::milliseconds probe_timeout{300000};
  /// Number of consecutive probes that must succeed before the worker returns to service.
  std::uint32_t probes_to_return = 3;
  /// Maximum fraction of the known workers in quarantine, at least one worker. If more seem to
  /// fail, the cause is more likely the jobs or something that the workers share.
  double max_quarantined_share = 0.3;
  /// Maximum number of remembered jobs with failures; the oldest are forgotten first.
  std::size_t max_jobs = 20000;
};

/// Not thread-safe. Reads no clock: the time is passed in.
class HealthTracker {
 public:
  explicit HealthTracker(const HealthOptions& options = {});
  ~HealthTracker();

  /// Registers a worker. A result of an unknown worker registers it as well.
  void AddWorker(const std::string& worker);
  void RemoveWorker(const std::string& worker);

  /// @returns whether the worker may get a task: always if it is in
  /// service; in quarantine only if a probe is due and none is running.
  [[nodiscard]] bool MayPlace(const std::string& worker, SteadyTime now) const;

  /// Records that a task of the job was placed on the worker. In quarantine, the task is the probe.
  void OnPlaced(const std::string& worker, const std::string& job, SteadyTime now);

  /// Records the result of an attempt that ran to its end.
  /// Not for attempts that were stopped or not started.
  void OnResult(const std::string& worker, const std::string& job, bool succeeded, SteadyTime now);

  /// Records the end of an attempt that says nothing about the worker, for example because it was
  /// stopped. If it was the probe, another one may follow at once.
  void OnNoResult(const std::string& worker, const std::string& job, SteadyTime now);

  /// @returns whether the job failed on at least `workers_to_fail_job`
  /// different workers and succeeded on none, so that further attempts
  /// are useless. Its failures do not count against workers.
  [[nodiscard]] bool IsJobFailing(const std::string& job) const;

  /// Forgets a job that has ended. Those of its failures
  /// that count against workers now continue to do so.
  void ForgetJob(const std::string& job);

  [[nodiscard]] bool IsQuarantined(const std::string& worker) const;
  [[nodiscard]] std::size_t QuarantinedCount() const;

  /// @returns the next time at which `MayPlace` changes without an event, or none.
  [[nodiscard]] std::optional<SteadyTime> NextProbe(SteadyTime now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Token bucket that limits retries to a small fraction of first attempts. Not thread-safe.
class RetryBudget {
 public:
  /// @param fraction number of retries allowed per first attempt.
  /// @param burst maximum number of saved tokens; also the initial
  /// number, so that a cell with little work can retry as well.
  explicit RetryBudget(double fraction = 0.1, double burst = 10.0);

  /// Records the first attempt of a task; it adds `fraction` of a token.
  void OnFirstAttempt();

  /// @returns whether one retry may start, and takes a token for it.
  bool TryTake();

 private:
  double m_fraction;
  double m_burst;
  double m_tokens;
};

}  // namespace citronsill
