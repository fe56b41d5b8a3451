// Tests of workers that start again under their id and are cut off soon after.
#include <doctest/doctest.h>

#include <cstdlib>

#include "cell.h"
#include "cell_checks.h"

namespace citronsill::model {
namespace {

using std::chrono::seconds;

constexpr int kInstances = 3;
constexpr int kWorkers = 5;

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* const text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

// Holds calls to a worker back, restarts it, and cuts it off.
void Recut(Cell& cell, const std::string& worker, milliseconds at) {
  Loop& loop = cell.loop;
  WorkerNode& node = cell.nodes[worker];
  const milliseconds held = loop.Delay(0, 240);
  const milliseconds restarted = at + loop.Delay(0, 300);
  const milliseconds cut = restarted + loop.Delay(10, loop.Chance(0.5) ? 300 : 3000);
  loop.After(at, [&node, held] { node.call_delay = node.hold_call_delay = held; });
  loop.After(restarted, [&cell, worker] { cell.RestartUnlisted(worker); });
  loop.After(restarted + loop.Delay(0, 400),
             [&node] { node.call_delay = node.hold_call_delay = milliseconds(0); });
  if (loop.Chance(0.7))
    loop.After(restarted + loop.Delay(0, 1500), [&cell] { cell.ListWorkers(); });
  loop.After(cut, [&node] {
    for (int i = 0; i < kInstances; ++i) node.cut_from.insert(i);
  });
  loop.After(cut + loop.Delay(4000, 14000), [&cell, &node] {
    node.cut_from.clear();
    cell.ListWorkers();
  });
}

void RunSchedule(std::uint64_t seed) {
  Cell cell(seed, kInstances, kWorkers, Resources{8000, 8000, 0});
  Loop& loop = cell.loop;
  cell.max_lease = seconds(10);
  for (auto& [id, node] : cell.nodes) cell.RestartUnlisted(id);
  std::vector<std::string> jobs;
  const auto submit = [&](milliseconds at) {
    jobs.push_back("job" + std::to_string(jobs.size()));
    TaskBehavior behavior;
    behavior.duration = loop.Delay(200, loop.Chance(0.5) ? 1000 : 12000);
    behavior.size.processors_milli = loop.Between(500, 3000);
    const auto tasks = static_cast<std::uint32_t>(loop.Between(1, 4));
    loop.After(at, [&cell, behavior, tasks, id = jobs.back()] {
      cell.Submit(cell.MakeJob(id, tasks, behavior));
    });
  };
  for (int i = 0; i < 10; ++i) submit(loop.Delay(15000, 30000));
  for (std::int64_t faults = loop.Between(1, 3); faults > 0; --faults) {
    const milliseconds at = loop.Delay(16000, 28000);
    for (int i = 0; i < 6; ++i) submit(at + loop.Delay(0, 600));
    for (std::int64_t workers = loop.Between(1, 2); workers > 0; --workers) {
      Recut(cell, "w" + std::to_string(loop.Between(0, kWorkers - 1)), at);
    }
    if (loop.Chance(0.4)) continue;
    const bool is_frozen = loop.Chance(0.3);
    const milliseconds time = loop.Delay(500, 5000);
    loop.After(at + loop.Delay(0, 4000), [&cell, is_frozen, time] {
      Instance* leader = cell.Leader();
      if (leader == nullptr) return;
      if (is_frozen) return leader->Pause(time);
      leader->Kill();
      cell.loop.After(time, [leader] {
        if (!leader->alive) leader->Restart();
      });
    });
  }
  loop.RunFor(seconds(100));
  CheckHistory(cell.history);
  CheckAllEnd(cell, jobs);
}

// Guards against TWICE as on jkanu (issue 46). CITRONSILL_SEED and CITRONSILL_SCHEDULES select
// other schedules.
TEST_CASE("recut: invariants hold when workers are cut off soon after a restart") {
  const std::uint64_t first = FromEnvironment("CITRONSILL_SEED", 1);
  const std::uint64_t count = FromEnvironment("CITRONSILL_SCHEDULES", 200);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    INFO("seed ", seed);
    RunSchedule(seed);
  }
}

// Restarts a worker once or twice while calls to it and their answers are on their way, cuts it
// off, and kills the scheduler within 0.6 s. The list of workers shows the restart late.
void RecutAtTakeover(Cell& cell, const std::string& worker, milliseconds at) {
  Loop& loop = cell.loop;
  WorkerNode& node = cell.nodes[worker];
  const milliseconds held = loop.Delay(0, 240);
  const bool are_answers_lost = loop.Chance(0.5);
  const milliseconds restarted = at + loop.Delay(0, 300);
  const milliseconds cut = restarted + loop.Delay(10, loop.Chance(0.7) ? 300 : 1500);
  loop.After(at, [&node, held, are_answers_lost] {
    node.call_delay = node.hold_call_delay = held;
    if (are_answers_lost) node.answer_delay = node.hold_delay = seconds(5);
    node.listed_born = node.process->Born();
  });
  loop.After(restarted, [&cell, worker] { cell.RestartUnlisted(worker); });
  if (loop.Chance(0.3)) {
    loop.After(restarted + loop.Delay(20, 600), [&cell, worker] { cell.RestartUnlisted(worker); });
  }
  loop.After(restarted + loop.Delay(0, 400),
             [&node] { node.call_delay = node.hold_call_delay = milliseconds(0); });
  loop.After(restarted + loop.Delay(0, 3000), [&cell, &node] {
    node.listed_born.reset();
    cell.ListWorkers();
  });
  loop.After(cut, [&node] {
    for (int i = 0; i < kInstances; ++i) node.cut_from.insert(i);
  });
  loop.After(cut + loop.Delay(2000, 14000), [&cell, &node] {
    node.answer_delay = node.hold_delay = milliseconds(0);
    node.cut_from.clear();
    cell.ListWorkers();
  });
  for (int killed = loop.Chance(0.3) ? 2 : 1; killed > 0; --killed) {
    loop.After(restarted + loop.Delay(0, killed > 1 ? 2500 : 600), [&cell] {
      Instance* leader = cell.Leader();
      if (leader == nullptr) return;
      leader->Kill();
      cell.loop.After(cell.loop.Delay(500, 5000), [leader] {
        if (!leader->alive) leader->Restart();
      });
    });
  }
}

void RunTakeoverSchedule(std::uint64_t seed) {
  Cell cell(seed, kInstances, kWorkers, Resources{8000, 8000, 0});
  Loop& loop = cell.loop;
  cell.max_lease = seconds(10);
  for (auto& [id, node] : cell.nodes) cell.RestartUnlisted(id);
  std::vector<std::string> jobs;
  const auto submit = [&](milliseconds at) {
    jobs.push_back("job" + std::to_string(jobs.size()));
    TaskBehavior behavior;
    behavior.duration = loop.Delay(200, loop.Chance(0.4) ? 1000 : 12000);
    behavior.size.processors_milli = loop.Between(500, 2000);
    const auto tasks = static_cast<std::uint32_t>(loop.Between(1, 4));
    loop.After(at, [&cell, behavior, tasks, id = jobs.back()] {
      cell.Submit(cell.MakeJob(id, tasks, behavior));
    });
  };
  for (int i = 0; i < 6; ++i) submit(loop.Delay(15000, 30000));
  for (std::int64_t faults = loop.Between(1, 2); faults > 0; --faults) {
    const milliseconds at = loop.Delay(16000, 28000);
    for (int i = 0; i < 6; ++i) submit(at + loop.Delay(0, 600));
    RecutAtTakeover(cell, "w" + std::to_string(loop.Between(0, kWorkers - 1)), at);
  }
  loop.RunFor(seconds(100));
  CheckHistory(cell.history);
  CheckAllEnd(cell, jobs);
}

// Guards against TWICE as on jkanu (issue 54).
TEST_CASE("takeover: invariants hold when workers start again and the scheduler is lost") {
  const std::uint64_t first = FromEnvironment("CITRONSILL_SEED", 1);
  const std::uint64_t count = FromEnvironment("CITRONSILL_SCHEDULES", 200);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    INFO("seed ", seed);
    RunTakeoverSchedule(seed);
  }
}

}  // namespace
}  // namespace citronsill::model
