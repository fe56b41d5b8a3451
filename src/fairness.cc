#include "citronsill/fairness.h"

#include <algorithm>

#include "internal.h"

namespace citronsill {
namespace {

double Fraction(double amount, double total) {
  if (amount <= 0.0) return 0.0;
  return total > 0.0 ? amount / total : 1.0;
}

Resources Multiply(const Resources& size, std::uint32_t count) {
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
  const auto fraction = [](std::int64_t amount, std::int64_t total) {
    return Fraction(static_cast<double>(amount), static_cast<double>(total));
  };
  return std::max({fraction(size.processors_milli, m_capacity.processors_milli),
                   fraction(size.memory_mb, m_capacity.memory_mb),
                   fraction(size.accelerators, m_capacity.accelerators), Fraction(slots, m_slots)});
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
  // The sum of the shares can exceed 1 if the dominant resources of the teams differ.
  return count > 0 ? std::min(sum, 1.0) / static_cast<double>(count) : 0.0;
}

bool FairShares::WithinQuota(const std::string& team, const Resources& size,
                             std::uint32_t count) const {
  const auto quota = m_quotas.find(team);
  if (quota == m_quotas.end()) return true;
  Resources needed = Multiply(size, count);
  if (const auto found = m_teams.find(team); found != m_teams.end()) {
    needed += found->second.all.size;
  }
  return !Exceeds(needed.processors_milli, quota->second.processors_milli) &&
         !Exceeds(needed.memory_mb, quota->second.memory_mb) &&
         !Exceeds(needed.accelerators, quota->second.accelerators);
}

std::string FairShares::QuotaViolation(const std::string& team, const Resources& size,
                                       std::uint32_t count) const {
  const auto quota = m_quotas.find(team);
  if (quota == m_quotas.end()) return {};
  const Resources needed = Multiply(size, count);
  const auto violation = [&](const char* what, std::int64_t amount, std::int64_t limit) {
    return "needs " + std::to_string(amount) + " " + what + "; the quota of team " + team + " is " +
           std::to_string(limit);
  };
  if (Exceeds(needed.processors_milli, quota->second.processors_milli)) {
    return violation("thousandths of a processor", needed.processors_milli,
                     quota->second.processors_milli);
  }
  if (Exceeds(needed.memory_mb, quota->second.memory_mb)) {
    return violation("MiB of memory", needed.memory_mb, quota->second.memory_mb);
  }
  if (Exceeds(needed.accelerators, quota->second.accelerators)) {
    return violation("accelerators", needed.accelerators, quota->second.accelerators);
  }
  return {};
}

}  // namespace citronsill
