// Workers of uneven speed: what is learnt of them, and where work goes.
#include "cell/worker_speeds.h"

#include <doctest/doctest.h>

#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "cell.h"
#include "cell/planner.h"
#include "cell/speed_ranks.h"
#include "cell_checks.h"

namespace citronsill {
namespace {

using std::chrono::seconds;

// Steps of tasks on random workers, as on a cell under load: the tasks of a step differ by a third,
// one in thirty takes seven times as long, and what is expected of a step is off by up to 90%.
class Load {
 public:
  explicit Load(std::vector<double> speeds) : m_true_speeds(std::move(speeds)) {}

  void RunStep() {
    const double length_ms = 3000 * std::exp(0.5 * m_normal(m_random));
    const double expected_ms = length_ms * std::exp(0.6 * m_normal(m_random));
    StepRuns runs;
    for (int task = 0; task < 20; ++task) {
      const auto slot = static_cast<std::uint32_t>(m_random() % m_true_speeds.size());
      double work_ms = length_ms * std::exp(0.3 * m_normal(m_random));
      if (m_random() % 33 == 0) work_ms *= 7;
      const auto actual = milliseconds(std::llround(work_ms / m_true_speeds[slot]));
      runs.Add({slot, 0}, actual, speeds.SpeedOf({slot, 0}));
    }
    const milliseconds reference = runs.Reference(milliseconds(std::llround(expected_ms)));
    for (const StepRuns::Run& run : runs.Runs()) speeds.Add(run.worker, run.actual, reference);
  }

  WorkerSpeeds speeds;

 private:
  std::vector<double> m_true_speeds;
  std::mt19937 m_random{7};
  std::normal_distribution<double> m_normal;
};

// Guards against work that is placed as if all workers were alike where one in four is at half
// speed, or at double speed.
TEST_CASE("worker speeds: uneven workers are found among stragglers and wrong declarations") {
  double other = 0.0;
  SUBCASE("half speed") { other = 0.46; }
  SUBCASE("double speed") { other = 2.18; }
  std::vector<double> truth(80, 1.0);
  for (std::size_t slot = 0; slot < truth.size(); slot += 4) truth[slot] = other;
  Load load(truth);
  // Ten seconds of work: twelve runs on each worker.
  for (int step = 0; step < 48; ++step) load.RunStep();
  std::size_t found = 0;
  std::size_t mistaken = 0;
  for (std::uint32_t slot = 0; slot < truth.size(); ++slot) {
    const double speed = load.speeds.SpeedOf({slot, 0});
    if (truth[slot] == 1.0) {
      if (speed != 1.0) ++mistaken;
    } else if (std::abs(std::log(speed / other)) < std::log(1.4)) {
      ++found;
    }
  }
  CHECK(found >= 18);
  CHECK(mistaken <= 3);
}

// Guards against placements that change where there is no cause.
TEST_CASE("worker speeds: even workers all have the usual speed") {
  Load load(std::vector<double>(80, 1.0));
  std::size_t unusual = 0;
  for (int step = 0; step < 200; ++step) {
    load.RunStep();
    unusual += load.speeds.SlowWorkers() + load.speeds.FastWorkers();
  }
  // One in a hundred on the mean over the time.
  CHECK(unusual <= 80 * 200 / 100);
}

TEST_CASE("worker speeds: too few runs tell nothing, and an incarnation is judged by itself") {
  WorkerSpeeds speeds;
  for (std::uint32_t slot = 1; slot < 4; ++slot) {
    for (int run = 0; run < 20; ++run) speeds.Add({slot, 0}, seconds(1), seconds(1));
  }
  for (int run = 0; run < 4; ++run) speeds.Add({0, 0}, seconds(3), seconds(1));
  CHECK(speeds.SpeedOf({0, 0}) == 1.0);
  for (int run = 0; run < 8; ++run) speeds.Add({0, 0}, seconds(3), seconds(1));
  CHECK(speeds.SpeedOf({0, 0}) == doctest::Approx(1.0 / 3).epsilon(0.05));
  CHECK(speeds.SlowWorkers() == 1);
  CHECK(speeds.SpeedOf({0, 1}) == 1.0);
  speeds.Add({0, 1}, seconds(1), seconds(1));
  CHECK(speeds.SpeedOf({0, 1}) == 1.0);
  CHECK(speeds.SlowWorkers() == 0);
  // A late end on the earlier incarnation says nothing about the current one.
  for (int run = 0; run < 12; ++run) speeds.Add({0, 0}, seconds(3), seconds(1));
  CHECK(speeds.SpeedOf({0, 1}) == 1.0);
  speeds.ForgetUnless([](std::uint32_t slot) { return slot < 2; });
  CHECK(speeds.SpeedOf({3, 0}) == 1.0);
}

// Guards against a worker that stays slow, or usual, for good after its speed has changed.
TEST_CASE("worker speeds: a worker that changes its speed is found out") {
  WorkerSpeeds speeds;
  const auto run = [&](int count, seconds first) {
    for (int i = 0; i < count; ++i) {
      speeds.Add({0, 0}, first, seconds(1));
      for (std::uint32_t slot = 1; slot < 4; ++slot) speeds.Add({slot, 0}, seconds(1), seconds(1));
    }
  };
  run(20, seconds(3));
  CHECK(speeds.SpeedOf({0, 0}) < 0.5);
  run(20, seconds(1));
  CHECK(speeds.SpeedOf({0, 0}) == 1.0);
}

// Guards against urgent work on workers where it would miss its objective, and against a change of
// order where it would not.
TEST_CASE("speed ranks: single tasks go where the job ends in time, else to the fastest") {
  const std::vector<SpeedFit> workers = {{0.5, 1}, {1.0, 1}, {2.0, 1}, {0.25, 1}};
  SpeedNeed need;
  need.duration = seconds(2);
  need.slack = seconds(2);
  auto ranks = RankSpeeds(workers, need);
  REQUIRE(ranks.size() == 4);
  CHECK((ranks[0] == ranks[1] && ranks[1] == ranks[2]));
  CHECK(ranks[3] > ranks[0]);
  need.slack = seconds(0);
  ranks = RankSpeeds(workers, need);
  CHECK((ranks[1] == ranks[2] && ranks[1] < ranks[0] && ranks[0] < ranks[3]));
  need.slack.reset();
  CHECK(RankSpeeds(workers, need).empty());
  CHECK(RankSpeeds({{1.0, 3}, {1.0, 1}}, need).empty());
}

// A gang ends when its slowest member does. Guards against gangs on mixed workers, whose fast
// members wait, and against fast workers that are taken for a gang that is slow anyway.
TEST_CASE("speed ranks: a gang goes to workers of one speed") {
  const std::vector<SpeedFit> workers = {{0.5, 4}, {1.0, 4}, {0.5, 4}, {1.0, 4}};
  SpeedNeed need;
  need.duration = seconds(3);
  SUBCASE("to the fast ones, if it fits there") {
    need.gang_members = 8;
    const auto ranks = RankSpeeds(workers, need);
    CHECK((ranks[1] == ranks[3] && ranks[1] < ranks[0] && ranks[0] == ranks[2]));
  }
  SUBCASE("to the slow ones first, if some members have to go there") {
    need.gang_members = 9;
    const auto ranks = RankSpeeds(workers, need);
    CHECK((ranks[0] == ranks[2] && ranks[0] < ranks[1]));
  }
}

TEST_CASE("planner: a gang takes the workers of one speed, an urgent task one that is in time") {
  std::vector<PlanWorker> workers(4);
  for (std::size_t i = 0; i < workers.size(); ++i) {
    workers[i].free = workers[i].capacity = {16000, 100000, 0};
    workers[i].rack = 1;
    workers[i].takes_work = true;
    workers[i].speed = i < 2 ? 0.5 : 1.0;
  }
  // The tightest worker would be taken otherwise.
  workers[0].free.processors_milli = 9000;
  const SteadyTime now{seconds(1000)};
  PlanUnit unit;
  unit.priority = 1;
  unit.arrived = now;
  unit.critical_path = unit.duration = seconds(3);
  unit.objective = now + seconds(4);
  unit.late_limit = now + seconds(12);
  unit.size = {8000, 100, 0};
  unit.count = 1;
  unit.fits.assign(workers.size(), Fit::kReady);
  SUBCASE("urgent") {
    const Plan plan = MakePlan({now, {}}, {unit}, &workers);
    REQUIRE(plan.placements.size() == 1);
    CHECK(plan.placements[0].worker >= 2);
  }
  SUBCASE("with time to spare") {
    unit.objective = now + seconds(60);
    const Plan plan = MakePlan({now, {}}, {unit}, &workers);
    REQUIRE(plan.placements.size() == 1);
    CHECK(plan.placements[0].worker == 0);
  }
  SUBCASE("gang") {
    unit.gang = true;
    unit.count = 4;
    const Plan plan = MakePlan({now, {}}, {unit}, &workers);
    REQUIRE(plan.placements.size() == 4);
    for (const Placement& placement : plan.placements) CHECK(placement.worker >= 2);
  }
}

}  // namespace
}  // namespace citronsill

namespace citronsill::model {
namespace {

using std::chrono::seconds;

constexpr Resources kCapacity{8000, 8000, 0};

// What the scheduler sees of a cell in which one worker in three is at half speed.
TEST_CASE("worker speeds: the scheduler learns them from the ends of runs") {
  Cell cell(3, 1, 6, kCapacity);
  for (const char* id : {"w0", "w3"}) cell.nodes[id].process->speed = 0.5;
  std::vector<std::string> jobs;
  for (int i = 0; i < 12; ++i) {
    jobs.push_back("job" + std::to_string(i));
    cell.loop.After(seconds(1 + i), [&cell, id = jobs.back(), i] {
      TaskBehavior behavior;
      behavior.duration = milliseconds(600 + 150 * (i % 4));
      schema::JobSpec spec = cell.MakeJob(id, 24, behavior);
      spec.mutable_steps(0)->set_estimate_ms(i % 2 == 0 ? 300 : 2000);
      cell.Submit(spec);
    });
  }
  cell.loop.RunFor(seconds(25));
  CheckHistory(cell.history);
  CheckAllEnd(cell, jobs);
  CHECK(cell.Leader()->scheduler->Speeds().SlowWorkers() == 2);
  CHECK(cell.Leader()->scheduler->Speeds().FastWorkers() == 0);
}

// Guards against work thrown away (notes on bagmati, scale-1): members that had done their own work
// waited at 100 percent for a slow one, counted as stalled after 4.5 s, and the gang was stopped.
TEST_CASE("stall: a gang whose fast members wait for a slow one runs once") {
  Cell cell(1, 1, 4, kCapacity);
  for (const char* id : {"w2", "w3"}) cell.nodes[id].process->speed = 1.0 / 7;
  TaskBehavior behavior;
  behavior.gang = true;
  behavior.members = 3;
  behavior.duration = seconds(3);
  behavior.gang_duration = seconds(21);
  behavior.size = {8000, 1000, 0};
  cell.loop.After(seconds(1), [&] { cell.Submit(cell.MakeJob("gang", 3, behavior)); });
  cell.loop.RunFor(seconds(24));
  CheckHistory(cell.history);
  CheckAllEnd(cell, {"gang"});
  CHECK(cell.history.starts == 3);
}

// Several runs that stand still at once tell a stalled worker sooner than a single one does.
TEST_CASE("stall: runs that stand still together are soon run elsewhere") {
  Cell cell(1, 1, 2, kCapacity);
  TaskBehavior behavior;
  behavior.duration = seconds(2);
  cell.nodes["w0"].process->hangs = true;
  cell.nodes["w1"].process->hangs = true;
  cell.loop.After(milliseconds(1000), [&] { cell.Submit(cell.MakeJob("job", 3, behavior)); });
  cell.loop.After(milliseconds(2000), [&] {
    for (const char* id : {"w0", "w1"}) {
      const auto& process = cell.nodes[id].process;
      process->hangs = process->Free().processors_milli < 8000;
    }
  });
  // 3.1 s without progress, a check, a stop, and the run elsewhere.
  cell.loop.RunFor(milliseconds(1000 + 3100 + 250 + 500 + 2000 + 500));
  CheckHistory(cell.history);
  CheckAllEnd(cell, {"job"});
  CHECK(cell.history.starts == 6);
}

}  // namespace
}  // namespace citronsill::model
