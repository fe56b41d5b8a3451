/// Room that long work leaves free for short work, sized from the observed load.
#pragma once

#include <cstdint>
#include <map>

#include "citronsill/placement.h"
#include "citronsill/types.h"

namespace citronsill {

/// Counts places: how many short tasks of the usual size fit into what each worker has free. Free
/// slots on one worker and free processors on another make no place, so that sums over the cell
/// would not do. Not thread-safe.
class Headroom {
 public:
  /// Sets the capacity of a worker, and what it has free; a worker that does not accept has no
  /// places.
  void SetWorker(WorkerHandle worker, const WorkerSpec& spec);
  void SetFree(WorkerHandle worker, const Resources& free, std::uint32_t free_slots,
               bool accepting);
  void RemoveWorker(WorkerHandle worker);

  /// A short task starts or ends, or changes to long because it overran its estimate.
  void AddShort(const Resources& size);
  void RemoveShort() { --m_short_tasks; }

  /// Short tasks that wait count as load too.
  void AddWaiting(std::size_t count) { m_waiting_tasks += static_cast<std::int64_t>(count); }
  void RemoveWaiting(std::size_t count) { m_waiting_tasks -= static_cast<std::int64_t>(count); }

  /// Takes a sample of the load. To be called whenever decisions are made.
  void Observe(SteadyTime now);

  /// @returns how many places `count` more tasks of this size take on the worker.
  [[nodiscard]] std::int64_t PlacesTaken(WorkerHandle worker, const Resources& size,
                                         std::uint32_t count) const;

  /// @returns how many places the end of a task of this size makes on the worker.
  [[nodiscard]] std::int64_t PlacesMade(WorkerHandle worker, const Resources& size) const;

  /// @returns whether long work may take this many places.
  [[nodiscard]] bool Allows(std::int64_t places) const;

  /// @returns whether long work holds more than it may, because the load of short work grew.
  [[nodiscard]] bool IsExceeded() const { return !Allows(0); }

  /// @returns the part of all places, 0 to 1, that short work has or can get.
  [[nodiscard]] double ShortPart() const;

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
  std::int64_t m_free_places = 0;   // Places.
  std::int64_t m_total_places = 0;  // Places of the empty cell.
  std::int64_t m_short_tasks = 0;
  std::int64_t m_waiting_tasks = 0;
  double m_mean_load = 0.0;
  double m_mean_square = 0.0;
  double m_peak_load = 0.0;
  double m_reserve = 0.0;
  double m_mean_processors = 1000.0;
  double m_mean_memory = 512.0;
  Resources m_typical_size{1000, 512,
                           0};  // Size of a short task, for which the places are counted.
  SteadyTime m_last_sample{};
  bool m_observed = false;
};

}  // namespace citronsill
