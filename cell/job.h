/// In-memory state of the jobs of one shard: steps, tasks, and the orders given for them.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cell/customer_ledger.h"
#include "cell/shard_rows.h"
#include "cell/worker.h"
#include "cell/worker_speeds.h"
#include "schema/cell.pb.h"

namespace citronsill {

struct Job;
struct Step;
struct Task;
struct Worker;

enum class OrderState {
  kStoring,  ///< The assignment is not stored yet; nothing was sent.
  kSending,  ///< The start was sent and has no answer yet.
  kRunning,  ///< The worker reported that the task runs.
  kUnknown,  ///< The task may run, start later, or never start: the worker has to be asked.
};

/// An order to run a task on a worker. Each order is one run of the task.
struct Order {
  std::uint64_t id = 0;
  Task* task = nullptr;
  Worker* worker = nullptr;
  std::uint64_t run = 0;  ///< Run number. Later runs of the task have higher ones.
  Resources size;         ///< Resources that it takes on the worker.
  OrderState state = OrderState::kStoring;
  bool stop_wanted = false;
  bool stop_in_flight = false;
  bool earlier_term = false;  ///< Given by the scheduler of an earlier term.
  bool listed = false;        ///< The worker has listed the run in the answer to a hold.
  bool answered = false;      ///< The worker has accepted the start.
  /// The known incarnation runs it, and no later one can: it has listed the run, or accepted the
  /// start by its own clock. An earlier scheduler may have seen that.
  bool confirmed = false;
  /// Its worker has started again since, and the next incarnation may execute the start.
  bool carried_over = false;
  bool resumed = false;  ///< Its start carried a checkpoint, so that it takes less time.
  std::string ticket;    ///< Permit of the policy service; empty if none is needed.
  SteadyTime ticket_until = SteadyTime::max();
  std::uint64_t fence = 0;   ///< Fencing token of its start; 0 for one of an earlier term.
  WorkerTime clock_at_send;  ///< The least that the clock of the known incarnation showed then.
  WorkerTime start_until;    ///< The worker rejects the start after this time on its own clock.
  SteadyTime created;
  SteadyTime sent;           ///< When its start was sent.
  SteadyTime running_since;  ///< When the task was first known to run.
  SteadyTime unknown_since;
  std::optional<SteadyTime> stopped_at;  ///< When the worker acknowledged a stop.
  SteadyTime stop_retry_at;
  int percent = 0;             ///< Last reported progress of this run, in percent.
  int first_percent = 0;       ///< First reported progress of this run, in percent.
  SteadyTime percent_changed;  ///< When the reported progress last increased.
  SteadyTime advanced;         ///< When it last increased or the checkpoint changed.
};

/// Answer of the policy service about one incarnation of a worker.
struct WorkerAdvice {
  bool looked_up = false;  ///< The stored answers of an earlier scheduler were searched.
  bool asked = false;
  bool allowed = false;
  std::uint32_t incarnation = 0;
  std::string ticket;
  SteadyTime ticket_until{};  ///< The ticket is not used after this time.
};

/// Answers of the policy service about a step, by the key of the worker's incarnation; true if it
/// is allowed. The answer about a step never changes, so it is stored, and the next scheduler need
/// not ask again.
using StoredAnswers = std::unordered_map<std::uint32_t, bool>;

/// @returns the key in `StoredAnswers` of the worker's current incarnation.
std::uint32_t AnswerKey(const WorkerDescription& worker);

/// A worker on which a task failed or made no progress.
struct AvoidedWorker {
  std::uint32_t slot = 0;
  SteadyTime until{};
};

struct Task {
  Step* step = nullptr;
  std::uint32_t index = 0;
  bool is_done = false;
  std::uint32_t failures = 0;        ///< Number of counted failures, in all terms.
  std::string checkpoint;            ///< Last checkpoint; the next run starts from it.
  bool checkpoint_too_long = false;  ///< A checkpoint was ignored, and that was logged.
  std::uint64_t last_run = 0;  ///< Run number of the last run, or a lower bound for the next one.
  /// Runs that were given up in this term after their lease expired; their ends may still be
  /// reported.
  std::vector<std::uint64_t> expired_runs;
  /// Orders that have not ended: none, one, or several copies.
  std::vector<Order*> orders;
  SteadyTime retry_at{};  ///< The task is not started before this time.
  /// A worker may run it without an order (`FleetHooks::on_stray_run`); it is not started then.
  bool has_stray_run = false;
  SteadyTime last_run_over_at{};  ///< When its last run ended or was lost.
  SteadyTime held_logged_at{};    ///< When it was last logged as held.
  std::uint32_t stalls = 0;       ///< Number of its runs in this term that were stopped as stalled.
  /// Workers on which the task is not started for some time.
  std::vector<AvoidedWorker> avoided_workers;
};

/// Room that is reserved on one incarnation of a worker for tasks of a step.
struct ReservedRoom {
  std::uint32_t slot = 0;  ///< Of the worker.
  std::uint32_t incarnation = 0;
  std::uint32_t count = 0;
};

/// One step of one occurrence of a job.
struct Step {
  Job* job = nullptr;
  std::uint32_t occurrence = 0;
  std::uint32_t number = 0;
  const schema::StepSpec* spec = nullptr;  ///< Points into the job's spec.
  Resources size;                          ///< Resources that one task takes.
  std::vector<Task> tasks;
  std::uint32_t done_count = 0;     ///< Number of tasks that are done.
  std::uint32_t gang_failures = 0;  ///< Number of counted failures of the gang, in all terms.
  /// Run number of the members that have orders; 0 for none.
  std::uint64_t gang_run = 0;
  /// Runs that were counted as failed in this term, and the current one if it was in an earlier
  /// term. Ends of other runs of earlier terms are not counted.
  std::vector<std::uint64_t> gang_failed_runs;
  bool gang_start_sent = false;  ///< The start of a member was sent.
  /// When the first start was sent; until then, when the gang was assigned.
  SteadyTime gang_started_at{};
  /// Whether the gang fits on the workers that it may use while nothing else runs there; when that
  /// is checked again, and for which change of the workers it was.
  bool can_fit = true;
  SteadyTime fit_check_at{};
  std::uint64_t fit_change_number = 0;
  bool gang_ending = false;  ///< A member has ended: the others are being stopped.
  bool ready = false;        ///< All steps that it follows are done.
  SteadyTime ready_since{};  ///< When it became ready, as seen in this term.
  /// In the last planning pass it got no room because it is left to gangs.
  bool yields_to_gangs = false;
  /// In the last planning pass its customer had no room left below its limit.
  bool is_over_limit = false;
  /// Answers of the policy service, by worker slot; may be shorter than the number of slots.
  std::vector<WorkerAdvice> advice;
  std::vector<std::uint32_t> allowed_slots;  ///< Slots of the workers that may be allowed.
  StoredAnswers stored_answers;
  bool has_earlier_answers = false;    ///< Some of them were stored by an earlier scheduler...
  std::uint64_t answers_applied_at{};  ///< ...and applied to the workers of this change number.
  std::uint32_t advice_requests = 0;   ///< Number of open advice requests about this step.
  SteadyTime advice_request_since{};   ///< When the last request was sent.
  SteadyTime advice_retry_at{};
  std::uint32_t waiting = 0;  ///< Tasks that the last planning pass found and left waiting.
  /// Round of planning passes in which it was last examined without a decision.
  std::uint64_t examined_round = 0;
  SteadyTime gang_end{};        ///< When the gang is expected to end...
  SteadyTime gang_end_until{};  ///< ...which is worked out again after this time.
  StepRuns runs;                ///< Runs of this term that ended, to compare their workers.
  std::size_t runs_used = 0;    ///< Number of these that were used.
  /// Room that is reserved for the gang while it waits for tickets.
  std::vector<ReservedRoom> reserved_room;

  [[nodiscard]] bool IsDone() const { return done_count == tasks.size(); }
  [[nodiscard]] TaskRef Ref(std::uint32_t index) const;
};

/// A run that counted as a failed attempt of its task or gang.
struct CountedFailure {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  std::uint64_t run = 0;
  std::string worker;
};

/// Why a job became final.
struct FinalCause {
  std::string_view cause;  ///< One of "done", "attempts", "cancel-call" and "store-refused".
  /// The task whose attempts are used up; of a gang, the member that failed.
  std::optional<TaskRef> task;
  std::uint32_t failures = 0;  ///< Number of counted failures, in all terms.
  std::uint32_t attempts = 0;  ///< Number of attempts that the queue allows.
  /// Counted runs of this term, as a list of RUN@WORKER; those of earlier terms are not known.
  std::string runs;
};

struct Job {
  schema::JobSpec spec;
  schema::JobState state = schema::JOB_STATE_QUEUED;
  CustomerIndex customer = kNoCustomer;
  /// Submitted beyond the share of its customer: goes behind what others submit within theirs.
  bool is_beyond_share = false;
  std::int64_t accepted_unix_ms = 0;
  SteadyTime arrived{};  ///< When the caller's request arrived, as far as known.
  /// When the job should be finished; unset until the first planning pass.
  SteadyTime objective{};
  std::uint64_t objective_runs = 0;  ///< Ended runs of its queue on which that is based.
  /// State that is stored and shown to callers.
  schema::JobState stored_state = schema::JOB_STATE_NONE;
  /// Steps of the occurrences that have begun and are not over, by occurrence and number. Each
  /// occurrence has all steps of the spec.
  std::vector<std::unique_ptr<Step>> steps;
  std::uint32_t occurrences_begun = 0;
  std::uint32_t occurrences_done = 0;
  std::uint32_t live_orders = 0;     ///< Orders for its tasks that have not ended.
  std::size_t assignment_bytes = 0;  ///< Upper bound of what they take in its progress rows.
  std::size_t spec_bytes = 0;        ///< Memory of the job without its steps.
  std::uint64_t number = 0;          ///< Sequence number of the job, counted by each scheduler.
  std::uint64_t submission = 0;  ///< Sequence number of the submission, counted by each scheduler.
  RowPlaces places;              ///< Where its records are in the store.
  std::uint64_t finished_pack = 0;  ///< Pack that holds its final state; 0 for none.
  bool has_finished_row = false;    ///< Its final state has a row of its own.
  bool is_to_unpack = false;        ///< Its records in packs are to get rows of their own.
  bool stored = false;              ///< Its job row is stored or part of the transaction in flight.
  bool ever_started = false;
  /// Until then, tasks without an order may have runs that are not known, as a row of its progress
  /// was missing.
  std::optional<SteadyTime> runs_unknown_until;
  /// The store refuses its progress. Its final state is stored at once, although it has orders.
  bool is_unstorable = false;
  /// Position in the queue of changes to store; 0 if not queued.
  std::uint64_t dirty_position = 0;
  SteadyTime dirty_since{};              ///< When it entered this queue.
  std::vector<CountedFailure> failures;  ///< Counted failures of this term.

  [[nodiscard]] bool IsFinal() const {
    return state == schema::JOB_STATE_SUCCEEDED || state == schema::JOB_STATE_FAILED ||
           state == schema::JOB_STATE_CANCELLED;
  }
};

/// @returns the cause of a job that failed because `task` has used up its attempts.
FinalCause AttemptsUsedUp(const Task& task, std::uint32_t failures);

/// Creates the steps of the next occurrence of `job`.
/// @returns these steps, as `StepsOf` does.
std::span<const std::unique_ptr<Step>> BeginOccurrence(Job* job);

/// @returns the total number of occurrences of the job; 1 for a job that runs once.
std::uint32_t OccurrenceCount(const Job& job);

/// @returns the Unix time at which an occurrence is due; the latest time for one that is due later
/// than that.
milliseconds OccurrenceDue(const Job& job, std::uint32_t occurrence);

/// @returns the number of further occurrences of the job that may begin if they are due. Bounds the
/// tasks of a job that exist at a time, and those that wait, however many occurrences are due.
std::uint64_t OccurrencesToBegin(const Job& job);

/// @returns the steps of an occurrence by number; none if it has not begun or is over. Valid until
/// occurrences of the job begin or are removed.
std::span<const std::unique_ptr<Step>> StepsOf(const Job& job, std::uint32_t occurrence);

/// @returns the step, or null if there is none.
Step* FindStep(const Job& job, std::uint32_t occurrence, std::uint32_t number);

/// @returns the declared duration of a task of the step, within limits with which the times of a
/// job can be calculated.
milliseconds EstimateOf(const schema::StepSpec& spec);

/// @returns whether the steps that `step` follows are done.
bool PredecessorsDone(const Step& step);

/// @returns the rows in which the progress of `job` is stored, each of at most `kMaxRowBytes`. The
/// first one says how many there are.
std::vector<schema::ProgressRow> ToProgressRows(const Job& job);

/// @returns an upper bound of the bytes that a run on the worker takes in a progress row.
std::size_t AssignmentRowBytes(const std::string& worker);

/// A stored assignment of an earlier scheduler whose end is not known.
struct StoredAssignment {
  Task* task = nullptr;
  schema::AssignmentRow row;
};

/// Sets the checkpoint from which the next run of the task starts, unless it is empty or too long
/// to be stored; the task then keeps its earlier one.
/// @returns whether it has changed.
bool KeepCheckpoint(const std::string& checkpoint, Task* task);

/// Restores the progress of a job.
/// @param row the first row, with the steps of all rows.
/// @returns the stored assignments; no orders are created for them.
std::vector<StoredAssignment> RestoreProgress(const schema::ProgressRow& row, Job* job);

/// @returns whether a task of the step has yet to be given to a worker: now, or after a pause.
bool HasUnassigned(const Step& step);

/// Removes the occurrences whose steps are done and that have no runs left.
void RemoveEndedOccurrences(Job* job);

/// Puts the lists of a submitted job into their shortest form.
void NormalizeJob(schema::JobSpec* spec);

/// Validates a submitted job. What is valid can be stored and takes a bounded time in each event of
/// the scheduler.
/// @returns CODE_INVALID_FIELD with the name of the invalid field.
Result<void> ValidateJob(const schema::JobSpec& spec);

/// @returns the resources that a task of the step takes.
Resources RequiredResources(const schema::StepSpec& spec);

}  // namespace citronsill
