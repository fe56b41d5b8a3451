// Tests local views of tables against a store that fails.
#include "cell/follower.h"

#include <doctest/doctest.h>

#include <set>

#include "cell/limits.h"
#include "follower_view.h"
#include "outage_store.h"

namespace citronsill {
namespace {

using namespace model;

// Guards against a read that began during an outage and delays the next one for as long as its
// time-out, which grew with the outage.
TEST_CASE("follower: a change after a silent outage is in force in time, however long the outage") {
  for (int outage_ms = 0; outage_ms <= 30000; outage_ms += 250) {
    for (const int acked_after_ms : {5, 500, 1500}) {
      CAPTURE(outage_ms);
      CAPTURE(acked_after_ms);
      Loop loop(1);
      OutageStore store(loop);
      REQUIRE(Write(store.rows, "old"));
      View view(loop, store);
      loop.RunFor(milliseconds(5300));
      store.SetSilent(true);
      loop.RunFor(milliseconds(outage_ms));
      store.SetSilent(false);
      loop.RunFor(milliseconds(acked_after_ms));
      REQUIRE(Write(store.rows, "new"));
      CHECK(TimeUntil(loop, view, "new", milliseconds(30000)) <= kChangeInForce);
    }
  }
}

// Guards against instances that all read at the same time, so that none has a newer version to pass
// on.
TEST_CASE("follower: instances that lost the store at the same moment read it at different times") {
  constexpr std::size_t kInstances = 8;
  Loop loop(1);
  OutageStore store(loop);
  std::vector<std::unique_ptr<View>> views;
  for (std::size_t i = 0; i < kInstances; ++i) views.push_back(std::make_unique<View>(loop, store));
  loop.RunFor(milliseconds(100));
  // Answers all feeds in the same moment.
  REQUIRE(Write(store.rows, "old"));
  loop.RunFor(milliseconds(50));
  store.SetSilent(true);
  loop.RunFor(milliseconds(6000));
  store.reads.clear();
  loop.RunFor(kMaxReadRepeat);
  std::set<std::int64_t> slots;
  for (const SteadyTime sent : store.reads) {
    slots.insert(sent.time_since_epoch() / milliseconds(100));
  }
  CHECK(slots.size() >= kInstances / 2);
}

// Guards against more and more open requests to a store that does not answer.
TEST_CASE("follower: a table is requested at most twice a second while the store is silent") {
  Loop loop(1);
  OutageStore store(loop);
  store.SetSilent(true);
  const View view(loop, store);
  loop.RunFor(std::chrono::seconds(60));
  CHECK(store.reads.size() <= 2 * 60 + 1);
}

// Guards against giving up reads that a slow store would answer.
TEST_CASE("follower: a table is read although each answer of the store takes seconds") {
  for (const int latency_ms : {900, 1500, 4000, 7500}) {
    CAPTURE(latency_ms);
    Loop loop(1);
    OutageStore store(loop);
    store.latency = milliseconds(latency_ms);
    REQUIRE(Write(store.rows, "old"));
    const View view(loop, store);
    CHECK(TimeUntil(loop, view, "old", milliseconds(60000)) < milliseconds(60000));
    CHECK(view.follower->IsLoaded());
  }
}

// Guards against DRAIN on the large site: a scheduler that lagged by seconds took the list of
// workers for current because it had just handled an answer, and started tasks on workers that
// drained.
TEST_CASE("follower: a view is as old as the call that brought it, however late it was handled") {
  Loop loop(1);
  OutageStore store(loop);
  REQUIRE(Write(store.rows, "old"));
  const View view(loop, store);
  loop.RunFor(milliseconds(5000));
  const auto age = [&] { return loop.Now() - view.follower->CurrentAsOf(); };
  CHECK(age() <= kFeedWait + 2 * store.latency);
  store.SetSilent(true);
  loop.RunFor(milliseconds(3000));
  CHECK(age() >= milliseconds(3000));
  store.SetSilent(false);
  // The answer to a read that takes 4 s is 4 s old when it arrives.
  store.latency = milliseconds(4000);
  const SteadyTime returned = loop.Now();
  loop.RunFor(milliseconds(5500));
  CHECK(view.follower->CurrentAsOf() <= returned + kMaxReadRepeat);
}

// Guards against starts that pause for another 0.4 to 1 s after an outage, until the list of
// workers is requested again, although a transaction has shown that the store answers (large
// trouble-3, 22.2 s).
TEST_CASE("follower: a view is current at once when the store is known to answer again") {
  for (int outage_ms = 2000; outage_ms <= 9000; outage_ms += 50) {
    CAPTURE(outage_ms);
    Loop loop(1);
    OutageStore store(loop);
    REQUIRE(Write(store.rows, "old"));
    const View view(loop, store);
    loop.RunFor(milliseconds(3000));
    store.SetSilent(true);
    loop.RunFor(milliseconds(outage_ms));
    store.SetSilent(false);
    loop.RunFor(milliseconds(5));
    view.follower->OnStoreAnswers();
    const SteadyTime returned = loop.Now();
    const std::size_t reads = store.reads.size();
    loop.RunFor(4 * store.latency);
    CHECK(view.follower->CurrentAsOf() >= returned);
    // The pause that was cut short does not lead to another read.
    loop.RunFor(milliseconds(1500));
    CHECK(store.reads.size() <= reads + 1);
  }
}

// Answers each call for changes with one full page of many.
class PagedStore : public RowStore {
 public:
  explicit PagedStore(Loop& loop) : m_loop(loop) {}
  void Commit(RowTransaction, milliseconds, std::function<void(Result<CommitOutcome>)>) override {}
  void Read(RowRange, milliseconds, std::function<void(Result<RowPage>)> done) override {
    m_loop.After(milliseconds(4), [done] { done(RowPage{}); });
  }
  void Follow(std::string, std::uint64_t after, milliseconds wait,
              std::function<void(Result<RowPage>)> done) override {
    RowPage page;
    page.version = kNewest;
    for (std::uint64_t version = after + 1; version <= kNewest; ++version) {
      if (page.rows.size() == kMaxRowsPerRead) break;
      page.rows.push_back(Row{{"servers", "", std::to_string(version)}, "", version});
    }
    const milliseconds latency = page.rows.empty() ? wait : milliseconds(4);
    m_loop.After(latency, [done, page] { done(page); });
  }

  static constexpr std::uint64_t kNewest = 1800;

 private:
  Loop& m_loop;
};

// Guards against changes that are skipped when more have gathered than a page holds, as at a
// scheduler that lags with thousands of workers: one that drains would go on getting work.
TEST_CASE("follower: after a full page of changes the next ones follow") {
  Loop loop(1);
  PagedStore store(loop);
  FollowerHooks hooks;
  hooks.now = [&loop] { return loop.Now(); };
  hooks.after = [&loop](milliseconds delay, std::function<void()> action) {
    loop.After(delay, std::move(action));
  };
  std::set<std::uint64_t> seen;
  hooks.on_snapshot = [](const std::vector<Row>&) {};
  hooks.on_change = [&seen](const Row& row) { seen.insert(row.version); };
  const auto follower = TableFollower::Create(&store, "servers", "", std::move(hooks));
  loop.RunFor(milliseconds(200));
  CHECK(seen.size() == PagedStore::kNewest);
  CHECK(follower->Status().version == PagedStore::kNewest);
}

// Guards against a call for each heartbeat of a worker.
TEST_CASE("follower: calls for changes keep their minimum distance") {
  Loop loop(1);
  OutageStore store(loop);
  FollowerHooks hooks;
  hooks.now = [&loop] { return loop.Now(); };
  hooks.after = [&loop](milliseconds delay, std::function<void()> action) {
    loop.After(delay, std::move(action));
  };
  hooks.min_period = milliseconds(100);
  int changes = 0;
  hooks.on_snapshot = [](const std::vector<Row>&) {};
  hooks.on_change = [&changes](const Row&) { ++changes; };
  const auto follower = TableFollower::Create(&store, "op", "", std::move(hooks));
  loop.RunFor(milliseconds(50));
  std::set<std::uint64_t> versions;
  for (int i = 0; i < 200; ++i) {
    REQUIRE(Write(store.rows, std::to_string(i)));
    loop.RunFor(milliseconds(5));
    versions.insert(follower->Status().version);
  }
  loop.RunFor(milliseconds(200));
  CHECK(changes > 0);
  CHECK(versions.size() <= 12);
}

}  // namespace
}  // namespace citronsill
