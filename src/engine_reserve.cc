#include "engine_state.h"

namespace citronsill {
namespace {

/// @returns how many tasks of this size fit into the free resources and slots.
std::int64_t FittingTasks(const Resources& free, std::int64_t free_slots, const Resources& size) {
  std::int64_t fitting = free_slots;
  const auto limit = [&fitting](std::int64_t amount, std::int64_t each) {
    if (each > 0) fitting = std::min(fitting, amount / each);
  };
  limit(free.processors_milli, size.processors_milli);
  limit(free.memory_mb, size.memory_mb);
  limit(free.accelerators, size.accelerators);
  return std::max<std::int64_t>(fitting, 0);
}

struct SpareCapacity {
  Resources free;
  std::int64_t slots = 0;
  std::int64_t fitting = 0;  ///< Number of tasks of the planned size that fit.
};

/// @returns the smallest set of workers that together hold `count` tasks.
std::vector<WorkerHandle> FewestWorkers(const std::map<WorkerHandle, SpareCapacity>& spare,
                                        std::int64_t count) {
  std::vector<std::pair<std::int64_t, WorkerHandle>> by_fitting;
  for (const auto& [worker, entry] : spare) {
    if (entry.fitting > 0) by_fitting.emplace_back(-entry.fitting, worker);
  }
  std::ranges::sort(by_fitting);
  std::vector<WorkerHandle> chosen;
  for (const auto& [fitting, worker] : by_fitting) {
    if (count <= 0) break;
    chosen.push_back(worker);
    count += fitting;
  }
  return chosen;
}

}  // namespace

std::optional<Engine::Impl::Reservation> Engine::Impl::ComputeReservation(const Resources& size,
                                                                          std::uint32_t count,
                                                                          SteadyTime now) const {
  std::map<WorkerHandle, SpareCapacity> spare;
  std::int64_t total = 0;
  for (const auto& [id, worker] : workers) {
    if (!states.at(worker).IsSchedulable()) continue;
    SpareCapacity entry{index.Free(worker), index.FreeSlots(worker), 0};
    entry.fitting = FittingTasks(entry.free, entry.slots, size);
    total += entry.fitting;
    spare.emplace(worker, entry);
  }
  std::vector<std::pair<SteadyTime, const Running*>> ends;
  for (const auto& [task, run] : running) {
    if (run.job->spec.policy == SchedulingPolicy::kService || !spare.contains(run.worker)) continue;
    // A task past its expected end is assumed to need as long again as it has run so far.
    const SteadyTime end = run.expected_end > now ? run.expected_end : now + (now - run.started);
    ends.emplace_back(end, &run);
  }
  std::ranges::sort(ends, {}, [](const auto& entry) { return entry.first; });
  SteadyTime start = now;
  for (const auto& [end, run] : ends) {
    if (total >= count) break;
    SpareCapacity& entry = spare.at(run->worker);
    entry.free += run->size;
    ++entry.slots;
    total -= entry.fitting;
    entry.fitting = FittingTasks(entry.free, entry.slots, size);
    total += entry.fitting;
    start = end;
  }
  if (total < count) return std::nullopt;
  return Reservation{{}, FewestWorkers(spare, count), start, now};
}

}  // namespace citronsill
