// The part of the scheduler that learns the speeds of workers and finds runs that stand still.
#include <algorithm>
#include <vector>

#include "cell/limits.h"
#include "cell/log.h"
#include "cell/scheduler.h"

namespace citronsill {
namespace {

WorkerSpeeds::WorkerKey KeyOf(const Worker& worker) { return {worker.slot, worker.incarnation}; }

// @returns whether the runs of the step that have ended represent it. Those that end first are the
// short ones, so that compared with these alone all others would seem to be on slow workers.
bool AreRepresentative(const Step& step) {
  return std::size_t{step.done_count} * 4 >= step.tasks.size() * 3;
}

}  // namespace

double Scheduler::SpeedOn(const Worker& worker) const { return m_speeds.SpeedOf(KeyOf(worker)); }

milliseconds Scheduler::ExpectedRunOn(const Step& step, const Worker& worker) const {
  return AtSpeed(ExpectedRun(step), SpeedOn(worker));
}

// A gang ends when its slowest member does; the others hold their room until then.
SteadyTime Scheduler::ExpectedGangEnd(Step* step) const {
  const SteadyTime now = m_hooks.now();
  if (now < step->gang_end_until) return std::max(now, step->gang_end);
  step->gang_end_until = now + kGangEndPeriod;
  step->gang_end = now;
  for (const Task& member : step->tasks) {
    for (const Order* order : member.orders) {
      step->gang_end = std::max(step->gang_end, ExpectedRunEnd(*order));
    }
  }
  return step->gang_end;
}

// Learns from a run that succeeded how long tasks of its step take on a worker of usual speed.
void Scheduler::LearnRunTime(const Order& order) {
  Step* step = order.task->step;
  const auto actual = std::chrono::duration_cast<milliseconds>(m_hooks.now() - order.running_since);
  double speed = SpeedOn(*order.worker);
  // A gang ends when its slowest member does.
  if (step->spec->gang()) {
    for (const Task& member : step->tasks) {
      for (const Order* other : member.orders) speed = std::min(speed, SpeedOn(*other->worker));
    }
  }
  const auto normal = static_cast<double>(actual.count()) * speed;
  m_queues[step->job->spec.queue().name()].run_times.Add(
      milliseconds(static_cast<std::int64_t>(normal)), EstimateOf(*step->spec));
  // The end of a gang does not tell which member was slow, and that of a resumed run not how much
  // of the task it ran.
  if (step->spec->gang() || order.resumed || order.earlier_term) return;
  step->runs.Add(KeyOf(*order.worker), actual, speed);
}

// Learns the speeds of workers from the runs of a step of which most tasks have ended.
void Scheduler::LearnSpeeds(Step* step) {
  const auto runs = step->runs.Runs().subspan(step->runs_used);
  if (runs.empty() || !AreRepresentative(*step)) return;
  const milliseconds reference = step->runs.Reference(ExpectedRun(*step));
  for (const StepRuns::Run& run : runs) {
    LogSpeed(run.worker, m_speeds.Add(run.worker, run.actual, reference));
  }
  step->runs_used += runs.size();
}

void Scheduler::LogSpeed(WorkerSpeeds::WorkerKey key, const WorkerSpeeds::Change& change) {
  if (!change.IsLarge()) return;
  const SteadyTime now = m_hooks.now();
  if (now >= m_speed_lines_since + kSpeedLinesPeriod) {
    m_speed_lines_since = now;
    m_speed_lines = 0;
  }
  if (m_speed_lines >= kMaxSpeedLines) return;
  const auto& workers = m_fleet.BySlot();
  const Worker* worker = key.slot < workers.size() ? workers[key.slot] : nullptr;
  if (worker == nullptr) return;
  ++m_speed_lines;
  Log(LogLevel::kInfo, "worker-speed")
      .Field("worker", worker->description.id)
      .Field("before_percent", static_cast<int>(change.before * 100))
      .Field("percent", static_cast<int>(change.after * 100))
      .Field("runs", change.runs)
      .Field("slow_workers", m_speeds.SlowWorkers())
      .Field("fast_workers", m_speeds.FastWorkers());
}

const Scheduler::GangProgress& Scheduler::ProgressOf(const Step& step, GangProgressByStep* known) {
  const auto [found, is_new] = known->try_emplace(&step);
  GangProgress& gang = found->second;
  if (!is_new) return gang;
  for (const Task& member : step.tasks) {
    const Order* order = member.orders.empty() ? nullptr : member.orders.front();
    if (order == nullptr || order->state != OrderState::kRunning) {
      gang.is_complete = false;
      return gang;
    }
    gang.all_worked &= order->percent >= 100;
    gang.complete_since = std::max(gang.complete_since, order->running_since);
  }
  return gang;
}

RunProgress Scheduler::ProgressOf(const Order& order, GangProgressByStep* gangs) const {
  const Step& step = *order.task->step;
  const SteadyTime now = m_hooks.now();
  const auto since = [](SteadyTime from, SteadyTime to) {
    return std::chrono::duration_cast<milliseconds>(std::max(to, from) - from);
  };
  SteadyTime began = order.running_since;
  RunProgress progress;
  if (step.spec->gang()) {
    // Members that have done their own work wait at 100 percent for the slowest one.
    const GangProgress& gang = ProgressOf(step, gangs);
    progress.waits_for_gang = !gang.is_complete || (order.percent >= 100 && !gang.all_worked);
    began = std::max(began, gang.complete_since);
    if (order.task->checkpoint.empty()) progress.gang_loss = since(began, order.advanced);
  }
  progress.still = since(std::max(began, order.advanced), now);
  progress.advanced = since(began, order.percent_changed);
  progress.percent = order.percent - order.first_percent;
  progress.expected = ExpectedRunOn(step, *order.worker);
  progress.stalls = order.task->stalls;
  return progress;
}

// Stops runs that make no progress, so that they are tried on another worker, if there is one.
// Guards against workers that accept tasks and answer calls, but whose tasks make no progress.
void Scheduler::CheckStalled(SteadyTime now) {
  if (now < m_next_stall_check) return;
  m_next_stall_check = now + kStallCheckPeriod;
  const auto& by_slot = m_fleet.BySlot();
  m_speeds.ForgetUnless(
      [&](std::uint32_t slot) { return slot < by_slot.size() && by_slot[slot] != nullptr; });
  GangProgressByStep gangs;
  for (const auto& [id, worker] : m_fleet.Workers()) {
    if (!worker->silent && worker->attached) CheckStalledOn(worker.get(), &gangs);
  }
}

void Scheduler::CheckStalledOn(Worker* worker, GangProgressByStep* gangs) {
  const SteadyTime now = m_hooks.now();
  std::vector<Order*> orders;
  std::vector<RunProgress> runs;
  for (Order* order : worker->orders) {
    const Step& step = *order->task->step;
    if (order->state != OrderState::kRunning || order->stop_wanted) continue;
    if (step.spec->long_running() || step.job->IsFinal()) continue;
    if (order->advanced + kStalledTogetherAfter > now) continue;
    orders.push_back(order);
    runs.push_back(ProgressOf(*order, gangs));
  }
  if (runs.empty()) return;
  const StallVerdict verdict = FindStalled(runs);
  // Runs that would lose much are given time to go on, but nothing new is started beside them.
  if (verdict.is_worker_stalled && worker->avoided_until <= now &&
      HasOtherWorker(*orders.front()->task->step, *worker)) {
    worker->avoided_until = now + kStalledAvoidPeriod;
    Log(LogLevel::kWarn, "worker-avoided")
        .Field("worker", worker->description.id)
        .Field("reason", "stalled")
        .Field("runs", runs.size())
        .Field("for_ms", kStalledAvoidPeriod);
  }
  // A stop is only sent here; it ends no order before its answer.
  for (const std::size_t index : verdict.stalled) {
    if (!HasOtherWorker(*orders[index]->task->step, *worker)) continue;
    StopStalled(orders[index], runs[index], verdict.is_worker_stalled);
  }
}

// The worker is avoided by all tasks for some time; after a single member of a gang, only by that
// member.
void Scheduler::StopStalled(Order* order, const RunProgress& progress, bool is_worker_stalled) {
  const SteadyTime now = m_hooks.now();
  Task* task = order->task;
  Worker* worker = order->worker;
  Log(LogLevel::kWarn, "run-stalled")
      .Field("task", task->step->Ref(task->index))
      .Field("run", order->run)
      .Field("worker", worker->description.id)
      .Field("percent", order->percent)
      .Field("stalls", ++task->stalls)
      .Field("worker_stalled", is_worker_stalled)
      .Field("ran_ms", progress.advanced)
      .Field("for_ms", progress.still);
  AvoidWorker(task, *worker);
  if (!task->step->spec->gang() || is_worker_stalled) {
    worker->avoided_until = std::max(worker->avoided_until, now + kStalledAvoidPeriod);
  }
  m_fleet.Stop(order);
}

}  // namespace citronsill
