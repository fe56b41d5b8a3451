/// A small cell in model time: instances with Home, Ledger and Journal, a simple dispatcher, the
/// stand-in table and stand-in workers, and callers that send a request again until they get an
/// answer.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "citronsill/codec.h"
#include "citronsill/home.h"
#include "citronsill/ownership.h"
#include "history.h"
#include "model.h"

namespace citronsill {

inline constexpr std::uint32_t kModelPartitions = 2;
inline constexpr milliseconds kModelLease{30000};

inline std::vector<schema::WorkClass> ModelClasses() {
  const auto make = [](const std::string& name, schema::Policy policy, bool idempotent,
                       bool exclusive) {
    schema::WorkClass work_class;
    work_class.set_name(name);
    work_class.set_policy(policy);
    work_class.set_idempotent(idempotent);
    work_class.set_exclusive(exclusive);
    work_class.set_max_attempts(3);
    work_class.mutable_default_size()->set_processors(1);
    SetDuration(milliseconds(300), work_class.mutable_default_run_time());
    return work_class;
  };
  return {make("quote", schema::POLICY_INTERACTIVE, true, false),
          make("fitting", schema::POLICY_INTERACTIVE, true, true),
          make("order", schema::POLICY_INTERACTIVE, false, false),
          make("plan", schema::POLICY_BATCH, true, false)};
}

class ModelCell;

struct ModelWorker {
  std::string id;
  std::unique_ptr<StandinWorker> worker;
  bool reachable = true;
  bool removed = false;
};

/// One instance. The cell sets its ownership and this class dispatches its tasks; Home, Ledger and
/// Journal are the product's code.
class ModelInstance : public std::enable_shared_from_this<ModelInstance> {
 public:
  struct Started {
    std::string worker;
    SteadyTime sent;
  };

  struct Queued {
    JobSpec job;
    TaskKey task;
  };

  ModelInstance(ModelCell& cell, std::string name);

  void Gain(PartitionId partition, const OwnedPartition& owned,
            const std::vector<std::string>& streams) {
    m_owned[partition] = owned;
    m_attached.clear();
    home->OnGained(partition, streams);
  }

  void Lose(PartitionId partition) {
    if (m_owned.erase(partition) > 0) home->OnLost(partition);
  }

  [[nodiscard]] std::optional<OwnedPartition> Owned(PartitionId partition) const {
    const auto found = m_owned.find(partition);
    if (found == m_owned.end()) return std::nullopt;
    return found->second;
  }

  void Tick();
  void SyncAll();
  void Retire(PartitionId partition, const std::vector<std::string>& streams);
  TaskKnowledge QueryTask(const TaskKey& task, const std::string& worker);

  std::string name;
  std::shared_ptr<ModelProcess> process;
  std::unique_ptr<ModelTable> table;
  std::unique_ptr<Ledger> ledger;
  std::unique_ptr<Journal> journal;
  std::unique_ptr<Home> home;

 private:
  void Place(const Queued& queued, const std::string& worker);
  void Send(const Queued& queued, const std::string& worker);
  void EndAttempt(const Queued& queued, const std::string& worker, TaskOutcome outcome);
  void Sync(ModelWorker& worker);

  ModelCell& m_cell;
  std::map<PartitionId, OwnedPartition> m_owned;
  std::deque<Queued> m_queue;
  std::set<std::string> m_cancelled;
  std::map<TaskKey, std::string> m_before_start;  // BeforeStart has not called back yet.
  std::map<TaskKey, Started> m_sent;              // The worker has not answered yet.
  std::map<TaskKey, Queued> m_sent_jobs;          // All tasks sent so far.
  std::map<std::string, std::set<TaskKey>> m_acknowledge;
  std::set<std::string> m_attached;
};

class ModelCell {
 public:
  /// A submission whose caller waits for the answer.
  struct Waiting {
    SteadyTime deadline;
    std::uint64_t submission = 0;
    std::set<std::string> homes;  ///< Instances that it was forwarded to.
  };

  static HomeOptions FrequentCompaction() {
    HomeOptions options;
    options.max_journal_rows = 8;
    options.maintain_period = milliseconds(500);
    return options;
  }

  explicit ModelCell(std::uint64_t seed, std::size_t workers = 4,
                     HomeOptions home_options = FrequentCompaction())
      : time(seed), options(home_options) {
    options.partition_count = kModelPartitions;
    for (std::size_t i = 0; i < workers; ++i) {
      schema::WorkerInfo info;
      info.set_id("worker-" + std::to_string(i));
      info.mutable_capacity()->set_processors(2);
      info.set_slots(2);
      this->workers.push_back({info.id(), std::make_unique<StandinWorker>(info)});
    }
    for (std::uint32_t p = 0; p < kModelPartitions; ++p) TakeOver(PartitionId{p}, NewInstance());
    TickAll();
  }

  std::shared_ptr<ModelInstance> NewInstance() {
    instances.push_back(
        std::make_shared<ModelInstance>(*this, "i" + std::to_string(instances.size())));
    return instances.back();
  }

  schema::PartitionRow ReadPartitionRow(PartitionId partition, std::uint64_t* version) {
    schema::PartitionRow parsed;
    table.Read(PartitionRowKey(partition), [&](const Result<schema::TableRow>& row) {
      *version = row ? row.value().version() : 0;
      if (row) parsed.ParseFromString(row.value().value());
    });
    return parsed;
  }

  static std::string PartitionRowKey(PartitionId partition) {
    return "partition/000" + std::to_string(partition.value);
  }

  /// @returns false while the table is down.
  bool TakeOver(PartitionId partition, const std::shared_ptr<ModelInstance>& new_owner) {
    if (table.Fault() == TableFault::kDown) return false;
    std::uint64_t version = 0;
    schema::PartitionRow row = ReadPartitionRow(partition, &version);
    const std::vector<std::string> streams(row.streams().begin(), row.streams().end());
    row.set_partition(partition.value);
    row.set_owner(new_owner->name);
    row.set_epoch(row.epoch() + 1);
    if (std::find(streams.begin(), streams.end(), new_owner->journal->Stream()) == streams.end()) {
      row.add_streams(new_owner->journal->Stream());
    }
    schema::TableTransaction transaction;
    auto* write = transaction.add_writes();
    write->set_key(PartitionRowKey(partition));
    write->set_value(row.SerializeAsString());
    table.Commit(transaction, [](const auto&) {});
    ReadPartitionRow(partition, &version);
    new_owner->Gain(partition, {row.epoch(), version}, streams);
    return true;
  }

  std::shared_ptr<ModelInstance> OwnerOf(PartitionId partition) {
    std::uint64_t version = 0;
    const TableFault fault = table.Fault();
    table.SetFault(TableFault::kNone);
    const std::string owner = ReadPartitionRow(partition, &version).owner();
    table.SetFault(fault);
    for (const auto& instance : instances) {
      if (instance->name == owner) return instance;
    }
    return nullptr;
  }

  ModelWorker* Worker(const std::string& id) {
    for (ModelWorker& worker : workers) {
      if (worker.id == id) return &worker;
    }
    return nullptr;
  }

  static PartitionId PartitionOfId(const std::string& id) {
    return PartitionOf(id, kModelPartitions);
  }

  /// Forwards a request repeatedly until it is answered. @returns its id.
  std::string Submit(const schema::Request& request) {
    std::string id = RequestIdOf(request.team(), request.key());
    CallerHistory& caller = callers[id];
    caller.request = request;
    if (waiting.contains(id)) return id;
    for (const schema::WorkClass& work_class : ModelClasses()) {
      if (work_class.name() != request.work_class()) continue;
      caller.exclusive = work_class.exclusive();
      caller.idempotent = work_class.idempotent();
    }
    waiting[id] = {time.Now() + std::chrono::seconds(60), ++submissions, {}};
    Forward(id, submissions);
    return id;
  }

  void Forward(const std::string& id, std::uint64_t submission) {
    const auto found = waiting.find(id);
    if (found == waiting.end() || found->second.submission != submission) return;
    if (found->second.deadline <= time.Now()) return;
    ++callers[id].forwards;
    schema::Forward forward;
    forward.set_id(id);
    forward.set_entry_id("entry");
    *forward.mutable_request() = callers[id].request;
    SetDuration(std::chrono::duration_cast<milliseconds>(found->second.deadline - time.Now()),
                forward.mutable_deadline_left());
    forward.set_submission(submission);
    if (auto owner = OwnerOf(PartitionOfId(id)); owner && owner->process->IsUp()) {
      found->second.homes.insert(owner->name);
      owner->home->OnForward(forward);
    }
    time.After(milliseconds(500), [this, id, submission] { Forward(id, submission); });
  }

  void Deliver(const schema::Answer& answer, std::uint64_t submission) {
    const auto found = waiting.find(answer.id());
    if (found == waiting.end() || found->second.submission != submission) return;
    const bool has_several_homes = found->second.homes.size() > 1;
    waiting.erase(found);
    CallerHistory& caller = callers[answer.id()];
    // Another home may have accepted what this one refused, so the caller gets OUTCOME_UNKNOWN.
    if (has_several_homes && answer.not_run()) return;
    if (answer.state() == schema::STATE_WAITING || answer.state() == schema::STATE_RUNNING) {
      if (!caller.accepted) caller.accepted = time.Now();
      return;
    }
    caller.answers.push_back({time.Now(), caller.forwards, answer});
  }

  /// Delivers an event to all live instances after a random delay, sometimes twice.
  void DeliverEvent(const TaskEvent& event, const std::function<void()>& done) {
    const int copies = time.RandomUpTo(9) == 0 ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      time.After(milliseconds(time.RandomUpTo(60)), [this, event, done] {
        for (const auto& instance : instances) {
          if (instance->process->IsUp()) instance->home->OnTaskEvent(event, done);
        }
      });
    }
  }

  void Cancel(const std::string& id) {
    callers[id].cancelled = true;
    if (auto owner = OwnerOf(PartitionOfId(id)); owner && owner->process->IsUp()) {
      (void)owner->home->Cancel(id);
    }
  }

  /// Takes a worker off the target list, as operators do, and stops its tasks.
  void Remove(ModelWorker& worker) {
    worker.removed = true;
    schema::WorkerSync sync;
    sync.set_epoch(1U << 30U);
    schema::WorkerSyncResult result = worker.worker->Sync(sync, time.Now());
    worker.worker->Report(false, &result);
    for (const schema::TaskReport& report : result.tasks()) {
      schema::WorkerControl stop;
      stop.set_epoch(sync.epoch());
      stop.set_operation("stop");
      *stop.mutable_task() = report.task();
      worker.worker->Control(stop, time.Now());
    }
  }

  /// Ends all faults, gives every partition a live owner, and runs for `wait` so that all work
  /// ends. @returns the violations.
  std::vector<std::string> FinishAndCheck(milliseconds wait = std::chrono::seconds(60)) {
    table.SetFault(TableFault::kNone);
    for (ModelWorker& worker : workers) worker.reachable = true;
    for (std::size_t i = 0; i < instances.size(); ++i) instances[i]->process->Resume();
    time.Run(std::chrono::seconds(1));
    for (std::uint32_t p = 0; p < kModelPartitions; ++p) {
      if (OwnerOf(PartitionId{p})->process->IsDead()) TakeOver(PartitionId{p}, NewInstance());
    }
    time.Run(wait);
    for (auto& [id, caller] : callers) {
      caller.final_status = OwnerOf(PartitionOfId(id))->home->Status(id);
    }
    std::vector<const StandinWorker*> all;
    for (const ModelWorker& worker : workers) all.push_back(worker.worker.get());
    const bool removed = std::any_of(workers.begin(), workers.end(),
                                     [](const ModelWorker& worker) { return worker.removed; });
    return HistoryCheck(callers, all, removed).Run();
  }

  ModelTime time;
  HomeOptions options;
  StandinTable table;
  std::vector<ModelWorker> workers;
  std::vector<std::shared_ptr<ModelInstance>> instances;
  std::map<std::string, CallerHistory> callers;
  std::map<std::string, Waiting> waiting;
  std::uint64_t submissions = 0;

 private:
  void TickAll() {
    for (const auto& instance : instances)
      instance->process->RunOrDefer([instance] { instance->Tick(); });
    time.After(milliseconds(20), [this] { TickAll(); });
  }
};

inline ModelInstance::ModelInstance(ModelCell& cell, std::string instance_name)
    : name(std::move(instance_name)),
      process(std::make_shared<ModelProcess>(cell.time)),
      table(std::make_unique<ModelTable>(cell.time, cell.table, process)),
      m_cell(cell) {
  const auto unix_ms = [&cell] { return cell.time.UnixMs(); };
  ledger = std::move(Ledger::Create(2000, unix_ms)).value();
  JournalOptions journal_options;
  journal_options.stream = name + ".1";
  JournalHooks journal_hooks;
  journal_hooks.owned = [this](PartitionId partition) { return Owned(partition); };
  journal_hooks.on_fenced = [this](PartitionId partition) { Lose(partition); };
  journal_hooks.after = process->MakeDelay();
  journal = std::move(Journal::Create(*table, nullptr, journal_options, std::move(journal_hooks)))
                .value();
  HomeHooks hooks;
  hooks.owned_epoch = [this](PartitionId partition) -> std::optional<std::uint64_t> {
    const auto owned = Owned(partition);
    if (!owned) return std::nullopt;
    return owned->epoch;
  };
  hooks.deliver = [&cell](const Waiter& waiter,
                          const std::shared_ptr<const schema::Answer>& answer) {
    cell.time.After(milliseconds(cell.time.RandomUpTo(20)),
                    [&cell, waiter, answer] { cell.Deliver(*answer, waiter.submission); });
  };
  hooks.submit = [this](const JobSpec& job) -> Admission {
    m_cancelled.erase(job.id);
    for (std::uint32_t i = 0; i < job.task_count; ++i) {
      m_queue.push_back({job, {job.id, job.first_index + i, job.first_attempt}});
    }
    return {schema::CODE_OK, {}, {}};
  };
  hooks.cancel = [this](const std::string& id) {
    std::erase_if(m_queue, [&](const Queued& queued) { return queued.job.id == id; });
    return m_cancelled.insert(id).second;
  };
  hooks.find_class = [](const std::string& id) -> std::optional<schema::WorkClass> {
    for (const schema::WorkClass& work_class : ModelClasses()) {
      if (work_class.name() == id) return work_class;
    }
    return std::nullopt;
  };
  hooks.after = process->MakeDelay();
  hooks.query_task = [this](const TaskKey& task, const std::string& worker,
                            const std::function<void(Result<TaskKnowledge>)>& done) {
    const auto answer = std::make_shared<TaskKnowledge>(TaskKnowledge::kUnknown);
    m_cell.time.After(milliseconds(m_cell.time.RandomUpTo(30)), [this, task, worker, done, answer] {
      for (const auto& instance : m_cell.instances) {
        if (!instance->process->IsUp()) continue;
        const TaskKnowledge known = instance->QueryTask(task, worker);
        if (known != TaskKnowledge::kUnknown) *answer = known;
      }
      m_cell.time.After(milliseconds(m_cell.time.RandomUpTo(30)), [this, done, answer] {
        process->RunOrDefer([done, answer] { done(*answer); });
      });
    });
  };
  hooks.is_removed = [&cell](const std::string& worker) { return cell.Worker(worker)->removed; };
  hooks.retire_streams = [this](PartitionId partition, const std::vector<std::string>& streams) {
    Retire(partition, streams);
  };
  hooks.now = [&cell] { return cell.time.Now(); };
  hooks.unix_ms = unix_ms;
  home = std::move(Home::Create(*ledger, *journal, cell.options, std::move(hooks))).value();
}

inline void ModelInstance::Retire(PartitionId partition, const std::vector<std::string>& streams) {
  table->Read(ModelCell::PartitionRowKey(partition),
              [self = shared_from_this(), partition, streams](const Result<schema::TableRow>& row) {
                const auto again = [self, partition, streams] {
                  self->process->MakeDelay()(milliseconds(200), [self, partition, streams] {
                    self->Retire(partition, streams);
                  });
                };
                if (!row) return again();
                schema::PartitionRow parsed;
                parsed.ParseFromString(row.value().value());
                const auto owned = self->Owned(partition);
                if (!owned || parsed.epoch() != owned->epoch) return;
                schema::PartitionRow changed = parsed;
                changed.clear_streams();
                for (const std::string& stream : parsed.streams()) {
                  if (std::find(streams.begin(), streams.end(), stream) == streams.end()) {
                    changed.add_streams(stream);
                  }
                }
                if (changed.streams_size() == parsed.streams_size()) {
                  self->m_owned[partition].version = row.value().version();
                  return;
                }
                schema::TableTransaction transaction;
                auto* condition = transaction.add_conditions();
                condition->set_key(ModelCell::PartitionRowKey(partition));
                condition->set_version(row.value().version());
                auto* write = transaction.add_writes();
                write->set_key(ModelCell::PartitionRowKey(partition));
                write->set_value(changed.SerializeAsString());
                self->table->Commit(transaction, [again](const auto&) { again(); });
              });
}

inline void ModelInstance::Tick() {
  for (ModelWorker& worker : m_cell.workers) {
    if (m_cell.time.RandomUpTo(4) == 0) Sync(worker);
  }
  const std::size_t count = m_queue.size();
  // A start that is refused may cancel its job, which shortens the queue.
  for (std::size_t i = 0; i < count && !m_queue.empty(); ++i) {
    const Queued queued = m_queue.front();
    m_queue.pop_front();
    std::vector<std::string> candidates;
    for (const ModelWorker& worker : m_cell.workers) {
      if (m_attached.contains(worker.id) && !worker.removed) candidates.push_back(worker.id);
    }
    if (candidates.empty()) {
      m_queue.push_back(queued);
    } else {
      const int chosen = m_cell.time.RandomUpTo(static_cast<int>(candidates.size()) - 1);
      Place(queued, candidates[static_cast<std::size_t>(chosen)]);
    }
  }
}

inline void ModelInstance::Place(const Queued& queued, const std::string& worker) {
  Action action;
  action.task = queued.task;
  action.worker = worker;
  m_before_start[queued.task] = worker;
  home->BeforeStart(action, [self = shared_from_this(), queued, worker](bool proceed) {
    self->m_before_start.erase(queued.task);
    if (proceed) return self->Send(queued, worker);
    self->EndAttempt(queued, worker, TaskOutcome::kNotStarted);
  });
}

inline void ModelInstance::Send(const Queued& queued, const std::string& worker) {
  const auto owned = Owned(ModelCell::PartitionOfId(worker));
  const auto job = home->FindJob(queued.task.request_id);
  if (!owned || !job) return EndAttempt(queued, worker, TaskOutcome::kNotStarted);
  const auto request = job->request;
  schema::WorkerStart start;
  start.set_epoch(owned->epoch);
  start.mutable_task()->set_request_id(queued.task.request_id);
  start.mutable_task()->set_index(queued.task.index);
  start.mutable_task()->set_attempt(queued.task.attempt);
  *start.mutable_size() = request->size();
  start.set_payload(request->payload());
  start.set_work_class(request->work_class());
  *start.mutable_run_time() = request->run_time();
  SetDuration(kModelLease, start.mutable_lease());
  m_sent[queued.task] = {worker, m_cell.time.Now()};
  m_sent_jobs[queued.task] = queued;
  const bool is_late = m_cell.time.RandomUpTo(9) == 0;
  const bool is_answered = m_cell.time.RandomUpTo(9) != 0;
  m_cell.time.After(
      milliseconds(m_cell.time.RandomUpTo(is_late ? 500 : 10)),
      [self = shared_from_this(), start, queued, worker, is_answered] {
        ModelWorker& target = *self->m_cell.Worker(worker);
        if (!target.reachable || target.removed) return;
        const schema::WorkerResult result = target.worker->Start(start, self->m_cell.time.Now());
        if (!is_answered) return;
        self->m_cell.time.After(milliseconds(1), [self, queued, worker, result] {
          self->process->RunOrDefer([self, queued, worker, result] {
            if (self->m_sent.erase(queued.task) == 0 || result.code() == schema::CODE_OK) return;
            self->EndAttempt(queued, worker, TaskOutcome::kNotStarted);
          });
        });
      });
}

inline void ModelInstance::EndAttempt(const Queued& queued, const std::string& worker,
                                      TaskOutcome outcome) {
  TaskEvent event;
  event.task = queued.task;
  event.worker = worker;
  event.ended = true;
  event.outcome = outcome;
  event.will_retry =
      !m_cancelled.contains(queued.job.id) && queued.task.attempt + 1 < queued.job.max_attempts;
  if (event.will_retry) {
    m_queue.push_back(
        {queued.job, {queued.task.request_id, queued.task.index, queued.task.attempt + 1}});
  }
  home->OnTaskEvent(event, [] {});
}

inline void ModelInstance::Sync(ModelWorker& worker) {
  const PartitionId partition = ModelCell::PartitionOfId(worker.id);
  const auto owned = Owned(partition);
  m_attached.erase(worker.id);
  if (!owned || !worker.reachable || worker.removed) return;
  const SteadyTime now = m_cell.time.Now();
  schema::WorkerSync sync;
  sync.set_epoch(owned->epoch);
  sync.set_attach(true);
  SetDuration(kModelLease, sync.mutable_lease());
  for (const TaskKey& task : std::exchange(m_acknowledge[worker.id], {})) {
    auto* ref = sync.add_acknowledge();
    ref->set_request_id(task.request_id);
    ref->set_index(task.index);
    ref->set_attempt(task.attempt);
  }
  schema::WorkerSyncResult result = worker.worker->Sync(sync, now);
  if (result.code() != schema::CODE_OK) return Lose(partition);
  worker.worker->Report(false, &result);
  schema::WorkerSync renewal;
  renewal.set_epoch(owned->epoch);
  SetDuration(kModelLease, renewal.mutable_lease());
  for (const schema::TaskReport& report : result.tasks()) *renewal.add_renew() = report.task();
  worker.worker->Sync(renewal, now);
  m_attached.insert(worker.id);
  std::set<TaskKey> known;
  for (const schema::TaskReport& report : result.tasks()) {
    TaskEvent event;
    event.task = {report.task().request_id(), report.task().index(), report.task().attempt()};
    event.worker = worker.id;
    event.ended = report.end() != schema::TASK_END_NONE;
    event.outcome = report.end() == schema::TASK_END_SUCCEEDED ? TaskOutcome::kSucceeded
                    : report.end() == schema::TASK_END_STOPPED ? TaskOutcome::kStopped
                    : report.end() == schema::TASK_END_LAPSED  ? TaskOutcome::kLapsed
                                                               : TaskOutcome::kFailed;
    event.result = report.result();
    known.insert(event.task);
    m_sent.erase(event.task);
    if (!event.ended && m_cell.time.RandomUpTo(3) != 0) continue;
    m_cell.DeliverEvent(event, [self = shared_from_this(), event] {
      if (event.ended) self->m_acknowledge[event.worker].insert(event.task);
    });
  }
  // A start reaches its worker within 500 ms or never.
  std::vector<Queued> never_started;
  for (const auto& [task, started] : m_sent) {
    if (started.worker == worker.id && now - started.sent > std::chrono::seconds(1)) {
      never_started.push_back(m_sent_jobs[task]);
    }
  }
  for (const Queued& queued : never_started) {
    m_sent.erase(queued.task);
    EndAttempt(queued, worker.id, TaskOutcome::kNotStarted);
  }
}

inline TaskKnowledge ModelInstance::QueryTask(const TaskKey& task, const std::string& id) {
  ModelWorker& worker = *m_cell.Worker(id);
  if (worker.removed || m_sent.contains(task) || m_before_start.contains(task)) {
    return TaskKnowledge::kUnknown;
  }
  Sync(worker);
  const auto owned = Owned(ModelCell::PartitionOfId(id));
  if (!owned || !m_attached.contains(id)) return TaskKnowledge::kUnknown;
  schema::WorkerSync sync;
  sync.set_epoch(owned->epoch);
  sync.set_attach(true);
  schema::WorkerSyncResult result = worker.worker->Sync(sync, m_cell.time.Now());
  worker.worker->Report(false, &result);
  for (const schema::TaskReport& report : result.tasks()) {
    const TaskKey known{report.task().request_id(), report.task().index(), report.task().attempt()};
    if (known != task) continue;
    return report.end() == schema::TASK_END_NONE ? TaskKnowledge::kRunning : TaskKnowledge::kEnded;
  }
  return TaskKnowledge::kNeverStarted;
}

}  // namespace citronsill
