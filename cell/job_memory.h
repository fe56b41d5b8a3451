/// Memory of the jobs that a scheduler keeps. Callers decide how many there are, so it is limited.
#pragma once

#include <cstddef>

#include "cell/job.h"

namespace citronsill {

/// @returns whether something of `bytes` may be added to what is `used` of `max`: it takes a small
/// part of the rest only, so that large requests are refused well before small ones.
bool FitsRemaining(std::size_t bytes, std::size_t used, std::size_t max);

/// @returns memory of a job in bytes without its steps and tasks: its spec and its state.
std::size_t SpecBytes(const schema::JobSpec& spec);

/// @returns memory of a step of one occurrence and its tasks in bytes.
std::size_t StepBytes(const Step& step);

/// Counts the memory of jobs. It does not follow jobs that end: these leave with the next count.
class JobMemory {
 public:
  /// @param max_bytes limit of all jobs together, active and ended.
  /// @param finished_jobs number of ended jobs whose state is kept.
  JobMemory(std::size_t max_bytes, std::size_t finished_jobs);

  /// Adds a job without its steps.
  void AddSpec(const Job& job);
  void AddStep(const Step& step) { m_bytes += StepBytes(step); }

  /// @returns null if the job may be accepted, else what takes too much memory.
  [[nodiscard]] const char* WhyRefused(const schema::JobSpec& spec) const;
  /// @returns whether occurrences of accepted jobs may begin.
  [[nodiscard]] bool HasRoomForOccurrences() const { return m_bytes < m_max_bytes; }
  [[nodiscard]] std::size_t Bytes() const { return m_bytes; }

 private:
  std::size_t m_max_bytes;
  std::size_t m_bytes;
  std::size_t m_scheduled_bytes = 0;  // Part of jobs with times, without their steps.
};

}  // namespace citronsill
