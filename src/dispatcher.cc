#include "citronsill/dispatcher.h"

#include "citronsill/convert.h"
#include "internal.h"

namespace citronsill {
namespace {

constexpr std::chrono::milliseconds kSyncRetryPeriod{200};
constexpr std::chrono::milliseconds kUnresponsiveCheckPeriod{500};

// Added to the lease before a task on an unresponsive worker counts as stopped, because a renewal
// may have reached the worker as late as the deadline of its call.
constexpr std::chrono::milliseconds kLeaseMargin = kWorkerTimeout + std::chrono::milliseconds(3000);

}  // namespace

struct Dispatcher::Impl : std::enable_shared_from_this<Impl> {
  struct AssignedTask {
    bool confirmed = false;  // The worker confirmed that it started the task.
    bool given_up = false;   // Another attempt may have replaced it.
    SteadyTime renewed;      // When the last renewal was sent.
  };

  struct Worker {
    OwnedWorker owned;
    std::unique_ptr<WorkerLink> link;
    std::map<TaskKey, AssignedTask> tasks;  // Tasks whose leases are renewed.
    std::set<TaskKey> acknowledge;          // Ended tasks that the home has accepted.
    std::set<TaskKey> reported;             // Ended tasks reported to the home.
    std::uint64_t session = 0;              // Incremented with each attach.
    std::uint64_t incarnation = 0;
    bool attached = false;
    bool closed = false;
    bool sync_pending = false;  // A sync was sent since the last successful one.
    SteadyTime answer_due;      // The worker counts as unresponsive after this time.
  };

  Impl(Runtime& process_runtime, TimerService& timer_service, WorkerLinkFactory link_factory,
       const DispatcherOptions& dispatcher_options, DispatcherHooks dispatcher_hooks)
      : runtime(process_runtime),
        timers(timer_service),
        links(std::move(link_factory)),
        options(dispatcher_options),
        hooks(std::move(dispatcher_hooks)) {}

  Runtime& runtime;
  TimerService& timers;
  WorkerLinkFactory links;
  DispatcherOptions options;
  DispatcherHooks hooks;
  TimerId poll_timer;
  TimerId unresponsive_timer;
  mutable std::mutex mutex;
  std::unique_ptr<Engine> engine;
  std::map<std::string, std::shared_ptr<Worker>> workers;
  std::set<TaskKey> starting;  // Starts that the engine decided on, but that were not sent yet.

  static SteadyTime Now() { return std::chrono::steady_clock::now(); }

  // ---- Set of workers ----

  void SetWorkers(const std::vector<OwnedWorker>& wanted) {
    std::vector<std::shared_ptr<Worker>> added;
    std::vector<TaskEvent> released;
    {
      std::lock_guard lock(mutex);
      std::set<std::string> ids;
      for (const OwnedWorker& owned : wanted) {
        ids.insert(owned.id);
        if (auto worker = SetWorker(owned, released)) added.push_back(std::move(worker));
      }
      for (auto entry = workers.begin(); entry != workers.end();) {
        if (ids.contains(entry->first)) {
          ++entry;
          continue;
        }
        Release(*entry->second, released);
        entry = workers.erase(entry);
      }
    }
    if (!released.empty()) hooks.on_released(released);
    for (const auto& worker : added) Sync(worker);
  }

  // Requires the mutex. @returns the worker if it is new, else null.
  std::shared_ptr<Worker> SetWorker(const OwnedWorker& owned, std::vector<TaskEvent>& released) {
    if (auto found = workers.find(owned.id); found != workers.end()) {
      Worker& worker = *found->second;
      if (worker.owned.address == owned.address && worker.owned.epoch == owned.epoch) {
        worker.owned.leaving = owned.leaving;
        engine->SetAccepting(owned.id, IsAccepting(worker, Now()), Now());
        return nullptr;
      }
      Release(worker, released);
      workers.erase(found);
    }
    auto link = links(owned.address);
    if (!link) {
      spdlog::error("event=worker_address_rejected worker={} error=\"{}\"", owned.id,
                    Describe(link.error()));
      return nullptr;
    }
    auto worker = std::make_shared<Worker>();
    worker->owned = owned;
    worker->link = std::move(link).value();
    worker->answer_due = Now() + options.unreachable_after;
    workers[owned.id] = worker;
    return worker;
  }

  // Requires the mutex. @returns the tasks that the engine had placed on the worker.
  std::vector<TaskKey> Close(Worker& worker) {
    worker.closed = true;
    return engine->RemoveWorker(worker.owned.id, Now());
  }

  // Requires the mutex.
  void Release(Worker& worker, std::vector<TaskEvent>& released) {
    for (const TaskKey& task : Close(worker)) released.push_back(MakeEvent(worker, task));
  }

  void RemoveWorker(const std::string& id) {
    std::vector<TaskEvent> events;
    std::shared_ptr<Worker> worker;
    {
      std::lock_guard lock(mutex);
      const auto found = workers.find(id);
      if (found == workers.end()) return;
      worker = found->second;
      workers.erase(found);
      for (const TaskKey& task : Close(*worker)) {
        const auto job = hooks.find_job(task.request_id);
        TaskEvent event = MakeEvent(*worker, task);
        event.ended = true;
        event.outcome = TaskOutcome::kLost;
        event.will_retry = job && job->idempotent;
        if (event.will_retry) engine->Requeue(task, Now());
        events.push_back(std::move(event));
      }
    }
    spdlog::warn("event=worker_removed worker={} tasks={}", id, events.size());
    for (const TaskEvent& event : events) hooks.on_event(event, [] {});
    Poll();
  }

  bool IsAccepting(const Worker& worker, SteadyTime now) const {
    return worker.attached && !worker.closed && !worker.owned.leaving && now < worker.answer_due;
  }

  static TaskEvent MakeEvent(const Worker& worker, const TaskKey& task) {
    TaskEvent event;
    event.task = task;
    event.worker = worker.owned.id;
    event.worker_incarnation = worker.incarnation;
    return event;
  }

  // ---- Sync with a worker ----

  void Sync(const std::shared_ptr<Worker>& worker) {
    schema::WorkerSync sync;
    std::chrono::milliseconds wait{0};
    {
      std::lock_guard lock(mutex);
      if (worker->closed) return;
      if (worker->attached) wait = worker->tasks.empty() ? options.idle_wait : options.sync_wait;
      if (!worker->sync_pending) {
        worker->sync_pending = true;
        worker->answer_due = Now() + wait + options.unreachable_after;
      }
      sync.set_epoch(worker->owned.epoch);
      sync.set_owner(options.instance);
      sync.set_attach(!worker->attached);
      if (sync.attach()) ++worker->session;
      sync.set_session(worker->session);
      // An attach renews no leases, so that they certainly lapse on a worker that does not answer.
      if (!sync.attach()) AddRenewals(*worker, &sync);
      for (const TaskKey& task : worker->acknowledge) *sync.add_acknowledge() = ToRef(task);
    }
    SetDuration(options.task_lease, sync.mutable_lease());
    SetDuration(wait, sync.mutable_wait());
    worker->link->Sync(
        sync, [self = shared_from_this(), worker, sync](Result<schema::WorkerSyncResult> result) {
          self->OnSynced(worker, sync, result);
        });
  }

  // Requires the mutex.
  static void AddRenewals(Worker& worker, schema::WorkerSync* sync) {
    const SteadyTime now = Now();
    for (auto& [task, assigned] : worker.tasks) {
      if (assigned.given_up) continue;
      assigned.renewed = now;
      *sync->add_renew() = ToRef(task);
    }
  }

  void OnSynced(const std::shared_ptr<Worker>& worker, const schema::WorkerSync& sync,
                const Result<schema::WorkerSyncResult>& result) {
    if (result && result.value().code() == schema::CODE_STALE_EPOCH) {
      spdlog::warn("event=worker_stale_epoch worker={} epoch={} highest={}", worker->owned.id,
                   sync.epoch(), result.value().epoch());
      hooks.on_stale_epoch(worker->owned.id);
      return;
    }
    if (!result || result.value().code() != schema::CODE_OK) return OnSyncFailed(worker);
    std::vector<TaskEvent> events;
    {
      std::lock_guard lock(mutex);
      if (worker->closed) return;
      worker->sync_pending = false;
      worker->answer_due = Now() + options.unreachable_after;
      worker->owned.leaving = worker->owned.leaving || result.value().leaving();
      if (sync.attach()) Attach(*worker, result.value(), events);
      for (const schema::TaskRef& ref : sync.acknowledge()) {
        worker->acknowledge.erase(ToKey(ref));
        worker->reported.erase(ToKey(ref));
      }
      for (const schema::TaskReport& report : result.value().tasks()) {
        HandleReport(*worker, report, events);
      }
      engine->SetAccepting(worker->owned.id, IsAccepting(*worker, Now()), Now());
    }
    for (const TaskEvent& event : events) Report(worker, event);
    Poll();
    Sync(worker);
  }

  void OnSyncFailed(const std::shared_ptr<Worker>& worker) {
    {
      std::lock_guard lock(mutex);
      if (worker->closed) return;
      worker->attached = false;  // Reports may have been lost; an attach requests all of them.
      engine->SetAccepting(worker->owned.id, false, Now());
    }
    timers.After(kSyncRetryPeriod,
                 [self = shared_from_this(), worker](SteadyTime) { self->Sync(worker); });
  }

  // Requires the mutex.
  void Attach(Worker& worker, const schema::WorkerSyncResult& result,
              std::vector<TaskEvent>& events) {
    const bool restarted = worker.incarnation != 0 && worker.incarnation != result.incarnation();
    worker.attached = true;
    worker.incarnation = result.incarnation();
    worker.reported.clear();
    WorkerSpec spec;
    spec.id = worker.owned.id;
    spec.rack = result.info().rack();
    spec.failure_domain = result.info().failure_domain();
    spec.capacity = ToResources(result.info().capacity());
    spec.slots = result.info().slots();
    engine->PutWorker(spec, Now());
    std::set<TaskKey> known;
    for (const schema::TaskReport& report : result.tasks()) {
      known.insert(ToKey(report.task()));
      if (report.end() == schema::TASK_END_NONE) Adopt(worker, report, events);
    }
    EndUnknownTasks(worker, known, restarted, events);
  }

  // Requires the mutex.
  void Adopt(Worker& worker, const schema::TaskReport& report, std::vector<TaskEvent>& events) {
    const TaskKey task = ToKey(report.task());
    JobSpec job;
    job.id = task.request_id;
    job.size = ToResources(report.size());
    engine->AdoptTask(job, task, worker.owned.id, Now());
    auto [found, added] = worker.tasks.try_emplace(task);
    found->second.confirmed = true;
    found->second.renewed = Now();
    events.push_back(MakeEvent(worker, task));
  }

  // Ends the tasks that the worker does not know. They were never started, as starts of earlier
  // sessions are rejected; they lapsed, if the worker had confirmed the start; or they were lost
  // when it restarted. Requires the mutex.
  void EndUnknownTasks(Worker& worker, const std::set<TaskKey>& known, bool restarted,
                       std::vector<TaskEvent>& events) {
    for (auto entry = worker.tasks.begin(); entry != worker.tasks.end();) {
      if (known.contains(entry->first)) {
        ++entry;
        continue;
      }
      TaskEvent event = MakeEvent(worker, entry->first);
      event.ended = true;
      const bool started = restarted || entry->second.confirmed;
      event.outcome = started ? TaskOutcome::kLapsed : TaskOutcome::kNotStarted;
      if (restarted) event.outcome = TaskOutcome::kLost;
      // The worker does not run the task in any of these cases, so its resources are free.
      event.will_retry =
          engine->OnEnded(event.task, restarted ? TaskOutcome::kLapsed : event.outcome, Now());
      events.push_back(std::move(event));
      entry = worker.tasks.erase(entry);
    }
  }

  // Requires the mutex.
  void HandleReport(Worker& worker, const schema::TaskReport& report,
                    std::vector<TaskEvent>& events) {
    const TaskKey task = ToKey(report.task());
    if (report.end() == schema::TASK_END_NONE) {
      engine->OnUsage(task, ToResources(report.used()), Now());
      return;
    }
    worker.tasks.erase(task);
    if (!worker.reported.insert(task).second) return;
    TaskEvent event = MakeEvent(worker, task);
    event.ended = true;
    event.outcome = ToOutcome(report.end());
    event.result = report.result();
    event.will_retry = engine->OnEnded(event.task, event.outcome, Now());
    events.push_back(std::move(event));
  }

  void Report(const std::shared_ptr<Worker>& worker, const TaskEvent& event) {
    hooks.on_event(event, [weak = weak_from_this(), worker, event] {
      auto self = weak.lock();
      if (!self || !event.ended) return;
      std::lock_guard lock(self->mutex);
      worker->acknowledge.insert(event.task);
    });
  }

  // ---- Unresponsive workers ----

  void CheckUnresponsive(SteadyTime now) {
    std::vector<TaskEvent> events;
    {
      std::lock_guard lock(mutex);
      for (const auto& [id, worker] : workers) {
        if (now < worker->answer_due) continue;
        engine->SetAccepting(id, false, now);
        GiveUpTasks(*worker, now, events);
      }
    }
    for (const TaskEvent& event : events) hooks.on_event(event, [] {});
    if (!events.empty()) Poll();
  }

  // Requires the mutex.
  void GiveUpTasks(Worker& worker, SteadyTime now, std::vector<TaskEvent>& events) {
    for (auto& [task, assigned] : worker.tasks) {
      if (assigned.given_up) continue;
      const auto job = hooks.find_job(task.request_id);
      if (!job || !job->idempotent)
        continue;  // The outcome stays unknown until the worker answers.
      const bool lapsed = now - assigned.renewed > options.task_lease + kLeaseMargin;
      const bool immediately = job->interactive && !job->exclusive;
      if (!lapsed && !immediately) continue;
      assigned.given_up = true;
      TaskEvent event = MakeEvent(worker, task);
      event.ended = true;
      event.outcome = lapsed ? TaskOutcome::kLapsed : TaskOutcome::kLost;
      // The attempt can end in the engine: nothing is placed on the worker before it attaches
      // again, and its tasks are adopted then.
      event.will_retry = engine->OnEnded(task, TaskOutcome::kLapsed, now);
      events.push_back(std::move(event));
    }
  }

  // ---- Actions ----

  void Poll() {
    std::vector<Action> actions;
    {
      std::lock_guard lock(mutex);
      actions = engine->Poll(Now());
      for (const Action& action : actions) {
        if (action.kind == ActionKind::kStart) starting.insert(action.task);
      }
    }
    for (const Action& action : actions) Execute(action);
  }

  void Execute(const Action& action) {
    switch (action.kind) {
      case ActionKind::kStart:
        PrepareStart(action);
        break;
      case ActionKind::kGiveUp:
        hooks.on_give_up(action);
        break;
      case ActionKind::kStop:
        Control(action, "stop");
        break;
      case ActionKind::kThrottle:
        Control(action, "throttle");
        break;
      case ActionKind::kCheckpoint:
        Control(action, "checkpoint");
        break;
    }
  }

  void PrepareStart(const Action& action) {
    const auto worker = FindWorker(action.worker);
    if (!worker) return AbortStart(action, "the worker is no longer owned");
    std::uint64_t incarnation = 0;
    {
      std::lock_guard lock(mutex);
      incarnation = worker->incarnation;
    }
    hooks.before_start(action, incarnation, [self = shared_from_this(), action](bool proceed) {
      if (proceed) {
        self->Start(action);
      } else {
        self->AbortStart(action, "the start was not recorded");
      }
    });
  }

  std::shared_ptr<Worker> FindWorker(const std::string& id) {
    std::lock_guard lock(mutex);
    const auto found = workers.find(id);
    return found == workers.end() ? nullptr : found->second;
  }

  void Start(const Action& action) {
    const auto worker = FindWorker(action.worker);
    const auto job = hooks.find_job(action.task.request_id);
    if (!worker || !job) return AbortStart(action, "the worker or the request is no longer owned");
    if (action.latest_start && *action.latest_start <= Now() + std::chrono::milliseconds(1)) {
      return AbortStart(action, "the latest start has passed");
    }
    schema::WorkerStart start;
    {
      std::unique_lock lock(mutex);
      // An attach in progress may reach the worker before the start, and would then report that the
      // task was never started.
      if (!worker->attached || worker->closed) {
        lock.unlock();
        return AbortStart(action, "the worker is not attached");
      }
      starting.erase(action.task);
      worker->tasks[action.task].renewed = Now();
      start.set_epoch(worker->owned.epoch);
      start.set_session(worker->session);
    }
    *start.mutable_task() = ToRef(action.task);
    SetResources(action.size, start.mutable_size());
    start.set_payload(job->request->payload());
    start.set_work_class(job->request->work_class());
    *start.mutable_run_time() = job->request->run_time();
    SetDuration(options.task_lease, start.mutable_lease());
    if (action.latest_start) {
      SetDuration(
          std::chrono::duration_cast<std::chrono::milliseconds>(*action.latest_start - Now()),
          start.mutable_start_within());
    }
    worker->link->Start(
        start, [self = shared_from_this(), worker, action](Result<schema::WorkerResult> result) {
          self->OnStarted(worker, action, result);
        });
  }

  void OnStarted(const std::shared_ptr<Worker>& worker, const Action& action,
                 const Result<schema::WorkerResult>& result) {
    std::unique_lock lock(mutex);
    const auto found = worker->tasks.find(action.task);
    if (found == worker->tasks.end()) return;  // The worker reported its end first.
    if (!result) {
      worker->attached = false;  // The task may be running; an attach finds out.
      engine->SetAccepting(worker->owned.id, false, Now());
      return;
    }
    if (result.value().code() == schema::CODE_OK) {
      found->second.confirmed = true;
      engine->OnStarted(action.task, Now());
      return;
    }
    worker->tasks.erase(found);
    lock.unlock();
    spdlog::warn("event=start_rejected request={} worker={} code={} reason=\"{}\"",
                 action.task.request_id, action.worker, static_cast<int>(result.value().code()),
                 result.value().message());
    AbortStart(action, result.value().message());
    if (result.value().code() == schema::CODE_STALE_EPOCH) hooks.on_stale_epoch(action.worker);
  }

  // Ends an attempt that was certainly not started.
  void AbortStart(const Action& action, const std::string& reason) {
    TaskEvent event;
    event.task = action.task;
    event.worker = action.worker;
    event.ended = true;
    event.outcome = TaskOutcome::kNotStarted;
    event.result = reason;
    {
      std::lock_guard lock(mutex);
      starting.erase(action.task);
      event.will_retry = engine->OnEnded(event.task, event.outcome, Now());
    }
    hooks.on_event(event, [] {});
    runtime.Post([self = shared_from_this()] { self->Poll(); });
  }

  void Control(const Action& action, const std::string& operation) {
    const auto worker = FindWorker(action.worker);
    if (!worker) return;
    schema::WorkerControl control;
    control.set_epoch(worker->owned.epoch);
    control.set_operation(operation);
    *control.mutable_task() = ToRef(action.task);
    worker->link->Control(control, [](Result<schema::WorkerResult>) {});
  }

  // ---- Queries ----

  TaskKnowledge Query(const TaskKey& task, const std::string& worker,
                      std::uint64_t incarnation) const {
    std::lock_guard lock(mutex);
    if (starting.contains(task)) return TaskKnowledge::kRunning;
    if (worker.empty()) return QueryAllWorkers(task);
    const auto found = workers.find(worker);
    if (found == workers.end()) return TaskKnowledge::kUnknown;
    return QueryWorker(*found->second, task, incarnation);
  }

  // Requires the mutex.
  static TaskKnowledge QueryWorker(const Worker& worker, const TaskKey& task,
                                   std::uint64_t incarnation) {
    if (worker.tasks.contains(task)) return TaskKnowledge::kRunning;
    if (worker.reported.contains(task)) return TaskKnowledge::kEnded;
    if (!worker.attached) return TaskKnowledge::kUnknown;
    if (incarnation != 0 && incarnation != worker.incarnation) return TaskKnowledge::kLost;
    return TaskKnowledge::kNeverStarted;
  }

  // Requires the mutex.
  TaskKnowledge QueryAllWorkers(const TaskKey& task) const {
    TaskKnowledge known = TaskKnowledge::kNeverStarted;
    for (const auto& [id, worker] : workers) {
      const TaskKnowledge state = QueryWorker(*worker, task, 0);
      if (state == TaskKnowledge::kRunning || state == TaskKnowledge::kEnded) return state;
      if (state == TaskKnowledge::kUnknown) known = state;
    }
    return known;
  }
};

Result<std::unique_ptr<Dispatcher>> Dispatcher::Create(Runtime& runtime, TimerService& timers,
                                                       WorkerLinkFactory links,
                                                       const DispatcherOptions& options,
                                                       const EngineOptions& engine_options,
                                                       DispatcherHooks hooks) {
  auto impl = std::make_shared<Impl>(runtime, timers, std::move(links), options, std::move(hooks));
  BOOST_OUTCOME_TRY(impl->engine, Engine::Create(engine_options));
  impl->poll_timer = timers.Every(kDispatchPeriod, [weak = std::weak_ptr(impl)](SteadyTime) {
    if (auto self = weak.lock()) self->Poll();
  });
  impl->unresponsive_timer =
      timers.Every(kUnresponsiveCheckPeriod, [weak = std::weak_ptr(impl)](SteadyTime now) {
        if (auto self = weak.lock()) self->CheckUnresponsive(now);
      });
  return std::unique_ptr<Dispatcher>(new Dispatcher(std::move(impl)));
}

Dispatcher::Dispatcher(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Dispatcher::~Dispatcher() {
  m_impl->timers.Cancel(m_impl->poll_timer);
  m_impl->timers.Cancel(m_impl->unresponsive_timer);
}

void Dispatcher::SetWorkers(const std::vector<OwnedWorker>& workers) {
  m_impl->SetWorkers(workers);
}

void Dispatcher::RemoveWorker(const std::string& worker) { m_impl->RemoveWorker(worker); }

void Dispatcher::SetLargestPeerWorkers(std::vector<Resources> largest) {
  std::lock_guard lock(m_impl->mutex);
  m_impl->engine->SetLargestPeerWorkers(std::move(largest));
}

void Dispatcher::SetQuota(const std::string& team, const Resources& quota) {
  std::lock_guard lock(m_impl->mutex);
  m_impl->engine->SetQuota(team, quota);
}

Admission Dispatcher::Submit(const JobSpec& job) {
  Admission admission;
  {
    std::lock_guard lock(m_impl->mutex);
    admission = m_impl->engine->Submit(job, Impl::Now());
  }
  if (admission.code == schema::CODE_OK) m_impl->runtime.Post([impl = m_impl] { impl->Poll(); });
  return admission;
}

bool Dispatcher::Cancel(const std::string& job) {
  bool known = false;
  {
    std::lock_guard lock(m_impl->mutex);
    known = m_impl->engine->Cancel(job, Impl::Now());
  }
  m_impl->runtime.Post([impl = m_impl] { impl->Poll(); });
  return known;
}

std::vector<JobSpec> Dispatcher::WithdrawWaiting(std::size_t max) {
  std::lock_guard lock(m_impl->mutex);
  std::vector<JobSpec> tasks = m_impl->engine->WaitingTasks(max, Impl::Now());
  std::erase_if(tasks, [&](const JobSpec& job) {
    return !m_impl->engine->Withdraw({job.id, job.first_index, job.first_attempt}, Impl::Now());
  });
  return tasks;
}

TaskKnowledge Dispatcher::Query(const TaskKey& task, const std::string& worker,
                                std::uint64_t worker_incarnation) const {
  return m_impl->Query(task, worker, worker_incarnation);
}

EngineStats Dispatcher::Stats() const {
  std::lock_guard lock(m_impl->mutex);
  return m_impl->engine->Stats();
}

}  // namespace citronsill
