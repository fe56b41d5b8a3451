// Cost of customers and their keys: reading a configuration with them, telling who calls, and
// passing them on to another instance. The target is 5,000 customers with 10,000 keys in under
// 50 ms and 8 MB.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <new>
#include <string>

#include "cell/config_push.h"
#include "platform/platform.h"

namespace {

// Bytes that were allocated by `new` since a reset, and the most at any moment.
struct Heap {
  std::int64_t now = 0;
  std::int64_t most = 0;
};
Heap heap;

}  // namespace

// Not inlined, as g++ takes the call of `free` for a mismatch otherwise.
[[gnu::noinline]] void* operator new(std::size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  heap.now += static_cast<std::int64_t>(malloc_usable_size(memory));
  heap.most = std::max(heap.most, heap.now);
  return memory;
}

[[gnu::noinline]] void operator delete(void* memory) noexcept {
  heap.now -= static_cast<std::int64_t>(malloc_usable_size(memory));
  std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept { operator delete(memory); }

namespace citronsill {
namespace {

constexpr int kKeysOfCustomer = 2;
constexpr double kBytesPerMb = 1e6;

std::string KeyOf(std::int64_t customer, int key) {
  return "5c0e7a21d94b36f8" + std::to_string(customer) + "-" + std::to_string(key);
}

std::string ConfigText(std::int64_t customers) {
  std::string text = R"({"version":7,"routes":[{"name":"r","prefix":"/p/","service":"s"}])";
  for (std::int64_t i = 0; i < customers; ++i) {
    text.append(i == 0 ? R"(,"tenants":[{"name":"customer-)" : R"(,{"name":"customer-)");
    text.append(std::to_string(i))
        .append(R"(","weight":2.5,"cap":{"cpu":64000,"memMb":0},"keys":)");
    for (int key = 0; key < kKeysOfCustomer; ++key) {
      text.append(key == 0 ? "[\"" : ",\"").append(KeyOf(i, key)).append("\"");
    }
    text.append("]}");
  }
  return text.append(customers == 0 ? "}" : "]}");
}

double AllocatedMb() { return static_cast<double>(mallinfo2().uordblks) / kBytesPerMb; }

void ReadConfig(benchmark::State& state) {
  const std::string text = ConfigText(state.range(0));
  for (auto _ : state) benchmark::DoNotOptimize(platform::ReadConfig(text));
  const double before = AllocatedMb();
  heap = {};
  const CellConfigPtr config = platform::ReadConfig(text).value();
  state.counters["most_mb"] = static_cast<double>(heap.most) / kBytesPerMb;
  state.counters["keys"] = static_cast<double>(config->customers->KeyCount());
  state.counters["text_mb"] = static_cast<double>(text.size()) / kBytesPerMb;
  state.counters["config_mb"] = AllocatedMb() - before;
  const schema::ConfigPush push = MakeConfigPush(*config);
  const double before_keys = AllocatedMb();
  const CustomerDirectoryPtr customers = config->customers->WithKeys(push.keys());
  state.counters["directory_mb"] = AllocatedMb() - before_keys;
}
BENCHMARK(ReadConfig)->Arg(0)->Arg(20)->Arg(1000)->Arg(5000)->Unit(benchmark::kMillisecond);

void TellCaller(benchmark::State& state) {
  const CellConfigPtr config = platform::ReadConfig(ConfigText(state.range(0))).value();
  const std::string known = "Bearer " + KeyOf(state.range(0) / 2, 1);
  const std::string unknown = "Bearer " + KeyOf(state.range(0), 1);
  for (auto _ : state) {
    benchmark::DoNotOptimize(FindCaller(*config->customers, known, false));
    benchmark::DoNotOptimize(FindCaller(*config->customers, unknown, false));
  }
}
BENCHMARK(TellCaller)->Arg(20)->Arg(1000)->Arg(5000);

void PassOn(benchmark::State& state) {
  const CellConfigPtr config = platform::ReadConfig(ConfigText(state.range(0))).value();
  std::size_t bytes = 0;
  for (auto _ : state) {
    const schema::ConfigPush push = MakeConfigPush(*config);
    bytes = push.ByteSizeLong();
    benchmark::DoNotOptimize(ReadConfigPush(platform::ReadConfig, push));
  }
  state.counters["message_mb"] = static_cast<double>(bytes) / kBytesPerMb;
}
BENCHMARK(PassOn)->Arg(20)->Arg(5000)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace citronsill

BENCHMARK_MAIN();
