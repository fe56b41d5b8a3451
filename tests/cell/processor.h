// Simulation of the processor of one instance in model time: cost and order of its events.
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

// Processor time of events when nothing else runs: calls over real connections, and the scheduler's
// own work in the model.
struct EventCosts {
  microseconds call_sent{20};    // A start, stop or hold, or a request to the policy service.
  microseconds connection{50};   // Added to the first call and to the first hold of a worker.
  microseconds call_answer{30};  // The reply to a call, or its time-out.
  microseconds run_listed{1};    // Each running or ended run in the reply to a hold.
  microseconds asked_worker{1};  // Each worker in an advice request, when it is answered.
  microseconds submission{60};
  microseconds link_ping{10};  // Pings of one other instance, every 100 ms.
  microseconds store_answer{80};
  microseconds transaction{60};
  microseconds transaction_entry{7};
  microseconds row_read{8};  // Each row that is read while a shard is loaded.
  microseconds tick{22};
  // A planning pass.
  std::chrono::nanoseconds plan_worker{40};
  std::chrono::nanoseconds plan_pair{25};    // Each pair of a waiting unit and a worker.
  std::chrono::nanoseconds plan_unit{1000};  // Each waiting unit.
  std::chrono::nanoseconds plan_placed{3000};
};

// Factor by which a node is slower than `EventCosts`. With it, the full load takes 0.2 to 0.27 of a
// core, as in the score runs (docs/platform.md).
inline constexpr double kNodeSlowness = 1.5;

// Number of items that a planning pass has examined.
struct PlanWork {
  std::uint64_t workers = 0;
  std::uint64_t units = 0;
  std::uint64_t pairs = 0;  // Pairs of a waiting unit and a worker, and ends of runs looked at.

  [[nodiscard]] std::uint64_t Total() const { return workers + pairs; }
};

// @returns the work of the last pass of `scheduler`.
inline PlanWork CountPlanWork(Scheduler& scheduler) {
  const Scheduler::Load& load = scheduler.LastLoad();
  PlanWork work;
  work.workers = scheduler.Workers().Workers().size();
  work.units = load.waiting_units;
  work.pairs = load.examined_pairs;
  return work;
}

// @param placed number of tasks that the pass assigned to a worker.
inline microseconds PlanCost(const EventCosts& costs, const PlanWork& work, std::size_t placed) {
  return std::chrono::duration_cast<microseconds>(
      costs.plan_worker * work.workers + costs.plan_pair * work.pairs +
      costs.plan_unit * work.units + costs.plan_placed * placed);
}

// Runs the events of an instance one after another on a share of a core. As in the event loop of
// Boost.Asio with one thread, each poll handles at most 128 ready sockets, and then the timers that
// are due. A time-out can therefore run although its reply has arrived at a socket that was not
// polled yet. Events posted by an event run before the next poll.
class Processor {
 public:
  Processor(Loop& loop, double share) : m_loop(loop), m_share(share) {}

  // Queues an event for a reply or message that has arrived at a socket.
  void Arrive(std::function<void()> event) {
    m_arrived.push_back({m_loop.Now(), std::move(event)});
    RunReady();
  }
  void Post(std::function<void()> event) {
    m_ready.push_back({m_loop.Now(), std::move(event)});
    RunReady();
  }
  void At(SteadyTime due, std::function<void()> event) {
    m_timers.emplace(due, std::move(event));
    m_loop.At(due, [this] { RunReady(); });
  }

  // Adds to the processor time of the current event.
  void Charge(microseconds cost) { m_charged += cost; }

  // @returns the current time, including the processor time used by the current event so far.
  [[nodiscard]] SteadyTime Now() const {
    return m_loop.Now() + (m_is_running ? ToModelTime(m_charged) : std::chrono::nanoseconds(0));
  }

  // Stops the process until `Resume`; events are queued meanwhile.
  void Freeze() { m_is_frozen = true; }
  void Resume() {
    m_is_frozen = false;
    RunReady();
  }
  // Ends the process and drops its events.
  void Clear() {
    m_ready.clear();
    m_arrived.clear();
    m_timers.clear();
    m_is_busy = false;
    m_is_frozen = false;
    ++m_generation;
  }

  // @returns the processor time used so far.
  [[nodiscard]] milliseconds Used() const {
    return std::chrono::duration_cast<milliseconds>(m_used * kNodeSlowness);
  }
  // @returns the longest time that an event has waited to run since the last call.
  milliseconds TakeLag() { return std::exchange(m_lag, milliseconds(0)); }

 private:
  struct Event {
    SteadyTime since;
    std::function<void()> run;
  };

  static constexpr std::size_t kSocketsInPoll = 128;

  [[nodiscard]] std::chrono::nanoseconds ToModelTime(microseconds cost) const {
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

  void RunReady() {
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
      m_loop.At(m_loop.Now() + ToModelTime(m_charged), [this, generation = m_generation] {
        if (generation != m_generation) return;
        m_is_busy = false;
        RunReady();
      });
    }
  }

  Loop& m_loop;
  double m_share;
  std::deque<Event> m_ready;    // Events taken by the last poll, or posted.
  std::deque<Event> m_arrived;  // Events at sockets that were not polled yet.
  std::multimap<SteadyTime, std::function<void()>> m_timers;
  microseconds m_charged{0};
  microseconds m_used{0};
  milliseconds m_lag{0};
  bool m_is_busy = false;
  bool m_is_running = false;
  bool m_is_frozen = false;
  std::uint64_t m_generation = 0;
};

}  // namespace citronsill::model
