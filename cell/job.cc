#include "cell/job.h"

#include <algorithm>
#include <set>
#include <utility>

#include "cell/fleet.h"
#include "cell/limits.h"
#include "cell/log.h"

namespace citronsill {
namespace {

// Bytes of a step in a progress row beside its lists, and of a task beside its runs, at most.
constexpr std::size_t kStepRowOverhead = 32;
constexpr std::size_t kTaskRowOverhead = 24;
// Bytes of a 32-bit number in a row, at most.
constexpr std::size_t kMaxVarintBytes = 5;

bool BitAt(const std::string& bits, std::uint32_t index) {
  const std::size_t byte = index / 8;
  return byte < bits.size() && ((static_cast<unsigned char>(bits[byte]) >> (index % 8)) & 1U) != 0;
}

void SetBit(std::uint32_t index, std::string* bits) {
  (*bits)[index / 8] =
      static_cast<char>(static_cast<unsigned char>((*bits)[index / 8]) | (1U << (index % 8)));
}

Error Invalid(const std::string& field, const std::string& rule) {
  return Error{schema::CODE_INVALID_FIELD, field + " " + rule};
}

Result<void> CheckStep(const schema::JobSpec& job, int number) {
  const schema::StepSpec& step = job.steps(number);
  const std::string name = "steps[" + std::to_string(number) + "]";
  if (step.task_count() < 1 || step.task_count() > kMaxTasksPerStep) {
    return Invalid(name + ".count", "must be between 1 and " + std::to_string(kMaxTasksPerStep));
  }
  const schema::TaskSize& size = step.size();
  for (const std::int64_t amount :
       {size.processors_milli(), size.memory_mb(), size.accelerators()}) {
    if (amount < 0 || amount > kMaxTaskResource) {
      return Invalid(name, "has a size that is negative or larger than any worker");
    }
  }
  for (const std::uint32_t after : step.after()) {
    if (after >= static_cast<std::uint32_t>(number)) {
      return Invalid(name + ".after", "names a step that does not precede it");
    }
  }
  return Success();
}

// Compares steps with an occurrence, for a binary search in `Job::steps`.
struct OccurrenceOrder {
  bool operator()(const std::unique_ptr<Step>& step, std::uint32_t occurrence) const {
    return step->occurrence < occurrence;
  }
  bool operator()(std::uint32_t occurrence, const std::unique_ptr<Step>& step) const {
    return occurrence < step->occurrence;
  }
};

void MakeSteps(std::uint32_t occurrence, Job* job) {
  for (int number = 0; number < job->spec.steps_size(); ++number) {
    auto step = std::make_unique<Step>();
    step->job = job;
    step->occurrence = occurrence;
    step->number = static_cast<std::uint32_t>(number);
    step->spec = &job->spec.steps(number);
    step->size = RequiredResources(*step->spec);
    step->tasks.resize(step->spec->task_count());
    for (std::uint32_t index = 0; index < step->tasks.size(); ++index) {
      step->tasks[index].step = step.get();
      step->tasks[index].index = index;
    }
    job->steps.push_back(std::move(step));
  }
}

// @returns whether all steps are done and no task has an order.
bool IsOver(std::span<const std::unique_ptr<Step>> steps) {
  return std::all_of(steps.begin(), steps.end(), [](const auto& step) {
    return step->IsDone() && std::all_of(step->tasks.begin(), step->tasks.end(),
                                         [](const Task& task) { return task.orders.empty(); });
  });
}

std::uint64_t TasksPerOccurrence(const schema::JobSpec& spec) {
  std::uint64_t tasks = 0;
  for (const schema::StepSpec& step : spec.steps()) tasks += step.task_count();
  return tasks;
}

// Distributes the steps of a job over rows of at most `kMaxRowBytes`.
class ProgressWriter {
 public:
  explicit ProgressWriter(const Job& job) : m_job(job) {
    schema::ProgressRow& first = m_rows.emplace_back();
    first.set_state(job.state);
    first.set_occurrences_begun(job.occurrences_begun);
    first.set_ever_started(job.ever_started);
    first.set_runs_unknown(job.runs_unknown_until.has_value() && !job.IsFinal());
    m_bytes += DoneTasksBytes();
  }

  void AddStep(schema::StepRow step) {
    const std::size_t bytes = step.ByteSizeLong() + kStepRowOverhead;
    if (m_bytes + bytes > kMaxRowBytes) AddRow();
    m_bytes += bytes;
    m_step = m_rows.back().add_steps();
    *m_step = std::move(step);
  }

  // Adds a task to the last step.
  void AddTask(schema::TaskRow task) {
    const std::size_t bytes = task.ByteSizeLong() + kTaskRowOverhead;
    if (m_bytes + bytes > kMaxRowBytes) {
      schema::StepRow rest;
      rest.set_occurrence(m_step->occurrence());
      rest.set_step(m_step->step());
      AddRow();
      AddStep(std::move(rest));
    }
    m_bytes += bytes;
    *m_step->add_tasks() = std::move(task);
  }

  std::vector<schema::ProgressRow> Finish() {
    m_rows.front().set_parts(static_cast<std::uint32_t>(m_rows.size() - 1));
    if (m_rows.size() > 1) SetDoneTasks();
    return std::move(m_rows);
  }

 private:
  // @returns upper bound of what `SetDoneTasks` adds to the first row.
  [[nodiscard]] std::size_t DoneTasksBytes() const {
    std::size_t tasks = 0;
    for (const auto& step : m_job.steps) tasks += step->tasks.size();
    const std::size_t occurrences =
        m_job.steps.size() / static_cast<std::size_t>(std::max(1, m_job.spec.steps_size()));
    return kStepRowOverhead + (tasks + 7) / 8 + occurrences * kMaxVarintBytes;
  }

  void SetDoneTasks() {
    schema::ProgressRow& first = m_rows.front();
    std::string bits;
    std::uint32_t number = 0;
    for (const auto& step : m_job.steps) {
      if (step->number == 0) first.add_live_occurrences(step->occurrence);
      bits.resize((number + step->tasks.size() + 7) / 8);
      for (const Task& task : step->tasks) {
        if (task.is_done) SetBit(number, &bits);
        ++number;
      }
    }
    first.set_done_tasks(std::move(bits));
  }

  void AddRow() {
    m_rows.emplace_back();
    m_bytes = kStepRowOverhead;
  }

  const Job& m_job;
  std::vector<schema::ProgressRow> m_rows;
  std::size_t m_bytes = kStepRowOverhead;  // Upper bound of the size of the last row.
  schema::StepRow* m_step = nullptr;       // In the last row.
};

// What is left of `kMaxOptionalProgressBytes`.
class OptionalBytes {
 public:
  // @returns whether `bytes` are left, and then takes them.
  bool Take(std::size_t bytes) {
    if (bytes > m_left) return false;
    m_left -= bytes;
    return true;
  }

 private:
  std::size_t m_left = kMaxOptionalProgressBytes;
};

bool HasFailed(const Step& gang, std::uint64_t run) {
  const auto& failed = gang.gang_failed_runs;
  return std::find(failed.begin(), failed.end(), run) != failed.end();
}

void AppendGangRun(const Step& step, schema::StepRow* stored) {
  if (step.IsDone() || step.gang_run == 0) return;
  stored->set_gang_run(step.gang_run);
  stored->set_gang_ending(step.gang_ending);
  stored->set_gang_run_failed(HasFailed(step, step.gang_run));
}

void AppendAnswers(const Step& step, OptionalBytes* optional, schema::StepRow* stored) {
  if (step.IsDone() || step.stored_answers.empty()) return;
  if (!optional->Take(step.stored_answers.size() * sizeof(std::uint32_t) + kStepRowOverhead)) {
    return;
  }
  for (const auto& [key, is_allowed] : step.stored_answers) {
    if (is_allowed) {
      stored->add_allowed_workers(key);
    } else {
      stored->add_denied_workers(key);
    }
  }
}

// The members of a gang have the same checkpoint, so all of them are stored or none.
bool TakeGangCheckpoints(const Step& step, OptionalBytes* optional) {
  std::size_t bytes = 0;
  for (const Task& task : step.tasks) {
    if (!task.checkpoint.empty()) bytes += task.checkpoint.size() + kTaskRowOverhead;
  }
  return optional->Take(bytes);
}

schema::TaskRow ToTaskRow(const Task& task, bool has_checkpoint) {
  schema::TaskRow row;
  row.set_index(task.index);
  row.set_failures(task.failures);
  if (has_checkpoint) row.set_save(task.checkpoint);
  for (const Order* order : task.orders) {
    schema::AssignmentRow* assignment = row.add_assignments();
    assignment->set_run(order->run);
    assignment->set_worker(order->worker->description.id);
    assignment->set_worker_born_unix_ms(order->worker->description.born_unix_ms);
    assignment->set_attached(order->worker->IsFenced());
    assignment->set_confirmed(order->confirmed);
  }
  return row;
}

// @returns the rows of the tasks that have more to store than whether they are done.
std::vector<schema::TaskRow> ToTaskRows(const Step& step, OptionalBytes* optional) {
  const bool keeps_gang_checkpoints = step.spec->gang() && TakeGangCheckpoints(step, optional);
  std::vector<schema::TaskRow> rows;
  for (const Task& task : step.tasks) {
    if (task.is_done && task.orders.empty()) continue;
    const bool has_checkpoint =
        !task.checkpoint.empty() &&
        (step.spec->gang() ? keeps_gang_checkpoints
                           : optional->Take(task.checkpoint.size() + kTaskRowOverhead));
    if (task.failures == 0 && !has_checkpoint && task.orders.empty()) continue;
    rows.push_back(ToTaskRow(task, has_checkpoint));
  }
  return rows;
}

std::string DoneBits(const Step& step) {
  std::string bits((step.tasks.size() + 7) / 8, '\0');
  for (const Task& task : step.tasks) {
    if (task.is_done) SetBit(task.index, &bits);
  }
  return bits;
}

void RestoreDone(Task* task) {
  if (task->is_done) return;
  task->is_done = true;
  ++task->step->done_count;
}

// Restores what `ProgressWriter::SetDoneTasks` has stored.
void RestoreDoneTasks(const schema::ProgressRow& row, Job* job) {
  std::uint32_t number = 0;
  for (const std::uint32_t occurrence : row.live_occurrences()) {
    for (const auto& step : StepsOf(*job, occurrence)) {
      for (Task& task : step->tasks) {
        if (BitAt(row.done_tasks(), number++)) RestoreDone(&task);
      }
    }
  }
}

void RestoreStep(const schema::StepRow& stored, Step* step,
                 std::vector<StoredAssignment>* assignments) {
  step->gang_failures = std::max(step->gang_failures, stored.gang_failures());
  step->gang_run = std::max(step->gang_run, stored.gang_run());
  step->gang_ending |= stored.gang_ending();
  if (stored.gang_run_failed()) step->gang_failed_runs.push_back(stored.gang_run());
  step->has_earlier_answers |= stored.allowed_workers_size() + stored.denied_workers_size() > 0;
  for (const std::uint32_t key : stored.allowed_workers()) step->stored_answers[key] = true;
  for (const std::uint32_t key : stored.denied_workers()) step->stored_answers[key] = false;
  for (Task& task : step->tasks) {
    if (BitAt(stored.done(), task.index)) RestoreDone(&task);
  }
  for (const schema::TaskRow& row : stored.tasks()) {
    if (row.index() >= step->tasks.size()) continue;
    Task& task = step->tasks[row.index()];
    task.failures = row.failures();
    task.checkpoint = row.save();
    for (const schema::AssignmentRow& assignment : row.assignments()) {
      assignments->push_back({&task, assignment});
    }
  }
}

}  // namespace

TaskRef Step::Ref(std::uint32_t index) const {
  return TaskRef{job->spec.id(), occurrence, number, index};
}

std::uint32_t AnswerKey(const WorkerDescription& worker) {
  return static_cast<std::uint32_t>(
      StableHash(worker.id + "/" + std::to_string(worker.born_unix_ms)));
}

Resources RequiredResources(const schema::StepSpec& spec) {
  // The processors of a filler task are not counted: it runs on what other tasks leave.
  return Resources{spec.filler() ? 0 : spec.size().processors_milli(), spec.size().memory_mb(),
                   spec.size().accelerators()};
}

std::uint32_t OccurrenceCount(const Job& job) { return std::max(1U, job.spec.occurrences()); }

milliseconds OccurrenceDue(const Job& job, std::uint32_t occurrence) {
  std::int64_t due = 0;
  if (__builtin_mul_overflow(job.spec.interval_ms(), std::int64_t{occurrence}, &due) ||
      __builtin_add_overflow(job.spec.first_start_unix_ms(), due, &due)) {
    return milliseconds::max();
  }
  return milliseconds(due);
}

std::uint64_t OccurrencesToBegin(const Job& job) {
  // Steps that follow others do not count as waiting: the others may have to run for long.
  std::uint64_t tasks = 0;
  std::uint64_t first_tasks = 0;
  for (const schema::StepSpec& step : job.spec.steps()) {
    tasks += step.task_count();
    if (step.after().empty()) first_tasks += step.task_count();
  }
  std::uint64_t live = 0;
  std::uint64_t waiting = 0;
  for (const auto& step : job.steps) {
    live += step->tasks.size();
    if (!step->spec->after().empty() || step->IsDone()) continue;
    waiting += static_cast<std::uint64_t>(
        std::count_if(step->tasks.begin(), step->tasks.end(),
                      [](const Task& task) { return !task.is_done && task.orders.empty(); }));
  }
  if (waiting >= kMaxWaitingOccurrenceTasks || live >= kMaxLiveTasksPerJob) return 0;
  const std::uint64_t by_waiting =
      (kMaxWaitingOccurrenceTasks - waiting + first_tasks - 1) / first_tasks;
  return std::min(by_waiting, (kMaxLiveTasksPerJob - live) / tasks);
}

std::span<const std::unique_ptr<Step>> StepsOf(const Job& job, std::uint32_t occurrence) {
  const auto [first, last] =
      std::equal_range(job.steps.begin(), job.steps.end(), occurrence, OccurrenceOrder());
  return {first, last};
}

Step* FindStep(const Job& job, std::uint32_t occurrence, std::uint32_t number) {
  const auto steps = StepsOf(job, occurrence);
  return number < steps.size() ? steps[number].get() : nullptr;
}

milliseconds EstimateOf(const schema::StepSpec& spec) {
  return std::clamp(milliseconds(spec.estimate_ms()), milliseconds(0), kMaxTaskEstimate);
}

FinalCause AttemptsUsedUp(const Task& task, std::uint32_t failures) {
  const Step& step = *task.step;
  FinalCause cause{"attempts", step.Ref(task.index), failures,
                   step.job->spec.queue().max_attempts(), ""};
  for (const CountedFailure& failure : step.job->failures) {
    if (failure.occurrence != step.occurrence || failure.step != step.number) continue;
    if (!step.spec->gang() && failure.index != task.index) continue;
    if (!cause.runs.empty()) cause.runs.append(",");
    cause.runs.append(std::to_string(failure.run)).append("@").append(failure.worker);
  }
  return cause;
}

std::span<const std::unique_ptr<Step>> BeginOccurrence(Job* job) {
  const std::uint32_t occurrence = job->occurrences_begun++;
  MakeSteps(occurrence, job);
  return StepsOf(*job, occurrence);
}

bool HasUnassigned(const Step& step) {
  return step.ready && !step.IsDone() &&
         std::any_of(step.tasks.begin(), step.tasks.end(),
                     [](const Task& task) { return !task.is_done && task.orders.empty(); });
}

void RemoveEndedOccurrences(Job* job) {
  const auto steps_per_occurrence = job->spec.steps_size();
  auto kept_end = job->steps.begin();
  std::set<std::uint32_t> ended;
  for (auto first = job->steps.begin(); first != job->steps.end(); first += steps_per_occurrence) {
    const auto last = first + steps_per_occurrence;
    if (IsOver({first, last})) {
      ended.insert((*first)->occurrence);
      continue;
    }
    kept_end = kept_end == first ? last : std::move(first, last, kept_end);
  }
  if (ended.empty()) return;
  job->steps.erase(kept_end, job->steps.end());
  job->occurrences_done += static_cast<std::uint32_t>(ended.size());
  std::erase_if(job->failures, [&ended](const CountedFailure& failure) {
    return ended.contains(failure.occurrence);
  });
}

bool PredecessorsDone(const Step& step) {
  const auto steps = StepsOf(*step.job, step.occurrence);
  const auto& after = step.spec->after();
  return std::all_of(after.begin(), after.end(),
                     [&](std::uint32_t number) { return steps[number]->IsDone(); });
}

std::size_t AssignmentRowBytes(const std::string& worker) {
  return worker.size() + kAssignmentOverhead;
}

std::vector<schema::ProgressRow> ToProgressRows(const Job& job) {
  ProgressWriter writer(job);
  OptionalBytes optional;
  for (const auto& step : job.steps) {
    schema::StepRow stored;
    stored.set_occurrence(step->occurrence);
    stored.set_step(step->number);
    stored.set_gang_failures(step->gang_failures);
    if (step->done_count > 0) stored.set_done(DoneBits(*step));
    AppendGangRun(*step, &stored);
    AppendAnswers(*step, &optional, &stored);
    std::vector<schema::TaskRow> tasks = ToTaskRows(*step, &optional);
    // The steps of a scheduled job are always stored: occurrences that are missing from the rows
    // are over.
    const bool is_empty = step->done_count == 0 && tasks.empty() && step->gang_failures == 0 &&
                          step->stored_answers.empty();
    if (is_empty && job.spec.occurrences() == 0) continue;
    writer.AddStep(std::move(stored));
    for (schema::TaskRow& task : tasks) writer.AddTask(std::move(task));
  }
  return writer.Finish();
}

bool KeepCheckpoint(const std::string& checkpoint, Task* task) {
  if (checkpoint.empty() || checkpoint == task->checkpoint) return false;
  if (checkpoint.size() <= kMaxCheckpointBytes) {
    task->checkpoint = checkpoint;
    return true;
  }
  if (!std::exchange(task->checkpoint_too_long, true)) {
    Log(LogLevel::kWarn, "checkpoint-too-long")
        .Field("task", task->step->Ref(task->index))
        .Field("bytes", checkpoint.size())
        .Field("limit", kMaxCheckpointBytes);
  }
  return false;
}

std::vector<StoredAssignment> RestoreProgress(const schema::ProgressRow& row, Job* job) {
  job->state = row.state();
  job->ever_started = row.ever_started();
  job->occurrences_begun = std::max(row.occurrences_begun(), job->spec.occurrences() > 0 ? 0U : 1U);
  std::set<std::uint32_t> live;
  for (const schema::StepRow& step : row.steps()) live.insert(step.occurrence());
  live.insert(row.live_occurrences().begin(), row.live_occurrences().end());
  if (job->spec.occurrences() == 0) live.insert(0);
  for (const std::uint32_t occurrence : live) MakeSteps(occurrence, job);
  job->occurrences_done = job->occurrences_begun - static_cast<std::uint32_t>(live.size());
  std::vector<StoredAssignment> assignments;
  for (const schema::StepRow& stored : row.steps()) {
    if (Step* step = FindStep(*job, stored.occurrence(), stored.step()); step != nullptr) {
      RestoreStep(stored, step, &assignments);
    }
  }
  RestoreDoneTasks(row, job);
  return assignments;
}

void NormalizeJob(schema::JobSpec* spec) {
  for (schema::StepSpec& step : *spec->mutable_steps()) {
    auto* after = step.mutable_after();
    std::sort(after->begin(), after->end());
    after->erase(std::unique(after->begin(), after->end()), after->end());
  }
}

Result<void> ValidateJob(const schema::JobSpec& spec) {
  if (spec.id().empty()) return Invalid("id", "is missing");
  if (spec.payload().size() > kMaxTaskPayloadBytes) return Invalid("spec", "is too long");
  if (spec.steps_size() < 1 || spec.steps_size() > kMaxSteps) {
    return Invalid("steps", "must have between 1 and " + std::to_string(kMaxSteps) + " entries");
  }
  for (int number = 0; number < spec.steps_size(); ++number) {
    BOOST_OUTCOME_TRY(CheckStep(spec, number));
  }
  const std::uint64_t tasks = TasksPerOccurrence(spec);
  if (tasks > kMaxTasksPerJob) return Invalid("steps", "have too many tasks in total");
  if (spec.occurrences() > 0 && spec.interval_ms() < 0) return Invalid("interval", "is negative");
  // Occurrences with a long-running step never end, so all of them have to exist at the same time.
  const bool lasts = std::any_of(spec.steps().begin(), spec.steps().end(),
                                 [](const auto& step) { return step.long_running(); });
  if (lasts && spec.occurrences() * tasks > kMaxLiveTasksPerJob) {
    return Invalid("occurrences", "have too many tasks that run until the job is cancelled");
  }
  if (spec.ByteSizeLong() + kJobRowOverhead > kMaxRowBytes) {
    return Invalid("steps", "are too large to be stored");
  }
  return Success();
}

}  // namespace citronsill
