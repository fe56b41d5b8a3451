/// Order of waiting tasks: lanes by urgency and length, teams by their share, then by arrival.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "citronsill/engine.h"
#include "citronsill/types.h"

namespace citronsill {

/// Lanes in the order of their turn.
enum class Lane : std::uint8_t {
  kUrgent,
  kShort,    ///< Interactive, expected to end soon.
  kService,  ///< Services.
  kLong,     ///< Interactive, expected to take long.
  kBatch,
};
inline constexpr std::size_t kLaneCount = 5;

/// What decides whether a task has room. Tasks of the same shape wait in one group, so that one
/// failed try stands for all of them.
struct Shape {
  Resources size;
  SchedulingPolicy policy = SchedulingPolicy::kInteractive;
  std::uint32_t gang_tasks = 0;  ///< 0 for a task that starts by itself.
  std::string only_job;          ///< Set for tasks that may not run on some workers.
  auto operator<=>(const Shape&) const = default;
};

struct WaitingTask {
  std::uint32_t index = 0;
  std::uint32_t attempt = 0;
};

/// Waiting tasks of one job. An entry without tasks is dead and is dropped when its turn comes.
struct QueueEntry {
  std::string job;
  std::uint64_t sequence = 0;  ///< Order of arrival of the job.
  std::vector<WaitingTask> tasks;
  SteadyTime since;
};
using QueueEntryPtr = std::shared_ptr<QueueEntry>;

/// Entries of one lane, team and shape, oldest first.
struct WaitingGroup {
  Lane lane{};
  std::string team;
  Shape shape;
  std::deque<QueueEntryPtr> entries;
  std::uint64_t order = 0;       ///< Key in the team's order: the sequence of the first entry.
  std::uint64_t blocked_at = 0;  ///< Generation of room in which the group had no room.
  SteadyTime last_placed;        ///< When a task of the group was last started.
};

/// Not thread-safe.
class WaitingQueue {
 public:
  using ShareOf = std::function<double(const std::string& team)>;

  /// @param first whether the entry goes before those of its shape; for tasks that had a turn.
  void Push(Lane lane, const std::string& team, const Shape& shape, QueueEntryPtr entry,
            bool at_front);

  /// @returns the oldest group, among the first `kBackfillDepth` of each team, of the team with the
  /// lowest share that is not blocked in this generation; null when there is none.
  WaitingGroup* NextGroup(Lane lane, std::uint64_t generation, const ShareOf& share_of);

  /// @returns the groups of the same lane and team, oldest first, that are not blocked; at most
  /// `max`.
  std::vector<WaitingGroup*> UnblockedGroups(const WaitingGroup& group, std::uint64_t generation,
                                             std::size_t max);

  /// As `Next`, for one team.
  WaitingGroup* NextGroupOf(Lane lane, const std::string& team, std::uint64_t generation);

  /// Drops dead entries at the front of a group, and the group when nothing is left of it.
  /// @returns whether the group still exists.
  bool DropEmptyEntries(WaitingGroup* group);

  /// To be called after the tasks of `count` entries were dropped. Dead entries behind a live one
  /// are removed once they are the majority, so that the work stays constant for each.
  void OnDropped(std::size_t count);

  /// Visits live entries by lane, team and arrival until `visit` returns false.
  using Visitor = std::function<bool(const WaitingGroup&, const QueueEntry&)>;
  void Visit(const Visitor& visit) const;

  /// As `Visit`, for one lane. @returns whether all entries were visited.
  bool VisitLane(Lane lane, const Visitor& visit) const;

  /// @returns the teams that have entries in the lane.
  [[nodiscard]] std::vector<std::string> Teams(Lane lane) const;

  /// Groups of a team that are tried before the rest waits for the next change. It bounds the work
  /// of one decision when every waiting task has another size.
  static constexpr std::size_t kBackfillDepth = 64;

 private:
  struct TeamQueue {
    std::map<Shape, WaitingGroup> groups;
    std::map<std::pair<std::uint64_t, Shape>, WaitingGroup*> order;
    std::uint64_t blocked_at = 0;
  };

  static WaitingGroup* FirstUnblocked(TeamQueue& queue, std::uint64_t generation);

  void Compact();

  std::array<std::map<std::string, TeamQueue>, kLaneCount> m_lanes;
  std::size_t m_entries = 0;
  std::size_t m_dropped = 0;  // Since the last compaction.
};

}  // namespace citronsill
