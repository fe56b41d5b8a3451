#include "cell/support.h"

#include <algorithm>

#include "cell/limits.h"

namespace citronsill {

std::uint64_t SupportRegister::RequestNumber() const {
  const auto since_epoch = std::chrono::floor<milliseconds>(m_now().time_since_epoch());
  return static_cast<std::uint64_t>(since_epoch.count());
}

void SupportRegister::OnGrant(std::uint64_t incarnation, std::uint64_t number) {
  if (number > RequestNumber()) return;
  const SteadyTime asked_at{milliseconds(static_cast<std::int64_t>(number))};
  SteadyTime& known = m_asked_at.try_emplace(incarnation, asked_at).first->second;
  known = std::max(known, asked_at);
}

std::size_t SupportRegister::Missing(const std::set<std::uint64_t>& incarnations) const {
  const SteadyTime now = m_now();
  const auto is_missing = [&](std::uint64_t incarnation) {
    const auto found = m_asked_at.find(incarnation);
    return found == m_asked_at.end() || now >= found->second + kSupportTime;
  };
  return static_cast<std::size_t>(
      std::count_if(incarnations.begin(), incarnations.end(), is_missing));
}

}  // namespace citronsill
