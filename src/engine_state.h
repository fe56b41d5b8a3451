/// State of the engine. Private to src/engine*.cc.
#pragma once

#include "citronsill/admission.h"
#include "citronsill/engine.h"
#include "citronsill/fairness.h"
#include "citronsill/headroom.h"
#include "citronsill/health.h"
#include "citronsill/learner.h"
#include "citronsill/placement.h"
#include "citronsill/queue.h"
#include "internal.h"

namespace citronsill {

struct Engine::Impl {
  /// What is known about the attempts of one task.
  struct Attempts {
    std::uint32_t next = 0;  ///< Number of the next attempt; a worker rejects a number it has seen.
    std::uint32_t failures = 0;
    std::uint32_t not_started = 0;
    std::vector<std::string> excluded;  ///< Workers on which the task failed.
  };

  struct Job {
    JobSpec spec;
    Lane lane{};
    std::uint64_t sequence = 0;
    Resources size;                         ///< Learned or declared size of one task.
    std::chrono::milliseconds run_time{0};  ///< Expected run time of one task.
    double work = 0.0;                      ///< Expected work of one task, in cell-seconds.
    std::set<std::uint32_t> waiting;        ///< Indexes of tasks that are queued or in retry delay.
    std::map<std::uint32_t, std::uint32_t> delayed;  ///< Next attempt, of tasks in retry delay.
    bool is_known = true;  ///< False if only the id and the size are known.
    bool closed = false;   ///< Cancelled or given up: no task is started any more.
    std::vector<QueueEntryPtr> entries;
    std::set<TaskKey> running;
    std::map<std::uint32_t, Attempts> attempts;
    std::set<TaskKey> interrupted;  ///< Attempts that were on a worker when it was removed.
  };
  using JobPtr = std::shared_ptr<Job>;
  using JobMap = std::unordered_map<std::string, JobPtr>;

  struct Running {
    JobPtr job;
    WorkerHandle worker;
    Resources size;
    Resources most_used;  ///< Maximum usage reported so far, per dimension.
    std::string team;
    SteadyTime started;
    SteadyTime expected_end;
    SteadyTime overrun_at;
    bool is_short = false;
    bool stopping = false;
    bool preempted = false;
    bool lost = false;
  };

  struct WorkerState {
    std::unordered_set<TaskKey> tasks;
    bool accepting = true;  ///< Set by the caller of the engine.
    bool may_place = true;  ///< Set from the health tracker.
    [[nodiscard]] bool IsSchedulable() const { return accepting && may_place; }
  };

  struct Delayed {
    JobPtr job;
    WaitingTask task;
  };

  /// Maximum age of a hold.
  static constexpr std::chrono::milliseconds kHoldTime{2000};

  /// Marks a worker on which capacity is being freed for an urgent task; other tasks do not get it.
  struct Hold {
    SteadyTime since;
  };

  /// Workers reserved for a job that could not be placed, and the time when it can start there.
  struct Reservation {
    std::string job;
    std::vector<WorkerHandle> workers;
    SteadyTime start;
    SteadyTime computed;
    bool strict = false;  ///< Short work may not use the workers either.
  };

  // Interval at which limits that depend on time alone are checked again, such as the headroom for
  // short work and the quarantine of workers.
  static constexpr std::chrono::milliseconds kRefreshPeriod{250};

  explicit Impl(const EngineOptions& engine_options);

  [[nodiscard]] bool FitsOtherInstance(const Resources& size) const {
    return std::any_of(other_capacities.begin(), other_capacities.end(),
                       [&](const Resources& largest) { return largest.Covers(size); });
  }

  std::vector<Resources> other_capacities;

  // Workers and running tasks (engine_tasks.cc).
  void UpdateCapacity();
  void AdvanceGenerations() {
    ++generation;
    ++long_generation;
  }
  [[nodiscard]] std::uint64_t GenerationOf(Lane lane) const {
    return lane == Lane::kUrgent || lane == Lane::kShort ? generation : long_generation;
  }
  void UpdateHeadroom(WorkerHandle worker);
  void UpdateSchedulable(WorkerHandle worker, SteadyTime now);
  void UpdateHealth(SteadyTime now);
  void ReportResult(const Running& run, TaskOutcome outcome, SteadyTime now);
  void Reserve(const JobPtr& job, const TaskKey& task, WorkerHandle worker, const Resources& size,
               SteadyTime now);
  bool Release(const TaskKey& task);
  void MarkAsLong(Running& run);
  void ReclassifyOverruns(SteadyTime now);
  bool EndRunning(const TaskKey& task, TaskOutcome outcome, SteadyTime now);
  bool EndInterrupted(const JobPtr& job, const TaskKey& task, TaskOutcome outcome, SteadyTime now);
  bool MayRetry(Job& job, const TaskKey& task, TaskOutcome outcome, bool preempted);
  void Retry(const JobPtr& job, const TaskKey& task, TaskOutcome outcome, SteadyTime now);
  void Learn(const Running& run, SteadyTime now);
  static bool HasLaterAttempt(const Job& job, const TaskKey& task);
  static bool IsRunning(const Job& job, std::uint32_t task_index, std::uint32_t from_attempt);
  void Interrupt(const JobPtr& job, const TaskKey& task);

  // Jobs and their waiting tasks (engine.cc).
  void ApplySpec(Job& job, const JobSpec& spec);
  [[nodiscard]] LearnedEstimate EstimateOf(const JobSpec& spec) const;
  [[nodiscard]] double WorkOf(const LearnedEstimate& estimate) const;
  JobPtr FindJob(const std::string& id) const;
  void EraseIfDone(const JobPtr& job);
  void EraseIfDone(JobMap::iterator found);
  [[nodiscard]] bool IsQueueFull(const std::string& team) const;
  void AddWaitingJob(const Job& job);
  void RemoveWaitingJob(const Job& job);
  [[nodiscard]] Admission CheckAdmission(const JobSpec& spec, SteadyTime now);
  [[nodiscard]] AdmissionControl& AdmissionOf(Lane lane);
  [[nodiscard]] Lane LaneOf(const JobSpec& spec, std::chrono::milliseconds run_time) const;
  [[nodiscard]] Shape ShapeOf(const Job& job, std::uint32_t index) const;
  void Enqueue(const JobPtr& job, std::vector<WaitingTask> tasks, bool at_front, SteadyTime now);
  void RecordDropped(Job& job, std::size_t count, SteadyTime now);
  void SubtractWaitingTasks(const Job& job, std::size_t count);
  void DropWaiting(const JobPtr& job, SteadyTime now);
  bool RemoveWaiting(const JobPtr& job, std::uint32_t index, SteadyTime now);
  void GiveUp(const JobPtr& job, schema::Code code, const std::string& message, SteadyTime now);
  void StopRunning(const Job& job);

  // Decisions (engine_place.cc).
  void EnqueueDelayed(SteadyTime now);
  void ExpireDeadlines(SteadyTime now);
  void PlaceStarved(SteadyTime now);
  void PlaceLane(Lane lane, SteadyTime now);
  void PlaceGroup(WaitingGroup* group, SteadyTime now);
  WaitingGroup* BestFit(WaitingGroup* oldest, SteadyTime now);
  bool PlaceOne(WaitingGroup& group, const JobPtr& job, SteadyTime now);
  bool PlaceGang(const JobPtr& job, QueueEntry& entry, SteadyTime now);
  [[nodiscard]] static bool IsGangOrService(const Job& job);
  [[nodiscard]] bool LeavesHeadroom(const Job& job, const QueueEntry& entry,
                                    std::span<const WorkerHandle> chosen, SteadyTime now) const;
  [[nodiscard]] bool IsReservedFor(const Job& job) const;
  [[nodiscard]] std::vector<WorkerHandle> ExcludedFor(const Job& job, std::uint32_t task_index,
                                                      SteadyTime now) const;
  [[nodiscard]] bool ConflictsWithReservation(const Job& job, SteadyTime now) const;
  [[nodiscard]] std::optional<WorkerHandle> ChooseWorker(const Job& job, std::uint32_t task_index,
                                                         SteadyTime now) const;
  void Start(const JobPtr& job, QueueEntry& entry, WorkerHandle worker, SteadyTime now);
  void RefreshReservation(SteadyTime now);
  void PlanReservation(const Job& job, const QueueEntry& entry, SteadyTime now);

  // When and where a job could start (engine_reserve.cc).
  [[nodiscard]] std::optional<Reservation> PlanStart(const Resources& size, std::uint32_t count,
                                                     SteadyTime now) const;

  // Preemption for urgent and short work (engine_preempt.cc).
  void Preempt(SteadyTime now);
  bool PreemptFor(const Job& job, std::vector<PreemptionCandidate>& candidates, SteadyTime now);
  [[nodiscard]] std::vector<PreemptionCandidate> FindCandidates(SteadyTime now) const;
  void ReleaseHolds(SteadyTime now);
  void Reclaim(SteadyTime now);
  void StopVictim(const TaskKey& task, Running& run, const char* reason);

  EngineOptions options;
  WorkerIndex index;
  std::map<std::string, WorkerHandle> workers;
  std::map<WorkerHandle, WorkerState> states;
  Resources capacity;
  std::uint32_t slots = 0;

  JobMap jobs;
  std::unordered_map<TaskKey, Running> running;
  std::size_t long_running = 0;  ///< Number of tasks that do not count as short work.
  WaitingQueue queue;
  std::size_t waiting_jobs = 0;
  std::unordered_map<std::string, std::size_t> waiting_by_team;
  std::size_t urgent_waiting = 0;  ///< Number of waiting urgent tasks.
  std::uint64_t next_sequence = 1;
  // Incremented when capacity may have become free. A group that could not be placed is tried again
  // only after that. The end of a short task does not increment `long_generation`, because its
  // capacity is kept for short work: with 16,000 batch tasks of different sizes waiting, trying
  // them after each of 190 ends a second took 43% of a core.
  std::uint64_t generation = 1;
  std::uint64_t long_generation = 1;

  FairShares shares;
  Headroom headroom;
  AdmissionControl short_admission;  ///< For urgent and short work.
  AdmissionControl long_admission;   ///< For services, batch and long interactive work.
  Learner learner;
  HealthTracker health;
  std::set<WorkerHandle> probes;  ///< Quarantined workers that may get a probe task.
  std::unordered_map<std::string, RetryBudget> retry_budgets;  ///< By team.

  std::multimap<SteadyTime, Delayed> delayed;
  std::set<std::pair<SteadyTime, std::string>>
      deadlines;  ///< Latest start and job id; may be stale.
  std::set<std::pair<SteadyTime, TaskKey>> overruns;
  std::deque<TaskKey> interrupted_order;
  std::map<WorkerHandle, Hold> holds;
  std::optional<Reservation> reservation;
  std::unordered_map<std::string, SteadyTime> starved_since;
  SteadyTime last_refresh{};
  SteadyTime last_reclaim{};
  std::vector<Action> actions;
};

}  // namespace citronsill
