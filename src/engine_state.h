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
    std::uint32_t not_started = 0;      ///< Number of starts that a worker or the journal rejected.
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
    Resources peak_usage;  ///< Maximum usage reported so far, per dimension.
    std::string team;
    SteadyTime started;
    SteadyTime expected_end;
    SteadyTime overrun_at;   ///< Time from which on a short task counts as long.
    bool is_short = false;   ///< Counts as short work.
    bool stopping = false;   ///< A stop or checkpoint action was issued.
    bool preempted = false;  ///< Stopped to free capacity; the task is queued again.
    bool lost = false;       ///< Ended with kLost; the capacity stays reserved.
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

  /// Maximum age of a hold; see `Hold`.
  static constexpr std::chrono::milliseconds kHoldTime{2000};

  /// Marks a worker on which capacity is being freed for an urgent task. Only urgent tasks are
  /// placed on it until the hold ends.
  struct Hold {
    SteadyTime since;
  };

  /// Workers reserved for a job that could not be placed, and the time when it can start there.
  struct Reservation {
    std::string job;
    std::vector<WorkerHandle> workers;
    SteadyTime start;        ///< Expected start; work that ends before may still use the workers.
    SteadyTime computed_at;  ///< Time at which the reservation was planned.
    bool strict = false;     ///< Short work may not use the workers either.
  };

  // Interval at which limits that depend on time alone are checked again, such as the headroom for
  // short work and the quarantine of workers.
  static constexpr std::chrono::milliseconds kRefreshPeriod{250};

  explicit Impl(const EngineOptions& engine_options);

  [[nodiscard]] bool FitsPeerWorker(const Resources& size) const {
    return std::any_of(largest_peer_workers.begin(), largest_peer_workers.end(),
                       [&](const Resources& largest) { return largest.Covers(size); });
  }

  std::vector<Resources> largest_peer_workers;  ///< Of other instances.

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
  /// Reports the end of an attempt to the health tracker.
  void ReportResult(const Running& run, TaskOutcome outcome, SteadyTime now);
  void Reserve(const JobPtr& job, const TaskKey& task, WorkerHandle worker, const Resources& size,
               SteadyTime now);
  bool Release(const TaskKey& task);
  void MarkAsLong(Running& run);
  /// Counts short tasks that have overrun their expected run time as long from now on.
  void ReclassifyOverruns(SteadyTime now);
  bool EndRunning(const TaskKey& task, TaskOutcome outcome, SteadyTime now);
  bool EndInterrupted(const JobPtr& job, const TaskKey& task, TaskOutcome outcome, SteadyTime now);
  bool MayRetry(Job& job, const TaskKey& task, TaskOutcome outcome, bool preempted);
  void Retry(const JobPtr& job, const TaskKey& task, TaskOutcome outcome, SteadyTime now);
  void Learn(const Running& run, SteadyTime now);
  /// @returns whether the task waits for, or runs, a later attempt than that of `task`.
  static bool HasLaterAttempt(const Job& job, const TaskKey& task);
  /// @returns whether an attempt of the task with at least this number is running.
  static bool IsRunning(const Job& job, std::uint32_t task_index, std::uint32_t from_attempt);
  /// Records an attempt that was on a worker when it was removed.
  void Interrupt(const JobPtr& job, const TaskKey& task);

  // Jobs and their waiting tasks (engine.cc).
  void ApplySpec(Job& job, const JobSpec& spec);
  [[nodiscard]] LearnedEstimate EstimateOf(const JobSpec& spec) const;
  /// @returns the expected work of one task, in cell-seconds.
  [[nodiscard]] double WorkOf(const LearnedEstimate& estimate) const;
  JobPtr FindJob(const std::string& id) const;
  /// Erases a job of which no task waits, runs or is interrupted.
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
  /// Updates the counts for `count` waiting tasks that are removed without being started.
  void RecordDropped(Job& job, std::size_t count, SteadyTime now);
  void SubtractWaitingTasks(const Job& job, std::size_t count);
  void DropWaiting(const JobPtr& job, SteadyTime now);
  bool RemoveWaiting(const JobPtr& job, std::uint32_t index, SteadyTime now);
  void GiveUp(const JobPtr& job, schema::Code code, const std::string& message, SteadyTime now);
  void StopRunning(const Job& job);

  // Decisions (engine_place.cc).
  /// Queues the tasks whose retry delay has ended.
  void EnqueueDelayed(SteadyTime now);
  /// Gives up jobs with waiting tasks that cannot end before the deadline any more.
  void ExpireDeadlines(SteadyTime now);
  /// Places work of teams whose share has been too low for long, until it is an even share.
  void PlaceStarved(SteadyTime now);
  void PlaceLane(Lane lane, SteadyTime now);
  void PlaceGroup(WaitingGroup* group, SteadyTime now);
  /// @returns the batch group of the same team whose next task leaves the least of a worker unused.
  WaitingGroup* BestFit(WaitingGroup* oldest, SteadyTime now);
  bool PlaceOne(WaitingGroup& group, const JobPtr& job, SteadyTime now);
  bool PlaceGang(const JobPtr& job, QueueEntry& entry, SteadyTime now);
  [[nodiscard]] static bool IsGangOrService(const Job& job);
  /// @returns whether the job may take capacity on the chosen workers, one entry for each task,
  /// without using up the headroom for short work.
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
  /// @returns a reservation, still without a job, for the earliest time at which `count` tasks of
  /// this size are expected to fit at once; none if they never do.
  [[nodiscard]] std::optional<Reservation> ComputeReservation(const Resources& size,
                                                              std::uint32_t count,
                                                              SteadyTime now) const;

  // Preemption for urgent and short work (engine_preempt.cc).
  void Preempt(SteadyTime now);
  bool PreemptFor(const Job& job, std::vector<PreemptionCandidate>& candidates, SteadyTime now);
  [[nodiscard]] std::vector<PreemptionCandidate> FindCandidates(SteadyTime now) const;
  void ReleaseHolds(SteadyTime now);
  /// Preempts batch tasks if short work waits because long work exceeds its limit.
  void Reclaim(SteadyTime now);
  void StopVictim(const TaskKey& task, Running& run, const char* reason);

  EngineOptions options;
  WorkerIndex index;
  std::map<std::string, WorkerHandle> workers;  ///< By worker id.
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

  std::multimap<SteadyTime, Delayed> delayed;  ///< By the end of the retry delay; may be stale.
  /// Latest start and job id; may be stale.
  std::set<std::pair<SteadyTime, std::string>> deadlines;
  std::set<std::pair<SteadyTime, TaskKey>> overruns;  ///< `overrun_at` of running short tasks.
  /// Oldest first; may hold attempts that are not interrupted any more.
  std::deque<TaskKey> interrupted_order;
  std::map<WorkerHandle, Hold> holds;
  std::optional<Reservation> reservation;
  /// By team: when its share fell below the limit. Only of teams with waiting work.
  std::unordered_map<std::string, SteadyTime> starved_since;
  SteadyTime last_refresh{};
  SteadyTime last_reclaim{};
  std::vector<Action> actions;
};

}  // namespace citronsill
