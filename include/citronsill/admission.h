/// Admission control under overload: accepts jobs that can be
/// answered before their deadline and tells the others when to retry.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "citronsill/engine.h"
#include "citronsill/types.h"

namespace citronsill {

struct AdmissionOptions {
  /// Maximum length of the queue, as the time needed to drain it; no value means no limit. It
  /// bounds how long waits stay high after the end of an overload.
  std::optional<std::chrono::milliseconds> max_queue_wait;
  /// Time constant of the exponential average that measures the drain rate.
  std::chrono::milliseconds time_constant{2000};
};

/// A job to be admitted. Work is in cell-seconds: the dominant
/// share of the cell times the expected run time in seconds.
struct AdmissionQuery {
  std::string job;
  std::string team;
  double work = 0.0;                      ///< Total of all tasks, in cell-seconds.
  std::chrono::milliseconds run_time{0};  ///< Expected run time of one task.
  std::optional<SteadyTime> deadline;     ///< Time by which the last task must have ended.
};

/// Admission control for a set of lanes of the queue. Not thread-safe.
class AdmissionControl {
 public:
  explicit AdmissionControl(const AdmissionOptions& options);

  /// @param rate the drain rate to assume until one is measured, in cell-seconds a second: the
  /// fraction of the cell that this work can use. 0 if there are no workers.
  void SetExpectedRate(double rate) { m_expected_rate = rate; }

  /// Records work in cell-seconds that entered the queue.
  void OnQueued(const std::string& team, double work, SteadyTime now);

  /// Records work that left the queue without being done, because it was cancelled or given up.
  void OnDropped(const std::string& team, double work, SteadyTime now);

  /// Records work that was started here or taken over by another instance.
  /// @param waited time that it spent in the queue.
  void OnTaken(const std::string& team, double work, std::chrono::nanoseconds waited,
               SteadyTime now);

  /// Accepts or refuses a job. @returns CODE_OK, CODE_OVERLOADED with the delay after which to
  /// retry, or CODE_DEADLINE_UNREACHABLE if the run time alone exceeds the deadline.
  Admission Decide(const AdmissionQuery& query, SteadyTime now);

  /// @returns the drain rate in cell-seconds a second; 0 if there are no workers.
  [[nodiscard]] double DrainRate() const;

  /// @returns the estimated time in seconds until all work
  /// of this team that is queued now has been started; 0 if there are no workers.
  [[nodiscard]] double QueueSeconds(const std::string& team) const;

 private:
  /// Retry time that a refused job was given.
  struct ScheduledRetry {
    SteadyTime due;
  };

  void UpdateAverages(SteadyTime now);
  void SubtractBacklog(const std::string& team, double work);
  Admission Refuse(const AdmissionQuery& query, double wait, SteadyTime now);
  bool IsRetryDue(const std::string& job, SteadyTime now) const;
  void ForgetExpiredRetries(SteadyTime now);

  AdmissionOptions m_options;
  double m_expected_rate = 0.0;
  std::unordered_map<std::string, double> m_backlog;  // Queued work by team, in cell-seconds.
  double m_total_backlog = 0.0;
  double m_taken_work = 0.0;    // Decaying sum of the work taken after a wait, in cell-seconds.
  double m_busy_seconds = 0.0;  // Decaying sum of the time during which work was waiting.
  SteadyTime m_last_update{};
  bool m_has_last_update = false;
  SteadyTime m_next_retry{};  // Earliest retry time of the next job that is refused.
  std::unordered_map<std::string, ScheduledRetry> m_scheduled_retries;
  // Retry times and jobs in the order of refusal; may hold jobs that were decided again since.
  std::deque<std::pair<SteadyTime, std::string>> m_retry_order;
};

}  // namespace citronsill
