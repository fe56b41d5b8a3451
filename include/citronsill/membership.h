/// Which instances are live, by gossip of heartbeat counters. Decides routing only, never
/// correctness.
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
  std::chrono::milliseconds suspect_after{2000};  ///< Counter unchanged for this long: not live.
  /// Counter unchanged for this long: dropped. After half of it the entry is no longer passed on,
  /// so that members do not revive it in one another.
  std::chrono::milliseconds forget_after{60000};
  std::size_t max_members = 512;
};

/// Thread-safe.
class Membership {
 public:
  /// @param self id, incarnation and addresses of this instance.
  static Result<std::unique_ptr<Membership>> Create(const schema::MemberState& self,
                                                    const MembershipOptions& options);
  ~Membership();

  /// Raises the own heartbeat counter and sets what the own entry says about load.
  /// @remarks After a gap between two calls, the time of the gap does not count as silence of the
  /// others, because this process may have been paused.
  void Beat(const schema::MemberState& load, SteadyTime now);

  /// Takes over entries with a higher counter, or of a later incarnation. Incarnations are ordered
  /// by `started_unix_ms`. An incarnation that is earlier by that, because a clock was set back, is
  /// taken over when the known one is silent and the counter of the other was seen to rise.
  void Merge(const std::vector<schema::MemberState>& members, SteadyTime now);

  /// @returns the entries to pass on, the own one included.
  [[nodiscard]] std::vector<schema::MemberState> Digest(SteadyTime now) const;

  /// @returns entries whose counter was seen to change lately, the own one included, ordered by id.
  [[nodiscard]] std::vector<schema::MemberState> Live(SteadyTime now) const;

  /// @returns the same for ownership, with the age of each heartbeat.
  [[nodiscard]] std::vector<LiveMember> LiveMembers(SteadyTime now) const;

  [[nodiscard]] std::optional<schema::MemberState> Find(const std::string& id) const;
  [[nodiscard]] bool IsLive(const std::string& id, SteadyTime now) const;

 private:
  struct Impl;
  explicit Membership(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citronsill
