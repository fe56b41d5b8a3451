#include "citronsill/ledger.h"

#include <xxhash.h>

#include "internal.h"

namespace citronsill {
namespace {

enum class TaskPhase { kWaiting, kAssigned, kEnded };

struct TaskEntry {
  TaskPhase phase = TaskPhase::kWaiting;
  std::uint32_t attempt = 0;
  TaskOutcome outcome = TaskOutcome::kNotStarted;
  std::string result;
};

struct RequestEntry {
  schema::Request request;
  std::uint64_t content_hash = 0;
  bool durable = false;
  bool may_have_run = false;
  std::vector<TaskEntry> tasks;
  std::uint32_t attempts = 0;
  std::vector<Waiter> waiters;
  std::shared_ptr<const schema::Answer> answer;  // Set once ended.
};

std::uint64_t ContentHash(const schema::Request& request) {
  const std::string bytes = request.SerializeAsString();
  return XXH64(bytes.data(), bytes.size(), 0);
}

std::shared_ptr<schema::Answer> BaseAnswer(const std::string& id, const RequestEntry& entry) {
  auto answer = std::make_shared<schema::Answer>();
  answer->set_id(id);
  answer->set_attempts(entry.attempts);
  answer->set_location("/v1/requests/" + id);
  answer->set_finished_unix_ms(UnixMilliseconds(std::chrono::system_clock::now()));
  return answer;
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
  };

  std::size_t max_finished_per_shard = 0;
  std::array<Shard, kStateShards> shards;

  Shard& ShardOf(const std::string& id) {
    return shards[std::hash<std::string>{}(id) % shards.size()];
  }
  const Shard& ShardOf(const std::string& id) const {
    return shards[std::hash<std::string>{}(id) % shards.size()];
  }

  Finished Finish(Shard& shard, const std::string& id, RequestEntry& entry,
                  std::shared_ptr<schema::Answer> answer) {
    entry.answer = std::move(answer);
    shard.finished.push_back(id);
    Finished finished{entry.answer, std::move(entry.waiters), entry.durable};
    entry.waiters.clear();
    if (shard.finished.size() > max_finished_per_shard) {
      shard.requests.erase(shard.finished.front());
      shard.finished.pop_front();
    }
    return finished;
  }
};

Result<std::unique_ptr<Ledger>> Ledger::Create(std::size_t max_finished) {
  auto impl = std::make_unique<Impl>();
  impl->max_finished_per_shard = max_finished / kStateShards + 1;
  return std::unique_ptr<Ledger>(new Ledger(std::move(impl)));
}

Ledger::Ledger(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Ledger::~Ledger() = default;

Arrival Ledger::Arrive(const std::string& id, const schema::Request& request, bool durable,
                       const Waiter& waiter, std::shared_ptr<const schema::Answer>* answer) {
  auto& shard = m_impl->ShardOf(id);
  std::lock_guard lock(shard.mutex);
  auto [found, added] = shard.requests.try_emplace(id);
  RequestEntry& entry = found->second;
  const std::uint64_t hash = ContentHash(request);
  if (!added && entry.content_hash != hash) return Arrival::kKeyReused;
  if (entry.answer) {
    *answer = entry.answer;
    return Arrival::kFinished;
  }
  if (std::find(entry.waiters.begin(), entry.waiters.end(), waiter) == entry.waiters.end()) {
    entry.waiters.push_back(waiter);
  }
  if (!added) return Arrival::kPending;
  entry.request = request;
  entry.content_hash = hash;
  entry.durable = durable;
  entry.tasks.resize(std::max(1U, request.task_count()));
  return Arrival::kNew;
}

void Ledger::Assign(const TaskKey& task) {
  auto& shard = m_impl->ShardOf(task.request_id);
  std::lock_guard lock(shard.mutex);
  const auto found = shard.requests.find(task.request_id);
  if (found == shard.requests.end() || task.index >= found->second.tasks.size()) return;
  TaskEntry& entry = found->second.tasks[task.index];
  if (entry.phase == TaskPhase::kEnded || task.attempt < entry.attempt) return;
  entry.phase = TaskPhase::kAssigned;
  entry.attempt = task.attempt;
  found->second.may_have_run = true;
  ++found->second.attempts;
}

std::optional<Finished> Ledger::EndTask(const TaskKey& task, TaskOutcome outcome,
                                        const std::string& result, bool again) {
  auto& shard = m_impl->ShardOf(task.request_id);
  std::lock_guard lock(shard.mutex);
  const auto found = shard.requests.find(task.request_id);
  if (found == shard.requests.end() || found->second.answer) return std::nullopt;
  RequestEntry& entry = found->second;
  if (task.index >= entry.tasks.size()) return std::nullopt;
  TaskEntry& state = entry.tasks[task.index];
  if (state.phase == TaskPhase::kEnded || task.attempt < state.attempt) return std::nullopt;
  if (again) {
    state.phase = TaskPhase::kWaiting;
    return std::nullopt;
  }
  state = TaskEntry{TaskPhase::kEnded, task.attempt, outcome, result};
  const auto ended = [](const TaskEntry& one) { return one.phase == TaskPhase::kEnded; };
  if (!std::all_of(entry.tasks.begin(), entry.tasks.end(), ended)) return std::nullopt;

  auto answer = BaseAnswer(task.request_id, entry);
  schema::Code code = schema::CODE_OK;
  bool not_run = true;
  for (const TaskEntry& one : entry.tasks) {
    answer->add_results(one.result);
    if (one.outcome != TaskOutcome::kSucceeded && code == schema::CODE_OK)
      code = CodeOf(one.outcome);
    not_run = not_run && one.outcome == TaskOutcome::kNotStarted;
  }
  answer->set_code(code);
  answer->set_state(code == schema::CODE_OK          ? schema::STATE_SUCCEEDED
                    : code == schema::CODE_CANCELLED ? schema::STATE_CANCELLED
                                                     : schema::STATE_FAILED);
  answer->set_not_run(not_run);
  return m_impl->Finish(shard, task.request_id, entry, std::move(answer));
}

std::optional<Finished> Ledger::GiveUp(const std::string& id, const Error& error,
                                       std::chrono::milliseconds retry_after) {
  auto& shard = m_impl->ShardOf(id);
  std::lock_guard lock(shard.mutex);
  const auto found = shard.requests.find(id);
  if (found == shard.requests.end() || found->second.answer) return std::nullopt;
  RequestEntry& entry = found->second;
  auto answer = BaseAnswer(id, entry);
  answer->set_code(error.code);
  answer->set_message(error.message);
  answer->set_state(error.code == schema::CODE_CANCELLED ? schema::STATE_CANCELLED
                    : entry.may_have_run                 ? schema::STATE_FAILED
                                                         : schema::STATE_REFUSED);
  answer->set_not_run(!entry.may_have_run);
  if (retry_after.count() > 0) SetDuration(retry_after, answer->mutable_retry_after());
  return m_impl->Finish(shard, id, entry, std::move(answer));
}

std::optional<schema::Answer> Ledger::Status(const std::string& id) const {
  const auto& shard = m_impl->ShardOf(id);
  std::lock_guard lock(shard.mutex);
  const auto found = shard.requests.find(id);
  if (found == shard.requests.end()) return std::nullopt;
  if (found->second.answer) return *found->second.answer;
  schema::Answer answer;
  answer.set_id(id);
  answer.set_state(found->second.may_have_run ? schema::STATE_RUNNING : schema::STATE_WAITING);
  answer.set_attempts(found->second.attempts);
  answer.set_location("/v1/requests/" + id);
  return answer;
}

std::optional<schema::Request> Ledger::Find(const std::string& id) const {
  const auto& shard = m_impl->ShardOf(id);
  std::lock_guard lock(shard.mutex);
  const auto found = shard.requests.find(id);
  if (found == shard.requests.end()) return std::nullopt;
  return found->second.request;
}

bool Ledger::MayHaveRun(const std::string& id) const {
  const auto& shard = m_impl->ShardOf(id);
  std::lock_guard lock(shard.mutex);
  const auto found = shard.requests.find(id);
  return found != shard.requests.end() && found->second.may_have_run;
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
