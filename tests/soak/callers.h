// Callers of a cell: they hand jobs in, come back when they are turned away or get no answer, ask
// for states, cancel, and check what they are told against what the workers did.
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
    int callers = 1;          // Each has connections of its own.
    bool has_lasting = true;  // Whether there are jobs that last and jobs with times.
  };
  static Result<std::unique_ptr<Callers>> Create(Runtime& runtime, Platform* platform,
                                                 const Processes& processes, Options options);

  // Hands a new job in, of a kind that is drawn.
  void Submit();
  // Cancels a share of the jobs that are accepted and have not ended.
  void CancelSome(double share);

  // Cancels the jobs that last.
  void CancelLasting();

  // @returns whether every job has its outcome; for one that lasts, that all of its tasks run.
  [[nodiscard]] bool AllServed() const;
  // @returns whether every job has its outcome.
  [[nodiscard]] bool AllEnded() const;
  // Asks for every accepted job once more: the answer has to be the one that was given before.
  // @param done is called with the number of jobs that were not known or got no answer.
  void AskAgain(std::function<void(std::size_t missing)> done);

  struct Counts {
    std::size_t jobs = 0;
    std::size_t accepted = 0;
    std::size_t refused = 0;
    std::size_t cancelled = 0;
    std::size_t unanswered_calls = 0;
  };
  [[nodiscard]] const Counts& Total() const { return m_counts; }
  // Describes the jobs without an outcome.
  [[nodiscard]] std::vector<std::string> Open() const;

  enum class Phase { kSubmitting, kAccepted, kRefused, kEnded };
  struct CallerJob {
    std::string id;
    std::string queue;
    std::string body;
    std::vector<model::TaskBehavior> steps;
    bool lasts = false;
    std::uint32_t occurrences = 1;
    std::optional<std::int64_t> first_start_unix_ms;  // Of a job with times.
    std::int64_t interval_ms = 0;
    Phase phase = Phase::kSubmitting;
    int refusals = 0;
    bool may_be_known = false;  // An attempt had no certain outcome.
    bool cancel_sent = false;
    std::optional<SteadyTime> cancelled;  // When the cancelling was acknowledged.
    std::string state;                    // Last one that was told.
  };
  using JobPtr = std::shared_ptr<CallerJob>;
  [[nodiscard]] const std::map<std::string, JobPtr>& Jobs() const { return m_jobs; }
  // @returns whether an occurrence of a job is due.
  static bool IsDue(const CallerJob& job, std::uint32_t occurrence, milliseconds early);
  // A job is given up after so many failures of a task.
  static constexpr int kAttempts = 3;

 private:
  using Answered = std::function<void(const Result<HttpResponse>&)>;

  Callers(Platform* platform, const Processes& processes, Options options);
  void DrawJob(CallerJob* job);
  void DrawLasting(CallerJob* job);
  void DrawTimed(CallerJob* job);
  [[nodiscard]] bool IsServed(const CallerJob& job) const;
  // Notes a call without an answer, and checks whether its connection may have ended.
  void OnUnanswered(const std::string& call, const Processes::Instance& entry, SteadyTime sent,
                    schema::Code code);
  void Call(const JobPtr& job, const char* method, Answered done);
  void HandIn(const JobPtr& job);
  void OnHandedIn(const JobPtr& job, const Result<HttpResponse>& result);
  void Refused(const JobPtr& job);
  void Cancel(const JobPtr& job);
  void Poll(const JobPtr& job);
  void OnState(const JobPtr& job, const std::string& state);
  void AskOnceMore(const JobPtr& job, int retries, const std::function<void(bool)>& done);
  void CheckSucceeded(const CallerJob& job);
  void CheckFailed(const CallerJob& job);
  void OnStart(const TaskRef& task);
  void Violation(const std::string& what, const std::string& job);

  Platform* m_platform;
  const Processes& m_processes;
  Options m_options;
  std::vector<std::unique_ptr<HttpClient>> m_clients;  // Of each caller, one for each instance.
  std::map<std::string, JobPtr> m_jobs;
  Counts m_counts;
};

}  // namespace citronsill::soak
