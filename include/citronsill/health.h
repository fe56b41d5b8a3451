/// Tells workers that fail everything from jobs that fail everywhere, and limits retries.
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
  /// Different jobs that fail in a row on one worker, and on no other, until it is quarantined.
  std::uint32_t failures_to_quarantine = 3;
  /// Different workers on which a job fails until the job itself counts as failing.
  std::uint32_t workers_to_fail_job = 3;
  /// A quarantined worker gets one probe task at a time. The delay doubles with each failed probe.
  std::chrono::milliseconds first_probe_delay{5000};
  std::chrono::milliseconds max_probe_delay{600000};
  /// A probe without a result for so long does not keep the worker from getting another one.
  std::chrono::milliseconds probe_timeout{300000};
  /// Probes in a row that must succeed before the worker returns to service.
  std::uint32_t probes_to_return = 3;
  /// Share of the known workers that may be in quarantine, at least one; when more seem to fail,
  /// the cause is rather the jobs or something that the workers share.
  double max_quarantined_share = 0.3;
  /// Jobs with failures that are remembered; the oldest are forgotten first.
  std::size_t max_jobs = 20000;
};

/// Not thread-safe. Pure: the time is passed in.
class HealthTracker {
 public:
  explicit HealthTracker(const HealthOptions& options = {});
  ~HealthTracker();

  /// Makes a worker known. Results make it known as well.
  void AddWorker(const std::string& worker);
  void RemoveWorker(const std::string& worker);

  /// @returns whether the worker may get a task: always when it is in service; in quarantine when a
  /// probe is due and none is running.
  [[nodiscard]] bool MayPlace(const std::string& worker, SteadyTime now) const;

  /// Records that a task of the job was placed. In quarantine this task is the probe.
  void OnPlaced(const std::string& worker, const std::string& job, SteadyTime now);

  /// Records that an attempt ran to its end. Not for attempts that were stopped or not started.
  void OnResult(const std::string& worker, const std::string& job, bool succeeded, SteadyTime now);

  /// Records that an attempt ended without telling anything about the worker, for example because
  /// it was stopped. If it was the probe, another one may follow at once.
  void OnNoResult(const std::string& worker, const std::string& job, SteadyTime now);

  /// @returns whether the job failed on so many different workers, and succeeded on none, that
  /// further attempts are useless. Its failures do not count against workers.
  [[nodiscard]] bool IsJobFailing(const std::string& job) const;

  /// Forgets a job that has ended. Its failures go on to count for or against workers as they did.
  void ForgetJob(const std::string& job);

  [[nodiscard]] bool IsQuarantined(const std::string& worker) const;
  [[nodiscard]] std::size_t QuarantinedCount() const;

  /// @returns when `MayPlace` next changes without an event, if it does.
  [[nodiscard]] std::optional<SteadyTime> NextProbe(SteadyTime now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Token bucket that keeps retries to a small fraction of first tries. Not thread-safe.
class RetryBudget {
 public:
  /// @param fraction of retries among first tries.
  /// @param burst most tokens that are saved up; also the initial number, so that a cell with
  /// little work can retry as well.
  explicit RetryBudget(double fraction = 0.1, double burst = 10.0);

  void OnFirstTry();

  /// @returns whether one retry may start; takes its token.
  bool TryTake();

 private:
  double m_fraction;
  double m_burst;
  double m_tokens;
};

}  // namespace citronsill
