#include "cell/store_wait.h"

#include <algorithm>

#include "cell/limits.h"

namespace citronsill {

StoreVerdict JudgeSubmission(const StoreProgress& progress, milliseconds time_left) {
  if (progress.unheard > kRefuseAfterStoreSilence) return StoreVerdict::kSilent;
  if (time_left == milliseconds(0)) {
    const bool has_failed = progress.failing > kRefuseAfterStoreSilence;
    return has_failed ? StoreVerdict::kSilent : StoreVerdict::kWait;
  }
  // The entry has taken the time for the way back to its caller off `time_left`.
  const bool is_late = progress.expected > time_left;
  return is_late ? StoreVerdict::kLate : StoreVerdict::kWait;
}

void SubmissionWaits::Add(const std::string& job, milliseconds time_left) {
  if (time_left == milliseconds(0)) return;
  const SteadyTime answer_by = m_now() + time_left;
  SteadyTime& known = m_answer_by.try_emplace(job, answer_by).first->second;
  known = std::max(known, answer_by);
}

StoreVerdict SubmissionWaits::Judge(const StoreProgress& progress, const std::string& job) const {
  const auto found = m_answer_by.find(job);
  if (found == m_answer_by.end()) return JudgeSubmission(progress, milliseconds(0));
  const auto time_left = std::chrono::duration_cast<milliseconds>(found->second - m_now());
  return time_left > milliseconds(0) ? JudgeSubmission(progress, time_left) : StoreVerdict::kLate;
}

bool SubmissionWaits::AnyRefused(const StoreProgress& progress) const {
  return std::any_of(m_answer_by.begin(), m_answer_by.end(), [&](const auto& entry) {
    return Judge(progress, entry.first) != StoreVerdict::kWait;
  });
}

}  // namespace citronsill
