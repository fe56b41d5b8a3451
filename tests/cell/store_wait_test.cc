// Tests which submissions are refused because the store does not take them in time.
#include "cell/store_wait.h"

#include <doctest/doctest.h>

#include "cell/commit.h"
#include "cell/limits.h"
#include "cell/scheduler.h"
#include "outage_store.h"

namespace citronsill {
namespace {

using namespace model;

// Guards against the loss on shams-billing-grown trouble-2, seconds 4.5 to 8.3: the store took 0.7
// to 1.1 s for each transaction, and all new jobs were refused 0.7 s into each, though the next
// transaction would have stored them well before their deadlines of 3 s.
TEST_CASE("store wait: a store that is slow but answers takes what has time enough") {
  const StoreProgress slow{milliseconds(900), milliseconds(300), milliseconds(1500)};
  CHECK(JudgeSubmission(slow, milliseconds(2880)) == StoreVerdict::kWait);
  // Guards against answers of 504 at the deadline, after which callers do not try again.
  CHECK(JudgeSubmission(slow, milliseconds(1400)) == StoreVerdict::kLate);
  CHECK(JudgeSubmission(slow, milliseconds(400)) == StoreVerdict::kLate);
}

// Guards against refusals of callers with short deadlines while the store is as fast as usual.
TEST_CASE("store wait: a short deadline is enough for a store that is not slow") {
  const StoreProgress usual{milliseconds(0), milliseconds(0), milliseconds(40)};
  CHECK(JudgeSubmission(usual, milliseconds(50)) == StoreVerdict::kWait);
}

TEST_CASE("store wait: a silent store refuses all, also those with time left") {
  const milliseconds silent = kRefuseAfterStoreSilence + milliseconds(1);
  const StoreProgress progress{silent, silent, milliseconds(50)};
  CHECK(JudgeSubmission(progress, milliseconds(60000)) == StoreVerdict::kSilent);
  CHECK(JudgeSubmission(progress, milliseconds(0)) == StoreVerdict::kSilent);
}

// An entry of an earlier version does not tell the deadline.
TEST_CASE(
    "store wait: without a deadline, a store that has failed for some time counts as silent") {
  const milliseconds failing = kRefuseAfterStoreSilence + milliseconds(1);
  CHECK(JudgeSubmission({failing, milliseconds(0), milliseconds(9000)}, milliseconds(0)) ==
        StoreVerdict::kSilent);
  CHECK(JudgeSubmission({milliseconds(100), milliseconds(0), milliseconds(9000)},
                        milliseconds(0)) == StoreVerdict::kWait);
}

// Guards against refusals that are held back until the deadline: a job is refused at the first
// moment at which it is known to be too late.
TEST_CASE("store wait: a waiting job is refused as soon as the store gets too slow for it") {
  SteadyTime now{std::chrono::seconds(100)};
  SubmissionWaits waits([&now] { return now; });
  waits.Add("early", milliseconds(1000));
  waits.Add("late", milliseconds(3000));
  waits.Add("late", milliseconds(500));  // Submitted again; the first caller still waits.
  StoreProgress progress{milliseconds(0), milliseconds(0), milliseconds(30)};
  CHECK_FALSE(waits.AnyRefused(progress));
  progress.expected = milliseconds(1200);
  CHECK(waits.AnyRefused(progress));
  CHECK(waits.Judge(progress, "early") == StoreVerdict::kLate);
  CHECK(waits.Judge(progress, "late") == StoreVerdict::kWait);
  CHECK(waits.Judge(progress, "other") == StoreVerdict::kWait);
  now += milliseconds(2000);
  CHECK(waits.Judge(progress, "late") == StoreVerdict::kLate);
  now += milliseconds(5000);
  CHECK(waits.Judge({}, "late") == StoreVerdict::kLate);
  waits.Remove("early");
  waits.Remove("late");
  CHECK(waits.Size() == 0);
  CHECK_FALSE(waits.AnyRefused(progress));
}

// A commit log that always has a change to store.
struct Writer {
  Writer(Loop& loop, OutageStore& store) {
    schema::HeadRow head;
    head.set_term(1);
    RowTransaction claim;
    claim.writes = {Row{{kHeadTable, "s0", kShardRowKey}, head.SerializeAsString()}};
    const std::uint64_t version = store.rows.Apply(claim).version;
    CommitHooks hooks;
    hooks.now = [&loop] { return loop.Now(); };
    hooks.after = [&loop](milliseconds delay, std::function<void()> action) {
      loop.After(delay, std::move(action));
    };
    hooks.post = [&loop](std::function<void()> action) {
      loop.After(milliseconds(0), std::move(action));
    };
    hooks.take = [this] {
      WriteBatch batch;
      batch.position = ++position;
      return batch;
    };
    hooks.on_stored = [this](std::uint64_t) { commits->Wake(); };
    hooks.on_lost = [] {};
    commits = std::make_unique<CommitLog>("s0", head, version, &store, loop.Now(), loop.Now(),
                                          std::move(hooks));
    commits->Wake();
  }
  std::unique_ptr<CommitLog> commits;
  std::uint64_t position = 0;
};

TEST_CASE("commit: the expected wait follows a slow store, and falls soon when it is fast again") {
  Loop loop(1);
  OutageStore store(loop);
  Writer writer(loop, store);
  loop.RunFor(milliseconds(1000));
  CHECK(writer.commits->ExpectedWait() <= milliseconds(60));
  store.latency = milliseconds(1050);
  milliseconds highest{0};
  for (int i = 0; i < 600; ++i) {
    loop.RunFor(milliseconds(10));
    highest = std::max(highest, writer.commits->ExpectedWait());
    // Guards against refusing all jobs 0.7 s into each transaction (shams-billing-grown trouble-2):
    // the store answers as late as it did before.
    if (i > 300) CHECK(writer.commits->UnheardFor() <= kRefuseAfterStoreSilence);
  }
  CHECK(highest >= milliseconds(1000));
  CHECK(highest <= 2 * kMaxExpectedCommit + kCommitPeriod);
  store.latency = milliseconds(8);
  loop.RunFor(milliseconds(1200));
  CHECK(writer.commits->ExpectedWait() <= milliseconds(100));
}

// Guards against jobs that are refused after a silent outage because its length counts as the time
// of a transaction, and against jobs that are accepted during the outage.
TEST_CASE("commit: a silent store is told from a slow one") {
  Loop loop(1);
  OutageStore store(loop);
  Writer writer(loop, store);
  loop.RunFor(milliseconds(1000));
  store.SetSilent(true);
  loop.RunFor(kRefuseAfterStoreSilence + milliseconds(100));
  CHECK(writer.commits->UnheardFor() > kRefuseAfterStoreSilence);
  loop.RunFor(milliseconds(4000));
  store.SetSilent(false);
  const SteadyTime returned = loop.Now();
  while (writer.commits->Confirmed() < returned) loop.RunFor(milliseconds(5));
  loop.RunFor(milliseconds(300));
  CHECK(writer.commits->UnheardFor() == milliseconds(0));
  CHECK(writer.commits->ExpectedWait() <= milliseconds(200));
}

}  // namespace
}  // namespace citronsill
