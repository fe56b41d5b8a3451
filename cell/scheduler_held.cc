// The part of the scheduler that finds out why ready tasks do not run.
#include <algorithm>
#include <optional>

#include "cell/limits.h"
#include "cell/scheduler.h"

namespace citronsill {
namespace {

bool IsAvoided(const Task& task, const Worker& worker, SteadyTime now) {
  if (now < worker.avoided_until) return true;
  return std::any_of(task.avoided_workers.begin(), task.avoided_workers.end(),
                     [&](const AvoidedWorker& avoided) {
                       return avoided.slot == worker.slot && now < avoided.until;
                     });
}

bool IsSuitable(const Worker& worker, const Step& step) {
  const WorkerDescription& description = worker.description;
  if (!worker.listed || worker.gone || description.draining) return false;
  if (description.service != step.job->spec.queue().service()) return false;
  const std::string& label = step.spec->required_label();
  return label.empty() || std::find(description.labels.begin(), description.labels.end(), label) !=
                              description.labels.end();
}

}  // namespace

// Selects the counter to which the free places of a worker belong.
std::uint32_t* Scheduler::RoomCounterFor(const Task& task, const Worker& worker,
                                         HeldRoomCounts* room) {
  const Step& step = *task.step;
  if (!worker.attached || !worker.IsDescribed()) return &room->unattached_room;
  if (worker.silent) return &room->silent_room;
  if (!worker.stray_runs.empty()) return &room->stray_room;
  if (IsAvoided(task, worker, m_hooks.now())) return &room->avoided_room;
  if (!step.job->spec.queue().has_advice()) return &room->ready_room;
  const WorkerAdvice* advice =
      worker.slot < step.advice.size() ? &step.advice[worker.slot] : nullptr;
  if (advice == nullptr || !advice->asked || advice->incarnation != worker.incarnation) {
    return &room->unknown_room;
  }
  if (!advice->allowed) return &room->denied_room;
  return advice->ticket_until > m_hooks.now() ? &room->ready_room : &room->allowed_room;
}

HeldRoomCounts Scheduler::CountRoom(const Task& task, std::uint32_t need) {
  const Step& step = *task.step;
  HeldRoomCounts room;
  std::int64_t used = 0;
  std::int64_t capacity = 0;
  for (const auto& [id, worker] : m_fleet.Workers()) {
    if (!IsSuitable(*worker, step)) continue;
    ++room.listed;
    if (worker->attached) ++room.attached;
    if (IsAvoided(task, *worker, m_hooks.now())) ++room.avoided;
    if (worker->silent) room.longest_silence = std::max(room.longest_silence, Since(worker->heard));
    used += worker->used.processors_milli;
    capacity += worker->description.capacity.processors_milli;
    std::uint32_t max_count = need;
    if (const std::uint32_t limit = step.spec->max_per_worker(); limit > 0) {
      const auto present = static_cast<std::uint32_t>(
          std::count_if(worker->orders.begin(), worker->orders.end(),
                        [&step](const Order* order) { return order->task->step == &step; }));
      max_count = std::min(max_count, limit - std::min(limit, present));
    }
    const std::uint32_t places = FitCount(worker->Free(), step.size, max_count);
    std::uint32_t unreserved = places;
    // Room that is set aside for this gang itself does not hold it back.
    if (const auto aside = m_set_aside.find(worker->slot);
        aside != m_set_aside.end() && step.reserved_room.empty()) {
      Resources left = worker->Free();
      left -= aside->second;
      unreserved = FitCount(left, step.size, max_count);
    }
    *RoomCounterFor(task, *worker, &room) += unreserved;
    room.reserved_room += places - unreserved;
  }
  if (capacity > 0) room.used_percent = static_cast<std::uint32_t>(100 * used / capacity);
  return room;
}

HeldFacts Scheduler::CollectFacts(const Task& task, const HeldContext& context) const {
  const SteadyTime now = m_hooks.now();
  const Step& step = *task.step;
  HeldFacts facts;
  facts.may_lead = m_hooks.may_lead();
  facts.commit_age = context.commit_age;
  facts.plan_age = context.plan_age;
  facts.list_age = context.list_age;
  if (!task.orders.empty()) {
    const Order& order = *task.orders[0];
    facts.has_order = true;
    facts.order_state = order.state;
    facts.order_age = Since(order.created);
    facts.order_worker_silent = order.worker->silent || !order.worker->attached;
    facts.order_worker_silence = Since(std::max(order.worker->heard, order.created));
    return facts;
  }
  const bool is_whole_gang = step.spec->gang() && step.gang_run == 0;
  facts.need = is_whole_gang ? static_cast<std::uint32_t>(step.tasks.size()) : 1;
  const auto until = [now](SteadyTime time) {
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(time - now));
  };
  if (task.retry_at > now) facts.retry_in = until(task.retry_at);
  facts.has_stray_run = is_whole_gang
                            ? std::any_of(step.tasks.begin(), step.tasks.end(),
                                          [](const Task& member) { return member.has_stray_run; })
                            : task.has_stray_run;
  facts.gang_ending = step.gang_ending;
  facts.yields_to_gangs = step.yields_to_gangs;
  facts.is_over_limit = step.is_over_limit;
  facts.is_window_full = m_order_window.Room(m_fleet.OrdersInFlight()) == 0;
  facts.uses_advice = step.job->spec.queue().has_advice();
  if (!facts.uses_advice) return facts;
  facts.advice_pending = step.advice_requests > 0;
  if (facts.advice_pending) facts.advice_request_age = Since(step.advice_request_since);
  if (step.advice_retry_at > now) facts.advice_retry_in = until(step.advice_retry_at);
  const AdviceCapacity advice_capacity = m_hooks.advice_capacity();
  switch (RequestKindOf(step.job->spec.queue())) {
    case AdviceRequestKind::kInteractive:
      facts.has_free_request_slot = advice_capacity.free > 0;
      break;
    case AdviceRequestKind::kBatch:
      facts.has_free_request_slot = advice_capacity.free_batch > 0;
      break;
    case AdviceRequestKind::kLong:
      facts.has_free_request_slot = advice_capacity.free_long > 0;
      break;
  }
  return facts;
}

// Time since which the task should have been running: the latest of when it became ready, when its
// last run ended or was lost and, for a running task, when it began to run and when its worker was
// last heard from.
SteadyTime Scheduler::HeldSince(const Task& task) {
  const SteadyTime waiting_since = std::max(task.step->ready_since, task.last_run_over_at);
  if (task.orders.empty() || task.orders[0]->state != OrderState::kRunning) return waiting_since;
  return std::max({waiting_since, task.orders[0]->running_since, task.orders[0]->worker->heard});
}

// Checks the waiting tasks of a step.
// @returns false when the budget of this check is used up.
bool Scheduler::CheckHeldStep(Step* step, const HeldContext& context, HeldCheckBudget* budget,
                              HeldReport* report) {
  const SteadyTime now = m_hooks.now();
  // Tasks without workers of their own to avoid see the same room.
  std::optional<HeldRoomCounts> shared_room;
  const bool is_long_running = step->spec->long_running();
  for (Task& task : step->tasks) {
    if (budget->tasks == 0) return false;
    --budget->tasks;
    if (task.is_done) continue;
    const SteadyTime since = HeldSince(task);
    if (since + kHeldAfter > now) continue;
    HeldFacts facts = CollectFacts(task, context);
    if (!facts.has_order) {
      const bool avoids_none = task.avoided_workers.empty();
      if (!avoids_none || !shared_room) {
        if (budget->scans == 0) return false;
        --budget->scans;
        facts.room = CountRoom(task, facts.need);
        if (avoids_none) shared_room = facts.room;
      } else {
        facts.room = *shared_room;
      }
    }
    const HeldReason reason = WhyHeld(facts);
    if (reason == HeldReason::kNotHeld) continue;
    ++report->counts[reason];
    if (!IsReported(reason, is_long_running) || task.held_logged_at + kHeldLogPeriod > now)
      continue;
    budget->reported.push_back({&task, since, reason, facts});
  }
  return true;
}

// Tasks that were logged longest ago come first.
void Scheduler::AddReportLines(std::vector<HeldCandidate> found, HeldReport* report) {
  const std::size_t lines = std::min(found.size(), kMaxLinesPerHeldCheck);
  std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(lines), found.end(),
                    [](const HeldCandidate& a, const HeldCandidate& b) {
                      return a.task->held_logged_at < b.task->held_logged_at;
                    });
  report->suppressed = static_cast<std::uint32_t>(found.size() - lines);
  found.resize(lines);
  for (HeldCandidate& entry : found) {
    Task& task = *entry.task;
    task.held_logged_at = m_hooks.now();
    HeldTask held{task.step->Ref(task.index),
                  task.step->spec->long_running(),
                  Since(entry.since),
                  entry.reason,
                  entry.facts,
                  0,
                  ""};
    if (!task.orders.empty()) {
      held.run = task.orders[0]->run;
      held.worker = task.orders[0]->worker->description.id;
    }
    report->lines.push_back(std::move(held));
  }
}

HeldReport Scheduler::CheckHeld(const HeldContext& context) {
  HeldReport report;
  HeldCheckBudget budget;
  CheckHeldJobs(context, &budget, &report);
  AddReportLines(std::move(budget.reported), &report);
  return report;
}

void Scheduler::CheckHeldJobs(const HeldContext& context, HeldCheckBudget* budget,
                              HeldReport* report) {
  const SteadyTime now = m_hooks.now();
  auto entry = m_jobs.begin();
  if (m_held_skip >= m_jobs.size()) m_held_skip = 0;
  std::advance(entry, static_cast<std::ptrdiff_t>(m_held_skip));
  for (std::size_t seen = 0; seen < m_jobs.size(); ++seen) {
    if (entry == m_jobs.end()) entry = m_jobs.begin();
    Job* job = (entry++)->second.get();
    if (job->IsFinal()) continue;
    for (const auto& step : job->steps) {
      if (!step->ready || step->IsDone() || step->ready_since + kHeldAfter > now) continue;
      if (CheckHeldStep(step.get(), context, budget, report)) continue;
      // The next check starts with the job at which this one stopped, unless that job alone used up
      // the whole budget.
      m_held_skip = (m_held_skip + std::max<std::size_t>(seen, 1)) % m_jobs.size();
      report->is_complete = false;
      return;
    }
  }
  m_held_skip = 0;
}

}  // namespace citronsill
