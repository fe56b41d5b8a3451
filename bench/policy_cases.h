/// Cases of the policy table, in simulated time. The result of a
/// case depends only on the deployment, the scheduler and the seed.
#pragma once

#include <cmath>

#include "policy_model.h"

namespace citronsill::model {

/// A type of task of a deployment.
struct WorkKind {
  std::string work_class;
  SchedulingPolicy policy = SchedulingPolicy::kInteractive;
  Resources size;
  Ms run_time{0};
};

struct Deployment {
  std::string name;
  std::uint32_t workers = 50;
  Resources capacity;
  std::uint32_t slots = 8;
  std::uint32_t per_rack = 6;
  std::uint32_t domains = 4;
  WorkKind quick;               ///< Short interactive work.
  WorkKind long_interactive;    ///< Longer interactive work.
  std::vector<WorkKind> batch;  ///< Batch work.
  Ms quick_deadline{0};         ///< Deadline of quick work, relative to its submission.
};

inline Deployment Horseshoe() {
  Deployment cell;
  cell.name = "horseshoe";
  cell.capacity = {32000, 131072, 0};
  cell.quick = {"quick-quote", SchedulingPolicy::kInteractive, {1000, 512, 0}, Ms(200)};
  cell.long_interactive = {"order", SchedulingPolicy::kInteractive, {1000, 512, 0}, Ms(400)};
  cell.batch = {{"fitting-batch", SchedulingPolicy::kBatch, {4000, 8192, 0}, Ms(20000)},
                {"forge-plan", SchedulingPolicy::kBatch, {8000, 16384, 0}, Ms(60000)},
                {"fitting-batch", SchedulingPolicy::kBatch, {5000, 24576, 0}, Ms(30000)}};
  cell.quick_deadline = Ms(2000);
  return cell;
}

inline Deployment Shipyard() {
  Deployment cell;
  cell.name = "shipyard";
  cell.capacity = {16000, 32768, 0};
  cell.per_rack = 8;
  cell.domains = 3;
  cell.quick = {"cut-list", SchedulingPolicy::kInteractive, {1000, 512, 0}, Ms(300)};
  cell.long_interactive = {
      "lashing-check", SchedulingPolicy::kInteractive, {2000, 2048, 0}, Ms(2000)};
  cell.batch = {{"hull-fairing", SchedulingPolicy::kBatch, {8000, 16384, 0}, Ms(600000)},
                {"hull-fairing", SchedulingPolicy::kBatch, {5000, 9216, 0}, Ms(120000)},
                {"hull-fairing", SchedulingPolicy::kBatch, {3000, 6144, 0}, Ms(60000)}};
  cell.quick_deadline = Ms(3000);
  return cell;
}

/// The size expected in two years: 930 workers, 1,800 accelerators, 3,100 running tasks.
inline Deployment LargerCell() {
  Deployment cell = Horseshoe();
  cell.name = "larger";
  cell.workers = 930;
  cell.capacity.accelerators = 2;
  cell.per_rack = 20;
  cell.domains = 7;
  cell.batch = {{"forge-plan", SchedulingPolicy::kBatch, {8000, 32768, 0}, Ms(200000)},
                {"forge-plan", SchedulingPolicy::kBatch, {12000, 40960, 1}, Ms(250000)}};
  return cell;
}

inline void AddWorkers(const Deployment& cell, Model& model) {
  for (std::uint32_t i = 0; i < cell.workers; ++i) {
    const std::uint32_t rack = i / cell.per_rack;
    WorkerSpec spec{"w" + std::to_string(i), "rack-" + std::to_string(rack),
                    "domain-" + std::to_string(rack % cell.domains), cell.capacity, cell.slots};
    // 1,800 accelerators on 930 workers: 30 have none and the others two.
    if (cell.name == "larger" && i >= 900) spec.capacity.accelerators = 0;
    model.AddWorker(spec);
  }
}

/// Generates arrivals with random gaps and with run times from 0.5 to 1.5 times the mean.
class ArrivalSource {
 public:
  ArrivalSource(Model& model, std::uint64_t seed) : m_model(model), m_random(seed) {}

  double Uniform(double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(m_random);
  }

  Arrival Make(const WorkKind& kind, Ms at) {
    Arrival arrival;
    arrival.at = at;
    arrival.spec.work_class = kind.work_class;
    arrival.spec.team = "team-" + std::to_string(static_cast<int>(Uniform(0, m_teams)));
    arrival.spec.policy = kind.policy;
    arrival.spec.size = kind.size;
    arrival.spec.run_time = kind.run_time;
    const double run_time = static_cast<double>(kind.run_time.count()) * Uniform(0.5, 1.5);
    arrival.run_time = Ms(static_cast<std::int64_t>(run_time));
    return arrival;
  }

  /// Adds Poisson arrivals. `alter` may change each one.
  void AddPoissonArrivals(const WorkKind& kind, double per_second, Ms from, Ms to,
                          const std::function<void(Arrival&)>& alter = {}) {
    double at = static_cast<double>(from.count());
    while (true) {
      at += std::exponential_distribution<double>(per_second)(m_random) * 1000.0;
      if (at >= static_cast<double>(to.count())) return;
      Arrival arrival = Make(kind, Ms(static_cast<std::int64_t>(at)));
      if (alter) alter(arrival);
      m_model.Add(std::move(arrival));
    }
  }

  /// Adds batch work of all kinds at one time, as much as the cell completes in `seconds`.
  void AddBacklog(const Deployment& cell, Ms at, double seconds) {
    const double total =
        static_cast<double>(cell.capacity.processors_milli) * cell.workers * seconds;
    double sum = 0.0;
    while (sum < total) {
      for (const WorkKind& kind : cell.batch) {
        Arrival arrival = Make(kind, at);
        sum += static_cast<double>(kind.size.processors_milli) *
               static_cast<double>(arrival.run_time.count()) / 1000.0;
        m_model.Add(std::move(arrival));
      }
    }
  }

  void SetTeams(int teams) { m_teams = teams; }

 private:
  Model& m_model;
  std::mt19937_64 m_random;
  int m_teams = 6;
};

/// @returns the number of tasks of this kind that the idle cell can run per second.
inline double TasksPerSecond(const Deployment& cell, const WorkKind& kind) {
  const double slots =
      std::min<double>({static_cast<double>(cell.slots),
                        std::floor(static_cast<double>(cell.capacity.processors_milli) /
                                   static_cast<double>(kind.size.processors_milli)),
                        std::floor(static_cast<double>(cell.capacity.memory_mb) /
                                   static_cast<double>(kind.size.memory_mb))});
  return slots * cell.workers * 1000.0 / static_cast<double>(kind.run_time.count());
}

inline double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0.0;
  std::ranges::sort(values);
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::ceil(quantile * last))];
}

/// @returns the waiting times in ms of the jobs that `select`
/// accepts; jobs not started by `end` count as waiting until then.
inline std::vector<double> WaitTimesMs(const Model& model, Ms end,
                                       const std::function<bool(const Record&)>& select) {
  std::vector<double> waits;
  for (const Record& record : model.Records()) {
    if (!record.accepted || !select(record)) continue;
    const Ms start = record.first_start.count() >= 0 ? record.first_start : end;
    waits.push_back(static_cast<double>((start - record.submitted).count()));
  }
  return waits;
}

inline bool IsShort(const Record& record) {
  return record.arrival.spec.policy == SchedulingPolicy::kInteractive &&
         record.arrival.spec.run_time <= Ms(2000) && !record.arrival.spec.urgent;
}

/// Normal load: short work with bursts to twice the rate, and more batch work than fits.
/// @param stragglers fraction of interactive tasks that take 50 times as long.
/// @param load fraction of the cell's slots that quick work takes on average.
/// @returns the p99 wait of short work in ms.
inline double WaitCase(const Deployment& cell, Scheduler& scheduler, std::uint64_t seed,
                       double stragglers, double load = 0.10) {
  Model model(scheduler);
  AddWorkers(cell, model);
  ArrivalSource source(model, seed);
  std::mt19937_64 random(seed + 1);
  const Ms end(120000);
  const auto straggle = [&](Arrival& arrival) {
    if (std::uniform_real_distribution<double>(0, 1)(random) < stragglers) arrival.run_time *= 50;
  };
  source.AddBacklog(cell, Ms(0), 240);
  const double quick_per_second = load * TasksPerSecond(cell, cell.quick);
  const double long_interactive_per_second = 0.05 * TasksPerSecond(cell, cell.long_interactive);
  for (Ms from(0); from < end; from += Ms(20000)) {
    source.AddPoissonArrivals(cell.quick, quick_per_second, from, from + Ms(18000), straggle);
    source.AddPoissonArrivals(cell.quick, 2 * quick_per_second, from + Ms(18000), from + Ms(20000),
                              straggle);
  }
  source.AddPoissonArrivals(cell.long_interactive, long_interactive_per_second, Ms(0), end,
                            straggle);
  model.RunUntil(end);
  // The first 40 s, in which the cell fills up and the first burst occurs, do not count.
  return Quantile(WaitTimesMs(model, end,
                              [](const Record& record) {
                                return IsShort(record) && record.arrival.at >= Ms(40000);
                              }),
                  0.99);
}

/// More batch work than fits, with light short work.
/// @returns the average used fraction of the scarcest resource while work waits.
inline double PackingCase(const Deployment& cell, Scheduler& scheduler, std::uint64_t seed) {
  Model model(scheduler);
  AddWorkers(cell, model);
  ArrivalSource source(model, seed);
  const Ms end(300000);
  source.AddBacklog(cell, Ms(0), 600);
  source.AddPoissonArrivals(cell.quick, 0.01 * TasksPerSecond(cell, cell.quick), Ms(0), end);
  model.RunUntil(end);
  double processors = 0.0;
  double memory = 0.0;
  double count = 0.0;
  for (const Sample& sample : model.Samples()) {
    if (sample.at < Ms(30000) || sample.waiting == 0) continue;
    processors += static_cast<double>(sample.used.processors_milli);
    memory += static_cast<double>(sample.used.memory_mb);
    count += 1.0;
  }
  const double workers = cell.workers;
  return std::max(
      processors / count / workers / static_cast<double>(cell.capacity.processors_milli),
      memory / count / workers / static_cast<double>(cell.capacity.memory_mb));
}

struct OverloadFigures {
  double goodput = 0.0;     ///< Answered in time during the overload / capacity.
  double late = 0.0;        ///< Number of accepted requests not answered in time.
  double recovery_s = 0.0;  ///< Time after the overload until waits are normal, in s.
  double retries_accepted_fraction = 1.0;  ///< Fraction of retries that were accepted.
  double retry_count = 0.0;                ///< Number of retries by refused callers.
  double others_refused_fraction = 0.0;    ///< Fraction of other teams' requests in the overload.
};

struct OverloadOptions {
  bool retries_when_refused = false;  ///< Refused callers retry when told.
  double declared_ratio = 1.0;        ///< Declared run time / actual run time.
  double one_team_fraction = 0.0;     ///< Fraction of the demand in the overload from one team.
  std::optional<Ms> deadline = std::nullopt;
};

/// Demand of half the capacity, then 4 times the capacity from 5 s to 15 s, then half again.
inline OverloadFigures OverloadCase(const Deployment& cell, Scheduler& scheduler,
                                    std::uint64_t seed, const OverloadOptions& options) {
  Model model(scheduler);
  AddWorkers(cell, model);
  ArrivalSource source(model, seed);
  const double capacity = TasksPerSecond(cell, cell.quick);
  const Ms from(5000);
  const Ms to(15000);
  const Ms end(options.retries_when_refused ? 90000 : 45000);
  const auto alter = [&](Arrival& arrival) {
    arrival.deadline = options.deadline.value_or(cell.quick_deadline);
    arrival.retries_when_refused = options.retries_when_refused;
    const auto declared =
        static_cast<double>(arrival.spec.run_time.count()) * options.declared_ratio;
    arrival.spec.run_time = Ms(static_cast<std::int64_t>(declared));
    if (arrival.at >= from && arrival.at < to && source.Uniform(0, 1) < options.one_team_fraction) {
      arrival.spec.team = "flood";
    }
  };
  source.AddPoissonArrivals(cell.quick, 0.5 * capacity, Ms(0), from, alter);
  source.AddPoissonArrivals(cell.quick, 4.0 * capacity, from, to, alter);
  source.AddPoissonArrivals(cell.quick, 0.5 * capacity, to, end, alter);
  model.RunUntil(end);
  OverloadFigures figures;
  std::map<std::int64_t, std::vector<double>> waits;  // By submission time / 250 ms.
  double in_time = 0.0;
  double others = 0.0;
  for (const Record& record : model.Records()) {
    const bool is_other =
        record.arrival.spec.team != "flood" && record.arrival.at >= from && record.arrival.at < to;
    if (is_other) others += 1.0;
    if (!record.accepted && is_other) figures.others_refused_fraction += 1.0;
    if (!record.accepted) continue;
    const Ms last = record.submitted + record.arrival.deadline;
    if (last > end) continue;
    const bool answered = record.ended.count() >= 0 && record.ended <= last;
    if (!answered) figures.late += 1.0;
    if (answered && record.ended >= from && record.ended < to) in_time += 1.0;
    const Ms start = record.first_start.count() >= 0 ? record.first_start : end;
    waits[record.submitted.count() / 250].push_back(
        static_cast<double>((start - record.submitted).count()));
  }
  figures.others_refused_fraction /= std::max(others, 1.0);
  figures.goodput = in_time / (capacity * 10.0);
  const double normal = Quantile(waits[from.count() / 250 - 2], 0.99) + 50.0;
  for (const auto& [bin, values] : waits) {
    if (bin * 250 < to.count() || Quantile(values, 0.99) <= normal) continue;
    figures.recovery_s =
        (static_cast<double>(bin + 1) * 250.0 - static_cast<double>(to.count())) / 1000.0;
  }
  figures.retry_count = static_cast<double>(model.Retries());
  if (model.Retries() > 0) {
    figures.retries_accepted_fraction =
        static_cast<double>(model.RetriesAccepted()) / figures.retry_count;
  }
  return figures;
}

/// Urgent work on a cell that is full of batch work and services.
/// @returns the p99 time to start in ms; jobs not started count as waiting until the end.
inline double UrgentCase(const Deployment& cell, Scheduler& scheduler, std::uint64_t seed) {
  Model model(scheduler);
  AddWorkers(cell, model);
  ArrivalSource source(model, seed);
  const Ms end(60000);
  WorkKind service{"front", SchedulingPolicy::kService, {2000, 2048, 0}, Ms(100000000)};
  for (std::uint32_t i = 0; i < cell.workers; ++i) model.Add(source.Make(service, Ms(0)));
  source.AddBacklog(cell, Ms(1000), 600);
  WorkKind urgent{"urgent", SchedulingPolicy::kInteractive, {4000, 8192, 0}, Ms(5000)};
  const auto set_urgent = [](Arrival& arrival) { arrival.spec.urgent = true; };
  // More than the headroom for short work, so that other tasks have to be preempted.
  source.AddPoissonArrivals(urgent, cell.workers / 12.5, Ms(10000), Ms(50000), set_urgent);
  model.RunUntil(end);
  return Quantile(
      WaitTimesMs(model, end, [](const Record& record) { return record.arrival.spec.urgent; }),
      0.99);
}

/// 24 teams with work waiting all the time, one of them with ten times as much. Half of the teams
/// have tasks that need mostly memory.
/// @returns the smallest average dominant share of a team, relative to an even share.
inline double FairnessCase(const Deployment& cell, Scheduler& scheduler, std::uint64_t seed) {
  constexpr int kTeams = 24;
  Model model(scheduler);
  AddWorkers(cell, model);
  ArrivalSource source(model, seed);
  const Ms end(150000);
  for (int team = 0; team < kTeams; ++team) {
    const bool needs_memory = team % 2 == 1;
    WorkKind kind{"fair", SchedulingPolicy::kBatch, {}, Ms(10000)};
    kind.size.processors_milli = cell.capacity.processors_milli / (needs_memory ? 8 : 4);
    kind.size.memory_mb = cell.capacity.memory_mb / (needs_memory ? 4 : 8);
    // More jobs than a team's share of the slots completes in the whole time.
    const int jobs = team == 0 ? 8000 : 300;
    for (int i = 0; i < jobs; ++i) {
      Arrival arrival = source.Make(kind, Ms(team == 0 ? 0 : 100));
      arrival.spec.team = "team-" + std::to_string(team);
      model.Add(std::move(arrival));
    }
  }
  model.RunUntil(end);
  std::map<std::string, double> share;
  std::map<std::string, double> count;
  for (const Sample& sample : model.Samples()) {
    if (sample.at < Ms(30000)) continue;
    for (const auto& [team, waiting] : sample.waiting_by_team) {
      if (waiting == 0) continue;
      const auto used = sample.used_by_team.find(team);
      const Resources size = used == sample.used_by_team.end() ? Resources{} : used->second;
      const double workers = cell.workers;
      share[team] += std::max(static_cast<double>(size.processors_milli) / workers /
                                  static_cast<double>(cell.capacity.processors_milli),
                              static_cast<double>(size.memory_mb) / workers /
                                  static_cast<double>(cell.capacity.memory_mb));
      count[team] += 1.0;
    }
  }
  double min_share = 1e9;
  for (const auto& [team, sum] : share) min_share = std::min(min_share, sum / count[team] * kTeams);
  return min_share;
}

/// Five teams whose short work alone would fill the cell, and one with batch work only.
/// @returns the dominant share of the batch team, relative to a sixth of the cell.
inline double BatchTeamCase(const Deployment& cell, Scheduler& scheduler, std::uint64_t seed) {
  Model model(scheduler);
  AddWorkers(cell, model);
  ArrivalSource source(model, seed);
  source.SetTeams(5);
  const Ms end(90000);
  source.AddPoissonArrivals(cell.quick, 1.5 * TasksPerSecond(cell, cell.quick), Ms(0), end);
  const auto set_team = [](Arrival& arrival) { arrival.spec.team = "batch"; };
  WorkKind kind = cell.batch.back();
  source.AddPoissonArrivals(kind, 200.0, Ms(0), Ms(20000), set_team);
  model.RunUntil(end);
  double processors = 0.0;
  double memory = 0.0;
  double count = 0.0;
  for (const Sample& sample : model.Samples()) {
    if (sample.at < Ms(30000)) continue;
    count += cell.workers;
    const auto used = sample.used_by_team.find("batch");
    if (used == sample.used_by_team.end()) continue;
    processors += static_cast<double>(used->second.processors_milli);
    memory += static_cast<double>(used->second.memory_mb);
  }
  return 6.0 * std::max(processors / count / static_cast<double>(cell.capacity.processors_milli),
                        memory / count / static_cast<double>(cell.capacity.memory_mb));
}

struct SteadyFigures {
  double starts_per_s = 0.0;
  double running = 0.0;
  double core_percent = 0.0;  ///< Processor time of the scheduler, % of simulated time.
  double p99_wait_ms = 0.0;
};

/// The normal load of a cell, to measure the cost of the decisions.
inline SteadyFigures SteadyCase(const Deployment& cell, Scheduler& scheduler, std::uint64_t seed) {
  Model model(scheduler);
  AddWorkers(cell, model);
  ArrivalSource source(model, seed);
  source.SetTeams(24);
  const bool is_larger = cell.name == "larger";
  const Ms end(is_larger ? 60000 : 120000);
  const int services = is_larger ? 620 : 30;
  WorkKind service{"front", SchedulingPolicy::kService, {2000, 8192, 0}, Ms(100000000)};
  for (int i = 0; i < services; ++i) model.Add(source.Make(service, Ms(0)));
  // In the larger cell, 190 short and 10 other tasks a second make 200 starts a second.
  const double quick_per_second = is_larger ? 190.0 : 0.2 * TasksPerSecond(cell, cell.quick);
  const double batch_per_second = is_larger ? 10.0 : 0.5;
  if (is_larger) {
    for (int i = 0; i < 2100; ++i) model.Add(source.Make(cell.batch[i % 2], Ms(0)));
  }
  source.AddPoissonArrivals(cell.quick, quick_per_second, Ms(0), end);
  source.AddPoissonArrivals(cell.batch.front(), batch_per_second, Ms(0), end);
  model.RunUntil(end);
  SteadyFigures figures;
  figures.starts_per_s =
      static_cast<double>(model.Starts()) * 1000.0 / static_cast<double>(end.count());
  figures.running = static_cast<double>(model.Samples().back().running);
  figures.core_percent = model.SchedulerSeconds() * 100000.0 / static_cast<double>(end.count());
  figures.p99_wait_ms = Quantile(WaitTimesMs(model, end, IsShort), 0.99);
  return figures;
}

}  // namespace citronsill::model
