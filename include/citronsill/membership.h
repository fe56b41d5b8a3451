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
  std::chrono::milliseconds suspect_after{
      2000};  ///< Counter unchanged for this long: not routed to.
  std::chrono::milliseconds forget_after{60000};  ///< Counter unchanged for this long: dropped.
};

/// Thread-safe.
class Membership {
 public:
  /// @param self id, incarnation and addresses of this instance.
  static Result<std::unique_ptr<Membership>> Create(const schema::MemberState& self,
                                                    const MembershipOptions& options);
  ~Membership();

  /// Raises the own heartbeat counter and sets what the own entry says about load.
  void Beat(const schema::MemberState& load);

  /// Takes over entries with higher incarnation or counter.
  void Merge(const std::vector<schema::MemberState>& members, SteadyTime now);

  /// @returns all known entries, the own one included.
  [[nodiscard]] std::vector<schema::MemberState> Digest(SteadyTime now) const;

  /// @returns entries whose counter changed lately, the own one included, ordered by id.
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
