#include "cell/overload.h"

#include <algorithm>
#include <ctime>

#include "cell/limits.h"

namespace citronsill {
namespace {

constexpr std::size_t kLagPercentile = 90;

}  // namespace

LoopMeter::LoopMeter(milliseconds period, SteadyTime now, std::chrono::microseconds used)
    : m_period(period), m_due(now + period), m_window_began(now), m_used(used) {}

milliseconds LoopMeter::OnProbe(SteadyTime now) {
  const milliseconds lag =
      std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - m_due));
  m_due = now + m_period;
  m_lags.push_back(lag);
  return lag;
}

LoopLoad LoopMeter::EndWindow(SteadyTime now, std::chrono::microseconds used,
                              std::uint32_t share_milli) {
  LoopLoad load;
  load.window = std::chrono::duration_cast<milliseconds>(now - m_window_began);
  // Include the delay of a timer that is overdue but has not fired yet: its handler may run only
  // after this one.
  m_lags.push_back(
      std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - m_due)));
  std::sort(m_lags.begin(), m_lags.end());
  load.lag_max = m_lags.back();
  load.lag_p90 = m_lags[(m_lags.size() - 1) * kLagPercentile / 100];
  load.processor = std::chrono::duration_cast<milliseconds>(used - m_used);
  const std::int64_t allowed_us =
      std::chrono::duration_cast<std::chrono::microseconds>(now - m_window_began).count() *
      share_milli / 1000;
  if (allowed_us > 0) {
    load.processor_percent = static_cast<std::uint32_t>(100 * (used - m_used).count() / allowed_us);
  }
  m_window_began = now;
  m_used = used;
  m_lags.clear();
  return load;
}

OverloadChange OverloadDetector::OnWindow(const LoopLoad& load, SteadyTime now) {
  const bool exceeds_limit =
      load.lag_max > kLoopLagLimit || load.processor_percent > kProcessorPercentLimit;
  if (!m_since) {
    if (!exceeds_limit) return OverloadChange::kNone;
    m_since = m_began = m_reported = now;
    m_windows_within_limits = 0;
    m_worst = load;
    return OverloadChange::kBegan;
  }
  m_worst.lag_max = std::max(m_worst.lag_max, load.lag_max);
  m_worst.lag_p90 = std::max(m_worst.lag_p90, load.lag_p90);
  m_worst.processor = std::max(m_worst.processor, load.processor);
  m_worst.processor_percent = std::max(m_worst.processor_percent, load.processor_percent);
  m_windows_within_limits = exceeds_limit ? 0 : m_windows_within_limits + 1;
  if (m_windows_within_limits >= kOverloadEndWindows) {
    m_since.reset();
    return OverloadChange::kEnded;
  }
  if (now < m_reported + kOverloadReportPeriod) return OverloadChange::kNone;
  m_reported = now;
  return OverloadChange::kContinues;
}

std::uint64_t WaitingSet::Add(SteadyTime now) {
  m_since.emplace(++m_last_key, now);
  return m_last_key;
}

milliseconds WaitingSet::Oldest(SteadyTime now) const {
  if (m_since.empty()) return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(now - m_since.begin()->second);
}

void PassMeter::OnPass(std::chrono::microseconds duration, milliseconds delay) {
  ++m_window.passes;
  m_window.last_duration = duration;
  m_window.max_duration = std::max(m_window.max_duration, duration);
  m_window.max_delay = std::max(m_window.max_delay, delay);
}

PassMeter::Window PassMeter::EndWindow() {
  const Window window = m_window;
  m_window = {};
  m_window.last_duration = window.last_duration;
  return window;
}

std::chrono::microseconds ProcessorTime() {
  timespec used{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec));
}

}  // namespace citronsill
