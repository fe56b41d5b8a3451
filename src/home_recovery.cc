#include "home_state.h"

namespace citronsill {
namespace {

using std::chrono::milliseconds;

}  // namespace

void Home::Impl::Query(const TaskKey& task, const std::string& worker, int tries) {
  {
    std::lock_guard lock(mutex);
    if (tries == 0 && !open_queries.insert(task).second) return;
  }
  const auto epoch = ServedEpoch(Partition(task.request_id));
  if (!epoch || !ledger.IsAssigned(task)) return EndQuery(task);
  if (hooks.is_removed && hooks.is_removed(worker)) {
    EndQuery(task);
    return EndRemoved(task, worker);
  }
  const auto on_answer = [self = shared_from_this(), task, worker, tries,
                          epoch = *epoch](const Result<TaskKnowledge>& knowledge) {
    if (!self->IsServed(task.request_id, epoch)) return self->EndQuery(task);
    if (knowledge && knowledge.value() == TaskKnowledge::kNeverStarted) {
      self->EndQuery(task);
      TaskEvent event;
      event.task = task;
      event.worker = worker;
      event.ended = true;
      return self->ApplyEnd(self->ledger.EndTask(task, worker, TaskOutcome::kNotStarted, {}, false),
                            event, [] {});
    }
    if (knowledge && knowledge.value() == TaskKnowledge::kLost) {
      self->EndQuery(task);
      return self->EndRemoved(task, worker);
    }
    // A task that runs or has ended is reported without a query. The queries go on because its
    // worker may still be removed.
    const bool reported = knowledge && knowledge.value() != TaskKnowledge::kUnknown;
    const milliseconds delay = reported ? kMaxBackoff : Backoff(tries);
    self->hooks.after(delay, [weak = self->weak_from_this(), task, worker, tries] {
      if (auto impl = weak.lock()) impl->Query(task, worker, tries + 1);
    });
  };
  if (hooks.query_task) return hooks.query_task(task, worker, on_answer);
  on_answer(TaskKnowledge::kUnknown);
}

void Home::Impl::EndQuery(const TaskKey& task) {
  std::lock_guard lock(mutex);
  open_queries.erase(task);
}

void Home::Impl::EndRemoved(const TaskKey& task, const std::string& worker) {
  TaskEvent event;
  event.task = task;
  event.worker = worker;
  event.ended = true;
  event.outcome = TaskOutcome::kLost;
  ApplyEnd(ledger.EndRemoved(task, worker), event, [] {});
}

void Home::Impl::OnGained(PartitionId partition, const std::vector<std::string>& streams) {
  const auto epoch = hooks.owned_epoch(partition);
  if (!epoch) return;
  DropPartition(partition);
  {
    std::lock_guard lock(mutex);
    recovering[partition] = *epoch;
  }
  Recover(partition, *epoch, streams);
}

void Home::Impl::DropPartition(PartitionId partition) {
  const auto is_in_partition = [&](const std::string& id) { return Partition(id) == partition; };
  std::vector<std::pair<TaskEvent, Done>> dropped;  // Destroyed after the mutex is released.
  {
    std::lock_guard lock(mutex);
    serving.erase(partition);
    recovering.erase(partition);
    dropped.swap(early_events[partition]);
    early_events.erase(partition);
    std::erase_if(pending_ends, [&](const auto& entry) { return is_in_partition(entry.first); });
    std::erase_if(open_queries,
                  [&](const TaskKey& task) { return is_in_partition(task.request_id); });
  }
  ledger.Drop(is_in_partition);
}

bool Home::Impl::IsRecovering(PartitionId partition, std::uint64_t epoch) {
  const auto owned = hooks.owned_epoch(partition);
  std::lock_guard lock(mutex);
  const auto found = recovering.find(partition);
  return owned == epoch && found != recovering.end() && found->second == epoch;
}

void Home::Impl::Recover(PartitionId partition, std::uint64_t epoch,
                         const std::vector<std::string>& streams) {
  if (!IsRecovering(partition, epoch)) return;
  journal.Load(partition, streams,
               [self = shared_from_this(), partition, epoch,
                streams](const Result<std::vector<schema::JournalEntry>>& entries) {
                 if (!self->IsRecovering(partition, epoch)) return;
                 if (entries) return self->Replay(partition, epoch, streams, entries.value());
                 spdlog::warn("event=recovery_delayed partition={} error=\"{}\"", partition.value,
                              Describe(entries.error()));
                 self->hooks.after(kMinBackoff,
                                   [weak = self->weak_from_this(), partition, epoch, streams] {
                                     if (auto impl = weak.lock())
                                       impl->Recover(partition, epoch, streams);
                                   });
               });
}

void Home::Impl::Replay(PartitionId partition, std::uint64_t epoch,
                        const std::vector<std::string>& streams,
                        const std::vector<schema::JournalEntry>& entries) {
  std::map<std::string, std::vector<const schema::JournalEntry*>> requests;
  for (const schema::JournalEntry& entry : entries) {
    requests[entry.request_id()].push_back(&entry);
  }
  for (const auto& [id, request_entries] : requests) {
    ledger.Restore(id, request_entries, [epoch](std::uint64_t accepted_epoch) {
      return static_cast<std::uint32_t>(epoch - accepted_epoch) * kAttemptsPerEpoch;
    });
  }
  std::vector<std::pair<TaskEvent, Done>> events;
  {
    std::lock_guard lock(mutex);
    recovering.erase(partition);
    serving[partition] = epoch;
    events.swap(early_events[partition]);
    early_events.erase(partition);
  }
  for (const auto& [event, done] : events) OnTaskEvent(event, done);
  for (const auto& [id, request_entries] : requests) Resume(id);
  spdlog::info("event=partition_recovered partition={} requests={}", partition.value,
               requests.size());
  CopyEntries(partition, epoch, streams);
}

void Home::Impl::Resume(const std::string& id) {
  const auto properties = ledger.Properties(id);
  for (const OpenTask& open : ledger.OpenTasks(id)) {
    if (open.assigned) Query({id, open.index, open.attempt}, open.worker, 0);
  }
  if (!properties) return;
  if (properties->single_copy) return SubmitOpen(id);
  hooks.after(options.recovery_grace, [weak = weak_from_this(), id, epoch = properties->epoch] {
    auto self = weak.lock();
    if (self && self->ServedEpoch(self->Partition(id))) self->SubmitOpen(id);
  });
}

void Home::Impl::SubmitOpen(const std::string& id) {
  const auto request = ledger.Find(id);
  std::vector<OpenTask> waiting = ledger.OpenTasks(id);
  std::erase_if(waiting, [](const OpenTask& task) { return task.assigned; });
  if (!request || waiting.empty()) return;
  if (waiting.size() == std::max(1U, request->task_count())) {
    std::uint32_t attempt = 0;
    for (const OpenTask& task : waiting) attempt = std::max(attempt, task.attempt);
    return SubmitAgain({id, 0, attempt}, static_cast<std::uint32_t>(waiting.size()));
  }
  for (const OpenTask& task : waiting) SubmitAgain({id, task.index, task.attempt}, 1);
}

std::vector<schema::JournalEntry> Home::Impl::Export(const std::set<PartitionId>& partitions) {
  auto entries =
      ledger.Export([&](const std::string& id) { return partitions.contains(Partition(id)); });
  for (schema::JournalEntry& entry : entries) {
    entry.set_partition(Partition(entry.request_id()).value);
  }
  return entries;
}

void Home::Impl::CopyEntries(PartitionId partition, std::uint64_t epoch,
                             std::vector<std::string> streams) {
  std::erase(streams, journal.Stream());
  if (streams.empty() || ServedEpoch(partition) != epoch) return;
  struct State {
    std::atomic<std::size_t> remaining{0};
    std::atomic<bool> failed{false};
  };
  auto state = std::make_shared<State>();
  const auto rows = SplitIntoRows(Export({partition}));
  state->remaining = rows.size();
  for (const schema::JournalBatch& row : rows) {
    journal.Append(
        {row.entries().begin(), row.entries().end()},
        [self = shared_from_this(), state, partition, epoch, streams](const Result<void>& written) {
          if (!written) state->failed = true;
          if (--state->remaining > 0) return;
          self->OnCopied(partition, epoch, streams, !state->failed);
        });
  }
}

void Home::Impl::OnCopied(PartitionId partition, std::uint64_t epoch,
                          const std::vector<std::string>& streams, bool copied) {
  if (ServedEpoch(partition) != epoch) return;
  if (!copied) {
    hooks.after(kRefusalRetryAfter, [weak = weak_from_this(), partition, epoch, streams] {
      if (auto self = weak.lock()) self->CopyEntries(partition, epoch, streams);
    });
    return;
  }
  if (hooks.retire_streams) hooks.retire_streams(partition, streams);
  std::lock_guard lock(mutex);
  retired.insert(streams.begin(), streams.end());
}

void Home::Impl::Maintain() {
  if (hooks.is_removed) {
    for (const auto& [task, worker] : ledger.Assigned()) {
      if (hooks.is_removed(worker)) EndRemoved(task, worker);
    }
  }
  if (journal.Rows() > options.max_journal_rows) {
    journal.Compact([self = shared_from_this()] { return self->TakeSnapshot(); },
                    [](const Result<void>&) {});  // A failure is retried in the next period.
  }
  std::set<std::string> streams;
  {
    std::lock_guard lock(mutex);
    streams = retired;
  }
  journal.EraseUnused(streams,
                      [weak = weak_from_this(), streams](const std::set<std::string>& not_erased) {
                        auto self = weak.lock();
                        if (!self) return;
                        std::lock_guard lock(self->mutex);
                        for (const std::string& stream : streams) {
                          if (!not_erased.contains(stream)) self->retired.erase(stream);
                        }
                      });
  ScheduleMaintain();
}

void Home::Impl::ScheduleMaintain() {
  hooks.after(options.maintain_period, [weak = weak_from_this()] {
    if (auto self = weak.lock()) self->Maintain();
  });
}

JournalSnapshot Home::Impl::TakeSnapshot() {
  JournalSnapshot snapshot;
  {
    std::lock_guard lock(mutex);
    snapshot.epochs = serving;
  }
  std::erase_if(snapshot.epochs,
                [&](const auto& entry) { return hooks.owned_epoch(entry.first) != entry.second; });
  std::set<PartitionId> partitions;
  for (const auto& [partition, epoch] : snapshot.epochs) partitions.insert(partition);
  snapshot.entries = Export(partitions);
  return snapshot;
}

}  // namespace citronsill
