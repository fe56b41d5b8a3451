/// Timer service for periodic and delayed callbacks.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include "citronsill/runtime.h"
#include "citronsill/types.h"

namespace citronsill {

/// Handle of a subscription; 0 means none.
struct TimerId {
  std::uint64_t value = 0;
};

/// Calls subscribers on the threads of the runtime.
class TimerService {
 public:
  static Result<std::unique_ptr<TimerService>> Create(Runtime& runtime);
  ~TimerService();

  /// Calls `handler` with the current time until cancelled, first after `period` and then `period`
  /// after the end of each call. Calls of one subscription never overlap; after a pause of the
  /// process, missed calls are dropped.
  TimerId Every(std::chrono::milliseconds period, std::function<void(SteadyTime)> handler);

  /// Calls `handler` once, with the current time, after `delay`.
  TimerId After(std::chrono::milliseconds delay, std::function<void(SteadyTime)> handler);

  /// Cancels a subscription. A call in progress still completes.
  void Cancel(TimerId id);

 private:
  struct Impl;
  explicit TimerService(Runtime& runtime);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
