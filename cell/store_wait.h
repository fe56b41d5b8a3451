/// Decides which submissions are refused because the store does not take them in time. A job that
/// was not part of any transaction can be refused for certain: it is forgotten and never runs.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "cell/types.h"

namespace citronsill {

/// What the scheduler knows of its transactions.
struct StoreProgress {
  milliseconds failing{0};   ///< `CommitLog::FailingFor`.
  milliseconds unheard{0};   ///< `CommitLog::UnheardFor`.
  milliseconds expected{0};  ///< `CommitLog::ExpectedWait`.
};

enum class StoreVerdict {
  kWait,    ///< The store is expected to take the job in time.
  kSilent,  ///< The store does not answer: how long a job would wait is not known.
  kLate,    ///< The store answers too slowly for the caller's deadline.
};

/// @param time_left time until the caller's final answer; 0 if the entry does not tell it, which is
/// one of an earlier version. Then a store that has failed for `kRefuseAfterStoreSilence` counts as
/// silent.
StoreVerdict JudgeSubmission(const StoreProgress& progress, milliseconds time_left);

/// Deadlines of the submissions that wait for the store, by job id.
class SubmissionWaits {
 public:
  explicit SubmissionWaits(Clock now) : m_now(std::move(now)) {}

  /// A caller waits for the job to be stored. With several callers the latest deadline counts,
  /// because a refusal is for all of them.
  /// @param time_left as for `JudgeSubmission`.
  void Add(const std::string& job, milliseconds time_left);
  /// The job's submission was answered.
  void Remove(const std::string& job) { m_answer_by.erase(job); }

  /// @returns whether to refuse this job, which is not part of any transaction yet.
  [[nodiscard]] StoreVerdict Judge(const StoreProgress& progress, const std::string& job) const;

  /// @returns whether `Judge` refuses any job.
  [[nodiscard]] bool AnyRefused(const StoreProgress& progress) const;

  [[nodiscard]] std::size_t Size() const { return m_answer_by.size(); }

 private:
  Clock m_now;
  std::map<std::string, SteadyTime> m_answer_by;
};

}  // namespace citronsill
