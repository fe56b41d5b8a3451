#include "cell/pace.h"

#include <algorithm>
#include <utility>

#include "cell/limits.h"

namespace citronsill {

void CallTimes::Add(milliseconds took) {
  m_mean_ms += kCallTimeWeight * (static_cast<double>(took.count()) - m_mean_ms);
}

milliseconds CallTimes::Mean() const { return milliseconds(static_cast<std::int64_t>(m_mean_ms)); }

milliseconds CallTimes::Timeout() const {
  return std::clamp(Mean() * kCallTimeFactor, kWorkerCallTimeout, kMaxWorkerCallTimeout);
}

void PassPacer::OnPass(SteadyTime began, SteadyTime ended) {
  // Bounds the pause, so that a process that was suspended during a pass does not pause for as
  // long.
  const auto pause =
      std::min<SteadyTime::duration>((ended - began) * kPlanPauseFactor, kMaxPlanPause);
  m_next_pass_at = std::max(began + kPlanPeriod, ended + pause);
}

milliseconds PassPacer::Delay(SteadyTime now) const {
  return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(m_next_pass_at - now));
}

void OrderWindow::Adjust(SteadyTime now, milliseconds call_time, bool was_full) {
  m_was_full_this_period |= was_full;
  if (now < m_adjusted_at + kOrderWindowPeriod) return;
  m_adjusted_at = now;
  m_was_full_last_period = std::exchange(m_was_full_this_period, false);
  if (call_time > kBusyCallTime) {
    m_size = std::max(kMinOrderWindow, m_size * 3 / 4);
  } else if (m_was_full_last_period) {
    m_size = std::min(kMaxOrderWindow, m_size + m_size / 4);
  }
}

std::size_t OrderWindow::Room(std::size_t in_flight) const {
  return m_size - std::min(m_size, in_flight);
}

void JobAdmission::Update(SteadyTime now, std::uint64_t starts_sent, bool is_limiting) {
  if (is_limiting) m_limited_until = now + kLimitedPeriod;
  const auto elapsed = std::chrono::duration<double>(now - m_updated_at).count();
  if (m_updated_at != SteadyTime{} && elapsed > 0) {
    const double weight = std::min(1.0, elapsed / kStartRateWindow.count());
    m_starts_per_s +=
        weight * (static_cast<double>(starts_sent - m_starts_sent) / elapsed - m_starts_per_s);
  }
  m_updated_at = now;
  m_starts_sent = starts_sent;
}

bool JobAdmission::Accepts(SteadyTime now, std::size_t waiting, bool is_interactive) const {
  if (!IsLimited(now)) return true;
  const auto max_wait = is_interactive ? kMaxStartWait : kMaxBatchStartWait;
  return static_cast<double>(waiting) <= m_starts_per_s * max_wait.count();
}

}  // namespace citronsill
