/// Scheduler of one shard: its jobs, their tasks and the workers on which they run. Does no I/O of
/// its own: writes, calls to workers and requests to the policy service go out through hooks, and
/// their results come back as events. Every change is stored before anybody acts on it or is told
/// of it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell/fleet.h"
#include "cell/held.h"
#include "cell/job.h"
#include "cell/job_memory.h"
#include "cell/limits.h"
#include "cell/long_leases.h"
#include "cell/planner.h"
#include "cell/room_admission.h"
#include "cell/run_time_estimator.h"
#include "cell/shard_rows.h"
#include "cell/stalls.h"
#include "cell/store.h"
#include "cell/worker_speeds.h"

namespace citronsill {

struct SchedulerOptions {
  std::string shard;              ///< Name of the shard: the `part` of its row keys.
  std::uint64_t term = 0;         ///< Number of this term.
  milliseconds lease{0};          ///< Length of the leases of runs; at most what workers allow.
  milliseconds max_lease{0};      ///< Longest lease that workers grant; at least `lease`.
  milliseconds gang_time{0};      ///< Time in which all members of a gang have to start.
  milliseconds keep_finished{0};  ///< How long the state of a finished job can be queried.
  std::size_t max_job_bytes = kMaxJobBytes;  ///< Memory of all jobs together.
};

struct SchedulerHooks {
  Clock now;
  std::function<WallTime()> wall;
  /// Whether this instance may still act as the scheduler.
  std::function<bool()> may_lead;
  /// @returns the time for which the list of workers is recent enough to start tasks on its ground:
  /// until then, every worker that has been draining for the time allowed shows it. At 0, nothing
  /// is started. May be empty.
  std::function<milliseconds()> start_time_left = nullptr;
  /// Calls to workers. Results are passed to `Workers()`.
  std::function<void(const Worker&, StartOrder, std::uint64_t order)> start;
  std::function<void(const Worker&, const TaskRef&, std::uint64_t run, std::uint64_t order)> stop;
  std::function<void(const Worker&, HoldOrder, std::uint64_t hold)> hold;
  /// Asks the policy service on a free request slot. The answer comes back through `OnAdvice`.
  std::function<void(const TaskRef& step, std::vector<std::string> workers, AdviceRequestKind kind)>
      request_advice;
  std::function<AdviceCapacity()> advice_capacity;
  /// Called when changes wait to be stored.
  std::function<void()> has_writes;
  /// Asks for a call of `Plan` soon.
  std::function<void()> plan_soon;
  /// A worker has seen a higher fencing token: the shard has a newer scheduler.
  std::function<void()> on_superseded;
};

class Scheduler {
 public:
  using JobStateCallback = std::function<void(Result<schema::JobState>)>;

  Scheduler(SchedulerOptions options, SchedulerHooks hooks);
  ~Scheduler();

  /// Restores what earlier schedulers stored. To be called before anything else.
  /// @param lapse when every lease of usual length that earlier schedulers granted has expired.
  void Restore(const StoredShard& shard, SteadyTime lapse);

  /// Applies the customers of a configuration. To be called before `Restore` and when they change.
  void SetCustomers(const CustomerDirectory& customers);

  /// Accepts a job. A job whose id is known counts as a repeated submission.
  /// @param waited time since the caller's request arrived.
  /// @param done gets JOB_STATE_QUEUED once the job is stored, whatever its state by then;
  /// CODE_INVALID_FIELD for an invalid job, CODE_OVERLOADED while too many tasks wait, or the error
  /// of `RefuseUnsent`.
  void Submit(const schema::JobSpec& spec, milliseconds waited, JobStateCallback done);

  /// @returns when a job that was refused with CODE_OVERLOADED should be submitted again; 0 if
  /// nothing is known about that.
  [[nodiscard]] milliseconds RetryAfter(const schema::JobSpec& spec);

  /// Refuses the jobs that wait for their first transaction; nothing about them was sent to the
  /// store.
  /// @param error passed to their submitters.
  /// @param is_refused limits the call to these jobs; all if it is empty.
  /// @returns number of the jobs that were refused.
  std::size_t RefuseUnsent(const Error& error,
                           const std::function<bool(const std::string& id)>& is_refused = nullptr);

  /// @param done gets JOB_STATE_CANCELLED once all changes so far are stored, the final state of an
  /// archived job at once, or CODE_NOT_FOUND for an unknown job.
  void Cancel(const std::string& id, JobStateCallback done);

  /// @returns the stored state of the job, nullopt for an unknown job.
  [[nodiscard]] std::optional<schema::JobState> State(const std::string& id) const;

  /// @returns whether the job is known and not archived as finished.
  [[nodiscard]] bool IsActive(const std::string& id) const { return m_jobs.contains(id); }

  /// @returns whether the job is known: stored or about to be stored, active or finished.
  [[nodiscard]] bool IsKnown(const std::string& id) const {
    return m_jobs.contains(id) || m_finished.contains(id);
  }

  /// @returns whether a caller may see and cancel the job. Jobs without a customer are open to all.
  /// @param customer customer of the caller; empty for one that needs no key.
  [[nodiscard]] bool MayAccess(const std::string& id, const std::string& customer) const;

  /// @returns the number of accepted jobs of a queue of which no task has started.
  [[nodiscard]] std::uint64_t WaitingJobCount(const std::string& queue) const;

  /// @returns the next changes to store; empty if there are none. When more jobs have changed than
  /// `max_entries`, they are stored in packs.
  /// @param max_bytes no further job is added once the rows are larger than this.
  WriteBatch TakeBatch(std::size_t max_entries, std::size_t max_bytes);
  /// Called when everything up to `position` is stored.
  void OnStored(std::uint64_t position);
  /// Called when the store does not take the last batch. Its changes are stored in smaller batches.
  /// A job whose changes are refused by themselves is given up: it is refused if it is not stored
  /// yet, and else it fails.
  void OnRefused(std::uint64_t position);

  /// @returns the runs that counted as failed attempts since this scheduler took over the job.
  [[nodiscard]] std::vector<CountedFailure> CountedFailures(const std::string& id) const;

  /// @returns the number of finished jobs whose state can still be queried.
  [[nodiscard]] std::size_t FinishedJobs() const { return m_finished.size(); }

  void OnAdvice(const TaskRef& step, const std::vector<std::string>& asked,
                const Result<AdviceAnswer>& result);

  /// Runs one planning pass: decides which tasks start and what to ask the policy service.
  void Plan();
  /// Handles time-outs and due occurrences. To be called every few tens of milliseconds.
  void Tick();

  Fleet& Workers() { return m_fleet; }
  [[nodiscard]] const WorkerSpeeds& Speeds() const { return m_speeds; }

  [[nodiscard]] const CustomerLedger& Customers() const { return m_customers; }

  /// Free resources at the last planning pass, and the work that waits after it, including steps
  /// that have become ready since.
  struct Load {
    std::size_t workers = 0;  ///< Number of workers that accept new tasks.
    Resources free;           ///< Free resources of these workers.
    Resources capacity;
    std::size_t waiting_units = 0;  ///< Number of steps with waiting tasks.
    std::size_t waiting_gangs = 0;
    std::size_t waiting_tasks = 0;
    std::size_t waiting_interactive = 0;  ///< Waiting tasks of interactive queues.
    /// Of the waiting tasks, those of jobs beyond the share of their customer, which go last.
    std::size_t waiting_beyond_share = 0;
    std::size_t waiting_for_limit = 0;  ///< Tasks that wait for the limit of their customer.
    QueuedWork queued;                  ///< Work of the waiting tasks.
    std::size_t examined_units = 0;     ///< Units for which the last pass examined workers...
    std::size_t examined_pairs = 0;     ///< ...and how many, over all units.

    void ClearWaiting() {
      waiting_units = waiting_gangs = 0;
      waiting_tasks = waiting_interactive = waiting_beyond_share = waiting_for_limit = 0;
      queued = {};
    }
  };
  [[nodiscard]] const Load& LastLoad() const { return m_load; }

  /// Rate at which the scheduler starts tasks, for logs and metrics.
  struct StartRate {
    std::size_t in_flight = 0;  ///< Orders that wait for the store or for their worker's answer.
    std::size_t window = 0;     ///< Limit of `in_flight`.
    milliseconds call{0};       ///< Mean duration of calls to workers.
    double starts_per_s = 0.0;
    bool is_limited = false;  ///< The scheduler is the bottleneck: jobs may be refused.
  };
  [[nodiscard]] StartRate CurrentStartRate() const;

  [[nodiscard]] std::size_t ActiveJobs() const { return m_jobs.size(); }
  /// @returns the number of tasks of all jobs and of their occurrences that have begun.
  [[nodiscard]] std::uint64_t LiveTasks() const { return m_live_tasks; }
  /// @returns memory that the jobs take, in bytes.
  [[nodiscard]] std::size_t JobBytes() const { return m_job_memory.Bytes(); }

  /// Work that waits for the store.
  struct Backlog {
    /// Actions that follow a change once it is stored: orders to send, callers to answer.
    std::size_t effects = 0;
    milliseconds oldest_effect{0};
    std::size_t changes = 0;  ///< Jobs with changed rows that are not part of a transaction yet.
    milliseconds oldest_change{0};
    std::size_t removals = 0;  ///< Rows that are no longer needed and not removed yet.
    milliseconds oldest_removal{0};
  };
  [[nodiscard]] Backlog StoreBacklog() const;

  /// Finds out why ready tasks do not run. The work of one call is bounded. To be called every
  /// `kHeldCheckPeriod`.
  HeldReport CheckHeld(const HeldContext& context);

 private:
  // An action that follows changes once they are stored.
  struct Effect {
    std::uint64_t position;  // Runs once everything up to this position is stored.
    std::function<void()> run;
    SteadyTime since;
  };
  // Statistics of the tasks of a queue.
  struct QueueStats {
    RunTimeEstimator run_times;
    double allowed_share = 0.5;  // Share of the workers that the policy service allows.
  };
  // Numeric ids for names, starting at 1.
  using NameIds = std::map<std::string, std::uint32_t>;

  FleetHooks MakeFleetHooks();
  [[nodiscard]] milliseconds Since(SteadyTime time) const;
  Job* AddJob(std::unique_ptr<Job> job);
  void EraseJob(const std::string& id);
  void RefuseOverload(const schema::JobSpec& spec, const char* reason, std::size_t tasks_ahead,
                      const JobStateCallback& done) const;
  void RefuseForRoom(const schema::JobSpec& spec, const JobNeeds& needs,
                     const RoomDecision& decision, const JobStateCallback& done) const;
  void Reopen(Job* job);
  void ReopenMissing(SteadyTime now);
  void MarkDirty(Job* job);
  void AfterStored(std::function<void()> effect);
  void RunEffects();
  void SkipWithdrawn();
  void LoadJob(const StoredJob& stored, SteadyTime lapse, SteadyTime all_lapsed);
  void HoldUnknownTasks(Job* job, SteadyTime lapse);
  void EndUnknownRuns(Job* job, SteadyTime now);
  void RestoreGang(Step* step, Completeness completeness);
  // What a transaction is to store about a job.
  struct JobChange {
    bool is_final = false;                      // Its final state; else...
    bool has_job = false;                       // ...its spec...
    std::vector<schema::ProgressRow> progress;  // ...and its progress, if there is any.
    std::size_t bytes = 0;                      // Upper bound, as rows of their own.
    std::size_t entries = 0;
  };
  [[nodiscard]] static JobChange ChangeOf(const Job& job);
  void AppendRows(Job* job, JobChange change, WriteBatch* batch);
  void QueueAgain(Job* job, std::uint64_t position);
  void GiveUp(Job* job, std::uint64_t position);
  void EraseUnstored(Job* job, const Error& error);
  void RemoveProgressRows(Job* job, std::size_t parts_left, WriteBatch* batch) const;
  void AppendPacked(Job* job, JobChange change, PackWriter* active, PackWriter* finished,
                    WriteBatch* batch);
  [[nodiscard]] static bool HasProgress(const Job& job);
  [[nodiscard]] schema::FinishedRow MakeFinishedRow(const Job& job) const;
  void UnpackOldJobs(SteadyTime now);
  void RemoveExpiredFinished(std::size_t max_entries, WriteBatch* batch);
  void AddFinished(const std::string& id, const FinishedJob& finished);
  void OnRunning(Order& order);
  void OnEnded(Order& order, RunEnd end, const std::string& checkpoint);
  void OnVoid(Order& order, VoidReason reason, StartVerdict verdict);
  void OnUnclaimedEnd(const Worker& worker, const TaskRef& ref, std::uint64_t run, RunEnd end,
                      const std::string& checkpoint);
  void SetStrayRun(const TaskRef& ref, bool has_stray_run);
  void OnEnds(Worker& worker, std::uint64_t number);
  void OnTaskDone(const Order& order);
  void OnTaskFailed(const Order& order);
  void MarkDone(Task* task);
  void CountFailure(Task* task, std::uint64_t run, const std::string& worker);
  void StopGang(Step* step);
  void ResetGangIfGone(Step* step);
  void OnStepDone(Step* step);
  Step* FindStep(const TaskRef& ref);
  void StoreAnswer(const Worker& worker, bool is_allowed, Step* step);
  void ApplyStoredAnswers(Step* step);
  void Finish(Job* job, schema::JobState state, const FinalCause& cause);
  void ArchiveIfFinished(Job* job);
  void RefreshReady(Job* job, std::span<const std::unique_ptr<Step>> steps);
  void BeginDueOccurrences(Job* job);
  void AvoidWorker(Task* task, const Worker& worker);
  void CountWorkerFailure(Worker* worker, Task* task);
  bool HasOtherWorker(const Step& step, const Worker& worker);

  // Speeds of workers and runs that stand still, in scheduler_speeds.cc.
  // Progress of the members of a gang.
  struct GangProgress {
    bool is_complete = true;  // All members run.
    bool all_worked = true;   // All members have done their own work.
    SteadyTime complete_since{};
  };
  using GangProgressByStep = std::unordered_map<const Step*, GangProgress>;
  static const GangProgress& ProgressOf(const Step& step, GangProgressByStep* known);
  [[nodiscard]] RunProgress ProgressOf(const Order& order, GangProgressByStep* gangs) const;
  void CheckStalled(SteadyTime now);
  void CheckStalledOn(Worker* worker, GangProgressByStep* gangs);
  void StopStalled(Order* order, const RunProgress& progress, bool is_worker_stalled);
  [[nodiscard]] double SpeedOn(const Worker& worker) const;
  [[nodiscard]] milliseconds ExpectedRunOn(const Step& step, const Worker& worker) const;
  void LearnRunTime(const Order& order);
  void LearnSpeeds(Step* step);
  void LogSpeed(WorkerSpeeds::WorkerKey key, const WorkerSpeeds::Change& change);

  void CheckGang(Step* step, SteadyTime now);

  // Planning, in scheduler_plan.cc.
  static AdviceRequestKind RequestKindOf(const schema::QueueSpec& queue);
  [[nodiscard]] milliseconds ExpectedRun(const std::string& queue,
                                         const schema::StepSpec& step) const;
  [[nodiscard]] milliseconds ExpectedRun(const Step& step) const;
  [[nodiscard]] CellTime WorkOf(const Resources& size, std::size_t tasks, milliseconds run) const;
  [[nodiscard]] JobNeeds NeedsOf(const schema::JobSpec& spec, milliseconds waited);
  void CountQueuedWork(const PlanUnit& unit, milliseconds run);
  [[nodiscard]] milliseconds ExpectedCriticalPath(const Step& step) const;
  [[nodiscard]] SteadyTime ExpectedEndOf(const Order& order) const;
  [[nodiscard]] SteadyTime ExpectedRunEnd(const Order& order) const;
  [[nodiscard]] SteadyTime ExpectedGangEnd(Step* step) const;
  static std::uint32_t IdOf(const std::string& name, NameIds* ids);
  [[nodiscard]] milliseconds SendDelay() const;
  std::uint32_t PreferredRack(const Step& step);
  std::vector<PlanWorker> MakePlanWorkers();
  void SetObjective(Job* job);
  bool AddUnits(Job* job, std::vector<PlanUnit>* units, std::vector<PlanWorker>* workers);
  void FillStepFields(Step* step, PlanUnit* unit);
  void FillWorkerFields(PlanUnit* unit);
  // What decides, apart from the policy service, whether a step may run on a worker.
  struct WorkerFilter {
    const Step* step = nullptr;
    std::uint32_t service = 0;
    SteadyTime now;
    bool all_have_avoided_workers = false;  // Each waiting task avoids some workers.
  };
  WorkerFilter FilterOf(const Step& step);
  bool CanEverFit(Step* step, SteadyTime now);
  static bool MayUse(const WorkerFilter& filter, const Worker& worker);
  std::vector<std::uint32_t> ListUnknown(const PlanUnit& unit,
                                         const std::vector<PlanWorker>& workers);
  void LowerMinWaitingSize(const Step& step);
  void RestoreShares();
  [[nodiscard]] Result<void> CheckCustomerLimit(const schema::JobSpec& spec);
  [[nodiscard]] bool HasRoomBelowLimit(const Step& step, std::uint32_t count) const;
  void CountWaiting(const Step& step, std::size_t tasks);
  void CountPlaced(Step* step);
  [[nodiscard]] bool HasRoomOrRequestSlot() const;
  void SubtractReservedRoom(const Step& step, PlanUnit* unit, std::vector<PlanWorker>* workers);
  void ApplyPlan(const citronsill::Plan& plan);
  Order* Assign(Task* task, Worker* worker, std::uint64_t run);

  // Checks for held tasks, in scheduler_held.cc.
  struct HeldCandidate {
    Task* task;
    SteadyTime since;
    HeldReason reason;
    HeldFacts facts;
  };
  struct HeldCheckBudget {
    std::size_t tasks = kMaxTasksPerHeldCheck;
    std::size_t scans = kMaxScansPerHeldCheck;
    std::vector<HeldCandidate> reported;
  };
  std::uint32_t* RoomCounterFor(const Task& task, const Worker& worker, HeldRoomCounts* room);
  HeldRoomCounts CountRoom(const Task& task, std::uint32_t need);
  [[nodiscard]] HeldFacts CollectFacts(const Task& task, const HeldContext& context) const;
  static SteadyTime HeldSince(const Task& task);
  bool CheckHeldStep(Step* step, const HeldContext& context, HeldCheckBudget* budget,
                     HeldReport* report);
  void CheckHeldJobs(const HeldContext& context, HeldCheckBudget* budget, HeldReport* report);
  void AddReportLines(std::vector<HeldCandidate> found, HeldReport* report);

  SchedulerOptions m_options;
  SchedulerHooks m_hooks;
  Fleet m_fleet;
  std::unordered_map<std::string, std::unique_ptr<Job>> m_jobs;  // By job id.
  std::unordered_map<std::string, FinishedJob> m_finished;       // By job id.
  PackRegister m_packs;
  LongLeasesWriter m_long_leases;
  SteadyTime m_removals_paused_until{};
  std::uint64_t m_last_pack;  // Number of the last pack.
  SteadyTime m_next_unpack{};
  // Job ids by the Unix time in milliseconds at which the job finished.
  std::multimap<std::int64_t, std::string> m_finished_by_time;
  // Callbacks of submissions that wait for the store, by job id.
  std::unordered_map<std::string, std::vector<JobStateCallback>> m_submitters;
  // Jobs of which a task may wait for a worker, by number: those that planning passes look at.
  std::map<std::uint64_t, Job*> m_open_jobs;
  std::uint64_t m_last_job_number = 0;
  SteadyTime m_next_open_check{};
  SteadyTime m_load_counted_at{};  // When `m_load` was last computed for idle workers.
  std::deque<Job*> m_dirty;        // Jobs with changes to store, in the order of their positions.
  // The last batch that was taken: positions and ids of its jobs, and its removals.
  std::vector<std::pair<std::uint64_t, std::string>> m_batch_jobs;
  std::vector<RowKey> m_batch_removals;
  // While the changes of a refused batch are stored in smaller ones: the number of jobs in each,
  // and the position up to which that goes on.
  std::size_t m_max_batch_jobs = SIZE_MAX;
  std::uint64_t m_refused_until = 0;
  std::uint64_t m_live_tasks = 0;  // Of all jobs, at the last tick, and those added since.
  JobMemory m_job_memory;          // At the last tick, and what was added since.
  std::uint64_t m_submissions = 0;
  std::uint64_t m_last_position = 0;    // Last position that was assigned.
  std::uint64_t m_stored_position = 0;  // Everything up to this position is stored.
  std::set<std::uint64_t> m_withdrawn;  // Positions whose change will never be stored.
  std::deque<Effect> m_effects;
  // Position and id of final jobs that are archived once everything up to the position is stored.
  std::deque<std::pair<std::uint64_t, std::string>> m_archiving;
  std::map<std::string, QueueStats> m_queues;  // By the name of the queue.
  CustomerLedger m_customers;
  Load m_load;
  // Room reserved or set aside for gangs by the last pass, by worker slot.
  std::unordered_map<std::uint32_t, Resources> m_set_aside;
  WorkerSpeeds m_speeds;
  SteadyTime m_speed_lines_since{};  // Start of the second in which...
  std::uint32_t m_speed_lines = 0;   // ...this many lines about speeds were logged.
  SteadyTime m_next_stall_check{};
  std::size_t m_held_skip = 0;  // Number of jobs that the next check for held tasks skips.

  NameIds m_racks;
  NameIds m_services;
  OrderWindow m_order_window;
  JobAdmission m_admission;
  bool m_window_was_full = false;
  double m_send_delay_ms = 0.0;  // Mean time in milliseconds that assignments wait for the store.

  // Number of the current round of planning passes. A round ends with a pass that is not cut short
  // by `max_examined`.
  std::uint64_t m_plan_round = 1;

  // State of the current planning pass.
  std::vector<Worker*> m_plan_workers;
  // Lower bound, for each resource, of what a task of a step that may have waiting tasks needs.
  std::optional<Resources> m_min_waiting_size;
  // Upper bound of the free amount of each resource on any worker that accepts tasks.
  Resources m_plan_max_free;
  std::vector<Resources> m_plan_customer_room;  // By customer; empty without limits.
  bool m_plan_has_request_slot = false;         // A request slot of the policy service is free.
  std::vector<Step*> m_plan_steps;              // By the id of the unit.
  std::uint64_t m_run_base;                     // Run numbers of this term are higher than this.
};

}  // namespace citronsill
