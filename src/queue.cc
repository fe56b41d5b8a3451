#include "citronsill/queue.h"

#include "internal.h"

namespace citronsill {
namespace {

// Minimum number of dropped entries for which a pass over the whole queue is worthwhile.
constexpr std::size_t kMinDroppedToCompact = 1024;

}  // namespace

void WaitingQueue::Push(Lane lane, const std::string& team, const Shape& shape, QueueEntryPtr entry,
                        bool at_front) {
  TeamQueue& queue = m_lanes[static_cast<std::size_t>(lane)][team];
  queue.blocked_at = 0;
  ++m_entries;
  const auto [found, is_new] = queue.groups.try_emplace(shape);
  WaitingGroup& group = found->second;
  if (is_new) {
    group.lane = lane;
    group.team = team;
    group.shape = shape;
    group.order = entry->sequence;
    queue.order[{group.order, shape}] = &group;
  }
  if (at_front) {
    group.entries.push_front(std::move(entry));
  } else {
    group.entries.push_back(std::move(entry));
  }
}

WaitingGroup* WaitingQueue::FirstUnblocked(TeamQueue& queue, std::uint64_t generation) {
  std::size_t tried = 0;
  for (const auto& [order, group] : queue.order) {
    if (group->blocked_at != generation) return group;
    if (++tried == kBackfillDepth) break;
  }
  return nullptr;
}

WaitingGroup* WaitingQueue::NextGroup(Lane lane, std::uint64_t generation,
                                      const ShareOf& share_of) {
  WaitingGroup* best = nullptr;
  double best_share = 0.0;
  for (auto& [team, queue] : m_lanes[static_cast<std::size_t>(lane)]) {
    if (queue.blocked_at == generation) continue;
    WaitingGroup* group = FirstUnblocked(queue, generation);
    if (group == nullptr) {
      queue.blocked_at = generation;
      continue;
    }
    const double share = share_of(team);
    const bool is_better = best == nullptr || share < best_share ||
                           (share == best_share && group->order < best->order);
    if (!is_better) continue;
    best = group;
    best_share = share;
  }
  return best;
}

std::vector<WaitingGroup*> WaitingQueue::UnblockedGroups(const WaitingGroup& group,
                                                         std::uint64_t generation,
                                                         std::size_t max) {
  std::vector<WaitingGroup*> groups;
  TeamQueue& queue = m_lanes[static_cast<std::size_t>(group.lane)].at(group.team);
  for (const auto& [order, other] : queue.order) {
    if (groups.size() == max) break;
    if (other->blocked_at != generation) groups.push_back(other);
  }
  return groups;
}

WaitingGroup* WaitingQueue::NextGroupOf(Lane lane, const std::string& team,
                                        std::uint64_t generation) {
  auto& teams = m_lanes[static_cast<std::size_t>(lane)];
  const auto found = teams.find(team);
  return found == teams.end() ? nullptr : FirstUnblocked(found->second, generation);
}

bool WaitingQueue::DropEmptyEntries(WaitingGroup* group) {
  while (!group->entries.empty() && group->entries.front()->tasks.empty()) {
    group->entries.pop_front();
    --m_entries;
  }
  auto& teams = m_lanes[static_cast<std::size_t>(group->lane)];
  const auto team = teams.find(group->team);
  TeamQueue& queue = team->second;
  if (group->entries.empty()) {
    queue.order.erase({group->order, group->shape});
    const Shape shape = group->shape;
    queue.groups.erase(shape);
    if (queue.groups.empty()) teams.erase(team);
    return false;
  }
  const std::uint64_t order = group->entries.front()->sequence;
  if (order != group->order) {
    queue.order.erase({group->order, group->shape});
    group->order = order;
    queue.order[{order, group->shape}] = group;
  }
  return true;
}

void WaitingQueue::OnDropped(std::size_t count) {
  m_dropped += count;
  if (m_dropped >= kMinDroppedToCompact && m_dropped * 2 > m_entries) Compact();
}

void WaitingQueue::Compact() {
  std::vector<WaitingGroup*> groups;
  for (auto& teams : m_lanes) {
    for (auto& [team, queue] : teams) {
      for (auto& [shape, group] : queue.groups) groups.push_back(&group);
    }
  }
  for (WaitingGroup* group : groups) {
    m_entries -= std::erase_if(group->entries,
                               [](const QueueEntryPtr& entry) { return entry->tasks.empty(); });
    DropEmptyEntries(group);
  }
  m_dropped = 0;
}

bool WaitingQueue::VisitLane(Lane lane, const Visitor& visit) const {
  for (const auto& [team, queue] : m_lanes[static_cast<std::size_t>(lane)]) {
    for (const auto& [order, group] : queue.order) {
      for (const QueueEntryPtr& entry : group->entries) {
        if (!entry->tasks.empty() && !visit(*group, *entry)) return false;
      }
    }
  }
  return true;
}

void WaitingQueue::Visit(const Visitor& visit) const {
  for (std::size_t lane = 0; lane < kLaneCount; ++lane) {
    if (!VisitLane(static_cast<Lane>(lane), visit)) return;
  }
}

std::vector<std::string> WaitingQueue::Teams(Lane lane) const {
  std::vector<std::string> names;
  for (const auto& [team, queue] : m_lanes[static_cast<std::size_t>(lane)]) names.push_back(team);
  return names;
}

}  // namespace citronsill
