/// Decides when a scheduler may answer from memory. One that was frozen may have been replaced
/// without knowing it yet, and would deny jobs that its successor has accepted.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "cell/types.h"

namespace citronsill {

class ReadGate {
 public:
  /// @param now clock that goes on while the process is frozen.
  explicit ReadGate(Clock now);

  /// The event loop runs. To be called every `kLeaderTick`.
  void OnTick();

  /// @param sent when the last transaction that is known to be in the store was sent: at that
  /// moment the shard had no other scheduler. Answers that waited for it are given.
  void OnConfirmed(SteadyTime sent);

  /// What an answer says of a job.
  enum class Answer {
    kState,    ///< A state that was stored.
    kUnknown,  ///< That there is no such job.
  };

  /// Gives an answer now, or once the scheduler is known to have had the shard at this moment.
  /// @param store_fails the store does not answer: nobody can claim the shard meanwhile, so states
  /// are told all the same unless this process stood still. That a job is not known waits.
  /// @returns false when the answer waits: a transaction should be sent soon.
  bool Give(Answer kind, bool store_fails, std::function<void()> answer);

 private:
  [[nodiscard]] bool MayGive(Answer kind, bool store_fails) const;

  Clock m_now;
  SteadyTime m_ticked;
  SteadyTime m_confirmed;
  std::vector<std::pair<SteadyTime, std::function<void()>>> m_waiting;  // Since when.
};

}  // namespace citronsill
