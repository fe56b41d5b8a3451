// Property test: random events, checked against a naive model of which task runs on which worker.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "citronsill/engine.h"
#include "schema/citronsill.pb.h"

namespace citronsill {
namespace {

using std::chrono::milliseconds;

struct Placement {
  std::string worker;
  Resources size;
};

/// Reference model: a task may be running from its start until its end is certain.
class NaiveModel {
 public:
  NaiveModel() : m_engine(std::move(Engine::Create({}).value())) {
    m_engine->SetQuota("limited", kQuota);
  }

  void ApplyRandomEvent() {
    m_now += milliseconds(*rc::gen::inRange(0, 400));
    switch (*rc::gen::inRange(0, 13)) {
      case 0:
      case 1:
        return PutWorker();
      case 2:
        return RemoveWorker();
      case 3:
        return SetAccepting();
      case 4:
      case 5:
      case 6:
        return Submit();
      case 7:
        return Cancel();
      case 8:
        return Requeue();
      case 9:
        return Adopt();
      case 10:
        return Withdraw();
      default:
        return End();
    }
  }

  void Poll() {
    for (const Action& action : m_engine->Poll(m_now)) {
      if (action.kind == ActionKind::kStart) OnStart(action);
    }
    CheckGangs();
    RC_ASSERT(m_engine->Stats().running_tasks == m_placements.size());
  }

 private:
  static constexpr Resources kQuota{4000, 4000, 0};

  /// @returns a random number from 0 to `end` - 1.
  static std::int64_t RandomBelow(std::int64_t end) {
    return *rc::gen::inRange<std::int64_t>(0, end);
  }

  void PutWorker() {
    WorkerSpec spec;
    spec.id = "w" + std::to_string(RandomBelow(4));
    spec.failure_domain = "d" + std::to_string(RandomBelow(2));
    spec.capacity = {1000 * (1 + RandomBelow(8)), 1000 * (1 + RandomBelow(8)), 0};
    spec.slots = static_cast<std::uint32_t>(1 + RandomBelow(5));
    m_engine->PutWorker(spec, m_now);
    if (!m_workers.contains(spec.id)) m_accepting.insert(spec.id);
    m_workers[spec.id] = spec;
  }

  void RemoveWorker() {
    const std::string id = "w" + std::to_string(RandomBelow(4));
    std::set<TaskKey> expected;
    for (const auto& [task, placement] : m_placements) {
      if (placement.worker == id) expected.insert(task);
    }
    const auto tasks = m_engine->RemoveWorker(id, m_now);
    RC_ASSERT(std::set<TaskKey>(tasks.begin(), tasks.end()) == expected);
    for (const TaskKey& task : tasks) {
      m_placements.erase(task);
      m_interrupted.insert(task);
    }
    m_workers.erase(id);
    m_accepting.erase(id);
  }

  void SetAccepting() {
    const std::string id = "w" + std::to_string(RandomBelow(4));
    if (!m_workers.contains(id)) return;
    const bool accepting = RandomBelow(2) == 0;
    m_engine->SetAccepting(id, accepting, m_now);
    if (accepting) {
      m_accepting.insert(id);
    } else {
      m_accepting.erase(id);
    }
  }

  void Submit() {
    JobSpec job;
    job.id = "j" + std::to_string(m_next_job++);
    job.work_class = "c" + std::to_string(RandomBelow(3));
    job.team = RandomBelow(3) == 0 ? "limited" : "t" + std::to_string(RandomBelow(3));
    job.policy = static_cast<SchedulingPolicy>(RandomBelow(3));
    job.size = {500 * (1 + RandomBelow(8)), 500 * (1 + RandomBelow(8)), 0};
    job.run_time = milliseconds(100 * (1 + RandomBelow(100)));
    job.task_count = static_cast<std::uint32_t>(1 + RandomBelow(3));
    job.all_at_once = RandomBelow(4) == 0;
    job.urgent = RandomBelow(6) == 0;
    job.idempotent = RandomBelow(3) != 0;
    job.exclusive = RandomBelow(3) == 0;
    if (RandomBelow(3) == 0) job.deadline = m_now + milliseconds(500 * (1 + RandomBelow(20)));
    if (m_engine->Submit(job, m_now).code == schema::CODE_OK) m_jobs[job.id] = job;
  }

  void Cancel() {
    if (m_jobs.empty()) return;
    const std::string id =
        std::next(m_jobs.begin(), RandomBelow(static_cast<std::int64_t>(m_jobs.size())))->first;
    m_engine->Cancel(id, m_now);
    m_cancelled.insert(id);
  }

  void Requeue() {
    if (m_interrupted.empty()) return;
    const TaskKey task = *std::next(m_interrupted.begin(),
                                    RandomBelow(static_cast<std::int64_t>(m_interrupted.size())));
    m_engine->Requeue(task, m_now);
  }

  // A task of a removed worker is found running when the worker is back. The caller passes the
  // whole spec only for jobs that are not cancelled.
  void Adopt() {
    if (m_interrupted.empty() || m_workers.empty()) return;
    const TaskKey task = *m_interrupted.begin();
    const std::string worker = m_workers.begin()->first;
    JobSpec spec = m_jobs[task.request_id];
    if (m_cancelled.contains(spec.id)) {
      spec = JobSpec{};
      spec.id = task.request_id;
      spec.size = m_jobs[task.request_id].size;
      spec.team = m_jobs[task.request_id].team;
    }
    m_engine->AdoptTask(spec, task, worker, m_now);
    m_interrupted.erase(task);
    m_placements[task] = {worker, m_jobs[task.request_id].size};
  }

  void Withdraw() {
    for (const JobSpec& part : m_engine->WaitingTasks(3, m_now)) {
      RC_ASSERT(m_engine->Withdraw({part.id, part.first_index, part.first_attempt}, m_now));
      RC_ASSERT(!m_engine->Withdraw({part.id, part.first_index, part.first_attempt}, m_now));
    }
  }

  void End() {
    if (m_placements.empty()) return;
    const TaskKey task =
        std::next(m_placements.begin(), RandomBelow(static_cast<std::int64_t>(m_placements.size())))
            ->first;
    const auto outcome = static_cast<TaskOutcome>(RandomBelow(6));
    m_engine->OnEnded(task, outcome, m_now);
    if (outcome == TaskOutcome::kLost) return;
    m_placements.erase(task);
    if (outcome == TaskOutcome::kNotStarted) m_may_have_run.erase(task);
    // A report can arrive twice after a worker was attached again.
    if (RandomBelow(4) == 0) m_engine->OnEnded(task, outcome, m_now);
  }

  void OnStart(const Action& action) {
    const JobSpec& job = m_jobs.at(action.task.request_id);
    RC_ASSERT(!m_cancelled.contains(job.id));
    RC_ASSERT(m_accepting.contains(action.worker));
    const auto is_same_task = [&](const TaskKey& one) {
      return one.request_id == action.task.request_id && one.index == action.task.index;
    };
    for (const auto& [task, placement] : m_placements) {
      RC_ASSERT(!is_same_task(task) || (job.idempotent && !job.exclusive));
    }
    for (const TaskKey& task : m_interrupted) {
      RC_ASSERT(!is_same_task(task) || (job.idempotent && !job.exclusive));
    }
    for (const TaskKey& task : m_may_have_run) RC_ASSERT(!is_same_task(task) || job.idempotent);
    m_placements[action.task] = {action.worker, action.size};
    m_may_have_run.insert(action.task);
    m_started_indexes[job.id].insert(action.task.index);
    CheckCapacity(action.worker);
    if (job.team == "limited") CheckQuota();
  }

  void CheckCapacity(const std::string& id) {
    Resources used;
    std::uint32_t slots = 0;
    for (const auto& [task, placement] : m_placements) {
      if (placement.worker != id) continue;
      used += placement.size;
      ++slots;
    }
    RC_ASSERT(m_workers.at(id).capacity.Covers(used));
    RC_ASSERT(slots <= m_workers.at(id).slots);
  }

  void CheckQuota() {
    Resources used;
    for (const auto& [task, placement] : m_placements) {
      if (m_jobs.at(task.request_id).team == "limited") used += placement.size;
    }
    RC_ASSERT(kQuota.Covers(used));
  }

  // A gang job starts either all its tasks or none.
  void CheckGangs() {
    for (const auto& [id, indexes] : m_started_indexes) {
      const JobSpec& job = m_jobs.at(id);
      RC_ASSERT(!job.all_at_once || indexes.size() == job.task_count);
    }
  }

  std::unique_ptr<Engine> m_engine;
  SteadyTime m_now{std::chrono::hours(1)};
  int m_next_job = 0;
  std::map<std::string, WorkerSpec> m_workers;
  std::set<std::string> m_accepting;
  std::map<std::string, JobSpec> m_jobs;
  std::set<std::string> m_cancelled;
  std::map<TaskKey, Placement> m_placements;  // Tasks that hold capacity.
  std::set<TaskKey> m_interrupted;            // Were on a worker when it was removed.
  std::set<TaskKey> m_may_have_run;           // Were started, unless reported as not started.
  std::map<std::string, std::set<std::uint32_t>> m_started_indexes;  // By job.
};

TEST_CASE("engine: no order of events exceeds a capacity or quota, or runs a task twice") {
  CHECK(rc::check([] {
    NaiveModel model;
    const int steps = *rc::gen::inRange(1, 150);
    for (int i = 0; i < steps; ++i) {
      model.ApplyRandomEvent();
      if (*rc::gen::inRange(0, 3) > 0) model.Poll();
    }
  }));
}

}  // namespace
}  // namespace citronsill
