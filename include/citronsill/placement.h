/// Free capacity of the workers that one engine places on, and the choice of a worker for a task.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "citronsill/engine.h"
#include "citronsill/types.h"

namespace citronsill {

/// Index of a worker in a `WorkerIndex`. Reused after the worker was removed.
struct WorkerHandle {
  std::uint32_t value = UINT32_MAX;
  auto operator<=>(const WorkerHandle&) const = default;
};

/// Requirements of a task on its worker.
struct PlacementQuery {
  Resources size;
  SchedulingPolicy policy = SchedulingPolicy::kInteractive;
  /// Workers that hold tasks of the same service; the choice spreads away from their failure
  /// domains first, then from their racks.
  std::span<const WorkerHandle> siblings = {};
  /// Workers that must not be chosen, for example because the task failed there before.
  std::span<const WorkerHandle> excluded = {};
};

/// A running task that may be stopped to free capacity for another one.
struct PreemptionCandidate {
  TaskKey task;
  WorkerHandle worker;
  Resources size;
  double cost = 0.0;  ///< Lost processor-seconds plus an offset by policy; lower is stopped first.
};

/// Counts of the work done by choices so far, for bounds that do not depend on the clock.
struct PlacementStats {
  std::uint64_t choices = 0;           ///< Searches for a worker for one task.
  std::uint64_t workers_examined = 0;  ///< Workers whose free capacity was compared with a task.
  std::uint64_t buckets_examined = 0;  ///< Buckets of the index and racks that were examined.
};

/// Not thread-safe. Every choice is deterministic: it depends only on the calls made before.
/// @remarks Calls with a handle of a removed worker have no effect.
class WorkerIndex {
 public:
  WorkerIndex();
  ~WorkerIndex();

  /// Adds a worker, or updates the one with the same id. Reservations on it stay.
  WorkerHandle Put(const WorkerSpec& spec);
  void Remove(WorkerHandle worker);
  [[nodiscard]] std::optional<WorkerHandle> Find(const std::string& id) const;
  [[nodiscard]] const WorkerSpec& Spec(WorkerHandle worker) const;

  /// A worker that does not accept tasks is never chosen. New workers accept tasks.
  void SetAccepting(WorkerHandle worker, bool accepting);

  /// @returns a worker with enough free capacity for the task, or none. Reserves nothing.
  /// @remarks Batch and interactive tasks are packed: they get the worker with the least free of
  /// the cell's scarcest resource. Services are spread.
  [[nodiscard]] std::optional<WorkerHandle> Choose(const PlacementQuery& query) const;

  /// @returns a worker for each of `count` tasks, or an empty list when not all fit.
  [[nodiscard]] std::vector<WorkerHandle> ChooseGang(const PlacementQuery& query,
                                                     std::uint32_t count) const;

  /// Reserves capacity for one task. @remarks May exceed
  /// the capacity only for tasks that were found running.
  void Reserve(WorkerHandle worker, const Resources& size);
  void Release(WorkerHandle worker, const Resources& size);

  /// @returns the capacity that is not reserved; negative where the worker is overcommitted, and
  /// zero for a removed worker.
  [[nodiscard]] Resources Free(WorkerHandle worker) const;

  /// @returns the number of free slots; 0 for an overcommitted or removed worker.
  [[nodiscard]] std::uint32_t FreeSlots(WorkerHandle worker) const;

  /// @returns a message that tells why no worker can hold the task even
  /// when idle and names the missing resources; empty if one can.
  [[nodiscard]] std::string InfeasibilityReason(const Resources& size) const;

  /// @returns the indexes of the cheapest set of candidates on one worker that frees enough
  /// capacity for `size` when stopped; empty if there is none.
  [[nodiscard]] std::vector<std::size_t> ChooseVictims(
      const Resources& size, std::span<const PreemptionCandidate> candidates) const;

  [[nodiscard]] const PlacementStats& Stats() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citronsill
