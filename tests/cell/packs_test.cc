// Changes of many jobs in one row: what a slow store takes at once, and what is left of it.
#include <doctest/doctest.h>

#include <algorithm>

#include "cell.h"
#include "cell/shard_rows.h"
#include "cell_checks.h"

namespace citronsill::model {
namespace {

using std::chrono::seconds;

constexpr std::size_t kMaxEntries = kMaxTransactionEntries - 3;

// A scheduler without workers whose transactions are applied to a store.
struct Storing {
  Storing(Store& store, std::uint64_t term, SteadyTime* clock) : rows(store), now(clock) {
    SchedulerOptions options;
    options.shard = "s0";
    options.term = term;
    options.lease = milliseconds(5000);
    options.keep_finished = milliseconds(120000);
    SchedulerHooks hooks;
    hooks.now = [this] { return *now; };
    hooks.wall = [this] { return WallTime(now->time_since_epoch()); };
    hooks.may_lead = [] { return true; };
    hooks.start = [this](const Worker&, const StartOrder& order, std::uint64_t id) {
      starts.emplace_back(id, order);
    };
    hooks.hold = [this](const Worker&, const HoldOrder&, std::uint64_t id) { hold = id; };
    hooks.advice_capacity = [] { return AdviceCapacity{}; };
    hooks.has_writes = [] {};
    hooks.plan_soon = [] {};
    scheduler = std::make_unique<Scheduler>(options, std::move(hooks));
  }

  void Submit(const std::string& id) {
    schema::JobSpec spec;
    spec.set_id(id);
    spec.mutable_queue()->set_name("queue");
    spec.mutable_queue()->set_service("pool");
    spec.mutable_queue()->set_max_attempts(3);
    spec.mutable_queue()->set_stretch(2.0);
    schema::StepSpec* step = spec.add_steps();
    step->set_task_count(2);
    step->mutable_size()->set_processors_milli(1000);
    scheduler->Submit(spec, milliseconds(0), [this](const auto& result) {
      if (result) ++accepted;
    });
  }

  // Answers the open hold of the only worker.
  void AnswerHold(std::vector<EndedTask> ended) {
    HoldAnswer answer;
    answer.born_unix_ms = 1000;
    answer.clock = WorkerTime{milliseconds(1000)};
    answer.ended = std::move(ended);
    for (const auto& [id, start] : starts) answer.running.push_back({start.task, start.run, "", 1});
    std::erase_if(answer.running, [&](const RunningTask& running) {
      return std::any_of(answer.ended.begin(), answer.ended.end(),
                         [&](const EndedTask& end) { return end.task == running.task; });
    });
    scheduler->Workers().OnHold(hold, answer);
  }

  // @returns the number of entries of the transaction.
  std::size_t Commit() {
    WriteBatch batch = scheduler->TakeBatch(kMaxEntries, kMaxTransactionBytes);
    RowTransaction transaction;
    transaction.writes = batch.writes;
    transaction.removals = batch.removals;
    REQUIRE(rows.Apply(transaction).committed);
    scheduler->OnStored(batch.position);
    return batch.Entries();
  }

  [[nodiscard]] std::vector<Row> Read(const char* table) const {
    return rows.Read(table, "s0").rows;
  }

  [[nodiscard]] StoredShard Resolve() const {
    return ResolveRows(
        {Read(kJobTable), Read(kProgressTable), Read(kFinishedTable), Read(kPackTable)});
  }

  Store& rows;
  SteadyTime* now;
  std::size_t accepted = 0;
  std::uint64_t hold = 0;  // Last hold that was sent.
  std::vector<std::pair<std::uint64_t, StartOrder>> starts;
  std::unique_ptr<Scheduler> scheduler;
};

std::string Id(int number) { return "job" + std::to_string(1000 + number); }

// The load of further-grown trouble-2, seconds 5 to 11: a store that takes 200 ms for a
// transaction, and 260 jobs a second with seven entries each. Guards against one that stores 97
// entries at a time: 1,308 jobs waited, and 468 of 510 requests of two seconds failed.
TEST_CASE("packs: all that has changed during a slow transaction is stored by the next one") {
  Loop loop(1);
  Store store(loop);
  SteadyTime now{std::chrono::hours(1)};
  Storing first(store, 1, &now);
  for (int i = 0; i < 300; ++i) first.Submit(Id(i));
  CHECK(first.Commit() <= kMaxEntries);
  CHECK(first.accepted == 300);
  // The jobs are cancelled in the same number of transactions, and known as that.
  for (int i = 0; i < 300; i += 2) first.scheduler->Cancel(Id(i), [](const auto&) {});
  first.Commit();
  const StoredShard shard = first.Resolve();
  CHECK(shard.jobs.size() == 150);
  CHECK(shard.finished.size() == 150);
  Storing second(store, 2, &now);
  second.scheduler->Restore(shard, now);
  for (int i = 0; i < 300; ++i) {
    const auto state = second.scheduler->State(Id(i));
    REQUIRE(state.has_value());
    CHECK((*state == schema::JOB_STATE_CANCELLED) == (i % 2 == 0));
  }
}

TEST_CASE("packs: a transaction that has room stores rows of their own") {
  Loop loop(1);
  Store store(loop);
  SteadyTime now{std::chrono::hours(1)};
  Storing first(store, 1, &now);
  for (int i = 0; i < 30; ++i) first.Submit(Id(i));
  first.Commit();
  CHECK(first.Read(kJobTable).size() == 30);
  CHECK(first.Read(kPackTable).empty());
}

// Guards against a job that runs again after its end was forgotten, because a pack with an earlier
// record of it was still there for the sake of another job.
TEST_CASE("packs: the end of a job is remembered while a pack holds an earlier record of it") {
  Loop loop(1);
  Store store(loop);
  SteadyTime now{std::chrono::hours(1)};
  Storing first(store, 1, &now);
  for (int i = 0; i < 300; ++i) first.Submit(Id(i));
  first.Commit();
  for (int i = 1; i < 300; ++i) first.scheduler->Cancel(Id(i), [](const auto&) {});
  first.Commit();
  // Nothing gives the last job of the pack rows of its own, since no tick takes place.
  now += std::chrono::hours(1);
  for (int i = 0; i < 30; ++i) first.Commit();
  CHECK(first.Resolve().jobs.size() == 1);
  // With ticks, the pack is replaced, and then the ends are forgotten.
  for (int i = 0; i < 60; ++i) {
    now += milliseconds(500);
    first.scheduler->Tick();
    first.Commit();
  }
  CHECK(first.Read(kPackTable).empty());
  CHECK(first.Resolve().jobs.size() == 1);
  CHECK(first.Resolve().finished.empty());
  CHECK(first.Read(kJobTable).size() == 1);
}

// Guards against a pack that is removed when the progress of its jobs has moved on, although it
// holds the jobs themselves.
TEST_CASE("packs: a pack stays while it holds a job whose progress is stored elsewhere by now") {
  Loop loop(1);
  Store store(loop);
  SteadyTime now{std::chrono::hours(1)};
  Storing first(store, 1, &now);
  WorkerDescription worker;
  worker.id = worker.address = "w0";
  worker.service = "pool";
  worker.capacity = {1000000, 1000000, 0};
  worker.born_unix_ms = 1000;
  first.scheduler->Workers().Put(worker);
  first.AnswerHold({});
  constexpr std::size_t kJobs = 120;
  for (std::size_t i = 0; i < kJobs; ++i) first.Submit(Id(static_cast<int>(i)));
  first.scheduler->Plan();
  first.Commit();
  REQUIRE(first.starts.size() == 2 * kJobs);
  for (const auto& [id, order] : first.starts)
    first.scheduler->Workers().OnStart(id, StartAnswer{});
  // One task of each job ends.
  std::vector<EndedTask> ended;
  for (const auto& [id, order] : first.starts) {
    if (order.task.index != 0) continue;
    ended.push_back({ended.size() + 1, order.task, order.run, RunEnd::kDone, ""});
  }
  first.AnswerHold(ended);
  for (int i = 0; i < 3; ++i) first.Commit();
  const StoredShard shard = first.Resolve();
  REQUIRE(shard.jobs.size() == kJobs);
  for (const StoredJob& job : shard.jobs) {
    REQUIRE(job.progress.has_value());
    CHECK(job.places.job_pack != job.places.progress_pack);
  }
}

// Restores each state of the rows in the next scheduler while jobs change in all ways.
TEST_CASE("packs: the rows tell the state of every job, whatever they were stored in") {
  Loop loop(1);
  Store store(loop);
  SteadyTime now{std::chrono::hours(1)};
  Storing first(store, 1, &now);
  std::map<std::string, bool> is_cancelled;
  int submitted = 0;
  for (int round = 0; round < 60; ++round) {
    const auto count = loop.Between(0, 1) == 0 ? loop.Between(1, 10) : loop.Between(98, 150);
    for (std::int64_t i = 0; i < count; ++i) {
      if (loop.Chance(0.5) || is_cancelled.empty()) {
        is_cancelled[Id(submitted)] = false;
        first.Submit(Id(submitted++));
        continue;
      }
      auto job = is_cancelled.begin();
      std::advance(job, loop.Between(0, static_cast<std::int64_t>(is_cancelled.size()) - 1));
      first.scheduler->Cancel(job->first, [](const auto&) {});
      job->second = true;
    }
    while (first.scheduler->StoreBacklog().changes > 0) first.Commit();
    now += milliseconds(700);
    first.scheduler->Tick();
    const StoredShard shard = first.Resolve();
    REQUIRE(shard.jobs.size() + shard.finished.size() == is_cancelled.size());
    for (const StoredJob& job : shard.jobs) REQUIRE_FALSE(is_cancelled.at(job.job.spec().id()));
    for (const auto& [id, finished] : shard.finished) REQUIRE(is_cancelled.at(id));
  }
}

Row PackOf(std::uint64_t version, const std::vector<schema::PackedJob>& records) {
  schema::PackRow pack;
  for (const schema::PackedJob& record : records) *pack.add_jobs() = record;
  return Row{PackKey("s0", version), pack.SerializeAsString(), version};
}

TEST_CASE("packs: of several records about a job the newest counts; unreadable rows are skipped") {
  schema::PackedJob old_record;
  old_record.set_id("a");
  old_record.mutable_job()->mutable_spec()->set_id("a");
  old_record.mutable_progress()->set_ever_started(false);
  schema::PackedJob earlier_end;
  earlier_end.set_id("a");
  earlier_end.mutable_finished()->set_state(schema::JOB_STATE_FAILED);
  schema::ProgressRow newer;
  newer.set_ever_started(true);
  ShardRows rows;
  rows.packs = {PackOf(5, {old_record}), PackOf(3, {earlier_end}),
                Row{PackKey("s0", 9), "\xff\xff", 9}, Row{{kPackTable, "s0", "x"}, "", 9}};
  rows.progress = {Row{{kProgressTable, "s0", "a"}, newer.SerializeAsString(), 7}};
  const StoredShard shard = ResolveRows(rows);
  // The end is that of an earlier job with the same id.
  CHECK(shard.finished.empty());
  REQUIRE(shard.jobs.size() == 1);
  CHECK(shard.jobs[0].progress->ever_started());
  CHECK(shard.jobs[0].places.job_pack == 5);
  CHECK(shard.jobs[0].places.progress_pack == 0);
  CHECK(shard.packs.size() == 2);
}

// A cell whose transactions hold four entries, so that most changes are stored in packs.
TEST_CASE("packs: jobs survive changes of the scheduler, and all rows are removed in the end") {
  Cell cell(4, 5, 4, Resources{8000, 8000, 0});
  cell.max_entries = 4;
  std::vector<std::string> jobs;
  for (int i = 0; i < 40; ++i) {
    jobs.push_back("job" + std::to_string(i));
    TaskBehavior behavior;
    behavior.duration = milliseconds(i % 8 == 0 ? 15000 : 600);
    cell.loop.After(milliseconds(1000 + 5 * i), [&cell, behavior, id = jobs.back()] {
      cell.Submit(cell.MakeJob(id, 2, behavior));
    });
  }
  const auto rows = [&cell](const char* table) { return cell.store.Read(table, "s0").rows.size(); };
  cell.loop.RunFor(milliseconds(1500));
  CHECK(rows(kPackTable) > 0);
  for (int i = 0; i < 4; ++i) {
    REQUIRE(cell.Leader() != nullptr);
    cell.Leader()->Kill();
    cell.loop.RunFor(milliseconds(4500));
  }
  cell.loop.RunFor(seconds(60));
  CheckHistory(cell.history);
  CheckAllEnd(cell, jobs);
  CHECK(cell.history.starts >= 80);
  cell.loop.RunFor(seconds(150));
  for (const char* table : {kJobTable, kProgressTable, kFinishedTable, kPackTable}) {
    CAPTURE(table);
    CHECK(rows(table) == 0);
  }
}

}  // namespace
}  // namespace citronsill::model
