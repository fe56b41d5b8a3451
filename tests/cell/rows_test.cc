// Sizes of the rows of jobs, and what happens to a job that the store does not take.
#include <doctest/doctest.h>

#include "cell.h"
#include "cell/job.h"
#include "cell_checks.h"

namespace citronsill::model {
namespace {

using std::chrono::seconds;

schema::JobSpec MakeScheduled(Cell& cell, const std::string& id, std::uint32_t tasks,
                              TaskBehavior behavior, std::uint32_t occurrences,
                              std::int64_t interval_ms) {
  schema::JobSpec spec = cell.MakeJob(id, tasks, behavior);
  spec.set_occurrences(occurrences);
  spec.set_interval_ms(interval_ms);
  spec.set_first_start_unix_ms(
      std::chrono::duration_cast<milliseconds>(cell.loop.Now().time_since_epoch()).count() + 2000);
  return spec;
}

// Submits small jobs for some time. @returns their ids.
std::vector<std::string> SubmitOthers(Cell* cell, int count, milliseconds period) {
  TaskBehavior behavior;
  behavior.duration = milliseconds(500);
  std::vector<std::string> ids;
  for (int i = 0; i < count; ++i) {
    ids.push_back("other" + std::to_string(i));
    cell->loop.After(milliseconds(1000) + period * i, [cell, behavior, id = ids.back()] {
      cell->Submit(cell->MakeJob(id, 2, behavior));
    });
  }
  return ids;
}

// Guards against LOST (review/2): the progress of a job with overlapping occurrences exceeded the
// size of a row, the store refused the transaction, and nothing of the shard was stored any more.
TEST_CASE("rows: overlapping occurrences of a job are stored, and other jobs go on") {
  constexpr std::uint32_t kTasks = 120;
  constexpr std::uint32_t kOccurrences = 24;
  Cell cell(1, 3, 6, Resources{32000, 32000, 0}, "i-7f3a91c");
  TaskBehavior part;
  part.duration = milliseconds(60000);
  part.size = {50, 16, 0};
  cell.loop.After(milliseconds(500), [&] {
    cell.Submit(MakeScheduled(cell, "scheduled", kTasks, part, kOccurrences, 1500));
  });
  const std::vector<std::string> others = SubmitOthers(&cell, 30, milliseconds(2000));
  // The next scheduler restores all rows.
  cell.loop.After(milliseconds(45000), [&] {
    if (cell.Leader() != nullptr) cell.Leader()->Kill();
  });
  cell.loop.RunFor(seconds(120));
  CheckNoRefusals(cell.store);
  CheckHistory(cell.history);
  CheckAllEnd(cell, others);
  CHECK(cell.State("scheduled") == schema::JOB_STATE_SUCCEEDED);
  CHECK(cell.history.starts == std::uint64_t{kTasks} * kOccurrences + 2 * others.size());
  CHECK(cell.store.Read(kProgressTable, "s0").rows.empty());
}

// Guards against a pack that exceeds the size of a row because of one large record in it.
TEST_CASE("rows: packs hold no large records") {
  Cell cell(1, 1, 6, Resources{32000, 32000, 0}, std::string(60, 'w'));
  cell.max_entries = 12;
  TaskBehavior small;
  small.duration = milliseconds(3000);
  small.size = {20, 8, 0};
  std::vector<std::string> ids;
  for (int i = 0; i < 40; ++i) {
    ids.push_back("job" + std::to_string(i));
    cell.loop.After(milliseconds(1000 + 10 * i), [&, id = ids.back(), tasks = i < 3 ? 1000U : 2U] {
      cell.Submit(cell.MakeJob(id, tasks, small));
    });
  }
  cell.loop.RunFor(seconds(30));
  CheckNoRefusals(cell.store);
  CheckHistory(cell.history);
  CheckAllEnd(cell, ids);
}

// A job whose tasks all run, on workers with the longest ids, and have failures and checkpoints.
struct FullJob {
  FullJob(std::uint32_t tasks, int steps, std::uint32_t occurrences, std::size_t worker_id_bytes,
          std::size_t checkpoint_bytes) {
    worker.description.id = std::string(worker_id_bytes, 'w');
    worker.description.born_unix_ms = INT64_MAX;
    job.spec.set_id("00000000000000aa");
    if (occurrences > 1) job.spec.set_occurrences(occurrences);
    for (int step = 0; step < steps; ++step) {
      job.spec.add_steps()->set_task_count(tasks / static_cast<std::uint32_t>(steps));
    }
    for (std::uint32_t i = 0; i < occurrences; ++i) BeginOccurrence(&job);
    order.worker = &worker;
    order.run = UINT64_MAX;
    for (const auto& step : job.steps) {
      step->gang_failures = UINT32_MAX;
      step->gang_run = UINT64_MAX;
      step->gang_ending = true;
      step->gang_failed_runs = {UINT64_MAX};
      for (std::uint32_t key = 0; key < kMaxStoredAnswers; ++key) {
        step->stored_answers[key * 7919] = key % 2 == 0;
      }
      for (Task& task : step->tasks) {
        task.failures = UINT32_MAX;
        task.checkpoint = std::string(checkpoint_bytes, 'c');
        // As many runs as `Scheduler::AddUnits` allows.
        if (job.assignment_bytes + kMaxAssignmentRowBytes > kMaxAssignmentBytes) continue;
        job.assignment_bytes += AssignmentRowBytes(worker.description.id);
        task.orders = {&order};
        ++runs;
      }
    }
  }

  // @returns the transaction that stores the job and its progress.
  [[nodiscard]] RowTransaction MakeTransaction() const {
    RowTransaction transaction;
    schema::JobRow row;
    *row.mutable_spec() = job.spec;
    transaction.writes.push_back(Row{{kJobTable, "s0", job.spec.id()}, row.SerializeAsString()});
    std::uint32_t part = 0;
    for (const schema::ProgressRow& progress : ToProgressRows(job)) {
      transaction.writes.push_back(
          Row{ProgressKey("s0", job.spec.id(), part++), progress.SerializeAsString()});
    }
    return transaction;
  }

  Worker worker;
  Order order;
  Job job;
  std::size_t runs = 0;
};

// Guards against rows and transactions that the store refuses, for jobs at the limits of what is
// accepted.
TEST_CASE("rows: a job at the limits is stored in one transaction and restored") {
  struct Size {
    std::uint32_t tasks;
    int steps;
    std::uint32_t occurrences;
    std::size_t worker_id_bytes;
    std::size_t checkpoint_bytes;
  };
  for (const Size& size :
       {Size{kMaxTasksPerJob, 2, 1, 10, 16}, Size{kMaxTasksPerJob, 2, 1, 200, 16},
        Size{1152, kMaxSteps, 1, 200, kMaxCheckpointBytes}, Size{1, 1, kMaxLiveTasksPerJob, 10, 16},
        Size{1, 1, kMaxLiveTasksPerJob, 200, kMaxCheckpointBytes},
        Size{64, kMaxSteps, kMaxLiveTasksPerJob / 64, 200, 0}}) {
    CAPTURE(size.tasks);
    CAPTURE(size.steps);
    CAPTURE(size.worker_id_bytes);
    CAPTURE(size.checkpoint_bytes);
    FullJob full(size.tasks, size.steps, size.occurrences, size.worker_id_bytes,
                 size.checkpoint_bytes);
    full.job.runs_unknown_until = SteadyTime();
    if (size.occurrences == 1) CHECK(full.runs == size.tasks);
    RowTransaction transaction = full.MakeTransaction();
    const auto refusal = RefusalOf(transaction);
    INFO(refusal.value_or(""));
    CHECK_FALSE(refusal.has_value());
    for (const Row& row : transaction.writes) CHECK(row.value.size() <= kMaxRowBytes);
    // All rows of a transaction have the same version.
    ShardRows rows;
    for (Row& row : transaction.writes) {
      row.version = 7;
      (row.key.table == kJobTable ? rows.jobs : rows.progress).push_back(row);
    }
    const StoredShard shard = ResolveRows(rows);
    REQUIRE(shard.jobs.size() == 1);
    CHECK(shard.jobs[0].places.progress_parts == rows.progress.size() - 1);
    CHECK(shard.jobs[0].completeness == Completeness::kRunsUnknown);
    Job restored;
    restored.spec = shard.jobs[0].job.spec();
    CHECK(RestoreProgress(*shard.jobs[0].progress, &restored).size() == full.runs);
    REQUIRE(restored.steps.size() == full.job.steps.size());
    for (std::size_t i = 0; i < restored.steps.size(); ++i) {
      REQUIRE(restored.steps[i]->gang_failures == UINT32_MAX);
      REQUIRE(restored.steps[i]->gang_run == UINT64_MAX);
      REQUIRE(restored.steps[i]->gang_ending);
      REQUIRE(restored.steps[i]->gang_failed_runs == std::vector<std::uint64_t>{UINT64_MAX});
      for (const Task& task : restored.steps[i]->tasks) REQUIRE(task.failures == UINT32_MAX);
    }
  }
}

// A checkpoint of an ordinary size is never left out.
TEST_CASE("rows: checkpoints of a job of the largest size are stored") {
  const FullJob full(kMaxTasksPerJob, 2, 1, 10, 16);
  std::size_t checkpoints = 0;
  for (const schema::ProgressRow& row : ToProgressRows(full.job)) {
    for (const schema::StepRow& step : row.steps()) {
      for (const schema::TaskRow& task : step.tasks()) checkpoints += task.save().empty() ? 0 : 1;
    }
  }
  CHECK(checkpoints == kMaxTasksPerJob);
}

// Guards against a further row that an earlier transaction left: its steps are older.
TEST_CASE("rows: further rows of another version do not count") {
  const FullJob full(kMaxTasksPerJob, 2, 1, 200, 0);
  ShardRows rows;
  for (Row& row : full.MakeTransaction().writes) {
    row.version = row.key.key.ends_with(".2") ? 6 : 7;
    (row.key.table == kJobTable ? rows.jobs : rows.progress).push_back(row);
  }
  const std::size_t all = full.runs;
  const StoredShard shard = ResolveRows(rows);
  Job restored;
  restored.spec = shard.jobs[0].job.spec();
  CHECK(RestoreProgress(*shard.jobs[0].progress, &restored).size() < all);
}

// A row that was replaced waits for its removal in a queue.
TEST_CASE("rows: a row that is written again is not removed by an earlier removal") {
  SteadyTime now{seconds(100)};
  PackRegister rows("s0", [&now] { return now; });
  const RowKey key = ProgressKey("s0", "job", 1);
  const RowKey other = ProgressKey("s0", "job", 2);
  rows.RemoveLater(key);
  now += milliseconds(300);
  rows.RemoveLater(other);
  rows.RemoveLater(key);
  CHECK(rows.Removals() == 2);
  CHECK(rows.OldestRemoval() == milliseconds(300));
  WriteBatch batch;
  batch.writes.push_back(Row{key, ""});
  rows.CancelRemovals(batch);
  rows.AppendRemovals(kMaxTransactionEntries, &batch);
  CHECK(batch.removals == std::vector<RowKey>{other});
  CHECK_FALSE(rows.HasRemovals());
  CHECK(rows.OldestRemoval() == milliseconds(0));
  // Once it is replaced again, it is removed.
  rows.RemoveLater(key);
  WriteBatch next;
  rows.AppendRemovals(kMaxTransactionEntries, &next);
  CHECK(next.removals == std::vector<RowKey>{key});
}

// The tasks that are done are known without the further rows.
TEST_CASE("rows: what is done is known when a further row is missing") {
  FullJob full(kMaxTasksPerJob, 4, 3, 200, 0);
  for (const auto& step : full.job.steps) {
    for (Task& task : step->tasks) {
      if (task.index % 3 != 0) continue;
      task.is_done = true;
      ++step->done_count;
    }
  }
  ShardRows rows;
  for (Row& row : full.MakeTransaction().writes) {
    row.version = 7;
    if (row.key.key.ends_with(".1")) continue;
    (row.key.table == kJobTable ? rows.jobs : rows.progress).push_back(row);
  }
  const StoredShard shard = ResolveRows(rows);
  REQUIRE(shard.jobs.size() == 1);
  CHECK(shard.jobs[0].completeness == Completeness::kRunsUnknown);
  Job restored;
  restored.spec = shard.jobs[0].job.spec();
  RestoreProgress(*shard.jobs[0].progress, &restored);
  REQUIRE(restored.steps.size() == full.job.steps.size());
  for (std::size_t i = 0; i < restored.steps.size(); ++i) {
    REQUIRE(restored.steps[i]->done_count == full.job.steps[i]->done_count);
    for (const Task& task : restored.steps[i]->tasks)
      REQUIRE(task.is_done == (task.index % 3 == 0));
  }
  // Without the first row it is not known.
  std::erase_if(rows.progress, [](const Row& row) { return row.key.key == "00000000000000aa"; });
  CHECK(ResolveRows(rows).jobs[0].completeness == Completeness::kLost);
}

// Runs a job whose progress takes several rows, and kills the scheduler when one of them is
// removed by another hand.
struct MissingRow {
  explicit MissingRow(const std::string& row, bool long_running = false)
      : cell(3, 2, 6, Resources{32000, 32000, 0}, std::string(150, 'w')) {
    TaskBehavior behavior;
    behavior.size = {50, 16, 0};
    behavior.duration = milliseconds(long_running ? 120000 : 2000);
    schema::JobSpec spec = cell.MakeJob("job", 500, behavior);
    // The second half takes longer.
    schema::StepSpec* const second = spec.add_steps();
    *second = spec.steps(0);
    behavior.duration = milliseconds(long_running ? 120000 : 12000);
    cell.behaviors["job1"] = behavior;
    for (schema::StepSpec& step : *spec.mutable_steps()) step.set_long_running(long_running);
    cell.loop.After(milliseconds(1000), [this, spec] { cell.Submit(spec); });
    cell.loop.After(milliseconds(5000), [this, row] {
      REQUIRE(cell.Leader() != nullptr);
      cell.Leader()->Kill();
      RowTransaction removal;
      removal.removals = {{kProgressTable, "s0", row}};
      const std::size_t before = cell.store.Read(kProgressTable, "s0").rows.size();
      cell.store.Apply(removal);
      REQUIRE(cell.store.Read(kProgressTable, "s0").rows.size() == before - 1);
      REQUIRE(before > 1);
    });
    cell.loop.RunFor(seconds(50));
    CheckHistory(cell.history);
  }

  Cell cell;
};

// Guards against TWICE (review/7): tasks in a row that was missing were taken for not started.
TEST_CASE("rows: tasks of a missing row are not started while they may run") {
  MissingRow further("job.1");
  CheckAllEnd(further.cell, {"job"});
}

// Guards against TWICE: the scheduler that found the row missing stored the progress of the job
// anew, and its successor did not know that the tasks had to wait.
TEST_CASE("rows: tasks of a missing row are not started by the second scheduler after that") {
  for (const int killed_ms : {6000, 6500, 7000, 8000}) {
    CAPTURE(killed_ms);
    Cell cell(3, 3, 6, Resources{32000, 32000, 0}, std::string(150, 'w'));
    TaskBehavior behavior;
    behavior.size = {50, 16, 0};
    behavior.duration = milliseconds(4700);
    schema::JobSpec spec = cell.MakeJob("job", 500, behavior);
    schema::StepSpec* const second = spec.add_steps();
    *second = spec.steps(0);
    behavior.duration = milliseconds(12000);
    cell.behaviors["job1"] = behavior;
    cell.loop.After(milliseconds(1000), [&] { cell.Submit(spec); });
    cell.loop.After(milliseconds(5000), [&] {
      cell.Leader()->Kill();
      std::next(cell.nodes.begin())->second.cut_from = {0, 1, 2};
      RowTransaction removal;
      removal.removals = {{kProgressTable, "s0", "job.3"}};
      const std::size_t before = cell.store.Read(kProgressTable, "s0").rows.size();
      cell.store.Apply(removal);
      REQUIRE(cell.store.Read(kProgressTable, "s0").rows.size() == before - 1);
    });
    cell.loop.After(milliseconds(killed_ms), [&] {
      REQUIRE(cell.Leader() != nullptr);
      cell.Leader()->Kill();
    });
    cell.loop.After(seconds(30), [&] { std::next(cell.nodes.begin())->second.cut_from.clear(); });
    cell.loop.RunFor(seconds(80));
    CheckHistory(cell.history);
    CheckAllEnd(cell, {"job"});
  }
}

// Guards against a job whose tasks each scheduler holds again, although the wait is long over.
TEST_CASE("rows: that runs may be unknown is stored until the tasks of a missing row may start") {
  Cell cell(3, 3, 6, Resources{32000, 32000, 0}, std::string(150, 'w'));
  TaskBehavior behavior;
  behavior.size = {50, 16, 0};
  behavior.duration = milliseconds(4700);
  schema::JobSpec spec = cell.MakeJob("job", 500, behavior);
  schema::StepSpec* const second = spec.add_steps();
  *second = spec.steps(0);
  behavior.duration = milliseconds(40000);
  cell.behaviors["job1"] = behavior;
  const auto stored = [&cell] {
    const auto rows = [&cell](const char* table) { return cell.store.Read(table, "s0").rows; };
    const StoredShard shard =
        ResolveRows({rows(kJobTable), rows(kProgressTable), rows(kFinishedTable), rows(kPackTable),
                     rows(kLeaseTable)});
    REQUIRE(shard.jobs.size() == 1);
    return shard.jobs[0].completeness;
  };
  cell.loop.After(milliseconds(1000), [&] { cell.Submit(spec); });
  cell.loop.After(milliseconds(5000), [&] {
    CHECK(stored() == Completeness::kComplete);
    cell.Leader()->Kill();
    RowTransaction removal;
    removal.removals = {{kProgressTable, "s0", "job.3"}};
    cell.store.Apply(removal);
    CHECK(stored() == Completeness::kRunsUnknown);
  });
  cell.loop.RunFor(milliseconds(9000));
  // The rows have been written again: none is missing.
  const std::vector<Row> rows = cell.store.Read(kProgressTable, "s0").rows;
  REQUIRE(rows.size() > 1);
  schema::ProgressRow first;
  REQUIRE(first.ParseFromString(rows[0].value));
  CHECK(first.runs_unknown());
  CHECK(first.parts() == rows.size() - 1);
  for (const Row& row : rows) CHECK(row.version == rows[0].version);
  CHECK(stored() == Completeness::kRunsUnknown);
  cell.loop.RunFor(seconds(21));
  CHECK(stored() == Completeness::kComplete);
  CheckHistory(cell.history);
}

// What was done is not known then, so that the job cannot go on.
TEST_CASE("rows: a job fails when the first row of its progress is missing") {
  MissingRow first("job");
  CHECK(first.cell.State("job") == schema::JOB_STATE_FAILED);
  CHECK(first.cell.history.running.empty());
}

TEST_CASE("rows: a lasting job goes on when the first row of its progress is missing") {
  MissingRow first("job", true);
  CHECK(first.cell.State("job") == schema::JOB_STATE_RUNNING);
  CHECK(first.cell.history.running.size() == 1000);
}

// @returns why a transaction is refused that writes this row.
std::optional<std::string> RefuseWrite(const RowTransaction& transaction, const std::string& table,
                                       const std::string& key) {
  for (const Row& row : transaction.writes) {
    if (row.key.table == table && row.key.key == key) return "refused by the test";
  }
  return std::nullopt;
}

// Guards against LOST (class of review/2): a refusal counted as an unknown outcome, and the
// transaction was sent again for good. A job that cannot be stored must not stop the others.
TEST_CASE("rows: a new job that the store refuses is refused, and the others go on") {
  Cell cell(1, 2, 4, Resources{8000, 8000, 0});
  cell.store.refuses = [](const RowTransaction& transaction) {
    return RefuseWrite(transaction, kJobTable, "bad");
  };
  const std::vector<std::string> others = SubmitOthers(&cell, 40, milliseconds(50));
  std::vector<schema::Code> answers;
  for (int i = 0; i < 5; ++i) {
    cell.loop.After(milliseconds(1500 + 700 * i), [&] {
      TaskBehavior behavior;
      cell.history.refused.insert("bad");
      if (cell.Leader() == nullptr) return;
      cell.Leader()->scheduler->Submit(
          cell.MakeJob("bad", 2, behavior), milliseconds(0), [&](const auto& result) {
            answers.push_back(result ? schema::CODE_OK : result.error().code);
          });
    });
  }
  cell.loop.RunFor(seconds(15));
  CheckHistory(cell.history);
  CheckAllEnd(cell, others);
  REQUIRE(answers.size() == 5);
  for (const schema::Code answer : answers) CHECK(answer == schema::CODE_INVALID_FIELD);
  CHECK_FALSE(cell.State("bad").has_value());
}

// The same for a job that was accepted: it fails, also for the next scheduler, and the ends of its
// tasks are not acknowledged before that is stored.
TEST_CASE("rows: an accepted job whose progress the store refuses fails, and the others go on") {
  for (int seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    Cell cell(static_cast<std::uint64_t>(seed), 2, 4, Resources{8000, 8000, 0});
    bool refuses = false;
    cell.store.refuses = [&refuses](const RowTransaction& transaction) {
      return refuses ? RefuseWrite(transaction, kProgressTable, "bad") : std::nullopt;
    };
    TaskBehavior behavior;
    behavior.duration = milliseconds(1500);
    cell.loop.After(milliseconds(1000), [&] { cell.Submit(cell.MakeJob("bad", 6, behavior, 3)); });
    const std::vector<std::string> others = SubmitOthers(&cell, 40, milliseconds(100));
    cell.loop.After(milliseconds(1200 + 150 * seed), [&] { refuses = true; });
    cell.loop.After(milliseconds(4200 + 100 * seed), [&] {
      if (cell.Leader() != nullptr) cell.Leader()->Kill();
    });
    cell.loop.RunFor(seconds(25));
    CheckHistory(cell.history);
    CheckAllEnd(cell, others);
    CHECK(cell.State("bad") == schema::JOB_STATE_FAILED);
    CHECK(cell.history.running.empty());
  }
}

// Guards against jobs that are given up for a fault that is not theirs.
TEST_CASE("rows: a store that refuses everything for a while takes the changes afterwards") {
  Cell cell(1, 2, 4, Resources{8000, 8000, 0});
  bool refuses = false;
  cell.store.refuses = [&refuses](const RowTransaction&) {
    return refuses ? std::optional<std::string>("full") : std::nullopt;
  };
  const std::vector<std::string> others = SubmitOthers(&cell, 40, milliseconds(150));
  cell.loop.After(milliseconds(3000), [&] { refuses = true; });
  cell.loop.After(milliseconds(7000), [&] { refuses = false; });
  cell.loop.RunFor(seconds(20));
  CheckHistory(cell.history);
  CheckAllEnd(cell, others);
}

// Guards against an earlier record that outlasts the final state of its job: the removals of a
// transaction were forgotten when the store refused it.
TEST_CASE("rows: removals that the store refuses are tried again") {
  Cell cell(1, 1, 4, Resources{8000, 8000, 0});
  cell.max_entries = 4;
  bool refuses = false;
  cell.store.refuses = [&refuses](const RowTransaction& transaction) {
    const bool is_removal = !transaction.removals.empty();
    return refuses && is_removal ? std::optional<std::string>("no removals") : std::nullopt;
  };
  const std::vector<std::string> others = SubmitOthers(&cell, 40, milliseconds(10));
  cell.loop.After(milliseconds(1500), [&] { refuses = true; });
  cell.loop.After(milliseconds(9000), [&] { refuses = false; });
  cell.loop.RunFor(seconds(30));
  CheckHistory(cell.history);
  CheckAllEnd(cell, others);
  CHECK(cell.store.Read(kJobTable, "s0").rows.empty());
  CHECK(cell.store.Read(kProgressTable, "s0").rows.empty());
  CHECK(cell.store.Read(kPackTable, "s0").rows.size() <= 40);
  CHECK(cell.Leader()->scheduler->StoreBacklog().removals == 0);
}

}  // namespace
}  // namespace citronsill::model
