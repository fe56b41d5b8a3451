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

/// Index of a worker in a `WorkerIndex`. Used again after the worker was removed.
struct WorkerHandle {
  std::uint32_t value = UINT32_MAX;
  auto operator<=>(const WorkerHandle&) const = default;
};

/// What a task needs of its worker.
struct PlacementQuery {
  Resources size;
  SchedulingPolicy policy = SchedulingPolicy::kInteractive;
  /// Workers that hold tasks of the same service; the choice spreads away from their failure
  /// domains first, then from their racks.
  std::span<const WorkerHandle> siblings = {};
  /// Workers not to be chosen, for example those on which the task failed before.
  std::span<const WorkerHandle> excluded = {};
};

/// A running task that may be stopped for an urgent one.
struct PreemptionCandidate {
  TaskKey task;
  WorkerHandle worker;
  Resources size;
  double cost = 0.0;  ///< Work that would be lost, in processor-seconds; lower is stopped first.
};

/// Work done by the choices so far; for bounds that do not depend on the clock.
struct PlacementStats {
  std::uint64_t choices = 0;           ///< Tasks for which a worker was sought.
  std::uint64_t workers_examined = 0;  ///< Workers whose free capacity was compared with a task.
  std::uint64_t cells_examined = 0;    ///< Groups of workers and racks that were looked at.
};

/// Not thread-safe. Every choice is deterministic: it depends only on the calls made before.
/// @remarks Calls with a handle of a removed worker have no effect.
class WorkerIndex {
 public:
  WorkerIndex();
  ~WorkerIndex();

  /// Adds a worker, or changes the one with the same id; what is reserved on it stays.
  WorkerHandle Put(const WorkerSpec& spec);
  void Remove(WorkerHandle worker);
  [[nodiscard]] std::optional<WorkerHandle> Find(const std::string& id) const;
  [[nodiscard]] const WorkerSpec& Spec(WorkerHandle worker) const;

  /// Workers that do not accept are never chosen. A new worker accepts.
  void SetAccepting(WorkerHandle worker, bool accepting);

  /// @returns a worker with room for the task, or none. Reserves nothing.
  /// @remarks Batch and interactive tasks are packed: the worker whose scarcest resource is left
  /// with the least room that is of use. Services are spread.
  [[nodiscard]] std::optional<WorkerHandle> Choose(const PlacementQuery& query) const;

  /// @returns a worker for each of `count` tasks, or an empty list when not all fit.
  [[nodiscard]] std::vector<WorkerHandle> ChooseGang(const PlacementQuery& query,
                                                     std::uint32_t count) const;

  /// Takes room for one task. @remarks May exceed the capacity only for tasks that were found
  /// running.
  void Reserve(WorkerHandle worker, const Resources& size);
  void Release(WorkerHandle worker, const Resources& size);

  [[nodiscard]] Resources Free(WorkerHandle worker) const;
  [[nodiscard]] std::uint32_t FreeSlots(WorkerHandle worker) const;

  /// @returns why no worker could hold the task even when empty, naming what is missing; empty when
  /// one could.
  [[nodiscard]] std::string InfeasibilityReason(const Resources& size) const;

  /// @returns the indexes of the cheapest candidates on one worker whose end makes room for `size`;
  /// empty when there are none.
  [[nodiscard]] std::vector<std::size_t> ChooseVictims(
      const Resources& size, std::span<const PreemptionCandidate> candidates) const;

  [[nodiscard]] const PlacementStats& Stats() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citronsill
