/// Load measurement of a process: lag of the event loop, processor time, and waiting times of work
/// in progress. Classes do not read a clock; times are passed in.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "cell/types.h"

namespace citronsill {

/// Load measured over one window of about one second.
struct LoopLoad {
  milliseconds window{0};
  milliseconds lag_max{0};              ///< Maximum delay of the periodic timer.
  milliseconds lag_p90{0};              ///< 90th percentile of the delay.
  milliseconds processor{0};            ///< Processor time used by the process.
  std::uint32_t processor_percent = 0;  ///< Percentage of the processor share that was used.
};

/// Measures the lag of the event loop with a periodic timer.
class LoopMeter {
 public:
  /// @param period period of the timer, counted from the last time it fired.
  /// @param used processor time used by the process so far.
  LoopMeter(milliseconds period, SteadyTime now, std::chrono::microseconds used);

  /// To be called when the timer fires. @returns how late it fired.
  milliseconds OnProbe(SteadyTime now);

  /// Ends the window. @param share_milli thousandths of a core that the process may use.
  LoopLoad EndWindow(SteadyTime now, std::chrono::microseconds used, std::uint32_t share_milli);

 private:
  milliseconds m_period;
  SteadyTime m_due;
  SteadyTime m_window_began;
  std::chrono::microseconds m_used;
  std::vector<milliseconds> m_lags;  // Delays of the timer in this window.
};

enum class OverloadChange {
  kNone,
  kBegan,
  kContinues,  ///< Still overloaded, and due to be reported again.
  kEnded,
};

/// Detects overload of a process. Overload begins with a window in which a limit is exceeded and
/// ends after `kOverloadEndWindows` consecutive windows in which none is.
class OverloadDetector {
 public:
  OverloadChange OnWindow(const LoopLoad& load, SteadyTime now);

  [[nodiscard]] bool IsOverloaded() const { return m_since.has_value(); }
  /// @returns when the current or last overload began.
  [[nodiscard]] SteadyTime Since() const { return m_began; }
  /// @returns the highest values during the current or last overload.
  [[nodiscard]] const LoopLoad& Worst() const { return m_worst; }

 private:
  std::optional<SteadyTime> m_since;  // When the current overload began.
  SteadyTime m_began{};               // When the current or last overload began.
  SteadyTime m_reported{};
  std::uint32_t m_windows_within_limits = 0;
  LoopLoad m_worst;
};

/// Set of waiting items with their start times.
class WaitingSet {
 public:
  /// @returns the key for `Remove`.
  std::uint64_t Add(SteadyTime now);
  void Remove(std::uint64_t key) { m_since.erase(key); }

  [[nodiscard]] std::size_t Size() const { return m_since.size(); }
  /// @returns how long the oldest item has waited; 0 when there is none.
  [[nodiscard]] milliseconds Oldest(SteadyTime now) const;

 private:
  std::uint64_t m_last_key = 0;
  std::map<std::uint64_t, SteadyTime> m_since;  // Keys increase with time.
};

/// Counts the planning passes and measures their duration, per window between two reports.
class PassMeter {
 public:
  struct Window {
    std::uint32_t passes = 0;
    std::chrono::microseconds last_duration{0};
    std::chrono::microseconds max_duration{0};
    milliseconds max_delay{0};  ///< Longest delay of a pass after it was due.
  };

  void OnPass(std::chrono::microseconds duration, milliseconds delay);
  /// @returns the values since the last call; `last_duration` may be from before.
  Window EndWindow();

 private:
  Window m_window;
};

/// @returns the processor time that this process has used.
std::chrono::microseconds ProcessorTime();

}  // namespace citronsill
