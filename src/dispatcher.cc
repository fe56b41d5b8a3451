#include "citronsill/dispatcher.h"

#include "internal.h"

namespace citronsill {
namespace {

// A worker that has not answered for this long gets no new work.
constexpr std::chrono::milliseconds kUnreachableAfter{3000};
constexpr std::chrono::milliseconds kSyncRetryPeriod{200};

schema::TaskRef ToRef(const TaskKey& task) {
  schema::TaskRef ref;
  ref.set_request_id(task.request_id);
  ref.set_index(task.index);
  ref.set_attempt(task.attempt);
  return ref;
}

TaskKey ToKey(const schema::TaskRef& ref) { return {ref.request_id(), ref.index(), ref.attempt()}; }

Resources ToResources(const schema::Resources& resources) {
  return {static_cast<std::int64_t>(resources.processors() * 1000.0),
          static_cast<std::int64_t>(resources.memory_mb()),
          static_cast<std::int64_t>(resources.accelerators())};
}

void SetResources(const Resources& resources, schema::Resources* message) {
  message->set_processors(static_cast<double>(resources.processors_milli) / 1000.0);
  message->set_memory_mb(static_cast<std::uint64_t>(resources.memory_mb));
  message->set_accelerators(static_cast<std::uint32_t>(resources.accelerators));
}

TaskOutcome ToOutcome(schema::TaskEnd end) {
  switch (end) {
    case schema::TASK_END_SUCCEEDED:
      return TaskOutcome::kSucceeded;
    case schema::TASK_END_STOPPED:
      return TaskOutcome::kStopped;
    case schema::TASK_END_LAPSED:
      return TaskOutcome::kLapsed;
    default:
      return TaskOutcome::kFailed;
  }
}

}  // namespace

struct Dispatcher::Impl : std::enable_shared_from_this<Impl> {
  struct Worker {
    OwnedWorker owned;
    std::unique_ptr<WorkerLink> link;
    std::set<TaskKey> tasks;        // Started or found running; their leases are renewed.
    std::set<TaskKey> acknowledge;  // Ends that the home has taken.
    std::set<TaskKey> reported;     // Ends handed to the home.
    bool attached = false;
    bool closed = false;
    SteadyTime last_answer;
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
  mutable std::mutex mutex;
  std::unique_ptr<Engine> engine;
  std::map<std::string, std::shared_ptr<Worker>> workers;

  static SteadyTime Now() { return std::chrono::steady_clock::now(); }

  void SetWorkers(const std::vector<OwnedWorker>& wanted) {
    std::vector<std::shared_ptr<Worker>> added;
    {
      std::lock_guard lock(mutex);
      std::set<std::string> ids;
      for (const OwnedWorker& owned : wanted) {
        ids.insert(owned.id);
        if (auto worker = SetWorker(owned)) added.push_back(std::move(worker));
      }
      for (auto entry = workers.begin(); entry != workers.end();) {
        if (ids.contains(entry->first)) {
          ++entry;
          continue;
        }
        Close(*entry->second);
        entry = workers.erase(entry);
      }
    }
    for (const auto& worker : added) Sync(worker);
  }

  // Requires the mutex. @returns the worker if it is new.
  std::shared_ptr<Worker> SetWorker(const OwnedWorker& owned) {
    if (auto found = workers.find(owned.id); found != workers.end()) {
      Worker& worker = *found->second;
      if (worker.owned.address == owned.address && worker.owned.epoch == owned.epoch) {
        worker.owned.leaving = owned.leaving;
        engine->SetAccepting(owned.id, IsAccepting(worker, Now()), Now());
        return nullptr;
      }
      Close(worker);
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
    worker->last_answer = Now();
    workers[owned.id] = worker;
    return worker;
  }

  // Requires the mutex.
  void Close(Worker& worker) {
    worker.closed = true;
    engine->RemoveWorker(worker.owned.id, Now());
  }

  static bool IsAccepting(const Worker& worker, SteadyTime now) {
    return worker.attached && !worker.closed && !worker.owned.leaving &&
           now - worker.last_answer < kUnreachableAfter;
  }

  void Sync(const std::shared_ptr<Worker>& worker) {
    schema::WorkerSync sync;
    {
      std::lock_guard lock(mutex);
      if (worker->closed) return;
      sync.set_epoch(worker->owned.epoch);
      sync.set_owner(options.instance);
      sync.set_attach(!worker->attached);
      for (const TaskKey& task : worker->tasks) *sync.add_renew() = ToRef(task);
      for (const TaskKey& task : worker->acknowledge) *sync.add_acknowledge() = ToRef(task);
    }
    SetDuration(options.task_lease, sync.mutable_lease());
    SetDuration(sync.attach() ? std::chrono::milliseconds(0) : options.sync_wait,
                sync.mutable_wait());
    worker->link->Sync(
        sync, [self = shared_from_this(), worker, sync](Result<schema::WorkerSyncResult> result) {
          self->OnSynced(worker, sync, result);
        });
  }

  void OnSynced(const std::shared_ptr<Worker>& worker, const schema::WorkerSync& sync,
                const Result<schema::WorkerSyncResult>& result) {
    if (!result || (result.value().code() != schema::CODE_OK &&
                    result.value().code() != schema::CODE_STALE_EPOCH)) {
      OnSyncFailed(worker);
      return;
    }
    if (result.value().code() == schema::CODE_STALE_EPOCH) {
      spdlog::warn("event=worker_stale_epoch worker={} epoch={} highest={}", worker->owned.id,
                   sync.epoch(), result.value().epoch());
      hooks.on_stale_epoch(worker->owned.id);
      return;
    }
    std::vector<TaskEvent> events;
    {
      std::lock_guard lock(mutex);
      if (worker->closed) return;
      worker->last_answer = Now();
      if (sync.attach()) Attach(*worker, result.value());
      worker->owned.leaving = worker->owned.leaving || result.value().leaving();
      for (const schema::TaskRef& ref : sync.acknowledge()) {
        worker->acknowledge.erase(ToKey(ref));
        worker->reported.erase(ToKey(ref));
      }
      for (const schema::TaskReport& report : result.value().tasks()) {
        if (auto event = TakeReport(*worker, report)) events.push_back(std::move(*event));
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
      worker->attached = false;  // Reports may have been lost; attaching asks for all of them.
      engine->SetAccepting(worker->owned.id, false, Now());
    }
    timers.After(kSyncRetryPeriod,
                 [self = shared_from_this(), worker](SteadyTime) { self->Sync(worker); });
  }

  // Requires the mutex.
  void Attach(Worker& worker, const schema::WorkerSyncResult& result) {
    worker.attached = true;
    WorkerSpec spec;
    spec.id = worker.owned.id;
    spec.rack = result.info().rack();
    spec.failure_domain = result.info().failure_domain();
    spec.capacity = ToResources(result.info().capacity());
    spec.slots = result.info().slots();
    engine->PutWorker(spec, Now());
    worker.reported.clear();
    for (const schema::TaskReport& report : result.tasks()) {
      if (report.end() != schema::TASK_END_NONE) continue;
      JobSpec job;
      job.id = report.task().request_id();
      job.size = ToResources(report.size());
      engine->AdoptTask(job, ToKey(report.task()), worker.owned.id, Now());
      worker.tasks.insert(ToKey(report.task()));
    }
  }

  // Requires the mutex.
  std::optional<TaskEvent> TakeReport(Worker& worker, const schema::TaskReport& report) {
    const TaskKey task = ToKey(report.task());
    if (report.end() == schema::TASK_END_NONE) {
      engine->OnUsage(task, ToResources(report.used()), Now());
      return std::nullopt;
    }
    worker.tasks.erase(task);
    if (!worker.reported.insert(task).second) return std::nullopt;
    TaskEvent event;
    event.task = task;
    event.worker = worker.owned.id;
    event.ended = true;
    event.outcome = ToOutcome(report.end());
    event.result = report.result();
    EndInEngine(event);
    return event;
  }

  // Requires the mutex.
  void EndInEngine(TaskEvent& event) {
    event.again = engine->OnEnded(event.task, event.outcome, Now());
  }

  void Report(const std::shared_ptr<Worker>& worker, const TaskEvent& event) {
    hooks.on_event(event, [weak = weak_from_this(), worker, task = event.task] {
      if (auto self = weak.lock()) {
        std::lock_guard lock(self->mutex);
        worker->acknowledge.insert(task);
      }
    });
  }

  void Poll() {
    std::vector<Action> actions;
    {
      std::lock_guard lock(mutex);
      actions = engine->Poll(Now());
    }
    for (const Action& action : actions) CarryOut(action);
  }

  void CarryOut(const Action& action) {
    switch (action.kind) {
      case ActionKind::kStart:
        hooks.before_start(action, [self = shared_from_this(), action](bool go) {
          if (go) {
            self->Start(action);
          } else {
            self->EndStart(action, TaskOutcome::kNotStarted, "");
          }
        });
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

  std::shared_ptr<Worker> FindWorker(const std::string& id) {
    std::lock_guard lock(mutex);
    const auto found = workers.find(id);
    return found == workers.end() ? nullptr : found->second;
  }

  void Start(const Action& action) {
    const auto worker = FindWorker(action.worker);
    const auto request = hooks.find_request(action.task.request_id);
    if (!worker || !request) return EndStart(action, TaskOutcome::kNotStarted, "");
    schema::WorkerStart start;
    start.set_epoch(worker->owned.epoch);
    *start.mutable_task() = ToRef(action.task);
    SetResources(action.size, start.mutable_size());
    start.set_payload(request->payload());
    start.set_work_class(request->work_class());
    *start.mutable_run_time() = request->run_time();
    SetDuration(options.task_lease, start.mutable_lease());
    if (action.latest_start) {
      const auto left =
          std::chrono::duration_cast<std::chrono::milliseconds>(*action.latest_start - Now());
      SetDuration(std::max(left, std::chrono::milliseconds(1)), start.mutable_start_within());
    }
    worker->link->Start(
        start, [self = shared_from_this(), worker, action](Result<schema::WorkerResult> result) {
          self->OnStarted(worker, action, result);
        });
  }

  void OnStarted(const std::shared_ptr<Worker>& worker, const Action& action,
                 const Result<schema::WorkerResult>& result) {
    if (!result) {
      // The task may be running: the next sync attaches and tells.
      std::lock_guard lock(mutex);
      worker->tasks.insert(action.task);
      worker->attached = false;
      return;
    }
    if (result.value().code() != schema::CODE_OK) {
      spdlog::warn("event=start_rejected request={} worker={} code={} reason=\"{}\"",
                   action.task.request_id, action.worker, static_cast<int>(result.value().code()),
                   result.value().message());
      EndStart(action, TaskOutcome::kNotStarted, result.value().message());
      if (result.value().code() == schema::CODE_STALE_EPOCH) hooks.on_stale_epoch(action.worker);
      return;
    }
    std::lock_guard lock(mutex);
    worker->tasks.insert(action.task);
    engine->OnStarted(action.task, Now());
  }

  void EndStart(const Action& action, TaskOutcome outcome, const std::string& reason) {
    TaskEvent event;
    event.task = action.task;
    event.worker = action.worker;
    event.ended = true;
    event.outcome = outcome;
    event.result = reason;
    {
      std::lock_guard lock(mutex);
      EndInEngine(event);
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
  return std::unique_ptr<Dispatcher>(new Dispatcher(std::move(impl)));
}

Dispatcher::Dispatcher(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Dispatcher::~Dispatcher() { m_impl->timers.Cancel(m_impl->poll_timer); }

void Dispatcher::SetWorkers(const std::vector<OwnedWorker>& workers) {
  m_impl->SetWorkers(workers);
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

EngineStats Dispatcher::Stats() const {
  std::lock_guard lock(m_impl->mutex);
  return m_impl->engine->Stats();
}

}  // namespace citronsill
