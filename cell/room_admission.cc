#include "cell/room_admission.h"

#include <algorithm>

#include "cell/limits.h"

namespace citronsill {
namespace {

// Work that has its turn before the job.
CellTime WorkBefore(const QueuedWork& queued, const JobNeeds& job) {
  if (!job.is_within_share) return queued.All();
  return job.is_interactive ? queued.interactive : queued.interactive + queued.batch;
}

}  // namespace

void AddAccepted(const JobNeeds& job, QueuedWork* queued) {
  if (!job.is_within_share) {
    queued->beyond_share += job.work;
  } else if (job.is_interactive) {
    queued->interactive += job.work;
  } else {
    queued->batch += job.work;
  }
}

RoomDecision DecideRoom(const QueuedWork& queued, const JobNeeds& job) {
  RoomDecision decision;
  const CellTime wait = WorkBefore(queued, job) + job.work;
  decision.expected_wait = std::chrono::duration_cast<milliseconds>(wait);
  // A queue that is shorter than a planning pass and a request to the policy service is no backlog.
  if (decision.expected_wait < kMinBacklogWait) return decision;
  const milliseconds slack = job.is_within_share ? job.late_slack : job.objective_slack;
  if (decision.expected_wait <= slack) return decision;
  decision.verdict = job.is_within_share ? RoomVerdict::kCannotBeInTime : RoomVerdict::kBeyondShare;
  decision.retry_after = std::clamp(decision.expected_wait - std::max(slack, milliseconds(0)),
                                    kMinRoomRetryAfter, kMaxRoomRetryAfter);
  return decision;
}

const char* RoomVerdictName(RoomVerdict verdict) {
  switch (verdict) {
    case RoomVerdict::kAccepted:
      return "accepted";
    case RoomVerdict::kCannotBeInTime:
      return "cannot-be-in-time";
    case RoomVerdict::kBeyondShare:
      return "beyond-share";
  }
  return "unknown";
}

}  // namespace citronsill
