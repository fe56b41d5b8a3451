/// Support of a scheduler that cannot write to the store: other instances do not claim its shard
/// for a while. See docs/ownership.md, "Support of a scheduler without the store".
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>

#include "cell/types.h"

namespace citronsill {

/// The support that the scheduler of a shard has, by the incarnations of other instances.
class SupportRegister {
 public:
  explicit SupportRegister(Clock now) : m_now(std::move(now)) {}

  /// @returns the number of a request that is sent now.
  [[nodiscard]] std::uint64_t RequestNumber() const;

  /// An instance has granted the request with this number.
  void OnGrant(std::uint64_t incarnation, std::uint64_t number);

  /// @returns number of these instances that do not support the scheduler now. Their time counts
  /// from when the requests were sent.
  [[nodiscard]] std::size_t Missing(const std::set<std::uint64_t>& incarnations) const;
  [[nodiscard]] bool IsSupportedBy(const std::set<std::uint64_t>& incarnations) const {
    return Missing(incarnations) == 0;
  }

 private:
  Clock m_now;
  std::unordered_map<std::uint64_t, SteadyTime> m_asked_at;  // Of the last request granted.
};

}  // namespace citronsill
