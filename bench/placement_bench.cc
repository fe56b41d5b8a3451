// Cost of choosing a worker with 50, 930 and 5,000 workers at 85% load, compared with a full scan
// by the same rule, and the packing of the shipyard mix.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <tuple>

#include "citronsill/placement.h"
#include "shipyard_cell.h"

namespace citronsill {
namespace {

constexpr double kTargetLoad = 0.85;

/// The data of a worker that a scan reads: 32 bytes.
struct Entry {
  Resources free;
  std::uint32_t free_slots = 0;
  bool accepting = true;

  explicit Entry(const WorkerSpec& spec) : free(spec.capacity), free_slots(spec.slots) {}
};

/// Baseline that applies the rule of the index for batch tasks by a full scan: of all workers on
/// which the task fits, it takes the one with the least free of the scarcest resource.
class FullScan {
 public:
  WorkerHandle Put(const WorkerSpec& spec) {
    m_workers.emplace_back(spec);
    m_capacity += spec.capacity;
    m_slots += spec.slots;
    return WorkerHandle{static_cast<std::uint32_t>(m_workers.size() - 1)};
  }

  [[nodiscard]] std::optional<WorkerHandle> Choose(const PlacementQuery& query) const {
    const double processors = Share(m_used.processors_milli, m_capacity.processors_milli);
    const double memory = Share(m_used.memory_mb, m_capacity.memory_mb);
    const double slots = Share(m_used_slots, m_slots);
    if (slots > std::max(processors, memory)) {
      return Scan(query.size, [](const Entry& a, const Entry& b) {
        return std::tie(a.free_slots, a.free.processors_milli, a.free.memory_mb) <
               std::tie(b.free_slots, b.free.processors_milli, b.free.memory_mb);
      });
    }
    if (memory > processors) {
      return Scan(query.size, [](const Entry& a, const Entry& b) {
        return std::tie(a.free.memory_mb, a.free.processors_milli, a.free_slots) <
               std::tie(b.free.memory_mb, b.free.processors_milli, b.free_slots);
      });
    }
    return Scan(query.size, [](const Entry& a, const Entry& b) {
      return std::tie(a.free.processors_milli, a.free.memory_mb, a.free_slots) <
             std::tie(b.free.processors_milli, b.free.memory_mb, b.free_slots);
    });
  }

  void Reserve(WorkerHandle worker, const Resources& size) {
    m_workers[worker.value].free -= size;
    --m_workers[worker.value].free_slots;
    m_used += size;
    ++m_used_slots;
  }

  void Release(WorkerHandle worker, const Resources& size) {
    m_workers[worker.value].free += size;
    ++m_workers[worker.value].free_slots;
    m_used -= size;
    --m_used_slots;
  }

 private:
  static double Share(std::int64_t used, std::int64_t capacity) {
    return static_cast<double>(used) / static_cast<double>(capacity);
  }

  template <class Less>
  [[nodiscard]] std::optional<WorkerHandle> Scan(const Resources& size, Less less) const {
    const Entry* best = nullptr;
    for (const Entry& entry : m_workers) {
      if (!entry.accepting || entry.free_slots == 0 || !entry.free.Covers(size)) continue;
      if (entry.free.accelerators == 0 && (best == nullptr || less(entry, *best))) best = &entry;
    }
    if (best == nullptr) return std::nullopt;
    return WorkerHandle{static_cast<std::uint32_t>(best - m_workers.data())};
  }

  std::vector<Entry> m_workers;
  Resources m_capacity;
  Resources m_used;
  std::int64_t m_slots = 0;
  std::int64_t m_used_slots = 0;
};

/// A cell at constant load: each step ends a random task and places another one.
template <class Index>
class BusyCell {
 public:
  explicit BusyCell(std::uint32_t workers) {
    for (std::uint32_t i = 0; i < workers; ++i) m_index.Put(ShipyardWorker(i));
    const double target =
        kTargetLoad * workers * static_cast<double>(kShipyardCapacity.processors_milli);
    double used = 0;
    while (used < target) {
      const Resources size = kShipyardMix[m_random.Below(kShipyardMix.size())];
      const auto worker = m_index.Choose({.size = size});
      if (!worker) continue;
      m_index.Reserve(*worker, size);
      m_running.push_back({*worker, size});
      used += static_cast<double>(size.processors_milli);
    }
    for (std::size_t i = 0; i < m_running.size() * 20; ++i) Step();
  }

  /// Ends one task and starts one of the same size, so that the load stays the same.
  void Step() {
    Running& task = m_running[m_random.Below(m_running.size())];
    m_index.Release(task.worker, task.size);
    task.worker = *m_index.Choose({.size = task.size});
    m_index.Reserve(task.worker, task.size);
  }

  Index& Workers() { return m_index; }

 private:
  struct Running {
    WorkerHandle worker;
    Resources size;
  };

  Index m_index;
  Random m_random;
  std::vector<Running> m_running;
};

template <class Index>
void ChooseReserveRelease(benchmark::State& state) {
  BusyCell<Index> cell(static_cast<std::uint32_t>(state.range(0)));
  for (auto _ : state) cell.Step();
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(ChooseReserveRelease<WorkerIndex>)->Arg(50)->Arg(930)->Arg(5000);
BENCHMARK(ChooseReserveRelease<FullScan>)->Arg(50)->Arg(930)->Arg(5000);
// A fixed number of steps of both, to compare instruction counts under callgrind.
BENCHMARK(ChooseReserveRelease<WorkerIndex>)->Arg(930)->Iterations(100000);
BENCHMARK(ChooseReserveRelease<FullScan>)->Arg(930)->Iterations(100000);

template <class Index>
std::chrono::nanoseconds TimeSteps(BusyCell<Index>& cell) {
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < 1000; ++i) cell.Step();
  return std::chrono::steady_clock::now() - begin;
}

// Runs both alternately, so that other load on the machine slows down both alike.
void RatioToFullScan(benchmark::State& state) {
  BusyCell<WorkerIndex> indexed(static_cast<std::uint32_t>(state.range(0)));
  BusyCell<FullScan> scanned(static_cast<std::uint32_t>(state.range(0)));
  std::vector<double> ratios;
  for (auto _ : state) {
    const std::chrono::nanoseconds index_time = TimeSteps(indexed);
    const std::chrono::nanoseconds scan_time = TimeSteps(scanned);
    ratios.push_back(static_cast<double>(scan_time.count()) /
                     static_cast<double>(index_time.count()));
  }
  std::sort(ratios.begin(), ratios.end());
  state.counters["median"] = ratios[ratios.size() / 2];
  state.counters["p10"] = ratios[ratios.size() / 10];
}
BENCHMARK(RatioToFullScan)->Arg(50)->Arg(930)->Arg(5000)->Iterations(300);

// A task that fits on no worker, although the cell has enough of each single resource.
template <class Index>
void ChooseNone(benchmark::State& state) {
  BusyCell<Index> cell(static_cast<std::uint32_t>(state.range(0)));
  for (auto _ : state) benchmark::DoNotOptimize(cell.Workers().Choose({.size = kShipyardCapacity}));
}
BENCHMARK(ChooseNone<WorkerIndex>)->Arg(50)->Arg(930)->Arg(5000);
BENCHMARK(ChooseNone<FullScan>)->Arg(50)->Arg(930)->Arg(5000);

// Sizes between the levels of the index, as learned sizes are: workers are compared one by one.
void ChooseUneven(benchmark::State& state) {
  WorkerIndex index;
  Random random;
  std::vector<std::pair<WorkerHandle, Resources>> running;
  const auto workers = static_cast<std::uint32_t>(state.range(0));
  for (std::uint32_t i = 0; i < workers; ++i) index.Put(ShipyardWorker(i));
  const auto start = [&] {
    const auto processors = static_cast<std::int64_t>(200 + random.Below(4000));
    const auto memory = static_cast<std::int64_t>(100 + random.Below(8000));
    const Resources size{processors, memory, 0};
    const auto worker = index.Choose({.size = size});
    if (!worker) return false;
    index.Reserve(*worker, size);
    running.emplace_back(*worker, size);
    return true;
  };
  while (start()) {
  }
  const PlacementStats before = index.Stats();
  for (auto _ : state) {
    if (!running.empty()) {
      auto& ended = running[random.Below(running.size())];
      index.Release(ended.first, ended.second);
      ended = running.back();
      running.pop_back();
    }
    while (start()) {
    }
  }
  const auto choices = static_cast<double>(index.Stats().choices - before.choices);
  state.counters["examined"] =
      static_cast<double>(index.Stats().workers_examined - before.workers_examined) / choices;
  state.SetItemsProcessed(static_cast<std::int64_t>(choices));
}
BENCHMARK(ChooseUneven)->Arg(50)->Arg(930)->Arg(5000);

// Latency of single choices, including the cost of reading the clock.
void ChooseLatency(benchmark::State& state) {
  BusyCell<WorkerIndex> cell(static_cast<std::uint32_t>(state.range(0)));
  std::vector<std::int64_t> nanoseconds;
  for (auto _ : state) {
    const auto begin = std::chrono::steady_clock::now();
    cell.Step();
    const std::chrono::nanoseconds spent = std::chrono::steady_clock::now() - begin;
    nanoseconds.push_back(spent.count());
  }
  std::sort(nanoseconds.begin(), nanoseconds.end());
  state.counters["p99_us"] = static_cast<double>(nanoseconds[nanoseconds.size() * 99 / 100]) / 1e3;
  state.counters["max_us"] = static_cast<double>(nanoseconds.back()) / 1e3;
}
BENCHMARK(ChooseLatency)->Arg(930)->Iterations(200000);

void Gang(benchmark::State& state) {
  BusyCell<WorkerIndex> cell(static_cast<std::uint32_t>(state.range(0)));
  const auto policy = static_cast<SchedulingPolicy>(state.range(1));
  const PlacementQuery query{.size = kShipyardMix[2], .policy = policy};
  std::size_t chosen = 0;
  for (auto _ : state) chosen = cell.Workers().ChooseGang(query, 64).size();
  state.counters["chosen"] = static_cast<double>(chosen);
}
BENCHMARK(Gang)->ArgsProduct({{930, 5000},
                              {static_cast<int>(SchedulingPolicy::kBatch),
                               static_cast<int>(SchedulingPolicy::kService)}});

void Spread(benchmark::State& state) {
  BusyCell<WorkerIndex> cell(static_cast<std::uint32_t>(state.range(0)));
  std::vector<WorkerHandle> siblings;
  for (std::uint32_t i = 0; i < 12; ++i) siblings.push_back(WorkerHandle{i * 4});
  const PlacementQuery query{
      .size = kShipyardMix[1], .policy = SchedulingPolicy::kService, .siblings = siblings};
  for (auto _ : state) {
    const auto worker = cell.Workers().Choose(query);
    cell.Workers().Reserve(*worker, query.size);
    cell.Workers().Release(*worker, query.size);
  }
}
BENCHMARK(Spread)->Arg(50)->Arg(930)->Arg(5000);

void Packing(benchmark::State& state) {
  constexpr std::size_t kSamples = 5000;
  Shares sum{};
  for (auto _ : state) {
    const ShipyardCell::Weights weights = {static_cast<std::size_t>(state.range(0)),
                                           static_cast<std::size_t>(state.range(1)),
                                           static_cast<std::size_t>(state.range(2))};
    ShipyardCell cell(50, weights, static_cast<std::size_t>(state.range(3)));
    cell.Run(1000);
    for (std::size_t sample = 0; sample < kSamples; ++sample) {
      cell.Run(1);
      const Shares shares = cell.UsedShares();
      for (std::size_t i = 0; i < sum.size(); ++i) sum[i] += shares[i] / kSamples;
    }
    state.counters["of_bound"] = sum[cell.Scarcest()];
  }
  state.counters["processors"] = sum[0];
  state.counters["memory"] = sum[1];
  state.counters["slots"] = sum[2];
}
// Weights of fairing runs, lashing checks and cut lists, and the number of waiting tasks.
BENCHMARK(Packing)
    ->Args({1, 2, 3, 40})
    ->Args({1, 2, 3, 400})
    ->Args({2, 3, 5, 40})
    ->Args({1, 1, 1, 40})
    ->Args({1, 2, 10, 40})
    ->Args({1, 2, 10, 400})
    ->Args({1, 10, 1, 40})
    ->Args({1, 5, 20, 40})
    ->Iterations(1);

}  // namespace
}  // namespace citronsill

BENCHMARK_MAIN();
