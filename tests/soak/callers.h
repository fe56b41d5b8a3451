// Simulated callers of a cell: they submit jobs, retry when refused or unanswered, poll states,
// cancel, and check the answers against the histories of the workers.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "processes.h"

namespace citronsill::soak {

class Callers {
 public:
  struct Options {
    int callers = 1;               // Number of callers; each has its own connections.
    bool has_long_running = true;  // Whether to submit long-running and scheduled jobs.
    // Share of jobs after which an unusual one is submitted as well; see `SubmitUnusual`.
    double unusual_share = 0.0;
    double long_share = 0.0;      // Share of the tasks of short and batch jobs that are long ones.
    milliseconds max_long{9000};  // Longest time of long tasks; the shortest is 6 s.
    std::uint64_t seed = 1;       // Of the unusual jobs, so that the others stay the same.
  };
  static Result<std::unique_ptr<Callers>> Create(Runtime& runtime, Platform* platform,
                                                 const Processes& processes, Options options);

  // Submits a new job of a random kind and follows it until it ends.
  void Submit();
  // Submits a job that the protocol allows but that callers rarely send: occurrences that are long
  // past or overlap, steps that name all earlier ones. One of four cannot be served.
  void SubmitUnusual();
  // Cancels accepted jobs that have not ended, each with the probability `share`.
  void CancelSome(double share);

  // Asks for the state of a job, or submits one, with a key that must not reach it.
  void SendWrongKey();

  // @returns what a customer has running on all workers.
  [[nodiscard]] Resources RunningOf(const std::string& customer) const;

  // Cancels all long-running jobs.
  void CancelLongRunning();

  // @returns whether every job has its outcome or, if it is long-running, runs all of its tasks.
  [[nodiscard]] bool AllServed() const;
  // @returns whether every job has its final state or was refused.
  [[nodiscard]] bool AllEnded() const;
  // Polls every ended job once more and checks that the state is the one reported before.
  // @param done is called with the number of jobs that were unknown or not answered.
  void VerifyFinalStates(std::function<void(std::size_t missing)> done);

  struct Counts {
    std::size_t jobs = 0;  // Submitted jobs.
    std::size_t accepted = 0;
    std::size_t refused = 0;
    std::size_t cancelled = 0;
    std::size_t unanswered_calls = 0;
    std::size_t wrong_keys = 0;          // Calls with a key that must not reach the job.
    std::size_t wrong_keys_refused = 0;  // Those of them answered with 401 or 403.
    std::size_t keys_refused = 0;        // Calls with a right key answered with 401.
  };
  [[nodiscard]] const Counts& Total() const { return m_counts; }
  // @returns a description of each job that `AllServed` finds without an outcome.
  [[nodiscard]] std::vector<std::string> UnservedJobs() const;

  enum class Phase { kSubmitting, kAccepted, kRefused, kEnded };
  struct CallerJob {
    std::string id;
    std::string queue;
    std::string customer;                    // Empty without customers.
    std::string body;                        // JSON of the submission.
    std::vector<model::TaskBehavior> steps;  // Actual behavior of the tasks of each step.
    bool is_long_running = false;
    bool is_invalid = false;  // To be refused with status 400.
    bool has_advice = true;   // Whether the queue has advice.
    std::uint32_t occurrences = 1;
    std::optional<std::int64_t> first_start_unix_ms;  // Set for scheduled jobs.
    std::int64_t interval_ms = 0;
    Phase phase = Phase::kSubmitting;
    int refusals = 0;
    bool may_be_known = false;  // A submission had no certain outcome: the cell may know the job.
    bool cancel_sent = false;
    std::optional<SteadyTime> cancel_acknowledged_at;
    std::string state;  // Last state reported to the caller.
  };
  using JobPtr = std::shared_ptr<CallerJob>;
  [[nodiscard]] const std::map<std::string, JobPtr>& Jobs() const { return m_jobs; }
  // @param early tolerance: an occurrence counts as due this long before its start time.
  // @returns whether an occurrence of a job is due; always true for jobs without a start time.
  static bool IsDue(const CallerJob& job, std::uint32_t occurrence, milliseconds early);
  // A job fails after this number of failed runs of one task.
  static constexpr int kAttempts = 3;  // As in the configuration that Platform writes.

 private:
  using Key = Customers::Key;
  using ResponseHandler = std::function<void(const Result<HttpResponse>&)>;

  Callers(Platform* platform, const Processes& processes, Options options);
  // Fill in a job with random steps, and its submission body.
  void FillFiniteJob(CallerJob* job);
  void FillLongRunningJob(CallerJob* job);
  void FillScheduledJob(CallerJob* job);
  [[nodiscard]] bool IsServed(const CallerJob& job) const;
  // Logs a call without an answer and checks that closing its connection was allowed.
  void OnUnanswered(const std::string& call, const Processes::Instance& entry, SteadyTime sent,
                    schema::Code code);
  void Call(const JobPtr& job, const char* method, ResponseHandler done);
  // @returns the number of a random client, and the instance that it calls.
  std::pair<std::size_t, const Processes::Instance*> PickClient();
  // @returns whether an instance is held to bounds for a call that was sent then.
  [[nodiscard]] bool IsInTouch(const Processes::Instance& entry, SteadyTime sent) const;
  void OnWrongKey(const std::string& job, const Key& key, const Processes::Instance& entry,
                  SteadyTime sent, unsigned status);
  void OnKeyRefused(const std::string& call, const Key& key, const Processes::Instance& entry,
                    SteadyTime sent);
  // Checks the limit of the task's customer.
  void OnRunning(const TaskRef& task);
  void SendSubmission(const JobPtr& job);
  void OnSubmitted(const JobPtr& job, const Result<HttpResponse>& result);
  void MarkRefused(const JobPtr& job);
  void Cancel(const JobPtr& job);
  void Poll(const JobPtr& job);
  void Add(const JobPtr& job);
  void FillOccurrences(milliseconds duration, std::uint32_t tasks, CallerJob* job);
  void FillOverdueJob(CallerJob* job);
  void FillOverlappingJob(CallerJob* job);
  void FillPipeline(CallerJob* job);
  void FillInvalidJob(CallerJob* job);
  void OnState(const JobPtr& job, const std::string& state);
  void VerifyFinalState(const JobPtr& job, int retries, const std::function<void(bool)>& done);
  void CheckSucceeded(const CallerJob& job);
  void CheckFailed(const CallerJob& job);
  void OnStart(const TaskRef& task);
  void ReportViolation(const std::string& what, const std::string& job);

  Platform* m_platform;
  const Processes& m_processes;
  Options m_options;
  model::Loop m_unusual;                               // Random numbers only.
  std::vector<std::unique_ptr<HttpClient>> m_clients;  // One for each caller and instance.
  std::map<std::string, JobPtr> m_jobs;
  Counts m_counts;
};

}  // namespace citronsill::soak
