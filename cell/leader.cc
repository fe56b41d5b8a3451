#include "cell/leader.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cell/claim.h"
#include "cell/follower.h"
#include "cell/limits.h"
#include "cell/log.h"
#include "cell/metrics.h"
#include "cell/reads.h"
#include "cell/store_wait.h"
#include "cell/support.h"
#include "cell/table_reader.h"

namespace citronsill {
namespace {

schema::CallReply Failure(const Error& error, milliseconds retry_after = milliseconds(0)) {
  schema::CallReply reply;
  reply.set_code(error.code);
  reply.set_message(error.message);
  reply.set_retry_after_ms(retry_after.count());
  return reply;
}

const Error kOtherCustomer{schema::CODE_FORBIDDEN, "the job belongs to another customer"};

}  // namespace

struct Leader::Impl : std::enable_shared_from_this<Impl> {
  Impl(Runtime& node_runtime, TimerService& service, RowStore* row_store,
       const PlatformServices& services, const NodeSettings& node, LeaderOptions leader_options,
       LeaderHooks leader_hooks)
      : runtime(node_runtime),
        timers(service),
        store(row_store),
        platform(services),
        settings(node),
        options(std::move(leader_options)),
        hooks(std::move(leader_hooks)),
        advice_client(services.ask_advice) {}

  Runtime& runtime;
  TimerService& timers;
  RowStore* store;
  const PlatformServices& platform;
  const NodeSettings& settings;
  LeaderOptions options;
  LeaderHooks hooks;
  AdviceClient advice_client;
  std::unique_ptr<CommitLog> commits;
  std::unique_ptr<Scheduler> scheduler;
  std::unique_ptr<TableFollower> worker_list;
  // By worker id: the worker's address, and the link to it, null until it is needed.
  std::map<std::string, std::pair<std::string, std::shared_ptr<WorkerLink>>> links;
  // Digests of the rows of listed workers, by worker id.
  std::unordered_map<std::string, std::uint64_t> worker_digests;
  TimerId tick_timer;
  TimerId report_timer;
  TimerId held_check_timer;
  SteadyTime began = BootNow();
  SteadyTime earlier_may_lead_until{};
  ReadGate read_gate{BootNow};
  SupportRegister support{BootNow};
  CellConfigPtr applied_config;  // Its customers are known to the scheduler.
  SubmissionWaits submissions{BootNow};
  std::size_t refused_since_report = 0;  // Jobs, since the last log line about refusals.
  SteadyTime refusals_reported{};
  std::size_t state_waits_since_report = 0;  // Calls, since the last log line about them.
  SteadyTime state_waits_reported{};
  bool lead_paused = false;  // `MayLead` was false at the last tick.
  bool loaded = false;
  bool lost = false;
  bool releasing = false;      // The transaction that releases the shard was built.
  bool starts_paused = false;  // The list of workers is too old.
  bool plan_pending = false;
  SteadyTime plan_due{};  // When the pending planning pass is due.
  SteadyTime next_customer_report{};
  PassMeter pass_meter;
  WaitingSet open_calls;
  WaitingSet open_advice_requests;
  SteadyTime last_plan{};  // When the last planning pass began.
  PassPacer pacer;
  // Calls that arrived before the shard was loaded.
  std::vector<std::function<void()>> calls_until_loaded;
  std::size_t bytes_until_loaded = 0;  // Memory of their messages.

  // Rows read while the shard is being loaded.
  RowPage jobs;
  RowPage progress;
  RowPage finished;
  RowPage packs;
  RowPage leases;
  int tables_to_load = 0;
  std::vector<std::unique_ptr<TableReader>> readers;  // One for each table, while loading.

  void Begin() {
    MakeScheduler();
    ApplyConfig();
    MakeCommitLog();
    Load();
    tick_timer = timers.Every(kLeaderTick, [weak = weak_from_this()](SteadyTime) {
      if (const auto self = weak.lock(); self && !self->lost) self->Tick();
    });
    report_timer = timers.Every(kLoadReportPeriod, [weak = weak_from_this()](SteadyTime) {
      if (const auto self = weak.lock(); self && !self->lost) self->ReportLoad();
    });
    held_check_timer = timers.Every(kHeldCheckPeriod, [weak = weak_from_this()](SteadyTime) {
      if (const auto self = weak.lock(); self && !self->lost) self->CheckHeld();
    });
  }

  void End() {
    lost = true;
    timers.Cancel(tick_timer);
    timers.Cancel(report_timer);
    timers.Cancel(held_check_timer);
    ReportHeld(HeldReport{});
    worker_list.reset();
    links.clear();
  }

  void Lose() {
    if (lost) return;
    lost = true;
    // Deferred, because `on_lost` destroys this object, and the scheduler may be on the call stack.
    Post([this] { hooks.on_lost(); });
  }

  void After(milliseconds delay, std::function<void()> action) {
    timers.After(delay, [weak = weak_from_this(), action = std::move(action)](SteadyTime) {
      if (const auto self = weak.lock()) action();
    });
  }

  void Post(std::function<void()> action) {
    runtime.Post([weak = weak_from_this(), action = std::move(action)] {
      if (const auto self = weak.lock()) action();
    });
  }

  [[nodiscard]] bool MayLead() const { return !lost && !releasing && commits->MayLead(); }

  void MakeScheduler() {
    SchedulerOptions scheduler_options;
    scheduler_options.shard = options.shard;
    scheduler_options.term = options.owner.term();
    scheduler_options.lease = std::min(kLease, settings.max_lease);
    scheduler_options.max_lease = settings.max_lease;
    scheduler_options.gang_time = settings.gang_time;
    scheduler_options.keep_finished = settings.keep_finished;
    scheduler_options.max_job_bytes = std::size_t{settings.limits.job_budget_mb} << 20U;
    SchedulerHooks scheduler_hooks;
    scheduler_hooks.now = BootNow;
    scheduler_hooks.wall = [] { return std::chrono::system_clock::now(); };
    scheduler_hooks.may_lead = [this] { return MayLead(); };
    scheduler_hooks.start_time_left = [this] { return StartTimeLeft(); };
    scheduler_hooks.start = [this](const Worker& worker, StartOrder order, std::uint64_t id) {
      SendStart(worker, std::move(order), id);
    };
    scheduler_hooks.stop = [this](const Worker& worker, const TaskRef& task, std::uint64_t run,
                                  std::uint64_t id) { SendStop(worker, task, run, id); };
    scheduler_hooks.hold = [this](const Worker& worker, HoldOrder order, std::uint64_t id) {
      SendHold(worker, order, id);
    };
    scheduler_hooks.request_advice = [this](const TaskRef& step, std::vector<std::string> workers,
                                            AdviceRequestKind kind) {
      RequestAdvice(step, std::move(workers), kind);
    };
    scheduler_hooks.advice_capacity = [this] { return advice_client.FreeSlots(); };
    scheduler_hooks.has_writes = [this] {
      if (loaded && commits) commits->Wake();
    };
    scheduler_hooks.plan_soon = [this] { PlanSoon(); };
    scheduler_hooks.on_superseded = [this] {
      Log(LogLevel::kWarn, "fenced-off").Field("shard", options.shard);
      Lose();
    };
    scheduler =
        std::make_unique<Scheduler>(std::move(scheduler_options), std::move(scheduler_hooks));
  }

  void MakeCommitLog() {
    CommitHooks commit_hooks;
    commit_hooks.now = BootNow;
    commit_hooks.after = [this](milliseconds delay, std::function<void()> action) {
      After(delay, std::move(action));
    };
    commit_hooks.post = [this](std::function<void()> action) { Post(std::move(action)); };
    commit_hooks.take = [this] {
      if (!loaded) return WriteBatch{};
      // Three entries are reserved: two for the head row (condition and write), one for the owner
      // row.
      return scheduler->TakeBatch(kMaxTransactionEntries - 3, kMaxTransactionBytes);
    };
    commit_hooks.on_stored = [this](std::uint64_t position) {
      // After an outage starts wait for the list of workers, too.
      if (worker_list && commits->FailingFor() > kRefuseAfterStoreSilence) {
        worker_list->OnStoreAnswers();
      }
      scheduler->OnStored(position);
      read_gate.OnConfirmed(commits->Confirmed());
    };
    commit_hooks.on_refused = [this](std::uint64_t position) { scheduler->OnRefused(position); };
    commit_hooks.on_lost = [this] { Lose(); };
    commit_hooks.supporters = hooks.supporters;
    commit_hooks.is_supported_by = [this](const std::set<std::uint64_t>& incarnations) {
      return support.IsSupportedBy(incarnations);
    };
    commit_hooks.transfer_time = [this](std::size_t bytes) {
      return TransferTime(bytes, settings.link_mbps);
    };
    // The claim was stored before `began`.
    earlier_may_lead_until = began + TimePassedOn(options.owner);
    commits = std::make_unique<CommitLog>(options.shard, options.head, options.version, store,
                                          options.claim_sent, earlier_may_lead_until,
                                          std::move(commit_hooks));
  }

  // ---- Loading

  void Load() {
    tables_to_load = 5;
    LoadTable(kJobTable, &jobs);
    LoadTable(kProgressTable, &progress);
    LoadTable(kFinishedTable, &finished);
    LoadTable(kPackTable, &packs);
    LoadTable(kLeaseTable, &leases);
  }

  void LoadTable(const char* table, RowPage* into) {
    readers.push_back(std::make_unique<TableReader>(
        store, RowRange{table, options.shard, "", "", kMaxRowsPerRead}, DelayThrough(timers),
        MakeRandomSource()));
    ReadTable(readers.back().get(), table, into);
  }

  void ReadTable(TableReader* reader, const char* table, RowPage* into) {
    reader->Read([weak = weak_from_this(), reader, table, into](Result<RowPage> page) {
      const auto self = weak.lock();
      if (!self || self->lost) return;
      if (!page) {
        Log(LogLevel::kWarn, "load-delayed").Field("table", table).Field("reason", page.error());
        return self->After(kFollowRetryMin, [raw = self.get(), reader, table, into] {
          raw->ReadTable(reader, table, into);
        });
      }
      *into = std::move(page).value();
      if (--self->tables_to_load == 0) self->FinishLoading();
    });
  }

  void FinishLoading() {
    const SteadyTime now = BootNow();
    const SteadyTime leases_end =
        EarlierLeasesEnd(now, earlier_may_lead_until, std::min(kLease, settings.max_lease));
    const StoredShard shard =
        ResolveRows({std::move(jobs.rows), std::move(progress.rows), std::move(finished.rows),
                     std::move(packs.rows), std::move(leases.rows)});
    const std::size_t job_count = shard.jobs.size();
    const std::size_t finished_count = shard.finished.size();
    const std::size_t pack_count = shard.packs.size();
    const std::size_t long_leases = shard.long_leases.size();
    scheduler->Restore(shard, leases_end);
    loaded = true;
    Log(LogLevel::kInfo, "shard-loaded")
        .Field("shard", options.shard)
        .Field("term", options.owner.term())
        .Field("jobs", job_count)
        .Field("finished", finished_count)
        .Field("packs", pack_count)
        .Field("earlier_may_lead_ms",
               std::max(milliseconds(0),
                        std::chrono::duration_cast<milliseconds>(earlier_may_lead_until - now)))
        .Field("leases_end_in_ms", std::chrono::duration_cast<milliseconds>(leases_end - now))
        .Field("orders", scheduler->Workers().OrderCount())
        .Field("long_leases", long_leases)
        .Field("took_ms", std::chrono::duration_cast<milliseconds>(now - began));
    jobs = {};
    progress = {};
    finished = {};
    packs = {};
    leases = {};
    readers.clear();
    FollowWorkers();
    std::vector<std::function<void()>> calls;
    calls.swap(calls_until_loaded);
    bytes_until_loaded = 0;
    for (const auto& call : calls) call();
    commits->Wake();
    PlanSoon();
  }

  // ---- Workers

  void FollowWorkers() {
    FollowerHooks follower_hooks;
    follower_hooks.on_snapshot = [this](const std::vector<Row>& rows) {
      std::set<std::string> listed;
      for (const Row& row : rows) {
        if (ApplyWorkerRow(row)) listed.insert(row.key.key);
      }
      std::vector<std::string> delisted;
      for (const auto& [id, worker] : scheduler->Workers().Workers()) {
        if (worker->listed && !listed.contains(id)) delisted.push_back(id);
      }
      for (const std::string& id : delisted) UnlistWorker(id);
    };
    follower_hooks.on_change = [this](const Row& row) {
      if (row.removed || !ApplyWorkerRow(row)) UnlistWorker(row.key.key);
    };
    follower_hooks.after = DelayThrough(timers);
    follower_hooks.min_period = kWorkerListPeriod;
    follower_hooks.wait = kWorkerListWait;
    worker_list = TableFollower::Create(store, platform.worker_table.table,
                                        platform.worker_table.part, std::move(follower_hooks));
  }

  [[nodiscard]] milliseconds WorkerListAge() const {
    const SteadyTime as_of = worker_list ? worker_list->CurrentAsOf() : began;
    return std::chrono::duration_cast<milliseconds>(BootNow() - as_of);
  }

  // Draining workers are only told apart by the list. While it is too old, nothing is started.
  milliseconds StartTimeLeft() {
    const milliseconds age = WorkerListAge();
    const milliseconds limit = settings.worker_drain - kWorkerListMargin;
    const bool is_current = age < limit;
    if (is_current == starts_paused) {
      starts_paused = !is_current;
      Log(is_current ? LogLevel::kInfo : LogLevel::kWarn,
          is_current ? "starts-resumed" : "starts-paused")
          .Field("shard", options.shard)
          .Field("reason", "worker-list-stale")
          .Field("list_age_ms", age)
          .Field("limit_ms", limit);
    }
    return limit - age;
  }

  // @returns whether the row names a worker to use.
  bool ApplyWorkerRow(const Row& row) {
    const Worker* known = scheduler->Workers().Find(row.key.key);
    const std::uint64_t digest = platform.worker_digest(row);
    const auto seen = worker_digests.find(row.key.key);
    if (seen != worker_digests.end() && seen->second == digest && known != nullptr &&
        known->listed && !known->gone) {
      return true;
    }
    const std::optional<WorkerDescription> description = platform.read_worker(row);
    if (!description) return false;
    worker_digests[row.key.key] = digest;
    const bool is_changed = known == nullptr || !known->listed ||
                            known->description.draining != description->draining ||
                            known->description.born_unix_ms < description->born_unix_ms;
    if (is_changed) {
      Log(LogLevel::kInfo, "worker-listed")
          .Field("worker", description->id)
          .Field("address", description->address)
          .Field("service", description->service)
          .Field("rack", description->rack)
          .Field("draining", description->draining)
          .Field("drain_remaining_ms", description->drain_remaining)
          .Field("row_version", row.version);
    }
    auto& entry = links[description->id];
    if (entry.first != description->address) {
      entry.first = description->address;
      entry.second.reset();
    }
    scheduler->Workers().Put(*description);
    return true;
  }

  void UnlistWorker(const std::string& id) {
    worker_digests.erase(id);
    if (scheduler->Workers().Find(id) == nullptr) return;
    Log(LogLevel::kInfo, "worker-unlisted").Field("worker", id);
    scheduler->Workers().Unlist(id);
  }

  // @returns null when no link can be created.
  std::shared_ptr<WorkerLink> GetOrCreateLink(const Worker& worker) {
    auto& entry = links[worker.description.id];
    if (entry.second) return entry.second;
    auto made = platform.make_worker_link(worker.description);
    if (!made) {
      Log(LogLevel::kError, "worker-link-failed")
          .Field("worker", worker.description.id)
          .Field("reason", made.error());
      return nullptr;
    }
    entry.first = worker.description.address;
    entry.second = std::move(made).value();
    return entry.second;
  }

  template <class Answer>
  auto ForwardResult(void (Fleet::*event)(std::uint64_t, const Result<Answer>&), std::uint64_t id) {
    return [weak = weak_from_this(), event, id](const Result<Answer>& result) {
      const auto self = weak.lock();
      if (self && !self->lost && !self->releasing) {
        (self->scheduler->Workers().*event)(id, result);
      }
    };
  }

  template <class Answer>
  void ReportUnreachable(void (Fleet::*event)(std::uint64_t, const Result<Answer>&),
                         std::uint64_t id) {
    Post([this, event, id] {
      if (lost || releasing) return;
      (scheduler->Workers().*event)(
          id, Error{schema::CODE_WORKER_UNREACHABLE, "no connection to the worker can be created"});
    });
  }

  [[nodiscard]] milliseconds CallTimeout() const { return scheduler->Workers().Calls().Timeout(); }

  void SendStart(const Worker& worker, StartOrder order, std::uint64_t id) {
    const auto link = GetOrCreateLink(worker);
    if (!link) return ReportUnreachable(&Fleet::OnStart, id);
    link->Start(std::move(order), CallTimeout(), ForwardResult(&Fleet::OnStart, id));
  }

  void SendStop(const Worker& worker, const TaskRef& task, std::uint64_t run, std::uint64_t id) {
    const auto link = GetOrCreateLink(worker);
    if (!link) return ReportUnreachable(&Fleet::OnStop, id);
    link->Stop(task, run, worker.fence, CallTimeout(), ForwardResult(&Fleet::OnStop, id));
  }

  void SendHold(const Worker& worker, const HoldOrder& order, std::uint64_t id) {
    const auto link = GetOrCreateLink(worker);
    if (!link) return ReportUnreachable(&Fleet::OnHold, id);
    link->Hold(order, order.wait + order.timeout, ForwardResult(&Fleet::OnHold, id));
  }

  // ---- Planning

  void RequestAdvice(const TaskRef& step, std::vector<std::string> workers,
                     AdviceRequestKind kind) {
    std::vector<std::string> asked_workers = workers;
    advice_client.Ask(
        step, std::move(workers), kind, kAdviceTimeout,
        [weak = weak_from_this(), step, asked_workers, sent = BootNow(),
         key = open_advice_requests.Add(BootNow())](const Result<AdviceAnswer>& result) {
          NodeMetrics::Get().CountAdvice(
              result.has_value(), std::chrono::duration_cast<milliseconds>(BootNow() - sent));
          const auto self = weak.lock();
          if (!self) return;
          self->open_advice_requests.Remove(key);
          if (!self->lost) self->scheduler->OnAdvice(step, asked_workers, result);
        });
  }

  // Schedules a planning pass. One pass handles all changes that arrive before it begins.
  void PlanSoon() {
    if (plan_pending || !loaded) return;
    plan_pending = true;
    const SteadyTime now = BootNow();
    const milliseconds delay = pacer.Delay(now);
    plan_due = now + delay;
    After(delay, [this] {
      plan_pending = false;
      if (lost || releasing) return;
      last_plan = BootNow();
      const SteadyTime due = plan_due;
      scheduler->Plan();
      const SteadyTime ended = BootNow();
      pacer.OnPass(last_plan, ended);
      pass_meter.OnPass(std::chrono::duration_cast<std::chrono::microseconds>(ended - last_plan),
                        std::chrono::duration_cast<milliseconds>(last_plan - due));
    });
  }

  void ReportLoad() {
    if (!loaded) return;
    const Scheduler::Load& load = scheduler->LastLoad();
    const AdviceCapacity counts = advice_client.FreeSlots();
    NodeMetrics& metrics = NodeMetrics::Get();
    metrics.SetGauge("jobs", static_cast<double>(scheduler->ActiveJobs()));
    metrics.SetGauge("orders", static_cast<double>(scheduler->Workers().OrderCount()));
    metrics.SetGauge("workers", static_cast<double>(load.workers));
    metrics.SetGauge("workers_slow", static_cast<double>(scheduler->Speeds().SlowWorkers()));
    metrics.SetGauge("workers_fast", static_cast<double>(scheduler->Speeds().FastWorkers()));
    metrics.SetGauge("waiting_tasks", static_cast<double>(load.waiting_tasks));
    metrics.SetGauge("free_processors", static_cast<double>(load.free.processors_milli) / 1000.0);
    metrics.SetGauge("free_lanes", counts.free);
    metrics.SetGauge("lead_paused", lead_paused ? 1.0 : 0.0);
    LogLine line(LogLevel::kInfo, "load");
    line.Field("shard", options.shard)
        .Field("jobs", scheduler->ActiveJobs())
        .Field("job_bytes", scheduler->JobBytes())
        .Field("orders", scheduler->Workers().OrderCount())
        .Field("workers", load.workers)
        .Field("free_milli", load.free.processors_milli)
        .Field("free_mb", load.free.memory_mb)
        .Field("of_milli", load.capacity.processors_milli)
        .Field("of_mb", load.capacity.memory_mb)
        .Field("waiting_units", load.waiting_units)
        .Field("waiting_gangs", load.waiting_gangs)
        .Field("waiting_tasks", load.waiting_tasks)
        .Field("free_lanes", counts.free)
        .Field("free_long_lanes", counts.free_long)
        .Field("confirmed_ms_ago", TimeSinceConfirmed());
    ReportBacklog(&line);
    ReportCustomers();
  }

  // One line for each of the customers with the most running work.
  void ReportCustomers() {
    if (BootNow() < next_customer_report) return;
    next_customer_report = BootNow() + kCustomerReportPeriod;
    for (const CustomerLedger::Usage& usage :
         scheduler->Customers().Report(kMaxReportedCustomers)) {
      Log(LogLevel::kInfo, "customer-usage")
          .Field("customer", usage.name)
          .Field("runs", usage.runs)
          .Field("running_milli", usage.running.processors_milli)
          .Field("running_mb", usage.running.memory_mb)
          .Field("limit_milli", usage.limit.processors_milli)
          .Field("limit_mb", usage.limit.memory_mb)
          .Field("jobs_within", usage.jobs_within)
          .Field("jobs_beyond", usage.jobs_beyond);
    }
  }

  // Reports in a log line and in gauges whether the scheduler keeps up with its work.
  void ReportBacklog(LogLine* line) {
    const SteadyTime now = BootNow();
    const LoopLoad loop = hooks.loop_load ? hooks.loop_load() : LoopLoad{};
    const PassMeter::Window plans = pass_meter.EndWindow();
    const Scheduler::Backlog backlog = scheduler->StoreBacklog();
    const Fleet::HoldBacklog overdue_holds = scheduler->Workers().OverdueHolds();
    milliseconds plan_late = plans.max_delay;
    if (plan_pending) {
      plan_late = std::max(plan_late, std::chrono::duration_cast<milliseconds>(now - plan_due));
    }
    NodeMetrics& metrics = NodeMetrics::Get();
    const auto set_seconds = [&metrics](const char* name, milliseconds value) {
      metrics.SetGauge(name, static_cast<double>(value.count()) / 1000.0);
    };
    metrics.SetGauge("plan_passes", plans.passes);
    metrics.SetGauge("plan_max_seconds", static_cast<double>(plans.max_duration.count()) / 1e6);
    set_seconds("plan_late_seconds", plan_late);
    set_seconds("worker_list_age_seconds", WorkerListAge());
    metrics.SetGauge("starts_paused", starts_paused ? 1.0 : 0.0);
    set_seconds("oldest_effect_seconds", backlog.oldest_effect);
    set_seconds("oldest_change_seconds", backlog.oldest_change);
    metrics.SetGauge("pending_removals", static_cast<double>(backlog.removals));
    set_seconds("oldest_removal_seconds", backlog.oldest_removal);
    set_seconds("oldest_call_seconds", open_calls.Oldest(now));
    set_seconds("oldest_question_seconds", open_advice_requests.Oldest(now));
    metrics.SetGauge("overdue_holds", static_cast<double>(overdue_holds.workers));
    set_seconds("overdue_hold_seconds", overdue_holds.oldest);
    const Scheduler::StartRate start_rate = scheduler->CurrentStartRate();
    metrics.SetGauge("orders_on_way", static_cast<double>(start_rate.in_flight));
    metrics.SetGauge("order_window", static_cast<double>(start_rate.window));
    metrics.SetGauge("starts_per_second", start_rate.starts_per_s);
    metrics.SetGauge("starts_limited", start_rate.is_limited ? 1.0 : 0.0);
    set_seconds("worker_call_seconds", start_rate.call);
    line->Field("on_way", start_rate.in_flight)
        .Field("window", start_rate.window)
        .Field("call_ms", start_rate.call)
        .Field("starts_per_s", static_cast<std::int64_t>(start_rate.starts_per_s))
        .Field("limited", start_rate.is_limited);
    line->Field("loop_lag_ms", loop.lag_max)
        .Field("loop_lag_p90_ms", loop.lag_p90)
        .Field("processor_ms", loop.processor)
        .Field("processor_percent", loop.processor_percent)
        .Field("plans", plans.passes)
        .Field("plan_last_us", static_cast<std::int64_t>(plans.last_duration.count()))
        .Field("plan_max_us", static_cast<std::int64_t>(plans.max_duration.count()))
        .Field("plan_late_ms", plan_late)
        .Field("list_age_ms", WorkerListAge())
        .Field("effects", backlog.effects)
        .Field("oldest_effect_ms", backlog.oldest_effect)
        .Field("changes", backlog.changes)
        .Field("oldest_change_ms", backlog.oldest_change)
        .Field("removals", backlog.removals)
        .Field("oldest_removal_ms", backlog.oldest_removal)
        .Field("calls", open_calls.Size())
        .Field("oldest_call_ms", open_calls.Oldest(now))
        .Field("questions", open_advice_requests.Size())
        .Field("oldest_question_ms", open_advice_requests.Oldest(now))
        .Field("overdue_holds", overdue_holds.workers)
        .Field("overdue_hold_ms", overdue_holds.oldest);
  }

  void CheckHeld() {
    if (!loaded || releasing) return;
    const auto age_of = [](SteadyTime time) {
      return std::chrono::duration_cast<milliseconds>(BootNow() - time);
    };
    HeldContext context;
    context.commit_age = TimeSinceConfirmed();
    context.plan_age = age_of(std::max(last_plan, began));
    context.list_age = age_of(worker_list ? worker_list->Heard() : began);
    ReportHeld(scheduler->CheckHeld(context));
  }

  [[nodiscard]] milliseconds TimeSinceConfirmed() const {
    return std::chrono::duration_cast<milliseconds>(BootNow() - commits->Confirmed());
  }

  // Logs when it stops or resumes renewing leases and starting tasks for want of the store.
  void ReportLead() {
    const bool is_paused = !commits->MayLead();
    if (is_paused == lead_paused) return;
    lead_paused = is_paused;
    Log(is_paused ? LogLevel::kWarn : LogLevel::kInfo, is_paused ? "lead-paused" : "lead-resumed")
        .Field("shard", options.shard)
        .Field("term", options.owner.term())
        .Field("confirmed_ms_ago", TimeSinceConfirmed())
        .Field("supporters", commits->Supporters().size())
        .Field("supporters_missing", support.Missing(commits->Supporters()));
  }

  // Limits of customers count from their configuration on.
  void ApplyConfig() {
    if (!hooks.config) return;
    const CellConfigPtr config = hooks.config();
    if (config == nullptr || config == applied_config) return;
    applied_config = config;
    scheduler->SetCustomers(*config->customers);
  }

  void Tick() {
    ApplyConfig();
    commits->Tick();
    ReportLead();
    read_gate.OnTick();
    if (!loaded || releasing) return;
    read_gate.OnConfirmed(commits->Confirmed());
    RefuseLost();
    scheduler->Tick();
    PlanSoon();
  }

  // ---- Calls

  void Handle(const schema::LinkMessage& message, Reply reply) {
    Dispatch(message, [weak = weak_from_this(), key = open_calls.Add(BootNow()),
                       reply = std::move(reply)](schema::CallReply out) {
      if (const auto self = weak.lock()) {
        self->open_calls.Remove(key);
        if (out.code() == schema::CODE_NOT_FOUND) *out.mutable_basis() = self->Basis();
      }
      reply(std::move(out));
    });
  }

  [[nodiscard]] schema::AnswerBasis Basis() const {
    schema::AnswerBasis basis;
    basis.set_instance(options.owner.instance());
    basis.set_term(options.owner.term());
    basis.set_jobs(scheduler->ActiveJobs());
    basis.set_finished(scheduler->FinishedJobs());
    basis.set_confirmed_ms_ago(TimeSinceConfirmed().count());
    basis.set_loaded(loaded);
    return basis;
  }

  void Dispatch(const schema::LinkMessage& message, Reply reply) {
    if (lost || releasing) return reply(Failure({schema::CODE_NOT_OWNER, "the shard has moved"}));
    if (!loaded) return KeepUntilLoaded(message, std::move(reply));
    if (message.has_submit()) return Submit(message.submit(), std::move(reply));
    if (message.has_cancel() && IsOfOther(message.cancel())) return reply(Failure(kOtherCustomer));
    if (message.has_state() && IsOfOther(message.state())) return reply(Failure(kOtherCustomer));
    if (message.has_cancel()) return Cancel(message.cancel().id(), std::move(reply));
    if (message.has_state()) return State(message.state().id(), std::move(reply));
    schema::CallReply out;
    out.set_waiting(scheduler->WaitingJobCount(message.waiting().queue()));
    reply(std::move(out));
  }

  void KeepUntilLoaded(const schema::LinkMessage& message, Reply reply) {
    const std::size_t bytes = message.SpaceUsedLong();
    if (!FitsRemaining(bytes, bytes_until_loaded, kMaxWaitingCallBytes)) {
      return reply(Failure({schema::CODE_NO_OWNER, "too many calls wait for the scheduler"},
                           kNoOwnerRetryAfter));
    }
    bytes_until_loaded += bytes;
    calls_until_loaded.push_back(
        [this, message, reply = std::move(reply)] { Dispatch(message, reply); });
  }

  // @returns whether the job of a call belongs to another customer than the caller.
  template <class Call>
  [[nodiscard]] bool IsOfOther(const Call& call) const {
    return !scheduler->MayAccess(call.id(), call.customer());
  }

  // "No such job" and "already ended" are answered only while this instance is certain to own the
  // shard: if this process was frozen, its successor may have accepted the job meanwhile. An active
  // job is cancelled with the next transaction, which a replaced scheduler cannot store.
  void Cancel(const std::string& id, Reply reply) {
    const auto cancel = [this, id, reply = std::move(reply)] {
      scheduler->Cancel(id, ReplyWithState(reply));
    };
    if (scheduler->IsActive(id)) return cancel();
    const auto kind =
        scheduler->IsKnown(id) ? ReadGate::Answer::kState : ReadGate::Answer::kUnknown;
    if (!read_gate.Deliver(kind, commits->FailingFor() > milliseconds(0), cancel)) commits->Wake();
  }

  void State(const std::string& id, Reply reply) {
    const bool is_known = scheduler->State(id).has_value();
    const auto answer = [this, id, reply = std::move(reply)] {
      schema::CallReply out;
      if (const auto state = scheduler->State(id); state) {
        out.set_state(*state);
      } else {
        out.set_code(schema::CODE_NOT_FOUND);
      }
      reply(std::move(out));
    };
    const bool store_fails = commits->FailingFor() > milliseconds(0);
    if (!read_gate.Deliver(is_known ? ReadGate::Answer::kState : ReadGate::Answer::kUnknown,
                           store_fails, answer)) {
      ReportStateWait(id, is_known, store_fails);
      commits->Wake();
    }
  }

  // Logs that an answer waits for the store, at most once in `kStateWaitLogPeriod`.
  void ReportStateWait(const std::string& id, bool is_known, bool store_fails) {
    ++state_waits_since_report;
    if (BootNow() < state_waits_reported + kStateWaitLogPeriod) return;
    state_waits_reported = BootNow();
    Log(LogLevel::kInfo, "state-waits")
        .Field("job", id)
        .Field("known", is_known)
        .Field("store_fails", store_fails)
        .Field("confirmed_ms_ago", TimeSinceConfirmed())
        .Field("calls", std::exchange(state_waits_since_report, 0));
  }

  static Scheduler::JobStateCallback ReplyWithState(Reply reply) {
    return [reply = std::move(reply)](const Result<schema::JobState>& result) {
      if (!result) return reply(Failure(result.error()));
      schema::CallReply out;
      out.set_state(result.value());
      reply(std::move(out));
    };
  }

  [[nodiscard]] StoreProgress Progress() const {
    return {commits->FailingFor(), commits->UnheardFor(), commits->ExpectedWait()};
  }

  // Refuses the jobs that no transaction has carried yet and that the store will not take in time.
  // Their callers may try again; what a transaction has carried may run and is not refused.
  void RefuseLost() {
    const StoreProgress progress = Progress();
    const bool is_silent = JudgeSubmission(progress, milliseconds(0)) == StoreVerdict::kSilent;
    if (!is_silent && !submissions.AnyRefused(progress)) return;
    for (const auto verdict : {StoreVerdict::kSilent, StoreVerdict::kLate}) {
      const std::size_t refused = scheduler->RefuseUnsent(
          StoreFailure(verdict),
          [&](const std::string& job) { return submissions.Judge(progress, job) == verdict; });
      if (refused > 0) ReportRefused(verdict, progress, refused);
    }
  }

  // Logs refusals, at most once in `kRefusalLogPeriod`.
  void ReportRefused(StoreVerdict verdict, const StoreProgress& progress, std::size_t refused) {
    NodeMetrics::Get().CountStoreRefusals(verdict == StoreVerdict::kLate ? "late" : "silent",
                                          refused);
    refused_since_report += refused;
    if (BootNow() < refusals_reported + kRefusalLogPeriod) return;
    refusals_reported = BootNow();
    Log(LogLevel::kWarn, "submissions-refused")
        .Field("shard", options.shard)
        .Field("reason", verdict == StoreVerdict::kLate ? "store-late" : "store-silent")
        .Field("jobs", std::exchange(refused_since_report, 0))
        .Field("waiting", submissions.Size())
        .Field("failing_ms", progress.failing)
        .Field("unheard_ms", progress.unheard)
        .Field("expected_ms", progress.expected)
        .Field("confirmed_ms_ago", TimeSinceConfirmed());
  }

  void Submit(const schema::SubmitCall& call, Reply reply) {
    const std::string& id = call.spec().id();
    const milliseconds time_left(call.time_left_ms());
    const milliseconds retry_after =
        call.spec().queue().priority() == 0 ? kInteractiveRetryAfter : kBatchRetryAfter;
    // A job that the store will not take in time would only wait until its caller's deadline.
    const StoreProgress progress = Progress();
    const StoreVerdict verdict = JudgeSubmission(progress, time_left);
    if (!scheduler->IsKnown(id) && verdict != StoreVerdict::kWait) {
      ReportRefused(verdict, progress, 1);
      return reply(Failure(StoreFailure(verdict), retry_after));
    }
    if (!scheduler->MayAccess(call.spec().id(), call.spec().customer())) {
      return reply(Failure(kOtherCustomer));
    }
    submissions.Add(id, time_left);
    scheduler->Submit(
        call.spec(), milliseconds(call.waited_ms()),
        [this, weak = weak_from_this(), id, reply = std::move(reply), retry_after,
         for_room = scheduler->RetryAfter(call.spec())](const Result<schema::JobState>& result) {
          if (const auto self = weak.lock()) submissions.Remove(id);
          const bool is_overload = !result && result.error().code == schema::CODE_OVERLOADED;
          if (is_overload && for_room > milliseconds(0)) {
            return reply(Failure(result.error(), for_room));
          }
          if (!result) return reply(Failure(result.error(), retry_after));
          schema::CallReply out;
          out.set_state(result.value());
          reply(std::move(out));
        });
  }

  static Error StoreFailure(StoreVerdict verdict) {
    return {schema::CODE_TABLE_UNAVAILABLE, verdict == StoreVerdict::kLate
                                                ? "the store is too slow for the deadline"
                                                : "the store does not answer"};
  }
};

std::unique_ptr<Leader> Leader::Create(Runtime& runtime, TimerService& timers, RowStore* store,
                                       const PlatformServices& platform,
                                       const NodeSettings& settings, LeaderOptions options,
                                       LeaderHooks hooks) {
  auto impl = std::make_shared<Impl>(runtime, timers, store, platform, settings, std::move(options),
                                     std::move(hooks));
  impl->Begin();
  return std::unique_ptr<Leader>(new Leader(std::move(impl)));
}

Leader::Leader(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Leader::~Leader() { m_impl->End(); }

void Leader::Handle(const schema::LinkMessage& message, Reply reply) {
  m_impl->Handle(message, std::move(reply));
}

void Leader::AddAdviceLink(const LinkPtr& link) {
  m_impl->advice_client.Add(link);
  m_impl->PlanSoon();
}

void Leader::RemoveAdviceLink(const LinkPtr& link) { m_impl->advice_client.Remove(link); }

std::optional<schema::SupportRequest> Leader::MakeSupportRequest() const {
  if (m_impl->TimeSinceConfirmed() < kAskSupportAfter) return std::nullopt;
  schema::SupportRequest request;
  request.set_shard(m_impl->options.shard);
  request.set_term(m_impl->options.owner.term());
  request.set_number(m_impl->support.RequestNumber());
  return request;
}

void Leader::OnSupport(std::uint64_t incarnation, const schema::SupportGrant& grant) {
  if (grant.term() != m_impl->options.owner.term()) return;
  m_impl->support.OnGrant(incarnation, grant.number());
}

void Leader::Release(std::function<void()> done) {
  schema::OwnerRow owner = m_impl->options.owner;
  owner.set_released(true);
  m_impl->commits->Release(
      std::move(owner), [impl = m_impl.get()] { impl->releasing = true; }, std::move(done));
}

bool Leader::IsReadyToHandOver() const {
  return m_impl->loaded && !m_impl->releasing && BootNow() > m_impl->began + kHandOverAfter &&
         m_impl->commits->FailingFor() == milliseconds(0);
}

bool Leader::IsLoaded() const { return m_impl->loaded; }

}  // namespace citronsill
