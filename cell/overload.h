/// How far a process keeps up with its work: lag of its event loop, processor time, and how long
/// things wait in it. Pure: times are handed in.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "cell/types.h"

namespace citronsill {

/// What was measured over one window of about a second.
struct LoopLoad {
  milliseconds window{0};
  milliseconds lag_max{0};  ///< How late the probe's timer fired.
  milliseconds lag_p90{0};
  milliseconds processor{0};            ///< Processor time of the process.
  std::uint32_t processor_percent = 0;  ///< Of the share that the process may use.
};

/// Measures the lag of the event loop by a periodic timer.
class LoopMeter {
 public:
  /// @param period of the timer, which is set anew after each call.
  /// @param used processor time of the process so far.
  LoopMeter(milliseconds period, SteadyTime now, std::chrono::microseconds used);

  /// The timer fired. @returns how late it was.
  milliseconds OnProbe(SteadyTime now);

  /// Ends the window. @param share_milli thousandths of a core that the process may use.
  LoopLoad EndWindow(SteadyTime now, std::chrono::microseconds used, std::uint32_t share_milli);

 private:
  milliseconds m_period;
  SteadyTime m_due;
  SteadyTime m_window_began;
  std::chrono::microseconds m_used;
  std::vector<milliseconds> m_lags;  // Of this window.
};

enum class OverloadChange {
  kNone,
  kBegan,
  kLasts,  ///< Is due to be reported again.
  kOver,
};

/// Tells when a process is overloaded: when a limit is exceeded in one window, until neither is in
/// several on end.
class OverloadWatch {
 public:
  OverloadChange OnWindow(const LoopLoad& load, SteadyTime now);

  [[nodiscard]] bool IsOverloaded() const { return m_since.has_value(); }
  /// @returns when the present or the last overload began.
  [[nodiscard]] SteadyTime Since() const { return m_began; }
  /// @returns the highest figures of the present or the last overload.
  [[nodiscard]] const LoopLoad& Worst() const { return m_worst; }

 private:
  std::optional<SteadyTime> m_since;
  SteadyTime m_began{};
  SteadyTime m_reported{};
  std::uint32_t m_calm_windows = 0;
  LoopLoad m_worst;
};

/// Things that wait, and since when.
class WaitingSet {
 public:
  /// @returns the key for `Remove`.
  std::uint64_t Add(SteadyTime now);
  void Remove(std::uint64_t key) { m_since.erase(key); }

  [[nodiscard]] std::size_t Size() const { return m_since.size(); }
  /// @returns how long the oldest has waited; 0 when there is none.
  [[nodiscard]] milliseconds Oldest(SteadyTime now) const;

 private:
  std::uint64_t m_last_key = 0;
  std::map<std::uint64_t, SteadyTime> m_since;  // Keys rise with time.
};

/// Counts the passes of a periodic work and the time that they take.
class PassMeter {
 public:
  struct Window {
    std::uint32_t passes = 0;
    std::chrono::microseconds last{0};
    std::chrono::microseconds longest{0};
    milliseconds latest{0};  ///< The longest time from when a pass was due until it began.
  };

  void OnPass(std::chrono::microseconds took, milliseconds late);
  /// @returns the figures since the last call.
  Window EndWindow();

 private:
  Window m_window;
};

/// @returns the processor time that this process has used.
std::chrono::microseconds ProcessorTime();

}  // namespace citronsill
