#include <doctest/doctest.h>
#include <spdlog/spdlog.h>

#include "cell.h"
#include "citronsill/snapshot.h"

namespace citronsill {
namespace {

constexpr PartitionId kPartition{0};

schema::JournalEntry MakeEntry(const std::string& id) {
  schema::JournalEntry entry;
  entry.set_kind(schema::ENTRY_ACCEPTED);
  entry.set_request_id(id);
  return entry;
}

/// A journal over the stand-in table, with a partition whose ownership the test sets.
struct JournalFixture {
  explicit JournalFixture(std::size_t max_pending = 8192, std::uint64_t seed = 1) : time(seed) {
    SetRow(1, {"a.1"});
    JournalOptions options;
    options.stream = "a.1";
    options.max_pending_entries = max_pending;
    JournalHooks hooks;
    hooks.owned = [this](PartitionId) { return owned; };
    hooks.on_fenced = [this](PartitionId) { owned.reset(); };
    hooks.after = process->MakeDelay();
    journal = std::move(Journal::Create(client, nullptr, options, std::move(hooks))).value();
  }

  void SetRow(std::uint64_t epoch, const std::vector<std::string>& streams) {
    schema::PartitionRow row;
    row.set_epoch(epoch);
    for (const std::string& stream : streams) row.add_streams(stream);
    schema::TableTransaction transaction;
    auto* write = transaction.add_writes();
    write->set_key("partition/0000");
    write->set_value(row.SerializeAsString());
    table.Commit(transaction, [&](const Result<schema::TableCommitResult>& result) {
      row_version = result.value().rows(0).version();
    });
    if (!owned) owned = OwnedPartition{epoch, row_version};
  }

  /// @returns where the code of the append is stored once it is answered.
  std::shared_ptr<std::optional<schema::Code>> Append(const std::string& id) {
    auto code = std::make_shared<std::optional<schema::Code>>();
    journal->Append({MakeEntry(id)}, [code](const Result<void>& result) {
      *code = result ? schema::CODE_OK : result.error().code;
    });
    return code;
  }

  std::size_t CountLoaded() {
    std::size_t count = 0;
    journal->Load(kPartition, {"a.1"},
                  [&](const auto& entries) { count = entries.value().size(); });
    time.Run(milliseconds(100));
    return count;
  }

  ModelTime time;
  StandinTable table;
  std::shared_ptr<ModelProcess> process = std::make_shared<ModelProcess>(time);
  ModelTable client{time, table, process};
  std::optional<OwnedPartition> owned;
  std::uint64_t row_version = 0;
  std::unique_ptr<Journal> journal;
};

// Guards against an entry that is reported as refused although it is in the table, or that is
// written twice.
TEST_CASE("journal: a lost answer is resolved from the own row") {
  JournalFixture fixture;
  fixture.table.SetFault(TableFault::kLoseAnswers);
  std::vector<std::shared_ptr<std::optional<schema::Code>>> codes;
  codes.reserve(50);
  for (int i = 0; i < 50; ++i) {
    codes.push_back(fixture.Append("r" + std::to_string(i)));
    fixture.time.Run(milliseconds(7));
  }
  fixture.time.Run(std::chrono::seconds(10));
  fixture.table.SetFault(TableFault::kNone);
  for (const auto& code : codes) CHECK(*code == schema::CODE_OK);
  CHECK(fixture.CountLoaded() == 50);
}

// Guards against the conclusion that a first attempt was not written, drawn from a second attempt
// that the unavailable table refused.
TEST_CASE("journal: an entry that is reported as not written never appears") {
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    JournalFixture fixture(8192, seed);
    fixture.table.SetFault(TableFault::kLoseAnswers);
    const auto code = fixture.Append("r");
    fixture.time.Run(milliseconds(12 + seed % 40));
    fixture.table.SetFault(TableFault::kDown);
    fixture.time.Run(milliseconds(seed % 60));
    fixture.table.SetFault(TableFault::kNone);
    fixture.time.Run(std::chrono::seconds(2));
    REQUIRE(code->has_value());
    CHECK(fixture.CountLoaded() == (**code == schema::CODE_OK ? 1 : 0));
  }
}

// Guards against an unbounded number of pending entries, and against callers that wait while the
// outcome of a batch is unknown.
TEST_CASE("journal: an unresolved batch refuses what comes after it") {
  JournalFixture fixture(4);
  fixture.table.SetFault(TableFault::kLoseAnswers);
  const auto open = fixture.Append("open");
  fixture.time.Run(milliseconds(12));
  std::vector<std::shared_ptr<std::optional<schema::Code>>> codes(6);
  for (auto& code : codes) code = fixture.Append("later");
  CHECK(*codes[5] == schema::CODE_OVERLOADED);
  fixture.table.SetFault(TableFault::kDown);
  fixture.time.Run(milliseconds(500));
  const auto last = fixture.Append("last");
  CHECK(*last == schema::CODE_TABLE_UNAVAILABLE);
  fixture.table.SetFault(TableFault::kNone);
  fixture.time.Run(std::chrono::seconds(1));
  CHECK(open->has_value());
  CHECK(*fixture.Append("after") != schema::CODE_TABLE_UNAVAILABLE);
}

// Guards against an entry that was added under an earlier epoch and is written under a later one.
TEST_CASE("journal: entries of another epoch are refused") {
  JournalFixture fixture;
  const auto code = fixture.Append("old");
  fixture.owned.reset();
  fixture.SetRow(3, {"a.1"});
  fixture.time.Run(milliseconds(100));
  CHECK(*code == schema::CODE_NOT_OWNER);
  CHECK(fixture.CountLoaded() == 0);
}

// Guards against an owner that drops its partition when only the list of streams in the row has
// changed.
TEST_CASE("journal: a changed list of streams does not fence the owner") {
  JournalFixture fixture;
  fixture.SetRow(1, {"a.1", "b.1"});
  const auto code = fixture.Append("r");
  fixture.time.Run(milliseconds(100));
  CHECK(*code == schema::CODE_OK);
  CHECK(fixture.owned.has_value());
}

// Guards against the loss of entries that the next owner of a partition has not read yet.
TEST_CASE("journal: compaction keeps entries of lost partitions until they are retired") {
  JournalFixture fixture;
  fixture.Append("r");
  fixture.time.Run(milliseconds(100));
  fixture.owned.reset();
  const auto compact = [&] {
    fixture.journal->Compact([] { return JournalSnapshot{}; }, [](const Result<void>&) {});
    fixture.time.Run(milliseconds(200));
  };
  compact();
  CHECK(fixture.CountLoaded() == 1);
  CHECK(fixture.journal->Rows() == 1);
  fixture.SetRow(2, {"b.1"});
  fixture.owned.reset();
  compact();
  CHECK(fixture.CountLoaded() == 0);
}

schema::Request MakeOrder(int number) {
  schema::Request request;
  request.set_work_class("order");
  request.set_team("team");
  request.set_key("key-" + std::to_string(number));
  request.mutable_size()->set_processors(1);
  SetDuration(milliseconds(20), request.mutable_run_time());
  return request;
}

// Guards against a journal that grows with the number of requests.
TEST_CASE("journal: rows stay bounded over 100,000 requests") {
  spdlog::set_level(spdlog::level::off);
  HomeOptions options;
  options.max_journal_rows = 256;
  options.maintain_period = milliseconds(500);
  ModelCell cell(1, 100, options);
  std::size_t most_rows = 0;
  cell.time.Run(milliseconds(300));
  for (int i = 0; i < 100000; ++i) {
    cell.Submit(MakeOrder(i));
    cell.time.Run(milliseconds(1));
    if (i % 100 != 0) continue;
    std::size_t rows = 0;
    cell.table.Scan("journal/", [&](const auto& found) { rows = found.value().size(); });
    most_rows = std::max(most_rows, rows);
    // Each caller in this test submits once, so the histories are not needed.
    cell.callers.clear();
  }
  spdlog::set_level(spdlog::level::info);
  MESSAGE("most rows " << most_rows << ", table writes " << cell.table.Writes());
  CHECK(most_rows < 2 * 256 + 200);
}

// Guards against one table write per request instead of one per batch.
TEST_CASE("journal: one table write serves many requests") {
  spdlog::set_level(spdlog::level::off);
  for (const int rate : {10, 100, 1000}) {
    ModelCell cell(1, 100);
    cell.time.Run(milliseconds(300));
    const std::uint64_t before = cell.table.Writes();
    const int count = 5 * rate;
    for (int i = 0; i < count; ++i) {
      cell.Submit(MakeOrder(i));
      cell.time.Run(milliseconds(1000 / rate));
    }
    cell.time.Run(std::chrono::seconds(2));
    const auto writes = static_cast<double>(cell.table.Writes() - before);
    MESSAGE(rate << " requests/s: " << count / writes << " requests per table write");
    // Each request has two batches when it is alone: before its start and after its end.
    CHECK(writes <= 2.0 * count + 50);
    if (rate == 1000) CHECK(writes < 0.5 * count);
  }
  spdlog::set_level(spdlog::level::info);
}

}  // namespace
}  // namespace citronsill
