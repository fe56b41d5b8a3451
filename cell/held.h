/// Finds out why a ready task does not run: which input of the scheduling decision holds it back.
/// Pure: facts are passed in.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cell/job.h"
#include "cell/types.h"

namespace citronsill {

enum class HeldReason {
  kNotHeld,
  // The task has an order that is not known to run.
  /// The store does not accept the assignment, or the scheduler has been without the store for too
  /// long to act.
  kStore,
  kOrderStoring,  ///< The assignment is being stored, and the store accepts other writes.
  kOrderSending,  ///< The start was sent and has no answer yet.
  kOrderUnknown,  ///< It is unknown whether the order runs.
  /// Its worker, or the workers with room, do not answer; their leases have to run out first.
  kWorkerSilent,
  // The task has no order.
  kRetryBackOff,      ///< The task failed a moment ago.
  kGangEnding,        ///< Members of an earlier run of its gang have not ended yet.
  kWorkerListStale,   ///< The list of workers is out of date: nothing has been heard of it.
  kNoWorkerListed,    ///< No listed worker of its service has its label.
  kNoWorkerAttached,  ///< The workers with room have not accepted the fencing token of this term.
  kQuarantine,        ///< The workers with room are avoided after failures.
  /// The task, or the workers with room, have runs that belong to no order and are being stopped.
  kStrayRuns,
  kReservedRoom,  ///< The room is reserved or set aside for gangs.
  kNoRoom,
  kNotPlanned,  ///< There was no planning pass for some time.
  /// The limit of orders in flight is reached: the scheduler starts as much as it can.
  kOrderWindow,
  kCustomerLimit,  ///< The customer has as much running as it may have.
  kYieldsToGangs,  ///< The task is batch work and leaves the room to waiting gangs.
  kNotAllowed,     ///< The policy service allows no worker with room.
  kAdvicePending,  ///< The policy service has not answered yet.
  kAdviceBackOff,  ///< A request to the policy service failed a moment ago.
  kNoRequestSlot,  ///< All request slots of the policy service are in use.
  kTicketExpired,  ///< Tickets of workers with room have expired and were not requested again.
  kNotSelected,    ///< None of the above: planning passes leave the task out.
};

/// All reasons for which a task is held.
inline constexpr HeldReason kHeldReasons[] = {
    HeldReason::kStore,          HeldReason::kOrderStoring,
    HeldReason::kOrderSending,   HeldReason::kOrderUnknown,
    HeldReason::kWorkerSilent,   HeldReason::kRetryBackOff,
    HeldReason::kGangEnding,     HeldReason::kWorkerListStale,
    HeldReason::kNoWorkerListed, HeldReason::kNoWorkerAttached,
    HeldReason::kQuarantine,     HeldReason::kStrayRuns,
    HeldReason::kReservedRoom,   HeldReason::kNoRoom,
    HeldReason::kNotPlanned,     HeldReason::kOrderWindow,
    HeldReason::kCustomerLimit,  HeldReason::kYieldsToGangs,
    HeldReason::kNotAllowed,     HeldReason::kAdvicePending,
    HeldReason::kAdviceBackOff,  HeldReason::kNoRequestSlot,
    HeldReason::kTicketExpired,  HeldReason::kNotSelected};

/// @returns the name for logs and metrics.
const char* HeldReasonName(HeldReason reason);

/// Free room for tasks of one step, on the workers of its service that have its label. The unit is
/// places for tasks, up to the number that is needed on each worker; each place counts once.
struct HeldRoomCounts {
  std::uint32_t listed = 0;         ///< Number of these workers.
  std::uint32_t attached = 0;       ///< Of these, workers that have accepted the fencing token.
  std::uint32_t avoided = 0;        ///< Of these, workers that the task or all tasks avoid.
  milliseconds longest_silence{0};  ///< Longest time since a silent worker was last heard from.
  std::uint32_t used_percent = 0;   ///< Share of their processors that orders use.
  // Numbers of places, by the state of their worker.
  std::uint32_t unattached_room = 0;
  std::uint32_t silent_room = 0;
  std::uint32_t avoided_room = 0;
  std::uint32_t stray_room = 0;
  std::uint32_t reserved_room = 0;  ///< Set aside for gangs.
  std::uint32_t ready_room = 0;     ///< May be used now.
  std::uint32_t allowed_room = 0;   ///< Allowed, but a new ticket is needed.
  std::uint32_t unknown_room = 0;   ///< The policy service has not been asked.
  std::uint32_t denied_room = 0;    ///< Not allowed by the policy service.

  [[nodiscard]] std::uint32_t Usable() const {
    return ready_room + allowed_room + unknown_room + denied_room;
  }
  [[nodiscard]] std::uint32_t All() const {
    return Usable() + unattached_room + silent_room + avoided_room + stray_room + reserved_room;
  }
};

/// Facts about one task that does not run.
struct HeldFacts {
  std::uint32_t need = 1;  ///< Number of places needed: 1, or one for each member of a gang.
  // The order of the task, if any.
  bool has_order = false;
  OrderState order_state{};
  milliseconds order_age{0};
  /// The worker is silent or has not accepted the fencing token.
  bool order_worker_silent = false;
  milliseconds order_worker_silence{0};  ///< Time since the worker was last heard from.
  // The task and its step.
  milliseconds retry_in{0};    ///< Time until the task may be started again.
  bool has_stray_run = false;  ///< A run of it, or of a member of its gang, has no order.
  bool gang_ending = false;
  /// In the last planning pass the step got no room because it is left to gangs.
  bool yields_to_gangs = false;
  /// In the last planning pass the customer had no room below its limit.
  bool is_over_limit = false;
  // The scheduler.
  bool may_lead = true;
  milliseconds commit_age{0};   ///< Time since the last committed transaction was sent.
  milliseconds plan_age{0};     ///< Time since the last planning pass.
  milliseconds list_age{0};     ///< Time since the list of workers was last heard of.
  bool is_window_full = false;  ///< The limit of orders in flight is reached.
  // The policy service.
  bool uses_advice = false;  ///< The queue uses the policy service.
  bool advice_pending = false;
  milliseconds advice_request_age{0};
  milliseconds advice_retry_in{0};
  bool has_free_request_slot = true;  ///< A request slot for requests of this kind is free.
  HeldRoomCounts room;
};

/// @returns the reason why the task does not run.
HeldReason WhyHeld(const HeldFacts& facts);

/// @returns the age of the input that holds the task back; 0 if it has none.
milliseconds HeldAge(HeldReason reason, const HeldFacts& facts);

/// @returns whether a task that is held for this reason is logged: tasks that the platform may
/// count as lost, which are ordinary tasks only if the cell has room for them, and long-running
/// tasks always.
bool IsReported(HeldReason reason, bool is_long_running);

/// Ages of inputs outside the scheduler, as in `HeldFacts`.
struct HeldContext {
  milliseconds commit_age{0};
  milliseconds plan_age{0};
  milliseconds list_age{0};
};

/// A held task to be logged.
struct HeldTask {
  TaskRef task;
  bool is_long_running = false;
  milliseconds waited{0};  ///< Time since the task became ready, or since it last ran.
  HeldReason reason{};
  HeldFacts facts;
  std::uint64_t run = 0;  ///< Run number of its order; 0 for none.
  std::string worker;
};

/// Result of one check.
struct HeldReport {
  std::vector<HeldTask> lines;
  /// Held tasks by reason, among all tasks that were checked.
  std::map<HeldReason, std::uint32_t> counts;
  /// Number of tasks left out of `lines` because there were too many.
  std::uint32_t suppressed = 0;
  /// All tasks were checked; otherwise the next check continues after the last one.
  bool is_complete = true;
};

/// Writes the log lines and sets the metrics. An empty report clears the metrics.
void ReportHeld(const HeldReport& report);

}  // namespace citronsill
