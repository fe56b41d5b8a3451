#include "citronsill/engine.h"

#include "internal.h"

namespace citronsill {

struct Engine::Impl {
  struct Worker {
    WorkerSpec spec;
    Resources used;
    std::uint32_t used_slots = 0;
    bool accepting = true;
    std::unordered_set<TaskKey> tasks;
  };

  struct Job {
    JobSpec spec;
    std::deque<TaskKey> waiting;
    std::size_t running = 0;
    bool cancelled = false;
  };

  struct Running {
    std::string worker;
    Resources size;
  };

  EngineOptions options;
  std::map<std::string, Worker> workers;
  std::unordered_map<std::string, Job> jobs;
  std::deque<std::string> queue;
  std::unordered_map<TaskKey, Running> running;
  std::vector<Action> pending_actions;

  Worker* FindRoom(const Resources& size) {
    for (auto& [id, worker] : workers) {
      if (!worker.accepting || worker.used_slots >= worker.spec.slots) continue;
      Resources needed = worker.used;
      needed += size;
      if (worker.spec.capacity.Covers(needed)) return &worker;
    }
    return nullptr;
  }

  void Reserve(Worker& worker, const TaskKey& task, const Resources& size) {
    worker.used += size;
    ++worker.used_slots;
    worker.tasks.insert(task);
    running[task] = Running{worker.spec.id, size};
  }

  void Release(const TaskKey& task) {
    const auto found = running.find(task);
    if (found == running.end()) return;
    if (auto worker = workers.find(found->second.worker); worker != workers.end()) {
      worker->second.used -= found->second.size;
      --worker->second.used_slots;
      worker->second.tasks.erase(task);
    }
    running.erase(found);
  }

  void PlaceJob(Job& job, std::vector<Action>& actions) {
    while (!job.waiting.empty()) {
      Worker* worker = FindRoom(job.spec.size);
      if (worker == nullptr) return;
      const TaskKey task = job.waiting.front();
      job.waiting.pop_front();
      Reserve(*worker, task, job.spec.size);
      ++job.running;
      Action action;
      action.task = task;
      action.worker = worker->spec.id;
      action.size = job.spec.size;
      action.latest_start = job.spec.deadline;
      actions.push_back(std::move(action));
    }
  }
};

Result<std::unique_ptr<Engine>> Engine::Create(const EngineOptions& options) {
  return std::unique_ptr<Engine>(new Engine(options));
}

Engine::Engine(const EngineOptions& options) : m_impl(std::make_unique<Impl>()) {
  m_impl->options = options;
}

Engine::~Engine() = default;

void Engine::PutWorker(const WorkerSpec& spec, SteadyTime) { m_impl->workers[spec.id].spec = spec; }

std::vector<TaskKey> Engine::RemoveWorker(const std::string& worker, SteadyTime) {
  std::vector<TaskKey> tasks;
  const auto found = m_impl->workers.find(worker);
  if (found == m_impl->workers.end()) return tasks;
  tasks.assign(found->second.tasks.begin(), found->second.tasks.end());
  for (const TaskKey& task : tasks) m_impl->Release(task);
  m_impl->workers.erase(found);
  return tasks;
}

void Engine::SetAccepting(const std::string& worker, bool accepting, SteadyTime) {
  if (auto found = m_impl->workers.find(worker); found != m_impl->workers.end()) {
    found->second.accepting = accepting;
  }
}

void Engine::AdoptTask(const JobSpec& job, const TaskKey& task, const std::string& worker,
                       SteadyTime) {
  const auto found = m_impl->workers.find(worker);
  if (found == m_impl->workers.end() || m_impl->running.contains(task)) return;
  m_impl->Reserve(found->second, task, job.size);
}

Admission Engine::Submit(const JobSpec& job, SteadyTime now) {
  if (m_impl->queue.size() >= m_impl->options.max_waiting_jobs) {
    return {schema::CODE_OVERLOADED, "too many jobs wait", std::chrono::seconds(1)};
  }
  if (job.deadline && *job.deadline <= now) {
    return {schema::CODE_DEADLINE_UNREACHABLE, "the deadline has passed", {}};
  }
  Impl::Job& entry = m_impl->jobs[job.id];
  entry.spec = job;
  for (std::uint32_t i = 0; i < job.task_count; ++i) {
    entry.waiting.push_back(TaskKey{job.id, job.first_index + i, job.first_attempt});
  }
  m_impl->queue.push_back(job.id);
  return {schema::CODE_OK, {}, {}};
}

bool Engine::Cancel(const std::string& job, SteadyTime) {
  const auto found = m_impl->jobs.find(job);
  if (found == m_impl->jobs.end()) return false;
  found->second.waiting.clear();
  found->second.cancelled = true;
  for (const auto& [task, running] : m_impl->running) {
    if (task.request_id != job) continue;
    Action action;
    action.kind = ActionKind::kStop;
    action.task = task;
    action.worker = running.worker;
    action.code = schema::CODE_CANCELLED;
    m_impl->pending_actions.push_back(std::move(action));
  }
  return true;
}

std::vector<JobSpec> Engine::WaitingTasks(std::size_t max, SteadyTime) const {
  std::vector<JobSpec> tasks;
  for (const std::string& id : m_impl->queue) {
    const auto found = m_impl->jobs.find(id);
    if (found == m_impl->jobs.end() || found->second.spec.all_at_once) continue;
    for (const TaskKey& task : found->second.waiting) {
      if (tasks.size() >= max) return tasks;
      JobSpec part = found->second.spec;
      part.task_count = 1;
      part.first_index = task.index;
      part.first_attempt = task.attempt;
      tasks.push_back(std::move(part));
    }
  }
  return tasks;
}

void Engine::Requeue(const TaskKey& task, SteadyTime) {
  const auto found = m_impl->jobs.find(task.request_id);
  if (found == m_impl->jobs.end() || found->second.cancelled) return;
  found->second.waiting.push_back(TaskKey{task.request_id, task.index, task.attempt + 1});
  m_impl->queue.push_back(task.request_id);
}

bool Engine::Withdraw(const TaskKey& task, SteadyTime) {
  const auto found = m_impl->jobs.find(task.request_id);
  if (found == m_impl->jobs.end()) return false;
  if (std::erase(found->second.waiting, task) == 0) return false;
  if (found->second.waiting.empty() && found->second.running == 0) m_impl->jobs.erase(found);
  return true;
}

void Engine::OnStarted(const TaskKey&, SteadyTime) {}

bool Engine::OnEnded(const TaskKey& task, TaskOutcome outcome, SteadyTime) {
  if (outcome == TaskOutcome::kLost) return false;
  m_impl->Release(task);
  const auto found = m_impl->jobs.find(task.request_id);
  if (found == m_impl->jobs.end()) return false;
  Impl::Job& job = found->second;
  if (job.running > 0) --job.running;
  const bool again = outcome == TaskOutcome::kNotStarted ||
                     (outcome != TaskOutcome::kSucceeded && job.spec.idempotent);
  if (again && !job.cancelled && task.attempt + 1 < job.spec.max_attempts) {
    job.waiting.push_back(TaskKey{task.request_id, task.index, task.attempt + 1});
    m_impl->queue.push_back(task.request_id);
    return true;
  }
  if (job.running == 0 && job.waiting.empty()) m_impl->jobs.erase(found);
  return false;
}

void Engine::OnUsage(const TaskKey&, const Resources&, SteadyTime) {}

std::vector<Action> Engine::Poll(SteadyTime now) {
  std::vector<Action> actions = std::move(m_impl->pending_actions);
  m_impl->pending_actions.clear();
  std::deque<std::string> still_waiting;
  for (std::string& id : m_impl->queue) {
    const auto found = m_impl->jobs.find(id);
    if (found == m_impl->jobs.end()) continue;
    Impl::Job& job = found->second;
    if (job.spec.deadline && *job.spec.deadline <= now && !job.waiting.empty()) {
      Action action;
      action.kind = ActionKind::kGiveUp;
      action.task.request_id = id;
      action.code = schema::CODE_DEADLINE_PASSED;
      action.message = "no worker had room before the deadline";
      actions.push_back(std::move(action));
      job.waiting.clear();
      if (job.running == 0) m_impl->jobs.erase(found);
      continue;
    }
    m_impl->PlaceJob(job, actions);
    if (!job.waiting.empty()) still_waiting.push_back(std::move(id));
  }
  m_impl->queue = std::move(still_waiting);
  return actions;
}

std::optional<SteadyTime> Engine::NextWake() const { return std::nullopt; }

EngineStats Engine::Stats() const {
  EngineStats stats;
  stats.workers = m_impl->workers.size();
  stats.waiting_jobs = m_impl->queue.size();
  stats.running_tasks = m_impl->running.size();
  for (const auto& [id, worker] : m_impl->workers) {
    stats.capacity += worker.spec.capacity;
    stats.used += worker.used;
    stats.free_slots += worker.spec.slots - std::min(worker.spec.slots, worker.used_slots);
  }
  return stats;
}

}  // namespace citronsill
