// Callers of a cell: they hand jobs in, come back when they are turned away or get no answer, ask
// for states, cancel, and check what they are told against what the workers did.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform.h"

namespace citronsill::soak {

class Callers {
 public:
  // @param entries addresses of the instances, as callers reach them.
  static Result<std::unique_ptr<Callers>> Create(Runtime& runtime, Platform* platform,
                                                 const std::vector<std::string>& entries);

  // Hands a new job in, of a kind that is drawn.
  void Submit();
  // Cancels a share of the jobs that are accepted and have not ended.
  void CancelSome(double share);

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

 private:
  enum class Phase { kSubmitting, kAccepted, kRefused, kEnded };
  struct CallerJob {
    std::string id;
    std::string queue;
    std::string body;
    std::vector<model::TaskTruth> steps;
    Phase phase = Phase::kSubmitting;
    int refusals = 0;
    bool may_be_known = false;  // An attempt had no certain outcome.
    bool cancel_sent = false;
    std::optional<SteadyTime> cancelled;  // When the cancelling was acknowledged.
    std::string state;                    // Last one that was told.
  };
  using JobPtr = std::shared_ptr<CallerJob>;
  using Answered = std::function<void(const Result<HttpResponse>&)>;

  explicit Callers(Platform* platform);
  void Call(const JobPtr& job, const char* method, Answered done);
  void HandIn(const JobPtr& job);
  void OnHandedIn(const JobPtr& job, const Result<HttpResponse>& result);
  void Refused(const JobPtr& job);
  void Cancel(const JobPtr& job);
  void Poll(const JobPtr& job);
  void OnState(const JobPtr& job, const std::string& state);
  void CheckSucceeded(const CallerJob& job);
  void CheckFailed(const CallerJob& job);
  void OnStart(const TaskRef& task);
  void Violation(const std::string& what, const std::string& job);

  Platform* m_platform;
  std::vector<std::unique_ptr<HttpClient>> m_entries;
  std::map<std::string, JobPtr> m_jobs;
  Counts m_counts;
};

}  // namespace citronsill::soak
