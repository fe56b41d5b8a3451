#include "citronsill/headroom.h"

#include <cmath>

#include "internal.h"

namespace citronsill {
namespace {

// Time constant of the averages: long compared with the bursts of a few seconds that the headroom
// is for, short compared with the changes of load within a day.
constexpr double kAverageSeconds = 30.0;

// Time constant of the decay of the peak: bursts recur within a minute
// or so, and after one burst the averages alone do not cover the next.
constexpr double kPeakSeconds = 120.0;

// The headroom covers the mean and three standard deviations of the load, but at most three
// quarters of the cell, so that long work always makes progress.
constexpr double kDeviations = 3.0;
constexpr double kMaxReserveFraction = 0.75;

// Minimum headroom as a fraction of the cell, kept even before any short work was seen: the first
// task after a quiet night must not wait for a run of ten minutes to end. It comes out of the 5% of
// the cell that the packing target of 95% leaves unused.
constexpr double kMinReserveFraction = 0.03;

// Weight of the newest task in the mean size, and the relative difference between the mean and the
// typical size at which the typical size is updated and places are counted again.
constexpr double kSizeWeight = 0.01;
constexpr double kMaxSizeDifference = 0.2;

bool DiffersFromTypical(double mean, std::int64_t typical) {
  return std::abs(mean - static_cast<double>(typical)) >
         kMaxSizeDifference * static_cast<double>(typical);
}

}  // namespace

std::int64_t Headroom::PlacesIn(const Resources& free, std::int64_t free_slots) const {
  std::int64_t places = free_slots;
  const auto limit = [&places](std::int64_t amount, std::int64_t each) {
    if (each > 0) places = std::min(places, amount / each);
  };
  limit(free.processors_milli, m_typical_size.processors_milli);
  limit(free.memory_mb, m_typical_size.memory_mb);
  return std::max<std::int64_t>(places, 0);
}

void Headroom::CountPlaces(Worker& worker) {
  m_free_places -= worker.free_places;
  m_total_places -= worker.total_places;
  worker.free_places = worker.accepting ? PlacesIn(worker.free, worker.free_slots) : 0;
  worker.total_places = worker.accepting ? PlacesIn(worker.capacity, worker.slots) : 0;
  m_free_places += worker.free_places;
  m_total_places += worker.total_places;
}

void Headroom::CountAllPlaces() {
  for (auto& [handle, worker] : m_workers) CountPlaces(worker);
}

void Headroom::SetWorker(WorkerHandle worker, const WorkerSpec& spec) {
  Worker& entry = m_workers[worker];
  entry.capacity = spec.capacity;
  entry.slots = spec.slots;
  CountPlaces(entry);
}

void Headroom::SetFree(WorkerHandle worker, const Resources& free, std::uint32_t free_slots,
                       bool accepting) {
  Worker& entry = m_workers[worker];
  entry.free = free;
  entry.free_slots = free_slots;
  entry.accepting = accepting;
  CountPlaces(entry);
}

void Headroom::RemoveWorker(WorkerHandle worker) {
  const auto found = m_workers.find(worker);
  if (found == m_workers.end()) return;
  m_free_places -= found->second.free_places;
  m_total_places -= found->second.total_places;
  m_workers.erase(found);
}

void Headroom::AddShort(const Resources& size) {
  ++m_short_tasks;
  m_mean_processors +=
      kSizeWeight * (static_cast<double>(size.processors_milli) - m_mean_processors);
  m_mean_memory += kSizeWeight * (static_cast<double>(size.memory_mb) - m_mean_memory);
}

void Headroom::Observe(SteadyTime now) {
  if (DiffersFromTypical(m_mean_processors, m_typical_size.processors_milli) ||
      DiffersFromTypical(m_mean_memory, m_typical_size.memory_mb)) {
    m_typical_size = {static_cast<std::int64_t>(m_mean_processors) + 1,
                      static_cast<std::int64_t>(m_mean_memory) + 1, 0};
    CountAllPlaces();
  }
  const double elapsed =
      m_has_sample ? std::chrono::duration<double>(now - m_last_sample).count() : kAverageSeconds;
  const double decay = m_has_sample ? std::exp(-elapsed / kAverageSeconds) : 0.0;
  const auto load = static_cast<double>(m_short_tasks + m_waiting_tasks);
  m_mean_load = decay * m_mean_load + (1.0 - decay) * load;
  m_mean_squared_load = decay * m_mean_squared_load + (1.0 - decay) * load * load;
  const double deviation =
      std::sqrt(std::max(0.0, m_mean_squared_load - m_mean_load * m_mean_load));
  m_peak_load =
      std::max(m_peak_load * std::exp(-elapsed / kPeakSeconds), static_cast<double>(m_short_tasks));
  const auto total_places = static_cast<double>(m_total_places);
  // Rounded down to whole places: a fraction of one
  // could keep a large task off a small cell forever.
  m_reserve = std::floor(std::clamp(std::max(m_mean_load + kDeviations * deviation, m_peak_load),
                                    kMinReserveFraction * total_places,
                                    kMaxReserveFraction * total_places));
  m_last_sample = now;
  m_has_sample = true;
}

std::int64_t Headroom::PlacesTaken(WorkerHandle worker, const Resources& size,
                                   std::uint32_t count) const {
  const auto found = m_workers.find(worker);
  if (found == m_workers.end()) return 0;
  Resources left = found->second.free;
  for (std::uint32_t i = 0; i < count; ++i) left -= size;
  return found->second.free_places -
         PlacesIn(left, static_cast<std::int64_t>(found->second.free_slots) - count);
}

std::int64_t Headroom::PlacesFreed(WorkerHandle worker, const Resources& size) const {
  const auto found = m_workers.find(worker);
  if (found == m_workers.end()) return 0;
  Resources free_after = found->second.free;
  free_after += size;
  return PlacesIn(free_after, static_cast<std::int64_t>(found->second.free_slots) + 1) -
         found->second.free_places;
}

bool Headroom::Allows(std::int64_t places) const {
  return static_cast<double>(m_free_places - places + m_short_tasks) >= m_reserve;
}

double Headroom::ShortFraction() const {
  if (m_total_places <= 0) return 0.0;
  return std::min(1.0, static_cast<double>(m_free_places + m_short_tasks) /
                           static_cast<double>(m_total_places));
}

}  // namespace citronsill
