// Prints a table of the policy results of the engine and
// of a baseline, in simulated time with a fixed seed.
//   policy_table [SEED]
#include <cstdio>
#include <cstdlib>

#include "policy_cases.h"

namespace citronsill::model {
namespace {

struct Row {
  std::string deployment;
  std::string measure;
  int weight = 1;  ///< Importance to the user; 5 is a main concern.
  double value = 0.0;
  double baseline = 0.0;
  double target = 0.0;
  bool at_most = true;
};

void Print(const Row& row) {
  const bool met = row.at_most ? row.value <= row.target : row.value >= row.target;
  char baseline[32] = "-";
  char ratio[32] = "-";
  if (!std::isnan(row.baseline)) std::snprintf(baseline, sizeof baseline, "%.3f", row.baseline);
  if (!std::isnan(row.baseline) && row.baseline != 0.0) {
    std::snprintf(ratio, sizeof ratio, "%.3f", row.value / row.baseline);
  }
  std::printf("| %-9s | %-41s | %6d | %9.3f | %10s | %7s | %s %-6.4g | %-6s |\n",
              row.deployment.c_str(), row.measure.c_str(), row.weight, row.value, baseline, ratio,
              row.at_most ? "<=" : ">=", row.target, met ? "met" : "MISSED");
  std::fflush(stdout);
}

/// @returns the results of a case with the engine and with the baseline.
template <class Case>
auto RunBoth(const Case& run) {
  EngineScheduler engine;
  FirstComeScheduler baseline;
  auto first = run(engine);
  return std::pair(first, run(baseline));
}

// Waits below this count as equal, because a decision round of the dispatcher takes longer.
constexpr double kMinWaitMs = 10.0;

// Fraction of the slots that quick work takes in the cases with 30% short load.
constexpr double kBusyLoad = 0.3;

/// Importance of the measures of a deployment; see `Row::weight`.
struct Weights {
  int waiting, packing, overhead, peak, blocking, other;
};

void PrintDeployment(const Deployment& cell, const Weights& weight, std::uint64_t seed) {
  const auto wait =
      RunBoth([&](Scheduler& scheduler) { return WaitCase(cell, scheduler, seed, 0.0); });
  Print({cell.name, "p99 wait of short work, ms", weight.waiting, wait.first, wait.second,
         wait.second, true});
  const auto straggling =
      RunBoth([&](Scheduler& scheduler) { return WaitCase(cell, scheduler, seed, 0.01); });
  const auto ratio = [](double with, double without) {
    return std::max(with, kMinWaitMs) / std::max(without, kMinWaitMs);
  };
  Print({cell.name, "p99 short wait, 1% stragglers / none", weight.blocking,
         ratio(straggling.first, wait.first), ratio(straggling.second, wait.second), 1.2, true});
  const auto busy = RunBoth(
      [&](Scheduler& scheduler) { return WaitCase(cell, scheduler, seed, 0.0, kBusyLoad); });
  const auto busy_straggling = RunBoth(
      [&](Scheduler& scheduler) { return WaitCase(cell, scheduler, seed, 0.01, kBusyLoad); });
  Print({cell.name, "the same at 30% short load, bursts to 60%", weight.blocking,
         ratio(busy_straggling.first, busy.first), ratio(busy_straggling.second, busy.second), 1.2,
         true});
  const auto packing =
      RunBoth([&](Scheduler& scheduler) { return PackingCase(cell, scheduler, seed); });
  Print({cell.name, "packing, part of the scarcest resource", weight.packing, packing.first,
         packing.second, 0.95, false});
  const auto peak =
      RunBoth([&](Scheduler& scheduler) { return OverloadCase(cell, scheduler, seed, {}); });
  Print({cell.name, "overload: goodput / capacity", weight.peak, peak.first.goodput,
         peak.second.goodput, 0.95, false});
  Print({cell.name, "overload: accepted past the deadline", weight.peak, peak.first.late,
         peak.second.late, 0.0, true});
  Print({cell.name, "overload: s until waits are normal", weight.peak, peak.first.recovery_s,
         peak.second.recovery_s, 2.0, true});
  const auto wrong = RunBoth([&](Scheduler& scheduler) {
    return OverloadCase(cell, scheduler, seed,
                        {.retries_when_refused = false, .declared_ratio = 0.33});
  });
  Print({cell.name, "goodput, run times declared at a third", weight.peak, wrong.first.goodput,
         wrong.second.goodput, 0.95, false});
  // The baseline refuses nothing, so it has no retries.
  EngineScheduler engine;
  const OverloadFigures retrying = OverloadCase(cell, engine, seed, {.retries_when_refused = true});
  Print({cell.name, "retrying callers who find capacity", weight.peak,
         retrying.retries_accepted_fraction, std::nan(""), 0.9, false});
  const auto urgent =
      RunBoth([&](Scheduler& scheduler) { return UrgentCase(cell, scheduler, seed); });
  Print({cell.name, "p99 urgent start, cell full, s", weight.other, urgent.first / 1000.0,
         urgent.second / 1000.0, 2.3, true});
  const auto fair =
      RunBoth([&](Scheduler& scheduler) { return FairnessCase(cell, scheduler, seed); });
  Print({cell.name, "least share of a team / even share", weight.other, fair.first, fair.second,
         0.9, false});
  const auto batch =
      RunBoth([&](Scheduler& scheduler) { return BatchTeamCase(cell, scheduler, seed); });
  Print({cell.name, "share of a batch team beside short floods", weight.other, batch.first,
         batch.second, 0.9, false});
  const auto steady =
      RunBoth([&](Scheduler& scheduler) { return SteadyCase(cell, scheduler, seed); });
  Print({cell.name, "control overhead, % of a core", weight.overhead, steady.first.core_percent,
         steady.second.core_percent, 4.1, true});
}

void PrintLarger(std::uint64_t seed) {
  const Deployment cell = LargerCell();
  const auto steady =
      RunBoth([&](Scheduler& scheduler) { return SteadyCase(cell, scheduler, seed); });
  std::printf("larger: %.0f starts a second, %.0f running at the end\n", steady.first.starts_per_s,
              steady.first.running);
  Print({cell.name, "control overhead, % of a core", 3, steady.first.core_percent,
         steady.second.core_percent, 4.1, true});
  Print({cell.name, "p99 wait of short work, ms", 3, steady.first.p99_wait_ms,
         steady.second.p99_wait_ms, std::max(steady.second.p99_wait_ms, kMinWaitMs), true});
  const auto urgent =
      RunBoth([&](Scheduler& scheduler) { return UrgentCase(cell, scheduler, seed); });
  Print({cell.name, "p99 urgent start, cell full, s", 3, urgent.first / 1000.0,
         urgent.second / 1000.0, 2.3, true});
}

}  // namespace
}  // namespace citronsill::model

int main(int argc, char** argv) {
  using namespace citronsill::model;  // NOLINT(google-build-using-namespace)
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
  std::printf("| %-9s | %-41s | weight | %9s | %10s | %7s | target    | result |\n", "cell",
              "measure", "engine", "baseline", "ratio");
  std::printf("|---|---|---|---|---|---|---|---|\n");
  PrintDeployment(Horseshoe(), {5, 2, 3, 5, 3, 3}, seed);
  PrintDeployment(Shipyard(), {3, 5, 3, 3, 5, 3}, seed);
  PrintLarger(seed);
  return 0;
}
