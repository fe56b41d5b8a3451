/// Tracks the workers of a shard and the orders sent to them, and derives the state of each run
/// from the replies of its worker, so that no task runs twice. Does no I/O itself: calls are made
/// through hooks, and their results are passed back to `OnStart`, `OnStop` and `OnHold`.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cell/job.h"
#include "cell/long_leases.h"
#include "cell/pace.h"
#include "cell/worker.h"

namespace citronsill {

/// Why an order ended without a reported end of its run.
enum class VoidReason {
  kNeverSent,     ///< The order became unusable before the start was sent.
  kRefused,       ///< The worker refused the start; see the verdict.
  kNotOnWorker,   ///< The worker does not run it and can no longer start it.
  kLeaseExpired,  ///< The worker did not answer until every lease on it had expired.
  kWorkerGone,    ///< This incarnation of the worker has ended.
};

/// What showed that an incarnation of a worker has ended.
enum class IncarnationEnd {
  kListEntry,   ///< The list of workers names a later one.
  kHoldAnswer,  ///< A later one answered a hold.
  kOtherId,     ///< A worker with another id answers at the address.
};

/// @returns the name used in logs and metrics.
const char* VoidReasonName(VoidReason reason);
const char* IncarnationEndName(IncarnationEnd end);
/// @returns what is known about the start of an order: "unsent", "unanswered", "answered", "listed"
/// (by the worker, as running), or "earlier-term" when an earlier scheduler may have sent it.
const char* StartEvidenceName(const Order& order);
const char* StartVerdictName(StartVerdict verdict);

/// State of one worker as the scheduler knows it.
struct Worker {
  WorkerDescription description;
  bool listed = false;  ///< In the list of workers.
  /// Start of the incarnation that the description is of, apart from its `born_unix_ms`; 0 if the
  /// list does not tell.
  std::int64_t described_born_unix_ms = 0;
  bool attached = false;   ///< This incarnation has accepted a hold with the fence of this term.
  bool silent = false;     ///< The last call to it failed.
  bool gone = false;       ///< Another incarnation answers at its address.
  std::uint32_t slot = 0;  ///< Index of this record; never reused.
  std::uint32_t rack = 0;  ///< Indexes of its rack and service in planning passes.
  std::uint32_t service = 0;
  std::uint32_t incarnation = 0;         ///< Number of earlier incarnations of this record.
  std::uint64_t fence = 0;               ///< Fencing token of the calls to this incarnation.
  std::optional<WorkerTime> clock;       ///< Its clock showed at least this...
  SteadyTime clock_at{};                 ///< ...at this time.
  WorkerTime lease_sent;                 ///< Latest lease end sent to this incarnation.
  SteadyTime lease_end_without_clock{};  ///< End of all leases on it while its clock is unknown.
  /// End of the leases that calls to earlier incarnations may have granted to this one.
  SteadyTime misdirected_leases_end{};
  SteadyTime lease_call_sent{};  ///< When the last call that extends its leases was sent.
  /// An answer shows another clock than before: another incarnation may have sent it. Leases are
  /// not extended until a hold tells which one runs.
  bool restart_suspected = false;
  SteadyTime suspected_at{};  ///< Since when.
  /// Latest incarnation that an earlier scheduler is known to have attached; 0 for none.
  std::int64_t earlier_attached_born_unix_ms = 0;
  std::uint64_t last_end = 0;                ///< Highest number (`EndedTask`) of a processed end.
  std::uint64_t acknowledged = 0;            ///< Highest number of an end that the worker may drop.
  std::uint64_t acknowledged_to_worker = 0;  ///< The same, as told by a hold that it has answered.
  SteadyTime next_hold{};                    ///< When the next hold is due.
  SteadyTime heard{};                        ///< When it last answered.
  SteadyTime hold_answered{};                ///< When it last answered a hold.
  SteadyTime call_failed{};                  ///< When a call to it last failed.
  /// Least time-out of its holds: longer than usual for a worker that was late with an answer.
  milliseconds hold_timeout{0};
  milliseconds hold_retry{0};  ///< Current delay before a failed hold is repeated.
  bool hold_in_flight = false;
  bool status_query_in_flight = false;
  bool status_query_wanted = false;  ///< Another status query is needed after the one in flight.
  bool attaching = false;            ///< The hold in flight is the first one of this incarnation.
  std::vector<Order*> orders;
  Resources used;  ///< Reserved by `orders`.
  /// Run numbers, by task, of runs on it without an order. They are stopped. Until they have ended,
  /// no task is started on it, and their tasks are not started on any worker.
  std::map<TaskRef, std::uint64_t> stray_runs;
  // Answers may overtake each other: the latest list of its runs that was applied.
  WorkerTime runs_listed_clock;  ///< The worker's clock when it made the list...
  SteadyTime runs_listed_at{};   ///< ...and when the list arrived.

  // Failure history, maintained by the scheduler.
  std::uint32_t failures_in_row = 0;
  std::uint32_t times_avoided = 0;
  SteadyTime avoided_until{};

  /// @returns whether this incarnation rejects the calls to earlier ones: some scheduler has
  /// attached it.
  [[nodiscard]] bool IsFenced() const { return attached || IsKnownFromEarlierTerm(); }
  /// @returns whether an earlier scheduler attached this incarnation. It fenced off calls to
  /// earlier incarnations then, and recorded the leases that they may have granted before.
  [[nodiscard]] bool IsKnownFromEarlierTerm() const {
    return incarnation == 0 && earlier_attached_born_unix_ms != 0 &&
           earlier_attached_born_unix_ms == description.born_unix_ms;
  }
  [[nodiscard]] Resources Free() const;
  /// @returns whether the list describes the current incarnation, which may be of another kind than
  /// the one before.
  [[nodiscard]] bool IsDescribed() const {
    return described_born_unix_ms == 0 || described_born_unix_ms == description.born_unix_ms;
  }
  /// @returns whether new tasks may be started on the worker.
  [[nodiscard]] bool TakesWork() const {
    return listed && attached && !silent && !gone && !restart_suspected && !description.draining &&
           IsDescribed() && stray_runs.empty();
  }
};

struct FleetHooks {
  Clock now;
  /// Whether this instance may still act as the scheduler.
  std::function<bool()> may_lead;
  /// @returns the time in which a task may still begin on the ground of the list of workers. May be
  /// empty.
  std::function<milliseconds()> start_time_left = nullptr;
  /// Calls to workers. Results are passed to `OnStart`, `OnStop` and `OnHold` with the id
  /// that is the last argument of the hook. A stop of a run without an order has the id 0; its
  /// result is ignored.
  std::function<void(const Worker&, StartOrder, std::uint64_t order)> start;
  std::function<void(const Worker&, const TaskRef&, std::uint64_t run, std::uint64_t order)> stop;
  std::function<void(const Worker&, HoldOrder, std::uint64_t hold)> hold;
  /// The resources of an order were reserved or given back. May be empty.
  std::function<void(const Order&)> on_reserved = nullptr;
  std::function<void(const Order&)> on_given_back = nullptr;
  /// Events. In `on_ended` and `on_void`, the order is already detached from its task and worker.
  std::function<void(Order&)> on_running;
  std::function<void(Order&, RunEnd, const std::string& checkpoint)> on_ended;
  std::function<void(Order&, VoidReason, StartVerdict)> on_void;
  /// A run ended whose order no longer exists, for example because its lease was considered
  /// expired.
  std::function<void(const Worker&, const TaskRef&, std::uint64_t run, RunEnd,
                     const std::string& checkpoint)>
      on_unclaimed_end;
  /// A worker lists a run of this task that has no order. Called again for each such list.
  std::function<void(const TaskRef&)> on_stray_run;
  /// No worker can run this task without an order any more.
  std::function<void(const TaskRef&)> on_stray_runs_over;
  /// Ends up to `number` were processed; `Acknowledge` has to follow once they are in the store.
  std::function<void(Worker&, std::uint64_t number)> on_ends;
  /// The free resources of some worker may have changed.
  std::function<void()> on_capacity_changed;
  /// A worker has seen a higher fence: the shard has a newer scheduler.
  std::function<void()> on_superseded;
};

/// Workers and orders of one scheduler.
class Fleet {
 public:
  /// @param fence lowest fencing token of this scheduler. The calls to each further incarnation of
  /// a worker carry a higher one, so that it rejects those that were sent to the incarnations
  /// before.
  /// @param lease duration of leases; at most what workers grant.
  /// @param max_lease longest lease that workers grant.
  Fleet(FleetHooks hooks, std::uint64_t fence, milliseconds lease, milliseconds max_lease);
  ~Fleet();

  /// Adds a worker or updates its description.
  void Put(const WorkerDescription& description);
  /// Marks a worker as no longer listed. Its runs may go on.
  void Unlist(const std::string& id);

  /// @returns the worker, null when there is none.
  Worker* Find(const std::string& id);
  [[nodiscard]] const std::map<std::string, std::unique_ptr<Worker>>& Workers() const {
    return m_workers;
  }

  /// @returns the workers by their slots; null for those that were forgotten.
  [[nodiscard]] const std::vector<Worker*>& BySlot() const { return m_by_slot; }

  /// @returns a number that changes whenever a worker is added or starts another incarnation.
  [[nodiscard]] std::uint64_t ChangeNumber() const { return m_change_number; }

  /// Reserves resources on a worker for a run of a task. Nothing is sent.
  Order* Reserve(Task* task, Worker* worker, std::uint64_t run);

  /// @returns the order with this id, null when it has ended.
  Order* FindOrder(std::uint64_t id);

  /// Sets the long leases that earlier schedulers recorded, and until when these may have sent
  /// calls. To be called before `Adopt`.
  void ExpectLongLeases(const std::vector<LongLease>& leases, SteadyTime earlier_calls_end);

  /// @returns the workers with orders on which leases may last longer than those of holds.
  [[nodiscard]] std::vector<LongLease> LongLeases() const;

  /// Takes over an assignment of an earlier scheduler. Whether its run exists is unknown.
  /// @param leases_end when every lease that earlier schedulers granted to a known incarnation has
  /// expired.
  Order* Adopt(Task* task, const schema::AssignmentRow& row, SteadyTime leases_end);

  /// Sends the start of an order. Its assignment must be in the store.
  void Send(Order* order, const std::string& payload, const std::string& checkpoint);

  /// Removes an order that was not sent. No event follows.
  void Drop(Order* order);

  /// Ends a run, or ensures that it never begins.
  void Stop(Order* order);

  /// To be called when the ends of this incarnation of a worker up to `number` are in the store.
  void Acknowledge(const std::string& worker, std::uint32_t incarnation, std::uint64_t number);

  void OnStart(std::uint64_t order, const Result<StartAnswer>& result);
  void OnStop(std::uint64_t order, const Result<StopAnswer>& result);
  void OnHold(std::uint64_t hold, const Result<HoldAnswer>& result);

  /// Sends holds and stops that are due, and voids orders whose leases have expired. To be called
  /// every few tens of milliseconds.
  void Tick();

  [[nodiscard]] std::size_t OrderCount() const { return m_orders.size(); }

  /// Workers whose next hold is overdue.
  struct HoldBacklog {
    std::size_t workers = 0;
    milliseconds oldest{0};  ///< How long the oldest one is overdue.
  };
  /// @remarks Visits all workers; meant for reports.
  [[nodiscard]] HoldBacklog OverdueHolds() const;

  /// @returns number of starts sent so far.
  [[nodiscard]] std::uint64_t StartsSent() const { return m_starts_sent; }

  /// @returns number of orders that wait for the store or for the reply to their start.
  [[nodiscard]] std::size_t OrdersInFlight() const { return m_orders_in_flight; }

  /// @returns durations of calls to workers that do not wait for an event.
  [[nodiscard]] const CallTimes& Calls() const { return m_calls; }

 private:
  // A hold or status query in flight.
  struct Hold {
    std::string worker;
    std::uint32_t incarnation = 0;
    bool is_status_query = false;  // Answered at once; independent of the periodic hold.
    bool waits = false;            // The worker answers at the next end or after `kHoldWait`.
    SteadyTime sent;
    std::uint64_t acknowledged = 0;
  };

  Worker* FindOrAdd(const std::string& id);
  void SetAttached(Worker* worker, bool attached);
  void EraseUnlisted();
  Order* NewOrder(Task* task, Worker* worker, std::uint64_t run);
  std::unique_ptr<Order> Detach(Order* order);
  void VoidOrder(Order* order, VoidReason reason, StartVerdict verdict = StartVerdict::kStarted);
  void EndIncarnation(Worker* worker, IncarnationEnd how, std::int64_t next_born_unix_ms);
  void CarryOver(Order* order);
  void OnWorkerAnswered(Worker* worker, const std::optional<WorkerTime>& clock,
                        WorkerTime clock_at_send);
  void NoteClock(Worker* worker, const std::optional<WorkerTime>& clock);
  void OnWorkerCallFailed(Worker* worker);
  void RecordCallTime(const Worker& worker, SteadyTime sent, bool answered);
  void AdaptHoldTimeout(Worker* worker, const Hold& hold, bool answered);
  void SendHold(Worker* worker, bool is_status_query);
  void AttachNext();
  void BoundEarlierLeases(Worker* worker, WorkerTime clock);
  void ExpectMisdirectedLeases(Worker* worker, milliseconds calls_in_flight = milliseconds(0));
  void SuspectRestart(Worker* worker, WorkerTime clock);
  [[nodiscard]] SteadyTime UnansweredStartEnd(const Order& order) const;
  [[nodiscard]] bool MayBeExecutedLater(const Order& order) const;
  void SetState(Order* order, OrderState state);
  [[nodiscard]] static bool IsInFlight(const Order& order) {
    return order.state == OrderState::kStoring || order.state == OrderState::kSending;
  }
  void SendStop(Order* order);
  void ApplyHold(Worker* worker, const Hold& hold, const Result<HoldAnswer>& result);
  bool ApplyEnds(Worker* worker, const HoldAnswer& answer);
  void ApplyRunning(Worker* worker, const HoldAnswer& answer, const Hold& hold);
  void ResolveMissing(Order* order, const HoldAnswer& answer, const Hold& hold);
  void ApplyStrayRuns(Worker* worker, std::map<TaskRef, std::uint64_t> stray_runs,
                      const HoldAnswer& answer, const Hold& hold);
  void StopStrayRuns(Worker* worker);
  void RemoveStrayRun(Worker* worker, const TaskRef& task);
  void ClearStrayRuns(Worker* worker);
  void TickWorker(Worker* worker, SteadyTime now);
  [[nodiscard]] static bool HasUnlistedOrder(const Worker& worker);
  [[nodiscard]] static bool IsHoldDue(const Worker& worker, SteadyTime now);
  [[nodiscard]] WorkerTime EstimateClock(const Worker& worker) const;
  [[nodiscard]] WorkerTime EarliestClock(const Worker& worker) const;
  [[nodiscard]] SteadyTime LeaseExpiry(const Worker& worker) const;
  static Order* FindOrder(const Worker& worker, const TaskRef& task, std::uint64_t run);

  FleetHooks m_hooks;
  std::uint64_t m_fence;  // Highest fencing token in use.
  milliseconds m_lease;
  milliseconds m_max_lease;
  std::map<std::string, std::unique_ptr<Worker>> m_workers;
  std::unordered_map<std::uint64_t, std::unique_ptr<Order>> m_orders;
  std::unordered_map<std::uint64_t, Hold> m_holds;
  std::uint64_t m_last_id = 0;
  std::vector<Worker*> m_by_slot;
  std::uint64_t m_change_number = 1;
  std::uint64_t m_starts_sent = 0;
  std::size_t m_orders_in_flight = 0;        // Orders for which `IsInFlight` is true.
  std::size_t m_attaching = 0;               // Workers whose first hold has no reply yet.
  std::unordered_set<Worker*> m_unattached;  // Those whose current incarnation is not attached.
  std::unordered_map<std::uint32_t, SteadyTime> m_expected_leases;  // By `LeaseKey`.
  SteadyTime m_earlier_calls_end{};       // Until then, earlier schedulers may have sent calls.
  SteadyTime m_misdirected_leases_end{};  // The latest one of all workers.
  std::size_t m_unlisted = 0;             // Workers that are not in the list of workers.
  std::map<TaskRef, std::size_t> m_stray_tasks;  // Number of workers with a stray run of the task.
  CallTimes m_calls;
};

}  // namespace citronsill
