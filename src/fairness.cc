#include "citronsill/fairness.h"

#include <algorithm>

#include "internal.h"

namespace citronsill {
namespace {

double Part(double amount, double whole) {
  if (amount <= 0.0) return 0.0;
  return whole > 0.0 ? amount / whole : 1.0;
}

Resources Times(const Resources& size, std::uint32_t count) {
  return {size.processors_milli * count, size.memory_mb * count, size.accelerators * count};
}

bool Exceeds(std::int64_t amount, std::int64_t quota) { return quota > 0 && amount > quota; }

}  // namespace

void FairShares::SetCapacity(const Resources& capacity, std::uint32_t slots) {
  m_capacity = capacity;
  m_slots = slots;
}

void FairShares::SetQuota(const std::string& team, const Resources& quota) {
  m_quotas[team] = quota;
}

void FairShares::Add(const std::string& team, const Resources& size, bool is_short) {
  Team& entry = m_teams[team];
  entry.all.size += size;
  ++entry.all.slots;
  if (!is_short) return;
  entry.short_work.size += size;
  ++entry.short_work.slots;
}

void FairShares::Remove(const std::string& team, const Resources& size, bool is_short) {
  const auto found = m_teams.find(team);
  if (found == m_teams.end()) return;
  found->second.all.size -= size;
  --found->second.all.slots;
  if (is_short) {
    found->second.short_work.size -= size;
    --found->second.short_work.slots;
  }
  if (found->second.all.slots == 0) m_teams.erase(found);
}

double FairShares::ShareOf(const Resources& size, double slots) const {
  const auto part = [](std::int64_t amount, std::int64_t whole) {
    return Part(static_cast<double>(amount), static_cast<double>(whole));
  };
  return std::max({part(size.processors_milli, m_capacity.processors_milli),
                   part(size.memory_mb, m_capacity.memory_mb),
                   part(size.accelerators, m_capacity.accelerators), Part(slots, m_slots)});
}

double FairShares::DominantShare(const Resources& size, std::uint32_t count) const {
  return ShareOf(size, 1.0) * count;
}

double FairShares::Share(const std::string& team) const {
  const auto found = m_teams.find(team);
  if (found == m_teams.end()) return 0.0;
  return ShareOf(found->second.all.size, found->second.all.slots);
}

double FairShares::ShortShare(const std::string& team) const {
  const auto found = m_teams.find(team);
  if (found == m_teams.end()) return 0.0;
  return ShareOf(found->second.short_work.size, found->second.short_work.slots);
}

double FairShares::EvenShare(const std::set<std::string>& waiting) const {
  std::size_t count = waiting.size();
  double sum = 0.0;
  for (const auto& [team, usage] : m_teams) {
    if (!waiting.contains(team)) ++count;
    sum += ShareOf(usage.all.size, usage.all.slots);
  }
  // Where teams need different resources, the sum of their shares exceeds the cell.
  return count > 0 ? std::min(sum, 1.0) / static_cast<double>(count) : 0.0;
}

bool FairShares::WithinQuota(const std::string& team, const Resources& size,
                             std::uint32_t count) const {
  const auto quota = m_quotas.find(team);
  if (quota == m_quotas.end()) return true;
  Resources needed = Times(size, count);
  if (const auto found = m_teams.find(team); found != m_teams.end()) {
    needed += found->second.all.size;
  }
  return !Exceeds(needed.processors_milli, quota->second.processors_milli) &&
         !Exceeds(needed.memory_mb, quota->second.memory_mb) &&
         !Exceeds(needed.accelerators, quota->second.accelerators);
}

std::string FairShares::WhyNeverWithinQuota(const std::string& team, const Resources& size,
                                            std::uint32_t count) const {
  const auto quota = m_quotas.find(team);
  if (quota == m_quotas.end()) return {};
  const Resources needed = Times(size, count);
  const auto why = [&](const char* what, std::int64_t amount, std::int64_t limit) {
    return "needs " + std::to_string(amount) + " " + what + "; the quota of team " + team + " is " +
           std::to_string(limit);
  };
  if (Exceeds(needed.processors_milli, quota->second.processors_milli)) {
    return why("thousandths of a processor", needed.processors_milli,
               quota->second.processors_milli);
  }
  if (Exceeds(needed.memory_mb, quota->second.memory_mb)) {
    return why("MiB of memory", needed.memory_mb, quota->second.memory_mb);
  }
  if (Exceeds(needed.accelerators, quota->second.accelerators)) {
    return why("accelerators", needed.accelerators, quota->second.accelerators);
  }
  return {};
}

}  // namespace citronsill
