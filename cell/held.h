/// Why a task whose turn has come does not run: which input of the decision holds it back. Pure:
/// facts are handed in.
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
  // It has an order that is not known to run.
  kStore,  ///< The store does not take the assignment, or the scheduler may not lead without.
  kOrderStoring,  ///< The assignment is being stored, and the store takes others.
  kOrderSending,  ///< The start was sent and not answered.
  kOrderUnknown,  ///< Whether the order runs has to be found out.
  kWorkerSilent,  ///< Its worker, or those with room, do not answer; leases have to run out.
  // It has none.
  kRetryBackOff,      ///< It failed a moment ago.
  kGangEnding,        ///< Members of an earlier run of its gang are still there.
  kWorkerListStale,   ///< The list of workers has not been heard of.
  kNoWorkerListed,    ///< None of its service, with its label.
  kNoWorkerAttached,  ///< Those with room have not accepted the fence of this term.
  kQuarantine,        ///< Those with room are avoided for failures.
  kStrayRuns,         ///< On those with room something runs that belongs to no order.
  kReservedRoom,      ///< The room is set aside for gangs.
  kNoRoom,
  kNotPlanned,     ///< No planning pass was made for some time.
  kOrderWindow,    ///< No more orders may be on their way: the scheduler starts what it can.
  kYieldsToGangs,  ///< Batch work leaves the room to gangs that wait.
  kNotAllowed,     ///< The policy service allows none of those with room.
  kQuestionOpen,   ///< The policy service has not answered.
  kAdviceBackOff,  ///< A question has failed a moment ago.
  kNoLane,         ///< All lanes to the policy service are taken.
  kTicketLapsed,   ///< Tickets of workers with room have run out and were not asked for anew.
  kPassedOver,     ///< None of these: planning passes leave it out.
};

/// All reasons that a task is held for.
inline constexpr HeldReason kHeldReasons[] = {
    HeldReason::kStore,          HeldReason::kOrderStoring,
    HeldReason::kOrderSending,   HeldReason::kOrderUnknown,
    HeldReason::kWorkerSilent,   HeldReason::kRetryBackOff,
    HeldReason::kGangEnding,     HeldReason::kWorkerListStale,
    HeldReason::kNoWorkerListed, HeldReason::kNoWorkerAttached,
    HeldReason::kQuarantine,     HeldReason::kStrayRuns,
    HeldReason::kReservedRoom,   HeldReason::kNoRoom,
    HeldReason::kNotPlanned,     HeldReason::kOrderWindow,
    HeldReason::kYieldsToGangs,  HeldReason::kNotAllowed,
    HeldReason::kQuestionOpen,   HeldReason::kAdviceBackOff,
    HeldReason::kNoLane,         HeldReason::kTicketLapsed,
    HeldReason::kPassedOver};

/// @returns the name for logs and metrics.
const char* HeldReasonName(HeldReason reason);

/// Room for tasks of one step on the workers of its service that have its label. Counted in tasks,
/// up to the number that is needed on each worker; each place is counted once.
struct HeldRoomCounts {
  std::uint32_t listed = 0;        ///< Workers.
  std::uint32_t attached = 0;      ///< Of them.
  std::uint32_t avoided = 0;       ///< Of them, those that the task or all tasks avoid.
  milliseconds silent_heard{0};    ///< Longest time since one that is silent was heard.
  std::uint32_t used_percent = 0;  ///< Of their processors, by orders.
  // Places.
  std::uint32_t unattached_room = 0;
  std::uint32_t silent_room = 0;
  std::uint32_t avoided_room = 0;
  std::uint32_t stray_room = 0;
  std::uint32_t reserved_room = 0;  ///< Set aside for gangs.
  std::uint32_t ready_room = 0;     ///< May be used now.
  std::uint32_t allowed_room = 0;   ///< Needs a new ticket.
  std::uint32_t unknown_room = 0;   ///< The policy service was not asked about.
  std::uint32_t denied_room = 0;    ///< By the policy service.

  [[nodiscard]] std::uint32_t Usable() const {
    return ready_room + allowed_room + unknown_room + denied_room;
  }
  [[nodiscard]] std::uint32_t All() const {
    return Usable() + unattached_room + silent_room + avoided_room + stray_room + reserved_room;
  }
};

/// What is known of one task that does not run.
struct HeldFacts {
  std::uint32_t need = 1;  ///< Places: one, or one for each member of a gang.
  // Its order, if any.
  bool has_order = false;
  OrderState order_state{};
  milliseconds order_age{0};
  bool order_worker_silent = false;    ///< Or has not accepted the fence.
  milliseconds order_worker_heard{0};  ///< Time since.
  // The task and its step.
  milliseconds retry_in{0};  ///< Is started no sooner.
  bool gang_ending = false;
  bool yields = false;  ///< The last planning pass left the room to gangs.
  // The scheduler.
  bool may_lead = true;
  milliseconds commit_age{0};  ///< Since the last transaction that the store has taken was sent.
  milliseconds plan_age{0};    ///< Since the last planning pass.
  milliseconds list_age{0};    ///< Since the list of workers was last heard of.
  bool window_full = false;    ///< As many orders are on their way as may be.
  // The policy service.
  bool advised = false;  ///< The queue has one.
  bool question_open = false;
  milliseconds question_age{0};
  milliseconds advice_retry_in{0};
  bool lane_free = true;  ///< For questions of this kind.
  HeldRoomCounts room;
};

/// @returns what holds the task back.
HeldReason WhyHeld(const HeldFacts& facts);

/// @returns the age of the input that holds the task back; 0 where it has none.
milliseconds HeldAge(HeldReason reason, const HeldFacts& facts);

/// @returns whether the task may count as lost: ordinary ones only if the cell has room for them,
/// lasting ones always.
bool IsReported(HeldReason reason, bool is_lasting);

/// State of the process around the scheduler.
struct HeldContext {
  milliseconds commit_age{0};
  milliseconds plan_age{0};
  milliseconds list_age{0};
};

/// One line of the log.
struct HeldTask {
  TaskRef task;
  bool is_lasting = false;
  milliseconds waited{0};  ///< Since its turn came, or since it was last at work.
  HeldReason reason{};
  HeldFacts facts;
  std::uint64_t run = 0;  ///< Of its order; 0 for none.
  std::string worker;
};

/// What one check found.
struct HeldReport {
  std::vector<HeldTask> lines;
  std::map<HeldReason, std::uint32_t> counts;  ///< Of all tasks that were looked at.
  std::uint32_t suppressed = 0;  ///< Tasks without a line because there were too many.
  bool is_complete = true;       ///< All tasks were looked at; the next check goes on from there.
};

/// Writes the lines and sets the metrics. An empty report clears them.
void ReportHeld(const HeldReport& report);

}  // namespace citronsill
