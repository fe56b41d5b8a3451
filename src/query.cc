#include "citronsill/query.h"

#include "citronsill/convert.h"
#include "internal.h"

namespace citronsill {
namespace {

constexpr std::size_t kMaxTrackedTasks = 20000;

TaskKnowledge FromSchema(schema::TaskKnowledge knowledge) {
  switch (knowledge) {
    case schema::KNOWLEDGE_RUNNING:
      return TaskKnowledge::kRunning;
    case schema::KNOWLEDGE_ENDED:
      return TaskKnowledge::kEnded;
    case schema::KNOWLEDGE_NEVER_STARTED:
      return TaskKnowledge::kNeverStarted;
    case schema::KNOWLEDGE_LOST:
      return TaskKnowledge::kLost;
    default:
      return TaskKnowledge::kUnknown;
  }
}

// Answers of all instances to one query.
struct CollectedAnswers {
  std::mutex mutex;
  std::size_t outstanding = 0;
  bool complete = true;
  TaskKnowledge knowledge = TaskKnowledge::kNeverStarted;
  std::set<std::uint32_t> partitions;

  void Add(const Result<schema::TaskQueryResult>& answer) {
    if (!answer) {
      complete = false;
      return;
    }
    const TaskKnowledge reported = FromSchema(answer.value().knowledge());
    const bool is_found = reported == TaskKnowledge::kRunning || reported == TaskKnowledge::kEnded;
    if (is_found) knowledge = reported;
    if (reported == TaskKnowledge::kUnknown) complete = false;
    partitions.insert(answer.value().partitions().begin(), answer.value().partitions().end());
  }

  TaskKnowledge CombinedKnowledge(std::uint32_t partition_count) const {
    if (knowledge != TaskKnowledge::kNeverStarted) return knowledge;
    const bool covers_all_partitions = complete && partitions.size() == partition_count;
    return covers_all_partitions ? TaskKnowledge::kNeverStarted : TaskKnowledge::kUnknown;
  }
};

}  // namespace

struct TaskQuerier::Impl : std::enable_shared_from_this<Impl> {
  Impl(const TaskQuerierOptions& querier_options, TaskQuerierHooks querier_hooks)
      : options(querier_options), hooks(std::move(querier_hooks)) {}

  TaskQuerierOptions options;
  TaskQuerierHooks hooks;
  std::mutex mutex;
  std::map<TaskKey, SteadyTime> first_queried;  // First query of each task without a known worker.

  void Query(const TaskKey& task, const std::string& worker,
             const std::function<void(Result<TaskKnowledge>)>& done) {
    if (worker.empty()) return QueryAllInstances(task, done);
    const auto [id, incarnation] = ParseWorkerRef(worker);
    auto address = hooks.owner_address(id);
    if (!address) return done(address.error());
    if (address.value().empty()) {
      return done(FromSchema(hooks.query_self(task, id, incarnation).knowledge()));
    }
    Call(address.value(), task, id, incarnation,
         [done](const Result<schema::TaskQueryResult>& answer) {
           if (!answer) return done(answer.error());
           done(FromSchema(answer.value().knowledge()));
         });
  }

  void Call(const std::string& address, const TaskKey& task, const std::string& worker,
            std::uint64_t incarnation,
            const std::function<void(Result<schema::TaskQueryResult>)>& done) {
    schema::TaskQuery query;
    *query.mutable_task() = ToRef(task);
    query.set_worker(worker);
    query.set_worker_incarnation(incarnation);
    hooks.call(address, "task_query", ToJson(query), [done](const Result<std::string>& json) {
      if (!json) return done(json.error());
      schema::TaskQueryResult result;
      if (auto parsed = FromJson(json.value(), UnknownFields::kIgnore, &result); !parsed) {
        return done(parsed.error());
      }
      done(std::move(result));
    });
  }

  void QueryAllInstances(const TaskKey& task,
                         const std::function<void(Result<TaskKnowledge>)>& done) {
    if (!IsSettled(task)) return done(TaskKnowledge::kUnknown);
    const std::vector<std::string> addresses = hooks.peer_addresses();
    auto collected = std::make_shared<CollectedAnswers>();
    collected->outstanding = addresses.size();
    collected->Add(hooks.query_self(task, {}, 0));
    if (addresses.empty()) return done(collected->CombinedKnowledge(options.partition_count));
    for (const std::string& address : addresses) {
      Call(address, task, {}, 0,
           [self = shared_from_this(), collected,
            done](const Result<schema::TaskQueryResult>& answer) {
             std::unique_lock lock(collected->mutex);
             collected->Add(answer);
             if (--collected->outstanding > 0) return;
             const TaskKnowledge knowledge =
                 collected->CombinedKnowledge(self->options.partition_count);
             lock.unlock();
             done(knowledge);
           });
    }
  }

  // @returns whether `settle_time` has passed since the first query of the task.
  bool IsSettled(const TaskKey& task) {
    const SteadyTime now = hooks.now();
    std::lock_guard lock(mutex);
    if (first_queried.size() > kMaxTrackedTasks) {
      std::erase_if(first_queried, [&](const auto& entry) {
        return now - entry.second > 10 * options.settle_time;
      });
    }
    const auto [found, added] = first_queried.try_emplace(task, now);
    return now - found->second >= options.settle_time;
  }
};

Result<std::unique_ptr<TaskQuerier>> TaskQuerier::Create(const TaskQuerierOptions& options,
                                                         TaskQuerierHooks hooks) {
  return std::unique_ptr<TaskQuerier>(
      new TaskQuerier(std::make_shared<Impl>(options, std::move(hooks))));
}

TaskQuerier::TaskQuerier(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

TaskQuerier::~TaskQuerier() = default;

void TaskQuerier::Query(const TaskKey& task, const std::string& worker,
                        std::function<void(Result<TaskKnowledge>)> done) {
  m_impl->Query(task, worker, done);
}

}  // namespace citronsill
