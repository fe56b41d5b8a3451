#include "citronsill/connection_budget.h"

#include <utility>
#include <vector>

namespace citronsill {

const char* EvictionReasonName(EvictionReason reason) {
  switch (reason) {
    case EvictionReason::kRefused:
      return "refused";
    case EvictionReason::kAbandoned:
      return "abandoned";
    case EvictionReason::kIdle:
      return "idle";
    case EvictionReason::kSlow:
      return "slow";
    case EvictionReason::kUnread:
      return "unread";
    case EvictionReason::kUnfinished:
      return "unfinished";
  }
  return "unknown";
}

std::unique_ptr<ConnectionBudget::Share> ConnectionBudget::Join(
    const std::shared_ptr<ConnectionGroup>& group, std::size_t bytes, SteadyTime now,
    OnEvict on_evict) {
  std::unique_ptr<Share> share;
  std::vector<Selected> evicted;
  bool has_room = true;
  {
    const std::lock_guard lock(m_mutex);
    while (group->connections >= group->max_connections && has_room) {
      Share* const selected = Select(group.get(), nullptr, now);
      has_room = selected != nullptr;
      if (has_room) evicted.push_back(Evict(selected, true, now));
    }
    while (has_room && m_bytes + bytes > m_limits.max_bytes) {
      Share* const selected = Select(nullptr, nullptr, now);
      has_room = selected != nullptr;
      if (has_room) evicted.push_back(Evict(selected, false, now));
    }
    if (has_room) {
      share.reset(new Share(shared_from_this(), group, bytes, now, std::move(on_evict)));
      m_shares.insert(share.get());
      m_bytes += bytes;
      ++group->connections;
    }
  }
  for (const Selected& selected : evicted) selected.on_evict(selected.eviction);
  return share;
}

std::size_t ConnectionBudget::Bytes() const {
  const std::lock_guard lock(m_mutex);
  return m_bytes;
}

// @returns whether the connection has to keep its answer, or its client may still be reading it.
bool ConnectionBudget::IsProtected(const Share& share, SteadyTime now) const {
  return share.m_state == ConnectionState::kAnswering ||
         (share.m_state == ConnectionState::kWriting && now - share.m_since < m_limits.slow_after);
}

EvictionReason ConnectionBudget::Classify(const Share& share, SteadyTime now) const {
  if (share.m_state == ConnectionState::kRefused) return EvictionReason::kRefused;
  if (share.m_state == ConnectionState::kAbandoned) return EvictionReason::kAbandoned;
  // The request of a connection that has just become idle may be on its way.
  if (now - share.m_since < m_limits.slow_after) return EvictionReason::kUnfinished;
  if (share.m_state == ConnectionState::kWriting) return EvictionReason::kUnread;
  return share.m_state == ConnectionState::kIdle ? EvictionReason::kIdle : EvictionReason::kSlow;
}

// @param group only connections of this group are considered; null for all.
// @param except null, or a connection that is not considered.
// @returns the connection to be evicted next, null when there is none.
ConnectionBudget::Share* ConnectionBudget::Select(const ConnectionGroup* group, const Share* except,
                                                  SteadyTime now) {
  Share* selected = nullptr;
  EvictionReason selected_reason{};
  for (Share* share : m_shares) {
    if (share == except || IsProtected(*share, now)) continue;
    if (group != nullptr && share->m_group.get() != group) continue;
    const EvictionReason reason = Classify(*share, now);
    const auto is_before = [&] {
      if (reason != selected_reason) return reason < selected_reason;
      if (reason == EvictionReason::kUnfinished && share->m_bytes != selected->m_bytes) {
        return share->m_bytes > selected->m_bytes;
      }
      return share->m_since < selected->m_since;
    };
    if (selected == nullptr || is_before()) {
      selected = share;
      selected_reason = reason;
    }
  }
  return selected;
}

// A connection that was refused before is closed at once.
ConnectionBudget::Selected ConnectionBudget::Evict(Share* share, bool at_once, SteadyTime now) {
  const EvictionReason reason = Classify(*share, now);
  // An idle connection has no request that could be answered.
  at_once = at_once || share->m_state != ConnectionState::kReading;
  Selected selected{share->m_on_evict, Eviction{reason, at_once}};
  if (at_once) {
    Remove(share);
  } else {
    m_bytes -= share->m_bytes - share->m_idle_bytes;
    share->m_bytes = share->m_idle_bytes;
    share->m_state = ConnectionState::kRefused;
    share->m_since = now;
  }
  return selected;
}

void ConnectionBudget::Remove(Share* share) {
  if (std::exchange(share->m_closed_at_once, true)) return;
  m_shares.erase(share);
  m_bytes -= share->m_bytes;
  --share->m_group->connections;
}

ConnectionBudget::Share::Share(std::shared_ptr<ConnectionBudget> budget,
                               std::shared_ptr<ConnectionGroup> group, std::size_t bytes,
                               SteadyTime now, OnEvict on_evict)
    : m_budget(std::move(budget)),
      m_group(std::move(group)),
      m_on_evict(std::move(on_evict)),
      m_bytes(bytes),
      m_idle_bytes(bytes),
      m_since(now) {}

ConnectionBudget::Share::~Share() {
  const std::lock_guard lock(m_budget->m_mutex);
  m_budget->Remove(this);
}

bool ConnectionBudget::Share::Set(ConnectionState state, std::size_t bytes, SteadyTime now) {
  std::vector<Selected> evicted;
  bool fits = true;
  {
    const std::lock_guard lock(m_budget->m_mutex);
    if (m_closed_at_once || m_state == ConnectionState::kRefused) return false;
    m_budget->m_bytes += bytes - m_bytes;
    m_bytes = bytes;
    if (m_state != state) m_since = now;
    m_state = state;
    while (fits && m_budget->m_bytes > m_budget->m_limits.max_bytes) {
      Share* const selected = m_budget->Select(nullptr, nullptr, now);
      if (selected == nullptr) break;  // All are being answered, this one as well.
      fits = selected != this;
      Selected result = m_budget->Evict(selected, false, now);
      if (fits) evicted.push_back(std::move(result));
    }
  }
  for (const Selected& selected : evicted) selected.on_evict(selected.eviction);
  return fits;
}

}  // namespace citronsill
