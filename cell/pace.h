/// Flow control of a scheduler: how many orders may be in flight and whether more jobs are
/// accepted. Pure: durations and counts are passed in.
#pragma once

#include <cstddef>
#include <cstdint>

#include "cell/limits.h"
#include "cell/types.h"

namespace citronsill {

/// Moving average of the duration of short calls to workers, from the moment they are handed to the
/// transport until their answer is handled. It includes the delays of a busy process and of a full
/// link.
class CallTimes {
 public:
  /// Adds the duration of a call that was answered or timed out.
  void Add(milliseconds took);

  [[nodiscard]] milliseconds Mean() const;

  /// @returns the time-out for a call. A call that is given up too early is repeated, which adds to
  /// the load that made it late.
  [[nodiscard]] milliseconds Timeout() const;

 private:
  double m_mean_ms = 0.0;
};

/// Delays planning passes, so that most of the processor time is left for other work.
class PassPacer {
 public:
  void OnPass(SteadyTime began, SteadyTime ended);

  /// @returns the time until the next pass may start.
  [[nodiscard]] milliseconds Delay(SteadyTime now) const;

 private:
  SteadyTime m_next_pass_at{};
};

/// Limits the number of orders that wait for the store or for their worker's answer.
///
/// Matters while more tasks wait than the scheduler's processor or link can start: without the
/// limit, assignments would queue up behind one another and outlive their tickets, and the work
/// spent on them would be wasted.
class OrderWindow {
 public:
  /// To be called periodically.
  /// @param call_time mean duration of calls to workers.
  /// @param was_full whether the window has held back tasks since the last call.
  void Adjust(SteadyTime now, milliseconds call_time, bool was_full);

  /// @param in_flight orders that wait for the store or for their worker's answer.
  /// @returns how many more orders may be given.
  [[nodiscard]] std::size_t Room(std::size_t in_flight) const;

  [[nodiscard]] std::size_t Size() const { return m_size; }

  /// @returns whether the window is full although it was reduced: tasks wait for the scheduler, not
  /// for room or for the store.
  [[nodiscard]] bool IsLimiting() const {
    return m_was_full_last_period && m_size < kInitialOrderWindow;
  }

 private:
  std::size_t m_size = kInitialOrderWindow;
  bool m_was_full_last_period = false;
  bool m_was_full_this_period = false;  // So far.
  SteadyTime m_adjusted_at{};
};

/// Decides whether a scheduler accepts more jobs.
///
/// Refuses jobs while callers ask for more starts than the scheduler's processor or link can do,
/// for longer than a burst. Tasks that were accepted nevertheless would wait ever longer beside
/// free workers, and each of them makes the planning pass more expensive.
class JobAdmission {
 public:
  /// To be called periodically.
  /// @param starts_sent total number of starts that were sent so far.
  /// @param is_limiting whether tasks wait for the scheduler itself.
  void Update(SteadyTime now, std::uint64_t starts_sent, bool is_limiting);

  /// @param waiting number of tasks that would start before those of the job.
  [[nodiscard]] bool Accepts(SteadyTime now, std::size_t waiting, bool is_interactive) const;

  /// @returns whether the scheduler is the bottleneck: it starts fewer tasks than requested.
  [[nodiscard]] bool IsLimited(SteadyTime now) const { return now < m_limited_until; }

  /// @returns the recent rate of starts per second.
  [[nodiscard]] double StartsPerSecond() const { return m_starts_per_s; }

 private:
  SteadyTime m_updated_at{};
  SteadyTime m_limited_until{};
  std::uint64_t m_starts_sent = 0;
  double m_starts_per_s = 0.0;
};

}  // namespace citronsill
