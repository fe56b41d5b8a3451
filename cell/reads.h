/// Decides when a scheduler may answer calls from memory. A scheduler whose process was frozen may
/// have been replaced without having noticed, and would deny jobs that its successor has accepted.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "cell/types.h"

namespace citronsill {

/// Delays answers until this instance is known to have owned the shard when they were requested.
class ReadGate {
 public:
  /// @param now clock that continues while the process is frozen.
  explicit ReadGate(Clock now);

  /// Records that the event loop is running. To be called every `kLeaderTick`.
  void OnTick();

  /// Gives all deferred answers that were requested up to `sent`.
  /// @param sent when the last transaction that is known to be in the store was sent. At that
  /// moment the shard had no other scheduler.
  void OnConfirmed(SteadyTime sent);

  /// Content of an answer about a job.
  enum class Answer {
    kState,    ///< A state that is in the store.
    kUnknown,  ///< There is no such job.
  };

  /// Gives an answer now, or defers it until this instance is known to have owned the shard at this
  /// moment.
  /// @param store_fails the store does not answer. Nobody can claim the shard meanwhile, so states
  /// are still answered unless this process was frozen; `kUnknown` is deferred.
  /// @returns false when the answer was deferred: a transaction should be sent soon.
  bool Deliver(Answer kind, bool store_fails, std::function<void()> answer);

 private:
  [[nodiscard]] bool MayAnswer(Answer kind, bool store_fails) const;

  Clock m_now;
  SteadyTime m_last_tick;
  SteadyTime m_confirmed;
  std::vector<std::pair<SteadyTime, std::function<void()>>> m_waiting;  // With start times.
};

}  // namespace citronsill
