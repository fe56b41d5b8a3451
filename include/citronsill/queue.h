/// Queue of waiting tasks, ordered by lane, then by the share of the team, then by arrival.
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

/// Lanes of the queue, in the order in which they are placed.
enum class Lane : std::uint8_t {
  kUrgent,
  kShort,    ///< Interactive, expected to end soon.
  kService,  ///< Services.
  kLong,     ///< Interactive, expected to take long.
  kBatch,
};
inline constexpr std::size_t kLaneCount = 5;

/// The properties of a task that decide whether it can be placed. Tasks of the same shape wait in
/// one group, so that one failed attempt to place a task holds for all of them.
struct Shape {
  Resources size;
  SchedulingPolicy policy = SchedulingPolicy::kInteractive;
  std::uint32_t gang_tasks = 0;  ///< Number of tasks of a gang job; 0 for other tasks.
  std::string only_job;          ///< Job id if the task must avoid some workers, else empty.
  auto operator<=>(const Shape&) const = default;
};

struct WaitingTask {
  std::uint32_t index = 0;
  std::uint32_t attempt = 0;
};

/// Waiting tasks of one job. An entry whose tasks were all
/// removed is dropped when it reaches the front of its group.
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
  std::uint64_t order = 0;       ///< Sort key: the sequence of the first entry.
  std::uint64_t blocked_at = 0;  ///< Capacity generation in which placing it failed.
  SteadyTime last_placed;        ///< When a task of the group was last started.
};

/// Not thread-safe. The caller counts generations of free capacity: it passes a new generation
/// once capacity may have become free, and sets `blocked_at` of a group that it could not place to
/// the current one, so that the group is skipped until then.
class WaitingQueue {
 public:
  using ShareOf = std::function<double(const std::string& team)>;

  /// @param at_front whether the entry goes before the
  /// others of its shape; for tasks that are queued again.
  void Push(Lane lane, const std::string& team, const Shape& shape, QueueEntryPtr entry,
            bool at_front);

  /// @returns the oldest group that is not blocked in this generation, of the
  /// team with the lowest share among those that have one; null if there is
  /// none. Only the first `kBackfillDepth` groups of each team are considered.
  WaitingGroup* NextGroup(Lane lane, std::uint64_t generation, const ShareOf& share_of);

  /// @returns up to `max` groups of the same lane and team that are not blocked, oldest first.
  std::vector<WaitingGroup*> UnblockedGroups(const WaitingGroup& group, std::uint64_t generation,
                                             std::size_t max);

  /// As `NextGroup`, for one team.
  WaitingGroup* NextGroupOf(Lane lane, const std::string& team, std::uint64_t generation);

  /// Drops empty entries at the front of a group, and the group if no entry is left.
  /// @returns whether the group still exists.
  bool DropEmptyEntries(WaitingGroup* group);

  /// To be called after all tasks of `count` entries were removed. Empty
  /// entries that are not at the front of a group are removed once they
  /// are the majority, so that the cost per entry stays constant.
  void OnDropped(std::size_t count);

  /// Visits non-empty entries by lane, team and arrival until `visit` returns false.
  using Visitor = std::function<bool(const WaitingGroup&, const QueueEntry&)>;
  void Visit(const Visitor& visit) const;

  /// As `Visit`, for one lane. @returns whether all entries were visited.
  bool VisitLane(Lane lane, const Visitor& visit) const;

  /// @returns the teams that have entries in the lane.
  [[nodiscard]] std::vector<std::string> Teams(Lane lane) const;

  /// Maximum number of groups of a team that are tried in one generation. It bounds the work of one
  /// decision when every waiting task has a different size.
  static constexpr std::size_t kBackfillDepth = 64;

 private:
  struct TeamQueue {
    std::map<Shape, WaitingGroup> groups;
    std::map<std::pair<std::uint64_t, Shape>, WaitingGroup*> order;
    std::uint64_t blocked_at = 0;  ///< Generation in which none of the groups could be placed.
  };

  static WaitingGroup* FirstUnblocked(TeamQueue& queue, std::uint64_t generation);

  void Compact();

  std::array<std::map<std::string, TeamQueue>, kLaneCount> m_lanes;
  std::size_t m_entries = 0;
  std::size_t m_dropped = 0;  // Since the last compaction.
};

}  // namespace citronsill
