// Limits of customers under schedules of faults in model time: what workers really run counts.
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

#include "cell.h"
#include "cell_checks.h"

namespace citronsill::model {
namespace {

using std::chrono::seconds;

constexpr int kCustomers = 3;
constexpr std::int64_t kTaskMilli = 1000;

CustomerDirectoryPtr MakeCustomers(std::int64_t limit_milli) {
  std::vector<CustomerDirectory::Entry> entries;
  entries.reserve(kCustomers);
  for (int i = 0; i < kCustomers; ++i) {
    entries.push_back({{"c" + std::to_string(i), 5.0, {limit_milli, 0, 0}}, {}});
  }
  return CustomerDirectory::Create(std::move(entries));
}

// Checks at each start what the workers run for its customer, the first letters of the job's id.
struct LimitCheck {
  explicit LimitCheck(Cell& checked) : cell(checked) {
    cell.history.on_phase = [this](const TaskRef& task, TaskPhase phase) {
      if (phase != TaskPhase::kRunning) return;
      const std::string customer = task.job.substr(0, 2);
      const auto runs =
          std::count_if(cell.history.running.begin(), cell.history.running.end(),
                        [&](const auto& entry) { return entry.first.job.starts_with(customer); });
      most_milli = std::max(most_milli, runs * kTaskMilli);
      if (runs * kTaskMilli > allowed_milli) ++violations;
    };
  }
  Cell& cell;
  std::int64_t allowed_milli = 0;
  std::int64_t most_milli = 0;
  int violations = 0;
};

void SubmitJobs(Cell* cell, int count, milliseconds interval) {
  for (int i = 0; i < count; ++i) {
    TaskBehavior behavior;
    behavior.duration = cell->loop.Delay(200, 3000);
    behavior.size = {kTaskMilli, 100, 0};
    behavior.gang = i % 4 == 0;
    const std::string customer = "c" + std::to_string(i % kCustomers);
    cell->loop.After(seconds(1) + interval * i, [cell, behavior, i, customer] {
      schema::JobSpec spec = cell->MakeJob(customer + "-job" + std::to_string(i), 4, behavior);
      spec.set_customer(customer);
      cell->Submit(spec);
    });
  }
}

// Failures: lost answers, starts that are executed seconds later, workers that are cut off and run
// on, that die and are born again, schedulers that are killed or frozen. Guards against a limit
// that counts only what this scheduler started, or only what is known to run.
TEST_CASE("customers: nobody runs more than its limit under faults") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    Cell cell(seed, 3, 6, Resources{8000, 8000, 0});
    cell.SetCustomers(MakeCustomers(9000));
    LimitCheck check(cell);
    check.allowed_milli = 9000;
    cell.network.lost = 0.03;
    cell.network.late = 0.02;
    SubmitJobs(&cell, 60, milliseconds(150));
    cell.loop.After(seconds(4), [&] { cell.nodes["w1"].cut_from = {0, 1, 2}; });
    cell.loop.After(seconds(6), [&] {
      if (Instance* leader = cell.Leader(); leader != nullptr) leader->Kill();
    });
    cell.loop.After(seconds(9), [&] { cell.RestartWorker("w2"); });
    cell.loop.After(seconds(11), [&] {
      if (Instance* leader = cell.Leader(); leader != nullptr) leader->Pause(seconds(4));
    });
    cell.loop.After(seconds(16), [&] { cell.nodes["w1"].cut_from.clear(); });
    cell.loop.RunFor(seconds(40));
    CHECK(check.violations == 0);
    CHECK(check.most_milli >= 7000);
  }
}

// Guards against a successor that starts work above a limit which was lowered while there was no
// scheduler, and against work that is stopped for it.
TEST_CASE("customers: a limit that is lowered during a takeover stops nothing") {
  Cell cell(3, 3, 6, Resources{8000, 8000, 0});
  cell.SetCustomers(MakeCustomers(14000));
  LimitCheck check(cell);
  check.allowed_milli = 14000;
  SubmitJobs(&cell, 60, milliseconds(50));
  cell.loop.After(seconds(5), [&] {
    if (Instance* leader = cell.Leader(); leader != nullptr) leader->Kill();
    cell.SetCustomers(MakeCustomers(4000));
    check.allowed_milli = 4000;
  });
  cell.loop.After(seconds(40), [&] {
    cell.SetCustomers(MakeCustomers(0));
    check.allowed_milli = INT64_MAX;
  });
  cell.loop.RunFor(seconds(70));
  CheckHistory(cell.history);
  CHECK(check.violations == 0);
  std::vector<std::string> jobs;
  jobs.reserve(60);
  for (int i = 0; i < 60; ++i) {
    jobs.push_back("c" + std::to_string(i % kCustomers) + "-job" + std::to_string(i));
  }
  CheckAllEnd(cell, jobs);
  CHECK(std::none_of(cell.history.ends.begin(), cell.history.ends.end(),
                     [](const auto& end) { return end.second == RunEnd::kStopped; }));
}

}  // namespace
}  // namespace citronsill::model
