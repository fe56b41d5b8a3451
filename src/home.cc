#include "home_state.h"

namespace citronsill {
namespace {

using std::chrono::milliseconds;

// Delay before a task that needs another attempt is submitted again.
constexpr milliseconds kRetryDelay{500};

// Number of refused requests that are remembered, because their key may arrive again while an old
// start or forward is still in progress.
constexpr std::size_t kMaxRefused = 16384;

// Distance between the first attempt numbers of a refused request and of its next arrival, so that
// the two do not share attempt numbers.
constexpr std::uint32_t kAttemptsPerArrival = 64;

// Number of consecutive epochs whose attempt numbers differ from one another.
constexpr std::uint32_t kDistinctEpochs = 65536;

// Work is journaled if a second run would do harm, if its caller does not wait for the result, if
// it is not interactive, if all its tasks have to start together, or if its class requests it.
bool IsDurable(const schema::Request& request, const schema::WorkClass& work_class) {
  return work_class.durable() || work_class.exclusive() || request.no_wait() ||
         !IsIdempotent(request, work_class) || work_class.policy() != schema::POLICY_INTERACTIVE ||
         request.all_at_once();
}

JobSpec JobOf(const std::string& id, const schema::Request& request,
              const schema::WorkClass& work_class, const RequestProperties& properties) {
  JobSpec job = MakeJob(id, request, work_class);
  job.idempotent = properties.idempotent;
  job.first_attempt = properties.first_attempt;
  job.max_attempts = properties.first_attempt + properties.max_attempts;
  return job;
}

// Time left until the deadline of the work itself. The forwarded deadline counts only if the caller
// waits or has named one; otherwise the default of the work class applies.
std::optional<milliseconds> TimeLeft(const schema::Forward& forward,
                                     const schema::WorkClass& work_class) {
  const schema::Request& request = forward.request();
  if (!request.no_wait() || request.has_deadline()) {
    if (!forward.has_deadline_left()) return std::nullopt;
    return ToMilliseconds(forward.deadline_left());
  }
  if (!work_class.has_default_deadline()) return std::nullopt;
  return ToMilliseconds(work_class.default_deadline());
}

}  // namespace

PartitionId Home::Impl::Partition(const std::string& id) const {
  return PartitionOf(id, options.partition_count);
}

std::optional<std::uint64_t> Home::Impl::ServedEpoch(PartitionId partition) {
  const auto owned = hooks.owned_epoch(partition);
  std::lock_guard lock(mutex);
  const auto found = serving.find(partition);
  if (!owned || found == serving.end() || found->second != *owned) return std::nullopt;
  return owned;
}

bool Home::Impl::IsServed(const std::string& id, std::uint64_t epoch) {
  return ServedEpoch(Partition(id)) == epoch;
}

schema::Ack Home::Impl::OnForward(const schema::Forward& forward) {
  schema::Ack ack;
  const auto epoch = ServedEpoch(Partition(forward.id()));
  if (!epoch) {
    ack.set_code(schema::CODE_NOT_OWNER);
    ack.set_message("this instance does not serve the partition of the request");
    return ack;
  }
  const Waiter waiter{forward.entry_id(), forward.entry_address(), forward.submission()};
  if (const auto refusal = FindRefusal(forward)) {
    hooks.deliver(waiter, refusal);
    return ack;
  }
  auto work_class = hooks.find_class(forward.request().work_class());
  // The class of a known request may have been removed since.
  if (!work_class) work_class = ledger.FindClass(forward.id());
  if (!work_class) {
    Refuse(forward, waiter, schema::CODE_UNKNOWN_CLASS,
           "unknown work class \"" + forward.request().work_class() + "\"");
    return ack;
  }
  const RequestProperties properties = PropertiesOf(forward, *work_class, *epoch);
  std::shared_ptr<const schema::Answer> answer;
  switch (
      ledger.Arrive(forward.id(), forward.request(), *work_class, properties, waiter, &answer)) {
    case Arrival::kFinished:
      hooks.deliver(waiter, answer);
      break;
    case Arrival::kPending:
      if (const auto known = ledger.Properties(forward.id()); known && known->accepted) {
        NotifyAccepted(forward.id());
      }
      break;
    case Arrival::kKeyReused:
      Refuse(forward, waiter, schema::CODE_KEY_REUSED,
             "the idempotency key was used before with different content");
      break;
    case Arrival::kNew:
      Admit(forward, *work_class, properties);
      break;
  }
  return ack;
}

RequestProperties Home::Impl::PropertiesOf(const schema::Forward& forward,
                                           const schema::WorkClass& work_class,
                                           std::uint64_t epoch) {
  RequestProperties properties;
  properties.durable = IsDurable(forward.request(), work_class);
  properties.idempotent = IsIdempotent(forward.request(), work_class);
  properties.single_copy = work_class.exclusive() || !properties.idempotent;
  properties.max_attempts = std::max(1U, work_class.max_attempts());
  properties.epoch = epoch;
  properties.accepted_unix_ms = hooks.unix_ms();
  if (const auto time_left = TimeLeft(forward, work_class)) {
    properties.deadline_unix_ms = properties.accepted_unix_ms + time_left->count();
  }
  // A former home may have started tasks of work that is not in the journal. Each epoch has its own
  // attempt numbers, which keep reports about those tasks apart from reports about the new ones.
  if (!properties.durable) {
    properties.first_attempt =
        static_cast<std::uint32_t>(epoch % kDistinctEpochs) * kAttemptsPerEpoch;
  }
  std::lock_guard lock(mutex);
  if (const auto found = refusals.find(forward.id()); found != refusals.end()) {
    properties.first_attempt += found->second.attempt_offset;
  }
  return properties;
}

std::optional<SteadyTime> Home::Impl::DeadlineOf(const RequestProperties& properties) const {
  if (properties.deadline_unix_ms == 0) return std::nullopt;
  return hooks.now() + milliseconds(properties.deadline_unix_ms - hooks.unix_ms());
}

void Home::Impl::Refuse(const schema::Forward& forward, const Waiter& waiter, schema::Code code,
                        const std::string& message) {
  auto answer = std::make_shared<schema::Answer>();
  answer->set_id(forward.id());
  answer->set_state(schema::STATE_REFUSED);
  answer->set_code(code);
  answer->set_message(message);
  answer->set_not_run(code != schema::CODE_KEY_REUSED);
  hooks.deliver(waiter, std::move(answer));
}

void Home::Impl::RefuseNew(const std::string& id, const Error& error, milliseconds retry_after) {
  if (auto finished = ledger.Refuse(id, error, retry_after)) {
    RecordRefusal(*finished);
    Deliver(*finished);
  }
}

void Home::Impl::RecordRefusal(const Finished& finished) {
  const std::string& id = finished.answer->id();
  std::lock_guard lock(mutex);
  const auto [found, added] = refusals.try_emplace(id);
  Refusal& refusal = found->second;
  refusal.attempt_offset = (refusal.attempt_offset + kAttemptsPerArrival) % kAttemptsPerEpoch;
  refusal.submissions.clear();
  for (const Waiter& waiter : finished.waiters) refusal.submissions.insert(waiter.submission);
  refusal.answer = finished.answer;
  if (added) refusal_order.push_back(id);
  if (refusal_order.size() > kMaxRefused) {
    refusals.erase(refusal_order.front());
    refusal_order.pop_front();
  }
}

std::shared_ptr<const schema::Answer> Home::Impl::FindRefusal(const schema::Forward& forward) {
  std::lock_guard lock(mutex);
  const auto found = refusals.find(forward.id());
  if (forward.submission() == 0 || found == refusals.end()) return nullptr;
  const bool same = found->second.submissions.contains(forward.submission());
  return same ? found->second.answer : nullptr;
}

void Home::Impl::Admit(const schema::Forward& forward, const schema::WorkClass& work_class,
                       const RequestProperties& properties) {
  const std::string& id = forward.id();
  if (ledger.Pending() > options.max_pending) {
    return RefuseNew(id,
                     {schema::CODE_OVERLOADED, "too many requests are pending on this instance"},
                     kRefusalRetryAfter);
  }
  JobSpec job = JobOf(id, forward.request(), work_class, properties);
  job.deadline = DeadlineOf(properties);
  const Admission admission = hooks.submit(job);
  if (admission.code != schema::CODE_OK) {
    return RefuseNew(id, {admission.code, admission.message}, admission.retry_after);
  }
  if (!properties.durable) return;
  hooks.after(options.accept_delay, [weak = weak_from_this(), id, epoch = properties.epoch] {
    auto self = weak.lock();
    if (!self || !self->IsServed(id, epoch)) return;
    auto accepted = self->ledger.TakeAcceptedEntry(id);
    if (!accepted) return;
    accepted->set_partition(self->Partition(id).value);
    self->journal.Append({std::move(*accepted)}, [self, id, epoch](const Result<void>& written) {
      self->OnAcceptWritten(id, epoch, written);
    });
  });
}

void Home::Impl::OnAcceptWritten(const std::string& id, std::uint64_t epoch,
                                 const Result<void>& written) {
  if (written) return NotifyAccepted(id);
  hooks.cancel(id);
  // The entry instance forwards the request again, to the next owner.
  if (written.error().code == schema::CODE_NOT_OWNER || !IsServed(id, epoch)) return;
  RefuseNew(id, written.error(), kRefusalRetryAfter);
}

void Home::Impl::NotifyAccepted(const std::string& id) {
  const auto waiters = ledger.SetAccepted(id);
  const auto status = ledger.Status(id);
  if (!status) return;
  const auto answer = std::make_shared<schema::Answer>(*status);
  for (const Waiter& waiter : waiters) hooks.deliver(waiter, answer);
}

void Home::Impl::BeforeStart(const Action& start, const std::function<void(bool)>& proceed) {
  const std::string& id = start.task.request_id;
  const auto properties = ledger.Properties(id);
  const auto epoch = ServedEpoch(Partition(id));
  if (!properties || !epoch) return proceed(false);
  std::vector<schema::JournalEntry> entries;
  auto accepted = ledger.TakeAcceptedEntry(id);
  const bool has_accepted_entry = accepted.has_value();
  if (has_accepted_entry) entries.push_back(std::move(*accepted));
  if (properties->single_copy) entries.push_back(AssignedEntry(start));
  for (schema::JournalEntry& entry : entries) entry.set_partition(Partition(id).value);
  if (entries.empty() && (!properties->durable || properties->accepted)) {
    return proceed(ledger.Assign(start.task, start.worker));
  }
  journal.Append(std::move(entries), [self = shared_from_this(), start, has_accepted_entry, proceed,
                                      epoch = *epoch](const Result<void>& written) {
    const std::string& request_id = start.task.request_id;
    if (has_accepted_entry) self->OnAcceptWritten(request_id, epoch, written);
    proceed(written && self->IsServed(request_id, epoch) &&
            self->ledger.Assign(start.task, start.worker));
  });
}

schema::JournalEntry Home::Impl::AssignedEntry(const Action& start) {
  schema::JournalEntry entry;
  entry.set_kind(schema::ENTRY_ASSIGNED);
  entry.set_request_id(start.task.request_id);
  entry.set_worker(start.worker);
  entry.set_task_index(start.task.index);
  entry.set_attempt(start.task.attempt);
  return entry;
}

schema::Code Home::Impl::OnTaskEvent(const TaskEvent& event, const Done& done) {
  const PartitionId partition = Partition(event.task.request_id);
  if (!ServedEpoch(partition)) {
    std::lock_guard lock(mutex);
    if (!recovering.contains(partition)) return schema::CODE_NOT_OWNER;
    early_events[partition].emplace_back(event, done);
    return schema::CODE_OK;
  }
  if (!event.ended) {
    ledger.MarkRunning(event.task, event.worker);
    done();
    return schema::CODE_OK;
  }
  ApplyEnd(ledger.EndTask(event.task, event.worker, event.outcome, event.result, event.will_retry),
           event, done);
  return schema::CODE_OK;
}

void Home::Impl::ApplyEnd(const Ended& ended, const TaskEvent& event, const Done& done) {
  switch (ended.effect) {
    case EndEffect::kIgnored:
      return CallOnceWritten(event.task.request_id, done);
    case EndEffect::kUnknown:
      done();
      return Query(event.task, event.worker, 0);
    case EndEffect::kFinished:
      return Finish(*ended.finished, done);
    case EndEffect::kRecorded:
    case EndEffect::kRetry:
      break;
  }
  if (ended.must_write) {
    WriteAttemptEnd(event, ended.effect == EndEffect::kRetry || event.will_retry, done);
  } else {
    done();
  }
  if (ended.effect == EndEffect::kRetry) RetryLater(ended.retry, kRetryDelay);
}

void Home::Impl::CallOnceWritten(const std::string& id, const Done& done) {
  {
    std::lock_guard lock(mutex);
    if (const auto found = pending_ends.find(id); found != pending_ends.end()) {
      found->second.callbacks.push_back(done);
      return;
    }
  }
  done();
}

void Home::Impl::WriteAttemptEnd(const TaskEvent& event, bool will_retry, const Done& done) {
  schema::JournalEntry entry;
  entry.set_kind(schema::ENTRY_ENDED);
  entry.set_request_id(event.task.request_id);
  entry.set_worker(event.worker);
  entry.set_task_index(event.task.index);
  entry.set_attempt(event.task.attempt);
  entry.set_outcome(static_cast<std::uint32_t>(event.outcome));
  entry.set_result(event.result);
  entry.set_again(will_retry);
  WriteEndEntry(std::move(entry), done);
}

void Home::Impl::GiveUp(const std::string& id, const Error& error, milliseconds retry_after) {
  if (auto finished = ledger.GiveUp(id, error, retry_after)) Finish(*finished, [] {});
}

void Home::Impl::Deliver(const Finished& finished) {
  for (const Waiter& waiter : finished.waiters) {
    if (!waiter.instance.empty()) hooks.deliver(waiter, finished.answer);
  }
}

void Home::Impl::Finish(const Finished& finished, const Done& done) {
  if (!finished.durable) {
    if (finished.forgotten) RecordRefusal(finished);
    Deliver(finished);
    return done();
  }
  schema::JournalEntry entry;
  entry.set_kind(schema::ENTRY_FINISHED);
  entry.set_request_id(finished.answer->id());
  entry.set_content_hash(finished.content_hash);
  *entry.mutable_answer() = *finished.answer;
  WriteEndEntry(std::move(entry), [self = shared_from_this(), answer = finished.answer, done] {
    self->Deliver({answer, self->ledger.SetFinished(answer->id())});
    done();
  });
  Deliver(finished);
}

void Home::Impl::WriteEndEntry(schema::JournalEntry entry, const Done& done) {
  const PartitionId partition = Partition(entry.request_id());
  const auto epoch = ServedEpoch(partition);
  if (!epoch) return;
  entry.set_partition(partition.value);
  {
    std::lock_guard lock(mutex);
    PendingEnds& pending = pending_ends[entry.request_id()];
    ++pending.in_flight;
    pending.callbacks.push_back(done);
  }
  TryWriteEndEntry(entry, *epoch, 0);
}

void Home::Impl::TryWriteEndEntry(const schema::JournalEntry& entry, std::uint64_t epoch,
                                  int tries) {
  if (!IsServed(entry.request_id(), epoch)) return;
  journal.Append(
      {entry}, [self = shared_from_this(), entry, epoch, tries](const Result<void>& written) {
        if (written) return self->OnEndWritten(entry.request_id());
        if (written.error().code == schema::CODE_NOT_OWNER) return;
        self->hooks.after(Backoff(tries), [weak = self->weak_from_this(), entry, epoch, tries] {
          if (auto impl = weak.lock()) impl->TryWriteEndEntry(entry, epoch, tries + 1);
        });
      });
}

void Home::Impl::OnEndWritten(const std::string& id) {
  std::vector<Done> callbacks;
  {
    std::lock_guard lock(mutex);
    const auto found = pending_ends.find(id);
    if (found == pending_ends.end() || --found->second.in_flight > 0) return;
    callbacks = std::move(found->second.callbacks);
    pending_ends.erase(found);
  }
  for (const Done& callback : callbacks) callback();
}

void Home::Impl::RetryLater(const TaskKey& task, milliseconds delay) {
  hooks.after(delay, [weak = weak_from_this(), task] {
    if (auto self = weak.lock()) self->Retry(task);
  });
}

void Home::Impl::Retry(const TaskKey& task) {
  if (!ServedEpoch(Partition(task.request_id))) return;
  for (const OpenTask& open : ledger.OpenTasks(task.request_id)) {
    if (open.index != task.index || open.assigned || open.attempt > task.attempt) continue;
    SubmitAgain(task, 1);
  }
}

void Home::Impl::SubmitAgain(const TaskKey& first, std::uint32_t count) {
  const std::string& id = first.request_id;
  const auto request = ledger.Find(id);
  const auto work_class = ledger.FindClass(id);
  auto properties = ledger.Properties(id);
  if (!request || !work_class || !properties) return;
  if (first.attempt >= properties->first_attempt + kAttemptsPerEpoch - properties->max_attempts) {
    return GiveUp(id, {schema::CODE_RETRIES_EXHAUSTED, "all attempts to start failed"}, {});
  }
  properties->first_attempt = first.attempt;
  JobSpec job = JobOf(id, *request, *work_class, *properties);
  job.deadline = DeadlineOf(*properties);
  job.first_index = first.index;
  job.task_count = count;
  job.all_at_once = job.all_at_once && count > 1;
  const Admission admission = hooks.submit(job);
  switch (admission.code) {
    case schema::CODE_OK:
      return;
    case schema::CODE_OVERLOADED:
    case schema::CODE_QUOTA_EXCEEDED:
    case schema::CODE_DRAINING:
      // An accepted request is submitted again until it is admitted.
      hooks.after(kRefusalRetryAfter, [weak = weak_from_this(), first, count] {
        auto self = weak.lock();
        if (self && self->ServedEpoch(self->Partition(first.request_id))) {
          self->SubmitAgain(first, count);
        }
      });
      return;
    case schema::CODE_DEADLINE_UNREACHABLE:
      return GiveUp(id, {schema::CODE_DEADLINE_PASSED, admission.message}, {});
    default:
      return GiveUp(id, {admission.code, admission.message}, admission.retry_after);
  }
}

Result<void> Home::Impl::Cancel(const std::string& id) {
  if (!ServedEpoch(Partition(id))) {
    return Error{schema::CODE_NOT_OWNER,
                 "this instance does not serve the partition of the request"};
  }
  if (!ledger.Find(id)) return Error{schema::CODE_NOT_FOUND, "unknown request " + id};
  GiveUp(id, {schema::CODE_CANCELLED, "cancelled"}, {});
  hooks.cancel(id);
  return Success();
}

Result<std::unique_ptr<Home>> Home::Create(Ledger& ledger, Journal& journal,
                                           const HomeOptions& options, HomeHooks hooks) {
  if (!hooks.after) return Error{schema::CODE_INVALID_FIELD, "the hook `after` is not set"};
  if (!hooks.now) hooks.now = [] { return std::chrono::steady_clock::now(); };
  if (!hooks.unix_ms) {
    hooks.unix_ms = [] { return UnixMilliseconds(std::chrono::system_clock::now()); };
  }
  auto impl = std::make_shared<Impl>(ledger, journal, options, std::move(hooks));
  impl->ScheduleMaintain();
  return std::unique_ptr<Home>(new Home(std::move(impl)));
}

Home::Home(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Home::~Home() = default;

schema::Ack Home::OnForward(const schema::Forward& forward) { return m_impl->OnForward(forward); }

void Home::BeforeStart(const Action& start, std::function<void(bool)> proceed) {
  m_impl->BeforeStart(start, proceed);
}

schema::Code Home::OnTaskEvent(const TaskEvent& event, std::function<void()> done) {
  return m_impl->OnTaskEvent(event, done);
}

void Home::OnGiveUp(const Action& action) {
  m_impl->GiveUp(action.task.request_id, {action.code, action.message}, action.retry_after);
}

void Home::OnGained(PartitionId partition, const std::vector<std::string>& streams) {
  m_impl->OnGained(partition, streams);
}

void Home::OnLost(PartitionId partition) { m_impl->DropPartition(partition); }

void Home::QueryTask(const TaskKey& task) {
  for (const OpenTask& open : m_impl->ledger.OpenTasks(task.request_id)) {
    if (open.assigned && open.index == task.index) m_impl->Query(task, open.worker, 0);
  }
}

std::optional<TaskJob> Home::FindJob(const std::string& request_id) const {
  auto request = m_impl->ledger.Find(request_id);
  const auto work_class = m_impl->ledger.FindClass(request_id);
  if (!request || !work_class) return std::nullopt;
  if (!request->has_run_time()) *request->mutable_run_time() = work_class->default_run_time();
  if (!request->has_size()) *request->mutable_size() = work_class->default_size();
  TaskJob job;
  job.idempotent = IsIdempotent(*request, *work_class);
  job.exclusive = work_class->exclusive();
  job.interactive = work_class->policy() == schema::POLICY_INTERACTIVE;
  job.request = std::make_shared<schema::Request>(std::move(*request));
  return job;
}

Result<void> Home::Cancel(const std::string& request_id) { return m_impl->Cancel(request_id); }

std::optional<schema::Answer> Home::Status(const std::string& request_id) const {
  return m_impl->ledger.Status(request_id);
}

bool Home::IsServing(PartitionId partition) const {
  return m_impl->ServedEpoch(partition).has_value();
}

}  // namespace citronsill
