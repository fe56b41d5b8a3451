// Simulation of workers in model time. They handle calls like the platform's workers, and record
// each violation of an invariant.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cell/worker.h"
#include "loop.h"

namespace citronsill::model {

constexpr std::size_t kMaxEndsPerAnswer = 500;
constexpr std::uint64_t kMaxClockAtBirth = 7200000;  // In milliseconds.

// Actual behavior of a task, which the scheduler does not know.
struct TaskBehavior {
  milliseconds duration{500};
  bool fails = false;
  Resources size{1000, 1000, 0};
  bool gang = false;
  std::uint32_t members = 1;
  // When all members of a gang end; one whose own work is done earlier waits at 100 percent.
  milliseconds gang_duration{0};
};

// Phase of a task from the view of the workers.
enum class TaskPhase {
  kNotRunning,  // No run, and no successful end that counts.
  kRunning,
  kEnded,         // A run ended successfully; the end is not acknowledged yet.
  kAcknowledged,  // A successful end was acknowledged.
};

// Records everything that all workers did, over all of their incarnations.
class History {
 public:
  std::function<TaskBehavior(const TaskRef&)> behavior_of;
  std::function<void(const TaskRef&, TaskPhase)> on_phase;  // May be empty.
  // Called when a successful end is acknowledged after the task has been started again. May be
  // empty.
  std::function<void(const TaskRef&, std::uint64_t run)> on_started_since_done;

  struct Run {
    TaskRef task;
    std::uint64_t run = 0;
    std::string worker;
  };
  std::multimap<TaskRef, Run> running;           // Current runs.
  std::set<TaskRef> acknowledged_successes;      // Tasks with an acknowledged successful end.
  std::map<TaskRef, int> acknowledged_failures;  // Number of acknowledged failed ends.
  std::map<std::pair<TaskRef, std::uint64_t>, RunEnd> ends;
  std::vector<std::string> violations;
  std::set<std::string> submitted;  // Jobs that were submitted.
  std::set<std::string> refused;    // Jobs whose callers were told that they will never run.
  std::set<std::string> started;    // Jobs with at least one started task.
  std::uint64_t starts = 0;
  std::map<TaskRef, std::uint64_t> starts_of;                      // Number of starts of each task.
  std::map<std::pair<TaskRef, std::uint64_t>, int> starts_of_run;  // The same by run number.
  int max_attempts = 3;
  bool late_on_next_incarnation = false;  // The call being executed; named in violations.

  void OnStart(const Run& run) {
    ++starts;
    ++starts_of[run.task];
    ++starts_of_run[{run.task, run.run}];
    started.insert(run.task.job);
    const auto note = [&](const std::string& what) {
      violations.push_back(what + ": " + run.task.job + "." + std::to_string(run.task.step) + "." +
                           std::to_string(run.task.index) + " run " + std::to_string(run.run) +
                           " on " + run.worker +
                           (late_on_next_incarnation ? " (late call, next incarnation)" : ""));
    };
    if (running.contains(run.task)) note("two runs at once");
    if (acknowledged_successes.contains(run.task)) note("started after done");
    if (acknowledged_failures[run.task] >= max_attempts) note("started after its last attempt");
    if (!submitted.contains(run.task.job)) note("started without a submission");
    if (refused.contains(run.task.job)) note("started after a refusal");
    running.emplace(run.task, run);
    ReportPhase(run.task, TaskPhase::kRunning);
  }

  void ReportPhase(const TaskRef& task, TaskPhase phase) const {
    if (on_phase) on_phase(task, phase);
  }

  void OnEnd(const Run& run) {
    for (auto [it, last] = running.equal_range(run.task); it != last; ++it) {
      if (it->second.worker == run.worker && it->second.run == run.run) {
        running.erase(it);
        return;
      }
    }
  }
};

// One incarnation of a worker.
class WorkerProcess {
 public:
  WorkerProcess(Loop& loop, History& history, std::string id, Resources capacity, double clock_rate)
      : m_loop(loop),
        m_history(history),
        m_id(std::move(id)),
        m_capacity(capacity),
        m_rate(clock_rate),
        m_born(loop.Now()) {
    clock_at_birth =
        std::chrono::minutes(1) + milliseconds(StableHash(Ticket()) % kMaxClockAtBirth);
  }

  bool dead = false;
  bool hangs = false;                // Tasks make no progress.
  double speed = 1.0;                // Of its tasks; at 0.5 they take twice as long.
  bool checks_tickets = false;       // Tickets are for one incarnation.
  bool is_unhealthy = false;         // Refuses all calls and does nothing.
  bool checks_room = false;          // Rejects what does not fit.
  milliseconds max_lease{6000};      // On its own clock; longer leases are shortened.
  milliseconds clock_at_birth;       // Differs between incarnations.
  milliseconds wall_clock_error{0};  // Of its machine when it started.

  [[nodiscard]] WorkerTime ClockNow() const {
    const auto since = std::chrono::duration<double, std::milli>(m_loop.Now() - m_born).count();
    return {clock_at_birth + milliseconds(static_cast<std::int64_t>(since * m_rate))};
  }
  [[nodiscard]] std::int64_t Born() const {
    return (std::chrono::duration_cast<milliseconds>(m_born.time_since_epoch()) + wall_clock_error)
        .count();
  }

  [[nodiscard]] std::string Ticket() const { return m_id + "@" + std::to_string(Born()); }

  StartAnswer Start(const StartOrder& order) {
    StartAnswer answer;
    if (is_unhealthy) {
      answer.verdict = StartVerdict::kUnavailable;
      return answer;
    }
    answer.clock = ClockNow();
    if (order.fence < m_fence) {
      answer.verdict = StartVerdict::kStaleFence;
      return answer;
    }
    m_fence = order.fence;
    if (ClockNow() > order.lease_until) {
      answer.verdict = StartVerdict::kTooLate;
      return answer;
    }
    Renew(order.lease_until);
    if (m_running.contains({order.task, order.run})) {
      answer.verdict = StartVerdict::kStarted;
      return answer;
    }
    if (order.run <= m_highest[order.task]) {
      answer.verdict = StartVerdict::kOldRun;
      return answer;
    }
    if (checks_tickets && !order.ticket.empty() && order.ticket != Ticket()) {
      answer.verdict = StartVerdict::kBadTicket;
      return answer;
    }
    if (checks_room && !Free().Covers(m_history.behavior_of(order.task).size)) {
      answer.verdict = StartVerdict::kNoRoom;
      return answer;
    }
    answer.verdict = StartVerdict::kStarted;
    Begin(order);
    return answer;
  }

  StopAnswer Stop(const TaskRef& task, std::uint64_t run, std::uint64_t fence) {
    StopAnswer answer;
    if (is_unhealthy) return answer;
    answer.clock = ClockNow();
    if (fence < m_fence) {
      answer.stale_fence = true;
      return answer;
    }
    m_fence = fence;
    answer.acknowledged = true;
    m_highest[task] = std::max(m_highest[task], run);
    const auto found = m_running.find({task, run});
    if (found != m_running.end() && !found->second.stopping) {
      found->second.stopping = true;
      m_loop.After(m_loop.Delay(1, 400), [this, task, run] { End(task, run, RunEnd::kStopped); });
    }
    return answer;
  }

  // @returns none when the reply has to wait for an end.
  std::optional<HoldAnswer> Hold(const HoldOrder& order) {
    HoldAnswer answer;
    answer.clock = ClockNow();
    answer.born_unix_ms = Born();
    if (order.fence < m_fence) {
      answer.stale_fence = true;
      return answer;
    }
    m_fence = order.fence;
    Acknowledge(order.acknowledged);
    if (order.lease_until.since_start.count() > 0) Renew(order.lease_until);
    if (order.wait.count() > 0 && m_ended.empty()) return std::nullopt;
    return Status();
  }

  HoldAnswer Status() {
    HoldAnswer answer;
    answer.clock = ClockNow();
    answer.born_unix_ms = Born();
    for (const auto& [key, run] : m_running) {
      RunningTask out;
      out.task = key.first;
      out.run = key.second;
      out.percent = Percent(run);
      answer.running.push_back(out);
    }
    const std::size_t listed = std::min(m_ended.size(), kMaxEndsPerAnswer);
    answer.ended.assign(m_ended.begin(), m_ended.begin() + static_cast<std::ptrdiff_t>(listed));
    return answer;
  }

  void Die() {
    if (dead) return;
    dead = true;
    for (const auto& [key, run] : m_running) {
      m_history.OnEnd({key.first, key.second, m_id});
      m_history.ReportPhase(key.first, TaskPhase::kNotRunning);
    }
    m_running.clear();
  }

  // @returns the resources not used by running tasks.
  [[nodiscard]] Resources Free() const {
    Resources free = m_capacity;
    for (const auto& [key, run] : m_running) free -= run.size;
    return free;
  }

  std::function<void()> on_end;  // Completes a waiting hold.

 private:
  using RunKey = std::pair<TaskRef, std::uint64_t>;  // Task and run number.

  struct Running {
    SteadyTime began;
    milliseconds duration{0};  // Of its own work.
    Resources size;
    bool stopping = false;
    bool waits_for_gang = false;  // At the end of its own work.
  };

  [[nodiscard]] int Percent(const Running& run) const {
    if (hangs || run.duration.count() == 0) return 0;
    const auto elapsed = std::chrono::duration_cast<milliseconds>(m_loop.Now() - run.began);
    const std::int64_t most = run.waits_for_gang ? 100 : 99;
    return static_cast<int>(std::min<std::int64_t>(most, 100 * elapsed / run.duration));
  }

  void Begin(const StartOrder& order) {
    const TaskBehavior behavior = m_history.behavior_of(order.task);
    const auto own = std::chrono::round<milliseconds>(behavior.duration / speed);
    const milliseconds duration = std::max(own, behavior.gang_duration);
    m_running[{order.task, order.run}] = {m_loop.Now(), own, behavior.size, false, duration > own};
    m_history.OnStart({order.task, order.run, m_id});
    Resources used;
    for (const auto& [key, run] : m_running) used += run.size;
    if (!m_capacity.Covers(used)) m_history.violations.push_back("over capacity: " + m_id);
    if (hangs) return;
    m_loop.After(duration, [this, task = order.task, run = order.run, fails = behavior.fails] {
      End(task, run, fails ? RunEnd::kFailed : RunEnd::kDone);
    });
  }

  void End(const TaskRef& task, std::uint64_t run, RunEnd end) {
    if (dead) return;
    const auto found = m_running.find({task, run});
    if (found == m_running.end()) return;
    m_highest[task] = std::max(m_highest[task], run);
    m_running.erase(found);
    m_history.OnEnd({task, run, m_id});
    m_history.ends[{task, run}] = end;
    m_history.ReportPhase(task, end == RunEnd::kDone ? TaskPhase::kEnded : TaskPhase::kNotRunning);
    m_ended.push_back({++m_last_end, task, run, end, ""});
    m_starts_at_end[m_last_end] = m_history.starts_of[task];
    if (on_end) on_end();
  }

  // An end counts only if it is acknowledged before the lease expires.
  void Acknowledge(std::uint64_t number) {
    while (!m_ended.empty() && m_ended.front().number <= number) {
      const EndedTask& ended = m_ended.front();
      if (!m_lapsed.contains(ended.number)) {
        if (ended.end == RunEnd::kDone) {
          m_history.acknowledged_successes.insert(ended.task);
          m_history.ReportPhase(ended.task, TaskPhase::kAcknowledged);
          const bool was_started = m_history.starts_of[ended.task] > m_starts_at_end[ended.number];
          if (was_started && m_history.on_started_since_done) {
            m_history.on_started_since_done(ended.task, ended.run);
          }
        }
        if (ended.end == RunEnd::kFailed) ++m_history.acknowledged_failures[ended.task];
      } else if (ended.end == RunEnd::kDone) {
        m_history.ReportPhase(ended.task, TaskPhase::kNotRunning);
      }
      m_ended.erase(m_ended.begin());
    }
  }

  void Renew(WorkerTime until) {
    until = std::min(until, ClockNow() + max_lease);
    if (until <= m_lease) return;
    m_lease = until;
    const auto left = std::chrono::duration<double, std::milli>(until - ClockNow()) / m_rate;
    m_loop.After(std::chrono::ceil<milliseconds>(left) + milliseconds(1), [this, until] {
      if (dead || m_lease != until) return;
      for (const EndedTask& ended : m_ended) m_lapsed.insert(ended.number);
      const std::map<RunKey, Running> running = m_running;
      for (const auto& [key, run] : running) End(key.first, key.second, RunEnd::kLeaseExpired);
    });
  }

  Loop& m_loop;
  History& m_history;
  std::string m_id;
  Resources m_capacity;
  double m_rate;
  SteadyTime m_born;
  std::uint64_t m_fence = 0;
  WorkerTime m_lease;
  std::map<RunKey, Running> m_running;
  std::map<TaskRef, std::uint64_t> m_highest;
  std::vector<EndedTask> m_ended;
  std::map<std::uint64_t, std::uint64_t> m_starts_at_end;  // Starts of the task, by end number.
  std::set<std::uint64_t> m_lapsed;  // Ends that were not acknowledged before the lease expired.
  std::uint64_t m_last_end = 0;
};

}  // namespace citronsill::model
