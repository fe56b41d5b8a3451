/// Memory and number of the connections of a process. When they exceed their limits, the budget
/// selects the connections to be closed. It does no input or output.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <mutex>
#include <unordered_set>

#include "citronsill/types.h"

namespace citronsill {

enum class ConnectionState {
  kIdle,       ///< No byte of a request has arrived since the last answer.
  kReading,    ///< Part of a request or of an answer has arrived.
  kAnswering,  ///< The request was read whole. Such a connection is never evicted.
  kAbandoned,  ///< The same, and its client has closed its side: nobody may read the answer.
  kWriting,    ///< The answer is being written. Evicted only after `slow_after`.
  kRefused,    ///< It was evicted, and its client is being told so.
};

/// Why a connection was evicted, in the order in which connections are selected.
enum class EvictionReason {
  kRefused,     ///< Evicted before, and still open.
  kAbandoned,   ///< Its client has closed its side of the connection.
  kIdle,        ///< Idle for longer than `slow_after`.
  kSlow,        ///< Its request began longer ago than `slow_after`.
  kUnread,      ///< Its client has not read the answer for longer than `slow_after`.
  kUnfinished,  ///< Its request has not arrived whole.
};

/// @returns the name of `reason` for logs and metrics.
const char* EvictionReasonName(EvictionReason reason);

struct Eviction {
  EvictionReason reason{};
  /// The connection has to be closed at once, because there are too many connections. Otherwise
  /// its memory has to be freed, and its client may be told first.
  bool at_once = false;
};

struct ConnectionBudgetLimits {
  static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();
  std::size_t max_bytes = kUnlimited;  ///< Of all connections together.
  /// Connections that are idle for longer are closed before those that are not, requests that take
  /// longer to arrive before others, and answers that take longer to be read at all.
  std::chrono::milliseconds slow_after{2000};
};

/// Connections that have a maximum number of their own, such as those of one server.
struct ConnectionGroup {
  std::size_t max_connections = ConnectionBudgetLimits::kUnlimited;
  std::size_t connections = 0;  ///< Kept by the budget.
};

/// The budget of a process. May be used by several threads.
///
/// While the connections hold more than `max_bytes`, or a group has more than its maximum,
/// connections are evicted: first those that were refused before, then those whose clients have
/// left, then the idle one that has been idle longest, then the slow one whose request began first,
/// then the one whose answer is unread longest, then the one that holds most bytes.
class ConnectionBudget : public std::enable_shared_from_this<ConnectionBudget> {
 public:
  using OnEvict = std::function<void(const Eviction&)>;
  class Share;

  explicit ConnectionBudget(ConnectionBudgetLimits limits) : m_limits(limits) {}

  /// Adds an idle connection.
  /// @param bytes memory that the connection takes without a request.
  /// @param on_evict called, without locks, at most once with `at_once` and once without it.
  /// @returns null when all other connections are being answered and there is no room.
  std::unique_ptr<Share> Join(const std::shared_ptr<ConnectionGroup>& group, std::size_t bytes,
                              SteadyTime now, OnEvict on_evict);

  /// @returns memory that all connections hold together.
  [[nodiscard]] std::size_t Bytes() const;

 private:
  struct Selected {
    OnEvict on_evict;
    Eviction eviction;
  };

  [[nodiscard]] bool IsProtected(const Share& share, SteadyTime now) const;
  [[nodiscard]] EvictionReason Classify(const Share& share, SteadyTime now) const;
  Share* Select(const ConnectionGroup* group, const Share* except, SteadyTime now);
  Selected Evict(Share* share, bool at_once, SteadyTime now);
  void Remove(Share* share);

  ConnectionBudgetLimits m_limits;
  mutable std::mutex m_mutex;
  std::size_t m_bytes = 0;
  std::unordered_set<Share*> m_shares;
};

/// The part of the budget that one connection has. Leaves the budget when destroyed.
class ConnectionBudget::Share {
 public:
  ~Share();
  Share(const Share&) = delete;
  Share& operator=(const Share&) = delete;

  /// Sets what the connection does and the memory that it holds. Other connections may be evicted.
  /// @returns false when the connection itself is evicted, or was before: its request is to be
  /// refused. A connection is not evicted by becoming `kAnswering` or `kWriting`.
  [[nodiscard]] bool Set(ConnectionState state, std::size_t bytes, SteadyTime now);

 private:
  friend class ConnectionBudget;
  Share(std::shared_ptr<ConnectionBudget> budget, std::shared_ptr<ConnectionGroup> group,
        std::size_t bytes, SteadyTime now, OnEvict on_evict);

  std::shared_ptr<ConnectionBudget> m_budget;
  std::shared_ptr<ConnectionGroup> m_group;
  OnEvict m_on_evict;
  ConnectionState m_state = ConnectionState::kIdle;
  std::size_t m_bytes;
  std::size_t m_idle_bytes;
  SteadyTime m_since;             // When the state began.
  bool m_closed_at_once = false;  // Evicted for good; no longer counted.
};

}  // namespace citronsill
