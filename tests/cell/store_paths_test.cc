// Tests which instances relay calls to the store.
#include "cell/store_paths.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "cell/limits.h"
#include "cell/relay.h"
#include "outage_store.h"

namespace citronsill {
namespace {

using namespace model;

struct Fixture {
  SteadyTime now{std::chrono::seconds(100)};
  StorePaths paths{[this] { return now; }};
  // Eight strong instances and 36 weak ones, of which every third does not reach the store.
  std::vector<RelayPeer> peers = [] {
    std::vector<RelayPeer> made;
    for (std::uint64_t i = 0; i < 44; ++i) {
      made.push_back({i + 1, i % 6 == 5 ? 500U : 100U, i % 3 != 0});
    }
    return made;
  }();

  [[nodiscard]] const RelayPeer& First() const { return peers[paths.Order(peers).front()]; }
};

// Guards against the loss on shams-billing-grown trouble-1, seconds 2.5 to 11.5: the links were
// taken in turn, so that most transactions of a scheduler went through instances with 10 Mbit/s.
TEST_CASE("store paths: a strong instance that reports the store comes first") {
  Fixture fixture;
  CHECK(fixture.First().strength_milli == 500);
  CHECK(fixture.First().reports_store);
  for (RelayPeer& peer : fixture.peers) peer.reports_store = false;
  CHECK(fixture.First().strength_milli == 500);
}

TEST_CASE("store paths: the path that answers soonest is kept while it works") {
  Fixture fixture;
  const RelayPeer weak = fixture.peers[1];
  REQUIRE(weak.strength_milli == 100);
  const RelayPeer strong = fixture.First();
  fixture.paths.OnAnswer(strong.incarnation, milliseconds(300));
  fixture.paths.OnAnswer(weak.incarnation, milliseconds(9));
  CHECK(fixture.First().incarnation == weak.incarnation);
  fixture.paths.OnFailure(weak.incarnation);
  CHECK(fixture.First().strength_milli == 500);
  CHECK(fixture.First().incarnation != strong.incarnation);
  // What was measured long ago tells nothing.
  fixture.now += kRelayMemory + kRelayAvoid;
  CHECK(fixture.First().incarnation == strong.incarnation);
}

TEST_CASE("store paths: an instance is avoided the longer, the more calls have failed") {
  Fixture fixture;
  const RelayPeer first = fixture.First();
  const auto avoided_for = [&] {
    const SteadyTime since = fixture.now;
    while (fixture.First().incarnation != first.incarnation) fixture.now += milliseconds(10);
    return std::chrono::duration_cast<milliseconds>(fixture.now - since);
  };
  milliseconds expected = kRelayAvoid;
  for (int i = 0; i < 8; ++i) {
    fixture.paths.OnFailure(first.incarnation);
    CHECK(avoided_for() == expected);
    expected = std::min(expected * 2, kRelayAvoid * (1 << kMaxRelayAvoidDoublings));
  }
  fixture.paths.OnAnswer(first.incarnation, milliseconds(5));
  fixture.paths.OnFailure(first.incarnation);
  CHECK(avoided_for() == kRelayAvoid);
}

// Guards against copies of each transaction while the store is slow: they queue up there.
TEST_CASE("store paths: the time until a copy is sent follows what the path takes") {
  Fixture fixture;
  CHECK(fixture.paths.HedgeAfter(1) == kUnknownRelayHedge);
  fixture.paths.OnAnswer(1, milliseconds(8));
  CHECK(fixture.paths.HedgeAfter(1) == kMinRelayHedge);
  for (int i = 0; i < 6; ++i) fixture.paths.OnAnswer(1, milliseconds(250));
  CHECK(fixture.paths.HedgeAfter(1) > milliseconds(400));
  CHECK(fixture.paths.HedgeAfter(1) <= kMaxRelayHedge);
  // A path of which nothing is known: the store is slow for all.
  CHECK(fixture.paths.HedgeAfter(2) >= milliseconds(400));
  fixture.now += kRelayMemory + milliseconds(1);
  CHECK(fixture.paths.HedgeAfter(2) == kUnknownRelayHedge);
}

TEST_CASE("store paths: what is kept about instances is bounded") {
  Fixture fixture;
  for (std::uint64_t i = 0; i < 10 * kMaxRelayRecords; ++i) {
    fixture.now += milliseconds(1);
    fixture.paths.OnAnswer(i, milliseconds(5));
  }
  CHECK(fixture.paths.Size() == kMaxRelayRecords);
  CHECK(fixture.paths.Latency(10 * kMaxRelayRecords - 1).has_value());
}

// A link to an instance that carries out relayed transactions after the time that they take on its
// link, and falls silent or refuses on demand.
class RelayingLink : public Link {
 public:
  RelayingLink(Loop& loop, Store& store, std::uint64_t incarnation, std::uint32_t strength_milli)
      : m_loop(loop), m_store(store) {
    m_peer.set_incarnation(incarnation);
    m_peer.set_strength_milli(strength_milli);
    m_ping.set_reaches_store(true);
  }
  void Send(schema::LinkMessage) override {}
  void Call(schema::LinkMessage message, milliseconds timeout, Reply done) override {
    ++calls;
    if (silent) {
      return m_loop.After(timeout, [done] { done(Error{schema::CODE_TIMEOUT, "no reply"}); });
    }
    schema::LinkMessage reply;
    if (refuses) {
      reply.mutable_store_reply()->set_code(schema::CODE_TABLE_UNAVAILABLE);
      return m_loop.After(milliseconds(2), [done, reply] { done(reply); });
    }
    m_loop.After(latency, [this, message, done] {
      RowTransaction transaction;
      for (const auto& row : message.store().conditions()) {
        transaction.conditions.push_back({{row.table(), row.part(), row.key()}, row.version()});
      }
      for (const auto& row : message.store().writes()) {
        transaction.writes.push_back(Row{{row.table(), row.part(), row.key()}, row.value()});
      }
      const CommitOutcome outcome = m_store.Apply(transaction);
      schema::LinkMessage reply;
      reply.mutable_store_reply()->set_committed(outcome.committed);
      reply.mutable_store_reply()->set_version(outcome.version);
      done(reply);
    });
  }
  void Answer(const schema::LinkMessage&, schema::LinkMessage) override {}
  void Close(const std::string&) override {}
  [[nodiscard]] SteadyTime Heard() const override { return m_loop.Now(); }
  [[nodiscard]] bool IsOpen() const override { return true; }
  [[nodiscard]] const schema::Hello& Peer() const override { return m_peer; }
  [[nodiscard]] const schema::Ping& LastPing() const override { return m_ping; }

  milliseconds latency{10};
  bool silent = false;
  bool refuses = false;
  int calls = 0;

 private:
  Loop& m_loop;
  Store& m_store;
  schema::Hello m_peer;
  schema::Ping m_ping;
};

// A scheduler that the store refuses, with links to other instances.
struct RefusedScheduler {
  RefusedScheduler() {
    own.refuses = true;
    for (std::uint64_t i = 1; i <= 12; ++i) {
      const bool is_strong = i % 4 == 0;
      links.push_back(std::make_shared<RelayingLink>(loop, own.rows, i, is_strong ? 500 : 100));
      links.back()->latency = is_strong ? milliseconds(10) : milliseconds(480);
    }
    relayed = std::make_unique<RelayedStore>(
        &own, [this] { return loop.Now(); }, RowRange{"op", "", "", "", 1},
        [this] { return std::vector<LinkPtr>(links.begin(), links.end()); },
        [this](milliseconds delay, std::function<void()> action) {
          loop.After(delay, std::move(action));
        });
    for (std::uint32_t i = 0; i < kOwnPathFailures; ++i) Commit(milliseconds(1500));
    REQUIRE_FALSE(relayed->OwnPathWorks());
  }
  // @returns how long a transaction took; none if it did not take effect within `limit`.
  std::optional<milliseconds> Commit(milliseconds limit) {
    RowTransaction transaction;
    transaction.conditions = {{key, version}};
    transaction.writes = {Row{key, "value"}};
    const SteadyTime began = loop.Now();
    std::optional<SteadyTime> ended;
    relayed->Commit(transaction, limit, [&](const Result<CommitOutcome>& outcome) {
      if (!outcome || !outcome.value().committed) return;
      version = outcome.value().version;
      ended = loop.Now();
    });
    while (!ended && loop.Now() < began + limit) loop.RunFor(milliseconds(1));
    if (!ended) return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(*ended - began);
  }
  [[nodiscard]] int Calls() const {
    int calls = 0;
    for (const auto& link : links) calls += link->calls;
    return calls;
  }

  Loop loop{1};
  OutageStore own{loop};
  std::vector<std::shared_ptr<RelayingLink>> links;
  std::unique_ptr<RelayedStore> relayed;
  RowKey key{"head", "s0", "shard"};
  std::uint64_t version = 0;
};

// Guards against commits of 0.3 to 1.5 s while the store refuses the scheduler (shams-billing-grown
// trouble-1): of 12 instances, nine have a slow link.
TEST_CASE("relay: transactions of a scheduler that the store refuses go through strong instances") {
  RefusedScheduler scheduler;
  milliseconds total{0};
  for (int i = 0; i < 50; ++i) {
    const auto took = scheduler.Commit(milliseconds(1500));
    REQUIRE(took.has_value());
    total += *took;
  }
  CHECK(total / 50 <= milliseconds(15));
}

// Guards against transactions that wait for the time-out of an instance that has fallen silent or
// is turned away itself, and against trying it first again with each of the next ones.
TEST_CASE("relay: a transaction goes on to another instance when one is silent or refuses") {
  for (const bool is_silent : {true, false}) {
    CAPTURE(is_silent);
    RefusedScheduler scheduler;
    for (int i = 0; i < 5; ++i) REQUIRE(scheduler.Commit(milliseconds(1500)));
    for (const auto& link : scheduler.links) {
      if (link->calls == 0) continue;
      link->silent = is_silent;
      link->refuses = !is_silent;
    }
    milliseconds total{0};
    for (int i = 0; i < 40; ++i) {
      const auto took = scheduler.Commit(milliseconds(1500));
      REQUIRE(took.has_value());
      CHECK(*took <= kUnknownRelayHedge + milliseconds(20));
      total += *took;
    }
    CHECK(total / 40 <= milliseconds(25));
  }
}

// Guards against copies in any number while no instance reaches the store.
TEST_CASE("relay: the number of copies of a transaction is bounded") {
  RefusedScheduler scheduler;
  for (const auto& link : scheduler.links) link->silent = true;
  const int before = scheduler.Calls();
  CHECK_FALSE(scheduler.Commit(milliseconds(1400)));
  CHECK(scheduler.Calls() - before <= static_cast<int>(kMaxRelayCopies));
  for (const auto& link : scheduler.links) {
    link->silent = false;
    link->refuses = true;
  }
  scheduler.loop.RunFor(milliseconds(3000));
  const int later = scheduler.Calls();
  CHECK_FALSE(scheduler.Commit(milliseconds(1400)));
  CHECK(scheduler.Calls() - later <= static_cast<int>(kMaxRelayPeers));
}

}  // namespace
}  // namespace citronsill
