// Decisions of the engine, one failure case at a time, and the policy targets in simulated time.
#include "citronsill/engine.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

#include "../bench/policy_cases.h"

namespace citronsill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 1;

WorkerSpec MakeWorker(const std::string& id, std::int64_t processors, std::uint32_t slots = 8) {
  return {id, "rack-" + id, "domain-" + id, {processors * 1000, processors * 1000, 0}, slots};
}

JobSpec MakeJob(const std::string& id, SchedulingPolicy policy, std::int64_t processors) {
  JobSpec job;
  job.id = id;
  job.work_class = "class";
  job.team = "team";
  job.policy = policy;
  job.size = {processors * 1000, processors * 1000, 0};
  job.run_time = seconds(1);
  return job;
}

struct Cell {
  std::unique_ptr<Engine> engine = std::move(Engine::Create({}).value());
  SteadyTime now{std::chrono::hours(1)};

  void Add(const std::string& id, std::int64_t processors, std::uint32_t slots = 8) {
    engine->PutWorker(MakeWorker(id, processors, slots), now);
  }
  schema::Code Submit(const JobSpec& job) { return engine->Submit(job, now).code; }
  std::vector<Action> Poll() { return engine->Poll(now); }
  std::vector<Action> Poll(ActionKind kind) {
    auto actions = engine->Poll(now);
    std::erase_if(actions, [kind](const Action& action) { return action.kind != kind; });
    return actions;
  }
  bool End(const TaskKey& task, TaskOutcome outcome) { return engine->OnEnded(task, outcome, now); }
};

std::vector<std::string> JobsOf(const std::vector<Action>& actions) {
  std::vector<std::string> ids;
  ids.reserve(actions.size());
  for (const Action& action : actions) ids.push_back(action.task.request_id);
  return ids;
}

TEST_CASE("engine: a task too large for every worker is refused with the missing resource") {
  Cell cell;
  // As long as no worker is known, a job of this size may fit on a worker that joins later.
  CHECK(cell.Submit(MakeJob("early", SchedulingPolicy::kBatch, 64)) == schema::CODE_OK);
  cell.Add("w", 4);
  const Admission refused =
      cell.engine->Submit(MakeJob("late", SchedulingPolicy::kBatch, 64), cell.now);
  CHECK(refused.code == schema::CODE_NEVER_FITS);
  CHECK(refused.message.find("processors") != std::string::npos);
}

TEST_CASE("engine: a deadline shorter than the run time is refused at once") {
  Cell cell;
  cell.Add("w", 4);
  JobSpec job = MakeJob("job", SchedulingPolicy::kInteractive, 1);
  job.deadline = cell.now + milliseconds(900);
  CHECK(cell.Submit(job) == schema::CODE_DEADLINE_UNREACHABLE);
}

TEST_CASE("engine: a job above the quota waits, and only an impossible one is refused") {
  Cell cell;
  cell.Add("w", 16);
  cell.engine->SetQuota("team", {4000, 0, 0});
  CHECK(cell.Submit(MakeJob("a", SchedulingPolicy::kBatch, 3)) == schema::CODE_OK);
  CHECK(cell.Submit(MakeJob("b", SchedulingPolicy::kBatch, 3)) == schema::CODE_OK);
  CHECK(cell.Submit(MakeJob("c", SchedulingPolicy::kBatch, 5)) == schema::CODE_QUOTA_EXCEEDED);
  CHECK(JobsOf(cell.Poll()) == std::vector<std::string>{"a"});
  cell.End({"a", 0, 0}, TaskOutcome::kSucceeded);
  CHECK(JobsOf(cell.Poll()) == std::vector<std::string>{"b"});
}

TEST_CASE("engine: interactive work goes before batch work that came first") {
  Cell cell;
  cell.Add("w", 1, 1);
  cell.Submit(MakeJob("batch", SchedulingPolicy::kBatch, 1));
  cell.Submit(MakeJob("quick", SchedulingPolicy::kInteractive, 1));
  CHECK(JobsOf(cell.Poll()) == std::vector<std::string>{"quick"});
}

TEST_CASE("engine: a service survives the loss of a failure domain") {
  Cell cell;
  for (const char* id : {"a", "b", "c"}) cell.Add(id, 16);
  JobSpec service = MakeJob("service", SchedulingPolicy::kService, 1);
  service.task_count = 3;
  cell.Submit(service);
  std::set<std::string> workers;
  for (const Action& action : cell.Poll()) workers.insert(action.worker);
  CHECK(workers.size() == 3);
}

TEST_CASE("engine: two gang jobs do not block one another and small jobs are backfilled") {
  Cell cell;
  cell.Add("a", 4, 4);
  cell.Add("b", 4, 4);
  cell.Submit(MakeJob("long", SchedulingPolicy::kBatch, 2));
  cell.Poll();
  for (const char* id : {"gang-1", "gang-2"}) {
    JobSpec gang = MakeJob(id, SchedulingPolicy::kBatch, 2);
    gang.task_count = 4;
    gang.all_at_once = true;
    cell.Submit(gang);
  }
  JobSpec small = MakeJob("small", SchedulingPolicy::kBatch, 1);
  small.run_time = milliseconds(500);
  cell.Submit(small);
  JobSpec slow = MakeJob("slow", SchedulingPolicy::kBatch, 1);
  slow.run_time = seconds(100);
  cell.Submit(slow);
  // The small job ends before the gang can start; the slow one would delay the gang.
  CHECK(JobsOf(cell.Poll()) == std::vector<std::string>{"small"});
  cell.now += milliseconds(500);
  cell.End({"small", 0, 0}, TaskOutcome::kSucceeded);
  cell.now += milliseconds(500);
  cell.End({"long", 0, 0}, TaskOutcome::kSucceeded);
  auto started = cell.Poll(ActionKind::kStart);
  CHECK(JobsOf(started) == std::vector<std::string>(4, "gang-1"));
  cell.now += seconds(1);
  for (const Action& action : started) cell.End(action.task, TaskOutcome::kSucceeded);
  started = cell.Poll(ActionKind::kStart);
  CHECK(std::ranges::count(JobsOf(started), "gang-2") == 4);
}

TEST_CASE("engine: urgent work preempts services last and never a non-idempotent task") {
  Cell cell;
  cell.Add("a", 2, 1);
  cell.Add("b", 2, 1);
  cell.Add("c", 2, 1);
  JobSpec order = MakeJob("order", SchedulingPolicy::kBatch, 2);
  order.idempotent = false;
  cell.Submit(order);
  cell.Poll();
  cell.Submit(MakeJob("service", SchedulingPolicy::kService, 2));
  cell.Poll();
  cell.now += seconds(40);
  cell.Submit(MakeJob("batch", SchedulingPolicy::kInteractive, 2));
  CHECK(cell.Poll(ActionKind::kStart).size() == 1);
  for (const char* id : {"urgent-1", "urgent-2", "urgent-3"}) {
    JobSpec urgent = MakeJob(id, SchedulingPolicy::kInteractive, 2);
    urgent.urgent = true;
    cell.Submit(urgent);
  }
  const auto stopped = cell.Poll(ActionKind::kStop);
  CHECK(JobsOf(stopped) == std::vector<std::string>{"batch", "service"});
  CHECK(cell.End({"batch", 0, 0}, TaskOutcome::kStopped));
  CHECK(JobsOf(cell.Poll(ActionKind::kStart)) == std::vector<std::string>{"urgent-1"});
}

TEST_CASE("engine: a cancellation that races a start ends in one outcome") {
  Cell cell;
  cell.Add("w", 1, 1);
  cell.Submit(MakeJob("job", SchedulingPolicy::kInteractive, 1));
  cell.Submit(MakeJob("next", SchedulingPolicy::kInteractive, 1));
  CHECK(cell.Poll().size() == 1);
  CHECK(cell.engine->Cancel("job", cell.now));
  CHECK(JobsOf(cell.Poll(ActionKind::kStop)) == std::vector<std::string>{"job"});
  // The start failed; a job that was not cancelled would be retried.
  CHECK_FALSE(cell.End({"job", 0, 0}, TaskOutcome::kNotStarted));
  CHECK(JobsOf(cell.Poll(ActionKind::kStart)) == std::vector<std::string>{"next"});
  CHECK_FALSE(cell.engine->Cancel("job", cell.now));
}

TEST_CASE("engine: the resources of a lost task stay reserved until its end is certain") {
  Cell cell;
  cell.Add("w", 1, 1);
  cell.Submit(MakeJob("lost", SchedulingPolicy::kInteractive, 1));
  cell.Poll();
  cell.Submit(MakeJob("next", SchedulingPolicy::kInteractive, 1));
  CHECK_FALSE(cell.End({"lost", 0, 0}, TaskOutcome::kLost));
  CHECK(cell.Poll().empty());
  CHECK_FALSE(cell.End({"lost", 0, 0}, TaskOutcome::kSucceeded));
  CHECK(cell.Poll(ActionKind::kStart).size() == 1);
}

TEST_CASE("engine: a non-idempotent job is started again only when it was not started") {
  Cell cell;
  cell.Add("w", 1, 1);
  JobSpec order = MakeJob("order", SchedulingPolicy::kInteractive, 1);
  order.idempotent = false;
  order.max_attempts = 1;
  cell.Submit(order);
  cell.Poll();
  for (std::uint32_t attempt = 0; attempt < 5; ++attempt) {
    CHECK(cell.End({"order", 0, attempt}, TaskOutcome::kNotStarted));
    cell.now += seconds(2);
    const auto started = cell.Poll(ActionKind::kStart);
    REQUIRE(started.size() == 1);
    // Each retry has a new attempt number, because a worker rejects a number that it has seen.
    CHECK(started[0].task.attempt == attempt + 1);
  }
  CHECK_FALSE(cell.End({"order", 0, 5}, TaskOutcome::kFailed));
  cell.now += seconds(2);
  CHECK(cell.Poll().empty());
}

TEST_CASE("engine: after the loss of a worker only the owner starts a task again") {
  Cell cell;
  cell.Add("w", 2, 2);
  cell.Submit(MakeJob("plain", SchedulingPolicy::kInteractive, 1));
  JobSpec exclusive = MakeJob("exclusive", SchedulingPolicy::kInteractive, 1);
  exclusive.exclusive = true;
  cell.Submit(exclusive);
  cell.Poll();
  CHECK(cell.engine->RemoveWorker("w", cell.now).size() == 2);
  cell.Add("x", 2, 2);
  CHECK(cell.Poll().empty());
  cell.engine->Requeue({"plain", 0, 0}, cell.now);
  cell.engine->Requeue({"exclusive", 0, 0}, cell.now);
  CHECK(JobsOf(cell.Poll()) == std::vector<std::string>{"plain"});
}

TEST_CASE("engine: a worker that fails all tasks gets no more work") {
  Cell cell;
  cell.Add("bad", 8);
  cell.Add("good", 8);
  std::size_t starts_on_bad = 0;
  for (int i = 0; i < 40; ++i) {
    cell.Submit(MakeJob("job-" + std::to_string(i), SchedulingPolicy::kInteractive, 4));
    cell.now += milliseconds(10);
    for (const Action& action : cell.Poll(ActionKind::kStart)) {
      starts_on_bad += action.worker == "bad" ? 1 : 0;
      cell.End(action.task,
               action.worker == "bad" ? TaskOutcome::kFailed : TaskOutcome::kSucceeded);
    }
  }
  // Three different jobs must fail before the quarantine;
  // without it, at least every second job would fail.
  CHECK(starts_on_bad <= 6);
  CHECK(cell.engine->Stats().quarantined <= 1);
}

TEST_CASE("engine: cancelling 10,000 waiting jobs is no more work than listing them") {
  constexpr std::size_t kJobs = 10000;
  const auto time = [](const auto& call) {
    timespec from{};
    timespec to{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &from);
    call();
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &to);
    return static_cast<double>(to.tv_sec - from.tv_sec) +
           static_cast<double>(to.tv_nsec - from.tv_nsec) * 1e-9;
  };
  double ratio = 1e9;
  for (int round = 0; round < 5; ++round) {
    Cell cell;
    cell.Add("w", 1, 1);
    for (std::size_t i = 0; i < kJobs; ++i) {
      // Pads the ids to the length of request ids.
      const std::string number = std::to_string(i);
      JobSpec job =
          MakeJob(std::string(32 - number.size(), '0') + number, SchedulingPolicy::kBatch, 1);
      job.team = "team-" + std::to_string(i % 24);
      REQUIRE(cell.Submit(job) == schema::CODE_OK);
    }
    std::vector<JobSpec> listed;
    const double listing = time([&] { listed = cell.engine->WaitingTasks(kJobs, cell.now); });
    REQUIRE(listed.size() == kJobs);
    const double cancelling = time([&] {
      for (const JobSpec& job : listed) cell.engine->Cancel(job.id, cell.now);
    });
    ratio = std::min(ratio, cancelling / listing);
    CHECK(cell.engine->Stats().waiting_jobs == 0);
    CHECK(cell.Poll().empty());
  }
  CHECK(ratio <= 1.0);
}

using model::Deployment;
using model::EngineScheduler;

void CheckStragglers(const Deployment& cell, double load) {
  EngineScheduler plain;
  EngineScheduler slowed;
  // Waits under 10 ms count as 10 ms, because a round of the dispatcher takes longer.
  const double without = std::max(10.0, model::WaitCase(cell, plain, kSeed, 0.0, load));
  CHECK(model::WaitCase(cell, slowed, kSeed, 0.01, load) <= 1.2 * without);
}

TEST_CASE("engine: stragglers do not hold up short work at the horseshoe") {
  CheckStragglers(model::Horseshoe(), 0.1);
  CheckStragglers(model::Horseshoe(), 0.3);
}

TEST_CASE("engine: stragglers do not hold up short work at the shipyard") {
  CheckStragglers(model::Shipyard(), 0.1);
}

TEST_CASE("engine: stragglers do not hold up bursts of short work at the shipyard") {
  CheckStragglers(model::Shipyard(), 0.3);
}

TEST_CASE("engine: the shipyard mix is packed") {
  EngineScheduler engine;
  CHECK(model::PackingCase(model::Shipyard(), engine, kSeed) >= 0.95);
}

TEST_CASE("engine: an overload neither reduces goodput nor makes accepted requests late") {
  for (const Deployment& cell : {model::Horseshoe(), model::Shipyard()}) {
    for (const double declared_ratio : {1.0, 0.33, 3.0}) {
      EngineScheduler engine;
      const auto figures = model::OverloadCase(
          cell, engine, kSeed, {.retries_when_refused = false, .declared_ratio = declared_ratio});
      CHECK(figures.goodput >= 0.95);
      CHECK(figures.late == 0.0);
      CHECK(figures.recovery_s <= 2.0);
    }
  }
}

TEST_CASE("engine: callers who retry at the given time find capacity") {
  for (const Deployment& cell : {model::Horseshoe(), model::Shipyard()}) {
    for (const double one_team_fraction : {0.0, 0.85}) {
      EngineScheduler engine;
      const auto figures = model::OverloadCase(
          cell, engine, kSeed,
          {.retries_when_refused = true, .one_team_fraction = one_team_fraction});
      CHECK(figures.retry_count > 1000.0);
      CHECK(figures.retries_accepted_fraction >= 0.9);
      // The demand of the other teams is below the capacity.
      if (one_team_fraction > 0.0) CHECK(figures.others_refused_fraction == 0.0);
    }
  }
}

TEST_CASE("engine: urgent work starts within 2.3 s on a full cell") {
  for (const Deployment& cell : {model::Horseshoe(), model::Shipyard()}) {
    EngineScheduler engine;
    CHECK(model::UrgentCase(cell, engine, kSeed) <= 2300.0);
  }
}

TEST_CASE("engine: a backlog of one team leaves the others their shares") {
  EngineScheduler engine;
  CHECK(model::FairnessCase(model::Shipyard(), engine, kSeed) >= 0.9);
}

TEST_CASE("engine: batch work of one team gets its share despite heavy short load of others") {
  EngineScheduler engine;
  CHECK(model::BatchTeamCase(model::Shipyard(), engine, kSeed) >= 0.9);
}

}  // namespace
}  // namespace citronsill
