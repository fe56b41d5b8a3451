/// Admission at overload: what can be answered before its deadline, and when the rest may return.
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
  /// Longest queue, in time to drain it. It bounds how long an overload is felt after its end.
  std::optional<std::chrono::milliseconds> max_queue_wait;
  /// Time constant of the measurement of the drain rate.
  std::chrono::milliseconds time_constant{2000};
};

/// A job that asks to be admitted. Work is in cell-seconds: the dominant share of the cell times
/// the expected run time.
struct AdmissionQuery {
  std::string job;
  std::string team;
  double work = 0.0;  ///< Of all tasks.
  std::chrono::milliseconds run_time{0};
  std::optional<SteadyTime> deadline;
};

/// Gate in front of one part of the queue. Not thread-safe.
class AdmissionControl {
 public:
  explicit AdmissionControl(const AdmissionOptions& options);

  /// @param rate the drain rate to assume before one is measured, in cell-seconds a second: the
  /// part of the cell that this work can use. 0 when there are no workers.
  void SetExpectedRate(double rate) { m_expected_rate = rate; }

  void OnQueued(const std::string& team, double work, SteadyTime now);

  /// Work left the queue without being done: cancelled or given up.
  void OnDropped(const std::string& team, double work, SteadyTime now);

  /// Work was started here or taken by another instance.
  /// @param waited how long it was in the queue.
  void OnTaken(const std::string& team, double work, std::chrono::nanoseconds waited,
               SteadyTime now);

  /// Accepts, or refuses with the time when to come back.
  Admission Decide(const AdmissionQuery& query, SteadyTime now);

  /// @returns the drain rate in cell-seconds a second.
  [[nodiscard]] double DrainRate() const;

  /// @returns the time until the work of this team that is queued now has been started.
  [[nodiscard]] double QueueSeconds(const std::string& team) const;

 private:
  struct Booking {
    SteadyTime due;
  };

  void Advance(SteadyTime now);
  void Subtract(const std::string& team, double work);
  Admission Refuse(const AdmissionQuery& query, double wait, SteadyTime now);
  bool IsBooked(const std::string& job, SteadyTime now) const;
  void ForgetOldBookings(SteadyTime now);

  AdmissionOptions m_options;
  double m_expected_rate = 0.0;
  std::unordered_map<std::string, double> m_backlog;
  double m_total_backlog = 0.0;
  double m_taken_work = 0.0;    // Decaying sum of the work taken while some was waiting.
  double m_busy_seconds = 0.0;  // Decaying time during which work was waiting, in seconds.
  SteadyTime m_last_update{};
  bool m_started = false;
  SteadyTime m_next_booking{};
  std::unordered_map<std::string, Booking> m_bookings;
  std::deque<std::pair<SteadyTime, std::string>> m_booking_order;
};

}  // namespace citronsill
