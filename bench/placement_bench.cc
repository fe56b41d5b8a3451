// Cost of choices at 50, 930 and 5,000 workers, 85% full, against a full scan of the same rule; and
// how well the shipyard mix is packed.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <deque>

#include "citronsill/placement.h"

namespace citronsill {
namespace {

constexpr std::array<Resources, 3> kMix = {Resources{8000, 16384, 0}, Resources{2000, 2048, 0},
                                           Resources{1000, 512, 0}};
constexpr Resources kWorkerCapacity{16000, 32768, 0};
constexpr std::uint32_t kSlots = 8;
constexpr double kFullShare = 0.85;

class Random {
 public:
  std::size_t Below(std::size_t bound) {
    m_state = m_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (m_state >> 33) % bound;
  }

 private:
  std::uint64_t m_state = 7;
};

WorkerSpec Worker(std::uint32_t number) {
  WorkerSpec spec;
  spec.id = "worker-" + std::to_string(number);
  spec.rack = "rack-" + std::to_string(number / 8);
  spec.failure_domain = "domain-" + std::to_string(number / 8 % 3);
  spec.capacity = kWorkerCapacity;
  spec.slots = kSlots;
  return spec;
}

/// The rule of the index for batch tasks, without an index: of all workers with room, the one with
/// the least of the scarcest resource free.
class FullScan {
 public:
  WorkerHandle Put(const WorkerSpec& spec) {
    m_workers.push_back({spec.capacity, spec.slots, true});
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
  struct Entry {
    Resources free;
    std::uint32_t free_slots = 0;
    bool accepting = true;
  };

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

/// A cell that is kept at the same load: each step ends a task at random and places another.
template <class Index>
class BusyCell {
 public:
  explicit BusyCell(std::uint32_t workers) {
    for (std::uint32_t i = 0; i < workers; ++i) m_index.Put(Worker(i));
    const double target =
        kFullShare * workers * static_cast<double>(kWorkerCapacity.processors_milli);
    double used = 0;
    while (used < target) {
      const Resources size = kMix[m_random.Below(kMix.size())];
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

  [[nodiscard]] std::vector<Resources> RunningSizes() const {
    std::vector<Resources> sizes;
    for (const Running& task : m_running) sizes.push_back(task.size);
    return sizes;
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

// A task that fits nowhere, while there is room of every single resource.
template <class Index>
void ChooseNone(benchmark::State& state) {
  BusyCell<Index> cell(static_cast<std::uint32_t>(state.range(0)));
  for (auto _ : state) benchmark::DoNotOptimize(cell.Workers().Choose({.size = kWorkerCapacity}));
}
BENCHMARK(ChooseNone<WorkerIndex>)->Arg(50)->Arg(930)->Arg(5000);
BENCHMARK(ChooseNone<FullScan>)->Arg(50)->Arg(930)->Arg(5000);

// Sizes off the steps of the index, as learned sizes are: workers are compared one by one.
void ChooseUneven(benchmark::State& state) {
  WorkerIndex index;
  Random random;
  std::vector<std::pair<WorkerHandle, Resources>> running;
  const auto workers = static_cast<std::uint32_t>(state.range(0));
  for (std::uint32_t i = 0; i < workers; ++i) index.Put(Worker(i));
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

// Latency of single choices, the clock's own cost included.
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
  const PlacementQuery query{.size = kMix[2], .policy = policy};
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
      .size = kMix[1], .policy = SchedulingPolicy::kService, .siblings = siblings};
  for (auto _ : state) {
    const auto worker = cell.Workers().Choose(query);
    cell.Workers().Reserve(*worker, query.size);
    cell.Workers().Release(*worker, query.size);
  }
}
BENCHMARK(Spread)->Arg(50)->Arg(930)->Arg(5000);

/// Starts tasks of a waiting list in their order, those that do not fit let others pass; each task
/// that ends is replaced by a waiting one.
void Packing(benchmark::State& state) {
  const std::array<std::size_t, 3> weights = {static_cast<std::size_t>(state.range(0)),
                                              static_cast<std::size_t>(state.range(1)),
                                              static_cast<std::size_t>(state.range(2))};
  constexpr std::uint32_t kWorkers = 50;
  const std::size_t depth = static_cast<std::size_t>(state.range(3));
  std::array<double, 3> sum{};
  std::size_t samples = 0;
  for (auto _ : state) {
    WorkerIndex index;
    Random random;
    std::deque<std::size_t> waiting;
    std::vector<std::pair<WorkerHandle, std::size_t>> running;
    Resources used;
    for (std::uint32_t i = 0; i < kWorkers; ++i) index.Put(Worker(i));
    const auto draw = [&] {
      std::size_t ticket = random.Below(weights[0] + weights[1] + weights[2]);
      std::size_t kind = 0;
      while (ticket >= weights[kind]) ticket -= weights[kind++];
      return kind;
    };
    const auto start = [&] {
      for (std::size_t i = 0; i < waiting.size();) {
        const std::size_t kind = waiting[i];
        const auto worker = index.Choose({.size = kMix[kind]});
        if (!worker) {
          ++i;
          continue;
        }
        index.Reserve(*worker, kMix[kind]);
        used += kMix[kind];
        running.emplace_back(*worker, kind);
        waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(i));
        waiting.push_back(draw());
      }
    };
    for (std::size_t i = 0; i < depth; ++i) waiting.push_back(draw());
    start();
    for (int step = 0; step < 6000; ++step) {
      auto& ended = running[random.Below(running.size())];
      index.Release(ended.first, kMix[ended.second]);
      used -= kMix[ended.second];
      ended = running.back();
      running.pop_back();
      start();
      if (step < 1000) continue;
      ++samples;
      sum[0] += static_cast<double>(used.processors_milli) / (16000.0 * kWorkers);
      sum[1] += static_cast<double>(used.memory_mb) / (32768.0 * kWorkers);
      sum[2] += static_cast<double>(running.size()) / (8.0 * kWorkers);
    }
  }
  const auto mean = [&](std::size_t i) { return sum[i] / static_cast<double>(samples); };
  state.counters["processors"] = mean(0);
  state.counters["memory"] = mean(1);
  state.counters["slots"] = mean(2);
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
