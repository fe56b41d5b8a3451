// Checks that tasks are started and that lasting tasks are at work, in stretches without
// disruption.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "callers.h"

namespace citronsill::soak {

class WaitingCheck {
 public:
  WaitingCheck(Platform* platform, const Callers* callers)
      : m_platform(platform), m_callers(callers) {}

  // Looks at all jobs once. Has to be called several times a second.
  void Look();

  struct Counts {
    std::size_t calm_looks = 0;  // In which all tasks that wait were checked.
    std::size_t waits = 0;       // Seen in them, with room for each.
    milliseconds longest{0};     // Of these.
  };
  [[nodiscard]] const Counts& Total() const { return m_counts; }

 private:
  struct Wait {
    SteadyTime away;
    std::optional<SteadyTime> with_room;  // Since when there has been room without a break.
  };
  void CountRoom();
  [[nodiscard]] bool HasRoomTwice(const TaskRef& task, const model::TaskBehavior& step) const;
  void LookAtLasting(const Callers::CallerJob& job, bool is_calm);
  void LookAtJob(const Callers::CallerJob& job);
  void LookAtOccurrence(const Callers::CallerJob& job, std::uint32_t occurrence);
  [[nodiscard]] bool IsDone(const TaskRef& task) const;
  [[nodiscard]] bool IsHopeless(const Callers::CallerJob& job) const;
  // @param bound time without a run after which the task counts as lost, if there is room.
  void OnWaiting(const TaskRef& task, bool has_room, milliseconds bound, const char* what);

  Platform* m_platform;
  const Callers* m_callers;
  std::map<std::string, Resources> m_used;  // By worker.
  bool m_is_half_full = false;
  std::map<TaskRef, Wait> m_waits;
  std::set<TaskRef> m_begun;     // Lasting tasks that have run.
  std::set<TaskRef> m_seen;      // Waiting in this look.
  std::set<TaskRef> m_reported;  // Once each.
  Counts m_counts;
};

}  // namespace citronsill::soak
