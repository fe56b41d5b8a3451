// The scheduler of a shard by itself: what it asks and stores, and how its successor restores it.
#include "cell/scheduler.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "cell/limits.h"

namespace citronsill {
namespace {

constexpr int kWorkers = 40;

struct AdviceRequest {
  TaskRef step;
  std::vector<std::string> workers;
};

// A scheduler with attached workers; open advice requests are in `open_requests`.
struct Fixture {
  explicit Fixture(std::uint64_t term) {
    SchedulerOptions options;
    options.shard = "s0";
    options.term = term;
    options.lease = milliseconds(5000);
    options.gang_time = milliseconds(3000);
    SchedulerHooks hooks;
    hooks.now = [this] { return now; };
    hooks.wall = [this] { return WallTime(now.time_since_epoch()); };
    hooks.may_lead = [] { return true; };
    hooks.start_time_left = [this] { return start_time_left; };
    hooks.start = [this](const Worker& worker, const StartOrder& order, std::uint64_t id) {
      ++starts;
      last_start = order;
      last_start_id = id;
      last_start_worker = worker.description.id;
    };
    hooks.stop = [](const Worker&, const TaskRef&, std::uint64_t, std::uint64_t) {};
    hooks.hold = [this](const Worker& worker, const HoldOrder&, std::uint64_t id) {
      last_hold = id;
      worker_holds[worker.description.id].push_back(id);
      if (worker.attached) return;
      holds.push_back(id);
      first_holds.push_back({id, worker.description.id, now});
    };
    hooks.request_advice = [this](const TaskRef& step, std::vector<std::string> workers,
                                  AdviceRequestKind) {
      open_requests.push_back({step, std::move(workers)});
    };
    hooks.advice_capacity = [] { return AdviceCapacity{8, 8, 8}; };
    hooks.has_writes = [] {};
    hooks.plan_soon = [] {};
    hooks.on_superseded = [] {};
    scheduler = std::make_unique<Scheduler>(options, std::move(hooks));
  }

  void AddWorkers(std::int64_t born_unix_ms = 1000) {
    for (int i = 0; i < kWorkers; ++i) {
      WorkerDescription worker;
      worker.id = "w" + std::to_string(i);
      worker.service = "pool";
      worker.address = worker.id;
      worker.capacity = {8000, 8000, 0};
      worker.born_unix_ms = born_unix_ms;
      scheduler->Workers().Put(worker);
    }
    // Each answer lets the scheduler attach further workers.
    while (!holds.empty()) {
      const std::uint64_t id = holds.front();
      holds.erase(holds.begin());
      HoldAnswer answer;
      answer.born_unix_ms = born_unix_ms;
      scheduler->Workers().OnHold(id, answer);
    }
  }

  // Answers the oldest advice request: every fourth worker is allowed.
  void AnswerRequest() {
    const AdviceRequest request = open_requests.front();
    open_requests.erase(open_requests.begin());
    AdviceAnswer answer;
    answer.valid = milliseconds(2000);
    for (const std::string& worker : request.workers) {
      if (IsAllowed(worker)) answer.tickets.push_back({worker, "ticket"});
    }
    scheduler->OnAdvice(request.step, request.workers, answer);
  }

  static bool IsAllowed(const std::string& worker) { return std::stoi(worker.substr(1)) % 4 == 0; }

  // Takes and confirms all writes. Returns the rows by table.
  std::map<std::string, std::string> Store() {
    std::map<std::string, std::string> rows;
    const WriteBatch batch = scheduler->TakeBatch(97, 600000);
    for (const Row& row : batch.writes) rows[row.key.table] = row.value;
    scheduler->OnStored(batch.position);
    return rows;
  }

  SteadyTime now{std::chrono::hours(1)};
  struct FirstHold {
    std::uint64_t id;
    std::string worker;
    SteadyTime sent;
  };
  std::uint64_t last_hold = 0;  // The hold that was sent last, to any worker.
  std::map<std::string, std::vector<std::uint64_t>> worker_holds;  // All holds, by worker.
  std::vector<std::uint64_t> holds;    // Unanswered first holds of workers.
  std::vector<FirstHold> first_holds;  // The same, for tests that answer only some of them.
  std::vector<AdviceRequest> open_requests;
  milliseconds start_time_left{3000};
  int starts = 0;
  StartOrder last_start;
  std::uint64_t last_start_id = 0;
  std::string last_start_worker;
  std::unique_ptr<Scheduler> scheduler;
};

// A gang of one task more than its allowed workers can hold.
schema::JobSpec MakeGangJob() {
  schema::JobSpec job;
  job.set_id("00000000000000aa");
  job.mutable_queue()->set_name("long");
  job.mutable_queue()->set_service("pool");
  job.mutable_queue()->set_priority(1);
  job.mutable_queue()->set_max_attempts(3);
  job.mutable_queue()->set_stretch(2.0);
  job.mutable_queue()->mutable_advice()->set_decide_us(400000);
  job.mutable_queue()->mutable_advice()->set_each_us(6000);
  schema::StepSpec* step = job.add_steps();
  step->set_task_count(11);
  step->set_gang(true);
  step->mutable_size()->set_processors_milli(8000);
  step->mutable_size()->set_memory_mb(100);
  step->set_estimate_ms(1000);
  return job;
}

// The rows that a scheduler stored for a gang whose advice requests were answered.
struct StoredGang {
  // @param tasks number of members; 10 fit on the allowed workers.
  explicit StoredGang(std::uint32_t tasks) {
    Fixture first(1);
    first.AddWorkers();
    schema::JobSpec spec = MakeGangJob();
    spec.mutable_steps(0)->set_task_count(tasks);
    first.scheduler->Submit(spec, milliseconds(0), [](const auto&) {});
    std::map<std::string, std::string> rows = first.Store();
    first.scheduler->Plan();
    while (!first.open_requests.empty()) {
      named_workers += first.open_requests.front().workers.size();
      first.AnswerRequest();
      if (tasks > 10) first.scheduler->Plan();
    }
    rows.merge(first.Store());
    REQUIRE(job.ParseFromString(rows.at(kJobTable)));
    REQUIRE(progress.ParseFromString(rows.at(kProgressTable)));
  }

  // Restores the job in the next scheduler and plans.
  // @returns the advice requests that it sends.
  [[nodiscard]] std::vector<AdviceRequest> AskInNextTerm(std::int64_t born_unix_ms = 1000) const {
    Fixture second(2);
    second.scheduler->Restore({{{job, progress, {}}}, {}, {}}, second.now);
    second.AddWorkers(born_unix_ms);
    second.scheduler->Plan();
    return second.open_requests;
  }

  schema::JobRow job;
  schema::ProgressRow progress;
  std::size_t named_workers = 0;
};

// Guards against TWICE: tasks had just been assigned when the row with their assignments was lost,
// and after a refusal the job was stored as if nothing had been started.
TEST_CASE("scheduler: that runs may be unknown is stored again after a refusal") {
  Fixture second(2);
  StoredJob lost;
  lost.completeness = Completeness::kRunsUnknown;
  *lost.job.mutable_spec() = MakeGangJob();
  lost.job.mutable_spec()->mutable_steps(0)->set_gang(false);
  lost.job.mutable_spec()->set_occurrences(2);
  lost.job.mutable_spec()->set_interval_ms(1000);
  lost.progress.emplace().set_state(schema::JOB_STATE_QUEUED);
  lost.progress->set_occurrences_begun(1);
  lost.progress->add_live_occurrences(0);
  lost.places.has_job_row = lost.places.has_progress_row = true;
  StoredShard shard;
  shard.jobs = {lost};
  second.scheduler->Restore(shard, second.now + milliseconds(20000));
  schema::JobSpec other = MakeGangJob();
  other.set_id("00000000000000bb");
  second.scheduler->Submit(other, milliseconds(0), [](const auto&) {});
  second.scheduler->Tick();  // The next occurrence begins.
  const WriteBatch refused = second.scheduler->TakeBatch(97, 600000);
  CHECK(refused.writes.size() == 2);
  second.scheduler->OnRefused(refused.position);
  bool is_unknown = false;
  for (int batch = 0; batch < 2; ++batch) {
    const WriteBatch retried = second.scheduler->TakeBatch(97, 600000);
    for (const Row& row : retried.writes) {
      if (row.key.table != kProgressTable) continue;
      schema::ProgressRow progress;
      REQUIRE(progress.ParseFromString(row.value));
      is_unknown |= row.key.key == lost.job.spec().id() && progress.runs_unknown();
    }
    second.scheduler->OnStored(retried.position);
  }
  CHECK(is_unknown);
}

// A scheduler dies while gangs wait for room. Guards against a successor whose request slots are
// occupied for seconds by advice requests that were answered before (hobu-sched-grown, scale-2).
TEST_CASE("scheduler: the next scheduler does not repeat answered advice requests") {
  const StoredGang stored_gang(11);
  CHECK(stored_gang.named_workers == kWorkers);
  CHECK(stored_gang.AskInNextTerm().empty());
}

// Guards against a gang that could start at once after a change of the scheduler, but asks about
// workers that are not allowed to run it.
TEST_CASE("scheduler: the next scheduler asks for tickets only where the step is allowed") {
  const std::vector<AdviceRequest> open_requests = StoredGang(10).AskInNextTerm();
  REQUIRE(open_requests.size() == 1);
  CHECK(open_requests[0].workers.size() == 10);
  CHECK(std::all_of(open_requests[0].workers.begin(), open_requests[0].workers.end(),
                    Fixture::IsAllowed));
}

// Guards against the use of answers about an earlier incarnation of a worker, which may have been
// of another kind.
TEST_CASE("scheduler: the next scheduler asks about new incarnations of workers again") {
  constexpr std::int64_t kBornLater = 2000;
  CHECK_FALSE(StoredGang(11).AskInNextTerm(kBornLater).empty());
}

// Guards against the violation LOST for many tasks: a new scheduler with little processor time
// called hundreds of workers at once, gave up the calls before it could handle their answers, and
// attached none of them.
TEST_CASE("scheduler: workers are attached a few at a time, and all of them") {
  Fixture fixture(1);
  constexpr int kMany = 350;
  for (int i = 0; i < kMany; ++i) {
    WorkerDescription worker;
    worker.id = "w" + std::to_string(i);
    worker.service = "pool";
    worker.address = worker.id;
    worker.capacity = {8000, 8000, 0};
    worker.born_unix_ms = 1000;
    fixture.scheduler->Workers().Put(worker);
  }
  std::size_t max_open_holds = 0;
  while (!fixture.holds.empty()) {
    max_open_holds = std::max(max_open_holds, fixture.holds.size());
    const std::uint64_t id = fixture.holds.front();
    fixture.holds.erase(fixture.holds.begin());
    HoldAnswer answer;
    answer.born_unix_ms = 1000;
    fixture.scheduler->Workers().OnHold(id, answer);
  }
  CHECK(max_open_holds <= kMaxConcurrentAttaches);
  const auto& workers = fixture.scheduler->Workers().Workers();
  CHECK(std::all_of(workers.begin(), workers.end(),
                    [](const auto& entry) { return entry.second->attached; }));
}

// Guards against the violation LOST: steps that cannot run anywhere used up the limit of every
// planning pass, and one that could run was never reached.
TEST_CASE("scheduler: a step behind a thousand that cannot run is reached") {
  Fixture fixture(1);
  fixture.AddWorkers();
  const auto submit = [&](const std::string& id, std::uint32_t priority, const char* label) {
    schema::JobSpec job;
    job.set_id(id);
    job.mutable_queue()->set_name(id);
    job.mutable_queue()->set_service("pool");
    job.mutable_queue()->set_priority(priority);
    job.mutable_queue()->set_max_attempts(3);
    job.mutable_queue()->set_stretch(2.0);
    schema::StepSpec* step = job.add_steps();
    step->set_task_count(1);
    step->mutable_size()->set_processors_milli(1000);
    step->mutable_size()->set_memory_mb(100);
    step->set_estimate_ms(1000);
    step->set_required_label(label);
    fixture.scheduler->Submit(job, milliseconds(0), [](const auto&) {});
  };
  for (int i = 0; i < 1000; ++i) submit("bound" + std::to_string(i), 0, "none-has-it");
  submit("free", 2, "");
  std::size_t passes = 0;
  while (fixture.scheduler->Workers().OrderCount() == 0 && passes < 20) {
    fixture.now += milliseconds(50);
    fixture.scheduler->Plan();
    ++passes;
  }
  CHECK(fixture.scheduler->Workers().OrderCount() == 1);
}

// Guards against the violation LOST: some workers were silent during a takeover, and the healthy
// workers after them were never attached.
TEST_CASE("scheduler: silent workers do not keep healthy ones from being attached") {
  Fixture fixture(1);
  constexpr int kMany = 350;
  const auto is_silent = [](const std::string& id) { return std::stoi(id.substr(1)) % 3 == 0; };
  for (int i = 0; i < kMany; ++i) {
    WorkerDescription worker;
    worker.id = "w" + std::to_string(i);
    worker.service = "pool";
    worker.address = worker.id;
    worker.capacity = {8000, 8000, 0};
    worker.born_unix_ms = 1000;
    fixture.scheduler->Workers().Put(worker);
  }
  // Healthy workers answer within 50 ms; calls to the others time out after 250 ms.
  for (int tick = 0; tick < 60; ++tick) {
    fixture.now += milliseconds(50);
    for (const auto& hold : std::exchange(fixture.first_holds, {})) {
      if (is_silent(hold.worker) && fixture.now < hold.sent + milliseconds(250)) {
        fixture.first_holds.push_back(hold);
        continue;
      }
      HoldAnswer answer;
      answer.born_unix_ms = 1000;
      const Result<HoldAnswer> silence = Error{schema::CODE_WORKER_UNREACHABLE, "timed out"};
      fixture.scheduler->Workers().OnHold(hold.id, is_silent(hold.worker) ? silence : answer);
    }
    fixture.scheduler->Tick();
  }
  const auto& workers = fixture.scheduler->Workers().Workers();
  CHECK(std::all_of(workers.begin(), workers.end(), [&](const auto& entry) {
    return entry.second->attached || is_silent(entry.first);
  }));
}

// Guards against DRAIN on the large site, and against a process that was paused between the
// decision and the start: a task starts only on the ground of a list of workers that is current
// when it starts.
TEST_CASE("scheduler: nothing is planned or started while the list of workers is too old") {
  Fixture fixture(1);
  fixture.AddWorkers();
  for (const auto& [id, worker] : fixture.scheduler->Workers().Workers()) {
    HoldAnswer answer;
    answer.born_unix_ms = 1000;
    answer.clock = WorkerTime{milliseconds(1000)};
    worker->clock = answer.clock;
    worker->clock_at = fixture.now;
  }
  schema::JobSpec spec = MakeGangJob();
  spec.mutable_queue()->clear_advice();
  spec.mutable_steps(0)->set_gang(false);
  fixture.scheduler->Submit(spec, milliseconds(0), [](const auto&) {});
  fixture.Store();
  fixture.start_time_left = milliseconds(0);
  fixture.scheduler->Plan();
  CHECK(fixture.scheduler->Workers().OrderCount() == 0);
  fixture.start_time_left = milliseconds(3000);
  fixture.scheduler->Plan();
  REQUIRE(fixture.scheduler->Workers().OrderCount() == 11);
  // The process is paused while the assignments are stored.
  fixture.start_time_left = milliseconds(0);
  fixture.Store();
  CHECK(fixture.starts == 0);
  CHECK(fixture.scheduler->Workers().OrderCount() == 0);
  fixture.start_time_left = milliseconds(3000);
  fixture.scheduler->Plan();
  fixture.Store();
  CHECK(fixture.starts == 11);
  CHECK(fixture.last_start.lease_until == WorkerTime{milliseconds(1000)} + kStartWindow);
}

// Guards against DRAIN on the sweep of the large site at 300 machines: a weak scheduler sent starts
// on the ground of a list that was 3.5 s old, and they arrived 1.5 s later.
TEST_CASE("scheduler: a worker rejects a start that arrives when the list it rests on is too old") {
  Fixture fixture(1);
  fixture.AddWorkers();
  for (const auto& [id, worker] : fixture.scheduler->Workers().Workers()) {
    worker->clock = WorkerTime{milliseconds(1000)};
    worker->clock_at = fixture.now;
  }
  schema::JobSpec spec = MakeGangJob();
  spec.mutable_queue()->clear_advice();
  fixture.scheduler->Submit(spec, milliseconds(0), [](const auto&) {});
  fixture.Store();
  fixture.scheduler->Plan();
  fixture.start_time_left = milliseconds(200);
  fixture.Store();
  REQUIRE(fixture.starts == 11);
  CHECK(fixture.last_start.lease_until == WorkerTime{milliseconds(1200)});
}

// Guards against runs that are taken as over, and started again elsewhere, because an entry with
// the worker's id names another address: only another incarnation that answers proves that.
TEST_CASE("scheduler: another address in the list does not end the runs of a worker") {
  Fixture fixture(1);
  fixture.AddWorkers();
  for (const auto& [id, worker] : fixture.scheduler->Workers().Workers()) {
    worker->clock = WorkerTime{milliseconds(1000)};
    worker->clock_at = fixture.now;
  }
  schema::JobSpec spec = MakeGangJob();
  spec.mutable_queue()->clear_advice();
  spec.mutable_steps(0)->set_gang(false);
  fixture.scheduler->Submit(spec, milliseconds(0), [](const auto&) {});
  fixture.Store();
  fixture.scheduler->Plan();
  fixture.Store();
  REQUIRE(fixture.starts == 11);
  const std::size_t orders = fixture.scheduler->Workers().OrderCount();
  std::vector<WorkerDescription> moved;
  for (const auto& [id, worker] : fixture.scheduler->Workers().Workers()) {
    moved.push_back(worker->description);
    moved.back().address = "elsewhere";
    moved.back().born_unix_ms = 0;
  }
  for (const WorkerDescription& worker : moved) fixture.scheduler->Workers().Put(worker);
  CHECK(fixture.scheduler->Workers().OrderCount() == orders);
  // Nor does a later incarnation in the list end orders whose starts are without an answer: it may
  // still execute them.
  moved[0].born_unix_ms = 5000;
  const std::size_t on_first = fixture.scheduler->Workers().Find(moved[0].id)->orders.size();
  REQUIRE(on_first > 0);
  fixture.scheduler->Workers().Put(moved[0]);
  fixture.scheduler->Plan();
  CHECK(fixture.scheduler->Workers().OrderCount() == orders);
  // Nor that it has accepted a higher fence and does not list them: the incarnation after it may
  // still execute them, as their queue needs no tickets. They end when no call can arrive any more.
  REQUIRE(fixture.holds.size() == 1);
  HoldAnswer answer;
  answer.born_unix_ms = 5000;
  fixture.scheduler->Workers().OnHold(fixture.holds[0], answer);
  CHECK(fixture.scheduler->Workers().OrderCount() == orders);
  fixture.now += kMaxWorkerCallTimeout - milliseconds(1);
  fixture.scheduler->Workers().OnHold(fixture.last_hold, answer);
  CHECK(fixture.scheduler->Workers().OrderCount() == orders);
  fixture.now += milliseconds(1);
  fixture.scheduler->Workers().OnHold(fixture.last_hold, answer);
  CHECK(fixture.scheduler->Workers().OrderCount() == orders - on_first);
}

// Guards against answers to calls that were made before a restart of their worker: its clock was
// taken from the earlier incarnation, or another worker at the old address ended the new one.
TEST_CASE("scheduler: a late answer from before a restart says nothing about the worker") {
  for (const bool is_other_id : {false, true}) {
    CAPTURE(is_other_id);
    Fixture fixture(1);
    fixture.AddWorkers();
    for (const auto& [id, worker] : fixture.scheduler->Workers().Workers()) {
      worker->clock = WorkerTime{milliseconds(481000)};
      worker->clock_at = fixture.now;
    }
    schema::JobSpec spec = MakeGangJob();
    spec.mutable_queue()->clear_advice();
    spec.mutable_steps(0)->set_gang(false);
    fixture.scheduler->Submit(spec, milliseconds(0), [](const auto&) {});
    fixture.Store();
    fixture.scheduler->Plan();
    fixture.Store();
    const auto& workers = fixture.scheduler->Workers().Workers();
    const auto found = std::find_if(workers.begin(), workers.end(), [](const auto& entry) {
      return !entry.second->orders.empty();
    });
    REQUIRE(found != workers.end());
    const Worker* worker = found->second.get();
    const std::uint64_t order = worker->orders[0]->id;
    WorkerDescription restarted = worker->description;
    restarted.born_unix_ms = 5000;
    if (is_other_id) restarted.address = "elsewhere";
    fixture.scheduler->Workers().Put(restarted);
    REQUIRE(fixture.holds.size() == 1);
    const std::uint32_t incarnation = worker->incarnation;
    StartAnswer late;
    late.verdict = is_other_id ? StartVerdict::kGone : StartVerdict::kStarted;
    late.clock = WorkerTime{milliseconds(481020)};
    fixture.scheduler->Workers().OnStart(order, late);
    CHECK(worker->incarnation == incarnation);
    CHECK_FALSE(worker->gone);
    HoldAnswer answer;
    answer.born_unix_ms = 5000;
    answer.clock = WorkerTime{milliseconds(500)};
    fixture.scheduler->Workers().OnHold(fixture.holds[0], answer);
    REQUIRE(worker->clock.has_value());
    CHECK(worker->clock->since_start == milliseconds(500));
  }
}

// Guards against ROUTE (review/5): a worker that had started again as another kind got tasks by the
// labels that it had before, until the list showed the restart.
TEST_CASE("scheduler: a restarted worker gets no task before the list describes it") {
  Fixture fixture(1);
  WorkerDescription description;
  description.id = "w0";
  description.service = "pool";
  description.address = "w0";
  description.capacity = {8000, 8000, 0};
  description.labels = {"old-kind"};
  description.born_unix_ms = 1000;
  Fleet& fleet = fixture.scheduler->Workers();
  const auto attach = [&](std::int64_t born_unix_ms) {
    REQUIRE(!fixture.holds.empty());
    const std::uint64_t id = fixture.holds.back();
    fixture.holds.clear();
    HoldAnswer answer;
    answer.born_unix_ms = born_unix_ms;
    fleet.OnHold(id, answer);
  };
  fleet.Put(description);
  attach(5000);  // The entry is of the incarnation before.
  attach(5000);
  schema::JobSpec spec = MakeGangJob();
  spec.mutable_queue()->clear_advice();
  spec.mutable_steps(0)->set_gang(false);
  spec.mutable_steps(0)->set_task_count(1);
  spec.mutable_steps(0)->set_required_label("old-kind");
  fixture.scheduler->Submit(spec, milliseconds(0), [](const auto&) {});
  fixture.Store();
  fixture.scheduler->Plan();
  CHECK(fleet.OrderCount() == 0);
  // An entry that lags behind does not change that.
  fleet.Put(description);
  fixture.scheduler->Plan();
  CHECK(fleet.OrderCount() == 0);
  description.born_unix_ms = 5000;
  description.labels = {"new-kind"};
  fleet.Put(description);
  fixture.scheduler->Plan();
  CHECK(fleet.OrderCount() == 0);
  description.labels = {"old-kind"};
  fleet.Put(description);
  fixture.scheduler->Plan();
  CHECK(fleet.OrderCount() == 1);
}

// Guards against LOST (review/1): the time of each path through the steps of a job was added up by
// itself, and a job of 64 steps that name all earlier ones kept every scheduler busy for good.
TEST_CASE("scheduler: a job whose steps follow all earlier steps is planned") {
  Fixture fixture(1);
  fixture.AddWorkers();
  schema::JobSpec spec = MakeGangJob();
  spec.mutable_queue()->clear_advice();
  spec.clear_steps();
  for (std::uint32_t number = 0; number < 64; ++number) {
    schema::StepSpec* step = spec.add_steps();
    step->set_task_count(1);
    step->mutable_size()->set_processors_milli(100);
    step->set_estimate_ms(1000);
    for (std::uint32_t before = 0; before < number; ++before) step->add_after(before);
  }
  fixture.scheduler->Submit(spec, milliseconds(0), [](const auto&) {});
  fixture.Store();
  fixture.scheduler->Plan();
  CHECK(fixture.scheduler->Workers().OrderCount() == 1);
}

// A job whose first task is listed by workers although no order for it exists.
struct StrayRunFixture : Fixture {
  explicit StrayRunFixture(bool is_long_running = false, std::uint32_t gang_members = 0)
      : Fixture(1) {
    AddWorkers();
    schema::JobSpec job = MakeSmallJob("a", std::max(1U, gang_members));
    job.mutable_steps(0)->set_long_running(is_long_running);
    job.mutable_steps(0)->set_gang(gang_members > 0);
    scheduler->Submit(job, milliseconds(0), [](const auto&) {});
    Store();
  }

  static schema::JobSpec MakeSmallJob(const std::string& id, std::uint32_t tasks) {
    schema::JobSpec job = MakeGangJob();
    job.set_id(id);
    job.mutable_queue()->clear_advice();
    job.mutable_steps(0)->set_gang(false);
    job.mutable_steps(0)->set_task_count(tasks);
    return job;
  }

  // A worker lists the run, as its next answer or as that to an earlier hold.
  void ListRun(const std::string& worker) {
    HoldAnswer answer;
    answer.running.push_back({task, kRun, "", 0, 0});
    Answer(worker, answer);
  }
  void ListEnd(const std::string& worker, RunEnd end) {
    HoldAnswer answer;
    answer.ended.push_back({1, task, kRun, end, ""});
    Answer(worker, answer);
  }
  void Answer(const std::string& worker, HoldAnswer answer) {
    clock += milliseconds(10);
    answer.clock.since_start = clock;
    answer.born_unix_ms = 1000;
    scheduler->Workers().OnHold(worker_holds.at(worker).back(), answer);
  }

  // @returns the number of starts so far, after everything that can be started was.
  int Starts() {
    scheduler->Plan();
    Store();
    return starts;
  }

  static constexpr std::uint64_t kRun = 5;
  const TaskRef task{"a", 0, 0, 0};
  milliseconds clock{1000};
};

// Guards against TWICE: a task was started while a worker listed a run of it without an order. Also
// guards against a task that never starts once that run is over.
TEST_CASE("scheduler: a task waits for the end of a run without an order") {
  for (const bool is_long_running : {false, true}) {
    CAPTURE(is_long_running);
    for (const char* over : {"stopped", "failed", "lapsed", "unlisted", "restart", "other id"}) {
      CAPTURE(over);
      StrayRunFixture fixture(is_long_running);
      Fleet& fleet = fixture.scheduler->Workers();
      fixture.ListRun("w7");
      CHECK(fixture.Starts() == 0);
      fixture.ListRun("w7");
      CHECK(fixture.Starts() == 0);
      const std::string how = over;
      if (how == "stopped") fixture.ListEnd("w7", RunEnd::kStopped);
      if (how == "failed") fixture.ListEnd("w7", RunEnd::kFailed);
      if (how == "lapsed") fixture.ListEnd("w7", RunEnd::kLeaseExpired);
      if (how == "unlisted") fixture.Answer("w7", {});
      if (how == "other id") {
        HoldAnswer gone;
        gone.gone = true;
        fixture.Answer("w7", gone);
      }
      if (how == "restart") {
        WorkerDescription restarted = fleet.Find("w7")->description;
        restarted.born_unix_ms = 2000;
        fleet.Put(restarted);
      }
      CHECK(fixture.Starts() == 1);
    }
  }
}

// Guards against a start after `done`.
TEST_CASE("scheduler: a task whose run without an order is done does not start") {
  StrayRunFixture fixture;
  fixture.ListRun("w7");
  fixture.ListEnd("w7", RunEnd::kDone);
  CHECK(fixture.Starts() == 0);
}

// Guards against a start after `done`: the run was not listed any more, and its end did not fit
// into that answer.
TEST_CASE("scheduler: a run without an order is over only when all ends of its worker are known") {
  constexpr std::uint64_t kEndsInAnswer = 500;
  StrayRunFixture fixture;
  fixture.ListRun("w7");
  HoldAnswer answer;
  for (std::uint64_t number = 1; number <= kEndsInAnswer; ++number) {
    answer.ended.push_back({number, {"other", 0, 0, 0}, number, RunEnd::kDone, ""});
  }
  fixture.Answer("w7", answer);
  CHECK(fixture.Starts() == 0);
  answer.ended = {{kEndsInAnswer + 1, fixture.task, StrayRunFixture::kRun, RunEnd::kDone, ""}};
  fixture.Answer("w7", answer);
  CHECK(fixture.Starts() == 0);
}

// Guards against TWICE: the run on one worker had ended, and another worker had one as well.
TEST_CASE("scheduler: a task waits for the last of its runs without an order") {
  StrayRunFixture fixture;
  fixture.ListRun("w7");
  fixture.ListRun("w8");
  fixture.ListEnd("w7", RunEnd::kStopped);
  CHECK(fixture.Starts() == 0);
  fixture.ListEnd("w8", RunEnd::kStopped);
  CHECK(fixture.Starts() == 1);
}

// Guards against TWICE: a run was listed while the assignment of its task was being stored.
TEST_CASE("scheduler: a start is not sent once a run without an order is listed") {
  StrayRunFixture fixture;
  fixture.scheduler->Plan();
  fixture.ListRun("w7");
  fixture.Store();
  CHECK(fixture.Starts() == 0);
  fixture.ListEnd("w7", RunEnd::kStopped);
  CHECK(fixture.Starts() == 1);
}

// Guards against a gang that starts without a member, and ends because that member is missing.
TEST_CASE("scheduler: a gang waits for the end of a member's run without an order") {
  StrayRunFixture fixture(false, 3);
  fixture.ListRun("w7");
  CHECK(fixture.Starts() == 0);
  fixture.ListEnd("w7", RunEnd::kStopped);
  CHECK(fixture.Starts() == 3);
}

// Guards against TWICE while the worker of a run without an order is silent, and against a task
// that never starts if that worker does not come back.
TEST_CASE("scheduler: a task waits for the leases on a lost worker with a run without an order") {
  for (const bool is_removed : {false, true}) {
    CAPTURE(is_removed);
    StrayRunFixture fixture;
    Fleet& fleet = fixture.scheduler->Workers();
    fixture.ListRun("w7");
    const SteadyTime listed = fixture.now;
    const auto is_over = [&] {
      // The last hold renews the leases by 5 s of the worker's clock, which may be 2% slow.
      return fixture.now >= listed + LongestLocalTime(milliseconds(5000));
    };
    fixture.now += milliseconds(100);
    fleet.OnHold(fixture.worker_holds.at("w7").back(),
                 Error{schema::CODE_WORKER_UNREACHABLE, "cut"});
    if (is_removed) fleet.Unlist("w7");
    while (!is_over()) {
      CHECK(fixture.Starts() == 0);
      fixture.now += milliseconds(50);
      fleet.Tick();
    }
    for (int i = 0; i < 20; ++i) {
      fixture.now += milliseconds(50);
      fleet.Tick();
      for (const std::uint64_t id : fixture.worker_holds.at("w7")) {
        fleet.OnHold(id, Error{schema::CODE_WORKER_UNREACHABLE, "cut"});
      }
    }
    CHECK(fixture.Starts() == 1);
    CHECK((fleet.Find("w7") == nullptr) == is_removed);
  }
}

// Guards against TWICE: an answer that was overtaken by a later one did not list the run yet. Also
// guards against a task that waits for a run that has ended.
TEST_CASE("scheduler: a list of runs that was overtaken is not applied to runs without orders") {
  for (const bool is_listed_later : {false, true}) {
    CAPTURE(is_listed_later);
    StrayRunFixture fixture;
    Fleet& fleet = fixture.scheduler->Workers();
    // A start without an answer makes the scheduler ask its worker beside the hold that waits.
    fixture.scheduler->Plan();
    fixture.Store();
    REQUIRE(fixture.starts == 1);
    const std::string worker = fixture.last_start_worker;
    const std::uint64_t waiting_hold = fixture.worker_holds.at(worker).back();
    fleet.OnStart(fixture.last_start_id, Error{schema::CODE_WORKER_UNREACHABLE, "cut"});
    const std::uint64_t query = fixture.worker_holds.at(worker).back();
    REQUIRE(query != waiting_hold);
    fixture.scheduler->Submit(StrayRunFixture::MakeSmallJob("b", 1), milliseconds(0),
                              [](const auto&) {});
    fixture.Store();
    fixture.now += milliseconds(100);
    const TaskRef other{"b", 0, 0, 0};
    HoldAnswer with_run;
    with_run.born_unix_ms = 1000;
    with_run.running = {{fixture.last_start.task, fixture.last_start.run, "", 0, 0}};
    HoldAnswer without_run = with_run;
    with_run.running.push_back({other, StrayRunFixture::kRun, "", 0, 0});
    HoldAnswer& later = is_listed_later ? with_run : without_run;
    HoldAnswer& earlier = is_listed_later ? without_run : with_run;
    later.clock.since_start = milliseconds(2000);
    earlier.clock.since_start = milliseconds(1900);
    fleet.OnHold(query, later);
    fleet.OnHold(waiting_hold, earlier);
    CHECK(fixture.Starts() == (is_listed_later ? 1 : 2));
  }
}

}  // namespace
}  // namespace citronsill
