#include "cell/held.h"

#include <algorithm>
#include <utility>

#include "cell/limits.h"
#include "cell/log.h"
#include "cell/metrics.h"

namespace citronsill {
namespace {

HeldReason WhyOrderIsHeld(const HeldFacts& facts) {
  switch (facts.order_state) {
    case OrderState::kStoring:
      return facts.commit_age > kRefuseAfterStoreSilence ? HeldReason::kStore
                                                         : HeldReason::kOrderStoring;
    case OrderState::kSending:
      return HeldReason::kOrderSending;
    case OrderState::kUnknown:
      return facts.order_worker_silent ? HeldReason::kWorkerSilent : HeldReason::kOrderUnknown;
    case OrderState::kRunning:
      return facts.order_worker_silent ? HeldReason::kWorkerSilent : HeldReason::kNotHeld;
  }
  return HeldReason::kNotHeld;
}

bool IsListStale(const HeldFacts& facts) { return facts.list_age > kWorkerListStaleAfter; }

// Why there is not enough room on workers that accept tasks.
HeldReason WhyNoRoom(const HeldFacts& facts) {
  const HeldRoomCounts& room = facts.room;
  if (room.All() < facts.need) {
    return IsListStale(facts) ? HeldReason::kWorkerListStale : HeldReason::kNoRoom;
  }
  // The cause that makes the most room unusable.
  return std::max({std::pair(room.unattached_room, HeldReason::kNoWorkerAttached),
                   std::pair(room.silent_room, HeldReason::kWorkerSilent),
                   std::pair(room.avoided_room, HeldReason::kQuarantine),
                   std::pair(room.stray_room, HeldReason::kStrayRuns),
                   std::pair(room.reserved_room, HeldReason::kReservedRoom)},
                  [](const auto& a, const auto& b) { return a.first < b.first; })
      .second;
}

HeldReason WhyNoTicket(const HeldFacts& facts) {
  const HeldRoomCounts& room = facts.room;
  if (room.Usable() - room.denied_room < facts.need) return HeldReason::kNotAllowed;
  if (facts.advice_pending) return HeldReason::kAdvicePending;
  if (facts.advice_retry_in > milliseconds(0)) return HeldReason::kAdviceBackOff;
  if (!facts.has_free_request_slot) return HeldReason::kNoRequestSlot;
  if (room.ready_room + room.allowed_room >= facts.need) return HeldReason::kTicketExpired;
  return HeldReason::kNotSelected;
}

}  // namespace

const char* HeldReasonName(HeldReason reason) {
  switch (reason) {
    case HeldReason::kNotHeld:
      return "not-held";
    case HeldReason::kStore:
      return "store";
    case HeldReason::kOrderStoring:
      return "order-storing";
    case HeldReason::kOrderSending:
      return "order-sending";
    case HeldReason::kOrderUnknown:
      return "order-unknown";
    case HeldReason::kWorkerSilent:
      return "worker-silent";
    case HeldReason::kRetryBackOff:
      return "retry-back-off";
    case HeldReason::kGangEnding:
      return "gang-ending";
    case HeldReason::kWorkerListStale:
      return "worker-list-stale";
    case HeldReason::kNoWorkerListed:
      return "no-worker-listed";
    case HeldReason::kNoWorkerAttached:
      return "no-worker-attached";
    case HeldReason::kQuarantine:
      return "quarantine";
    case HeldReason::kStrayRuns:
      return "stray-runs";
    case HeldReason::kReservedRoom:
      return "reserved-room";
    case HeldReason::kNoRoom:
      return "no-room";
    case HeldReason::kNotPlanned:
      return "not-planned";
    case HeldReason::kOrderWindow:
      return "order-window";
    case HeldReason::kCustomerLimit:
      return "customer-limit";
    case HeldReason::kYieldsToGangs:
      return "yields-to-gangs";
    case HeldReason::kNotAllowed:
      return "not-allowed";
    case HeldReason::kAdvicePending:
      return "question-open";
    case HeldReason::kAdviceBackOff:
      return "advice-back-off";
    case HeldReason::kNoRequestSlot:
      return "no-lane";
    case HeldReason::kTicketExpired:
      return "ticket-lapsed";
    case HeldReason::kNotSelected:
      return "passed-over";
  }
  return "unknown";
}

HeldReason WhyHeld(const HeldFacts& facts) {
  if (facts.has_order) return WhyOrderIsHeld(facts);
  if (!facts.may_lead) return HeldReason::kStore;
  if (facts.retry_in > milliseconds(0)) return HeldReason::kRetryBackOff;
  if (facts.gang_ending) return HeldReason::kGangEnding;
  if (facts.has_stray_run) return HeldReason::kStrayRuns;
  if (facts.room.listed == 0) {
    return IsListStale(facts) ? HeldReason::kWorkerListStale : HeldReason::kNoWorkerListed;
  }
  if (facts.room.Usable() < facts.need) return WhyNoRoom(facts);
  // Without a recent planning pass the checks below prove nothing: the planner has not seen the
  // current state.
  if (facts.plan_age > kPlanStaleAfter) return HeldReason::kNotPlanned;
  if (facts.is_window_full) return HeldReason::kOrderWindow;
  if (facts.is_over_limit) return HeldReason::kCustomerLimit;
  if (facts.yields_to_gangs) return HeldReason::kYieldsToGangs;
  if (facts.uses_advice && facts.room.ready_room < facts.need) return WhyNoTicket(facts);
  return HeldReason::kNotSelected;
}

milliseconds HeldAge(HeldReason reason, const HeldFacts& facts) {
  switch (reason) {
    case HeldReason::kStore:
      return facts.commit_age;
    case HeldReason::kOrderStoring:
    case HeldReason::kOrderSending:
    case HeldReason::kOrderUnknown:
      return facts.order_age;
    case HeldReason::kWorkerSilent:
      return facts.has_order ? facts.order_worker_silence : facts.room.longest_silence;
    case HeldReason::kWorkerListStale:
      return facts.list_age;
    case HeldReason::kNotPlanned:
      return facts.plan_age;
    case HeldReason::kAdvicePending:
      return facts.advice_request_age;
    default:
      return milliseconds(0);
  }
}

bool IsReported(HeldReason reason, bool is_long_running) {
  if (reason == HeldReason::kNotHeld) return false;
  return is_long_running || reason != HeldReason::kNoRoom;
}

void ReportHeld(const HeldReport& report) {
  NodeMetrics& metrics = NodeMetrics::Get();
  for (const HeldReason reason : kHeldReasons) {
    const auto found = report.counts.find(reason);
    metrics.SetHeldTasks(HeldReasonName(reason), found == report.counts.end() ? 0 : found->second);
  }
  metrics.CountHeldSuppressed(report.suppressed);
  for (const HeldTask& held : report.lines) {
    const HeldFacts& facts = held.facts;
    LogLine line(LogLevel::kWarn, held.is_long_running ? "lasting-task-away" : "task-held");
    line.Field("task", held.task)
        .Field("reason", HeldReasonName(held.reason))
        .Field("age_ms", HeldAge(held.reason, facts))
        .Field(held.is_long_running ? "away_ms" : "waited_ms", held.waited);
    if (facts.has_order) {
      line.Field("run", held.run)
          .Field("worker", held.worker)
          .Field("heard_ms_ago", facts.order_worker_silence)
          .Field("commit_ms_ago", facts.commit_age);
      continue;
    }
    const HeldRoomCounts& room = facts.room;
    line.Field("need", facts.need)
        .Field("room", room.All())
        .Field("used_percent", room.used_percent)
        .Field("ready", room.ready_room)
        .Field("allowed", room.allowed_room)
        .Field("unknown", room.unknown_room)
        .Field("denied", room.denied_room)
        .Field("reserved", room.reserved_room)
        .Field("silent", room.silent_room)
        .Field("unattached", room.unattached_room)
        .Field("strays", room.stray_room)
        .Field("avoided", room.avoided_room)
        .Field("avoided_workers", room.avoided)
        .Field("workers", room.listed)
        .Field("plan_ms_ago", facts.plan_age)
        .Field("list_ms_ago", facts.list_age);
  }
  if (report.suppressed > 0) {
    Log(LogLevel::kWarn, "task-held-suppressed").Field("tasks", report.suppressed);
  }
}

}  // namespace citronsill
