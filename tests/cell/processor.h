// The processor of one instance in model time: what its events cost, and in which order they run.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <utility>

#include "cell/scheduler.h"
#include "loop.h"

namespace citronsill::model {

using std::chrono::microseconds;

// Processor time of events in loops that run nothing else: calls over real connections, and the
// scheduler's own work in the model. What was not measured is marked.
struct EventCosts {
  microseconds call_sent{20};    // A start, stop or hold, or a question to the policy service.
  microseconds connection{50};   // Before the first call to a worker, and before its first hold.
  microseconds call_answer{30};  // Its answer, or its time-out.
  microseconds run_listed{1};    // Each run, running or ended, that a hold's answer lists.
  microseconds asked_worker{1};  // Each worker that a question names, when it is answered.
  microseconds submission{60};   // Not measured.
  microseconds link_ping{10};    // Of one other instance, every 100 ms; not measured.
  microseconds store_answer{80};
  microseconds transaction{60};
  microseconds transaction_entry{7};
  microseconds row_read{8};  // While a shard is loaded; not measured.
  microseconds tick{22};
  // A planning pass.
  std::chrono::nanoseconds plan_worker{40};
  std::chrono::nanoseconds plan_pair{25};    // A waiting unit and a worker.
  std::chrono::nanoseconds plan_order{100};  // A live order, while a gang waits.
  std::chrono::nanoseconds plan_placed{3000};
};

// A node takes this many times as long as those loops: with it, the full load takes 0.2 to 0.27 of
// a core, as in the score runs (docs/platform.md).
inline constexpr double kNodeSlowness = 1.5;

// What a planning pass has looked at.
struct PlanWork {
  std::uint64_t workers = 0;
  std::uint64_t pairs = 0;  // Of a waiting unit and a worker.
  std::uint64_t orders = 0;

  [[nodiscard]] std::uint64_t Total() const { return workers + pairs + orders; }
};

// @returns what the last pass of `scheduler` has looked at. The planner does not count it: it looks
// at each worker for each waiting unit, and, while a gang waits, at the end of each run.
inline PlanWork CountPlanWork(Scheduler& scheduler) {
  const Scheduler::Load& load = scheduler.LastLoad();
  PlanWork work;
  work.workers = scheduler.Workers().Workers().size();
  work.pairs = load.examined_units * work.workers;
  if (load.waiting_gangs > 0) work.orders = scheduler.Workers().OrderCount();
  return work;
}

// @param placed tasks that the pass gave a worker.
inline microseconds PlanCost(const EventCosts& costs, const PlanWork& work, std::size_t placed) {
  return std::chrono::duration_cast<microseconds>(
      costs.plan_worker * work.workers + costs.plan_pair * work.pairs +
      costs.plan_order * work.orders + costs.plan_placed * placed);
}

// Runs the events of an instance one after another, at a share of a core. As in the event loop of
// Boost.Asio with one thread, each poll takes at most 128 sockets that have become ready, and the
// timers that are due run after them: a time-out can run while the answer that it waits for is
// among the sockets that the poll has not taken. What an event posts runs before the next poll.
class Processor {
 public:
  Processor(Loop& loop, double share) : m_loop(loop), m_share(share) {}

  // An answer or a message has arrived at a socket.
  void Arrive(std::function<void()> event) {
    m_arrived.push_back({m_loop.Now(), std::move(event)});
    Wake();
  }
  void Post(std::function<void()> event) {
    m_ready.push_back({m_loop.Now(), std::move(event)});
    Wake();
  }
  void At(SteadyTime due, std::function<void()> event) {
    m_timers.emplace(due, std::move(event));
    m_loop.At(due, [this] { Wake(); });
  }

  // Adds to the cost of the event that is running.
  void Charge(microseconds cost) { m_charged += cost; }

  // @returns the time that the event which is running has reached.
  [[nodiscard]] SteadyTime Now() const {
    return m_loop.Now() + (m_is_running ? Stretched(m_charged) : std::chrono::nanoseconds(0));
  }

  // The process does not run until `Resume`; what arrives waits.
  void Freeze() { m_is_frozen = true; }
  void Resume() {
    m_is_frozen = false;
    Wake();
  }
  // The process has ended.
  void Clear() {
    m_ready.clear();
    m_arrived.clear();
    m_timers.clear();
    m_is_busy = false;
    m_is_frozen = false;
    ++m_life;
  }

  // @returns the processor time that was used.
  [[nodiscard]] milliseconds Used() const {
    return std::chrono::duration_cast<milliseconds>(m_used * kNodeSlowness);
  }
  // @returns the longest time that an event has waited for its turn since the last call.
  milliseconds TakeLag() { return std::exchange(m_lag, milliseconds(0)); }

 private:
  struct Event {
    SteadyTime since;
    std::function<void()> run;
  };

  static constexpr std::size_t kSocketsInPoll = 128;

  [[nodiscard]] std::chrono::nanoseconds Stretched(microseconds cost) const {
    return std::chrono::nanoseconds(static_cast<std::int64_t>(static_cast<double>(cost.count()) *
                                                              1000.0 * kNodeSlowness / m_share));
  }

  void Poll() {
    for (std::size_t i = 0; i < kSocketsInPoll && !m_arrived.empty(); ++i) {
      m_ready.push_back(std::move(m_arrived.front()));
      m_arrived.pop_front();
    }
    while (!m_timers.empty() && m_timers.begin()->first <= m_loop.Now()) {
      auto node = m_timers.extract(m_timers.begin());
      m_ready.push_back({node.key(), std::move(node.mapped())});
    }
  }

  void Wake() {
    while (!m_is_busy && !m_is_frozen) {
      if (m_ready.empty()) Poll();
      if (m_ready.empty()) return;
      const Event event = std::move(m_ready.front());
      m_ready.pop_front();
      m_lag = std::max(m_lag, std::chrono::duration_cast<milliseconds>(m_loop.Now() - event.since));
      m_charged = microseconds(0);
      m_is_busy = true;
      m_is_running = true;
      event.run();
      m_is_running = false;
      m_used += m_charged;
      if (m_charged.count() == 0) {
        m_is_busy = false;
        continue;
      }
      m_loop.At(m_loop.Now() + Stretched(m_charged), [this, life = m_life] {
        if (life != m_life) return;
        m_is_busy = false;
        Wake();
      });
    }
  }

  Loop& m_loop;
  double m_share;
  std::deque<Event> m_ready;    // Taken by the last poll, or posted.
  std::deque<Event> m_arrived;  // At sockets, since then.
  std::multimap<SteadyTime, std::function<void()>> m_timers;
  microseconds m_charged{0};
  microseconds m_used{0};
  milliseconds m_lag{0};
  bool m_is_busy = false;
  bool m_is_running = false;
  bool m_is_frozen = false;
  std::uint64_t m_life = 0;
};

}  // namespace citronsill::model
