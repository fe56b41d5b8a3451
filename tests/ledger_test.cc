#include "citronsill/ledger.h"

#include <doctest/doctest.h>

#include "schema/citronsill.pb.h"

namespace citronsill {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kTasks = 3;

struct LedgerFixture {
  explicit LedgerFixture(bool idempotent) {
    request.set_work_class("order");
    request.set_task_count(kTasks);
    work_class.set_idempotent(idempotent);
    work_class.set_exclusive(true);
    work_class.set_max_attempts(2);
    properties.durable = true;
    properties.single_copy = true;
    properties.idempotent = idempotent;
    properties.max_attempts = 2;
  }

  Arrival Arrive(Ledger& receiver) {
    return receiver.Arrive("id", request, work_class, properties, {"entry", "address"}, &answer);
  }

  void Accept() {
    CHECK(Arrive(*ledger) == Arrival::kNew);
    CHECK(ledger->TakeAcceptedEntry("id").has_value());
    ledger->SetAccepted("id");
  }

  /// @returns a new ledger, restored from the journal entries of this one.
  std::unique_ptr<Ledger> Restore() {
    auto restored = std::move(Ledger::Create(100)).value();
    const auto entries = ledger->Export([](const std::string&) { return true; });
    std::vector<const schema::JournalEntry*> found;
    found.reserve(2 * entries.size());
    for (const schema::JournalEntry& entry : entries) found.push_back(&entry);
    // Entries are repeated when streams are copied.
    for (const schema::JournalEntry& entry : entries) found.push_back(&entry);
    restored->Restore("id", found, [](std::uint64_t) { return 4096U; });
    return restored;
  }

  schema::Request request;
  schema::WorkClass work_class;
  RequestProperties properties;
  std::shared_ptr<const schema::Answer> answer;
  std::unique_ptr<Ledger> ledger = std::move(Ledger::Create(100)).value();
};

// Guards against lost partial results, assignments and attempt numbers after a takeover.
TEST_CASE("ledger: a restored request keeps its tasks and partial results") {
  LedgerFixture fixture(true);
  fixture.Accept();
  CHECK(fixture.ledger->Assign({"id", 0, 0}, "a"));
  CHECK(fixture.ledger->Assign({"id", 1, 5}, "b"));
  CHECK(
      fixture.ledger->EndTask({"id", 0, 0}, "a", TaskOutcome::kSucceeded, "part 0", false).effect ==
      EndEffect::kRecorded);
  const auto restored = fixture.Restore();
  const auto open = restored->OpenTasks("id");
  REQUIRE(open.size() == 2);
  CHECK(open[0].assigned);
  CHECK(open[0].attempt == 5);
  CHECK(open[0].worker == "b");
  CHECK(!open[1].assigned);
  CHECK(open[1].attempt == 4096);
  restored->EndTask({"id", 1, 5}, "b", TaskOutcome::kSucceeded, "part 1", false);
  CHECK(restored->Assign({"id", 2, 4096}, "c"));
  const auto ended =
      restored->EndTask({"id", 2, 4096}, "c", TaskOutcome::kSucceeded, "part 2", false);
  REQUIRE(ended.finished);
  CHECK(ended.finished->answer->results(0) == "part 0");
  CHECK(ended.finished->answer->results(1) == "part 1");
  CHECK(ended.finished->answer->results(2) == "part 2");
}

// Guards against a second start while an attempt may run, and against a late report of the end of
// another attempt.
TEST_CASE("ledger: a single-copy task is assigned once at a time") {
  LedgerFixture fixture(false);
  fixture.Accept();
  CHECK(fixture.ledger->Assign({"id", 0, 0}, "a"));
  CHECK(!fixture.ledger->Assign({"id", 0, 1}, "b"));
  CHECK(fixture.ledger->EndTask({"id", 0, 0}, "b", TaskOutcome::kNotStarted, "", false).effect ==
        EndEffect::kIgnored);
  CHECK(fixture.ledger->EndTask({"id", 0, 0}, "a", TaskOutcome::kLost, "", true).effect ==
        EndEffect::kUnknown);
  CHECK(!fixture.ledger->Assign({"id", 0, 1}, "b"));
  const auto ended =
      fixture.ledger->EndTask({"id", 0, 0}, "a", TaskOutcome::kNotStarted, "", false);
  CHECK(ended.effect == EndEffect::kRetry);
  CHECK(fixture.ledger->Assign(ended.retry, "b"));
}

// Guards against a request that never ends when a worker was removed.
TEST_CASE("ledger: a removed worker makes a non-idempotent outcome unknown for good") {
  LedgerFixture fixture(false);
  fixture.Accept();
  CHECK(fixture.ledger->Assign({"id", 0, 0}, "a"));
  CHECK(!fixture.ledger->GiveUp("id", {schema::CODE_CANCELLED, "cancelled"}, milliseconds(0)));
  const auto ended = fixture.ledger->EndRemoved({"id", 0, 0}, "a");
  REQUIRE(ended.finished);
  CHECK(!ended.finished->answer->not_run());
  CHECK(ended.finished->answer->code() == schema::CODE_OUTCOME_UNKNOWN);
  CHECK(ended.finished->answer->state() == schema::STATE_FAILED);
}

// Guards against a request with other content that gets the answer of an earlier one after a
// takeover.
TEST_CASE("ledger: a reused key is noticed after a takeover") {
  LedgerFixture fixture(true);
  fixture.Accept();
  for (std::uint32_t i = 0; i < kTasks; ++i) {
    fixture.ledger->Assign({"id", i, 0}, "a");
    fixture.ledger->EndTask({"id", i, 0}, "a", TaskOutcome::kSucceeded, "done", false);
  }
  const auto restored = fixture.Restore();
  CHECK(fixture.Arrive(*restored) == Arrival::kFinished);
  CHECK(fixture.answer->state() == schema::STATE_SUCCEEDED);
  fixture.request.set_payload("other");
  CHECK(fixture.Arrive(*restored) == Arrival::kKeyReused);
}

// Guards against a not_run answer that is delivered before the journal records that nothing will
// run.
TEST_CASE("ledger: a given-up request is answered once its end is written") {
  LedgerFixture fixture(true);
  fixture.Accept();
  const auto finished =
      fixture.ledger->GiveUp("id", {schema::CODE_CANCELLED, "cancelled"}, milliseconds(0));
  REQUIRE(finished);
  CHECK(finished->answer->not_run());
  CHECK(finished->waiters.empty());
  CHECK(fixture.Arrive(*fixture.ledger) == Arrival::kPending);
  CHECK(fixture.ledger->Status("id")->state() == schema::STATE_WAITING);
  CHECK(fixture.ledger->SetFinished("id").size() == 1);
  CHECK(fixture.ledger->Status("id")->state() == schema::STATE_CANCELLED);
}

}  // namespace
}  // namespace citronsill
