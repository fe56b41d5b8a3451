#include "citronsill/convert.h"

#include <charconv>

#include "internal.h"

namespace citronsill {
namespace {

SchedulingPolicy ToPolicy(schema::Policy policy) {
  switch (policy) {
    case schema::POLICY_BATCH:
      return SchedulingPolicy::kBatch;
    case schema::POLICY_SERVICE:
      return SchedulingPolicy::kService;
    default:
      return SchedulingPolicy::kInteractive;
  }
}

}  // namespace

schema::TaskRef ToRef(const TaskKey& task) {
  schema::TaskRef ref;
  ref.set_request_id(task.request_id);
  ref.set_index(task.index);
  ref.set_attempt(task.attempt);
  return ref;
}

TaskKey ToKey(const schema::TaskRef& ref) { return {ref.request_id(), ref.index(), ref.attempt()}; }

Resources ToResources(const schema::Resources& message) {
  return {static_cast<std::int64_t>(message.processors() * 1000.0),
          static_cast<std::int64_t>(message.memory_mb()),
          static_cast<std::int64_t>(message.accelerators())};
}

void SetResources(const Resources& resources, schema::Resources* message) {
  message->set_processors(static_cast<double>(resources.processors_milli) / 1000.0);
  message->set_memory_mb(static_cast<std::uint64_t>(resources.memory_mb));
  message->set_accelerators(static_cast<std::uint32_t>(resources.accelerators));
}

TaskOutcome ToOutcome(schema::TaskEnd end) {
  switch (end) {
    case schema::TASK_END_SUCCEEDED:
      return TaskOutcome::kSucceeded;
    case schema::TASK_END_STOPPED:
      return TaskOutcome::kStopped;
    case schema::TASK_END_LAPSED:
      return TaskOutcome::kLapsed;
    default:
      return TaskOutcome::kFailed;
  }
}

schema::TaskEnd ToTaskEnd(TaskOutcome outcome) {
  switch (outcome) {
    case TaskOutcome::kSucceeded:
      return schema::TASK_END_SUCCEEDED;
    case TaskOutcome::kStopped:
      return schema::TASK_END_STOPPED;
    case TaskOutcome::kLapsed:
      return schema::TASK_END_LAPSED;
    default:
      return schema::TASK_END_FAILED;
  }
}

std::string WorkerRef(const std::string& worker, std::uint64_t incarnation) {
  if (worker.empty() || incarnation == 0) return worker;
  return worker + "@" + Hex64(incarnation);
}

std::pair<std::string, std::uint64_t> ParseWorkerRef(const std::string& ref) {
  const std::size_t separator = ref.rfind('@');
  if (separator == std::string::npos) return {ref, 0};
  std::uint64_t incarnation = 0;
  const char* end = ref.data() + ref.size();
  const auto parsed = std::from_chars(ref.data() + separator + 1, end, incarnation, 16);
  if (parsed.ec != std::errc() || parsed.ptr != end) return {ref, 0};
  return {ref.substr(0, separator), incarnation};
}

bool IsIdempotent(const schema::Request& request, const schema::WorkClass& work_class) {
  return request.has_idempotent() ? request.idempotent() : work_class.idempotent();
}

JobSpec MakeJob(const std::string& id, const schema::Request& request,
                const schema::WorkClass& work_class) {
  JobSpec job;
  job.id = id;
  job.work_class = request.work_class();
  job.team = request.team();
  job.policy = ToPolicy(work_class.policy());
  job.size = ToResources(request.has_size() ? request.size() : work_class.default_size());
  job.run_time =
      ToMilliseconds(request.has_run_time() ? request.run_time() : work_class.default_run_time());
  job.task_count = std::max(1U, request.task_count());
  job.all_at_once = request.all_at_once();
  job.urgent = request.urgency() == schema::URGENCY_URGENT;
  job.idempotent = IsIdempotent(request, work_class);
  job.exclusive = work_class.exclusive();
  job.max_attempts = std::max(1U, work_class.max_attempts());
  return job;
}

}  // namespace citronsill
