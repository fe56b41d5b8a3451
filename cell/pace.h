/// How fast a scheduler hands out work. Pure: it is told what calls take and says how many may be
/// on their way.
#pragma once

#include <cstddef>
#include <cstdint>

#include "cell/limits.h"
#include "cell/types.h"

namespace citronsill {

/// Moving average of how long short calls to workers take, from the moment they are handed to the
/// transport until their answer is handled. The delays of a busy process and of a full link are
/// part of it.
class CallTimes {
 public:
  /// A call was answered or given up.
  void Add(milliseconds took);

  [[nodiscard]] milliseconds Mean() const;

  /// @returns the time to wait for an answer. A call that is given up too early is repeated, which
  /// adds to the load that made it late.
  [[nodiscard]] milliseconds Timeout() const;

 private:
  double m_mean_ms = 0.0;
};

/// Spaces planning passes, so that they leave most of the processor to what else is due.
class PassPacer {
 public:
  void OnPass(SteadyTime began, SteadyTime ended);

  /// @returns how long the next pass has to wait.
  [[nodiscard]] milliseconds Delay(SteadyTime now) const;

 private:
  SteadyTime m_next{};
};

/// Bounds the orders that wait for the store or for their worker's answer.
///
/// Load pattern: more tasks wait than the scheduler's processor or link can start. Assignments that
/// queue up behind one another outlive their tickets, and the work on them is done in vain.
class OrderWindow {
 public:
  /// To be called periodically.
  /// @param call_time mean time of calls to workers.
  /// @param was_full whether tasks waited because of the window since the last call.
  void Adjust(SteadyTime now, milliseconds call_time, bool was_full);

  /// @param on_way orders without an answer.
  /// @returns how many more orders may be given.
  [[nodiscard]] std::size_t Room(std::size_t on_way) const;

  [[nodiscard]] std::size_t Size() const { return m_size; }

  /// @returns whether it is full although it was made smaller: tasks wait for the scheduler, and
  /// not for room or for the store.
  [[nodiscard]] bool IsLimiting() const { return m_is_full && m_size < kWindowFirst; }

 private:
  std::size_t m_size = kWindowFirst;
  bool m_is_full = false;   // In the last period.
  bool m_was_full = false;  // In this one, so far.
  SteadyTime m_adjusted{};
};

/// Decides whether a scheduler takes more jobs.
///
/// Load pattern: callers ask for more starts than the scheduler's processor or link can do, for
/// longer than a burst. Tasks that are taken all the same wait beside free workers, ever longer,
/// and each of them makes the planning pass dearer.
class Intake {
 public:
  /// To be called periodically.
  /// @param sent starts that were sent so far.
  /// @param is_limiting whether tasks wait for the scheduler.
  void Update(SteadyTime now, std::uint64_t sent, bool is_limiting);

  /// @param waiting tasks that would be started before those of the job.
  [[nodiscard]] bool Accepts(SteadyTime now, std::size_t waiting, bool is_interactive) const;

  /// @returns whether the scheduler starts less than is asked for.
  [[nodiscard]] bool IsLimited(SteadyTime now) const { return now < m_limited_until; }

  /// @returns starts a second, of late.
  [[nodiscard]] double Rate() const { return m_rate; }

 private:
  SteadyTime m_updated{};
  SteadyTime m_limited_until{};
  std::uint64_t m_sent = 0;
  double m_rate = 0.0;
};

}  // namespace citronsill
