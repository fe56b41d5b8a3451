#include "engine_state.h"

namespace citronsill {
namespace {

/// @returns how many tasks of this size fit.
std::int64_t UnitsOf(const Resources& free, std::int64_t free_slots, const Resources& size) {
  std::int64_t units = free_slots;
  const auto limit = [&units](std::int64_t amount, std::int64_t each) {
    if (each > 0) units = std::min(units, amount / each);
  };
  limit(free.processors_milli, size.processors_milli);
  limit(free.memory_mb, size.memory_mb);
  limit(free.accelerators, size.accelerators);
  return std::max<std::int64_t>(units, 0);
}

struct Room {
  Resources free;
  std::int64_t slots = 0;
  std::int64_t units = 0;
};

/// @returns the fewest workers that hold `count` tasks.
std::vector<WorkerHandle> FewestWorkers(const std::map<WorkerHandle, Room>& rooms,
                                        std::int64_t count) {
  std::vector<std::pair<std::int64_t, WorkerHandle>> by_units;
  for (const auto& [worker, room] : rooms) {
    if (room.units > 0) by_units.emplace_back(-room.units, worker);
  }
  std::ranges::sort(by_units);
  std::vector<WorkerHandle> chosen;
  for (const auto& [units, worker] : by_units) {
    if (count <= 0) break;
    chosen.push_back(worker);
    count += units;
  }
  return chosen;
}

}  // namespace

std::optional<Engine::Impl::Reservation> Engine::Impl::PlanStart(const Resources& size,
                                                                 std::uint32_t count,
                                                                 SteadyTime now) const {
  std::map<WorkerHandle, Room> rooms;
  std::int64_t total = 0;
  for (const auto& [id, worker] : workers) {
    if (!states.at(worker).IsOpen()) continue;
    Room room{index.Free(worker), index.FreeSlots(worker), 0};
    room.units = UnitsOf(room.free, room.slots, size);
    total += room.units;
    rooms.emplace(worker, room);
  }
  std::vector<std::pair<SteadyTime, const Running*>> ends;
  for (const auto& [task, run] : running) {
    if (run.job->spec.policy == SchedulingPolicy::kService || !rooms.contains(run.worker)) continue;
    // An overrun task is expected to take as long again as it has taken.
    const SteadyTime end = run.expected_end > now ? run.expected_end : now + (now - run.started);
    ends.emplace_back(end, &run);
  }
  std::ranges::sort(ends, {}, [](const auto& one) { return one.first; });
  SteadyTime start = now;
  for (const auto& [end, run] : ends) {
    if (total >= count) break;
    Room& room = rooms.at(run->worker);
    room.free += run->size;
    ++room.slots;
    total -= room.units;
    room.units = UnitsOf(room.free, room.slots, size);
    total += room.units;
    start = end;
  }
  if (total < count) return std::nullopt;
  return Reservation{{}, FewestWorkers(rooms, count), start, now};
}

}  // namespace citronsill
