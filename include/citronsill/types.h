/// Basic types shared by all modules.
#pragma once

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace citronsill {

/// Monotonic time of the process, or simulated time in tests. Not comparable between processes.
using SteadyTime = std::chrono::steady_clock::time_point;

/// Wall-clock time, for display and reports only.
using WallTime = std::chrono::system_clock::time_point;

/// Number of a partition, the unit of ownership.
struct PartitionId {
  std::uint32_t value = 0;
  auto operator<=>(const PartitionId&) const = default;
};

/// Processors in thousandths, memory in MiB, and whole accelerators.
struct Resources {
  std::int64_t processors_milli = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  auto operator<=>(const Resources&) const = default;

  Resources& operator+=(const Resources& other) {
    processors_milli += other.processors_milli;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }

  Resources& operator-=(const Resources& other) {
    processors_milli -= other.processors_milli;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
  }

  /// Sets every dimension to the larger of the two values.
  void ElementwiseMax(const Resources& other) {
    processors_milli = std::max(processors_milli, other.processors_milli);
    memory_mb = std::max(memory_mb, other.memory_mb);
    accelerators = std::max(accelerators, other.accelerators);
  }

  /// Sets every dimension to the smaller of the two values.
  void ElementwiseMin(const Resources& other) {
    processors_milli = std::min(processors_milli, other.processors_milli);
    memory_mb = std::min(memory_mb, other.memory_mb);
    accelerators = std::min(accelerators, other.accelerators);
  }

  /// @returns whether `other` fits into these resources in every dimension.
  [[nodiscard]] bool Covers(const Resources& other) const {
    return processors_milli >= other.processors_milli && memory_mb >= other.memory_mb &&
           accelerators >= other.accelerators;
  }
};

/// Identifies one attempt of one task of a request.
struct TaskKey {
  std::string request_id;
  std::uint32_t index = 0;    ///< Of the task in its request, from 0.
  std::uint32_t attempt = 0;  ///< Of the task, from 0.
  auto operator<=>(const TaskKey&) const = default;
};

/// How an attempt ended.
enum class TaskOutcome {
  kSucceeded,
  kFailed,      ///< The task ran and failed.
  kStopped,     ///< The task was stopped by the scheduler.
  kLapsed,      ///< The worker stopped the task when its lease lapsed.
  kNotStarted,  ///< The worker confirmed that the task was not started.
  kLost,        ///< It is not known whether the task ran or is still running.
};

}  // namespace citronsill

template <>
struct std::hash<citronsill::TaskKey> {
  std::size_t operator()(const citronsill::TaskKey& key) const noexcept {
    return std::hash<std::string>{}(key.request_id) ^
           (static_cast<std::size_t>(key.index) * 0x9E3779B97F4A7C15ULL + key.attempt);
  }
};
