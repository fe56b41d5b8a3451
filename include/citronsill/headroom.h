/// Capacity that long work must leave free for short work, sized from the observed load.
#pragma once

#include <cstdint>
#include <map>

#include "citronsill/placement.h"
#include "citronsill/types.h"

namespace citronsill {

/// Counts places: the number of short tasks of typical size that fit into the free capacity of each
/// worker. Totals over the cell would not do, because free slots on one worker and free processors
/// on another do not make a place. Not thread-safe.
class Headroom {
 public:
  /// Sets the capacity of a worker.
  void SetWorker(WorkerHandle worker, const WorkerSpec& spec);

  /// Sets the free capacity of a worker. A worker that does not accept tasks has no places.
  void SetFree(WorkerHandle worker, const Resources& free, std::uint32_t free_slots,
               bool accepting);
  void RemoveWorker(WorkerHandle worker);

  /// Records that a short task started; `RemoveShort`, that one
  /// ended or counts as long now because it overran its estimate.
  void AddShort(const Resources& size);
  void RemoveShort() { --m_short_tasks; }

  /// Counts waiting short tasks, which are load too.
  void AddWaiting(std::size_t count) { m_waiting_tasks += static_cast<std::int64_t>(count); }
  void RemoveWaiting(std::size_t count) { m_waiting_tasks -= static_cast<std::int64_t>(count); }

  /// Takes a sample of the load. Must be called whenever decisions are made.
  void Observe(SteadyTime now);

  /// @returns the number of places that `count` more tasks of this size take on the worker.
  [[nodiscard]] std::int64_t PlacesTaken(WorkerHandle worker, const Resources& size,
                                         std::uint32_t count) const;

  /// @returns the number of places that the end of a task of this size frees on the worker.
  [[nodiscard]] std::int64_t PlacesFreed(WorkerHandle worker, const Resources& size) const;

  /// @returns whether long work may take this many places.
  [[nodiscard]] bool Allows(std::int64_t places) const;

  /// @returns whether long work holds more than it may, because the load of short work grew.
  [[nodiscard]] bool IsExceeded() const { return !Allows(0); }

  /// @returns the fraction of all places, 0 to 1, that short work holds or can get.
  [[nodiscard]] double ShortFraction() const;

 private:
  struct Worker {
    Resources capacity;
    std::uint32_t slots = 0;
    Resources free;
    std::uint32_t free_slots = 0;
    bool accepting = true;
    std::int64_t free_places = 0;
    std::int64_t total_places = 0;
  };

  [[nodiscard]] std::int64_t PlacesIn(const Resources& free, std::int64_t free_slots) const;
  void CountPlaces(Worker& worker);
  void CountAllPlaces();

  std::map<WorkerHandle, Worker> m_workers;
  std::int64_t m_free_places = 0;
  std::int64_t m_total_places = 0;  // Places of the idle cell.
  std::int64_t m_short_tasks = 0;
  std::int64_t m_waiting_tasks = 0;
  double m_mean_load = 0.0;          // Moving average of running and waiting short tasks.
  double m_mean_squared_load = 0.0;  // Moving average of the square of that load.
  double m_peak_load = 0.0;          // Decaying maximum of running short tasks.
  double m_reserve = 0.0;            // Number of places that short work holds or must find free.
  // Moving averages of the sizes of short tasks, in thousandths of a processor and in MiB.
  double m_mean_processors = 1000.0;
  double m_mean_memory = 512.0;
  Resources m_typical_size{1000, 512, 0};  // Size of one place.
  SteadyTime m_last_sample{};
  bool m_has_sample = false;
};

}  // namespace citronsill
