#include "cell/job_memory.h"

#include "cell/limits.h"

namespace citronsill {

bool FitsRemaining(std::size_t bytes, std::size_t used, std::size_t max) {
  return used < max && bytes <= (max - used) / kMaxPartOfRemaining;
}

std::size_t SpecBytes(const schema::JobSpec& spec) { return sizeof(Job) + spec.SpaceUsedLong(); }

std::size_t StepBytes(const Step& step) {
  return sizeof(Step) + step.tasks.capacity() * sizeof(Task);
}

JobMemory::JobMemory(std::size_t max_bytes, std::size_t finished_jobs)
    : m_max_bytes(max_bytes), m_bytes(finished_jobs * kFinishedJobBytes) {}

void JobMemory::AddSpec(const Job& job) {
  m_bytes += job.spec_bytes;
  if (job.spec.occurrences() > 0) m_scheduled_bytes += job.spec_bytes;
}

const char* JobMemory::WhyRefused(const schema::JobSpec& spec) const {
  std::size_t bytes = SpecBytes(spec);
  if (spec.occurrences() > 0 &&
      !FitsRemaining(bytes, m_scheduled_bytes, m_max_bytes / kScheduledJobsPart)) {
    return "jobs with times take too much memory";
  }
  for (const schema::StepSpec& step : spec.steps()) {
    bytes += sizeof(Step) + step.task_count() * sizeof(Task);
  }
  return FitsRemaining(bytes, m_bytes, m_max_bytes) ? nullptr : "jobs take too much memory";
}

}  // namespace citronsill
