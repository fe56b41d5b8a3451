#include "cell/fleet.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "cell/limits.h"
#include "cell/log.h"
#include "cell/metrics.h"

namespace citronsill {
namespace {

// Maximum number of ends in one reply of a worker. A reply with that many may be incomplete.
constexpr std::size_t kMaxListedEnds = 500;

}  // namespace

const char* VoidReasonName(VoidReason reason) {
  switch (reason) {
    case VoidReason::kNeverSent:
      return "never-sent";
    case VoidReason::kRefused:
      return "refused";
    case VoidReason::kNotOnWorker:
      return "not-there";
    case VoidReason::kLeaseExpired:
      return "lapsed";
    case VoidReason::kWorkerGone:
      return "worker-gone";
  }
  return "unknown";
}

const char* IncarnationEndName(IncarnationEnd end) {
  switch (end) {
    case IncarnationEnd::kListEntry:
      return "list";
    case IncarnationEnd::kHoldAnswer:
      return "hold";
    case IncarnationEnd::kOtherId:
      return "other-id";
  }
  return "unknown";
}

const char* StartEvidenceName(const Order& order) {
  if (order.state == OrderState::kStoring) return "unsent";
  if (order.listed) return "listed";
  if (order.state == OrderState::kRunning) return "answered";
  if (!order.earlier_term) return "unanswered";
  return order.confirmed ? "earlier-confirmed" : "earlier-term";
}

const char* StartVerdictName(StartVerdict verdict) {
  switch (verdict) {
    case StartVerdict::kStarted:
      return "started";
    case StartVerdict::kStaleFence:
      return "stale-fence";
    case StartVerdict::kOldRun:
      return "old-run";
    case StartVerdict::kTooLate:
      return "too-late";
    case StartVerdict::kNoRoom:
      return "no-room";
    case StartVerdict::kBadTicket:
      return "bad-ticket";
    case StartVerdict::kUnavailable:
      return "unwilling";
    case StartVerdict::kInvalid:
      return "invalid";
    case StartVerdict::kGone:
      return "gone";
  }
  return "unknown";
}

Resources Worker::Free() const {
  Resources free = description.capacity;
  free -= used;
  return free;
}

Fleet::Fleet(FleetHooks hooks, std::uint64_t fence, milliseconds lease, milliseconds max_lease)
    : m_hooks(std::move(hooks)),
      m_fence(fence),
      m_lease(lease),
      m_max_lease(std::max(lease, max_lease)) {}

Fleet::~Fleet() = default;

Worker* Fleet::FindOrAdd(const std::string& id) {
  auto& slot = m_workers[id];
  if (!slot) {
    slot = std::make_unique<Worker>();
    slot->description.id = id;
    slot->fence = m_fence;
    slot->slot = static_cast<std::uint32_t>(m_by_slot.size());
    m_by_slot.push_back(slot.get());
    ++m_change_number;
    slot->next_hold = m_hooks.now();
    m_unattached.insert(slot.get());
    ++m_unlisted;
  }
  return slot.get();
}

void Fleet::SetAttached(Worker* worker, bool attached) {
  worker->attached = attached;
  ++m_change_number;  // Its incarnation may have become known.
  if (attached) {
    m_unattached.erase(worker);
  } else {
    m_unattached.insert(worker);
  }
}

void Fleet::Put(const WorkerDescription& description) {
  Worker* worker = FindOrAdd(description.id);
  const std::int64_t known_born = worker->description.born_unix_ms;
  // The list lags behind: the entry is of an earlier incarnation that is known to have ended.
  if (description.born_unix_ms != 0 && description.born_unix_ms < known_born) return;
  worker->described_born_unix_ms = description.born_unix_ms;
  // Workers repeat their entries every second or two.
  if (worker->listed && !worker->gone && worker->description.IsSameExceptTimes(description) &&
      description.born_unix_ms <= known_born) {
    worker->description.drain_remaining = description.drain_remaining;
    return;
  }
  const bool is_new_incarnation = known_born != 0 && description.born_unix_ms > known_born;
  // Another address alone does not prove that the incarnation has ended: the entry may come from
  // another writer. What answers there tells its own start.
  if (is_new_incarnation) {
    EndIncarnation(worker, IncarnationEnd::kListEntry, description.born_unix_ms);
  }
  worker->description = description;
  ++m_change_number;
  worker->rack = 0;
  worker->service = 0;
  worker->description.born_unix_ms = std::max(known_born, description.born_unix_ms);
  if (!worker->listed) {
    worker->next_hold = m_hooks.now();
    --m_unlisted;
  }
  worker->listed = true;
  worker->gone = false;
  TickWorker(worker, m_hooks.now());
  AttachNext();
  m_hooks.on_capacity_changed();
}

void Fleet::Unlist(const std::string& id) {
  Worker* worker = Find(id);
  if (worker == nullptr || !worker->listed) return;
  worker->listed = false;
  ++m_unlisted;
  m_hooks.on_capacity_changed();
}

Worker* Fleet::Find(const std::string& id) {
  const auto found = m_workers.find(id);
  return found == m_workers.end() ? nullptr : found->second.get();
}

Order* Fleet::NewOrder(Task* task, Worker* worker, std::uint64_t run) {
  auto order = std::make_unique<Order>();
  order->id = ++m_last_id;
  order->task = task;
  order->worker = worker;
  order->run = run;
  order->size = task->step->size;
  order->created = m_hooks.now();
  worker->orders.push_back(order.get());
  worker->used += order->size;
  task->orders.push_back(order.get());
  ++task->step->job->live_orders;
  task->step->job->assignment_bytes += AssignmentRowBytes(worker->description.id);
  ++m_orders_in_flight;
  Order* raw = order.get();
  m_orders.emplace(raw->id, std::move(order));
  if (m_hooks.on_reserved) m_hooks.on_reserved(*raw);
  return raw;
}

std::unique_ptr<Order> Fleet::Detach(Order* order) {
  std::erase(order->worker->orders, order);
  order->worker->used -= order->size;
  std::erase(order->task->orders, order);
  --order->task->step->job->live_orders;
  order->task->step->job->assignment_bytes -= AssignmentRowBytes(order->worker->description.id);
  if (IsInFlight(*order)) --m_orders_in_flight;
  if (m_hooks.on_given_back) m_hooks.on_given_back(*order);
  auto owned = std::move(m_orders.extract(order->id).mapped());
  m_hooks.on_capacity_changed();
  return owned;
}

void Fleet::SetState(Order* order, OrderState state) {
  const bool was_in_flight = IsInFlight(*order);
  order->state = state;
  if (was_in_flight && !IsInFlight(*order)) --m_orders_in_flight;
}

Order* Fleet::FindOrder(std::uint64_t id) {
  const auto found = m_orders.find(id);
  return found == m_orders.end() ? nullptr : found->second.get();
}

Order* Fleet::Reserve(Task* task, Worker* worker, std::uint64_t run) {
  return NewOrder(task, worker, run);
}

void Fleet::ExpectLongLeases(const std::vector<LongLease>& leases, SteadyTime earlier_calls_end) {
  m_earlier_calls_end = earlier_calls_end;
  for (const auto& [worker, end] : leases) {
    SteadyTime& expected = m_expected_leases[worker];
    expected = std::max(expected, end);
  }
}

std::vector<LongLease> Fleet::LongLeases() const {
  std::vector<LongLease> leases;
  // The next scheduler counts this long for all workers, from a later time.
  const SteadyTime usual_end = m_hooks.now() + LongestLocalTime(m_lease);
  if (m_misdirected_leases_end <= usual_end) return leases;
  for (const auto& [id, worker] : m_workers) {
    const SteadyTime end = worker->misdirected_leases_end;
    if (end > usual_end && !worker->orders.empty()) leases.push_back({LeaseKey(id), end});
  }
  return leases;
}

Order* Fleet::Adopt(Task* task, const schema::AssignmentRow& row, SteadyTime leases_end) {
  Worker* worker = FindOrAdd(row.worker());
  worker->description.born_unix_ms =
      std::max(worker->description.born_unix_ms, row.worker_born_unix_ms());
  if (row.attached()) {
    worker->earlier_attached_born_unix_ms =
        std::max(worker->earlier_attached_born_unix_ms, row.worker_born_unix_ms());
  }
  if (const auto found = m_expected_leases.find(LeaseKey(row.worker()));
      found != m_expected_leases.end()) {
    worker->misdirected_leases_end = std::max(worker->misdirected_leases_end, found->second);
    m_misdirected_leases_end = std::max(m_misdirected_leases_end, found->second);
  }
  worker->lease_end_without_clock = std::max(worker->lease_end_without_clock, leases_end);
  Order* order = NewOrder(task, worker, row.run());
  SetState(order, OrderState::kUnknown);
  order->earlier_term = true;
  order->confirmed = row.confirmed();
  order->unknown_since = m_hooks.now();
  return order;
}

void Fleet::Send(Order* order, const std::string& payload, const std::string& checkpoint) {
  Worker* worker = order->worker;
  if (order->stop_wanted || !worker->attached || worker->gone || !worker->clock ||
      worker->restart_suspected || worker->description.draining || !m_hooks.may_lead()) {
    return VoidOrder(order, VoidReason::kNeverSent);
  }
  // The worker may have been draining for long, and this process may have been frozen meanwhile.
  const milliseconds time_left = m_hooks.start_time_left ? m_hooks.start_time_left() : kStartWindow;
  if (time_left <= milliseconds(0)) return VoidOrder(order, VoidReason::kNeverSent);
  // A run of the task was found on a worker while the assignment was being stored.
  const bool has_stray_run =
      !m_stray_tasks.empty() && m_stray_tasks.contains(order->task->step->Ref(order->task->index));
  if (has_stray_run) return VoidOrder(order, VoidReason::kNeverSent);
  // The ticket expired while the assignment was being stored, so the worker would refuse the start.
  if (m_hooks.now() > order->ticket_until) return VoidOrder(order, VoidReason::kNeverSent);
  SetState(order, OrderState::kSending);
  order->sent = m_hooks.now();
  order->fence = worker->fence;
  order->resumed = !checkpoint.empty();
  ++m_starts_sent;
  // A start that arrives later is rejected by the worker itself.
  order->clock_at_send = EarliestClock(*worker);
  order->start_until = EstimateClock(*worker) + std::min(kStartWindow, time_left);
  worker->lease_sent = std::max(worker->lease_sent, order->start_until);
  worker->lease_call_sent = order->sent;
  StartOrder start;
  start.task = order->task->step->Ref(order->task->index);
  start.run = order->run;
  start.payload = payload;
  start.checkpoint = checkpoint;
  start.ticket = order->ticket;
  start.fence = order->fence;
  start.lease_until = order->start_until;
  m_hooks.start(*worker, std::move(start), order->id);
}

void Fleet::Drop(Order* order) { Detach(order); }

void Fleet::Stop(Order* order) {
  if (order->stop_wanted) return;
  order->stop_wanted = true;
  // If the start was not sent yet, `Send` voids the order. If it is in flight, the stop is sent
  // after its reply.
  if (order->state == OrderState::kStoring || order->state == OrderState::kSending) return;
  SendStop(order);
}

void Fleet::SendStop(Order* order) {
  // A worker known only from an earlier scheduler's assignment and not from the list has no
  // address: its orders end when their leases expire.
  const bool is_reachable = !order->worker->description.address.empty();
  if (order->stop_in_flight || !is_reachable || !m_hooks.may_lead()) return;
  order->stop_in_flight = true;
  m_hooks.stop(*order->worker, order->task->step->Ref(order->task->index), order->run, order->id);
}

void Fleet::OnStart(std::uint64_t id, const Result<StartAnswer>& result) {
  const auto found = m_orders.find(id);
  if (found == m_orders.end()) return;
  Order* order = found->second.get();
  Worker* worker = order->worker;
  RecordCallTime(*worker, order->sent, result.has_value());
  if (!result) {
    OnWorkerCallFailed(worker);
    if (order->state != OrderState::kSending) return;
    SetState(order, OrderState::kUnknown);
    order->unknown_since = m_hooks.now();
    Log(LogLevel::kInfo, "start-unanswered")
        .Field("task", order->task->step->Ref(order->task->index))
        .Field("run", order->run)
        .Field("worker", worker->description.id)
        .Field("born", worker->description.born_unix_ms)
        .Field("reason", result.error().message);
    SendHold(worker, true);
    return;
  }
  const StartAnswer& answer = result.value();
  NodeMetrics::Get().CountStart(answer.verdict);
  OnWorkerAnswered(worker, answer.clock, order->clock_at_send);
  switch (answer.verdict) {
    case StartVerdict::kStarted:
      order->answered = true;
      order->confirmed |= !worker->restart_suspected;
      if (order->state == OrderState::kSending) {
        SetState(order, OrderState::kRunning);
        order->running_since = m_hooks.now();
        order->percent_changed = order->advanced = m_hooks.now();
        m_hooks.on_running(*order);
      }
      if (order->stop_wanted) SendStop(order);
      return;
    case StartVerdict::kStaleFence:
      return m_hooks.on_superseded();
    case StartVerdict::kGone:
      worker->gone = true;
      return EndIncarnation(worker, IncarnationEnd::kOtherId, 0);
    default:
      if (order->state == OrderState::kSending) {
        VoidOrder(order, VoidReason::kRefused, answer.verdict);
      }
      return;
  }
}

void Fleet::OnStop(std::uint64_t id, const Result<StopAnswer>& result) {
  const auto found = m_orders.find(id);
  if (found == m_orders.end()) return;
  Order* order = found->second.get();
  Worker* worker = order->worker;
  order->stop_in_flight = false;
  order->stop_retry_at = m_hooks.now() + kStopRetry;
  if (!result) {
    const bool was_silent = worker->silent;
    OnWorkerCallFailed(worker);
    if (!was_silent) SendHold(worker, true);
    return;
  }
  const StopAnswer& answer = result.value();
  OnWorkerAnswered(worker, answer.clock, {});
  if (answer.stale_fence) return m_hooks.on_superseded();
  if (answer.gone) {
    worker->gone = true;
    return EndIncarnation(worker, IncarnationEnd::kOtherId, 0);
  }
  if (!answer.acknowledged) return;
  if (!order->stopped_at) order->stopped_at = m_hooks.now();
  // An order that is not known to run ends as soon as the worker does not list it: ask it now.
  if (order->state != OrderState::kRunning) SendHold(worker, true);
}

void Fleet::OnHold(std::uint64_t id, const Result<HoldAnswer>& result) {
  const auto found = m_holds.find(id);
  if (found == m_holds.end()) return;
  const Hold hold = std::move(found->second);
  m_holds.erase(found);
  Worker* worker = Find(hold.worker);
  if (worker == nullptr || worker->incarnation != hold.incarnation) return;
  if (!hold.waits) RecordCallTime(*worker, hold.sent, result.has_value());
  AdaptHoldTimeout(worker, hold, result.has_value());
  (hold.is_status_query ? worker->status_query_in_flight : worker->hold_in_flight) = false;
  const bool was_attaching = !hold.is_status_query && std::exchange(worker->attaching, false);
  if (was_attaching) --m_attaching;
  ApplyHold(worker, hold, result);
  if (was_attaching) AttachNext();
}

void Fleet::ApplyHold(Worker* worker, const Hold& hold, const Result<HoldAnswer>& result) {
  if (!result) {
    OnWorkerCallFailed(worker);
    if (!hold.is_status_query) {
      worker->hold_retry = std::clamp(worker->hold_retry * 2, kHoldRetryMin, kHoldRetryMax);
      worker->next_hold = m_hooks.now() + worker->hold_retry;
    }
    return;
  }
  const HoldAnswer& answer = result.value();
  if (answer.stale_fence) return m_hooks.on_superseded();
  if (answer.gone) {
    worker->gone = true;
    return EndIncarnation(worker, IncarnationEnd::kOtherId, 0);
  }
  const std::int64_t born = worker->description.born_unix_ms;
  // A reply of an earlier incarnation.
  if (answer.born_unix_ms != 0 && answer.born_unix_ms < born) return;
  if (born != 0 && answer.born_unix_ms > born) {
    // What this answer lists is not final: starts that were sent before may still be executed.
    EndIncarnation(worker, IncarnationEnd::kHoldAnswer, answer.born_unix_ms);
    worker->description.born_unix_ms = answer.born_unix_ms;
    return AttachNext();
  }
  if (answer.born_unix_ms != 0) worker->description.born_unix_ms = answer.born_unix_ms;
  if (worker->restart_suspected && hold.sent >= worker->suspected_at) {
    worker->restart_suspected = false;
    worker->clock.reset();
  }
  NoteClock(worker, worker->restart_suspected ? std::nullopt : std::optional(answer.clock));
  worker->hold_answered = m_hooks.now();
  worker->acknowledged_to_worker = std::max(worker->acknowledged_to_worker, hold.acknowledged);
  // Only the answer to a hold tells that it comes from the same incarnation as before.
  if (worker->silent && hold.sent >= worker->call_failed) {
    worker->silent = false;
    Log(LogLevel::kInfo, "worker-regained").Field("worker", worker->description.id);
    m_hooks.on_capacity_changed();
  }
  worker->hold_retry = milliseconds(0);
  const bool was_attached = worker->attached;
  if (!was_attached) SetAttached(worker, true);
  if (!was_attached) {
    BoundEarlierLeases(worker, answer.clock);
    Log(LogLevel::kInfo, "worker-attached")
        .Field("worker", worker->description.id)
        .Field("born", worker->description.born_unix_ms)
        .Field("fence", worker->fence)
        .Field("running", answer.running.size())
        .Field("ended", answer.ended.size())
        .Field("clock_ms", answer.clock.since_start)
        .Field("leases_left_ms",
               std::chrono::ceil<milliseconds>(LeaseExpiry(*worker) - m_hooks.now()));
    m_hooks.on_capacity_changed();
  }
  const bool has_new_ends = ApplyEnds(worker, answer);
  ApplyRunning(worker, answer, hold);
  if (has_new_ends) m_hooks.on_ends(*worker, worker->last_end);
  if (worker->last_end > worker->acknowledged) {
    worker->next_hold = std::max(worker->next_hold, m_hooks.now() + kUnackedHoldPeriod);
  } else if (!worker->hold_in_flight) {
    SendHold(worker, false);
  }
}

// A worker that has seen its current fence rejects calls with lower ones. Therefore no lease that
// they granted ends later than one of full length granted at that moment.
void Fleet::BoundEarlierLeases(Worker* worker, WorkerTime clock) {
  if (worker->lease_end_without_clock != SteadyTime{}) {
    const auto lease =
        std::chrono::ceil<milliseconds>(m_lease * (1.0 + kWorkerClockDrift)) + kLeaseMargin;
    worker->lease_sent = std::max(worker->lease_sent, clock + lease);
    worker->lease_end_without_clock = {};
  }
  if (worker->IsKnownFromEarlierTerm()) return;
  worker->misdirected_leases_end = {};
  ExpectMisdirectedLeases(worker);
}

// The end of the lease in a call to an earlier incarnation may lie far in the future on the clock
// of this one, which then grants the longest lease.
// @param calls_in_flight for how long such calls may still arrive.
void Fleet::ExpectMisdirectedLeases(Worker* worker, milliseconds calls_in_flight) {
  worker->misdirected_leases_end =
      std::max(worker->misdirected_leases_end,
               m_hooks.now() + calls_in_flight + LongestLocalTime(m_max_lease));
  m_misdirected_leases_end = std::max(m_misdirected_leases_end, worker->misdirected_leases_end);
}

bool Fleet::ApplyEnds(Worker* worker, const HoldAnswer& answer) {
  bool has_new_ends = false;
  for (const EndedTask& ended : answer.ended) {
    if (ended.number <= worker->last_end) continue;
    worker->last_end = ended.number;
    NodeMetrics::Get().CountEnd(ended.end);
    has_new_ends = true;
    Order* order = FindOrder(*worker, ended.task, ended.run);
    Log(LogLevel::kInfo, "run-ended")
        .Field("task", ended.task)
        .Field("run", ended.run)
        .Field("worker", worker->description.id)
        .Field("born", worker->description.born_unix_ms)
        .Field("how", RunEndName(ended.end))
        .Field("number", ended.number)
        .Field("known", order != nullptr)
        .Field("percent", order != nullptr ? order->percent : 0)
        .Field("saved", !ended.checkpoint.empty());
    if (order == nullptr) {
      m_hooks.on_unclaimed_end(*worker, ended.task, ended.run, ended.end, ended.checkpoint);
    } else {
      const std::unique_ptr<Order> ended_order = Detach(order);
      m_hooks.on_ended(*ended_order, ended.end, ended.checkpoint);
    }
    const auto stray = worker->stray_runs.find(ended.task);
    if (stray != worker->stray_runs.end() && stray->second <= ended.run) {
      RemoveStrayRun(worker, ended.task);
    }
  }
  return has_new_ends;
}

void Fleet::ApplyRunning(Worker* worker, const HoldAnswer& answer, const Hold& hold) {
  const SteadyTime now = m_hooks.now();
  std::map<TaskRef, std::uint64_t> stray_runs;
  std::vector<const Order*> listed;
  for (const RunningTask& running : answer.running) {
    Order* order = FindOrder(*worker, running.task, running.run);
    if (order == nullptr) {
      stray_runs[running.task] = running.run;
      continue;
    }
    listed.push_back(order);
    order->listed = order->confirmed = true;
    order->carried_over = false;
    if (order->state == OrderState::kSending || order->state == OrderState::kUnknown) {
      SetState(order, OrderState::kRunning);
      order->running_since = now;
      order->percent_changed = order->advanced = now;
      order->first_percent = running.percent;
      m_hooks.on_running(*order);
      if (order->stop_wanted) SendStop(order);
    }
    if (running.percent > order->percent) order->percent_changed = order->advanced = now;
    order->percent = running.percent;
    if (KeepCheckpoint(running.checkpoint, order->task)) order->advanced = now;
  }
  ApplyStrayRuns(worker, std::move(stray_runs), answer, hold);
  StopStrayRuns(worker);
  if (answer.ended.size() >= kMaxListedEnds) return;
  for (Order* order : std::vector<Order*>(worker->orders)) {
    if (std::find(listed.begin(), listed.end(), order) == listed.end()) {
      ResolveMissing(order, answer, hold);
    }
  }
}

// Handles an order that the worker lists neither as running nor as ended.
void Fleet::ResolveMissing(Order* order, const HoldAnswer& answer, const Hold& hold) {
  switch (order->state) {
    case OrderState::kStoring:
    case OrderState::kSending:
      return;
    case OrderState::kRunning:
      // Only the reply to a call sent after the run was seen proves that it has disappeared.
      if (order->running_since < hold.sent) VoidOrder(order, VoidReason::kNotOnWorker);
      return;
    case OrderState::kUnknown:
      break;
  }
  if (MayBeExecutedLater(*order)) return;
  // The worker has now seen its current fence, and rejects late starts with a lower one.
  const bool is_fenced = order->fence < order->worker->fence;
  const bool is_stopped = order->stopped_at && *order->stopped_at < hold.sent;
  const bool is_start_expired = !is_fenced && answer.clock > order->start_until;
  if (is_fenced || is_stopped || is_start_expired) {
    return VoidOrder(order,
                     order->carried_over ? VoidReason::kWorkerGone : VoidReason::kNotOnWorker);
  }
  if (!order->stopped_at && order->unknown_since <= hold.sent) {
    order->stop_wanted = true;
    SendStop(order);
  }
}

// A list that was overtaken by a later one neither adds a run that has ended since nor removes one
// that has begun. The clock orders lists only to the millisecond. A run that is not listed may have
// ended `done`, which has to be known first if not all ends fit into the answer.
void Fleet::ApplyStrayRuns(Worker* worker, std::map<TaskRef, std::uint64_t> stray_runs,
                           const HoldAnswer& answer, const Hold& hold) {
  const bool is_latest =
      answer.clock > worker->runs_listed_clock || hold.sent >= worker->runs_listed_at;
  if (!is_latest && answer.clock < worker->runs_listed_clock) return;
  if (is_latest) {
    worker->runs_listed_clock = answer.clock;
    worker->runs_listed_at = m_hooks.now();
    const bool may_lack_ends = answer.ended.size() >= kMaxListedEnds;
    std::vector<TaskRef> over;
    for (const auto& [task, run] : worker->stray_runs) {
      if (!may_lack_ends && !stray_runs.contains(task)) over.push_back(task);
    }
    for (const TaskRef& task : over) RemoveStrayRun(worker, task);
  }
  for (const auto& [task, run] : stray_runs) {
    if (worker->stray_runs.insert_or_assign(task, run).second) ++m_stray_tasks[task];
    m_hooks.on_stray_run(task);
  }
}

void Fleet::RemoveStrayRun(Worker* worker, const TaskRef& task) {
  if (worker->stray_runs.erase(task) == 0) return;
  const auto found = m_stray_tasks.find(task);
  if (--found->second > 0) return;
  m_stray_tasks.erase(found);
  m_hooks.on_stray_runs_over(task);
}

void Fleet::ClearStrayRuns(Worker* worker) {
  while (!worker->stray_runs.empty()) {
    const TaskRef task = worker->stray_runs.begin()->first;
    RemoveStrayRun(worker, task);
  }
}

void Fleet::StopStrayRuns(Worker* worker) {
  if (!m_hooks.may_lead()) return;
  for (const auto& [task, run] : worker->stray_runs) {
    Log(LogLevel::kWarn, "stray-run")
        .Field("task", task)
        .Field("run", run)
        .Field("worker", worker->description.id)
        .Field("born", worker->description.born_unix_ms);
    m_hooks.stop(*worker, task, run, 0);
  }
}

void Fleet::Acknowledge(const std::string& id, std::uint32_t incarnation, std::uint64_t number) {
  Worker* worker = Find(id);
  if (worker == nullptr || worker->incarnation != incarnation || number <= worker->acknowledged)
    return;
  worker->acknowledged = number;
  if (worker->last_end > worker->acknowledged || worker->hold_in_flight) return;
  SendHold(worker, false);
}

void Fleet::VoidOrder(Order* order, VoidReason reason, StartVerdict verdict) {
  Log(LogLevel::kInfo, "order-void")
      .Field("task", order->task->step->Ref(order->task->index))
      .Field("run", order->run)
      .Field("worker", order->worker->description.id)
      .Field("born", order->worker->description.born_unix_ms)
      .Field("stored_born", order->worker->earlier_attached_born_unix_ms)
      .Field("attached", order->worker->attached)
      .Field("reason", VoidReasonName(reason))
      .Field("start", StartEvidenceName(*order))
      .Field("age_ms", std::chrono::duration_cast<milliseconds>(m_hooks.now() - order->created))
      .Field("verdict", reason == VoidReason::kRefused ? StartVerdictName(verdict) : "-")
      .Field("heard_ms_ago",
             std::chrono::duration_cast<milliseconds>(m_hooks.now() - order->worker->heard));
  NodeMetrics::Get().CountVoid(reason);
  const std::unique_ptr<Order> ended_order = Detach(order);
  m_hooks.on_void(*ended_order, reason, verdict);
}

// Runs that the worker has listed ended with it. Another start may have been executed by the next
// incarnation, or may still be: it shares the id and has seen no fence. Such orders are kept until
// it lists its runs in the answer to a hold with a higher fence.
void Fleet::EndIncarnation(Worker* worker, IncarnationEnd how, std::int64_t next_born_unix_ms) {
  Log(LogLevel::kInfo, "worker-life-over")
      .Field("worker", worker->description.id)
      .Field("born", worker->description.born_unix_ms)
      .Field("next_born", next_born_unix_ms)
      .Field("shown_by", IncarnationEndName(how))
      .Field("heard_ms_ago",
             std::chrono::duration_cast<milliseconds>(m_hooks.now() - worker->heard))
      .Field("orders", worker->orders.size());
  ++worker->incarnation;
  worker->fence = ++m_fence;
  ++m_change_number;
  SetAttached(worker, false);
  worker->clock.reset();
  worker->lease_sent = {};
  worker->restart_suspected = false;
  ExpectMisdirectedLeases(worker, kMaxWorkerCallTimeout);
  worker->last_end = 0;
  worker->acknowledged = 0;
  worker->acknowledged_to_worker = 0;
  worker->hold_in_flight = false;
  worker->hold_timeout = milliseconds(0);
  worker->status_query_in_flight = false;
  if (std::exchange(worker->attaching, false)) --m_attaching;
  ClearStrayRuns(worker);
  worker->runs_listed_clock = {};
  worker->runs_listed_at = {};
  worker->failures_in_row = 0;
  worker->next_hold = m_hooks.now();
  for (Order* order : std::vector<Order*>(worker->orders)) {
    const bool was_sent = order->state != OrderState::kStoring;
    if (was_sent && !order->listed && how != IncarnationEnd::kOtherId) {
      CarryOver(order);
    } else {
      VoidOrder(order, VoidReason::kWorkerGone);
    }
  }
}

// The order gets a new id: what earlier calls for it still return comes from another incarnation,
// or was rejected by the new fence, and says nothing about this one.
void Fleet::CarryOver(Order* order) {
  auto node = m_orders.extract(order->id);
  order->id = node.key() = ++m_last_id;
  m_orders.insert(std::move(node));
  SetState(order, OrderState::kUnknown);
  order->carried_over = true;
  order->confirmed = false;
  order->unknown_since = m_hooks.now();
  order->stop_in_flight = false;
  order->stopped_at.reset();
  Log(LogLevel::kInfo, "order-carried-over")
      .Field("task", order->task->step->Ref(order->task->index))
      .Field("run", order->run)
      .Field("worker", order->worker->description.id)
      .Field("fence", order->worker->fence);
}

// @param clock_at_send the least that the clock of the known incarnation showed when the call was
// sent. An earlier time is that of another one, whose leases would last longer than is counted.
void Fleet::OnWorkerAnswered(Worker* worker, const std::optional<WorkerTime>& clock,
                             WorkerTime clock_at_send) {
  if (clock && worker->clock && !worker->restart_suspected) {
    const auto error = std::chrono::abs(*clock - EstimateClock(*worker));
    if (error > kMaxClockError || *clock < clock_at_send) SuspectRestart(worker, *clock);
  }
  NoteClock(worker, worker->restart_suspected ? std::nullopt : clock);
}

void Fleet::NoteClock(Worker* worker, const std::optional<WorkerTime>& clock) {
  worker->heard = m_hooks.now();
  if (!clock) return;
  // Replies may arrive out of order: an older clock value is ignored.
  if (worker->clock && *clock < *worker->clock) return;
  worker->clock = clock;
  worker->clock_at = worker->heard;
}

// Answers to starts and stops do not tell which incarnation has sent them, but each one's clock
// starts anew.
void Fleet::SuspectRestart(Worker* worker, WorkerTime clock) {
  Log(LogLevel::kWarn, "worker-restart-suspected")
      .Field("worker", worker->description.id)
      .Field("born", worker->description.born_unix_ms)
      .Field("clock_ms", clock.since_start)
      .Field("expected_clock_ms", EstimateClock(*worker).since_start);
  worker->restart_suspected = true;
  worker->suspected_at = m_hooks.now();
  ExpectMisdirectedLeases(worker, kMaxWorkerCallTimeout);
  SendHold(worker, true);
}

// A start without an answer may be executed by an incarnation of which nothing is known, which
// grants the longest lease to it and to the calls that follow it. Tasks that last do not wait for
// that: they have to be back sooner.
SteadyTime Fleet::UnansweredStartEnd(const Order& order) const {
  const bool is_unanswered =
      order.state == OrderState::kSending || order.state == OrderState::kUnknown;
  if (!is_unanswered || order.task->step->spec->long_running()) return {};
  if (order.earlier_term && order.confirmed) return {};
  const SteadyTime last_call = order.earlier_term
                                   ? m_earlier_calls_end
                                   : std::max(order.sent, order.worker->lease_call_sent);
  return last_call + kMaxWorkerCallTimeout + LongestLocalTime(m_max_lease);
}

// A start that is still on its way may be executed although its worker does not list it and rejects
// its fence: if the worker starts again, the next incarnation has seen no fence. A ticket excludes
// that, as it is valid for one incarnation. Tasks that last have to be back sooner.
bool Fleet::MayBeExecutedLater(const Order& order) const {
  const Step& step = *order.task->step;
  if (!order.carried_over && !order.earlier_term) return false;
  if (order.answered || order.confirmed) return false;
  if (step.job->spec.queue().has_advice() || step.spec->long_running()) return false;
  const SteadyTime sent = order.earlier_term ? order.created : order.sent;
  return m_hooks.now() < sent + kMaxWorkerCallTimeout;
}

// Of the failed calls to an unreachable worker, only the first one is recorded: time-outs of a few
// workers say nothing about the duration of calls to the others.
void Fleet::RecordCallTime(const Worker& worker, SteadyTime sent, bool answered) {
  if (!answered && worker.silent) return;
  m_calls.Add(std::chrono::duration_cast<milliseconds>(m_hooks.now() - sent));
}

// A worker that answers, but later than the others, is not given up: each hold that fails gives the
// next one more time. With the time-out of the others its leases would never be renewed again.
void Fleet::AdaptHoldTimeout(Worker* worker, const Hold& hold, bool answered) {
  if (!answered) {
    worker->hold_timeout =
        std::min(std::max(m_calls.Timeout(), worker->hold_timeout) * kHoldTimeoutFactor,
                 kMaxWorkerCallTimeout);
    return;
  }
  const auto took = std::chrono::duration_cast<milliseconds>(m_hooks.now() - hold.sent);
  if (!hold.waits && took * kCallTimeFactor < worker->hold_timeout) worker->hold_timeout /= 2;
}

void Fleet::OnWorkerCallFailed(Worker* worker) {
  worker->call_failed = m_hooks.now();
  if (worker->silent) return;
  worker->silent = true;
  Log(LogLevel::kWarn, "worker-lost")
      .Field("worker", worker->description.id)
      .Field("heard_ms_ago",
             std::chrono::duration_cast<milliseconds>(m_hooks.now() - worker->heard));
}

// Attaches more workers, up to `kMaxConcurrentAttaches` at a time: first those with orders, because
// their leases are running out, then those that were not tried for the longest time.
//
// A takeover has to reach hundreds of workers. If all were called at once, a slow scheduler would
// handle the first replies only after the time-outs of the last calls. Workers that do not answer
// must not delay the others.
void Fleet::AttachNext() {
  if (m_attaching >= kMaxConcurrentAttaches || m_unattached.empty()) return;
  const SteadyTime now = m_hooks.now();
  std::vector<Worker*> due;
  for (Worker* worker : m_unattached) {
    if (IsHoldDue(*worker, now)) due.push_back(worker);
  }
  const auto first = due.begin();
  const auto last = first + static_cast<std::ptrdiff_t>(
                                std::min(due.size(), kMaxConcurrentAttaches - m_attaching));
  std::partial_sort(first, last, due.end(), [](const Worker* a, const Worker* b) {
    return std::tuple(a->orders.empty(), a->next_hold, a->slot) <
           std::tuple(b->orders.empty(), b->next_hold, b->slot);
  });
  for (auto next = first; next != last; ++next) {
    if (m_attaching >= kMaxConcurrentAttaches) return;
    SendHold(*next, false);
  }
}

void Fleet::SendHold(Worker* worker, bool is_status_query) {
  if (worker->gone) return;
  if (!m_hooks.may_lead()) {
    worker->next_hold = m_hooks.now() + kHoldRetryMax;
    return;
  }
  if (is_status_query && worker->status_query_in_flight) {
    worker->status_query_wanted = true;
    return;
  }
  (is_status_query ? worker->status_query_in_flight : worker->hold_in_flight) = true;
  if (is_status_query) worker->status_query_wanted = false;
  HoldOrder order;
  order.fence = worker->fence;
  // Another incarnation counts its ends anew, so each number is acknowledged once only. While it
  // may have run a task of ours, that is done right after an answer of the one that reported the
  // ends.
  const bool is_recent = m_hooks.now() <= worker->hold_answered + kMaxAcknowledgeDelay;
  const bool may_acknowledge = !worker->silent && (is_recent || !HasUnlistedOrder(*worker));
  const bool has_unacknowledged = worker->acknowledged > worker->acknowledged_to_worker;
  if (may_acknowledge && has_unacknowledged) order.acknowledged = worker->acknowledged;
  // The lease of an unreachable worker is not extended, so that its runs end at a known time.
  if (worker->clock && !worker->silent && !worker->restart_suspected) {
    order.lease_until = EstimateClock(*worker) + m_lease;
    worker->lease_sent = std::max(worker->lease_sent, order.lease_until);
    worker->lease_call_sent = m_hooks.now();
  }
  // A worker that was late is asked for an answer at once: its leases are running out.
  const bool waits = !is_status_query && worker->attached && !worker->silent &&
                     (may_acknowledge || !has_unacknowledged) &&
                     worker->last_end == worker->acknowledged;
  order.wait = waits ? kHoldWait : milliseconds(0);
  order.timeout = std::max(m_calls.Timeout(), worker->hold_timeout);
  if (!is_status_query && !worker->attached) {
    worker->attaching = true;
    ++m_attaching;
  }
  const std::uint64_t id = ++m_last_id;
  m_holds.emplace(id, Hold{worker->description.id, worker->incarnation, is_status_query, waits,
                           m_hooks.now(), order.acknowledged});
  m_hooks.hold(*worker, order, id);
}

bool Fleet::HasUnlistedOrder(const Worker& worker) {
  return std::any_of(worker.orders.begin(), worker.orders.end(), [](const Order* order) {
    return order->state != OrderState::kStoring && !order->listed;
  });
}

WorkerTime Fleet::EstimateClock(const Worker& worker) const {
  return *worker.clock + std::chrono::duration_cast<milliseconds>(m_hooks.now() - worker.clock_at);
}

WorkerTime Fleet::EarliestClock(const Worker& worker) const {
  const auto since = std::chrono::duration<double, std::milli>(m_hooks.now() - worker.clock_at);
  return *worker.clock + std::chrono::floor<milliseconds>(since * (1.0 - kWorkerClockDrift));
}

SteadyTime Fleet::LeaseExpiry(const Worker& worker) const {
  const SteadyTime earlier_end =
      std::max(worker.lease_end_without_clock, worker.misdirected_leases_end);
  if (!worker.clock) return earlier_end;
  const milliseconds left = std::max(milliseconds(0), worker.lease_sent - *worker.clock);
  return std::max(worker.clock_at + LongestLocalTime(left), earlier_end);
}

Order* Fleet::FindOrder(const Worker& worker, const TaskRef& task, std::uint64_t run) {
  for (Order* order : worker.orders) {
    const Step& step = *order->task->step;
    if (order->run == run && order->task->index == task.index && step.number == task.step &&
        step.occurrence == task.occurrence && step.job->spec.id() == task.job) {
      return order;
    }
  }
  return nullptr;
}

void Fleet::Tick() {
  const SteadyTime now = m_hooks.now();
  // No event of a worker adds or removes workers.
  for (const auto& [id, worker] : m_workers) TickWorker(worker.get(), now);
  AttachNext();
  if (m_unlisted > 0) EraseUnlisted();
}

// Forgets workers that have left and run nothing. One that returns under its id must reject calls
// from before, so the fencing token of workers added later is higher.
void Fleet::EraseUnlisted() {
  const std::size_t erased = std::erase_if(m_workers, [this](const auto& entry) {
    Worker& worker = *entry.second;
    const bool is_over = !worker.listed && worker.orders.empty() && worker.stray_runs.empty() &&
                         !worker.hold_in_flight && !worker.status_query_in_flight;
    if (!is_over) return false;
    m_unattached.erase(&worker);
    m_by_slot[worker.slot] = nullptr;
    --m_unlisted;
    return true;
  });
  if (erased > 0) ++m_fence;
}

bool Fleet::IsHoldDue(const Worker& worker, SteadyTime now) {
  return !worker.hold_in_flight && now >= worker.next_hold && !worker.gone &&
         (worker.listed || !worker.orders.empty() || !worker.stray_runs.empty()) &&
         !worker.description.address.empty();
}

Fleet::HoldBacklog Fleet::OverdueHolds() const {
  const SteadyTime now = m_hooks.now();
  HoldBacklog backlog;
  for (const auto& [id, worker] : m_workers) {
    // A hold is sent at the first tick after it has become due.
    const SteadyTime last_tick = now - kLeaderTick;
    if (!IsHoldDue(*worker, last_tick)) continue;
    ++backlog.workers;
    backlog.oldest =
        std::max(backlog.oldest, std::chrono::duration_cast<milliseconds>(now - worker->next_hold));
  }
  return backlog;
}

void Fleet::TickWorker(Worker* worker, SteadyTime now) {
  if (worker->attached && IsHoldDue(*worker, now)) SendHold(worker, false);
  if (worker->status_query_wanted && !worker->status_query_in_flight) SendHold(worker, true);
  const bool has_stray_runs = !worker->stray_runs.empty();
  if (has_stray_runs && worker->silent && now >= LeaseExpiry(*worker)) ClearStrayRuns(worker);
  if (worker->orders.empty()) return;
  if (worker->silent || !worker->attached) {
    if (now >= LeaseExpiry(*worker)) {
      for (Order* order : std::vector<Order*>(worker->orders)) {
        // Nothing was sent yet for an order that is still being stored.
        if (order->state == OrderState::kStoring || now < UnansweredStartEnd(*order)) continue;
        VoidOrder(order, VoidReason::kLeaseExpired);
      }
      return;
    }
  }
  // Sending a stop or a query ends no order.
  for (Order* order : worker->orders) {
    const bool is_sent =
        order->state == OrderState::kRunning || order->state == OrderState::kUnknown;
    const bool is_stopped = order->stopped_at && MayBeExecutedLater(*order);
    if (is_sent && order->stop_wanted && !order->stop_in_flight && !is_stopped &&
        now >= order->stop_retry_at) {
      SendStop(order);
    }
    // A run whose start got no reply is queried until the worker reports its state.
    const bool is_query_due = order->state == OrderState::kUnknown && worker->attached &&
                              !worker->status_query_in_flight &&
                              worker->heard < now - kHoldRetryMax && !MayBeExecutedLater(*order);
    if (is_query_due) SendHold(worker, true);
  }
}

}  // namespace citronsill
