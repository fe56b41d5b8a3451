#include "citronsill/placement.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

#include "../bench/shipyard_cell.h"

namespace citronsill {
namespace {

/// Reference model: answers each query by a full scan of all workers.
struct Model {
  struct Worker {
    WorkerSpec spec;
    Resources free;
    std::int64_t free_slots = 0;
    bool accepting = true;
    std::vector<Resources> tasks;
  };
  std::map<WorkerHandle, Worker> workers;

  [[nodiscard]] bool Fits(WorkerHandle handle, const PlacementQuery& query) const {
    const Worker& worker = workers.at(handle);
    return worker.accepting && worker.free_slots > 0 && worker.free.Covers(query.size) &&
           std::find(query.excluded.begin(), query.excluded.end(), handle) == query.excluded.end();
  }

  [[nodiscard]] std::vector<WorkerHandle> Fitting(const PlacementQuery& query) const {
    std::vector<WorkerHandle> fitting;
    for (const auto& [handle, worker] : workers) {
      if (Fits(handle, query)) fitting.push_back(handle);
    }
    return fitting;
  }

  /// @returns the total number of tasks of this size that fit.
  [[nodiscard]] std::int64_t FittingTaskCount(const PlacementQuery& query) const {
    std::int64_t fitting_tasks = 0;
    for (const WorkerHandle handle : Fitting(query)) {
      const Worker& worker = workers.at(handle);
      std::int64_t count = worker.free_slots;
      const auto limit = [&count](std::int64_t free, std::int64_t size) {
        if (size > 0) count = std::min(count, free / size);
      };
      limit(worker.free.processors_milli, query.size.processors_milli);
      limit(worker.free.memory_mb, query.size.memory_mb);
      limit(worker.free.accelerators, query.size.accelerators);
      fitting_tasks += count;
    }
    return fitting_tasks;
  }

  void Reserve(WorkerHandle handle, const Resources& size) {
    Worker& worker = workers.at(handle);
    worker.free -= size;
    --worker.free_slots;
    worker.tasks.push_back(size);
  }
};

/// Applies each change to both the index and the reference model.
struct CheckedIndex {
  WorkerIndex index;
  Model model;

  void Put(const WorkerSpec& spec) {
    Model::Worker& worker = model.workers[index.Put(spec)];
    worker.free += spec.capacity;
    worker.free -= worker.spec.capacity;
    worker.free_slots += spec.slots;
    worker.free_slots -= worker.spec.slots;
    worker.spec = spec;
  }

  void Reserve(WorkerHandle handle, const Resources& size) {
    index.Reserve(handle, size);
    model.Reserve(handle, size);
  }

  void ReleaseOne(WorkerHandle handle) {
    Model::Worker& worker = model.workers.at(handle);
    if (worker.tasks.empty()) return;
    const Resources size = worker.tasks.back();
    worker.tasks.pop_back();
    worker.free += size;
    ++worker.free_slots;
    index.Release(handle, size);
  }

  void CheckEqual() const {
    for (const auto& [handle, worker] : model.workers) {
      RC_ASSERT(index.Free(handle) == worker.free);
      RC_ASSERT(index.FreeSlots(handle) == std::max<std::int64_t>(worker.free_slots, 0));
    }
  }
};

Resources AnySize() {
  return *rc::gen::oneOf(
      rc::gen::elementOf(kShipyardMix),
      rc::gen::build<Resources>(
          rc::gen::set(&Resources::processors_milli, rc::gen::inRange(0, 9000)),
          rc::gen::set(&Resources::memory_mb, rc::gen::inRange(0, 20000)),
          rc::gen::set(&Resources::accelerators,
                       rc::gen::weightedElement<std::int64_t>({{6, 0}, {1, 1}, {1, 3}}))));
}

WorkerSpec AnyWorker(std::uint32_t number) {
  WorkerSpec spec = ShipyardWorker(number);
  spec.capacity.processors_milli = *rc::gen::elementOf(std::vector{4000, 16000, 16000, 31900});
  spec.capacity.memory_mb = *rc::gen::elementOf(std::vector{8192, 32768, 32768, 131072});
  spec.capacity.accelerators = *rc::gen::elementOf(std::vector{0, 0, 2, 12});
  spec.slots = *rc::gen::elementOf(std::vector<std::uint32_t>{0, 1, 8, 8, 20});
  return spec;
}

WorkerHandle AnyHandle(const Model& model) {
  auto position = model.workers.begin();
  std::advance(position, *rc::gen::inRange<std::size_t>(0, model.workers.size()));
  return position->first;
}

// Chooses a worker for one task, checks the choice against the model and reserves it.
void CheckChoice(CheckedIndex& checked, const PlacementQuery& query) {
  const auto chosen = checked.index.Choose(query);
  RC_ASSERT(chosen.has_value() == !checked.model.Fitting(query).empty());
  if (!chosen) return;
  RC_ASSERT(checked.model.Fits(*chosen, query));
  checked.Reserve(*chosen, query.size);
}

// As `CheckChoice`, for a gang of `count` tasks.
void CheckGang(CheckedIndex& checked, const PlacementQuery& query, std::uint32_t count) {
  const std::int64_t fitting_tasks = checked.model.FittingTaskCount(query);
  const auto chosen = checked.index.ChooseGang(query, count);
  RC_ASSERT(chosen.size() == (fitting_tasks >= count ? count : 0));
  for (const WorkerHandle handle : chosen) {
    RC_ASSERT(checked.model.Fits(handle, query));
    checked.Reserve(handle, query.size);
  }
}

// Replaces a random worker, changes its capacity or whether it accepts tasks, or reserves a task on
// it without a choice.
void ChangeWorker(CheckedIndex& checked, std::uint32_t number) {
  const WorkerHandle handle = AnyHandle(checked.model);
  switch (*rc::gen::inRange(0, 4)) {
    case 0:
      checked.index.Remove(handle);
      checked.model.workers.erase(handle);
      checked.Put(AnyWorker(1000 + number));
      break;
    case 1: {
      WorkerSpec spec = AnyWorker(number);
      spec.id = checked.model.workers.at(handle).spec.id;
      checked.Put(spec);
      break;
    }
    case 2:
      checked.Reserve(handle, AnySize());  // A task found running may exceed the capacity.
      break;
    default:
      checked.model.workers.at(handle).accepting ^= true;
      checked.index.SetAccepting(handle, checked.model.workers.at(handle).accepting);
  }
}

// Guards against tasks on workers without enough free capacity,
// and against tasks that wait although some worker has enough.
TEST_CASE("placement: choices agree with a full scan") {
  const bool holds = rc::check([] {
    CheckedIndex checked;
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 40);
    for (std::uint32_t i = 0; i < count; ++i) checked.Put(AnyWorker(i));
    const auto steps = *rc::gen::inRange<std::uint32_t>(1, 120);
    for (std::uint32_t step = 0; step < steps; ++step) {
      PlacementQuery query;
      query.size = AnySize();
      query.policy = *rc::gen::element(SchedulingPolicy::kInteractive, SchedulingPolicy::kBatch,
                                       SchedulingPolicy::kService);
      const std::vector<WorkerHandle> excluded = {AnyHandle(checked.model),
                                                  AnyHandle(checked.model)};
      if (*rc::gen::inRange(0, 3) == 0) query.excluded = excluded;
      const auto kind = *rc::gen::inRange(0, 10);
      if (kind < 5) CheckChoice(checked, query);
      if (kind == 5) CheckGang(checked, query, *rc::gen::inRange<std::uint32_t>(1, 40));
      if (kind == 6) ChangeWorker(checked, step);
      if (kind > 6) checked.ReleaseOne(AnyHandle(checked.model));
    }
    checked.CheckEqual();
  });
  CHECK(holds);
}

// Guards against a service whose tasks share a failure
// domain or a rack while another one has free capacity.
TEST_CASE("placement: services survive the loss of one failure domain") {
  const bool holds = rc::check([] {
    CheckedIndex checked;
    for (std::uint32_t i = 0; i < 48; ++i) checked.Put(ShipyardWorker(i));
    const auto load = *rc::gen::inRange(0, 150);
    for (int i = 0; i < load; ++i) {
      const WorkerHandle handle = AnyHandle(checked.model);
      const PlacementQuery query{.size = *rc::gen::elementOf(kShipyardMix)};
      if (checked.model.Fits(handle, query)) checked.Reserve(handle, query.size);
    }
    std::vector<WorkerHandle> siblings;
    std::map<std::string, int> in_domain;
    std::map<std::string, int> in_rack;
    for (int i = 0; i < 12; ++i) {
      const PlacementQuery query{
          .size = kLashingCheck, .policy = SchedulingPolicy::kService, .siblings = siblings};
      const auto chosen = checked.index.Choose(query);
      const auto fitting = checked.model.Fitting(query);
      RC_ASSERT(chosen.has_value() == !fitting.empty());
      if (!chosen) return;
      const WorkerSpec& spec = checked.index.Spec(*chosen);
      for (const WorkerHandle other : fitting) {
        const WorkerSpec& other_spec = checked.index.Spec(other);
        RC_ASSERT(in_domain[spec.failure_domain] <= in_domain[other_spec.failure_domain]);
        if (spec.failure_domain == other_spec.failure_domain) {
          RC_ASSERT(in_rack[spec.rack] <= in_rack[other_spec.rack]);
        }
      }
      ++in_domain[spec.failure_domain];
      ++in_rack[spec.rack];
      checked.Reserve(*chosen, query.size);
      siblings.push_back(*chosen);
    }
  });
  CHECK(holds);
}

// Guards against capacity that stays unused while work waits. The volume
// bound is the whole cell's amount of the resource that the mix uses up first.
TEST_CASE("placement: the shipyard mix is packed to 95% of the volume bound") {
  using Weights = ShipyardCell::Weights;
  for (const Weights& weights : {Weights{1, 2, 3}, Weights{2, 3, 5}, Weights{1, 1, 1},
                                 Weights{1, 2, 10}, Weights{1, 10, 1}}) {
    ShipyardCell cell(50, weights, 400);
    cell.Run(3000);
    CAPTURE(weights[0]);
    CAPTURE(weights[1]);
    CAPTURE(weights[2]);
    CHECK(cell.UsedShares()[cell.Scarcest()] >= 0.95);
  }
}

// Guards against a choice whose cost grows with the
// number of workers. Compares counts, because times vary.
TEST_CASE("placement: a choice examines few workers in cells of any size") {
  std::map<std::uint32_t, double> examined;
  for (const std::uint32_t workers : {50U, 930U, 5000U}) {
    ShipyardCell cell(workers, {1, 2, 3}, 400);
    cell.Run(500);
    const PlacementStats& stats = cell.Index().Stats();
    examined[workers] = static_cast<double>(stats.workers_examined + stats.buckets_examined) /
                        static_cast<double>(stats.choices);
  }
  CHECK(examined[930] <= 930.0 / 20);
  CHECK(examined[930] < 3 * examined[50]);
  CHECK(examined[5000] < 3 * examined[50]);
}

// Guards against long scans for sizes between the levels
// of the index, for which workers are compared one by one.
TEST_CASE("placement: a choice for a size between two levels examines few workers") {
  WorkerIndex index;
  for (std::uint32_t i = 0; i < 930; ++i) index.Put(ShipyardWorker(i));
  for (std::uint32_t i = 0; i < 6000; ++i) {
    const Resources size{201 + i * 7919 % 4000, 101 + i * 104729 % 8000, 0};
    if (const auto chosen = index.Choose({.size = size})) index.Reserve(*chosen, size);
  }
  const PlacementStats& stats = index.Stats();
  CHECK(static_cast<double>(stats.workers_examined) / static_cast<double>(stats.choices) <=
        930.0 / 20);
}

/// Adds a shipyard worker on which all but `free` is reserved.
WorkerHandle PutWithFree(WorkerIndex& index, std::uint32_t number, const Resources& free) {
  const WorkerHandle worker = index.Put(ShipyardWorker(number));
  Resources used = kShipyardCapacity;
  used -= free;
  index.Reserve(worker, used);
  return worker;
}

// Guards against workers with slightly too little free capacity that
// keep the search from finding one with enough, or slow it down.
TEST_CASE("placement: workers that almost fit neither hide nor delay one that fits") {
  WorkerIndex index;
  const Resources size{1200, 512, 0};
  const WorkerHandle hidden = PutWithFree(index, 0, {1210, 1024, 0});
  for (std::uint32_t i = 1; i <= 100; ++i) PutWithFree(index, i, {1100, 1024, 0});
  CHECK(index.Choose({.size = size}) == hidden);
  const WorkerHandle suitable = PutWithFree(index, 101, {5000, 1024, 0});
  const std::uint64_t before = index.Stats().workers_examined;
  CHECK(index.Choose({.size = size}) == suitable);
  CHECK(index.Stats().workers_examined - before <= 50);
}

// Guards against small tasks that are placed on the workers that large tasks need.
TEST_CASE("placement: the worker with the least of the scarcest resource is taken first") {
  WorkerIndex index;
  const WorkerHandle few_processors = PutWithFree(index, 0, {2000, 20000, 0});
  const WorkerHandle little_memory = PutWithFree(index, 1, {6000, 3000, 0});
  CHECK(index.Choose({.size = kLashingCheck}) == few_processors);
  PutWithFree(index, 2, {14000, 1000, 0});
  CHECK(index.Choose({.size = kLashingCheck}) == little_memory);
  const WorkerHandle few_slots = index.Put(ShipyardWorker(3));
  for (int i = 0; i < 7; ++i) index.Reserve(few_slots, Resources{});
  for (int i = 0; i < 16; ++i) index.Reserve(index.Put(ShipyardWorker(4 + i / 8)), Resources{});
  CHECK(index.Choose({.size = kLashingCheck}) == few_slots);
  WorkerSpec accelerated = ShipyardWorker(6);
  accelerated.capacity.accelerators = 1;
  index.Reserve(index.Put(accelerated), Resources{14000, 30000, 0});
  CHECK(index.Choose({.size = kLashingCheck}) == few_slots);
}

// Guards against a refusal that does not name the missing resources.
TEST_CASE("placement: the reason of infeasibility names the missing resources") {
  WorkerIndex index;
  CHECK_FALSE(index.InfeasibilityReason(kCutList).empty());
  index.Put(ShipyardWorker(0));
  WorkerSpec other = ShipyardWorker(1);
  other.capacity = Resources{4500, 131072, 2};
  index.Put(other);
  CHECK(index.InfeasibilityReason(kFairing).empty());
  CHECK(index.InfeasibilityReason({64000, 1024, 3}) ==
        "needs 64 processors, the most of any worker is 16 processors; needs 3 accelerators, the "
        "most of any worker is 2 accelerators");
  CHECK(index.InfeasibilityReason({5500, 65536, 0}) ==
        "no single worker has 5.5 processors, 65536 MiB of memory and 0 accelerators");
  index.Remove(*index.Find("worker-1"));
  CHECK(index.InfeasibilityReason({1000, 1024, 1}) ==
        "needs 1 accelerators, the most of any worker is 0 accelerators");
}

// Guards against preemption that stops more tasks than needed,
// stops tasks on several workers, or does not free enough capacity.
TEST_CASE("placement: victims are the cheapest set that suffices on one worker") {
  WorkerIndex index;
  std::vector<PreemptionCandidate> candidates;
  const auto run = [&](WorkerHandle worker, const Resources& size, double cost) {
    index.Reserve(worker, size);
    candidates.push_back({TaskKey{}, worker, size, cost});
  };
  const WorkerHandle first = index.Put(ShipyardWorker(0));
  const WorkerHandle second = index.Put(ShipyardWorker(1));
  const WorkerHandle third = index.Put(ShipyardWorker(2));
  for (int i = 0; i < 8; ++i) run(first, kLashingCheck, 3.0);
  run(second, kFairing, 100.0);
  run(second, kFairing, 10.0);
  for (int i = 0; i < 8; ++i) run(third, kCutList, 1.0);
  CHECK(index.ChooseVictims(kCutList, candidates) == std::vector<std::size_t>{10});
  CHECK(index.ChooseVictims(kFairing, candidates) == std::vector<std::size_t>{10});
  index.SetAccepting(third, false);
  CHECK(index.ChooseVictims(kCutList, candidates) == std::vector<std::size_t>{0});
  CHECK(index.ChooseVictims(kFairing, candidates) == std::vector<std::size_t>{9});
  CHECK(index.ChooseVictims({32000, 1, 0}, candidates).empty());
}

}  // namespace
}  // namespace citronsill
