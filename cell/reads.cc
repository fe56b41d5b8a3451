#include "cell/reads.h"

#include "cell/limits.h"

namespace citronsill {

ReadGate::ReadGate(Clock now) : m_now(std::move(now)), m_last_tick(m_now()), m_confirmed(m_now()) {}

void ReadGate::OnTick() { m_last_tick = m_now(); }

void ReadGate::OnConfirmed(SteadyTime sent) {
  m_confirmed = sent;
  std::vector<std::pair<SteadyTime, std::function<void()>>> waiting;
  waiting.swap(m_waiting);
  for (auto& [since, answer] : waiting) {
    if (since <= sent) {
      answer();
    } else {
      m_waiting.emplace_back(since, std::move(answer));
    }
  }
}

// Other instances wait at least `kOwnerRefused` after the last transaction before they claim the
// shard.
bool ReadGate::MayAnswer(Answer kind, bool store_fails) const {
  const SteadyTime now = m_now();
  if (now < m_confirmed + kOwnerRefused) return true;
  const bool was_frozen = now > m_last_tick + kOwnerRefused;
  return kind == Answer::kState && store_fails && !was_frozen;
}

bool ReadGate::Deliver(Answer kind, bool store_fails, std::function<void()> answer) {
  if (MayAnswer(kind, store_fails)) {
    answer();
    return true;
  }
  m_waiting.emplace_back(m_now(), std::move(answer));
  return false;
}

}  // namespace citronsill
