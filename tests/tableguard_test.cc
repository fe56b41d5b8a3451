#include <doctest/doctest.h>

#include <memory>
#include <random>
#include <vector>

#include "citronsill/tableguard.h"
#include "schema/citronsill.pb.h"
#include "tools/standin_table.h"

namespace citronsill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Outcomes {
  unsigned succeeded = 0;
  unsigned unavailable = 0;
  unsigned unknown = 0;
  [[nodiscard]] unsigned Total() const { return succeeded + unavailable + unknown; }
};

// A guard over a stand-in table, in model time with a seeded source of randomness.
struct GuardedTable {
  SteadyTime now{std::chrono::hours(1)};
  StandinTable table;
  std::mt19937_64 random{11};
  std::shared_ptr<TableGuard> guard;
  Outcomes reads;
  Outcomes commits;

  explicit GuardedTable(const TableGuardOptions& options = {}) {
    TableGuardHooks hooks;
    hooks.now = [this] { return now; };
    hooks.random = [this] { return std::uniform_real_distribution<double>(0, 1)(random); };
    guard = TableGuard::Create(table, options, std::move(hooks)).value();
  }

  template <class T>
  static void Count(const Result<T>& result, Outcomes& outcomes) {
    if (result) {
      ++outcomes.succeeded;
    } else if (result.error().code == schema::CODE_COMMIT_UNKNOWN) {
      ++outcomes.unknown;
    } else {
      CHECK(result.error().code == schema::CODE_TABLE_UNAVAILABLE);
      ++outcomes.unavailable;
    }
  }

  void Read() {
    guard->Read("a", [this](const Result<schema::TableRow>& row) { Count(row, reads); });
  }

  void Commit() {
    schema::TableTransaction transaction;
    transaction.add_writes()->set_key("a");
    guard->Commit(std::move(transaction), [this](const Result<schema::TableCommitResult>& result) {
      Count(result, commits);
    });
  }

  void Advance(milliseconds time) {
    for (const SteadyTime end = now + time; now < end;) {
      now += milliseconds(50);
      guard->Tick();
    }
  }
};

// Guards against a write that takes effect twice.
TEST_CASE("table guard: a commit of unknown outcome is reported as such and never retried") {
  GuardedTable guarded;
  guarded.table.SetFault(TableFault::kLoseAnswers);
  guarded.Commit();
  CHECK(guarded.commits.unknown == 1);
  guarded.table.SetFault(TableFault::kHoldAnswers);
  guarded.Commit();
  CHECK(guarded.commits.Total() == 1);
  guarded.Advance(seconds(3));
  CHECK(guarded.commits.unknown == 2);
  guarded.table.Release();
  guarded.Advance(seconds(1));
  CHECK(guarded.commits.Total() == 2);
  CHECK(guarded.table.Writes() == 2);
  CHECK(guarded.guard->Counts().late == 1);
  CHECK(guarded.guard->Counts().unknown_commits == 2);
}

// Guards against a refused commit that is reported as of unknown outcome, so that callers wait for
// it.
TEST_CASE("table guard: a commit that was not sent is reported as unavailable") {
  TableGuardOptions options;
  options.max_concurrent = 1;
  options.max_waiting = 1;
  GuardedTable guarded(options);
  guarded.table.SetFault(TableFault::kHoldAnswers);
  guarded.Read();
  guarded.Commit();  // Waits for the read to end.
  guarded.Commit();  // Refused, because `max_waiting` is reached.
  CHECK(guarded.commits.unavailable == 1);
  CHECK(guarded.guard->Counts().refused_full == 1);
  guarded.Advance(seconds(2));
  CHECK(guarded.commits.unavailable == 2);
  CHECK(guarded.table.Writes() == 0);
}

// Guards against a table that is used again the later after an outage, the longer it was: a change
// of the configuration has to be in force within 5 s.
TEST_CASE("table guard: reads succeed soon after a silent outage, however long it was") {
  for (int outage_s = 1; outage_s <= 60; ++outage_s) {
    CAPTURE(outage_s);
    GuardedTable guarded;
    const auto run = [&guarded](milliseconds time, bool until_success) {
      const unsigned before = guarded.reads.succeeded;
      for (const SteadyTime end = guarded.now + time; guarded.now < end;) {
        guarded.Read();
        guarded.Advance(milliseconds(100));
        if (until_success && guarded.reads.succeeded > before) return;
      }
    };
    run(seconds(1), false);
    guarded.table.SetFault(TableFault::kHoldAnswers);
    run(seconds(outage_s), false);
    guarded.table.SetFault(TableFault::kNone);
    const SteadyTime returned = guarded.now;
    run(seconds(20), true);
    CHECK(guarded.now <= returned + seconds(5));
  }
}

// Guards against an ever growing number of calls at a slow table.
TEST_CASE("table guard: the number of calls at the table is bounded") {
  GuardedTable guarded;
  guarded.table.SetFault(TableFault::kHoldAnswers);
  for (int i = 0; i < 100; ++i) guarded.Read();
  CHECK(guarded.table.Reads() == 16);
  CHECK(guarded.guard->Counts().waiting == 84);
  guarded.table.SetFault(TableFault::kNone);
  guarded.table.Release();
  CHECK(guarded.reads.succeeded == 100);
}

// Guards against retries that multiply the load on a failing table.
TEST_CASE("table guard: retried reads are at most a tenth of the calls") {
  TableGuardOptions options;
  options.open_after_failures = 1000000;
  GuardedTable guarded(options);
  for (int i = 0; i < 1000; ++i) {
    guarded.table.SetFault(i % 2 == 0 ? TableFault::kDown : TableFault::kNone);
    guarded.Read();
    guarded.Advance(milliseconds(50));
  }
  guarded.Advance(seconds(3));
  CHECK(guarded.reads.Total() == 1000);
  CHECK(guarded.guard->Counts().retried >= 90);
  CHECK(guarded.guard->Counts().retried <= 100);
}

// Guards against constant calls to a table that is down, and against a breaker that stays open
// after the outage.
TEST_CASE("table guard: an hour without the table, then service again") {
  GuardedTable guarded;
  guarded.table.SetFault(TableFault::kDown);
  for (int i = 0; i < 36000; ++i) {
    guarded.Read();
    guarded.Advance(milliseconds(100));
  }
  const TableGuardCounts down = guarded.guard->Counts();
  CHECK(down.opened == 1);
  CHECK(down.probes <= 3600);
  CHECK(down.sent <= down.probes + 10);
  guarded.table.SetFault(TableFault::kNone);
  const unsigned before = guarded.reads.succeeded;
  for (int i = 0; i < 50; ++i) {
    guarded.Read();
    guarded.Advance(milliseconds(100));
  }
  CHECK(guarded.guard->Counts().state == BreakerState::kClosed);
  // The longest wait for a probe is 2.25 s.
  CHECK(guarded.reads.succeeded - before >= 27);
}

// Guards against callers that wait in vain after the breaker has opened.
TEST_CASE("table guard: waiting calls are refused at once when the breaker opens") {
  GuardedTable guarded;
  guarded.table.SetFault(TableFault::kHoldAnswers);
  for (int i = 0; i < 16; ++i) guarded.Read();
  guarded.Advance(milliseconds(1000));
  for (int i = 0; i < 20; ++i) guarded.Read();
  guarded.Advance(milliseconds(1000));
  CHECK(guarded.guard->Counts().state == BreakerState::kOpen);
  CHECK(guarded.reads.unavailable == 36);
}

// Guards against a burst of calls when the table is back and all instances send what they have.
TEST_CASE("table guard: thirty instances resume their calls one after the other") {
  std::vector<std::unique_ptr<GuardedTable>> guarded_tables;
  for (unsigned i = 0; i < 30; ++i) {
    guarded_tables.push_back(std::make_unique<GuardedTable>());
    guarded_tables.back()->random.seed(i);
    guarded_tables.back()->table.SetFault(TableFault::kDown);
  }
  // Each instance makes a call in each step of 50 ms, and answers take one step.
  const auto step = [&] {
    std::uint64_t arrived = 0;
    for (auto& guarded : guarded_tables) {
      const auto before = guarded->table.Reads();
      guarded->table.Release();
      guarded->Read();
      guarded->Advance(milliseconds(50));
      arrived += guarded->table.Reads() - before;
    }
    return arrived;
  };
  for (int i = 0; i < 1200; ++i) step();
  for (auto& guarded : guarded_tables) guarded->table.SetFault(TableFault::kHoldAnswers);
  std::vector<std::uint64_t> arrived;
  arrived.reserve(100);
  for (int i = 0; i < 100; ++i) arrived.push_back(step());
  std::uint64_t peak = 0;
  for (const std::uint64_t count : arrived) peak = std::max(peak, count);
  const unsigned demand = 30;
  MESSAGE("arrivals in 50 ms: first ", arrived[0], ", highest ", peak, ", last ", arrived.back(),
          "; demand ", demand);
  CHECK(arrived[0] <= demand / 3);
  CHECK(peak <= demand * 3 / 2);
  CHECK(arrived.back() == demand);
}

}  // namespace
}  // namespace citronsill
