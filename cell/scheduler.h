/// Scheduler of one shard: its jobs, their tasks and the workers they run on. Pure: what has to be
/// stored, sent or asked goes out through hooks, and results come back as events. Every change is
/// in the store before anybody acts on it or is told of it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell/fleet.h"
#include "cell/held.h"
#include "cell/job.h"
#include "cell/limits.h"
#include "cell/planner.h"
#include "cell/runtimes.h"
#include "cell/store.h"

namespace citronsill {

/// Tables of a shard; the part is the shard's name.
inline constexpr const char* kJobTable = "job";
inline constexpr const char* kProgressTable = "progress";
inline constexpr const char* kFinishedTable = "finished";

struct SchedulerOptions {
  std::string shard;              ///< Part of the store.
  std::uint64_t term = 0;         ///< Fence of all orders.
  milliseconds lease{0};          ///< Of runs; at most what workers allow.
  milliseconds gang_time{0};      ///< In which all members of a gang have to be there.
  milliseconds keep_finished{0};  ///< For which the state of an ended job can be asked for.
};

struct SchedulerHooks {
  Clock now;
  std::function<WallTime()> wall;
  std::function<bool()> may_lead;
  std::function<void(const Worker&, StartOrder, std::uint64_t order)> start;
  std::function<void(const Worker&, const TaskRef&, std::uint64_t run, std::uint64_t order)> stop;
  std::function<void(const Worker&, HoldOrder, std::uint64_t hold)> hold;
  /// Asks the policy service on a free lane; the answer comes by `OnAdvice`.
  std::function<void(const TaskRef& step, std::vector<std::string> workers, QuestionKind kind)> ask;
  std::function<LaneCounts()> lanes;
  /// Something waits to be stored.
  std::function<void()> has_writes;
  /// `Plan` should be called soon.
  std::function<void()> plan_soon;
  std::function<void()> on_deposed;
};

/// Changes of rows that go into one transaction.
struct WriteBatch {
  std::vector<Row> writes;
  std::vector<RowKey> removals;
  std::uint64_t position = 0;  ///< For `OnStored`.
};

class Scheduler {
 public:
  using Done = std::function<void(Result<schema::JobState>)>;

  Scheduler(SchedulerOptions options, SchedulerHooks hooks);
  ~Scheduler();

  /// Takes over what an earlier scheduler stored. Before any other call.
  void LoadJob(const schema::JobRow& job, const schema::ProgressRow* progress, SteadyTime lapse);
  void LoadFinished(const std::string& id, const schema::FinishedRow& row);

  /// Accepts a job. A job with a known id is the same one.
  /// @param waited time since the caller's request arrived.
  /// @param done is called once the job is in the store, or with a reason why it was not accepted.
  void Submit(const schema::JobSpec& spec, milliseconds waited, Done done);

  /// Refuses the jobs that wait for their first transaction: nothing of them was sent to the store.
  /// @param error that their submitters get.
  void RefuseUnsent(const Error& error);

  /// @param done is called once the cancelling is in the store; CODE_NOT_FOUND for an unknown job.
  void Cancel(const std::string& id, Done done);

  /// @returns the state that is in the store, none for an unknown job.
  [[nodiscard]] std::optional<schema::JobState> State(const std::string& id) const;

  /// @returns whether the job is known and has not been put away as ended.
  [[nodiscard]] bool IsActive(const std::string& id) const { return m_jobs.contains(id); }

  /// @returns whether the job is known, in the store or on its way to it.
  [[nodiscard]] bool Knows(const std::string& id) const {
    return m_jobs.contains(id) || m_finished.contains(id);
  }

  /// @returns accepted jobs of a queue of which no task was started.
  [[nodiscard]] std::uint64_t Waiting(const std::string& queue) const;

  /// @returns the next changes to store; empty when there are none.
  WriteBatch TakeBatch(std::size_t max_entries, std::size_t max_bytes);
  /// Everything up to `position` is in the store.
  void OnStored(std::uint64_t position);

  /// @returns runs that counted as attempts since this scheduler took the job over.
  [[nodiscard]] std::vector<CountedFailure> CountedFailures(const std::string& id) const;

  /// @returns jobs that have ended and can still be asked for.
  [[nodiscard]] std::size_t FinishedJobs() const { return m_finished.size(); }

  void OnAdvice(const TaskRef& step, const std::vector<std::string>& asked,
                const Result<AdviceAnswer>& result);

  /// Decides which tasks start.
  void Plan();
  /// To be called every few tens of milliseconds.
  void Tick();

  Fleet& Workers() { return m_fleet; }

  /// What a planning pass left, and what has become ready since.
  struct Load {
    std::size_t workers = 0;  ///< That take work.
    Resources free;           ///< On them.
    Resources capacity;
    std::size_t waiting_units = 0;  ///< Steps with waiting tasks.
    std::size_t waiting_gangs = 0;
    std::size_t waiting_tasks = 0;
    std::size_t waiting_interactive = 0;  ///< Of the waiting tasks.
    std::size_t examined_units = 0;       ///< Whose workers were looked at.

    void ClearWaiting() {
      waiting_units = waiting_gangs = 0;
      waiting_tasks = waiting_interactive = 0;
    }
  };
  [[nodiscard]] const Load& LastLoad() const { return m_load; }

  /// How fast it hands out work, for logs and metrics.
  struct Pace {
    std::size_t on_way = 0;  ///< Orders without an answer.
    std::size_t window = 0;  ///< As many may be on their way.
    milliseconds call{0};    ///< Mean time of calls to workers.
    double starts_per_s = 0.0;
    bool is_limited = false;  ///< Tasks wait for the scheduler: jobs may be refused.
  };
  [[nodiscard]] Pace CurrentPace() const;

  [[nodiscard]] std::size_t ActiveJobs() const { return m_jobs.size(); }

  /// What waits for the store.
  struct Backlog {
    std::size_t effects = 0;  ///< Of changes: orders to send, callers to answer.
    milliseconds oldest_effect{0};
    std::size_t changes = 0;  ///< Jobs whose rows are not in a transaction yet.
    milliseconds oldest_change{0};
  };
  [[nodiscard]] Backlog StoreBacklog() const;

  /// Finds out what holds back tasks whose turn has come. Bounded; to be called every
  /// `kHeldCheckPeriod`.
  HeldReport CheckHeld(const HeldContext& context);

 private:
  struct Effect {
    std::uint64_t position;
    std::function<void()> run;
    SteadyTime since;
  };
  // What was learned of the tasks of a queue.
  struct QueueRecord {
    RunTimes run_times;
    double allowed_share = 0.5;  // Of workers, by the answers of the policy service.
  };
  // Numbers for names, from 1.
  using Numbers = std::map<std::string, std::uint32_t>;

  FleetHooks MakeFleetHooks();
  [[nodiscard]] milliseconds Since(SteadyTime time) const;
  void MarkDirty(Job* job);
  void AfterStored(std::function<void()> effect);
  void RunEffects();
  void PassWithdrawn();
  void AppendRows(Job* job, WriteBatch* batch, std::size_t* bytes);
  void RemoveOldest(std::size_t max_entries, WriteBatch* batch);
  void KeepFinished(const std::string& id, const schema::FinishedRow& row);
  void OnRunning(Order& order);
  void OnEnded(Order& order, RunEnd end, const std::string& save);
  void OnVoid(Order& order, VoidReason reason, StartVerdict verdict);
  void OnUnclaimedEnd(const Worker& worker, const TaskRef& ref, std::uint64_t run, RunEnd end,
                      const std::string& save);
  void OnEnds(Worker& worker, std::uint64_t number);
  void TaskDone(const Order& order);
  void TaskFailed(const Order& order);
  void MarkDone(Task* task);
  void CountFailure(Task* task, std::uint64_t run, const std::string& worker);
  void EndGang(Step* step);
  void GangMemberGone(Step* step);
  void StepDone(Step* step);
  Step* FindStep(const TaskRef& ref);
  void KeepAnswer(const Worker& worker, bool is_allowed, Step* step);
  static void LookUpAnswers(const std::vector<Worker*>& workers, Step* step);
  void Finish(Job* job, schema::JobState state, const FinalCause& cause);
  void Settle(Job* job);
  void RefreshReady(Job* job);
  void BeginDue(Job* job);
  void AvoidFor(Task* task, const Worker& worker);
  void RecordFailure(Worker* worker, Task* task);
  void CheckStalled(SteadyTime now);
  void CheckGang(Step* step, SteadyTime now);

  // Planning.
  static QuestionKind KindOf(const schema::QueueSpec& queue);
  [[nodiscard]] milliseconds ExpectedRun(const Step& step) const;
  [[nodiscard]] milliseconds ExpectedChain(const Step& step) const;
  [[nodiscard]] SteadyTime ExpectedEndOf(const Order& order) const;
  static std::uint32_t NumberOf(const std::string& name, Numbers* numbers);
  [[nodiscard]] milliseconds SendDelay() const;
  std::uint32_t PreferredRack(const Step& step);
  std::vector<PlanWorker> MakePlanWorkers();
  void AddUnits(Job* job, std::vector<PlanUnit>* units, std::vector<PlanWorker>* workers);
  void FillUnit(Step* step, PlanUnit* unit);
  void DescribeUnit(PlanUnit* unit);
  void LowerLeastSize(const Step& step);
  void CountWaiting(const Step& step, std::size_t tasks);
  void CountPlaced(Step* step);
  [[nodiscard]] bool MayDecide() const;
  void ApplyHeldRoom(const Step& step, PlanUnit* unit, std::vector<PlanWorker>* workers);
  void ApplyPlan(const citronsill::Plan& plan);
  Order* Assign(Task* task, Worker* worker, std::uint64_t run);

  // Tasks that are held back.
  struct FoundHeld {
    Task* task;
    SteadyTime since;
    HeldReason reason;
    HeldFacts facts;
  };
  struct HeldBudget {
    std::size_t tasks = kHeldTasks;
    std::size_t scans = kHeldScans;
    std::vector<FoundHeld> reported;
  };
  std::uint32_t* PlacesOf(const Task& task, const Worker& worker, HeldRoomCounts* room);
  HeldRoomCounts CountRoom(const Task& task, std::uint32_t need);
  [[nodiscard]] HeldFacts FactsOf(const Task& task, const HeldContext& context) const;
  static SteadyTime HeldSince(const Task& task);
  bool CheckStep(Step* step, const HeldContext& context, HeldBudget* budget, HeldReport* report);
  void CheckJobs(const HeldContext& context, HeldBudget* budget, HeldReport* report);
  void AddLines(std::vector<FoundHeld> found, HeldReport* report);

  SchedulerOptions m_options;
  SchedulerHooks m_hooks;
  Fleet m_fleet;
  std::unordered_map<std::string, std::unique_ptr<Job>> m_jobs;
  std::unordered_map<std::string, schema::FinishedRow> m_finished;
  std::multimap<std::int64_t, std::string> m_finished_by_time;  // In Unix milliseconds.
  std::unordered_map<std::string, std::vector<Done>> m_submitters;
  std::deque<Job*> m_dirty;
  std::uint64_t m_submissions = 0;
  std::uint64_t m_tail = 0;             // Last position that was given out.
  std::uint64_t m_stored = 0;           // Everything up to it is in the store.
  std::set<std::uint64_t> m_withdrawn;  // Positions whose change is not stored any more.
  std::deque<Effect> m_effects;
  std::deque<std::pair<std::uint64_t, std::string>> m_settling;  // Removed once stored.
  std::map<std::string, QueueRecord> m_queues;
  Load m_load;
  std::unordered_map<std::uint32_t, Resources> m_set_aside;  // By slot, of the last pass.
  std::size_t m_held_skip = 0;  // Jobs that the next check for held tasks begins after.

  Numbers m_racks;
  Numbers m_services;
  OrderWindow m_window;
  Intake m_intake;
  bool m_window_was_full = false;
  double m_send_delay_ms = 0.0;  // Mean time that assignments wait for the store.

  std::uint64_t m_plan_round = 1;

  // Of the current planning pass.
  std::vector<Worker*> m_plan_workers;
  std::optional<Resources>
      m_least_size;              // Not more than any step needs that may have waiting tasks.
  Resources m_plan_most_free;    // Of each resource, no worker that takes work has more.
  bool m_plan_has_lane = false;  // To the policy service.
  std::vector<Step*> m_plan_steps;
  std::uint64_t m_run_base;
};

}  // namespace citronsill
