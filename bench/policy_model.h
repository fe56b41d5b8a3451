/// Discrete-event simulation that drives a scheduler with arrivals
/// and run times. It models no network, workers or instances: a task
/// starts when the decision is made and ends after its run time.
#pragma once

#include <time.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "citronsill/engine.h"
#include "schema/citronsill.pb.h"

namespace citronsill::model {

using Ms = std::chrono::milliseconds;

// Time that a worker takes to stop a task, and to checkpoint and stop it.
inline constexpr Ms kStopTime{200};
inline constexpr Ms kCheckpointTime{1000};
inline constexpr Ms kTick{50};  // Interval between samples.

/// The part of the engine's interface that the simulation uses.
class Scheduler {
 public:
  virtual ~Scheduler() = default;
  virtual void PutWorker(const WorkerSpec& spec, SteadyTime now) = 0;
  virtual Admission Submit(const JobSpec& job, SteadyTime now) = 0;
  virtual bool OnEnded(const TaskKey& task, TaskOutcome outcome, SteadyTime now) = 0;
  virtual std::vector<Action> Poll(SteadyTime now) = 0;
};

class EngineScheduler : public Scheduler {
 public:
  EngineScheduler() : m_engine(std::move(Engine::Create({}).value())) {}
  void PutWorker(const WorkerSpec& spec, SteadyTime now) override {
    m_engine->PutWorker(spec, now);
  }
  Admission Submit(const JobSpec& job, SteadyTime now) override {
    return m_engine->Submit(job, now);
  }
  bool OnEnded(const TaskKey& task, TaskOutcome outcome, SteadyTime now) override {
    return m_engine->OnEnded(task, outcome, now);
  }
  std::vector<Action> Poll(SteadyTime now) override { return m_engine->Poll(now); }
  Engine& Get() { return *m_engine; }

 private:
  std::unique_ptr<Engine> m_engine;
};

/// Baseline: first come, first served; first fit by a full scan; refuses nothing.
class FirstComeScheduler : public Scheduler {
 public:
  void PutWorker(const WorkerSpec& spec, SteadyTime) override {
    m_workers.push_back({spec, {}, 0});
  }

  Admission Submit(const JobSpec& job, SteadyTime) override {
    for (std::uint32_t i = 0; i < job.task_count; ++i) m_queue.push_back({job, i});
    return {schema::CODE_OK, {}, {}};
  }

  bool OnEnded(const TaskKey& task, TaskOutcome, SteadyTime) override {
    const auto found = m_running.find(task);
    m_workers[found->second.first].used -= found->second.second;
    --m_workers[found->second.first].slots;
    m_running.erase(found);
    return false;
  }

  std::vector<Action> Poll(SteadyTime) override {
    std::vector<Action> actions;
    while (!m_queue.empty()) {
      const JobSpec& job = m_queue.front().first;
      const auto worker = std::ranges::find_if(m_workers, [&](const auto& candidate) {
        Resources needed = candidate.used;
        needed += job.size;
        return candidate.slots < candidate.spec.slots && candidate.spec.capacity.Covers(needed);
      });
      if (worker == m_workers.end()) break;
      worker->used += job.size;
      ++worker->slots;
      Action action;
      action.task = {job.id, m_queue.front().second, 0};
      action.worker = worker->spec.id;
      action.size = job.size;
      m_running[action.task] = {worker - m_workers.begin(), job.size};
      actions.push_back(std::move(action));
      m_queue.pop_front();
    }
    return actions;
  }

 private:
  struct Worker {
    WorkerSpec spec;
    Resources used;
    std::uint32_t slots = 0;
  };
  std::vector<Worker> m_workers;
  std::deque<std::pair<JobSpec, std::uint32_t>> m_queue;
  std::unordered_map<TaskKey, std::pair<std::ptrdiff_t, Resources>> m_running;
};

/// A job to be submitted at a time.
struct Arrival {
  Ms at{0};
  JobSpec spec;                       ///< The model sets the id.
  Ms run_time{0};                     ///< Actual run time of each task.
  Ms deadline{0};                     ///< Relative to the submission; 0 means none.
  bool retries_when_refused = false;  ///< Retries when refused with a delay.
};

/// What happened to a job.
struct Record {
  Arrival arrival;
  Ms submitted{0};  ///< Time of the last submission.
  bool accepted = false;
  Ms first_start{-1};  ///< Negative if no task was started.
  Ms ended{-1};        ///< Time when the last task succeeded; negative before.
  std::uint32_t tasks_left = 0;
  std::uint32_t retry_count = 0;
  bool gave_up = false;
  schema::Code code{};
};

/// State of the cell at one time.
struct Sample {
  Ms at{0};
  Resources used;
  std::size_t running = 0;
  std::size_t waiting = 0;  ///< Accepted jobs of which no task was started.
  std::map<std::string, Resources> used_by_team;
  std::map<std::string, std::size_t> waiting_by_team;
};

class Model {
 public:
  explicit Model(Scheduler& scheduler) : m_scheduler(scheduler) {}

  void AddWorker(const WorkerSpec& spec) { m_scheduler.PutWorker(spec, Time(Ms(0))); }

  void Add(Arrival arrival) {
    arrival.spec.id = std::to_string(m_records.size());
    Schedule(arrival.at, [this, index = m_records.size()] { Arrive(index); });
    Record record;
    record.tasks_left = arrival.spec.task_count;
    record.arrival = std::move(arrival);
    m_records.push_back(std::move(record));
  }

  void RunUntil(Ms end) {
    for (Ms at = m_now; at <= end; at += kTick) Schedule(at, [this] { TakeSample(); });
    while (!m_events.empty() && m_events.top().at <= end) {
      m_now = m_events.top().at;
      while (!m_events.empty() && m_events.top().at == m_now) {
        const auto run = m_events.top().run;
        m_events.pop();
        run();
      }
      std::vector<Action> actions;
      Timed([&] { actions = m_scheduler.Poll(Time(m_now)); });
      for (const Action& action : actions) Execute(action);
    }
  }

  [[nodiscard]] const std::vector<Record>& Records() const { return m_records; }
  [[nodiscard]] const std::vector<Sample>& Samples() const { return m_samples; }
  /// Number of accepted retries, and of all retries, by refused callers.
  [[nodiscard]] std::uint64_t RetriesAccepted() const { return m_retries_accepted; }
  [[nodiscard]] std::uint64_t Retries() const { return m_retries; }
  [[nodiscard]] std::uint64_t Starts() const { return m_starts; }
  [[nodiscard]] std::uint64_t Stops() const { return m_stops; }
  /// Processor time used by the scheduler, in seconds.
  [[nodiscard]] double SchedulerSeconds() const { return m_scheduler_seconds; }

 private:
  struct Event {
    Ms at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  struct RunningTask {
    Ms started;
    Ms run_time;
  };

  static SteadyTime Time(Ms at) { return SteadyTime(std::chrono::hours(1)) + at; }

  void Schedule(Ms at, std::function<void()> run) {
    m_events.push({at, m_order++, std::move(run)});
  }

  template <class Call>
  void Timed(const Call& call) {
    timespec before{};
    timespec after{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &before);
    call();
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &after);
    m_scheduler_seconds += static_cast<double>(after.tv_sec - before.tv_sec) +
                           static_cast<double>(after.tv_nsec - before.tv_nsec) * 1e-9;
  }

  void Arrive(std::size_t index) {
    Record& record = m_records[index];
    JobSpec spec = record.arrival.spec;
    if (record.arrival.deadline.count() > 0) spec.deadline = Time(m_now + record.arrival.deadline);
    Admission admission;
    Timed([&] { admission = m_scheduler.Submit(spec, Time(m_now)); });
    record.submitted = m_now;
    record.code = admission.code;
    record.accepted = admission.code == schema::CODE_OK;
    if (record.retry_count > 0) {
      ++m_retries;
      if (record.accepted) ++m_retries_accepted;
    }
    if (record.accepted) {
      ++m_waiting;
      ++m_waiting_by_team[spec.team];
    } else if (record.arrival.retries_when_refused && admission.retry_after.count() > 0) {
      ++record.retry_count;
      Schedule(m_now + admission.retry_after, [this, index] { Arrive(index); });
    }
  }

  void Execute(const Action& action) {
    Record& record = m_records[std::stoul(action.task.request_id)];
    switch (action.kind) {
      case ActionKind::kStart:
        return Start(action, record);
      case ActionKind::kGiveUp:
        record.gave_up = true;
        LeaveQueue(record);
        return;
      case ActionKind::kThrottle:
        return;
      default:
        ++m_stops;
        const bool checkpoint = action.kind == ActionKind::kCheckpoint;
        Schedule(m_now + (checkpoint ? kCheckpointTime : kStopTime),
                 [this, task = action.task, checkpoint] { Stop(task, checkpoint); });
    }
  }

  void LeaveQueue(const Record& record) {
    if (record.first_start.count() >= 0) return;
    --m_waiting;
    --m_waiting_by_team[record.arrival.spec.team];
  }

  void Start(const Action& action, Record& record) {
    ++m_starts;
    LeaveQueue(record);
    if (record.first_start.count() < 0) record.first_start = m_now;
    const auto remaining = m_remaining.find({action.task.request_id, action.task.index, 0});
    const Ms run_time =
        remaining == m_remaining.end() ? record.arrival.run_time : remaining->second;
    m_running[action.task] = {m_now, run_time};
    m_used += record.arrival.spec.size;
    m_used_by_team[record.arrival.spec.team] += record.arrival.spec.size;
    Schedule(m_now + run_time, [this, task = action.task] { Succeed(task); });
  }

  bool RemoveRunning(const TaskKey& task) {
    if (m_running.erase(task) == 0) return false;
    const Record& record = m_records[std::stoul(task.request_id)];
    m_used -= record.arrival.spec.size;
    m_used_by_team[record.arrival.spec.team] -= record.arrival.spec.size;
    return true;
  }

  void Succeed(const TaskKey& task) {
    if (!RemoveRunning(task)) return;
    Record& record = m_records[std::stoul(task.request_id)];
    if (--record.tasks_left == 0) record.ended = m_now;
    Timed([&] { m_scheduler.OnEnded(task, TaskOutcome::kSucceeded, Time(m_now)); });
  }

  void Stop(const TaskKey& task, bool checkpoint) {
    const auto found = m_running.find(task);
    if (found == m_running.end()) return;
    if (checkpoint) {
      m_remaining[{task.request_id, task.index, 0}] =
          found->second.run_time - (m_now - found->second.started);
    }
    RemoveRunning(task);
    Timed([&] { m_scheduler.OnEnded(task, TaskOutcome::kStopped, Time(m_now)); });
  }

  void TakeSample() {
    m_samples.push_back(
        {m_now, m_used, m_running.size(), m_waiting, m_used_by_team, m_waiting_by_team});
  }

  Scheduler& m_scheduler;
  Ms m_now{0};
  std::uint64_t m_order = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::vector<Record> m_records;
  std::vector<Sample> m_samples;
  std::unordered_map<TaskKey, RunningTask> m_running;
  std::unordered_map<TaskKey, Ms> m_remaining;  ///< Run time left, by task as attempt 0.
  Resources m_used;
  std::map<std::string, Resources> m_used_by_team;
  std::size_t m_waiting = 0;
  std::map<std::string, std::size_t> m_waiting_by_team;
  std::uint64_t m_retries = 0;
  std::uint64_t m_retries_accepted = 0;
  std::uint64_t m_starts = 0;
  std::uint64_t m_stops = 0;
  double m_scheduler_seconds = 0.0;
};

}  // namespace citronsill::model
