#include "citronsill/headroom.h"

#include <cmath>

#include "internal.h"

namespace citronsill {
namespace {

// Time constant of the averages: long against the bursts of a few seconds that the room is for,
// short against the changes of load within a day.
constexpr double kMemorySeconds = 30.0;

// The room covers the mean and three standard deviations, and at most half of the cell, so that
// long work always gets on.
constexpr double kDeviations = 3.0;
constexpr double kLargestReserve = 0.5;

// Kept free before any short work was seen: the first task after a quiet night must not wait for a
// run of ten minutes to end. It costs packing, whose target leaves 5% in all.
constexpr double kSmallestReserve = 0.03;

}  // namespace

Headroom::Amounts Headroom::ToAmounts(const Resources& size) {
  return {static_cast<double>(size.processors_milli), static_cast<double>(size.memory_mb),
          static_cast<double>(size.accelerators), 1.0};
}

void Headroom::Apply(Amounts& amounts, const Resources& size, double count) {
  const Amounts change = ToAmounts(size);
  for (std::size_t i = 0; i < kDimensions; ++i) amounts[i] += count * change[i];
}

void Headroom::SetCapacity(const Resources& capacity, std::uint32_t slots) {
  m_capacity = ToAmounts(capacity);
  m_capacity.back() = slots;
  for (std::size_t i = 0; i < kDimensions; ++i) {
    m_reserve[i] = std::max(m_reserve[i], kSmallestReserve * m_capacity[i]);
  }
}

void Headroom::Observe(SteadyTime now) {
  const double elapsed =
      m_observed ? std::chrono::duration<double>(now - m_last).count() : kMemorySeconds;
  if (elapsed <= 0.0) return;
  const double keep = m_observed ? std::exp(-elapsed / kMemorySeconds) : 0.0;
  for (std::size_t i = 0; i < kDimensions; ++i) {
    const double load = m_short[i] + m_waiting[i];
    m_mean[i] = keep * m_mean[i] + (1.0 - keep) * load;
    m_square[i] = keep * m_square[i] + (1.0 - keep) * load * load;
    const double spread = std::sqrt(std::max(0.0, m_square[i] - m_mean[i] * m_mean[i]));
    m_reserve[i] = std::clamp(m_mean[i] + kDeviations * spread, kSmallestReserve * m_capacity[i],
                              kLargestReserve * m_capacity[i]);
  }
  m_last = now;
  m_observed = true;
}

bool Headroom::AllowsLong(const Resources& size, std::uint32_t count) const {
  // A cell without long work takes any, so that a large task on a small cell is not kept out.
  if (m_long.back() <= 0.0) return true;
  const Amounts wanted = ToAmounts(size);
  for (std::size_t i = 0; i < kDimensions; ++i) {
    if (wanted[i] <= 0.0) continue;
    if (m_long[i] + wanted[i] * count > m_capacity[i] - m_reserve[i]) return false;
  }
  return true;
}

bool Headroom::IsExceeded() const {
  for (std::size_t i = 0; i < kDimensions; ++i) {
    if (m_long[i] > m_capacity[i] - m_reserve[i]) return true;
  }
  return false;
}

double Headroom::LongShare() const {
  double share = 0.0;
  for (std::size_t i = 0; i < kDimensions; ++i) {
    if (m_capacity[i] > 0.0) share = std::max(share, m_long[i] / m_capacity[i]);
  }
  return std::min(share, 1.0);
}

}  // namespace citronsill
