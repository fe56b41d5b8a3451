// Event loop in model time, for tests of the cell without sockets, threads or real time.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

#include "cell/types.h"

namespace citronsill::model {

class Loop {
 public:
  explicit Loop(std::uint64_t seed) : m_random(seed) {}

  [[nodiscard]] SteadyTime Now() const { return m_now; }

  void At(SteadyTime time, std::function<void()> action) {
    m_events.emplace(std::pair(std::max(time, m_now), ++m_sequence), std::move(action));
  }
  void After(milliseconds delay, std::function<void()> action) {
    At(m_now + delay, std::move(action));
  }

  void RunUntil(SteadyTime end) {
    while (!m_events.empty() && m_events.begin()->first.first <= end) {
      auto node = m_events.extract(m_events.begin());
      m_now = node.key().first;
      node.mapped()();
    }
    m_now = end;
  }
  void RunFor(milliseconds time) { RunUntil(m_now + time); }

  // Seeded random numbers for the test schedule.
  bool Chance(double share) { return std::uniform_real_distribution<>(0.0, 1.0)(m_random) < share; }
  std::int64_t Between(std::int64_t least, std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>(least, most)(m_random);
  }
  milliseconds Delay(std::int64_t least, std::int64_t most) {
    return milliseconds(Between(least, most));
  }

 private:
  SteadyTime m_now{std::chrono::hours(1)};
  std::uint64_t m_sequence = 0;
  std::multimap<std::pair<SteadyTime, std::uint64_t>, std::function<void()>> m_events;
  std::mt19937_64 m_random;
};

}  // namespace citronsill::model
