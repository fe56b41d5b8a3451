/// Room that long work leaves free for short work, sized from the observed load.
#pragma once

#include <array>
#include <cstdint>

#include "citronsill/types.h"

namespace citronsill {

/// Sizes the room from the mean and the spread of what short work uses. Not thread-safe.
class Headroom {
 public:
  void SetCapacity(const Resources& capacity, std::uint32_t slots);

  /// A task starts or ends, or changes from short to long because it overran its estimate.
  void AddShort(const Resources& size) { Apply(m_short, size, 1.0); }
  void RemoveShort(const Resources& size) { Apply(m_short, size, -1.0); }
  void AddLong(const Resources& size) { Apply(m_long, size, 1.0); }
  void RemoveLong(const Resources& size) { Apply(m_long, size, -1.0); }

  /// Short tasks that wait count as load too.
  void AddWaiting(const Resources& size, std::size_t count) {
    Apply(m_waiting, size, static_cast<double>(count));
  }
  void RemoveWaiting(const Resources& size, std::size_t count) {
    Apply(m_waiting, size, -static_cast<double>(count));
  }

  /// Takes a sample of the load. To be called whenever decisions are made.
  void Observe(SteadyTime now);

  /// @returns whether `count` more long tasks of this size leave enough room for short work.
  [[nodiscard]] bool AllowsLong(const Resources& size, std::uint32_t count) const;

  /// @returns whether long work holds more than it may, because the load of short work grew.
  [[nodiscard]] bool IsExceeded() const;

  /// @returns the part of the cell, 0 to 1, that long work holds of its most used resource.
  [[nodiscard]] double LongShare() const;

 private:
  static constexpr std::size_t kDimensions = 4;  // Processors, memory, accelerators, slots.
  using Amounts = std::array<double, kDimensions>;

  static Amounts ToAmounts(const Resources& size);
  static void Apply(Amounts& amounts, const Resources& size, double count);

  Amounts m_capacity{};
  Amounts m_short{};
  Amounts m_waiting{};
  Amounts m_long{};
  Amounts m_mean{};
  Amounts m_square{};
  Amounts m_reserve{};
  SteadyTime m_last{};
  bool m_observed = false;
};

}  // namespace citronsill
