/// Fair shares of teams in the capacity of the cell, and their quotas.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include "citronsill/types.h"

namespace citronsill {

/// Accounting for dominant resource fairness. Slots count as a resource,
/// because small tasks use up the slots first. Not thread-safe.
class FairShares {
 public:
  void SetCapacity(const Resources& capacity, std::uint32_t slots);

  /// @param quota limit on the total size of the team's
  /// running tasks; 0 means no limit in that dimension.
  void SetQuota(const std::string& team, const Resources& quota);

  /// @param is_short whether the task counts as short work.
  void Add(const std::string& team, const Resources& size, bool is_short);
  void Remove(const std::string& team, const Resources& size, bool is_short);

  /// @returns the largest fraction of any resource that `count` tasks of this size take: 0 to 1 for
  /// what the cell can hold, and 1 for each task while there is no capacity.
  [[nodiscard]] double DominantShare(const Resources& size, std::uint32_t count) const;

  /// @returns the dominant share of all running tasks of the team.
  [[nodiscard]] double Share(const std::string& team) const;

  /// @returns the dominant share of the team's running short tasks.
  [[nodiscard]] double ShortShare(const std::string& team) const;

  /// @returns the minimum share due to each team that has running tasks or is in `waiting`: an even
  /// part of the cell, or the average share if that is less.
  [[nodiscard]] double EvenShare(const std::set<std::string>& waiting) const;

  /// @returns whether the team may run `count` more tasks of this size now.
  [[nodiscard]] bool WithinQuota(const std::string& team, const Resources& size,
                                 std::uint32_t count) const;

  /// @returns a message that names the quota that `count` tasks exceed
  /// even if the team runs nothing else; empty if they exceed none.
  [[nodiscard]] std::string QuotaViolation(const std::string& team, const Resources& size,
                                           std::uint32_t count) const;

 private:
  struct Usage {
    Resources size;
    std::uint32_t slots = 0;
  };
  struct Team {
    Usage all;
    Usage short_work;
  };

  [[nodiscard]] double ShareOf(const Resources& size, double slots) const;

  Resources m_capacity;
  std::uint32_t m_slots = 0;
  std::unordered_map<std::string, Team> m_teams;
  std::unordered_map<std::string, Resources> m_quotas;
};

}  // namespace citronsill
