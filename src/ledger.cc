#include "citronsill/ledger.h"

#include <xxhash.h>

#include "citronsill/convert.h"
#include "internal.h"

namespace citronsill {
namespace {

enum class TaskPhase { kWaiting, kAssigned, kEnded };

enum class Acceptance { kNone, kWriting, kAccepted };

struct TaskEntry {
  TaskPhase phase = TaskPhase::kWaiting;
  std::uint32_t attempt = 0;       // The assigned attempt, or the one that ran last.
  std::uint32_t next_attempt = 0;  // Lowest attempt that may follow; lower ones are stale.
  std::string worker;
  bool ran = false;         // An attempt that has ended ran, or may have run.
  std::uint32_t tries = 0;  // Number of attempts that ran.
  TaskOutcome outcome = TaskOutcome::kNotStarted;
  std::string result;
};

struct PendingGiveUp {
  Error error;
  std::chrono::milliseconds retry_after{0};
};

struct RequestEntry {
  schema::Request request;
  schema::WorkClass work_class;
  RequestProperties properties;
  std::uint64_t content_hash = 0;
  Acceptance acceptance = Acceptance::kNone;
  bool restored = false;  // Recovered from the journal.
  std::vector<TaskEntry> tasks;
  std::uint32_t attempts = 0;  // Number of attempts of all tasks that were assigned.
  std::vector<Waiter> waiters;
  std::optional<PendingGiveUp> give_up;          // Takes effect once no attempt is assigned.
  std::shared_ptr<const schema::Answer> answer;  // Set once ended.
  bool deliverable = true;                       // The answer may be delivered.

  bool IsAnyAssigned() const {
    return std::any_of(tasks.begin(), tasks.end(),
                       [](const TaskEntry& task) { return task.phase == TaskPhase::kAssigned; });
  }

  bool MayHaveRun() const {
    return IsAnyAssigned() ||
           std::any_of(tasks.begin(), tasks.end(), [](const TaskEntry& task) { return task.ran; });
  }
};

std::uint64_t ContentHash(const schema::Request& request) {
  const std::string bytes = request.SerializeAsString();
  return XXH64(bytes.data(), bytes.size(), 0);
}

schema::Code CodeOf(TaskOutcome outcome) {
  switch (outcome) {
    case TaskOutcome::kSucceeded:
      return schema::CODE_OK;
    case TaskOutcome::kLost:
      return schema::CODE_OUTCOME_UNKNOWN;
    case TaskOutcome::kStopped:
      return schema::CODE_CANCELLED;
    case TaskOutcome::kNotStarted:
      return schema::CODE_NOT_RUN;
    default:
      return schema::CODE_TASK_FAILED;
  }
}

schema::JournalEntry AcceptedEntry(const std::string& id, const RequestEntry& entry) {
  schema::JournalEntry accepted;
  accepted.set_kind(schema::ENTRY_ACCEPTED);
  accepted.set_request_id(id);
  *accepted.mutable_request() = entry.request;
  *accepted.mutable_work_class() = entry.work_class;
  accepted.set_content_hash(entry.content_hash);
  accepted.set_accepted_unix_ms(entry.properties.accepted_unix_ms);
  accepted.set_deadline_unix_ms(entry.properties.deadline_unix_ms);
  accepted.set_epoch(entry.properties.epoch);
  return accepted;
}

schema::JournalEntry JournalEntryOf(const std::string& id, std::uint32_t index,
                                    const TaskEntry& task) {
  schema::JournalEntry entry;
  entry.set_kind(task.phase == TaskPhase::kAssigned ? schema::ENTRY_ASSIGNED : schema::ENTRY_ENDED);
  entry.set_request_id(id);
  entry.set_task_index(index);
  entry.set_attempt(task.attempt);
  entry.set_worker(task.worker);
  entry.set_outcome(static_cast<std::uint32_t>(task.outcome));
  entry.set_result(task.result);
  entry.set_again(task.phase == TaskPhase::kWaiting);
  return entry;
}

// Applies an entry of an assigned or ended attempt. Entries may occur more than once, but those of
// one attempt are in order.
void Replay(const schema::JournalEntry& entry, RequestEntry& request) {
  if (entry.task_index() >= request.tasks.size()) return;
  TaskEntry& task = request.tasks[entry.task_index()];
  const bool known = task.phase != TaskPhase::kWaiting || task.ran;
  if (task.phase == TaskPhase::kEnded || (known && entry.attempt() < task.attempt)) return;
  if (entry.kind() == schema::ENTRY_ASSIGNED) {
    if (known && entry.attempt() == task.attempt) return;
    task.next_attempt = entry.attempt();
    task.phase = TaskPhase::kAssigned;
    task.attempt = entry.attempt();
    task.worker = entry.worker();
    return;
  }
  if (task.ran && entry.attempt() == task.attempt && entry.again()) return;
  task.phase = entry.again() ? TaskPhase::kWaiting : TaskPhase::kEnded;
  task.attempt = entry.attempt();
  task.next_attempt = entry.attempt() + 1;
  task.worker = entry.worker();
  task.outcome = static_cast<TaskOutcome>(entry.outcome());
  task.result = entry.result();
  task.ran = true;
  ++task.tries;
}

// A task that was passed to another instance has no worker until that instance reports one, so an
// empty name matches every worker.
bool IsSameWorker(const std::string& assigned, const std::string& reported) {
  return assigned.empty() || reported.empty() ||
         ParseWorkerRef(assigned).first == ParseWorkerRef(reported).first;
}

}  // namespace

std::string RequestIdOf(const std::string& team, const std::string& key) {
  std::string bytes = team;
  bytes.push_back('\0');
  bytes += key;
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return Hex64(hash.high64) + Hex64(hash.low64);
}

struct Ledger::Impl {
  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<std::string, RequestEntry> requests;
    std::deque<std::string> finished;

    RequestEntry* Find(const std::string& id) {
      const auto found = requests.find(id);
      return found == requests.end() ? nullptr : &found->second;
    }
  };

  std::size_t max_finished_per_shard = 0;
  std::function<std::int64_t()> unix_ms;
  std::array<Shard, kStateShards> shards;

  Shard& ShardOf(const std::string& id) {
    return shards[std::hash<std::string>{}(id) % shards.size()];
  }

  std::shared_ptr<schema::Answer> BaseAnswer(const std::string& id,
                                             const RequestEntry& entry) const {
    auto answer = std::make_shared<schema::Answer>();
    answer->set_id(id);
    answer->set_attempts(entry.attempts);
    answer->set_location("/v1/requests/" + id);
    answer->set_finished_unix_ms(unix_ms());
    return answer;
  }

  Finished Finish(Shard& shard, const std::string& id, RequestEntry& entry,
                  std::shared_ptr<schema::Answer> answer, bool given_up) {
    entry.answer = std::move(answer);
    const bool durable = entry.properties.durable && entry.acceptance != Acceptance::kNone;
    Finished finished{entry.answer, {}, durable, entry.content_hash, false};
    // The answer is held back until the journal has it, because until then a new owner would run a
    // request that was given up.
    entry.deliverable = !durable || !given_up;
    if (entry.deliverable) finished.waiters = std::exchange(entry.waiters, {});
    // The caller was asked to retry with the same key, so the request is removed and can run then.
    if (!durable && entry.answer->not_run() && entry.answer->has_retry_after()) {
      finished.forgotten = true;
      shard.requests.erase(id);
      return finished;
    }
    KeepFinished(shard, id);
    return finished;
  }

  void KeepFinished(Shard& shard, const std::string& id) {
    shard.finished.push_back(id);
    const std::int64_t oldest =
        unix_ms() -
        std::chrono::duration_cast<std::chrono::milliseconds>(kFinishedRetention).count();
    while (shard.finished.size() > max_finished_per_shard ||
           (!shard.finished.empty() && FinishedUnixMs(shard, shard.finished.front()) < oldest)) {
      shard.requests.erase(shard.finished.front());
      shard.finished.pop_front();
    }
  }

  static std::int64_t FinishedUnixMs(Shard& shard, const std::string& id) {
    return shard.requests[id].answer->finished_unix_ms();
  }

  Finished FinishGivenUp(Shard& shard, const std::string& id, RequestEntry& entry) {
    const PendingGiveUp& give_up = *entry.give_up;
    const bool ran = entry.MayHaveRun();
    auto answer = BaseAnswer(id, entry);
    // A task whose worker was removed may have run, so the outcome of the request is unknown.
    const bool unknown =
        std::any_of(entry.tasks.begin(), entry.tasks.end(), [](const TaskEntry& task) {
          return task.phase == TaskPhase::kEnded && task.outcome == TaskOutcome::kLost;
        });
    const schema::Code code = unknown ? schema::CODE_OUTCOME_UNKNOWN : give_up.error.code;
    answer->set_code(code);
    answer->set_message(give_up.error.message);
    const bool cancelled = code == schema::CODE_CANCELLED;
    const bool refused =
        entry.properties.durable ? entry.acceptance == Acceptance::kNone : !ran && !cancelled;
    answer->set_state(refused     ? schema::STATE_REFUSED
                      : cancelled ? schema::STATE_CANCELLED
                                  : schema::STATE_FAILED);
    answer->set_not_run(!ran);
    if (give_up.retry_after.count() > 0) {
      SetDuration(give_up.retry_after, answer->mutable_retry_after());
    }
    return Finish(shard, id, entry, std::move(answer), true);
  }

  Finished FinishEnded(Shard& shard, const std::string& id, RequestEntry& entry) {
    auto answer = BaseAnswer(id, entry);
    schema::Code code = schema::CODE_OK;
    for (const TaskEntry& task : entry.tasks) {
      answer->add_results(task.result);
      if (task.outcome != TaskOutcome::kSucceeded && code == schema::CODE_OK) {
        code = CodeOf(task.outcome);
      }
    }
    answer->set_code(code);
    answer->set_state(code == schema::CODE_OK          ? schema::STATE_SUCCEEDED
                      : code == schema::CODE_CANCELLED ? schema::STATE_CANCELLED
                                                       : schema::STATE_FAILED);
    answer->set_not_run(!entry.MayHaveRun());
    return Finish(shard, id, entry, std::move(answer), false);
  }

  // Ends the request if all its tasks have ended, or if it was given up and no attempt is assigned.
  Ended FinishIfDone(Shard& shard, const std::string& id, RequestEntry& entry, Ended ended) {
    const bool all_ended =
        std::all_of(entry.tasks.begin(), entry.tasks.end(),
                    [](const TaskEntry& task) { return task.phase == TaskPhase::kEnded; });
    if (all_ended) {
      ended.finished = FinishEnded(shard, id, entry);
    } else if (entry.give_up && !entry.IsAnyAssigned()) {
      ended.finished = FinishGivenUp(shard, id, entry);
    } else {
      if (entry.give_up && ended.effect == EndEffect::kRetry) ended.effect = EndEffect::kRecorded;
      return ended;
    }
    ended.effect = EndEffect::kFinished;
    ended.must_write = false;  // The finished entry makes an entry for the attempt unnecessary.
    return ended;
  }

  // @returns whether a report about the end of an attempt is late or repeated and must be ignored.
  // For a task that may run more than once, success is accepted from any attempt.
  static bool IsStale(const RequestEntry& entry, const TaskEntry& state, const TaskKey& task,
                      const std::string& worker, TaskOutcome outcome) {
    if (entry.answer || state.phase == TaskPhase::kEnded) return true;
    if (state.phase == TaskPhase::kAssigned) {
      if (state.attempt == task.attempt && IsSameWorker(state.worker, worker)) return false;
      return entry.properties.single_copy || outcome != TaskOutcome::kSucceeded;
    }
    if (outcome == TaskOutcome::kNotStarted) return task.attempt < state.next_attempt;
    if (entry.properties.single_copy) return true;
    return outcome != TaskOutcome::kSucceeded && task.attempt < state.next_attempt;
  }

  Ended End(Shard& shard, const TaskKey& task, TaskEntry& state, RequestEntry& entry,
            TaskOutcome outcome, const std::string& result, bool will_retry) {
    const bool single = entry.properties.single_copy;
    Ended ended{EndEffect::kRecorded, false, task, std::nullopt};
    if (outcome == TaskOutcome::kLost && single) {
      ended.effect = EndEffect::kUnknown;
      return ended;
    }
    state.next_attempt =
        std::max({state.next_attempt, task.attempt + 1, entry.properties.first_attempt});
    ended.retry.attempt = state.next_attempt;
    if (outcome == TaskOutcome::kNotStarted) {
      state.phase = TaskPhase::kWaiting;
      if (!will_retry) ended.effect = EndEffect::kRetry;
      return FinishIfDone(shard, task.request_id, entry, std::move(ended));
    }
    state.attempt = task.attempt;
    state.ran = true;
    ++state.tries;
    state.outcome = outcome;
    state.result = result;
    const bool has_attempts_left = state.tries < entry.properties.max_attempts;
    const bool may_retry = outcome != TaskOutcome::kSucceeded && entry.properties.idempotent &&
                           outcome != TaskOutcome::kStopped;
    // The engine does not know attempts that an earlier owner started, so it does not retry them.
    const bool retry = may_retry && !will_retry && has_attempts_left && entry.restored;
    if ((will_retry && entry.properties.idempotent) || retry) {
      state.phase = TaskPhase::kWaiting;
      ended.must_write = single;
      if (retry) ended.effect = EndEffect::kRetry;
    } else {
      state.phase = TaskPhase::kEnded;
      ended.must_write = entry.properties.durable;
    }
    return FinishIfDone(shard, task.request_id, entry, std::move(ended));
  }
};

Result<std::unique_ptr<Ledger>> Ledger::Create(std::size_t max_finished,
                                               std::function<std::int64_t()> unix_ms) {
  auto impl = std::make_unique<Impl>();
  impl->max_finished_per_shard = max_finished / kStateShards + 1;
  impl->unix_ms = unix_ms ? std::move(unix_ms)
                          : [] { return UnixMilliseconds(std::chrono::system_clock::now()); };
  return std::unique_ptr<Ledger>(new Ledger(std::move(impl)));
}

Ledger::Ledger(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Ledger::~Ledger() = default;

Arrival Ledger::Arrive(const std::string& id, const schema::Request& request,
                       const schema::WorkClass& work_class, const RequestProperties& properties,
                       const Waiter& waiter, std::shared_ptr<const schema::Answer>* answer) {
  auto& shard = m_impl->ShardOf(id);
  std::lock_guard lock(shard.mutex);
  auto [found, added] = shard.requests.try_emplace(id);
  RequestEntry& entry = found->second;
  const std::uint64_t hash = ContentHash(request);
  if (!added && entry.content_hash != hash) return Arrival::kKeyReused;
  if (entry.answer && entry.deliverable) {
    *answer = entry.answer;
    return Arrival::kFinished;
  }
  if (std::find(entry.waiters.begin(), entry.waiters.end(), waiter) == entry.waiters.end()) {
    entry.waiters.push_back(waiter);
  }
  if (!added) return Arrival::kPending;
  entry.request = request;
  entry.work_class = work_class;
  entry.properties = properties;
  entry.content_hash = hash;
  entry.tasks.resize(std::max(1U, request.task_count()));
  return Arrival::kNew;
}

std::optional<schema::JournalEntry> Ledger::TakeAcceptedEntry(const std::string& id) {
  auto& shard = m_impl->ShardOf(id);
  std::lock_guard lock(shard.mutex);
  RequestEntry* entry = shard.Find(id);
  if (entry == nullptr || entry->answer || !entry->properties.durable) return std::nullopt;
  if (entry->acceptance != Acceptance::kNone) return std::nullopt;
  entry->acceptance = Acceptance::kWriting;
  return AcceptedEntry(id, *entry);
}

std::vector<Waiter> Ledger::SetAccepted(const std::string& id) {
  auto& shard = m_impl->ShardOf(id);
  std::lock_guard lock(shard.mutex);
  RequestEntry* entry = shard.Find(id);
  if (entry == nullptr || entry->answer) return {};
  entry->acceptance = Acceptance::kAccepted;
  if (!entry->request.no_wait()) return {};
  return std::exchange(entry->waiters, {});
}

std::vector<Waiter> Ledger::SetFinished(const std::string& id) {
  auto& shard = m_impl->ShardOf(id);
  std::lock_guard lock(shard.mutex);
  RequestEntry* entry = shard.Find(id);
  if (entry == nullptr || !entry->answer) return {};
  entry->deliverable = true;
  return std::exchange(entry->waiters, {});
}

bool Ledger::Assign(const TaskKey& task, const std::string& worker) {
  auto& shard = m_impl->ShardOf(task.request_id);
  std::lock_guard lock(shard.mutex);
  RequestEntry* entry = shard.Find(task.request_id);
  if (entry == nullptr || entry->answer || entry->give_up) return false;
  if (entry->properties.durable && entry->acceptance != Acceptance::kAccepted) return false;
  if (task.index >= entry->tasks.size()) return false;
  TaskEntry& state = entry->tasks[task.index];
  if (state.phase == TaskPhase::kEnded || task.attempt < state.next_attempt) return false;
  if (entry->properties.single_copy) {
    if (state.phase != TaskPhase::kWaiting) return false;
    if (state.ran && !entry->properties.idempotent) return false;
  }
  state.phase = TaskPhase::kAssigned;
  state.attempt = task.attempt;
  state.next_attempt = task.attempt;
  state.worker = worker;
  ++entry->attempts;
  return true;
}

void Ledger::MarkRunning(const TaskKey& task, const std::string& worker) {
  auto& shard = m_impl->ShardOf(task.request_id);
  std::lock_guard lock(shard.mutex);
  RequestEntry* entry = shard.Find(task.request_id);
  if (entry == nullptr || entry->answer || task.index >= entry->tasks.size()) return;
  TaskEntry& state = entry->tasks[task.index];
  if (state.phase == TaskPhase::kAssigned && state.attempt == task.attempt &&
      state.worker.empty()) {
    state.worker = worker;  // Chosen by the instance that took the task.
  }
  // A late report must not reopen an attempt that is known to have ended.
  if (state.phase != TaskPhase::kWaiting || task.attempt < state.next_attempt) return;
  if (entry->properties.single_copy) {
    spdlog::error("event=unexpected_task request={} index={} attempt={} worker={}", task.request_id,
                  task.index, task.attempt, worker);
    return;
  }
  state.phase = TaskPhase::kAssigned;
  state.attempt = task.attempt;
  state.worker = worker;
}

Ended Ledger::EndTask(const TaskKey& task, const std::string& worker, TaskOutcome outcome,
                      const std::string& result, bool will_retry) {
  auto& shard = m_impl->ShardOf(task.request_id);
  std::lock_guard lock(shard.mutex);
  RequestEntry* entry = shard.Find(task.request_id);
  if (entry == nullptr || task.index >= entry->tasks.size()) return {};
  TaskEntry& state = entry->tasks[task.index];
  if (Impl::IsStale(*entry, state, task, worker, outcome)) return {};
  return m_impl->End(shard, task, state, *entry, outcome, result, will_retry);
}

Ended Ledger::EndRemoved(const TaskKey& task, const std::string& worker) {
  auto& shard = m_impl->ShardOf(task.request_id);
  std::lock_guard lock(shard.mutex);
  RequestEntry* entry = shard.Find(task.request_id);
  if (entry == nullptr || task.index >= entry->tasks.size()) return {};
  TaskEntry& state = entry->tasks[task.index];
  if (state.phase != TaskPhase::kAssigned || state.attempt != task.attempt ||
      state.worker != worker || entry->answer) {
    return {};
  }
  state.ran = true;
  Ended ended{EndEffect::kRetry, entry->properties.single_copy, task, std::nullopt};
  state.next_attempt = std::max(state.attempt + 1, entry->properties.first_attempt);
  ended.retry.attempt = state.next_attempt;
  state.phase = entry->properties.idempotent ? TaskPhase::kWaiting : TaskPhase::kEnded;
  state.outcome = TaskOutcome::kLost;
  if (!entry->properties.idempotent) ended.effect = EndEffect::kRecorded;
  return m_impl->FinishIfDone(shard, task.request_id, *entry, std::move(ended));
}

std::optional<Finished> Ledger::GiveUp(const std::string& id, const Error& error,
                                       std::chrono::milliseconds retry_after) {
  auto& shard = m_impl->ShardOf(id);
  std::lock_guard lock(shard.mutex);
  RequestEntry* entry = shard.Find(id);
  if (entry == nullptr || entry->answer || entry->give_up) return std::nullopt;
  entry->give_up = PendingGiveUp{error, retry_after};
  if (entry->IsAnyAssigned()) return std::nullopt;
  return m_impl->FinishGivenUp(shard, id, *entry);
}

std::optional<Finished> Ledger::Refuse(const std::string& id, const Error& error,
                                       std::chrono::milliseconds retry_after) {
  auto& shard = m_impl->ShardOf(id);
  std::lock_guard lock(shard.mutex);
  RequestEntry* entry = shard.Find(id);
  if (entry == nullptr || entry->answer || entry->acceptance == Acceptance::kAccepted) {
    return std::nullopt;
  }
  auto answer = m_impl->BaseAnswer(id, *entry);
  answer->clear_location();
  answer->set_code(error.code);
  answer->set_message(error.message);
  answer->set_state(schema::STATE_REFUSED);
  answer->set_not_run(true);
  if (retry_after.count() > 0) SetDuration(retry_after, answer->mutable_retry_after());
  Finished finished{std::move(answer), std::move(entry->waiters), false, entry->content_hash, true};
  shard.requests.erase(id);
  return finished;
}

void Ledger::Restore(const std::string& id, const std::vector<const schema::JournalEntry*>& entries,
                     const std::function<std::uint32_t(std::uint64_t epoch)>& first_attempt) {
  RequestEntry restored;
  restored.restored = true;
  restored.acceptance = Acceptance::kAccepted;
  // The accepted entry is looked for first, because a copy of it may follow entries that were
  // written while it was copied.
  for (const schema::JournalEntry* entry : entries) {
    if (entry->kind() == schema::ENTRY_ACCEPTED && restored.tasks.empty()) {
      restored.request = entry->request();
      restored.work_class = entry->work_class();
      restored.content_hash = entry->content_hash();
      RequestProperties& properties = restored.properties;
      properties.accepted_unix_ms = entry->accepted_unix_ms();
      properties.deadline_unix_ms = entry->deadline_unix_ms();
      properties.epoch = entry->epoch();
      properties.durable = true;
      properties.idempotent = entry->request().has_idempotent() ? entry->request().idempotent()
                                                                : entry->work_class().idempotent();
      properties.single_copy = entry->work_class().exclusive() || !properties.idempotent;
      properties.max_attempts = std::max(1U, entry->work_class().max_attempts());
      properties.first_attempt = first_attempt(entry->epoch());
      restored.tasks.resize(std::max(1U, entry->request().task_count()));
    }
  }
  for (const schema::JournalEntry* entry : entries) {
    if (entry->kind() == schema::ENTRY_FINISHED) {
      restored.answer = std::make_shared<schema::Answer>(entry->answer());
      restored.content_hash = entry->content_hash();
    } else if (entry->kind() != schema::ENTRY_ACCEPTED) {
      Replay(*entry, restored);
    }
  }
  if (!restored.answer && restored.tasks.empty()) return;
  for (TaskEntry& task : restored.tasks) {
    // Starts of tasks that may run more than once are not journaled, so each may have run.
    task.ran = task.ran || !restored.properties.single_copy;
    if (task.phase != TaskPhase::kWaiting || task.tries > 0) ++restored.attempts;
  }
  auto& shard = m_impl->ShardOf(id);
  std::lock_guard lock(shard.mutex);
  const bool finished = restored.answer != nullptr;
  if (!shard.requests.emplace(id, std::move(restored)).second) return;
  if (finished) m_impl->KeepFinished(shard, id);
}

std::vector<schema::JournalEntry> Ledger::Export(
    const std::function<bool(const std::string& id)>& wanted) const {
  std::vector<schema::JournalEntry> entries;
  for (const auto& shard : m_impl->shards) {
    std::lock_guard lock(shard.mutex);
    for (const auto& [id, entry] : shard.requests) {
      if (entry.acceptance != Acceptance::kAccepted || !wanted(id)) continue;
      if (entry.answer) {
        schema::JournalEntry finished;
        finished.set_kind(schema::ENTRY_FINISHED);
        finished.set_request_id(id);
        finished.set_content_hash(entry.content_hash);
        *finished.mutable_answer() = *entry.answer;
        entries.push_back(std::move(finished));
        continue;
      }
      entries.push_back(AcceptedEntry(id, entry));
      for (std::uint32_t i = 0; i < entry.tasks.size(); ++i) {
        const TaskEntry& task = entry.tasks[i];
        const bool assigned = task.phase == TaskPhase::kAssigned && entry.properties.single_copy;
        const bool awaits_retry =
            task.phase == TaskPhase::kWaiting && task.ran && entry.properties.single_copy;
        if (assigned || awaits_retry || task.phase == TaskPhase::kEnded) {
          entries.push_back(JournalEntryOf(id, i, task));
        }
      }
    }
  }
  return entries;
}

std::optional<schema::Answer> Ledger::Status(const std::string& id) const {
  auto& shard = m_impl->ShardOf(id);
  std::lock_guard lock(shard.mutex);
  const RequestEntry* entry = shard.Find(id);
  if (entry == nullptr) return std::nullopt;
  if (entry->answer && entry->deliverable) return *entry->answer;
  schema::Answer answer;
  answer.set_id(id);
  const bool accepted = !entry->properties.durable || entry->acceptance == Acceptance::kAccepted;
  answer.set_state(!accepted             ? schema::STATE_UNKNOWN
                   : entry->MayHaveRun() ? schema::STATE_RUNNING
                                         : schema::STATE_WAITING);
  answer.set_attempts(entry->attempts);
  answer.set_location("/v1/requests/" + id);
  return answer;
}

std::optional<schema::Request> Ledger::Find(const std::string& id) const {
  auto& shard = m_impl->ShardOf(id);
  std::lock_guard lock(shard.mutex);
  const RequestEntry* entry = shard.Find(id);
  if (entry == nullptr) return std::nullopt;
  return entry->request;
}

std::optional<schema::WorkClass> Ledger::FindClass(const std::string& id) const {
  auto& shard = m_impl->ShardOf(id);
  std::lock_guard lock(shard.mutex);
  const RequestEntry* entry = shard.Find(id);
  if (entry == nullptr) return std::nullopt;
  return entry->work_class;
}

std::optional<RequestProperties> Ledger::Properties(const std::string& id) const {
  auto& shard = m_impl->ShardOf(id);
  std::lock_guard lock(shard.mutex);
  const RequestEntry* entry = shard.Find(id);
  if (entry == nullptr) return std::nullopt;
  RequestProperties properties = entry->properties;
  properties.accepted = entry->acceptance == Acceptance::kAccepted;
  return properties;
}

std::vector<std::pair<TaskKey, std::string>> Ledger::Assigned() const {
  std::vector<std::pair<TaskKey, std::string>> assigned;
  for (const auto& shard : m_impl->shards) {
    std::lock_guard lock(shard.mutex);
    for (const auto& [id, entry] : shard.requests) {
      if (entry.answer) continue;
      for (std::uint32_t i = 0; i < entry.tasks.size(); ++i) {
        const TaskEntry& task = entry.tasks[i];
        if (task.phase != TaskPhase::kAssigned) continue;
        assigned.emplace_back(TaskKey{id, i, task.attempt}, task.worker);
      }
    }
  }
  return assigned;
}

std::vector<OpenTask> Ledger::OpenTasks(const std::string& id) const {
  auto& shard = m_impl->ShardOf(id);
  std::lock_guard lock(shard.mutex);
  const RequestEntry* entry = shard.Find(id);
  std::vector<OpenTask> open;
  if (entry == nullptr || entry->answer) return open;
  for (std::uint32_t i = 0; i < entry->tasks.size(); ++i) {
    const TaskEntry& task = entry->tasks[i];
    if (task.phase == TaskPhase::kEnded) continue;
    const bool assigned = task.phase == TaskPhase::kAssigned;
    if (!assigned && entry->give_up) continue;
    open.push_back(
        {i, assigned ? task.attempt : std::max(task.next_attempt, entry->properties.first_attempt),
         assigned, task.worker});
  }
  return open;
}

bool Ledger::IsAssigned(const TaskKey& task) const {
  for (const OpenTask& open : OpenTasks(task.request_id)) {
    if (open.index == task.index) return open.assigned && open.attempt == task.attempt;
  }
  return false;
}

void Ledger::Drop(const std::function<bool(const std::string& id)>& drop) {
  for (auto& shard : m_impl->shards) {
    std::lock_guard lock(shard.mutex);
    std::erase_if(shard.requests, [&](const auto& entry) { return drop(entry.first); });
    std::erase_if(shard.finished, drop);
  }
}

std::size_t Ledger::Pending() const {
  std::size_t pending = 0;
  for (const auto& shard : m_impl->shards) {
    std::lock_guard lock(shard.mutex);
    pending += shard.requests.size() - shard.finished.size();
  }
  return pending;
}

}  // namespace citronsill
