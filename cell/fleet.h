/// The workers of a shard and the orders given to them. Decides what may be concluded about a run
/// from the answers of its worker, so that no task runs twice. Pure: calls go out through hooks and
/// their results come back as events.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell/job.h"
#include "cell/pace.h"
#include "cell/worker.h"

namespace citronsill {

/// Why an order came to nothing.
enum class VoidReason {
  kNeverSent,   ///< The worker left before the start was sent.
  kRefused,     ///< The worker refused the start; the verdict says why.
  kNotThere,    ///< The worker does not run it and will not start it late.
  kLapsed,      ///< The worker was silent until every lease on it had run out.
  kWorkerGone,  ///< This life of the worker is over.
};

/// @returns the name for logs.
const char* VoidReasonName(VoidReason reason);
const char* StartVerdictName(StartVerdict verdict);

struct Worker {
  WorkerDescription description;
  bool listed = false;     ///< In the list of workers.
  bool attached = false;   ///< It has accepted the fence of this term in this life.
  bool silent = false;     ///< The last call failed.
  bool gone = false;       ///< Another life of a worker answers at its address.
  std::uint32_t slot = 0;  ///< Number of the record; never used again.
  std::uint32_t rack = 0;  ///< Numbers of its rack and service in planning passes.
  std::uint32_t service = 0;
  std::uint32_t life = 0;            ///< Counts the lives that this record has stood for.
  std::optional<WorkerTime> clock;   ///< Its clock was at least this...
  SteadyTime clock_at{};             ///< ...at this time.
  WorkerTime lease_sent;             ///< Latest lease that was sent to it in this life.
  SteadyTime lapse_without_clock{};  ///< End of all leases on it while its clock is not known.
  std::uint64_t seen_end = 0;        ///< Highest end that was taken in.
  std::uint64_t acknowledged = 0;    ///< Highest end that it may forget.
  SteadyTime next_hold{};
  SteadyTime heard{};  ///< When it last answered.
  milliseconds hold_retry{0};
  bool hold_in_flight = false;
  bool look_in_flight = false;
  bool look_wanted = false;
  bool attaching = false;  ///< The hold in flight is the first one of this life.
  std::vector<Order*> orders;
  Resources used;
  /// Runs on it that belong to no order: they are stopped, and nothing is started until they ended.
  std::map<TaskRef, std::uint64_t> strays;

  // Record of its work, kept by the health policy.
  std::uint32_t failures_in_row = 0;
  std::uint32_t times_avoided = 0;
  SteadyTime avoided_until{};

  [[nodiscard]] Resources Free() const;
  /// @returns whether new tasks may be started on it.
  [[nodiscard]] bool TakesWork() const {
    return listed && attached && !silent && !gone && !description.draining && strays.empty();
  }
};

struct FleetHooks {
  Clock now;
  /// Whether this instance may still act as the scheduler.
  std::function<bool()> may_lead;
  /// Calls to workers. Their results come back by `OnStart`, `OnStop` and `OnHold`.
  std::function<void(const Worker&, StartOrder, std::uint64_t order)> start;
  std::function<void(const Worker&, const TaskRef&, std::uint64_t run, std::uint64_t order)> stop;
  std::function<void(const Worker&, HoldOrder, std::uint64_t hold)> hold;
  /// Events. An order that is over belongs to no task and no worker any more.
  std::function<void(Order&)> on_running;
  std::function<void(Order&, RunEnd, const std::string& save)> on_ended;
  std::function<void(Order&, VoidReason, StartVerdict)> on_void;
  /// A run ended that no order stands for any more, for example after its lease was taken as
  /// lapsed.
  std::function<void(const Worker&, const TaskRef&, std::uint64_t run, RunEnd,
                     const std::string& save)>
      on_unclaimed_end;
  /// Ends up to `number` were taken in; `Acknowledge` follows once they are in the store.
  std::function<void(Worker&, std::uint64_t number)> on_ends;
  /// The room on some worker may have changed.
  std::function<void()> on_room;
  /// A worker has seen a higher fence.
  std::function<void()> on_deposed;
};

class Fleet {
 public:
  /// @param fence of this term.
  /// @param lease length of leases; at most what workers allow.
  Fleet(FleetHooks hooks, std::uint64_t fence, milliseconds lease);
  ~Fleet();

  /// Adds a worker or changes what is known of it.
  void Put(const WorkerDescription& description);
  /// The worker is not in the list any more. Its runs may go on.
  void Unlist(const std::string& id);

  /// @returns the worker, null when there is none.
  Worker* Find(const std::string& id);
  [[nodiscard]] const std::map<std::string, std::unique_ptr<Worker>>& Workers() const {
    return m_workers;
  }

  /// Reserves room for a run of a task. Nothing is sent.
  Order* Reserve(Task* task, Worker* worker, std::uint64_t run);

  /// @returns the order with this id, null when it is over.
  Order* FindOrder(std::uint64_t id);

  /// Takes over an assignment of an earlier scheduler, whose run may be there or not.
  /// @param lapse when every lease that an earlier scheduler gave has run out.
  Order* Adopt(Task* task, const schema::AssignmentRow& row, SteadyTime lapse);

  /// Sends the start of an order, whose assignment is in the store.
  void Send(Order* order, const std::string& payload, const std::string& save);

  /// Forgets an order that was not sent. No event follows.
  void Drop(Order* order);

  /// Ends a run, or makes sure that it never begins.
  void Stop(Order* order);

  /// The ends of a life of a worker are in the store up to `number`.
  void Acknowledge(const std::string& worker, std::uint32_t life, std::uint64_t number);

  void OnStart(std::uint64_t order, const Result<StartAnswer>& result);
  void OnStop(std::uint64_t order, const Result<StopAnswer>& result);
  void OnHold(std::uint64_t hold, const Result<HoldAnswer>& result);

  /// Sends what is due. To be called every few tens of milliseconds.
  void Tick();

  [[nodiscard]] std::size_t OrderCount() const { return m_orders.size(); }

  /// Workers whose next hold should have been sent.
  struct HoldBacklog {
    std::size_t workers = 0;
    milliseconds oldest{0};  ///< How long the oldest is overdue.
  };
  /// @remarks Visits all workers: for reports.
  [[nodiscard]] HoldBacklog OverdueHolds() const;

  /// @returns starts that were sent so far.
  [[nodiscard]] std::uint64_t StartsSent() const { return m_starts_sent; }

  /// @returns orders that wait for the store or for the answer to their start.
  [[nodiscard]] std::size_t OrdersOnWay() const { return m_on_way; }

  /// @returns how long short calls to workers take.
  [[nodiscard]] const CallTimes& Calls() const { return m_calls; }

 private:
  struct Hold {
    std::string worker;
    std::uint32_t life = 0;
    bool look = false;  // Does not wait for an end.
    bool waits = false;
    SteadyTime sent;
  };

  Worker* Slot(const std::string& id);
  Order* NewOrder(Task* task, Worker* worker, std::uint64_t run);
  std::unique_ptr<Order> Detach(Order* order);
  void VoidOrder(Order* order, VoidReason reason, StartVerdict verdict = StartVerdict::kStarted);
  void EndLife(Worker* worker);
  void Heard(Worker* worker, const std::optional<WorkerTime>& clock);
  void CallFailed(Worker* worker);
  void NoteCall(const Worker& worker, SteadyTime sent, bool answered);
  void SendHold(Worker* worker, bool look);
  void AttachNext();
  void BoundEarlierLeases(Worker* worker, const std::optional<WorkerTime>& clock);
  void SetState(Order* order, OrderState state);
  [[nodiscard]] static bool IsOnWay(const Order& order) {
    return order.state == OrderState::kStoring || order.state == OrderState::kSending;
  }
  void SendStop(Order* order);
  void TakeHold(Worker* worker, const Hold& hold, const Result<HoldAnswer>& result);
  bool TakeEnds(Worker* worker, const HoldAnswer& answer);
  void TakeRunning(Worker* worker, const HoldAnswer& answer, const Hold& hold);
  void CheckAbsent(Order* order, const HoldAnswer& answer, const Hold& hold);
  void StopStrays(Worker* worker);
  void TickWorker(Worker* worker, SteadyTime now);
  [[nodiscard]] static bool IsHoldDue(const Worker& worker, SteadyTime now);
  [[nodiscard]] WorkerTime Estimate(const Worker& worker) const;
  [[nodiscard]] SteadyTime LapseAt(const Worker& worker) const;
  static Order* FindOrder(const Worker& worker, const TaskRef& task, std::uint64_t run);

  FleetHooks m_hooks;
  std::uint64_t m_fence;
  milliseconds m_lease;
  std::map<std::string, std::unique_ptr<Worker>> m_workers;
  std::unordered_map<std::uint64_t, std::unique_ptr<Order>> m_orders;
  std::unordered_map<std::uint64_t, Hold> m_holds;
  std::uint64_t m_last_id = 0;
  std::uint32_t m_next_slot = 0;
  std::uint64_t m_starts_sent = 0;
  std::size_t m_on_way = 0;
  std::size_t m_attaching = 0;  // Workers whose first hold of this life has no answer yet.
  CallTimes m_calls;
};

}  // namespace citronsill
