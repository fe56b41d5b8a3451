/// Tracks which instances are live, by gossip of heartbeat counters. Used for routing only;
/// correctness does not depend on it.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronsill/ownershipcore.h"
#include "citronsill/result.h"
#include "citronsill/types.h"

namespace citronsill {

struct MembershipOptions {
  /// A member whose counter is unchanged for this long is not live.
  std::chrono::milliseconds suspect_after{2000};
  /// A member whose counter is unchanged for this long is removed. After half of this time its
  /// entry is no longer passed on, so that members do not add it to one another again.
  std::chrono::milliseconds forget_after{60000};
  /// At this number, a new member replaces the one that was silent longest; it is ignored when all
  /// are live.
  std::size_t max_members = 512;
};

/// Thread-safe.
class Membership {
 public:
  /// @param self id, incarnation and addresses of this instance.
  /// @returns CODE_INVALID_FIELD when the id is empty.
  static Result<std::unique_ptr<Membership>> Create(const schema::MemberState& self,
                                                    const MembershipOptions& options);
  ~Membership();

  /// Increments the own heartbeat counter and updates the load in the own entry.
  /// @remarks A long gap between two calls does not count as silence of the others, because this
  /// process may have been paused.
  void Heartbeat(const schema::MemberState& load, SteadyTime now);

  /// Takes over entries with a higher counter or of a later incarnation, and removes members that
  /// have been silent for `forget_after`. Incarnations are ordered by `started_unix_ms`. If the
  /// clock was set back, a restarted member has an earlier start time; it is taken over once the
  /// known incarnation is silent and the counter of the new one is seen to rise.
  void Merge(const std::vector<schema::MemberState>& members, SteadyTime now);

  /// @returns the entries to pass on, the own one included.
  [[nodiscard]] std::vector<schema::MemberState> Digest(SteadyTime now) const;

  /// @returns the entries whose counter was seen to change within `suspect_after`, and the own one;
  /// ordered by id.
  [[nodiscard]] std::vector<schema::MemberState> Live(SteadyTime now) const;

  /// @returns the live members in the form that ownership uses, with the age of each heartbeat.
  [[nodiscard]] std::vector<LiveMember> LiveMembers(SteadyTime now) const;

  [[nodiscard]] std::optional<schema::MemberState> Find(const std::string& id) const;
  [[nodiscard]] bool IsLive(const std::string& id, SteadyTime now) const;

 private:
  struct Impl;
  explicit Membership(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citronsill
