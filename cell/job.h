/// Jobs of one shard in memory: steps, tasks, and the orders given for them.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cell/worker.h"
#include "schema/cell.pb.h"

namespace citronsill {

struct Job;
struct Step;
struct Task;
struct Worker;

enum class OrderState {
  kStoring,  ///< The assignment is not in the store yet; nothing was sent.
  kSending,  ///< The start was sent; its answer is awaited.
  kRunning,  ///< The worker said that it runs.
  kUnknown,  ///< It may run, start later, or never start: the worker has to be asked.
};

/// One run of one task on one worker.
struct Order {
  std::uint64_t id = 0;
  Task* task = nullptr;
  Worker* worker = nullptr;
  std::uint64_t run = 0;
  Resources size;  ///< Room that it takes on the worker.
  OrderState state = OrderState::kStoring;
  bool stop_wanted = false;
  bool stop_in_flight = false;
  bool earlier_term = false;  ///< Given by an earlier scheduler.
  bool at_work = false;       ///< Its worker reported progress since it started.
  std::string ticket;
  SteadyTime ticket_until = SteadyTime::max();
  WorkerTime start_until;  ///< The worker rejects the start after this time.
  SteadyTime created;
  SteadyTime sent;           ///< When its start was sent.
  SteadyTime running_since;  ///< When it was first known to run.
  SteadyTime unknown_since;
  std::optional<SteadyTime> stopped_at;  ///< When the worker acknowledged a stop.
  SteadyTime stop_retry_at;
  int percent = 0;             ///< Progress of this run as last reported.
  int first_percent = 0;       ///< Progress when it was first reported.
  SteadyTime percent_changed;  ///< When the progress last rose.
};

/// What the policy service said of one life of a worker.
struct AdviceOnWorker {
  bool looked_up = false;  ///< In the answers that an earlier scheduler kept.
  bool asked = false;
  bool good = false;
  std::uint32_t life = 0;
  std::string ticket;
  SteadyTime ticket_until{};  ///< The ticket is not used after this time.
};

/// What the policy service says of a step never changes: it is kept, so that another scheduler need
/// not ask again. By the keys of lives of workers.
using KeptAnswers = std::unordered_map<std::uint32_t, bool>;

/// @returns the key of one life of a worker in `KeptAnswers`.
std::uint32_t AnswerKey(const WorkerDescription& worker);

/// A worker on which a task failed or stood still.
struct AvoidedWorker {
  std::uint32_t slot = 0;
  SteadyTime until{};
};

struct Task {
  Step* step = nullptr;
  std::uint32_t index = 0;
  bool done = false;
  std::uint32_t failures = 0;
  std::string save;
  std::uint64_t last_run = 0;
  std::vector<std::uint64_t> lapsed_runs;  ///< Given up in this term; their ends may still come.
  std::vector<Order*> orders;              ///< Live ones: none, one, or copies.
  SteadyTime retry_at{};                   ///< Not started before this time.
  SteadyTime over_at{};                    ///< When its last run ended or was lost.
  SteadyTime held_logged{};                ///< When it was last reported as held.
  std::vector<AvoidedWorker> avoid;        ///< Not started there for some time.
};

/// Room for some tasks of a step on one life of a worker.
struct HeldRoom {
  std::string worker;
  std::uint32_t life = 0;
  std::uint32_t count = 0;
};

/// One step of one occurrence of a job.
struct Step {
  Job* job = nullptr;
  std::uint32_t occurrence = 0;
  std::uint32_t number = 0;
  const schema::StepSpec* spec = nullptr;  ///< Part of the job.
  Resources size;                          ///< Room that one task takes.
  std::vector<Task> tasks;
  std::uint32_t done = 0;
  std::uint32_t gang_failures = 0;
  std::uint64_t gang_run = 0;                   ///< Run of the members that are there; 0 for none.
  std::vector<std::uint64_t> gang_failed_runs;  ///< That were counted as failed.
  bool gang_sent = false;                       ///< The start of a member was sent.
  SteadyTime gang_started{};                    ///< When the first start was sent.
  bool gang_ending = false;            ///< A member ended: the others are on their way out.
  bool ready = false;                  ///< All earlier steps are done.
  SteadyTime ready_since{};            ///< In this term.
  bool yields = false;                 ///< The last planning pass left the room to gangs.
  std::vector<AdviceOnWorker> advice;  ///< By the slot of the worker; may be shorter.
  KeptAnswers kept_answers;
  std::uint32_t questions = 0;  ///< Of this step that have no answer yet.
  SteadyTime question_since{};  ///< When the last question was asked.
  SteadyTime advice_retry_at{};
  std::uint32_t waiting = 0;  ///< Tasks that the last planning pass has found and left waiting.
  std::uint64_t examined_round = 0;  ///< In which a planning pass last examined it for nothing.
  std::vector<HeldRoom> held;        ///< Room that is kept for the gang while it waits for tickets.

  [[nodiscard]] bool IsDone() const { return done == tasks.size(); }
  [[nodiscard]] TaskRef Ref(std::uint32_t index) const;
};

/// A run that counted as an attempt of its task, or of its gang.
struct CountedFailure {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  std::uint64_t run = 0;
  std::string worker;
};

/// What made a job final.
struct FinalCause {
  std::string_view cause;       ///< done, attempts or cancel-call.
  std::optional<TaskRef> task;  ///< Whose attempts are used up; of a gang, the member that failed.
  std::uint32_t failures = 0;   ///< That counted, in all terms.
  std::uint32_t attempts = 0;   ///< That the queue allows.
  std::string runs;  ///< Of this term that counted, as RUN@WORKER; earlier ones are not known.
};

struct Job {
  schema::JobSpec spec;
  schema::JobState state = schema::JOB_STATE_QUEUED;
  std::int64_t accepted_unix_ms = 0;
  SteadyTime arrived{};    ///< When the caller's request arrived, as far as known.
  SteadyTime objective{};  ///< When it has to be done.
  schema::JobState shown = schema::JOB_STATE_NONE;  ///< State that is in the store.
  std::vector<std::unique_ptr<Step>> steps;         ///< Of the occurrences that have begun.
  std::uint32_t occurrences_begun = 0;
  std::uint32_t occurrences_done = 0;
  std::uint32_t live_orders = 0;
  std::uint64_t submission = 0;  ///< Numbers the submissions that one scheduler took.
  bool stored = false;           ///< Its job row is in the store or in the transaction in flight.
  bool ever_started = false;
  std::uint64_t dirty_position = 0;      ///< Place in the queue for the store; 0 when not in it.
  SteadyTime dirty_since{};              ///< When it entered this queue.
  std::vector<CountedFailure> failures;  ///< Of this term.

  [[nodiscard]] bool IsFinal() const {
    return state == schema::JOB_STATE_SUCCEEDED || state == schema::JOB_STATE_FAILED ||
           state == schema::JOB_STATE_CANCELLED;
  }
};

/// @returns why `task` has made its job fail.
FinalCause AttemptsUsedUp(const Task& task, std::uint32_t failures);

/// Makes the steps of the next occurrence of `job`.
void BeginOccurrence(Job* job);

/// @returns how many occurrences the job has in all; 1 for a job that runs once.
std::uint32_t OccurrenceCount(const Job& job);

/// @returns when an occurrence is due, in time of day.
WallTime OccurrenceDue(const Job& job, std::uint32_t occurrence);

/// @returns whether the steps that `step` follows are done.
bool PredecessorsDone(const Step& step);

/// @returns the row that keeps the progress of `job`.
schema::ProgressRow ToProgressRow(const Job& job);

/// An assignment that an earlier scheduler made and whose end is not known.
struct StoredAssignment {
  Task* task = nullptr;
  schema::AssignmentRow row;
};

/// Restores what a progress row kept. Assignments are returned, not applied.
std::vector<StoredAssignment> RestoreProgress(const schema::ProgressRow& row, Job* job);

/// Drops the steps of an occurrence that is over.
void EndOccurrence(std::uint32_t occurrence, Job* job);

/// Checks a job as it was submitted.
/// @returns CODE_INVALID_FIELD naming the field when it makes no sense.
Result<void> CheckJob(const schema::JobSpec& spec);

/// @returns the room that a task of the step takes.
Resources TaskRoom(const schema::StepSpec& spec);

}  // namespace citronsill
