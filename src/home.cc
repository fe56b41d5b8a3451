#include "citronsill/home.h"

#include "citronsill/convert.h"
#include "citronsill/ownership.h"
#include "internal.h"

namespace citronsill {
namespace {

// Work whose second run would do harm, or whose caller does not wait, is written to the journal.
bool IsDurable(const schema::Request& request, const schema::WorkClass& work_class) {
  return work_class.durable() || work_class.exclusive() || request.no_wait() ||
         !IsIdempotent(request, work_class) || work_class.policy() != schema::POLICY_INTERACTIVE ||
         request.all_at_once();
}

bool NeedsAssignedEntry(const schema::Request& request, const schema::WorkClass& work_class) {
  return work_class.exclusive() || !IsIdempotent(request, work_class);
}

}  // namespace

struct Home::Impl : std::enable_shared_from_this<Impl> {
  Impl(Ledger& request_ledger, Journal& request_journal, const HomeOptions& home_options,
       HomeHooks home_hooks)
      : ledger(request_ledger),
        journal(request_journal),
        options(home_options),
        hooks(std::move(home_hooks)) {}

  Ledger& ledger;
  Journal& journal;
  HomeOptions options;
  HomeHooks hooks;
  std::mutex mutex;
  std::set<PartitionId> recovering;

  PartitionId Partition(const std::string& id) const {
    return PartitionOf(id, options.partition_count);
  }

  bool Serves(PartitionId partition) {
    std::lock_guard lock(mutex);
    return hooks.owns(partition) && !recovering.contains(partition);
  }

  schema::Ack OnForward(const schema::Forward& forward) {
    schema::Ack ack;
    if (!Serves(Partition(forward.id()))) {
      ack.set_code(schema::CODE_NOT_OWNER);
      ack.set_message("the partition is not served here");
      return ack;
    }
    const Waiter waiter{forward.entry_id(), forward.entry_address()};
    const auto work_class = hooks.find_class(forward.request().work_class());
    if (!work_class) {
      Refuse(forward, waiter, schema::CODE_UNKNOWN_CLASS,
             "no work class \"" + forward.request().work_class() + "\"");
      return ack;
    }
    const bool durable = IsDurable(forward.request(), *work_class);
    std::shared_ptr<const schema::Answer> answer;
    switch (ledger.Arrive(forward.id(), forward.request(), durable, waiter, &answer)) {
      case Arrival::kFinished:
        hooks.deliver(waiter, answer);
        break;
      case Arrival::kPending:
        break;
      case Arrival::kKeyReused:
        Refuse(forward, waiter, schema::CODE_KEY_REUSED,
               "the idempotency key came with other content before");
        break;
      case Arrival::kNew:
        Admit(forward, *work_class, durable);
        break;
    }
    return ack;
  }

  void Refuse(const schema::Forward& forward, const Waiter& waiter, schema::Code code,
              const std::string& message) {
    auto answer = std::make_shared<schema::Answer>();
    answer->set_id(forward.id());
    answer->set_state(schema::STATE_REFUSED);
    answer->set_code(code);
    answer->set_message(message);
    answer->set_not_run(code != schema::CODE_KEY_REUSED);
    hooks.deliver(waiter, std::move(answer));
  }

  void Admit(const schema::Forward& forward, const schema::WorkClass& work_class, bool durable) {
    JobSpec job = MakeJob(forward.id(), forward.request(), work_class);
    if (forward.has_deadline_left()) {
      job.deadline = std::chrono::steady_clock::now() + ToMilliseconds(forward.deadline_left());
    }
    if (!durable) return Submit(job);
    schema::JournalEntry entry;
    entry.set_kind(schema::ENTRY_ACCEPTED);
    entry.set_partition(Partition(forward.id()).value);
    entry.set_request_id(forward.id());
    *entry.mutable_request() = forward.request();
    entry.set_accepted_unix_ms(UnixMilliseconds(std::chrono::system_clock::now()));
    journal.Append({entry}, [self = shared_from_this(), job, forward](Result<void> written) {
      if (!written) {
        return self->GiveUp(job.id, written.error(), std::chrono::seconds(1));
      }
      self->Submit(job);
      if (forward.request().no_wait()) self->Accepted(forward);
    });
  }

  void Accepted(const schema::Forward& forward) {
    auto answer = ledger.Status(forward.id());
    if (!answer) return;
    hooks.deliver({forward.entry_id(), forward.entry_address()},
                  std::make_shared<schema::Answer>(std::move(*answer)));
  }

  void Submit(const JobSpec& job) {
    const Admission admission = hooks.submit(job);
    if (admission.code == schema::CODE_OK) return;
    GiveUp(job.id, {admission.code, admission.message}, admission.retry_after);
  }

  void GiveUp(const std::string& id, const Error& error, std::chrono::milliseconds retry_after) {
    if (auto finished = ledger.GiveUp(id, error, retry_after)) Finish(*finished, [] {});
  }

  void Finish(const Finished& finished, const std::function<void()>& done) {
    for (const Waiter& waiter : finished.waiters) hooks.deliver(waiter, finished.answer);
    if (!finished.durable) return done();
    WriteEnd(finished.answer, done);
  }

  void WriteEnd(const std::shared_ptr<const schema::Answer>& answer,
                const std::function<void()>& done) {
    schema::JournalEntry entry;
    entry.set_kind(schema::ENTRY_FINISHED);
    entry.set_partition(Partition(answer->id()).value);
    entry.set_request_id(answer->id());
    *entry.mutable_answer() = *answer;
    journal.Append({entry}, [done](Result<void> written) {
      // Without the entry the worker keeps the result and reports it again.
      if (written) done();
    });
  }

  void BeforeStart(const Action& start, std::uint64_t worker_incarnation,
                   const std::function<void(bool)>& go) {
    const auto request = ledger.Find(start.task.request_id);
    const auto work_class = request ? hooks.find_class(request->work_class()) : std::nullopt;
    if (!request || !work_class || !Serves(Partition(start.task.request_id))) return go(false);
    if (!NeedsAssignedEntry(*request, *work_class)) {
      ledger.Assign(start.task);
      return go(true);
    }
    schema::JournalEntry entry;
    entry.set_kind(schema::ENTRY_ASSIGNED);
    entry.set_partition(Partition(start.task.request_id).value);
    entry.set_request_id(start.task.request_id);
    entry.set_worker(start.worker);
    entry.set_worker_incarnation(worker_incarnation);
    entry.set_task_index(start.task.index);
    entry.set_attempt(start.task.attempt);
    journal.Append({entry},
                   [self = shared_from_this(), task = start.task, go](Result<void> written) {
                     if (written) self->ledger.Assign(task);
                     go(written.has_value());
                   });
  }

  void OnTaskEvent(const TaskEvent& event, const std::function<void()>& done) {
    if (!event.ended) return done();
    if (auto finished = ledger.EndTask(event.task, event.outcome, event.result, event.again)) {
      return Finish(*finished, done);
    }
    done();
  }

  void OnGained(PartitionId partition, const std::vector<std::string>& streams) {
    {
      std::lock_guard lock(mutex);
      recovering.insert(partition);
    }
    Recover(partition, streams);
  }

  void Recover(PartitionId partition, const std::vector<std::string>& streams) {
    journal.Load(partition, streams,
                 [self = shared_from_this(), partition,
                  streams](Result<std::vector<schema::JournalEntry>> entries) {
                   if (!self->hooks.owns(partition)) return;
                   if (!entries) return self->Recover(partition, streams);
                   self->Replay(partition, entries.value());
                 });
  }

  void Replay(PartitionId partition, const std::vector<schema::JournalEntry>& entries) {
    struct Replayed {
      const schema::JournalEntry* accepted = nullptr;
      const schema::JournalEntry* assigned = nullptr;
      const schema::JournalEntry* finished = nullptr;
    };
    std::map<std::string, Replayed> requests;
    for (const schema::JournalEntry& entry : entries) {
      Replayed& replayed = requests[entry.request_id()];
      if (entry.kind() == schema::ENTRY_ACCEPTED) replayed.accepted = &entry;
      if (entry.kind() == schema::ENTRY_ASSIGNED) replayed.assigned = &entry;
      if (entry.kind() == schema::ENTRY_FINISHED) replayed.finished = &entry;
    }
    {
      std::lock_guard lock(mutex);
      recovering.erase(partition);
    }
    for (const auto& [id, replayed] : requests) {
      if (replayed.accepted == nullptr || replayed.finished != nullptr) continue;
      Resume(*replayed.accepted, replayed.assigned);
    }
    spdlog::info("event=partition_recovered partition={} requests={}", partition.value,
                 requests.size());
  }

  void Resume(const schema::JournalEntry& accepted, const schema::JournalEntry* assigned) {
    const auto work_class = hooks.find_class(accepted.request().work_class());
    if (!work_class) return;
    std::shared_ptr<const schema::Answer> answer;
    if (ledger.Arrive(accepted.request_id(), accepted.request(), true, Waiter{}, &answer) !=
        Arrival::kNew) {
      return;
    }
    if (assigned != nullptr) {
      ledger.Assign({assigned->request_id(), assigned->task_index(), assigned->attempt()});
      return;  // The worker reports what became of it.
    }
    Submit(MakeJob(accepted.request_id(), accepted.request(), *work_class));
  }
};

Result<std::unique_ptr<Home>> Home::Create(Ledger& ledger, Journal& journal,
                                           const HomeOptions& options, HomeHooks hooks) {
  return std::unique_ptr<Home>(
      new Home(std::make_shared<Impl>(ledger, journal, options, std::move(hooks))));
}

Home::Home(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Home::~Home() = default;

schema::Ack Home::OnForward(const schema::Forward& forward) { return m_impl->OnForward(forward); }

void Home::BeforeStart(const Action& start, std::uint64_t worker_incarnation,
                       std::function<void(bool)> go) {
  m_impl->BeforeStart(start, worker_incarnation, go);
}

void Home::OnTaskEvent(const TaskEvent& event, std::function<void()> done) {
  m_impl->OnTaskEvent(event, done);
}

void Home::OnGiveUp(const Action& action) {
  m_impl->GiveUp(action.task.request_id, {action.code, action.message}, action.retry_after);
}

void Home::OnGained(PartitionId partition, const std::vector<std::string>& streams) {
  m_impl->OnGained(partition, streams);
}

void Home::OnLost(PartitionId partition) {
  {
    std::lock_guard lock(m_impl->mutex);
    m_impl->recovering.erase(partition);
  }
  m_impl->ledger.Drop(
      [this, partition](const std::string& id) { return m_impl->Partition(id) == partition; });
}

std::optional<TaskJob> Home::FindJob(const std::string& request_id) const {
  auto request = m_impl->ledger.Find(request_id);
  if (!request) return std::nullopt;
  const auto work_class = m_impl->hooks.find_class(request->work_class());
  if (!work_class) return std::nullopt;
  if (!request->has_run_time()) *request->mutable_run_time() = work_class->default_run_time();
  if (!request->has_size()) *request->mutable_size() = work_class->default_size();
  TaskJob job;
  job.idempotent = IsIdempotent(*request, *work_class);
  job.exclusive = work_class->exclusive();
  job.interactive = work_class->policy() == schema::POLICY_INTERACTIVE;
  job.request = std::make_shared<schema::Request>(std::move(*request));
  return job;
}

Result<void> Home::Cancel(const std::string& request_id) {
  if (!m_impl->Serves(m_impl->Partition(request_id))) {
    return Error{schema::CODE_NOT_OWNER, "the partition is not served here"};
  }
  if (!m_impl->ledger.Find(request_id)) {
    return Error{schema::CODE_NOT_FOUND, "no request " + request_id};
  }
  m_impl->hooks.cancel(request_id);
  if (!m_impl->ledger.MayHaveRun(request_id)) {
    m_impl->GiveUp(request_id, {schema::CODE_CANCELLED, "cancelled before it was started"}, {});
  }
  return Success();
}

std::optional<schema::Answer> Home::Status(const std::string& request_id) const {
  return m_impl->ledger.Status(request_id);
}

}  // namespace citronsill
